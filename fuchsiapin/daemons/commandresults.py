"""Output and exit codes of the operator's command line."""

import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from json import dumps
from typing import Any

from expression import Result

from fuchsiapin.applying import Applied, Refusal
from fuchsiapin.configuring import Difference
from fuchsiapin.faults import Fault, render_faults
from fuchsiapin.messages import Configuration
from fuchsiapin.snapshot import (
    DeploymentSnapshot,
    Lag,
    find_lags,
    most_complete_ack,
    newest_number,
)

__all__ = [
    "EXIT_TEXT",
    "CommandResult",
    "ExitCode",
    "change_result",
    "diff_result",
    "faults_result",
    "format_table",
    "members_result",
    "status_result",
]


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    FAULTS = 1
    USAGE = 2
    RACE = 3
    UNREACHABLE = 4
    UNKNOWN = 5
    MISSING = 6
    DIFFERENT = 7
    BEHIND = 8


EXIT_TEXT = {
    ExitCode.DONE: "done, or nothing to do",
    ExitCode.FAULTS: "faults in register, rules or stored object; nothing was changed",
    ExitCode.USAGE: "wrong use of the command line",
    ExitCode.RACE: "another change came first; nothing was changed",
    ExitCode.UNREACHABLE: "the object API can't be reached; nothing was changed",
    ExitCode.UNKNOWN: "the change may have been accepted; the message tells what to do",
    ExitCode.MISSING: "no such upstream, zone or deployment, or a service would "
    "have no upstream left; nothing was changed",
    ExitCode.DIFFERENT: "diff only: register and rules differ from what is accepted",
    ExitCode.BEHIND: "status and explain: something is missing, not up to date "
    "or unreachable",
}

REFUSAL_CODES = {
    "race": ExitCode.RACE,
    "unreachable": ExitCode.UNREACHABLE,
    "unknown": ExitCode.UNKNOWN,
    "malformed": ExitCode.FAULTS,
    "missing": ExitCode.MISSING,
}


@dataclass(frozen=True)
class CommandResult:
    """Result of one command: exit code, text and JSON values."""

    code: ExitCode
    text: str
    values: dict[str, Any] = field(default_factory=dict)

    def render(self, as_json: bool) -> str:
        """Return the text to print, as plain text or JSON."""
        if not as_json:
            return self.text
        return dumps({"exit": int(self.code), "text": self.text} | self.values)


def as_dicts(items: Sequence[Any]) -> list[dict[str, Any]]:
    """Return dataclasses as dictionaries for JSON."""
    return [dataclasses.asdict(item) for item in items]


def faults_result(faults: list[Fault]) -> CommandResult:
    """Return the result for a register or rules with faults."""
    count = f"{len(faults)} fault{'' if len(faults) == 1 else 's'}"
    text = f"{render_faults(faults)}\n{count}; nothing was changed"
    return CommandResult(ExitCode.FAULTS, text, {"faults": as_dicts(faults)})


def diff_result(
    current: Configuration | None, differences: list[Difference], deployment: str
) -> CommandResult:
    """Return the result of `diff`: what an apply would change."""
    number = current.number if current else 0
    author = f" by {current.author}" if current else ""
    values = {"number": number, "differences": as_dicts(differences)}
    base = f"configuration {number}{author}" if current else "no configuration yet"
    if not differences:
        text = f"{deployment}: nothing differs from {base}"
        return CommandResult(ExitCode.DONE, text, values)
    lines = [f"{deployment}: against {base}", *indent_items(differences)]
    lines.append(f"To accept exactly this: apply with --expect {number}")
    return CommandResult(ExitCode.DIFFERENT, "\n".join(lines), values)


def indent_items(items: Sequence[Any]) -> list[str]:
    """Return items as an indented list."""
    return [f"  {item}" for item in items]


def change_result(outcome: Result[Applied, Refusal], change_id: str) -> CommandResult:
    """Return the result of a change, or of a read that failed before it."""
    if outcome.is_error():
        return refusal_result(outcome.error, change_id)
    applied: Applied = outcome.ok
    values = {
        "number": applied.number,
        "change_id": change_id,
        "was_resolved": applied.was_resolved,
        "differences": as_dicts(applied.differences),
    }
    if applied.was_resolved:
        text = (
            f"accepted as configuration {applied.number}; the response to the write "
            "was lost, but reading the object back shows the change"
        )
    elif applied.differences:
        lines = [f"accepted as configuration {applied.number}"]
        text = "\n".join(lines + indent_items(applied.differences))
    else:
        text = f"nothing to change: configuration {applied.number} already contains it"
    return CommandResult(ExitCode.DONE, text, values)


