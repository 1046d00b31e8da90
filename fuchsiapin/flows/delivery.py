"""Delivers packets between balancers, the upstream of one VM, and callers.

A packet that can't be delivered here goes to the next address that the balancer
listed, or back.
"""

from collections.abc import Callable

from fuchsiapin.fields import is_host
from fuchsiapin.flows.admission import OVERLOADED
from fuchsiapin.flows.effects import ToCaller, ToPeer, ToUpstream
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.heldflows import FlowState
from fuchsiapin.flows.members import pack_load
from fuchsiapin.flows.messages import Forward, Held, Returned
from fuchsiapin.flows.packets import Packet, PacketFormat, caller_host, flow_name
from fuchsiapin.flows.queueing import MAX_WAIT_MS
from fuchsiapin.flows.serviceclass import unpack_class
from fuchsiapin.flows.sidestate import SideState
from fuchsiapin.lightclasses import replace

__all__ = ["FlowDelivery"]

MAX_HOPS = 1_000
"""Maximum number of members that one packet is passed along. It doesn't bind searches,
whose count starts below 0; they end with the list of addresses in the message."""
MAX_RETURNS = 10
"""Largest count of early returns of a flow that is used; balancers offer one to fewer
members, and the time that it may wait is halved for each return."""
MAX_TENTATIVE_FLOWS = 1_000
"""Maximum number of flows whose packets were given to the upstream to find out whether
it holds them."""
TENTATIVE_MS = 1_000
"""How long to wait for the upstream's reaction to such a packet; it answers within
milliseconds."""


