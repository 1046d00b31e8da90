"""Runs all tests and doctests except those listed in KNOWN-RED.txt."""

import doctest
import importlib
import pkgutil
import sys
import unittest
from pathlib import Path

import defopt

import fuchsiapin

__all__ = ["known_red", "load_tests", "main"]

KNOWN_RED = Path("KNOWN-RED.txt")


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


def run(*names: str) -> None:
    """Run tests and print a summary line.

    Parameters
    ----------
    names : str
        Names of tests; all tests if there are none.
    """
    red = {} if names else known_red()
    tests = flatten(load_tests(list(names)))
    chosen = [test for test in tests if test.id() not in red]
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(chosen))
    for entry in red.values():
        print(f"known red, not run: {entry}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    sys.exit(0 if result.wasSuccessful() and result.testsRun else 1)


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
