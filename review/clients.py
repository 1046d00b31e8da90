"""Stand-ins for the platform's routers and for clients."""

import hashlib
import http.client
import random
import threading
import time
from collections.abc import Callable
from typing import Any

from review.loop import Loop, send
from review.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    SYSTEM_SUM,
    endpoint,
    endpoint_text,
    read_packet,
    write_packet,
)
from review.system import Machine, Record, System

PROBE_S = 0.5
COPIES_S = (0.0, 0.2, 0.6)
"""Times of the opening packets of a flow."""
GIVE_UP_S = 1.4
RETRANSMISSIONS = (0.2, 0.4, 0.8, 1.6)


class Router:
    """Forwards packets by a hash over the nodes of a zone that are in rotation.

    Attributes
    ----------
    cut : set
        Names of the nodes that are cut off.
    taken : list
        Time, flow and node of each packet that was forwarded.
    """

    def __init__(self, loop: Loop, system: System) -> None:
        self.loop = loop
        self.system = system
        self.misses: dict[str, int] = {}
        self.is_over = False
        self.cut: set[str] = set()
        self.taken: list[tuple[float, bytes, str]] = []
        self.socket = loop.udp(f"{system.network}.0.2", 0, lambda *_: None)
        for machine in system.of_role("balancer"):
            self.misses[machine.name] = 2
            threading.Thread(target=self.probe, args=(machine,), daemon=True).start()

    def probe(self, machine: Machine) -> None:
        """Ask a node twice a second whether it is ready."""
        while not self.is_over:
            began = time.monotonic()
            connection = http.client.HTTPConnection(*machine.ready, timeout=PROBE_S)
            try:
                connection.request("GET", "/fuchsiapin/readiness")
                is_ready = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                is_ready = False
            finally:
                connection.close()
            is_ready = is_ready and machine.name not in self.cut
            self.misses[machine.name] = 0 if is_ready else self.misses[machine.name] + 1
            time.sleep(max(0.0, PROBE_S - (time.monotonic() - began)))

    def in_rotation(self, zone: str = "") -> list[Machine]:
        """Return the nodes of a zone that are in rotation, all zones' if empty."""
        nodes = [
            machine
            for machine in self.system.of_role("balancer")
            if not zone or machine.zone == zone
        ]
        ready = [node for node in nodes if self.misses[node.name] < 2]
        if ready and 2 * len(ready) >= len(nodes):
            return ready
        if ready or not zone:
            return nodes
        return self.in_rotation()

    def node_for(self, key: bytes, zone: str) -> Machine:
        """Return the node that the hash of a flow selects."""
        nodes = self.in_rotation(zone)
        number = int.from_bytes(hashlib.blake2s(key, digest_size=8).digest(), "big")
        return nodes[number % len(nodes)]

    def send(self, key: bytes, zone: str, data: bytes, node: Machine | None) -> None:
        """Forward a packet to a node, or to the one that the hash selects.

        What is sent to a node that is cut off is lost.
        """
        node = node or self.node_for(key, zone)
        if node.name in self.cut:
            return
        self.taken.append((time.monotonic(), key, node.name))
        send(self.socket, data, node.packets)


class ClientFlow:
    """One flow of a client and the requests on it.

    Attributes
    ----------
    outcome : str
        Empty while it is in use; `no answer`, `reset`, `closed` or `late`.
    resets : list
        Time and kind of each reset that the client got.
    requests : list
        Id, time of sending, time of the answer (0 without) and status of each request.
    """

    def __init__(self, key: bytes, zone: str, node: Machine | None, seq: int) -> None:
        self.key = key
        self.zone = zone
        self.node = node
        self.seq = seq
        self.ack = 0
        self.began = time.monotonic()
        self.opened = 0.0
        self.outcome = ""
        self.requests: list[list] = []
        self.resets: list[tuple[float, str]] = []
        self.peer_next = 0

    @property
    def request(self) -> list | None:
        """Return the request that waits for an answer."""
        last = self.requests[-1] if self.requests else None
        return last if last is not None and not last[2] else None


