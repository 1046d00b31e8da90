"""Coordination parts of a layer-4 load balancer, and the daemons built of them."""

from fuchsiapin.clock import Clock, ManualClock, SystemClock
from fuchsiapin.exceptions import FuchsiapinError
from fuchsiapin.ranking import rank_members
from fuchsiapin.views import ViewHistory, pair_of

__all__ = [
    "Clock",
    "FuchsiapinError",
    "ManualClock",
    "SystemClock",
    "ViewHistory",
    "pair_of",
    "rank_members",
]

__version__ = "0.1.0"
