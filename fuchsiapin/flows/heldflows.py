"""Flows that the upstream of one VM holds, as its side process sees them."""

from collections import OrderedDict

from fuchsiapin.flows.metrics import LatencyHistogram
from fuchsiapin.flows.packets import Packet, is_sequence_after, sequence_distance
from fuchsiapin.flows.queueing import RESERVED_MS
from fuchsiapin.flows.speeds import ServiceTimes

__all__ = ["FlowState", "HeldFlows"]

MAX_FLOWS = 50_000
"""Maximum number of flows tracked; an upstream holds some thousands."""
MAX_UNSEEN_BYTES = 1 << 24
"""Upper bound of the bytes that an upstream sends on a flow in a minute, by default the
longest life of a flow."""
PENDING_MS = 2_500
"""A request without an answer for this long is no longer counted: its caller has given
up, and an upstream need not answer callers that gave up."""


class FlowState:
    """State of one flow, derived from its packets.

    Attributes
    ----------
    origin : str
        Address of the balancer that sent the flow's latest packet, empty if
        unknown.
    first_sequence : int or None
        Sequence number with which the upstream accepted the flow, None before.
    is_open : bool
        Whether the caller continued with this upstream. Several upstreams may
        accept a flow whose opening packet was retransmitted; the caller continues
        with one. Also set by a packet of the upstream other than an acceptance or a
        reset.
    inbound_end, outbound_end : int
        Sequence numbers after the last data to and from the upstream.
    acknowledged : int
        Latest acknowledgement number from the caller.
    is_ended : bool
        Whether the upstream ended the flow.
    priority : int
        Priority of its route, 0 for the highest or if it isn't known.
    opened_at : int
        When this process began to track the flow, in ms.
    used_at : int
        When the flow's last packet was received, in ms.
    """

    __slots__ = (
        "acknowledged",
        "first_sequence",
        "is_ended",
        "is_open",
        "opened_at",
        "origin",
        "priority",
        "inbound_end",
        "outbound_end",
        "used_at",
    )

    def __init__(self, origin: str, now: int) -> None:
        self.origin = origin
        self.priority = 0
        self.opened_at = now
        self.used_at = now
        self.first_sequence: int | None = None
        self.is_open = False
        self.is_ended = False
        self.inbound_end: int | None = None
        self.outbound_end: int | None = None
        self.acknowledged = 0

    @property
    def is_accepted(self) -> bool:
        """Return whether the upstream accepted the flow."""
        return self.is_open or self.first_sequence is not None

    def belongs_here(self, packet: Packet, has_seen_all_flows: bool) -> bool:
        """Return whether a caller's packet is meant for this upstream.

        Until the flow is open here, only a packet that acknowledges what the upstream
        sent shows that the caller continues with this upstream. If the flow may be
        older than this process, the upstream may have sent more than was seen here.
        """
        if self.is_open or packet.resets:
            return True
        if self.first_sequence is None:
            return False
        last = self.first_sequence if self.outbound_end is None else self.outbound_end
        # The opening and the end of a flow may take one sequence number each.
        max_distance = (
            sequence_distance(self.first_sequence, last) + 2
            if has_seen_all_flows
            else MAX_UNSEEN_BYTES
        )
        return (
            sequence_distance(self.first_sequence, packet.acknowledged) <= max_distance
        )


