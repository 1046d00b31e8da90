"""Diagnosis of a packet flow deployment from the store and the processes' metrics."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import MAX_VERSION, read_number
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.opening import ZONES_EVACUATED
from fuchsiapin.flows.peerrecords import BalancerRecord
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.phrases import count, join_first_words

__all__ = [
    "BalancerMetrics",
    "FlowDeploymentSnapshot",
    "SideMetrics",
    "ZoneEvacuation",
    "describe_evacuations",
    "explain_flows",
    "find_evacuations",
    "parse_metrics",
    "ready_counts",
]

CONFIGURATION_DEADLINE_MS = 17_000
"""A change must be in force within this time.

It is the users' requirement for the deployment size that they expect in two years.
"""
EVACUATION_DEADLINE_MS = 5_000
"""An evacuation must be in force within this time; the default of deployments."""
MS_PER_S = 1_000
ODD_VALUES = ("odd_values", "")
"""Series and label of the number of values that can't be read, absent without any."""


@dataclass(frozen=True)
class BalancerMetrics:
    """One balancer and the values of its metrics.

    Parameters
    ----------
    record : BalancerRecord
        Record of the balancer in the store.
    error : str
        Why its metrics could not be read, empty when they were read.
    values : dict
        Metric values by series and label.
    """

    record: BalancerRecord
    error: str = ""
    values: dict[tuple[str, str], float] = field(default_factory=dict)

    @property
    def configuration(self) -> int:
        """Return the configuration version in force at the balancer, 0 if unknown."""
        return int(self.values.get(("configuration_version", ""), 0))

    @property
    def suspects(self) -> int:
        """Return the number of members that the balancer suspects."""
        return int(self.values.get(("suspect_members", ""), 0))

    @property
    def members(self) -> int:
        """Return the number of members in the balancer's state."""
        return int(sum(v for (name, _), v in self.values.items() if name == "members"))

    def evacuated_ms(self) -> dict[str, int]:
        """Return how long each evacuated zone has been known to the balancer, in ms."""
        return {
            zone: int(value)
            for (name, zone), value in self.values.items()
            if name == "evacuated_zone_ms"
        }

    def resets(self) -> dict[str, int]:
        """Return the number of flows that the balancer reset, by reason."""
        found = {}
        for (name, label), value in self.values.items():
            kind, _, reason = label.partition(": ")
            if name == "decisions_total" and kind == "reset":
                found[reason] = int(value)
        return found


@dataclass(frozen=True)
class SideMetrics:
    """One side process of an evacuated zone and the values of its metrics.

    Parameters
    ----------
    member : FlowMember
        Its upstream.
    error : str
        Why its metrics could not be read, empty when they were read.
    values : dict
        Metric values by series and label.
    """

    member: FlowMember
    error: str = ""
    values: dict[tuple[str, str], float] = field(default_factory=dict)

    @property
    def open_flows(self) -> int | None:
        """Return how many flows haven't ended, None if its metrics don't tell it."""
        value = self.values.get(("open_flows", ""))
        return None if value is None else int(value)

    @property
    def is_evacuated(self) -> bool:
        """Return whether it refuses new flows because its zone is evacuated."""
        return self.values.get(("zone_evacuated", ""), 0) > 0


@dataclass(frozen=True)
class FlowDeploymentSnapshot:
    """Snapshot of a deployment.

    Parameters
    ----------
    error : str
        Why the store could not be read, empty when it was read.
    configuration : FlowConfiguration or None
        The newest configuration, None if the store has no readable one.
    members : tuple of FlowMember
        Members in the store.
    balancers : tuple of BalancerMetrics
        Balancers in the store, with their metrics.
    evacuations : tuple of str
        Availability zones that are evacuated according to the store.
    evacuations_error : str
        Why the store doesn't list evacuations, empty when it does.
    sides : tuple of SideMetrics
        Side processes of these zones, with their metrics.
    read_at : int
        When the metrics were read, ms since the epoch.
    refused : tuple of str
        Objects of the store that were left out, and why.
    """

    error: str = ""
    configuration: FlowConfiguration | None = None
    members: tuple[FlowMember, ...] = ()
    balancers: tuple[BalancerMetrics, ...] = ()
    evacuations: tuple[str, ...] = ()
    evacuations_error: str = ""
    sides: tuple[SideMetrics, ...] = ()
    read_at: int = 0
    refused: tuple[str, ...] = ()

    @property
    def newest_in_force(self) -> int:
        """Return the newest configuration version in force at any balancer."""
        return max((balancer.configuration for balancer in self.balancers), default=0)

    @property
    def evacuation_resets(self) -> int:
        """Return how many new flows were refused because of evacuated zones."""
        return sum(item.resets().get(ZONES_EVACUATED, 0) for item in self.balancers)


