"""Registries of interchangeable strategies, and the strategies of a process."""

from dataclasses import dataclass

from fuchsiapin.registry import Registry

__all__ = ["Policy", "admitters", "movers", "retriers"]

admitters = Registry("admission")
"""Strategies that select the next waiting request and decide if one may wait."""
movers = Registry("move")
"""Strategies that decide when a request that has not started moves to a peer."""
retriers = Registry("retry")
"""Strategies that decide when a request is retried."""


@dataclass(frozen=True)
class Policy:
    """Name of the strategy for each decision."""

    move: str = "reserve"
    """One of `movers`."""
    retry: str = "budget"
    """One of `retriers`."""
    admit: str = "shares"
    """One of `admitters`."""
