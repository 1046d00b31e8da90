"""Event loop of the packet-flow processes: sockets, timers and signals.

Twisted is not used here because these processes restart often on small VMs, and
importing it would take longer than the rest of their start-up; see docs/design.md.
"""

import os
import select
import selectors
import signal
import socket
from collections.abc import Callable
from typing import Any

from fuchsiapin.clock import Clock
from fuchsiapin.daemons.loopload import LoopLoad
from fuchsiapin.timers import Timers

__all__ = ["EventLoop", "bind_socket", "open_udp_socket"]

MS_PER_S = 1_000
MAX_WAIT_MS = 1_000
MAX_DATAGRAMS_PER_WAKEUP = 64
"""Datagrams read from one socket before the loop serves other sockets."""
MAX_READ_ERRORS = 16
"""Errors of one socket after which it is paused."""
MAX_DATAGRAM_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 1 << 20
"""Holds bursts that arrive while the process waits for CPU time."""
FAILED_SOCKET_MS = 50
"""Pause after a socket's callback failed, as the socket may still be ready."""
FIRST_REPEAT_MS = 250
"""Delay until a timer call that failed is repeated; doubled at each failure."""
MAX_REPEAT_MS = 8_000
MAX_REPEATED_CALLS = 256
"""Failed timer calls that are repeated; further ones that aren't periodic are
dropped."""


def raise_error(name: str, error: Exception) -> None:
    """Raise the error of a callback."""
    raise error


