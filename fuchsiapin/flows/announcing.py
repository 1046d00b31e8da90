"""Announcements of a side process to balancers: which, to whom, and when."""

from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import (
    FlowMember,
    absent_member,
    pack_load,
    pack_member,
)
from fuchsiapin.flows.messages import Copy, Ping, Status
from fuchsiapin.flows.sidestate import SideState
from fuchsiapin.replicas import pack_value

__all__ = ["Announcer"]

SUBSCRIPTION_MS = 3_000
"""A balancer that sends no ping for this long is unsubscribed."""
REANNOUNCE_MS = 1_200
"""After this time without a ping the side process announces its member again."""
UNSUBSCRIBED_REANNOUNCE_MS = 300
"""The same while no balancer is subscribed, because all of them may be starting."""
MIN_REPORT_MS = 200
"""Minimum time between two reports of a changed load."""
OTHER_ZONE_REPORT_MS = 1_000
"""The same for a balancer of another availability zone, which places few flows here."""
REPORT_MS_PER_SUBSCRIBER = 25
"""Minimum time between two reports of a changed load for each subscriber of the own
availability zone, so that at most 40 of them a second are sent to these together; and
for each one of the other zones, where the limit holds for all zones together."""
MAX_SUBSCRIBERS = 2_000
"""More than there are balancers in any deployment."""
PUSHED_SUBSCRIBERS = 3
"""Subscribers that a change is pushed to, besides the seeds; they replicate it."""


class Subscriber:
    """A balancer that pinged this side process recently.

    Attributes
    ----------
    zone : str
        Its availability zone; earlier builds tell their name instead.
    pinged_at : int
        When its last ping was received, in ms.
    known_version : int
        Version of the member that it had then.
    reported_at : int
        When the last status was sent to it, in ms.
    reported_load : list of int
        Numbers of waiting requests in that status.
    """

    __slots__ = ("known_version", "pinged_at", "reported_at", "reported_load", "zone")

    def __init__(self) -> None:
        self.zone = ""
        self.pinged_at = 0
        self.known_version = 0
        self.reported_at = 0
        self.reported_load: list[int] = []


class Announcer:
    """Reports the upstream and its load to balancers.

    Parameters
    ----------
    state : SideState
        Shared state of the side process.

    Attributes
    ----------
    subscribers : dict
        Balancers that sent a ping recently, by address.
    """

    def __init__(self, state: SideState) -> None:
        self.state = state
        self.effects = state.effects
        self.upstream = state.upstream
        self.subscribers: dict[str, Subscriber] = {}
        self.was_taking_flows = False
        self.announced_at = 0

    def subscribe(self, now: int, host: str, ping: Ping) -> None:
        """Add or renew the subscription of a balancer, and send it the status.

        Beyond `MAX_SUBSCRIBERS` it takes the place of the one that is silent longest.
        """
        subscribers = self.subscribers
        if host not in subscribers and len(subscribers) >= MAX_SUBSCRIBERS:
            del subscribers[min(subscribers, key=lambda h: subscribers[h].pinged_at)]
        subscriber = self.subscribers.setdefault(host, Subscriber())
        subscriber.zone = ping.zone
        subscriber.pinged_at = now
        subscriber.known_version = ping.known
        self.send_status(now, host)

    def zone_of(self, host: str) -> str:
        """Return the availability zone of a subscribed balancer, empty for others."""
        subscriber = self.subscribers.get(host)
        return subscriber.zone if subscriber is not None else ""

    def send_status(self, now: int, host: str) -> None:
        """Send the status of the upstream to one subscribed balancer.

        The member is left out if the balancer's last ping told that it has it.
        """
        subscriber = self.subscribers[host]
        member = self.upstream.member
        packed = b""
        if self.upstream.is_absent:
            packed = pack_member(self.absent_member(now))
        elif member is not None and self.needs_member(subscriber, member):
            packed = pack_member(member)
        load = pack_load(self.state.load(now))
        subscriber.reported_at = now
        subscriber.reported_load = load[:2]
        status = Status(packed, not self.state.refusal_reason(now), load)
        self.effects.append(ToPeer(host, status))

    def absent_member(self, now: int) -> FlowMember:
        """Return the record that tells that there is no upstream at this address."""
        record = self.state.record
        return absent_member(now, record.service, record.host, record.zone)

    def needs_member(self, subscriber: Subscriber, member: FlowMember) -> bool:
        """Return whether to send the member, which isn't sent without an epoch."""
        return member.epoch > 0 and member.version != subscriber.known_version

    def report_status(self, now: int) -> None:
        """Send the status to all subscribers."""
        self.was_taking_flows = not self.state.refusal_reason(now)
        for host in self.subscribers:
            self.send_status(now, host)

    def announce(self, now: int) -> None:
        """Push the upstream's member to balancers that may not have it."""
        self.announced_at = now
        member = self.upstream.member
        if member is not None and member.epoch:
            self.push_member(member)

    def push_member(self, member: FlowMember) -> None:
        """Push a member to some balancers, which replicate it."""
        copy = Copy(
            f"members/{member.id}", member.version, pack_value(pack_member(member))
        )
        for host in dict.fromkeys(
            [*list(self.subscribers)[:PUSHED_SUBSCRIBERS], *self.state.record.seeds]
        ):
            self.effects.append(ToPeer(host, copy))

    def report_changes(self, now: int) -> None:
        """Report a changed load at a limited rate, a change of readiness at once.

        Of the load only the two numbers of waiting requests trigger a report.
        """
        if (not self.state.refusal_reason(now)) != self.was_taking_flows:
            self.report_status(now)
            return
        load = pack_load(self.state.load(now))[:2]
        outdated = {
            host: subscriber
            for host, subscriber in self.subscribers.items()
            if load != subscriber.reported_load
        }
        if not outdated:
            return
        own, other = self.report_intervals()
        for host, subscriber in outdated.items():
            interval = own if subscriber.zone == self.state.record.zone else other
            if now - subscriber.reported_at >= interval:
                self.send_status(now, host)

    def report_intervals(self) -> tuple[int, int]:
        """Return the shortest times between reports, to the own zone and to others."""
        zone = self.state.record.zone
        in_zone = sum(
            subscriber.zone == zone for subscriber in self.subscribers.values()
        )
        others = len(self.subscribers) - in_zone
        return (
            max(MIN_REPORT_MS, REPORT_MS_PER_SUBSCRIBER * in_zone),
            max(OTHER_ZONE_REPORT_MS, REPORT_MS_PER_SUBSCRIBER * others),
        )

    def tick(self, now: int) -> None:
        """Expire subscriptions, report changes, and announce again if due."""
        for host, subscriber in list(self.subscribers.items()):
            if now - subscriber.pinged_at > SUBSCRIPTION_MS:
                del self.subscribers[host]
        self.report_changes(now)
        pings = (subscriber.pinged_at for subscriber in self.subscribers.values())
        last_ping = max(pings, default=0)
        interval = REANNOUNCE_MS if self.subscribers else UNSUBSCRIBED_REANNOUNCE_MS
        if now - max(last_ping, self.announced_at) > interval:
            self.announce(now)
