"""Stand-ins for callers and upstreams, which check each packet they receive."""

import json
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fuchsiapin.daemons.eventloop import EventLoop, open_udp_socket
from fuchsiapin.daemons.httpcalls import HttpClient
from fuchsiapin.flows.packets import endpoint
from fuchsiapin_platform.packets import ACK, BOUNCED, FIN, HEADER, RST, SYN

__all__ = ["CallerStandIn", "Request", "UpstreamStandIn", "make_packet"]

HEARTBEAT_MS = 300
"""Interval of an upstream's heartbeats."""
SERVICE_MS = 20
"""Run time of a request."""
RETRANSMIT_MS = 200
"""Interval at which a caller retransmits a request."""
MAX_RETRANSMISSIONS = 6
"""Limit after which a caller only waits for the answer."""
DEADLINE_MS = 2_500
"""Time after which an unanswered request is late."""
ANSWER_BYTES = 700
"""Size of an answer."""
REUSED_ID = 3
"""Every so many starts an upstream keeps its former id, and the deregistration of its
former start is late; every other one of these doesn't tell that start."""
LATE_MS = 1_500
"""Delay of such a deregistration."""
ENDED = "ended"
"""Key of a flow's state at an upstream, set after FIN or RST."""


def make_packet(
    flags: int, target: bytes, source: bytes, seq: int, ack: int, data: bytes
):
    """Return a packet with a checksum in the field that the system leaves unchanged."""
    total = sum(data) + sum(target) + sum(source) + seq + ack + flags
    checksum = (total & 0xFFFF_FFFF).to_bytes(4, "big")
    header = HEADER.pack(
        0, flags, bytes(5), checksum, target, source, seq, ack, len(data)
    )
    return header + data


def is_intact(data: bytes) -> bool:
    """Return whether the checksum of a packet is correct."""
    _, flags, _, checksum, target, source, seq, ack, _ = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    return (
        make_packet(flags & ~BOUNCED, target, source, seq, ack, body)[10:14] == checksum
    )


def answer_to(request: bytes, service: str) -> bytes:
    """Return the complete answer to a request."""
    prefix = request + b"|" + service.encode() + b"|"
    return prefix + bytes(len(request) % 251 for _ in range(ANSWER_BYTES - len(prefix)))


@dataclass
class Request:
    """One request of a caller and its outcome."""

    id: bytes
    started_at: int
    route: bytes
    service: str
    is_safe: bool
    outcome: str = ""
    ended_at: int = 0
    was_open: bool = False
    seq: int = 0


