"""Scheduling of waiting requests: which is next, and which classes may queue.

References
----------
.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", IEEE/ACM
   Transactions on Networking, 1997.
"""

from collections.abc import Iterable, Iterator, Mapping

from fuchsiapin.coap.requests import Request
from fuchsiapin.policy import admission_policies

__all__ = ["InOrder", "Shares"]


@admission_policies.register("in-order")
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

    def on_started(self, tenant: str) -> None:
        """Account for a request of a class that took a slot."""


@admission_policies.register("shares")
class Shares(InOrder):
    """Divides slots and the queue among classes by their shares [1]_.

    Attributes
    ----------
    virtual_times : dict
        Virtual time of each class: started requests divided by its share.

    Examples
    --------
    >>> shares = Shares()
    >>> shares.set_shares({"shops": 3, "parents": 1})
    >>> shares.may_wait([], 4, "parents"), shares.class_queue_limit(4, "parents")
    (True, 1)
    """

    def __init__(self) -> None:
        self.shares: dict[str, int] = {}
        self.virtual_times: dict[str, float] = {}

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Set the shares of the classes of the service."""
        self.shares = dict(shares)
        self.virtual_times = {
            name: self.virtual_times.get(name, 0.0) for name in shares
        }

    def share_of(self, tenant: str) -> int:
        """Return the share of a class; callers without a class have the least, 1."""
        return max(1, self.shares.get(tenant, 1))

    def class_queue_limit(self, limit: int, tenant: str) -> int:
        """Return how many requests of a class may be queued."""
        total = sum(max(1, share) for share in self.shares.values())
        if not total:
            return limit
        return max(1, limit * self.share_of(tenant) // total)

    def may_wait(self, queue: Iterable[Request], limit: int, tenant: str) -> bool:
        """Return whether one more request of a class may be queued."""
        waiting = sum(1 for request in queue if request.tenant == tenant)
        return waiting < self.class_queue_limit(limit, tenant)

    def in_turn(self, queue: Iterable[Request]) -> Iterator[Request]:
        """Return the queued requests, those of the least served class first."""
        if len(self.shares) < 2:
            return iter(queue)
        waiting = list(queue)
        present = {request.tenant for request in waiting}
        self.catch_up_idle(present)
        return iter(
            sorted(waiting, key=lambda r: self.virtual_times.get(r.tenant, 0.0))
        )

    def catch_up_idle(self, present: set[str]) -> None:
        """Raise idle classes to the least virtual time of the waiting classes.

        An idle class must not accumulate credit.
        """
        floor = min(
            (self.virtual_times.get(name, 0.0) for name in present), default=0.0
        )
        for name in self.virtual_times:
            if name not in present:
                self.virtual_times[name] = max(self.virtual_times[name], floor)

    def on_started(self, tenant: str) -> None:
        """Account for a request of a class that took a slot."""
        # There is room for one more than the classes: callers without a class.
        if tenant in self.virtual_times or len(self.virtual_times) <= len(self.shares):
            virtual_time = self.virtual_times.get(tenant, 0.0)
            self.virtual_times[tenant] = virtual_time + 1 / self.share_of(tenant)