class FlowDelivery:
    """Delivers packets, or passes them on to the next hop.

    Parameters
    ----------
    state : SideState
        Shared state of the side process.
    packet_format : PacketFormat
        Wire layout of packets.
    zone_of : callable
        Returns the availability zone of the balancer at an address, empty if it isn't
        known.

    Attributes
    ----------
    waiting_copies : dict
        Retransmitted opening packets of flows that the upstream was given, which wait
        for its limit while it is cold: the time when each was received, in ms, and the
        packet, by flow.
    last_forward_at : int
        When the last packet was forwarded to this process, by a balancer or another
        side process, in ms, 0 for never.
    """

    def __init__(
        self,
        state: SideState,
        packet_format: PacketFormat,
        zone_of: Callable[[str], str],
    ) -> None:
        self.state = state
        self.zone_of = zone_of
        self.record = state.record
        self.upstream = state.upstream
        self.cold_start = state.cold_start
        self.held = state.held
        self.queue = state.queue
        self.admission = state.admission
        self.counts = state.counts
        self.report = state.report
        self.effects = state.effects
        self.packet_format = packet_format
        self.tentative_messages = FlowCache(MAX_TENTATIVE_FLOWS, TENTATIVE_MS)
        self.waiting_copies: dict[bytes, tuple[int, bytes]] = {}
        self.last_forward_at = 0

    def on_forward(self, now: int, host: str, message: Forward) -> None:
        """Deliver a caller's packet to the upstream, or pass it on."""
        self.last_forward_at = now
        packet = self.packet_format.read(message.packet, False)
        if packet is None or not is_host(message.origin):
            self.counts["malformed"] += 1
            return
        if message.service != self.record.service:
            self.counts["other service"] += 1
            self.pass_on(now, message, "refused" if packet.opens else "unknown")
        elif packet.opens:
            self.on_opening(now, message, packet)
        else:
            self.on_open_flow_packet(now, message, packet)

    def on_opening(self, now: int, message: Forward, packet: Packet) -> None:
        """Queue or refuse a new flow, or deliver a retransmitted opening packet.

        The upstream gets a retransmitted opening packet of a flow that it was given
        already.
        """
        flow = self.held.get(packet.flow)
        if flow is None:
            reason = self.state.refusal_reason(now)
            if reason:
                self.counts["refused"] += 1
                self.report(6202, flow=flow_name(packet.flow), reason=reason)
                self.pass_on(now, message, "refused")
                return
            is_arrival = (
                packet.flow not in self.queue
                and packet.acknowledged == 0
                and message.hops >= 0
            )
            # The acknowledgement number is the number of the retransmission.
            item = self.queue.put(
                now,
                packet.flow,
                message,
                unpack_class(message.priority),
                packet.acknowledged,
                min(max(message.hops, 0), MAX_RETURNS),
            )
            if is_arrival:
                self.admission.rates.note_arrival(now, item.priority)
            self.let_in(now)
            if packet.flow in self.queue.queued and not self.cold_start.has_room(now):
                self.note_cold_wait(now, packet.flow)
            self.return_unservable(now)
            return
        flow.origin = message.origin
        if self.cold_start.has_room(now):
            self.give_opening(now, packet.data)
        else:
            self.waiting_copies[packet.flow] = now, packet.data
            self.note_cold_wait(now, packet.flow)

    def give_opening(self, now: int, data: bytes) -> None:
        """Give an opening packet to the upstream."""
        self.upstream.note_opening(now)
        self.cold_start.note_opening(now)
        self.effects.append(ToUpstream(data))

    def note_cold_wait(self, now: int, flow: bytes) -> None:
        """Count and report an opening packet that waits for the limit while cold."""
        self.counts["waited for cold limit"] += 1
        self.report(
            6218,
            flow=flow_name(flow),
            openings_per_s=self.cold_start.limit_at(now),
            waiting=len(self.queue) + len(self.waiting_copies),
            configuration=self.cold_start.configuration,
        )

    def let_in_copies(self, now: int) -> None:
        """Give waiting retransmissions to the upstream while its limit has room.

        One of a flow that is open meanwhile, or that the upstream doesn't hold any
        more, is dropped: the flow was returned, or lost with its incarnation.
        """
        for key, (received_at, data) in list(self.waiting_copies.items()):
            flow = self.held.get(key)
            if flow is None or flow.is_open or now - received_at >= MAX_WAIT_MS:
                self.counts["cold copy dropped"] += 1
            elif self.cold_start.has_room(now):
                self.give_opening(now, data)
            else:
                continue
            del self.waiting_copies[key]

    def let_in(self, now: int) -> None:
        """Give queued new flows to the upstream while it has room."""
        if self.waiting_copies:
            self.let_in_copies(now)
        while (
            len(self.queue)
            and self.state.has_room_for_next()
            and self.cold_start.has_room(now)
        ):
            item = self.queue.take()
            assert item is not None
            flow = self.held.track(now, item.flow, item.message.origin)
            flow.priority = item.priority
            self.held.reserved[item.flow] = now
            self.admission.rates.note_admission(now)
            self.counts["offered"] += 1
            self.report(
                6208,
                flow=flow_name(item.flow),
                waited_ms=now - item.queued_at,
                waiting=self.held.unanswered_requests,
            )
            self.give_opening(now, item.message.packet)

    def return_unservable(self, now: int) -> None:
        """Return queued flows at once that can't be served before their deadline.

        Called after `let_in`, so that none is returned while the upstream has room.
        None is returned while it is cold either: the rate of admissions rises soon.
        """
        if self.cold_start.cold_ms(now) > 0:
            return
        for found in self.admission.find_unservable(
            now, self.queue, self.held.service_ms
        ):
            item = found.item
            self.queue.remove(item.flow)
            self.counts[f"returned early: {found.reason}"] += 1
            self.report(
                6212,
                flow=flow_name(item.flow),
                reason=found.reason,
                waited_ms=now - item.queued_at,
                position=found.position,
                waiting=len(self.queue),
                arrivals_per_s=self.admission.rates.arrivals_per_s(now),
                admissions_per_s=self.admission.rates.admissions_per_s(now),
            )
            self.return_packet(now, item.message, OVERLOADED)

    def review_queue(self, now: int) -> None:
        """Return queued flows that can't be given to the upstream in time.

        If it takes no new flows, the whole queue is returned.
        """
        returned = self.queue.take_expired(now)
        returned += self.queue.take_excess(self.state.slots, self.held.service_ms)
        cold_room = self.cold_start.room_within(now, MAX_WAIT_MS)
        if cold_room is not None:
            returned += self.queue.shorten(cold_room)
        if self.state.refusal_reason(now):
            returned += self.queue.clear()
        for item in returned:
            self.counts["waited in vain"] += 1
            name = flow_name(item.flow)
            self.report(6207, flow=name, waited_ms=now - item.queued_at)
            self.return_packet(now, item.message, "full")
        self.return_unservable(now)

    def on_open_flow_packet(self, now: int, message: Forward, packet: Packet) -> None:
        """Deliver, return or pass on a packet of an open flow.

        It is delivered if the upstream holds the flow. An upstream that may hold a flow
        unknown to this process, or one that this process takes for lost with an earlier
        incarnation, gets the packet too, and bounces it if it doesn't hold the flow.
        Otherwise the packet is passed on to the next hop.
        """
        flow = self.held.get(packet.flow)
        has_seen_all = self.upstream.has_seen_all_flows
        if flow is not None and flow.belongs_here(packet, has_seen_all):
            if message.is_search:
                self.send_held(now, packet.flow, message.origin)
            flow.origin = message.origin
            self.held.note_inbound(now, flow, packet)
            self.effects.append(ToUpstream(packet.data))
            self.let_in(now)
        elif self.state.lost_flows.get(packet.flow, now) is not None:
            self.offer_lost(now, message, packet)
        elif self.may_hold_unknown_flows(now) and (
            flow is None or flow.first_sequence is None
        ):
            if flow is not None:
                flow.origin = message.origin
            self.tentative_messages.put(packet.flow, message, now)
            self.effects.append(ToUpstream(packet.data))
        else:
            self.pass_on(now, message, "unknown")

    def offer_lost(self, now: int, message: Forward, packet: Packet) -> None:
        """Return a packet of a lost flow unless the present upstream may hold it.

        The flow may have opened there before the upstream's first heartbeat was read.
        """
        member = self.upstream.member
        is_gone = member is None or member.state == "gone"
        if is_gone or self.upstream.is_port_closed:
            self.return_lost(now, message)
            return
        self.tentative_messages.put(packet.flow, message, now)
        self.effects.append(ToUpstream(packet.data))

    def return_lost(self, now: int, message: Forward) -> None:
        """Return a packet of a flow that was lost with an earlier incarnation."""
        self.counts["lost"] += 1
        self.return_packet(now, message, "lost")

    def may_hold_unknown_flows(self, now: int) -> bool:
        """Return whether the upstream may hold flows older than this process."""
        if (
            self.upstream.is_port_closed
            or now - self.state.started_at > self.record.flow_ms
        ):
            return False
        return not self.upstream.has_seen_all_flows

    def pass_on(self, now: int, message: Forward, reason: str) -> None:
        """Forward a packet to the next side process listed, or return it."""
        if not message.rest or message.hops >= MAX_HOPS:
            self.return_packet(now, message, reason)
            return
        if not is_host(message.rest[0]):
            self.counts["malformed"] += 1
            self.return_packet(now, message, reason)
            return
        following = replace(message, hops=message.hops + 1, rest=message.rest[1:])
        self.effects.append(ToPeer(message.rest[0], following))

    def return_packet(self, now: int, message: Forward, reason: str) -> None:
        """Return a packet to the balancer that sent it."""
        returned = Returned(
            message.service,
            reason,
            message.hops,
            message.is_search,
            pack_load(self.state.load(now)),
            message.packet,
        )
        self.effects.append(ToPeer(message.origin, returned))

    def send_held(
        self, now: int, flow: bytes, origin: str, accepts: bool = False
    ) -> None:
        """Notify a balancer that this upstream holds a flow."""
        if origin:
            held = Held(flow, accepts, pack_load(self.state.load(now)))
            self.effects.append(ToPeer(origin, held))

    def on_upstream_packet(self, now: int, data: bytes) -> None:
        """Send a packet of the upstream to its caller; handle a bounced one."""
        packet = self.packet_format.read(data, True)
        if packet is None:
            self.counts["malformed"] += 1
            return
        self.upstream.note_packet(now)
        if packet.is_bounced:
            self.on_bounced(now, packet)
            return
        flow = self.held.get(packet.flow)
        if flow is None:
            flow = self.adopt(now, packet.flow)
        if packet.accepts and not flow.is_accepted:
            self.send_held(now, packet.flow, flow.origin, accepts=True)
        self.held.note_outbound(now, flow, packet)
        self.let_in(now)
        zone = self.zone_of(flow.origin)
        self.effects.append(ToCaller(caller_host(packet.flow), packet.data, zone))

    def adopt(self, now: int, flow: bytes) -> FlowState:
        """Start to track a flow that the upstream held before this process started."""
        message = self.tentative_messages.get(flow, now)
        self.tentative_messages.remove(flow)
        self.state.lost_flows.remove(flow)
        origin = message.origin if message is not None else ""
        self.counts["adopted"] += 1
        self.send_held(now, flow, origin)
        return self.held.track(now, flow, origin)

    def on_bounced(self, now: int, packet: Packet) -> None:
        """Pass on or return a packet that the upstream doesn't accept."""
        if packet.opens:
            self.on_bounced_opening(now, packet)
            return
        self.counts["bounced"] += 1
        data = self.packet_format.clear_marks(packet.data)
        flow = self.held.get(packet.flow)
        message = self.tentative_messages.get(packet.flow, now)
        if message is not None:
            message = replace(message, packet=data)
            if self.state.lost_flows.get(packet.flow, now) is not None:
                self.return_lost(now, message)
            else:
                self.pass_on(now, message, "unknown")
        elif flow is not None:
            self.held.remove(packet.flow)
            self.report(6203, flow=flow_name(packet.flow), opens=False)
            self.return_bounced(now, flow.origin, data, "unknown")

    def on_bounced_opening(self, now: int, packet: Packet) -> None:
        """Return an opening packet that the upstream doesn't accept."""
        self.counts["bounced opening"] += 1
        flow = self.held.get(packet.flow)
        if flow is None or flow.is_accepted:
            return  # not tracked any more, or a retransmission has been accepted since
        self.held.remove(packet.flow)
        self.report(6203, flow=flow_name(packet.flow), opens=True)
        data = self.packet_format.clear_marks(packet.data)
        self.return_bounced(now, flow.origin, data, "full")

    def return_bounced(self, now: int, origin: str, data: bytes, reason: str) -> None:
        """Return a bounced packet to a balancer if its address is known."""
        if origin:
            forward = Forward(self.record.service, origin, 0, 0, False, [], data)
            self.return_packet(now, forward, reason)

    def reset_flows(self, now: int) -> None:
        """Reset the open flows of an upstream whose port is closed.

        Such an upstream is certainly gone.
        """
        for key, flow in self.held.flows.items():
            if flow.is_open and not flow.is_ended:
                reset = self.packet_format.reset(key, flow.acknowledged)
                zone = self.zone_of(flow.origin)
                self.effects.append(ToCaller(caller_host(key), reset, zone))
        self.state.lose_flows(now)
