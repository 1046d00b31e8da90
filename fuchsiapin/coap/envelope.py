"""Authenticated envelopes of messages between processes, with replay protection.

References
----------
.. [1] M.-J. Saarinen and J.-P. Aumasson, "The BLAKE2 cryptographic hash and
   message authentication code", RFC 7693.
"""

import hmac
from hashlib import blake2b
from typing import Any

from fuchsiapin.clock import Clock
from fuchsiapin.codec import pack_message, unpack_message
from fuchsiapin.exceptions import MalformedEnvelope

__all__ = ["Opened", "EnvelopeDecoder", "EnvelopeEncoder"]

TAG_BYTES = 16
TIMESTAMP_BYTES = 6
"""Time of sending, ms since the epoch."""
MAX_CLOCK_DIFFERENCE_MS = 60_000
"""Largest accepted difference between the time of sending and the local clock.

Envelopes beyond it are rejected, so clocks must agree more closely.
"""
GREETING = b"fuchsiapin stream"
GREETING_BYTES = TAG_BYTES + TIMESTAMP_BYTES
REPLAY_WINDOW = 1_024
"""Width of the replay window.

Sequence numbers this far below the highest one of the sender are rejected.
"""
MAX_SENDERS = 16_384
"""Bound on the senders whose replay windows are stored."""

Opened = tuple[str, int, Any]
"""Sender, incarnation and message."""


def keyed_hash(key: bytes) -> Any:
    """Return a hash object initialised with a key, to be copied for each tag."""
    return blake2b(digest_size=TAG_BYTES, key=key)


def tag_of(body: bytes, keyed: Any) -> bytes:
    """Return the authentication tag of a body [1]_."""
    tag = keyed.copy()
    tag.update(body)
    return tag.digest()


class EnvelopeEncoder:
    """Packs messages of one process into authenticated envelopes.

    Parameters
    ----------
    sender : str
        Name of the process.
    incarnation : int
        Start time of the process in ms.
    key : bytes
        Key of the authentication tag.
    clock : Clock
        Time in ms.
    """

    def __init__(self, sender: str, incarnation: int, key: bytes, clock: Clock) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self.keyed = keyed_hash(key)
        self.clock = clock
        self.sequence = 0

    def stamp(self) -> bytes:
        """Return the encoded time of sending."""
        return self.clock.now().to_bytes(TIMESTAMP_BYTES, "big")

    def encode(self, message: Any) -> bytes:
        """Return the envelope of a message."""
        self.sequence += 1
        packed = pack_message(self.sender, self.incarnation, self.sequence, message)
        body = self.stamp() + packed
        return tag_of(body, self.keyed) + body

    def make_greeting(self) -> bytes:
        """Return the first frame of a stream, which authenticates the sender."""
        stamp = self.stamp()
        return tag_of(GREETING + stamp, self.keyed) + stamp


class EnvelopeDecoder:
    """Unpacks envelopes and rejects forged, outdated and replayed ones.

    Parameters
    ----------
    keys : list of bytes
        Accepted keys; two during a key rotation.
    clock : Clock
        Time in ms.
    """

    def __init__(self, keys: list[bytes], clock: Clock) -> None:
        self.keyed = [keyed_hash(key) for key in keys]
        self.clock = clock
        self.windows: dict[tuple[str, int], tuple[int, int]] = {}

    def decode(self, envelope: bytes) -> Opened:
        """Return sender, incarnation and message of an envelope.

        Raises
        ------
        MalformedEnvelope
            If the tag matches no key, the body is not a message, or the envelope
            is outdated or replayed.
        """
        tag, body = envelope[:TAG_BYTES], envelope[TAG_BYTES:]
        self.check(tag, body, body[:TIMESTAMP_BYTES])
        sender, incarnation, sequence, message = unpack_message(body[TIMESTAMP_BYTES:])
        if not self.is_fresh((sender, incarnation), sequence):
            raise MalformedEnvelope("sequence number is a replay or too old")
        return sender, incarnation, message

    def check_greeting(self, frame: bytes) -> None:
        """Check the first frame of a stream.

        Raises
        ------
        MalformedEnvelope
            If the tag matches no key, or the frame is outdated.
        """
        tag, stamp = frame[:TAG_BYTES], frame[TAG_BYTES:]
        self.check(tag, GREETING + stamp, stamp)

    def check(self, tag: bytes, body: bytes, stamp: bytes) -> None:
        """Check the tag and the time of sending."""
        if not any(hmac.compare_digest(tag, tag_of(body, key)) for key in self.keyed):
            raise MalformedEnvelope("authentication tag matches none of the keys")
        if (
            abs(self.clock.now() - int.from_bytes(stamp, "big"))
            > MAX_CLOCK_DIFFERENCE_MS
        ):
            raise MalformedEnvelope("time of sending is outdated, or clocks differ")

    def is_fresh(self, sender: tuple[str, int], sequence: int) -> bool:
        """Add a sequence number to the replay window; return whether it is new."""
        top, seen = self.windows.get(sender, (0, 0))
        if sequence > top:
            shift = min(sequence - top, REPLAY_WINDOW)
            seen = ((seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.remember(sender, (sequence, seen))
            return True
        if top - sequence >= REPLAY_WINDOW:
            return False
        bit = 1 << (top - sequence)
        if seen & bit:
            return False
        self.windows[sender] = (top, seen | bit)
        return True

    def remember(self, sender: tuple[str, int], window: tuple[int, int]) -> None:
        """Store a replay window; at the bound, evict that of the sender seen first."""
        if sender not in self.windows and len(self.windows) >= MAX_SENDERS:
            self.windows.pop(next(iter(self.windows)))
        self.windows[sender] = window
