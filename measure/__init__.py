"""Measurements of the decision cores and of the daemons."""
