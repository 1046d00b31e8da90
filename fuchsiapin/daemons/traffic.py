"""Account of the bytes that a process exchanges, by kind and availability zone."""

from collections import Counter
from typing import Any

from fuchsiapin.flows.messages import Forward

__all__ = ["TrafficAccount", "kind_texts", "message_kind"]


class TrafficAccount:
    """Bytes by kind of message, within and beyond the process's availability zone.

    Bytes are those of the datagrams' and calls' contents; headers of the network below
    aren't included.

    Parameters
    ----------
    zone : str
        Availability zone of the process.

    Attributes
    ----------
    own_zone, other_zone, unknown_zone : Counter
        Bytes by kind, by the zone of the other end.

    Examples
    --------
    >>> account = TrafficAccount("zone-a")
    >>> account.count("Ping", "zone-b", 20)
    >>> account.count("Ping", "zone-a", 10)
    >>> account.metric_values()["sent_bytes_other_zone_total"]
    {'Ping': 20}
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.own_zone: Counter[str] = Counter()
        self.other_zone: Counter[str] = Counter()
        self.unknown_zone: Counter[str] = Counter()

    def count(self, kind: str, zone: str, length: int) -> None:
        """Count bytes to a zone, empty if it isn't known."""
        if zone == self.zone:
            self.own_zone[kind] += length
        elif zone:
            self.other_zone[kind] += length
        else:
            self.unknown_zone[kind] += length

    def metric_values(self) -> dict[str, dict[str, float]]:
        """Return the bytes by series name, then by kind."""
        return {
            "sent_bytes_own_zone_total": dict(self.own_zone),
            "sent_bytes_other_zone_total": dict(self.other_zone),
            "sent_bytes_unknown_zone_total": dict(self.unknown_zone),
        }


def message_kind(message: Any) -> str:
    """Return the kind of a message: its type, or `Search` for a search's packet."""
    if isinstance(message, Forward) and message.is_search:
        return "Search"
    return type(message).__name__


def kind_texts(counts: Counter[str]) -> list[str]:
    """Return the counts as texts for a log line, the largest first.

    Examples
    --------
    >>> kind_texts(Counter(Ping=20, Copy=30))
    ['Copy 30', 'Ping 20']
    """
    return [f"{kind} {length}" for kind, length in counts.most_common()]
