"""Placement of new flows: which members they are offered to and when they are reset."""

from collections.abc import Callable

from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.knowledge import Knowledge
from fuchsiapin.flows.messages import Ask, Known
from fuchsiapin.flows.packets import Packet, flow_name
from fuchsiapin.flows.placement import placers, refusers, usable_views
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.sending import PacketSender
from fuchsiapin.flows.spreading import PUSH_PEERS
from fuchsiapin.lightclasses import dataclass, field, replace

__all__ = ["FlowOpener", "Opening"]

OPENINGS = 100_000
"""Maximum number of openings remembered; about 300 bytes each."""
OPENING_MS = 3_000
"""How long an opening is remembered; callers give up after 1.4 s."""
UNANSWERED_MS = 150
"""An opening that its side process hasn't confirmed within this time counts as lost."""
MAX_OFFERS = 4
"""Maximum number of members that one opening packet is offered to."""
ANSWER_MS = 100
"""How long other balancers have to answer whether they know a flow; many times the
round-trip time between availability zones."""


@dataclass
class Opening:
    """A new flow that was offered to a member.

    Attributes
    ----------
    host : str
        Address of the member that it was offered to last.
    sent : int
        Time of that offer, in ms.
    tried : list of str
        Addresses of all members that it was offered to.
    is_held : bool
        Whether the upstream accepted it.
    copies : int
        Retransmitted opening packets of the flow received here.
    returned : list of str
        Addresses of members that returned it.
    saw_first : bool
        Whether this balancer received the first opening packet. Otherwise another
        balancer may have offered the flow to members that aren't in `tried`.
    """

    host: str
    sent: int
    tried: list[str]
    is_held: bool = False
    copies: int = 0
    returned: list[str] = field(default_factory=list)
    saw_first: bool = False

    @property
    def is_refused(self) -> bool:
        """Return whether the flow can't have opened at any member."""
        is_everywhere = all(host in self.returned for host in self.tried)
        return self.saw_first and not self.is_held and is_everywhere


@dataclass(frozen=True)
class Refusal:
    """A new flow that no member takes, as far as this balancer knows.

    It is reset unless another balancer knows the flow.

    Parameters
    ----------
    packet : Packet
        Its opening packet.
    reason : str
        Why no member takes it.
    asked, unsure : frozenset of str
        Balancers that were asked whether they know the flow, and those of them
        that haven't answered yet that they don't.
    """

    packet: Packet
    reason: str
    asked: frozenset[str]
    unsure: frozenset[str]


