"""HTTP/1.1 client of the packet-flow processes; each call has a timeout."""

import selectors
import socket
from collections.abc import Callable

import httptools

from fuchsiapin.daemons.eventloop import EventLoop
from fuchsiapin.fields import shown
from fuchsiapin.lightclasses import dataclass

__all__ = ["TOO_LONG", "HttpClient", "HttpResponse"]

READ_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest response body that is accepted."""
MAX_HEAD_BYTES = 128 * 1024
"""Longest status line and headers, with what is read together with them."""
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_USER_TIMEOUT, 2_000),
)
"""Probes each second (s); a connection ends after two seconds (ms) without an
acknowledgement, so that a call that waits for long notices a path that went silent."""
TOO_LONG = "response is too long"
"""Error of a call whose response exceeds a limit; a repeated call may get the same."""
FIRST_FINAL_STATUS = 200
MAX_IDLE = 4
"""Idle keep-alive connections to one server."""


@dataclass(frozen=True)
class HttpResponse:
    """Response to a call, or the reason why there is none.

    Parameters
    ----------
    status : int
        HTTP status, 0 without a valid response.
    body : bytes
        Response body.
    error : str
        Why there is no valid response: `refused`, `timeout`, `broken` or a description.
    headers : dict
        Headers by lower-case name.
    """

    status: int
    body: bytes = b""
    error: str = ""
    headers: dict[str, str] | None = None


class Connection:
    """A keep-alive connection; makes one call at a time."""

    def __init__(self, client: "HttpClient") -> None:
        self.client = client
        self.loop = client.loop
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE_OPTIONS:
            try:
                self.socket.setsockopt(socket.IPPROTO_TCP, option, value)
            except OSError:
                continue  # not supported; each call has a timeout besides
        self.unsent = b""
        self.is_open = True
        self.keeps_alive = True
        self.call_number = 0
        self.on_done: Callable[[HttpResponse], None] | None = None
        self.reset_parser()
        try:
            self.socket.connect(client.address)
        except BlockingIOError:
            pass  # still connecting; the socket becomes writable when it is done
        except OSError as error:
            self.loop.call_later(
                0, lambda now, error=error: self.fail(error_label(error))
            )

    def reset_parser(self) -> None:
        """Reset the parser for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.response: HttpResponse | None = None
        self.received = 0
        self.is_head_complete = False
        self.body_parts: list[bytes] = []
        self.body_length = 0
        self.headers: dict[str, str] = {}

    def call(
        self, request: bytes, timeout_ms: int, on_done: Callable[[HttpResponse], None]
    ) -> None:
        """Send a request; `on_done` is called once with the outcome."""
        self.on_done = on_done
        self.call_number += 1
        self.unsent = request
        self.reset_parser()
        call_number = self.call_number

        def expire(now: int) -> None:
            if call_number == self.call_number and self.on_done is not None:
                self.fail("timeout")

        self.loop.call_later(timeout_ms, expire)
        try:
            self.watch()
        except OSError as error:
            label = error_label(error)
            self.loop.call_later(0, lambda now: self.fail(label))

    def watch(self) -> None:
        """Watch for input, and for output while data is unsent."""
        if not self.is_open:
            return
        events = selectors.EVENT_READ
        if self.unsent:
            events |= selectors.EVENT_WRITE
        self.loop.watch(self.socket, self.on_socket_event, events)

    def on_socket_event(self, mask: int) -> None:
        """Write and read as far as the socket allows."""
        try:
            if mask & selectors.EVENT_WRITE and self.unsent:
                sent = self.socket.send(self.unsent)
                self.unsent = self.unsent[sent:]
                self.watch()
            if mask & selectors.EVENT_READ:
                self.read()
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(error_label(error))

    def read(self) -> None:
        """Read and parse a part of the response."""
        data = self.socket.recv(READ_BYTES)
        if not data:
            self.fail("broken")
            return
        if self.on_done is None:
            self.close()  # data that belongs to no call
            self.client.release(self)
            return
        self.received += len(data)
        limit = MAX_HEAD_BYTES + (MAX_BODY_BYTES if self.is_head_complete else 0)
        if self.received > limit:
            self.fail(TOO_LONG)
            return
        error = ""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as found:
            error = f"malformed response: {found}"
        # Not called within the parser, which would wrap the errors of `on_done`.
        if self.response is None:
            if error:
                self.fail(error)
            return
        if error or not self.keeps_alive:
            self.close()
        self.finish(self.response)

    def on_headers_complete(self) -> None:
        """Note the end of the headers."""
        self.is_head_complete = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, up to the limit."""
        self.body_length += len(data)
        if self.body_length <= MAX_BODY_BYTES:
            self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Finish the call with the complete response."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self.response is not None:
            return  # a provisional response, or more than the call asked for
        error = ""
        if self.body_length > MAX_BODY_BYTES:
            status, error = 0, TOO_LONG
        self.keeps_alive = self.parser.should_keep_alive()
        self.response = HttpResponse(
            status, b"".join(self.body_parts), error, self.headers
        )

    def fail(self, error: str) -> None:
        """Close the connection and finish the call with an error."""
        self.close()
        self.finish(HttpResponse(0, error=error))

    def finish(self, answer: HttpResponse) -> None:
        """Release the connection and report the outcome of the call."""
        on_done, self.on_done = self.on_done, None
        self.client.release(self)
        if on_done is not None:
            on_done(answer)

    def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self.loop.unwatch(self.socket)
            self.socket.close()


class HttpClient:
    """HTTP client of one server, with a small pool of keep-alive connections.

    Parameters
    ----------
    loop : EventLoop
        The event loop.
    host : str
        Host of the server.
    port : int
        Port of the server.
    """

    def __init__(self, loop: EventLoop, host: str, port: int) -> None:
        self.loop = loop
        self.address = (host, port)
        self.host_header = f"{host}:{port}"
        self.idle: list[Connection] = []
        self.is_closed = False

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        on_done: Callable[[HttpResponse], None],
    ) -> None:
        """Make a call; `on_done` is called exactly once with the outcome."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host_header}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        elif method != "GET":
            head += "Content-Length: 0\r\n"
        if not is_target(path):
            error = f"path {shown(path)} can't be sent"
            self.answer_later(on_done, HttpResponse(0, error=error))
            return
        request = f"{head}\r\n".encode() + body
        try:
            connection = self.idle.pop() if self.idle else Connection(self)
        except OSError as error:  # no descriptor or memory is left
            self.answer_later(on_done, HttpResponse(0, error=error_label(error)))
            return
        connection.call(request, timeout_ms, on_done)

    def answer_later(
        self, on_done: Callable[[HttpResponse], None], answer: HttpResponse
    ) -> None:
        """Finish a call that wasn't sent."""
        waiting = [on_done]

        def finish(now: int) -> None:
            if waiting:  # not again if the first call of `on_done` failed
                waiting.pop()(answer)

        self.loop.call_later(0, finish)

    def close(self) -> None:
        """Close idle connections, and others once their call is finished."""
        self.is_closed = True
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()

    def release(self, connection: Connection) -> None:
        """Return an open connection to the pool, or close it if the pool is full."""
        if connection in self.idle:
            self.idle.remove(connection)
        if not connection.is_open:
            return
        if len(self.idle) < MAX_IDLE and not self.is_closed:
            self.idle.append(connection)
        else:
            connection.close()


def is_target(path: str) -> bool:
    """Return whether a path can be sent as the target of a request."""
    if not path.isprintable() or " " in path:
        return False
    return all(not "\ud800" <= character <= "\udfff" for character in path)


def error_label(error: OSError) -> str:
    """Return a short label for a connection error."""
    if isinstance(error, ConnectionRefusedError):
        return "refused"
    if isinstance(error, ConnectionResetError | BrokenPipeError):
        return "broken"
    return error.strerror or repr(error)
