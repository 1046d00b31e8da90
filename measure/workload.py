"""Seeded arrivals, the same for every system that is measured side by side."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from measure.sizes import ServiceSize

__all__ = ["MODEST", "Arrival", "Phase", "make_arrivals"]

FLOWS_PER_UPSTREAM = 40
MODEST = "counter"
"""Class that asks for less than its share."""
MODEST_FLOWS = 64
"""The first flows belong to the first of two classes."""
SAFE_SHARE = 0.3
"""Share of requests that only read."""


@dataclass(frozen=True)
class Phase:
    """A stretch of time with one load of one class."""

    begin_s: float
    end_s: float
    load: float
    class_name: str = ""


@dataclass(frozen=True)
class Arrival:
    """One request before it is sent."""

    name: str
    at_ms: float
    flow: int
    service_ms: float
    is_safe: bool
    class_name: str


def make_arrivals(
    size: ServiceSize, phases: Sequence[Phase], seed: int
) -> list[Arrival]:
    """Return Poisson arrivals with exponential service times, in order.

    Parameters
    ----------
    size : ServiceSize
        The service; loads are shares of its capacity.
    phases : sequence of Phase
        They may overlap.
    seed : int
        Seed of all draws.
    """
    rng = random.Random(seed)
    flows = size.upstreams * FLOWS_PER_UPSTREAM
    drawn = []
    for phase in phases:
        rate = phase.load * size.capacity / 1000
        now = phase.begin_s * 1000
        while rate and (now := now + rng.expovariate(rate)) < phase.end_s * 1000:
            service = rng.expovariate(1 / size.service_ms)
            is_safe = rng.random() < SAFE_SHARE
            flow = rng.randrange(*flows_of(phase.class_name, flows))
            drawn.append((now, flow, service, is_safe, phase.class_name))
    drawn.sort()
    return [
        Arrival(f"{'q' if is_safe else 'p'}{n}", at, flow, service, is_safe, name)
        for n, (at, flow, service, is_safe, name) in enumerate(drawn)
    ]


def flows_of(class_name: str, flows: int) -> tuple[int, int]:
    """Return the first flow of a class and the one after its last."""
    if not class_name:
        return 0, flows
    return (0, MODEST_FLOWS) if class_name == MODEST else (MODEST_FLOWS, flows)
