"""Search for the holder of a flow, by asking the members in rank order.

A flow that no known member holds may still be open at a member that started so
recently that this balancer hasn't received its record yet. The flow is reset only
once that is ruled out.
"""

from collections.abc import Callable

from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.knowledge import Knowledge
from fuchsiapin.flows.messages import Ask, Known, Returned
from fuchsiapin.flows.packets import Packet, flow_name
from fuchsiapin.flows.placement import rank_views
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.sending import PacketSender
from fuchsiapin.flows.spreading import DIGEST_MS, PUSH_PEERS
from fuchsiapin.lightclasses import dataclass

__all__ = ["HolderSearch"]

SEARCHES = 100_000
"""Maximum number of searches whose state is kept."""
SEARCH_MS = 1_000
"""How long the state of a search is kept."""
NEWS_MS = DIGEST_MS
"""Time within which a new member is known to every balancer: it is pushed at once, and
digests detect a lost push within one round."""
DEPARTED_MS = 5_000
"""How long a flow is remembered whose holder left."""


@dataclass(frozen=True)
class Search:
    """A search for a flow's holder.

    Parameters
    ----------
    left : list of str
        Services whose members weren't asked yet.
    asked : frozenset of str
        Ids of the members that were asked; suspect members are skipped.
    """

    left: list[str]
    asked: frozenset[str]


@dataclass(frozen=True)
class Denial:
    """A flow that no known member holds.

    Parameters
    ----------
    packet : Packet
        A packet of the flow.
    since : int
        When all members had first answered that they don't hold it, in ms.
    unsure : frozenset of str
        Balancers that haven't confirmed yet that they know the same members.
    """

    packet: Packet
    since: int
    unsure: frozenset[str]


