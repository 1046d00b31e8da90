"""Stand-in of an upstream: a CoAP server with slots and an execution log."""

import json
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import defopt
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import BlockOption
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol
from twisted.web.resource import Resource
from twisted.web.server import Site

__all__ = ["Upstream", "UpstreamOptions", "main"]

BLOCK_SIZE_EXPONENT = 6
BLOCK_BYTES = 1024
MAX_SEEN = 20_000
LONG_PATH = "long"
WATCHED_PATH = "board"


@dataclass
class UpstreamOptions:
    """How the upstream behaves."""

    name: str = "upstream"
    service: str = ""
    slots: int = 2
    service_ms: float = 100.0
    board_ms: float = 1_000.0
    seed: int = 1


@dataclass(frozen=True)
class Job:
    """One request that waits for a slot."""

    request: Message
    address: tuple[str, int]
    body: bytes


class Upstream(DatagramProtocol):
    """The server.

    Parameters
    ----------
    options : UpstreamOptions
        How it behaves.
    clock : twisted reactor or Clock
        Calls later.
    """

    def __init__(self, options: UpstreamOptions, clock: Any) -> None:
        self.options = options
        self.clock = clock
        self.rng = random.Random(options.seed)
        self.executions: list[dict[str, Any]] = []
        self.seen: OrderedDict[tuple, bytes] = OrderedDict()
        self.queue: deque[Job] = deque()
        self.busy = 0
        self.observers: dict[tuple, Message] = {}
        self.uploads: dict[bytes, bytes] = {}
        self.answers: dict[bytes, bytes] = {}
        self.state = 0
        self.next_mid = self.rng.randrange(65536)
        self.sink: Callable[[bytes, tuple[str, int]], None] | None = None

    def startProtocol(self) -> None:
        """Begin to change the board."""
        self.clock.callLater(self.options.board_ms / 1000, self.change_board)

    def send(self, message: Message, address: tuple[str, int]) -> bytes:
        """Send a message; return its bytes."""
        data = message.encode()
        self.write(data, address)
        return data

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send bytes."""
        if self.sink is not None:
            self.sink(data, address)
        else:
            self.transport.write(data, address)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram."""
        request = Message.decode(datagram)
        if request.code is Code.EMPTY:
            if request.mtype is Type.CON:
                reset = Message(
                    code=Code.EMPTY, _mtype=Type.RST, _mid=request.mid, _token=b""
                )
                self.send(reset, addr)
            return
        if not request.code.is_request():
            return
        key = (addr, request.mid)
        if key in self.seen:
            if self.seen[key]:
                self.write(self.seen[key], addr)
            return
        self.seen[key] = b""
        if len(self.seen) > MAX_SEEN:
            self.seen.popitem(last=False)
        self.take(request, addr)

    def take(self, request: Message, address: tuple[str, int]) -> None:
        """Serve a request at once, or let it wait for a slot."""
        path = "/".join(request.opt.uri_path)
        if request.code is Code.GET and request.opt.observe == 1:
            self.observers.pop((address, request.token), None)
        if request.code is Code.GET and path == WATCHED_PATH:
            self.answer_board(request, address)
            return
        body = self.collect_body(request, address)
        if body is None or self.answer_later_block(request, address):
            return
        self.queue.append(Job(request, address, body))
        self.start_next()

    def collect_body(self, request: Message, address: tuple[str, int]) -> bytes | None:
        """Return the whole body, None while blocks are missing."""
        block = request.opt.block1
        if block is None:
            return request.payload
        tag = self.transfer_key(request)
        known = self.uploads.get(tag, b"") if block.block_number else b""
        if len(known) != block.start:
            self.reply(request, address, Code.REQUEST_ENTITY_INCOMPLETE, b"")
            return None
        self.uploads[tag] = known + request.payload
        if block.more:
            self.reply(request, address, Code.CONTINUE, b"", block1=block)
            return None
        return self.uploads.pop(tag)

    def transfer_key(self, request: Message) -> bytes:
        """Return what keeps the transfers of two callers apart."""
        return (
            b"".join(request.opt.request_tag) + "/".join(request.opt.uri_path).encode()
        )

    def answer_later_block(self, request: Message, address: tuple[str, int]) -> bool:
        """Answer a later block of a long answer; return whether it was one."""
        block = request.opt.block2
        if block is None or not block.block_number:
            return False
        body = self.answers.get(self.transfer_key(request))
        if body is None:
            self.reply(request, address, Code.REQUEST_ENTITY_INCOMPLETE, b"")
        else:
            self.reply_block(request, address, body, block.block_number)
        return True

    def start_next(self) -> None:
        """Start what waits while slots are free."""
        while self.queue and self.busy < self.options.slots:
            job = self.queue.popleft()
            self.busy += 1
            duration = self.rng.expovariate(1 / self.options.service_ms)
            self.clock.callLater(duration / 1000, self.complete, job)

    def complete(self, job: Job) -> None:
        """Log the execution and answer."""
        self.busy -= 1
        request = job.request
        path = "/".join(request.opt.uri_path)
        if request.code is not Code.GET:
            self.executions.append(
                {"path": path, "body": job.body[:64].decode("latin1")}
            )
        text = f"{self.options.name} {path} ".encode() + job.body[:64]
        if path == LONG_PATH:
            body = text + b"." * (3 * BLOCK_BYTES)
            self.answers[self.transfer_key(request)] = body
            self.reply_block(request, job.address, body, 0)
        else:
            code = Code.CONTENT if request.code is Code.GET else Code.CHANGED
            self.reply(request, job.address, code, text, block1=request.opt.block1)
        self.start_next()

    def reply_block(
        self, request: Message, address: tuple[str, int], body: bytes, number: int
    ) -> None:
        """Answer with one block of a long body."""
        start = number * BLOCK_BYTES
        more = start + BLOCK_BYTES < len(body)
        block = BlockOption.BlockwiseTuple(number, more, BLOCK_SIZE_EXPONENT)
        payload = body[start : start + BLOCK_BYTES]
        self.reply(request, address, Code.CONTENT, payload, block2=block)

    def reply(
        self,
        request: Message,
        address: tuple[str, int],
        code: Code,
        payload: bytes,
        block1: Any = None,
        block2: Any = None,
        observe: int | None = None,
    ) -> None:
        """Answer on the acknowledgement."""
        answer = Message(
            code=code,
            payload=payload,
            _mtype=Type.ACK if request.mtype is Type.CON else Type.NON,
            _mid=request.mid,
            _token=request.token,
        )
        answer.opt.block1 = block1
        answer.opt.block2 = block2
        answer.opt.observe = observe
        self.seen[(address, request.mid)] = self.send(answer, address)

    def board(self) -> bytes:
        """Return the state of the board."""
        return f"{self.options.service} board".encode()

    def answer_board(self, request: Message, address: tuple[str, int]) -> None:
        """Answer with the board, and go on when it is observed."""
        if request.opt.observe == 0:
            self.observers[(address, request.token)] = request
            self.reply(request, address, Code.CONTENT, self.board(), observe=self.state)
        else:
            self.reply(request, address, Code.CONTENT, self.board())

    def change_board(self) -> None:
        """Tell the observers of a new state."""
        self.state += 1
        for (address, token), _ in list(self.observers.items()):
            self.next_mid = (self.next_mid + 1) % 65536
            note = Message(
                code=Code.CONTENT,
                payload=self.board(),
                _mtype=Type.NON,
                _mid=self.next_mid,
                _token=token,
            )
            note.opt.observe = self.state
            self.send(note, address)
        self.clock.callLater(self.options.board_ms / 1000, self.change_board)


