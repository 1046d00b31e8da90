"""Stand-in for a backend: flows over UDP, health over TCP, heartbeats over HTTP."""

import http.client
import json
import random
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from review.loop import Loop, send
from review.packets import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SYN,
    endpoint_text,
    read_packet,
    write_packet,
)

if TYPE_CHECKING:
    from review.system import Machine

BACKEND_QUEUE = 12
"""Requests that a backend queues beside its slots, as in the site files."""
MAX_CONNECTIONS = 2_000
RETRANSMISSIONS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
"""Pauses between the transmissions of an answer, in seconds."""


class Flow:
    """A flow as the backend knows it."""

    def __init__(self, first: int) -> None:
        self.first = first
        self.is_open = False
        self.is_ended = False
        self.received = 0
        self.sent = first + 1
        self.acked = first + 1


class Backend:
    """A backend beside one side process.

    Attributes
    ----------
    openings : list
        Time, flow and number of the copy of each opening packet that it accepted.
    runs : list
        Time, flow and request of each request that it began to work on.
    arrivals : list
        Time, flow and whether it holds the flow, of each packet but opening ones.
    acknowledged : dict
        Time of the first acknowledgement of each reported state.
    """

    def __init__(
        self,
        loop: Loop,
        machine: "Machine",
        name: str,
        slots: int = 2,
        work_s: float = 0.03,
        heartbeat_s: float = 0.77,
        cold_s: float = 0.0,
        note: Callable[..., None] = lambda *args: None,
    ) -> None:
        self.loop = loop
        self.machine = machine
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.cold_s = cold_s
        self.note = note
        self.rng = random.Random(name)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.flows: dict[bytes, Flow] = {}
        self.running = 0
        self.waiting: deque = deque()
        self.openings: list[tuple[float, bytes, int]] = []
        self.runs: list[tuple[float, bytes, str]] = []
        self.arrivals: list[tuple[float, bytes, bool]] = []
        self.broken: list[str] = []
        self.acknowledged: dict[str, float] = {}
        self.is_over = False
        self.udp = loop.udp(*machine.app, self.on_datagram)
        self.listener = socket.create_server(machine.app, backlog=64)
        threading.Thread(target=self.serve_health, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    # Flows

    def on_datagram(self, data: bytes, source: Any) -> None:
        """Handle a packet that the side process delivered."""
        packet = read_packet(data)
        if not packet.is_intact:
            self.broken.append(data[:36].hex())
            return
        key = packet.dst + packet.src
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                if len(self.flows) >= MAX_CONNECTIONS:
                    self.bounce(data)
                    return
                flow = self.flows[key] = Flow(self.rng.getrandbits(32))
            self.openings.append((time.monotonic(), key, packet.ack))
            self.reply(key, SYN | ACK, flow.first, packet.seq + 1)
        elif flow is None:
            self.arrivals.append((time.monotonic(), key, False))
            self.bounce(data)
        else:
            self.arrivals.append((time.monotonic(), key, True))
            self.on_flow_packet(key, flow, packet)

    def on_flow_packet(self, key: bytes, flow: Flow, packet: Any) -> None:
        """Handle a packet of a flow that is held."""
        if packet.flags & RST:
            flow.is_ended = True
            return
        if not flow.is_open:
            if packet.ack != (flow.first + 1) & 0xFFFF_FFFF:
                return  # the client continues with another backend
            flow.is_open = True
            flow.received = packet.seq
        flow.acked = packet.ack
        if packet.body and flow.is_ended:
            self.reply(key, RST, flow.sent, packet.seq)
        elif packet.body and packet.seq == flow.received:
            flow.received = (packet.seq + len(packet.body)) & 0xFFFF_FFFF
            self.reply(key, ACK, flow.sent, flow.received)
            self.take(key, flow, packet.body)
        elif packet.body:
            self.reply(key, ACK, flow.sent, flow.received)
        elif packet.flags & FIN:
            flow.is_ended = True
            self.reply(key, FIN | ACK, flow.sent, packet.seq + 1)

    def bounce(self, data: bytes) -> None:
        """Return a packet that isn't accepted."""
        marked = bytearray(data)
        marked[4] |= BOUNCED
        send(self.udp, bytes(marked), self.machine.outbound)

    def reply(
        self, key: bytes, flags: int, seq: int, ack: int, body: bytes = b""
    ) -> None:
        """Send a packet of a flow through the side process."""
        data = write_packet(flags, key[6:], key[:6], seq, ack, body)
        if not self.is_over:
            send(self.udp, data, self.machine.outbound)

    def take(self, key: bytes, flow: Flow, body: bytes) -> None:
        """Run a request, queue it, or reject it."""
        head = body.decode("latin-1").split("\r\n")
        request = next(
            (line[14:] for line in head if line.startswith("X-Request-Id: ")), ""
        )
        if self.running < self.slots:
            self.run(key, flow, request)
        elif len(self.waiting) < BACKEND_QUEUE:
            self.waiting.append((key, flow, request))
        else:
            self.answer(key, flow, request, "503 Busy", "X-Not-Executed: 1\r\n")

    def run(self, key: bytes, flow: Flow, request: str) -> None:
        """Begin to work on a request."""
        self.running += 1
        self.runs.append((time.monotonic(), key, request))
        self.note("run", self.name, endpoint_text(key[6:]), request)

        def finish() -> None:
            self.running -= 1
            self.answer(key, flow, request, "200 OK", "X-Response-Seal: 1\r\n")
            if self.waiting:
                self.run(*self.waiting.popleft())

        self.loop.later(self.work_s, finish)

    def answer(
        self, key: bytes, flow: Flow, request: str, status: str, headers: str
    ) -> None:
        """Send the answer to a request until it is acknowledged."""
        text = f"{request} by {self.name}"
        body = (
            f"HTTP/1.1 {status}\r\n{headers}X-Instance-Id: {self.name}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n{text}"
        ).encode()
        seq = flow.sent
        flow.sent = (flow.sent + len(body)) & 0xFFFF_FFFF
        pauses = iter(RETRANSMISSIONS)

        def transmit() -> None:
            if flow.is_ended or ((flow.acked - flow.sent) & 0xFFFF_FFFF) < 1 << 31:
                return
            self.reply(key, ACK, seq, flow.received, body)
            if (pause := next(pauses, None)) is not None:
                self.loop.later(pause, transmit)

        transmit()

    def leave(self) -> None:
        """Deregister and end, as after a planned shutdown."""
        path = f"/fuchsiapin/instances/{self.name}/deregister"
        self.note("deregistered", self.name, post(self.machine.control, path, {}))
        self.crash()

    def crash(self) -> None:
        """End at once."""
        self.is_over = True
        self.loop.selector.unregister(self.udp)
        self.udp.close()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    # Health and heartbeats

    def serve_health(self) -> None:
        """Answer health checks while this backend isn't leaving."""
        while not self.is_over:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(1)
                try:
                    connection.recv(4_096)
                    status = "200 OK" if self.state == "ready" else "503 Leaving"
                    connection.sendall(
                        f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.name}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                except OSError:
                    continue

    def send_heartbeats(self) -> None:
        """Send a heartbeat at once and every `heartbeat_s`."""
        while not self.is_over:
            self.send_heartbeat()
            time.sleep(self.heartbeat_s)

    @property
    def cold_left_s(self) -> float:
        """Return for how much longer this backend is cold."""
        return max(0.0, self.cold_s - (time.monotonic() - self.started))

    def send_heartbeat(self) -> None:
        """Send one heartbeat; record the first acknowledgement of its state."""
        self.sequence += 1
        state = self.state
        values = {
            "Service": self.machine.service,
            "Address": "{}:{}".format(*self.machine.app),
            "Zone": self.machine.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": int(self.cold_left_s * 1000),
            "Sequence": self.sequence,
            "born": self.born,
        }
        path = f"/fuchsiapin/instances/{self.name}/heartbeat"
        status = post(self.machine.control, path, values)
        if 200 <= status < 300 and not self.is_over:
            self.acknowledged.setdefault(state, time.monotonic())


def post(address: tuple[str, int], path: str, values: dict) -> int:
    """Make a call with a JSON body; return its status, 0 without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=1)
    try:
        headers = {"Content-Type": "application/json"}
        connection.request("POST", path, json.dumps(values), headers)
        return connection.getresponse().status
    except OSError:
        return 0
    except http.client.HTTPException:
        return 0
    finally:
        connection.close()
