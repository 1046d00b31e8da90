"""Systems that are compared with each other, registered by name."""

from fuchsiapin.policy import Policy
from fuchsiapin.registry import Registry
from measure.cluster import run_cores
from measure.figures import Run
from measure.plain import run_baseline, run_ideal
from measure.scenarios import Scenario
from measure.sizes import ServiceSize
from measure.workload import Arrival

__all__ = ["CURRENT", "systems"]

systems = Registry("system")
CURRENT = "fuchsiapin"


@systems.register(CURRENT)
def current(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run the cores with the default policies."""
    return run_cores(size, scenario, arrivals, seed, Policy())


@systems.register("ask-two")
def first_moves(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run the cores with the first version of the move policy."""
    return run_cores(size, scenario, arrivals, seed, Policy(move="ask-two"))


@systems.register("first-come")
def first_come(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run the cores without classes and without retries."""
    policy = Policy(admit="in-order", retry="none")
    return run_cores(size, scenario, arrivals, seed, policy)


@systems.register("stay")
def no_moves(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run the cores without moves."""
    return run_cores(size, scenario, arrivals, seed, Policy(move="stay"))


@systems.register("modulo")
def modulo(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run hashing modulo the length of the list, without ownership."""
    return run_baseline("modulo", size, scenario, arrivals, seed)


@systems.register("least-local")
def least_local(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run a choice by the least open requests, counted by each balancer alone."""
    return run_baseline("least-local", size, scenario, arrivals, seed)


@systems.register("ideal")
def ideal(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Run one shared queue, which bounds what any system can reach."""
    return run_ideal(size, scenario, arrivals, seed)
