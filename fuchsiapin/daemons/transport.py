"""Datagrams and streams between the processes of the system."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTCP, IReactorUDP
from twisted.internet.protocol import ClientFactory, DatagramProtocol, ServerFactory
from twisted.protocols.basic import Int32StringReceiver

from fuchsiapin.envelope import Opener, Sealer
from fuchsiapin.exceptions import MalformedEnvelope

__all__ = ["PeerTransport"]

MAX_DATAGRAM_BYTES = 8_192
"""Longer envelopes go by stream."""
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_QUEUED_FRAMES = 64
"""Frames that wait for a stream to open."""

OnMessage = Callable[[str, int, Any], None]
"""Called with sender, incarnation and message."""


class PeerDatagrams(DatagramProtocol):
    """The UDP socket of the peer port."""

    def __init__(self, transport: "PeerTransport") -> None:
        self.owner = transport

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Open an envelope."""
        self.owner.open(datagram)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram by the socket itself; one that it won't take is lost.

        The addresses come from checked objects, so that the checks of the
        transport, a third of its time, find nothing.
        """
        try:
            self.transport.getHandle().sendto(datagram, address)
        except OSError:
            self.owner.lost += 1


class PeerStream(Int32StringReceiver):
    """One TCP stream of envelopes, each behind its length."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def connectionMade(self) -> None:
        """Send what waited."""
        self.factory.opened(self)

    def stringReceived(self, string: bytes) -> None:
        """Open an envelope."""
        self.factory.owner.open(string)


class PeerServer(ServerFactory):
    """Streams that peers open."""

    protocol = PeerStream

    def __init__(self, owner: "PeerTransport") -> None:
        self.owner = owner

    def opened(self, stream: PeerStream) -> None:
        """Nothing waits for a stream that a peer opened."""


class PeerClient(ClientFactory):
    """One stream to a peer, and the frames that wait for it."""

    protocol = PeerStream

    def __init__(self, owner: "PeerTransport", address: tuple[str, int]) -> None:
        self.owner = owner
        self.address = address
        self.stream: PeerStream | None = None
        self.waiting: list[bytes] = []

    def opened(self, stream: PeerStream) -> None:
        """Send what waited for the stream."""
        self.stream = stream
        for frame in self.waiting:
            stream.sendString(frame)
        self.waiting.clear()

    def send(self, frame: bytes) -> None:
        """Send a frame, or let it wait within the bound."""
        if self.stream is not None:
            self.stream.sendString(frame)
        elif len(self.waiting) < MAX_QUEUED_FRAMES:
            self.waiting.append(frame)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Drop what waited; the core sends again."""
        self.owner.streams.pop(self.address, None)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Open a new stream when there is something to send."""
        self.owner.streams.pop(self.address, None)


class PeerTransport:
    """Sends and receives sealed messages.

    Parameters
    ----------
    reactor : twisted reactor
        The loop.
    sealer : Sealer
        Seals what is sent.
    opener : Opener
        Opens what is received.
    on_message : callable
        Called with sender, incarnation and message.
    on_dropped : callable
        Called with the error of an envelope that was refused.
    on_sent : callable
        Called with type and size of each envelope sent.
    """

    def __init__(
        self,
        reactor: IReactorTCP | IReactorUDP,
        sealer: Sealer,
        opener: Opener,
        on_message: OnMessage,
        on_dropped: Callable[[MalformedEnvelope], None],
        on_sent: Callable[[str, int], None],
    ) -> None:
        self.reactor = reactor
        self.sealer = sealer
        self.opener = opener
        self.on_message = on_message
        self.on_dropped = on_dropped
        self.datagrams = PeerDatagrams(self)
        self.streams: dict[tuple[str, int], PeerClient] = {}
        self.on_sent = on_sent
        self.lost = 0

    def listen(self, host: str, port: int) -> int:
        """Open the peer port, UDP and TCP; return its number."""
        bound = self.reactor.listenUDP(port, self.datagrams, host, 65536)
        number = bound.getHost().port
        self.reactor.listenTCP(number, PeerServer(self), interface=host)
        return number

    def send(self, host: str, port: int, message: Any) -> None:
        """Send a message, by datagram where it fits."""
        envelope = self.sealer.seal(message)
        self.on_sent(type(message).__name__, len(envelope))
        if len(envelope) <= MAX_DATAGRAM_BYTES:
            self.datagrams.send(envelope, (host, port))
            return
        address = (host, port)
        if address not in self.streams:
            client = PeerClient(self, address)
            self.streams[address] = client
            self.reactor.connectTCP(host, port, client)
        self.streams[address].send(envelope)

    def open(self, envelope: bytes) -> None:
        """Take an envelope, or drop it."""
        try:
            sender, incarnation, message = self.opener.open(envelope)
        except MalformedEnvelope as error:
            self.on_dropped(error)
            return
        self.on_message(sender, incarnation, message)
