"""A simulated deployment with late processes, faults and changes, drawn from a seed."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from fuchsiapin.flows.effects import ToCaller
from fuchsiapin.flows.packets import flow_name
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.tests.flowactors import SERVICE, Caller, Upstream, make_route
from fuchsiapin.tests.flowworld import SETTLE_MS, FlowWorld

__all__ = ["ACTIONS", "ChaosWorld", "WrongReset"]

OPENING_RETRANSMISSIONS_MS = (200, 600)
"""Times after the first opening packet at which a caller repeats it."""
REQUEST_RETRANSMISSIONS_MS = (200, 600, 1_400)
"""Times after a request at which a caller repeats it: waits of 200, 400, 800 ms."""
BACKLOG_BATCH = 3
"""Waiting inputs that a process handles in one ms after a stall."""
END_MS = 2_500
"""Time after the last action in which callers go on."""


@dataclass(frozen=True)
class WrongReset:
    """A reset of a flow that its upstream holds.

    Parameters
    ----------
    at : int
        Time in ms.
    host : str
        Address of the process that sent it.
    reason : str
        Reason that the process reported.
    flow, holder : str
        Name of the flow and address of its upstream.
    opens : bool
        Whether an opening packet caused it.
    backlog : int
        Inputs that waited at the process.
    is_side_sound : bool
        Whether the upstream's side process was up and not late.
    """

    at: int
    host: str
    reason: str
    flow: str
    holder: str
    opens: bool
    backlog: int
    is_side_sound: bool


@dataclass
class Inbox:
    """Inputs of one process that wait because it, or its link, is late.

    Attributes
    ----------
    waiting : deque
        The inputs, in the order of their arrival.
    stalled_until : int
        Time until which none is handled, in ms.
    interval_ms : int
        Time that each input takes, 0 for `BACKLOG_BATCH` inputs in one ms.
    is_process : bool
        Whether the process itself is late, with its timers and the inputs from its
        own VM; otherwise its link.
    is_draining : bool
        Whether the next round is scheduled.
    """

    waiting: deque[Callable[[], None]] = field(default_factory=deque)
    stalled_until: int = 0
    interval_ms: int = 0
    is_process: bool = False
    is_draining: bool = False


class ChaosUpstream(Upstream):
    """An upstream that records which flows are open, and whether it was told to leave.

    Attributes
    ----------
    open_flows : set of bytes
        Flows whose caller sent a packet after this incarnation's acceptance.
    is_leaving : bool
        Whether its side process was told that it leaves.
    """

    def restart(self) -> None:
        """Start a new incarnation, without any state of earlier ones."""
        super().restart()
        self.open_flows: set[bytes] = set()
        self.is_leaving = False

    def receive(self, data: bytes) -> None:
        """Handle a packet from a caller."""
        packet = self.world.packets.read(data, False)
        first = self.flows.get(packet.flow)
        is_held = self.is_up and first is not None and not packet.opens
        if is_held and abs(packet.acknowledged - first) < 100_000:
            self.open_flows.add(packet.flow)
        super().receive(data)


class ChaosCaller(Caller):
    """A caller that retransmits, pauses, and sends each packet to some balancer."""

    def start(self) -> None:
        """Open the flow, and repeat the opening packet while it isn't accepted."""
        self.open(self.world.pick_balancer(self))
        for number, delay in enumerate(OPENING_RETRANSMISSIONS_MS, 1):
            self.world.after(delay, partial(self.repeat_opening, number))

    def repeat_opening(self, number: int) -> None:
        """Repeat the opening packet if the flow was neither accepted nor reset."""
        if not self.is_open and not self.resets:
            self.open(self.world.pick_balancer(self), number)

    def receive(self, data: bytes) -> None:
        """Handle a packet, and schedule the next request."""
        was_open, answers = self.is_open, self.answers
        super().receive(data)
        if self.is_open and not was_open and not self.resets:
            self.world.after(self.world.plan.choice((0, 1, 5, 300)), self.send_request)
        elif self.is_open and self.answers > answers:
            pause = self.world.plan.choice((20, 100, 400, 1_500, 3_000))
            self.world.after(pause, partial(self.send_request, self.answers))

    def send_request(self, answers: int = 0) -> None:
        """Send the next request, unless one was sent since that answer."""
        if not self.is_open or self.resets or answers != self.answers:
            return
        self.request(self.world.pick_balancer(self))
        for delay in REQUEST_RETRANSMISSIONS_MS:
            self.world.after(delay, partial(self.repeat_request, answers, self.seq))
        self.world.after(2_500, partial(self.give_up, answers, self.seq))

    def repeat_request(self, answers: int, sequence: int) -> None:
        """Repeat a request that isn't answered yet."""
        if self.is_open and (self.answers, self.seq) == (answers, sequence):
            self.retransmit(self.world.pick_balancer(self))

    def give_up(self, answers: int, sequence: int) -> None:
        """Send another request on the flow if the last one wasn't answered."""
        if (self.answers, self.seq) == (answers, sequence):
            self.send_request(answers)


