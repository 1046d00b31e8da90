"""Encoding of the messages between the processes of packet flows."""

from itertools import repeat
from typing import Any

import msgpack

from fuchsiapin.exceptions import MalformedEnvelope
from fuchsiapin.flows import messages
from fuchsiapin.flows.fields import shown
from fuchsiapin.lightclasses import astuple, fields

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
    messages.Silence,
)
"""Message types, indexed by their number on the wire."""
TYPE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
FIELD_TYPES: dict[str, Any] = {
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
"""Name, type and type of the items of each field, by message type."""
VALUE_TYPES = tuple(tuple(kind for _, kind, _ in layout) for layout in LAYOUTS)
LISTS = tuple(
    tuple((index, item) for index, (_, _, item) in enumerate(layout) if item)
    for layout in LAYOUTS
)
"""Position and type of the items of each list, by message type."""
PACKER = msgpack.Packer()
"""Shared by all messages, as a new packer allocates a buffer."""


def encode_message(message: Any) -> bytes:
    """Return a message as bytes.

    Examples
    --------
    >>> decode_message(encode_message(messages.Ping("zone-a", 8, False)))
    Ping(zone='zone-a', known=8, is_missing=False)
    """
    return PACKER.pack([TYPE_NUMBERS[type(message)], *astuple(message)])


def decode_message(data: bytes) -> Any:
    """Return the message encoded in bytes.

    Raises
    ------
    MalformedEnvelope
        If the bytes hold no valid message.
    """
    try:
        number, *values = msgpack.unpackb(data)
        types = VALUE_TYPES[number]
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        # The representation of some errors contains the decoded object.
        raise MalformedEnvelope(
            f"not a message of packet flows: {type(error).__name__} {error}"
        ) from error
    if len(values) != len(types):
        raise MalformedEnvelope(
            f"message {number} has a wrong number of fields: {len(values)}"
        )
    is_valid = all(map(isinstance, values, types))
    for index, item in LISTS[number]:
        is_valid = is_valid and all(map(isinstance, values[index], repeat(item)))
    if not is_valid:
        raise MalformedEnvelope(describe_wrong_type(number, values))
    return MESSAGE_TYPES[number](*values)


def describe_wrong_type(number: int, values: list) -> str:
    """Return which field of a message is the first that has a wrong type."""
    for value, (name, kind, item) in zip(values, LAYOUTS[number], strict=True):
        if not isinstance(value, kind) or (
            item is not None and not all(isinstance(entry, item) for entry in value)
        ):
            return f"message {number}: field {name!r} has a wrong type: {shown(value)}"
    raise ValueError(f"message {number} has no field of a wrong type")
