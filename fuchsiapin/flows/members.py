"""Members of flow services, as one balancer sees them."""

from collections.abc import Callable
from typing import Any

import msgpack

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import (
    MAX_TIME_MS,
    read_host,
    read_text,
    read_whole,
    shown,
)
from fuchsiapin.lightclasses import dataclass, replace
from fuchsiapin.ranking import hash_seed

__all__ = [
    "VERSIONS_PER_EPOCH",
    "MIN_SILENT_PINGS",
    "STATES",
    "FlowMember",
    "Load",
    "MemberTable",
    "MemberView",
    "absent_member",
    "pack_load",
    "pack_member",
    "read_load",
    "read_member",
    "read_stored_member",
    "unpack_member",
]

STATES = ("starting", "ready", "draining", "gone")
"""States of one incarnation, in the order in which it goes through them. The version
of a member contains the position of its state. The cores of packet flows never set
`starting`."""
VERSIONS_PER_EPOCH = 8
"""Number of versions reserved for each epoch; more than there are states."""
MAX_EPOCH = 2**53
"""Largest epoch; later than `MAX_TIME_MS`, because side processes raise epochs above
those of stored objects."""
MEMBER_FIELDS = 7
LOAD_FIELDS = 5
SUSPECT_MS = 1_000
"""A member with at least `MIN_SILENT_PINGS` unanswered pings, the first of them older
than this, is suspect. It gets new flows only if all available members are suspect."""
LEFT_HOST_MS = 120_000
"""How long the address of a member that left is remembered; a flow lives at most
a minute by default."""
MIN_SILENT_PINGS = 2
"""Minimum number of unanswered pings that count as silence; one may have been lost."""
GONE_VERSION_MS = 20_000
"""How long the version of a gone member is kept, so that late messages about it are
ignored."""


@dataclass(frozen=True)
class Load:
    """Load of an upstream, as reported by its side process.

    Parameters
    ----------
    waiting : int
        Requests that the upstream hasn't begun to answer, new flows given to it that
        have sent no request yet, and new flows in the side process's queue.
    mean_waiting_thousandths : int
        Mean number of requests that the upstream hasn't begun to answer, over about
        a second, in thousandths; flows without a request aren't included.
    flows : int
        Flows tracked by the side process, including ended ones that are still kept
        and new ones that aren't accepted yet.
    cold_ms : int
        Remaining time for which the upstream is slow after its start.
    service_ms : int
        Mean service time, without the wait for a slot. The previous build includes
        the wait.
    """

    waiting: int = 0
    mean_waiting_thousandths: int = 0
    flows: int = 0
    cold_ms: int = 0
    service_ms: int = 0


def pack_load(load: Load) -> list[int]:
    """Return a load as the list of numbers in messages."""
    return [
        load.waiting,
        load.mean_waiting_thousandths,
        load.flows,
        load.cold_ms,
        load.service_ms,
    ]


def read_load(values: list[int]) -> Load | None:
    """Return the load in a message, None if the list is invalid.

    Examples
    --------
    >>> read_load(pack_load(Load(waiting=2))).waiting
    2
    """
    if len(values) != LOAD_FIELDS or min(values) < 0:
        return None
    return Load(*values)


@dataclass(frozen=True)
class FlowMember:
    """One incarnation of an upstream, announced by its side process.

    Parameters
    ----------
    id : str
        Id of the upstream.
    epoch : int
        Start of the incarnation, raised where needed so that later incarnations of
        the same id have higher epochs.
    service : str
        Service that it belongs to.
    host : str
        Address of its VM.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs concurrently.
    state : str
        One of `STATES`.
    """

    id: str
    epoch: int
    service: str
    host: str
    zone: str
    slots: int
    state: str

    @property
    def version(self) -> int:
        """Return a number that increases with each incarnation and change of state.

        A change of `slots` alone doesn't change it, so balancers don't apply it.
        """
        return self.epoch * VERSIONS_PER_EPOCH + STATES.index(self.state)


def absent_member(now: int, service: str, host: str, zone: str) -> FlowMember:
    """Return the record that tells that no upstream that started before now is there.

    It has no id: a side process that has just started doesn't know which upstream ran
    at its address before.
    """
    return FlowMember("", now, service, host, zone, 1, "gone")


