"""Stand-in of callers, which checks each answer against its request."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import BlockOption
from twisted.internet.protocol import DatagramProtocol

__all__ = ["Caller", "Pending", "Tally"]

# Defaults of RFC 7252, section 4.8.
ACK_TIMEOUT_S = 2.0
MAX_RETRANSMIT = 4
# A block has 2**(exponent + 4) bytes (RFC 7959).
BLOCK_SIZE_EXPONENT = 6
BLOCK_BYTES = 1024
REFUSALS = frozenset({Code.SERVICE_UNAVAILABLE, Code.TOO_MANY_REQUESTS})
DIGEST_BYTES = 8

OutcomeCallback = Callable[[str], None]
"""Called with the outcome: done, refused, unknown, silent or wrong."""


@dataclass
class Tally:
    """Outcomes of the requests of one service's callers.

    `done`, `refused`, `unknown`, `silent` (no answer to any transmission) and `wrong`
    (the answer of another request, or a mixed one) count outcomes. `wrong` also counts
    notifications of another board, `stale` reordered notifications and `restarted`
    block-wise transfers that were started again. The dictionaries map the name of a
    request to its outcome, the seconds until its answer (done requests only) and the
    digest of its body.
    """

    sent: int = 0
    done: int = 0
    refused: int = 0
    unknown: int = 0
    silent: int = 0
    wrong: int = 0
    notifications: int = 0
    stale: int = 0
    restarted: int = 0
    outcomes: dict[str, str] = field(default_factory=dict)
    latency_by_name: dict[str, float] = field(default_factory=dict)
    digests: dict[str, str] = field(default_factory=dict)

    @property
    def latencies(self) -> list[float]:
        """Seconds from the first transmission to the answer of each done request."""
        return list(self.latency_by_name.values())


@dataclass
class Pending:
    """A request that waits for its answer."""

    name: str
    datagram: bytes
    started: float
    attempt: int = 0
    on_done: OutcomeCallback | None = None
    on_answer: Callable[["Pending", Message], None] | None = None


def body_digest(body: bytes) -> str:
    """Return the digest of a body, by which a body mixed from two is detected."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


@dataclass
class Upload:
    """A block-wise upload."""

    path: str
    name: str
    body: bytes
    started: float
    on_done: OutcomeCallback | None = None
    number: int = 0

    def block(self) -> BlockOption.BlockwiseTuple:
        """Return the Block1 option of the next block."""
        more = (self.number + 1) * BLOCK_BYTES < len(self.body)
        return BlockOption.BlockwiseTuple(self.number, more, BLOCK_SIZE_EXPONENT)

    def payload(self) -> bytes:
        """Return the next block of the body."""
        start = self.number * BLOCK_BYTES
        return self.body[start : start + BLOCK_BYTES]


def is_one_body(body: bytes, name: str) -> bool:
    """Return whether a long answer names the request and comes from one run of it."""
    head, _, rest = body.partition(b"\n")
    return head.endswith(b" " + name.encode()) and len(set(rest.split())) == 1


