"""The executable `fuchsiapin-balancer`."""

import random
from pathlib import Path
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

from fuchsiapin import messages
from fuchsiapin.clock import SystemClock
from fuchsiapin.coap.balancercore import make_balancer_core
from fuchsiapin.daemons.listening import listen_or_exit
from fuchsiapin.daemons.shell import Shell
from fuchsiapin.settings import Settings, load_settings

__all__ = ["main", "run_balancer"]

MAX_DATAGRAM_BYTES = 65_536


class CallerSocket(DatagramProtocol):
    """UDP socket that receives the callers' datagrams of one service."""

    def __init__(self, service: str, shell: Shell) -> None:
        self.service = service
        self.shell = shell

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a caller's datagram to the core."""
        self.shell.feed(
            messages.CallerDatagram(self.service, addr[0], addr[1], datagram)
        )


class BalancerShell(Shell):
    """Shell of a balancer, with one caller socket for each service."""

    def __init__(self, reactor_: Any, settings: Settings, clock: SystemClock) -> None:
        super().__init__(reactor_, clock, settings, clock.now(), "balancer")
        self.sockets: dict[str, CallerSocket] = {}
        self.effect_handlers[messages.SendCaller] = self.send_caller

    def listen(self) -> None:
        """Open the caller sockets."""
        for address in self.settings.callers:
            socket = CallerSocket(address.service, self)
            listen_or_exit(
                "callers",
                self.reactor.listenUDP,
                address.port,
                socket,
                address.host,
                MAX_DATAGRAM_BYTES,
            )
            self.sockets[address.service] = socket

    def send_caller(self, effect: messages.SendCaller) -> None:
        """Send a datagram to a caller from the address of the service."""
        socket = self.sockets.get(effect.service)
        if socket is not None:
            socket.transport.write(effect.payload, (effect.host, effect.port))


def run_balancer(settings_file: Path, *, check: bool = False) -> None:
    """Run a balancer on an entry VM.

    Parameters
    ----------
    settings_file : Path
        Settings file, JSON with comments.
    check : bool
        Only read the settings and print their faults.
    """
    settings = load_settings(settings_file, "balancer", check)
    clock = SystemClock()
    shell = BalancerShell(reactor, settings, clock)
    peer = settings.peer
    port = listen_or_exit("peer", shell.peers.listen, peer.host, peer.port)
    me = messages.BalancerMember(
        settings.name,
        shell.peers.encoder.incarnation,
        peer.host,
        port,
        settings.availability_zone,
        "live",
        shell.listen_admin(),
    )
    seed = random.SystemRandom().getrandbits(64)
    core = make_balancer_core(me, seed, shell.seeds())
    shell.listen()
    shell.run(core)


def main() -> None:
    """Run from the command line."""
    defopt.run(run_balancer)


if __name__ == "__main__":
    main()
