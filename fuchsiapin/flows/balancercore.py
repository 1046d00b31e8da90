"""Decision core of a balancer of packet flows.

A balancer holds only soft state, which it can rebuild at any time: it places new
flows, caches which member holds each flow that it forwards, and finds the holder
of any other flow by asking the members of the service in their rank order.
"""

import random
from collections.abc import Callable
from typing import Any

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import read_host
from fuchsiapin.flows.admission import OVERLOADED
from fuchsiapin.flows.balancerstate import BalancerState
from fuchsiapin.flows.coldrates import NO_BOUNDS, ColdBounds
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.members import MemberView, read_load
from fuchsiapin.flows.messages import (
    Ask,
    Buckets,
    Copy,
    Digest,
    Era,
    Held,
    Known,
    Part,
    Ping,
    Pull,
    Returned,
    Silence,
    Status,
)
from fuchsiapin.flows.opening import FlowOpener
from fuchsiapin.flows.pacing import LinkPacer, bytes_per_ms
from fuchsiapin.flows.packets import Packet, PacketFormat, flow_name
from fuchsiapin.flows.peerrecords import BalancerRecord
from fuchsiapin.flows.routechecks import RouteCheck
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.searching import HolderSearch
from fuchsiapin.flows.sending import PacketSender
from fuchsiapin.flows.storage import StoreResult

__all__ = ["FlowBalancerCore", "make_flow_balancer_core"]

MAX_CACHED_FLOWS = 100_000
"""Maximum number of flows whose holder is cached; about 300 bytes each."""
RETURN_REASONS = frozenset(("refused", "unknown", "full", "lost", OVERLOADED))
"""Reasons for which side processes return packets. Each is a label of a metric."""
CACHE_MS = 90_000
"""How long a holder stays cached after the last packet of the flow, or another
balancer's question about it, at this balancer."""
HOLDER_SILENT_MS = 1_500
"""A holder that has left pings unanswered for this long is treated as silent."""
HOLDER_SILENT_PINGS = 4
"""Minimum number of unanswered pings for that; full links lose one or two in a row."""
NO_MEMBER_MS = 1_500
"""A balancer that has received nothing from any member for this long is not ready."""


