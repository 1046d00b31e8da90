"""Policies that place and refuse new flows.

They only decide: they take a balancer's views of a service's members and return
members or reasons.
"""

from collections.abc import Collection, Sequence

from xxhash import xxh3_64_intdigest

from fuchsiapin.flows.members import MemberView
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.registry import Registry

__all__ = ["placement_policies", "rank_views", "refusal_policies", "usable_views"]

placement_policies = Registry("placement policy")
refusal_policies = Registry("refusal policy")

LOAD_RANKS = 4
"""Number of first ranks among which load decides, in the balancer's availability zone
and among all members; searches ask these first."""
SERVICE_WEIGHT = 0.4
"""Weight of the service time in the cost of a member, relative to a wait. With the
whole service time slow upstreams stay idle until the others have a queue."""
MEAN_WAITING_WEIGHT = 0.5
"""Weight of the mean number of waiting requests over about a second, relative to the
current number."""
COLD_REQUESTS = 1.0
"""Requests added to the expected load of an upstream that is slow after its start."""
OTHER_ZONE_REQUESTS = 0.15
"""Requests added to the expected load of an upstream in another availability zone."""
OTHER_ZONE_SHARE = 0.25
"""Part of the time between service time and target latency that a caller may wait for
an upstream of its own availability zone before one of another zone is preferred."""
FAST_RATIO = 4
"""An upstream that answers this many times faster than the others of its service may
fail its requests."""
MIN_COMPARED = 3
"""Minimum number of members whose answer times are compared."""
FAST_WAIT_FACTOR = 4
"""Wait assumed at such an upstream, in answer times of the others."""
TRIAL_ONE_IN = 16
"""New flows, one in this many, that are placed without regard to fast answers, so that
an upstream that works again is noticed."""
THOUSANDTHS = 1_000


def rank_views(flow: bytes, views: Sequence[MemberView]) -> list[MemberView]:
    """Return members in the order of rendezvous hashing for a flow.

    Every balancer computes the same order, whatever load reports it has.
    """
    return sorted(
        views,
        key=lambda view: xxh3_64_intdigest(flow, view.rank_seed),
        reverse=True,
    )


def usable_views(
    now: int,
    views: Sequence[MemberView],
    tried: Sequence[str] = (),
    evacuated: Collection[str] = (),
) -> list[MemberView]:
    """Return the members that a new flow may be offered to.

    Members that are suspect, or were never heard, are used only if there are no others.
    If all are suspect, it is more likely that this balancer itself is cut off. One that
    was never heard may be listed in the store although it left. Those of evacuated
    zones are never used.
    """
    ready = [
        view
        for view in views
        if view.member.state == "ready"
        and view.refused_until <= now
        and view.member.host not in tried
        and view.member.zone not in evacuated
    ]
    responsive = [view for view in ready if view.was_heard and not view.is_suspect(now)]
    return responsive or ready


def expected_load(view: MemberView, zone: str) -> float:
    """Return the load that a new flow would meet, in requests per slot."""
    load = view.load
    waiting = (
        load.waiting
        + view.placed_since_report
        + MEAN_WAITING_WEIGHT * load.mean_waiting_thousandths / THOUSANDTHS
    )
    if load.cold_ms > 0:
        waiting += COLD_REQUESTS
    if view.member.zone != zone:
        waiting += OTHER_ZONE_REQUESTS
    return waiting / view.member.slots


def expected_wait_ms(view: MemberView, service_ms: float) -> float:
    """Return how long the next request would wait for a slot, in ms."""
    slots = view.member.slots
    waiting = float(view.load.waiting + view.placed_since_report)
    if view.load.cold_ms > 0:
        waiting += COLD_REQUESTS
    return max(0.0, waiting + 1 - slots) * service_ms / slots


