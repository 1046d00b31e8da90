"""Simulation of the decision cores under a workload, on simulated time."""

import random
from collections import Counter
from collections.abc import Callable

from aiocoap import Message
from aiocoap.numbers.codes import Code

from fuchsiapin import messages
from fuchsiapin.codec import encode_object
from fuchsiapin.policy import Policy
from fuchsiapin.ranking import flow_key
from fuchsiapin.tests.standins.caller import Caller
from fuchsiapin.tests.standins.upstream import Job, Upstream, UpstreamOptions
from measure.figures import SAMPLE_MS, Outcome, Run
from measure.plain import BOARD_EVERY, COLD_FACTOR, SLOW_FACTOR
from measure.scenarios import MODEST, Fault, Scenario
from measure.sizes import ServiceSize
from measure.workload import FLOWS_PER_UPSTREAM, MODEST_FLOWS, Arrival
from measure.world import World
from measure.worldparts import Links, Node, WorldClock, WorldOptions

__all__ = ["MeasuredWorld", "run_cores"]

SETTLE_MS = 5_000.0
"""Time before the first arrival."""
END_MS = 25_000.0
"""Time after the last arrival, in which outstanding requests finish."""
BOARD_MS = 5_000.0
STALE_BOARD_MS = 3 * BOARD_MS
"""A board that received nothing for three intervals until the end is broken."""
COLD_MS = 10_000.0
"""Duration for which an upstream that joins cold is slow."""
SPARSE_BOARDS = 8
"""Number of open boards in a sparse scenario."""
MODEST_NETWORK = f"10.9.0.0/{32 - (MODEST_FLOWS - 1).bit_length()}"
"""Network whose addresses the flows of the modest class have."""
MOVED_EVENT = 3103
REFUSED_EVENT = 3101
RETRIED_EVENT = 3108
REQUEST_MESSAGES = (
    messages.Forward,
    messages.Reply,
    messages.RecordPut,
    messages.RecordAck,
    messages.ObservationPut,
    messages.ObservationAck,
    messages.BacklogAsk,
    messages.BacklogTell,
    messages.OfferDeclined,
    messages.Handoff,
    messages.HandoffResult,
)
"""Messages whose rate follows that of requests; all others count as control."""


