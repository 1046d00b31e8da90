"""Failure detection: pings to the side processes of members, within a rate limit."""

import random
from collections.abc import Callable

from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import MIN_SILENT_PINGS, MemberTable, MemberView
from fuchsiapin.flows.messages import Ping, Silence
from fuchsiapin.timers import Timers

__all__ = ["DEAD_MS", "MAX_TIMER_LAG_MS", "Pinger"]

PING_MS = 350
"""Maximum time between two rounds of pings."""
MAX_PINGS = 14
"""Members pinged in turn in one round. With rounds every 350 ms, the longest interval,
that is 40 pings a second; with their answers they take about 7 kB/s, of 17 kB/s that a
process may spend on control."""
ZONE_PINGS = 42
"""Pings to members of other availability zones that the balancers of one zone send in
one round together, so that what crosses doesn't grow with their number."""
MAX_TOLD = 24
"""Balancers of the own zone that are told of a silent member of another zone."""
MAX_REPEATED_PINGS = 40
"""Members pinged again in one round because they left a ping unanswered, in addition to
those pinged in turn."""
MAX_TIMER_LAG_MS = 150
"""A process whose timers are later than this ignores unanswered pings."""
ASK_MS = 200
"""Time for which a side process isn't asked the same again for its record."""
DEAD_MS = 10_000
"""A member that is silent for this long, while others answer, is dead, provided that it
has left pings unanswered for at least half of the time."""


class Rotation:
    """Takes some items of a list in turn, which may change in the meantime."""

    def __init__(self) -> None:
        self.next_index = 0

    def take(self, items: list, count: int) -> list:
        """Return the next `count` items, each at most once."""
        count = min(len(items), count)
        taken = [items[(self.next_index + step) % len(items)] for step in range(count)]
        self.next_index += count
        return taken


