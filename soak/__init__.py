"""Randomized soak test: runs the real daemons as processes and injects faults."""
