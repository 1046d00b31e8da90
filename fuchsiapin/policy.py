"""Registries of interchangeable strategies, and the strategies of a process."""

from dataclasses import dataclass

from fuchsiapin.registry import Registry

__all__ = ["Policy", "admission_policies", "handoff_policies", "retry_policies"]

admission_policies = Registry("admission")
"""Strategies that select the next waiting request and decide if one may wait."""
handoff_policies = Registry("move")
"""Strategies that decide when a request that has not started moves to a peer."""
retry_policies = Registry("retry")
"""Strategies that decide when a request is retried."""


@dataclass(frozen=True)
class Policy:
    """Name of the strategy for each decision."""

    move: str = "reserve"
    """One of `handoff_policies`."""
    retry: str = "budget"
    """One of `retry_policies`."""
    admit: str = "shares"
    """One of `admission_policies`."""
