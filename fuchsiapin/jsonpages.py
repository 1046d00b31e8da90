"""Reading of JSON pages in which another program may have left odd values.

A page holds the objects of many writers. One value that the JSON parser refuses must
not make the others unreadable.
"""

import json
import re
from typing import Any

__all__ = ["MAX_DEPTH", "load_json", "parse_whole"]

MAX_DEPTH = 32
"""Deepest nesting that is kept; pages of objects are nested less than ten deep."""
MAX_DIGITS = 40
"""Longest whole number that is kept; 64 bits take 20 digits."""
TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"?|[\[{]+|[\]}]+', re.DOTALL)
"""A string, also one that isn't closed, or adjacent brackets of one direction."""


def load_json(data: bytes) -> Any:
    """Return the value of a JSON text.

    A text that the parser of the standard library refuses is read again: arrays and
    objects that are nested deeper than `MAX_DEPTH` become None, whole numbers of more
    than `MAX_DIGITS` digits become infinite, bytes that aren't UTF-8 lone surrogates.

    Raises
    ------
    ValueError
        If the text is no JSON for other reasons.

    Examples
    --------
    >>> load_json(b'{"a": 1, "b": ' + b"[" * 5_000 + b"]" * 5_000 + b"}")["a"]
    1
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode(errors="surrogateescape")
    try:
        return json.loads(text, parse_int=parse_whole)
    except RecursionError:
        return json.loads(cut_nested(text), parse_int=parse_whole)


def cut_nested(text: str) -> str:
    """Return a JSON text with null in place of what is nested too deep.

    Raises
    ------
    ValueError
        If brackets aren't closed.
    """
    parts = []
    depth = kept_until = 0
    cut_from = -1
    for token in TOKEN.finditer(text):
        brackets = token[0]
        if brackets[0] in "[{":
            if depth <= MAX_DEPTH < depth + len(brackets):
                cut_from = token.start() + MAX_DEPTH - depth
            depth += len(brackets)
        elif brackets[0] in "]}":
            if depth > MAX_DEPTH >= depth - len(brackets):
                parts += [text[kept_until:cut_from], "null"]
                kept_until = token.start() + depth - MAX_DEPTH
            depth -= len(brackets)
    if depth > 0:
        raise ValueError(f"{depth} brackets of the JSON text aren't closed")
    return "".join(parts) + text[kept_until:]


def parse_whole(digits: str) -> int | float:
    """Return a whole number, infinity for one with too many digits."""
    return int(digits) if len(digits) <= MAX_DIGITS else float("inf")
