"""Load figures of an event loop: whether it runs on time and what its time goes to."""

import time
from collections.abc import Callable

from fuchsiapin.lightclasses import dataclass

__all__ = ["LoopFigures", "LoopLoad"]

MAX_LAG_MS = 150
"""A loop whose timers are later than this is late. It equals the lag from which on
pings ignore missing answers, for the same reason: the answers may still be unread."""
NS_PER_MS = 1_000_000


@dataclass(frozen=True)
class LoopFigures:
    """What a loop did in one interval.

    Parameters
    ----------
    lag_ms : int
        Largest time by which a timer ran after it was due.
    interval_ms : int
        Length of the interval.
    waited_ms : int
        Time that the loop chose to wait for events; see `LoopLoad`.
    processor_ms : int
        Processor time that the process used.
    datagrams : int
        Datagrams read.
    full_reads : int
        Reads of a socket that ended at their limit, so that more may be unread.
    iterations : int
        Iterations of the loop.
    full_iterations : int
        Iterations with a read that ended at its limit.

    Examples
    --------
    >>> LoopFigures(lag_ms=151).is_late, LoopFigures(lag_ms=150).is_late
    (True, False)
    """

    lag_ms: int = 0
    interval_ms: int = 0
    waited_ms: int = 0
    processor_ms: int = 0
    datagrams: int = 0
    full_reads: int = 0
    iterations: int = 0
    full_iterations: int = 0

    @property
    def is_late(self) -> bool:
        """Whether timers ran late or most iterations left datagrams unread."""
        if self.lag_ms > MAX_LAG_MS:
            return True
        return self.full_iterations * 2 > self.iterations


class LoopLoad:
    """Load of an event loop, counted by the loop and divided into intervals.

    The loop updates the attributes itself, because a call for each update would cost
    more than the update. All but `lag_ms` and `figures` are totals.

    Parameters
    ----------
    now : int
        Time in ms.
    read_processor_ns : callable
        Returns the processor time that the process has used.

    Attributes
    ----------
    lag_ms : int
        Largest lag of a timer since the last interval ended.
    waited_ms : int
        Time waited for events. Where the loop waited longer than it asked for, the
        excess isn't included: it didn't wait then but was kept from running.
    processor_ms : int
        Processor time used until the last interval ended.
    datagrams, full_reads, iterations, full_iterations : int
        As in `LoopFigures`.
    figures : LoopFigures
        The last interval.
    """

    def __init__(
        self, now: int, read_processor_ns: Callable[[], int] = time.process_time_ns
    ) -> None:
        self.read_processor_ns = read_processor_ns
        self.lag_ms = 0
        self.waited_ms = 0
        self.processor_ms = 0
        self.datagrams = 0
        self.full_reads = 0
        self.iterations = 0
        self.full_iterations = 0
        self.last_full_iteration = 0
        self.figures = LoopFigures()
        self.last_totals = self.read_totals(now)

    def note_full_read(self) -> None:
        """Count a read that ended at its limit."""
        self.full_reads += 1
        if self.last_full_iteration != self.iterations:
            self.last_full_iteration = self.iterations
            self.full_iterations += 1

    def end_interval(self, now: int) -> LoopFigures:
        """Return the figures since the last call, and begin the next interval."""
        totals = self.read_totals(now)
        changes = (
            total - last for total, last in zip(totals, self.last_totals, strict=True)
        )
        self.figures = LoopFigures(self.lag_ms, *changes)
        self.last_totals = totals
        self.lag_ms = 0
        return self.figures

    def read_totals(self, now: int) -> tuple[int, ...]:
        """Return the time and the totals, in the order of the fields of the figures."""
        self.processor_ms = self.read_processor_ns() // NS_PER_MS
        return (
            now,
            self.waited_ms,
            self.processor_ms,
            self.datagrams,
            self.full_reads,
            self.iterations,
            self.full_iterations,
        )
