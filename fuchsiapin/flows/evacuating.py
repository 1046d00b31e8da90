"""How a balancer learns which zones are evacuated, and whom it tells."""

from collections.abc import Callable

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.eras import StoreEra
from fuchsiapin.flows.evacuations import (
    EvacuatedZones,
    era_error,
    era_of,
    evacuation_key,
    evacuation_version,
    is_evacuation,
    removal_version,
    zone_error,
)
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.gossip import Gossip
from fuchsiapin.flows.members import MemberView
from fuchsiapin.flows.messages import Evacuation
from fuchsiapin.flows.storage import StoredItem
from fuchsiapin.timers import Timers

__all__ = ["EvacuationKeeper"]

MAX_REPORTED_CHARACTERS = 80
"""Characters of a malformed name in the log."""
REWRITE_MS = 5_000
"""Time that the operator has, after the store came back from an older copy, to write an
evacuation again that the copy lacks. Until then the zone stays evacuated."""
REMOVAL_NOTICE_MS = 60_000
"""How long side processes are told that a zone is no longer evacuated; as long as a
flow lives by default. A side process that takes no flows is told at any time."""
MAX_START_MS = 1_500
"""How long after its start a balancer waits for the evacuated zones before it is ready;
callers are served rather than turned away while the store doesn't answer."""


class EvacuationKeeper:
    """Keeps the evacuated zones of one balancer up to date and tells side processes.

    Parameters
    ----------
    zones : EvacuatedZones
        The state that it keeps.
    gossip : Gossip
        Replicates the records between balancers.
    era : StoreEra
        Newest known era of the store.
    timers : Timers
        Timers of the core.
    report : callable
        Takes the number and the fields of an event.
    is_followed : bool
        Whether the deployment evacuates zones, so that the store is followed.

    Attributes
    ----------
    follower : StoreFollower
        Follows the evacuations in the store; set by the owner, as it needs the
        callbacks of this object.
    listed_version : int
        Version of the state without any evacuation as of the newest revision that was
        read. An older evacuation that isn't known here was removed.
    era_began_at : int
        When this process first read the store in its newest era, in ms.
    """

    follower: StoreFollower

    def __init__(
        self,
        zones: EvacuatedZones,
        gossip: Gossip,
        era: StoreEra,
        timers: Timers,
        report: Callable[..., None],
        is_followed: bool,
    ) -> None:
        self.zones = zones
        self.gossip = gossip
        self.era = era
        self.timers = timers
        self.report = report
        self.is_followed = is_followed
        self.listed_version = 0
        self.era_began_at = 0
        self.started_at = 0

    def start(self, now: int) -> None:
        """Start the time that is allowed for learning the evacuated zones."""
        self.started_at = now

    def not_ready(self, now: int) -> str:
        """Return why new flows can't be placed yet, empty if they can."""
        is_known = (
            not self.is_followed
            or self.follower.has_listed
            or self.gossip.was_in_step
            or now - self.started_at > MAX_START_MS
        )
        return "" if is_known else "evacuated zones aren't known yet"

    # The store

    @property
    def store_era(self) -> int:
        """Return the era of the latest answer.

        An answer without one belongs to the newest era. Otherwise what it tells would
        count as older than all that is known.
        """
        return self.follower.era or self.era.current

    def end_list(self, now: int, names: set[str]) -> None:
        """Take the zones into use again that a complete list from the store lacks.

        In a new era of the store the operator may still have to write them again.
        """
        self.note_revision(now)
        for zone in self.zones.evacuated - names:
            if era_of(self.zones.version(zone)) < era_of(self.listed_version):
                self.end_unless_rewritten(now, zone)
            else:
                self.put(now, zone, self.listed_version, "store")

    def apply_change(self, now: int, item: StoredItem) -> None:
        """Apply a written or removed evacuation from the store.

        One with a malformed name is reported and ignored.
        """
        self.note_revision(now)
        if error := zone_error(item.name):
            name = ascii(item.name[:MAX_REPORTED_CHARACTERS])
            self.report(6305, key=evacuation_key(name), error=error)
            return
        make_version = removal_version if item.is_deleted else evacuation_version
        self.put(now, item.name, make_version(self.store_era, item.revision), "store")

    def note_revision(self, now: int) -> None:
        """Record up to which revision the store's evacuations are known."""
        version = removal_version(self.store_era, self.follower.revision)
        if era_of(version) > era_of(self.listed_version):
            self.era_began_at = now
        self.listed_version = max(self.listed_version, version)

    def end_unless_rewritten(self, now: int, zone: str) -> None:
        """Take a zone of an earlier era into use again unless it is written again."""
        version = self.zones.version(zone)

        def end(later: int) -> None:
            if self.zones.version(zone) == version:
                self.put(later, zone, self.listed_version, "store")

        self.timers.add(now + REWRITE_MS, end)

    # Other processes

    def apply_copy(self, now: int, zone: str, version: int) -> bool:
        """Apply a record from another balancer; return whether to replicate it.

        An evacuation that the store no longer held when it was read here is outdated;
        its sender is told so with the replicated removal.

        Raises
        ------
        MalformedObject
            If the name of the zone is malformed, or the version can't be right.
        """
        if error := zone_error(zone) or era_error(version, self.era.current):
            raise MalformedObject(error)
        is_unlisted = is_evacuation(version) and version < self.listed_version
        if is_unlisted:
            is_same_era = era_of(version) == era_of(self.listed_version)
            if is_same_era or now - self.era_began_at > REWRITE_MS:
                if zone not in self.zones.evacuated:
                    self.put(now, zone, self.listed_version, "store")
                return False
        self.note_change(now, zone, version, "peer")
        if is_unlisted:
            self.end_unless_rewritten(now, zone)
        return True

    def put(self, now: int, zone: str, version: int, source: str) -> None:
        """Keep a newer record and replicate it to other balancers."""
        if version > self.zones.version(zone):
            self.note_change(now, zone, version, source)
            self.gossip.put(evacuation_key(zone), version, b"")

    def note_change(self, now: int, zone: str, version: int, source: str) -> None:
        """Keep a newer record and report a change of the zone's state."""
        if not self.zones.put(now, zone, version):
            return
        if is_evacuation(version):
            self.report(6316, zone=zone, version=version, source=source)
        else:
            self.report(6317, zone=zone, version=version, source=source)

    def notices(self, now: int, view: MemberView) -> list[Evacuation]:
        """Return what to tell a member of its zone together with a ping.

        One that takes no flows may have missed that its zone is in use again. A list
        without the zone proves that only once the operator has had the time to write a
        lost evacuation again.
        """
        zone = view.member.zone
        version = self.zones.version(zone)
        changed_at = self.zones.changed_at.get(zone)
        is_recent = changed_at is not None and now - changed_at <= REMOVAL_NOTICE_MS
        if zone in self.zones.evacuated or is_recent:
            return [Evacuation(zone, version)]
        if now - self.era_began_at > REWRITE_MS:
            version = max(version, self.listed_version)
        if self.is_followed and version and view.refused_until > now:
            return [Evacuation(zone, version)]
        return []
