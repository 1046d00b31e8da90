"""Every variant that ships, so that the registries are filled."""

from fuchsiapin.asking import AskTwo, Stay
from fuchsiapin.policy import Policy, movers
from fuchsiapin.reserving import Reserve

__all__ = ["AskTwo", "Policy", "Reserve", "Stay", "movers"]
