"""Header fields of a packet that decisions depend on, whatever its wire layout."""

from socket import inet_aton, inet_ntoa
from typing import Protocol

from fuchsiapin.lightclasses import dataclass

__all__ = [
    "ROUTE_BYTES",
    "Packet",
    "PacketFormat",
    "is_sequence_after",
    "caller_host",
    "sequence_distance",
    "endpoint",
    "flow_name",
]

ROUTE_BYTES = 6
"""Length of the prefix of a flow key that identifies the route: address and port."""
SEQUENCE_MASK = 0xFFFF_FFFF
HALF_RANGE = 0x8000_0000
"""Sequence numbers that differ by less than this are ordered (RFC 1982)."""


@dataclass(frozen=True)
class Packet:
    """One packet of a flow.

    Parameters
    ----------
    flow : bytes
        Address and port of the route, then of the caller; 12 bytes, the same in
        both directions.
    opens : bool
        Whether the caller requests a new flow.
    accepts : bool
        Whether an upstream accepts a new flow.
    ends, resets : bool
        Whether the sender ends or resets the flow.
    is_bounced : bool
        Whether an upstream bounced the packet, because it doesn't accept it.
    sequence, acknowledged : int
        Sequence and acknowledgement numbers, modulo 2**32. The acknowledgement
        number of an opening packet is the number of its retransmission, 0 for the
        first packet.
    length : int
        Bytes of data.
    is_full : bool
        Whether the data fill the packet, so that more data may follow.
    data : bytes
        The whole datagram.
    """

    flow: bytes
    opens: bool
    accepts: bool
    ends: bool
    resets: bool
    is_bounced: bool
    sequence: int
    acknowledged: int
    length: int
    is_full: bool
    data: bytes


class PacketFormat(Protocol):
    """Wire layout of packets."""

    def read(self, data: bytes, from_upstream: bool) -> Packet | None:
        """Return a packet, None when the datagram is malformed."""

    def clear_marks(self, data: bytes) -> bytes:
        """Return a packet as its sender wrote it.

        Fields and flags that the system sets are cleared.
        """

    def reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a packet that resets a flow, for its caller."""


def caller_host(flow: bytes) -> str:
    """Return the address of a flow's caller.

    Examples
    --------
    >>> caller_host(endpoint("198.18.0.1", 443) + endpoint("100.64.0.7", 4000))
    '100.64.0.7'
    """
    return inet_ntoa(flow[6:10])


def endpoint(host: str, port: int) -> bytes:
    """Return an address and port in the format of flow keys."""
    return inet_aton(host) + port.to_bytes(2, "big")


def flow_name(flow: bytes) -> str:
    """Return the name of a flow in logs: caller, then route.

    Examples
    --------
    >>> flow_name(endpoint("198.18.0.1", 443) + endpoint("100.64.0.7", 4000))
    '100.64.0.7:4000>198.18.0.1:443'
    """
    caller = f"{inet_ntoa(flow[6:10])}:{int.from_bytes(flow[10:12], 'big')}"
    return f"{caller}>{inet_ntoa(flow[:4])}:{int.from_bytes(flow[4:6], 'big')}"


def sequence_distance(earlier: int, later: int) -> int:
    """Return the distance from one sequence number to a later one, modulo 2**32.

    Examples
    --------
    >>> sequence_distance(0xFFFF_FFFF, 3)
    4
    """
    return (later - earlier) & SEQUENCE_MASK


def is_sequence_after(earlier: int, later: int) -> bool:
    """Return whether a sequence number is after another one.

    Examples
    --------
    >>> is_sequence_after(0xFFFF_FFFF, 3), is_sequence_after(3, 3)
    (True, False)
    """
    return 0 < sequence_distance(earlier, later) < HALF_RANGE