class UpstreamStandIn:
    """An upstream that accepts flows, runs requests, sends heartbeats and drains."""

    def __init__(self, loop: EventLoop, soak: Any, vm: Any) -> None:
        self.loop = loop
        self.soak = soak
        self.vm = vm
        self.service = vm.service
        self.is_up = True
        self.is_draining = False
        self.drain_acked_at = 0
        self.control = HttpClient(loop, *vm.control)
        self.socket = open_udp_socket(loop, *vm.upstream, self.on_packet)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(vm.upstream)
        self.listener.listen()
        self.start_incarnation()
        self.send_heartbeats(loop.clock.now())

    def start_incarnation(self) -> None:
        """Start a new incarnation."""
        self.soak.incarnations += 1
        self.number = self.soak.incarnations
        self.id = f"u{self.number}"
        self.born = self.loop.clock.now() + self.soak.clock_offset_ms()
        self.sequence = 0
        self.flows: dict[bytes, dict] = {}
        self.is_draining = False
        self.drain_acked_at = 0

    def on_packet(self, data: bytes, host: str) -> None:
        """Handle a packet from the side process."""
        if not self.is_up:
            return
        if not is_intact(data):
            self.soak.add_violation(
                "changed packet", f"{self.id} got {data[:36].hex()}"
            )
            return
        _, flags, _, _, target, source, seq, ack, _ = HEADER.unpack_from(data)
        body = data[HEADER.size :]
        flow = target + source
        state = self.flows.get(flow)
        if flags & SYN:
            self.soak.check_opening(self, target)
            if state is None:
                self.soak.evacuations.check_new_flow(self)
            state = self.flows.setdefault(
                flow, {"seq": self.soak.rng.getrandbits(31), "answers": {}}
            )
            state.setdefault("first", state["seq"])
            self.send(flow, SYN | ACK, state["seq"], b"")
        elif state is None:
            # Unknown flow: return the packet to the side process, marked as bounced.
            returned = bytearray(data)
            returned[4] |= BOUNCED
            self.socket.sendto(bytes(returned), self.vm.outbound)
        elif flags & (FIN | RST):
            state[ENDED] = True
            self.send(flow, FIN | ACK, state["seq"] + 1, b"")
        elif body and self.is_flow_open(state, ack):
            self.run_request(flow, state, body)

    def is_flow_open(self, state: dict, ack: int) -> bool:
        """Return whether the caller has acknowledged this upstream's SYN-ACK.

        Data of a flow that another upstream opened must not be run here.
        """
        if ack == (state["first"] + 1) & 0xFFFF_FFFF:
            state["open"] = True
        return state.get("open", False)

    def has_opened(self, flow: bytes, ack: int) -> bool:
        """Return whether a caller with this acknowledgement opened a flow here."""
        state = self.flows.get(flow)
        return state is not None and (state["first"] + 1 - ack) & 0xFFFF_FFFF == 0

    def run_request(self, flow: bytes, state: dict, body: bytes) -> None:
        """Run a request once; answer retransmissions with the same answer."""
        if body in state["answers"]:
            if state["answers"][body] is not None:
                self.send(
                    flow, ACK, state["answers"][body], answer_to(body, self.service)
                )
            return
        state["answers"][body] = None
        self.soak.check_run(self, body)
        number = self.number

        def finish(now: int) -> None:
            if number == self.number and self.is_up:
                state["answers"][body] = state["seq"] + 1
                state["seq"] += ANSWER_BYTES
                answer = answer_to(body, self.service)
                self.send(flow, ACK, state["answers"][body], answer)

        self.loop.call_later(SERVICE_MS, finish)

    def send(self, flow: bytes, flags: int, seq: int, body: bytes) -> None:
        """Send a packet of a flow through the side process."""
        data = make_packet(flags, flow[6:], flow[:6], seq & 0xFFFF_FFFF, 0, body)
        self.socket.sendto(data, self.vm.outbound)

    def send_heartbeats(self, now: int) -> None:
        """Send a heartbeat, and the next one after the heartbeat interval."""
        if self.is_up:
            self.sequence += 1
            self.post_state("heartbeat", self.heartbeat_body())
        self.loop.call_later(HEARTBEAT_MS, self.send_heartbeats)

    def heartbeat_body(self) -> bytes:
        """Return the body of a heartbeat in the current state."""
        state = "draining" if self.is_draining else "ready"
        return self.soak.make_heartbeat(self, state)

    def post_state(self, verb: str, body: bytes, name: str = "") -> None:
        """Send a heartbeat or deregistration of this or of another id.

        Records when a heartbeat that announces the drain is first acknowledged.
        """
        was_draining, number = self.is_draining and verb == "heartbeat", self.number

        def done(answer: Any) -> None:
            # An answer to a deregistration or to an earlier incarnation does not
            # acknowledge the drain of this one.
            is_first = (
                was_draining and number == self.number and not self.drain_acked_at
            )
            if answer.status == 200 and is_first:
                self.drain_acked_at = self.loop.clock.now()

        path = f"/fuchsiapin/instances/{name or self.id}/{verb}"
        self.control.call("POST", path, body, 1_000, done)

    def crash(self) -> None:
        """Start a new incarnation without deregistering the old one."""
        self.start_incarnation()

    def drain(self) -> None:
        """Start to drain and announce it at once."""
        self.is_draining = True
        self.post_state("heartbeat", self.heartbeat_body())

    def replace(self) -> None:
        """Deregister, and start a new incarnation at the same address."""
        name, body = self.id, json.dumps({"born": self.born}).encode()
        if (self.soak.incarnations + 1) % REUSED_ID:
            self.post_state("deregister", body)
            self.start_incarnation()
            return
        self.start_incarnation()
        self.id = name
        body = body if self.number % 2 else b""
        self.loop.call_later(
            LATE_MS, lambda now: self.post_state("deregister", body, name)
        )


