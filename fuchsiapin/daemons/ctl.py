"""The executable `fuchsiapin-ctl`, the operator's command line."""

import getpass
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any
from uuid import uuid4

import defopt
from expression import Ok
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import react

from fuchsiapin.applying import Change
from fuchsiapin.coap.explain import explain as explain_snapshot
from fuchsiapin.configuring import (
    Proposal,
    accept,
    diff_configurations,
    read_proposal,
)
from fuchsiapin.daemons.commandresults import (
    EXIT_TEXT,
    CommandResult,
    ExitCode,
    change_result,
    diff_result,
    faults_result,
    members_result,
    status_result,
)
from fuchsiapin.daemons.flowcommandresults import FLOW_RESULTS
from fuchsiapin.daemons.flowgathering import gather_flow_snapshot, load_adapter
from fuchsiapin.daemons.gathering import gather_snapshot
from fuchsiapin.daemons.operations import (
    Operation,
    api_url,
    deployment_name,
    leaving_operation,
    make_change,
    read_configuration,
)
from fuchsiapin.exceptions import SettingsError
from fuchsiapin.snapshot import DeploymentSnapshot
from fuchsiapin.stories import build_story, find_flows, read_log

__all__ = ["COMMANDS", "main"]

METRICS_PORT = 9102
"""Default metrics port of the processes that carry packet flows."""
NO_EXPECTED_NUMBER = -1
"""Value of `--expect` when the option is not given."""


class Command:
    """A parsed command.

    Parameters
    ----------
    operation : callable
        Runs the command with the reactor; returns its result.
    json : bool
        Whether to print JSON.
    """

    def __init__(self, operation: Operation, json: bool) -> None:
        self.operation = operation
        self.json = json


def check(register: Path, rules: Path, *, json: bool = False) -> Command:
    """Check an asset register and rules; list all faults.

    Parameters
    ----------
    register : Path
        Asset register, .csv or JSON with comments.
    rules : Path
        Rules, JSON with comments.
    json : bool
        Print JSON.
    """

    async def operation(reactor: Any) -> CommandResult:
        result = read_proposal(register, rules)
        if result.is_error():
            return faults_result(result.error)
        proposal: Proposal = result.ok
        count = sum(len(service.upstreams) for service in proposal.services)
        name, services = proposal.deployment, len(proposal.services)
        text = f"{name}: without faults; {services} services, {count} upstreams"
        return CommandResult(ExitCode.DONE, text, {"deployment": proposal.deployment})

    return Command(operation, json)


def diff(
    register: Path, rules: Path, *, object_api: str = "", json: bool = False
) -> Command:
    """Show what an apply would change.

    Parameters
    ----------
    register : Path
        Asset register, .csv or JSON with comments.
    rules : Path
        Rules, JSON with comments.
    object_api : str
        URL of the object API; else that of FUCHSIAPIN_OBJECT_API.
    json : bool
        Print JSON.
    """
    url = api_url(object_api)

    async def operation(reactor: Any) -> CommandResult:
        result = read_proposal(register, rules)
        if result.is_error():
            return faults_result(result.error)
        proposal: Proposal = result.ok
        current = await read_configuration(reactor, url, proposal.deployment)
        if current.is_error():
            return change_result(current, "")  # the read failed: no change id
        wanted = accept(proposal, current.ok, "", "")
        differences = diff_configurations(current.ok, wanted) if wanted else []
        return diff_result(current.ok, differences, proposal.deployment)

    return Command(operation, json)


