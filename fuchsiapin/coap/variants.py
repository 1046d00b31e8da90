"""Imports all policies, which register themselves."""

from fuchsiapin.coap.fairqueueing import InOrder, Shares
from fuchsiapin.coap.handoffpolicies import AskTwo, Stay
from fuchsiapin.coap.reservation import Reserve
from fuchsiapin.coap.retries import BudgetRetrier, NoRetrier
from fuchsiapin.policy import (
    Policy,
    admission_policies,
    handoff_policies,
    retry_policies,
)

__all__ = [
    "AskTwo",
    "BudgetRetrier",
    "InOrder",
    "NoRetrier",
    "Policy",
    "Reserve",
    "Shares",
    "Stay",
    "admission_policies",
    "handoff_policies",
    "retry_policies",
]
