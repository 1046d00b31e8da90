"""Announcements of a side process to balancers: which, to whom, and when."""

from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import FlowMember, pack_load, pack_member
from fuchsiapin.flows.messages import Copy, Status
from fuchsiapin.flows.sidestate import SideState
from fuchsiapin.replicas import pack_value

__all__ = ["Announcer"]

SUBSCRIPTION_MS = 3_000
"""A balancer that sends no ping for this long is unsubscribed."""
LONELY_MS = 1_200
"""After this time without a ping the side process announces its member again."""
FIRST_LONELY_MS = 300
"""The same while no balancer is subscribed, because all of them may be starting."""
LOAD_MS = 200
"""Minimum time between two reports of a changed load."""
LOAD_MS_PER_BALANCER = 25
"""Minimum time between two reports, per subscriber: 40 reports a second in all."""
FIRST_LISTENERS = 3
"""Subscribers that a change is pushed to, besides the seeds; they replicate it."""


class Announcer:
    """Reports the upstream and its load to balancers.

    Parameters
    ----------
    state : SideState
        Shared state of the side process.

    Attributes
    ----------
    subscribers : dict
        Addresses of balancers that sent a ping recently, with its time.
    """

    def __init__(self, state: SideState) -> None:
        self.state = state
        self.out = state.out
        self.upstream = state.upstream
        self.subscribers: dict[str, int] = {}
        self.told: list[int] = []
        self.told_at = 0
        self.was_taking = False
        self.announced = 0

    def subscribe(self, now: int, host: str) -> None:
        """Add or renew the subscription of a balancer, and send it the status."""
        self.subscribers[host] = now
        self.send_status(now, host)

    def send_status(self, now: int, host: str) -> None:
        """Send the status of the upstream to one balancer."""
        member = self.upstream.member
        packed = pack_member(member) if member is not None and member.epoch else b""
        status = Status(
            packed, not self.state.refusal(now), pack_load(self.state.load(now))
        )
        self.out.append(ToPeer(host, status))

    def tell(self, now: int) -> None:
        """Send the status to all subscribers."""
        self.told = pack_load(self.state.load(now))
        self.told_at = now
        self.was_taking = not self.state.refusal(now)
        for host in self.subscribers:
            self.send_status(now, host)

    def announce(self, now: int) -> None:
        """Push the upstream's member to balancers that may not have it."""
        self.announced = now
        member = self.upstream.member
        if member is not None and member.epoch:
            self.spread(member)

    def spread(self, member: FlowMember) -> None:
        """Push a member to some balancers, which replicate it."""
        copy = Copy(
            f"members/{member.id}", member.version, pack_value(pack_member(member))
        )
        for host in dict.fromkeys(
            [*list(self.subscribers)[:FIRST_LISTENERS], *self.state.record.seeds]
        ):
            self.out.append(ToPeer(host, copy))

    def tell_changes(self, now: int) -> None:
        """Report a changed load at a limited rate, a change of readiness at once."""
        pause = max(LOAD_MS, LOAD_MS_PER_BALANCER * len(self.subscribers))
        is_due = now - self.told_at >= pause
        is_changed = is_due and pack_load(self.state.load(now))[:2] != self.told[:2]
        if is_changed or (not self.state.refusal(now)) != self.was_taking:
            self.tell(now)

    def review(self, now: int) -> None:
        """Expire subscriptions, report changes, and announce again if due."""
        for host, heard in list(self.subscribers.items()):
            if now - heard > SUBSCRIPTION_MS:
                del self.subscribers[host]
        self.tell_changes(now)
        last_ping = max(self.subscribers.values(), default=0)
        pause = LONELY_MS if self.subscribers else FIRST_LONELY_MS
        if now - max(last_ping, self.announced) > pause:
            self.announce(now)
