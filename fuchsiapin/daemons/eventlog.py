"""Counts the numbered events of one process and logs them as JSON lines."""

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
"""Name of the logger of Twisted's event loop."""
MAX_LINES_PER_PERIOD = 5
"""Lines that a rate-limited event may log in one period."""
RATE_PERIOD_MS = 10_000
MAX_EVENT_REASON_PAIRS = 256
"""Pairs of event and reason that are counted; further reasons of an event share one
count."""
MAX_FIELD_CHARS = 200
"""Characters of a field that are logged; the rest is cut off."""
MAX_LIBRARY_CHARS = 4_000
"""Characters of a library's message that are logged; the rest is cut off."""


class JsonLines(standard_logging.Formatter):
    """Formats each log record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a numbered event or of a library's message."""
        values = getattr(record, "event", None)
        if values is None:
            level = record.levelname.lower()
            values = {"level": level, "text": record.getMessage()[:MAX_LIBRARY_CHARS]}
        return json.dumps(values, default=str)


def write_json_lines() -> None:
    """Write every log record to standard error as a line of JSON.

    The flags of the logging library are marked as parsed because the daemons don't
    use them; otherwise the library would log a warning that is not JSON.
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
        self.rate_periods: dict[int, tuple[int, int, int]] = {}

    def record(self, number: int, fields: dict[str, Any]) -> None:
        """Count an event and log it, subject to its rate limit."""
        self.count(number, reason_of(fields))
        event = CATALOGUE.get(number)
        if event is None or event.level not in LEVELS:
            return
        suppressed = self.apply_rate_limit(event)
        if suppressed is None:
            return
        values: dict[str, Any] = {
            "time_ms": self.clock.now(),
            "level": event.level,
            "process": self.process,
            "number": number,
            "event": event.name,
        }
        values |= {name: truncate(value) for name, value in fields.items()}
        if suppressed:
            values["suppressed"] = suppressed
        logging.log(LEVELS[event.level], event.name, extra={"event": values})

    def count(self, number: int, reason: str) -> None:
        """Count an event by reason; without it beyond `MAX_EVENT_REASON_PAIRS`."""
        key = (number, reason)
        if key not in self.tally and len(self.tally) >= MAX_EVENT_REASON_PAIRS:
            key = (number, "")
        self.tally[key] += 1

    def apply_rate_limit(self, event: Event) -> int | None:
        """Apply the rate limit of an event.

        Return the number of lines suppressed since the last logged one, None if this
        line is suppressed too.
        """
        if not event.is_rate_limited:
            return 0
        now = self.clock.now()
        started, lines, suppressed = self.rate_periods.get(event.number, (now, 0, 0))
        if now - started >= RATE_PERIOD_MS:
            started, lines = now, 0
        if lines >= MAX_LINES_PER_PERIOD:
            self.rate_periods[event.number] = (started, lines, suppressed + 1)
            return None
        self.rate_periods[event.number] = (started, lines + 1, 0)
        return suppressed

    def counts(self) -> list[EventCount]:
        """Return how often each event was reported, by reason."""
        return [
            EventCount(number, reason, count)
            for (number, reason), count in sorted(self.tally.items())
        ]


def truncate(value: Any) -> Any:
    """Return a field's value; a long text is truncated."""
    return value[:MAX_FIELD_CHARS] if isinstance(value, str) else value
