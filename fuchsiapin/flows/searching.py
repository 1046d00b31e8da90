"""Search for the holder of a flow, by asking the members in rank order.

The members of the balancer's own availability zone are asked first, for new flows are
placed there while it has room. The other zones are then searched at the same time; in
each of them the packet is passed from member to member, and returns once.

A flow that no known member holds may still be open at a member that started so
recently that this balancer hasn't received its record yet. The flow is reset only
once that is ruled out.
"""

from collections.abc import Callable, Sequence

from fuchsiapin.flows.balancerstate import BalancerState
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.members import MemberView
from fuchsiapin.flows.messages import Ask, Known, Returned
from fuchsiapin.flows.packets import Packet, flow_name
from fuchsiapin.flows.peers import DIGEST_MS
from fuchsiapin.flows.placement import rank_views
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.searchstate import (
    MAX_FIRST_NUMBER,
    FailedSearch,
    OpenSearch,
    Search,
    SearchStep,
    first_hops,
    search_key,
    search_number,
)
from fuchsiapin.flows.sending import PacketSender
from fuchsiapin.flows.unanswered import UnansweredSearches
from fuchsiapin.lightclasses import replace

__all__ = ["HolderSearch"]

MAX_SEARCHES = 100_000
"""Maximum number of searches whose state is kept."""
SEARCH_MS = 1_000
"""How long the state of a search is kept."""
PROPAGATION_MS = DIGEST_MS
"""Time within which a new member usually reaches every balancer: it is pushed at once,
and digests detect lost pushes, each round with a few random balancers."""
MAX_FLOW_MS = 60_000
"""Longest life of a flow by default."""
MAX_SEARCHED_MEMBERS = 200
"""Most members in all for which services other than the route's are searched."""
OPEN_SEARCH_MS = 150
"""How long packets of a flow wait for the answer to a search for its holder; callers
retransmit after 200 ms, which then starts another search."""
MAX_WAITING_PACKETS = 16
"""Maximum number of packets of a flow that wait; callers send no more before an
acknowledgement."""
MAX_REPORTED_HOSTS = 8
"""Maximum number of members that one event names."""
LEFT_FLOW_MS = 5_000
"""How long a flow is remembered whose holder left, with the holder's address."""


