"""Stand-ins of the object API, upstreams, callers and the network fabric."""
