"""Imports all variants of algorithms, which register themselves."""

from fuchsiapin.coap.asking import AskTwo, Stay
from fuchsiapin.coap.reserving import Reserve
from fuchsiapin.coap.retrying import BudgetRetrier, NoRetrier
from fuchsiapin.coap.sharing import InOrder, Shares
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
