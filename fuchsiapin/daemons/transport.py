"""UDP datagrams and TCP streams between the processes of the system."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTCP, IReactorUDP
from twisted.internet.protocol import ClientFactory, DatagramProtocol, ServerFactory
from twisted.protocols.basic import Int32StringReceiver
from twisted.protocols.policies import TimeoutMixin

from fuchsiapin.coap.envelope import GREETING_BYTES, EnvelopeDecoder, EnvelopeEncoder
from fuchsiapin.exceptions import MalformedEnvelope

__all__ = ["PeerTransport"]

MAX_SENT_DATAGRAM_BYTES = 8_192
"""Longer envelopes are sent over TCP."""
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_QUEUED_FRAMES = 64
"""Frames queued while a stream connects."""

MAX_STREAMS = 1_024
"""Open streams accepted from peers."""
MAX_UNAUTHENTICATED = 64
"""Accepted streams that have not been authenticated by a greeting yet."""
GREETING_TIMEOUT_S = 5
"""Time within which a new stream has to send its greeting."""

OnMessage = Callable[[str, int, Any], None]
"""Called with sender, incarnation and message."""


class PeerDatagrams(DatagramProtocol):
    """UDP socket of the peer port."""

    def __init__(self, transport: "PeerTransport") -> None:
        self.peer_transport = transport

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on as an envelope."""
        self.peer_transport.on_envelope(datagram)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram on the raw socket; drop and count it on an error.

        This bypasses Twisted's transport, which spends a third of its time on checking
        the address. The check is unnecessary: addresses come from validated objects.
        """
        try:
            self.transport.getHandle().sendto(datagram, address)
        except OSError:
            self.peer_transport.lost_datagrams += 1


class OutgoingStream(Int32StringReceiver):
    """Outgoing stream to a peer: a greeting, then length-prefixed envelopes."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def connectionMade(self) -> None:
        """Send the greeting, which proves possession of the key, then the frames."""
        self.sendString(self.factory.peer_transport.encoder.make_greeting())
        self.factory.on_connected(self)

    def stringReceived(self, string: bytes) -> None:
        """Close the stream; peers must not send on a stream that they accepted."""
        self.transport.loseConnection()


