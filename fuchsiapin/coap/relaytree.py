"""Trees of balancers along which the zones distribute stored objects."""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from fuchsiapin.messages import BalancerMember, ZoneBalancers

__all__ = [
    "Contact",
    "RelayTree",
    "parent_positions",
    "parents_of_side",
    "rank_balancers",
]

ROOTS_PER_ZONE = 2
"""Balancers of a zone that watch the object API."""
FANOUT = 8
"""Balancers that one balancer forwards changes to."""
MAX_PARENT_CANDIDATES = 6
"""Balancers that a side process, or a balancer outside the tree, tries as its parent.

They are of its own zone; after them it tries the roots.
"""


@dataclass(frozen=True)
class Contact:
    """Address at which a process receives messages; the id is empty if unknown."""

    id: str
    host: str
    port: int


def rank_balancers(key: str, zone: ZoneBalancers | None) -> list[BalancerMember]:
    """Return the live balancers of a zone, ranked by rendezvous hashing with a key."""
    members = zone.members if zone else []
    live = [member for member in members if member.state == "live"]
    return sorted(
        live, key=lambda member: xxh3_64_intdigest(f"{key}|{member.id}".encode())
    )


def contact_of(member: BalancerMember) -> Contact:
    """Return the contact of a balancer."""
    return Contact(member.id, member.host, member.port)


def parent_positions(position: int) -> list[int]:
    """Return the positions that a balancer tries as its parent, in this order.

    They are its ancestors, nearest first, and then the remaining roots; a root has
    none. The positions form trees with `ROOTS_PER_ZONE` roots, laid out as in a d-ary
    heap: each node has up to `FANOUT` children. A parent always has a lower position
    than its child, so that there are no cycles.

    Examples
    --------
    >>> parent_positions(1), parent_positions(9), parent_positions(400)
    ([], [0, 1], [49, 5, 0, 1])
    """
    positions: list[int] = []
    while position >= ROOTS_PER_ZONE:
        position = (position - ROOTS_PER_ZONE) // FANOUT
        positions.append(position)
    roots = [root for root in range(ROOTS_PER_ZONE) if root not in positions]
    return [*positions, *roots] if positions else []


def parents_of_side(name: str, zone: ZoneBalancers | None) -> list[Contact]:
    """Return the balancers of its zone that a side process tries as its parent."""
    ranked = rank_balancers(f"side|{name}", zone)
    return [contact_of(member) for member in ranked[:MAX_PARENT_CANDIDATES]]


class RelayTree:
    """The trees of all availability zones whose object is known here.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.zones: dict[str, ZoneBalancers] = {}
        self.ranked: dict[str, list[BalancerMember]] = {}

    def update(self, balancers: ZoneBalancers) -> bool:
        """Update a zone's tree if the object is newer; return whether it was."""
        current = self.zones.get(balancers.zone)
        if current is not None and balancers.number <= current.number:
            return False
        self.zones[balancers.zone] = balancers
        self.ranked[balancers.zone] = rank_balancers(
            f"tree|{balancers.zone}", balancers
        )
        return True

    def position_of(self, name: str) -> int | None:
        """Return the position of a balancer in the tree of this zone."""
        for position, member in enumerate(self.ranked.get(self.zone, [])):
            if member.id == name:
                return position
        return None

    def is_root(self, name: str) -> bool:
        """Return whether a balancer is a root of this zone."""
        roots = self.ranked.get(self.zone, [])[:ROOTS_PER_ZONE]
        return any(member.id == name for member in roots)

    def roots(self, name: str) -> list[Contact]:
        """Return the roots of all zones but the balancer `name`, this zone's first."""
        others = sorted(zone for zone in self.ranked if zone != self.zone)
        return [
            contact_of(member)
            for zone in [self.zone, *others]
            for member in self.ranked.get(zone, [])[:ROOTS_PER_ZONE]
            if member.id != name
        ]

    def parent_candidates(self, name: str) -> list[Contact]:
        """Return the candidate parents of a balancer in this zone.

        While it is not in the tree, they are chosen by rendezvous hashing.
        """
        ranked = self.ranked.get(self.zone, [])
        position = self.position_of(name)
        if position is None:
            ranked_by_name = sorted(
                ranked, key=lambda m: xxh3_64_intdigest(f"{name}|{m.id}".encode())
            )
            return [
                contact_of(member) for member in ranked_by_name[:MAX_PARENT_CANDIDATES]
            ]
        return [contact_of(ranked[parent]) for parent in parent_positions(position)]