class EventLoop:
    """Single-threaded event loop.

    An error of a callback is passed to `on_error`, and everything else goes on. A timer
    call that failed is repeated unless it has scheduled itself again, so that periodic
    work doesn't end.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    timers : Timers
        Timers, shared with the decision core.

    Attributes
    ----------
    load : LoopLoad
        Load figures; whoever runs the loop ends their intervals.
    on_error : callable
        Called with the name of a callback and its error; raises the error by default.
    failures : dict
        Number of consecutive failures of each timer call that is repeated.
    """

    def __init__(self, clock: Clock, timers: Timers) -> None:
        self.clock = clock
        self.timers = timers
        self.load = LoopLoad(clock.now())
        self.selector = selectors.DefaultSelector()
        self.is_running = False
        self.on_error: Callable[[str, Exception], None] = raise_error
        self.failures: dict[Callable[[int], None], int] = {}
        self.after_events: Callable[[], None] = lambda: None
        self.signal_handlers: dict[int, Callable[[], None]] = {}
        self.pending_signals: list[int] = []
        self.wakeup_reader, self.wakeup_writer = os.pipe()
        os.set_blocking(self.wakeup_reader, False)
        os.set_blocking(self.wakeup_writer, False)
        self.selector.register(self.wakeup_reader, selectors.EVENT_READ, self.on_wakeup)

    def call_later(self, delay_ms: int, callback: Callable[[int], None]) -> None:
        """Schedule a function to be called with the time, `delay_ms` from now."""
        self.timers.add(self.clock.now() + delay_ms, callback)

    def watch(self, sock: Any, callback: Callable[[int], None], events: int) -> None:
        """Call a function with the event mask whenever a socket is ready."""
        try:
            self.selector.modify(sock, events, callback)
        except KeyError:
            self.selector.register(sock, events, callback)

    def unwatch(self, sock: Any) -> None:
        """Stop watching a socket."""
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            return  # was never watched, or is closed already

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        """Call a function from the loop when a signal arrives."""
        self.signal_handlers[number] = callback
        signal.signal(number, self.queue_signal)
        signal.set_wakeup_fd(self.wakeup_writer, warn_on_full_buffer=False)

    def queue_signal(self, number: int, frame: Any) -> None:
        """Queue a signal for the loop."""
        self.pending_signals.append(number)

    def on_wakeup(self, mask: int) -> None:
        """Drain the pipe that signals write to."""
        os.read(self.wakeup_reader, 4_096)

    def run(self) -> None:
        """Run until stopped."""
        self.is_running = True
        while self.is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for the next event; handle sockets, signals and due timers."""
        load = self.load
        load.iterations += 1
        due = self.timers.next_due()
        started_at = self.clock.now()
        wait_ms = MAX_WAIT_MS
        if due is not None:
            wait_ms = min(wait_ms, max(0, due - started_at))
        ready = self.selector.select(wait_ms / MS_PER_S)
        if wait_ms:
            load.waited_ms += min(wait_ms, self.clock.now() - started_at)
        for key, mask in ready:
            try:
                key.data(mask)
            except Exception as error:
                self.on_error(name_of(key.data), error)
                self.pause(key.fileobj, FAILED_SOCKET_MS)
        while self.pending_signals:
            self.execute(self.signal_handlers[self.pending_signals.pop(0)])
        now = self.clock.now()
        # Timers that the handlers above added may have been due when they were added.
        if due is not None and now - due > load.lag_ms:
            load.lag_ms = now - due
        while (call := self.timers.pop_due(now)) is not None:
            try:
                call(now)
            except Exception as error:
                self.on_error(name_of(call), error)
                self.repeat_later(call)
            else:
                if self.failures:
                    self.failures.pop(call, None)
        self.execute(self.after_events)

    def execute(self, callback: Callable[[], None]) -> None:
        """Call a function; pass on its error."""
        try:
            callback()
        except Exception as error:
            self.on_error(name_of(callback), error)

    def repeat_later(self, call: Callable[[int], None]) -> None:
        """Repeat a timer call that failed, unless it has scheduled itself again."""
        count = self.failures.pop(call, 0)
        is_periodic = hasattr(call, "__self__")  # methods that schedule themselves
        is_over = len(self.failures) >= MAX_REPEATED_CALLS and not is_periodic
        if is_over or self.timers.has(call):
            return
        self.failures[call] = count + 1
        self.call_later(min(FIRST_REPEAT_MS << min(count, 8), MAX_REPEAT_MS), call)

    def pause(self, sock: Any, delay_ms: int) -> None:
        """Stop watching a socket for some time."""
        try:
            key = self.selector.get_key(sock)
        except (KeyError, ValueError):
            return  # is not watched any more
        self.unwatch(sock)

        def resume(now: int) -> None:
            is_open = isinstance(sock, int) or sock.fileno() >= 0
            if is_open and sock not in self.selector.get_map():
                self.watch(sock, key.data, key.events)

        self.call_later(delay_ms, resume)

    def stop(self) -> None:
        """Make `run` return after this iteration."""
        self.is_running = False


def name_of(callback: Callable[..., Any]) -> str:
    """Return the name of a callback, for log lines."""
    return getattr(callback, "__qualname__", type(callback).__name__)


def bind_socket(
    unbound: socket.socket, host: str, port: int, backlog: int | None = None
) -> None:
    """Bind a socket to an address, and listen if a backlog is given.

    The socket is closed if that fails.

    Raises
    ------
    OSError
        If the address isn't available; the text names it.
    """
    try:
        unbound.bind((host, port))
        if backlog is not None:
            unbound.listen(backlog)
    except OSError as error:
        unbound.close()
        text = f"can't bind {host}:{port}: {error.strerror}"
        raise OSError(error.errno, text) from error


def open_udp_socket(
    loop: EventLoop,
    host: str,
    port: int,
    on_datagram: Callable[[bytes, str], None],
) -> socket.socket:
    """Open a UDP socket.

    Parameters
    ----------
    loop : EventLoop
        The loop that reads the socket.
    host : str
        Local address.
    port : int
        Local port, 0 for any.
    on_datagram : callable
        Called with each datagram and the host that sent it.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bind_socket(udp_socket, host, port)

    load = loop.load
    # Asking first costs less than the exception of a read without a datagram.
    readable = select.poll()
    readable.register(udp_socket, select.POLLIN)

    def read(mask: int) -> None:
        errors = 0
        for count in range(MAX_DATAGRAMS_PER_WAKEUP):
            if count and not readable.poll(0):
                load.datagrams += count - errors
                return
            try:
                data, address = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                load.datagrams += count - errors
                return
            except OSError:
                # An ICMP error of a datagram sent earlier, or no memory for the next.
                errors += 1
                if errors == MAX_READ_ERRORS:
                    raise
                continue
            on_datagram(data, address[0])
        load.datagrams += MAX_DATAGRAMS_PER_WAKEUP - errors
        load.note_full_read()

    loop.watch(udp_socket, read, selectors.EVENT_READ)
    return udp_socket
