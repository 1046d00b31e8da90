"""A simulated deployment with late processes, faults and changes, drawn from a seed."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from fuchsiapin.flows.effects import ToCaller, ToUpstream
from fuchsiapin.flows.packets import flow_name
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.tests.chaosactions import actions as registered_actions
from fuchsiapin.tests.chaosactions import restart_under_id
from fuchsiapin.tests.evacuationchaos import Evacuations, WrongFlow
from fuchsiapin.tests.flowactors import Caller, Upstream, make_route
from fuchsiapin.tests.flowworld import SETTLE_MS, FlowWorld

__all__ = ["ChaosWorld", "WrongReset"]

OPENING_RETRANSMISSIONS_MS = (200, 600)
"""Times after the first opening packet at which a caller repeats it."""
REQUEST_RETRANSMISSIONS_MS = (200, 600, 1_400)
"""Times after a request at which a caller repeats it: waits of 200, 400, 800 ms."""
BACKLOG_BATCH = 3
"""Waiting inputs that a process handles in one ms after a stall."""
COPY_MS = 500
"""Interval of the copies of the store's contents."""
ZONES = ("a", "b", "c")
"""Availability zones of a world with evacuations."""
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
        """Handle a packet, and schedule the next request.

        A reset ends the attempt; a late acceptance doesn't open its flow again.
        """
        if self.resets:
            return
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
        Names of the actions to draw from, all registered ones if empty.
    actions, span_ms : int
        Number of actions, and the time in which they begin.
    callers : int
        Number of callers that open their flows during that time.
    drills : int
        Number of times that the store comes back from an older copy.
    evacuations : int
        Number of evacuations of zones; a world without any has one zone.
    late_notices : int
        Number of upstreams that start again under their id, and whose former start's
        notice that it leaves arrives late.
    **options
        Options of `FlowWorld`.

    Attributes
    ----------
    plan : random.Random
        Random numbers of actions and callers; the processes draw from another
        source, so that a plan hardly depends on their code.
    wrong_resets : list of WrongReset
        Resets of open flows whose upstream holds them.
    evacuations : Evacuations
        Evacuated zones, and the new flows that were given to them.
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
        drills: int = 0,
        evacuations: int = 0,
        late_notices: int = 0,
        **options: Any,
    ) -> None:
        self.plan = random.Random(f"plan {seed}")
        self.inboxes: dict[str, Inbox] = {}
        self.wrong_resets: list[WrongReset] = []
        self.evacuations = Evacuations(self, seed)
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
        if evacuations:
            defaults |= {"zones": ZONES, "evacuates": True}
        super().__init__(seed, **(defaults | options))
        self.rotation = list(self.balancer_hosts)
        self.run(SETTLE_MS)
        for _ in range(callers):
            self.after(self.plan.randrange(span_ms), self.start_caller)
        names = kinds or tuple(registered_actions.functions)
        for _ in range(actions):
            action = registered_actions.get(self.plan.choice(names))
            self.after(self.plan.randrange(span_ms), partial(action, self))
        self.duration = span_ms + END_MS
        if drills:
            self.store.era = 1
            self.store.keep_copies(COPY_MS)
        for _ in range(drills):
            self.after(self.plan.randrange(span_ms), self.start_drill)
        self.evacuations.start(evacuations, span_ms)
        for _ in range(late_notices):
            self.after(self.plan.randrange(span_ms), partial(restart_under_id, self))

    def start_drill(self) -> None:
        """Let the store be away for a moment, and come back from an older copy."""
        age_ms, away_ms = self.plan.randint(500, 10_000), self.plan.randint(50, 1_500)
        self.note("drill", age_ms=age_ms, away_ms=away_ms)
        self.store.state.is_up = False
        self.after(away_ms, lambda: self.end_drill(age_ms))

    def end_drill(self, age_ms: int) -> None:
        """Bring the store back; the operator writes its configuration again."""
        self.store.restore(age_ms)
        self.store.state.is_up = True
        self.after(self.plan.randint(50, 2_000), self.write_configuration_again)

    def write_configuration_again(self) -> None:
        """Write the operator's newest configuration and evacuations."""
        self.configure(max(1, len(self.routes)))
        self.evacuations.write_again()

    def run_all(self) -> list[WrongReset | WrongFlow]:
        """Run all actions; return the wrong resets and the wrong new flows."""
        self.run(self.duration)
        return [*self.wrong_resets, *self.evacuations.wrong_flows]

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

    def is_late(self, host: str) -> bool:
        """Return whether the process at an address, or its link, is late."""
        inbox = self.inbox(host)
        return self.now < inbox.stalled_until or bool(inbox.waiting)

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
        """Execute one effect; check resets by side processes, and new flows."""
        if isinstance(effect, ToCaller) and host in self.upstreams:
            packet = self.packets.read(effect.data, True)
            if packet.resets:
                self.check_reset(host, packet.flow, "port closed", False)
        elif isinstance(effect, ToUpstream):
            packet = self.packets.read(effect.data, False)
            if packet.opens and packet.flow not in self.upstreams[host].flows:
                origin = self.side(host).held.flows[packet.flow].origin
                self.evacuations.check_opening(host, packet.flow, origin)
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
                self.wrong_resets.append(
                    WrongReset(
                        self.now,
                        host,
                        reason,
                        flow_name(flow),
                        holder,
                        opens,
                        len(self.inbox(host).waiting),
                        self.processes[holder].is_up and not self.is_late(holder),
                    )
                )