class Pinger:
    """Pings members and detects which of them are silent.

    The balancers of a zone share the pings to members of other zones, and tell one
    another which of these are silent; each pings such a member itself before it
    treats it as silent.

    Parameters
    ----------
    zone : str
        Availability zone of this balancer.
    table : MemberTable
        The members.
    timers, effects, rng
        Timers, effects and random numbers of the core.
    is_store_reachable : callable
        Returns whether this balancer follows the store and the store answers it.
    on_dead : callable
        Called with the time and the view of a dead member.

    Attributes
    ----------
    asked_at : dict
        When a side process was asked for its record, in ms, by its address and the
        version told.
    silent_members : int
        Members that had left `MIN_SILENT_PINGS` pings unanswered at the last round.
    notices : callable
        Takes the time and the view of a member that is about to be pinged, and returns
        the messages to send to it before the ping.
    zone_peers : callable
        Returns the addresses of the other balancers of this zone.
    """

    def __init__(
        self,
        zone: str,
        table: MemberTable,
        timers: Timers,
        effects: list,
        rng: random.Random,
        is_store_reachable: Callable[[], bool],
        on_dead: Callable[[int, MemberView], None],
    ) -> None:
        self.zone = zone
        self.table = table
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.is_store_reachable = is_store_reachable
        self.on_dead = on_dead
        self.own_rotation = Rotation()
        self.other_rotation = Rotation()
        self.round_due_at = 0
        self.silent_members = 0
        self.asked_at: dict[tuple[str, int], int] = {}
        self.notices: Callable[[int, MemberView], list] = lambda now, view: []
        self.zone_peers: Callable[[], list[str]] = list

    def start(self, now: int) -> None:
        """Start to ping members."""
        self.round_due_at = now
        self.ping_round(now)

    def ping_round(self, now: int) -> None:
        """Ping members within the rate limit, and schedule the next round.

        Members that left a ping unanswered are pinged in each round, the others in
        turn: with many members each is pinged less often, but a silent one is detected
        soon after the first ping that it leaves unanswered.
        """
        if now - self.round_due_at > MAX_TIMER_LAG_MS:
            self.clear_unanswered()
        views = list(self.table.views.values())
        self.silent_members = sum(
            view.unanswered_ms(now) > 0 for view in views if view.unanswered_since
        )
        unanswered = [view for view in views if view.unanswered_since][
            :MAX_REPEATED_PINGS
        ]
        in_turn = self.take_in_turn(views)
        for view in [
            *unanswered,
            *(view for view in in_turn if not view.unanswered_since),
        ]:
            self.tell_of_silence(view)
            self.ping(now, view)
            if self.is_dead(now, view):
                self.on_dead(now, view)
        self.table.expire(now)
        self.asked_at = {
            question: at for question, at in self.asked_at.items() if now - at < ASK_MS
        }
        self.round_due_at = now + self.rng.randint(PING_MS * 3 // 4, PING_MS)
        self.timers.add(self.round_due_at, self.ping_round)

    def take_in_turn(self, views: list[MemberView]) -> list[MemberView]:
        """Return the members to ping in this round, of the own zone and of others."""
        own = [view for view in views if view.member.zone == self.zone]
        others = [view for view in views if view.member.zone != self.zone]
        if not others:
            return self.own_rotation.take(own, MAX_PINGS)
        share = min(MAX_PINGS, len(views)) * len(others) / len(views)
        limit = ZONE_PINGS / (len(self.zone_peers()) + 1)
        # The fraction decides how often there is one more.
        crossing = int(min(share, limit) + self.rng.random())
        return [
            *self.own_rotation.take(own, MAX_PINGS - crossing),
            *self.other_rotation.take(others, crossing),
        ]

    def tell_of_silence(self, view: MemberView) -> None:
        """Tell balancers of this zone of a silent member of another zone.

        They ping it seldom if they are many. Who was told doesn't tell others.
        """
        is_first = view.unanswered_pings == MIN_SILENT_PINGS
        if not is_first or view.was_told_silent or view.member.zone == self.zone:
            return
        hosts = self.zone_peers()
        if MAX_PINGS * (len(hosts) + 1) <= ZONE_PINGS:
            return  # each pings as often as it may
        for host in self.rng.sample(hosts, min(len(hosts), MAX_TOLD)):
            self.effects.append(ToPeer(host, Silence(view.member.host)))

    def on_silence(self, now: int, message: Silence) -> None:
        """Ping a member that another balancer of this zone finds silent."""
        view = self.table.by_host(message.host)
        if view is None or view.unanswered_since or view.member.zone == self.zone:
            return
        view.was_told_silent = True
        self.ping(now, view)

    def clear_unanswered(self) -> None:
        """Clear unanswered pings, because this process itself was late.

        On a busy or slow VM the answers may still be waiting to be read.
        """
        for view in self.table.views.values():
            view.unanswered_since = view.unanswered_pings = 0
            view.has_unanswered_opening = False

    def ping(self, now: int, view: MemberView) -> None:
        """Send a ping to one member, after the messages that go with it."""
        if not view.unanswered_since:
            view.unanswered_since = now
        view.unanswered_pings += 1
        for notice in self.notices(now, view):
            self.effects.append(ToPeer(view.member.host, notice))
        is_missing = self.is_store_reachable() and not view.is_stored
        ping = Ping(self.zone, view.member.version, is_missing)
        self.effects.append(ToPeer(view.member.host, ping))

    def ask_for_record(self, now: int, host: str, known: int) -> None:
        """Ping a side process whose member isn't known; its answer has the record.

        `known` is the version of another record under the member's id, 0 for none; the
        member then takes a higher one. The question isn't repeated for a while, because
        an answer that doesn't help leads to the next question.
        """
        asked_at = self.asked_at.get((host, known))
        if asked_at is not None and now - asked_at < ASK_MS:
            return
        self.asked_at[host, known] = now
        self.effects.append(ToPeer(host, Ping(self.zone, known, False)))

    def has_recent_answer(self, now: int) -> bool:
        """Return whether some member answered recently, so that the links work."""
        last_message_at = max(
            (view.last_message_at for view in self.table.views.values()), default=0
        )
        return now - last_message_at < PING_MS * 2

    def is_dead(self, now: int, view: MemberView) -> bool:
        """Return whether a member has been silent for long while others answer."""
        if now - max(view.last_message_at, view.added_at) < DEAD_MS:
            return False
        # With many members, each waits for long until it is pinged again.
        has_ignored_pings = view.unanswered_ms(now) >= DEAD_MS // 2
        return has_ignored_pings and self.has_recent_answer(now)
