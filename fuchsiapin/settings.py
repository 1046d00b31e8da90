"""Reads the settings of a process: JSON with comments, validated by a schema."""

from pathlib import Path
from typing import Any

from cattrs import Converter
from expression import Error, Ok, Result

from fuchsiapin.checking import check_document, load_schema
from fuchsiapin.documents import Document, read_document
from fuchsiapin.exceptions import SettingsError
from fuchsiapin.faults import Fault, render_faults
from fuchsiapin.settingsmodel import Address, CallerAddress, Settings

__all__ = [
    "Address",
    "CallerAddress",
    "Settings",
    "check_settings",
    "load_settings",
    "read_settings",
]

ANY_ADDRESS = "0.0.0.0"
SINGLE_ADDRESS_KEYS = ("peer", "admin")
"""Addresses that must be a single one of the VM, not all of its addresses.

The addresses in `callers` may be `0.0.0.0`.
"""


def check_settings(path: Path, role: str) -> Result[Settings, list[Fault]]:
    """Read the settings in a file, or return all its faults.

    Parameters
    ----------
    path : Path
        The file.
    role : str
        `side` or `balancer`.
    """
    return read_document(path).bind(lambda document: settings_of(document, role))


def settings_of(document: Document, role: str) -> Result[Settings, list[Fault]]:
    """Read the settings in a document, or return all its faults."""
    schema = load_schema("settings")
    faults = check_document(document, schema, schema["roles"][role])
    if isinstance(document.values, dict):
        faults += address_faults(document) + caller_faults(document)
    if faults:
        return Error(faults)
    return Ok(Converter().structure(document.values, Settings))


def address_faults(document: Document) -> list[Fault]:
    """Return the faults of `SINGLE_ADDRESS_KEYS` that are not a single address."""
    found = []
    for name in SINGLE_ADDRESS_KEYS:
        address = document.values.get(name)
        if isinstance(address, dict) and address.get("host") == ANY_ADDRESS:
            found.append(
                document.fault((name, "host"), "one address of this VM", "0.0.0.0")
            )
    return found


def caller_faults(document: Document) -> list[Fault]:
    """Return the faults of duplicate services and addresses in `callers`.

    The values are compared by `repr` because those that failed the schema check may be
    unhashable. Port 0 is never a duplicate, because it selects a free port.
    """
    found = []
    seen: set[Any] = set()
    callers = document.values.get("callers")
    for index, caller in enumerate(callers if isinstance(callers, list) else []):
        if not isinstance(caller, dict):
            continue
        service = caller.get("service")
        address = (caller.get("host"), caller.get("port"))
        if repr(service) in seen:
            keys = ("callers", index, "service")
            found.append(
                document.fault(keys, "each service once", f"{service!r} again")
            )
        if caller.get("port") and repr(address) in seen:
            keys = ("callers", index, "port")
            found.append(
                document.fault(
                    keys, "a separate address for each service", "that of another"
                )
            )
        seen |= {repr(service), repr(address)}
    return found


def read_settings(path: Path, role: str) -> Settings:
    """Read the settings in a file.

    Raises
    ------
    SettingsError
        If there are faults; the message lists all, one per line.
    """
    result = check_settings(path, role)
    if result.is_error():
        raise SettingsError(render_faults(result.error))
    return result.ok


def load_settings(path: Path, role: str, check: bool) -> Settings:
    """Read the settings of a starting daemon, or exit.

    Faults exit with status 1. With `check` the daemon exits in any case, after
    it has printed whether the settings are valid.
    """
    try:
        settings = read_settings(path, role)
    except SettingsError as error:
        raise SystemExit(str(error)) from error
    if check:
        print(f"{path}: valid settings of a {role}")
        raise SystemExit(0)
    return settings
