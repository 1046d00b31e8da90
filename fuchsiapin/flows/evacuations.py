"""Availability zones that operators have evacuated.

No new flow is given to the upstreams of an evacuated zone; open flows stay where they
are. This answers planned work on a zone: its upstreams become idle as their flows end.
"""

from fuchsiapin.flows.eras import MAX_ERA_STEP

__all__ = [
    "EVACUATIONS_PREFIX",
    "EvacuatedZones",
    "era_error",
    "era_of",
    "evacuation_key",
    "evacuation_version",
    "is_evacuation",
    "removal_version",
    "zone_error",
]

EVACUATIONS_PREFIX = "evacuations/"
ERA_SHIFT = 44
"""Bits below the store's era in a version; revisions are far below 2**43."""
ERA_MASK = 0x7FFFF
"""Bits of the era; messages carry numbers of up to 64 bits, the sign included."""
MAX_ZONE_BYTES = 255
"""Longest name of a zone. Messages between balancers name all zones of a bucket, and
must fit in a datagram."""


def zone_error(zone: str) -> str:
    """Return why a text can't be the name of a zone, empty if it can.

    Examples
    --------
    >>> zone_error("zone-a"), zone_error("")
    ('', 'the name of the zone is empty')
    """
    if not zone:
        return "the name of the zone is empty"
    try:
        size = len(zone.encode())
    except UnicodeEncodeError as error:
        return f"the name of the zone can't be encoded: {error.reason}"
    if size > MAX_ZONE_BYTES:
        return f"the name of the zone has {size} bytes, more than {MAX_ZONE_BYTES}"
    return ""


def evacuation_version(era: int, revision: int) -> int:
    """Return the version of an evacuation that was written at a revision.

    Examples
    --------
    >>> removal_version(0, 7) > evacuation_version(0, 7) > removal_version(0, 6)
    True
    >>> evacuation_version(2, 1) > removal_version(1, 900)
    True
    """
    return (era & ERA_MASK) << ERA_SHIFT | 2 * revision + 1


def removal_version(era: int, revision: int) -> int:
    """Return the version of the state without an evacuation, as of a revision."""
    return (era & ERA_MASK) << ERA_SHIFT | 2 * revision + 2


def is_evacuation(version: int) -> bool:
    """Return whether the version of a zone's record says that it is evacuated."""
    return version % 2 == 1


def era_of(version: int) -> int:
    """Return the store's era in a version."""
    return version >> ERA_SHIFT


def era_error(version: int, era: int) -> str:
    """Return why a version can't be told by another process, empty if it can.

    `era` is the newest known era of the store, 0 if none is known.

    Examples
    --------
    >>> era_error(evacuation_version(2, 7), 1), era_error(2**62, 0)
    ('', '')
    >>> era_error(2**62, 1)
    'version 4611686018427387904 is of era 262144, far above 1'
    """
    known = era & ERA_MASK
    if not era or era_of(version) <= known + MAX_ERA_STEP:
        return ""
    return f"version {version} is of era {era_of(version)}, far above {known}"


def evacuation_key(zone: str) -> str:
    """Return the key of a zone's record among the replicated objects."""
    return EVACUATIONS_PREFIX + zone


class EvacuatedZones:
    """The newest known record of each zone that was ever evacuated.

    A version replaces only lower ones, whichever way it arrived, so that neither an
    evacuation nor its removal outlives a newer record.

    Attributes
    ----------
    versions : dict
        Version of the record of each zone.
    changed_at : dict
        When this process learned of the latest change of each zone, in ms.
    evacuated : set of str
        Zones that are evacuated.

    Examples
    --------
    >>> zones = EvacuatedZones()
    >>> zones.put(0, "zone-a", evacuation_version(0, 5))
    True
    >>> zones.put(0, "zone-a", removal_version(0, 4)), zones.evacuated
    (False, {'zone-a'})
    >>> zones.put(0, "zone-a", removal_version(0, 5)), zones.evacuated
    (True, set())
    """

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.changed_at: dict[str, int] = {}
        self.evacuated: set[str] = set()

    def version(self, zone: str) -> int:
        """Return the version of a zone's record, 0 for none."""
        return self.versions.get(zone, 0)

    def put(self, now: int, zone: str, version: int) -> bool:
        """Keep a newer record; return whether it changes the zone's state."""
        if version <= self.version(zone):
            return False
        self.versions[zone] = version
        was_evacuated = zone in self.evacuated
        if is_evacuation(version) == was_evacuated:
            return False
        self.changed_at[zone] = now
        if was_evacuated:
            self.evacuated.remove(zone)
        else:
            self.evacuated.add(zone)
        return True
