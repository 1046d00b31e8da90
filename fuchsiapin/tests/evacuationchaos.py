"""Evacuations of zones in a drawn world, and the check that they are in force."""

import random
from dataclasses import dataclass
from typing import Any

from fuchsiapin.flows.packets import flow_name

__all__ = ["Evacuations", "WrongFlow"]

BOUND_MS = 5_000
"""Time within which an evacuation is in force, and for which the processes that a
packet passes must have had a path to the store."""
SAMPLE_MS = 50
"""Interval at which the paths to the store are looked at."""
COLD_MS = 2_000
"""Time for which the upstreams of a zone are cold after its evacuation."""


@dataclass(frozen=True)
class WrongFlow:
    """A new flow that was given to an upstream of an evacuated zone.

    Parameters
    ----------
    at, since_ms : int
        Time, and how long ago the store acknowledged the evacuation, in ms.
    zone, holder, origin, flow : str
        The zone, addresses of the upstream and the balancer, and name of the flow.
    """

    at: int
    since_ms: int
    zone: str
    holder: str
    origin: str
    flow: str


class Evacuations:
    """Evacuates zones of a world and takes them into use again.

    Parameters
    ----------
    world : ChaosWorld
        The world.
    seed : int
        Seed of random numbers of their own, so that evacuations don't change which
        other actions are drawn.

    Attributes
    ----------
    acknowledged : dict
        When the store took the evacuation of each evacuated zone, in ms.
    pathless_at : dict
        When each process last had no path to the store, in ms.
    wrong_flows : list of WrongFlow
        New flows that were given to evacuated zones.
    """

    def __init__(self, world: Any, seed: int) -> None:
        self.world = world
        self.plan = random.Random(f"evacuations {seed}")
        self.acknowledged: dict[str, int] = {}
        self.pathless_at: dict[str, int] = {}
        self.wrong_flows: list[WrongFlow] = []

    def start(self, count: int, span_ms: int) -> None:
        """Schedule evacuations early in the span, and look at the paths from now on."""
        for _ in range(count):
            self.world.after(self.plan.randrange(span_ms // 3), self.begin)
        if count:
            self.sample_paths()

    def begin(self) -> None:
        """Evacuate a zone for a while; one zone stays in use."""
        world, state = self.world, self.world.store.state
        zones = [zone for zone in world.zones if zone not in self.acknowledged]
        if len(zones) < 2:
            return
        if not state.is_up or state.is_silent:
            world.after(100, self.begin)
            return
        zone = self.plan.choice(zones)
        is_cold = self.plan.random() < 0.5
        duration = self.plan.randint(BOUND_MS, 2 * BOUND_MS)
        world.note("evacuate", zone=zone, ms=duration, is_cold=is_cold)
        self.acknowledged[zone] = world.now
        world.evacuate(zone)
        world.after(duration, lambda: self.end(zone, is_cold))

    def end(self, zone: str, is_cold: bool) -> None:
        """Take a zone into use again."""
        world = self.world
        world.note("reinstate", zone=zone)
        del self.acknowledged[zone]
        world.reinstate(zone)
        for host, upstream in world.upstreams.items():
            if is_cold and world.zone_by_host[host] == zone:
                upstream.cold_until = world.now + COLD_MS

    def write_again(self) -> None:
        """Write what the operator wants after the store came back from a copy."""
        for zone in self.world.zones:
            is_evacuated = zone in self.acknowledged
            (self.world.evacuate if is_evacuated else self.world.reinstate)(zone)

    def sample_paths(self) -> None:
        """Record which processes have no path to the store, and repeat that."""
        world, state = self.world, self.world.store.state
        for host in world.processes:
            is_cut = {(host, "store"), ("store", host)} & world.cut_links
            is_store_away = not state.is_up or state.is_silent
            if is_cut or is_store_away or world.is_late(host):
                self.pathless_at[host] = world.now
        world.after(SAMPLE_MS, self.sample_paths)

    def check_opening(self, holder: str, flow: bytes, origin: str) -> None:
        """Record a new flow that is given to an upstream of an evacuated zone."""
        zone, now = self.world.zone_by_host[holder], self.world.now
        since_ms = now - self.acknowledged.get(zone, now)
        pathless_at = max(self.pathless_at.get(host, 0) for host in (holder, origin))
        if since_ms > BOUND_MS and now - pathless_at > BOUND_MS + SAMPLE_MS:
            self.wrong_flows.append(
                WrongFlow(now, since_ms, zone, holder, origin, flow_name(flow))
            )