class FlowBalancerCore:
    """Forwards the packets of callers to the members that hold their flows.

    Parameters
    ----------
    state : BalancerState
        Routes, members and other balancers known to this balancer.
    packet_format : PacketFormat
        Wire layout of packets.
    report : callable
        Takes the number and the fields of an event.
    placement_policy, refusal_policy : str
        Names of the policies for placing and for refusing new flows.
    pacer : LinkPacer, optional
        Spaces out packets of uploads.
    """

    def __init__(
        self,
        state: BalancerState,
        packet_format: PacketFormat,
        report: Callable[..., None],
        placement_policy: str = "own zone first",
        refusal_policy: str = "past the deadline",
        pacer: LinkPacer | None = None,
    ) -> None:
        self.state = state
        self.effects = state.effects
        self.timers = state.timers
        self.table = state.table
        self.routes = state.routes
        self.packet_format = packet_format
        self.report = report
        self.holders = FlowCache(MAX_CACHED_FLOWS, CACHE_MS)
        self.sender = PacketSender(state, packet_format, report, pacer)
        self.opener = FlowOpener(
            state, self.sender, self.holders, report, placement_policy, refusal_policy
        )
        self.search = HolderSearch(state, self.sender, self.holders, report)
        self.route_check = RouteCheck(state, self.sender)
        self.counts = self.sender.counts
        self.last_packet_at = 0
        self.is_stopping = False
        self.handlers: dict[type, Callable[[int, str, Any], None]] = {
            Held: self.on_held,
            Returned: self.on_returned,
            Status: self.on_status,
            Digest: state.gossip.on_digest,
            Buckets: state.gossip.on_buckets,
            Pull: state.gossip.on_pull,
            Copy: state.on_copy,
            Part: state.on_part,
            Era: state.eras.on_message,
            Silence: self.on_silence,
            Ask: self.on_ask,
            Known: self.on_known,
        }

    def start(self, now: int) -> None:
        """Start to follow the store and to exchange state with other balancers."""
        self.state.start(now)

    def stop(self, now: int) -> None:
        """Begin a planned stop: leave the rotation, but keep forwarding packets."""
        self.is_stopping = True
        self.state.balancers.leave(now)

    def zone_of(self, host: str) -> str:
        """Return the availability zone of another process, empty if it isn't known."""
        view = self.table.by_host(host)
        if view is not None:
            return view.member.zone
        peer = self.state.gossip.peers.get(host)
        return peer.zone if peer is not None else ""

    def not_ready(self, now: int) -> str:
        """Return why this balancer is not ready for callers, empty if it is ready."""
        if self.is_stopping:
            return "stopping"
        if not self.routes.version:
            return "no configuration is known yet"
        if reason := self.state.evacuations.not_ready(now):
            return reason
        if not self.table.views:
            return "no member is known yet"
        heard_after = now - NO_MEMBER_MS
        # `any` ends with the first member that answers; there may be tens of thousands.
        if any(v.last_message_at >= heard_after for v in self.table.views.values()):
            return ""
        return "no member answers"

    def on_suspended(self, now: int) -> None:
        """Read the whole store again after the process was suspended."""
        for follower in self.state.followers:
            follower.relist(now)

    def on_store(self, now: int, purpose: str, answer: StoreResult) -> None:
        """Handle the answer of a call to the store."""
        self.state.on_store(now, purpose, answer)

    def metric_values(self, now: int) -> dict[str, dict[str, float]]:
        """Return the values of this core's metrics, by series and label."""
        views = self.table.views.values()
        return {
            "configuration_version": {"": self.routes.version},
            "stored_configuration_version": {
                "": self.state.configurations.stored_version
            },
            "store_era": {"": self.state.era.current},
            "members": {
                service: len(members)
                for service, members in self.table.views_by_service.items()
            },
            "suspect_members": {"": sum(view.is_suspect(now) for view in views)},
            "member_silence_ms": {
                view.member.id: now - max(view.last_message_at, view.added_at)
                for view in views
            },
            "balancers_heard": {"": len(self.state.gossip.live_hosts(now))},
            "remembered_flows": {"": len(self.holders)},
            "evacuated_zone_ms": {
                zone: now - self.state.zones.changed_at[zone]
                for zone in sorted(self.state.zones.evacuated)
            },
            "cold_members": {"": sum(view.load.cold_ms > 0 for view in views)},
            "cold_limits": {**self.state.cold_rates.limits},
        }

    def take_effects(self) -> list[Any]:
        """Return the pending effects in order, and clear them."""
        effects = list(self.effects)
        self.effects.clear()
        return effects

    # Packets of callers

    def on_packet(self, now: int, data: bytes) -> None:
        """Forward a packet from a caller."""
        self.last_packet_at = now
        packet = self.packet_format.read(data, False)
        if packet is None:
            self.counts["malformed"] += 1
            self.report(6101, bytes=len(data))
            return
        route = self.routes.find(packet.flow)
        if route is None:
            self.handle_unrouted(now, packet)
        elif packet.opens:
            self.opener.on_opening(now, packet, route)
        else:
            self.forward(now, packet, route)

    def handle_unrouted(self, now: int, packet: Packet) -> None:
        """Refuse or reset a flow that matches no route."""
        if packet.opens:
            self.opener.refuse_unrouted(now, packet)
        else:
            self.route_check.on_packet(now, packet)

    def forward(self, now: int, packet: Packet, route: FlowRoute) -> None:
        """Send a packet of an open flow to its holder, or search for the holder.

        A silent holder gets the packet too: its upstream may be sound, and answers that
        it sent may not have been read here yet.
        """
        host = self.holders.get(packet.flow, now)
        if host is not None and self.table.has_left(host):
            self.search.note_holder_left(now, packet, host)
            host = None
        if host is None:
            self.search.find_holder(now, packet, route)
            return
        view = self.table.by_host(host)
        if view is not None and is_silent(now, view):
            self.report_silent(now, packet, view)
        # A side process of another service returns the packet, and a search starts.
        service = view.member.service if view else route.service_of(packet.flow)
        self.sender.forward_open(now, packet, service, host)

    def report_silent(self, now: int, packet: Packet, view: MemberView) -> None:
        """Report that the holder of a flow has left pings unanswered."""
        self.report(
            6107,
            flow=flow_name(packet.flow),
            member=view.member.id,
            host=view.member.host,
            unanswered_ms=view.unanswered_ms(now),
            unanswered_pings=view.unanswered_pings,
            silent_members=self.state.pinger.silent_members,
            members=len(self.table.views),
        )

    # Messages of other processes

    def on_message(self, now: int, host: str, message: Any) -> None:
        """Handle a message from another process."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(now, host, message)
        except MalformedObject as error:
            self.report(6301, host=host, error=str(error))

    def note_member_message(
        self, now: int, host: str, load: list[int]
    ) -> MemberView | None:
        """Record that a message with a load report came from a member."""
        view = self.table.by_host(host)
        if view is not None:
            view.note_message(now, read_load(load))
        return view

    def on_held(self, now: int, host: str, message: Held) -> None:
        """Cache which member holds a flow."""
        self.note_member_message(now, host, message.load)
        if self.table.has_left(host):
            # The status of the member that is there now clears the address.
            self.sender.send(host, Ping(self.state.record.zone, 0, False))
        if self.opener.record_holder(now, message.flow, message.accepts):
            self.holders.put(message.flow, host, now)
        self.search.note_holder(now, message.flow, host)

    def on_ask(self, now: int, host: str, message: Ask) -> None:
        """Answer another balancer's question about a flow."""
        flow = message.flow
        holder = self.holders.get(flow, now) or self.opener.pending_host(now, flow)
        if not holder:
            self.opener.hold_back(now, flow)
        self.search.answer(now, host, flow, holder)

    def on_known(self, now: int, host: str, message: Known) -> None:
        """Handle another balancer's answer about a flow.

        Raises
        ------
        MalformedObject
            If the holder's address is malformed.
        """
        if message.host:
            read_host(message.host, "holder")
        self.opener.on_known(now, host, message)
        self.search.on_known(now, host, message)
        self.route_check.on_known(now, host, message)

    def on_status(self, now: int, host: str, message: Status) -> None:
        """Handle the status of a side process."""
        self.state.on_status(now, host, message)

    def on_silence(self, now: int, host: str, message: Silence) -> None:
        """Handle another balancer's news that a member leaves pings unanswered."""
        self.state.gossip.note_message(now, host)
        self.state.pinger.on_silence(now, message)

    def on_returned(self, now: int, host: str, message: Returned) -> None:
        """Decide what to do with a packet that a side process could not deliver."""
        self.note_member_message(now, host, message.load)
        packet = self.packet_format.read(message.packet, False)
        if packet is None:
            return
        is_known = message.reason in RETURN_REASONS
        self.counts[f"returned: {message.reason if is_known else 'other'}"] += 1
        route = self.routes.find(packet.flow)
        if route is None:
            self.handle_unrouted(now, packet)
        elif packet.opens:
            self.opener.reoffer(now, packet, route, host, message.reason)
        else:
            self.search.continue_search(now, packet, route, host, message)


