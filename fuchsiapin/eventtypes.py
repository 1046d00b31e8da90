"""Types of the entries of the event catalogue."""

from fuchsiapin.lightclasses import dataclass

__all__ = ["NO_ACTION", "Event", "Field"]

NO_ACTION = "Nothing."


@dataclass(frozen=True)
class Field:
    """One field of an event.

    Its kind is `text`, `integer`, `boolean` or `list of text`.
    """

    name: str
    kind: str = "text"


@dataclass(frozen=True)
class Event:
    """One kind of event.

    Parameters
    ----------
    number : int
        Number in logs and counts.
    name : str
        Short name.
    level : str
        `debug`, `info`, `warning` or `error`. `debug` events are counted only; the
        others are logged too.
    meaning : str
        What happened.
    advice : str
        Recommended action for the operator.
    fields : tuple of Field
        Fields of each occurrence.
    is_rate_limited : bool
        Whether external senders can trigger it at will, so that its log lines
        are rate-limited.
    """

    number: int
    name: str
    level: str
    meaning: str
    advice: str
    fields: tuple[Field, ...] = ()
    is_rate_limited: bool = False
