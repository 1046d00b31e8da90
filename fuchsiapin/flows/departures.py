"""Members that are gone, or are considered so, as one balancer sees them."""

from collections.abc import Callable
from typing import Any

from fuchsiapin.flows.effects import ToStore
from fuchsiapin.flows.gossip import Gossip
from fuchsiapin.flows.members import (
    STATES,
    VERSIONS_PER_EPOCH,
    FlowMember,
    MemberTable,
    MemberView,
)
from fuchsiapin.flows.pinging import MAX_TIMER_LAG_MS
from fuchsiapin.flows.storage import DELETE, MEMBERS, StoreCall
from fuchsiapin.timers import Timers

__all__ = ["MISSING_MEMBER_MS", "Departures", "is_departure", "member_key"]

MISSING_MEMBER_MS = 2_500
"""A member that is missing from the store and silent for this long is dropped."""
DELETE_TIMEOUT_MS = 1_000
"""Timeout of a call that deletes an object."""


def member_key(member_id: str) -> str:
    """Return the key of a member among the replicated objects."""
    return f"members/{member_id}"


def is_departure(key: str, version: int) -> bool:
    """Return whether an object's version says that its member is gone.

    Examples
    --------
    >>> gone = FlowMember("u1", 5, "desk", "10.0.0.1", "zone-a", 2, "gone")
    >>> is_departure(member_key("u1"), gone.version)
    True
    """
    is_member = key.startswith(member_key(""))
    return is_member and version % VERSIONS_PER_EPOCH == STATES.index("gone")


class Departures:
    """Drops members that are gone, and recognises them when they are shown again.

    Parameters
    ----------
    table : MemberTable
        The members.
    gossip : Gossip
        Replicates members, and departures, between balancers.
    timers, effects
        Timers and effects of the core.
    report : callable
        Takes the number and the fields of an event.
    """

    def __init__(
        self,
        table: MemberTable,
        gossip: Gossip,
        timers: Timers,
        effects: list[Any],
        report: Callable[..., None],
    ) -> None:
        self.table = table
        self.gossip = gossip
        self.timers = timers
        self.effects = effects
        self.report = report
        table.on_superseded = self.remove_copy

    def has_departed(self, member: FlowMember) -> bool:
        """Return whether a member is known to be gone, though the store shows it.

        The store may have come back from a copy that is older than its departure.
        """
        key = member_key(member.id)
        known = self.gossip.version(key)
        return member.version < known and is_departure(key, known)

    def mark_missing(self, now: int, view: MemberView) -> None:
        """Record that a member is missing from the store, and schedule a check.

        Its object may have expired, or the member is gone.
        """
        view.is_stored = False
        due_at = now + MISSING_MEMBER_MS

        def check(later: int) -> None:
            current = self.table.views.get(view.member.id)
            if current is not view or view.is_stored or view.last_message_at >= now:
                return
            if later - due_at > MAX_TIMER_LAG_MS:
                # This process was paused: the member's messages may wait to be read.
                self.mark_missing(later, view)
            else:
                self.drop(view, "neither in the store nor heard of")

        self.timers.add(due_at, check)

    def drop(self, view: MemberView, reason: str) -> None:
        """Remove a member that is considered gone; it may be added again later."""
        self.report(6307, member=view.member.id, host=view.member.host, reason=reason)
        self.table.remove(view.member.id)
        self.remove_copy(view.member.id)

    def remove_copy(self, member_id: str) -> None:
        """Remove the copy of a member that is replicated to other balancers."""
        self.gossip.remove(member_key(member_id))

    def delete_stored(self, member_id: str) -> None:
        """Delete the stored object of a member that is gone."""
        call = StoreCall(DELETE, MEMBERS, member_id)
        self.effects.append(ToStore("bury", call, DELETE_TIMEOUT_MS))
