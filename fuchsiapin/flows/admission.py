"""Admission control beside one upstream: which waiting new flows can be served.

The order of waiting flows lets newer ones go ahead. While more arrive than are
admitted, only the first ones of the queue have a chance, and the others would wait
until their callers give up. From the rates of both this module estimates the
probability that a waiting flow is admitted in time, and finds those that should be
returned at once.
"""

from collections import deque
from collections.abc import Sequence
from math import erfc, exp, sqrt

from fuchsiapin.flows.members import MemberView
from fuchsiapin.flows.queueing import OpeningQueue, WaitingOpening, max_in_flight
from fuchsiapin.lightclasses import dataclass

__all__ = [
    "GIVE_UP_MS",
    "OVERLOADED",
    "AdmissionControl",
    "AdmissionRates",
    "EventRate",
    "admission_probability",
    "views_with_room",
]

OVERLOADED = "overloaded"
"""Reason of a flow's early return. The previous build treats it like `full`."""
GIVE_UP_MS = 1_400
"""How long callers wait for the acceptance of a flow."""
BURST_MS = 300
"""How much longer than the window of the rates arrivals must exceed admissions before
flows are returned early. A burst of 200 ms keeps the measured rate high for its own
length and that of the window, and flows that other upstreams return add a little."""
BREAK_MS = 200
"""How long arrivals may be seen not to exceed admissions, because of chance, before an
overload is noticed."""
RELIEF_MS = 1_000
"""How long arrivals must not exceed admissions until an overload counts as over. Until
then flows are returned again as soon as they do."""
MIN_WINDOW_MS = 200
MAX_WINDOW_MS = 800
"""Bounds of the window of the arrival rate: the estimate must fall soon after arrivals
do."""
MIN_ADMISSIONS = 10
"""Admissions that the window should contain; a slow upstream admits few a second."""
ADMISSION_WINDOW_MS = 1_000
"""Longest window of the admission rate."""
BIN_MS = 25
"""Resolution of the windows."""
MS_PER_S = 1_000
MIN_PROBABILITY = 0.2
"""Flows that are less likely to be admitted in time are returned. At an arrival rate of
twice the admission rate two flows stay in the queue."""
WAIT_SHARE = 1 / 8
"""Part of the target latency that a flow may wait for one upstream while more flows of
its class arrive than are admitted, and half as long at each further one. A refusal may
take a quarter; the rest is for the way and the questions to other balancers."""


class EventRate:
    """Number of events in the latest time, in bins of `BIN_MS`.

    Examples
    --------
    >>> rate = EventRate(400)
    >>> for now in range(0, 200, 10):
    ...     rate.note(now)
    >>> rate.per_ms(200, 200)
    0.1
    """

    def __init__(self, longest_ms: int) -> None:
        self.longest_ms = longest_ms
        self.bins: deque[list[int]] = deque()

    def note(self, now: int) -> None:
        """Count an event."""
        start = now - now % BIN_MS
        if self.bins and self.bins[-1][0] == start:
            self.bins[-1][1] += 1
            return
        self.bins.append([start, 1])
        self.expire(now)

    def expire(self, now: int) -> None:
        """Drop the bins that no window reaches."""
        while self.bins and self.bins[0][0] < now - self.longest_ms - BIN_MS:
            self.bins.popleft()

    def per_ms(self, now: int, window_ms: int) -> float:
        """Return the events per ms in a window that ends now."""
        start = now - window_ms
        start -= start % BIN_MS
        count = sum(number for begin, number in self.bins if begin >= start)
        return count / max(now - start, 1)


class AdmissionRates:
    """Rates at which new flows arrive at one upstream and are admitted.

    Only first opening packets count as arrivals: after an outage the callers that
    repeat theirs are a limited number. Neither do flows count that other upstreams
    returned for another reason than a lasting overload, because each would count at
    every upstream that it is offered to in a burst.
    """

    def __init__(self) -> None:
        self.arrivals: dict[int, EventRate] = {}
        self.admissions = EventRate(ADMISSION_WINDOW_MS)

    def note_arrival(self, now: int, priority: int) -> None:
        """Count a first opening packet."""
        if priority not in self.arrivals:
            self.arrivals[priority] = EventRate(MAX_WINDOW_MS)
        self.arrivals[priority].note(now)

    def note_admission(self, now: int) -> None:
        """Count a flow that was given to the upstream."""
        self.admissions.note(now)

    def expire(self, now: int) -> None:
        """Drop the counts of priorities of which none arrived lately."""
        for priority, rate in list(self.arrivals.items()):
            rate.expire(now)
            if not rate.bins:
                del self.arrivals[priority]

    def window_ms(self, now: int) -> int:
        """Return the window of both rates, long enough for some admissions."""
        admissions = self.admissions.per_ms(now, ADMISSION_WINDOW_MS)
        if admissions * MAX_WINDOW_MS <= MIN_ADMISSIONS:
            return MAX_WINDOW_MS
        return max(int(MIN_ADMISSIONS / admissions), MIN_WINDOW_MS)

    def arrivals_per_ms(self, now: int, priority: int | None = None) -> float:
        """Return the rate of arrivals, of those that go ahead of a priority if given.

        It is lower than the measured rate by one standard deviation, so that chance
        doesn't look like overload.
        """
        window_ms = self.window_ms(now)
        rate = sum(
            rate.per_ms(now, window_ms)
            for other, rate in self.arrivals.items()
            if priority is None or other <= priority
        )
        return max(rate - sqrt(rate / window_ms), 0.0)

    def admissions_per_ms(self, now: int) -> float:
        """Return the rate of admissions."""
        return self.admissions.per_ms(now, self.window_ms(now))

    def arrivals_per_s(self, now: int) -> int:
        """Return the rate of all arrivals, for people."""
        return round(self.arrivals_per_ms(now) * MS_PER_S)

    def admissions_per_s(self, now: int) -> int:
        """Return the rate of admissions, for people."""
        return round(self.admissions_per_ms(now) * MS_PER_S)


