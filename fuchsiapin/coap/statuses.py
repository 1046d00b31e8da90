"""The status that a process reports, read from its decision core."""

from collections.abc import Callable, Iterable
from typing import Any

from fuchsiapin.coap.balancercore import BalancerCore
from fuchsiapin.coap.sidecore import SideCore
from fuchsiapin.messages import (
    BalancerMember,
    EventCount,
    KnownProcess,
    Member,
    ProcessStatus,
    ViewStatus,
)
from fuchsiapin.registry import Registry

__all__ = [
    "describe_balancer",
    "describe_side",
    "describers",
    "known_processes",
    "known_to_balancer",
    "known_to_side",
]

describers = Registry("role")
"""Functions from a core to its status, by role."""

known_processes = Registry("role")
"""Functions from a core to the processes that it knows, by role."""

Describer = Callable[[Any, str, str, list[EventCount]], ProcessStatus]


@describers.register("side")
def describe_side(
    core: SideCore, version: str, object_api: str, counts: list[EventCount]
) -> ProcessStatus:
    """Return the status of a side process.

    Parameters
    ----------
    core : SideCore
        Its decision core.
    version : str
        Version of the program.
    object_api : str
        State of the connection to the object API.
    counts : list of EventCount
        How often each event was reported.
    """
    me, ownership = core.membership.me, core.ownership
    members = [member.id for member in ownership.history.members()]
    return ProcessStatus(
        name=me.id,
        role="side",
        service=core.service,
        zone=me.zone,
        version=version,
        incarnation=me.incarnation,
        state=me.state,
        not_ready=side_unready_reasons(core),
        object_api=object_api,
        config=core.config.number if core.config else 0,
        views=[ViewStatus(core.service, ownership.view, ownership.active, members)],
        in_flight=len(core.admission.running),
        waiting=len(core.admission.queue),
        observations=len(core.observations.served),
        records=len(core.table),
        counts=counts,
        retries=core.link.retransmissions,
    )


def side_unready_reasons(core: SideCore) -> list[str]:
    """Return why a side process is not ready."""
    me, ownership = core.membership.me, core.ownership
    reasons = relay_unready_reasons(core)
    if core.config is None:
        reasons.append("no configuration is known yet")
    if not ownership.view:
        reasons.append("no view of the service is known yet")
    elif not core.membership.is_joined:
        reasons.append("this process is not in the newest view")
    elif ownership.active < ownership.view and me.state == "live":
        reasons.append(f"flows of view {ownership.view} are not all taken over yet")
    if me.state == "down":
        reasons.append("the upstream is silent")
    if me.state == "leaving":
        reasons.append("the upstream is leaving")
    return reasons


def relay_unready_reasons(core: SideCore | BalancerCore) -> list[str]:
    """Return why the relay of a process is not ready."""
    reason = core.relay.unready_reason()
    return [reason] if reason else []


@describers.register("balancer")
def describe_balancer(
    core: BalancerCore, version: str, object_api: str, counts: list[EventCount]
) -> ProcessStatus:
    """Return the status of a balancer; parameters as for `describe_side`."""
    return ProcessStatus(
        name=core.me.id,
        role="balancer",
        service="",
        zone=core.me.zone,
        version=version,
        incarnation=core.me.incarnation,
        state="live" if core.stopped_at is None else "leaving",
        not_ready=balancer_unready_reasons(core),
        object_api=object_api,
        config=core.config.number if core.config else 0,
        views=[
            ViewStatus(
                service, history.number, 0, [member.id for member in history.members()]
            )
            for service, history in sorted(core.views.items())
        ],
        in_flight=0,
        waiting=0,
        observations=0,
        records=0,
        counts=counts,
        in_force=core.relay.in_force(core.now) if core.relay.is_watching else [],
    )


def balancer_unready_reasons(core: BalancerCore) -> list[str]:
    """Return why a balancer is not ready."""
    reasons = relay_unready_reasons(core)
    if core.config is None:
        reasons.append("no configuration is known yet")
    if not core.views:
        reasons.append("no view of any service is known yet")
    if core.stopped_at is not None:
        reasons.append("a planned stop is under way")
    elif not core.updater.value or core.me not in core.updater.value.members:
        reasons.append("this balancer is not in its availability zone's object")
    return reasons


@known_processes.register("side")
def known_to_side(core: SideCore) -> list[KnownProcess]:
    """Return the members of the process's service and all known balancers."""
    balancers = [member for zone in core.balancers.values() for member in zone.values()]
    members = core.ownership.history.members()
    return [
        *to_known_processes(core.service, members),
        *to_known_processes("", balancers),
    ]


@known_processes.register("balancer")
def known_to_balancer(core: BalancerCore) -> list[KnownProcess]:
    """Return the members of all services and the balancers of its own zone."""
    zone = core.updater.value
    processes = to_known_processes("", zone.members if zone else [])
    for service, history in sorted(core.views.items()):
        processes += to_known_processes(service, history.members())
    return processes


def to_known_processes(
    service: str, members: Iterable[Member | BalancerMember]
) -> list[KnownProcess]:
    """Return members as `KnownProcess` items; balancers have an empty service."""
    role = "side" if service else "balancer"
    return [
        KnownProcess(member.id, role, service, member.zone, member.state, member.admin)
        for member in members
    ]
