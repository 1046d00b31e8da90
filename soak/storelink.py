"""TCP proxy between the processes and the store, with injectable faults."""

import selectors
import socket
import struct
from collections.abc import Callable

from fuchsiapin.daemons.eventloop import EventLoop

__all__ = ["MODES", "StoreLink"]

MODES = ("delayed", "cut", "requests cut", "answers cut", "doomed", "reset")
"""Fault modes of the link.

`delayed` delays all data; `cut`, `requests cut` and `answers cut` hold data back until
the link is up again; `doomed` makes the connections that are open when it is set never
carry data again; `reset` resets open and new connections.
"""
DELAY_MS = 150
"""Delay of all data in mode `delayed`."""
CONNECT_S = 0.5
"""Timeout for connecting to the stand-in, which listens on the same VM."""
READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket sends a reset."""


class Pipe:
    """One direction of a connection; buffers data during a cut, as TCP does."""

    def __init__(self, target: socket.socket) -> None:
        self.target = target
        self.buffer = b""

    def flush(self) -> None:
        """Write the buffered data."""
        data, self.buffer = self.buffer, b""
        if data:
            self.target.sendall(data)


class Connection:
    """One proxied connection of a process to the store."""

    def __init__(
        self,
        link: "StoreLink",
        process_socket: socket.socket,
        store_socket: socket.socket,
    ) -> None:
        self.link = link
        self.process_socket = process_socket
        self.store_socket = store_socket
        self.is_doomed = False
        self.is_open = True
        self.requests = Pipe(self.store_socket)
        self.answers = Pipe(self.process_socket)
        self.watch(process_socket, self.requests, "requests cut")
        self.watch(self.store_socket, self.answers, "answers cut")

    def watch(self, source: socket.socket, pipe: Pipe, cut_mode: str) -> None:
        """Forward the data that one end sends, with the delay of the link."""

        def read(mask: int) -> None:
            try:
                data = source.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self.close(False)
                return
            pipe.buffer += data
            if self.link.mode == "delayed":
                self.link.loop.call_later(
                    DELAY_MS, lambda now: self.forward(pipe, cut_mode)
                )
            else:
                self.forward(pipe, cut_mode)

        self.link.loop.watch(source, read, selectors.EVENT_READ)

    def forward(self, pipe: Pipe, cut_mode: str) -> None:
        """Write the buffered data of one direction, unless the link blocks it."""
        if not self.is_open or self.is_doomed or self.link.mode in ("cut", cut_mode):
            return
        self.close_on_error(pipe.flush)

    def close_on_error(self, call: Callable[[], None]) -> None:
        """Call a function, and close the connection on an OSError."""
        try:
            call()
        except OSError:
            self.close(False)

    def close(self, with_reset: bool) -> None:
        """Close both ends, with a reset if requested."""
        if not self.is_open:
            return
        self.is_open = False
        self.link.connections.discard(self)
        for end in (self.process_socket, self.store_socket):
            self.link.loop.unwatch(end)
            if with_reset:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
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
        process_socket, _ = self.listener.accept()
        try:
            if self.mode == "reset":
                raise ConnectionResetError
            store_socket = socket.create_connection(self.target, CONNECT_S)
        except OSError:
            # The store refused or the mode is `reset`: reset the connection.
            process_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            process_socket.close()
            return
        self.connections.add(Connection(self, process_socket, store_socket))

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
                connection.forward(connection.requests, "")
                connection.forward(connection.answers, "")

    def close(self) -> None:
        """Close all connections and the listener."""
        for connection in list(self.connections):
            connection.close(True)
        self.loop.unwatch(self.listener)
        self.listener.close()
