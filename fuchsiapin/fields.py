"""Checked reading of values that other programs wrote.

Whatever enters a process, from the store, a message, a call or its settings, is read
with these functions once: its type, range and length are checked, so that it can later
be packed, sent, logged and compared without an error.
"""

import math
from socket import AF_INET, inet_pton
from typing import Any

from fuchsiapin.exceptions import MalformedObject

__all__ = [
    "MAX_TIME_MS",
    "MAX_VERSION",
    "MAX_WHOLE",
    "is_host",
    "read_host",
    "read_number",
    "read_text",
    "read_whole",
    "shown",
]

MAX_WHOLE = 2**31 - 1
"""Largest number of slots, ms or the like."""
MAX_TIME_MS = 253_402_300_799_999
"""Last ms of the year 9999 since the epoch."""
MAX_VERSION = 2**63 - 1
"""Largest version; messages carry numbers of up to 64 bits, the sign included."""
MAX_TEXT_BYTES = 255
"""Longest name of a VM, service, zone or the like. Messages carry several of them in
one datagram."""
MAX_SHOWN_CHARACTERS = 40
FIRST_MULTICAST_BYTE = 224
"""First byte from which on addresses belong to no single host."""


def shown(value: Any) -> str:
    """Return a short form of a value of any type and size, for log lines.

    Examples
    --------
    >>> shown("a" * 50), shown(10**30), shown([[]])
    ("'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa'...", 'int of 100 bits', 'list')
    """
    if isinstance(value, str | bytes):
        rest = "..." if len(value) > MAX_SHOWN_CHARACTERS else ""
        return ascii(value[:MAX_SHOWN_CHARACTERS]) + rest
    if type(value) is int and value.bit_length() > 64:
        return f"int of {value.bit_length()} bits"
    if value is None or type(value) in (bool, int, float):
        return repr(value)
    return type(value).__name__


def read_whole(value: Any, name: str, lowest: int = 0, highest: int = MAX_WHOLE) -> int:
    """Return a whole number within a range; the fraction of a float is cut off.

    Raises
    ------
    MalformedObject
        If it is no such number.

    Examples
    --------
    >>> read_whole(4.0, "slots")
    4
    """
    is_number = type(value) is int or (type(value) is float and math.isfinite(value))
    if not is_number or not lowest <= value <= highest:
        raise MalformedObject(
            f"{name} {shown(value)} is not a number from {lowest} to {highest}"
        )
    return int(value)


def read_number(value: Any, name: str, highest: float) -> float:
    """Return a finite number from 0 to a limit.

    Raises
    ------
    MalformedObject
        If it is no such number.
    """
    is_number = type(value) in (int, float)
    if not is_number or not 0 <= value <= highest:  # false for a float without value
        raise MalformedObject(
            f"{name} {shown(value)} is not a number from 0 to {highest}"
        )
    return float(value)


def read_text(
    value: Any, name: str, is_empty_allowed: bool = False, longest: int = MAX_TEXT_BYTES
) -> str:
    """Return a text that can be encoded and has at most `longest` bytes.

    Raises
    ------
    MalformedObject
        If it is no such text.

    Examples
    --------
    >>> read_text("desk", "service")
    'desk'
    """
    if not isinstance(value, str) or not (value or is_empty_allowed):
        raise MalformedObject(f"{name} {shown(value)} is not a name")
    if len(value) > longest:
        raise MalformedObject(f"{name} {shown(value)} has {len(value)} characters")
    try:
        size = len(value.encode())
    except UnicodeEncodeError as error:
        raise MalformedObject(
            f"{name} {shown(value)} can't be encoded: {error.reason}"
        ) from error
    if size > longest:
        raise MalformedObject(f"{name} {shown(value)} has {size} bytes")
    return value


def is_host(value: Any) -> bool:
    """Return whether a value is the IPv4 address of a single host, as text.

    Names aren't: resolving one would block the process.

    Examples
    --------
    >>> is_host("10.0.0.9"), is_host("10.0.9"), is_host("db"), is_host("0.0.0.0")
    (True, False, False, False)
    """
    if not isinstance(value, str):
        return False
    try:
        packed = inet_pton(AF_INET, value)
    except (OSError, ValueError):
        return False
    return 0 < packed[0] < FIRST_MULTICAST_BYTE


def read_host(value: Any, name: str) -> str:
    """Return the IPv4 address of a single host, as text.

    Raises
    ------
    MalformedObject
        If it is none.
    """
    if not is_host(value):
        raise MalformedObject(f"{name} {shown(value)} is not an address of a host")
    return value
