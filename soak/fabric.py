"""Simulated network: routers in front of the balancers, proxy between processes."""

import random
import socket
from typing import Any

from fuchsiapin.daemons.eventloop import EventLoop, open_udp_socket
from fuchsiapin.daemons.httpcalls import HttpClient
from soak.processes import Vm

__all__ = ["Fabric", "PeerProxy"]

PROBE_MS = 500
"""Interval and timeout of readiness probes."""
MAX_FAILED_PROBES = 2
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
        self.host_by_bind: dict[str, str] = {}
        self.bind_by_host: dict[str, str] = {}

    def add(self, host: str, bind: str) -> None:
        """Listen on the address `host` for the process that listens on `bind`."""
        self.host_by_bind[bind] = host
        self.bind_by_host[host] = bind
        self.sockets[host] = open_udp_socket(
            self.loop,
            host,
            self.port,
            lambda data, source: self.on_datagram(host, data, source),
        )

    def on_datagram(self, target: str, data: bytes, source: str) -> None:
        """Forward a datagram, possibly delayed, unless it is dropped or blocked."""
        sender = self.host_by_bind.get(source)
        if sender is None or (sender, target) in self.cuts:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        if not self.delay_ms:
            self.forward(sender, target, data)
            return
        delay = self.rng.randint(0, self.delay_ms)
        self.loop.call_later(delay, lambda now: self.forward(sender, target, data))

    def forward(self, sender: str, target: str, data: bytes) -> None:
        """Send a datagram to its target, from the proxy's address for the sender."""
        try:
            self.sockets[sender].sendto(data, (self.bind_by_host[target], self.port))
        except OSError:
            return  # the target's port is closed; the datagram is lost

    def cut(self, host: str, others: list[str], both_ways: bool) -> None:
        """Block datagrams from a process to others, and theirs to it if `both_ways`."""
        self.cuts |= {(host, other) for other in others}
        if both_ways:
            self.cuts |= {(other, host) for other in others}

    def heal(self) -> None:
        """End all loss, delay and blocking."""
        self.cuts.clear()
        self.loss, self.delay_ms = 0.0, 0


class Fabric:
    """Routers that distribute flows over the balancers in rotation by hash modulo.

    Many flows move to another balancer when the number in rotation changes.
    """

    def __init__(self, loop: EventLoop, vms: list[Vm]) -> None:
        self.loop = loop
        self.vms = vms
        self.failed_probes = {vm.name: MAX_FAILED_PROBES for vm in vms}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        for vm in vms:
            self.probe(vm)

    def probe(self, vm: Vm) -> None:
        """Probe the readiness of a balancer, and again after the probe interval."""
        client = HttpClient(self.loop, *vm.ready)

        def done(answer: Any) -> None:
            is_ready = answer.status == 200
            self.failed_probes[vm.name] = (
                0 if is_ready else self.failed_probes[vm.name] + 1
            )
            for connection in list(client.idle):
                connection.close()

        client.call("GET", "/fuchsiapin/readiness", b"", PROBE_MS, done)
        self.loop.call_later(PROBE_MS, lambda now: self.probe(vm))

    def send(self, flow: bytes, data: bytes) -> None:
        """Send a caller's packet to the balancer that the hash of its flow selects."""
        ready = [p for p in self.vms if self.failed_probes[p.name] < MAX_FAILED_PROBES]
        candidates = ready or self.vms
        # hash() of bytes differs between runs unless PYTHONHASHSEED is set
        vm = candidates[hash(flow) % len(candidates)]
        try:
            self.socket.sendto(data, vm.callers)
        except OSError:
            return  # the packet is lost
