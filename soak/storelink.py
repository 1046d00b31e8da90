"""A proxy between the processes and the store: delays, cuts, silences, resets."""

import selectors
import socket
import struct
from collections.abc import Callable

from fuchsiapin.daemons.eventloop import EventLoop

__all__ = ["MODES", "StoreLink"]

MODES = ("delayed", "cut", "requests cut", "answers cut", "doomed", "reset")
"""Ways in which the link misbehaves."""
DELAY_MS = 150
CONNECT_S = 0.5
"""Time to connect to the stand-in, which listens on the same VM."""
READ_BYTES = 65_536
AT_ONCE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes closing a reset."""


class Pipe:
    """One direction of one connection; keeps what a cut holds up, as TCP does."""

    def __init__(self, target: socket.socket) -> None:
        self.target = target
        self.held = b""

    def flush(self) -> None:
        """Write what was held up."""
        data, self.held = self.held, b""
        if data:
            self.target.sendall(data)


class Connection:
    """One connection of a process to the store."""

    def __init__(
        self, link: "StoreLink", near: socket.socket, far: socket.socket
    ) -> None:
        self.link = link
        self.near = near
        self.far = far
        self.is_doomed = False
        self.is_open = True
        self.requests = Pipe(self.far)
        self.answers = Pipe(self.near)
        self.watch(near, self.requests, "requests cut")
        self.watch(self.far, self.answers, "answers cut")

    def watch(self, source: socket.socket, pipe: Pipe, cut: str) -> None:
        """Carry what one end sends."""

        def read(mask: int) -> None:
            try:
                data = source.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self.close(False)
                return
            pipe.held += data
            if self.link.mode == "delayed":
                self.link.loop.call_later(DELAY_MS, lambda now: self.carry(pipe, cut))
            else:
                self.carry(pipe, cut)

        self.link.loop.watch(source, read, selectors.EVENT_READ)

    def carry(self, pipe: Pipe, cut: str) -> None:
        """Write what one end sent, unless the link holds it up."""
        if not self.is_open or self.is_doomed or self.link.mode in ("cut", cut):
            return
        self.guard(pipe.flush)

    def guard(self, call: Callable[[], None]) -> None:
        """Do something; an end that is gone closes the connection."""
        try:
            call()
        except OSError:
            self.close(False)

    def close(self, at_once: bool) -> None:
        """Close both ends, by a reset where that is wanted."""
        if not self.is_open:
            return
        self.is_open = False
        self.link.connections.discard(self)
        for end in (self.near, self.far):
            self.link.loop.unwatch(end)
            if at_once:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            end.close()


class StoreLink:
    """Listens for processes and connects each to the store.

    Parameters
    ----------
    loop : EventLoop
        Loop of the soak.
    address, target : tuple of str and int
        Where processes connect, and where the store listens.
    """

    def __init__(
        self, loop: EventLoop, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self.loop = loop
        self.target = target
        self.mode = "up"
        self.connections: set[Connection] = set()
        self.listener = socket.create_server(address, backlog=256)
        self.listener.setblocking(False)
        loop.watch(self.listener, self.on_connection, selectors.EVENT_READ)

    def on_connection(self, mask: int) -> None:
        """Take a connection of a process."""
        near, _ = self.listener.accept()
        try:
            if self.mode == "reset":
                raise ConnectionResetError
            far = socket.create_connection(self.target, CONNECT_S)
        except OSError:  # the store doesn't take it, and the process sees a reset
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            near.close()
            return
        self.connections.add(Connection(self, near, far))

    def set_mode(self, mode: str) -> None:
        """Misbehave in one of the ways of `MODES`, or not at all for `up`.

        `doomed` connections never carry anything again, also after the end.
        """
        self.mode = mode
        for connection in list(self.connections):
            if mode == "reset":
                connection.close(True)
            elif mode == "doomed":
                connection.is_doomed = True
            elif mode == "up":
                connection.carry(connection.requests, "")
                connection.carry(connection.answers, "")

    def close(self) -> None:
        """End all connections and listen no more."""
        for connection in list(self.connections):
            connection.close(True)
        self.loop.unwatch(self.listener)
        self.listener.close()
