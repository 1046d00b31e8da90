"""Objects that are longer than a datagram, sent between balancers in parts."""

from collections.abc import Iterator

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import shown
from fuchsiapin.flows.messages import Copy, Part
from fuchsiapin.replicas import MAX_VALUE_BYTES

__all__ = ["MAX_PARTS", "PART_BYTES", "TRANSFER_MS", "PartCollector", "split_copy"]

PART_BYTES = 60_000
"""Longest compressed value sent in one datagram."""
MAX_PARTS = 2 * MAX_VALUE_BYTES // PART_BYTES
"""Most parts of one value; deflate hardly lengthens what it can't compress."""
MAX_COLLECTED = 4
"""Maximum number of keys whose parts are kept; few values are as long."""
TRANSFER_MS = 300
"""Time after its last part in which a transfer counts as under way."""


def split_copy(copy: Copy) -> Iterator[Part]:
    """Yield the parts of a copy.

    Examples
    --------
    >>> parts = list(split_copy(Copy("configuration/current", 7, b"z" * 60_001)))
    >>> [(part.index, part.count, len(part.data)) for part in parts]
    [(0, 2, 60000), (1, 2, 1)]
    """
    count = -(-len(copy.value) // PART_BYTES)
    for index in range(count):
        data = copy.value[index * PART_BYTES : (index + 1) * PART_BYTES]
        yield Part(copy.key, copy.version, index, count, data)


class Transfer:
    """The parts of one version of an object that were received so far."""

    def __init__(self, version: int, count: int) -> None:
        self.version = version
        self.count = count
        self.parts: dict[int, bytes] = {}
        self.last_part_at = 0


class PartCollector:
    """Puts received parts together, of the newest version of a few keys.

    Parts that are lost are sent again, with the others, after the next digest; those
    that are here already are kept.
    """

    def __init__(self) -> None:
        self.transfers: dict[str, Transfer] = {}

    def add(self, now: int, part: Part) -> Copy | None:
        """Keep a part; return the copy once all parts are here.

        Raises
        ------
        MalformedObject
            If the part is too long, or its numbers can't be right.
        """
        if not part.index < part.count <= MAX_PARTS or len(part.data) > PART_BYTES:
            raise MalformedObject(
                f"part {part.index} of {part.count} of {shown(part.key)} has "
                f"{len(part.data)} bytes"
            )
        transfer = self.transfers.get(part.key)
        if transfer is not None and part.version < transfer.version:
            return None
        if (
            transfer is None
            or part.version > transfer.version
            or part.count != transfer.count
        ):
            self.transfers.pop(part.key, None)
            while len(self.transfers) >= MAX_COLLECTED:
                del self.transfers[next(iter(self.transfers))]
            transfer = self.transfers[part.key] = Transfer(part.version, part.count)
        transfer.parts[part.index] = part.data
        transfer.last_part_at = now
        if len(transfer.parts) < transfer.count:
            return None
        del self.transfers[part.key]
        value = b"".join(transfer.parts[index] for index in range(transfer.count))
        return Copy(part.key, part.version, value)

    def arriving_version(self, now: int, key: str) -> int:
        """Return the version of a key whose parts are arriving, 0 if none are."""
        transfer = self.transfers.get(key)
        if transfer is None or now - transfer.last_part_at > TRANSFER_MS:
            return 0
        return transfer.version
