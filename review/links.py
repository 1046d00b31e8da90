"""Proxies between the processes, and to the store, that can cut a machine off."""

import contextlib
import selectors
import socket
import threading
from collections.abc import Callable

from review.loop import Loop, send

READ_BYTES = 65_536


class PeerLinks:
    """UDP proxy for what the processes send to one another.

    Each process listens on an address of its own; the others know it by another one,
    on which this proxy listens.
    """

    def __init__(self, loop: Loop, port: int) -> None:
        self.loop = loop
        self.port = port
        self.cut: set[str] = set()
        self.sockets: dict[str, socket.socket] = {}
        self.hosts: dict[str, str] = {}
        self.binds: dict[str, str] = {}

    def add(self, host: str, bind: str) -> None:
        """Forward what is sent to `host` to the process that listens on `bind`."""
        self.hosts[bind], self.binds[host] = host, bind
        self.sockets[host] = self.loop.udp(
            host, self.port, lambda data, source: self.forward(host, data, source[0])
        )

    def forward(self, target: str, data: bytes, source: str) -> None:
        """Forward a datagram unless one of its ends is cut off."""
        sender = self.hosts.get(source)
        if sender is None or self.cut & {sender, target}:
            return
        send(self.sockets[sender], data, (self.binds[target], self.port))


class StoreLink:
    """TCP proxy to the store that swallows all bytes while it is cut.

    A connection that lost bytes so carries nothing afterwards; new ones work.
    """

    def __init__(self, address: tuple[str, int], store: tuple[str, int]) -> None:
        self.store = store
        self.is_cut: Callable[[], bool] = lambda: False
        self.listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.carry, args=(client,), daemon=True).start()

    def carry(self, client: socket.socket) -> None:
        """Forward the bytes of one connection until it ends or loses some."""
        is_lost = False
        with contextlib.suppress(OSError), client, self.connect() as server:
            selector = selectors.DefaultSelector()
            selector.register(client, selectors.EVENT_READ, server)
            selector.register(server, selectors.EVENT_READ, client)
            while True:
                for key, _ in selector.select():
                    data = key.fileobj.recv(READ_BYTES)
                    if not data:
                        return
                    is_lost = is_lost or self.is_cut()
                    if not is_lost:
                        key.data.sendall(data)

    def connect(self) -> socket.socket:
        """Return a new connection to the store."""
        server = socket.create_connection(self.store, 1)
        server.settimeout(None)
        return server
