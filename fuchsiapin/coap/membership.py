"""Membership of a service, kept by its side processes themselves.

Members announce themselves by a conditional update of the service's membership
object, monitor each other by heartbeats, and remove a silent member once a second
member confirms it. The number of writes grows with the changes, not with the
number of members.
"""

import random
from collections.abc import Callable
from dataclasses import replace

from fuchsiapin.coap.ownership import Ownership
from fuchsiapin.codec import encode_object
from fuchsiapin.messages import (
    Heartbeat,
    Member,
    ObjectCopy,
    ObjectSeen,
    SendPeer,
    ServiceMembership,
    Suspect,
    SuspectAnswer,
    View,
)
from fuchsiapin.objectupdater import ObjectUpdater
from fuchsiapin.timers import Timers

__all__ = ["Membership", "base_view", "next_membership"]

HEARTBEAT_MS = 500
SILENCE_MS = 2_000
"""A member that sends no heartbeat for this time is suspected."""
LONE_REMOVAL_MS = 3 * SILENCE_MS
"""Silence of all others after which one member alone removes them."""
MEMBERSHIP_RESEND_MS = 750
"""A member that sends no heartbeat for this time is sent the membership object."""
CHECK_MS = 250
HISTORY_LIMIT = 16
"""Bound on the earlier views in the history.

If older ones would have to be claimed from, the history is marked as cut, and all
flows become uncertain.
"""


def base_view(views: list[View], active_views: dict[str, set[int]]) -> int | None:
    """Return the newest view in which all its live members were active.

    In a view whose members are all leaving or down, they still hold the flows and
    no one has taken them over, so it is not the base. A view without any member is:
    the last one left it after it was drained.

    Parameters
    ----------
    views : list of View
        Oldest first.
    active_views : dict
        Numbers of the views in which each member was active, by member id.

    Returns
    -------
    int or None
        Number of the view, None when there is none.
    """
    for view in reversed(views):
        live = [member for member in view.members if member.state == "live"]
        if view.members and not live:
            continue
        if all(view.number in active_views.get(member.id, ()) for member in live):
            return view.number
    return None


def next_membership(
    service: str,
    stored: ServiceMembership | None,
    members: list[Member],
    change_id: str,
    active_views: dict[str, set[int]],
) -> ServiceMembership:
    """Return the membership object that follows the stored one.

    The history keeps the views that flows may still have to be claimed from,
    beginning with the newest view that was active everywhere. If there are more of
    them than the bound allows, the history is marked as cut: requests may have run
    in the views that were left out.
    """
    if stored is None:
        return ServiceMembership(service, View(1, members), [], change_id)
    views = [*stored.history, stored.view]
    base = base_view(views, active_views)
    wanted = [view for view in views if base is None or view.number >= base]
    is_cut = len(wanted) > HISTORY_LIMIT or (base is None and stored.is_cut)
    view = View(stored.view.number + 1, members)
    history = wanted[-HISTORY_LIMIT:]
    return ServiceMembership(service, view, history, change_id, is_cut)


