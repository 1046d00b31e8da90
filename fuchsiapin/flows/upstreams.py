"""State of the upstream on one VM, as its side process knows it."""

from fuchsiapin.flows.members import RANKS, FlowMember
from fuchsiapin.lightclasses import dataclass, replace

__all__ = ["Heartbeat", "UpstreamState"]

SILENT_BEATS = 3
"""Number of missing heartbeats in a row after which an upstream takes no new flows."""
TAKEOVER_BEATS = 2
"""Heartbeats of an earlier start that are ignored while the later one is silent: the
system clock may have been set back between two starts."""
STALLED_MS = 120
"""An upstream that doesn't react to opening packets for this long has stalled; a
healthy one reacts within a millisecond."""
STALLED_OPENINGS = 2


@dataclass(frozen=True)
class Heartbeat:
    """A heartbeat that an upstream sends to its side process.

    Parameters
    ----------
    id : str
        Id of the upstream; usually a new one with each start.
    born : int
        Time of its start by the VM's clock, ms since the epoch.
    sequence : int
        Number that increases with each heartbeat of one start.
    service, zone : str
        Service and availability zone.
    slots : int
        Requests that it runs concurrently.
    is_draining : bool
        Whether it is about to leave.
    cold_ms : int
        Time for which it remains slow after its start.
    """

    id: str
    born: int
    sequence: int
    service: str
    zone: str
    slots: int
    is_draining: bool
    cold_ms: int


class UpstreamState:
    """State of the upstream of one VM, from its heartbeats and packets.

    Parameters
    ----------
    host, service, zone : str
        Address, service and availability zone of this VM, from the settings.
    interval_ms : int
        Time between two heartbeats.

    Attributes
    ----------
    member : FlowMember or None
        The upstream as announced to balancers, None before its first heartbeat or
        successful probe.
    is_seen_whole : bool
        Whether this process ran before the incarnation started, so that it has
        seen every flow. Derived from an earlier incarnation or a closed port,
        because clocks may jump.
    is_confirmed : bool
        Whether `member` comes from a heartbeat; otherwise from a probe.
    beaten : int
        When the last heartbeat, or the probe of a healthy upstream before it, was
        received, in ms.
    rivals : int
        Heartbeats received from an earlier start.
    unanswered : list of int
        Times of the latest opening packets since the last packet from the
        upstream, in ms.
    """

    def __init__(self, host: str, service: str, zone: str, interval_ms: int) -> None:
        self.host = host
        self.service = service
        self.zone = zone
        self.interval_ms = interval_ms
        self.member: FlowMember | None = None
        self.born = 0
        self.sequence = -1
        self.beaten = 0
        self.cold_until = 0
        self.rivals = 0
        self.rival_sequence = -1
        self.unanswered: list[int] = []
        self.is_confirmed = False
        self.is_dead = False
        self.was_closed = False
        self.is_seen_whole = False

    def take(self, now: int, beat: Heartbeat) -> str:
        """Apply a heartbeat.

        Returns
        -------
        str
            `same`, `changed` (its state), `started` (a new incarnation), or
            `late` (from an earlier one or out of order).
        """
        member = self.member
        if member is None or not self.is_confirmed:
            return self.begin(now, beat)
        if beat.id == member.id and beat.born == self.born:
            return self.go_on(now, beat, member)
        if beat.born > self.born or self.has_lost_to(now, beat):
            return self.begin(now, beat)
        return "late"

    def has_lost_to(self, now: int, beat: Heartbeat) -> bool:
        """Return whether an earlier start is alive while the later one is silent."""
        if beat.sequence > self.rival_sequence:
            self.rivals += 1
        self.rival_sequence = beat.sequence
        is_silent = now - self.beaten > 2 * self.interval_ms
        return is_silent and self.rivals > TAKEOVER_BEATS

    def go_on(self, now: int, beat: Heartbeat, member: FlowMember) -> str:
        """Apply a heartbeat of the known incarnation."""
        if beat.sequence <= self.sequence:
            return "late"
        self.note_alive(now)
        self.sequence = beat.sequence
        self.cold_until = now + beat.cold_ms
        state = "draining" if beat.is_draining else member.state
        if state == "starting":
            state = "ready"
        if (state, beat.slots) == (member.state, member.slots):
            return "same"
        self.member = make_member(self, beat, member.epoch, state)
        return "changed"

    def begin(self, now: int, beat: Heartbeat) -> str:
        """Apply the first heartbeat of an incarnation."""
        known = self.member
        self.is_seen_whole = self.is_confirmed or self.was_closed
        is_same = known is not None and known.id == beat.id and not self.is_confirmed
        epoch = beat.born
        if known is not None and not is_same:
            epoch = max(epoch, known.epoch + 1)
        state = "draining" if beat.is_draining else "ready"
        self.member = make_member(self, beat, epoch, state)
        self.born = beat.born
        self.sequence = beat.sequence
        self.cold_until = now + beat.cold_ms
        self.rivals = 0
        self.rival_sequence = -1
        self.is_confirmed = True
        self.is_dead = False
        self.unanswered = []
        self.note_alive(now)
        return "changed" if is_same else "started"

    def outbid(self, version: int) -> bool:
        """Raise the epoch above a version known elsewhere; return whether needed.

        The clock of the VM may have been set back between two incarnations.
        """
        member = self.member
        if member is None or not self.is_confirmed or version <= member.version:
            return False
        self.member = replace(member, epoch=version // RANKS + 1)
        return True

    def leave(self) -> FlowMember | None:
        """Mark the upstream as gone; return it, None if there is none."""
        if self.member is None:
            return None
        self.member = replace(self.member, state="gone")
        return self.member

    def note_alive(self, now: int) -> None:
        """Record a sign of life."""
        self.beaten = now
        self.is_dead = False

    def note_opening(self, now: int) -> None:
        """Record that an opening packet was given to the upstream."""
        self.unanswered.append(now)
        del self.unanswered[:-STALLED_OPENINGS]

    def note_packet(self, now: int) -> None:
        """Record a packet from the upstream."""
        self.unanswered = []

    def is_stalled(self, now: int) -> bool:
        """Return whether the upstream doesn't react to opening packets."""
        return (
            len(self.unanswered) >= STALLED_OPENINGS
            and now - self.unanswered[0] > STALLED_MS
        )

    def is_silent(self, now: int) -> bool:
        """Return whether heartbeats are missing."""
        return now - self.beaten > SILENT_BEATS * self.interval_ms

    def refusal(self, now: int) -> str:
        """Return why the upstream may get no new flows, empty if it may."""
        if self.member is None:
            return "no upstream is known yet"
        if self.member.state != "ready":
            return self.member.state
        if self.is_dead:
            return "its port is closed"
        if self.is_stalled(now):
            return "no reaction to opening packets"
        if self.is_silent(now):
            return "no heartbeat"
        return ""

    def cold_ms(self, now: int) -> int:
        """Return for how much longer the upstream is slow, in ms."""
        return max(0, self.cold_until - now)


def make_member(
    upstream: UpstreamState, beat: Heartbeat, epoch: int, state: str
) -> FlowMember:
    """Return an upstream's member from a heartbeat."""
    return FlowMember(
        beat.id,
        epoch,
        upstream.service,
        upstream.host,
        upstream.zone,
        max(beat.slots, 1),
        state,
    )
