"""Coordination components of a layer-4 load balancer, and its daemons.

To embed the library, create a core with `make_side_core` or
`make_balancer_core`, pass it events of `fuchsiapin.messages` and execute the
effects that it returns.

Examples
--------
>>> from fuchsiapin import make_balancer_core
>>> from fuchsiapin.messages import BalancerMember, Start, StopRequested
>>> me = BalancerMember("entry-1", 1_000, "10.0.0.1", 7000, "bole", "live", "")
>>> core = make_balancer_core(me, seed=1)
>>> effects = core.handle(1_000, Start())
>>> [type(effect).__name__ for effect in effects][:2]
['ReadObject', 'ReadObject']
>>> core.next_due() > 1_000
True
"""

from importlib import import_module
from typing import Any

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

EXPORT_MODULES = {
    "BalancerCore": "coap.balancercore",
    "Clock": "clock",
    "Core": "coap.cores",
    "FuchsiapinError": "exceptions",
    "ManualClock": "clock",
    "Policy": "policy",
    "SideCore": "coap.sidecore",
    "SideOptions": "coap.sideoptions",
    "SystemClock": "clock",
    "ViewHistory": "views",
    "make_balancer_core": "coap.balancercore",
    "make_side_core": "coap.sidecore",
    "pair_of": "views",
    "rank_members": "ranking",
}
"""Module of each public name; loaded on first use, as few processes need them all."""


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in EXPORT_MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{EXPORT_MODULES[name]}"), name)
