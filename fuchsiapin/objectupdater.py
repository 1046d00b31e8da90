"""Conditional updates of one stored object, retried until they are confirmed."""

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
WRITE_TIMEOUT_MS = 3_000
"""A write without a result after this time is resolved by reading the object."""

ObjectChange = Callable[[Any], Any]
"""Maps the stored object, or None, to the wanted one; None if it needs no change."""


class ObjectUpdater:
    """Applies changes to one stored object by conditional update.

    A change is a function of the current object and is computed again after each
    conflict. A write whose response was lost is detected when the object is read
    back, because the change then returns None.

    Parameters
    ----------
    key : str
        Key of the object.
    kind : type
        Type of the object in the schema.
    prefix : str
        Prefix of the change ids of this process.
    timers : Timers
        Timers of the core.
    effects : list
        List to which effects of the core are appended.
    rng : random.Random
        Source of the retry jitter.

    Attributes
    ----------
    on_refused : callable
        Called with the reason for which an entry of the object is left out.
    """

    def __init__(
        self,
        key: str,
        kind: type,
        prefix: str,
        timers: Timers,
        effects: list,
        rng: random.Random,
    ) -> None:
        self.key = key
        self.kind = kind
        self.prefix = prefix
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.version = 0
        self.value: Any = None
        self.on_refused: Callable[[str], None] = lambda reason: None
        self.has_read = False
        self.changes: dict[str, ObjectChange] = {}
        self.change_id = ""
        self.writes = 0
        self.failures = 0
        self.is_waiting = False

    def request(self, now: int, name: str, change: ObjectChange) -> None:
        """Apply a change; it replaces a pending change of the same name."""
        self.changes[name] = change
        self.attempt(now)

    def cancel(self, name: str) -> None:
        """Discard a pending change."""
        self.changes.pop(name, None)

    def next_change_id(self) -> str:
        """Return a unique change id."""
        self.writes += 1
        return f"{self.prefix}/{self.writes}"

    def attempt(self, now: int) -> None:
        """Write the first pending change that is still needed."""
        if self.change_id or self.is_waiting or not self.changes:
            return
        if not self.has_read:
            self.effects.append(ReadObject(self.key))
            self.retry_later(now)
            return
        wanted = self.next_wanted()
        if wanted is None:
            return
        self.change_id = wanted.change_id
        self.effects.append(
            WriteObject(self.key, self.version, encode_object(wanted), self.change_id)
        )
        self.schedule_write_timeout(now, self.change_id)

    def next_wanted(self) -> Any:
        """Return the object to write; drop pending changes that already hold."""
        for name in list(self.changes):
            wanted = self.changes[name](self.value)
            if wanted is not None:
                return wanted
            del self.changes[name]
        return None

    def schedule_write_timeout(self, now: int, change_id: str) -> None:
        """After a timeout, treat a write without a result as lost, and read back."""

        def check(later: int) -> None:
            if self.change_id == change_id:
                self.on_write_finished(
                    later, WriteFinished(self.key, change_id, "unreachable")
                )

        self.timers.add(now + WRITE_TIMEOUT_MS, check)

    def on_write_finished(self, now: int, event: WriteFinished) -> None:
        """Handle the result of a write and read the object.

        Only a read shows what is stored now.
        """
        if event.change_id != self.change_id:
            return
        self.change_id = ""
        self.failures = 0 if event.outcome == "done" else self.failures + 1
        self.has_read = False
        self.effects.append(ReadObject(self.key))
        self.retry_later(now)

    def retry_later(self, now: int) -> None:
        """Retry after an exponential backoff with jitter.

        The exponent is bounded to keep the shift small; `MAX_BACKOFF_MS` is reached
        before.
        """
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

    def apply_stored(self, now: int, event: ObjectSeen) -> bool:
        """Handle a received version of the object; return whether it is newer.

        Raises
        ------
        MalformedObject
            If the value doesn't match the schema.
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
        """Decode a stored value; an empty one is None.

        After a malformed value the object counts as unread, so that pending changes
        read it again instead of writing.
        """
        if not value:
            return None
        try:
            return decode_object(self.kind, value, self.key, self.on_refused)
        except MalformedObject:
            self.has_read = False
            raise