class Caller(DatagramProtocol):
    """One flow: a socket that sends each datagram through a random balancer.

    Parameters
    ----------
    service : str
        Service that is called.
    balancers : list of (str, int)
        Caller addresses of the service's balancers; a test may change the list.
    tally : Tally
        Outcomes of the requests, which callers may share.
    clock : reactor
        Schedules retransmissions.
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
        self.last_sequence: int | None = None
        self.last_heard = 0.0
        self.is_open = False

    def send_datagram(self, datagram: bytes) -> None:
        """Send a datagram through a balancer drawn at random."""
        self.transport.write(datagram, self.rng.choice(self.balancers))

    def next_mid(self) -> int:
        """Return the next message ID."""
        self.mid = (self.mid + 1) % 65536
        return self.mid

    def request(self, code: Code, path: str, payload: bytes = b"") -> Message:
        """Return a confirmable request with a new message ID and token."""
        return Message(
            code=code,
            payload=payload,
            _mtype=Type.CON,
            _mid=self.next_mid(),
            _token=self.rng.randbytes(4),
            uri_path=(path,),
        )

    def post(
        self, path: str, name: str, on_done: OutcomeCallback | None = None
    ) -> None:
        """Post a claim or receipt whose body is its name, with retransmissions."""
        self.tally.sent += 1
        self.tally.digests[name] = body_digest(name.encode())
        self.send_request(self.request(Code.POST, path, name.encode()), name, on_done)

    def upload(
        self, path: str, name: str, size: int, on_done: OutcomeCallback | None = None
    ) -> None:
        """Start a block-wise upload of a body that begins with its name."""
        filler = self.rng.randbytes(8).hex().encode()
        body = (name.encode() + b"\n" + filler * (size // len(filler)))[:size]
        self.tally.sent += 1
        self.tally.digests[name] = body_digest(body)
        self.send_block(Upload(path, name, body, self.clock.seconds(), on_done))

    def send_block(self, upload: Upload) -> None:
        """Send the next block of an upload."""
        message = self.request(Code.POST, upload.path, upload.payload())
        message.opt.block1 = upload.block()
        pending = self.send_request(message, upload.name, upload.on_done)
        pending.started = upload.started
        pending.on_answer = lambda pending, answer: self.continue_upload(
            upload, pending, answer
        )

    def continue_upload(
        self, upload: Upload, pending: Pending, answer: Message
    ) -> None:
        """Continue an upload, or restart it if the upstream lost the earlier blocks."""
        if answer.code is Code.CONTINUE:
            upload.number += 1
            self.send_block(upload)
        elif answer.code is Code.REQUEST_ENTITY_INCOMPLETE:
            self.tally.restarted += 1
            upload.number = 0
            self.send_block(upload)
        else:
            self.check_answer(pending, answer)

    def get_long(
        self, path: str, name: str, on_done: OutcomeCallback | None = None
    ) -> None:
        """Start a block-wise download of a long answer."""
        self.tally.sent += 1
        self.read_block(path, name, 0, [], self.clock.seconds(), on_done)

    def read_block(
        self,
        path: str,
        name: str,
        number: int,
        parts: list[bytes],
        started: float,
        on_done: OutcomeCallback | None,
    ) -> None:
        """Request one block of a long answer, and the rest from its answer."""
        message = self.request(Code.GET, path)
        message.opt.uri_query = (name,)
        if number:
            message.opt.block2 = BlockOption.BlockwiseTuple(
                number, False, BLOCK_SIZE_EXPONENT
            )

        def on_block(pending: Pending, answer: Message) -> None:
            block = answer.opt.block2
            if answer.code is Code.REQUEST_ENTITY_INCOMPLETE:
                self.tally.restarted += 1
                self.read_block(path, name, 0, [], started, on_done)
            elif block is None or not answer.code.is_successful():
                self.check_answer(pending, answer)
            elif block.more:
                parts.append(answer.payload)
                self.read_block(path, name, number + 1, parts, started, on_done)
            else:
                is_whole = is_one_body(b"".join([*parts, answer.payload]), name)
                self.record_outcome(pending, "done" if is_whole else "wrong")

        pending = self.send_request(message, name, on_done)
        pending.started = started
        pending.on_answer = on_block

    def send_request(
        self, message: Message, name: str, on_done: OutcomeCallback | None = None
    ) -> Pending:
        """Send a request and register it as pending."""
        pending = Pending(name, message.encode(), self.clock.seconds(), on_done=on_done)
        self.pending[message.token] = pending
        self.transmit(message.token, pending)
        return pending

    def transmit(self, token: bytes, pending: Pending) -> None:
        """Transmit a pending request and schedule its retransmission with backoff."""
        if self.pending.get(token) is not pending:
            return
        if pending.attempt > MAX_RETRANSMIT:
            del self.pending[token]
            self.record_outcome(pending, "silent")
            return
        self.send_datagram(pending.datagram)
        delay = ACK_TIMEOUT_S * self.rng.uniform(1, 1.5) * 2**pending.attempt
        pending.attempt += 1
        self.clock.callLater(delay, self.transmit, token, pending)

    def open_board(self) -> None:
        """Register an observation of the board."""
        message = self.request(Code.GET, "board")
        message.opt.observe = 0
        self.board_token = message.token
        self.send_request(message, "board")

    def close_board(self) -> None:
        """Cancel the observation of the board."""
        message = self.request(Code.GET, "board")
        message.token = self.board_token
        message.opt.observe = 1
        self.send_request(message, "board")

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle an answer or a notification."""
        message = Message.decode(datagram)
        if message.code is Code.EMPTY:
            return
        if message.mtype is Type.CON:
            is_known = message.token in (self.board_token, *self.pending)
            ack = Message(
                code=Code.EMPTY,
                _mtype=Type.ACK if is_known else Type.RST,
                _mid=message.mid,
                _token=b"",
            )
            self.send_datagram(ack.encode())
        pending = self.pending.pop(message.token, None)
        if message.token == self.board_token:
            self.check_notification(message)
        elif pending is not None:
            (pending.on_answer or self.check_answer)(pending, message)

    def check_notification(self, message: Message) -> None:
        """Check a notification; after an error, register again when `Max-Age` ends."""
        if not message.code.is_successful():
            self.is_open = False
            self.clock.callLater(message.opt.max_age or 1, self.open_board)
            return
        self.tally.notifications += 1
        if message.payload != f"{self.service} board".encode():
            self.tally.wrong += 1
        sequence = message.opt.observe
        if sequence is None:
            self.is_open = False
            return
        # Sequence numbers wrap around at 2**24 (RFC 7641, section 3.4).
        last = self.last_sequence
        if last is not None and 0 < (last - sequence) % (1 << 24) < (1 << 23):
            self.tally.stale += 1
            return
        self.is_open = True
        self.last_sequence = sequence
        self.last_heard = self.clock.seconds()

    def check_answer(self, pending: Pending, message: Message) -> None:
        """Derive the outcome of a request from its answer."""
        if message.code in REFUSALS:
            outcome = "refused"
        elif message.code is Code.GATEWAY_TIMEOUT:
            outcome = "unknown"
        elif message.payload.endswith(b" " + pending.name.encode()):
            outcome = "done"
        else:
            outcome = "wrong"
        self.record_outcome(pending, outcome)

    def record_outcome(self, pending: Pending, outcome: str) -> None:
        """Record the outcome of a request and call its callback."""
        setattr(self.tally, outcome, getattr(self.tally, outcome) + 1)
        self.tally.outcomes[pending.name] = outcome
        if outcome == "done":
            self.tally.latency_by_name[pending.name] = (
                self.clock.seconds() - pending.started
            )
        if pending.on_done is not None:
            pending.on_done(outcome)