class ChaosWorld(FlowWorld):
    """A world with callers, and with actions at times drawn from a seed.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    kinds : tuple of str
        Names of the actions to draw from, all in `ACTIONS` if empty.
    actions, span_ms : int
        Number of actions, and the time in which they begin.
    callers : int
        Number of callers that open their flows during that time.
    **options
        Options of `FlowWorld`.

    Attributes
    ----------
    plan : random.Random
        Random numbers of actions and callers; the processes draw from another
        source, so that a plan hardly depends on their code.
    wrong_resets : list of WrongReset
        Resets of open flows whose upstream holds them.
    log : list of tuple
        Time, address, event number and fields of all events; actions have the
        number 0.
    """

    def __init__(
        self,
        seed: int,
        kinds: tuple[str, ...] = (),
        actions: int = 14,
        span_ms: int = 5_000,
        callers: int = 60,
        **options: Any,
    ) -> None:
        self.plan = random.Random(f"plan {seed}")
        self.inboxes: dict[str, Inbox] = {}
        self.wrong_resets: list[WrongReset] = []
        self.log: list[tuple[int, str, int, dict[str, Any]]] = []
        self.left_hosts: list[str] = []
        self.rotation: list[str] = []
        self.flow_names: dict[str, bytes] = {}
        defaults = {
            "balancers": self.plan.choice((2, 3, 5)),
            "members": self.plan.choice((3, 6, 12)),
            "slots": self.plan.choice((1, 2, 4)),
            "routes": (make_route(), make_route(kind="unsafe", port=444)),
        }
        super().__init__(seed, **(defaults | options))
        self.rotation = list(self.balancer_hosts)
        self.run(SETTLE_MS)
        for _ in range(callers):
            self.after(self.plan.randrange(span_ms), self.start_caller)
        names = kinds or tuple(ACTIONS)
        for _ in range(actions):
            action = ACTIONS[self.plan.choice(names)]
            self.after(self.plan.randrange(span_ms), partial(action, self))
        self.duration = span_ms + END_MS

    def run_all(self) -> list[WrongReset]:
        """Run all actions; return the wrong resets."""
        self.run(self.duration)
        return self.wrong_resets

    # Processes and callers

    def add_member(self, host: str, service: str, slots: int, service_ms: int) -> None:
        """Start an upstream and its side process."""
        self.upstreams[host] = ChaosUpstream(self, host, service, slots, service_ms)
        self.start_side(host)

    def kill(self, host: str) -> None:
        """Kill a process; what waits in it is lost, what waits on its link isn't."""
        super().kill(host)
        inbox = self.inbox(host)
        if inbox.is_process:
            inbox.waiting.clear()
            inbox.stalled_until = inbox.interval_ms = 0

    def start_caller(self, route: FlowRoute | None = None) -> None:
        """Let a new caller open its flow."""
        route = route or self.plan.choice(self.routes)
        caller = ChaosCaller(self, len(self.callers) + 1, route)
        self.callers[caller.flow] = caller
        self.flow_names[flow_name(caller.flow)] = caller.flow
        caller.start()

    def pick_balancer(self, caller: Caller) -> str:
        """Return the balancer that the next packet of a caller arrives at."""
        if not self.rotation or self.plan.random() < 0.3:
            return self.plan.choice(self.rotation or self.balancer_hosts)
        return self.rotation[sum(caller.flow) % len(self.rotation)]

    # Late processes

    def inbox(self, host: str) -> Inbox:
        """Return the inbox of the process at an address."""
        return self.inboxes.setdefault(host, Inbox())

    def enter(self, host: str, handle: Callable[[], None], is_local: bool) -> None:
        """Let a process handle an input, after those that wait."""
        inbox = self.inbox(host)
        is_late = self.now < inbox.stalled_until or inbox.interval_ms or inbox.waiting
        if not is_late or (is_local and not inbox.is_process):
            handle()
            return
        inbox.waiting.append(handle)
        self.schedule_drain(host, max(inbox.stalled_until - self.now, 1))

    def schedule_drain(self, host: str, delay: int) -> None:
        """Schedule the next round of waiting inputs, unless it is scheduled."""
        inbox = self.inbox(host)
        if not inbox.is_draining:
            inbox.is_draining = True
            self.after(delay, partial(self.drain, host))

    def drain(self, host: str) -> None:
        """Handle the next waiting inputs."""
        inbox = self.inbox(host)
        inbox.is_draining = False
        if self.now < inbox.stalled_until:
            self.schedule_drain(host, inbox.stalled_until - self.now)
            return
        for _ in range(1 if inbox.interval_ms else BACKLOG_BATCH):
            if inbox.waiting:
                inbox.waiting.popleft()()
        if inbox.waiting:
            self.schedule_drain(host, inbox.interval_ms or 1)

    def stall(self, host: str, duration: int, is_process: bool) -> None:
        """Let a process, or its link, stand still."""
        self.note("stall", host=host, ms=duration, is_process=is_process)
        inbox = self.inbox(host)
        is_stalled_process = inbox.is_process and self.now < inbox.stalled_until
        inbox.is_process = is_process or is_stalled_process
        inbox.stalled_until = max(inbox.stalled_until, self.now + duration)
        self.schedule_drain(host, duration)

    def slow(self, host: str, duration: int, interval_ms: int) -> None:
        """Let each input of a process take time."""
        self.note("slow", host=host, ms=duration, interval_ms=interval_ms)
        inbox = self.inbox(host)
        inbox.interval_ms = interval_ms

        def end() -> None:
            inbox.interval_ms = 0

        self.after(duration, end)

    def runs_timers(self, host: str) -> bool:
        """Return whether the process at an address runs its timers now."""
        inbox = self.inbox(host)
        return not inbox.is_process or self.now >= inbox.stalled_until

    # Check

    def note(self, action: str, **fields: Any) -> None:
        """Record an action in the log."""
        self.log.append((self.now, action, 0, fields))

    def reporter(self, host: str) -> Callable[..., None]:
        """Return the function to which the process at an address reports events."""
        return partial(self.report_from, host)

    def report_from(self, sender: str, number: int, /, **fields: Any) -> None:
        """Record an event, and check it if it is a reset."""
        self.report(number, **fields)
        self.log.append((self.now, sender, number, fields))
        if number == 6103:
            flow = self.flow_names.get(fields["flow"])
            if flow is not None:
                self.check_reset(sender, flow, fields["reason"], fields["opens"])

    def execute(self, host: str, effect: Any) -> None:
        """Execute one effect, and check it if it is a reset by a side process."""
        if isinstance(effect, ToCaller) and host in self.upstreams:
            packet = self.packets.read(effect.data, True)
            if packet.resets:
                self.check_reset(host, packet.flow, "port closed", False)
        super().execute(host, effect)

    def check_reset(self, host: str, flow: bytes, reason: str, opens: bool) -> None:
        """Record a reset if the flow is open and its upstream holds it.

        Resets of flows whose route was removed aren't wrong.
        """
        if not any(route.address == flow[:6] for route in self.routes):
            return
        for holder, upstream in self.upstreams.items():
            is_held = upstream.is_up and not upstream.is_leaving
            if is_held and flow in upstream.open_flows:
                inbox = self.inbox(holder)
                is_late = self.now < inbox.stalled_until or bool(inbox.waiting)
                self.wrong_resets.append(
                    WrongReset(
                        self.now,
                        host,
                        reason,
                        flow_name(flow),
                        holder,
                        opens,
                        len(self.inbox(host).waiting),
                        self.processes[holder].is_up and not is_late,
                    )
                )