def pack_member(member: FlowMember) -> bytes:
    """Return a member as bytes, for other processes."""
    return msgpack.packb(
        (
            member.id,
            member.epoch,
            member.service,
            member.host,
            member.zone,
            member.slots,
            member.state,
        )
    )


def unpack_member(data: bytes) -> FlowMember:
    """Return the member in bytes from another process.

    Raises
    ------
    MalformedObject
        If the bytes hold no member.
    """
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedObject(f"member: {error!r}") from error
    return read_member(fields)


def read_member(fields: Any) -> FlowMember:
    """Return a member from its fields.

    Raises
    ------
    MalformedObject
        If a field has an invalid value.
    """
    if not isinstance(fields, list | tuple) or len(fields) != MEMBER_FIELDS:
        raise MalformedObject(f"member {shown(fields)} has no {MEMBER_FIELDS} fields")
    name, epoch, service, host, zone, slots, state = fields
    if not isinstance(state, str) or state not in STATES:
        raise MalformedObject(f"state {shown(state)} of a member is unknown")
    return FlowMember(
        read_text(name, "id", is_empty_allowed=True),
        read_whole(epoch, "epoch", highest=MAX_EPOCH),
        read_text(service, "service", is_empty_allowed=True),
        read_host(host, "address"),
        read_text(zone, "zone", is_empty_allowed=True),
        max(read_whole(slots, "slots"), 1),
        state,
    )


def read_stored_member(name: str, fields: Any) -> FlowMember:
    """Return the member in the object that the store has under a name.

    Raises
    ------
    MalformedObject
        If a field has an invalid value, the name isn't the id of the member, or it
        isn't ready; side processes store no other state.
    """
    member = read_member(fields)
    if member.state != "ready":
        raise MalformedObject(f"state {member.state!r} of a stored member isn't ready")
    if member.id != name:
        raise MalformedObject(f"id {member.id!r} is not the name of the object")
    read_whole(member.epoch, "epoch", highest=MAX_TIME_MS)
    return member


class MemberView:
    """State of one member, as this balancer knows it.

    Attributes
    ----------
    rank_seed : int
        Seed of its hashes in rankings for flows.
    added_at : int
        When the member was added to the table, in ms.
    last_message_at : int
        When the last message of the side process was received, in ms, 0 for never.
    unanswered_since : int
        When the first ping that is still unanswered was sent, 0 for none.
    unanswered_pings : int
        Unanswered pings.
    placed_since_report : int
        New flows placed there since its last load report.
    refused_until : int
        Time until which it is offered no new flows, because it refused one or
        reported that it takes none.
    has_unanswered_opening : bool
        Whether an opening packet went unanswered and nothing was received since.
    was_told_silent : bool
        Whether another balancer found it silent, since its last message.
    is_stored : bool
        Whether the store holds it, as far as known.
    """

    def __init__(self, member: FlowMember, now: int) -> None:
        self.member = member
        self.rank_seed = hash_seed(member.id)
        self.load = Load()
        self.added_at = now
        self.last_message_at = 0
        self.unanswered_since = 0
        self.unanswered_pings = 0
        self.placed_since_report = 0
        self.refused_until = 0
        self.has_unanswered_opening = False
        self.was_told_silent = False
        self.is_stored = False

    def note_message(self, now: int, load: Load | None = None) -> None:
        """Record a message from the side process, and its load report if it has one."""
        self.last_message_at = now
        self.unanswered_since = 0
        self.unanswered_pings = 0
        self.has_unanswered_opening = False
        self.was_told_silent = False
        if load is not None:
            self.load = load
            self.placed_since_report = 0

    @property
    def was_heard(self) -> bool:
        """Return whether a message of the side process was ever received."""
        return self.last_message_at > 0

    def unanswered_ms(self, now: int) -> int:
        """Return for how long the side process has left pings unanswered, in ms.

        A single unanswered ping doesn't count, because it may have been lost.
        """
        return (
            now - self.unanswered_since
            if self.unanswered_pings >= MIN_SILENT_PINGS
            else 0
        )

    def is_suspect(self, now: int) -> bool:
        """Return whether an opening packet or pings went unanswered."""
        if self.has_unanswered_opening:
            return True
        return (
            self.unanswered_pings >= MIN_SILENT_PINGS
            and now - self.unanswered_since > SUSPECT_MS
        )


