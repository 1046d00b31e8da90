"""State of the upstream on one VM, as its side process knows it."""

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import shown
from fuchsiapin.flows.members import MAX_EPOCH, VERSIONS_PER_EPOCH, FlowMember
from fuchsiapin.lightclasses import dataclass, replace

__all__ = ["MAX_KNOWN_VERSION", "Heartbeat", "UpstreamState"]

MISSED_HEARTBEATS = 3
"""Number of missing heartbeats in a row after which an upstream takes no new flows."""
TAKEOVER_HEARTBEATS = 2
"""Number of late heartbeats that are ignored: of an earlier start, or of the known one
with lower sequence numbers. The next one is applied if no other ones come: the system
clock may have been set back between two starts, or a heartbeat was forged."""
STALLED_MS = 120
"""An upstream that doesn't react to opening packets for this long has stalled; a
healthy one reacts within a millisecond."""
ABSENT_PROBES = 2
"""Minimum number of probes in a row that find the port closed, without a heartbeat,
after which there is no upstream; one may have been sent before it started."""
STALLED_OPENINGS = 2
"""Minimum number of opening packets without reaction that count as a stall."""
MAX_KNOWN_VERSION = MAX_EPOCH * VERSIONS_PER_EPOCH // 2
"""Largest version above which an epoch is raised; half of the range is left for later
incarnations."""


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
        Remaining time for which it is slow after its start.
    address : tuple of (str, int)
        Address and port where it receives packets.
    """

    id: str
    born: int
    sequence: int
    service: str
    zone: str
    slots: int
    is_draining: bool
    cold_ms: int
    address: tuple[str, int]


class LateHeartbeats:
    """Late heartbeats of one kind that were ignored, without repeated ones."""

    def __init__(self) -> None:
        self.count = 0
        self.sequence = -1

    def note(self, sequence: int) -> bool:
        """Count one; return whether as many as may be ignored came before it."""
        if sequence > self.sequence:
            self.count += 1
        self.sequence = sequence
        return self.count > TAKEOVER_HEARTBEATS


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
    has_seen_all_flows : bool
        Whether this process ran before the incarnation started, so that it has
        seen every flow. Derived from a closed port, or from probes that two upstreams
        answered: clocks may jump, and heartbeats may be late ones of an upstream that
        ended before this process started.
    probed_id : str
        Id of the first upstream that answered a probe, empty before.
    was_replaced : bool
        Whether another upstream answered a later probe.
    has_heartbeat : bool
        Whether `member` comes from a heartbeat; otherwise from a probe.
    last_heartbeat_at : int
        When the last heartbeat, or the probe of a healthy upstream before it, was
        received, in ms.
    heartbeat_at : int
        When the last heartbeat that was applied was received, in ms, 0 for never.
    closed_probes : int
        Probes in a row that found the port closed before any upstream was known.
    earlier_start, out_of_order : LateHeartbeats
        Heartbeats of an earlier start, and of the known one with sequence numbers up to
        the highest.
    unanswered_openings : list of int
        Times of the latest opening packets since the last packet from the
        upstream, in ms.
    leave_noticed_at : int
        When a notice that the upstream leaves was received that may be one of another
        incarnation, in ms, 0 for none. It takes no new flows until that is decided.
    has_told_leave : bool
        Whether a notice names the known incarnation.
    disputed_state : str
        State that a later heartbeat tells of an upstream that is taken for gone, empty
        without one.
    disputed_at : int
        When the first such heartbeat was received, in ms.
    """

    def __init__(self, host: str, service: str, zone: str, interval_ms: int) -> None:
        self.host = host
        self.service = service
        self.zone = zone
        self.interval_ms = interval_ms
        self.member: FlowMember | None = None
        self.born = 0
        self.sequence = -1
        self.last_heartbeat_at = 0
        self.heartbeat_at = 0
        self.cold_until = 0
        self.earlier_start = LateHeartbeats()
        self.out_of_order = LateHeartbeats()
        self.unanswered_openings: list[int] = []
        self.has_heartbeat = False
        self.probed_id = ""
        self.was_replaced = False
        self.is_port_closed = False
        self.was_port_closed = False
        self.closed_probes = 0
        self.has_seen_all_flows = False
        self.leave_noticed_at = 0
        self.has_told_leave = False
        self.disputed_state = ""
        self.disputed_at = 0

    def apply_heartbeat(self, now: int, heartbeat: Heartbeat) -> str:
        """Apply a heartbeat.

        Returns
        -------
        str
            `same`, `changed` (its state or slots, or the first heartbeat of an
            upstream known from a probe), `started` (a new incarnation), `disputed`
            (of an upstream that is taken for gone), or `late` (from an earlier one or
            out of order).
        """
        member = self.member
        if member is None or not self.has_heartbeat:
            return self.begin_incarnation(now, heartbeat)
        if heartbeat.id == member.id and heartbeat.born == self.born:
            return self.continue_incarnation(now, heartbeat, member)
        is_later = heartbeat.born > self.born
        if is_later or self.note_late(now, heartbeat, self.earlier_start):
            return self.begin_incarnation(now, heartbeat)
        return "late"

    def note_late(self, now: int, heartbeat: Heartbeat, former: LateHeartbeats) -> bool:
        """Count a late heartbeat; return whether to apply it.

        It is applied if more than `TAKEOVER_HEARTBEATS` were counted and no other
        heartbeats come.
        """
        is_noted = former.note(heartbeat.sequence)
        return is_noted and now - self.last_heartbeat_at > 2 * self.interval_ms

    def continue_incarnation(
        self, now: int, heartbeat: Heartbeat, member: FlowMember
    ) -> str:
        """Apply a heartbeat of the known incarnation."""
        if heartbeat.sequence <= self.sequence:
            is_applied = self.note_late(now, heartbeat, self.out_of_order)
            if self.is_port_closed or not is_applied:
                return "late"
        self.out_of_order = LateHeartbeats()
        self.note_alive(now)
        self.sequence = heartbeat.sequence
        self.cold_until = now + heartbeat.cold_ms
        if member.state == "gone":
            return self.note_heartbeat_of_gone(now, heartbeat)
        state = "draining" if heartbeat.is_draining else member.state
        if state == "starting":
            state = "ready"
        if (state, heartbeat.slots) == (member.state, member.slots):
            return "same"
        self.member = make_member(self, heartbeat, member.epoch, state)
        return "changed"

    def note_heartbeat_of_gone(self, now: int, heartbeat: Heartbeat) -> str:
        """Record a heartbeat of an upstream that is taken for gone.

        One that told itself that it leaves may go on draining until it ends.
        """
        if heartbeat.is_draining and self.has_told_leave:
            return "same"
        self.disputed_at = self.disputed_at if self.disputed_state else now
        self.disputed_state = "draining" if heartbeat.is_draining else "ready"
        return "disputed"

    def begin_incarnation(self, now: int, heartbeat: Heartbeat) -> str:
        """Apply the first heartbeat of an incarnation."""
        known = self.member
        self.has_seen_all_flows = self.was_replaced or self.was_port_closed
        is_same = (
            known is not None and known.id == heartbeat.id and not self.has_heartbeat
        )
        epoch = heartbeat.born
        if known is not None and not is_same:
            epoch = max(epoch, known.epoch + 1)
        state = "draining" if heartbeat.is_draining else "ready"
        self.member = make_member(self, heartbeat, epoch, state)
        self.born = heartbeat.born
        self.sequence = heartbeat.sequence
        self.cold_until = now + heartbeat.cold_ms
        self.earlier_start = LateHeartbeats()
        self.out_of_order = LateHeartbeats()
        self.has_heartbeat = True
        self.is_port_closed = False
        self.has_told_leave = False
        self.disputed_state = ""
        if not is_same:
            self.leave_noticed_at = 0
        self.unanswered_openings = []
        self.note_alive(now)
        return "changed" if is_same else "started"

    def raise_epoch(self, version: int) -> bool:
        """Raise the epoch above a version known elsewhere; return whether needed.

        The clock of the VM may have been set back between two incarnations.

        Raises
        ------
        MalformedObject
            If the version is too large.
        """
        member = self.member
        if member is None or not self.has_heartbeat or version <= member.version:
            return False
        if version > MAX_KNOWN_VERSION:
            raise MalformedObject(f"version {shown(version)} of a member is too large")
        self.member = replace(member, epoch=version // VERSIONS_PER_EPOCH + 1)
        return True

    def judge_leave(self, now: int, member_id: str, born: int | None) -> str:
        """Judge a notice that an upstream leaves.

        It may be late, and of an earlier incarnation with the same id.

        Parameters
        ----------
        now : int
            Time in ms.
        member_id : str
            Id that the notice names.
        born : int or None
            Start that it names, ms since the epoch, None for none.

        Returns
        -------
        str
            `left`, `foreign` (of another upstream, or of an earlier incarnation than
            the one that sends heartbeats), or `unclear`.
        """
        if self.member is None or self.member.id != member_id:
            return "foreign"
        if self.is_port_closed or self.member.state == "gone":
            return "left"
        if born is None or not self.has_heartbeat:
            return "unclear"
        if born == self.born:
            return "left"
        # The clock may have been set back before the start of one that isn't heard yet.
        is_outdated = born < self.born and self.is_heard(now)
        return "foreign" if is_outdated else "unclear"

    def is_leaving(self, member_id: str) -> bool:
        """Return whether the upstream has this id, and drains or left."""
        member = self.member
        return (
            member is not None
            and member.id == member_id
            and member.state in ("draining", "gone")
        )

    def mark_gone(self, has_told: bool = False) -> FlowMember:
        """Mark the upstream as gone; return it.

        `has_told` is whether a notice names this incarnation.
        """
        assert self.member is not None
        self.member = replace(self.member, state="gone")
        self.has_told_leave = self.has_told_leave or has_told
        self.leave_noticed_at = 0
        self.disputed_state = ""
        return self.member

    def mark_returned(self) -> FlowMember:
        """Mark an upstream as used again that was taken for gone; return it.

        Its epoch is raised, because `gone` is the last state of an epoch.
        """
        assert self.member is not None
        self.has_told_leave = False
        epoch = self.member.epoch + 1
        self.member = replace(self.member, epoch=epoch, state=self.disputed_state)
        self.disputed_state = ""
        return self.member

    def has_left(self, now: int) -> bool:
        """Return whether an unclear notice is followed by no heartbeat for long."""
        last_sign_at = max(self.leave_noticed_at, self.last_heartbeat_at)
        limit = MISSED_HEARTBEATS * self.interval_ms
        return self.leave_noticed_at > 0 and now - last_sign_at > limit

    def has_outlasted_leave(self) -> bool:
        """Return whether heartbeats have gone on for long after an upstream left.

        That is after an unclear notice, or, of one that is taken for gone, after the
        first heartbeat that contradicts it.
        """
        since = self.disputed_at if self.disputed_state else self.leave_noticed_at
        limit = MISSED_HEARTBEATS * self.interval_ms
        return since > 0 and self.last_heartbeat_at - since > limit

    def is_heard(self, now: int) -> bool:
        """Return whether the upstream sent a heartbeat lately."""
        is_recent = now - self.last_heartbeat_at <= 2 * self.interval_ms
        return is_recent and not self.is_port_closed

    def note_alive(self, now: int) -> None:
        """Record that a heartbeat was applied: the upstream is alive."""
        self.last_heartbeat_at = self.heartbeat_at = now
        self.is_port_closed = False

    def note_probe(self, is_closed: bool) -> None:
        """Count a probe of an upstream that isn't known yet."""
        self.closed_probes = self.closed_probes + 1 if is_closed else 0

    def note_probed(self, member_id: str) -> None:
        """Record which upstream answered a probe.

        One that answers after another has started since this process did.
        """
        self.probed_id = self.probed_id or member_id
        if member_id != self.probed_id:
            self.was_replaced = self.has_seen_all_flows = True

    @property
    def is_absent(self) -> bool:
        """Return whether no upstream runs here, nor has since this process started."""
        return self.member is None and self.closed_probes >= ABSENT_PROBES

    def note_opening(self, now: int) -> None:
        """Record that an opening packet was given to the upstream."""
        self.unanswered_openings.append(now)
        del self.unanswered_openings[:-STALLED_OPENINGS]

    def note_packet(self, now: int) -> None:
        """Record a packet from the upstream."""
        self.unanswered_openings = []

    def is_stalled(self, now: int) -> bool:
        """Return whether the upstream doesn't react to opening packets."""
        return (
            len(self.unanswered_openings) >= STALLED_OPENINGS
            and now - self.unanswered_openings[0] > STALLED_MS
        )

    def is_silent(self, now: int) -> bool:
        """Return whether heartbeats are missing."""
        return now - self.last_heartbeat_at > MISSED_HEARTBEATS * self.interval_ms

    def refusal_reason(self, now: int) -> str:
        """Return why the upstream may get no new flows, empty if it may."""
        if self.member is None:
            return "no upstream is known yet"
        if self.member.state != "ready":
            return self.member.state
        if self.is_port_closed:
            return "its port is closed"
        if self.leave_noticed_at:
            return "it may have left"
        if self.is_stalled(now):
            return "no reaction to opening packets"
        if self.is_silent(now):
            return "no heartbeat"
        return ""

    def cold_ms(self, now: int) -> int:
        """Return for how much longer the upstream is slow, in ms."""
        return max(0, self.cold_until - now)


def make_member(
    upstream: UpstreamState, heartbeat: Heartbeat, epoch: int, state: str
) -> FlowMember:
    """Return an upstream's member from a heartbeat."""
    return FlowMember(
        heartbeat.id,
        epoch,
        upstream.service,
        upstream.host,
        upstream.zone,
        max(heartbeat.slots, 1),
        state,
    )
