"""Results of the read-only commands for a deployment of packet flows."""

from dataclasses import asdict
from typing import Any

from fuchsiapin.daemons.commandresults import CommandResult, ExitCode, format_table
from fuchsiapin.flowsnapshot import (
    FlowDeploymentSnapshot,
    describe_evacuations,
    explain_flows,
    find_evacuations,
)
from fuchsiapin.lightclasses import astuple, fields

__all__ = ["FLOW_RESULTS"]

BALANCER_HEADER = ["balancer", "zone", "host", "configuration", "upstreams", "silent"]


def unreachable_result(snapshot: FlowDeploymentSnapshot) -> CommandResult:
    """Return the result when the store can't be read."""
    text = f"the store can't be read: {snapshot.error}"
    return CommandResult(ExitCode.UNREACHABLE, text, {"store": snapshot.error})


def as_dict(record: Any) -> dict[str, Any]:
    """Return a data class of `lightclasses` as a dictionary for JSON."""
    names = [item.name for item in fields(type(record))]
    return dict(zip(names, astuple(record), strict=True))


def flow_members_result(snapshot: FlowDeploymentSnapshot) -> CommandResult:
    """Return the result of `members`: the upstreams in the store."""
    if snapshot.error:
        return unreachable_result(snapshot)
    header = ["upstream", "service", "host", "zone", "slots", "state"]
    rows = [
        [m.id, m.service, m.host, m.zone, str(m.slots), m.state]
        for m in snapshot.members
    ]
    values = {"members": [as_dict(member) for member in snapshot.members]}
    return CommandResult(ExitCode.DONE, format_table(header, rows), values)


def flow_status_result(snapshot: FlowDeploymentSnapshot) -> CommandResult:
    """Return the result of `status`: what is in force on each balancer."""
    if snapshot.error:
        return unreachable_result(snapshot)
    rows = []
    for item in snapshot.balancers:
        record = item.record
        columns = ["?", "?", "?"]
        if not item.error:
            columns = [str(item.configuration), str(item.members), str(item.suspects)]
        rows.append([record.name, record.zone, record.host, *columns])
    configuration = snapshot.configuration
    lines = ["no configuration"]
    if configuration is not None:
        count = len(configuration.routes)
        lines = [f"configuration {configuration.version}, {count} routes"]
        if snapshot.newest_in_force > configuration.version:
            lines = [f"{lines[0]}; {snapshot.newest_in_force} is in force"]
    states: dict[tuple[str, str], int] = {}
    for member in snapshot.members:
        key = (member.service, member.state)
        states[key] = states.get(key, 0) + 1
    lines += [f"{s}: {count} {state}" for (s, state), count in sorted(states.items())]
    lines += describe_evacuations(snapshot)
    is_behind = bool(explain_flows(snapshot))
    code = ExitCode.BEHIND if is_behind else ExitCode.DONE
    values = {
        "configuration": configuration.version if configuration else 0,
        "balancers": [
            {
                **as_dict(item.record),
                "error": item.error,
                "in_force": item.configuration,
            }
            for item in snapshot.balancers
        ],
        **evacuation_values(snapshot),
    }
    return CommandResult(
        code, "\n".join([*lines, format_table(BALANCER_HEADER, rows)]), values
    )


def flow_explain_result(snapshot: FlowDeploymentSnapshot) -> CommandResult:
    """Return the result of `explain`: evacuations, and every deviation from normal.

    An evacuation that has reached all processes is no deviation.
    """
    if snapshot.error:
        return unreachable_result(snapshot)
    problems = explain_flows(snapshot)
    code = ExitCode.BEHIND if problems else ExitCode.DONE
    lines = [*describe_evacuations(snapshot), *problems]
    healthy = "every route is served, and every balancer is up to date"
    text = "\n".join(lines if problems else [*lines, healthy])
    values = {"lines": lines, **evacuation_values(snapshot)}
    return CommandResult(code, text, values)


def evacuation_values(snapshot: FlowDeploymentSnapshot) -> dict[str, Any]:
    """Return the state of evacuations for JSON."""
    return {
        "evacuations": [asdict(item) for item in find_evacuations(snapshot)],
        "evacuation_resets": snapshot.evacuation_resets,
        "evacuations_error": snapshot.evacuations_error,
    }


FLOW_RESULTS = {
    "status": flow_status_result,
    "explain": flow_explain_result,
    "members": flow_members_result,
}
"""Functions that make the result, by command."""