class MemberTable:
    """Members by id and by service.

    A version replaces only lower ones, whichever way it arrived. A later incarnation
    at the address of another one replaces that one.

    Attributes
    ----------
    on_superseded : callable
        Called with the id of a member that was replaced by a later one at its address.
    views : dict
        Views by member id.
    views_by_service : dict
        Views by service and member id.
    ids_by_host : dict
        Member ids by address.
    gone_versions : dict
        Version of each member that is gone and the time when it was removed, by id.
    left_hosts : dict
        When the last member at an address left, by address.
    ids_hash : int
        Hash over the ids of all members, independent of their order.
    """

    def __init__(self) -> None:
        self.on_superseded: Callable[[str], None] = lambda member_id: None
        self.views: dict[str, MemberView] = {}
        self.views_by_service: dict[str, dict[str, MemberView]] = {}
        self.ids_by_host: dict[str, str] = {}
        self.gone_versions: dict[str, tuple[int, int]] = {}
        self.left_hosts: dict[str, int] = {}
        self.ids_hash = 0

    def put(self, now: int, member: FlowMember) -> bool:
        """Add or update a member if it is newer; return whether it was."""
        gone = self.gone_versions.get(member.id)
        if gone is not None and member.version <= gone[0]:
            return False
        view = self.views.get(member.id)
        if view is not None and member.version <= view.member.version:
            return False
        if member.state == "gone":
            self.mark_gone(now, member)
            return True
        if self.is_superseded(now, member):
            return False
        if view is None or view.member.epoch != member.epoch:
            self.remove(member.id)
            view = MemberView(member, now)
            self.views[member.id] = view
            self.ids_hash ^= hash_seed(member.id)
            self.views_by_service.setdefault(member.service, {})[member.id] = view
        view.member = member
        self.ids_by_host[member.host] = member.id
        self.left_hosts.pop(member.host, None)
        return True

    def is_superseded(self, now: int, member: FlowMember) -> bool:
        """Return whether a later incarnation has the member's address.

        Side effect: an earlier incarnation at that address is removed as gone.
        """
        current = self.views.get(self.ids_by_host.get(member.host, ""))
        if current is None or current.member.id == member.id:
            return False
        if current.member.epoch > member.epoch:
            return True
        self.mark_gone(now, replace(current.member, state="gone"))
        self.on_superseded(current.member.id)
        return False

    def mark_gone(self, now: int, member: FlowMember) -> None:
        """Remove a member that is gone, but remember its version."""
        self.remove(member.id)
        self.gone_versions[member.id] = (member.version, now)
        if member.host not in self.ids_by_host:
            self.left_hosts[member.host] = now

    def remove(self, member_id: str) -> None:
        """Remove a member from all tables."""
        view = self.views.pop(member_id, None)
        if view is None:
            return
        self.ids_hash ^= hash_seed(member_id)
        self.views_by_service[view.member.service].pop(member_id, None)
        if self.ids_by_host.get(view.member.host) == member_id:
            del self.ids_by_host[view.member.host]

    def expire(self, now: int) -> list[str]:
        """Expire old entries of members that are gone; return their ids."""
        old = [
            member_id
            for member_id, (_, at) in self.gone_versions.items()
            if now - at > GONE_VERSION_MS
        ]
        for member_id in old:
            del self.gone_versions[member_id]
        for host in [
            host for host, at in self.left_hosts.items() if now - at > LEFT_HOST_MS
        ]:
            del self.left_hosts[host]
        return old

    def has_left(self, host: str) -> bool:
        """Return whether the last member at an address announced that it left."""
        return host in self.left_hosts

    def by_host(self, host: str) -> MemberView | None:
        """Return the member at an address."""
        return self.views.get(self.ids_by_host.get(host, ""))

    def by_service(self, service: str) -> list[MemberView]:
        """Return the members of a service."""
        return list(self.views_by_service.get(service, {}).values())

    def unheard_keys(self, now: int) -> list[str]:
        """Return the keys of the members that don't answer this balancer.

        They aren't offered to other balancers, which may have dropped them already.
        """
        # Only members that left something unanswered can be suspect. The others, which
        # may be tens of thousands, are left out without a call for each of them.
        candidates = [
            view
            for view in self.views.values()
            if not view.last_message_at
            or view.unanswered_pings
            or view.has_unanswered_opening
        ]
        return [
            f"members/{view.member.id}"
            for view in candidates
            if not view.was_heard or view.is_suspect(now)
        ]