class Membership:
    """One side process as a member of its service.

    Parameters
    ----------
    service : str
        Name of the service.
    me : Member
        This member.
    ownership : Ownership
        Ownership of flows, which adopts each newer view.
    timers, effects, rng
        Timers, effects and random numbers of the core.
    backlog_ms : callable
        Returns how long a new request would wait here.
    on_rejoined : callable
        Called with the new incarnation after a false removal.

    Attributes
    ----------
    last_heartbeat : dict
        Start of the silence timeout, by member id: the time of the last heartbeat,
        or of a restart of the timeout.
    known_incarnations : dict
        Last incarnation seen in a view, by member id.
    active_views : dict
        Views in which each member was active, by member id.
    backlogs : dict
        Last reported backlog in ms, by member id.
    config_number : int
        Number of the configuration in force.
    last_check : int
        Time of the last check for silent members.
    is_joined : bool
        Whether this incarnation has been in a view.
    is_departing : bool
        Whether the removal of this member's entry was requested.
    is_removed : bool
        Whether the entry was removed on that request.
    """

    def __init__(
        self,
        service: str,
        me: Member,
        ownership: Ownership,
        timers: Timers,
        effects: list,
        rng: random.Random,
        backlog_ms: Callable[[], int],
        on_rejoined: Callable[[int], None],
    ) -> None:
        self.service = service
        self.me = me
        self.ownership = ownership
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.backlog_ms = backlog_ms
        self.on_rejoined = on_rejoined
        self.key = f"members/{service}"
        prefix = f"{me.id}#{me.incarnation}"
        self.updater = ObjectUpdater(
            self.key, ServiceMembership, prefix, timers, effects, rng
        )
        self.last_heartbeat: dict[str, int] = {}
        self.known_incarnations: dict[str, int] = {}
        self.active_views: dict[str, set[int]] = {}
        self.backlogs: dict[str, int] = {}
        self.config_number = 0
        self.last_check = 0
        self.is_joined = False
        self.is_departing = False
        self.is_removed = False

    def start(self, now: int) -> None:
        """Announce this member and start to monitor the others."""
        self.last_check = now
        self.announce(now)
        self.send_heartbeats(now)
        self.timers.add(now + CHECK_MS, self.check_silence)

    # Changes of the stored object

    def announce(self, now: int) -> None:
        """Add this member to the membership, or update its entry."""
        self.updater.request(now, "announce", self.with_me)

    def with_me(self, stored: ServiceMembership | None) -> ServiceMembership | None:
        """Return the membership with this member's entry, None if it is unchanged."""
        members = stored.view.members if stored else []
        if self.me in members:
            return None
        others = [member for member in members if member.id != self.me.id]
        return self.make_next(stored, [*others, self.me])

    def make_next(
        self, stored: ServiceMembership | None, members: list[Member]
    ) -> ServiceMembership:
        """Return the next membership object, with a change id of this process."""
        self.record_active_view(self.me.id, self.ownership.active)
        change_id = self.updater.next_change_id()
        ordered = sorted(members, key=lambda member: member.id)
        return next_membership(
            self.service, stored, ordered, change_id, self.active_views
        )

    def set_state(self, now: int, state: str) -> None:
        """Change whether this member may own flows."""
        if self.me.state != state:
            self.me = replace(self.me, state=state)
            self.announce(now)

    def set_weight(self, now: int, weight: int) -> None:
        """Change the share of the flows that this member owns."""
        if self.me.weight != weight:
            self.me = replace(self.me, weight=weight)
            self.announce(now)

    def depart(self, now: int) -> None:
        """Remove this member's entry permanently, after the member was drained."""
        self.is_departing = True
        self.updater.cancel("announce")
        self.updater.request(
            now, "depart", lambda stored: self.without(stored, [self.me])
        )

    def without(
        self, stored: ServiceMembership | None, removed: list[Member]
    ) -> ServiceMembership | None:
        """Return the membership without some incarnations, None if none is in it."""
        members = stored.view.members if stored else []
        excluded = {(member.id, member.incarnation) for member in removed}
        remaining = [
            member
            for member in members
            if (member.id, member.incarnation) not in excluded
        ]
        return (
            self.make_next(stored, remaining) if len(remaining) < len(members) else None
        )

    def apply_stored(self, now: int, event: ObjectSeen) -> bool:
        """Apply the membership object; return whether its view is newer."""
        if not self.updater.apply_stored(now, event) or self.updater.value is None:
            return False
        membership = self.updater.value
        if not self.ownership.adopt(now, membership):
            return False
        self.reset_silence_timeouts(now, membership.view)
        self.check_own_entry(now, membership.view)
        return True

    def reset_silence_timeouts(self, now: int, view: View) -> None:
        """Restart the silence timeout of each new member or incarnation.

        A process that has just returned received no heartbeats because of the
        fault that removed it, so it restarts the timeout of all members.
        """
        if any(self.is_me(member) for member in view.members) and (
            self.known_incarnations.get(self.me.id) != self.me.incarnation
        ):
            self.last_heartbeat = dict.fromkeys(self.last_heartbeat, now)
        for member in view.members:
            if self.known_incarnations.get(member.id) != member.incarnation:
                self.known_incarnations[member.id] = member.incarnation
                self.last_heartbeat[member.id] = now

    def check_own_entry(self, now: int, view: View) -> None:
        """Join again as a new incarnation when others removed this member."""
        ids = {(member.id, member.incarnation) for member in view.members}
        if (self.me.id, self.me.incarnation) in ids:
            self.is_joined = True
            return
        if self.is_departing:
            self.is_removed = True
        elif self.is_joined:
            self.rejoin(now)

    def rejoin(self, now: int) -> None:
        """Announce this member under a new incarnation."""
        self.is_joined = False
        self.me = replace(self.me, incarnation=max(now, self.me.incarnation + 1))
        self.ownership.add_incarnation(self.me.incarnation)
        self.on_rejoined(self.me.incarnation)
        self.announce(now)

    # Heartbeats and suspicion

    def peers(self) -> list[Member]:
        """Return the other members of the newest view."""
        return [
            member
            for member in self.ownership.history.members()
            if member.id != self.me.id
        ]

    def peer(self, name: str) -> Member | None:
        """Return another member of the newest view by id."""
        for member in self.peers():
            if member.id == name:
                return member
        return None

    def send_heartbeats(self, now: int) -> None:
        """Send heartbeats to the peers and schedule the next ones."""
        try:
            message = Heartbeat(
                self.service,
                self.ownership.view,
                self.ownership.active,
                self.config_number,
                self.backlog_ms(),
            )
            for member in self.peers():
                self.effects.append(SendPeer(member.host, member.port, message))
        finally:
            self.timers.add(now + HEARTBEAT_MS, self.send_heartbeats)

    def on_heartbeat(self, now: int, sender: str, heartbeat: Heartbeat) -> None:
        """Handle a peer's heartbeat; request its view if it is newer."""
        self.last_heartbeat[sender] = now
        self.backlogs[sender] = heartbeat.backlog_ms
        self.updater.cancel(f"remove {sender}")
        self.updater.cancel("remove all")
        self.record_active_view(sender, heartbeat.active)
        member = self.peer(sender)
        if heartbeat.view > self.ownership.view and member is not None:
            self.ownership.request_view(member)

    def record_active_view(self, member: str, view: int) -> None:
        """Store a view in which a member was active."""
        views = self.active_views.setdefault(member, set())
        views.add(view)
        if len(views) > 2 * HISTORY_LIMIT:
            views.remove(min(views))

    def is_silent(self, now: int, name: str) -> bool:
        """Return whether a member's heartbeats have been missing for too long."""
        return now - self.last_heartbeat.get(name, now) > SILENCE_MS

    def check_silence(self, now: int) -> None:
        """Suspect silent members and schedule the next check.

        A process that was paused itself received no heartbeats meanwhile, so it
        restarts the silence timeout of all members.
        """
        try:
            # Checks run every `CHECK_MS`: one this late means a paused process.
            if now - self.last_check > SILENCE_MS // 2:
                self.last_heartbeat = dict.fromkeys(self.last_heartbeat, now)
            self.last_check = now
            for member in self.peers():
                if now - self.last_heartbeat.get(member.id, now) > MEMBERSHIP_RESEND_MS:
                    self.send_membership(member.host, member.port)
                if self.is_silent(now, member.id):
                    self.suspect(now, member)
        finally:
            self.timers.add(now + CHECK_MS, self.check_silence)

    def send_membership(self, host: str, port: int) -> None:
        """Send the membership object as last seen.

        A member that has not received the newest view sends no heartbeats to
        members that joined in it, so they would suspect it.
        """
        if self.updater.value is not None:
            copy = ObjectCopy(
                self.key, self.updater.version, encode_object(self.updater.value)
            )
            self.effects.append(SendPeer(host, port, copy))

    def suspect(self, now: int, member: Member) -> None:
        """Ask the other members whether they find a member silent too.

        If all of several peers are silent, no one can confirm it. They are removed
        only after `LONE_REMOVAL_MS`: if this member is the one that is cut off, two
        connected members have removed it by then. With a single peer there are no
        two others, so it is removed at once.
        """
        others = [
            other
            for other in self.peers()
            if other.id != member.id and not self.is_silent(now, other.id)
        ]
        if not others:
            if len(self.peers()) == 1 or self.has_lost_contact(now):
                self.remove(now, "all", self.peers())
            return
        message = Suspect(self.service, member.id, member.incarnation)
        for other in others:
            self.effects.append(SendPeer(other.host, other.port, message))

    def has_lost_contact(self, now: int) -> bool:
        """Return whether no peer sent a heartbeat for `LONE_REMOVAL_MS`."""
        latest = max(self.last_heartbeat.get(member.id, now) for member in self.peers())
        return now - latest > LONE_REMOVAL_MS

    def on_suspect(self, now: int, sender: str, message: Suspect) -> None:
        """Answer whether this process finds a suspected member silent too."""
        asker = self.peer(sender)
        if asker is None:
            return
        silent = self.is_silent(now, message.member)
        answer = SuspectAnswer(
            self.service, message.member, message.incarnation, silent
        )
        self.effects.append(SendPeer(asker.host, asker.port, answer))

    def on_suspect_answer(self, now: int, sender: str, answer: SuspectAnswer) -> None:
        """Remove a silent member once a second member confirms it."""
        member = self.peer(answer.member)
        if member is None or not answer.silent or sender == answer.member:
            return
        if member.incarnation == answer.incarnation and self.is_silent(now, member.id):
            self.remove(now, member.id, [member])

    def remove(self, now: int, name: str, removed: list[Member]) -> None:
        """Remove silent members from the view, unless this process is not in it.

        All are removed in one view: one view each would push the older views, from
        which the owners of the flows are found, out of the history.
        """

        def change(stored: ServiceMembership | None) -> ServiceMembership | None:
            members = stored.view.members if stored else []
            is_in = any(self.is_me(member) for member in members)
            return self.without(stored, removed) if is_in else None

        self.updater.request(now, f"remove {name}", change)

    def is_me(self, member: Member) -> bool:
        """Return whether a member is this process as it is now."""
        identity = (self.me.id, self.me.incarnation)
        return (member.id, member.incarnation) == identity