class HolderSearch:
    """Finds the holders of flows that a balancer has no cached holder for.

    Parameters
    ----------
    knowledge : Knowledge
        Routes, members and other balancers known to this balancer.
    sender : PacketSender
        Sends packets to members and resets to callers.
    holders : FlowCache
        Cache of the holders of flows.
    report : callable
        Takes the number and the fields of an event.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        sender: PacketSender,
        holders: FlowCache,
        report: Callable[..., None],
    ) -> None:
        self.knowledge = knowledge
        self.table = knowledge.table
        self.routes = knowledge.routes
        self.sender = sender
        self.holders = holders
        self.report = report
        self.searches = FlowCache(SEARCHES, SEARCH_MS)
        self.denials = FlowCache(SEARCHES, SEARCH_MS)
        self.departed = FlowCache(SEARCHES, DEPARTED_MS)

    def begin(self, now: int, packet: Packet, route: FlowRoute, without="") -> None:
        """Ask the members of all services of a route, except the one at `without`."""
        self.ask(now, packet, self.routes.services(route), frozenset(), without)

    def ask(
        self,
        now: int,
        packet: Packet,
        services: list[str],
        asked: frozenset[str],
        without: str = "",
    ) -> None:
        """Ask the members of the first service that has any, in rank order."""
        for place, service in enumerate(services):
            views = rank_views(packet.flow, self.table.of(service))
            heard = [view for view in views if not view.is_suspect(now)]
            views = heard or views
            asked |= {view.member.id for view in views}
            hosts = [v.member.host for v in views if v.member.host != without]
            if hosts:
                search = Search(services[place + 1 :], asked)
                self.searches.put(packet.flow, search, now)
                self.sender.counts["searched"] += 1
                self.report(
                    6104,
                    flow=flow_name(packet.flow),
                    service=service,
                    members=len(hosts),
                )
                self.sender.ask(packet, service, hosts)
                return

    def leave(self, now: int, flow: bytes) -> None:
        """Record that the holder of a flow left."""
        self.holders.remove(flow)
        self.departed.put(flow, True, now)

    def found(self, flow: bytes) -> None:
        """Record that a member holds a flow."""
        self.denials.remove(flow)

    def go_on(
        self,
        now: int,
        packet: Packet,
        route: FlowRoute,
        host: str,
        message: Returned,
    ) -> None:
        """Continue a search, or reset a flow whose upstream is known to be gone."""
        if message.reason == "lost":
            self.holders.remove(packet.flow)
            if not packet.resets:
                self.sender.reset(packet, "upstream gone")
            return
        if not message.is_search:
            if self.holders.get(packet.flow, now) == host:
                self.holders.remove(packet.flow)
            self.begin(now, packet, route, host)
            return
        search = self.searches.get(packet.flow, now)
        if search is not None and search.left:
            self.ask(now, packet, search.left, search.asked)
            return
        self.deny(now, packet, route, message.hops)

    def deny(self, now: int, packet: Packet, route: FlowRoute, hops: int) -> None:
        """Handle a flow that none of the asked members holds."""
        self.sender.counts["not found"] += 1
        self.report(6105, flow=flow_name(packet.flow), hops=hops)
        services = self.routes.services(route)
        if packet.resets:
            return
        if not all(self.has_denied(packet.flow, now, name) for name in services):
            return
        if self.departed.get(packet.flow, now) is not None:
            self.sender.reset(packet, "upstream gone")
            return
        denial = self.denials.get(packet.flow, now)
        if denial is None:
            self.ask_balancers(now, packet)
        elif now - denial.since >= NEWS_MS and self.knowledge.is_informed(now):
            self.end(denial)

    def has_denied(self, flow: bytes, now: int, service: str) -> bool:
        """Return whether every known member of a service was asked for the flow."""
        search = self.searches.get(flow, now)
        if search is None:
            return False
        return all(view.member.id in search.asked for view in self.table.of(service))

    def end(self, denial: Denial) -> None:
        """Reset a flow that is open nowhere, instead of letting its caller time out."""
        self.denials.remove(denial.packet.flow)
        self.sender.reset(denial.packet, "held nowhere")

    def ask_balancers(self, now: int, packet: Packet) -> None:
        """Ask other balancers where a flow was last sent and which members they know.

        If not all of them answer, the members are searched again once new members must
        have been replicated to this balancer.
        """
        hosts = self.knowledge.spreading.heard_hosts(now)
        denial = Denial(packet, now, frozenset(hosts))
        self.denials.put(packet.flow, denial, now)
        if not hosts and self.knowledge.sees_store():
            self.end(denial)
            return
        for host in hosts[:PUSH_PEERS]:
            self.sender.tell(host, Ask(packet.flow))
        self.knowledge.timers.add(
            now + NEWS_MS, lambda later: self.ask_again(later, packet.flow)
        )

    def ask_again(self, now: int, flow: bytes) -> None:
        """Search all members again for a flow that none of them held."""
        denial = self.denials.get(flow, now)
        route = self.routes.find(flow)
        if denial is not None and route is not None:
            self.begin(now, denial.packet, route)

    def on_ask(self, now: int, host: str, message: Ask) -> None:
        """Answer another balancer where a flow was last sent."""
        holder = self.holders.get(message.flow, now) or ""
        self.sender.tell(host, Known(message.flow, holder, self.table.mark))

    def on_known(self, now: int, host: str, message: Known) -> None:
        """Handle another balancer's answer about a flow that no member here holds."""
        denial = self.denials.get(message.flow, now)
        if denial is None:
            return
        if message.host and self.table.has_left(message.host):
            self.departed.put(message.flow, True, now)
            self.denials.remove(message.flow)
            self.sender.reset(denial.packet, "upstream gone")
        elif message.host and self.table.at(message.host) is None:
            self.pass_on(now, denial.packet, message.host)
        elif message.members == self.table.mark:
            denial = Denial(denial.packet, denial.since, denial.unsure - {host})
            self.denials.put(message.flow, denial, now)
            if not denial.unsure and self.knowledge.is_informed(now):
                self.end(denial)

    def pass_on(self, now: int, packet: Packet, host: str) -> None:
        """Forward a packet to a member that is not known here yet."""
        route = self.routes.find(packet.flow)
        if route is not None:
            self.denials.remove(packet.flow)
            self.holders.put(packet.flow, host, now)
            self.sender.offer(packet, route.service_of(packet.flow), host)
