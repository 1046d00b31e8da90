"""Simulations and benchmarks of the decision cores and the daemons."""
