"""Baselines: balancers without coordination, and one ideal shared queue."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from fuchsiapin.registry import Registry
from measure.figures import SAMPLE_MS, Outcome, Run
from measure.scenarios import Fault, Scenario
from measure.sizes import SAME_ZONE_MS, ServiceSize
from measure.workload import FLOWS_PER_UPSTREAM, Arrival

__all__ = ["BaselineFleet", "choosers", "run_baseline", "run_ideal"]

choosers = Registry("baseline choice of an upstream")
RETRANSMIT_MS = 2_000.0
"""ACK_TIMEOUT of CoAP (RFC 7252, section 4.8); each is drawn up to 1.5 times longer."""
MAX_RETRANSMIT = 4
"""MAX_RETRANSMIT of CoAP (RFC 7252, section 4.8)."""
HEALTH_CHECK_MS = 4_000.0
"""Time after which a health check detects a silent upstream."""
MAX_LIST_DELAY_MS = 1_000.0
"""Longest delay until a balancer applies a change of the list of upstreams."""
COLD_FACTOR = 4.0
"""Factor on the service times of an upstream that has joined cold.

It applies for `cluster.COLD_MS` with the decision cores, for good with a baseline.
"""
SLOW_FACTOR = 5.0
"""Factor on the service times of a slow upstream."""
BOARD_EVERY = 4
"""One flow in this many holds an open board."""


@dataclass
class BaselineUpstream:
    """An upstream with a queue and slots, and its present faults."""

    name: int
    zone: str
    slots: int
    factor: float = 1.0
    is_silent: bool = False
    sheds: bool = False
    busy: int = 0


class BaselineFleet:
    """Simulates balancers that each choose an upstream from a list independently.

    Parameters
    ----------
    size : ServiceSize
        The service.
    seed : int
        Seed of the random numbers.
    choose : callable
        Chooses an upstream, called with the fleet, the balancer and the flow.
    """

    def __init__(self, size: ServiceSize, seed: int, choose: Callable) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.choose = choose
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.upstreams = {
            n: BaselineUpstream(n, size.zone_of(n), size.slots)
            for n in range(size.upstreams)
        }
        self.queues: dict[int, deque[Arrival]] = {n: deque() for n in self.upstreams}
        self.seen: dict[int, set[str]] = {n: set() for n in self.upstreams}
        self.lists = [list(self.upstreams) for _ in range(size.balancers)]
        self.open_requests = [
            dict.fromkeys(self.upstreams, 0) for _ in range(size.balancers)
        ]
        self.boards: dict[int, int] = {}
        self.broken: set[int] = set()
        self.removed: set[int] = set()
        self.run = Run([])

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Call after a delay in ms."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, call))

    def run_all(self) -> None:
        """Run until no event is scheduled."""
        while self.events:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def link_delay(self) -> float:
        """Return a one-way delay between a caller and an upstream."""
        same = self.rng.random() < 1 / len(self.size.zones)
        link = SAME_ZONE_MS if same else self.size.zone_ms
        return self.size.caller_ms + link + self.rng.uniform(0, 2)

    # Requests

    def open_boards(self) -> None:
        """Open a board on some flows."""
        for flow in range(0, self.size.upstreams * FLOWS_PER_UPSTREAM, BOARD_EVERY):
            self.boards[flow] = self.choose(self, self.pick_balancer(), flow)

    def pick_balancer(self) -> int:
        """Return the balancer to which the network routes a datagram, at random."""
        return self.rng.randrange(self.size.balancers)

    def send(self, item: Arrival, attempt: int = 0) -> None:
        """Send a request and retransmit it until it is answered."""
        if item.name in self.run.outcomes or attempt > MAX_RETRANSMIT:
            return
        balancer = self.pick_balancer()
        target = self.choose(self, balancer, item.flow)
        self.check_board(item.flow, target)
        self.open_requests[balancer][target] = (
            self.open_requests[balancer].get(target, 0) + 1
        )
        self.call_later(self.link_delay(), lambda: self.arrive(item, target, balancer))
        delay = RETRANSMIT_MS * self.rng.uniform(1, 1.5) * 2**attempt
        self.call_later(delay, lambda: self.send(item, attempt + 1))

    def check_board(self, flow: int, target: int) -> None:
        """Count a flow as broken if a datagram goes elsewhere than to its board."""
        if flow in self.boards and self.boards[flow] != target:
            self.broken.add(flow)

    def arrive(self, item: Arrival, target: int, balancer: int) -> None:
        """Queue a request at an upstream, unless it is a duplicate or shed."""
        upstream = self.upstreams.get(target)
        if upstream is None or upstream.is_silent or item.name in self.seen[target]:
            self.open_requests[balancer][target] -= 1
            return
        self.seen[target].add(item.name)
        if upstream.sheds and self.rng.random() < 0.5:
            self.answer(item, "refused", balancer, target)
            return
        self.queues[target].append(item)
        self.start(target, balancer)

    def start(self, target: int, balancer: int) -> None:
        """Start queued requests while a slot is free."""
        upstream = self.upstreams.get(target)
        while upstream and self.queues[target] and upstream.busy < upstream.slots:
            item = self.queues[target].popleft()
            upstream.busy += 1
            duration = item.service_ms * upstream.factor
            self.call_later(duration, lambda i=item: self.complete(i, target, balancer))

    def complete(self, item: Arrival, target: int, balancer: int) -> None:
        """Finish a request and answer it unless the upstream is silent."""
        upstream = self.upstreams.get(target)
        if upstream is None:
            return
        upstream.busy -= 1
        self.run.executions[item.name] = self.run.executions.get(item.name, 0) + 1
        if not upstream.is_silent:
            self.answer(item, "done", balancer, target)
        self.start(target, balancer)

    def answer(self, item: Arrival, result: str, balancer: int, target: int) -> None:
        """Send an answer to its caller."""
        self.open_requests[balancer][target] -= 1

        def record_outcome() -> None:
            self.run.outcomes.setdefault(item.name, Outcome(result, self.now))

        self.call_later(self.link_delay(), record_outcome)

    # Changes

    def update_lists(self) -> None:
        """Update the list of each balancer after a random delay."""
        names = [n for n in self.upstreams if n not in self.removed]
        for index in range(self.size.balancers):
            delay = self.rng.uniform(0, MAX_LIST_DELAY_MS)
            self.call_later(
                delay, lambda p=index: self.lists.__setitem__(p, list(names))
            )

    def break_boards(self, name: int) -> None:
        """Count the flows with boards at a lost upstream as broken."""
        self.broken |= {f for f, holder in self.boards.items() if holder == name}

    def join(self, factor: float = 1.0) -> int:
        """Add an upstream."""
        name = max(self.upstreams) + 1
        zone = self.size.zone_of(name)
        self.upstreams[name] = BaselineUpstream(name, zone, self.size.slots, factor)
        self.queues[name] = deque()
        self.seen[name] = set()
        for counts in self.open_requests:
            counts[name] = 0
        self.update_lists()
        return name

    def inject(self, fault: Fault) -> None:
        """Inject a fault."""
        if fault.kind == "replace" and fault.index >= self.size.upstreams:
            return
        handler = BASELINE_FAULTS.get(fault.kind)
        if handler is not None:
            handler(self, fault.index)

    def replace(self, index: int) -> None:
        """Remove an upstream, which breaks its boards, and add another one."""
        self.removed.add(index)
        self.join()
        self.break_boards(index)

    def silence(self, index: int) -> None:
        """Silence an upstream, which a health check detects after `HEALTH_CHECK_MS`."""
        self.upstreams[index].is_silent = True
        self.break_boards(index)

        def remove_silent() -> None:
            self.removed.add(index)
            self.update_lists()

        self.call_later(HEALTH_CHECK_MS, remove_silent)

    def lose_zone(self, index: int) -> None:
        """Silence all upstreams of a zone."""
        for name, upstream in self.upstreams.items():
            if upstream.zone == self.size.zones[index]:
                self.silence(name)

    def sample(self) -> None:
        """Record the requests in flight per slot of each upstream in the first list."""
        listed = self.lists[0]
        self.run.samples.append(
            [
                (self.upstreams[n].busy + len(self.queues[n])) / self.size.slots
                for n in listed
            ]
        )


BASELINE_FAULTS: dict[str, Callable[[BaselineFleet, int], None]] = {
    "slow": lambda fleet, n: setattr(fleet.upstreams[n], "factor", SLOW_FACTOR),
    "lie": lambda fleet, n: setattr(fleet.upstreams[n], "slots", 1),
    "shed": lambda fleet, n: setattr(fleet.upstreams[n], "sheds", True),
    "calm": lambda fleet, n: setattr(fleet.upstreams[n], "sheds", False),
    "silence": BaselineFleet.silence,
    "replace": BaselineFleet.replace,
    "lose_zone": BaselineFleet.lose_zone,
    "join_cold": lambda fleet, n: fleet.join(COLD_FACTOR),
}


@choosers.register("modulo")
def choose_modulo(fleet: BaselineFleet, balancer: int, flow: int) -> int:
    """Return the upstream at the flow's hash modulo the length of the list."""
    names = fleet.lists[balancer]
    return names[xxh3_64_intdigest(str(flow).encode()) % len(names)]


