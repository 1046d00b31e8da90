"""Bounded tables of flows that evict the least recently used."""

from collections import OrderedDict
from typing import Any

__all__ = ["FlowCache"]


class FlowCache:
    """Values by flow key, limited in number and in idle time.

    Parameters
    ----------
    size : int
        Maximum number of entries.
    keep_ms : int
        Idle time after which an entry expires.

    Examples
    --------
    >>> cache = FlowCache(size=1, keep_ms=100)
    >>> cache.put(b"a", 1, now=0)
    >>> cache.put(b"b", 2, now=0)
    >>> cache.get(b"a", now=1), cache.get(b"b", now=1), cache.get(b"b", now=200)
    (None, 2, None)
    """

    def __init__(self, size: int, keep_ms: int) -> None:
        self.size = size
        self.keep_ms = keep_ms
        self.entries: OrderedDict[bytes, tuple[Any, int]] = OrderedDict()

    def get(self, key: bytes, now: int) -> Any:
        """Return the value of a flow and renew its entry; None if there is none."""
        entry = self.entries.get(key)
        if entry is None:
            return None
        value, used = entry
        if now - used > self.keep_ms:
            del self.entries[key]
            return None
        self.entries[key] = (value, now)
        self.entries.move_to_end(key)
        return value

    def put(self, key: bytes, value: Any, now: int) -> None:
        """Store the value of a flow."""
        self.entries[key] = (value, now)
        self.entries.move_to_end(key)
        if len(self.entries) > self.size:
            self.entries.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Remove the entry of a flow."""
        self.entries.pop(key, None)

    def __len__(self) -> int:
        return len(self.entries)