def refusal_result(refusal: Refusal, change_id: str) -> CommandResult:
    """Return the result of an operation that failed or has an unknown outcome."""
    lines = [refusal.text]
    for change in refusal.changes:
        lines.append(f"  number {change.number} by {change.author}: {change.summary}")
    if refusal.differences:
        lines += ["What differs from before:", *indent_items(refusal.differences)]
    values = {
        "refusal": refusal.kind,
        "change_id": change_id,
        "changes": as_dicts(refusal.changes),
        "differences": as_dicts(refusal.differences),
    }
    return CommandResult(REFUSAL_CODES[refusal.kind], "\n".join(lines), values)


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows as text in aligned columns.

    Examples
    --------
    >>> print(format_table(["name", "n"], [["ledger-1", 2]]))
    name      n
    ledger-1  2
    """
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


STATUS_HEADER = (
    "process",
    "role",
    "service",
    "zone",
    "state",
    "config",
    "view",
    "active",
    "in flight",
    "open",
    "not ready because",
)


def status_result(snapshot: DeploymentSnapshot) -> CommandResult:
    """Return the result of `status`: what is in force on which process."""
    lags = find_lags(snapshot)
    head = status_head(snapshot)
    rows = [status_row(snapshot, process) for process in snapshot.processes]
    lines = [*lag_lines(lags), *refused_lines(snapshot)]
    text = "\n".join([head, format_table(STATUS_HEADER, rows), *lines])
    is_known = snapshot.object_api_state == "reachable" and snapshot.processes
    is_up_to_date = is_known and not lags and newest_number(snapshot)
    values = {
        "deployment": snapshot.deployment,
        "store": snapshot.object_api_state,
        "config": newest_number(snapshot),
        "processes": as_dicts(snapshot.processes),
        "statuses": as_dicts(list(snapshot.statuses.values())),
        "lags": as_dicts(lags),
        "refused": snapshot.refused,
    }
    return CommandResult(
        ExitCode.DONE if is_up_to_date else ExitCode.BEHIND, text, values
    )


def status_head(snapshot: DeploymentSnapshot) -> str:
    """Return the line above the table of processes."""
    number = newest_number(snapshot)
    stored = snapshot.configuration
    author = f" by {stored.author}" if stored else ""
    config = f"configuration {number}{author}" if number else "no configuration yet"
    head = f"{snapshot.deployment}: {config}; object API {snapshot.object_api_state}"
    total = most_complete_ack(snapshot)
    if total is None:
        return head
    done = total.total - total.behind
    return (
        f"{head}; relay: configuration {total.newest} in force on {done} of "
        f"{total.total} processes"
    )


def status_row(snapshot: DeploymentSnapshot, process: Any) -> list[Any]:
    """Return the table row of one process."""
    status = snapshot.status_of(process)
    start = [process.name, process.role, process.service or "-", process.zone]
    if status is None:
        return [*start, process.state, "?", "?", "?", "?", "?", "did not answer"]
    numbers = ",".join(str(view.number) for view in status.views) or "-"
    active = ",".join(str(view.active) for view in status.views) or "-"
    return [
        *start,
        status.state,
        status.config or "-",
        numbers,
        active if status.role == "side" else "-",
        status.in_flight,
        status.observations,
        "; ".join(status.not_ready) or "-",
    ]


def lag_lines(lags: list[Lag]) -> list[str]:
    """Return one line for each lag of a process."""
    lines = []
    for lag in lags:
        if lag.what == "silent":
            lines.append(f"{lag.process} did not answer")
        else:
            what = f"{lag.what} of {lag.service}" if lag.service else lag.what
            lines.append(
                f"behind: {lag.process} has {what} {lag.has}, not {lag.newest}"
            )
    return lines


def refused_lines(snapshot: DeploymentSnapshot) -> list[str]:
    """Return one line for each odd value that was left out."""
    return [f"left out: {reason}" for reason in snapshot.refused]


MEMBERS_HEADER = ("process", "role", "service", "zone", "state", "admin")


def members_result(snapshot: DeploymentSnapshot) -> CommandResult:
    """Return the result of `members`: the processes that announced themselves."""
    rows = [
        [item.name, item.role, item.service or "-", item.zone, item.state, item.admin]
        for item in snapshot.processes
    ]
    views = [f"{m.service}: view {m.view.number}" for m in snapshot.memberships]
    table = format_table(MEMBERS_HEADER, rows)
    text = "\n".join([*views, table, *refused_lines(snapshot)])
    is_known = snapshot.object_api_state == "reachable" or snapshot.processes
    code = ExitCode.DONE if is_known else ExitCode.UNREACHABLE
    values = {
        "store": snapshot.object_api_state,
        "processes": as_dicts(snapshot.processes),
        "refused": snapshot.refused,
    }
    return CommandResult(code, text, values)
