"""Counts of the processes in which a configuration is in force.

The counts are summed along the relay tree up to its roots.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from fuchsiapin.messages import ConfigAck

__all__ = ["Acknowledgements", "SharedSums", "sum_acks"]

RESEND_ALL_MS = 60_000
"""Interval at which a root sends all its sums to the other roots again."""
MAX_LAGGING = 8
"""Bound on the names of lagging processes in a sum."""


def sum_acks(acks: Iterable[ConfigAck], newest: int) -> ConfigAck:
    """Return the sum of acknowledgements, counting the processes that lag.

    Parameters
    ----------
    acks : iterable of ConfigAck
        At least one; all of the same key.
    newest : int
        Newest known number of the configuration; a higher one in `acks` replaces it.

    Examples
    --------
    >>> one = ConfigAck("config/a", 2, 2, 1, 0, [])
    >>> sum_acks([one, ConfigAck("config/a", 3, 3, 4, 0, [])], 0).behind
    1
    """
    parts = list(acks)
    newest = max(newest, *(ack.newest for ack in parts))
    behind = 0
    lagging: list[str] = []
    for ack in parts:
        behind += ack.behind if ack.newest == newest else ack.total
        lagging += ack.lagging
    lowest = min(ack.lowest for ack in parts)
    total = sum(ack.total for ack in parts)
    return ConfigAck(
        parts[0].key, newest, lowest, total, behind, sorted(lagging)[:MAX_LAGGING]
    )


class Acknowledgements:
    """Acknowledgements of this process and of its subtree.

    Parameters
    ----------
    name : str
        Name of the process.

    Attributes
    ----------
    in_force : dict
        Number in force here, by key of the configuration.
    newest_numbers : dict
        Newest number received, by key.
    subtrees : dict
        Acknowledgements of each subscriber's subtree, by its name.
    digests : dict
        Hash of the acknowledgements of each subscriber.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.in_force: dict[str, int] = {}
        self.newest_numbers: dict[str, int] = {}
        self.subtrees: dict[str, list[ConfigAck]] = {}
        self.digests: dict[str, int] = {}

    def set_in_force(self, key: str, number: int) -> None:
        """Store the number of a configuration that is now in force here."""
        self.in_force[key] = max(number, self.in_force.get(key, 0))
        self.note_newest(key, number)

    def note_newest(self, key: str, number: int) -> None:
        """Store the newest number of a configuration, in force here or not."""
        self.newest_numbers[key] = max(number, self.newest_numbers.get(key, 0))

    def put(self, subscriber: str, acks: list[ConfigAck]) -> None:
        """Store the acknowledgements of a subscriber's subtree."""
        self.digests[subscriber] = digest_of(acks)
        self.subtrees[subscriber] = acks
        for ack in acks:
            self.note_newest(ack.key, ack.newest)

    def name_if_lagging(self, subscriber: str, ack: ConfigAck) -> ConfigAck:
        """Add the subscriber's name to a lagging acknowledgement without names."""
        newest = max(ack.newest, self.newest_numbers.get(ack.key, 0))
        if ack.lowest >= newest or ack.lagging:
            return ack
        return ConfigAck(
            ack.key, ack.newest, ack.lowest, ack.total, ack.behind, [subscriber]
        )

    def forget(self, subscriber: str) -> None:
        """Delete the acknowledgements of a subscriber that left."""
        self.subtrees.pop(subscriber, None)
        self.digests.pop(subscriber, None)

    def own_acks(self, key: str) -> list[ConfigAck]:
        """Return the acknowledgement of this process alone, in a list.

        The list is empty if no configuration of this key is in force here.
        """
        if key not in self.in_force:
            return []
        number, newest = self.in_force[key], self.newest_numbers[key]
        is_behind = number < newest
        lagging = [self.name] if is_behind else []
        return [ConfigAck(key, newest, number, 1, int(is_behind), lagging)]

    def sums(self) -> list[ConfigAck]:
        """Return the sums over this process and its subtree, one per configuration."""
        parts: dict[str, list[ConfigAck]] = {
            key: self.own_acks(key) for key in self.newest_numbers
        }
        for subscriber, acks in self.subtrees.items():
            for ack in acks:
                parts.setdefault(ack.key, []).append(
                    self.name_if_lagging(subscriber, ack)
                )
        return [
            sum_acks(parts[key], self.newest_numbers.get(key, 0))
            for key in sorted(parts)
            if parts[key]
        ]

    def digest(self) -> int:
        """Return the hash of the sums."""
        return digest_of(self.sums())

    def subscriber_digest(self, subscriber: str) -> int:
        """Return the hash of a subscriber's acknowledgements."""
        return self.digests.get(subscriber, digest_of([]))


def digest_of(acks: list[ConfigAck]) -> int:
    """Return a hash of acknowledgements."""
    return xxh3_64_intdigest(repr(acks).encode())


class SharedSums:
    """Sums that the roots of the relay tree exchange.

    Changed sums are sent at once. All sums are sent again at intervals, which makes
    up for lost messages and informs new roots.

    Attributes
    ----------
    sent : dict
        Sum last sent to the other roots, by key of the configuration.
    next_resend : int
        When all sums are sent again, in ms.
    other_roots : dict
        Time and sum last received from each other root, by root and key.
    """

    def __init__(self) -> None:
        self.sent: dict[str, ConfigAck] = {}
        self.next_resend = 0
        self.other_roots: dict[str, dict[str, tuple[int, ConfigAck]]] = {}

    def changed_sums(self, now: int, sums: list[ConfigAck]) -> list[ConfigAck]:
        """Return the sums to send to the other roots, and mark them as sent."""
        if now >= self.next_resend:
            self.sent = {}
            self.next_resend = now + RESEND_ALL_MS
        found = [ack for ack in sums if self.sent.get(ack.key) != ack]
        self.sent = {ack.key: ack for ack in sums}
        return found

    def receive(self, now: int, root: str, acks: list[ConfigAck]) -> None:
        """Store the sums of another root."""
        received = self.other_roots.setdefault(root, {})
        received.update({ack.key: (now, ack) for ack in acks})

    def sums(
        self, now: int, local: Acknowledgements, roots: set[str]
    ) -> list[ConfigAck]:
        """Return the sums over this root and the others, one per configuration."""
        parts: dict[str, list[ConfigAck]] = {}
        for ack in local.sums():
            parts.setdefault(ack.key, []).append(ack)
        for root in roots & self.other_roots.keys():
            for received_at, ack in self.other_roots[root].values():
                # Sums of a root that missed two resends are left out.
                if now - received_at <= 2 * RESEND_ALL_MS:
                    parts.setdefault(ack.key, []).append(ack)
        return [
            sum_acks(parts[key], local.newest_numbers.get(key, 0))
            for key in sorted(parts)
        ]
