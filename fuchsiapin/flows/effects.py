"""Effects that the cores of packet flows request from their process."""

from typing import Any

from fuchsiapin.lightclasses import dataclass

__all__ = ["Probe", "ToCaller", "ToPeer", "ToStore", "ToUpstream"]


@dataclass(frozen=True)
class ToCaller:
    """Send a packet to a caller.

    `zone` is the availability zone by whose balancers the caller's packets come, empty
    if it isn't known.
    """

    host: str
    data: bytes
    zone: str = ""


@dataclass(frozen=True)
class ToPeer:
    """Send a message to another process of the system."""

    host: str
    message: Any


@dataclass(frozen=True)
class ToUpstream:
    """Give a packet to the upstream of this VM."""

    data: bytes


@dataclass(frozen=True)
class ToStore:
    """Make a call to the store; the answer is passed back with the purpose."""

    purpose: str
    request: Any
    timeout_ms: int


@dataclass(frozen=True)
class Probe:
    """Check the health of the upstream of this VM."""
