"""The executable `fuchsiapin-ctl`, the operator's command line."""

import getpass
import sys
from dataclasses import asdict
from io import TextIOWrapper
from pathlib import Path
from typing import Any
from uuid import uuid4

import defopt
from expression import Ok
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import react

from fuchsiapin.applying import Change
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
)
from fuchsiapin.daemons.operations import (
    Command,
    api_url,
    leaving_operation,
    make_change,
    read_configuration,
)
from fuchsiapin.daemons.readcommands import explain, members, status
from fuchsiapin.daemons.zonecommands import evacuate, reinstate
from fuchsiapin.exceptions import SettingsError
from fuchsiapin.faults import Fault
from fuchsiapin.stories import build_story, find_flows, read_log

__all__ = ["COMMANDS", "main"]

NO_EXPECTED_NUMBER = -1
"""Value of `--expect` when the option is not given."""


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
        texts: list[str] = []
        for log in logs:
            try:
                texts += log.read_text(errors="replace").split("\n")
            except OSError as error:
                reason = error.strerror or "an error"
                fault = Fault(str(log), None, "", "a readable file", reason.lower())
                return faults_result([fault])
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
    "evacuate": evacuate,
    "reinstate": reinstate,
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
    if isinstance(sys.stdout, TextIOWrapper):
        sys.stdout.reconfigure(errors="backslashreplace")  # odd texts of other programs
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
