"""Rate-limited, non-blocking JSON log lines to standard output."""

import json
import os
import select
from collections import Counter
from typing import Any
from zlib import crc32

from fuchsiapin.clock import Clock
from fuchsiapin.events import CATALOGUE
from fuchsiapin.fields import shown

__all__ = ["LogLines"]

LINES_PER_SECOND = 30
"""Sustained rate for each event number, after a burst of `BURST_LINES`."""
BURST_LINES = 60
SAMPLE_ONE_IN = 8
"""Beyond its rate limit, an event is still logged for one flow in this many. The flow
is chosen by its hash, so that all processes sample the same flows and their logs can
be joined. Sampled lines have a rate limit too."""
SAMPLED_LINES_PER_SECOND = 15
MAX_BUFFER_BYTES = 256 * 1024
"""Buffered lines that the reader hasn't taken; more are dropped and counted."""
FLUSH_INTERVAL_MS = 250
MS_PER_S = 1_000
ENCODER = json.JSONEncoder(default=str)


class LogLines:
    """Counts the events of a process and logs them within a rate limit.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    process : str
        Name of the process.
    file : int
        File descriptor to write to, standard output by default.

    Attributes
    ----------
    tally : Counter
        Events by number.
    left_out : Counter
        Lines left out by the rate limit since the last one written, by number.
    unread_lines : int
        Lines dropped because the buffer was full, until event 1106 reports them.
    is_closed : bool
        Whether a write failed because nobody can read it.
    """

    def __init__(self, clock: Clock, process: str, file: int = 1) -> None:
        self.clock = clock
        self.process = process
        self.file = file
        self.tally: Counter[int] = Counter()
        self.left_out: Counter[int] = Counter()
        self.buckets: dict[int, tuple[float, int]] = {}
        self.buffer: list[bytes] = []
        self.buffered_bytes = 0
        self.unread_lines = 0
        self.is_closed = False
        try:
            os.set_blocking(file, False)
        except OSError:
            return  # closed; `flush` drops the lines

    def report(self, number: int, **fields: Any) -> None:
        """Count an event and log it if its rate limit allows a line."""
        self.tally[number] += 1
        now = self.clock.now()
        if not self.is_allowed(number, fields.get("flow"), now):
            self.left_out[number] += 1
            return
        event = CATALOGUE[number]
        values: dict[str, Any] = {
            "time_ms": now,
            "level": event.level,
            "process": self.process,
            "number": number,
            "event": event.name,
            **fields,
        }
        left_out = self.left_out.pop(number, 0)
        if left_out:
            values["left_out"] = left_out
        try:
            line = ENCODER.encode(values)
        except (ValueError, TypeError, RecursionError):
            line = ENCODER.encode(
                {name: shown(value) for name, value in values.items()}
            )
        self.buffer_line(line.encode() + b"\n")

    def is_allowed(self, number: int, flow: str | None, now: int) -> bool:
        """Return whether the rate limit of an event or sampled flows allows a line."""
        if self.take_token(number, LINES_PER_SECOND, now):
            return True
        if flow is None or crc32(flow.encode(errors="replace")) % SAMPLE_ONE_IN:
            return False
        # The bucket of sampled lines has the negated number as its key.
        return self.take_token(-number, SAMPLED_LINES_PER_SECOND, now)

    def take_token(self, key: int, rate_per_second: int, now: int) -> bool:
        """Take a token from a bucket; return whether it had one."""
        tokens, since = self.buckets.get(key, (float(BURST_LINES), now))
        tokens = min(tokens + (now - since) * rate_per_second / MS_PER_S, BURST_LINES)
        has_token = tokens >= 1
        self.buckets[key] = (tokens - has_token, now)
        return has_token

    def buffer_line(self, line: bytes) -> None:
        """Buffer a line until the next flush; drop it if the buffer is full."""
        if self.buffered_bytes + len(line) > MAX_BUFFER_BYTES:
            self.unread_lines += 1
            return
        self.buffer.append(line)
        self.buffered_bytes += len(line)

    def drop_unread(self) -> None:
        """Drop the buffered lines, so that there is room for the last ones."""
        if self.buffer:
            self.unread_lines += b"".join(self.buffer).count(b"\n")
            self.buffer = [b"\n"]  # a part of the first line may have been written
            self.buffered_bytes = 1

    def drain(self, timeout_ms: int) -> bytes:
        """Write all lines, waiting for the reader; return what it hasn't taken."""
        deadline = self.clock.now() + timeout_ms
        writable = select.poll()
        writable.register(self.file, select.POLLOUT)
        while self.buffer:
            unread = b"".join(self.buffer)
            self.flush()
            if self.is_closed:
                return unread
            left_ms = deadline - self.clock.now()
            if left_ms <= 0:
                break
            if self.buffer:
                writable.poll(left_ms)
        return b"".join(self.buffer)

    def flush(self) -> None:
        """Write as much as the pipe accepts; keep the rest in the buffer."""
        if not self.buffer:
            return
        data = b"".join(self.buffer)
        try:
            written = os.write(self.file, data)
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(data)  # the reader has closed its end; drop the lines
            self.is_closed = True
        rest = data[written:]
        self.buffer = [rest] if rest else []
        self.buffered_bytes = len(rest)
        if self.unread_lines and not rest:
            unread, self.unread_lines = self.unread_lines, 0
            self.report(1106, lines=unread)