class HeldFlows:
    """Flows of one incarnation of an upstream, and its load.

    Attributes
    ----------
    reserved : dict
        Flows given to the upstream that have sent no request yet, with the time when
        they were given.
    pending : dict
        Flows whose request isn't answered yet, with the time of the request.
    times : ServiceTimes
        Service times of the upstream; an answer or a reset ends a request.
    """

    def __init__(self) -> None:
        self.flows: OrderedDict[bytes, FlowState] = OrderedDict()
        self.reserved: dict[bytes, int] = {}
        self.pending: dict[bytes, int] = {}
        self.times = ServiceTimes()
        self.answer_ms = LatencyHistogram()

    def clear(self) -> None:
        """Clear all flows, because a new incarnation holds none of them."""
        self.flows.clear()
        self.reserved.clear()
        self.pending.clear()
        self.times.clear()

    @property
    def service_ms(self) -> float:
        """Return the mean service time, without the time that requests waited."""
        return self.times.average_ms

    def get(self, flow: bytes) -> FlowState | None:
        """Return the state of a flow, None if it isn't held."""
        return self.flows.get(flow)

    def track(self, now: int, flow: bytes, origin: str) -> FlowState:
        """Start to track a flow."""
        state = self.flows[flow] = FlowState(origin, now)
        if len(self.flows) > MAX_FLOWS:
            oldest = next(iter(self.flows))
            self.remove(oldest)
        return state

    def remove(self, flow: bytes) -> None:
        """Stop tracking a flow."""
        self.flows.pop(flow, None)
        self.reserved.pop(flow, None)
        self.pending.pop(flow, None)
        self.times.forget(flow)

    def drop_request(self, now: int, flow: bytes) -> None:
        """Stop waiting for the answer to the request of a flow."""
        if self.pending.pop(flow, None) is not None:
            self.times.note_dropped(now, flow)

    def note_inbound(self, now: int, state: FlowState, packet: Packet) -> None:
        """Update the state of a flow with a packet to the upstream."""
        self.touch(now, packet.flow, state)
        state.acknowledged = packet.acknowledged
        state.is_open = state.is_open or not packet.resets
        if packet.resets or packet.ends:
            self.drop_request(now, packet.flow)
        if not packet.length:
            return
        end = packet.sequence + packet.length
        if state.inbound_end is not None and not is_sequence_after(
            state.inbound_end, end
        ):
            return
        state.inbound_end = end
        self.reserved.pop(packet.flow, None)
        if packet.is_full:
            return  # more of the request follows: the upstream can't run it yet
        if not packet.ends and packet.flow not in self.pending:
            self.pending[packet.flow] = now
            self.times.note_request(now, packet.flow)

    def note_outbound(self, now: int, state: FlowState, packet: Packet) -> None:
        """Update the state of a flow with a packet from the upstream."""
        self.touch(now, packet.flow, state)
        if packet.accepts:
            state.first_sequence = packet.sequence
            return
        if packet.ends or packet.resets:
            state.is_ended = True
        state.is_open = state.is_open or not packet.resets
        end = packet.sequence + packet.length
        is_answer = packet.length and (
            state.outbound_end is None or is_sequence_after(state.outbound_end, end)
        )
        if is_answer:
            state.outbound_end = end
        since = self.pending.get(packet.flow)
        if since is not None and (is_answer or packet.resets):
            del self.pending[packet.flow]
            self.answer_ms.observe(now - since)
            self.times.note_answer(now, packet.flow, since)
        elif packet.ends:
            self.drop_request(now, packet.flow)

    def in_flight(self, priority: int) -> int:
        """Return the requests and reservations of at least this priority."""
        flows = (self.flows.get(key) for key in (*self.pending, *self.reserved))
        return sum(flow is None or flow.priority <= priority for flow in flows)

    @property
    def unanswered_requests(self) -> int:
        """Return how many requests the upstream hasn't begun to answer."""
        return len(self.pending)

    def touch(self, now: int, flow: bytes, state: FlowState) -> None:
        """Mark a flow as used now."""
        state.used_at = now
        self.flows.move_to_end(flow)

    def expire(self, now: int, max_idle_ms: int) -> None:
        """Remove flows that are idle for longer than any flow lives.

        Reservations and unanswered requests expire earlier, after fixed times.

        Flows that their upstream ended are kept for as long: their callers may not have
        received the end, and only the upstream can answer what they still send.
        """
        while self.reserved:
            flow, since = next(iter(self.reserved.items()))
            if now - since < RESERVED_MS:
                break
            del self.reserved[flow]
        while self.pending:
            flow, since = next(iter(self.pending.items()))
            if now - since < PENDING_MS:
                break
            self.drop_request(now, flow)
        while self.flows:
            flow, state = next(iter(self.flows.items()))
            if now - state.used_at <= max_idle_ms:
                return
            self.remove(flow)

    def open_count(self) -> int:
        """Return how many flows haven't ended."""
        return sum(not state.is_ended for state in self.flows.values())
