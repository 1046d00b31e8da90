"""Behaviour that varies: its registries, and the names that a process follows."""

from dataclasses import dataclass

from fuchsiapin.registry import Registry

__all__ = ["Policy", "admitters", "movers", "retriers"]

admitters = Registry("admission")
"""Which waiting request is next, and whose requests may wait."""
movers = Registry("move")
"""When a request that has not started moves to a peer."""
retriers = Registry("retry")
"""When a request is tried a second time."""


@dataclass(frozen=True)
class Policy:
    """One name for each behaviour that varies."""

    move: str = "reserve"
    """One of `movers`."""
    retry: str = "budget"
    """One of `retriers`."""
    admit: str = "shares"
    """One of `admitters`."""
