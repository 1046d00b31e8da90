"""Envelopes between processes of the system: a keyed tag and replay windows.

References
----------
.. [1] M.-J. Saarinen and J.-P. Aumasson, "The BLAKE2 cryptographic hash and
   message authentication code", RFC 7693.
"""

import hmac
from hashlib import blake2b
from typing import Any

from fuchsiapin.codec import pack_message, unpack_message
from fuchsiapin.exceptions import MalformedEnvelope

__all__ = ["Opened", "Opener", "Sealer"]

TAG_BYTES = 16
REPLAY_WINDOW = 1_024
"""Messages of one sender that may overtake each other."""
MAX_SENDERS = 16_384
"""Senders whose replay windows are kept."""

Opened = tuple[str, int, Any]
"""Sender, incarnation and message."""


class Sealer:
    """Seals the messages of one process.

    Parameters
    ----------
    sender : str
        Name of the process.
    incarnation : int
        Start time in ms.
    key : bytes
        Key of the tag.
    """

    def __init__(self, sender: str, incarnation: int, key: bytes) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self.keyed = blake2b(digest_size=TAG_BYTES, key=key)
        self.sequence = 0

    def seal(self, message: Any) -> bytes:
        """Return the envelope of a message."""
        self.sequence += 1
        body = pack_message(self.sender, self.incarnation, self.sequence, message)
        tag = self.keyed.copy()
        tag.update(body)
        return tag.digest() + body


class Opener:
    """Opens envelopes and refuses forged and repeated ones.

    Parameters
    ----------
    keys : list of bytes
        Accepted keys; two while the key changes.
    """

    def __init__(self, keys: list[bytes]) -> None:
        self.keys = keys
        self.windows: dict[tuple[str, int], tuple[int, int]] = {}

    def open(self, envelope: bytes) -> Opened:
        """Return sender, incarnation and message of an envelope.

        Raises
        ------
        MalformedEnvelope
            If no key fits, the body is no message, or it came before.
        """
        tag, body = envelope[:TAG_BYTES], envelope[TAG_BYTES:]
        if not any(self.fits(tag, body, key) for key in self.keys):
            raise MalformedEnvelope("no key fits the tag")
        sender, incarnation, sequence, message = unpack_message(body)
        if not self.is_fresh((sender, incarnation), sequence):
            raise MalformedEnvelope("message came before")
        return sender, incarnation, message

    def fits(self, tag: bytes, body: bytes, key: bytes) -> bool:
        """Return whether the tag is that of the body under the key."""
        wanted = blake2b(body, digest_size=TAG_BYTES, key=key).digest()
        return hmac.compare_digest(tag, wanted)

    def is_fresh(self, sender: tuple[str, int], sequence: int) -> bool:
        """Note a sequence number; return whether it is new."""
        top, seen = self.windows.get(sender, (0, 0))
        if sequence > top:
            shift = min(sequence - top, REPLAY_WINDOW)
            seen = ((seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.remember(sender, (sequence, seen))
            return True
        bit = 1 << (top - sequence)
        if top - sequence >= REPLAY_WINDOW or seen & bit:
            return False
        self.windows[sender] = (top, seen | bit)
        return True

    def remember(self, sender: tuple[str, int], window: tuple[int, int]) -> None:
        """Keep a window, within the bound on senders."""
        if sender not in self.windows and len(self.windows) >= MAX_SENDERS:
            self.windows.pop(next(iter(self.windows)))
        self.windows[sender] = window
