"""Runs the stateful fuzz tests from a seed for a time and prints statistics."""

import sys
import time

import defopt
from hypothesis import seed as seeded
from hypothesis.stateful import run_state_machine_as_test

from fuchsiapin.tests.test_fuzz import Failures, Sessions, make_settings

__all__ = ["fuzz", "main"]

EXAMPLES = 20
"""Sessions per batch."""
STEPS = 50
"""Maximum number of steps per session."""


def run_batch(machine: type, seed: int, shrink: bool) -> str:
    """Run one batch of sessions; return the violations, empty if there is none."""
    limits = make_settings(EXAMPLES, STEPS, shrink)
    batch = seeded(seed)(type(machine.__name__, (machine,), {}))
    try:
        run_state_machine_as_test(batch, settings=limits)
    except AssertionError as error:
        notes = "\n".join(getattr(error, "__notes__", []))
        return f"{error}\n{notes}"
    return ""


def fuzz(*, seconds: float = 60, seed: int = 1, shrink: bool = False) -> int:
    """Run batches until the time is over.

    Parameters
    ----------
    seconds : float
        Time after which no further batch is started.
    seed : int
        Seed of the first batch.
    shrink : bool
        Whether to shrink a failure to a minimal example, which takes minutes.

    Returns
    -------
    int
        Number of batches that found a violated guarantee.
    """
    end = time.monotonic() + seconds
    batches = broken = 0
    while time.monotonic() < end:
        # Two of three batches inject faults besides planned changes.
        machine = (Sessions, Failures, Failures)[batches % 3]
        # Batches of different seeds get different seeds.
        found = run_batch(machine, seed * 1_000_003 + batches, shrink)
        if found:
            broken += 1
            print(f"batch {batches} of seed {seed}, {machine.__name__}: {found}")
        batches += 1
    print_counts(batches, broken, seed)
    return broken


def print_counts(batches: int, broken: int, seed: int) -> None:
    """Print the number of steps, and of injected faults by kind."""
    counts = Sessions.counts + Failures.counts
    steps = counts.pop("steps", 0)
    print(f"seed {seed}: {batches} batches, {steps} steps, {broken} with violations")
    for kind, count in sorted(counts.items()):
        print(f"  {kind}: {count}")


def main() -> None:
    """Run the command line."""
    sys.exit(1 if defopt.run(fuzz) else 0)


if __name__ == "__main__":
    main()
