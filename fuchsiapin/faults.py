"""Faults in what operators write: settings, asset register and rules."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches

__all__ = ["Fault", "nearest_hint", "render_faults"]

MIN_LIKENESS = 0.5


@dataclass(frozen=True)
class Fault:
    """One thing to mend.

    Parameters
    ----------
    file : str
        File that holds it.
    line : int or None
        Its line, None where it isn't known.
    key : str
        Where in the file, keys joined by dots.
    expected, found : str
        What should be there, and what is.

    Examples
    --------
    >>> str(Fault("side.json", 3, "slots", "a whole number", "'two'"))
    "side.json:3: slots: expected a whole number, found 'two'"
    """

    file: str
    line: int | None
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        key = f" {self.key}:" if self.key else ""
        return f"{place}:{key} expected {self.expected}, found {self.found}"


def nearest_hint(name: str, known: Iterable[str]) -> str:
    """Return the known names in words, the nearest one alone where there is one.

    Examples
    --------
    >>> nearest_hint("slot", ["slots", "vm"])
    "'slots'"
    >>> nearest_hint("color", ["vm", "slots"])
    'one of slots, vm'
    """
    names = sorted(known)
    close = get_close_matches(name, names, 1, MIN_LIKENESS)
    if close:
        return repr(close[0])
    return f"one of {', '.join(names)}" if names else "nothing"


def render_faults(faults: Iterable[Fault]) -> str:
    """Return all faults, one a line, by file and line."""
    ordered = sorted(faults, key=lambda fault: (fault.file, fault.line or 0, fault.key))
    return "\n".join(str(fault) for fault in ordered)
