"""Resets of open flows whose route was dropped, on proof that it is still dropped.

The configuration that dropped a route may have been replaced by one that has it again
and that hasn't arrived here, while other balancers let flows open on it.
"""

from fuchsiapin.flows.balancerstate import BalancerState
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.messages import Ask, Known
from fuchsiapin.flows.openingstate import PendingReset
from fuchsiapin.flows.packets import Packet
from fuchsiapin.flows.sending import NO_ROUTE, PacketSender
from fuchsiapin.lightclasses import replace

__all__ = ["RouteCheck"]

MAX_CHECKS = 100_000
"""Maximum number of flows that other balancers are asked about at a time."""
ANSWER_MS = 150
"""How long answers count; the caller's next packet, 200 ms later or more, repeats the
question."""


class RouteCheck:
    """Asks other balancers before it resets an open flow of a dropped route.

    Parameters
    ----------
    state : BalancerState
        Routes and other balancers known to this balancer.
    sender : PacketSender
        Sends questions to balancers and resets to callers.
    """

    def __init__(self, state: BalancerState, sender: PacketSender) -> None:
        self.state = state
        self.routes = state.routes
        self.sender = sender
        self.pending_resets = FlowCache(MAX_CHECKS, ANSWER_MS)

    def on_packet(self, now: int, packet: Packet) -> None:
        """Handle a packet of an open flow that matches no route.

        A route that isn't known to have been dropped may be newer than the
        configuration here, and so may one that was, while another balancer has a newer
        configuration. The caller repeats the packet.
        """
        if packet.resets:
            return
        if not self.routes.is_dropped(packet.flow) or self.is_behind():
            self.sender.counts["route not known"] += 1
            return
        pending = self.pending_resets.get(packet.flow, now)
        if pending is not None and now - pending.asked_at <= ANSWER_MS:
            return
        hosts = self.state.balancers_to_ask(now)
        inquiry = Inquiry(packet, 0, frozenset(hosts))
        pending = PendingReset(inquiry, NO_ROUTE, now)
        if not hosts:
            if self.state.is_alone():
                self.reset(now, pending)
            return
        self.pending_resets.expire(now)
        self.pending_resets.put(packet.flow, pending, now)
        for host in hosts:
            self.sender.send(host, Ask(packet.flow))

    def is_behind(self) -> bool:
        """Return whether another balancer told a newer configuration."""
        version = self.routes.version
        peers = self.state.gossip.peers.values()
        return any(peer.configuration > version for peer in peers)

    def on_known(self, now: int, host: str, message: Known) -> None:
        """Handle another balancer's answer; reset the flow once all have confirmed.

        One that has the route from a newer configuration answers without a hash.
        """
        pending = self.pending_resets.get(message.flow, now)
        if pending is None:
            return
        if not message.members or now - pending.asked_at > ANSWER_MS:
            self.pending_resets.remove(message.flow)
            return
        pending = replace(pending, inquiry=pending.inquiry.confirm(host))
        self.pending_resets.put(message.flow, pending, now)
        if not pending.inquiry.unconfirmed_hosts:
            self.reset(now, pending)

    def reset(self, now: int, pending: PendingReset) -> None:
        """Reset a flow unless its route has come back meanwhile."""
        inquiry = pending.inquiry
        self.pending_resets.remove(inquiry.packet.flow)
        if self.routes.is_dropped(inquiry.packet.flow) and not self.is_behind():
            self.sender.reset(
                inquiry.packet,
                pending.reason,
                confirmations=len(inquiry.confirming_hosts),
            )
