"""Enforces the limit of the openings that a cold upstream gets.

All paths to an upstream converge at its side process, which therefore holds the limit
for all balancers together. Balancers send it with their pings (`coldrates`).
"""

from collections import deque

from fuchsiapin.flows.messages import ColdLimit
from fuchsiapin.flows.upstreams import UpstreamState

__all__ = ["SPAN_MS", "ColdStart", "OpeningWindow"]

SPAN_MS = 1_000
SEND_DELAY_MS = 20
"""Longest time assumed between the decision on an opening and its datagram: the process
sends after it has handled all datagrams that it found. A late batch followed by one in
time would otherwise reach the upstream closer together than decided."""
RENEWAL_MS = 1_500
"""A limit that no balancer has repeated for this long while the upstream is cold has
ended. Each side process gets about six pings a second at any deployment size."""
NEWS_MS = 1_500
"""How long a side process waits for a balancer to tell the limit. Balancers of the
previous build tell it of cold upstreams only."""
ASSUMED_COLD_MS = 1_000
"""Remaining cold time that is reported of an upstream whose cold time isn't known."""


class OpeningWindow:
    """Times of the openings given to an upstream within the last second.

    In any span of `SPAN_MS`, both ends included, are at most `limit` openings that
    `has_room` allowed. Times usually come from a clock that never steps back; one
    before the latest opening is refused.

    Examples
    --------
    >>> window = OpeningWindow()
    >>> window.note(0)
    >>> window.has_room(900, 1), window.has_room(900, 2), window.has_room(1_100, 1)
    (False, True, True)
    """

    def __init__(self) -> None:
        self.times: deque[int] = deque()

    def note(self, now: int) -> None:
        """Record an opening."""
        times = self.times
        times.append(max(now, times[-1]) if times else now)
        while times[0] + SPAN_MS + SEND_DELAY_MS < times[-1]:
            times.popleft()

    def count(self, now: int) -> int:
        """Return how many openings at `now` have to be counted, with later ones."""
        start = now - SPAN_MS - SEND_DELAY_MS
        return sum(time >= start for time in self.times)

    def has_room(self, now: int, limit: int) -> bool:
        """Return whether another opening at `now` keeps the limit, which is above 0."""
        times = self.times
        if not times:
            return True
        if now < times[-1]:
            return False
        return len(times) < limit or times[-limit] + SPAN_MS + SEND_DELAY_MS < now


class ColdStart:
    """The limit of one upstream while it is cold.

    What is known of it may be outdated, as after an evacuation, in which upstreams may
    have turned cold, or missing, as after a start of this process. The upstream takes
    no new flows then until a balancer tells the limit, and counts as cold until its
    next heartbeat. A process that has just started doesn't know which openings a former
    one gave to the upstream either; a cold one gets no new flows for a second.

    Parameters
    ----------
    upstream : UpstreamState
        State of the upstream.
    is_bounded : bool
        Whether the settings bound the openings of cold upstreams; without it a limit
        that isn't known is none.

    Attributes
    ----------
    configuration : int
        Version of the configuration that the limit comes from, 0 for none.
    received_at : int
        When a balancer sent the limit last, in ms, 0 for never.
    limit : int
        Openings in any span of one second, 0 for no limit.
    window : OpeningWindow
        Openings given to the upstream, whether it was cold or not.
    outdated_at : int
        Time up to which what was told is outdated, in ms, 0 if nothing is.
    window_known_at : int
        Time from which on the window has all openings, in ms.
    """

    def __init__(self, upstream: UpstreamState, is_bounded: bool = False) -> None:
        self.upstream = upstream
        self.is_bounded = is_bounded
        self.outdated_at = 0
        self.window_known_at = 0
        self.window_known_at = 0
        self.configuration = 0
        self.limit = 0
        self.received_at = 0
        self.renewed_at = 0
        self.was_cold = False
        self.window = OpeningWindow()

    def on_message(self, now: int, host: str, message: ColdLimit) -> None:
        """Apply a limit from a balancer unless it comes from an older configuration.

        Balancers whose settings differ may send different limits of one configuration;
        the last one received is in force. One that isn't repeated gives way to any.
        """
        is_repeated = now - self.received_at <= RENEWAL_MS
        if message.configuration < self.configuration and is_repeated:
            return
        self.received_at = now
        self.configuration = message.configuration
        self.limit = message.openings_per_s
        self.renewed_at = now

    def start(self, now: int) -> None:
        """Begin without any knowledge of the upstream, which may run already."""
        self.require_news(now)
        self.window_known_at = now + SPAN_MS + SEND_DELAY_MS

    def refusal_reason(self, now: int) -> str:
        """Return why the upstream may get no new flows, empty if it may."""
        if self.awaits_limit(now):
            return "its limit while cold isn't known"
        if self.limit_at(now) and now <= self.window_known_at:
            return "it is cold, and its latest openings aren't known"
        return ""

    def require_news(self, now: int) -> None:
        """Treat all that was told up to now as outdated."""
        if self.is_bounded:
            self.outdated_at = now

    def awaits_limit(self, now: int) -> bool:
        """Return whether a balancer has still to tell the limit."""
        is_outdated = self.outdated_at > 0 and self.received_at < self.outdated_at
        return is_outdated and now - self.outdated_at <= NEWS_MS

    @property
    def awaits_heartbeat(self) -> bool:
        """Return whether the upstream has still to tell its cold time."""
        return self.limit > 0 and self.upstream.heartbeat_at < self.outdated_at

    def cold_ms(self, now: int) -> int:
        """Return for how much longer the upstream is slow, as far as known, in ms."""
        assumed = ASSUMED_COLD_MS if self.awaits_heartbeat else 0
        return max(assumed, self.upstream.cold_ms(now))

    def limit_at(self, now: int) -> int:
        """Return the limit in force, 0 for none, as while the upstream is warm."""
        return self.limit if self.cold_ms(now) else 0

    def has_room(self, now: int) -> bool:
        """Return whether the upstream may be given another opening now."""
        limit = self.limit_at(now)
        return not limit or self.window.has_room(now, limit)

    def room_within(self, now: int, duration: int) -> int | None:
        """Return how many openings the limit allows up to some time from now.

        Returns
        -------
        int or None
            None if the limit doesn't bind them: there is none, or the upstream is warm
            by then.
        """
        limit = self.limit_at(now)
        end = now + duration
        if not limit or not (self.awaits_heartbeat or self.upstream.cold_ms(end)):
            return None
        return max(0, limit - self.window.count(end))

    def note_opening(self, now: int) -> None:
        """Record an opening packet that is given to the upstream."""
        self.window.note(now)

    def review(self, now: int) -> None:
        """Drop a limit that balancers no longer repeat.

        They send nothing for a service without a limit. The limit of an earlier cold
        time stays in force when the upstream starts again, until it could be repeated.
        """
        is_cold = self.cold_ms(now) > 0
        if is_cold and not self.was_cold:
            self.renewed_at = max(self.renewed_at, now)
        self.was_cold = is_cold
        if is_cold and now - self.renewed_at > RENEWAL_MS:
            self.limit = 0