class HolderSearch:
    """Finds the holders of flows that a balancer has no cached holder for.

    Parameters
    ----------
    state : BalancerState
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
        state: BalancerState,
        sender: PacketSender,
        holders: FlowCache,
        report: Callable[..., None],
    ) -> None:
        self.state = state
        self.table = state.table
        self.routes = state.routes
        self.sender = sender
        self.holders = holders
        self.report = report
        self.searches = FlowCache(MAX_SEARCHES, SEARCH_MS)
        # Starts differ, so that no answer to a former process matches a search.
        self.last_number = state.record.started % MAX_FIRST_NUMBER
        self.failed_searches = FlowCache(MAX_SEARCHES, SEARCH_MS)
        self.left_flows = FlowCache(MAX_SEARCHES, LEFT_FLOW_MS)
        self.open_searches = FlowCache(MAX_SEARCHES, OPEN_SEARCH_MS)
        self.unanswered = UnansweredSearches()

    def find_holder(
        self, now: int, packet: Packet, route: FlowRoute, excluded_host: str = ""
    ) -> None:
        """Search for the holder of a packet's flow, or let the packet wait.

        One packet of a flow is sent along the members at a time; the others go to the
        holder directly.
        """
        search = self.open_searches.get(packet.flow, now)
        if search is not None and now - search.started_at < OPEN_SEARCH_MS:
            if len(search.packets) < MAX_WAITING_PACKETS:
                search.packets.append(packet)
            return
        self.open_searches.expire(now)
        self.open_searches.put(packet.flow, OpenSearch(now), now)
        if excluded_host or not self.continue_without_answer(now, packet):
            self.start(now, packet, route, excluded_host)

    def start(
        self,
        now: int,
        packet: Packet,
        route: FlowRoute,
        excluded_host: str = "",
        is_repeated: bool = False,
    ) -> None:
        """Start a search over the services of a route.

        `excluded_host` isn't asked in the first service with members to ask.
        """
        services = self.routes.services(route)
        search = Search(services, frozenset(), is_repeated)
        self.ask_members(now, packet, search, excluded_host)

    def ask_members(
        self, now: int, packet: Packet, search: Search, excluded_host: str = ""
    ) -> None:
        """Ask the members of the first remaining service that has any, in rank order.

        If no service has a member to ask, the packet is dropped.
        """
        services, asked_ids = search.remaining_services, search.asked_ids
        for index, service in enumerate(services):
            views = rank_views(packet.flow, self.table.by_service(service))
            responsive = [view for view in views if not view.is_suspect(now)]
            views = responsive or views
            asked_ids |= {view.member.id for view in views}
            chains = self.chains(
                now, [v for v in views if v.member.host != excluded_host]
            )
            if chains:
                search = replace(
                    search,
                    remaining_services=services[index + 1 :],
                    asked_ids=asked_ids,
                    service=service,
                    next_chains=chains,
                )
                self.send_chains(now, packet, search)
                return

    def chains(self, now: int, views: list[MemberView]) -> tuple[tuple[str, ...], ...]:
        """Return the addresses of members by availability zone, the own one first.

        Members that didn't answer in a recent search follow alone.
        """
        by_zone: dict[str, list[str]] = {}
        alone = []
        for view in views:
            host = view.member.host
            if self.unanswered.is_unresponsive(now, host):
                alone.append([host])
            else:
                by_zone.setdefault(view.member.zone, []).append(host)
        own = by_zone.pop(self.state.record.zone, None)
        chains = [own] if own else []
        return tuple(tuple(chain) for chain in [*chains, *by_zone.values(), *alone])

    def send_chains(self, now: int, packet: Packet, search: Search) -> None:
        """Send a packet along the next chains of members, and remember the search.

        The chain of the own availability zone goes alone, the others together.
        """
        chains = search.next_chains
        host = chains[0][0]
        first = self.table.by_host(host)
        is_own = first is not None and first.member.zone == self.state.record.zone
        if is_own and not self.unanswered.is_unresponsive(now, host):
            chains = chains[:1]
        later = search.next_chains[len(chains) :]
        step = SearchStep(replace(search, next_chains=later))
        self.send_step(now, packet, step, chains)

    def send_step(
        self,
        now: int,
        packet: Packet,
        step: SearchStep,
        chains: Sequence[tuple[str, ...]],
    ) -> None:
        """Send a packet along some chains, and remember them."""
        for hosts in chains:
            self.send_search(now, packet, step.search.service, hosts, step)
        self.unanswered.remember(now, packet.flow, step)

    def continue_without_answer(self, now: int, packet: Packet) -> bool:
        """Continue a search with the next packet of its flow; return whether it was.

        A member that neither claims nor denies the flow keeps the packet from those
        that follow it in its chain. The chain is split, until each member that doesn't
        answer was asked alone. Such members are asked after the others for a while;
        their silence tells nothing of the flow, so a search without them is no proof.
        """
        step = self.unanswered.take_overdue(now, packet.flow)
        if step is None:
            return False
        parts = step.overdue_parts()
        search = replace(step.search, is_repeated=False)
        if parts:
            step.search = replace(search, next_chains=())
            self.sender.counts["search split"] += 1
            self.send_step(now, packet, step, [*parts, *search.next_chains])
            return True
        step.is_done = True
        self.report_unresponsive(now, packet, step)
        if not search.remaining_services:
            return False
        waiting = [self.table.by_host(host) for host in step.waiting_hosts]
        silent_ids = {view.member.id for view in waiting if view is not None}
        asked_ids = search.asked_ids - silent_ids
        self.ask_members(now, packet, replace(search, asked_ids=asked_ids))
        return True

    def report_unresponsive(self, now: int, packet: Packet, step: SearchStep) -> None:
        """Record and report the members that don't answer in a search."""
        self.unanswered.note_unresponsive(now, step.waiting_hosts)
        self.report(
            6108,
            flow=flow_name(packet.flow),
            service=step.search.service,
            hosts=sorted(step.waiting_hosts)[:MAX_REPORTED_HOSTS],
            members=len(step.search.asked_ids),
        )

    def send_search(
        self,
        now: int,
        packet: Packet,
        service: str,
        hosts: tuple[str, ...],
        step: SearchStep,
    ) -> None:
        """Send a packet along one chain of members."""
        self.last_number += 1
        step.add(self.last_number, hosts)
        self.searches.expire(now)
        self.searches.put(search_key(packet.flow, self.last_number), step, now)
        self.sender.counts["searched"] += 1
        self.report(
            6104, flow=flow_name(packet.flow), service=service, members=len(hosts)
        )
        hops = first_hops(self.last_number)
        self.sender.forward_search(packet, service, list(hosts), hops)

    def note_holder_left(self, now: int, packet: Packet, host: str) -> None:
        """Record that the holder of a flow, a member at `host`, left.

        The address is asked all the same: the next member there may hold the flow.
        """
        self.holders.remove(packet.flow)
        self.left_flows.put(packet.flow, host, now)
        self.ask_host(now, packet, host)

    def note_holder(self, now: int, flow: bytes, host: str) -> None:
        """Record that a member holds a flow, and send it the packets that wait."""
        self.failed_searches.remove(flow)
        self.left_flows.remove(flow)
        self.unanswered.forget(flow)
        search = self.open_searches.get(flow, now)
        self.unanswered.note_answers([host])
        if search is None:
            return
        self.open_searches.remove(flow)
        view = self.table.by_host(host)
        if view is not None:
            for packet in search.packets:
                self.sender.forward_open(now, packet, view.member.service, host)

    def continue_search(
        self,
        now: int,
        packet: Packet,
        route: FlowRoute,
        host: str,
        message: Returned,
    ) -> None:
        """Start or continue the search for a flow's holder after a packet was returned.

        A flow whose upstream is known to be gone is reset.
        """
        if message.reason == "lost":
            self.holders.remove(packet.flow)
            if not packet.resets:
                self.sender.reset(packet, "upstream gone", host=host, denials=1)
            return
        if not message.is_search:
            if self.holders.get(packet.flow, now) == host:
                self.holders.remove(packet.flow)
            view = self.table.by_host(host)
            is_own = view is not None and view.member.service == message.service
            self.find_holder(now, packet, route, host if is_own else "")
            return
        number = search_number(message.hops)
        key = search_key(packet.flow, number)
        step = self.searches.get(key, now)
        # Without a search, or with one of no known member, nothing follows; the
        # caller's next packet starts another one.
        if step is None or not step.search.asked_ids:
            return
        self.searches.remove(key)
        self.unanswered.note_answers(step.chains.get(number, ()))
        step.note_returned(number)
        if step.waiting_hosts or step.is_done:
            return
        step.is_done = True
        search = step.search
        if search.next_chains:
            self.send_chains(now, packet, search)
            return
        if not search.remaining_services:
            search = self.extend(now, packet, route, search)
        if search.remaining_services:
            self.ask_members(now, packet, search)
            return
        hops = message.hops - first_hops(number)
        self.handle_not_found(now, packet, route, search, hops)

    def extend(
        self, now: int, packet: Packet, route: FlowRoute, search: Search
    ) -> Search:
        """Return a search of which no service remains, with those still to be asked.

        A process that started recently, or that may have skipped versions of the
        configuration since a flow's life ago, doesn't know which services the route had
        before. It asks all others too, once all members of the route's own services
        denied the flow.
        """
        is_complete = search.has_all_services or packet.resets
        if is_complete or self.knows_services(now):
            return search
        if self.left_flows.get(packet.flow, now) is not None:
            return search
        if not search.asked_ids >= self.known_ids(route, search):
            return search
        services = []
        if len(self.table.views) <= MAX_SEARCHED_MEMBERS:
            own = self.routes.services(route)
            by_service = self.table.views_by_service
            services = [name for name in by_service if name not in own]
        return replace(search, remaining_services=services, has_all_services=True)

    def knows_services(self, now: int) -> bool:
        """Return whether all services to which open flows may have been sent are known.

        Those of a route change with the versions of the configuration.
        """
        unknown_until = max(
            self.state.record.started, self.state.configurations.skipped_until
        )
        return now - unknown_until > MAX_FLOW_MS

    def handle_not_found(
        self, now: int, packet: Packet, route: FlowRoute, search: Search, hops: int
    ) -> None:
        """Handle a flow that none of the asked members holds.

        Another answer may have told the holder since the search began: a member that
        wasn't asked by this search.
        """
        if self.holders.get(packet.flow, now) is not None:
            return
        self.open_searches.remove(packet.flow)
        self.sender.counts["not found"] += 1
        self.report(
            6105,
            flow=flow_name(packet.flow),
            hops=hops,
            denials=len(search.asked_ids),
            skipped_ms=now - self.state.configurations.skipped_until,
        )
        if packet.resets or not search.asked_ids >= self.known_ids(route, search):
            return
        failed = self.failed_searches.get(packet.flow, now)
        if failed is not None and self.may_reset(now, failed):
            self.reset_flow(now, failed)
        elif not search.is_repeated and not self.is_pending(now, failed):
            self.ask_balancers(now, packet, search.asked_ids)

    def known_ids(self, route: FlowRoute, search: Search) -> set[str]:
        """Return the ids of all known members that may hold the flow of a search."""
        if search.has_all_services:
            return set(self.table.views)
        return {
            view.member.id
            for service in self.routes.services(route)
            for view in self.table.by_service(service)
        }

    def is_pending(self, now: int, failed: FailedSearch | None) -> bool:
        """Return whether other balancers may still confirm a failed search."""
        return (
            failed is not None
            and failed.ids_hash == self.table.ids_hash
            and now - failed.failed_at < SEARCH_MS
        )

    def may_reset(self, now: int, failed: FailedSearch) -> bool:
        """Return whether a flow can't be open at any member, known here or not.

        All members that are known here denied it, and since then the other balancers
        answered that they know neither the flow nor more members: at once if all of
        them did, after `PROPAGATION_MS` if more than half did.
        """
        if failed.ids_hash != self.table.ids_hash or not self.state.knows_members(now):
            return False
        if not failed.inquiry.asked_hosts:
            return self.state.is_alone()
        if not failed.inquiry.unconfirmed_hosts:
            return True
        has_waited = now - failed.failed_at >= PROPAGATION_MS
        return has_waited and failed.inquiry.is_confirmed_by_most

    def reset_flow(self, now: int, failed: FailedSearch) -> None:
        """Reset a flow that is open nowhere, instead of letting its caller time out."""
        inquiry = failed.inquiry
        self.failed_searches.remove(inquiry.packet.flow)
        left_host = self.left_flows.get(inquiry.packet.flow, now)
        self.sender.reset(
            inquiry.packet,
            "held nowhere" if left_host is None else "upstream gone",
            host=left_host or "",
            denials=inquiry.denials,
            confirmations=len(inquiry.confirming_hosts),
        )

    def ask_balancers(
        self, now: int, packet: Packet, asked_ids: frozenset[str]
    ) -> None:
        """Ask other balancers where a flow was last sent and which members they know.

        The members with these ids denied the flow.

        Unless their answers lead to the holder or to a reset, the members are searched
        again after a time in which new members usually reach this balancer.
        """
        hosts = self.state.balancers_to_ask(now)
        inquiry = Inquiry(packet, len(asked_ids), frozenset(hosts))
        failed = FailedSearch(inquiry, now, self.table.ids_hash, asked_ids)
        if self.may_reset(now, failed):
            self.reset_flow(now, failed)
            return
        self.failed_searches.put(packet.flow, failed, now)
        for host in hosts:
            self.sender.send(host, Ask(packet.flow))
        self.state.timers.add(
            now + PROPAGATION_MS, lambda later: self.search_again(later, packet.flow)
        )

    def search_again(self, now: int, flow: bytes) -> None:
        """Search all members again for a flow that none of them held."""
        failed = self.failed_searches.get(flow, now)
        route = self.routes.find(flow)
        if failed is not None and route is not None:
            self.start(now, failed.inquiry.packet, route, is_repeated=True)

    def answer(self, now: int, host: str, flow: bytes, holder: str) -> None:
        """Answer another balancer where a flow was last sent, empty for nowhere.

        The hash over the members is left out if they don't account for that address, or
        if some may not be known here yet: a member that isn't may hold the flow. It is
        left out, too, if the other balancer told a configuration from before the flow's
        route or its services.
        """
        is_accounted = (
            not holder or self.table.has_left(holder) or self.table.by_host(holder)
        )
        peer = self.state.gossip.peers.get(host)
        told = peer.configuration if peer else 0
        is_behind = 0 < told < self.routes.changed_version(flow)
        is_complete = is_accounted and self.state.knows_members(now) and not is_behind
        ids_hash = self.table.ids_hash if is_complete else 0
        self.sender.send(host, Known(flow, holder, ids_hash))

    def on_known(self, now: int, host: str, message: Known) -> None:
        """Handle another balancer's answer about a flow that no member here holds."""
        failed = self.failed_searches.get(message.flow, now)
        if failed is None:
            return
        if message.host and not self.was_asked(failed, message.host):
            self.ask_named_host(now, failed, message.host)
            if not self.table.has_left(message.host):
                return
        if message.members == failed.ids_hash:
            failed = replace(failed, inquiry=failed.inquiry.confirm(host))
            self.failed_searches.put(message.flow, failed, now)
            if self.may_reset(now, failed):
                self.reset_flow(now, failed)

    def was_asked(self, failed: FailedSearch, host: str) -> bool:
        """Return whether a failed search asked the member at an address."""
        view = self.table.by_host(host)
        return view is not None and view.member.id in failed.asked_ids

    def ask_named_host(self, now: int, failed: FailedSearch, host: str) -> None:
        """Send a packet to an address that wasn't asked and that a balancer names.

        The flow isn't reset then unless a member is known to have left the address.
        """
        packet = failed.inquiry.packet
        if not self.table.has_left(host):
            self.failed_searches.remove(packet.flow)
        elif self.left_flows.get(packet.flow, now) is None:
            self.left_flows.put(packet.flow, host, now)
        else:
            return
        self.ask_host(now, packet, host)

    def ask_host(self, now: int, packet: Packet, host: str) -> None:
        """Send a packet to one address; its member reports the flow if it holds it.

        If the member isn't known, the route's service for new flows is sent. A side
        process of another service returns the packet, and nothing follows.
        """
        route = self.routes.find(packet.flow)
        if route is not None:
            view = self.table.by_host(host)
            service = view.member.service if view else route.service_of(packet.flow)
            search = Search([], frozenset(), is_repeated=True)
            self.send_search(now, packet, service, (host,), SearchStep(search))