class IncomingStream(Int32StringReceiver, TimeoutMixin):
    """Incoming stream; unauthenticated until its greeting has been checked.

    An unauthenticated peer can make this process buffer no more than one small
    frame, for a short time.
    """

    MAX_LENGTH = GREETING_BYTES
    is_unauthenticated = True

    def connectionMade(self) -> None:
        """Accept the stream, or abort it at the limits."""
        if self.factory.is_full():
            self.transport.abortConnection()
            return
        self.factory.unauthenticated += 1
        self.factory.streams.add(self)
        self.setTimeout(GREETING_TIMEOUT_S)

    def stringReceived(self, string: bytes) -> None:
        """Check the greeting first; pass later frames on as envelopes."""
        peer_transport = self.factory.peer_transport
        if not self.is_unauthenticated:
            peer_transport.on_envelope(string)
            return
        try:
            peer_transport.decoder.check_greeting(string)
        except MalformedEnvelope as error:
            peer_transport.on_dropped(error)
            self.transport.abortConnection()
            return
        self.mark_authenticated()

    def mark_authenticated(self) -> None:
        """Mark the stream as authenticated and allow full-size frames."""
        self.is_unauthenticated = False
        self.factory.unauthenticated -= 1
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self.setTimeout(None)

    def lengthLimitExceeded(self, length: int) -> None:
        """Report a frame that is too long and abort the stream."""
        self.factory.peer_transport.on_dropped(MalformedEnvelope("frame is too long"))
        self.transport.abortConnection()

    def timeoutConnection(self) -> None:
        """Abort a stream that sent no greeting in time."""
        self.factory.peer_transport.on_dropped(
            MalformedEnvelope("stream without a greeting")
        )
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Remove the stream from the counts."""
        self.setTimeout(None)
        if self in self.factory.streams:
            self.factory.streams.remove(self)
            self.factory.unauthenticated -= self.is_unauthenticated


class PeerServer(ServerFactory):
    """Accepts incoming streams from peers."""

    protocol = IncomingStream
    noisy = False

    def __init__(self, peer_transport: "PeerTransport") -> None:
        self.peer_transport = peer_transport
        self.streams: set[IncomingStream] = set()
        self.unauthenticated = 0

    def is_full(self) -> bool:
        """Return whether no further stream may be accepted."""
        return (
            self.unauthenticated >= MAX_UNAUTHENTICATED
            or len(self.streams) >= MAX_STREAMS
        )


class PeerClient(ClientFactory):
    """Outgoing stream to a peer, and the frames queued until it connects."""

    protocol = OutgoingStream

    def __init__(
        self, peer_transport: "PeerTransport", address: tuple[str, int]
    ) -> None:
        self.peer_transport = peer_transport
        self.address = address
        self.stream: OutgoingStream | None = None
        self.queued_frames: list[bytes] = []

    def on_connected(self, stream: OutgoingStream) -> None:
        """Send the queued frames."""
        self.stream = stream
        for frame in self.queued_frames:
            stream.sendString(frame)
        self.queued_frames.clear()

    def send(self, frame: bytes) -> None:
        """Send a frame, or queue it while connecting; drop it if the queue is full."""
        if self.stream is not None:
            self.stream.sendString(frame)
        elif len(self.queued_frames) < MAX_QUEUED_FRAMES:
            self.queued_frames.append(frame)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Drop the queued frames; the core retransmits."""
        self.peer_transport.streams.pop(self.address, None)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Forget the stream; the next message opens a new one."""
        self.peer_transport.streams.pop(self.address, None)


class PeerTransport:
    """Sends and receives authenticated messages.

    Parameters
    ----------
    reactor : twisted reactor
        The event loop.
    encoder : EnvelopeEncoder
        Encodes and authenticates outgoing messages.
    decoder : EnvelopeDecoder
        Authenticates and decodes incoming envelopes.
    on_message : callable
        Called with sender, incarnation and message.
    on_dropped : callable
        Called with the error of an envelope that was dropped.
    on_sent : callable
        Called with type and size of each envelope sent.
    """

    def __init__(
        self,
        reactor: IReactorTCP | IReactorUDP,
        encoder: EnvelopeEncoder,
        decoder: EnvelopeDecoder,
        on_message: OnMessage,
        on_dropped: Callable[[MalformedEnvelope], None],
        on_sent: Callable[[str, int], None],
    ) -> None:
        self.reactor = reactor
        self.encoder = encoder
        self.decoder = decoder
        self.on_message = on_message
        self.on_dropped = on_dropped
        self.datagrams = PeerDatagrams(self)
        self.streams: dict[tuple[str, int], PeerClient] = {}
        self.on_sent = on_sent
        self.lost_datagrams = 0

    def listen(self, host: str, port: int) -> int:
        """Listen on the peer port, UDP and TCP; return the bound port."""
        bound = self.reactor.listenUDP(port, self.datagrams, host, 65536)
        number = bound.getHost().port
        self.reactor.listenTCP(number, PeerServer(self), interface=host)
        return number

    def send(self, host: str, port: int, message: Any) -> None:
        """Send a message in a datagram if it fits, else over a stream."""
        envelope = self.encoder.encode(message)
        self.on_sent(type(message).__name__, len(envelope))
        if len(envelope) <= MAX_SENT_DATAGRAM_BYTES:
            self.datagrams.send(envelope, (host, port))
            return
        address = (host, port)
        if address not in self.streams:
            client = PeerClient(self, address)
            self.streams[address] = client
            self.reactor.connectTCP(host, port, client)
        self.streams[address].send(envelope)

    def on_envelope(self, envelope: bytes) -> None:
        """Decode an envelope and pass on its message; drop an invalid one."""
        try:
            sender, incarnation, message = self.decoder.decode(envelope)
        except MalformedEnvelope as error:
            self.on_dropped(error)
            return
        self.on_message(sender, incarnation, message)
