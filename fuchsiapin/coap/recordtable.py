"""Bounded table of the records of recent requests."""

import heapq
from collections.abc import Iterator

from fuchsiapin.messages import Record

__all__ = ["RecordTable"]

STATE_RANK = {"intent": 0, "unknown": 1, "refused": 1, "done": 2}
"""Rank of each record state by how conclusive it is about the outcome."""


def is_less_conclusive(record: Record, current: Record) -> bool:
    """Return whether a record is less conclusive about the outcome."""
    return not record.response or STATE_RANK[record.state] < STATE_RANK[current.state]


class RecordTable:
    """Records by request digest, each kept until it expires.

    Parameters
    ----------
    limit : int
        Bound on the records. The table doesn't enforce it: a witness declines new
        records without a response once it is reached. No record is evicted before
        it expires.
    """

    def __init__(self, limit: int = 100_000) -> None:
        self.limit = limit
        self.records: dict[bytes, Record] = {}
        self.expiries: list[tuple[int, bytes]] = []

    def __len__(self) -> int:
        return len(self.records)

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records.values())

    @property
    def is_full(self) -> bool:
        """Whether the table has reached its limit."""
        return len(self.records) >= self.limit

    def get(self, key: bytes) -> Record | None:
        """Return the record of a request, None if there is none."""
        return self.records.get(key)

    def put(self, record: Record) -> None:
        """Store a record.

        A stored record with a response is replaced only by one with a response
        whose state ranks at least as high.
        """
        current = self.records.get(record.key)
        if (
            current is not None
            and current.response
            and is_less_conclusive(record, current)
        ):
            return
        if current is None:
            heapq.heappush(self.expiries, (record.expires, record.key))
        self.records[record.key] = record

    def drop(self, key: bytes) -> None:
        """Delete the record of a request that was withdrawn before it could run."""
        self.records.pop(key, None)

    def expire(self, now: int) -> None:
        """Delete the expired records."""
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heapq.heappop(self.expiries)
            record = self.records.get(key)
            if record is not None and record.expires <= now:
                del self.records[key]
