"""Settings of a process: JSON with comments, checked against the schema."""

from dataclasses import dataclass, field
from importlib.resources import files
from json import loads
from pathlib import Path

import jsonc
from cattrs import Converter
from jsonschema import Draft202012Validator

from fuchsiapin.exceptions import SettingsError

__all__ = ["Address", "CallerAddress", "Settings", "read_settings"]

DEFAULT_WEIGHT = 2_000
DEFAULT_SLOTS = 2


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int


@dataclass(frozen=True)
class CallerAddress:
    """Where a balancer takes datagrams of the callers of a service."""

    service: str
    host: str
    port: int


@dataclass(frozen=True)
class Settings:
    """What a process learns from its settings file."""

    name: str
    availability_zone: str
    peer: Address
    object_api: str
    keys: list[str]
    deployment: str = ""
    service: str = ""
    admin: Address | None = None
    upstream: Address | None = None
    callers: list[CallerAddress] = field(default_factory=list)
    weight: int = DEFAULT_WEIGHT
    slots: int = DEFAULT_SLOTS


def read_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        With all faults at once, one a line.
    """
    try:
        values = jsonc.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    schema = loads(files("fuchsiapin").joinpath("schema/settings.json").read_text())
    faults = [
        f"{path}: {'.'.join(map(str, fault.path)) or '(top)'}: {fault.message}"
        for fault in Draft202012Validator(schema).iter_errors(values)
    ]
    if faults:
        raise SettingsError("\n".join(faults))
    return Converter().structure(values, Settings)
