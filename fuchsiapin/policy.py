"""Names of the variants that a side process follows, each from a registry."""

from dataclasses import dataclass

__all__ = ["Policy"]


@dataclass(frozen=True)
class Policy:
    """One name for each behaviour that varies."""

    move: str = "ask-two"
    """When a request that has not started moves to a peer."""