class MeasuredUpstream(Upstream):
    """An upstream that takes the service times of the workload and can misbehave."""

    durations: dict[str, float]
    factor = 1.0
    cold_until_s = 0.0
    is_silent = False
    sheds = False

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram, unless the upstream is silent."""
        if not self.is_silent:
            super().datagramReceived(datagram, addr)

    def dispatch_request(self, request: Message, address: tuple[str, int]) -> None:
        """Serve a request; while shedding load, reject it with probability 1/2."""
        in_workload = request.payload.decode("latin1") in self.durations
        if in_workload and self.sheds and self.rng.random() < 0.5:
            self.reply(request, address, Code.SERVICE_UNAVAILABLE, b"shed")
            return
        super().dispatch_request(request, address)

    def send(self, message: Message, address: tuple[str, int]) -> bytes:
        """Send a message, unless the upstream is silent."""
        return b"" if self.is_silent else super().send(message, address)

    def draw_duration(self, job: Job) -> float:
        """Return the service time of a request by the workload, in ms."""
        is_cold = self.clock.seconds() < self.cold_until_s
        factor = COLD_FACTOR if is_cold else self.factor
        return self.durations[job.label] * factor


class MeasuredWorld(World):
    """A simulated world that serves a workload.

    Parameters
    ----------
    size : ServiceSize
        The service.
    seed : int
        Seed of the random numbers.
    policy : Policy
        Policies of the side processes.
    arrivals : list of Arrival
        The workload.
    """

    def __init__(
        self, size: ServiceSize, seed: int, policy: Policy, arrivals: list[Arrival]
    ) -> None:
        self.size = size
        self.durations = {item.name: item.service_ms for item in arrivals}
        self.results = Run(arrivals)
        self.ended: list[Node] = []
        options = WorldOptions(
            service=size.service,
            sides=size.upstreams,
            balancers=size.balancers,
            zones=size.zones,
            service_ms=size.service_ms,
            slots=size.slots,
            board_ms=BOARD_MS,
            policy=policy,
        )
        links = Links(delay_ms=size.zone_ms, caller_ms=size.caller_ms)
        super().__init__(seed, options, links)
        self.started_at = self.now

    def make_upstream(self, name: str, service: str) -> Upstream:
        """Start an upstream that serves the workload."""
        options = UpstreamOptions(
            name,
            service,
            self.size.slots,
            board_ms=BOARD_MS,
            seed=self.rng.getrandbits(32),
        )
        upstream = MeasuredUpstream(options, WorldClock(self))
        upstream.durations = self.durations
        upstream.startProtocol()
        self.upstreams.append(upstream)
        return upstream

    # Requests

    def send_arrival(self, caller: Caller, item: Arrival) -> None:
        """Send one request of the workload."""
        code = Code.FETCH if item.is_safe else Code.POST
        message = caller.request(code, "claims", item.name.encode())

        def record(result: str) -> None:
            outcome = Outcome(result, self.now - self.started_at)
            self.results.outcomes[item.name] = outcome

        caller.send_request(message, item.name, record)

    def sides(self) -> list[Node]:
        """Return the running side processes."""
        return [node for node in self.nodes.values() if node.upstream is not None]

    def sample(self) -> None:
        """Record the requests in flight per slot of upstreams that take new work."""
        self.results.samples.append(
            [
                (
                    node.upstream.busy
                    + len(node.upstream.queue)
                    + len(node.core.admission.queue)
                )
                / self.size.slots
                for node in self.sides()
                if node.core.membership.me.state == "live"
            ]
        )

    # Changes

    def store_config(self, classes: dict[str, int]) -> None:
        """Store a configuration with these classes and their shares."""
        class_configs = [
            messages.ClassConfig(
                name, share, [MODEST_NETWORK] if name == MODEST else []
            )
            for name, share in classes.items()
        ]
        options = self.options
        service = messages.ServiceConfig(
            options.service, options.deadline_ms, options.queue, [], class_configs
        )
        config = messages.Configuration(
            self.size.deployment, 1, "measure", "1", [service], []
        )
        self.put(f"config/{self.size.deployment}", 0, encode_object(config))

    def initial_side(self, index: int) -> Node | None:
        """Return one of the initial side processes by its index."""
        return self.nodes.get(f"{self.size.service}-{index + 1}")

    def inject(self, fault: Fault) -> None:
        """Inject a fault."""
        WORLD_FAULTS[fault.kind](self, fault.index)

    def set_on_upstream(self, index: int, name: str, value: object) -> None:
        """Set an attribute of an upstream that changes its behaviour."""
        setattr(self.initial_side(index).upstream, name, value)

    def limit_slots(self, index: int) -> None:
        """Make an upstream serve one request at a time, whatever it declared."""
        self.initial_side(index).upstream.options.slots = 1

    def join(self) -> Node:
        """Add an upstream and its side process."""
        index = len(self.upstreams)
        return self.add_side(
            f"{self.size.service}-{index + 1}", self.size.zone_of(index)
        )

    def join_cold(self, index: int) -> None:
        """Add an upstream that is slow for its first `COLD_MS`."""
        upstream = self.join().upstream
        upstream.cold_until_s = (self.now + COLD_MS) / 1000

    def replace(self, index: int) -> None:
        """Add an upstream and stop one of the initial ones."""
        if index < self.size.upstreams:
            self.join()
            self.stop(f"{self.size.service}-{index + 1}")

    def replace_balancer(self, index: int) -> None:
        """Add a balancer and stop one of the initial ones."""
        name = f"balancer-{index + 1}"
        self.add_balancer(f"{name}b", self.nodes[name].zone)
        self.stop(name)

    def lose_zone(self, index: int) -> None:
        """Kill all processes of a zone and silence its upstreams."""
        for node in list(self.nodes.values()):
            if node.zone == self.size.zones[index]:
                if node.upstream is not None:
                    node.upstream.is_silent = True
                self.ended.append(self.kill(node.name))


WORLD_FAULTS: dict[str, Callable[[MeasuredWorld, int], None]] = {
    "slow": lambda world, n: world.set_on_upstream(n, "factor", SLOW_FACTOR),
    "lie": MeasuredWorld.limit_slots,
    "shed": lambda world, n: world.set_on_upstream(n, "sheds", True),
    "calm": lambda world, n: world.set_on_upstream(n, "sheds", False),
    "silence": lambda world, n: world.set_on_upstream(n, "is_silent", True),
    "replace": MeasuredWorld.replace,
    "replace_balancer": MeasuredWorld.replace_balancer,
    "lose_zone": MeasuredWorld.lose_zone,
    "join_cold": MeasuredWorld.join_cold,
    "store_down": lambda world, n: world.set_store(True),
    "store_up": lambda world, n: world.set_store(False),
}


def run_cores(
    size: ServiceSize,
    scenario: Scenario,
    arrivals: list[Arrival],
    seed: int,
    policy: Policy,
) -> Run:
    """Simulate the decision cores in a scenario."""
    world = MeasuredWorld(size, seed, policy, arrivals)
    nodes = list(world.nodes.values())
    if scenario.classes:
        world.store_config(scenario.classes)
    world.run(SETTLE_MS)
    world.started_at = world.now
    callers = [world.add_caller() for _ in range(size.upstreams * FLOWS_PER_UPSTREAM)]
    boards = callers[::BOARD_EVERY]
    if scenario.is_sparse:
        boards = boards[:SPARSE_BOARDS]
    for caller in boards:
        world.at(world.now + random.Random(seed).uniform(0, 1_000), caller.open_board)
    for item in arrivals:
        world.at(
            world.started_at + item.at_ms,
            lambda i=item: world.send_arrival(callers[i.flow], i),
        )
    for fault in scenario.faults:
        world.at(world.started_at + fault.at_s * 1000, lambda f=fault: world.inject(f))
    if not scenario.is_sparse:
        for step in range(int(arrivals[-1].at_ms / SAMPLE_MS)):
            world.at(world.started_at + step * SAMPLE_MS, world.sample)
    world.run(arrivals[-1].at_ms + END_MS)
    return collect_results(world, boards, [*nodes, *world.nodes.values()])


def collect_results(
    world: MeasuredWorld, boards: list[Caller], nodes: list[Node]
) -> Run:
    """Collect the figures of a run at its end."""
    run = world.results
    unique_nodes = {id(node): node for node in nodes}.values()
    now = world.clock.seconds()
    run.held_flows = len(boards)
    run.broken_flows = sum(
        not caller.is_open or (now - caller.last_heard) * 1000 > STALE_BOARD_MS
        for caller in boards
    )
    counts: Counter[str] = Counter()
    for upstream in world.upstreams:
        counts.update(execution["body"] for execution in upstream.executions)
    run.executions = dict(counts)
    reports = [report for node in unique_nodes for report in node.reports]
    event_counts = Counter(report.number for report in reports)
    run.moved, run.retried = event_counts[MOVED_EVENT], event_counts[RETRIED_EVENT]
    run.refusal_ms = [
        report.fields["held_ms"] for report in reports if report.number == REFUSED_EVENT
    ]
    run.flows = list(count_flows(world).values())
    span_s = (world.now - world.started_at + SETTLE_MS) / 1000
    live = [node for node in world.nodes.values() if node in unique_nodes]
    run.control_bytes_s = max(map(control_bytes, live)) / span_s
    return run


def control_bytes(node: Node) -> int:
    """Return the bytes of control messages that a process sent."""
    sizes = node.sent_by_kind.items()
    return sum(size for kind, size in sizes if kind not in REQUEST_MESSAGES)


def count_flows(world: MeasuredWorld) -> Counter[str]:
    """Return the number of flows that each upstream owns at the end."""
    placement = world.sides()[0].core.ownership.history.newest
    owners = (
        placement.compute(flow_key(world.size.service, *address))[0]
        for address in world.callers
    )
    return Counter(owner.id for owner in owners if owner is not None)