def typical_service_ms(views: Sequence[MemberView]) -> float:
    """Return the median service time, 0 with too few members to compare."""
    times = sorted(view.load.service_ms for view in views if view.was_heard)
    return times[len(times) // 2] if len(times) >= MIN_COMPARED else 0


def member_cost(
    view: MemberView, typical_ms: float, is_trial: bool
) -> tuple[float, float, float]:
    """Return what a new flow would meet at a member.

    Parameters
    ----------
    view : MemberView
        The member.
    typical_ms : float
        Median service time of its service, 0 if it isn't known.
    is_trial : bool
        Whether members are compared as if all upstreams had that service time.

    Returns
    -------
    service_ms, wait_ms, cost_ms : float
        Service time; expected wait for a slot, the longer one of the present wait and
        that over about a second; cost to the caller, by which members are compared.
    """
    service_ms = max(float(view.load.service_ms), 1.0)
    is_too_fast = service_ms * FAST_RATIO < typical_ms
    if is_trial and typical_ms:
        service_ms = typical_ms
    slots = view.member.slots
    mean_waiting = view.load.mean_waiting_thousandths / THOUSANDTHS
    wait_ms = expected_wait_ms(view, service_ms)
    mean_wait_ms = max(0.0, mean_waiting + 1 - slots) * service_ms / slots
    if is_too_fast and not is_trial:
        wait_ms += FAST_WAIT_FACTOR * typical_ms
    cost_ms = (
        SERVICE_WEIGHT * service_ms
        + wait_ms
        + MEAN_WAITING_WEIGHT * mean_waiting * service_ms / slots
    )
    return service_ms, max(wait_ms, mean_wait_ms), cost_ms


@placement_policies.register("own zone first")
def own_zone_first(
    flow: bytes, views: Sequence[MemberView], zone: str, target_latency_ms: int
) -> list[MemberView]:
    """Return members to offer a flow to, the best first.

    The best one has the lowest cost to the caller: expected wait for a slot and a part
    of the service time. Where traffic between availability zones is dear,
    a member of the own zone is preferred while a request would wait there for less than
    a small part of the time that the target latency leaves; beyond that, the cost
    decides, so that an uneven load spreads over the zones.

    An upstream that fails its requests at once looks idle. One that answers far faster
    than the others therefore gets new flows only once the others have a wait. A few
    flows are placed without regard to service times, so that upstreams whose speed has
    changed are noticed.
    """
    ranked = rank_views(flow, views)
    own = [view for view in ranked if view.member.zone == zone]
    candidates = list(dict.fromkeys([*own[:LOAD_RANKS], *ranked[:LOAD_RANKS]]))
    typical_ms = typical_service_ms(views)
    is_trial = xxh3_64_intdigest(flow) % TRIAL_ONE_IN == 0

    def key(view: MemberView) -> tuple[bool, float, float]:
        service_ms, wait_ms, cost_ms = member_cost(view, typical_ms, is_trial)
        spare_ms = OTHER_ZONE_SHARE * max(0.0, target_latency_ms - service_ms)
        load = expected_load(view, zone)
        if view.member.zone == zone:
            return wait_ms >= spare_ms, cost_ms, load
        return True, cost_ms + spare_ms, load

    candidates.sort(key=key)
    return list(dict.fromkeys([*candidates, *ranked]))


@placement_policies.register("least loaded of few")
def least_loaded_of_few(
    flow: bytes, views: Sequence[MemberView], zone: str, target_latency_ms: int
) -> list[MemberView]:
    """Return members to offer a flow to, the best first.

    Intended for uneven load: requests of unequal length, cold upstreams, and long flows
    that accumulate. Load decides among the first ranks only, so that a balancer that
    doesn't know the flow finds its holder among the first `LOAD_RANKS` members that it
    asks.
    """
    ranked = rank_views(flow, views)
    candidates = sorted(ranked[:LOAD_RANKS], key=lambda view: expected_load(view, zone))
    return [*candidates, *ranked[LOAD_RANKS:]]


@placement_policies.register("first rank")
def first_rank(
    flow: bytes, views: Sequence[MemberView], zone: str, target_latency_ms: int
) -> list[MemberView]:
    """Return members by rank alone, as a baseline for comparison."""
    return rank_views(flow, views)


@refusal_policies.register("past the deadline")
def past_the_deadline(
    route: FlowRoute, views: Sequence[MemberView], tried: int
) -> str | None:
    """Return why no member can serve a request in time, None if one may.

    Intended for lasting overload: if even the shortest queue takes longer than the
    deadline, a queued request would only miss it.
    """
    if not views:
        return "every member refused" if tried else "no member takes flows"
    if any(view.load.waiting < view.member.slots for view in views):
        return None  # a free slot: no wait
    waits = [
        max(0, view.load.waiting + 1 - view.member.slots)
        * view.load.service_ms
        // view.member.slots
        for view in views
    ]
    if min(waits) > route.deadline_ms:
        return f"shortest queue is {min(waits)} ms, deadline {route.deadline_ms} ms"
    return None
