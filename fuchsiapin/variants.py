"""Every variant that ships, so that the registries are filled."""

from fuchsiapin.asking import AskTwo, Stay
from fuchsiapin.policy import Policy, admitters, movers, retriers
from fuchsiapin.reserving import Reserve
from fuchsiapin.retrying import BudgetRetrier, NoRetrier
from fuchsiapin.sharing import InOrder, Shares

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
