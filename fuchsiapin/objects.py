"""Conditional updates of one stored object, until they are known to hold."""

import random
from collections.abc import Callable
from typing import Any

from fuchsiapin.codec import decode_object, encode_object
from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.messages import ObjectSeen, ReadObject, WriteFinished, WriteObject
from fuchsiapin.timers import Timers

__all__ = ["ObjectUpdater"]

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 5_000
WRITE_PATIENCE_MS = 3_000
"""A write that reports nothing for so long is read back."""

Change = Callable[[Any], Any]
"""From the stored object, or None, to the wanted one; None if nothing is to do."""


class ObjectUpdater:
    """Applies changes to one stored object by conditional update.

    A change is a function of the object as it stands, made anew after each
    conflict. A write whose answer was lost is recognised on reading back, for
    then the change finds nothing left to do.

    Parameters
    ----------
    key : str
        Key of the object.
    kind : type
        Its type in the schema.
    prefix : str
        Begin of the change ids of this process.
    timers : Timers
        Timers of the core.
    out : list
        Effects of the core.
    rng : random.Random
        Draws the jitter.
    """

    def __init__(
        self,
        key: str,
        kind: type,
        prefix: str,
        timers: Timers,
        out: list,
        rng: random.Random,
    ) -> None:
        self.key = key
        self.kind = kind
        self.prefix = prefix
        self.timers = timers
        self.out = out
        self.rng = rng
        self.version = 0
        self.value: Any = None
        self.has_read = False
        self.changes: dict[str, Change] = {}
        self.change_id = ""
        self.writes = 0
        self.failures = 0
        self.is_waiting = False

    def request(self, now: int, name: str, change: Change) -> None:
        """Apply a change; one of the same name that still waits is replaced."""
        self.changes[name] = change
        self.attempt(now)

    def cancel(self, name: str) -> None:
        """Give up a change that was not made yet."""
        self.changes.pop(name, None)

    def next_change_id(self) -> str:
        """Return an id that no other write has."""
        self.writes += 1
        return f"{self.prefix}/{self.writes}"

    def attempt(self, now: int) -> None:
        """Write the first change that is still wanted."""
        if self.change_id or self.is_waiting or not self.changes:
            return
        if not self.has_read:
            self.out.append(ReadObject(self.key))
            self.retry_later(now)
            return
        wanted = self.next_wanted()
        if wanted is None:
            return
        self.change_id = wanted.change_id
        self.out.append(
            WriteObject(self.key, self.version, encode_object(wanted), self.change_id)
        )
        self.read_back_later(now, self.change_id)

    def next_wanted(self) -> Any:
        """Return the object to write; forget changes that already hold."""
        for name in list(self.changes):
            wanted = self.changes[name](self.value)
            if wanted is not None:
                return wanted
            del self.changes[name]
        return None

    def read_back_later(self, now: int, change_id: str) -> None:
        """Treat a write that reports nothing as one whose answer was lost."""

        def check(later: int) -> None:
            if self.change_id == change_id:
                self.finish(later, WriteFinished(self.key, change_id, "unreachable"))

        self.timers.add(now + WRITE_PATIENCE_MS, check)

    def finish(self, now: int, event: WriteFinished) -> None:
        """Take the end of a write: only a read tells what is stored now."""
        if event.change_id != self.change_id:
            return
        self.change_id = ""
        self.failures = 0 if event.outcome == "done" else self.failures + 1
        self.has_read = False
        self.out.append(ReadObject(self.key))
        self.retry_later(now)

    def retry_later(self, now: int) -> None:
        """Try again after a backoff with jitter."""
        if self.is_waiting:
            return
        self.is_waiting = True
        limit = min(FIRST_BACKOFF_MS << min(self.failures, 10), MAX_BACKOFF_MS)

        def retry(later: int) -> None:
            self.is_waiting = False
            if not self.has_read:
                self.failures += 1
            self.attempt(later)

        self.timers.add(now + self.rng.randint(limit // 2, limit), retry)

    def see(self, now: int, event: ObjectSeen) -> bool:
        """Take the stored object in; return whether it is newer than before.

        Raises
        ------
        MalformedObject
            If the value doesn't follow the schema.
        """
        self.has_read = True
        is_newer = event.version > self.version
        if is_newer:
            self.value = self.decode(event.value)
            self.version = event.version
        if not self.change_id and not self.is_waiting:
            self.attempt(now)
        return is_newer

    def decode(self, value: bytes) -> Any:
        """Return the object in a stored value, None for none."""
        if not value:
            return None
        try:
            return decode_object(self.kind, value)
        except MalformedObject:
            self.has_read = False
            raise
