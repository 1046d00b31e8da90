"""Registries of interchangeable policies, and the policies of a process."""

from dataclasses import dataclass

from fuchsiapin.registry import Registry

__all__ = ["Policy", "admission_policies", "handoff_policies", "retry_policies"]

admission_policies = Registry("admission policy")
"""Policies that select the next waiting request and decide if one may wait."""
handoff_policies = Registry("handoff policy")
"""Policies that decide when a request that has not started is handed off."""
retry_policies = Registry("retry policy")
"""Policies that decide when a request is retried."""


@dataclass(frozen=True)
class Policy:
    """Name of the policy for each decision."""

    move: str = "reserve"
    """One of `handoff_policies`."""
    retry: str = "budget"
    """One of `retry_policies`."""
    admit: str = "shares"
    """One of `admission_policies`."""