class Clients:
    """Clients of one zone, at one address.

    Parameters
    ----------
    wants_next : callable, optional
        Called with a flow after each answer; returns the pause in seconds before the
        next request on it, None to close it.
    """

    def __init__(
        self,
        loop: Loop,
        system: System,
        router: Router,
        record: Record,
        number: int = 0,
        zone: str = "",
        wants_next: Callable[[ClientFlow], float | None] = lambda flow: None,
        deadline_s: float = 1.5,
    ) -> None:
        self.loop = loop
        self.system = system
        self.router = router
        self.record = record
        self.zone = zone
        self.wants_next = wants_next
        self.deadline_s = deadline_s
        self.ip = system.client_ip(number)
        self.rng = random.Random(number)
        self.socket = loop.udp(self.ip, system.packet_port, self.on_datagram)
        self.flows: dict[bytes, ClientFlow] = {}
        self.next_port = 20_000 + number * 1_000
        self.sent = 0
        self.errors: list[str] = []

    def open(self, target: bytes, node: Machine | None = None) -> ClientFlow:
        """Open a flow and send one request on it; `node` bypasses the routers."""
        self.next_port = self.next_port + 1 if self.next_port < 60_000 else 20_000
        key = target + endpoint(self.ip, self.next_port)
        flow = ClientFlow(key, self.zone, node, self.rng.getrandbits(32))
        self.flows[key] = flow

        def copy(number: int) -> None:
            if not flow.opened and not flow.outcome:
                self.transmit(flow, SYN, flow.seq, number)

        for number, delay_s in enumerate(COPIES_S):
            self.loop.later(delay_s, lambda n=number: copy(n))
        self.loop.later(GIVE_UP_S, lambda: self.give_up(flow))
        return flow

    def give_up(self, flow: ClientFlow) -> None:
        """End a flow that didn't open."""
        if not flow.opened and not flow.outcome:
            flow.outcome = "no answer"
            self.note(flow, "not opened")

    def note(self, flow: ClientFlow, *values: object) -> None:
        """Add a line on a flow to the record."""
        self.record.note("flow", endpoint_text(flow.key[6:]), *values)

    def transmit(
        self, flow: ClientFlow, flags: int, seq: int, ack: int, body: bytes = b""
    ) -> None:
        """Send a packet of a flow."""
        data = write_packet(flags, flow.key[:6], flow.key[6:], seq, ack, body)
        self.router.send(flow.key, flow.zone, data, flow.node)

    def on_datagram(self, data: bytes, source: Any) -> None:
        """Handle a packet for a client."""
        packet = read_packet(data)
        flow = self.flows.get(packet.src + packet.dst)
        if flow is None:
            self.errors.append(f"packet of no flow: {data[:36].hex()}")
            return
        if packet.sum == SYSTEM_SUM and packet.flags == RST and not packet.body:
            self.on_reset(flow, "the system")
            return
        if not packet.is_intact:
            self.errors.append(f"changed packet: {data[:36].hex()}")
        elif packet.flags & RST:
            self.on_reset(flow, "the backend")
        elif packet.flags & SYN:
            self.on_accepted(flow, packet)
        elif packet.body and flow.opened:
            self.on_answer(flow, packet)

    def on_reset(self, flow: ClientFlow, sender: str) -> None:
        """End a flow that was reset."""
        if flow.outcome and flow.outcome != "late":
            return
        state = "open" if flow.opened else "new"
        flow.resets.append((time.monotonic(), sender))
        self.note(flow, f"reset by {sender} while {state}")
        flow.outcome = "reset"

    def on_accepted(self, flow: ClientFlow, packet: Any) -> None:
        """Continue with the first backend that accepted the flow."""
        if flow.opened or flow.outcome:
            return
        flow.opened = time.monotonic()
        flow.seq = (flow.seq + 1) & 0xFFFF_FFFF
        flow.ack = (packet.seq + 1) & 0xFFFF_FFFF
        self.send_request(flow)

    def send_request(self, flow: ClientFlow) -> None:
        """Send a request on an open flow until it is answered."""
        if flow.outcome:
            return
        self.sent += 1
        name = f"q{self.ip.rsplit('.', 1)[1]}-{self.sent}"
        body = (
            f"POST /work HTTP/1.1\r\nHost: work\r\nX-Request-Id: {name}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        request = [name, time.monotonic(), 0.0, ""]
        flow.requests.append(request)
        seq = flow.seq
        flow.seq = (flow.seq + len(body)) & 0xFFFF_FFFF
        self.note(flow, "sends", name)
        pauses = iter(RETRANSMISSIONS)

        def transmit() -> None:
            if request[2] or flow.outcome:
                return
            self.transmit(flow, ACK, seq, flow.ack, body)
            if (pause := next(pauses, None)) is not None:
                self.loop.later(pause, transmit)

        def expire() -> None:
            if not request[2] and not flow.outcome:
                flow.outcome = "late"
                self.note(flow, name, "wasn't answered by its deadline")

        transmit()
        self.loop.later(self.deadline_s, expire)

    def on_answer(self, flow: ClientFlow, packet: Any) -> None:
        """Handle the answer to the request that waits."""
        request = flow.request
        if packet.seq != flow.ack:
            self.transmit(flow, ACK, flow.seq, flow.ack)
            return
        flow.ack = (flow.ack + len(packet.body)) & 0xFFFF_FFFF
        self.transmit(flow, ACK, flow.seq, flow.ack)
        if request is None or flow.outcome == "reset":
            return
        head, _, text = packet.body.partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode().partition(" ")[2]
        request[2], request[3] = time.monotonic(), status
        if status.startswith("200") and not text.startswith(f"{request[0]} ".encode()):
            self.errors.append(f"{request[0]} got {text!r}")
        self.note(flow, request[0], "answered", status, text.decode())
        pause = self.wants_next(flow) if not flow.outcome else None
        if pause is None:
            self.close(flow)
        else:
            self.loop.later(pause, lambda: self.send_request(flow))

    def close(self, flow: ClientFlow) -> None:
        """Close a flow."""
        if not flow.outcome:
            flow.outcome = "closed"
            self.transmit(flow, FIN | ACK, flow.seq, flow.ack)
