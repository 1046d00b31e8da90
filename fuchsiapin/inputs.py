"""Asset register and rules, generated from the schema."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Inputs:
    """
    Input files of operators: the asset register and the rules.
    """


@dataclass(frozen=True)
class Asset:
    """
    One upstream of the asset register; other columns of the register are ignored.
    """

    name: str
    vm: str
    address: str
    availability_zone: str
    service: str
    slots: int
    connections: int


@dataclass(frozen=True)
class Register:
    """
    The asset register.
    """

    assets: list[Asset]


@dataclass(frozen=True)
class ClassRule:
    """
    One tenant or class of callers.
    """

    name: str
    share: int
    networks: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class ServiceRule:
    """
    Limits of one service; a service without a rule uses the defaults.
    """

    name: str
    deadline_ms: int = 20000
    queue: int = 64
    classes: list[ClassRule] = field(default_factory=list)


@dataclass(frozen=True)
class Rules:
    """
    The operator's rules, applied to the register.
    """

    deployment: str
    services: list[ServiceRule] = field(default_factory=list)
    may_share_zone: list[list[str]] | None = None
    may_not_share_zone: list[list[str]] = field(default_factory=list)
    leaving: list[str] = field(default_factory=list)
