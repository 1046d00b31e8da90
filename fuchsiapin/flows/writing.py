"""Writes an object of this process to the store, with retries."""

import random
from typing import Any

from fuchsiapin.flows.effects import ToStore
from fuchsiapin.flows.storage import (
    CREATE,
    DELETE,
    REPLACE,
    StoreCall,
    StoreResult,
)
from fuchsiapin.flows.timeouts import answer_timeout
from fuchsiapin.timers import Timers

__all__ = ["ObjectWriter"]

WRITE_TIMEOUT_MS = 800
"""Timeout of a call that writes or deletes the object; failed calls lengthen it."""
FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 800
"""Bounds of the exponential backoff after failed writes."""


class ObjectWriter:
    """Writes one object to the store, or deletes it.

    Writes are unconditional, because only this process writes the object, and they are
    idempotent: a write whose answer was lost is repeated. Balancers may delete the
    object of a dead member; it is then written again.

    Parameters
    ----------
    kind : str
        Kind of the object.
    timers, effects, rng
        Timers, effects and random numbers of the core.

    Attributes
    ----------
    written_at : int
        When the last write or delete succeeded, in ms, 0 for never.
    """

    def __init__(
        self, kind: str, timers: Timers, effects: list, rng: random.Random
    ) -> None:
        self.kind = kind
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.name = ""
        self.value: Any = None
        self.pending_verb = ""
        self.generation = 0
        self.failures = 0
        self.written_at = 0
        self.last_outcome = ""

    @property
    def purpose(self) -> str:
        """Return the purpose that marks the answer to the latest call."""
        return f"write/{self.kind}/{self.generation}"

    @property
    def is_done(self) -> bool:
        """Return whether no write or delete is pending."""
        return not self.pending_verb

    def put(self, now: int, name: str, value: Any, is_new: bool = True) -> None:
        """Write a value to the store."""
        self.name, self.value = name, value
        self.send_call(now, CREATE if is_new else REPLACE)

    def delete(self, now: int, name: str) -> None:
        """Delete the object from the store."""
        self.name, self.value = name, None
        self.send_call(now, DELETE)

    def send_call(self, now: int, verb: str) -> None:
        """Make a call, which replaces any earlier one."""
        self.pending_verb = verb
        self.generation += 1
        call = StoreCall(verb, self.kind, self.name, self.value)
        timeout = answer_timeout(WRITE_TIMEOUT_MS, self.failures)
        self.effects.append(ToStore(self.purpose, call, timeout))

    def on_answer(self, now: int, purpose: str, answer: StoreResult) -> bool:
        """Handle an answer; return whether it belongs to this writer."""
        if purpose != self.purpose or not self.pending_verb:
            return False
        self.last_outcome = f"{answer.outcome} {answer.detail}".strip()
        if answer.outcome == "exists" and self.pending_verb == CREATE:
            self.send_call(now, REPLACE)
        elif answer.outcome == "missing" and self.pending_verb == REPLACE:
            self.send_call(now, CREATE)
        elif answer.outcome in ("done", "missing", "exists"):
            self.pending_verb = ""
            self.failures = 0
            self.written_at = now
        else:
            self.retry(now)
        return True

    def retry(self, now: int) -> None:
        """Repeat the call after an exponential backoff with jitter."""
        self.failures += 1
        limit = min(FIRST_BACKOFF_MS << min(self.failures - 1, 8), MAX_BACKOFF_MS)
        generation = self.generation

        def send_again(later: int) -> None:
            if generation == self.generation and self.pending_verb:
                self.send_call(later, self.pending_verb)

        self.timers.add(now + self.rng.randint(limit // 2, limit), send_again)