def admission_probability(
    position: int, arrivals_per_ms: float, admissions_per_ms: float, time_left_ms: float
) -> float:
    """Return the probability that a waiting flow is admitted in time.

    The number of flows ahead of it, itself included, is taken as a Brownian motion
    whose drift is the difference of the rates and whose variance is their sum; the flow
    is admitted when it first reaches 0.

    Parameters
    ----------
    position : int
        Place in the queue, 1 for the next flow.
    arrivals_per_ms : float
        Rate of arrivals that go ahead of the flow.
    admissions_per_ms : float
        Rate of admissions.
    time_left_ms : float
        Time until it must be admitted.

    Examples
    --------
    >>> round(admission_probability(1, 0.1, 0.05, 1_000), 2)
    0.51
    >>> round(admission_probability(10, 0.1, 0.05, 1_000), 2)
    0.0
    >>> round(admission_probability(10, 0.02, 0.05, 1_000), 2)
    1.0
    """
    variance = (arrivals_per_ms + admissions_per_ms) * time_left_ms
    if time_left_ms <= 0 or variance <= 0:
        return 0.0
    drift = (admissions_per_ms - arrivals_per_ms) * time_left_ms
    scale = sqrt(2 * variance)
    directly = 0.5 * erfc((position - drift) / scale)
    returning = 0.5 * erfc((position + drift) / scale)
    if returning > 0.0:
        returning *= exp(min(2 * position * drift / variance, 700.0))
    return min(directly + returning, 1.0)


@dataclass(frozen=True)
class UnservableOpening:
    """A waiting flow that should be returned at once, and why.

    Parameters
    ----------
    item : WaitingOpening
        The flow.
    position : int
        Its place in the queue.
    reason : str
        Why it should be returned.
    """

    item: WaitingOpening
    position: int
    reason: str


class AdmissionControl:
    """Finds waiting flows that can't be admitted and served before their deadline.

    None is found until more flows have arrived than were admitted for longer than a
    burst takes.

    Attributes
    ----------
    rates : AdmissionRates
        Rates of arrivals and admissions.
    exceeded_since, exceeded_at : int
        When arrivals were first and last seen to exceed admissions, in ms, with breaks
        shorter than `BREAK_MS`, in an overload `RELIEF_MS`.
    is_overloaded : bool
        Whether this has lasted for longer than a burst.
    """

    def __init__(self) -> None:
        self.rates = AdmissionRates()
        self.exceeded_since = 0
        self.exceeded_at = -BREAK_MS
        self.is_overloaded = False

    def update(self, now: int) -> None:
        """Compare the rates."""
        longest_break_ms = RELIEF_MS if self.is_overloaded else BREAK_MS
        if now - self.exceeded_at >= longest_break_ms:
            self.exceeded_since = now
            self.is_overloaded = False
        if self.rates.arrivals_per_ms(now) > self.rates.admissions_per_ms(now):
            self.exceeded_at = now
            lasted_ms = now - self.exceeded_since
            if lasted_ms >= BURST_MS + self.rates.window_ms(now):
                self.is_overloaded = True

    def find_unservable(
        self, now: int, queue: OpeningQueue, service_ms: float
    ) -> list[UnservableOpening]:
        """Return the waiting flows that should be returned at once.

        Parameters
        ----------
        now : int
            Time in ms.
        queue : OpeningQueue
            The waiting flows.
        service_ms : float
            Time from a request to its answer.
        """
        if not len(queue):
            return []
        self.update(now)
        if not self.is_overloaded:
            return []
        admissions = self.rates.admissions_per_ms(now)
        rates_ahead: dict[int, float] = {}
        found = []
        position = 1
        for item in queue.in_order():
            if item.priority not in rates_ahead:
                rates_ahead[item.priority] = self.rates.arrivals_per_ms(
                    now, item.priority
                )
            arrivals = rates_ahead[item.priority]
            reason = unservable_reason(
                now, item, position, arrivals, admissions, service_ms
            )
            if reason:
                found.append(UnservableOpening(item, position, reason))
            else:
                position += 1
        return found


def unservable_reason(
    now: int,
    item: WaitingOpening,
    position: int,
    arrivals_per_ms: float,
    admissions_per_ms: float,
    service_ms: float,
) -> str:
    """Return why a waiting flow should be returned at once, empty if it should not.

    One whose target latency isn't known comes from a balancer of the previous build, or
    its route has none; it isn't returned early.
    """
    if not item.target_latency_ms:
        return ""
    time_left_ms = item.started_at + GIVE_UP_MS - now
    if item.deadline_ms:
        last_start_at = item.started_at + item.deadline_ms - service_ms
        time_left_ms = min(time_left_ms, int(last_start_at - now))
    probability = admission_probability(
        position, arrivals_per_ms, admissions_per_ms, time_left_ms
    )
    if probability < MIN_PROBABILITY:
        return "not before the deadline"
    is_overloaded = arrivals_per_ms >= admissions_per_ms
    longest_wait_ms = item.target_latency_ms * WAIT_SHARE / 2**item.returns
    if is_overloaded and longest_wait_ms <= now - item.queued_at:
        return "not near the target latency"
    return ""


def views_with_room(views: Sequence[MemberView]) -> list[MemberView]:
    """Return the members whose load reports show room for another request.

    A member without a report shows room.
    """
    return [
        view
        for view in views
        if view.load.waiting + view.placed_since_report
        < max_in_flight(view.member.slots)
    ]
