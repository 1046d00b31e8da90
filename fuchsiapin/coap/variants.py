"""Imports all variants of algorithms, which register themselves."""

from fuchsiapin.coap.fairqueueing import InOrder, Shares
from fuchsiapin.coap.handoffpolicies import AskTwo, Stay
from fuchsiapin.coap.reservation import Reserve
from fuchsiapin.coap.retries import BudgetRetrier, NoRetrier
from fuchsiapin.policy import Policy, admitters, movers, retriers

__all__ = [
    "AskTwo",
    "BudgetRetrier",
    "InOrder",
    "NoRetrier",
    "Policy",
    "Reserve",
    "Shares",
    "Stay",
    "admitters",
    "movers",
    "retriers",
]