class Admin(Resource):
    """Execution log, health and load over HTTP."""

    isLeaf = True

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self.upstream = upstream

    def render_GET(self, request: Any) -> bytes:
        """Answer `/executions`, `/load` and `/health`."""
        if request.path == b"/executions":
            return json.dumps(self.upstream.executions).encode()
        if request.path == b"/load":
            waiting = len(self.upstream.queue)
            return json.dumps({"busy": self.upstream.busy, "waiting": waiting}).encode()
        return json.dumps(
            {"state": "ok", "observers": len(self.upstream.observers)}
        ).encode()


def serve(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    admin_port: int = 0,
    name: str = "upstream",
    service: str = "",
    slots: int = 2,
    service_ms: float = 100.0,
    seed: int = 1,
) -> None:
    """Serve the upstream stand-in.

    Parameters
    ----------
    host : str
        Address.
    port : int
        CoAP port.
    admin_port : int
        HTTP port of the execution log.
    name : str
        Name of the upstream.
    service : str
        Service that it belongs to.
    slots : int
        Requests served at the same time.
    service_ms : float
        Mean service time.
    seed : int
        Seed of the service times.
    """
    options = UpstreamOptions(name, service, slots, service_ms, seed=seed)
    upstream = Upstream(options, reactor)
    bound = reactor.listenUDP(port, upstream, host, 65536)
    admin = reactor.listenTCP(admin_port, Site(Admin(upstream)), interface=host)
    print(f"ready {bound.getHost().port} {admin.getHost().port}", flush=True)
    reactor.run()


def main() -> None:
    """Enter from the command line."""
    defopt.run(serve)


if __name__ == "__main__":
    main()
