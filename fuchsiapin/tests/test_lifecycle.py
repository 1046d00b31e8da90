"""Tests of the daemon lifecycle with repeated inputs and inputs in any order."""

import unittest
from itertools import product

from fuchsiapin.daemons.lifecycle import LifecycleActions, make_lifecycle


class LifecycleTest(unittest.TestCase):
    """Each action is run at most once, and in order."""

    def run_inputs(self, *names: str) -> list[str]:
        """Return the actions that a sequence of inputs runs."""
        called: list[str] = []
        actions = LifecycleActions(
            *(lambda n=n: called.append(n) for n in ("start", "begin_stop", "end"))
        )
        lifecycle = make_lifecycle(actions)
        for name in names:
            getattr(lifecycle, name)()
        return called

    def test_repeated_stop_request_has_no_effect(self) -> None:
        names = (
            "started",
            "stop_requested",
            "stop_requested",
            "finished",
            "stop_requested",
        )
        self.assertEqual(self.run_inputs(*names), ["start", "begin_stop", "end"])

    def test_stop_before_the_start_ends_immediately(self) -> None:
        self.assertEqual(self.run_inputs("stop_requested", "started"), ["end"])

    def test_no_input_order_repeats_or_reorders_actions(self) -> None:
        for names in product(("started", "stop_requested", "finished"), repeat=5):
            called = self.run_inputs(*names)
            self.assertEqual(len(called), len(set(called)), names)
            order = ["start", "begin_stop", "end"]
            self.assertEqual(called, [step for step in order if step in called], names)


if __name__ == "__main__":
    unittest.main()
