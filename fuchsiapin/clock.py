"""Time in milliseconds since the epoch, for daemons and for tests."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]

NANOSECONDS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> int:
        """Return the time in milliseconds since the epoch."""


class SystemClock:
    """The system clock, which never steps back during the life of the process.

    Notes
    -----
    The wall clock is read once; after that the time advances with the clock since
    boot. A step of the wall clock therefore doesn't affect timers and expiry times,
    and the time for which the VM was suspended counts.

    Examples
    --------
    >>> clock = SystemClock()
    >>> clock.now() <= clock.now()
    True
    """

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def now(self) -> int:
        """Return the time in milliseconds since the epoch."""
        boot = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return (boot + self.offset) // NANOSECONDS_PER_MS


class ManualClock:
    """A clock that advances only on request, for tests.

    Parameters
    ----------
    start : int
        Initial time, in milliseconds.

    Examples
    --------
    >>> clock = ManualClock(5)
    >>> clock.advance(10)
    >>> clock.now()
    15
    """

    def __init__(self, start: int = 0) -> None:
        self.time = start

    def now(self) -> int:
        """Return the time in milliseconds."""
        return self.time

    def advance(self, duration: int) -> None:
        """Advance the time by `duration` milliseconds."""
        self.time += duration
