"""Stand-in of an upstream: a CoAP server with slots and an execution log."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from aiocoap import Message
from aiocoap.error import Error as AiocoapError
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import BlockOption
from twisted.internet.protocol import DatagramProtocol

__all__ = ["Job", "Upstream", "UpstreamOptions"]

BLOCK_SIZE_EXPONENT = 6
BLOCK_BYTES = 1024
LONG_BYTES = 3 * BLOCK_BYTES
LABEL_BYTES = 64
DIGEST_BYTES = 8
MAX_KEPT = 20_000
"""Number of cached responses, and of logged reads, that are kept."""
MAX_REPORTS = 1_000
LONG_PATH = "long"
OBSERVABLE_PATHS = frozenset({"board", "balance"})
PATHS = OBSERVABLE_PATHS | {LONG_PATH, "claims", "receipts", "photos", "scans"}
DEADLINE_OPTION = 65_052
"""Remaining milliseconds until the caller's deadline.

An elective option with a number from the range for experimental use.
"""
RETRY_AFTER_S = 1


@dataclass
class UpstreamOptions:
    """Behaviour of the upstream; a test may change it at any time."""

    name: str = "upstream"
    service: str = ""
    slots: int = 2
    service_ms: float = 100.0
    """Mean of the exponentially distributed service time."""
    board_ms: float = 1_000.0
    """Interval between changes of the board."""
    seed: int = 1
    connections: int = 2_000
    """Limit of observations and of queued and running requests together."""
    cold_requests: int = 0
    """Number of requests after a start that take `cold_factor` times as long."""
    cold_factor: float = 5.0
    shed_above: int = 0
    """Length of the queue at which further requests are shed; 0 for no limit."""
    is_draining: bool = False
    report_lag_ms: float = 0.0
    """Age of the load that `/load` reports."""
    told_load: int | None = None
    """Load that `/load` reports instead of the real one."""
    told_health: str = ""
    """State that `/health` reports instead of the real one."""


@dataclass
class Job:
    """A request that waits for a slot or runs in one."""

    request: Message
    address: tuple[str, int]
    body: bytes
    deadline_s: float | None = None
    duration_ms: float = 0.0
    timer: Any = None

    @property
    def label(self) -> str:
        """Name of the request: its query, or the first line of its body."""
        query = "&".join(self.request.opt.uri_query)
        return query or self.body.split(b"\n")[0][:LABEL_BYTES].decode("latin1")


class Upstream(DatagramProtocol):
    """A CoAP server that runs a limited number of requests at a time.

    Parameters
    ----------
    options : UpstreamOptions
        Behaviour, which may change while it runs.
    clock : twisted reactor or Clock
        Schedules the ends of requests and the changes of the board.
    """

    def __init__(self, options: UpstreamOptions, clock: Any) -> None:
        self.options = options
        self.clock = clock
        self.rng = random.Random(options.seed)
        self.executions: list[dict[str, Any]] = []
        self.reads: deque[str] = deque(maxlen=MAX_KEPT)
        self.cancelled = 0
        self.shed = 0
        self.response_cache: OrderedDict[tuple, bytes] = OrderedDict()
        self.queue: deque[Job] = deque()
        self.running: list[Job] = []
        self.started = 0
        self.observers: dict[tuple, Message] = {}
        self.observer_by_mid: dict[tuple, tuple] = {}
        self.uploads: dict[bytes, bytes] = {}
        self.answers: dict[bytes, bytes] = {}
        self.reports: deque[tuple[float, int, int]] = deque(maxlen=MAX_REPORTS)
        self.board_sequence = 0
        self.last_mid = self.rng.randrange(65536)
        self.sink: Callable[[bytes, tuple[str, int]], None] | None = None

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return len(self.running)

    def startProtocol(self) -> None:
        """Start the periodic changes of the board."""
        self.clock.callLater(self.options.board_ms / 1000, self.change_board)

    def send(self, message: Message, address: tuple[str, int]) -> bytes:
        """Send a message; return its bytes."""
        data = message.encode()
        self.write(data, address)
        return data

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send an encoded message, to `sink` if a test has set one."""
        if self.sink is not None:
            self.sink(data, address)
        else:
            self.transport.write(data, address)

    # Requests

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram; one that is no CoAP message is dropped."""
        try:
            request = Message.decode(datagram)
        except (AiocoapError, ValueError, IndexError):
            return
        if request.mtype is Type.RST:
            self.cancel(request.mid, addr)
        elif request.code is Code.EMPTY and request.mtype is Type.CON:
            # A CoAP ping (RFC 7252, section 4.3).
            reset = Message(
                code=Code.EMPTY, _mtype=Type.RST, _mid=request.mid, _token=b""
            )
            self.send(reset, addr)
        elif request.code.is_request():
            self.receive_request(request, addr)

    def receive_request(self, request: Message, address: tuple[str, int]) -> None:
        """Serve a new request; answer a retransmission with the earlier response."""
        key = (address, request.mid)
        if key in self.response_cache:
            if self.response_cache[key]:
                self.write(self.response_cache[key], address)
            return
        # Empty until the answer is sent; retransmissions are ignored until then.
        self.response_cache[key] = b""
        if len(self.response_cache) > MAX_KEPT:
            self.response_cache.popitem(last=False)
        self.dispatch_request(request, address)

    def cancel(self, mid: int, address: tuple[str, int]) -> None:
        """Cancel what a reset refers to.

        This is the observation of a notification, or a waiting or running request whose
        sender resets it by the request's own message ID.
        """
        if (address, mid) in self.observer_by_mid:
            self.observers.pop(self.observer_by_mid.pop((address, mid)), None)
            return
        for jobs in (self.queue, self.running):
            for job in list(jobs):
                if (job.address, job.request.mid) == (address, mid):
                    jobs.remove(job)
                    self.cancelled += 1
                    if job.timer is not None:
                        job.timer.cancel()
        self.start_next()

    def dispatch_request(self, request: Message, address: tuple[str, int]) -> None:
        """Answer a request at once, queue it for a slot, or shed it."""
        path = "/".join(request.opt.uri_path)
        if request.code is Code.GET and request.opt.observe == 1:
            self.observers.pop((address, request.token), None)
        if path not in PATHS:
            self.reply(request, address, Code.NOT_FOUND, b"")
        elif self.is_full():
            self.shed += 1
            self.reply(request, address, Code.SERVICE_UNAVAILABLE, b"")
        elif request.code is Code.GET and path in OBSERVABLE_PATHS:
            self.answer_board(request, address, path)
        else:
            self.enqueue(request, address)

    def is_full(self) -> bool:
        """Return whether new requests are shed."""
        waiting = len(self.queue)
        held = len(self.observers) + waiting + self.busy
        limit = self.options.shed_above
        is_shedding = limit > 0 and waiting >= limit
        return (
            self.options.is_draining or is_shedding or held >= self.options.connections
        )

    def enqueue(self, request: Message, address: tuple[str, int]) -> None:
        """Queue a request for a slot once its body is complete."""
        body = self.collect_body(request, address)
        if body is None or self.answer_later_block(request, address):
            return
        job = Job(request, address, body)
        for option in request.opt.get_option(DEADLINE_OPTION):
            job.deadline_s = (
                self.clock.seconds() + int.from_bytes(option.encode(), "big") / 1000
            )
        self.queue.append(job)
        self.start_next()

    def collect_body(self, request: Message, address: tuple[str, int]) -> bytes | None:
        """Return the complete body, or None while blocks are missing."""
        block = request.opt.block1
        if block is None:
            return request.payload
        key = self.transfer_key(request)
        received = self.uploads.get(key, b"") if block.block_number else b""
        is_repeated = received[block.start :] == request.payload and block.block_number
        if len(received) != block.start and not (is_repeated and block.more):
            self.reply(request, address, Code.REQUEST_ENTITY_INCOMPLETE, b"")
            return None
        # A repeated block is acknowledged again, but not appended.
        if not is_repeated:
            received += request.payload
        self.uploads[key] = received
        if block.more:
            self.reply(request, address, Code.CONTINUE, b"", block1=block)
            return None
        return self.uploads.pop(key)

    def transfer_key(self, request: Message) -> bytes:
        """Return the key of a block-wise transfer.

        The Request-Tag option keeps the transfers of two callers apart.
        """
        parts = [*request.opt.uri_path, *request.opt.uri_query]
        return b"".join(request.opt.request_tag) + "/".join(parts).encode()

    def answer_later_block(self, request: Message, address: tuple[str, int]) -> bool:
        """Answer a request for a later block; return whether it was one."""
        block = request.opt.block2
        if block is None or not block.block_number:
            return False
        body = self.answers.get(self.transfer_key(request))
        if body is None:
            self.reply(request, address, Code.REQUEST_ENTITY_INCOMPLETE, b"")
        else:
            self.reply_block(request, address, body)
        return True

    # Slots

    def start_next(self) -> None:
        """Start queued requests in free slots; refuse those past their deadline."""
        while self.queue and self.busy < self.options.slots:
            job = self.queue.popleft()
            if job.deadline_s is not None and job.deadline_s < self.clock.seconds():
                self.reply(job.request, job.address, Code.SERVICE_UNAVAILABLE, b"")
                continue
            self.running.append(job)
            job.duration_ms = self.draw_duration(job)
            job.timer = self.clock.callLater(job.duration_ms / 1000, self.complete, job)
        self.reports.append((self.clock.seconds(), self.busy, len(self.queue)))

    def draw_duration(self, job: Job) -> float:
        """Count a started request; return its random service time, in ms."""
        self.started += 1
        is_cold = self.started <= self.options.cold_requests
        factor = self.options.cold_factor if is_cold else 1.0
        return factor * self.rng.expovariate(1 / self.options.service_ms)

    def complete(self, job: Job) -> None:
        """Log the execution of a request and answer it."""
        self.running.remove(job)
        request = job.request
        path = "/".join(request.opt.uri_path)
        if request.code is Code.GET:
            self.reads.append(job.label)
        else:
            self.log_execution(path, job)
        text = f"{self.options.name} {path} {job.label}".encode()
        if path == LONG_PATH:
            # The filler depends on the upstream and on its number of started requests,
            # so that callers detect a body mixed from two runs. Only whole words stay.
            filler = f" {self.options.name}-{self.started}".encode()
            body = (text + b"\n" + filler * (LONG_BYTES // len(filler)))[:LONG_BYTES]
            body = body[: body.rindex(b" ")]
            self.answers[self.transfer_key(request)] = body
            self.reply_block(request, job.address, body)
        else:
            code = Code.CONTENT if request.code is Code.GET else Code.CHANGED
            self.reply(request, job.address, code, text, block1=request.opt.block1)
        self.start_next()

    def log_execution(self, path: str, job: Job) -> None:
        """Log an execution, which tests compare with the answers of callers."""
        digest = blake2b(job.body, digest_size=DIGEST_BYTES).hexdigest()
        self.executions.append(
            {"path": path, "body": job.label, "digest": digest, "ms": job.duration_ms}
        )

    def load(self) -> tuple[int, int]:
        """Return the busy slots and waiting requests that `/load` reports."""
        if self.options.told_load is not None:
            return self.options.told_load, 0
        as_of = self.clock.seconds() - self.options.report_lag_ms / 1000
        reported = [entry for entry in self.reports if entry[0] <= as_of]
        return reported[-1][1:] if reported else (0, 0)

    # Answers

    def reply_block(
        self, request: Message, address: tuple[str, int], body: bytes
    ) -> None:
        """Answer with the requested block of a long body."""
        requested = request.opt.block2
        number = requested.block_number if requested else 0
        exponent = min(requested.size_exponent, 6) if requested else BLOCK_SIZE_EXPONENT
        size = 1 << (exponent + 4)
        start = number * size
        block = BlockOption.BlockwiseTuple(number, start + size < len(body), exponent)
        payload = body[start : start + size]
        self.reply(request, address, Code.CONTENT, payload, block2=block)

    def reply(
        self,
        request: Message,
        address: tuple[str, int],
        code: Code,
        payload: bytes,
        **options: Any,
    ) -> None:
        """Send a response, in the acknowledgement if the request is confirmable."""
        answer = Message(
            code=code,
            payload=payload,
            _mtype=Type.ACK if request.mtype is Type.CON else Type.NON,
            _mid=request.mid,
            _token=request.token,
        )
        if code is Code.SERVICE_UNAVAILABLE:
            answer.opt.max_age = RETRY_AFTER_S
        for name, value in options.items():
            setattr(answer.opt, name, value)
        self.response_cache[(address, request.mid)] = self.send(answer, address)

    def board(self) -> bytes:
        """Return the representation of the board."""
        return f"{self.options.service} board".encode()

    def answer_board(
        self, request: Message, address: tuple[str, int], path: str
    ) -> None:
        """Answer with the board; register an observation if the request asks for it."""
        if request.opt.observe == 0:
            self.observers[(address, request.token)] = request
            self.reply(
                request,
                address,
                Code.CONTENT,
                self.board(),
                observe=self.board_sequence,
            )
        else:
            self.reply(request, address, Code.CONTENT, self.board())

    def change_board(self) -> None:
        """Notify the observers of a new state, and schedule the next one."""
        self.board_sequence += 1
        # Only the latest notification of an observation can be reset.
        self.observer_by_mid.clear()
        for address, token in list(self.observers):
            self.last_mid = (self.last_mid + 1) % 65536
            self.observer_by_mid[(address, self.last_mid)] = (address, token)
            notification = Message(
                code=Code.CONTENT,
                payload=self.board(),
                _mtype=Type.NON,
                _mid=self.last_mid,
                _token=token,
            )
            notification.opt.observe = self.board_sequence
            self.send(notification, address)
        self.clock.callLater(self.options.board_ms / 1000, self.change_board)