class CallerStandIn:
    """A caller that opens flows and sends one or more requests on each."""

    def __init__(
        self,
        loop: EventLoop,
        soak: Any,
        host: str,
        port: int,
        send: Callable[[bytes, bytes], None],
    ) -> None:
        self.loop = loop
        self.soak = soak
        self.host = host
        self.send = send
        self.rng = random.Random(soak.rng.getrandbits(32))
        self.socket = open_udp_socket(loop, host, port, self.on_packet)
        self.flows: dict[bytes, dict] = {}
        self.next_port = 1_024
        self.request_count = 0

    def open_flow(self, keeps_open: bool) -> None:
        """Open a new flow with one request."""
        self.next_port = 1_024 + (self.next_port - 1_023) % 60_000
        source = endpoint(self.host, self.next_port)
        route, service, is_safe = self.soak.pick_route(self.rng)
        state = {
            "seq": self.rng.getrandbits(31),
            "ack": 0,
            "open": False,
            "keeps": keeps_open,
            "waiting": {},
        }
        state["args"] = (route, service, is_safe)
        flow = route + source
        self.flows[flow] = state
        request = self.add_request(flow, state)
        # Times after the start, in ms, at which the opening packet is sent.
        for pause in (0, 200, 600):
            self.loop.call_later(pause, lambda now: self.send_opening(flow, state))
        # Time after which the caller stops waiting for the flow to open.
        self.loop.call_later(1_400, lambda now: self.give_up_opening(flow, request))

    def add_request(self, flow: bytes, state: dict) -> Request:
        """Add a request to a flow and return it."""
        self.request_count += 1
        route, service, is_safe = state["args"]
        request_id = f"{self.host}/{self.request_count}".encode()
        request = Request(request_id, self.loop.clock.now(), route, service, is_safe)
        state["waiting"][request_id] = request
        self.soak.requests[request_id] = request
        self.loop.call_later(
            DEADLINE_MS, lambda now: self.finish_request(flow, request, "late")
        )
        return request

    def send_opening(self, flow: bytes, state: dict) -> None:
        """Send the opening packet unless the flow is open or ended."""
        if flow in self.flows and not state["open"]:
            self.send_packet(flow, SYN, state["seq"], 0, b"")

    def give_up_opening(self, flow: bytes, request: Request) -> None:
        """End a request whose flow did not open."""
        state = self.flows.get(flow)
        if state is not None and not state["open"]:
            self.finish_request(flow, request, "no answer")

    def send_request(
        self, flow: bytes, request: Request, retransmissions: int = 0
    ) -> None:
        """Send a request and retransmit it until it ends or the limit is reached."""
        state = self.flows.get(flow)
        if state is None or request.outcome or retransmissions > MAX_RETRANSMISSIONS:
            return
        if not retransmissions:
            request.seq = state["seq"] + 1
            state["seq"] += len(request.id)
        self.send_packet(flow, ACK, request.seq, state["ack"], request.id)
        self.loop.call_later(
            RETRANSMIT_MS,
            lambda now: self.send_request(flow, request, retransmissions + 1),
        )

    def send_packet(
        self, flow: bytes, flags: int, seq: int, ack: int, body: bytes
    ) -> None:
        """Send a packet through the fabric."""
        seq &= 0xFFFF_FFFF
        self.send(flow, make_packet(flags, flow[:6], flow[6:], seq, ack, body))

    def on_packet(self, data: bytes, host: str) -> None:
        """Handle a packet from a balancer."""
        _, flags, _, checksum, target, source, seq, _, _ = HEADER.unpack_from(data)
        flow, body = source + target, data[HEADER.size :]
        state = self.flows.get(flow)
        # The resets that the system itself sends have a checksum field of 0.
        if flags & RST and checksum == bytes(4):
            if state is not None:
                self.on_reset(flow, state)
            return
        if not is_intact(data):
            self.soak.add_violation("changed packet", f"caller got {data[:36].hex()}")
            return
        if state is None:
            return
        if flags & SYN and not state["open"]:
            state["open"], state["ack"] = True, seq + 1
            for request in list(state["waiting"].values()):
                request.was_open = True
                self.send_request(flow, request)
        elif body:
            self.on_answer(flow, state, body)

    def on_reset(self, flow: bytes, state: dict) -> None:
        """End all requests of a flow that was reset."""
        if state["open"]:
            self.soak.check_reset(flow, state["ack"])
        for request in list(state["waiting"].values()):
            self.finish_request(flow, request, "reset")
        self.flows.pop(flow, None)

    def on_answer(self, flow: bytes, state: dict, body: bytes) -> None:
        """Check an answer, then send the next request or close the flow."""
        request_id = body.split(b"|", 1)[0]
        request = self.soak.requests.get(request_id)
        if request is None or not request_id.startswith(self.host.encode() + b"/"):
            self.soak.add_violation("foreign answer", f"{self.host} got {body[:40]!r}")
            return
        if body != answer_to(request_id, request.service):
            self.soak.add_violation("wrong answer", f"{request_id!r} got {body[:60]!r}")
        if request_id not in state["waiting"]:
            return
        self.finish_request(flow, request, "served")
        if state["keeps"] and not self.soak.is_over:
            pause = self.rng.randint(50, 900)
            self.loop.call_later(pause, lambda now: self.send_next_request(flow, state))
        else:
            self.close_flow(flow, state)

    def send_next_request(self, flow: bytes, state: dict) -> None:
        """Send the next request on an open flow."""
        if self.flows.get(flow) is state:
            request = self.add_request(flow, state)
            request.was_open = True
            self.send_request(flow, request)

    def close_flow(self, flow: bytes, state: dict) -> None:
        """Close a flow."""
        self.send_packet(flow, FIN | ACK, state["seq"] + 2, state["ack"], b"")
        self.flows.pop(flow, None)

    def finish_request(self, flow: bytes, request: Request, outcome: str) -> None:
        """Record the outcome of a request; later outcomes are ignored."""
        if request.outcome:
            return
        request.outcome = outcome
        request.ended_at = self.loop.clock.now()
        state = self.flows.get(flow)
        if state is not None:
            state["waiting"].pop(request.id, None)
            if outcome in ("late", "no answer"):
                self.flows.pop(flow, None)
