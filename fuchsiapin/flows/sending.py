"""Outgoing packets and messages of a balancer."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from fuchsiapin.flows.balancerstate import BalancerState
from fuchsiapin.flows.effects import ToCaller, ToPeer
from fuchsiapin.flows.messages import Forward
from fuchsiapin.flows.pacing import LinkPacer
from fuchsiapin.flows.packets import Packet, PacketFormat, caller_host, flow_name

__all__ = ["NO_ROUTE", "PacketSender"]

NO_ROUTE = "no route"
"""Reason of the reset of a flow that matches no route."""


class PacketSender:
    """Sends packets to side processes and resets to callers.

    Parameters
    ----------
    state : BalancerState
        Routes, members and other balancers known to this balancer.
    packet_format : PacketFormat
        Wire layout of packets.
    report : callable
        Takes the number and the fields of an event.
    pacer : LinkPacer, optional
        Spaces out packets of uploads; without it all are sent at once.

    Attributes
    ----------
    counts : Counter
        Number of decisions by outcome, for metrics.
    """

    def __init__(
        self,
        state: BalancerState,
        packet_format: PacketFormat,
        report: Callable[..., None],
        pacer: LinkPacer | None = None,
    ) -> None:
        self.state = state
        self.pacer = pacer
        self.is_flush_scheduled = False
        self.host = state.record.host
        self.packet_format = packet_format
        self.report = report
        self.counts: Counter[str] = Counter()

    def send(self, host: str, message: Any) -> None:
        """Send a message to another process."""
        self.state.effects.append(ToPeer(host, message))

    def forward(
        self,
        packet: Packet,
        service: str,
        host: str,
        priority: int = 0,
        hops: int = 0,
    ) -> None:
        """Send a packet to the side process of one member.

        `priority` is the packed service class of an opening packet's route, see
        `fuchsiapin.flows.serviceclass`; `hops` is described at
        `Opening.early_returns`.
        """
        forward = Forward(service, self.host, hops, priority, False, [], packet.data)
        self.send(host, forward)

    def forward_open(self, now: int, packet: Packet, service: str, host: str) -> None:
        """Send a packet of an open flow to the side process of its holder.

        Packets of uploads may wait for the link of this VM.
        """
        pacer, size = self.pacer, len(packet.data)
        if pacer is None or pacer.admits(now, packet.flow, packet.is_full, size):
            self.forward(packet, service, host)
            return
        item = packet, service, host
        if pacer.put(now, packet.flow, packet.sequence, size, item):
            self.counts["waited for the link"] += 1
            self.schedule_flush()
        else:
            self.counts["dropped before the link"] += 1

    def schedule_flush(self) -> None:
        """Schedule the time when the next waiting packet may be sent."""
        assert self.pacer is not None
        due_at = self.pacer.next_due()
        if due_at is not None and not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.state.timers.add(due_at, self.flush)

    def flush(self, now: int) -> None:
        """Send the waiting packets for which the link has room."""
        assert self.pacer is not None
        self.is_flush_scheduled = False
        for packet, service, host in self.pacer.take(now):
            self.forward(packet, service, host)
        self.schedule_flush()

    def forward_search(
        self, packet: Packet, service: str, hosts: list[str], hops: int
    ) -> None:
        """Send a packet along several members until one of them holds its flow.

        `hops` is the count of hops with which it starts.
        """
        forward = Forward(service, self.host, hops, 0, True, hosts[1:], packet.data)
        self.send(hosts[0], forward)

    def reset(
        self,
        packet: Packet,
        reason: str,
        host: str = "",
        denials: int = 0,
        confirmations: int = 0,
    ) -> None:
        """Send a reset to the caller of a flow that can't be served.

        Parameters
        ----------
        packet : Packet
            A packet of the flow.
        reason : str
            Why it can't be served.
        host : str
            Address of the side process that last had the flow, if known.
        denials : int
            Members that were asked for the flow and denied it.
        confirmations : int
            Other balancers that confirmed that they know neither the flow nor more
            members.
        """
        self.counts[f"reset: {reason}"] += 1
        self.report(
            6103,
            flow=flow_name(packet.flow),
            reason=reason,
            opens=packet.opens,
            host=host,
            denials=denials,
            confirmations=confirmations,
            configuration=self.state.routes.version,
        )
        data = self.packet_format.reset(packet.flow, packet.acknowledged)
        self.state.effects.append(
            ToCaller(caller_host(packet.flow), data, self.state.record.zone)
        )