def apply(
    register: Path,
    rules: Path,
    *,
    object_api: str = "",
    author: str = "",
    expect: int = NO_EXPECTED_NUMBER,
    change_id: str = "",
    json: bool = False,
) -> Command:
    """Accept an asset register and rules as the new configuration.

    Parameters
    ----------
    register : Path
        Asset register, .csv or JSON with comments.
    rules : Path
        Rules, JSON with comments.
    object_api : str
        URL of the object API; else that of FUCHSIAPIN_OBJECT_API.
    author : str
        Author of the change; by default the user's name.
    expect : int
        Number of the configuration that diff showed; nothing is changed if a
        different one is stored now.
    change_id : str
        Id of an earlier apply with an unknown outcome, to find out whether it
        was accepted.
    json : bool
        Print JSON.
    """
    url = api_url(object_api)
    effective_change_id = change_id or uuid4().hex

    async def operation(reactor: Any) -> CommandResult:
        result = read_proposal(register, rules)
        if result.is_error():
            return faults_result(result.error)
        proposal: Proposal = result.ok
        change = Change(
            f"config/{proposal.deployment}",
            lambda current: Ok(proposal),
            author or getpass.getuser(),
            effective_change_id,
            None if expect == NO_EXPECTED_NUMBER else expect,
        )
        return await make_change(reactor, url, change)

    return Command(operation, json)


def leave(
    upstream: str,
    *,
    deployment: str = "",
    object_api: str = "",
    author: str = "",
    change_id: str = "",
    json: bool = False,
) -> Command:
    """Drain an upstream: it finishes its open work and gets no new work.

    Also list the upstream under leaving in the rules; otherwise the next apply
    returns it to service.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    deployment : str
        Deployment; else that of FUCHSIAPIN_DEPLOYMENT.
    object_api : str
        URL of the object API; else that of FUCHSIAPIN_OBJECT_API.
    author : str
        Author of the change; by default the user's name.
    change_id : str
        Id of an earlier attempt with an unknown outcome.
    json : bool
        Print JSON.
    """
    operation = leaving_operation(
        upstream, True, deployment, object_api, author, change_id
    )
    return Command(operation, json)


def return_upstream(
    upstream: str,
    *,
    deployment: str = "",
    object_api: str = "",
    author: str = "",
    change_id: str = "",
    json: bool = False,
) -> Command:
    """Return a leaving upstream to service.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    deployment : str
        Deployment; else that of FUCHSIAPIN_DEPLOYMENT.
    object_api : str
        URL of the object API; else that of FUCHSIAPIN_OBJECT_API.
    author : str
        Author of the change; by default the user's name.
    change_id : str
        Id of an earlier attempt with an unknown outcome.
    json : bool
        Print JSON.
    """
    operation = leaving_operation(
        upstream, False, deployment, object_api, author, change_id
    )
    return Command(operation, json)


READ_ONLY_COMMAND_HELP = """{summary}

Parameters
----------
deployment : str
    Deployment; else that of FUCHSIAPIN_DEPLOYMENT.
object_api : str
    URL of the object API; else that of FUCHSIAPIN_OBJECT_API.
via : list[str]
    Admin addresses, host:port, of processes whose known peers are read too; useful
    while the object API is unreachable.
store : str
    For a deployment of packet flows: host:port of the platform's store.
adapter : Path
    Folder of the adapter for that platform.
metrics_port : int
    Metrics port of the processes that carry packet flows.
json : bool
    Print JSON.
"""


def read_only_command(
    name: str, summary: str, render: Callable[[DeploymentSnapshot], CommandResult]
) -> Callable[..., Command]:
    """Return a read-only command that renders the state of a deployment."""

    def command(
        *,
        deployment: str = "",
        object_api: str = "",
        via: list[str] = [],  # noqa: B006 - the command line's parser copies it
        store: str = "",
        adapter: Path = Path("platform"),
        metrics_port: int = METRICS_PORT,
        json: bool = False,
    ) -> Command:
        if store:
            address = parse_store_address(store)
            render_flows = FLOW_RESULTS[name]

            async def flow_operation(reactor: Any) -> CommandResult:
                loaded = load_adapter(adapter)
                return render_flows(gather_flow_snapshot(loaded, address, metrics_port))

            return Command(flow_operation, json)
        wanted = deployment_name(deployment)
        url = api_url(object_api)

        async def operation(reactor: Any) -> CommandResult:
            return render(await gather_snapshot(reactor, url, wanted, via))

        return Command(operation, json)

    command.__name__ = name
    command.__doc__ = READ_ONLY_COMMAND_HELP.format(summary=summary)
    return command