# Actions. Each draws its target and its times from the world's plan.


def live_balancers(world: ChaosWorld) -> list[str]:
    """Return the addresses of the balancers that run."""
    return [host for host in world.balancer_hosts if world.processes[host].is_up]


def live_members(world: ChaosWorld) -> list[str]:
    """Return the addresses of upstreams that run beside a running side process."""
    return [
        host
        for host, upstream in world.upstreams.items()
        if upstream.is_up and not upstream.is_draining and world.processes[host].is_up
    ]


def stall_balancers(world: ChaosWorld) -> None:
    """Stall one or several balancers, their links or the processes."""
    hosts = live_balancers(world)
    is_process = world.plan.random() < 0.5
    for host in world.plan.sample(hosts, min(len(hosts), world.plan.choice((1, 1, 2)))):
        world.stall(host, world.plan.randint(200, 3_000), is_process)


def slow_balancer(world: ChaosWorld) -> None:
    """Let each input of a balancer take some ms."""
    hosts = live_balancers(world)
    if hosts:
        duration = world.plan.randint(300, 3_000)
        world.slow(world.plan.choice(hosts), duration, world.plan.randint(2, 15))


def stall_side(world: ChaosWorld) -> None:
    """Stall a side process or its link."""
    host = world.plan.choice(list(world.upstreams))
    world.stall(host, world.plan.randint(200, 3_000), world.plan.random() < 0.5)


