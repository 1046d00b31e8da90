"""Drills: the store comes back from an older copy of its contents."""

import random
from typing import Any

__all__ = ["Drills"]

COPY_MS = 500
"""Interval of the copies of the store's contents."""


class Drills:
    """Lets the store come back from an older copy a number of times.

    Parameters
    ----------
    soak : Soak
        The run.
    count : int
        Number of drills.
    """

    def __init__(self, soak: Any, count: int) -> None:
        self.soak = soak
        # Drawn apart, so that a seed's other faults are the same with drills.
        self.rng = random.Random(f"drills {soak.seed}")
        self.count = count

    def schedule(self, start_ms: int, span_ms: int) -> None:
        """Keep copies, and schedule the drills within a span from a time on."""
        for _ in range(self.count):
            at = start_ms + self.rng.randint(500, span_ms)
            self.soak.loop.call_later(at, lambda now: self.start())
        self.keep_copies()

    def keep_copies(self) -> None:
        """Keep a copy of the store's contents at regular intervals."""
        self.soak.store.keep_copy()
        self.soak.loop.call_later(COPY_MS, lambda now: self.keep_copies())

    def start(self) -> None:
        """Let the store be away for a moment, and come back from an older copy."""
        age_ms = self.rng.randint(500, 10_000)
        away_ms = self.rng.randint(50, 1_000)
        self.soak.last_unplanned_at = self.soak.loop.clock.now()
        self.soak.fault_log.append(f"drill: a copy {age_ms} ms old after {away_ms} ms")
        self.soak.store.fault.mode = "busy"
        self.soak.loop.call_later(away_ms, lambda now: self.end(age_ms))

    def end(self, age_ms: int) -> None:
        """Bring the store back; the operator writes what it lost again."""
        self.soak.store.restore(age_ms / 1_000)
        self.soak.store.fault.mode = "up"
        delay = self.rng.randint(50, 2_000)
        self.soak.loop.call_later(delay, lambda now: self.write_again())

    def write_again(self) -> None:
        """Write the configuration and the evacuations of the operator."""
        self.soak.write_configuration()
        self.soak.evacuations.write_again()
