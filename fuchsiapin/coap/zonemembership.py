"""Membership of an availability zone, kept by its balancers themselves.

The balancers of a zone form a ring ordered by hash. Each sends heartbeats only to
its next few successors, its watchers, so that the number of heartbeats per balancer
does not grow with the zone. A watcher is a balancer that monitors another. One of the
watchers removes a silent balancer once a second one confirms it. Zones with fewer
than `MIN_ZONE_RING` balancers share one ring.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from xxhash import xxh3_64_intdigest

from fuchsiapin.messages import (
    BalancerHeartbeat,
    BalancerMember,
    ObjectSeen,
    SendPeer,
    Suspect,
    SuspectAnswer,
    WriteFinished,
    ZoneBalancers,
)
from fuchsiapin.objectupdater import ObjectUpdater
from fuchsiapin.timers import Timers

__all__ = ["ZoneMembership", "watchers_of"]

HEARTBEAT_MS = 500
SILENCE_MS = 2_000
"""A balancer that sends no heartbeat for this time is suspected."""
LONE_REMOVAL_MS = 3 * SILENCE_MS
"""Time without any heartbeat after which a balancer removes silent ones alone."""
GRACE_MS = 3_000
"""Time for a balancer to learn its watchers before it can be suspected."""
WATCHERS = 4
"""Number of balancers that monitor each balancer."""
BALANCER_SERVICE = "balancers"
"""Value of the field `service` in suspicions about balancers."""
MIN_ZONE_RING = 3
"""Zones with fewer balancers share one ring."""


def successors_of(name: str, members: list[BalancerMember]) -> list[BalancerMember]:
    """Return the other balancers in ring order, beginning after the named one."""

    def position(member: BalancerMember) -> tuple[int, str]:
        return xxh3_64_intdigest(member.id.encode()), member.id

    start = (xxh3_64_intdigest(name.encode()), name)
    others = sorted((m for m in members if m.id != name), key=position)
    after = [member for member in others if position(member) > start]
    return after + others[: len(others) - len(after)]


def watchers_of(name: str, members: list[BalancerMember]) -> list[BalancerMember]:
    """Return the watchers of a balancer: its next successors in the ring.

    Examples
    --------
    >>> zone = [BalancerMember(n, 1, "10.0.0.1", 1, "z", "live", "") for n in "ab"]
    >>> [member.id for member in watchers_of("a", zone)]
    ['b']
    """
    return successors_of(name, members)[:WATCHERS]


def watched_by(name: str, members: list[BalancerMember]) -> list[BalancerMember]:
    """Return the balancers that one monitors: its predecessors in the ring."""
    return successors_of(name, members)[-WATCHERS:]


class ZoneMembership:
    """One balancer as a member of its availability zone.

    Parameters
    ----------
    me : BalancerMember
        This balancer.
    timers, effects, rng
        Timers, effects and random numbers of the core.
    config_number : callable
        Returns the number of the configuration in force.
    on_refused : callable, optional
        Called with the key of a zone and why an entry of its object is left out.

    Attributes
    ----------
    watchers : list of BalancerMember
        Balancers that monitor this one.
    watched : list of BalancerMember
        Balancers that this one monitors.
    ring : list of BalancerMember
        Balancers of the ring that this one belongs to.
    last_heartbeat : dict
        Start of the silence timeout, by name of the monitored balancer: the time of
        the last heartbeat, or of a restart of the timeout.
    last_check : int
        Time of the last check for silent balancers.
    last_message_at : int
        Time of the last message from any process, in ms.
    is_departing : bool
        Whether the removal of this balancer's entry was requested.
    """

    def __init__(
        self,
        me: BalancerMember,
        timers: Timers,
        effects: list[Any],
        rng: random.Random,
        config_number: Callable[[], int],
        on_refused: Callable[[str, str], None] = lambda key, reason: None,
    ) -> None:
        self.me = me
        self.timers = timers
        self.effects = effects
        self.config_number = config_number
        self.on_refused = on_refused
        self.key = f"balancers/{me.zone}"
        self.prefix = f"{me.id}#{me.incarnation}"
        self.rng = rng
        self.updaters: dict[str, ObjectUpdater] = {}
        self.updater = self.updater_of(self.key)
        self.ring: list[BalancerMember] = [me]
        self.last_heartbeat: dict[str, int] = {}
        self.watchers: list[BalancerMember] = []
        self.watched: list[BalancerMember] = []
        self.last_check = 0
        self.last_message_at = 0
        self.is_departing = False

    def updater_of(self, key: str) -> ObjectUpdater:
        """Return the updater of a zone's object."""
        if key not in self.updaters:
            updater = ObjectUpdater(
                key, ZoneBalancers, self.prefix, self.timers, self.effects, self.rng
            )
            updater.on_refused = partial(self.on_refused, key)
            self.updaters[key] = updater
        return self.updaters[key]

    def on_write_finished(self, now: int, event: WriteFinished) -> None:
        """Handle the outcome of a conditional update."""
        if event.key in self.updaters:
            self.updaters[event.key].on_write_finished(now, event)

    def start(self, now: int) -> None:
        """Announce this balancer and start to monitor others."""
        self.last_check = now
        self.updater.request(now, "announce", self.with_me)
        self.send_heartbeats(now)

    def depart(self, now: int) -> None:
        """Remove this balancer permanently from its zone."""
        self.is_departing = True
        self.updater.cancel("announce")
        self.updater.request(
            now, "depart", lambda stored: self.without(stored, self.me)
        )

    def has_left(self) -> bool:
        """Return whether the zone's object lacks this balancer."""
        zone = self.updater.value
        return zone is not None and not self.is_in(zone.members)

    # Changes of the stored object

    def make_next(
        self, stored: ZoneBalancers | None, members: list[BalancerMember]
    ) -> ZoneBalancers:
        """Return the next object of a zone, or the first of this balancer's zone."""
        number = stored.number + 1 if stored else 1
        zone = stored.zone if stored else self.me.zone
        ordered = sorted(members, key=lambda member: member.id)
        change_id = self.updater_of(f"balancers/{zone}").next_change_id()
        return ZoneBalancers(zone, number, ordered, change_id)

    def with_me(self, stored: ZoneBalancers | None) -> ZoneBalancers | None:
        """Return the zone with this balancer's entry, None if it is unchanged."""
        members = stored.members if stored else []
        if self.me in members:
            return None
        others = [member for member in members if member.id != self.me.id]
        return self.make_next(stored, [*others, self.me])

    def without(
        self, stored: ZoneBalancers | None, removed: BalancerMember
    ) -> ZoneBalancers | None:
        """Return the zone without one incarnation, None if that is not in it."""
        members = stored.members if stored else []
        remaining = [
            member
            for member in members
            if (member.id, member.incarnation) != (removed.id, removed.incarnation)
        ]
        return (
            self.make_next(stored, remaining) if len(remaining) < len(members) else None
        )

    def is_in(self, members: list[BalancerMember]) -> bool:
        """Return whether this incarnation is among the given members."""
        identity = (self.me.id, self.me.incarnation)
        return any((member.id, member.incarnation) == identity for member in members)

    def apply_stored(self, now: int, event: ObjectSeen) -> None:
        """Apply the object of a zone."""
        updater = self.updater_of(event.key)
        if not updater.apply_stored(now, event) or updater.value is None:
            return
        self.ring = self.find_ring()
        self.watchers = watchers_of(self.me.id, self.ring)
        self.watched = watched_by(self.me.id, self.ring)
        names = {member.id for member in self.watched}
        self.last_heartbeat = {
            name: self.last_heartbeat.get(name, now + GRACE_MS - SILENCE_MS)
            for name in names
        }
        if updater is self.updater:
            self.check_own_entry(now, updater.value.members)

    def find_ring(self) -> list[BalancerMember]:
        """Return the balancers of the ring that this one belongs to."""
        zone_members = self.updater.value.members if self.updater.value else []
        if len(zone_members) >= MIN_ZONE_RING:
            return zone_members
        values = [updater.value for updater in self.updaters.values()]
        small = [v for v in values if v and len(v.members) < MIN_ZONE_RING]
        return [member for value in small for member in value.members]

    def check_own_entry(self, now: int, members: list[BalancerMember]) -> None:
        """Join again as a new incarnation after a false removal."""
        is_announced = "announce" in self.updater.changes
        if not (self.is_in(members) or is_announced or self.is_departing):
            incarnation = max(now, self.me.incarnation + 1)
            self.me = replace(self.me, incarnation=incarnation)
            self.updater.request(now, "announce", self.with_me)

    # Heartbeats and suspicion

    def peers(self) -> list[BalancerMember]:
        """Return the other balancers of the ring."""
        return [member for member in self.ring if member.id != self.me.id]

    def peer(self, name: str) -> BalancerMember | None:
        """Return another balancer of the ring by name."""
        for member in self.peers():
            if member.id == name:
                return member
        return None

    def send(self, member: BalancerMember, message: Any) -> None:
        """Send a message to another balancer."""
        self.effects.append(SendPeer(member.host, member.port, message))

    def make_heartbeat(self) -> BalancerHeartbeat:
        """Return a heartbeat message."""
        zone = self.updater.value
        number = zone.number if zone else 0
        return BalancerHeartbeat(self.me.zone, number, self.config_number())

    def send_heartbeats(self, now: int) -> None:
        """Send heartbeats, suspect silent balancers and schedule the next run."""
        try:
            message = self.make_heartbeat()
            for member in self.watchers:
                self.send(member, message)
            self.suspect_silent(now)
        finally:
            self.timers.add(now + HEARTBEAT_MS, self.send_heartbeats)

    def on_heartbeat(self, now: int, sender: str) -> None:
        """Handle a heartbeat."""
        if sender in self.last_heartbeat:
            self.last_heartbeat[sender] = now
        for updater in self.updaters.values():
            updater.cancel(f"remove {sender}")

    def is_silent(self, now: int, name: str) -> bool:
        """Return whether a monitored balancer's heartbeats are missing for too long."""
        return now - self.last_heartbeat.get(name, now) > SILENCE_MS

    def suspect_silent(self, now: int) -> None:
        """Suspect each monitored balancer that is silent.

        A process that was paused itself received no heartbeats meanwhile, so it
        restarts the silence timeout of all balancers.
        """
        # Checks run every `HEARTBEAT_MS`: one this late means a paused process.
        if now - self.last_check > SILENCE_MS // 2:
            self.last_heartbeat = dict.fromkeys(self.last_heartbeat, now)
        self.last_check = now
        for member in self.watched:
            if self.is_silent(now, member.id):
                self.suspect(now, member)

    def suspect(self, now: int, member: BalancerMember) -> None:
        """Ask a silent balancer for a heartbeat, and its other watchers to confirm.

        In a ring of two no one can confirm, so the balancer is removed at once. A
        sole survivor of more removes the others one by one.
        """
        message = Suspect(BALANCER_SERVICE, member.id, member.incarnation)
        self.send(member, message)
        if len(self.peers()) == 1 or self.is_sole_survivor(now):
            self.remove(now, member)
            return
        for other in watchers_of(member.id, self.ring):
            if other.id != self.me.id:
                self.send(other, message)

    def is_sole_survivor(self, now: int) -> bool:
        """Return whether all others of the ring are silent, and only they.

        It can be told in small rings only, where each balancer monitors all others.
        Messages of other processes show that this one isn't the one cut off.
        """
        if len(self.watched) < len(self.peers()):
            return False
        is_cut_off = now - self.last_message_at > SILENCE_MS
        latest = max(self.last_heartbeat.values(), default=now)
        return now - latest > LONE_REMOVAL_MS and not is_cut_off

    def on_suspect(self, now: int, sender: str, message: Suspect) -> None:
        """Answer whether this process finds a suspected balancer silent too.

        If this process is the suspected one, it sends a heartbeat.
        """
        asker = self.peer(sender)
        if asker is None or message.service != BALANCER_SERVICE:
            return
        if message.member == self.me.id:
            self.send(asker, self.make_heartbeat())
            return
        is_silent = self.is_silent(now, message.member)
        answer = SuspectAnswer(
            BALANCER_SERVICE, message.member, message.incarnation, is_silent
        )
        self.send(asker, answer)

    def on_suspect_answer(self, now: int, sender: str, answer: SuspectAnswer) -> None:
        """Remove a silent balancer once a second watcher confirms it."""
        member = self.peer(answer.member)
        if member is None or not answer.silent or sender == answer.member:
            return
        if member.incarnation == answer.incarnation and self.is_silent(now, member.id):
            self.remove(now, member)

    def remove(self, now: int, member: BalancerMember) -> None:
        """Remove a balancer from its zone's object."""
        self.updater_of(f"balancers/{member.zone}").request(
            now, f"remove {member.id}", lambda stored: self.without(stored, member)
        )
