"""Small stand-ins for the platform, upstreams, callers and the fabric."""