@dataclass(frozen=True)
class ZoneEvacuation:
    """Progress of the evacuation of one availability zone.

    Parameters
    ----------
    zone : str
        Name of the zone.
    evacuated_ms : int or None
        The longest time for which a balancer has had it in force, in ms; None if none
        has. Balancers that were started anew count from when they learned of it.
    pending : tuple of str
        Names of the balancers that don't have it in force.
    open_flows : int
        Flows that are still open at the side processes whose metrics tell it.
    upstreams : int
        Upstreams of the zone.
    uncounted : tuple of str
        Ids of the upstreams whose open flows aren't known.
    unaware : tuple of str
        Ids of the upstreams whose side process doesn't refuse new flows.
    """

    zone: str
    evacuated_ms: int | None
    pending: tuple[str, ...]
    open_flows: int
    upstreams: int
    uncounted: tuple[str, ...]
    unaware: tuple[str, ...]


def find_evacuations(snapshot: FlowDeploymentSnapshot) -> list[ZoneEvacuation]:
    """Return the progress of each evacuation that the store holds."""
    readable = [item for item in snapshot.balancers if not item.error]
    found = []
    for zone in snapshot.evacuations:
        times = {b.record.name: b.evacuated_ms().get(zone) for b in readable}
        sides = [side for side in snapshot.sides if side.member.zone == zone]
        flows = {side.member.id: side.open_flows for side in sides}
        found.append(
            ZoneEvacuation(
                zone,
                max((ms for ms in times.values() if ms is not None), default=None),
                tuple(name for name, ms in times.items() if ms is None),
                sum(value for value in flows.values() if value is not None),
                len(sides),
                tuple(name for name, value in flows.items() if value is None),
                tuple(
                    side.member.id
                    for side in sides
                    if not side.error and not side.is_evacuated
                ),
            )
        )
    return found


def ready_counts(
    members: Iterable[FlowMember], evacuated: Collection[str] = ()
) -> Counter[str]:
    """Return the number of ready upstreams outside evacuated zones, by service."""
    return Counter(
        member.service
        for member in members
        if member.state == "ready" and member.zone not in evacuated
    )


def parse_metrics(text: str) -> dict[tuple[str, str], float]:
    """Parse the metrics of a process into values by series and label.

    Examples
    --------
    >>> parse_metrics('fuchsiapin_members{role="b",zone="z",what="desk"} 4')
    {('members', 'desk'): 4.0}
    """
    found: dict[tuple[str, str], float] = {}
    odd_values = 0
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        head, _, value = line.rpartition(" ")
        name, _, labels = head.partition("{")
        label = labels.partition('what="')[2].rpartition('"')[0]
        try:
            number = read_number(float(value), name, MAX_VERSION)
        except (ValueError, MalformedObject):
            odd_values += 1
            continue
        found[name.removeprefix("fuchsiapin_"), label] = number
    if odd_values:
        found[ODD_VALUES] = odd_values
    return found


def explain_flows(snapshot: FlowDeploymentSnapshot) -> list[str]:
    """Return a line for each problem of the deployment, empty when there is none."""
    return [
        *explain_configuration(snapshot),
        *explain_services(snapshot),
        *explain_evacuations(snapshot),
        *explain_balancers(snapshot),
        *(f"left out of the store's objects: {item}" for item in snapshot.refused),
    ]


def explain_configuration(snapshot: FlowDeploymentSnapshot) -> Iterator[str]:
    """Yield a line for an older configuration in the store, or at a balancer."""
    if snapshot.configuration is None:
        yield "the store has no configuration that can be read: no flow is accepted"
        return
    newest = snapshot.configuration.version
    if snapshot.newest_in_force > newest:
        yield (
            f"the store holds configuration {newest}, {snapshot.newest_in_force} is in "
            "force: the store came back from an older copy; write the newest "
            "configuration again"
        )
    for balancer in snapshot.balancers:
        if balancer.values and balancer.configuration < newest:
            yield (
                f"{balancer.record.name} has configuration {balancer.configuration} "
                f"in force, the store holds {newest}; if this lasts longer than "
                f"{CONFIGURATION_DEADLINE_MS} ms, check whether it reaches the store "
                "or other balancers"
            )