def is_silent(now: int, view: MemberView) -> bool:
    """Return whether a member has left several pings unanswered for some time."""
    return (
        view.unanswered_ms(now) >= HOLDER_SILENT_MS
        and view.unanswered_pings >= HOLDER_SILENT_PINGS
    )


def make_flow_balancer_core(
    record: BalancerRecord,
    seeds: list[str],
    packet_format: PacketFormat,
    report: Callable[..., None],
    rng: random.Random,
    evacuates: bool = False,
    cold_bounds: ColdBounds = NO_BOUNDS,
    link_mbps: float = 0.0,
) -> FlowBalancerCore:
    """Return the core of a balancer.

    Parameters
    ----------
    record : BalancerRecord
        This balancer.
    seeds : list of str
        Addresses of balancers to send digests to while no other is live.
    packet_format : PacketFormat
        Wire layout of packets.
    report : callable
        Takes the number and the fields of an event.
    rng : random.Random
        Source of all random numbers.
    evacuates : bool
        Whether zones may be evacuated in this deployment.
    cold_bounds : ColdBounds
        Bounds of the openings that cold upstreams get.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s, 0 if it isn't known.
    """
    state = BalancerState(record, seeds, report, rng, evacuates, cold_bounds)
    pacer = LinkPacer(bytes_per_ms(link_mbps)) if link_mbps else None
    return FlowBalancerCore(state, packet_format, report, pacer=pacer)
