"""Reads stored objects and answers of other processes by the types of the schema."""

import dataclasses
import typing
from collections.abc import Callable
from functools import cache, partial
from typing import Any, TypeVar

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import (
    MAX_TIME_MS,
    MAX_WHOLE,
    read_host,
    read_text,
    read_whole,
    shown,
)
from fuchsiapin.messages import BalancerMember, KnownProcess, Member

__all__ = ["MAX_NUMBER", "MAX_PORT", "OnRefused", "read_list", "read_record"]

T = TypeVar("T")
OnRefused = Callable[[str], None]
"""Called with the reason for which an entry of a list is left out."""
Reader = Callable[[Any, str, OnRefused], Any]
"""Reads a value, given its path for errors."""

MAX_NUMBER = 10**12
"""Largest number of a view, of a configuration or of events."""
MAX_PORT = 2**16 - 1
MAX_TEXT_BYTES = 1_024
"""Longest text that is no name."""

read_count = partial(read_whole, highest=MAX_NUMBER)
read_limit = partial(read_whole, highest=MAX_WHOLE)
read_sentence = partial(read_text, is_empty_allowed=True, longest=MAX_TEXT_BYTES)

FIELD_READERS: dict[str, Callable[[Any, str], Any]] = {
    "host": read_host,
    "port": partial(read_whole, lowest=1, highest=MAX_PORT),
    "incarnation": partial(read_whole, highest=MAX_TIME_MS),
    "id": read_text,
    "name": read_text,
    "zone": read_text,
    "deployment": read_text,
    "weight": read_limit,
    "slots": read_limit,
    "connections": read_limit,
    "share": read_limit,
    "deadline_ms": read_limit,
    "queue": read_limit,
}
"""Functions that read the fields of a name; others are read by their type alone."""

SEPARATE_ENTRIES = (Member, BalancerMember, KnownProcess)
"""Entries that different processes wrote; an odd one is left out of its list."""


def read_scalar(hint: type, value: Any, path: str) -> Any:
    """Return a text, a whole number or a truth value.

    Raises
    ------
    MalformedObject
        If the value has another type, or is out of range.
    """
    if hint is str:
        return read_sentence(value, path)
    if hint is int:
        return read_count(value, path)
    if type(value) is not hint:
        raise MalformedObject(f"{path} {shown(value)} is not a {hint.__name__}")
    return value


def read_choice(choices: tuple[str, ...], value: Any, path: str) -> Any:
    """Return one of the values of an enumeration.

    Raises
    ------
    MalformedObject
        If the value is none of them.
    """
    if not isinstance(value, str) or value not in choices:
        raise MalformedObject(f"{path} {shown(value)} is none of {', '.join(choices)}")
    return value


def read_list(hint: Any, value: Any, path: str, on_refused: OnRefused) -> list[Any]:
    """Return a list of values; odd entries of other writers are left out.

    Raises
    ------
    MalformedObject
        If it is no list, or an entry is odd that must not be left out.
    """
    if type(value) is not list:
        raise MalformedObject(f"{path} {shown(value)} is not a list")
    read = make_reader(hint, "")
    found = []
    for index, item in enumerate(value):
        try:
            found.append(read(item, f"{path}[{index}]", on_refused))
        except MalformedObject as error:
            if hint not in SEPARATE_ENTRIES:
                raise
            on_refused(str(error))
    return found


def read_record(
    kind: type[T], value: Any, path: str, on_refused: OnRefused = lambda reason: None
) -> T:
    """Return an object of a class of the schema; unknown fields are ignored.

    Parameters
    ----------
    kind : type
        The class.
    value : Any
        Decoded JSON.
    path : str
        Path of the value, for errors; empty for a whole object.
    on_refused : callable, optional
        Called with the reason for which an entry of a list is left out.

    Raises
    ------
    MalformedObject
        If a field is missing, has another type or is out of range.
    """
    if type(value) is not dict:
        raise MalformedObject(f"{path or 'value'} {shown(value)} is not an object")
    found = {}
    for name, read, is_required in field_readers(kind):
        inner = f"{path}.{name}" if path else name
        if name in value:
            found[name] = read(value[name], inner, on_refused)
        elif is_required:
            raise MalformedObject(f"{inner} is missing")
    return kind(**found)


@cache
def field_readers(kind: type) -> tuple[tuple[str, Reader, bool], ...]:
    """Return name, reader and whether it is required, for each field of a class."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (
            field.name,
            make_reader(hints[field.name], field.name),
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING,
        )
        for field in dataclasses.fields(kind)
    )


def make_reader(hint: Any, name: str) -> Reader:
    """Return a function that reads a value of a type in the field of a name."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is list:
        return lambda value, path, refused: read_list(
            arguments[0], value, path, refused
        )
    if typing.get_origin(hint) is typing.Literal:
        return lambda value, path, refused: read_choice(arguments, value, path)
    if dataclasses.is_dataclass(hint):
        return lambda value, path, refused: read_record(hint, value, path, refused)
    if name in FIELD_READERS:
        return lambda value, path, refused: FIELD_READERS[name](value, path)
    return lambda value, path, refused: read_scalar(hint, value, path)
