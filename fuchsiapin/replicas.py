"""Replicas of stored objects, with hashes to find differences between processes."""

import zlib
from collections.abc import Iterable, Iterator

from xxhash import xxh3_64_intdigest

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.lightclasses import dataclass

__all__ = [
    "Replica",
    "Replicas",
    "bucket_of",
    "is_in_scope",
    "pack_value",
    "unpack_value",
]

BUCKETS = 64
"""Number of buckets over which keys are hashed to locate differences."""
MAX_VALUE_BYTES = 1_000_000
"""Maximum size of the value of a stored object."""
DEFLATE_LEVEL = 6


@dataclass(frozen=True)
class Replica:
    """The newest received version of a stored object, compressed with deflate."""

    version: int
    packed: bytes
    version_hash: int
    """Hash of the key and the version."""


def pack_value(value: bytes) -> bytes:
    """Compress a value with deflate."""
    return zlib.compress(value, DEFLATE_LEVEL)


def unpack_value(packed: bytes) -> bytes:
    """Decompress a value of at most `MAX_VALUE_BYTES`.

    Raises
    ------
    MalformedObject
        If the bytes are not a deflated value, or the value is too long.

    Examples
    --------
    >>> unpack_value(pack_value(b"{}"))
    b'{}'
    """
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(packed, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise MalformedObject(f"value is not deflated: {error}") from error
    if not inflater.eof:
        raise MalformedObject("value is truncated or too long")
    return value


def is_in_scope(key: str, topics: Iterable[str]) -> bool:
    """Return whether a key is in the scope of some topics.

    A topic is a key, or a prefix of keys that ends in a slash.

    Examples
    --------
    >>> is_in_scope("members/ledger", ["members/"])
    True
    >>> is_in_scope("members/ledger-2", ["members/ledger"])
    False
    """
    return any(
        key == topic or (topic.endswith("/") and key.startswith(topic))
        for topic in topics
    )


def bucket_of(key: str) -> int:
    """Return the bucket of a key."""
    return xxh3_64_intdigest(key.encode()) % BUCKETS


class Replicas:
    """The newest received version of each stored object.

    A scope is a list of topics; a topic is a key, or a prefix of keys that ends in a
    slash.

    Examples
    --------
    >>> one, other = Replicas(), Replicas()
    >>> one.put("config/a", 3, b"{}")
    True
    >>> one.put("config/a", 2, b"{}")
    False
    >>> one.digest(["config/"]) == other.digest(["config/"])
    False
    """

    def __init__(self) -> None:
        self.by_key: dict[str, Replica] = {}
        self.prefix_hashes: dict[str, int] = {}

    def version(self, key: str) -> int:
        """Return the newest received version of a key, 0 for none."""
        replica = self.by_key.get(key)
        return replica.version if replica else 0

    def version_hash(self, key: str) -> int:
        """Return the hash of a key and its newest version, 0 without one."""
        replica = self.by_key.get(key)
        return replica.version_hash if replica else 0

    def value(self, key: str) -> bytes | None:
        """Return the newest received value of a key."""
        replica = self.by_key.get(key)
        return unpack_value(replica.packed) if replica else None

    def put(self, key: str, version: int, value: bytes) -> bool:
        """Store a value if it is newer; return whether it was."""
        if version <= self.version(key):
            return False
        version_hash = xxh3_64_intdigest(f"{key}@{version}".encode())
        known = self.by_key.get(key)
        change = version_hash ^ known.version_hash if known else version_hash
        for topic in self.prefix_hashes:
            if key.startswith(topic):
                self.prefix_hashes[topic] ^= change
        self.by_key[key] = Replica(version, pack_value(value), version_hash)
        return True

    def remove(self, key: str) -> None:
        """Remove a key, as if it had never been received."""
        known = self.by_key.pop(key, None)
        if known is None:
            return
        for topic in self.prefix_hashes:
            if key.startswith(topic):
                self.prefix_hashes[topic] ^= known.version_hash

    def in_scope(self, topics: list[str]) -> Iterator[tuple[str, Replica]]:
        """Yield key and replica of each object in a scope."""
        for topic in topics:
            if topic.endswith("/"):
                yield from (
                    item for item in self.by_key.items() if item[0].startswith(topic)
                )
            elif topic in self.by_key:
                yield topic, self.by_key[topic]

    def digest(self, topics: list[str]) -> int:
        """Return an order-independent hash over the keys and versions of a scope."""
        total = 0
        for topic in topics:
            if topic.endswith("/"):
                total ^= self.prefix_hash(topic)
            elif topic in self.by_key:
                total ^= self.by_key[topic].version_hash
        return total

    def prefix_hash(self, topic: str) -> int:
        """Return the hash over all keys with a prefix.

        It is computed once; `put` and `remove` update it from then on.
        """
        if topic not in self.prefix_hashes:
            total = 0
            for _, replica in self.in_scope([topic]):
                total ^= replica.version_hash
            self.prefix_hashes[topic] = total
        return self.prefix_hashes[topic]

    def buckets(self, topics: list[str]) -> list[int]:
        """Return the hash of each bucket of a scope."""
        totals = [0] * BUCKETS
        for key, replica in self.in_scope(topics):
            totals[bucket_of(key)] ^= replica.version_hash
        return totals

    def in_buckets(
        self, topics: list[str], indexes: Iterable[int]
    ) -> dict[str, Replica]:
        """Return the objects of a scope in the given buckets."""
        wanted = set(indexes)
        return {
            key: replica
            for key, replica in self.in_scope(topics)
            if bucket_of(key) in wanted
        }
