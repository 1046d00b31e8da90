"""Admission control: the slots and the bounded queue of one upstream."""

from collections import deque
from collections.abc import Iterator

from fuchsiapin.coap.fairqueueing import InOrder
from fuchsiapin.coap.requests import Request

__all__ = ["Admission"]

INITIAL_SERVICE_MS = 100
"""Service time assumed before the first answer."""
MIN_PAUSE_MS = 100
"""First pause in sending to an upstream that sheds.

Each further shed request doubles it up to `MAX_PAUSE_MS`.
"""
MAX_PAUSE_MS = 3_200
"""Limit of the doubled pause."""
SMOOTHING = 0.1
"""Weight of the newest service time in the exponential moving average."""


class Admission:
    """Slots, queue and measured service time of this process's upstream.

    Parameters
    ----------
    slots : int
        Requests that the upstream serves at the same time.
    queue_limit : int
        Bound on the queued requests.
    sharing : InOrder
        Decides which request is next, and which classes may queue more.
    """

    def __init__(self, slots: int, queue_limit: int, sharing: InOrder) -> None:
        self.sharing = sharing
        self.slots = slots
        self.queue_limit = queue_limit
        self.running: dict[bytes, int] = {}
        self.queue: deque[Request] = deque()
        self.mean_service_ms = float(INITIAL_SERVICE_MS)
        self.pause_ms = 0
        self.paused_until = 0
        self.is_paused = False

    @property
    def has_free_slot(self) -> bool:
        """Whether another request may be sent to the upstream now."""
        return len(self.running) < self.concurrency_limit

    @property
    def concurrency_limit(self) -> int:
        """Requests that may run at the upstream at the same time at present.

        While the upstream sheds requests, it gets none during the pause and then
        one at a time as a probe.
        """
        if not self.pause_ms:
            return self.slots
        return 0 if self.is_paused else 1

    def on_shed(self, now: int) -> int:
        """Stop sending to the upstream that shed a request; return the pause in ms."""
        self.pause_ms = min(max(2 * self.pause_ms, MIN_PAUSE_MS), MAX_PAUSE_MS)
        self.paused_until = now + self.pause_ms
        self.is_paused = True
        return self.pause_ms

    def resume(self, now: int) -> None:
        """End the pause if its time is over."""
        if now >= self.paused_until:
            self.is_paused = False

    def on_served(self) -> None:
        """Halve the pause after the upstream served a request.

        From the minimum it becomes 0: the probing ends, and all slots are used again.
        """
        self.pause_ms = self.pause_ms // 2 if self.pause_ms > MIN_PAUSE_MS else 0

    def wait_ms(self) -> int:
        """Return the estimated wait of a new request in ms, ignoring pauses."""
        ahead = len(self.running) + len(self.queue) - self.slots + 1
        if ahead <= 0:
            return 0
        return int(ahead * self.mean_service_ms / self.slots)

    def accepts(self, now: int, deadline: int, tenant: str = "") -> bool:
        """Return whether a request may be queued and is expected to end in time."""
        if not self.sharing.may_wait(self.queue, self.queue_limit, tenant):
            return False
        return now + self.wait_ms() + self.mean_service_ms <= deadline

    def enqueue(self, request: Request) -> None:
        """Append a request to the queue."""
        self.queue.append(request)

    def insert(self, request: Request) -> None:
        """Insert a request before all that have a later deadline."""
        for position, other in enumerate(self.queue):
            if other.deadline > request.deadline:
                self.queue.insert(position, request)
                return
        self.queue.append(request)

    def remove(self, request: Request) -> None:
        """Remove a request from the queue if it is in it."""
        if request in self.queue:
            self.queue.remove(request)

    def in_turn(self) -> Iterator[Request]:
        """Return the queued requests, the next one first."""
        return self.sharing.in_turn(self.queue)

    def start(self, key: bytes, now: int, tenant: str = "") -> None:
        """Assign a slot to a request."""
        self.running[key] = now
        self.sharing.on_started(tenant)

    def release(self, key: bytes) -> None:
        """Free the slot of a request without updating the mean service time."""
        self.running.pop(key, None)

    def finish(self, key: bytes, now: int) -> None:
        """Free the slot of a request and update the mean service time."""
        started = self.running.pop(key, None)
        if started is not None:
            self.mean_service_ms += SMOOTHING * (now - started - self.mean_service_ms)
