"""Encoding of the messages between the processes of packet flows."""

from typing import Any

import msgpack

from fuchsiapin.exceptions import MalformedEnvelope
from fuchsiapin.fields import MAX_VERSION, MAX_WHOLE, shown
from fuchsiapin.flows import messages
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
    messages.Part,
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
MAX_TEXT_CHARACTERS = 300
"""Longest text: a key, which is a prefix and a name."""
FLOW_BYTES = (12, 12)
HASHES = (0, 2**64 - 1)
SIGNED_NUMBERS = (-MAX_VERSION - 1, MAX_VERSION)
DEFAULT_RANGES = {int: (0, MAX_VERSION), str: (0, MAX_TEXT_CHARACTERS)}
RANGES: dict[str, Any] = {
    "Forward.hops": SIGNED_NUMBERS,
    "Forward.priority": SIGNED_NUMBERS,
    "Forward.origin": None,
    "Forward.rest": None,
    "Returned.hops": SIGNED_NUMBERS,
    "Returned.load": None,
    "Held.flow": FLOW_BYTES,
    "Held.load": None,
    "Status.load": None,
    "Digest.total": HASHES,
    "Digest.store_age_ms": SIGNED_NUMBERS,
    "Buckets.marks": HASHES,
    "Pull.keys": None,
    "Ask.flow": FLOW_BYTES,
    "Known.flow": FLOW_BYTES,
    "Known.members": HASHES,
    "ColdLimit.openings_per_s": (0, MAX_WHOLE),
}
"""Lowest and highest number, or length, of fields that don't have the range of their
type; that of a list holds for its items. None: checked where they are used."""


def make_layout(kind: type) -> tuple[tuple[str, Any, Any, Any], ...]:
    """Return name, type, type of the items and range of each field of a message."""
    layout = []
    for field in fields(kind):
        value_type, item = FIELD_TYPES[field.type], ITEM_TYPES.get(field.type)
        default = DEFAULT_RANGES.get(item or value_type)
        limits = RANGES.get(f"{kind.__name__}.{field.name}", default)
        layout.append((field.name, value_type, item, limits))
    return tuple(layout)


LAYOUTS = tuple(make_layout(kind) for kind in MESSAGE_TYPES)
VALUE_TYPES = tuple([kind for _, kind, _, _ in layout] for layout in LAYOUTS)
NUMBERS = tuple(
    tuple(
        (index, *limits)
        for index, (_, kind, _, limits) in enumerate(layout)
        if kind is int
    )
    for layout in LAYOUTS
)
"""Position, lowest and highest value of each number, by message type."""
LENGTHS = tuple(
    tuple(
        (index, *limits)
        for index, (_, kind, _, limits) in enumerate(layout)
        if kind in (str, bytes) and limits
    )
    for layout in LAYOUTS
)
"""Position, shortest and longest length of each text or byte string with a range."""
LISTS = tuple(
    tuple(
        (index, item, limits)
        for index, (_, _, item, limits) in enumerate(layout)
        if item
    )
    for layout in LAYOUTS
)
"""Position of each list, type and range of its items."""
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
        if type(number) is not int or number < 0:
            raise TypeError(f"type {shown(number)}")
        types = VALUE_TYPES[number]
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        # The representation of some errors contains the decoded object.
        raise MalformedEnvelope(
            f"not a message of packet flows: {type(error).__name__} {error}"
        ) from error
    if [*map(type, values)] != types:
        raise MalformedEnvelope(describe_wrong_value(number, values))
    for index, lowest, highest in NUMBERS[number]:
        if not lowest <= values[index] <= highest:
            raise MalformedEnvelope(describe_wrong_value(number, values))
    for index, lowest, highest in LENGTHS[number]:
        if not lowest <= len(values[index]) <= highest:
            raise MalformedEnvelope(describe_wrong_value(number, values))
    for index, item, limits in LISTS[number]:
        items = values[index]
        if items and not (
            [*map(type, items)].count(item) == len(items)
            and (limits is None or are_in_range(items, *limits))
        ):
            raise MalformedEnvelope(describe_wrong_value(number, values))
    return MESSAGE_TYPES[number](*values)


def are_in_range(numbers: list[int], lowest: int, highest: int) -> bool:
    """Return whether all numbers of a list, which isn't empty, are in a range."""
    return lowest <= min(numbers) and max(numbers) <= highest


def describe_wrong_value(number: int, values: list) -> str:
    """Return which field of a message is the first that has a wrong value."""
    layout = LAYOUTS[number]
    if len(values) != len(layout):
        return f"message {number} has a wrong number of fields: {len(values)}"
    for value, (name, kind, item, limits) in zip(values, layout, strict=True):
        if type(value) is not kind:
            return f"message {number}: field {name!r} has a wrong type: {shown(value)}"
        entries = [value] if item is None else value
        for entry in entries:
            if item is not None and type(entry) is not item:
                return (
                    f"message {number}: field {name!r} has an item of a wrong type: "
                    f"{shown(entry)}"
                )
            if limits is None:
                continue
            size = entry if type(entry) is int else len(entry)
            if not limits[0] <= size <= limits[1]:
                return (
                    f"message {number}: field {name!r} is out of range: {shown(entry)}"
                )
    raise ValueError(f"message {number} has no wrong field")
