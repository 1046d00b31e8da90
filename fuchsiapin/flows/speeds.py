"""Service time of an upstream, learned from the packets of its flows.

An upstream runs `slots` requests at once, and the others in the order of their arrival.
The service time of a request is the time from the moment when it had a slot to the
start of its answer; the time that it waited for the slot isn't part of it.
"""

__all__ = ["ServiceTimes"]

INITIAL_SERVICE_MS = 30.0
"""Service time assumed while there are too few samples."""
MIN_SAMPLES = 3
"""Samples needed; their median is the first average, so that one outlier is ignored."""
SMOOTHING = 0.1
"""Weight of the newest sample in the moving average."""
OUTLIER_RATIO = 3
"""A sample of more than this many averages counts as that many, unless the one before
it was as long: then the upstream has become slower."""
MIN_COMPARED = 20
"""Samples of each kind that are compared to find out how many requests run at once."""
MAX_COMPARED = 60
"""Number of samples at which the older ones lose half of their weight."""
SLOTS_MARGIN = 1.1
"""Tolerance of that comparison; samples of requests that had to wait are shorter by the
time that a packet takes to the upstream and back."""


class Comparison:
    """Mean of recent samples of one kind."""

    __slots__ = ("count", "total")

    def __init__(self) -> None:
        self.count = 0.0
        self.total = 0.0

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self.count >= MAX_COMPARED:
            self.count /= 2
            self.total /= 2
        self.count += 1
        self.total += sample

    @property
    def mean(self) -> float:
        """Return the mean."""
        return self.total / self.count


class ServiceTimes:
    """Service times of one incarnation of an upstream.

    Upstreams may run more requests at once than they report. Requests that arrive while
    fewer than the reported number run start at once in any case; if those that had to
    wait seem to take a smaller time, more slots are assumed.

    Attributes
    ----------
    reported_slots : int
        Requests that the upstream runs at once, as reported by it.
    slots : int
        The same as derived from its answers, not lower than reported.
    cold_until : int
        Time until which the upstream is slow after its start, in ms. Samples of
        requests that started before are discarded with the first one of a later
        request.
    running : dict
        Flows whose request has a slot, with the time when it got it, in ms, and whether
        it got one of the reported slots on arrival.
    queued : dict
        Flows whose request waits for a slot, in the order of arrival.
    average_ms : float
        Moving average of the service time, `INITIAL_SERVICE_MS` with few samples.
    total_ms : int
        Sum of all service times.
    use : float
        Moving average of the share of slots that run requests, over about a second.

    Examples
    --------
    >>> times = ServiceTimes()
    >>> for flow in (b"a", b"b", b"c"):
    ...     times.note_request(0, flow)
    >>> for flow, now in ((b"a", 10), (b"b", 20), (b"c", 30)):
    ...     times.note_answer(now, flow, 0)
    >>> times.average_ms
    10
    """

    def __init__(self) -> None:
        self.reported_slots = 1
        self.total_ms = 0
        self.use = 0.0
        self.cold_until = 0
        self.clear()

    def clear(self) -> None:
        """Discard all requests and samples, because a new incarnation has none."""
        self.slots = self.reported_slots
        self.running: dict[bytes, tuple[int, bool]] = {}
        self.queued: dict[bytes, None] = {}
        self.discard_samples()

    def discard_samples(self) -> None:
        """Start to learn anew."""
        self.average_ms = INITIAL_SERVICE_MS
        self.first_samples: list[int] = []
        self.has_cold_samples = False
        self.was_long = False
        self.prompt = Comparison()
        self.delayed = Comparison()

    def set_slots(self, reported_slots: int) -> None:
        """Set the number of slots that the upstream reports."""
        if reported_slots != self.reported_slots:
            self.reported_slots = self.slots = reported_slots
            self.prompt = Comparison()
            self.delayed = Comparison()

    def note_request(self, now: int, flow: bytes) -> None:
        """Record a complete request; a flow has one at a time."""
        self.start_next(now)
        if len(self.running) < self.slots:
            self.running[flow] = now, len(self.running) < self.reported_slots
        else:
            self.queued[flow] = None

    def note_answer(self, now: int, flow: bytes, arrived_at: int) -> None:
        """Record the start of the answer to a request, or its reset.

        An answer to a request that has no slot yet tells no time: the upstream refused
        it, or runs more at once than assumed.
        """
        if flow in self.queued:
            del self.queued[flow]
            return
        started_at, is_prompt = self.running.pop(flow, (arrived_at, True))
        self.start_next(now)
        self.total_ms += now - started_at
        is_cold = started_at < self.cold_until
        if self.has_cold_samples and not is_cold:
            self.discard_samples()
        self.has_cold_samples = is_cold
        sample = self.add_sample(now - started_at)
        (self.prompt if is_prompt else self.delayed).add(sample)
        self.compare()

    def note_dropped(self, now: int, flow: bytes) -> None:
        """Record that a request was cancelled, or is taken for lost."""
        self.forget(flow)
        self.start_next(now)

    def forget(self, flow: bytes) -> None:
        """Remove a flow that isn't tracked any more."""
        self.queued.pop(flow, None)
        self.running.pop(flow, None)

    def start_next(self, now: int) -> None:
        """Give the free slots to the requests that wait."""
        while self.queued and len(self.running) < self.slots:
            flow = next(iter(self.queued))
            del self.queued[flow]
            self.running[flow] = now, False

    def add_sample(self, sample: int) -> float:
        """Add a sample to the average; return it as counted."""
        if len(self.first_samples) < MIN_SAMPLES:
            self.first_samples.append(sample)
            if len(self.first_samples) == MIN_SAMPLES:
                self.average_ms = sorted(self.first_samples)[MIN_SAMPLES // 2]
            return sample
        longest = OUTLIER_RATIO * self.average_ms
        is_long = sample > longest
        counted = longest if is_long and not self.was_long else sample
        self.was_long = is_long
        self.average_ms += SMOOTHING * (counted - self.average_ms)
        return counted

    def compare(self) -> None:
        """Adapt the number of slots, if samples of the two kinds differ."""
        if min(self.prompt.count, self.delayed.count) < MIN_COMPARED:
            return
        prompt_ms, delayed_ms = self.prompt.mean, self.delayed.mean
        if delayed_ms * (self.slots + 1) < SLOTS_MARGIN * self.slots * prompt_ms:
            self.slots += 1
        elif (
            self.slots > self.reported_slots
            and delayed_ms * (self.slots - 1) * SLOTS_MARGIN > self.slots * prompt_ms
        ):
            self.slots -= 1
        else:
            return
        self.delayed = Comparison()

    def update_use(self) -> None:
        """Update the moving average of the share of slots in use."""
        self.use += SMOOTHING * (len(self.running) / self.slots - self.use)
