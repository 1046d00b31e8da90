"""Queue of new flows that wait beside their upstream while it is busy.

An upstream serves requests in the order of arrival. After many processes stopped,
or in a burst, that order serves every request late: each one waits behind those
whose callers have already waited too long. New flows are therefore given to the
upstream only while it has room, and this module decides the order of those that wait.
"""

from collections.abc import Iterable
from typing import Any

from fuchsiapin.lightclasses import dataclass
from fuchsiapin.registry import Registry

__all__ = ["MAX_WAIT_MS", "OpeningQueue", "WaitingOpening", "orders", "max_in_flight"]

orders = Registry("order of waiting flows")

MAX_WAIT_MS = 500
"""Longest wait in the queue; callers send their last retransmission after 600 ms, and
give up after 1.4 s."""
IN_FLIGHT_PER_SLOT = 2
"""Requests given to the upstream per slot: one that runs and one that follows it
immediately."""
RESERVED_MS = 100
"""A flow that has sent no request this long after it was given to the upstream doesn't
count as in flight any more."""


@dataclass(frozen=True)
class WaitingOpening:
    """A new flow that waits.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    message : Forward
        Message with the latest retransmission of its opening packet.
    queued_at : int
        When its first opening packet was received, in ms.
    priority : int
        Priority of its route; 0 is the highest.
    """

    flow: bytes
    message: Any
    queued_at: int
    priority: int


def max_in_flight(slots: int) -> int:
    """Return the maximum number of requests in flight at an upstream.

    It is `IN_FLIGHT_PER_SLOT` for each slot and one more.
    """
    return IN_FLIGHT_PER_SLOT * slots + 1


@orders.register("newest first")
def newest_first(waiting: Iterable[WaitingOpening]) -> WaitingOpening:
    """Return the flow to give to the upstream next: by priority, then the newest.

    Intended for temporary overload, after restarts and in bursts: the newest flows can
    still be served in time, while those that have waited long are late either way.
    """
    return min(waiting, key=lambda item: (item.priority, -item.queued_at))


@orders.register("oldest first")
def oldest_first(waiting: Iterable[WaitingOpening]) -> WaitingOpening:
    """Return the flow to give to the upstream next: by priority, then the oldest."""
    return min(waiting, key=lambda item: (item.priority, item.queued_at))


class OpeningQueue:
    """New flows that wait beside one upstream.

    Parameters
    ----------
    order : str
        Name of the registered order.
    """

    def __init__(self, order: str = "newest first") -> None:
        self.choose = orders.get(order)
        self.queued: dict[bytes, WaitingOpening] = {}

    def __len__(self) -> int:
        return len(self.queued)

    def put(self, now: int, flow: bytes, message: Any, priority: int) -> None:
        """Add a flow, or replace its message by that of a retransmission."""
        known = self.queued.get(flow)
        queued_at = known.queued_at if known is not None else now
        self.queued[flow] = WaitingOpening(flow, message, queued_at, priority)

    def take(self) -> WaitingOpening | None:
        """Remove and return the next flow, None if there is none."""
        if not self.queued:
            return None
        chosen = self.choose(self.queued.values())
        return self.queued.pop(chosen.flow)

    def take_expired(self, now: int) -> list[WaitingOpening]:
        """Remove and return the flows that have waited too long."""
        expired = [
            item for item in self.queued.values() if now - item.queued_at >= MAX_WAIT_MS
        ]
        for item in expired:
            del self.queued[item.flow]
        return expired

    def take_excess(self, slots: int, service_ms: float) -> list[WaitingOpening]:
        """Remove and return the oldest flows of a queue that is too long.

        At most as many flows are kept as the upstream can serve within `MAX_WAIT_MS`,
        and at least one for each slot. The oldest are removed whatever the order.
        """
        max_waiting = max(int(slots * MAX_WAIT_MS / max(service_ms, 1.0)), slots)
        oldest = sorted(self.queued.values(), key=lambda item: item.queued_at)
        extra = oldest[: max(0, len(oldest) - max_waiting)]
        for item in extra:
            del self.queued[item.flow]
        return extra

    def clear(self) -> list[WaitingOpening]:
        """Remove and return all flows."""
        items = list(self.queued.values())
        self.queued.clear()
        return items
