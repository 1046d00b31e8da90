"""Records of balancers, as stored and replicated."""

from typing import Any

import msgpack

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import (
    MAX_TIME_MS,
    read_host,
    read_text,
    read_whole,
    shown,
)
from fuchsiapin.lightclasses import dataclass

__all__ = [
    "BalancerRecord",
    "pack_balancer",
    "read_balancer",
    "read_stored_balancer",
    "unpack_balancer",
]

BALANCER_FIELDS = 5


@dataclass(frozen=True)
class BalancerRecord:
    """Record of one balancer, as stored and replicated.

    Parameters
    ----------
    name : str
        Name of the balancer.
    started : int
        Start of the process, ms since the epoch.
    host, zone : str
        Address and availability zone.
    is_leaving : bool
        Whether it is stopping.
    """

    name: str
    started: int
    host: str
    zone: str
    is_leaving: bool = False

    @property
    def version(self) -> int:
        """Return a number that increases with each change of the record."""
        return self.started * 2 + self.is_leaving


def pack_balancer(record: BalancerRecord) -> bytes:
    """Return a balancer record as bytes, for other processes."""
    fields = (
        record.name,
        record.started,
        record.host,
        record.zone,
        record.is_leaving,
    )
    return msgpack.packb(fields)


def unpack_balancer(data: bytes) -> BalancerRecord:
    """Return the balancer record in bytes from another process.

    Raises
    ------
    MalformedObject
        If the bytes hold no balancer record.
    """
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedObject(f"balancer: {error!r}") from error
    return read_balancer(fields)


def read_balancer(fields: Any) -> BalancerRecord:
    """Return a balancer record from its fields.

    Raises
    ------
    MalformedObject
        If a field has an invalid value.
    """
    if not isinstance(fields, list | tuple) or len(fields) != BALANCER_FIELDS:
        raise MalformedObject(
            f"balancer {shown(fields)} has no {BALANCER_FIELDS} fields"
        )
    name, started, host, zone, is_leaving = fields
    if not isinstance(is_leaving, bool):
        raise MalformedObject(f"leaving flag {shown(is_leaving)} is not a truth value")
    return BalancerRecord(
        read_text(name, "name"),
        read_whole(started, "start", highest=MAX_TIME_MS),
        read_host(host, "address"),
        read_text(zone, "zone", is_empty_allowed=True),
        is_leaving,
    )


def read_stored_balancer(name: str, fields: Any) -> BalancerRecord:
    """Return the record in the object that the store has under a name.

    Raises
    ------
    MalformedObject
        If a field has an invalid value, or the name isn't that of the balancer.
    """
    record = read_balancer(fields)
    if record.name != name:
        raise MalformedObject(f"name {record.name!r} is not that of the object")
    return record
