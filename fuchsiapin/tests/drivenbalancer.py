"""One balancer whose packets, messages and time a test supplies."""

import random
from collections import Counter
from typing import Any

from fuchsiapin.flows.balancercore import make_flow_balancer_core
from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.messages import Ask, Forward, Held, Known, Returned
from fuchsiapin.flows.packets import endpoint
from fuchsiapin.flows.peerrecords import BalancerRecord
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.tests.flowactors import (
    ACK,
    SERVICE,
    SYN,
    PlainPacketFormat,
    make_packet,
    make_route,
)

__all__ = ["CALLER", "LOAD", "DrivenBalancer", "make_member"]

LOAD = [0] * 5
CALLER = endpoint("100.64.0.1", 4_000)


def make_member(number: int, service: str = SERVICE) -> FlowMember:
    """Return a member; its number is part of its id and address."""
    host = f"10.0.{1 + number // 250}.{1 + number % 250}"
    return FlowMember(f"u{number}", 100, service, host, "z", 2, "ready")


class DrivenBalancer:
    """A balancer that knows one route, members and other balancers.

    The store has answered it, and it isn't young unless `age` says so.

    Parameters
    ----------
    peers, members : int
        Number of other balancers, and of members of the route's service.
    age : int
        Time since the start of the process, in ms.
    now : int
        Current time, in ms.
    """

    def __init__(
        self, peers: int = 2, members: int = 2, age: int = 500_000, now: int = 1_000_000
    ) -> None:
        self.now = now
        self.reasons: list[str] = []
        self.sent: list[ToPeer] = []
        self.first_hash = 0
        self.denied = 0
        record = BalancerRecord("entry", now - age, "10.0.0.1", "z")
        self.core = make_flow_balancer_core(
            record, [], PlainPacketFormat(), self.report, random.Random(1)
        )
        state = self.core.state
        self.table = state.table
        self.route = make_route()
        self.flow = self.route.address + CALLER
        state.routes.put(FlowConfiguration(1, (self.route,), 15_000))
        for follower in state.followers:
            follower.has_listed = follower.is_active = follower.is_reachable = True
        self.peers = [f"10.0.0.{2 + number}" for number in range(peers)]
        for host in self.peers:
            state.gossip.note_message(now, host)
        self.members = [make_member(number) for number in range(members)]
        for member in self.members:
            self.table.put(now, member)

    def report(self, number: int, **fields: Any) -> None:
        """Record the reasons of resets."""
        if number == 6103:
            self.reasons.append(fields["reason"])

    def collect(self) -> None:
        """Record what the balancer sent."""
        self.sent += [e for e in self.core.take_effects() if isinstance(e, ToPeer)]

    def counts(self) -> Counter[str]:
        """Return the number of messages sent so far, by type."""
        return Counter(type(effect.message).__name__ for effect in self.sent)

    def hosts_of(self, kind: type) -> list[str]:
        """Return the addresses to which messages of a type were sent, in order."""
        return [e.host for e in self.sent if isinstance(e.message, kind)]

    def last(self, kind: type) -> Any:
        """Return the latest message of a type."""
        return [e.message for e in self.sent if isinstance(e.message, kind)][-1]

    def wait(self, duration: int) -> None:
        """Let time pass, and run the timers that become due."""
        end = self.now + duration
        timers = self.core.timers
        while (due := timers.next_due()) is not None and due <= end:
            self.now = due
            timers.run(due)
        self.now = end
        self.collect()

    def request(self, caller: bytes = CALLER) -> None:
        """Receive a packet of an open flow."""
        data = make_packet(ACK, self.route.address, caller, 1, 1, 50)
        self.core.on_packet(self.now, data)
        self.collect()

    def open(self, retransmission: int = 0) -> None:
        """Receive an opening packet."""
        data = make_packet(SYN, self.route.address, CALLER, 1, retransmission)
        self.core.on_packet(self.now, data)
        self.collect()

    def receive(self, host: str, message: Any) -> None:
        """Receive a message."""
        self.core.on_message(self.now, host, message)
        self.collect()

    def searches(self) -> list[ToPeer]:
        """Return the packets that were sent along members, in order."""
        return [
            effect
            for effect in self.sent
            if isinstance(effect.message, Forward) and effect.message.is_search
        ]

    def deny(self) -> None:
        """Receive the packets of all searches since the last call back.

        The last member of each chain returns its packet.
        """
        searches = self.searches()
        denied, self.denied = self.denied, len(searches)
        for search in searches[denied:]:
            self.deny_chain(search)

    def deny_chain(self, search: ToPeer) -> None:
        """Receive the packet of one chain back from its last member."""
        forward = search.message
        host = [search.host, *forward.rest][-1]
        hops = forward.hops + 1 + len(forward.rest)
        returned = Returned(
            forward.service, "unknown", hops, True, LOAD, forward.packet
        )
        self.receive(host, returned)

    def confirm(self, *hosts: str) -> None:
        """Receive that other balancers know no more than this one knew at first."""
        for host in hosts:
            self.receive(host, Known(self.flow, "", self.first_hash))

    def search_in_vain(self) -> None:
        """Receive a packet of a flow that every member denies."""
        self.first_hash = self.table.ids_hash
        self.request()
        self.deny()

    def claim(self, host: str, flow: bytes | None = None) -> None:
        """Receive from a member that it holds a flow."""
        self.receive(host, Held(flow or self.flow, False, LOAD))

    def asked(self) -> list[str]:
        """Return the addresses of the balancers that were asked so far."""
        return self.hosts_of(Ask)
