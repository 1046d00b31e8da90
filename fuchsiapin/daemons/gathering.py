"""Reads the state of a deployment from the object API and from its processes."""

import json
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import DeferredSemaphore, ensureDeferred, gatherResults

from fuchsiapin.codec import converter, decode_object
from fuchsiapin.daemons.objectapi import (
    MAX_LIST_BYTES,
    ObjectApiClient,
    StoredObject,
    parse_list,
)
from fuchsiapin.exceptions import MalformedObject, ObjectApiError
from fuchsiapin.messages import (
    Configuration,
    KnownProcess,
    ProcessStatus,
    ServiceMembership,
    ZoneBalancers,
)
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
    known = {(item.role, item.name): item for item in snapshot.processes}
    for address in via:
        known = await read_known_processes(reactor, address) | known
    sides = [item for item in known.values() if item.role == "side" and item.admin]
    if snapshot.object_api_state == "unreachable" and sides:
        known = await read_known_processes(reactor, sides[0].admin) | known
    processes = [known[key] for key in sorted(known)]
    statuses = await read_statuses(reactor, processes)
    return replace(snapshot, processes=processes, statuses=statuses)


async def read_stored(reactor: Any, url: str, deployment: str) -> DeploymentSnapshot:
    """Return the state of a deployment from the object API alone."""
    try:
        objects = await list_objects(ObjectApiClient(reactor, url))
    except ObjectApiError:
        return DeploymentSnapshot(deployment, "unreachable", None, [], [])
    found: dict[str, Any] = {}
    for item in objects:
        object_type = OBJECT_TYPES.get(item.key.split("/")[0])
        if object_type is None or not item.value:
            continue
        try:
            found[item.key] = decode_object(object_type, item.value)
        except MalformedObject:
            continue  # left out of the state
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
    return DeploymentSnapshot(deployment, "reachable", config, memberships, processes)


async def list_objects(client: ObjectApiClient) -> list[StoredObject]:
    """Return all objects, without waiting for changes.

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
    return parse_list(data)[1]


async def read_known_processes(
    reactor: Any, address: str
) -> dict[tuple[str, str], KnownProcess]:
    """Return a process and its known peers, empty if it doesn't answer."""
    values = await read_page(reactor, address, "/peers")
    own_status = await read_status(reactor, address)
    if values is None or own_status is None:
        return {}
    found = [converter.structure(item, KnownProcess) for item in values]
    found.append(
        KnownProcess(
            own_status.name,
            own_status.role,
            own_status.service,
            own_status.zone,
            own_status.state,
            address,
        )
    )
    return {(item.role, item.name): item for item in found}


async def read_statuses(
    reactor: Any, processes: list[KnownProcess]
) -> dict[tuple[str, str], ProcessStatus]:
    """Return the statuses of the processes that answer."""
    limit = DeferredSemaphore(MAX_CONCURRENT_CALLS)
    calls = [
        limit.run(
            lambda address=item.admin: ensureDeferred(read_status(reactor, address))
        )
        for item in processes
        if item.admin
    ]
    answers = await gatherResults(calls)
    return {(item.role, item.name): item for item in answers if item is not None}


async def read_status(reactor: Any, address: str) -> ProcessStatus | None:
    """Return the status of the process at an address, None if there is no answer."""
    values = await read_page(reactor, address, "/status")
    try:
        return converter.structure(values, ProcessStatus) if values else None
    except Exception:  # noqa: BLE001 - another program answers there
        return None


async def read_page(reactor: Any, address: str, path: str) -> Any:
    """Return the JSON of one admin page, None without a valid response."""
    client = ObjectApiClient(reactor, f"http://{address.removeprefix('http://')}")
    try:
        status, data, _ = await client.call("GET", path, b"", {}, CALL_TIMEOUT_S)
        return json.loads(data) if status == 200 else None
    except (ObjectApiError, ValueError):
        return None
