"""The operator's commands that evacuate and reinstate availability zones."""

import re
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from fuchsiapin.daemons.commandresults import CommandResult, ExitCode
from fuchsiapin.daemons.flowgathering import (
    BlockingClient,
    StoreUnreachable,
    load_adapter,
)
from fuchsiapin.daemons.operations import Command, parse_store_address
from fuchsiapin.exceptions import SettingsError
from fuchsiapin.faults import nearest_hint
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.storage import (
    CREATE,
    DELETE,
    EVACUATIONS,
    StoreCall,
    StoreResult,
)
from fuchsiapin.flowsnapshot import EVACUATION_DEADLINE_MS, ready_counts
from fuchsiapin.phrases import join_first_words

__all__ = ["evacuate", "reinstate", "unserved_lines", "zone_change_result"]

ZONE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
"""Names that can be part of a path of the store's API without escapes."""
RESULTS = {
    (CREATE, "done"): (
        ExitCode.DONE,
        "the evacuation of zone {zone} is written; balancers whose settings have "
        f"evacuation_ms place no new flow there after {EVACUATION_DEADLINE_MS} ms, "
        "open flows stay; explain shows where it is in force and how many flows are "
        "left",
    ),
    (CREATE, "exists"): (
        ExitCode.DONE,
        "nothing to do: zone {zone} was evacuated already",
    ),
    (CREATE, "missing"): (
        ExitCode.MISSING,
        "nothing was changed: the store doesn't have evacuations ({detail})",
    ),
    (DELETE, "done"): (
        ExitCode.DONE,
        "the evacuation of zone {zone} is removed; its upstreams get new flows again",
    ),
    (DELETE, "missing"): (
        ExitCode.DONE,
        "nothing to do: zone {zone} wasn't evacuated",
    ),
}
"""Exit code and text by verb and outcome of the call to the store."""
NOT_SENT = "refused"
"""Detail of a call whose connection was refused, so that the store never got it."""


def evacuate(
    zone: str,
    *,
    store: str,
    adapter: Path = Path("platform"),
    force: bool = False,
    json: bool = False,
) -> Command:
    """Evacuate an availability zone: its upstreams get no new packet flows.

    Open flows stay where they are. Repeating the command is safe.

    Parameters
    ----------
    zone : str
        Name of the zone.
    store : str
        host:port of the platform's store.
    adapter : Path
        Folder of the adapter for that platform.
    force : bool
        Evacuate a zone that the store has no upstream or balancer of; nothing is
        checked then.
    json : bool
        Print JSON.
    """
    return zone_command(CREATE, zone, store, adapter, force, json)


def reinstate(
    zone: str,
    *,
    store: str,
    adapter: Path = Path("platform"),
    force: bool = False,
    json: bool = False,
) -> Command:
    """Take an evacuated availability zone into use again.

    Repeating the command is safe.

    Parameters
    ----------
    zone : str
        Name of the zone.
    store : str
        host:port of the platform's store.
    adapter : Path
        Folder of the adapter for that platform.
    force : bool
        Don't check whether the store knows the zone.
    json : bool
        Print JSON.
    """
    return zone_command(DELETE, zone, store, adapter, force, json)


def zone_command(
    verb: str, zone: str, store: str, adapter: Path, force: bool, json: bool
) -> Command:
    """Return a command that writes or removes the evacuation of a zone.

    Raises
    ------
    SettingsError
        If an option is malformed or the adapter can't be imported.
    """
    if not ZONE_NAME.fullmatch(zone):
        raise SettingsError(
            f"zone {zone!r}: expected letters, digits, '-', '_' and '.', the first one "
            "a letter or digit"
        )
    client = BlockingClient(load_adapter(adapter), parse_store_address(store))

    async def operation(reactor: Any) -> CommandResult:
        lines: list[str] = []
        if not force:
            try:
                members = client.read_members()
                balancers = client.read_balancers()
                evacuated = client.read_evacuations()
            except StoreUnreachable as error:
                text = f"the store can't be read: {error}; nothing was changed"
                return CommandResult(ExitCode.UNREACHABLE, text, {"zone": zone})
            known = {item.zone for item in [*members, *balancers]} | set(evacuated)
            if zone not in known:
                return unknown_zone_result(zone, known)
            if verb == CREATE:
                lines = unserved_lines(members, {*evacuated, zone})
        result = client.execute(StoreCall(verb, EVACUATIONS, zone, {}))
        return zone_change_result(verb, zone, result, lines)

    return Command(operation, json)


def unknown_zone_result(zone: str, known: Iterable[str]) -> CommandResult:
    """Return the result for a zone without an upstream or balancer in the store."""
    zones = sorted(known)
    text = (
        f"nothing was changed: the store has no upstream or balancer in zone {zone!r}; "
        f"nearest: {nearest_hint(zone, zones)}; known zones: "
        f"{', '.join(zones) or 'none'}; --force skips this check"
    )
    return CommandResult(ExitCode.MISSING, text, {"zone": zone, "known_zones": zones})


def unserved_lines(members: Sequence[FlowMember], evacuated: set[str]) -> list[str]:
    """Return a warning if services have ready upstreams in evacuated zones only."""
    outside = ready_counts(members, evacuated)
    names = [name for name in sorted(ready_counts(members)) if not outside[name]]
    if not names:
        return []
    return [
        f"no ready upstream outside evacuated zones: {join_first_words(names)}; new "
        "flows to them are refused at once"
    ]


def zone_change_result(
    verb: str, zone: str, result: StoreResult, lines: Sequence[str] = ()
) -> CommandResult:
    """Return the result of a write or removal of an evacuation.

    Parameters
    ----------
    verb : str
        `CREATE` or `DELETE`.
    zone : str
        Name of the zone.
    result : StoreResult
        Outcome of the call.
    lines : sequence of str
        Warnings that are shown unless the change failed.
    """
    values = {"zone": zone, "outcome": result.outcome, "warnings": list(lines)}
    if (verb, result.outcome) in RESULTS:
        code, text = RESULTS[verb, result.outcome]
        text = text.format(zone=zone, detail=result.detail)
        shown = lines if code == ExitCode.DONE else ()
        return CommandResult(code, "\n".join([text, *shown]), values)
    detail = f"{result.outcome} ({result.detail})"
    if result.outcome == "unreachable" and result.detail == NOT_SENT:
        text = f"the store can't be reached: {detail}; nothing was changed"
        return CommandResult(ExitCode.UNREACHABLE, text, values)
    text = (
        f"the store gave no usable answer: {detail}; the change for zone {zone} may "
        "have been made; run the same command again, repeating is safe"
    )
    return CommandResult(ExitCode.UNKNOWN, text, values)
