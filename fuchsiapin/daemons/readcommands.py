"""The operator's commands that read the state of a deployment."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from fuchsiapin.coap.explain import explain as explain_snapshot
from fuchsiapin.daemons.commandresults import (
    CommandResult,
    ExitCode,
    members_result,
    status_result,
)
from fuchsiapin.daemons.flowcommandresults import FLOW_RESULTS
from fuchsiapin.daemons.flowgathering import gather_flow_snapshot, load_adapter
from fuchsiapin.daemons.gathering import gather_snapshot
from fuchsiapin.daemons.operations import (
    Command,
    api_url,
    deployment_name,
    parse_store_address,
)
from fuchsiapin.snapshot import DeploymentSnapshot

__all__ = ["explain", "members", "status"]

METRICS_PORT = 9102
"""Default metrics port of the processes that carry packet flows."""

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
