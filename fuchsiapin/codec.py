"""Encodes messages between processes as msgpack and stored objects as JSON."""

import dataclasses
import json
import typing
from collections.abc import Callable, Sequence
from functools import cache
from operator import attrgetter
from typing import Any, TypeVar

import msgpack
from cattrs import Converter

from fuchsiapin import messages
from fuchsiapin.exceptions import MalformedEnvelope, MalformedObject
from fuchsiapin.fields import MAX_TIME_MS, MAX_VERSION, is_host, shown
from fuchsiapin.jsonpages import load_json
from fuchsiapin.objectreading import MAX_PORT, OnRefused, read_record

__all__ = ["decode_object", "encode_object", "pack_message", "unpack_message"]

T = TypeVar("T")

MESSAGE_TYPES = [
    messages.Forward,
    messages.Reply,
    messages.Heartbeat,
    messages.BalancerHeartbeat,
    messages.Claim,
    messages.ClaimAnswer,
    messages.Install,
    messages.Installed,
    messages.RecordPut,
    messages.RecordAck,
    messages.ObservationPut,
    messages.BacklogAsk,
    messages.BacklogTell,
    messages.Handoff,
    messages.HandoffResult,
    messages.Suspect,
    messages.SuspectAnswer,
    messages.ObjectWanted,
    messages.ObjectCopy,
    messages.RelayDigest,
    messages.RelayAnswer,
    messages.RelayPull,
    messages.RelayWanted,
    messages.RelayCopy,
    messages.RelayAcks,
    messages.BalancerLeaving,
    messages.OfferDeclined,
    messages.RecordAsk,
    messages.Withdrawal,
    messages.ObservationAck,
]
"""Message types; the index of a type is its number on the wire.

New types are appended, because reordering would change the numbers.
"""

NAME_FIELDS = {
    messages.ServiceMembership: "service",
    messages.ZoneBalancers: "zone",
    messages.Configuration: "deployment",
}
"""Field of each stored object that its key ends with."""

TYPE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}

packer = msgpack.Packer(default=lambda message: as_values(message))
converter = Converter(forbid_extra_keys=False)


def as_values(message: Any) -> Sequence[Any]:
    """Return the field values of a message in order.

    The packer calls it for nested messages too.
    """
    return values_getter(type(message))(message)


@cache
def values_getter(kind: type) -> Callable[[Any], Sequence[Any]]:
    """Return a function that reads the field values of a message type in order."""
    names = field_names(kind)
    if len(names) > 1:
        return attrgetter(*names)
    return lambda message: [getattr(message, name) for name in names]


@cache
def field_names(kind: type) -> tuple[str, ...]:
    """Return the names of the fields of a message type."""
    return tuple(field.name for field in dataclasses.fields(kind))


@cache
def nested_fields(kind: type) -> tuple[tuple[int, type, bool], ...]:
    """Return index, message type and whether it is a list, for each nested field."""
    found = []
    hints = typing.get_type_hints(kind)
    for index, name in enumerate(field_names(kind)):
        hint = hints[name]
        is_list = typing.get_origin(hint) is list
        inner = typing.get_args(hint)[0] if is_list else hint
        if dataclasses.is_dataclass(inner):
            found.append((index, inner, is_list))
    return tuple(found)


@cache
def field_types(kind: type) -> tuple[type, ...]:
    """Return the type of each field of a message type on the wire.

    Examples
    --------
    >>> field_types(messages.Pairing)
    (<class 'int'>, <class 'str'>)
    """
    hints = typing.get_type_hints(kind)
    return tuple(field_type(hints[name]) for name in field_names(kind))


def field_type(hint: Any) -> type:
    """Return the type of a field on the wire; messages are lists of their values."""
    if typing.get_origin(hint) is list or dataclasses.is_dataclass(hint):
        return list
    if typing.get_origin(hint) is typing.Literal:
        return str
    return hint


@cache
def scalar_lists(kind: type) -> tuple[tuple[int, type], ...]:
    """Return index and item type of each list of scalar values."""
    hints = typing.get_type_hints(kind)
    found = []
    for index, name in enumerate(field_names(kind)):
        if typing.get_origin(hints[name]) is list:
            [inner] = typing.get_args(hints[name])
            if not dataclasses.is_dataclass(inner):
                found.append((index, field_type(inner)))
    return tuple(found)


