"""A small event loop of sockets and timers for the stand-ins."""

import heapq
import selectors
import socket
import time
from collections.abc import Callable


class Loop:
    """Single-threaded loop; times are in seconds of the steady clock."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.count += 1
        heapq.heappush(self.heap, (time.monotonic() + delay_s, self.count, call))

    def udp(self, host: str, port: int, handle: Callable) -> socket.socket:
        """Open a UDP socket; `handle` gets each datagram and its source address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sock.bind((host, port))

        def read() -> None:
            for _ in range(64):
                try:
                    data, address = sock.recvfrom(65_536)
                except BlockingIOError:
                    return
                except ConnectionError:
                    continue
                handle(data, address)

        self.selector.register(sock, selectors.EVENT_READ, read)
        return sock

    def run(self, until: Callable[[], bool]) -> None:
        """Run until a condition holds; it is checked at least every 50 ms."""
        while not until():
            due = self.heap[0][0] if self.heap else time.monotonic() + 1
            wait_s = min(max(due - time.monotonic(), 0), 0.05)
            for key, _ in self.selector.select(wait_s):
                key.data()
            while self.heap and self.heap[0][0] <= time.monotonic():
                heapq.heappop(self.heap)[2]()

    def run_for(self, seconds: float) -> None:
        """Run for some time."""
        end = time.monotonic() + seconds
        self.run(lambda: time.monotonic() >= end)


def send(sock: socket.socket, data: bytes, address: tuple[str, int]) -> None:
    """Send a datagram; one that can't be sent is lost."""
    try:
        sock.sendto(data, address)
    except OSError:
        return
