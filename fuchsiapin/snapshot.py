"""Snapshot of a whole deployment, and which of its processes lag."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

from fuchsiapin.messages import (
    ConfigAck,
    Configuration,
    KnownProcess,
    ProcessStatus,
    ServiceMembership,
    ZoneBalancers,
)

__all__ = [
    "Lag",
    "DeploymentSnapshot",
    "count_events",
    "find_lags",
    "newest_number",
    "newest_views",
    "processes_of",
    "most_complete_ack",
]

ProcessKey = tuple[str, str]
"""Role and name of a process."""


@dataclass(frozen=True)
class DeploymentSnapshot:
    """Snapshot of a deployment, collected from the object API and its processes.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    object_api_state : str
        Whether the object API was reachable.
    configuration : Configuration or None
        The stored configuration; None if there is none or it can't be decoded.
    memberships : list of ServiceMembership
        The stored members of its services.
    processes : list of KnownProcess
        All processes that any stored object or process named.
    statuses : dict
        Status of each process that responded, by role and name.
    refused : list of str
        Where odd values were found in the store or at a process, and why they were
        left out.
    """

    deployment: str
    object_api_state: Literal["reachable", "unreachable"]
    configuration: Configuration | None
    memberships: list[ServiceMembership]
    processes: list[KnownProcess]
    statuses: dict[ProcessKey, ProcessStatus] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)

    def status_of(self, process: KnownProcess) -> ProcessStatus | None:
        """Return the status of a process, None if it didn't respond."""
        return self.statuses.get((process.role, process.name))

    def side_statuses(self, service: str) -> list[ProcessStatus]:
        """Return the statuses of the side processes of a service."""
        return [item for item in self.statuses.values() if item.service == service]

    def services(self) -> list[str]:
        """Return the services of the configuration and of the processes."""
        named = (
            {item.name for item in self.configuration.services}
            if (self.configuration)
            else set()
        )
        return sorted(named | {item.service for item in self.processes} - {""})


@dataclass(frozen=True)
class Lag:
    """One way in which a process is behind the deployment.

    Parameters
    ----------
    process : str
        Name of the process.
    what : str
        `silent`: it didn't respond; `configuration`; `view` of a service; or
        `active`: the view in which an owner is active.
    service : str
        Service of a view that is behind.
    has, newest : int
        Number that the process has, and the newest number.
    """

    process: str
    what: Literal["silent", "configuration", "view", "active"]
    service: str = ""
    has: int = 0
    newest: int = 0


def processes_of(
    memberships: Iterable[ServiceMembership], zones: Iterable[ZoneBalancers]
) -> list[KnownProcess]:
    """Return the processes that stored objects name."""
    sides = [
        KnownProcess(item.id, "side", stored.service, item.zone, item.state, item.admin)
        for stored in memberships
        for item in stored.view.members
    ]
    balancers = [
        KnownProcess(item.id, "balancer", "", item.zone, item.state, item.admin)
        for zone in zones
        for item in zone.members
    ]
    return balancers + sides


def newest_number(snapshot: DeploymentSnapshot) -> int:
    """Return the newest configuration number, stored or at any process."""
    stored = snapshot.configuration.number if snapshot.configuration else 0
    known = [status.config for status in snapshot.statuses.values()]
    return max([stored, *known])


def newest_views(snapshot: DeploymentSnapshot) -> dict[str, int]:
    """Return the newest view number of each service, stored or at any process."""
    found = {item.service: item.view.number for item in snapshot.memberships}
    for status in snapshot.statuses.values():
        for view in status.views:
            found[view.service] = max(found.get(view.service, 0), view.number)
    return found


def find_lags(snapshot: DeploymentSnapshot) -> list[Lag]:
    """Return all lags of all processes."""
    found = []
    number, views = newest_number(snapshot), newest_views(snapshot)
    for process in snapshot.processes:
        status = snapshot.status_of(process)
        if status is None:
            found.append(Lag(process.name, "silent"))
            continue
        if status.config < number:
            found.append(Lag(process.name, "configuration", "", status.config, number))
        found += view_lags(process, status, views)
    return found


def most_complete_ack(snapshot: DeploymentSnapshot) -> ConfigAck | None:
    """Return the most complete acknowledgement of the configuration, None if none.

    The roots of the relay report how many processes have the configuration in force;
    the acknowledgement that counts the most processes is the most complete.
    """
    key = f"config/{snapshot.deployment}"
    found = [
        ack
        for status in snapshot.statuses.values()
        for ack in status.in_force
        if ack.key == key
    ]
    return max(found, key=lambda ack: ack.total, default=None)


def view_lags(
    process: KnownProcess, status: ProcessStatus, views: dict[str, int]
) -> list[Lag]:
    """Return the lags of one process in the views of services."""
    found = []
    known = {view.service: view for view in status.views}
    wanted = [process.service] if process.service else sorted(views)
    for service in wanted:
        newest = views.get(service, 0)
        view = known.get(service)
        number = view.number if view else 0
        if number < newest:
            found.append(Lag(process.name, "view", service, number, newest))
        elif view and is_owner(status) and view.active < newest:
            found.append(Lag(process.name, "active", service, view.active, newest))
    return found


def is_owner(status: ProcessStatus) -> bool:
    """Return whether a process should act as an owner of flows."""
    return status.role == "side" and status.state == "live"


def count_events(statuses: Iterable[ProcessStatus]) -> Counter[tuple[int, str]]:
    """Return the total count of each event, by number and reason."""
    total: Counter[tuple[int, str]] = Counter()
    for status in statuses:
        for item in status.counts:
            total[item.number, item.reason] += item.count
    return total
