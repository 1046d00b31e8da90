"""Behaviour that varies: its registries, and the names that a process follows."""

from dataclasses import dataclass

from fuchsiapin.registry import Registry

__all__ = ["Policy", "movers"]

movers = Registry("move")
"""When a request that has not started moves to a peer."""


@dataclass(frozen=True)
class Policy:
    """One name for each behaviour that varies."""

    move: str = "reserve"
    """One of `movers`."""