@choosers.register("least-local")
def choose_least_local(fleet: BaselineFleet, balancer: int, flow: int) -> int:
    """Return an upstream with the fewest open requests from this balancer."""
    counts = fleet.open_requests[balancer]
    names = fleet.lists[balancer]
    least = min(counts[name] for name in names)
    return fleet.rng.choice([name for name in names if counts[name] == least])


def run_baseline(
    name: str, size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Simulate a baseline without coordination in a scenario."""
    fleet = BaselineFleet(size, seed, choosers.get(name))
    fleet.run = Run(arrivals)
    fleet.open_boards()
    for item in arrivals:
        fleet.call_later(item.at_ms, lambda i=item: fleet.send(i))
    for fault in scenario.faults:
        fleet.call_later(fault.at_s * 1000, lambda f=fault: fleet.inject(f))
    if not scenario.is_sparse:
        for step in range(int(arrivals[-1].at_ms / SAMPLE_MS)):
            fleet.call_later(step * SAMPLE_MS, fleet.sample)
    fleet.run_all()
    fleet.run.broken_flows = len(fleet.broken)
    fleet.run.held_flows = len(fleet.boards)
    flow_counts = dict.fromkeys(fleet.lists[0], 0)
    for holder in fleet.boards.values():
        flow_counts[holder] = flow_counts.get(holder, 0) + 1
    fleet.run.flows = list(flow_counts.values())
    return fleet.run


def run_ideal(
    size: ServiceSize, scenario: Scenario, arrivals: list[Arrival], seed: int
) -> Run:
    """Simulate one queue in front of all slots, with the same links but no faults."""
    fleet = BaselineFleet(size, seed, choose_modulo)
    run = Run(arrivals)
    arriving = sorted(
        ((item.at_ms + fleet.link_delay(), item) for item in arrivals),
        key=lambda pair: pair[0],
    )
    slots_free_at = [0.0] * (size.upstreams * size.slots)
    for at, item in arriving:
        end = max(at, heapq.heappop(slots_free_at)) + item.service_ms
        heapq.heappush(slots_free_at, end)
        run.outcomes[item.name] = Outcome("done", end + fleet.link_delay())
    run.executions = dict.fromkeys(run.outcomes, 1)
    return run