def add_balancer(world: ChaosWorld) -> None:
    """Start another balancer, which is in the rotation soon."""
    host = f"10.0.0.{len(world.balancer_hosts) + 1}"
    world.note("add balancer", host=host)
    world.balancer_hosts.append(host)
    world.start_balancer(host)
    world.after(world.plan.randint(50, 800), lambda: join_rotation(world, host))


def join_rotation(world: ChaosWorld, host: str) -> None:
    """Put a balancer that is ready into the rotation."""
    process = world.processes[host]
    if host in world.rotation or not process.is_up:
        return
    if process.core.not_ready(world.now):
        world.after(100, lambda: join_rotation(world, host))
        return
    world.rotation.append(host)


def leave_rotation(world: ChaosWorld, host: str) -> None:
    """Take a balancer out of the rotation."""
    if host in world.rotation:
        world.rotation.remove(host)


def restart_balancer(world: ChaosWorld) -> None:
    """Stop a balancer, planned or not, and start it again."""
    hosts = live_balancers(world)
    if len(hosts) < 2:
        return
    host = world.plan.choice(hosts)
    is_planned = world.plan.random() < 0.5
    world.note("restart balancer", host=host, is_planned=is_planned)
    down_at = 0
    if is_planned:
        world.processes[host].core.stop(world.now)
        world.run_effects(host)
        down_at = world.plan.randint(300, 1_000)
    world.after(
        world.plan.randint(0, 600 if is_planned else 1_500),
        lambda: leave_rotation(world, host),
    )

    def start() -> None:
        world.start_balancer(host)
        join_rotation(world, host)

    world.after(down_at, lambda: world.kill(host))
    world.after(down_at + world.plan.randint(100, 2_000), start)


def restart_side(world: ChaosWorld) -> None:
    """Stop a side process beside its upstream, planned or not, and start it again."""
    hosts = live_members(world)
    if not hosts:
        return
    host = world.plan.choice(hosts)
    is_planned = world.plan.random() < 0.5
    world.note("restart side", host=host, is_planned=is_planned)
    down_at = 0
    if is_planned:
        world.processes[host].core.stop(world.now)
        world.run_effects(host)
        down_at = world.plan.randint(100, 500)
    world.after(down_at, lambda: world.kill(host))
    world.after(
        down_at + world.plan.randint(300, 2_500), lambda: world.start_side(host)
    )


def release(world: ChaosWorld) -> None:
    """Start an upstream on a new VM, and let another one drain and leave."""
    hosts = live_members(world)
    if not hosts:
        return
    join(world)
    old = world.plan.choice(hosts)
    world.after(world.plan.randint(0, 800), lambda: drain_upstream(world, old))


def drain_upstream(world: ChaosWorld, host: str) -> None:
    """Let an upstream drain, and leave some time later."""
    upstream = world.upstreams[host]
    if not upstream.is_up or not world.processes[host].is_up:
        return
    world.note("drain", host=host)
    upstream.is_draining = True
    world.send_heartbeat(host, upstream.next_heartbeat())
    delay = world.plan.randint(100, 1_500)
    world.after(delay, lambda: leave(world, host, upstream))


def leave(world: ChaosWorld, host: str, upstream: ChaosUpstream) -> None:
    """Let an upstream leave, and its VM end."""
    if world.upstreams[host] is not upstream:
        return
    world.note("leave", host=host)
    upstream.is_leaving = True
    if world.processes[host].is_up:
        world.processes[host].core.on_leave(world.now, upstream.id)
        world.run_effects(host)

    def end() -> None:
        upstream.is_up = False
        world.kill(host)
        world.left_hosts.append(host)

    world.after(world.plan.randint(1, 100), end)


def join(world: ChaosWorld, host: str = "") -> None:
    """Start an upstream on a new VM, or at a former address."""
    host = host or f"10.0.2.{len(world.upstreams) + 1}"
    service = world.plan.choice(sorted({u.service for u in world.upstreams.values()}))
    world.note("join", host=host, service=service)
    world.add_member(host, service, world.plan.choice((1, 2, 8)), 30)


