"""The CoAP protocol: balancers, side processes and what they decide."""
