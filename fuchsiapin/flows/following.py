"""Follows all objects of one kind in the store, by listing and watching them."""

import random
from collections.abc import Callable, Iterable

from fuchsiapin.exceptions import error_location
from fuchsiapin.flows.effects import ToStore
from fuchsiapin.flows.storage import (
    LIST,
    WATCH,
    StoreCall,
    StoredItem,
    StoreResult,
)
from fuchsiapin.flows.timeouts import answer_timeout
from fuchsiapin.timers import Timers

__all__ = ["StoreFollower"]

LIST_TIMEOUT_MS = 700
"""Timeout of a list call; the store answers in milliseconds, or in a few hundred
milliseconds when slow."""
FIRST_LIST_TIMEOUT_MS = 350
"""Timeout before the first complete list; short, so that a call made during an outage
doesn't outlast it. Failed calls and slow answers lengthen all of these timeouts."""
WATCH_WAIT_MS = 2_500
"""How long a watch may wait for changes; bounds the time until a dead connection is
detected."""
WATCH_SLACK_MS = 600
"""Additional time for the answer of a watch after its wait."""
FIRST_BACKOFF_MS = 100
"""Upper limit of the backoff after the first failed call, and before the first complete
list after every one."""
MAX_BACKOFF_MS = 500
"""Upper limit of the exponential backoff. Both limits are multiplied if many processes
poll the store."""
MAX_POLLERS = 3
"""During an outage the backoff is multiplied by the number of other polling processes
divided by this, so that together they call the store about as often as this many."""


