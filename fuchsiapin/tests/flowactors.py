"""Callers, upstreams and a simple wire layout for tests, on simulated time."""

import struct
from collections import Counter, deque
from typing import Any

from fuchsiapin.flows.packets import Packet, endpoint
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.upstreams import Heartbeat

__all__ = ["Caller", "PlainPacketFormat", "Upstream", "make_packet", "make_route"]

HEADER = struct.Struct(">BB6s6sIIH")
SYN, ACK, FIN, RST, BOUNCED = 1, 2, 4, 8, 16
DATA_BYTES = 1_200
SEQUENCE_STEP = 1 << 25
"""Distance between the first sequence numbers of two upstreams; real ones are
random."""
HEARTBEAT_MS = 700
LINK_MS = 2
SERVICE = "desk"
ROUTE_ADDRESS = ("198.18.0.1", 443)


class PlainPacketFormat:
    """A simple wire layout for tests."""

    def read(self, data: bytes, from_upstream: bool) -> Packet | None:
        """Return a packet, None when the datagram is malformed."""
        if len(data) < HEADER.size:
            return None
        flags, _, target, source, seq, ack, length = HEADER.unpack_from(data)
        if len(data) != HEADER.size + length:
            return None
        is_bounced = bool(flags & BOUNCED)
        is_answer = from_upstream and not is_bounced
        return Packet(
            source + target if is_answer else target + source,
            flags & SYN and not flags & ACK,
            flags & SYN and flags & ACK,
            bool(flags & FIN),
            bool(flags & RST),
            is_bounced,
            seq,
            ack,
            length,
            length >= DATA_BYTES,
            data,
        )

    def clear_marks(self, data: bytes) -> bytes:
        """Return a packet as its sender wrote it."""
        return bytes([data[0] & ~BOUNCED]) + data[1:]

    def reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset to the caller."""
        return HEADER.pack(RST, 0, flow[6:], flow[:6], sequence, 0, 0)


def make_packet(
    flags: int, target: bytes, source: bytes, seq: int = 0, ack: int = 0, length=0
) -> bytes:
    """Return a packet with `length` bytes of data."""
    return HEADER.pack(flags, 0, target, source, seq, ack, length) + bytes(length)


def make_route(
    service: str = SERVICE, kind: str = "safe", port: int = ROUTE_ADDRESS[1]
) -> FlowRoute:
    """Return a route to one service."""
    address = endpoint(ROUTE_ADDRESS[0], port)
    return FlowRoute(f"to-{service}", address, ((service, 1),), kind, 1_200, 170, 1)


class Upstream:
    """Accepts flows, runs requests in slots, and returns packets of other flows."""

    def __init__(
        self, world: Any, host: str, service: str, slots: int, service_ms: int
    ) -> None:
        self.world = world
        self.host = host
        self.service = service
        self.slots = slots
        self.service_ms = service_ms
        self.capacity = 100
        self.is_up = True
        self.is_draining = False
        self.cold_until = 0
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation, without any state of earlier ones."""
        self.world.incarnations += 1
        self.id = f"u{self.world.incarnations}"
        self.born = self.world.now + 1
        self.sequence = 0
        self.flows: dict[bytes, int] = {}
        self.foreign_packets = 0
        self.running = 0
        self.queue: deque[bytes] = deque()
        self.runs: Counter[bytes] = Counter()
        self.incarnation = self.world.incarnations

    def receive(self, data: bytes) -> None:
        """Handle a packet from a caller."""
        if not self.is_up:
            return
        packet = self.world.packets.read(data, False)
        assert packet is not None
        flow = packet.flow
        if packet.opens:
            if len(self.flows) >= self.capacity:
                self.bounce(data)
                return
            first = SEQUENCE_STEP * self.incarnation + len(self.flows)
            self.flows.setdefault(flow, first)
            self.send(flow, SYN | ACK, 0)
        elif flow not in self.flows:
            self.bounce(data)
        elif abs(packet.acknowledged - self.flows[flow]) >= 100_000:
            self.foreign_packets += 1
        elif packet.length and not packet.is_full:
            self.queue.append(flow)
            self.run_next()

    def bounce(self, data: bytes) -> None:
        """Return a packet undelivered."""
        self.world.send_from_upstream(self.host, bytes([data[0] | BOUNCED]) + data[1:])

    def run_next(self) -> None:
        """Run queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            flow = self.queue.popleft()
            self.running += 1
            self.runs[flow] += 1
            incarnation = self.incarnation
            self.world.after(
                self.service_ms, lambda f=flow, t=incarnation: self.finish(f, t)
            )

    def finish(self, flow: bytes, incarnation: int) -> None:
        """Answer a request."""
        if incarnation != self.incarnation or not self.is_up:
            return
        self.running -= 1
        self.flows[flow] += 100
        self.send(flow, ACK, 100)
        self.run_next()

    def send(self, flow: bytes, flags: int, length: int) -> None:
        """Send a packet of a flow to its caller."""
        seq = self.flows[flow] - length
        data = make_packet(flags, flow[6:], flow[:6], seq, 0, length)
        self.world.send_from_upstream(self.host, data)

    def answer_probe(self) -> tuple[str, str]:
        """Return the outcome of a health check, and the id that its answer has."""
        if not self.is_up:
            return "closed", ""
        return ("unhealthy", "") if self.is_draining else ("healthy", self.id)

    def next_heartbeat(self) -> Heartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        return Heartbeat(
            self.id,
            self.born,
            self.sequence,
            self.service,
            "z",
            self.slots,
            self.is_draining,
            max(0, self.cold_until - self.world.now),
            (self.host, 80),
        )


class Caller:
    """A caller with one flow, and a record of what it received."""

    def __init__(self, world: Any, number: int, route: FlowRoute) -> None:
        self.world = world
        self.source = endpoint(f"100.64.{number >> 8}.{number & 255}", 4_000)
        self.flow = route.address + self.source
        self.route = route
        self.seq = 1
        self.ack = 0
        self.is_open = False
        self.resets = 0
        self.answers = 0
        self.opened_at = 0
        self.answered_at = 0

    def open(self, balancer: str, retransmission: int = 0) -> None:
        """Send an opening packet; `retransmission` is its number, 0 for the first."""
        data = make_packet(SYN, *self.endpoints(), self.seq, retransmission)
        self.world.send_to_balancer(balancer, data)

    def request(self, balancer: str, length: int = 50) -> None:
        """Send a request in one packet."""
        data = make_packet(ACK, *self.endpoints(), self.seq, self.ack, length)
        self.seq += length
        self.world.send_to_balancer(balancer, data)

    def retransmit(self, balancer: str, length: int = 50) -> None:
        """Retransmit the last request."""
        data = make_packet(ACK, *self.endpoints(), self.seq - length, self.ack, length)
        self.world.send_to_balancer(balancer, data)

    def endpoints(self) -> tuple[bytes, bytes]:
        """Return the target and the source of the caller's packets."""
        return self.route.address, self.source

    def receive(self, data: bytes) -> None:
        """Handle a packet."""
        packet = self.world.packets.read(data, True)
        assert packet is not None
        if packet.resets:
            self.resets += 1
            self.is_open = False
        elif packet.accepts:
            if self.is_open:
                return
            self.is_open = True
            self.ack = packet.sequence + 1
            self.opened_at = self.world.now
        elif packet.length:
            self.answers += 1
            self.ack = packet.sequence + packet.length
            self.answered_at = self.world.now