def reuse_address(world: ChaosWorld) -> None:
    """Let an upstream leave, and another one start at its address soon after."""
    hosts = live_members(world)
    if len(hosts) < 2:
        return
    host = world.plan.choice(hosts)
    drain_upstream(world, host)
    service = world.plan.choice((SERVICE, "other"))

    def start() -> None:
        if host in world.left_hosts:
            world.left_hosts.remove(host)
            world.note("reuse", host=host, service=service)
            world.add_member(host, service, 8, 30)

    world.after(world.plan.randint(300, 3_000), start)


def crash_upstream(world: ChaosWorld) -> None:
    """Let an upstream crash, and start a new incarnation."""
    hosts = live_members(world)
    if not hosts:
        return
    host = world.plan.choice(hosts)
    upstream = world.upstreams[host]
    # How long the first heartbeat comes after the port is open.
    delay = world.plan.choice((0, 2, 50, 300))
    world.note("crash", host=host, heartbeat_ms=delay)
    upstream.is_up = False

    def start() -> None:
        if world.upstreams[host] is upstream and not upstream.is_leaving:
            upstream.restart()
            upstream.is_up = True
            world.note("upstream restarted", host=host)
            world.after(delay, beat)

    def beat() -> None:
        if upstream.is_up:
            world.send_heartbeat(host, upstream.next_heartbeat())

    world.after(world.plan.randint(200, 2_500), start)


def fill_upstreams(world: ChaosWorld) -> None:
    """Let most upstreams accept no more flows for some time."""
    hosts = list(world.upstreams)
    world.note("fill")
    for host in world.plan.sample(hosts, max(1, len(hosts) - 1)):
        upstream = world.upstreams[host]
        upstream.capacity = 0
        world.after(
            world.plan.randint(300, 1_500), partial(setattr, upstream, "capacity", 100)
        )


def lose_datagrams(world: ChaosWorld) -> None:
    """Let links lose datagrams for some time."""
    world.loss_rate = world.plan.choice((0.02, 0.1, 0.3))
    world.note("loss", rate=world.loss_rate)
    world.after(
        world.plan.randint(300, 2_000), partial(setattr, world, "loss_rate", 0.0)
    )


def cut_link(world: ChaosWorld) -> None:
    """Cut the links between two processes, or one of the two directions."""
    source = world.plan.choice(world.balancer_hosts)
    others = [host for host in world.balancer_hosts if host != source]
    target = world.plan.choice([*others, *world.upstreams, "store"])
    pairs = {(source, target), (target, source)}
    if world.plan.random() < 0.4:
        pairs = {world.plan.choice(sorted(pairs))}
    world.note("cut", pairs=sorted(pairs))
    world.cut_links |= pairs

    def mend() -> None:
        world.cut_links -= pairs

    world.after(world.plan.randint(300, 3_000), mend)


def stop_store(world: ChaosWorld) -> None:
    """Let the store refuse calls, or leave them unanswered, for some time."""
    name, value = world.plan.choice((("is_up", False), ("is_silent", True)))
    world.note("store", **{name: value})
    setattr(world.store.state, name, value)
    world.after(
        world.plan.randint(500, 4_000),
        partial(setattr, world.store.state, name, not value),
    )


def add_route(world: ChaosWorld) -> None:
    """Add a route, and open flows on it at once."""
    service = world.plan.choice(sorted({u.service for u in world.upstreams.values()}))
    kind = world.plan.choice(("safe", "unsafe"))
    route = make_route(service, kind, 450 + len(world.routes))
    world.routes = (*world.routes, route)
    world.note("add route", port=450 + len(world.routes) - 1, service=service)
    world.configure(len(world.routes))
    for delay in (5, 20, 50, 100, 200, 400):
        world.after(delay, partial(world.start_caller, route))


ACTIONS: dict[str, Callable[[ChaosWorld], None]] = {
    "stall balancers": stall_balancers,
    "slow balancer": slow_balancer,
    "stall side": stall_side,
    "add balancer": add_balancer,
    "restart balancer": restart_balancer,
    "restart side": restart_side,
    "release": release,
    "join": join,
    "reuse address": reuse_address,
    "crash upstream": crash_upstream,
    "fill upstreams": fill_upstreams,
    "lose datagrams": lose_datagrams,
    "cut link": cut_link,
    "stop store": stop_store,
    "add route": add_route,
}
