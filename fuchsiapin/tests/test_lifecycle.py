"""The life of a daemon, whatever it is told and however often."""

import unittest
from itertools import product

from fuchsiapin.daemons.lifecycle import Steps, make_lifecycle


class LifecycleTest(unittest.TestCase):
    """Each step is taken once at the most, and in order."""

    def run_inputs(self, *names: str) -> list[str]:
        """Return the steps that inputs cause."""
        taken: list[str] = []
        steps = Steps(*(lambda n=n: taken.append(n) for n in ("serve", "stop", "end")))
        life = make_lifecycle(steps)
        for name in names:
            getattr(life, name)()
        return taken

    def test_planned_stop_that_is_asked_twice(self) -> None:
        names = ("started", "stop_asked", "stop_asked", "finished", "stop_asked")
        self.assertEqual(self.run_inputs(*names), ["serve", "stop", "end"])

    def test_stop_before_the_start_ends_at_once(self) -> None:
        self.assertEqual(self.run_inputs("stop_asked", "started"), ["end"])

    def test_no_order_of_inputs_repeats_a_step_or_follows_the_end(self) -> None:
        for names in product(("started", "stop_asked", "finished"), repeat=5):
            taken = self.run_inputs(*names)
            self.assertEqual(len(taken), len(set(taken)), names)
            order = ["serve", "stop", "end"]
            self.assertEqual(taken, [step for step in order if step in taken], names)


if __name__ == "__main__":
    unittest.main()
