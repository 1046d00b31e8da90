"""Stand-in of the network fabric: one address in front of all balancers."""

import json
import random
from dataclasses import dataclass, field
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol
from twisted.web.resource import Resource
from twisted.web.server import Site

__all__ = ["Fabric", "Link", "main"]

SOCKET_BYTES = 65_536
MAX_CALLERS = 10_000


@dataclass
class Link:
    """The balancers and the faults of the links to them; tests may change both."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    """Share of datagrams that are delayed by `reorder_ms` more."""
    reorder_ms: float = 20.0
    balancers: list[list] = field(default_factory=list)
    cuts: list[list] = field(default_factory=list)
    """Balancers whose datagrams are dropped in both directions."""


class Fabric(DatagramProtocol):
    """The front address, which sends each datagram to a balancer drawn at random.

    Parameters
    ----------
    link : Link
        Balancers and faults of the links to them.
    clock : reactor
        Schedules delayed datagrams and opens sockets.
    seed : int
        Seed of all random draws.
    """

    def __init__(self, link: Link, clock: Any, seed: int) -> None:
        self.link = link
        self.clock = clock
        self.rng = random.Random(seed)
        self.flows: dict[tuple[str, int], CallerFlow] = {}

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Forward a caller's datagram to a balancer.

        Callers beyond `MAX_CALLERS` are ignored, since each one takes a socket.
        """
        flow = self.flows.get(addr)
        if flow is None:
            if len(self.flows) >= MAX_CALLERS:
                return
            flow = self.flows[addr] = CallerFlow(self, addr)
            host = self.transport.getHost().host
            self.clock.listenUDP(0, flow, host, SOCKET_BYTES)
        balancer = self.rng.choice(self.link.balancers)
        self.transmit(
            balancer, lambda: flow.transport.write(datagram, (balancer[0], balancer[1]))
        )

    def transmit(self, balancer: list, send: Any) -> None:
        """Send a datagram, or drop, duplicate or delay it as configured."""
        if list(balancer) in self.link.cuts or self.rng.random() < self.link.loss:
            return
        copies = 1 + (self.rng.random() < self.link.duplicate)
        for _ in range(copies):
            delay = self.link.delay_ms + self.rng.uniform(0, self.link.jitter_ms)
            if self.rng.random() < self.link.reorder:
                delay += self.link.reorder_ms
            self.clock.callLater(delay / 1000, send)


class CallerFlow(DatagramProtocol):
    """The socket whose address the balancers see as that of one caller."""

    def __init__(self, fabric: Fabric, caller: tuple[str, int]) -> None:
        self.fabric = fabric
        self.caller = caller

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Forward an answer to the caller from the front address."""
        front = self.fabric.transport
        self.fabric.transmit(list(addr), lambda: front.write(datagram, self.caller))


class Control(Resource):
    """HTTP control of the links: PUT sets fields of `Link`."""

    isLeaf = True

    def __init__(self, link: Link) -> None:
        super().__init__()
        self.link = link

    def render_PUT(self, request: Any) -> bytes:
        """Set the fields that the JSON body names."""
        for name, value in json.loads(request.content.read()).items():
            setattr(self.link, name, value)
        return b"{}"


def serve(
    *balancers: str,
    host: str = "127.0.0.1",
    port: int = 0,
    admin_port: int = 0,
    seed: int = 1,
) -> None:
    """Serve the fabric stand-in.

    Parameters
    ----------
    balancers : str
        Caller addresses of the balancers, as HOST:PORT.
    host : str
        Front address.
    port : int
        Front port; 0 picks a free one.
    admin_port : int
        HTTP port of the control; 0 picks a free one.
    seed : int
        Seed of all random draws.
    """
    pairs = [balancer.rsplit(":", 1) for balancer in balancers]
    link = Link(balancers=[[name, int(number)] for name, number in pairs])
    bound = reactor.listenUDP(port, Fabric(link, reactor, seed), host, SOCKET_BYTES)
    admin = reactor.listenTCP(admin_port, Site(Control(link)), interface=host)
    print(f"ready {bound.getHost().port} {admin.getHost().port}", flush=True)
    reactor.run()


def main() -> None:
    """Run the command line."""
    defopt.run(serve)


if __name__ == "__main__":
    main()
