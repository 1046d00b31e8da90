"""Formatting of numbers and lists in sentences for operators."""

from collections.abc import Iterable

__all__ = ["count", "join_words", "join_first_words", "format_number"]

MAX_LISTED = 8
"""Maximum number of names that `join_first_words` lists."""


def format_number(value: int) -> str:
    """Return a number with thousands separators.

    Examples
    --------
    >>> format_number(12345)
    '12,345'
    """
    return f"{value:,}"


def count(value: int, one: str, many: str = "") -> str:
    """Return a number with its noun in singular or plural.

    Examples
    --------
    >>> count(1, "upstream"), count(2, "process")
    ('1 upstream', '2 processes')
    """
    plural = many or one + ("es" if one.endswith("s") else "s")
    return f"{format_number(value)} {one if value == 1 else plural}"


def join_words(parts: Iterable[str]) -> str:
    """Return the items as an enumeration in a sentence.

    Examples
    --------
    >>> join_words(["a", "b", "c"])
    'a, b and c'
    """
    items = list(parts)
    if len(items) < 2:
        return "".join(items)
    return f"{', '.join(items[:-1])} and {items[-1]}"


def join_first_words(names: Iterable[str]) -> str:
    """Return an enumeration of the first names and the number of the others.

    Examples
    --------
    >>> join_first_words(str(n) for n in range(10))
    '0, 1, 2, 3, 4, 5, 6, 7 and 2 more'
    """
    items = list(names)
    if len(items) <= MAX_LISTED:
        return join_words(items)
    return f"{', '.join(items[:MAX_LISTED])} and {len(items) - MAX_LISTED} more"
