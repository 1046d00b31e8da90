"""Circumstances of real machines: signals, settings, descriptors and connections."""

import json
import os
import random
import signal
import socket
from collections.abc import Callable
from typing import Any

from fuchsiapin.registry import Registry
from soak.processes import LOG_MODES, METRICS_PORT, ManagedProcess

__all__ = ["HARMLESS", "Strains", "strains"]

strains = Registry("strain")

HARMLESS = ("reloads", "settings", "connections", "log pipe")
"""Strains that no request may be lost by."""
SERIES_MS = 2_000
MAX_PAUSE_MS = 150
MIN_DESCRIPTORS = 24
"""Descriptors that a process needs to start."""
MAX_OVERLAP_MS = 700
"""Time for which a predecessor may run beside its successor."""
REQUEST = b"GET /fuchsiapin/readiness HTTP/1.1\r\nHost: a\r\n\r\n"


class Strains:
    """Puts processes under strain a number of times.

    Parameters
    ----------
    soak : Soak
        The run.
    count : int
        Number of strains.
    """

    def __init__(self, soak: Any, count: int) -> None:
        self.soak = soak
        # Drawn apart, so that a seed's other faults are the same with strains.
        self.rng = random.Random(f"strains {soak.seed}")
        self.count = count

    def schedule(self, start_ms: int, span_ms: int) -> None:
        """Schedule all within a span from a time on."""
        for _ in range(self.count):
            at = start_ms + self.rng.randint(0, span_ms)
            self.soak.loop.call_later(at, self.begin)

    def begin(self, now: int) -> None:
        """Begin a strain of a random process."""
        names = HARMLESS if self.soak.planned_only else tuple(strains.functions)
        name, process = self.rng.choice(names), self.rng.choice(self.soak.processes)
        if name not in HARMLESS:
            self.soak.last_unplanned_at = now + SERIES_MS
        detail = strains.get(name)(self, process)
        self.soak.log_fault(f"strain {name} of {process.vm.name}: {detail}")

    def repeat(self, step: Callable[[], None], left_ms: int = SERIES_MS) -> None:
        """Call a function for a while, with random pauses."""
        pause = self.rng.randint(1, MAX_PAUSE_MS)
        if left_ms > 0:
            step()
            self.soak.loop.call_later(
                pause, lambda now: self.repeat(step, left_ms - pause)
            )

    def restart_at_times(self, process: ManagedProcess) -> str:
        """Stop the process in half of the cases, so that a series meets its start."""
        if self.soak.planned_only or self.rng.random() < 0.5:
            return "running"
        self.soak.last_unplanned_at = self.soak.loop.clock.now()
        process.signal(self.rng.choice((signal.SIGTERM, signal.SIGKILL)))
        return "restarting"


@strains.register("reloads")
def reload_often(own: Strains, process: ManagedProcess) -> str:
    """Signal changed settings in series."""
    own.repeat(process.reload)
    return own.restart_at_times(process)


@strains.register("settings")
def rewrite_settings(own: Strains, process: ManagedProcess) -> str:
    """Rewrite the settings in series, at first empty or a part, at times signalled."""
    text = json.dumps(process.settings())

    def write(size: int) -> None:
        process.settings_path.write_text(text[:size])
        if own.rng.random() < 0.5:
            process.reload()

    def step() -> None:
        write(own.rng.choice((0, len(text) // 2)))
        delay = own.rng.randint(0, MAX_PAUSE_MS)
        own.soak.loop.call_later(delay, lambda now: write(len(text)))

    own.repeat(step)
    return own.restart_at_times(process)


@strains.register("connections")
def hold_connections(own: Strains, process: ManagedProcess) -> str:
    """Hold many connections open and send requests whose answers aren't read."""
    ports = [process.vm.ready, process.vm.control, (process.bind, METRICS_PORT)]
    held = [socket.socket() for _ in range(own.rng.choice((20, 100, 300)))]
    for connection in held:
        connection.setblocking(False)
        connection.connect_ex(own.rng.choice([port for port in ports if port[1]]))

    def send() -> None:
        for connection in own.rng.sample(held, len(held) // 3):
            try:
                connection.send(REQUEST[: own.rng.choice((10, len(REQUEST)))])
            except OSError:
                continue  # refused, or closed by the process

    own.repeat(send)
    own.soak.loop.call_later(2 * SERIES_MS, lambda now: [c.close() for c in held])
    return f"{len(held)}"


@strains.register("descriptors")
def take_descriptors(own: Strains, process: ManagedProcess) -> str:
    """Leave few descriptors while many connections are held, at times at a start."""
    used = 0
    if process.process is not None:
        used = len(os.listdir(f"/proc/{process.process.pid}/fd"))
    limit = max(MIN_DESCRIPTORS, used) + own.rng.randint(0, 8)
    process.limit_descriptors(limit)
    own.soak.loop.call_later(SERIES_MS, lambda now: process.limit_descriptors(0))
    own.restart_at_times(process)
    return f"{limit}, connections {hold_connections(own, process)}"


@strains.register("log pipe")
def leave_log(own: Strains, process: ManagedProcess) -> str:
    """Don't read the log of the process from its next start on, or close it."""
    process.log_mode = own.rng.choice(LOG_MODES)
    return f"{process.log_mode}, {own.restart_at_times(process)}"


@strains.register("overlap")
def overlap_successor(own: Strains, process: ManagedProcess) -> str:
    """Start the successor while the predecessor still has its ports, then kill that."""
    predecessor = process.replace_early()
    delay = own.rng.randint(0, MAX_OVERLAP_MS)
    if predecessor is not None:
        own.soak.loop.call_later(delay, lambda now: predecessor.kill())
    return f"{delay} ms"


@strains.register("series")
def act_in_series(own: Strains, process: ManagedProcess) -> str:
    """Signal, restart and configure in series, on three processes."""
    chosen = [process, *own.rng.sample(own.soak.processes, 2)]

    def step() -> None:
        target = own.rng.choice(chosen)
        act = own.rng.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGKILL, 0))
        if act == signal.SIGHUP:
            target.reload()
        elif act:
            target.signal(act)
        else:
            own.soak.change_configuration()

    own.repeat(step)
    return ", ".join(target.vm.name for target in chosen)
