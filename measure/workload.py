"""Seeded arrivals, the same for all systems that are compared."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from measure.sizes import ServiceSize

__all__ = ["MODEST", "Arrival", "Phase", "make_arrivals"]

FLOWS_PER_UPSTREAM = 40
MODEST = "counter"
"""Class that demands less than its share."""
MODEST_FLOWS = 64
"""Number of flows of the modest class, which are the first ones."""
SAFE_SHARE = 0.3
"""Share of requests that are safe to repeat, because they only read."""


@dataclass(frozen=True)
class Phase:
    """A period of constant load by one class, or by all flows without a class."""

    begin_s: float
    end_s: float
    load: float
    class_name: str = ""


@dataclass(frozen=True)
class Arrival:
    """One request of the workload; its name begins with "q" if it is safe, else "p"."""

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
        Phases of load, which may overlap.
    seed : int
        Seed of the random numbers.
    """
    rng = random.Random(seed)
    flows = size.upstreams * FLOWS_PER_UPSTREAM
    draws = []
    for phase in phases:
        rate = phase.load * size.capacity / 1000
        now = phase.begin_s * 1000
        while rate and (now := now + rng.expovariate(rate)) < phase.end_s * 1000:
            service_ms = rng.expovariate(1 / size.service_ms)
            is_safe = rng.random() < SAFE_SHARE
            flow = rng.randrange(*flow_range(phase.class_name, flows))
            draws.append((now, flow, service_ms, is_safe, phase.class_name))
    draws.sort()
    return [
        Arrival(f"{'q' if is_safe else 'p'}{n}", at, flow, service_ms, is_safe, name)
        for n, (at, flow, service_ms, is_safe, name) in enumerate(draws)
    ]


def flow_range(class_name: str, flows: int) -> tuple[int, int]:
    """Return the first flow of a class and the end of its range, exclusive."""
    if not class_name:
        return 0, flows
    return (0, MODEST_FLOWS) if class_name == MODEST else (MODEST_FLOWS, flows)
