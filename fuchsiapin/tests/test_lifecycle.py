"""Tests of the daemon lifecycle with inputs in any order, also repeated."""

import unittest
from itertools import product

from fuchsiapin.daemons.lifecycle import Steps, make_lifecycle


class LifecycleTest(unittest.TestCase):
    """Each action is run at most once, and in order."""

    def run_inputs(self, *names: str) -> list[str]:
        """Return the actions that a sequence of inputs runs."""
        taken: list[str] = []
        steps = Steps(*(lambda n=n: taken.append(n) for n in ("serve", "stop", "end")))
        life = make_lifecycle(steps)
        for name in names:
            getattr(life, name)()
        return taken

    def test_repeated_stop_request_has_no_effect(self) -> None:
        names = ("started", "stop_asked", "stop_asked", "finished", "stop_asked")
        self.assertEqual(self.run_inputs(*names), ["serve", "stop", "end"])

    def test_stop_before_the_start_ends_immediately(self) -> None:
        self.assertEqual(self.run_inputs("stop_asked", "started"), ["end"])

    def test_no_input_order_repeats_or_reorders_actions(self) -> None:
        for names in product(("started", "stop_asked", "finished"), repeat=5):
            taken = self.run_inputs(*names)
            self.assertEqual(len(taken), len(set(taken)), names)
            order = ["serve", "stop", "end"]
            self.assertEqual(taken, [step for step in order if step in taken], names)


if __name__ == "__main__":
    unittest.main()
