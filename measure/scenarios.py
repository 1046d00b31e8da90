"""Scenarios of load and faults over time, registered by name."""

from dataclasses import dataclass, field

from fuchsiapin.registry import Registry
from measure.workload import MODEST, Phase

__all__ = ["MODEST", "Fault", "Scenario", "scenarios"]

scenarios = Registry("scenario")
STEADY_S = 60.0
LONG_S = 180.0
FAULT_S = 20.0
"""Time from the start of a scenario to its fault."""
END_S = 60.0
GREEDY = "bulk"
HOUR_S = 3_600.0


@dataclass(frozen=True)
class Fault:
    """A fault or planned change of one upstream, balancer or zone."""

    at_s: float
    kind: str
    index: int = 0


@dataclass(frozen=True)
class Scenario:
    """Load phases and faults of one run."""

    phases: tuple[Phase, ...]
    faults: tuple[Fault, ...] = ()
    classes: dict[str, int] = field(default_factory=dict)
    is_planned: bool = True
    """Whether no flow may break in the scenario."""
    is_sparse: bool = False
    """Whether the run is too long to measure it with every service."""


def long_constant_load(load: float) -> Scenario:
    """Return a constant load, long enough for a meaningful p99."""
    return Scenario((Phase(0, LONG_S, load),))


def constant_load(load: float, *faults: Fault, is_planned: bool = True) -> Scenario:
    """Return a constant load with faults."""
    return Scenario((Phase(0, STEADY_S, load),), faults, is_planned=is_planned)


@scenarios.register("steady-0.50")
def steady_half() -> Scenario:
    """Load half of the capacity."""
    return long_constant_load(0.5)


@scenarios.register("steady-0.70")
def steady_busy() -> Scenario:
    """Load 70 % of the capacity, as on a busy day."""
    return long_constant_load(0.7)


@scenarios.register("steady-0.85")
def steady_high() -> Scenario:
    """Load 85 % of the capacity, the maximum planned load."""
    return long_constant_load(0.85)


@scenarios.register("steady-1.20")
def steady_over() -> Scenario:
    """Load 120 % of the capacity."""
    return long_constant_load(1.2)


@scenarios.register("burst")
def burst() -> Scenario:
    """Triple the load for five seconds."""
    return Scenario((Phase(0, STEADY_S, 0.5), Phase(FAULT_S, FAULT_S + 5, 1.0)))


@scenarios.register("greedy-class")
def greedy_class() -> Scenario:
    """Let one class demand far more than its share and the other one less."""
    phases = (Phase(0, STEADY_S, 0.4, MODEST), Phase(0, STEADY_S, 1.2, GREEDY))
    return Scenario(phases, classes={MODEST: 1, GREEDY: 1})


@scenarios.register("cold-start")
def cold_start() -> Scenario:
    """Let an upstream join that is four times slower at first."""
    return constant_load(0.7, Fault(FAULT_S, "join_cold"))


@scenarios.register("one-slow")
def one_slow() -> Scenario:
    """Make one upstream five times slower."""
    return constant_load(0.6, Fault(FAULT_S, "slow", 1))


@scenarios.register("one-lying")
def one_lying() -> Scenario:
    """Make one upstream serve one request at a time, though it declares two slots."""
    return constant_load(0.6, Fault(FAULT_S, "lie", 1))


@scenarios.register("one-shedding")
def one_shedding() -> Scenario:
    """Let one upstream shed half of its requests, at random, for twenty seconds."""
    return constant_load(0.6, Fault(FAULT_S, "shed", 1), Fault(FAULT_S + 20, "calm", 1))


@scenarios.register("one-silent")
def one_silent() -> Scenario:
    """Silence one upstream."""
    return constant_load(0.5, Fault(FAULT_S, "silence", 1), is_planned=False)


@scenarios.register("rolling-replacement")
def rolling_replacement() -> Scenario:
    """Replace one upstream after the other."""
    faults = tuple(Fault(5 + 7 * index, "replace", index) for index in range(7))
    return constant_load(0.5, *faults)


@scenarios.register("both-change")
def both_change() -> Scenario:
    """Replace an upstream and a balancer at the same moment."""
    return constant_load(
        0.6, Fault(FAULT_S, "replace", 2), Fault(FAULT_S, "replace_balancer", 1)
    )


@scenarios.register("zone-loss")
def zone_loss() -> Scenario:
    """Kill all processes and upstreams of one availability zone at once."""
    return constant_load(0.4, Fault(FAULT_S, "lose_zone", 1), is_planned=False)


@scenarios.register("store-out")
def store_out() -> Scenario:
    """Make the object store unavailable for an hour, at a low load."""
    faults = (Fault(30, "store_down"), Fault(30 + HOUR_S, "store_up"))
    phase = Phase(0, HOUR_S + 60, 0.005)
    return Scenario((phase,), faults, is_sparse=True)
