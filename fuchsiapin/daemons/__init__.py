"""Twisted shells around the decision cores, and the binaries."""
