"""Time in milliseconds since the epoch, for daemons and for tests."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]

NANOSECONDS_PER_MS = 1_000_000


class Clock(Protocol):
    """What a daemon needs to know of time."""

    def now(self) -> int:
        """Return the time in milliseconds since the epoch."""


class SystemClock:
    """The machine's clock, which never steps back while the process lives.

    Notes
    -----
    The epoch is read once; from then on the monotonic clock counts. A step of
    the wall clock therefore moves no lease and no lifetime.

    Examples
    --------
    >>> clock = SystemClock()
    >>> clock.now() <= clock.now()
    True
    """

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time in milliseconds since the epoch."""
        return (time.monotonic_ns() + self.offset) // NANOSECONDS_PER_MS


class ManualClock:
    """A clock that moves only when it is told to.

    Parameters
    ----------
    start : int
        First time, in milliseconds.

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
        """Move the time on by `duration` milliseconds."""
        self.time += duration
