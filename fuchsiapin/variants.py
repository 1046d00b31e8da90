"""Every variant that ships, so that the registries are filled."""

from fuchsiapin.asking import AskTwo, Stay
from fuchsiapin.policy import Policy, movers, retriers
from fuchsiapin.reserving import Reserve
from fuchsiapin.retrying import BudgetRetrier, NoRetrier

__all__ = [
    "AskTwo",
    "BudgetRetrier",
    "NoRetrier",
    "Policy",
    "Reserve",
    "Stay",
    "movers",
    "retriers",
]
