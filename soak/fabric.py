"""Simulated network: routers in front of the balancers, proxy between processes."""

import random
import socket
from typing import Any

from fuchsiapin.daemons.eventloop import EventLoop, open_udp_socket
from fuchsiapin.daemons.httpcalls import HttpClient
from soak.processes import Place

__all__ = ["Fabric", "PeerProxy"]

PROBE_MS = 500
MISSES = 2
"""Failed readiness probes in a row that take a balancer out of rotation."""


class PeerProxy:
    """UDP proxy between processes that delays, drops or blocks datagrams.

    The proxy listens on the address that the other processes use for a process,
    and the process listens on another one, so that all datagrams to it pass through
    the proxy.
    """

    def __init__(self, loop: EventLoop, port: int, rng: random.Random) -> None:
        self.loop = loop
        self.port = port
        self.rng = rng
        self.loss = 0.0
        self.delay_ms = 0
        self.cuts: set[tuple[str, str]] = set()
        self.sockets: dict[str, socket.socket] = {}
        self.known_as: dict[str, str] = {}
        self.listens_on: dict[str, str] = {}

    def add(self, host: str, bind: str) -> None:
        """Listen on the address `host` for the process that listens on `bind`."""
        self.known_as[bind] = host
        self.listens_on[host] = bind
        self.sockets[host] = open_udp_socket(
            self.loop,
            host,
            self.port,
            lambda data, source: self.take(host, data, source),
        )

    def take(self, target: str, data: bytes, source: str) -> None:
        """Forward a datagram, possibly delayed, unless it is dropped or blocked."""
        sender = self.known_as.get(source)
        if sender is None or (sender, target) in self.cuts:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        if not self.delay_ms:
            self.hand_on(sender, target, data)
            return
        delay = self.rng.randint(0, self.delay_ms)
        self.loop.call_later(delay, lambda now: self.hand_on(sender, target, data))

    def hand_on(self, sender: str, target: str, data: bytes) -> None:
        """Send a datagram to the process that it is for."""
        try:
            self.sockets[sender].sendto(data, (self.listens_on[target], self.port))
        except OSError:
            return  # the target's port is closed; the datagram is lost

    def cut(self, one: str, others: list[str], both_ways: bool) -> None:
        """Block datagrams from a process to others, or in both directions."""
        self.cuts |= {(one, other) for other in others}
        if both_ways:
            self.cuts |= {(other, one) for other in others}

    def heal(self) -> None:
        """End all loss, delay and blocking."""
        self.cuts.clear()
        self.loss, self.delay_ms = 0.0, 0


class Fabric:
    """Routers that distribute flows over the balancers in rotation by hash modulo.

    Many flows move to another balancer when the number in rotation changes.
    """

    def __init__(self, loop: EventLoop, places: list[Place]) -> None:
        self.loop = loop
        self.places = places
        self.misses = {place.name: MISSES for place in places}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        for place in places:
            self.probe(place)

    def probe(self, place: Place) -> None:
        """Probe the readiness of a balancer, and again after the probe interval."""
        caller = HttpClient(self.loop, *place.ready)

        def done(answer: Any) -> None:
            is_ready = answer.status == 200
            self.misses[place.name] = 0 if is_ready else self.misses[place.name] + 1
            for connection in list(caller.idle):
                connection.close()

        caller.call("GET", "/fuchsiapin/readiness", b"", PROBE_MS, done)
        self.loop.call_later(PROBE_MS, lambda now: self.probe(place))

    def send(self, flow: bytes, data: bytes) -> None:
        """Send a caller's packet to the balancer that the hash of its flow selects."""
        ready = [p for p in self.places if self.misses[p.name] < MISSES]
        chosen = ready or self.places
        place = chosen[hash(flow) % len(chosen)]
        try:
            self.socket.sendto(data, place.callers)
        except OSError:
            return  # the packet is lost
