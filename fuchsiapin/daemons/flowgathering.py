"""Reads the state of a packet-flow deployment from the store and from metrics."""

import sys
from collections.abc import Callable, Sequence
from importlib import import_module
from pathlib import Path
from typing import Any

from fuchsiapin.clock import SystemClock
from fuchsiapin.daemons.eventloop import EventLoop
from fuchsiapin.daemons.httpcalls import HttpClient, HttpResponse
from fuchsiapin.exceptions import MalformedObject, SettingsError
from fuchsiapin.fields import shown
from fuchsiapin.flows.members import FlowMember, read_stored_member
from fuchsiapin.flows.peerrecords import BalancerRecord, read_stored_balancer
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.flows.storage import (
    BALANCERS,
    CONFIGURATION,
    EVACUATIONS,
    LIST,
    MEMBERS,
    StoreCall,
    StoredItem,
    StoreResult,
)
from fuchsiapin.flowsnapshot import (
    BalancerMetrics,
    FlowDeploymentSnapshot,
    SideMetrics,
    parse_metrics,
)
from fuchsiapin.timers import Timers

__all__ = [
    "BlockingClient",
    "StoreUnreachable",
    "gather_flow_snapshot",
    "load_adapter",
]

ADAPTER_MODULE = "fuchsiapin_platform.adapter"
STORE_TIMEOUT_MS = 3_000
"""Timeout of a call to the store; an operator waits for it."""
METRICS_TIMEOUT_MS = 1_000
"""Timeout of a scrape; a reachable process answers within milliseconds."""
MAX_SCRAPES = 32
"""Scrapes at a time. In a zone that is evacuated because it failed, each lasts until
its timeout."""


class StoreUnreachable(Exception):
    """The store gave no usable response.

    Parameters
    ----------
    result : StoreResult
        Outcome of the call.
    """

    def __init__(self, result: StoreResult) -> None:
        super().__init__(f"{result.outcome} ({result.detail})")
        self.result = result


def load_adapter(folder: Path) -> Any:
    """Import the platform adapter from a folder and return it.

    Raises
    ------
    SettingsError
        If the adapter can't be imported.
    """
    sys.path.insert(0, str(folder))
    try:
        return import_module(ADAPTER_MODULE).make_adapter()
    except ImportError as error:
        raise SettingsError(
            f"can't import the platform adapter from {folder}: {error}"
        ) from error
    finally:
        sys.path.remove(str(folder))


