"""The executable `fuchsiapin-side`."""

import random
from pathlib import Path
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

from fuchsiapin import messages
from fuchsiapin.clock import SystemClock
from fuchsiapin.coap.sidecore import make_side_core
from fuchsiapin.coap.sideoptions import SideOptions
from fuchsiapin.daemons.listening import listen_or_exit
from fuchsiapin.daemons.shell import Shell
from fuchsiapin.settings import Settings, load_settings

__all__ = ["main", "run_side"]

MAX_DATAGRAM_BYTES = 65_536


class UpstreamSocket(DatagramProtocol):
    """UDP socket to the upstream beside this process."""

    def __init__(self, shell: Shell) -> None:
        self.shell = shell

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the core if it comes from the upstream; drop others."""
        upstream = self.shell.settings.upstream
        if addr == (upstream.host, upstream.port):
            self.shell.feed(messages.UpstreamDatagram(datagram))


class SideShell(Shell):
    """Shell of a side process, with the socket to its upstream."""

    def __init__(self, reactor_: Any, settings: Settings, clock: SystemClock) -> None:
        super().__init__(reactor_, clock, settings, clock.now(), "side")
        self.socket = UpstreamSocket(self)
        self.effect_handlers[messages.SendUpstream] = self.send_upstream

    def send_upstream(self, effect: messages.SendUpstream) -> None:
        """Send a datagram to the upstream."""
        upstream = self.settings.upstream
        self.socket.transport.write(effect.payload, (upstream.host, upstream.port))


def run_side(settings_file: Path, *, check: bool = False) -> None:
    """Run a side process beside its upstream.

    Parameters
    ----------
    settings_file : Path
        Settings file, JSON with comments.
    check : bool
        Only read the settings and print their faults.
    """
    settings = load_settings(settings_file, "side", check)
    clock = SystemClock()
    shell = SideShell(reactor, settings, clock)
    peer = settings.peer
    port = listen_or_exit("peer", shell.peers.listen, peer.host, peer.port)
    listen_or_exit(
        "peer", reactor.listenUDP, 0, shell.socket, peer.host, MAX_DATAGRAM_BYTES
    )
    me = messages.Member(
        settings.name,
        shell.peers.encoder.incarnation,
        peer.host,
        port,
        settings.availability_zone,
        settings.weight,
        "live",
        shell.listen_admin(),
    )
    seed = random.SystemRandom().getrandbits(64)
    options = SideOptions(
        slots=settings.slots,
        deployment=settings.deployment,
        seeds=shell.seeds(),
    )
    core = make_side_core(settings.service, me, seed, options)
    shell.run(core)


def main() -> None:
    """Run from the command line."""
    defopt.run(run_side)


if __name__ == "__main__":
    main()
