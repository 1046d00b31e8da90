"""State that the parts of a side process share: upstream, flows, queue and load."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from fuchsiapin.flows.admission import AdmissionControl
from fuchsiapin.flows.coldstart import ColdStart
from fuchsiapin.flows.evacuations import EvacuatedZones
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.heldflows import HeldFlows
from fuchsiapin.flows.members import Load
from fuchsiapin.flows.queueing import PREFERRED_FACTOR, OpeningQueue, max_in_flight
from fuchsiapin.flows.upstreams import UpstreamState
from fuchsiapin.lightclasses import dataclass

__all__ = ["SideSettings", "SideState"]

MAX_LOST_FLOWS = 50_000
"""Maximum number of remembered flows that were lost with their upstream; as many as are
held."""
MEAN_WAITING_SMOOTHING = 0.1
"""Weight of the current value in the moving average of waiting requests, updated every
100 ms; averages over about a second."""
THOUSANDTHS = 1_000


@dataclass(frozen=True)
class SideSettings:
    """Identity and settings of a side process.

    Parameters
    ----------
    host, service, zone : str
        Address, service and availability zone of its VM.
    interval_ms : int
        Time between two heartbeats of its upstream.
    flow_ms : int
        Longest life of a flow.
    seeds : list of str
        Addresses of balancers to announce its member to.
    bounds_cold : bool
        Whether the settings bound the openings that a cold upstream gets.
    """

    host: str
    service: str
    zone: str
    interval_ms: int
    flow_ms: int
    seeds: list[str]
    bounds_cold: bool = False


class SideState:
    """State that the parts of a side process share.

    Parameters
    ----------
    record : SideSettings
        Identity and settings of this process.
    report : callable
        Takes the number and the fields of an event.

    Attributes
    ----------
    upstream : UpstreamState
        State of the upstream, from its heartbeats and packets.
    cold_start : ColdStart
        Limit of the openings that the upstream gets while it is cold.
    held : HeldFlows
        Flows that the upstream holds.
    queue : OpeningQueue
        New flows that wait for room.
    zones : EvacuatedZones
        What balancers told of the zone of this VM.
    admission : AdmissionControl
        Decides which of them are returned early.
    lost_flows : FlowCache
        Flows that were open when an incarnation of the upstream ended.
    mean_waiting : float
        Moving average of requests that the upstream hasn't begun to answer, over
        about a second.
    counts : Counter
        Number of decisions by outcome, for metrics.
    """

    def __init__(self, record: SideSettings, report: Callable[..., None]) -> None:
        self.record = record
        self.report = report
        self.effects: list[Any] = []
        self.upstream = UpstreamState(
            record.host, record.service, record.zone, record.interval_ms
        )
        self.cold_start = ColdStart(self.upstream, record.bounds_cold)
        self.held = HeldFlows()
        self.queue = OpeningQueue()
        self.admission = AdmissionControl()
        self.lost_flows = FlowCache(MAX_LOST_FLOWS, record.flow_ms)
        self.counts: Counter[str] = Counter()
        self.mean_waiting = 0.0
        self.started_at = 0
        self.is_stopping = False
        self.zones = EvacuatedZones()
        self.was_overloaded = False

    def refusal_reason(self, now: int) -> str:
        """Return why no new flows are taken, empty if they are."""
        if self.is_stopping:
            return "stopping"
        if self.is_evacuated:
            return "its zone is evacuated"
        return self.cold_start.refusal_reason(now) or self.upstream.refusal_reason(now)

    @property
    def is_evacuated(self) -> bool:
        """Return whether the zone of this VM is evacuated."""
        return self.record.zone in self.zones.evacuated

    def load(self, now: int) -> Load:
        """Return the current load of the upstream."""
        return Load(
            self.held.unanswered_requests + len(self.held.reserved) + len(self.queue),
            int(self.mean_waiting * THOUSANDTHS),
            len(self.held.flows),
            self.cold_start.cold_ms(now),
            int(self.held.service_ms),
        )

    @property
    def slots(self) -> int:
        """Return how many requests the upstream runs concurrently, 1 if unknown."""
        member = self.upstream.member
        return member.slots if member is not None else 1

    def has_room(self) -> bool:
        """Return whether the upstream can be given another request now."""
        return self.in_flight < max_in_flight(self.slots)

    def has_room_for_next(self) -> bool:
        """Return whether the upstream can be given the next queued flow now.

        Requests on open flows reach the upstream without waiting here. While those of
        lower priorities keep it busy, a flow of a higher priority would not be let in
        at all, so these don't count for it up to a limit.
        """
        if self.has_room():
            return True
        limit = max_in_flight(self.slots)
        if self.in_flight >= PREFERRED_FACTOR * limit:
            return False
        return self.held.in_flight(self.queue.next_priority()) < limit

    @property
    def in_flight(self) -> int:
        """Return the requests that the upstream has, and the flows let in for one."""
        return self.held.unanswered_requests + len(self.held.reserved)

    def update_mean_waiting(self) -> None:
        """Update the moving average of waiting requests."""
        self.mean_waiting += MEAN_WAITING_SMOOTHING * (
            self.held.unanswered_requests - self.mean_waiting
        )

    def review_admission(self, now: int) -> None:
        """Report when an overload begins or ends."""
        rates = self.admission.rates
        rates.expire(now)
        self.admission.update(now)
        if self.admission.is_overloaded == self.was_overloaded:
            return
        self.was_overloaded = self.admission.is_overloaded
        self.report(
            6213,
            is_overloaded=self.was_overloaded,
            waiting=len(self.queue),
            arrivals_per_s=rates.arrivals_per_s(now),
            admissions_per_s=rates.admissions_per_s(now),
        )

    def lose_flows(self, now: int) -> None:
        """Clear the flows of an ended incarnation, and remember the open ones."""
        for flow, state in self.held.flows.items():
            if state.is_open and not state.is_ended:
                self.lost_flows.put(flow, True, now)
        # Counts every tracked flow, also ended ones and those not open yet.
        self.counts["flows lost"] += len(self.held.flows)
        self.held.clear()
