"""Placement of new flows: which members they are offered to and when they are reset."""

from collections.abc import Callable

from fuchsiapin.flows.admission import OVERLOADED, views_with_room
from fuchsiapin.flows.balancerstate import BalancerState
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.messages import Ask, Known
from fuchsiapin.flows.openingstate import Opening, PendingReset
from fuchsiapin.flows.packets import Packet, flow_name
from fuchsiapin.flows.placement import (
    placement_policies,
    refusal_policies,
    usable_views,
)
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.sending import NO_ROUTE, PacketSender
from fuchsiapin.flows.serviceclass import pack_route_class
from fuchsiapin.lightclasses import replace

__all__ = ["ZONES_EVACUATED", "FlowOpener"]

ZONES_EVACUATED = "no member outside evacuated zones takes flows"
"""Reason of the refusal of a flow of a service that is left without other members."""
MAX_OPENINGS = 100_000
"""Maximum number of openings remembered; about 300 bytes each."""
OPENING_MS = 3_000
"""How long an opening stays remembered after its last use."""
ATTEMPT_MS = 1_400
"""Time after which a caller gives up a flow that hasn't opened. By then the flow may be
open, and those that placed it may have forgotten it."""
UNANSWERED_MS = 150
"""Minimum time after an offer before a retransmission may go to another member."""
MAX_OFFERS = 4
"""Maximum number of members that one new flow is offered to."""
MAX_FIRST_PACKET_AGE_MS = 150
"""Time after a flow's first packet in which its caller has sent no copy; it sends one
after 200 ms, and the packet itself may have been on the way for some time."""
PEER_ANSWER_MS = 100
"""Time after which balancers that haven't answered whether they know a flow are asked
again; many times the round-trip time between availability zones."""
HOLD_BACK_MS = 600
"""How long a flow that another balancer is about to refuse isn't offered here; twice
the time of its longest check."""
MAX_ASKED_ABOUT_ROUTE = 2
"""Balancers that are asked before a flow without a route is refused. Few suffice, as an
answer comes after the configurations that its sender pushed before."""
ANSWER_VALIDITY_MS = HOLD_BACK_MS // 2
"""How long after the last question the answers of other balancers allow a reset; they
hold the flow back for twice as long. This process may have been paused meanwhile."""
MAX_PEER_QUESTIONS = 3
"""Number of times that a balancer is asked about one flow; the caller's next
retransmission repeats the check."""