def parse_store_address(text: str) -> tuple[str, int]:
    """Return the host and port of a store.

    Raises
    ------
    SettingsError
        If the text is not of the form host:port.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"store {text!r} is not of the form host:port")
    return host, int(port)


def explain_result(snapshot: DeploymentSnapshot) -> CommandResult:
    """Return the result of `explain`."""
    explanation = explain_snapshot(snapshot)
    values = {
        "headline": explanation.headline,
        "sections": [
            {"title": section.title, "lines": section.lines}
            for section in explanation.sections
        ],
    }
    code = ExitCode.DONE if explanation.is_healthy else ExitCode.BEHIND
    return CommandResult(code, explanation.text(), values)


status = read_only_command(
    "status", "Show what is in force on each process.", status_result
)
explain = read_only_command(
    "explain",
    "Explain the state of a deployment and why callers were served as they were.",
    explain_result,
)
members = read_only_command(
    "members", "List the processes that announced themselves.", members_result
)


def story(
    flow: str,
    logs: list[Path],
    *,
    member: str = "",
    at_ms: int = 0,
    request_ms: int = 0,
    all_flows: bool = False,
    json: bool = False,
) -> Command:
    """Show what the logs of the processes contain about one flow.

    Parameters
    ----------
    flow : str
        The flow's name in the logs or a part of it, such as a caller's address and
        port.
    logs : list[Path]
        Log files of any processes, in any order.
    member : str
        Only flows that were offered to this member.
    at_ms : int
        Only flows with a log line within 100 ms of this time, ms since the epoch.
    request_ms : int
        Time when the request was sent, ms since the epoch; for flows that were
        opened long before.
    all_flows : bool
        Show every flow that matches, not only the first one.
    json : bool
        Print JSON.

    Returns
    -------
    Command
        The parsed command.
    """

    async def operation(reactor: Any) -> CommandResult:
        texts = [t for log in logs for t in log.read_text(errors="replace").split("\n")]
        lines = read_log(texts)
        found = find_flows(lines, flow, member, at_ms) or [flow]
        chosen = found if all_flows else found[:1]
        stories = [build_story(lines, name, request_ms) for name in chosen]
        others = len(found) - len(chosen)
        text = "\n".join(item.render() for item in stories)
        if others:
            text += f"{others} more flows have {flow!r} in their name\n"
        values = [asdict(item) for item in stories]
        is_known = any(item.lines for item in stories)
        code = ExitCode.DONE if is_known else ExitCode.MISSING
        return CommandResult(code, text.rstrip(), {"stories": values, "others": others})

    return Command(operation, json)


COMMANDS = {
    "check": check,
    "diff": diff,
    "apply": apply,
    "status": status,
    "explain": explain,
    "leave": leave,
    "return": return_upstream,
    "members": members,
    "story": story,
}


def exit_code_help() -> str:
    """Return the exit codes, one per line."""
    return "\n".join(f"  {int(code)}  {text}" for code, text in EXIT_TEXT.items())


async def run_command(reactor: Any, command: Command) -> None:
    """Run a command, print its result and exit with its exit code."""
    result = await command.operation(reactor)
    is_success = result.code in (ExitCode.DONE, ExitCode.DIFFERENT, ExitCode.BEHIND)
    stream = sys.stdout if is_success or command.json else sys.stderr
    print(result.render(command.json), file=stream, flush=True)
    raise SystemExit(int(result.code))


def main() -> None:
    """Run from the command line."""
    try:
        command = defopt.run(
            COMMANDS,
            argparse_kwargs={
                "description": "Apply the asset register and rules; inspect and "
                "explain the state of a deployment.",
                "epilog": f"exit codes:\n{exit_code_help()}",
            },
        )
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(int(ExitCode.USAGE)) from error
    react(lambda reactor: ensureDeferred(run_command(reactor, command)))


if __name__ == "__main__":
    main()
