"""Numbered events of one process: counted, and logged as lines of JSON."""

import json
import logging as standard_logging
from collections import Counter
from typing import Any

from absl import flags, logging
from twisted.logger import STDLibLogObserver, globalLogBeginner

from fuchsiapin.clock import Clock
from fuchsiapin.events import CATALOGUE, Event, reason_of
from fuchsiapin.messages import EventCount

__all__ = ["EventLog", "JsonLines", "write_json_lines"]

LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
TWISTED = "twisted"
"""Name of the loop's own logger."""
BOUND_LINES = 5
"""Lines of one bounded event in one period."""
BOUND_PERIOD_MS = 10_000
MAX_REASONS = 256
"""Different reasons that are counted one by one."""
MAX_TEXT = 200
"""Characters of a field that are logged."""
MAX_LIBRARY_TEXT = 4_000
"""Characters of a library's own message that are logged."""


class JsonLines(standard_logging.Formatter):
    """Turns each log record into one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a numbered event, or of a library's own message."""
        values = getattr(record, "event", None)
        if values is None:
            level = record.levelname.lower()
            values = {"level": level, "text": record.getMessage()[:MAX_LIBRARY_TEXT]}
        return json.dumps(values, default=str)


def write_json_lines() -> None:
    """Have every log record written to standard error as a line of JSON.

    The daemons take no flags of the logging library, which would warn of that in
    a line of its own.
    """
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.logtostderr = True
    observer = STDLibLogObserver(TWISTED)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    standard_logging.getLogger(TWISTED).setLevel(standard_logging.WARNING)
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonLines())
    logging.set_verbosity(logging.INFO)


class EventLog:
    """Counts and logs the events of one process.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    process : str
        Name of the process.
    """

    def __init__(self, clock: Clock, process: str) -> None:
        self.clock = clock
        self.process = process
        self.tally: Counter[tuple[int, str]] = Counter()
        self.periods: dict[int, tuple[int, int, int]] = {}

    def note(self, number: int, fields: dict[str, Any]) -> None:
        """Count an event, and log it within its bound."""
        self.count(number, reason_of(fields))
        event = CATALOGUE.get(number)
        if event is None or event.level not in LEVELS:
            return
        suppressed = self.take_line(event)
        if suppressed is None:
            return
        values: dict[str, Any] = {
            "time_ms": self.clock.now(),
            "level": event.level,
            "process": self.process,
            "number": number,
            "event": event.name,
        }
        values |= {name: shorten(value) for name, value in fields.items()}
        if suppressed:
            values["suppressed"] = suppressed
        logging.log(LEVELS[event.level], event.name, extra={"event": values})

    def count(self, number: int, reason: str) -> None:
        """Count an event by its reason, within the bound on reasons."""
        key = (number, reason)
        if key not in self.tally and len(self.tally) >= MAX_REASONS:
            key = (number, "")
        self.tally[key] += 1

    def take_line(self, event: Event) -> int | None:
        """Return how many lines were left out before, None to leave out this one."""
        if not event.is_rate_limited:
            return 0
        now = self.clock.now()
        began, lines, suppressed = self.periods.get(event.number, (now, 0, 0))
        if now - began >= BOUND_PERIOD_MS:
            began, lines = now, 0
        if lines >= BOUND_LINES:
            self.periods[event.number] = (began, lines, suppressed + 1)
            return None
        self.periods[event.number] = (began, lines + 1, 0)
        return suppressed

    def counts(self) -> list[EventCount]:
        """Return how often each event was noted."""
        return [
            EventCount(number, reason, count)
            for (number, reason), count in sorted(self.tally.items())
        ]


def shorten(value: Any) -> Any:
    """Return a field's value, a long text cut off."""
    return value[:MAX_TEXT] if isinstance(value, str) else value