class StoreFollower:
    """Lists a kind, then watches it; lists again if the store lost its history.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    timers, effects, rng
        Timers, effects and random numbers of the core.
    report : callable
        Takes the number and the fields of an event.
    on_change : callable
        Called with the time and each listed or changed item.
    on_list : callable
        Called with the time and the names of all items after a complete list.
    count_pollers : callable
        Takes the time and returns how many other processes poll the store during
        an outage. They share changes, so each one polls less often.
    leader : StoreFollower or None
        Another follower of this process. While the leader is active and its last
        call failed, this follower doesn't retry its own failed calls until `resume`
        is called.

    Attributes
    ----------
    has_listed : bool
        Whether a complete list was read at least once.
    listed_at : int
        When the last complete list was read, in ms, 0 before the first.
    is_reachable : bool
        Whether the last call succeeded, or was answered with `history lost`.
    generation : int
        Generation of calls; answers to calls of an earlier generation are ignored.
    era : int
        Era of the store that `revision` belongs to, 0 if the store told none.
    positions : set of str
        Names after which pages of the current list were requested.
    listed_revision : int
        Revision of the store that the first page of the current list reflects.
    called_at : int
        When the last call was made, in ms.
    wait_ms : int
        Time for which that call lets the store wait for changes, in ms.
    answer_ms : int
        Time that the last answer took without that, as far as known, in ms.
    checks_era : bool
        Whether the next watch returns at once, to learn the store's era after calls
        that failed.
    """

    def __init__(
        self,
        kind: str,
        timers: Timers,
        effects: list,
        rng: random.Random,
        report: Callable[..., None],
        on_change: Callable[[int, StoredItem], None],
        on_list: Callable[[int, set[str]], None],
        count_pollers: Callable[[int], int] = lambda now: 0,
        leader: "StoreFollower | None" = None,
    ) -> None:
        self.count_pollers = count_pollers
        self.leader = leader
        self.awaits_retry = False
        self.kind = kind
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.report = report
        self.on_change = on_change
        self.on_list = on_list
        self.has_listed = False
        self.listed_at = 0
        self.is_reachable = False
        self.is_active = False
        self.revision = 0
        self.era = 0
        self.checks_era = False
        self.items: list[StoredItem] = []
        self.positions: set[str] = set()
        self.listed_revision = 0
        self.failures = 0
        self.called_at = 0
        self.wait_ms = 0
        self.answer_ms = 0
        self.generation = 0
        self.last_outcome = ""

    @property
    def purpose(self) -> str:
        """Return the purpose that marks answers to calls of this generation."""
        return f"follow/{self.kind}/{self.generation}"

    def start(self, now: int) -> None:
        """Start to follow, from the last known revision if there is one."""
        if self.is_active:
            return
        self.is_active = True
        self.generation += 1
        self.next_call(now)

    def stop(self) -> None:
        """Stop following."""
        self.is_active = False
        self.generation += 1

    def relist(self, now: int) -> None:
        """List all objects again."""
        self.revision = 0
        self.items = []
        self.generation += 1
        if self.is_active:
            self.next_call(now)

    def next_call(self, now: int) -> None:
        """Make the next call: a watch if a revision is known, otherwise a list."""
        self.awaits_retry = False
        if self.revision:
            wait_ms = 0 if self.checks_era else WATCH_WAIT_MS
            watch = StoreCall(WATCH, self.kind, since=self.revision, wait_ms=wait_ms)
            timeout = wait_ms + self.timeout(WATCH_SLACK_MS)
            self.called_at, self.wait_ms = now, wait_ms
            self.effects.append(ToStore(self.purpose, watch, timeout))
            return
        self.items = []
        self.positions = set()
        self.list_page(now, "")

    def timeout(self, base_ms: int) -> int:
        """Return the timeout of a call that the store answers at once, in ms."""
        return answer_timeout(base_ms, self.failures, self.answer_ms)

    def list_page(self, now: int, after: str) -> None:
        """Request the page after a name."""
        self.called_at, self.wait_ms = now, 0
        base_ms = LIST_TIMEOUT_MS if self.has_listed else FIRST_LIST_TIMEOUT_MS
        timeout = self.timeout(base_ms)
        # Calls have failed while the store is reachable only if the first answer after
        # the failures was that the history is lost.
        if self.is_reachable:
            timeout = max(timeout, base_ms << min(self.failures, 2))
        self.effects.append(
            ToStore(self.purpose, StoreCall(LIST, self.kind, after), timeout)
        )

    def on_answer(self, now: int, purpose: str, answer: StoreResult) -> bool:
        """Handle an answer; return whether it belongs to this follower."""
        if not purpose.startswith(f"follow/{self.kind}/"):
            return False
        if purpose != self.purpose or not self.is_active:
            return True
        self.last_outcome = f"{answer.outcome} {answer.detail}".strip()
        if answer.outcome == "done":
            self.apply_answer(now, answer)
        elif answer.outcome == "history lost":
            self.is_reachable = True
            self.relist(now)
        else:
            self.is_reachable = False
            self.retry_later(now)
        return True

    def apply_answer(self, now: int, answer: StoreResult) -> None:
        """Apply a successful answer.

        Revisions of different eras can't be compared, so after a change of the era all
        objects are listed again.
        """
        self.failures = 0
        self.is_reachable = True
        self.note_answer_time(now, answer)
        self.checks_era = False
        is_continued = self.revision > 0 or len(self.items) > 0
        if is_continued and answer.era != self.era:
            self.relist(now)
            return
        self.era = answer.era
        for refusal in answer.refused:
            self.report(6305, key=self.kind, error=refusal)
        if self.revision:
            self.revision = max(self.revision, answer.revision)
            self.next_call(now)
            self.apply_items(now, answer.items)
            return
        if not self.positions:
            # Changes to objects of this page that come before the next one count too.
            self.listed_revision = answer.revision
        self.items.extend(answer.items)
        if answer.has_more and answer.after and answer.after not in self.positions:
            self.positions.add(answer.after)
            self.list_page(now, answer.after)
            return
        self.revision = self.listed_revision
        self.has_listed = True
        self.listed_at = now
        items, self.items = self.items, []
        self.next_call(now)
        self.apply_items(now, items)
        if answer.has_more:
            error = f"the list can't be continued after {len(items)} objects"
            self.report(6305, key=self.kind, error=error)
            return  # what it lacks may be on the pages that weren't read
        self.on_list(now, {item.name for item in items})

    def note_answer_time(self, now: int, answer: StoreResult) -> None:
        """Record how long the store took, apart from its wait for changes."""
        elapsed = now - self.called_at
        if self.wait_ms and answer.items:
            self.answer_ms = min(self.answer_ms, elapsed)
        else:
            self.answer_ms = max(0, elapsed - self.wait_ms)

    def apply_items(self, now: int, items: Iterable[StoredItem]) -> None:
        """Apply items one by one; the failure of one doesn't affect the others."""
        for item in items:
            try:
                self.on_change(now, item)
            except Exception as error:  # noqa: BLE001 - reported; the others are applied
                self.report(
                    1302,
                    event=f"{self.kind}/{item.name}",
                    error=repr(error),
                    where=error_location(error),
                )

    def retry_later(self, now: int) -> None:
        """Retry after an exponential backoff with jitter.

        Before the first complete list the backoff doesn't grow. While the store doesn't
        answer the leader, no retry is scheduled.
        """
        self.failures += 1
        self.awaits_retry = True
        self.checks_era = self.era > 0 and self.leader is None
        leader = self.leader
        if leader is not None and leader.is_active and not leader.is_reachable:
            return  # resumed once the leader's call succeeds
        limit = min(FIRST_BACKOFF_MS << min(self.failures - 1, 8), MAX_BACKOFF_MS)
        if not self.has_listed:
            limit = FIRST_BACKOFF_MS
        limit *= max(1, self.count_pollers(now) // MAX_POLLERS)
        generation = self.generation

        def retry(later: int) -> None:
            if generation == self.generation:
                self.resume(later)

        self.timers.add(now + self.rng.randint(limit // 2, limit), retry)

    def resume(self, now: int) -> None:
        """Repeat the failed call now if this follower waits to retry."""
        if self.awaits_retry and self.is_active:
            self.next_call(now)