class FlowOpener:
    """Places new flows and forwards their retransmitted opening packets.

    A retransmission goes to the same member for a short time; see `should_reoffer`.

    Parameters
    ----------
    state : BalancerState
        Routes, members and other balancers known to this balancer.
    sender : PacketSender
        Sends packets to members and resets to callers.
    holders : FlowCache
        Cache of the holders of flows; placed flows are added to it.
    report : callable
        Takes the number and the fields of an event.
    placement_policy, refusal_policy : str
        Names of the policies for placing and for refusing new flows.
    """

    def __init__(
        self,
        state: BalancerState,
        sender: PacketSender,
        holders: FlowCache,
        report: Callable[..., None],
        placement_policy: str,
        refusal_policy: str,
    ) -> None:
        self.state = state
        self.table = state.table
        self.sender = sender
        self.holders = holders
        self.report = report
        self.order_members = placement_policies.get(placement_policy)
        self.refusal_reason = refusal_policies.get(refusal_policy)
        self.openings = FlowCache(MAX_OPENINGS, OPENING_MS)
        self.pending_resets = FlowCache(MAX_OPENINGS, OPENING_MS)
        self.held_back = FlowCache(MAX_OPENINGS, HOLD_BACK_MS)

    def on_opening(self, now: int, packet: Packet, route: FlowRoute) -> None:
        """Place a new flow, or forward a retransmitted opening packet.

        A flow that another balancer is about to refuse isn't placed.
        """
        held_back_at = self.held_back.get(packet.flow, now)
        if held_back_at is not None and now - held_back_at <= HOLD_BACK_MS:
            self.sender.counts["held back"] += 1
            return
        opening = self.openings.get(packet.flow, now)
        if opening is None:
            is_first = packet.acknowledged == 0
            opening = Opening("", now, [], saw_first=is_first, received_at=now)
            self.place(now, packet, route, opening)
            return
        opening.retransmissions += 1
        if self.should_reoffer(now, opening):
            self.suspect_member(now, opening)
            self.place(now, packet, route, opening)
            return
        self.send(packet, route, opening)

    def send(self, packet: Packet, route: FlowRoute, opening: Opening) -> None:
        """Send an opening packet to the member that the flow was offered to last."""
        self.pending_resets.remove(packet.flow)
        opening.note_sent(opening.host, packet)
        service = route.service_of(packet.flow)
        service_class = pack_route_class(route)
        hops = opening.early_returns if route.target_latency_ms else 0
        self.sender.forward(packet, service, opening.host, service_class, hops)

    def should_reoffer(self, now: int, opening: Opening) -> bool:
        """Return whether a retransmission should go to another member.

        None does once a member holds the flow, and each one does if the member was
        removed. Otherwise it should, once `UNANSWERED_MS` have passed since the last
        offer, if nothing was received from the member since that offer, or if this
        isn't the flow's first retransmission at this balancer.
        """
        if opening.is_held:
            return False
        view = self.table.by_host(opening.host)
        if view is None:
            return True
        if now - opening.offered_at < UNANSWERED_MS:
            return False
        return view.last_message_at < opening.offered_at or opening.retransmissions > 1

    def suspect_member(self, now: int, opening: Opening) -> None:
        """Mark a member as suspect if it sent nothing since it was offered a flow."""
        view = self.table.by_host(opening.host)
        if (
            view is not None
            and view.last_message_at < opening.offered_at
            and not view.has_unanswered_opening
        ):
            view.has_unanswered_opening = True
            self.report(
                6106,
                member=view.member.id,
                host=opening.host,
                silent_ms=now - max(view.last_message_at, view.added_at),
            )

    def place(
        self, now: int, packet: Packet, route: FlowRoute, opening: Opening
    ) -> None:
        """Offer a new flow to the best member that it wasn't offered to yet.

        If none is left, after `MAX_OFFERS` offers, or if the refusal policy gives a
        reason, the flow is reset unless another balancer knows it, provided that the
        members were read and the flow can't be open (`Opening.cannot_be_open`). A flow
        that may still be queued or open at a member isn't reset; its caller times out.
        Nothing is offered before the evacuated zones are known; callers retransmit.
        """
        if self.state.evacuations.not_ready(now):
            self.sender.counts["evacuated zones not known"] += 1
            return
        service = route.service_of(packet.flow)
        members = self.table.by_service(service)
        evacuated = self.state.zones.evacuated
        views = usable_views(now, members, opening.tried_hosts, evacuated)
        reason = self.refusal_reason(route, views, len(opening.tried_hosts))
        if not views and any(view.member.zone in evacuated for view in members):
            reason = ZONES_EVACUATED
        if reason is not None or len(opening.tried_hosts) >= MAX_OFFERS:
            if self.state.has_read_members() and opening.cannot_be_open:
                self.openings.put(packet.flow, opening, now)
                # Without a reason of the policy, MAX_OFFERS members returned it.
                self.reset_unless_known(
                    now,
                    packet,
                    reason or "every member refused",
                    len(opening.returned_by),
                    self.balancers_to_ask(now, opening),
                )
            return
        if opening.early_returns > 0:
            views = views_with_room(views) or views
        zone = self.state.record.zone
        ordered = self.order_members(packet.flow, views, zone, route.target_latency_ms)
        view = self.state.cold_rates.first_choice(ordered)
        view.placed_since_report += 1
        opening.host = view.member.host
        opening.offered_at = now
        opening.tried_hosts.append(view.member.host)
        self.openings.put(packet.flow, opening, now)
        self.holders.put(packet.flow, view.member.host, now)
        self.sender.counts["placed"] += 1
        self.report(
            6102,
            flow=flow_name(packet.flow),
            member=view.member.id,
            host=view.member.host,
            waiting=view.load.waiting,
            load_age_ms=now - view.last_message_at,
            offers=len(opening.tried_hosts),
            configuration=self.state.routes.version,
        )
        self.send(packet, route, opening)

    def balancers_to_ask(self, now: int, opening: Opening) -> list[str]:
        """Return the addresses of the balancers to ask before a flow is refused.

        Soon after its first packet only those of the own availability zone can have got
        a copy. To ask all of them for each refusal took most of the processor time and
        bandwidth of balancers in an overload, until answers came too late.
        """
        hosts = self.state.balancers_to_ask(now)
        if now - opening.received_at >= MAX_FIRST_PACKET_AGE_MS:
            return hosts
        peers, zone = self.state.gossip.peers, self.state.record.zone
        return [host for host in hosts if peers[host].zone == zone] or hosts

    def refuse_unrouted(self, now: int, packet: Packet) -> None:
        """Refuse a new flow that matches no route, once a configuration is known.

        A few other balancers are asked first: the configuration here may be outdated.
        """
        if self.state.routes.version:
            hosts = self.state.balancers_to_ask(now)
            if len(hosts) > MAX_ASKED_ABOUT_ROUTE:
                hosts = self.state.rng.sample(hosts, MAX_ASKED_ABOUT_ROUTE)
            self.reset_unless_known(now, packet, NO_ROUTE, 0, hosts)

    def reset_unless_known(
        self, now: int, packet: Packet, reason: str, denials: int, hosts: list[str]
    ) -> None:
        """Reset a new flow that isn't served here unless another balancer knows it.

        While this packet waited on a congested link, balancers may have come or
        gone and a retransmission may have reached another one: the flow may be open.
        `hosts` are the addresses of the balancers to ask.
        """
        if self.pending_resets.get(packet.flow, now) is not None:
            return
        inquiry = Inquiry(packet, denials, frozenset(hosts))
        pending = PendingReset(inquiry, reason)
        if hosts:
            self.pending_resets.put(packet.flow, pending, now)
            self.ask_balancers(now, packet.flow, 1)
        elif self.state.is_alone():
            self.reset_flow(now, pending)

    def ask_balancers(self, now: int, flow: bytes, number: int) -> None:
        """Ask the balancers that haven't answered about a flow for the nth time."""
        pending = self.pending_resets.get(flow, now)
        if pending is None:
            return
        if number > MAX_PEER_QUESTIONS:
            self.pending_resets.remove(flow)
            return
        self.pending_resets.put(flow, replace(pending, asked_at=now), now)
        for host in sorted(pending.inquiry.unconfirmed_hosts):
            self.sender.send(host, Ask(flow))
        self.state.timers.add(
            now + PEER_ANSWER_MS,
            lambda later: self.ask_balancers(later, flow, number + 1),
        )

    def pending_host(self, now: int, flow: bytes) -> str:
        """Return the address of a member that may take a flow, empty if none may."""
        opening = self.openings.get(flow, now)
        hosts = opening.pending_hosts if opening is not None else []
        return hosts[-1] if hosts else ""

    def hold_back(self, now: int, flow: bytes) -> None:
        """Don't offer a flow for a while, as another balancer was told it isn't known.

        Otherwise a copy of its opening packet could open it here before that balancer
        resets it.
        """
        self.held_back.expire(now)
        self.held_back.put(flow, now, now)

    def on_known(self, now: int, host: str, message: Known) -> None:
        """Handle another balancer's answer about a flow that no member takes.

        The flow is reset once all asked balancers answered that they don't know it: one
        that hasn't answered may be late, and have offered the flow.
        """
        pending = self.pending_resets.get(message.flow, now)
        if pending is None:
            return
        if message.host or now - pending.asked_at > ANSWER_VALIDITY_MS:
            self.pending_resets.remove(message.flow)
            return
        pending = replace(pending, inquiry=pending.inquiry.confirm(host))
        self.pending_resets.put(message.flow, pending, now)
        if not pending.inquiry.unconfirmed_hosts:
            self.reset_flow(now, pending)

    def reset_flow(self, now: int, pending: PendingReset) -> None:
        """Reset a flow that can't have opened.

        A flow whose route has become known meanwhile is placed instead.
        """
        inquiry = pending.inquiry
        flow = inquiry.packet.flow
        self.pending_resets.remove(flow)
        route = self.state.routes.find(flow)
        if pending.reason == NO_ROUTE and route is not None:
            self.on_opening(now, inquiry.packet, route)
            return
        self.openings.remove(flow)
        self.sender.reset(
            inquiry.packet,
            pending.reason,
            denials=inquiry.denials,
            confirmations=len(inquiry.confirming_hosts),
        )

    def reoffer(
        self,
        now: int,
        packet: Packet,
        route: FlowRoute,
        host: str,
        reason: str,
    ) -> None:
        """Offer a new flow that a member returned to another member.

        One whose caller has given up since is neither offered nor refused.
        """
        view = self.table.by_host(host)
        if view is not None and reason == "refused":
            was_refusing = view.refused_until > now
            view.refused_until = now + self.state.refusal_ms
            if not was_refusing:
                self.state.tell_cold_limit(now, view)
        opening = self.openings.get(packet.flow, now)
        if opening is None:
            opening = Opening("", now, [], received_at=now)
        if opening.is_held:
            return
        if now - opening.received_at > ATTEMPT_MS:
            self.sender.counts["returned after the attempt"] += 1
            return
        if reason != OVERLOADED:
            opening.early_returns = -1
        elif opening.early_returns >= 0:
            opening.early_returns += 1
        if host not in opening.tried_hosts:
            opening.tried_hosts.append(host)
        opening.note_returned(host, packet)
        if self.holders.get(packet.flow, now) is not None:
            self.holders.remove(packet.flow)
        self.place(now, packet, route, opening)

    def record_holder(self, now: int, flow: bytes, accepts: bool) -> bool:
        """Record that a member holds a flow; return whether to cache it as the holder.

        Callers continue with the first member that accepts, so a member that accepts a
        flow that is held already isn't cached. Without a known opening, and for a
        member that doesn't report a new acceptance, the answer is always True.
        """
        self.pending_resets.remove(flow)
        opening = self.openings.get(flow, now)
        if opening is None:
            return True
        is_second = accepts and opening.is_held
        opening.is_held = True
        return not is_second
