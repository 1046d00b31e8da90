"""Encoding of the messages between the processes of packet flows."""

from typing import Any

import msgpack

from fuchsiapin.exceptions import MalformedEnvelope
from fuchsiapin.flows import messages
from fuchsiapin.lightclasses import fields

__all__ = ["decode_message", "encode_message"]

MESSAGE_TYPES = (
    messages.Forward,
    messages.Returned,
    messages.Held,
    messages.Ping,
    messages.Status,
    messages.Digest,
    messages.Buckets,
    messages.Pull,
    messages.Copy,
    messages.Ask,
    messages.Known,
    messages.Era,
    messages.Evacuation,
    messages.ColdLimit,
)
"""Message types, indexed by their number on the wire."""
TYPE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
FIELD_TYPES = {
    "str": str,
    "int": int,
    "bool": bool,
    "bytes": bytes,
    "list[str]": list,
    "list[int]": list,
}
ITEM_TYPES = {"list[str]": str, "list[int]": int}
LAYOUTS = tuple(
    tuple(
        (field.name, FIELD_TYPES[field.type], ITEM_TYPES.get(field.type))
        for field in fields(k)
    )
    for k in MESSAGE_TYPES
)


def encode_message(message: Any) -> bytes:
    """Return a message as bytes.

    Examples
    --------
    >>> decode_message(encode_message(messages.Ping("zone-a", 8, False)))
    Ping(zone='zone-a', known=8, is_missing=False)
    """
    number = TYPE_NUMBERS[type(message)]
    values = [getattr(message, name) for name, _, _ in LAYOUTS[number]]
    return msgpack.packb([number, *values])


def decode_message(data: bytes) -> Any:
    """Return the message encoded in bytes.

    Raises
    ------
    MalformedEnvelope
        If the bytes hold no valid message.
    """
    try:
        number, *values = msgpack.unpackb(data)
        layout = LAYOUTS[number]
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise MalformedEnvelope(f"not a message of packet flows: {error!r}") from error
    if len(values) != len(layout):
        raise MalformedEnvelope(
            f"message {number} has a wrong number of fields: {len(values)}"
        )
    for value, (name, kind, item) in zip(values, layout, strict=True):
        if not isinstance(value, kind) or (
            item is not None and not all(isinstance(entry, item) for entry in value)
        ):
            raise MalformedEnvelope(
                f"message {number}: field {name!r} has a wrong type: {value!r}"
            )
    return MESSAGE_TYPES[number](*values)
