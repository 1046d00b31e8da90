"""Decides whether the upstream of one VM has left.

Its notice may be late, and of an earlier incarnation with the same id. One that doesn't
name the known incarnation is believed only once a probe finds the port closed, another
upstream answers there, or heartbeats stop. An upstream that is taken for gone but sends
heartbeats is used again once a probe confirms it. Without an answer to the probes,
heartbeats that go on for long suffice.
"""

from collections.abc import Callable

from fuchsiapin.flows.announcing import Announcer
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.sidestate import SideState
from fuchsiapin.flows.writing import ObjectWriter

__all__ = ["LeaveDecision"]


class LeaveDecision:
    """Applies the notices of an upstream that it leaves, and takes them back.

    Parameters
    ----------
    state : SideState
        Shared state of the side process.
    announcer : Announcer
        Tells balancers of the upstream.
    writer : ObjectWriter
        Writes the upstream's member to the store.
    probe : callable
        Called with the time; checks the health of the upstream.
    on_return : callable
        Called with the time when an upstream that was taken for gone is used again.
    """

    def __init__(
        self,
        state: SideState,
        announcer: Announcer,
        writer: ObjectWriter,
        probe: Callable[[int], None],
        on_return: Callable[[int], None],
    ) -> None:
        self.upstream = state.upstream
        self.report = state.report
        self.announcer = announcer
        self.writer = writer
        self.probe = probe
        self.on_return = on_return

    def on_notice(self, now: int, member_id: str, born: int | None) -> bool:
        """Handle a notice; return whether the upstream is gone by it.

        Parameters
        ----------
        now : int
            Time in ms.
        member_id : str
            Id of the upstream that leaves.
        born : int or None
            Its start, ms since the epoch, None if the notice doesn't tell it.
        """
        verdict = self.upstream.judge_leave(now, member_id, born)
        if verdict == "left":
            has_told = self.upstream.has_heartbeat and born == self.upstream.born
            self.leave(now, has_told)
            return True
        told, known = born or 0, self.upstream.born
        if verdict == "foreign":
            self.report(6219, member=member_id, born=told, known_born=known)
            return False
        self.report(6220, member=member_id, born=told, known_born=known)
        self.upstream.leave_noticed_at = self.upstream.leave_noticed_at or now
        self.announcer.report_status(now)
        self.probe(now)
        return False

    def leave(self, now: int, has_told: bool = False) -> None:
        """Mark the upstream as gone, and tell the store and the balancers.

        `has_told` is whether its notice names the known incarnation.
        """
        gone = self.upstream.mark_gone(has_told)
        self.report(6201, member=gone.id, state="gone", change="left", epoch=gone.epoch)
        self.writer.delete(now, gone.id)
        self.announcer.report_status(now)
        self.announcer.push_member(gone)

    def on_probe(self, now: int, outcome: str, member_id: str) -> None:
        """Decide an unclear notice, or the return of an upstream taken for gone.

        Parameters
        ----------
        now : int
            Time in ms.
        outcome : str
            `healthy`, which one that drains or leaves isn't, `unhealthy`, `closed` or
            `silent`. Health answers may be wrong; a closed port isn't.
        member_id : str
            Id of the upstream that answered, empty if it isn't known.
        """
        member = self.upstream.member
        if member is None:
            return
        is_other = member_id not in ("", member.id)
        if self.upstream.leave_noticed_at:
            if outcome == "closed" or is_other:
                self.leave(now)
            elif outcome == "healthy" and member.state == "ready":
                self.keep(now, member)
        elif self.upstream.disputed_state:
            is_draining = self.upstream.disputed_state == "draining"
            if outcome == "closed" or is_other:
                self.upstream.disputed_state = ""
            elif outcome == "healthy" or (outcome == "unhealthy" and is_draining):
                self.bring_back(now)

    def keep(self, now: int, member: FlowMember) -> None:
        """Drop a notice that was of another incarnation."""
        self.upstream.leave_noticed_at = 0
        self.report(6221, member=member.id, state=member.state)
        self.announcer.report_status(now)

    def bring_back(self, now: int) -> None:
        """Use an upstream again that was taken for gone."""
        self.upstream.mark_returned()
        self.on_return(now)

    def review(self, now: int) -> None:
        """Decide by the heartbeats alone if probes haven't for long."""
        member = self.upstream.member
        if member is not None and self.upstream.has_outlasted_leave():
            if self.upstream.disputed_state:
                self.bring_back(now)
            else:
                self.keep(now, member)
        elif self.upstream.has_left(now):
            self.leave(now)