class BlockingClient:
    """Calls the store and reads metrics, and waits for the answers.

    Parameters
    ----------
    adapter : FlowAdapter
        The platform.
    store : tuple of str and int
        Address of its store.

    Attributes
    ----------
    refused : list of str
        Objects of the store that were left out, and why.
    """

    def __init__(self, adapter: Any, store: tuple[str, int]) -> None:
        self.adapter = adapter
        self.store = store
        self.loop = EventLoop(SystemClock(), Timers())
        self.refused: list[str] = []

    def start(
        self,
        address: tuple[str, int],
        request: tuple[str, str, bytes],
        timeout_ms: int,
        on_done: Callable[[HttpResponse], None],
    ) -> None:
        """Make a call with method, path and body over a connection of its own."""
        client = HttpClient(self.loop, *address)

        def done(response: HttpResponse) -> None:
            for connection in list(client.idle):
                connection.close()
            on_done(response)

        client.call(*request, timeout_ms, done)

    def execute(self, call: StoreCall) -> StoreResult:
        """Make a call to the store and return its outcome."""
        request = self.adapter.store.build_request(call)
        responses: list[HttpResponse] = []
        self.start(self.store, request, STORE_TIMEOUT_MS, responses.append)
        while not responses:
            self.loop.run_once()
        response = responses[0]
        if not response.status:
            return StoreResult("unreachable", detail=response.error)
        return self.adapter.store.parse_response(
            call, response.status, response.body, response.headers or {}
        )

    def list_items(self, kind: str) -> list[StoredItem]:
        """Return all objects of a kind.

        Raises
        ------
        StoreUnreachable
            If the store can't list them.
        """
        found: list[StoredItem] = []
        after, positions = "", {""}
        while True:
            page = self.execute(StoreCall(LIST, kind, after))
            if page.outcome != "done":
                raise StoreUnreachable(page)
            found += page.items
            self.refused += [f"{kind}: {reason}" for reason in page.refused]
            after = page.after
            if not page.has_more or after in positions:
                return found
            positions.add(after)

    def read_objects(self, kind: str, read: Callable[[str, Any], Any]) -> list[Any]:
        """Return all valid objects of a kind.

        Raises
        ------
        StoreUnreachable
            If the store can't list them.
        """
        found = []
        for item in self.list_items(kind):
            try:
                found.append(read(item.name, item.value))
            except MalformedObject as error:  # balancers leave it out too
                self.refused.append(f"{kind} {shown(item.name)}: {error}")
        return found

    def read_members(self) -> list[FlowMember]:
        """Return the upstreams; see `list_items` for errors."""
        return self.read_objects(MEMBERS, read_stored_member)

    def read_balancers(self) -> list[BalancerRecord]:
        """Return the balancers; see `list_items` for errors."""
        return self.read_objects(BALANCERS, read_stored_balancer)

    def read_evacuations(self) -> list[str]:
        """Return the evacuated zones; see `list_items` for errors."""
        items = self.list_items(EVACUATIONS)
        return sorted(item.name for item in items if not item.is_deleted)

    def read_metrics(
        self, hosts: Sequence[str], port: int
    ) -> list[tuple[str, dict[tuple[str, str], float]]]:
        """Scrape processes; return the error, empty for none, and the values of each.

        Parameters
        ----------
        hosts : sequence of str
            Addresses of the processes.
        port : int
            Their metrics port.
        """
        request = ("GET", self.adapter.metrics_path, b"")
        responses: dict[int, HttpResponse] = {}
        started = 0
        while len(responses) < len(hosts):
            while started < min(len(hosts), len(responses) + MAX_SCRAPES):
                self.start(
                    (hosts[started], port),
                    request,
                    METRICS_TIMEOUT_MS,
                    lambda response, index=started: responses.update({index: response}),
                )
                started += 1
            self.loop.run_once()
        return [read_response(responses[index]) for index in range(len(hosts))]


def read_response(
    response: HttpResponse,
) -> tuple[str, dict[tuple[str, str], float]]:
    """Return the error, empty for none, and the values of a scrape."""
    if response.status != 200:
        return response.error or f"status {response.status}", {}
    return "", parse_metrics(response.body.decode(errors="replace"))


def gather_flow_snapshot(
    adapter: Any, store: tuple[str, int], metrics_port: int
) -> FlowDeploymentSnapshot:
    """Return the state of a deployment of packet flows.

    Of the side processes only those in evacuated zones are read.

    Parameters
    ----------
    adapter : FlowAdapter
        The platform.
    store : tuple of str and int
        Address of its store.
    metrics_port : int
        Metrics port of the processes.
    """
    client = BlockingClient(adapter, store)
    evacuations, evacuations_error = [], ""
    try:
        found = client.read_objects(CONFIGURATION, lambda name, value: value)
        configurations = [v for v in found if isinstance(v, FlowConfiguration)]
        members = client.read_members()
        records = sorted(client.read_balancers(), key=lambda record: record.name)
        try:
            evacuations = client.read_evacuations()
        except StoreUnreachable as error:
            if error.result.outcome != "missing":
                raise
            evacuations_error = str(error)  # a platform without this kind
    except StoreUnreachable as error:
        return FlowDeploymentSnapshot(str(error))
    members.sort(key=lambda member: (member.service, member.id))
    inside = [member for member in members if member.zone in evacuations]
    hosts = [record.host for record in records] + [member.host for member in inside]
    metrics = client.read_metrics(hosts, metrics_port)
    read_at = client.loop.clock.now()
    return FlowDeploymentSnapshot(
        "",
        max(configurations, key=lambda item: item.version, default=None),
        tuple(members),
        tuple(
            BalancerMetrics(record, *values)
            for record, values in zip(records, metrics[: len(records)], strict=True)
        ),
        tuple(evacuations),
        evacuations_error,
        tuple(
            SideMetrics(member, *values)
            for member, values in zip(inside, metrics[len(records) :], strict=True)
        ),
        read_at,
        tuple(client.refused),
    )
