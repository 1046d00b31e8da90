"""Reads the state of a deployment from the object API and from its processes."""

from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from typing import Any

from twisted.internet.defer import DeferredSemaphore, ensureDeferred, gatherResults

from fuchsiapin.codec import decode_object
from fuchsiapin.daemons.objectapi import (
    MAX_LIST_BYTES,
    ObjectApiClient,
    OnProblem,
    StoredObject,
    parse_list,
)
from fuchsiapin.exceptions import MalformedObject, ObjectApiError
from fuchsiapin.jsonpages import load_json
from fuchsiapin.messages import (
    Configuration,
    KnownProcess,
    ProcessStatus,
    ServiceMembership,
    ZoneBalancers,
)
from fuchsiapin.objectreading import read_list, read_record
from fuchsiapin.snapshot import DeploymentSnapshot, processes_of

__all__ = ["gather_snapshot", "list_objects"]

CALL_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 64

OBJECT_TYPES = {
    "config": Configuration,
    "members": ServiceMembership,
    "balancers": ZoneBalancers,
}
"""Types of stored objects by the first segment of their key."""


async def gather_snapshot(
    reactor: Any, url: str, deployment: str, via: Iterable[str] = ()
) -> DeploymentSnapshot:
    """Return the state of a deployment.

    Parameters
    ----------
    reactor : twisted reactor
        The event loop.
    url : str
        URL of the object API.
    deployment : str
        Name of the deployment.
    via : iterable of str
        Admin addresses, host:port, of processes whose known peers are read too;
        useful while the object API is unreachable. Then the known peers of the first
        known side process are read as well.
    """
    snapshot = await read_stored(reactor, url, deployment)
    reader = ProcessReader(reactor)
    known = {(item.role, item.name): item for item in snapshot.processes}
    for address in via:
        known = await reader.read_known(address) | known
    sides = [item for item in known.values() if item.role == "side" and item.admin]
    if snapshot.object_api_state == "unreachable" and sides:
        known = await reader.read_known(sides[0].admin) | known
    processes = [known[key] for key in sorted(known)]
    statuses = await reader.read_statuses(processes)
    refused = [*snapshot.refused, *reader.refused]
    return replace(snapshot, processes=processes, statuses=statuses, refused=refused)


async def read_stored(reactor: Any, url: str, deployment: str) -> DeploymentSnapshot:
    """Return the state of a deployment from the object API alone."""
    refused: list[str] = []

    def refuse(key: str, reason: str) -> None:
        refused.append(f"{key}: {reason}")

    client = ObjectApiClient(reactor, url)
    try:
        objects = await list_objects(client, refuse)
    except ObjectApiError as error:
        if isinstance(error.__cause__, MalformedObject | ValueError):
            refuse("the object API", str(error))
        return DeploymentSnapshot(
            deployment, "unreachable", None, [], [], refused=refused
        )
    finally:
        client.close()
    found: dict[str, Any] = {}
    for item in objects:
        object_type = OBJECT_TYPES.get(item.key.split("/")[0])
        if object_type is None or not item.value:
            continue
        try:
            found[item.key] = decode_object(
                object_type, item.value, item.key, partial(refuse, item.key)
            )
        except MalformedObject as error:
            refuse(item.key, str(error))
    config = found.get(f"config/{deployment}")
    services = {item.name for item in config.services} if config else None
    memberships = [
        value
        for key, value in sorted(found.items())
        if key.startswith("members/")
        and (services is None or value.service in services)
    ]
    zones = [
        value for key, value in sorted(found.items()) if key.startswith("balancers/")
    ]
    processes = processes_of(memberships, zones)
    return DeploymentSnapshot(
        deployment, "reachable", config, memberships, processes, refused=refused
    )


async def list_objects(
    client: ObjectApiClient, on_problem: OnProblem = lambda key, reason: None
) -> list[StoredObject]:
    """Return all objects, without waiting for changes.

    `on_problem` is called for each entry that can't be read.

    Raises
    ------
    ObjectApiError
        If the object API fails or its response is malformed.
    """
    status, data, _ = await client.call(
        "GET", "/objects?since=0", b"", {}, CALL_TIMEOUT_S, MAX_LIST_BYTES
    )
    if status != 200:
        raise ObjectApiError(f"list: status {status}")
    return parse_list(data, on_problem)[1]


class ProcessReader:
    """Reads admin pages of processes.

    Parameters
    ----------
    reactor : twisted reactor
        The event loop.

    Attributes
    ----------
    refused : dict
        Why a page, or an entry of it, was left out, in the order of the reads.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.refused: dict[str, None] = {}

    def refuse(self, place: str, reason: str) -> None:
        """Note an odd value."""
        self.refused[f"{place}: {reason}"] = None

    async def read_known(self, address: str) -> dict[tuple[str, str], KnownProcess]:
        """Return a process and its known peers, without those that can't be read."""
        values = await self.read_page(address, "/peers")
        status = await self.read_status(address)
        place = f"{address}/peers"
        found: list[KnownProcess] = []
        try:
            if values is not None:
                refuse = partial(self.refuse, place)
                found = read_list(KnownProcess, values, "", refuse)
        except MalformedObject as error:
            self.refuse(place, str(error))
        if status is not None:
            found.append(
                KnownProcess(
                    status.name,
                    status.role,
                    status.service,
                    status.zone,
                    status.state,
                    address,
                )
            )
        return {(item.role, item.name): item for item in found}

    async def read_statuses(
        self, processes: list[KnownProcess]
    ) -> dict[tuple[str, str], ProcessStatus]:
        """Return the statuses of the processes that answer."""
        limit = DeferredSemaphore(MAX_CONCURRENT_CALLS)
        calls = [
            limit.run(
                lambda address=item.admin: ensureDeferred(self.read_status(address))
            )
            for item in processes
            if item.admin
        ]
        answers = await gatherResults(calls)
        return {(item.role, item.name): item for item in answers if item is not None}

    async def read_status(self, address: str) -> ProcessStatus | None:
        """Return the status of the process at an address, None without a valid one."""
        values = await self.read_page(address, "/status")
        try:
            return read_record(ProcessStatus, values, "") if values else None
        except MalformedObject as error:
            self.refuse(f"{address}/status", str(error))
            return None

    async def read_page(self, address: str, path: str) -> Any:
        """Return the JSON of one admin page, None without a valid response."""
        url = f"http://{address.removeprefix('http://')}"
        client = ObjectApiClient(self.reactor, url)
        try:
            status, data, _ = await client.call("GET", path, b"", {}, CALL_TIMEOUT_S)
            return load_json(data) if status == 200 else None
        except ObjectApiError:
            return None
        except ValueError as error:
            self.refuse(f"{address}{path}", f"not JSON: {error}")
            return None
        finally:
            client.close()
