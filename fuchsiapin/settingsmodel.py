"""Settings of a process, generated from the schema."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

Key: TypeAlias = str


@dataclass(frozen=True)
class Address:
    """
    An IPv4 address and a port.
    """

    host: str
    port: int


@dataclass(frozen=True)
class CallerAddress:
    """
    Address on which a balancer receives the datagrams of the callers of a service.
    """

    service: str
    host: str
    port: int


@dataclass(frozen=True)
class Settings:
    """
    Settings of a process, read from its settings file.
    """

    name: str
    availability_zone: str
    peer: Address
    object_api: str
    keys: list[Key]
    deployment: str = ""
    admin: Address | None = None
    service: str = ""
    upstream: Address | None = None
    weight: int = 2000
    slots: int = 2
    callers: list[CallerAddress] = field(default_factory=list)
    seeds: list[Address] = field(default_factory=list)
