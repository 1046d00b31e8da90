"""Pacing of uploads over the link of a balancer's VM.

A caller sends up to 16 packets of an upload at once. Two such bursts overflow the queue
of a narrow link, which drops the packets of other callers with them, and each of these
waits 200 ms or more for a retransmission. Packets of uploads are therefore spaced out
here. Callers send more only as upstreams acknowledge, so their uploads slow down to the
rate at which they are forwarded.
"""

import math
from collections import Counter, OrderedDict
from typing import Any

__all__ = ["BULK_SHARE", "LinkPacer", "bytes_per_ms"]

BULK_SHARE = 0.85
"""Share of the link's bandwidth that packets of uploads get; the rest is for other
packets and for headers."""
BURST_MS = 10
"""Time by which the packets sent in a burst may be ahead of the rate."""
MAX_QUEUE_MS = 400
"""Longest time that packets wait, at the rate; a caller's second retransmission comes
after 600 ms."""
BYTES_PER_MS_PER_MBPS = 125


def bytes_per_ms(link_mbps: float) -> float:
    """Return the rate of uploads over a link.

    Examples
    --------
    >>> bytes_per_ms(10)
    1062.5
    """
    return link_mbps * BYTES_PER_MS_PER_MBPS * BULK_SHARE


class LinkPacer:
    """Queue of packets of uploads that wait until the link has room for them.

    Parameters
    ----------
    rate : float
        Bytes per ms.

    Attributes
    ----------
    free_at : float
        Time until which the link is taken by what was sent, in ms.
    waiting : OrderedDict
        What waits, the oldest first, by flow, sequence number and size in bytes. An
        acknowledgement has the sequence number of the data that follow it.

    Examples
    --------
    >>> pacer = LinkPacer(100)
    >>> [pacer.admits(100, b"f", True, 1_000) for _ in range(3)]
    [True, True, False]
    >>> pacer.put(100, b"f", 3, 1_000, "third")
    True
    >>> pacer.next_due(), pacer.take(105), pacer.take(110)
    (110, [], ['third'])
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0
        self.waiting: OrderedDict[tuple[bytes, int, int], Any] = OrderedDict()
        self.waiting_bytes = 0
        self.waiting_by_flow: Counter[bytes] = Counter()

    def admits(self, now: int, flow: bytes, is_bulk: bool, size: int) -> bool:
        """Return whether a packet may be sent now, and count it as sent if so.

        Only packets of uploads wait, and those of a flow of which others wait already.
        """
        if flow in self.waiting_by_flow:
            return False
        if is_bulk and (self.waiting or self.free_at > now):
            return False
        self.note_sent(now, size)
        return True

    def note_sent(self, now: int, size: int) -> None:
        """Count a packet as sent."""
        self.free_at = max(self.free_at, now - BURST_MS) + size / self.rate

    def put(self, now: int, flow: bytes, sequence: int, size: int, item: Any) -> bool:
        """Let a packet wait; return whether it does.

        A retransmission of a packet that waits, and one that would wait for too long,
        are dropped.
        """
        key = flow, sequence, size
        wait_ms = self.free_at - now + self.waiting_bytes / self.rate
        if key in self.waiting or wait_ms > MAX_QUEUE_MS:
            return False
        self.waiting[key] = item
        self.waiting_bytes += size
        self.waiting_by_flow[flow] += 1
        return True

    def take(self, now: int) -> list[Any]:
        """Remove and return the items that may be sent now."""
        items = []
        while self.waiting and self.free_at <= now:
            (flow, _, size), item = self.waiting.popitem(last=False)
            self.waiting_bytes -= size
            self.waiting_by_flow[flow] -= 1
            if not self.waiting_by_flow[flow]:
                del self.waiting_by_flow[flow]
            self.note_sent(now, size)
            items.append(item)
        return items

    def next_due(self) -> int | None:
        """Return when the next item may be sent, in ms, None if none waits."""
        return math.ceil(self.free_at) if self.waiting else None
