"""Faults in the files that operators write: settings, asset register and rules."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches

__all__ = ["Fault", "nearest_hint", "render_faults"]

MIN_SIMILARITY = 0.5
"""Minimum `difflib` ratio of a name that is suggested."""


@dataclass(frozen=True)
class Fault:
    """One fault in an input file.

    Parameters
    ----------
    file : str
        File that contains the fault.
    line : int or None
        Line of the fault, None when unknown.
    key : str
        Path to the value in the file, keys joined by dots.
    expected, found : str
        Description of the expected value and of the value found.

    Examples
    --------
    >>> str(Fault("side.json", 3, "slots", "an integer", "'two'"))
    "side.json:3: slots: expected an integer, found 'two'"
    """

    file: str
    line: int | None
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        location = self.file if self.line is None else f"{self.file}:{self.line}"
        key = f" {self.key}:" if self.key else ""
        return f"{location}:{key} expected {self.expected}, found {self.found}"


def nearest_hint(name: str, known: Iterable[str]) -> str:
    """Return the most similar known name, or the list of all when none is similar.

    Examples
    --------
    >>> nearest_hint("slot", ["slots", "vm"])
    "'slots'"
    >>> nearest_hint("color", ["vm", "slots"])
    'one of slots, vm'
    """
    names = sorted(known)
    similar = get_close_matches(name, names, 1, MIN_SIMILARITY)
    if similar:
        return repr(similar[0])
    return f"one of {', '.join(names)}" if names else "nothing"


def render_faults(faults: Iterable[Fault]) -> str:
    """Return all faults as text, one per line, sorted by file and line."""
    ordered = sorted(faults, key=lambda fault: (fault.file, fault.line or 0, fault.key))
    return "\n".join(str(fault) for fault in ordered)
