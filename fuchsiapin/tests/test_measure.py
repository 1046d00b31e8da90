"""Tests of the measurements, and of the cores' promises under load."""

import unittest

from measure.figures import imbalance, jain_index, summarize
from measure.returning import Load, serve_return
from measure.scenarios import Fault, Scenario, scenarios
from measure.sizes import SIZES
from measure.systems import CURRENT, systems
from measure.workload import MODEST, Phase, make_arrivals

SIZE = SIZES["swapdesk"]
SHORT_S = 12


def run_short(system: str, load: float, *faults: Fault) -> dict:
    """Return the figures of a short run."""
    scenario = Scenario((Phase(0, SHORT_S, load),), faults)
    arrivals = make_arrivals(SIZE, scenario.phases, 5)
    return summarize(systems.get(system)(SIZE, scenario, arrivals, 5))


class MeasureTest(unittest.TestCase):
    """Figures, arrivals and short runs."""

    def test_figures_of_equal_and_unequal_values(self) -> None:
        self.assertEqual((imbalance([2, 2]), jain_index([2, 2])), (1.0, 1.0))
        self.assertEqual(imbalance([3, 1, 2]), 1.5)

    def test_arrivals_are_the_same_for_the_same_seed(self) -> None:
        phases = scenarios.get("steady-0.50")().phases
        one, two = make_arrivals(SIZE, phases, 3), make_arrivals(SIZE, phases, 3)
        self.assertEqual(one, two)

    def test_every_system_answers_a_light_load(self) -> None:
        for name in systems.functions:
            with self.subTest(system=name):
                figures = run_short(name, 0.3)
                self.assertEqual(figures["silent"] + figures["wrong"], 0)

    def test_requests_refused_in_overload_never_run(self) -> None:
        figures = run_short(CURRENT, 2.5)
        self.assertGreater(figures["refused"], 0)
        self.assertEqual((figures["false_not_run"], figures["ran_twice"]), (0, 0))

    def test_late_answer_of_a_peer_that_declined_runs_nothing_twice(self) -> None:
        figures = run_short(CURRENT, 1.6)
        self.assertGreater(figures["moved"], 0)
        self.assertEqual((figures["ran_twice"], figures["unknown"]), (0, 0))

    def test_greedy_class_leaves_the_other_its_share(self) -> None:
        phases = (Phase(0, SHORT_S, 0.4, MODEST), Phase(0, SHORT_S, 1.6, "bulk"))
        scenario = Scenario(phases, classes={MODEST: 1, "bulk": 1})
        arrivals = make_arrivals(SIZE, phases, 5)
        run = systems.get(CURRENT)(SIZE, scenario, arrivals, 5)
        results = [
            run.outcomes[i.name].result for i in arrivals if i.class_name == MODEST
        ]
        self.assertGreater(results.count("done"), 0.95 * len(results))

    def test_shed_requests_run_elsewhere_once(self) -> None:
        figures = run_short(CURRENT, 0.5, Fault(3.0, "shed", 1))
        self.assertGreater(figures["retried"], 0)
        self.assertLess(figures["refused"], 0.01 * figures["requests"])
        self.assertEqual((figures["ran_twice"], figures["false_not_run"]), (0, 0))

    def test_lost_zone_causes_few_retries(self) -> None:
        figures = run_short(CURRENT, 0.4, Fault(6.0, "lose_zone", 1))
        self.assertLessEqual(figures["retried"], 0.1 * figures["requests"])
        self.assertEqual((figures["ran_twice"], figures["silent"]), (0, 0))

    def test_replaced_upstreams_break_no_flow(self) -> None:
        faults = [Fault(1.0 + 2 * index, "replace", index) for index in range(4)]
        figures = run_short(CURRENT, 0.3, *faults)
        self.assertEqual((figures["unknown"], figures["broken_flows"]), (0, 0))


class ReturnTest(unittest.TestCase):
    """The ideal that days with a loss of power are compared with."""

    def test_upstreams_with_room_serve_all_that_reach_them(self) -> None:
        load = Load(20, 50, 10, 200, 1_200, dark_ms=500, cold_factor=1.0)
        outcome = serve_return(load, seed=1)
        served = sum(sum(counts) for counts in outcome.values())
        self.assertAlmostEqual(served, 20 * 4.5, delta=30)
        self.assertEqual(sum(late for _, late in outcome.values()), outcome[-2000][1])

    def test_no_more_are_served_than_the_slots_can(self) -> None:
        outcome = serve_return(Load(200, 2, 50, 200, 1_200, cold_factor=1.0), seed=1)
        served = sum(sum(counts) for counts in outcome.values())
        self.assertLess(served, 5_200 / 50 * 2 * 1.3)


if __name__ == "__main__":
    unittest.main()
