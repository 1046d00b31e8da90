"""Timers of a decision core: what is due, without a clock of its own."""

import heapq
from collections.abc import Callable

__all__ = ["Timers"]


class Timers:
    """Calls that fall due at a time, in order.

    Examples
    --------
    >>> timers = Timers()
    >>> timers.add(10, lambda now: print("due at", now))
    >>> timers.next_due()
    10
    >>> timers.run(12)
    due at 12
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[[int], None]]] = []
        self.count = 0

    def add(self, due: int, call: Callable[[int], None]) -> None:
        """Have `call` called with the time once `due` is reached."""
        self.count += 1
        heapq.heappush(self.heap, (due, self.count, call))

    def next_due(self) -> int | None:
        """Return when the earliest call is due, None without one."""
        return self.heap[0][0] if self.heap else None

    def run(self, now: int) -> None:
        """Make the calls that are due at `now`, not those they add for later."""
        while self.heap and self.heap[0][0] <= now:
            _, _, call = heapq.heappop(self.heap)
            call(now)
