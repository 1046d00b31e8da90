"""The exchange of evacuations agrees with the store after any sequence of faults."""

import unittest
from collections.abc import Callable, Iterator
from functools import partial

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiapin.flows.evacuating import REWRITE_MS
from fuchsiapin.flows.evacuations import (
    EvacuatedZones,
    evacuation_version,
    removal_version,
)
from fuchsiapin.flows.storage import EVACUATIONS
from fuchsiapin.tests.flowstore import StoreState
from fuchsiapin.tests.flowworld import SETTLE_MS, FlowWorld
from fuchsiapin.tests.test_evacuations import BOUND_MS, ZONES

BALANCERS = 4


class LateWorld(FlowWorld):
    """A world whose links can deliver datagrams late, twice and out of order."""

    jitter_ms = 0  # longest additional delay

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a datagram over a link."""
        send = partial(super().send, source, target, deliver)
        for _ in range(1 + (self.jitter_ms > 0 and self.rng.random() < 0.1)):
            self.after(self.rng.randint(0, self.jitter_ms), send)


class ExchangeMachine(RuleBasedStateMachine):
    """Writes, removals and faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = LateWorld(1, BALANCERS, 3, zones=ZONES, evacuates=True)
        self.world.store.era = 1
        self.world.store.keep_copies(500)
        self.world.run(SETTLE_MS)
        self.hosts = [*self.world.balancer_hosts, *self.world.upstreams]
        self.known: dict[tuple[EvacuatedZones, str], int] = {}
        self.has_lost_memory = False

    def records(self) -> Iterator[tuple[set[str], EvacuatedZones]]:
        """Yield the zones that each running process must know, and its records."""
        for host, process in self.world.processes.items():
            is_side = host in self.world.upstreams
            scope = {self.world.zone_by_host[host]} if is_side else set(ZONES)
            if process.is_up:
                yield scope, process.core.state.zones

    def stored(self) -> dict[str, int]:
        """Return the version of each stored evacuation."""
        store = self.world.store
        items = store.kinds.get(EVACUATIONS, {}).values()
        return {i.name: evacuation_version(store.era, i.revision) for i in items}

    @rule(duration=st.integers(20, 2_500))
    def wait(self, duration: int) -> None:
        """Let time pass."""
        self.world.run(duration)

    @rule(zone=st.sampled_from(ZONES), is_removed=st.booleans())
    def write(self, zone: str, is_removed: bool) -> None:
        """Write or remove an evacuation."""
        (self.world.reinstate if is_removed else self.world.evacuate)(zone)

    @rule(number=st.integers(0, BALANCERS + 2), down_ms=st.integers(0, 1_500))
    def restart(self, number: int, down_ms: int) -> None:
        """Restart a process, which loses all records."""
        host = self.hosts[number]
        self.world.kill(host)
        starts = self.world.start_balancer, self.world.start_side
        self.world.after(down_ms, partial(starts[number >= BALANCERS], host))
        self.has_lost_memory = True

    @rule(age=st.integers(500, 6_000))
    def restore(self, age: int) -> None:
        """Let the store come back from an older copy."""
        self.world.store.restore(age)
        self.has_lost_memory = True

    @rule(is_up=st.booleans(), is_silent=st.booleans(), forgets=st.booleans())
    def disturb(self, is_up: bool, is_silent: bool, forgets: bool) -> None:
        """Let the store refuse or ignore calls or not, and lose its history."""
        self.world.store.state = StoreState(is_up, is_silent)
        self.world.store.oldest_revision = self.world.store.revision * forgets

    @rule(sources=st.sets(st.integers(0, 7)), others=st.sets(st.integers(0, 7)))
    def cut(self, sources: set[int], others: set[int]) -> None:
        """Cut the links from some processes to others and to the store."""
        h = [*self.hosts, "store"]
        self.world.cut_links = {(h[s], h[o]) for s in sources for o in others}

    @rule(rate=st.sampled_from((0.0, 0.1, 0.4)), jitter=st.sampled_from((0, 50, 400)))
    def degrade(self, rate: float, jitter: int) -> None:
        """Let links lose, delay and repeat datagrams."""
        self.world.loss_rate, self.world.jitter_ms = rate, jitter

    @invariant()
    def no_record_is_replaced_by_an_older_one(self) -> None:
        """Check that each process keeps the newest record that it had."""
        for _, zones in self.records():
            for zone in ZONES:
                assert zones.version(zone) >= self.known.get((zones, zone), 0)
                self.known[zones, zone] = zones.version(zone)

    @invariant()
    def no_record_is_newer_than_the_store(self) -> None:
        """Check that no record rules out what the store holds."""
        stored, store = self.stored(), self.world.store
        for _, zones in self.records():
            for zone in ZONES:
                newest = stored.get(zone, removal_version(store.era, store.revision))
                assert zones.version(zone) <= newest

    def teardown(self) -> None:
        """Check that all processes agree with the store after the last fault."""
        world, stored = self.world, self.stored()
        world.cut_links, world.loss_rate, world.jitter_ms = set(), 0.0, 0
        world.store.state = StoreState()
        world.run(BOUND_MS)
        for scope, zones in self.records():
            assert zones.evacuated >= scope & set(stored), zones.versions
        if self.has_lost_memory:
            world.run(REWRITE_MS + 1_000)
        for _, zones in self.records():
            assert zones.evacuated <= set(stored), (zones.versions, stored)


ExchangeModelTest = ExchangeMachine.TestCase
ExchangeModelTest.settings = settings(
    max_examples=120,
    stateful_step_count=16,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


if __name__ == "__main__":
    unittest.main()
