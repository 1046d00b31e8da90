"""Tests that the capacity page agrees with its report."""

import json
import unittest

from measure.capacity import PAGE, REPORT
from measure.capacitymodel import FLEET, CapacityModel
from measure.capacitytables import render_page, tables
from measure.slopes import SIZES


class CapacityTest(unittest.TestCase):
    """Tables are rendered from the committed report."""

    def setUp(self) -> None:
        self.report = json.loads(REPORT.read_text())

    def test_page_has_every_table_as_rendered_from_the_report(self) -> None:
        text = PAGE.read_text()
        self.assertEqual(render_page(text, self.report), text)
        for name in tables.functions:
            self.assertIn(f"<!-- table: {name} -->", text)

    def test_every_cost_was_measured_at_three_sizes_or_more(self) -> None:
        names = {slope["name"] for slope in self.report["slopes"]}
        self.assertEqual(names, set(SIZES))
        for slope in self.report["slopes"]:
            self.assertGreaterEqual(len(set(slope["sizes"])), 3)

    def test_changed_figures_change_the_page(self) -> None:
        slope = self.report["slopes"][0]
        slope["values"][0] += 1_000
        text = PAGE.read_text()
        self.assertNotEqual(render_page(text, self.report), text)

    def test_reads_on_an_ordinary_day_stay_within_the_bound(self) -> None:
        reads, _ = CapacityModel(self.report).store()["ordinary day"]
        self.assertGreater(reads, FLEET.roots)
        self.assertLess(reads, FLEET.bound_reads_s)


if __name__ == "__main__":
    unittest.main()
