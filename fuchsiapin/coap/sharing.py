"""Scheduling of waiting requests: which is next, and which classes may queue.

References
----------
.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", IEEE/ACM
   Transactions on Networking, 1997.
"""

from collections.abc import Iterable, Iterator, Mapping

from fuchsiapin.coap.requests import Request
from fuchsiapin.policy import admitters

__all__ = ["InOrder", "Shares"]


@admitters.register("in-order")
class InOrder:
    """Starts requests in the order of the queue, without regard to classes."""

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Set the shares of the classes of the service."""

    def may_wait(self, queue: Iterable[Request], limit: int, tenant: str) -> bool:
        """Return whether one more request of a class may be queued."""
        return sum(1 for _ in queue) < limit

    def in_turn(self, queue: Iterable[Request]) -> Iterator[Request]:
        """Return the queued requests, the next one first."""
        return iter(queue)

    def note_started(self, tenant: str) -> None:
        """Account for a request of a class that took a slot."""


@admitters.register("shares")
class Shares(InOrder):
    """Divides slots and the queue among classes by their shares [1]_.

    Attributes
    ----------
    served : dict
        Virtual time of each class: started requests divided by its share.

    Examples
    --------
    >>> shares = Shares()
    >>> shares.set_shares({"shops": 3, "parents": 1})
    >>> shares.may_wait([], 4, "parents"), shares.place_limit(4, "parents")
    (True, 1)
    """

    def __init__(self) -> None:
        self.shares: dict[str, int] = {}
        self.served: dict[str, float] = {}

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Set the shares of the classes of the service."""
        self.shares = dict(shares)
        self.served = {name: self.served.get(name, 0.0) for name in shares}

    def share_of(self, tenant: str) -> int:
        """Return the share of a class; callers without a class have the least, 1."""
        return max(1, self.shares.get(tenant, 1))

    def place_limit(self, limit: int, tenant: str) -> int:
        """Return how many requests of a class may be queued."""
        total = sum(max(1, share) for share in self.shares.values())
        if not total:
            return limit
        return max(1, limit * self.share_of(tenant) // total)

    def may_wait(self, queue: Iterable[Request], limit: int, tenant: str) -> bool:
        """Return whether one more request of a class may be queued."""
        waiting = sum(1 for request in queue if request.tenant == tenant)
        return waiting < self.place_limit(limit, tenant)

    def in_turn(self, queue: Iterable[Request]) -> Iterator[Request]:
        """Return the queued requests, those of the least served class first."""
        if len(self.shares) < 2:
            return iter(queue)
        waiting = list(queue)
        present = {request.tenant for request in waiting}
        self.forget_idle(present)
        return iter(sorted(waiting, key=lambda r: self.served.get(r.tenant, 0.0)))

    def forget_idle(self, present: set[str]) -> None:
        """Raise idle classes to the least virtual time of the waiting classes.

        A class must not accumulate a claim to slots while it is idle.
        """
        floor = min((self.served.get(name, 0.0) for name in present), default=0.0)
        for name in self.served:
            if name not in present:
                self.served[name] = max(self.served[name], floor)

    def note_started(self, tenant: str) -> None:
        """Account for a request of a class that took a slot."""
        if tenant in self.served or len(self.served) <= len(self.shares):
            served = self.served.get(tenant, 0.0)
            self.served[tenant] = served + 1 / self.share_of(tenant)