def explain_services(snapshot: FlowDeploymentSnapshot) -> Iterator[str]:
    """Yield a line for each service with routes and at most one ready upstream."""
    if snapshot.configuration is None:
        return
    routes: dict[str, list[str]] = {}
    for route in snapshot.configuration.routes:
        for service, _ in route.shares:
            routes.setdefault(service, []).append(route.name)
    ready = ready_counts(snapshot.members)
    outside = ready_counts(snapshot.members, snapshot.evacuations)
    for service, names in sorted(routes.items()):
        where = " outside evacuated zones" if outside[service] < ready[service] else ""
        if not outside[service]:
            yield (
                f"service {service} has no ready upstream{where}: new flows of "
                f"{len(names)} routes ({', '.join(sorted(names)[:3])}) that are "
                "assigned to it are refused at once"
            )
        elif outside[service] == 1:
            yield f"service {service} has only one ready upstream{where}"


def describe_evacuations(snapshot: FlowDeploymentSnapshot) -> Iterator[str]:
    """Yield a line on the progress of each evacuation, and on refused new flows.

    They tell of planned work, not of problems.
    """
    for item in find_evacuations(snapshot):
        began = since_text(snapshot, item)
        yield f"zone {item.zone} is evacuated {began}; {flows_text(item)}"
    if snapshot.evacuation_resets:
        refused = count(snapshot.evacuation_resets, "new flow")
        yield f"{refused} refused since the balancers' start: {ZONES_EVACUATED}"
    if snapshot.evacuations_error:
        yield (
            "the store doesn't list evacuations, so no zone can be evacuated: "
            f"{snapshot.evacuations_error}"
        )


def since_text(snapshot: FlowDeploymentSnapshot, item: ZoneEvacuation) -> str:
    """Return since when a zone has been evacuated, in words."""
    if item.evacuated_ms is None:
        return "in the store, but at no balancer that can be read"
    began_at = max(0, snapshot.read_at - item.evacuated_ms) / MS_PER_S
    time = datetime.fromtimestamp(began_at, UTC).strftime("%Y-%m-%d %H:%M:%S")
    return f"since {time} UTC or earlier ({item.evacuated_ms // MS_PER_S} s)"


def flows_text(item: ZoneEvacuation) -> str:
    """Return how many flows are still open in an evacuated zone, in words."""
    if not item.upstreams:
        return "the store has no upstream there"
    counted = item.upstreams - len(item.uncounted)
    number = count(item.open_flows, "open flow")
    if item.uncounted:
        return f"{number} at {counted} of {count(item.upstreams, 'upstream')} there"
    if item.open_flows:
        return f"{number} at {count(item.upstreams, 'upstream')} there"
    return f"no flow is open any more at {count(item.upstreams, 'upstream')} there"


def explain_evacuations(snapshot: FlowDeploymentSnapshot) -> Iterator[str]:
    """Yield a line for each process that an evacuation, or its end, hasn't reached."""
    for item in find_evacuations(snapshot):
        if item.pending:
            yield (
                f"the evacuation of zone {item.zone} isn't in force at "
                f"{join_first_words(item.pending)}; if this lasts longer than "
                f"{EVACUATION_DEADLINE_MS} ms, check whether their settings have "
                "evacuation_ms, and whether they reach the store or other balancers"
            )
        if item.unaware:
            yield (
                f"side processes of zone {item.zone} still take new flows: "
                f"{join_first_words(item.unaware)}"
            )
    for side in snapshot.sides:
        member = side.member
        if side.open_flows is None:
            yield (
                f"open flows of {member.id} at {member.host} in evacuated zone "
                f"{member.zone} aren't known: {side.error or 'no such metric'}"
            )
    for balancer in snapshot.balancers:
        for zone in sorted(balancer.evacuated_ms().keys() - snapshot.evacuations):
            yield (
                f"{balancer.record.name} still has zone {zone} evacuated, the store "
                f"doesn't; if this lasts longer than {EVACUATION_DEADLINE_MS} ms, "
                "check whether it reaches the store or other balancers"
            )


def explain_balancers(snapshot: FlowDeploymentSnapshot) -> Iterator[str]:
    """Yield lines for the problems of each balancer.

    They are unreadable metrics, missing or suspect members, and flows that were reset.
    """
    known = len(snapshot.members)
    for balancer in snapshot.balancers:
        name = balancer.record.name
        if balancer.error:
            yield (
                f"metrics of {name} at {balancer.record.host} can't be read: "
                f"{balancer.error}"
            )
            continue
        if ODD_VALUES in balancer.values:
            values = count(int(balancer.values[ODD_VALUES]), "value")
            yield f"{values} of {name}'s metrics can't be read and are left out"
        if balancer.members < known:
            yield f"{name} has {balancer.members} members, the store has {known}"
        if balancer.suspects:
            yield (
                f"{name} receives nothing from {balancer.suspects} members and prefers "
                "others for new flows"
            )
        for reason, number in sorted(balancer.resets().items()):
            yield f"{name} has reset {number} flows since its start: {reason}"
