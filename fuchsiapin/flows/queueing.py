"""Queue of new flows that wait beside their upstream while it is busy.

An upstream serves requests in the order of arrival. After many processes stopped,
or in a burst, that order serves every request late: each one waits behind those
whose callers have already waited too long. New flows are therefore given to the
upstream only while it has room, and this module decides the order of those that wait.
"""

from typing import Any

from fuchsiapin.flows.serviceclass import ServiceClass
from fuchsiapin.lightclasses import dataclass
from fuchsiapin.registry import Registry

__all__ = [
    "MAX_WAIT_MS",
    "PREFERRED_FACTOR",
    "OpeningQueue",
    "WaitingOpening",
    "max_in_flight",
    "orders",
]

orders = Registry("order of waiting flows")

MAX_WAIT_MS = 500
"""Longest wait in the queue; callers send their last retransmission after 600 ms, and
give up after 1.4 s."""
EXTRA_IN_FLIGHT = 2
"""Requests given to the upstream beyond its slots: while one ends, the next one is
there, and another flow that was let in sends its request."""
PREFERRED_FACTOR = 2
"""Multiple of the usual limit up to which flows are given to the upstream ahead of
requests of a lower priority; upstreams queue a few requests beside their slots."""
COPY_AGES_MS = (0, 200, 600)
"""Time from the first opening packet to each of its copies, by the copy's number."""
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
    retransmissions : int
        Number of the latest retransmission of its opening packet, 0 for the first
        packet. Unlike `queued_at` it tells the age of a flow that waited elsewhere.
    started_at : int
        When its caller sent the first opening packet, in ms, as far as the numbers of
        the received ones tell.
    target_latency_ms, deadline_ms : int
        Target latency and deadline of its route, 0 if unknown.
    returns : int
        Number of members that returned it early.
    """

    flow: bytes
    message: Any
    queued_at: int
    priority: int
    retransmissions: int = 0
    started_at: int = 0
    target_latency_ms: int = 0
    deadline_ms: int = 0
    returns: int = 0


def max_in_flight(slots: int) -> int:
    """Return the maximum number of requests in flight at an upstream.

    More than needed to keep the slots busy would wait there in the order of arrival.
    """
    return slots + EXTRA_IN_FLIGHT


@orders.register("fresh first")
def fresh_first(item: WaitingOpening) -> tuple[int, ...]:
    """Order by priority, then by retransmissions, then the newest first.

    Intended for temporary overload, after restarts and in bursts: flows whose callers
    had to repeat their opening packet are late either way. They come by many ways, with
    a retransmission after a restart or back from other members, and would otherwise
    count as new here.
    """
    return item.priority, item.retransmissions, -item.queued_at


@orders.register("newest first")
def newest_first(item: WaitingOpening) -> tuple[int, ...]:
    """Order by priority, then the newest first, as a baseline for comparison."""
    return item.priority, -item.queued_at


@orders.register("oldest first")
def oldest_first(item: WaitingOpening) -> tuple[int, ...]:
    """Order by priority, then the oldest first, as a baseline for comparison."""
    return item.priority, item.queued_at


class OpeningQueue:
    """New flows that wait beside one upstream.

    Parameters
    ----------
    order : str
        Name of the registered order.
    """

    def __init__(self, order: str = "fresh first") -> None:
        self.order_key = orders.get(order)
        self.queued: dict[bytes, WaitingOpening] = {}

    def __len__(self) -> int:
        return len(self.queued)

    def put(
        self,
        now: int,
        flow: bytes,
        message: Any,
        service_class: ServiceClass | int,
        retransmissions: int = 0,
        returns: int = 0,
    ) -> WaitingOpening:
        """Add a flow, or replace its message by that of a retransmission; return it.

        An integer as `service_class` is a priority.
        """
        if isinstance(service_class, int):
            service_class = ServiceClass(service_class)
        known = self.queued.get(flow)
        started_at = now - COPY_AGES_MS[min(retransmissions, len(COPY_AGES_MS) - 1)]
        item = self.queued[flow] = WaitingOpening(
            flow,
            message,
            known.queued_at if known is not None else now,
            service_class.priority,
            retransmissions,
            min(started_at, known.started_at) if known is not None else started_at,
            service_class.target_latency_ms,
            service_class.deadline_ms,
            returns,
        )
        return item

    def __contains__(self, flow: bytes) -> bool:
        return flow in self.queued

    def in_order(self) -> list[WaitingOpening]:
        """Return all flows, the next one first."""
        return sorted(self.queued.values(), key=self.order_key)

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        del self.queued[flow]

    def next_priority(self) -> int:
        """Return the priority of the next flow of a queue that isn't empty."""
        return min(self.queued.values(), key=self.order_key).priority

    def take(self) -> WaitingOpening | None:
        """Remove and return the next flow, None if there is none."""
        if not self.queued:
            return None
        chosen = min(self.queued.values(), key=self.order_key)
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
        """Remove and return the flows of a queue that is too long.

        At most as many flows are kept as the upstream can serve within `MAX_WAIT_MS`,
        and at least one for each slot.
        """
        return self.shorten(max(int(slots * MAX_WAIT_MS / max(service_ms, 1.0)), slots))

    def shorten(self, max_waiting: int) -> list[WaitingOpening]:
        """Remove and return the flows beyond a length of the queue.

        Those with the most retransmissions are removed first, among them the oldest,
        whatever the order.
        """
        if len(self.queued) <= max_waiting:
            return []
        oldest = sorted(
            self.queued.values(),
            key=lambda item: (-item.retransmissions, item.queued_at),
        )
        extra = oldest[: len(oldest) - max_waiting]
        for item in extra:
            del self.queued[item.flow]
        return extra

    def clear(self) -> list[WaitingOpening]:
        """Remove and return all flows."""
        items = list(self.queued.values())
        self.queued.clear()
        return items
