"""Seeded simulation of decision cores with a clock, links and an object store.

Callers and upstreams are the stand-ins that the daemons are tested with. A run
with the same seed and the same faults repeats exactly.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

from fuchsiapin import messages
from fuchsiapin.coap.balancercore import make_balancer_core
from fuchsiapin.coap.sidecore import make_side_core
from fuchsiapin.coap.sideoptions import SideOptions
from fuchsiapin.codec import pack_message, unpack_message
from fuchsiapin.tests.standins.caller import Caller, Tally
from fuchsiapin.tests.standins.upstream import Upstream, UpstreamOptions
from measure.worldparts import (
    CallbackTransport,
    Links,
    Node,
    Store,
    WorldClock,
    WorldOptions,
)

__all__ = ["World"]

EPOCH_MS = 1_700_000_000_000
"""Start of simulated time."""
PEER_PORT = 7000
CALLER_PORT = 5683
WATCH_CHECK_MS = 500
"""Interval at which a watch checks whether the store is reachable."""


class World:
    """Processes of one or more services, on simulated time.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    options : WorldOptions, optional
        Number of processes, their zones and settings.
    links : Links, optional
        Delay, loss and cuts of the links.
    """

    def __init__(
        self,
        seed: int,
        options: WorldOptions | None = None,
        links: Links | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.options = options or WorldOptions()
        self.links = links or Links()
        self.now: float = EPOCH_MS
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        self.clock = WorldClock(self)
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[tuple[str, int], Node] = {}
        self.callers: dict[tuple[str, int], Caller] = {}
        self.tally = Tally()
        self.upstreams: list[Upstream] = []
        self.balancer_addresses: list[tuple[str, int]] = []
        # Called for each datagram to an upstream, before its delivery.
        self.on_upstream_datagram: Callable[[Node, bytes], None] = (
            lambda node, payload: None
        )
        for index in range(self.options.balancers):
            self.add_balancer(f"balancer-{index + 1}", self.zone_of(index))
        for service, sides in self.services().items():
            for index in range(sides):
                name = f"{service}-{index + 1}"
                self.add_side(name, self.zone_of(index), service=service)

    def services(self) -> dict[str, int]:
        """Return the services and their initial numbers of side processes."""
        return {self.options.service: self.options.sides, **dict(self.options.others)}

    def zone_of(self, index: int) -> str:
        """Return the availability zone of a process by its index."""
        return self.options.zones[index % len(self.options.zones)]

    # Time

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or now if that has passed."""
        self.event_number += 1
        heapq.heappush(self.events, (max(time, self.now), self.event_number, call))

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time and make the calls that are due."""
        end = self.now + duration_ms
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    # Processes

    def new_host(self, role: int) -> str:
        """Return an address that no process has had."""
        count = len(self.by_address)
        return f"10.{role}.{count // 250}.{count % 250 + 1}"

    def add_balancer(self, name: str, zone: str) -> Node:
        """Start a balancer."""
        host = self.new_host(1)
        me = messages.BalancerMember(name, int(self.now), host, PEER_PORT, zone, "live")
        seed = self.rng.getrandbits(32)
        core = make_balancer_core(me, seed, list(self.options.seeds))
        node = self.add_node(name, host, zone, core)
        self.balancer_addresses.append((host, CALLER_PORT))
        return node

    def restart_side(self, name: str) -> Node:
        """Kill a side process and start it again on the same VM."""
        old = self.kill(name)
        return self.add_side(name, old.zone, old.upstream, old.service, old.host)

    def add_side(
        self,
        name: str,
        zone: str,
        upstream: Upstream | None = None,
        service: str = "",
        host: str = "",
    ) -> Node:
        """Start a side process, with a new upstream unless one is given."""
        service = service or self.options.service
        host = host or self.new_host(2)
        me = messages.Member(name, int(self.now), host, PEER_PORT, zone, 2000, "live")
        options = SideOptions(
            self.options.slots,
            self.options.queue,
            100_000,
            self.options.deadline_ms,
            self.options.policy,
            seeds=list(self.options.seeds),
        )
        core = make_side_core(service, me, self.rng.getrandbits(32), options)
        node = self.add_node(name, host, zone, core, service)
        self.attach(node, upstream or self.make_upstream(name, service))
        return node

    def attach(self, node: Node, upstream: Upstream) -> None:
        """Connect a side process to its upstream."""
        node.upstream = upstream
        upstream.sink = lambda data, address: self.at(
            self.now, lambda: self.feed(node, messages.UpstreamDatagram(data))
        )

    def make_upstream(self, name: str, service: str) -> Upstream:
        """Start an upstream stand-in."""
        options = UpstreamOptions(
            name,
            service,
            self.options.slots,
            self.options.service_ms,
            self.options.board_ms,
            self.rng.getrandbits(32),
        )
        upstream = Upstream(options, self.clock)
        upstream.startProtocol()
        self.upstreams.append(upstream)
        return upstream

    def restart_upstream(self, node: Node, silent_ms: float) -> None:
        """Replace an upstream by one without its state, after a period of silence."""
        node.upstream.sink = lambda data, address: None
        node.upstream.datagramReceived = lambda data, address: None

        def begin() -> None:
            current = self.nodes.get(node.name, node)
            self.attach(current, self.make_upstream(node.name, node.service))

        self.at(self.now + silent_ms, begin)

    def add_node(
        self, name: str, host: str, zone: str, core: Any, service: str = ""
    ) -> Node:
        """Add a process to the world and schedule its start."""
        node = Node(name, host, zone, core, service)
        self.nodes[name] = node
        self.by_address[(host, PEER_PORT)] = node
        self.at(self.now + self.rng.uniform(0, 5), lambda: self.boot(node))
        return node

    def boot(self, node: Node) -> None:
        """Start a process."""
        self.feed(node, messages.Start())

    def kill(self, name: str) -> Node:
        """End a process without warning; its upstream keeps running."""
        node = self.nodes.pop(name)
        node.is_alive = False
        self.balancer_addresses = [
            address for address in self.balancer_addresses if address[0] != node.host
        ]
        return node

    def freeze(self, name: str) -> None:
        """Suspend a process; its events wait in its inbox."""
        self.nodes[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Resume a suspended process with the events that wait for it."""
        node = self.nodes[name]
        node.is_frozen = False
        waiting = list(node.inbox)
        node.inbox.clear()
        for event in waiting:
            self.feed(node, event)
        self.feed(node, messages.Wake())

    def stop(self, name: str) -> None:
        """Ask a process for a planned stop."""
        node = self.nodes[name]
        self.balancer_addresses = [
            address for address in self.balancer_addresses if address[0] != node.host
        ]
        self.feed(node, messages.StopRequested())

    def feed(self, node: Node, event: Any) -> None:
        """Pass an event to a process and carry out the resulting effects."""
        if not node.is_alive:
            return
        if node.is_frozen:
            if not isinstance(event, messages.Wake):
                node.inbox.append(event)
            return
        for effect in node.core.handle(int(self.now), event):
            EFFECTS[type(effect)](self, node, effect)
        self.schedule_wake(node)

    def schedule_wake(self, node: Node) -> None:
        """Schedule a wake-up of a process for its next timer."""
        due = node.core.next_due()
        if due is None or (node.wake_due is not None and node.wake_due <= due):
            return
        node.wake_due = due

        def wake() -> None:
            if node.wake_due == due:
                node.wake_due = None
                self.feed(node, messages.Wake())

        self.at(due, wake)

    # Links

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether datagrams from one process to another are dropped."""
        if not self.links.cuts:
            return False
        ends = [
            {name, self.nodes[name].zone} if name in self.nodes else {name}
            for name in (source, target)
        ]
        return any(one in ends[0] and two in ends[1] for one, two in self.links.cuts)

    def deliver(
        self, source: str, target: str, base: float, call: Callable[[], None]
    ) -> None:
        """Deliver a datagram after a delay; it may be lost or delivered twice."""
        if self.is_cut(source, target):
            return
        copies = 1
        if self.links.loss and self.rng.random() < self.links.loss:
            copies = 0
        elif self.links.duplicate and self.rng.random() < self.links.duplicate:
            copies = 2
        for _ in range(copies):
            self.at(self.now + self.links.delay(self.rng, base), call)

    def send_peer(self, node: Node, effect: messages.SendPeer) -> None:
        """Deliver a message to another process, encoded and decoded."""
        target = self.by_address.get((effect.host, effect.port))
        if target is None:
            return
        node.sequence += 1
        data = pack_message(node.name, 0, node.sequence, effect.message)
        node.sent_bytes += len(data)
        node.sent_by_kind[type(effect.message)] += len(data)
        base = 0.3 if node.zone == target.zone else self.links.delay_ms

        def arrive() -> None:
            sender, incarnation, _, message = unpack_message(data)
            self.feed(target, messages.PeerMessage(sender, incarnation, message))

        self.deliver(node.name, target.name, base, arrive)

    def send_caller(self, node: Node, effect: messages.SendCaller) -> None:
        """Deliver a datagram to a caller."""
        caller = self.callers.get((effect.host, effect.port))
        if caller is not None:
            self.deliver(
                node.name,
                "caller",
                self.links.caller_ms,
                lambda: caller.datagramReceived(effect.payload, (node.host, 0)),
            )

    def send_upstream(self, node: Node, effect: messages.SendUpstream) -> None:
        """Deliver a datagram to the upstream on the same VM."""
        self.on_upstream_datagram(node, effect.payload)
        address = (node.host, CALLER_PORT)
        self.at(
            self.now, lambda: node.upstream.datagramReceived(effect.payload, address)
        )

    def add_caller(self, service: str = "") -> Caller:
        """Add a caller, which is one flow."""
        service = service or self.options.service
        rng = random.Random(self.rng.getrandbits(32))
        address = (f"10.9.{len(self.callers) // 250}.{len(self.callers) % 250}", 4000)
        caller = Caller(
            service,
            self.balancer_addresses,
            self.tally,
            self.clock,
            rng,
        )
        caller.transport = CallbackTransport(
            lambda data, target: self.call_balancer(service, address, data, target)
        )
        caller.send_datagram = lambda data: self.call_balancer(
            service, address, data, rng.choice(self.balancer_addresses or [("", 0)])
        )
        self.callers[address] = caller
        return caller

    def call_balancer(
        self,
        service: str,
        source: tuple[str, int],
        data: bytes,
        target: tuple[str, int],
    ) -> None:
        """Deliver a caller's datagram to a balancer."""
        node = self.by_address.get((target[0], PEER_PORT))
        if node is None:
            return
        event = messages.CallerDatagram(service, source[0], source[1], data)
        self.deliver(
            "caller", node.name, self.links.caller_ms, lambda: self.feed(node, event)
        )

    # Object store

    def is_store_reachable(self, node: Node) -> bool:
        """Return whether a process can reach the store."""
        return not self.store.is_down and node.name not in self.store.unreachable

    def write_object(self, node: Node, effect: messages.WriteObject) -> None:
        """Carry out a conditional update and report its result to the process."""

        def write() -> None:
            outcome = "unreachable"
            if self.is_store_reachable(node):
                outcome = self.put(effect.key, effect.version, effect.value)
                if outcome == "done" and self.store.lose_answers:
                    self.store.lose_answers -= 1
                    outcome = "unreachable"
            event = messages.WriteFinished(effect.key, effect.change_id, outcome)
            self.at(
                self.now + self.links.delay(self.rng, self.store.delay_ms),
                lambda: self.feed(node, event),
            )

        self.at(self.now + self.links.delay(self.rng, self.store.delay_ms), write)

    def put(self, key: str, version: int, value: bytes) -> str:
        """Replace an object if its version is the given one; return the result."""
        self.store.writes += 1
        if self.store.objects.get(key, (0, b""))[0] != version:
            return "conflict"
        self.store.revision += 1
        self.store.objects[key] = (self.store.revision, value)
        for node in list(self.nodes.values()):
            if node.is_watching:
                self.send_object(node, key)
        return "done"

    def send_object(self, node: Node, key: str) -> None:
        """Send an object to a process through its watch."""
        version, value = self.store.objects[key]

        def notify() -> None:
            if self.is_store_reachable(node):
                self.feed(node, messages.ObjectSeen(key, version, value))
            else:
                node.watch_works = None

        self.at(self.now + self.links.delay(self.rng, self.store.delay_ms), notify)

    def resync(self, node: Node) -> None:
        """Send all objects to a process, as a new watch does."""
        if self.is_store_reachable(node):
            for key in self.store.objects:
                self.send_object(node, key)

    def set_store(self, is_down: bool) -> None:
        """Begin or end an outage of the store."""
        self.store.is_down = is_down

    def watch_objects(self, node: Node, effect: messages.WatchObjects) -> None:
        """Start or stop a process's watch of all objects."""
        if effect.is_wanted and not node.is_watching:
            node.watch_works = None
            self.at(self.now, lambda: self.check_watch(node))
        node.is_watching = effect.is_wanted

    def check_watch(self, node: Node) -> None:
        """Notify a process if its watch breaks or recovers, and check again later."""
        if not node.is_watching or not node.is_alive:
            return
        is_reachable = self.is_store_reachable(node)
        if is_reachable != node.watch_works:
            node.watch_works = is_reachable
            self.resync(node)
            self.feed(node, messages.WatchState(is_reachable))
        self.at(self.now + WATCH_CHECK_MS, lambda: self.check_watch(node))

    def read_object(self, node: Node, effect: messages.ReadObject) -> None:
        """Answer a read, unless the store is unreachable."""

        def answer() -> None:
            if self.is_store_reachable(node):
                self.store.reads += 1
                version, value = self.store.objects.get(effect.key, (0, b""))
                event = messages.ObjectSeen(effect.key, version, value)
                self.feed(node, event)

        self.at(self.now + 2 * self.links.delay(self.rng, self.store.delay_ms), answer)

    def report(self, node: Node, effect: messages.Report) -> None:
        """Store a reported event."""
        node.reports.append(effect)

    def finish(self, node: Node, effect: messages.Finished) -> None:
        """Remove a process that has stopped."""
        self.nodes.pop(node.name, None)
        node.is_alive = False


EFFECTS: dict[type, Callable[[World, Node, Any], None]] = {
    messages.SendPeer: World.send_peer,
    messages.SendCaller: World.send_caller,
    messages.SendUpstream: World.send_upstream,
    messages.WriteObject: World.write_object,
    messages.ReadObject: World.read_object,
    messages.WatchObjects: World.watch_objects,
    messages.Report: World.report,
    messages.Finished: World.finish,
}
