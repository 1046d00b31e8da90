"""Runs all tests and doctests except those listed in KNOWN-RED.txt."""

import doctest
import importlib
import io
import multiprocessing
import pkgutil
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import defopt

import fuchsiapin

__all__ = ["known_red", "load_tests", "main"]

KNOWN_RED = Path("KNOWN-RED.txt")
DEFAULT_WORKERS = 6
SLOWEST = 10
"""Number of tests whose durations are printed."""
LONG_TESTS = (
    "fuchsiapin.tests.test_fuzz.FuzzTest",
    "fuchsiapin.tests.test_ctl.CommandLineTest",
    "fuchsiapin.tests.test_measure.MeasureTest",
    "fuchsiapin.tests.test_processes",
    "fuchsiapin.tests.test_flowstate.StoredMemberTest",
    "fuchsiapin.tests.test_flowresets.RandomTest",
)
"""Prefixes of the tests that take longest; they start first, so that none of them runs
alone at the end."""


def known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split()[0]] = line
    return entries


def load_tests(names: list[str]) -> unittest.TestSuite:
    """Return the named tests, or all tests and doctests."""
    loader = unittest.defaultTestLoader
    if names:
        return loader.loadTestsFromNames(names)
    suite = loader.discover("fuchsiapin/tests", top_level_dir=".")
    # A loader of its own, because the top-level directory differs.
    platform_loader = unittest.TestLoader()
    suite.addTests(platform_loader.discover("platform/tests", top_level_dir="platform"))
    suite.addTests(doctest.DocTestSuite(fuchsiapin))
    for module in pkgutil.walk_packages(fuchsiapin.__path__, "fuchsiapin."):
        if ".tests" not in module.name:
            suite.addTests(doctest.DocTestSuite(importlib.import_module(module.name)))
    return suite


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the tests of a suite as one list."""
    tests = []
    for item in suite:
        tests.extend(flatten(item) if isinstance(item, unittest.TestSuite) else [item])
    return tests


class TimedResult(unittest.TextTestResult):
    """Result that records how long each test takes.

    Attributes
    ----------
    durations : list of tuple
        Duration in seconds and id of each test.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.durations: list[tuple[float, str]] = []
        self.started_at = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        """Record the start of a test."""
        self.started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        """Record the duration of a test."""
        super().stopTest(test)
        self.durations.append((time.monotonic() - self.started_at, test.id()))


@dataclass(frozen=True)
class Outcome:
    """Outcome of some tests.

    Parameters
    ----------
    count, failed : int
        Number of tests that ran, and of those that failed.
    report : str
        Text of the failures, empty if there are none.
    durations : list of tuple
        Duration in seconds and id of each test.
    """

    count: int
    failed: int
    report: str
    durations: list[tuple[float, str]]


def run_tests(tests: list[unittest.TestCase]) -> Outcome:
    """Run tests in this process."""
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream, verbosity=0, resultclass=TimedResult)
    result = runner.run(unittest.TestSuite(tests))
    assert isinstance(result, TimedResult)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    report = "" if result.wasSuccessful() else stream.getvalue()
    return Outcome(result.testsRun, failed, report, result.durations)


GROUPS: dict[str, list[unittest.TestCase]] = {}
"""Tests of this process by the name of their group."""


def group_name(test: unittest.TestCase) -> str:
    """Return the name of the group that a test runs in.

    Tests of a class with a fixture of its own run together, any other test alone.
    """
    kind = type(test)
    if kind.__module__ == "doctest":
        return "doctests"
    has_fixture = "setUpClass" in vars(kind)
    return f"{kind.__module__}.{kind.__qualname__}" if has_fixture else test.id()


def load_groups() -> None:
    """Load all tests that aren't known to fail.

    Each worker loads all of them: what Hypothesis draws depends on the modules that are
    imported, so a worker with fewer would run other examples.
    """
    red = known_red()
    for test in flatten(load_tests([])):
        if test.id() not in red:
            GROUPS.setdefault(group_name(test), []).append(test)


def run_group(name: str) -> Outcome:
    """Run one group of tests in a worker."""
    return run_tests(GROUPS[name])


def run_parallel(workers: int) -> list[Outcome]:
    """Run all tests in several processes, long groups first."""
    load_groups()
    long_first = sorted(GROUPS, key=lambda name: not name.startswith(LONG_TESTS))
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context, initializer=load_groups) as pool:
        outcomes = []
        for outcome in pool.map(run_group, long_first):
            print(outcome.report or ".", end="", flush=True)
            outcomes.append(outcome)
    print()
    return outcomes


def run(*names: str, workers: int = DEFAULT_WORKERS) -> None:
    """Run tests and print a summary line.

    Parameters
    ----------
    names : str
        Names of tests; all tests if there are none.
    workers : int
        Number of processes that run all tests.
    """
    if names:
        outcomes = [run_tests(flatten(load_tests(list(names))))]
        print(outcomes[0].report, end="")
    else:
        outcomes = run_parallel(workers)
        for entry in known_red().values():
            print(f"known red, not run: {entry}")
    slowest = sorted((d for o in outcomes for d in o.durations), reverse=True)
    for seconds, name in slowest[:SLOWEST]:
        print(f"{seconds:6.1f} s  {name}")
    count = sum(outcome.count for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    print(f"{count - failed} passed, {failed} failed")
    is_green = count and not any(outcome.report for outcome in outcomes)
    sys.exit(0 if is_green else 1)


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
