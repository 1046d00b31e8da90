"""A small HTTP/1.1 server for readiness, heartbeats and metrics."""

import selectors
import socket
from collections.abc import Callable

import httptools

from fuchsiapin.daemons.eventloop import EventLoop, bind_socket
from fuchsiapin.lightclasses import dataclass

__all__ = ["Handler", "Reply", "listen_http"]

BACKLOG = 128
READ_BYTES = 65_536
MAX_BODY_BYTES = 65_536
MAX_REQUEST_BYTES = 2 * MAX_BODY_BYTES
"""Bytes of one request, with its headers, after which a connection is closed."""
MAX_UNSENT_BYTES = 256 * 1024
"""Unsent bytes of replies after which no further request is handled."""
MAX_CONNECTIONS = 256
IDLE_MS = 60_000
"""Idle time after which a connection may be closed, and the interval of that check."""
MAX_SHOWN_CHARACTERS = 100
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    503: "Service Unavailable",
}


@dataclass(frozen=True)
class Reply:
    """Response that the server sends."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[str, str, bytes], Reply]
"""Maps method, path and body of a request to a reply."""


class ServerConnection:
    """A connection accepted from a client."""

    def __init__(
        self,
        loop: EventLoop,
        accepted: socket.socket,
        handler: Handler,
        on_close: Callable[["ServerConnection"], None],
    ) -> None:
        self.loop = loop
        self.socket = accepted
        self.handler = handler
        self.on_close = on_close
        self.unsent = b""
        self.is_open = True
        self.last_used = loop.clock.now()
        self.parser = httptools.HttpRequestParser(self)
        self.reset_request()
        self.watch()

    def reset_request(self) -> None:
        """Clear the state of the last request."""
        self.path = b""
        self.body = b""
        self.received = 0

    def watch(self) -> None:
        """Watch for input, and for output while data is unsent."""
        events = selectors.EVENT_READ
        if self.unsent:
            events |= selectors.EVENT_WRITE
        self.loop.watch(self.socket, self.on_socket_event, events)

    def on_socket_event(self, mask: int) -> None:
        """Write and read as far as the socket allows."""
        try:
            if mask & selectors.EVENT_WRITE:
                self.write()
            if self.is_open and mask & selectors.EVENT_READ:
                data = self.socket.recv(READ_BYTES)
                if not data:
                    self.close()
                    return
                self.last_used = self.loop.clock.now()
                self.received += len(data)
                self.parser.feed_data(data)
                if self.received > MAX_REQUEST_BYTES:
                    self.close()
        except BlockingIOError:
            return
        except (OSError, httptools.HttpParserError):
            self.close()  # connection lost or invalid HTTP

    def on_url(self, url: bytes) -> None:
        """Store the path."""
        self.path += url

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, up to one byte over the limit."""
        self.body = (self.body + data)[: MAX_BODY_BYTES + 1]

    def on_message_complete(self) -> None:
        """Handle a complete request and send the reply."""
        if len(self.unsent) > MAX_UNSENT_BYTES:
            self.close()  # the client doesn't read
        if not self.is_open:
            return
        method = self.parser.get_method().decode("latin-1")
        path = self.path.decode("latin-1")
        body = self.body
        self.reset_request()
        if len(body) > MAX_BODY_BYTES:
            reply = Reply(400, b'{"error": "body is too long"}')
        else:
            reply = self.handle(method, path, body)
        reason = REASON_PHRASES.get(reply.status, "Status")
        head = (
            f"HTTP/1.1 {reply.status} {reason}\r\n"
            f"Content-Type: {reply.content_type}\r\n"
            f"Content-Length: {len(reply.body)}\r\n\r\n"
        )
        self.unsent += head.encode() + reply.body
        self.write()

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Return the reply of the handler, 503 if it fails."""
        try:
            return self.handler(method, path, body)
        except Exception as error:
            self.loop.on_error(f"{method} {path[:MAX_SHOWN_CHARACTERS]}", error)
            return Reply(503)

    def write(self) -> None:
        """Send as much of the unsent data as the socket accepts."""
        try:
            sent = self.socket.send(self.unsent)
            self.unsent = self.unsent[sent:]
        except BlockingIOError:
            pass  # continues when the socket is writable again
        except OSError:
            self.close()
            return
        self.watch()

    def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self.loop.unwatch(self.socket)
            self.socket.close()
            self.on_close(self)


def listen_http(
    loop: EventLoop, host: str, port: int, handler: Handler
) -> socket.socket:
    """Serve HTTP on an address.

    Parameters
    ----------
    loop : EventLoop
        The event loop.
    host : str
        Local address.
    port : int
        Local port, 0 for any.
    handler : callable
        Takes method, path and body of each request; returns the reply.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind_socket(listener, host, port, BACKLOG)
    connections: dict[ServerConnection, None] = {}

    def accept(mask: int) -> None:
        while True:
            try:
                accepted, _ = listener.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError:
                # Usually no descriptor is left; the loop pauses the listener.
                close_oldest()
                raise
            if len(connections) >= MAX_CONNECTIONS:
                close_oldest()
            try:
                accepted.setblocking(False)
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection = ServerConnection(
                    loop, accepted, handler, lambda c: connections.pop(c, None)
                )
            except OSError:
                accepted.close()
                raise
            connections[connection] = None

    def close_oldest() -> None:
        for connection in connections:  # ordered by acceptance
            connection.close()
            return

    def close_idle(now: int) -> None:
        for connection in list(connections):
            if now - connection.last_used > IDLE_MS:
                connection.close()
        loop.call_later(IDLE_MS, close_idle)

    loop.watch(listener, accept, selectors.EVENT_READ)
    loop.call_later(IDLE_MS, close_idle)
    return listener
