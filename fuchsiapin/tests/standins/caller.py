"""Stand-in of callers: many flows, each checked against its own requests."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from twisted.internet.protocol import DatagramProtocol

__all__ = ["Caller", "Pending", "Tally"]

ACK_TIMEOUT_S = 2.0
MAX_RETRANSMIT = 4


@dataclass
class Tally:
    """What callers of one service were told."""

    sent: int = 0
    done: int = 0
    refused: int = 0
    unknown: int = 0
    silent: int = 0
    wrong: int = 0
    notifications: int = 0
    stale: int = 0
    told: dict[str, str] = field(default_factory=dict)
    latencies: list[float] = field(default_factory=list)


@dataclass
class Pending:
    """A request that waits for its answer."""

    name: str
    datagram: bytes
    started: float
    attempt: int = 0
    done: Callable[[str], None] | None = None


class Caller(DatagramProtocol):
    """One flow: a socket that sprays its datagrams over the balancers.

    Parameters
    ----------
    service : str
        Service that is called.
    balancers : list of (str, int)
        Caller addresses of the service's balancers; a test may change it.
    tally : Tally
        Counts.
    clock : reactor
        Calls later.
    rng : random.Random
        Draws balancers, tokens and message IDs.
    """

    def __init__(
        self,
        service: str,
        balancers: list[tuple[str, int]],
        tally: Tally,
        clock: Any,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.balancers = balancers
        self.tally = tally
        self.clock = clock
        self.rng = rng
        self.mid = rng.randrange(65536)
        self.pending: dict[bytes, Pending] = {}
        self.board_token = b""
        self.last_sequence = -1
        self.last_heard = 0.0
        self.is_open = False

    def spray(self, datagram: bytes) -> None:
        """Send a datagram by a balancer drawn at random."""
        self.transport.write(datagram, self.rng.choice(self.balancers))

    def next_mid(self) -> int:
        """Return the next message ID."""
        self.mid = (self.mid + 1) % 65536
        return self.mid

    def post(
        self, path: str, name: str, done: Callable[[str], None] | None = None
    ) -> None:
        """Post a claim or receipt of that name, once, with retransmissions."""
        token = self.rng.randbytes(4)
        message = Message(
            code=Code.POST,
            payload=name.encode(),
            _mtype=Type.CON,
            _mid=self.next_mid(),
            _token=token,
            uri_path=(path,),
        )
        self.tally.sent += 1
        self.send_request(token, name, message, done)

    def send_request(
        self,
        token: bytes,
        name: str,
        message: Message,
        done: Callable[[str], None] | None,
    ) -> None:
        """Send a request and wait for its answer."""
        pending = Pending(name, message.encode(), self.clock.seconds(), done=done)
        self.pending[token] = pending
        self.transmit(token, pending)

    def transmit(self, token: bytes, pending: Pending) -> None:
        """Send a request again until it is answered."""
        if self.pending.get(token) is not pending:
            return
        if pending.attempt > MAX_RETRANSMIT:
            del self.pending[token]
            self.tell(pending, "silent")
            return
        self.spray(pending.datagram)
        delay = ACK_TIMEOUT_S * self.rng.uniform(1, 1.5) * 2**pending.attempt
        pending.attempt += 1
        self.clock.callLater(delay, self.transmit, token, pending)

    def open_board(self) -> None:
        """Open an observation of the board."""
        self.board_token = self.rng.randbytes(4)
        message = Message(
            code=Code.GET,
            _mtype=Type.CON,
            _mid=self.next_mid(),
            _token=self.board_token,
            uri_path=("board",),
        )
        message.opt.observe = 0
        self.send_request(self.board_token, "board", message, None)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take an answer or a notification."""
        message = Message.decode(datagram)
        if message.code is Code.EMPTY:
            return
        if message.mtype is Type.CON:
            ack = Message(
                code=Code.EMPTY, _mtype=Type.ACK, _mid=message.mid, _token=b""
            )
            self.spray(ack.encode())
        if message.token == self.board_token:
            self.take_board(message)
        pending = self.pending.pop(message.token, None)
        if pending is not None and message.token != self.board_token:
            self.take_answer(pending, message)

    def take_board(self, message: Message) -> None:
        """Check a notification."""
        self.tally.notifications += 1
        if message.payload != f"{self.service} board".encode():
            self.tally.wrong += 1
        sequence = message.opt.observe
        if sequence is None:
            self.is_open = False
            return
        if 0 < (self.last_sequence - sequence) % (1 << 24) < (1 << 23):
            self.tally.stale += self.last_sequence >= 0
            return
        self.is_open = True
        self.last_sequence = sequence
        self.last_heard = self.clock.seconds()

    def take_answer(self, pending: Pending, message: Message) -> None:
        """Check an answer against its own request."""
        if message.code is Code.SERVICE_UNAVAILABLE:
            told = "refused"
        elif message.code is Code.GATEWAY_TIMEOUT:
            told = "unknown"
        elif message.payload.endswith(b" " + pending.name.encode()):
            told = "done"
        else:
            told = "wrong"
        self.tell(pending, told)

    def tell(self, pending: Pending, told: str) -> None:
        """Note what the caller was told of a request."""
        setattr(self.tally, told, getattr(self.tally, told) + 1)
        self.tally.told[pending.name] = told
        if told == "done":
            self.tally.latencies.append(self.clock.seconds() - pending.started)
        if pending.done is not None:
            pending.done(told)
