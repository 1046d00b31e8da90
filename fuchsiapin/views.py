"""Views of a service's members, with the owner and the witness of each flow.

The owner serves a flow; the witness keeps copies of its records and observations.
"""

from functools import lru_cache

from fuchsiapin.messages import Member, ServiceMembership, View
from fuchsiapin.ranking import rank_members, top_ranked_finder

__all__ = ["Pair", "Placement", "ViewHistory", "pair_of"]

PLACEMENT_CACHE_SIZE = 8_192
"""Number of flows whose pair is cached per view."""

Pair = tuple[Member | None, Member | None]
"""Owner and witness of a flow."""


def pair_of(key: bytes, members: list[Member]) -> Pair:
    """Return the owner and the witness of a flow among the members of a view.

    Parameters
    ----------
    key : bytes
        Flow key.
    members : list of Member
        Members of the view in any state; only live ones are considered.

    Returns
    -------
    tuple of Member or None
        The owner is the highest ranked member. The witness is the next one in
        another availability zone, or the second ranked if no other zone has one.
        Either is None if there are too few members.
    """
    live = [member for member in members if member.state == "live"]
    ranked = rank_members(key, live, len(live))
    if not ranked:
        return None, None
    owner, others = ranked[0], ranked[1:]
    for member in others:
        if member.zone != owner.zone:
            return owner, member
    return owner, (others[0] if others else None)


class Placement:
    """Owner and witness of each flow in one view, with a bounded cache.

    Parameters
    ----------
    view : View
        The view.
    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.number = view.number
        self.pair = lru_cache(maxsize=PLACEMENT_CACHE_SIZE)(self.compute)
        """Cached function that returns the owner and the witness of a flow."""
        live = [member for member in view.members if member.state == "live"]
        self.owner = top_ranked_finder(live)
        """Function that returns the owner of a flow, without its witness."""

    def compute(self, key: bytes) -> Pair:
        """Compute the owner and the witness of a flow, without the cache."""
        return pair_of(key, self.view.members)


class ViewHistory:
    """The newest view of a service and earlier views whose flows may be claimed.

    Attributes
    ----------
    placements : list of Placement
        Oldest first; the last is the newest view.
    is_cut : bool
        Whether views whose flows may still have to be claimed were left out.
    """

    def __init__(self) -> None:
        self.placements: list[Placement] = []
        self.is_cut = False

    @property
    def number(self) -> int:
        """Number of the newest view, 0 if there is none."""
        return self.placements[-1].number if self.placements else 0

    @property
    def newest(self) -> Placement | None:
        """Placement of the newest view."""
        return self.placements[-1] if self.placements else None

    def members(self) -> list[Member]:
        """Return the members of the newest view."""
        return self.placements[-1].view.members if self.placements else []

    def earlier(self) -> list[Placement]:
        """Return the placements before the newest one, latest first."""
        return self.placements[-2::-1]

    def adopt(self, membership: ServiceMembership) -> bool:
        """Adopt a membership object; return whether it was newer.

        An object with a lower or equal view number is ignored: views never revert.
        """
        if membership.view.number <= self.number:
            return False
        views = [*membership.history, membership.view]
        self.is_cut = membership.is_cut
        known = {placement.number: placement for placement in self.placements}
        self.placements = [known.get(view.number) or Placement(view) for view in views]
        return True
