"""Failure detection: pings to the side processes of members, within a rate limit."""

import random
from collections.abc import Callable

from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import MemberTable, MemberView
from fuchsiapin.flows.messages import Ping
from fuchsiapin.timers import Timers

__all__ = ["DEAD_MS", "Pinger"]

PING_MS = 350
"""Maximum time between two rounds of pings."""
MAX_PINGS = 14
"""Members pinged in turn in one round, 40 a second: with the answers about 7 kB/s, of
17 that a process may spend on control."""
MAX_DOUBTFUL = 40
"""Members pinged again in one round because they left a ping unanswered."""
LAG_MS = 150
"""A process whose timers are later than this ignores unanswered pings."""
DEAD_MS = 10_000
"""A member that is silent for this long, while others answer, is dead."""
MOST_SHARE = 10
"""Links are considered good while at most one in this many members is silent."""


class Pinger:
    """Pings members and detects which of them are silent.

    Parameters
    ----------
    name : str
        Name of this balancer.
    table : MemberTable
        The members.
    timers, out, rng
        Timers, effects and random numbers of the core.
    sees_store : callable
        Returns whether the store answers this balancer.
    on_dead : callable
        Called with the time and the view of a dead member.
    """

    def __init__(
        self,
        name: str,
        table: MemberTable,
        timers: Timers,
        out: list,
        rng: random.Random,
        sees_store: Callable[[], bool],
        on_dead: Callable[[int, MemberView], None],
    ) -> None:
        self.name = name
        self.table = table
        self.timers = timers
        self.out = out
        self.rng = rng
        self.sees_store = sees_store
        self.on_dead = on_dead
        self.next_ping = 0
        self.ping_due = 0

    def start(self, now: int) -> None:
        """Start to ping members."""
        self.ping_due = now
        self.ping_some(now)

    def ping_some(self, now: int) -> None:
        """Ping members within the rate limit, and schedule the next round.

        Members that left a ping unanswered are pinged in each round, the others in
        turn: with many members each is pinged less often, but a silent one is detected
        soon after the first ping that it leaves unanswered.
        """
        if now - self.ping_due > LAG_MS:
            self.excuse_silence()
        views = list(self.table.views.values())
        doubtful = [view for view in views if view.asked][:MAX_DOUBTFUL]
        count = min(len(views), MAX_PINGS)
        turn = [views[(self.next_ping + step) % len(views)] for step in range(count)]
        for view in [*doubtful, *(view for view in turn if not view.asked)]:
            self.ping(now, view)
            if self.is_dead(now, view):
                self.on_dead(now, view)
        self.next_ping += count
        self.table.forget(now)
        self.ping_due = now + self.rng.randint(PING_MS * 3 // 4, PING_MS)
        self.timers.add(self.ping_due, self.ping_some)

    def excuse_silence(self) -> None:
        """Clear unanswered pings, because this process itself was late.

        On a busy or slow VM the answers may still be waiting to be read.
        """
        for view in self.table.views.values():
            view.asked = view.pings = 0
            view.doubted = False

    def ping(self, now: int, view: MemberView) -> None:
        """Send a ping to one member."""
        if not view.asked:
            view.asked = now
        view.pings += 1
        is_missing = self.sees_store() and not view.is_stored
        ping = Ping(self.name, view.member.version, is_missing)
        self.out.append(ToPeer(view.member.host, ping))

    def is_heard(self, now: int) -> bool:
        """Return whether some member answered recently, so that the links work."""
        heard = max((view.heard for view in self.table.views.values()), default=0)
        return now - heard < PING_MS * 2

    def hears_most(self, now: int) -> bool:
        """Return whether at least nine in ten members answer their pings."""
        views = self.table.views.values()
        silent = sum(view.silence(now) > 0 for view in views)
        return silent <= max(1, len(views) // MOST_SHARE)

    def is_dead(self, now: int, view: MemberView) -> bool:
        """Return whether a member has been silent for long while others answer."""
        if now - max(view.heard, view.since) < DEAD_MS:
            return False
        return self.is_heard(now)
