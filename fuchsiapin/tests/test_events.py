"""The catalogue of events, the code that reports them, and the log."""

import ast
import json
import logging as standard_logging
import subprocess
import sys
import unittest
from pathlib import Path

import fuchsiapin
from fuchsiapin.clock import ManualClock
from fuchsiapin.daemons.eventlog import (
    MAX_LINES_PER_PERIOD,
    RATE_PERIOD_MS,
    EventLog,
    JsonLines,
)
from fuchsiapin.events import CATALOGUE, EVENTS
from fuchsiapin.exceptions import error_location
from fuchsiapin.messages import EventCount

PACKAGE = Path(fuchsiapin.__file__).parent
REPORT_METHODS = ("report", "report_event")


def reported_fields() -> dict[int, set[frozenset[str]]]:
    """Return the event numbers that the code reports, with their sets of fields."""
    found: dict[int, set[frozenset[str]]] = {}
    for path in PACKAGE.rglob("*.py"):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", "")
            number = getattr(node.args[0], "value", None)
            if name in REPORT_METHODS and isinstance(number, int):
                fields = frozenset(keyword.arg for keyword in node.keywords)
                found.setdefault(number, set()).add(fields)
    return found


class CatalogueTest(unittest.TestCase):
    """Catalogue and code have the same events."""

    def test_catalogue_and_code_have_the_same_numbers(self) -> None:
        self.assertEqual(sorted(reported_fields()), sorted(CATALOGUE))
        self.assertEqual(len(EVENTS), len(CATALOGUE))

    def test_each_report_has_the_fields_of_the_catalogue(self) -> None:
        for number, variants in reported_fields().items():
            wanted = {field.name for field in CATALOGUE[number].fields}
            for fields in variants:
                self.assertEqual(fields, wanted, number)


class EventLogTest(unittest.TestCase):
    """Lines of JSON, rate-limited for events that external senders can trigger."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.log = EventLog(self.clock, "ledger-1")

    def lines(self, number: int, fields: dict, times: int = 1) -> list[dict]:
        """Return the lines that the log writes for repeated occurrences of an event."""
        with self.assertLogs("absl", "INFO") as caught:
            standard_logging.getLogger("absl").info("first")
            for _ in range(times):
                self.log.record(number, fields)
        return [json.loads(JsonLines().format(r)) for r in caught.records[1:]]

    def test_line_has_number_and_typed_fields(self) -> None:
        fields = {"service": "ledger", "view": 4, "members": 7}
        self.assertEqual(
            self.lines(1401, fields),
            [
                {
                    "time_ms": 1_000,
                    "level": "info",
                    "process": "ledger-1",
                    "number": 1401,
                    "event": "view known",
                }
                | fields
            ],
        )

    def test_rate_limited_events_are_still_counted(self) -> None:
        self.assertEqual(
            len(self.lines(1301, {"error": "x"}, 50)), MAX_LINES_PER_PERIOD
        )
        self.clock.advance(RATE_PERIOD_MS)
        [line] = self.lines(1301, {"error": "x" * 5_000})
        self.assertEqual(line["suppressed"], 50 - MAX_LINES_PER_PERIOD)
        self.assertLess(len(line["error"]), 5_000)
        self.assertEqual(self.log.counts(), [EventCount(1301, "", 51)])

    def test_number_of_separate_reasons_is_bounded(self) -> None:
        for number in range(1_000):
            self.log.record(3107, {"outcome": f"{number}"})
        counts = self.log.counts()
        self.assertLess(len(counts), 300)
        self.assertEqual(sum(count.count for count in counts), 1_000)

    def test_error_output_of_a_process_consists_of_json_lines(self) -> None:
        code = (
            "import fuchsiapin.daemons.eventlog as e, fuchsiapin.clock as c, logging;"
            "e.write_json_lines(); log = e.EventLog(c.SystemClock(), 'p');"
            "log.record(1103, {}); log.record(1302, {'event': 'x', 'error': 'y'});"
            "logging.getLogger('other').warning('z');"
            "from twisted.python import log as t; t.msg('hidden');"
            "t.err(ValueError('a\\nb'), 'why')"
        )
        run = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        lines = [json.loads(line) for line in run.stderr.splitlines()]
        self.assertEqual(
            [line.get("number") for line in lines], [1103, 1302, None, None]
        )
        self.assertIn("ValueError", lines[-1]["text"])

    def test_location_of_an_error_is_reported(self) -> None:
        try:
            json.loads("[")
        except ValueError as error:
            self.assertRegex(error_location(error), r"^decoder:\d+ raw_decode$")
        self.assertEqual(error_location(ValueError()), "")

    def test_log_record_of_a_library_is_json(self) -> None:
        record = standard_logging.LogRecord(
            "x", standard_logging.WARNING, "", 1, "a %s", ("b",), None
        )
        line = json.loads(JsonLines().format(record))
        self.assertEqual(line, {"level": "warning", "text": "a b"})


if __name__ == "__main__":
    unittest.main()