@cache
def enum_fields(kind: type) -> tuple[tuple[int, frozenset[str]], ...]:
    """Return index and allowed values of each enumeration field."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (index, frozenset(typing.get_args(hints[name])))
        for index, name in enumerate(field_names(kind))
        if typing.get_origin(hints[name]) is typing.Literal
    )


RANGE_CHECKS: dict[str, Callable[[Any], bool]] = {
    "host": is_host,
    "port": lambda port: 0 < port <= MAX_PORT,
    "incarnation": lambda time_ms: 0 <= time_ms <= MAX_TIME_MS,
    "version": lambda version: 0 <= version <= MAX_VERSION,
}
"""Functions that check the fields of a name."""


@cache
def ranged_fields(kind: type) -> tuple[tuple[int, Callable[[Any], bool]], ...]:
    """Return index and check of each field that not all values are valid in."""
    return tuple(
        (index, RANGE_CHECKS[name])
        for index, name in enumerate(field_names(kind))
        if name in RANGE_CHECKS
    )


def check_values(kind: type, values: list[Any]) -> None:
    """Check the types and ranges of field values.

    Raises
    ------
    MalformedEnvelope
        If a value doesn't have the type of the schema or is out of range.
    """
    if tuple(map(type, values)) != field_types(kind):
        raise MalformedEnvelope(f"wrong field type in {kind.__name__}")
    for index, inner in scalar_lists(kind):
        if any(type(item) is not inner for item in values[index]):
            raise MalformedEnvelope(f"wrong type of a list item in {kind.__name__}")
    for index, allowed in enum_fields(kind):
        if values[index] not in allowed:
            raise MalformedEnvelope(f"unknown enumeration value in {kind.__name__}")
    for index, is_valid in ranged_fields(kind):
        if not is_valid(values[index]):
            value = shown(values[index])
            name = field_names(kind)[index]
            raise MalformedEnvelope(f"{name} {value} in {kind.__name__} is not valid")


def from_values(kind: type[T], values: list[Any]) -> T:
    """Build a message of a type from its field values.

    Raises
    ------
    MalformedEnvelope
        If a value doesn't have the type of the schema.
    """
    if type(values) is not list:
        raise MalformedEnvelope(f"fields of {kind.__name__} are not a list")
    check_values(kind, values)
    for index, inner, is_list in nested_fields(kind):
        value = values[index]
        values[index] = (
            [from_values(inner, item) for item in value]
            if is_list
            else from_values(inner, value)
        )
    return kind(*values)


def pack_message(sender: str, incarnation: int, sequence: int, message: Any) -> bytes:
    """Encode a message with its sender.

    Parameters
    ----------
    sender : str
        Name of the sending process.
    incarnation : int
        Start time of the sender, in ms.
    sequence : int
        Sequence number of the message in this incarnation, for replay detection.
    message : dataclass
        One of `MESSAGE_TYPES`.

    Returns
    -------
    bytes
        A msgpack array.
    """
    body = [sender, incarnation, sequence, TYPE_NUMBERS[type(message)]]
    body.extend(as_values(message))
    return packer.pack(body)


def unpack_message(data: bytes) -> tuple[str, int, int, Any]:
    """Decode sender, incarnation, sequence and message.

    Raises
    ------
    MalformedEnvelope
        If the bytes are not a message of the schema.
    """
    try:
        sender, incarnation, sequence, number, *values = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedEnvelope(str(error)) from error
    header_types = (type(sender), type(incarnation), type(sequence), type(number))
    if header_types != (str, int, int, int) or not 0 <= number < len(MESSAGE_TYPES):
        raise MalformedEnvelope("malformed message header")
    if not 0 <= incarnation <= MAX_TIME_MS:
        raise MalformedEnvelope("incarnation in message header is out of range")
    return sender, incarnation, sequence, from_values(MESSAGE_TYPES[number], values)


def encode_object(value: Any) -> bytes:
    """Encode a stored object as JSON text."""
    return json.dumps(converter.unstructure(value), separators=(",", ":")).encode()


def decode_object(
    kind: type[T],
    data: bytes,
    key: str = "",
    on_refused: OnRefused = lambda reason: None,
) -> T:
    """Decode a stored object from JSON text.

    Parameters
    ----------
    kind : type
        Type of the object.
    data : bytes
        The text.
    key : str
        Key that it is stored under; empty if it is unknown.
    on_refused : callable, optional
        Called with the reason for which an entry is left out.

    Raises
    ------
    MalformedObject
        If the text is not an object of that type, or one of another key.
    """
    try:
        values = load_json(data)
    except ValueError as error:
        raise MalformedObject(f"not JSON: {error}") from error
    found = read_record(kind, values, "", on_refused)
    name = key.partition("/")[2]
    field = NAME_FIELDS.get(kind, "")
    if name and field and getattr(found, field) != name:
        other = shown(getattr(found, field))
        raise MalformedObject(f"{field} {other} is not that of the key")
    return found
