"""State of searches for the holders of flows, and the numbers that tell them apart."""

from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.packets import Packet
from fuchsiapin.lightclasses import dataclass

__all__ = [
    "HOPS_PER_SEARCH",
    "MAX_FIRST_NUMBER",
    "FailedSearch",
    "OpenSearch",
    "Search",
    "SearchStep",
    "first_hops",
    "search_key",
    "search_number",
]

HOPS_PER_SEARCH = 1 << 17
"""Range of the count of hops within one search; more than a deployment has members."""
MAX_FIRST_NUMBER = 1 << 30
"""Upper bound of the number before that of a process's first search."""
PARTS_OF_CHAIN = 8
"""Chains into which one that isn't answered is split."""


@dataclass(frozen=True)
class Search:
    """A search for a flow's holder.

    Parameters
    ----------
    remaining_services : list of str
        Services whose members weren't asked yet.
    asked_ids : frozenset of str
        Ids of the members that were asked, including the one that returned the packet
        before the search; suspect members are skipped unless all members of a service
        are suspect.
    is_repeated : bool
        Whether it repeats an earlier search without a new packet of the caller.
    has_all_services : bool
        Whether it includes services that the route isn't known to have had.
    service : str
        Service whose members are asked now.
    next_chains : tuple of tuple of str
        Addresses of those of its members that are asked next, by availability zone.
    """

    remaining_services: list[str]
    asked_ids: frozenset[str]
    is_repeated: bool = False
    has_all_services: bool = False
    service: str = ""
    next_chains: tuple[tuple[str, ...], ...] = ()


class SearchStep:
    """Chains of members that are asked at the same time.

    Attributes
    ----------
    search : Search
        The search that they belong to.
    chains : dict of int to tuple of str
        Addresses of the members of each chain that hasn't returned the packet, by the
        number of the chain.
    waiting_hosts : set of str
        Addresses of the members that haven't denied the flow yet. A chain that was
        split may still return the packet, for all its members.
    is_done : bool
        Whether the search went on without the members that don't answer.
    """

    __slots__ = ("chains", "is_done", "search", "waiting_hosts")

    def __init__(self, search: Search) -> None:
        self.search = search
        self.chains: dict[int, tuple[str, ...]] = {}
        self.waiting_hosts: set[str] = set()
        self.is_done = False

    def add(self, number: int, hosts: tuple[str, ...]) -> None:
        """Add a chain that the packet is sent along."""
        self.chains[number] = hosts
        self.waiting_hosts.update(hosts)

    def note_returned(self, number: int) -> None:
        """Record that the last member of a chain returned the packet."""
        self.waiting_hosts.difference_update(self.chains.pop(number, ()))

    def overdue_parts(self) -> list[tuple[str, ...]]:
        """Return the parts into which to split the chains that are still open.

        A member that neither holds the flow nor passes the packet on keeps the packet
        from those that follow it. None are returned once each member that hasn't
        answered was asked alone.
        """
        last_asked = {
            host: hosts
            for hosts in self.chains.values()
            for host in hosts
            if host in self.waiting_hosts
        }
        return [
            part
            for hosts in dict.fromkeys(last_asked.values())
            if len(hosts) > 1
            for part in split_chain(hosts)
        ]


def split_chain(hosts: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Return a chain of members as up to `PARTS_OF_CHAIN` chains, in order.

    Examples
    --------
    >>> split_chain(("a", "b"))
    [('a',), ('b',)]
    >>> [len(part) for part in split_chain(("a",) * 50)]
    [7, 7, 7, 7, 7, 7, 7, 1]
    """
    size = -(-len(hosts) // PARTS_OF_CHAIN)
    return [hosts[start : start + size] for start in range(0, len(hosts), size)]


class OpenSearch:
    """A flow whose holder is being searched, and its further packets.

    Attributes
    ----------
    started_at : int
        When the search started, in ms.
    packets : list of Packet
        Packets that arrived since; they go to the holder once it is known.
    """

    __slots__ = ("packets", "started_at")

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at
        self.packets: list[Packet] = []


def first_hops(number: int) -> int:
    """Return the count of hops with which the packet of a numbered search starts.

    Side processes add their hops to it, so that `search_number` can tell which of
    several searches for a flow a returned packet answers.
    """
    return -number * HOPS_PER_SEARCH


def search_key(flow: bytes, number: int) -> bytes:
    """Return the key of a numbered search for a flow."""
    return flow + number.to_bytes(8, "big")


def search_number(hops: int) -> int:
    """Return the number of the search from a returned packet's count of hops.

    Examples
    --------
    >>> search_number(first_hops(7)), search_number(first_hops(7) + 1_000)
    (7, 7)
    """
    return max(0, -(hops // HOPS_PER_SEARCH))


@dataclass(frozen=True)
class FailedSearch:
    """A flow that every known member denied, until other balancers confirm that.

    Parameters
    ----------
    inquiry : Inquiry
        The question to the other balancers.
    failed_at : int
        When the last member had denied the flow, in ms.
    ids_hash : int
        Hash over the members then.
    asked_ids : frozenset of str
        Ids of the members that denied the flow.
    """

    inquiry: Inquiry
    failed_at: int
    ids_hash: int
    asked_ids: frozenset[str] = frozenset()
