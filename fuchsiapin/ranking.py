"""Ranking of members for a flow.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking, 1998.
.. [2] J. Schindelhauer and G. Schomaker, "Weighted distributed hash tables",
   SPAA 2005.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from fuchsiapin.registry import Registry

if TYPE_CHECKING:
    from fuchsiapin.messages import Member

__all__ = [
    "top_ranked_finder",
    "flow_key",
    "incarnation_key",
    "member_key",
    "rank_members",
    "ranking_policies",
    "hash_seed",
]

ranking_policies = Registry("ranking policy")
"""Functions that rank members for a flow."""

MAX_SEEDS = 65_536
"""Maximum number of members whose seed is cached."""
HASH_RANGE = float(2**64)


def flow_key(service: str, host: str, port: int) -> bytes:
    """Return the key of a caller's flow at a service.

    Examples
    --------
    >>> flow_key("ledger", "10.0.0.1", 4000)
    b'ledger|10.0.0.1|4000'
    """
    return f"{service}|{host}|{port}".encode()


def incarnation_key(name: str, incarnation: int) -> str:
    """Return the key of one incarnation of a member.

    Examples
    --------
    >>> incarnation_key("ledger-1", 7)
    'ledger-1#7'
    """
    return f"{name}#{incarnation}"


def member_key(member: Member) -> str:
    """Return the key of a member's incarnation."""
    return incarnation_key(member.id, member.incarnation)


@lru_cache(maxsize=MAX_SEEDS)
def hash_seed(name: str) -> int:
    """Return the hash seed of a member."""
    return xxh3_64_intdigest(name.encode())


def top_ranked_finder(members: Sequence[Member]) -> Callable[[bytes], Member | None]:
    """Return a function that finds the highest ranked member for a key.

    Notes
    -----
    Among members of equal weight the greatest digest wins, which saves computing
    the logarithm and sorting the other members.
    """
    if not members:
        return lambda key: None
    if len({max(member.weight, 1) for member in members}) > 1:
        return lambda key: rank_members(key, members, 1)[0]
    seeded = [(hash_seed(member.id), member) for member in members]

    def find(key: bytes) -> Member:
        highest, first = -1, members[0]
        for seed, member in seeded:
            digest = xxh3_64_intdigest(key, seed)
            if digest > highest:
                highest, first = digest, member
        return first

    return find


@ranking_policies.register("rendezvous")
def rank_members(
    key: bytes, members: Iterable[Member], count: int = 2
) -> Sequence[Member]:
    """Rank members for a key by weighted rendezvous hashing [1]_ [2]_.

    Parameters
    ----------
    key : bytes
        Flow key.
    members : iterable of Member
        Members that may own flows. The weight of a member is its connections; 0 counts
        as 1.
    count : int
        Maximum number of members to return.

    Returns
    -------
    list of Member
        The highest ranked first.

    Notes
    -----
    A member that joins or leaves moves only its own share of the flows. The hash
    does not include the incarnation, so that a restart in place moves no flows.
    """
    scored = []
    for member in members:
        digest = xxh3_64_intdigest(key, seed=hash_seed(member.id))
        uniform = (digest + 1) / (HASH_RANGE + 1)
        scored.append((-max(member.weight, 1) / math.log(uniform), member.id, member))
    scored.sort(reverse=True)
    return [member for _, _, member in scored[:count]]
