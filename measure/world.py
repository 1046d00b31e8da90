"""Decision cores joined by a seeded, simulated clock, links and object store.

It drives the stand-ins that the daemons are tested with; a fault and its seed replay.
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
from measure.worldparts import Links, Node, Store, Wire, WorldClock, WorldOptions

__all__ = ["World"]

EPOCH_MS = 1_700_000_000_000
"""Start of simulated time."""
PEER_PORT = 7000
CALLER_PORT = 5683
WATCH_CHECK_MS = 500


class World:
    """All processes of one service, on simulated time.

    Parameters
    ----------
    seed : int
        Seed of everything that is drawn.
    options : WorldOptions, optional
        Size and shape.
    links : Links, optional
        Links.
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
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.clock = WorldClock(self)
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[tuple[str, int], Node] = {}
        self.callers: dict[tuple[str, int], Caller] = {}
        self.tally = Tally()
        self.upstreams: list[Upstream] = []
        self.balancer_addresses: list[tuple[str, int]] = []
        self.tap: Callable[[Node, bytes], None] = lambda node, payload: None
        for index in range(self.options.balancers):
            self.add_balancer(f"balancer-{index + 1}", self.zone_of(index))
        for service, sides in self.services().items():
            for index in range(sides):
                name = f"{service}-{index + 1}"
                self.add_side(name, self.zone_of(index), service=service)

    def services(self) -> dict[str, int]:
        """Return the services and their first number of side processes."""
        return {self.options.service: self.options.sides, **dict(self.options.others)}

    def zone_of(self, index: int) -> str:
        """Return the availability zone of an index."""
        return self.options.zones[index % len(self.options.zones)]

    # Time

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call at a time."""
        self.count += 1
        heapq.heappush(self.heap, (max(time, self.now), self.count, call))

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        end = self.now + duration_ms
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end

    # Processes

    def next_host(self, role: int) -> str:
        """Return an address that no process had before."""
        count = len(self.by_address)
        return f"10.{role}.{count // 250}.{count % 250 + 1}"

    def add_balancer(self, name: str, zone: str) -> Node:
        """Start a balancer."""
        host = self.next_host(1)
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
        """Start a side process, beside a new upstream unless one is given."""
        service = service or self.options.service
        host = host or self.next_host(2)
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
        """Join a side process and its upstream."""
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
        """Replace an upstream by one that remembers nothing, after a silence."""
        node.upstream.sink = lambda data, address: None
        node.upstream.datagramReceived = lambda data, address: None

        def begin() -> None:
            current = self.nodes.get(node.name, node)
            self.attach(current, self.make_upstream(node.name, node.service))

        self.at(self.now + silent_ms, begin)

    def add_node(
        self, name: str, host: str, zone: str, core: Any, service: str = ""
    ) -> Node:
        """Join a process to the world and start it."""
        node = Node(name, host, zone, core, service)
        self.nodes[name] = node
        self.by_address[(host, PEER_PORT)] = node
        self.at(self.now + self.rng.uniform(0, 5), lambda: self.boot(node))
        return node

    def boot(self, node: Node) -> None:
        """Start a process and let it see the store."""
        self.feed(node, messages.Start())

    def kill(self, name: str) -> Node:
        """End a process without warning; its upstream lives on."""
        node = self.nodes.pop(name)
        node.is_alive = False
        self.balancer_addresses = [
            address for address in self.balancer_addresses if address[0] != node.host
        ]
        return node

    def freeze(self, name: str) -> None:
        """Pause a process; what comes for it waits."""
        self.nodes[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
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
        """Give an event to a process and carry out the effects."""
        if not node.is_alive:
            return
        if node.is_frozen:
            if not isinstance(event, messages.Wake):
                node.inbox.append(event)
            return
        for effect in node.core.handle(int(self.now), event):
            EFFECTS[type(effect)](self, node, effect)
        self.plan_wake(node)

    def plan_wake(self, node: Node) -> None:
        """Wake a process when its next timer is due."""
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
        """Return whether datagrams between two processes are lost."""
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
        """Carry a datagram, or lose or repeat it."""
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
        """Carry a message between processes, by its wire form."""
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
        """Carry a datagram to a caller."""
        caller = self.callers.get((effect.host, effect.port))
        if caller is not None:
            self.deliver(
                node.name,
                "caller",
                self.links.caller_ms,
                lambda: caller.datagramReceived(effect.payload, (node.host, 0)),
            )

    def send_upstream(self, node: Node, effect: messages.SendUpstream) -> None:
        """Carry a datagram to the upstream of the same VM."""
        self.tap(node, effect.payload)
        address = (node.host, CALLER_PORT)
        self.at(
            self.now, lambda: node.upstream.datagramReceived(effect.payload, address)
        )

    def add_caller(self, service: str = "") -> Caller:
        """Add a caller with a flow of its own."""
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
        caller.transport = Wire(
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
        """Carry a caller's datagram to a balancer."""
        node = self.by_address.get((target[0], PEER_PORT))
        if node is None:
            return
        event = messages.CallerDatagram(service, source[0], source[1], data)
        self.deliver(
            "caller", node.name, self.links.caller_ms, lambda: self.feed(node, event)
        )

    # Object store

    def is_store_reachable(self, node: Node) -> bool:
        """Return whether a process reaches the store."""
        return not self.store.is_down and node.name not in self.store.unreachable

    def write_object(self, node: Node, effect: messages.WriteObject) -> None:
        """Carry out a conditional update."""

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
        """Replace one version of an object."""
        self.store.writes += 1
        if self.store.objects.get(key, (0, b""))[0] != version:
            return "conflict"
        self.store.revision += 1
        self.store.objects[key] = (self.store.revision, value)
        for node in list(self.nodes.values()):
            if node.is_watching:
                self.push(node, key)
        return "done"

    def push(self, node: Node, key: str) -> None:
        """Let a process see an object by its watch."""
        version, value = self.store.objects[key]

        def see() -> None:
            if self.is_store_reachable(node):
                self.feed(node, messages.ObjectSeen(key, version, value))
            else:
                node.watch_answers = None

        self.at(self.now + self.links.delay(self.rng, self.store.delay_ms), see)

    def resync(self, node: Node) -> None:
        """Let a process see all objects, as a new watch does."""
        if self.is_store_reachable(node):
            for key in self.store.objects:
                self.push(node, key)

    def set_store(self, is_down: bool) -> None:
        """Begin or end an outage of the store."""
        self.store.is_down = is_down

    def watch_objects(self, node: Node, effect: messages.WatchObjects) -> None:
        """Begin or end a watch of all objects."""
        if effect.is_wanted and not node.is_watching:
            node.watch_answers = None
            self.at(self.now, lambda: self.keep_watch(node))
        node.is_watching = effect.is_wanted

    def keep_watch(self, node: Node) -> None:
        """Tell a process when its watch breaks or works, and look again later."""
        if not node.is_watching or not node.is_alive:
            return
        is_reachable = self.is_store_reachable(node)
        if is_reachable != node.watch_answers:
            node.watch_answers = is_reachable
            self.resync(node)
            self.feed(node, messages.WatchState(is_reachable))
        self.at(self.now + WATCH_CHECK_MS, lambda: self.keep_watch(node))

    def read_object(self, node: Node, effect: messages.ReadObject) -> None:
        """Answer a read, or stay silent."""

        def answer() -> None:
            if self.is_store_reachable(node):
                self.store.reads += 1
                version, value = self.store.objects.get(effect.key, (0, b""))
                event = messages.ObjectSeen(effect.key, version, value)
                self.feed(node, event)

        self.at(self.now + 2 * self.links.delay(self.rng, self.store.delay_ms), answer)

    def report(self, node: Node, effect: messages.Report) -> None:
        """Keep a numbered event."""
        node.reports.append(effect)

    def finish(self, node: Node, effect: messages.Finished) -> None:
        """End a process that has finished."""
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
