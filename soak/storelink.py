"""TCP proxy between the processes and the store, with injectable faults."""

import selectors
import socket
import struct
from collections.abc import Callable

from fuchsiapin.daemons.eventloop import EventLoop

__all__ = ["MODES", "StoreLink"]

MODES = ("delayed", "cut", "requests cut", "answers cut", "doomed", "reset")
"""Fault modes of the link.

The modes `cut`, `requests cut` and `answers cut` hold data back until the link is up
again; a `doomed` connection never carries data again.
"""
DELAY_MS = 150
"""Delay of all data in mode `delayed`."""
CONNECT_S = 0.5
"""Timeout for connecting to the stand-in, which listens on the same VM."""
READ_BYTES = 65_536
AT_ONCE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket sends a reset."""


class Pipe:
    """One direction of a connection; buffers data during a cut, as TCP does."""

    def __init__(self, target: socket.socket) -> None:
        self.target = target
        self.held = b""

    def flush(self) -> None:
        """Write the buffered data."""
        data, self.held = self.held, b""
        if data:
            self.target.sendall(data)


class Connection:
    """One proxied connection of a process to the store."""

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
        """Forward the data that one end sends, with the delay of the link."""

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
        """Write the buffered data of one direction, unless the link blocks it."""
        if not self.is_open or self.is_doomed or self.link.mode in ("cut", cut):
            return
        self.guard(pipe.flush)

    def guard(self, call: Callable[[], None]) -> None:
        """Call a function, and close the connection on an OSError."""
        try:
            call()
        except OSError:
            self.close(False)

    def close(self, at_once: bool) -> None:
        """Close both ends, with a reset if requested."""
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
    """Accepts connections of processes and connects each to the store.

    Parameters
    ----------
    loop : EventLoop
        Event loop of the soak test.
    address, target : tuple of str and int
        Address to which processes connect, and address of the store.
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
        """Accept a connection of a process."""
        near, _ = self.listener.accept()
        try:
            if self.mode == "reset":
                raise ConnectionResetError
            far = socket.create_connection(self.target, CONNECT_S)
        except (
            OSError
        ):  # the store refuses or mode `reset`: the process receives a reset
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            near.close()
            return
        self.connections.add(Connection(self, near, far))

    def set_mode(self, mode: str) -> None:
        """Set the fault mode, one of `MODES`, or `up` for none.

        Connections that are open when the mode is set to `doomed` never carry data
        again, even after the mode ends.
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
        """Close all connections and the listener."""
        for connection in list(self.connections):
            connection.close(True)
        self.loop.unwatch(self.listener)
        self.listener.close()
