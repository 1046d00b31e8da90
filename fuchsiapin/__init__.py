"""Coordination parts of a layer-4 load balancer, and the daemons built of them.

Who embeds the library makes a core with `make_side_core` or
`make_balancer_core`, feeds it events of `fuchsiapin.messages` and carries out
the effects that it returns.

Examples
--------
>>> from fuchsiapin.messages import BalancerMember, Start, StopRequested
>>> me = BalancerMember("entry-1", 1_000, "10.0.0.1", 7000, "bole", "live", "")
>>> core = make_balancer_core(me, seed=1)
>>> effects = core.handle(1_000, Start())
>>> [type(effect).__name__ for effect in effects][:2]
['ReadObject', 'ReadObject']
>>> core.next_due() > 1_000
True
"""

from fuchsiapin.balancing import BalancerCore, make_balancer_core
from fuchsiapin.clock import Clock, ManualClock, SystemClock
from fuchsiapin.cores import Core
from fuchsiapin.exceptions import FuchsiapinError
from fuchsiapin.policy import Policy
from fuchsiapin.ranking import rank_members
from fuchsiapin.serving import SideCore, make_side_core
from fuchsiapin.sideoptions import SideOptions
from fuchsiapin.views import ViewHistory, pair_of

__all__ = [
    "BalancerCore",
    "Clock",
    "Core",
    "FuchsiapinError",
    "ManualClock",
    "Policy",
    "SideCore",
    "SideOptions",
    "SystemClock",
    "ViewHistory",
    "make_balancer_core",
    "make_side_core",
    "pair_of",
    "rank_members",
]

__version__ = "0.1.0"