class FlowOpener:
    """Places new flows and forwards retransmitted opening packets consistently.

    Parameters
    ----------
    knowledge : Knowledge
        Routes, members and other balancers known to this balancer.
    sender : PacketSender
        Sends packets to members and resets to callers.
    holders : FlowCache
        Cache of the holders of flows; placed flows are added to it.
    report : callable
        Takes the number and the fields of an event.
    placer, refuser : str
        Names of the policies for placing and for refusing new flows.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        sender: PacketSender,
        holders: FlowCache,
        report: Callable[..., None],
        placer: str,
        refuser: str,
    ) -> None:
        self.knowledge = knowledge
        self.table = knowledge.table
        self.sender = sender
        self.holders = holders
        self.report = report
        self.place_order = placers.get(placer)
        self.refuse_reason = refusers.get(refuser)
        self.openings = FlowCache(OPENINGS, OPENING_MS)
        self.refusals = FlowCache(OPENINGS, OPENING_MS)

    def on_opening(self, now: int, packet: Packet, route: FlowRoute) -> None:
        """Place a new flow; send retransmitted opening packets to the same member."""
        opening = self.openings.get(packet.flow, now)
        if opening is None:
            # The acknowledgement number counts earlier copies of the opening packet.
            opening = Opening("", now, [], saw_first=packet.acknowledged == 0)
            self.place(now, packet, route, opening)
            return
        opening.copies += 1
        if self.is_astray(now, opening):
            self.doubt(now, opening)
            self.place(now, packet, route, opening)
            return
        service = route.service_of(packet.flow)
        self.sender.offer(packet, service, opening.host, route.priority)

    def is_astray(self, now: int, opening: Opening) -> bool:
        """Return whether a retransmission should go to another member."""
        if opening.is_held:
            return False
        view = self.table.at(opening.host)
        if view is None:
            return True
        if now - opening.sent < UNANSWERED_MS:
            return False
        return view.heard < opening.sent or opening.copies > 1

    def doubt(self, now: int, opening: Opening) -> None:
        """Mark a member as suspect if nothing was received from it since an opening."""
        view = self.table.at(opening.host)
        if view is not None and view.heard < opening.sent and not view.doubted:
            view.doubted = True
            self.report(
                6106,
                member=view.member.id,
                host=opening.host,
                silent_ms=now - view.heard,
            )

    def place(
        self, now: int, packet: Packet, route: FlowRoute, opening: Opening
    ) -> None:
        """Offer a new flow to the best member that it wasn't offered to yet.

        If none is left, the flow is reset if every member returned it. A flow that may
        still be queued or open at a member isn't reset; its caller times out.
        """
        service = route.service_of(packet.flow)
        views = usable_views(now, self.table.of(service), opening.tried)
        reason = self.refuse_reason(route, views, len(opening.tried))
        if reason is not None or len(opening.tried) >= MAX_OFFERS:
            if self.knowledge.is_complete() and opening.is_refused:
                self.refuse(now, packet, reason or "every member refused")
            return
        view = self.place_order(packet.flow, views, self.knowledge.record.zone)[0]
        view.placed += 1
        opening.host = view.member.host
        opening.sent = now
        opening.tried.append(view.member.host)
        self.openings.put(packet.flow, opening, now)
        self.holders.put(packet.flow, view.member.host, now)
        self.sender.counts["placed"] += 1
        self.report(
            6102,
            flow=flow_name(packet.flow),
            member=view.member.id,
            host=view.member.host,
            waiting=view.load.waiting,
            load_age_ms=now - view.heard,
            offers=len(opening.tried),
            configuration=self.knowledge.routes.version,
        )
        self.sender.offer(packet, service, opening.host, route.priority)

    def refuse(self, now: int, packet: Packet, reason: str) -> None:
        """Reset a new flow unless another balancer knows it.

        While this packet waited on a congested link, balancers may have come or
        gone and a retransmission may have reached another one: the flow may be open.
        """
        if self.refusals.get(packet.flow, now) is not None:
            return
        hosts = frozenset(self.knowledge.spreading.heard_hosts(now)[:PUSH_PEERS])
        refusal = Refusal(packet, reason, hosts, hosts)
        if not hosts:
            self.end(refusal)
            return
        self.refusals.put(packet.flow, refusal, now)
        for host in hosts:
            self.sender.tell(host, Ask(packet.flow))
        self.knowledge.timers.add(
            now + ANSWER_MS, lambda later: self.judge(later, packet.flow)
        )

    def on_known(self, now: int, host: str, message: Known) -> None:
        """Handle another balancer's answer about a flow that no member takes."""
        refusal = self.refusals.get(message.flow, now)
        if refusal is None:
            return
        if message.host:
            self.refusals.remove(message.flow)
            return
        refusal = replace(refusal, unsure=refusal.unsure - {host})
        self.refusals.put(message.flow, refusal, now)
        if not refusal.unsure:
            self.end(refusal)

    def judge(self, now: int, flow: bytes) -> None:
        """Reset a flow if most of the asked balancers don't know it.

        Some of them may have stopped, so not all have to answer. If few answer, the
        links of this VM may be at fault: the flow isn't reset, and the caller's next
        retransmission starts over.
        """
        refusal = self.refusals.get(flow, now)
        if refusal is None:
            return
        self.refusals.remove(flow)
        if 2 * len(refusal.unsure) < len(refusal.asked):
            self.end(refusal)

    def end(self, refusal: Refusal) -> None:
        """Reset a flow that can't have opened."""
        flow = refusal.packet.flow
        self.refusals.remove(flow)
        self.openings.remove(flow)
        self.sender.reset(refusal.packet, refusal.reason)

    def offer_again(
        self,
        now: int,
        packet: Packet,
        route: FlowRoute,
        host: str,
        reason: str,
    ) -> None:
        """Offer a new flow that a member returned to another member."""
        view = self.table.at(host)
        if view is not None and reason == "refused":
            view.refused = now + self.knowledge.refusal_ms
        opening = self.openings.get(packet.flow, now) or Opening("", now, [])
        if opening.is_held:
            return
        if host not in opening.tried:
            opening.tried.append(host)
        opening.returned.append(host)
        if self.holders.get(packet.flow, now) is not None:
            self.holders.remove(packet.flow)
        self.place(now, packet, route, opening)

    def confirm(self, now: int, flow: bytes, accepts: bool) -> bool:
        """Record that a member holds a flow; return whether it was the first.

        Callers continue with the first member that accepts.
        """
        self.refusals.remove(flow)
        opening = self.openings.get(flow, now)
        if opening is None:
            return True
        is_second = accepts and opening.is_held
        opening.is_held = True
        return not is_second
