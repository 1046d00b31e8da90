"""Bounded tables of flows that evict the least recently used."""

from collections import OrderedDict
from typing import Any

__all__ = ["FlowCache"]


class FlowCache:
    """Values by flow key, limited in number and in idle time.

    Parameters
    ----------
    max_entries : int
        Maximum number of entries.
    max_idle_ms : int
        Idle time after which an entry expires.

    Examples
    --------
    >>> cache = FlowCache(max_entries=1, max_idle_ms=100)
    >>> cache.put(b"a", 1, now=0)
    >>> cache.put(b"b", 2, now=0)
    >>> cache.get(b"a", now=1), cache.get(b"b", now=1)
    (None, 2)
    >>> cache.expire(now=200)
    >>> len(cache)
    0
    """

    def __init__(self, max_entries: int, max_idle_ms: int) -> None:
        self.max_entries = max_entries
        self.max_idle_ms = max_idle_ms
        self.entries: OrderedDict[bytes, tuple[Any, int]] = OrderedDict()

    def get(self, key: bytes, now: int) -> Any:
        """Return the value of a flow and renew its entry; None if there is none."""
        entry = self.entries.get(key)
        if entry is None:
            return None
        value, used = entry
        if now - used > self.max_idle_ms:
            del self.entries[key]
            return None
        self.entries[key] = (value, now)
        self.entries.move_to_end(key)
        return value

    def put(self, key: bytes, value: Any, now: int) -> None:
        """Set the value of a flow."""
        self.entries[key] = (value, now)
        self.entries.move_to_end(key)
        if len(self.entries) > self.max_entries:
            self.entries.popitem(last=False)

    def expire(self, now: int) -> None:
        """Remove the entries that were idle for too long."""
        while self.entries:
            key, (_, used) = next(iter(self.entries.items()))
            if now - used <= self.max_idle_ms:
                return
            del self.entries[key]

    def remove(self, key: bytes) -> None:
        """Remove the entry of a flow."""
        self.entries.pop(key, None)

    def __len__(self) -> int:
        return len(self.entries)
