"""Timer queue of a core; the caller supplies the time."""

import heapq
from collections.abc import Callable

__all__ = ["Timers"]


class Timers:
    """Callbacks that are due at given times, in order.

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
        """Schedule `call`, which receives the time, for when `due` is reached."""
        self.count += 1
        heapq.heappush(self.heap, (due, self.count, call))

    def next_due(self) -> int | None:
        """Return the due time of the earliest call, None if there is none."""
        return self.heap[0][0] if self.heap else None

    def run(self, now: int) -> None:
        """Run the calls that are due at `now`, including due ones that they add."""
        while (call := self.pop_due(now)) is not None:
            call(now)

    def pop_due(self, now: int) -> Callable[[int], None] | None:
        """Remove and return the earliest call that is due, None if there is none."""
        if not self.heap or self.heap[0][0] > now:
            return None
        return heapq.heappop(self.heap)[2]

    def has(self, call: Callable[[int], None]) -> bool:
        """Return whether a call is scheduled."""
        return any(scheduled == call for _, _, scheduled in self.heap)
