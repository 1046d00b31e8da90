"""What a balancer does when the store comes back from an older copy of its contents."""

import random
from collections.abc import Callable

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.eras import MAX_ERA_STEP, StoreEra
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.gossip import Gossip
from fuchsiapin.flows.messages import Era
from fuchsiapin.flows.storage import StoreResult
from fuchsiapin.flows.writing import ObjectWriter
from fuchsiapin.timers import Timers

__all__ = ["UNCONFIRMED_MS", "EraKeeper"]

UNCONFIRMED_MS = 10_000
"""Time within which the store confirms an era that another process told. Otherwise it
isn't one of the store, whose answers would count as outdated for good."""

LOST_WRITE_MS = 60_000
"""A balancer writes its record again in a new era of the store if it wrote it within
this time; the copies that a store comes back from are some seconds old."""
REWRITE_SPREAD_MS = 1_000
"""Time over which the balancers spread these writes."""


class EraKeeper:
    """Learns the store's era, and restores what the store lost when it changes.

    Parameters
    ----------
    era : StoreEra
        Newest known era.
    followers : tuple of StoreFollower
        Followers that list everything again in a new era.
    writer : ObjectWriter
        Writer of this balancer's record.
    gossip : Gossip
        Tells other balancers the era.
    timers, rng
        Timers and random numbers of the core.
    report : callable
        Takes the number and the fields of an event.
    announce : callable
        Takes the time, and writes this balancer's record unless it is leaving.
    """

    def __init__(
        self,
        era: StoreEra,
        followers: tuple[StoreFollower, ...],
        writer: ObjectWriter,
        gossip: Gossip,
        timers: Timers,
        rng: random.Random,
        report: Callable[..., None],
        announce: Callable[[int], None],
    ) -> None:
        self.era = era
        self.followers = followers
        self.writer = writer
        self.gossip = gossip
        self.timers = timers
        self.rng = rng
        self.report = report
        self.announce = announce

    def check(self, now: int, purpose: str, answer: StoreResult) -> StoreResult:
        """Learn the store's era from an answer; return what the answer is worth.

        All followers list again once they are told an era, so the calls that they
        wait for were made later.
        """
        problem = self.era.note_answer(answer)
        if problem:
            self.report(6313, error=problem, era=self.era.current)
        former = self.era.current
        is_later = any(purpose == follower.purpose for follower in self.followers)
        if self.era.retract(now, answer.era, UNCONFIRMED_MS, is_later):
            self.report(
                6312, former=former, era=answer.era, source="store", is_rewritten=False
            )
        self.note(now, answer.era, "store")
        return self.era.screen(answer)

    def on_message(self, now: int, host: str, message: Era) -> None:
        """Learn the store's era from another balancer.

        Raises
        ------
        MalformedObject
            If it is far above the known one.
        """
        self.gossip.note_message(now, host)
        if message.era > self.era.current + MAX_ERA_STEP:
            raise MalformedObject(
                f"era {message.era} is far above the known {self.era.current}"
            )
        self.note(now, message.era, "peer")

    def note(self, now: int, era: int, source: str) -> None:
        """Record an era; if another one has ended, restore what the store lost.

        All objects are listed again, as revisions are given out a second time. This
        balancer's record is written again if the store may have lost it.
        """
        former = self.era.current
        is_store = source == "store"
        is_change = self.era.note(era) if is_store else self.era.note_told(now, era)
        if not is_change:
            return
        is_lost = now - self.writer.written_at <= LOST_WRITE_MS
        self.report(6312, former=former, era=era, source=source, is_rewritten=is_lost)
        self.gossip.push_era(era)
        for follower in self.followers:
            follower.relist(now)
        if is_lost:
            delay = self.rng.randint(0, REWRITE_SPREAD_MS)
            self.timers.add(now + delay, self.announce)
