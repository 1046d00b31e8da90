"""State of a balancer: routes, members and other balancers, and their sources."""

import random
from collections.abc import Callable
from typing import Any

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.effects import ToStore
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.members import (
    FlowMember,
    MemberTable,
    MemberView,
    pack_member,
    read_load,
    read_member,
    unpack_member,
)
from fuchsiapin.flows.messages import Copy, Status
from fuchsiapin.flows.pinging import Pinger
from fuchsiapin.flows.routes import (
    FlowConfiguration,
    RouteTable,
    pack_configuration,
    unpack_configuration,
)
from fuchsiapin.flows.spreading import (
    CONFIGURATION_KEY,
    BalancerRecord,
    Spreading,
    pack_balancer,
    read_balancer,
    unpack_balancer,
)
from fuchsiapin.flows.storage import (
    BALANCERS,
    CONFIGURATION,
    DELETE,
    MEMBERS,
    StoreAnswer,
    StoreCall,
    StoredItem,
)
from fuchsiapin.flows.writing import ObjectWriter
from fuchsiapin.lightclasses import astuple
from fuchsiapin.ranking import seed_of
from fuchsiapin.timers import Timers

__all__ = ["Knowledge"]

REFUSAL_MS = 200
"""How long a member that reported that it takes no new flows is offered none."""
RETURN_MS = 2_500
"""A member that is missing from the store and silent for this long is dropped."""
WATCHERS = 3
"""Number of balancers that watch the store; the others receive changes from them."""
STALE_MS = 1_500
"""Maximum age of the copy of the store's state before a balancer watches the store
itself."""
WATCHERS_MS = 300
"""Interval at which a balancer decides whether it should watch the store."""
INFORMED_MS = 3_500
"""A balancer may miss members if for this long neither the store answered it nor
another balancer had the same state. A silent watch is detected within 3.1 s."""
CALL_TIMEOUT_MS = 1_000
"""Timeout of a call that deletes an object."""


class Knowledge:
    """Routes, members and balancers, read from the store and from other balancers.

    Parameters
    ----------
    record : BalancerRecord
        This balancer.
    seeds : list of str
        Addresses of balancers to request the shared state from.
    report : callable
        Takes the number and the fields of an event.
    rng : random.Random
        Source of all random numbers.
    """

    def __init__(
        self,
        record: BalancerRecord,
        seeds: list[str],
        report: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self.record = record
        self.report = report
        self.rng = rng
        self.out: list[Any] = []
        self.timers = Timers()
        self.routes = RouteTable()
        self.table = MemberTable()
        self.refusal_ms = REFUSAL_MS
        self.spreading = Spreading(
            record,
            seeds,
            self.timers,
            self.out,
            rng,
            self.take_news,
            self.sees_store,
        )
        self.configurations = self.follower(
            CONFIGURATION, self.list_configurations, self.change_configuration
        )
        self.members = self.follower(MEMBERS, self.list_members, self.change_member)
        self.balancers = self.follower(
            BALANCERS, self.list_balancers, self.change_balancer, self.configurations
        )
        self.followers = (self.configurations, self.members, self.balancers)
        self.writer = ObjectWriter(BALANCERS, self.timers, self.out, rng)
        self.could_see = False
        self.pinger = Pinger(
            record.name,
            self.table,
            self.timers,
            self.out,
            rng,
            self.sees_store,
            self.bury,
        )

    def follower(
        self,
        kind: str,
        on_list: Callable[[int, list[StoredItem]], None],
        on_change: Callable[[int, StoredItem], None],
        leader: StoreFollower | None = None,
    ) -> StoreFollower:
        """Return a store follower for one kind of objects."""
        return StoreFollower(
            kind,
            self.timers,
            self.out,
            self.rng,
            on_list,
            on_change,
            lambda now: len(self.spreading.heard_hosts(now)),
            leader,
        )

    def start(self, now: int) -> None:
        """Read the store, query the seeds, and announce this balancer."""
        for follower in self.followers:
            follower.start(now)
        self.spreading.start(now)
        self.announce(now)
        self.pinger.start(now)
        self.timers.add(now + WATCHERS_MS, self.choose_watchers)

    def choose_watchers(self, now: int) -> None:
        """Start or stop watching the store here, and schedule the next decision.

        The balancers that come first in hash order watch the store. The others receive
        changes from them, and watch the store themselves when their copy is stale.
        """
        ranked = sorted([*self.spreading.peers, self.record.host], key=seed_of)
        is_first = self.record.host in ranked[:WATCHERS]
        is_wanted = is_first or self.spreading.store_age(now) > STALE_MS
        for follower in self.followers:
            if is_wanted:
                follower.start(now)
            elif follower.has_listed:
                follower.stop()
        if not self.configurations.is_wanted:
            self.wake_followers(now)
        self.timers.add(now + WATCHERS_MS, self.choose_watchers)

    def announce(self, now: int) -> None:
        """Publish the record of this balancer to the store and to other balancers."""
        record = self.record
        self.spreading.put(
            f"balancers/{record.name}", record.version, pack_balancer(record)
        )
        self.writer.put(now, record.name, astuple(record))

    def leave(self, now: int) -> None:
        """Announce to the store and to other balancers that this balancer stops."""
        record = self.record
        self.record = BalancerRecord(
            record.name, record.started, record.host, record.zone, True
        )
        self.spreading.record = self.record
        self.spreading.put(
            f"balancers/{record.name}", self.record.version, pack_balancer(self.record)
        )
        self.writer.delete(now, record.name)

    def sees_store(self) -> bool:
        """Return whether this balancer follows the store and the store answers it."""
        followers = (self.configurations, self.members)
        return all(f.is_wanted and f.is_reachable for f in followers)

    def is_complete(self) -> bool:
        """Return whether members were read, so that a lack of members is real."""
        return self.members.has_listed or bool(self.table.views)

    def on_store(self, now: int, purpose: str, answer: StoreAnswer) -> None:
        """Handle the answer of a call to the store."""
        was_reachable = self.configurations.is_reachable
        if not any(f.on_answer(now, purpose, answer) for f in self.followers):
            self.writer.on_answer(now, purpose, answer)
        if self.configurations.is_reachable and not was_reachable:
            self.wake_followers(now)
        sees = self.sees_store()
        if sees != self.could_see:
            self.could_see = sees
            detail = self.members.last_outcome
            if sees:
                self.report(6302, detail=detail)
            else:
                self.report(6303, detail=detail)

    def wake_followers(self, now: int) -> None:
        """Resume the followers that wait for the first follower's successful call."""
        for follower in self.followers[1:]:
            follower.wake(now)

    def is_informed(self, now: int) -> bool:
        """Return whether this balancer's list of members is current.

        The store or another balancer with the same state confirmed it recently.
        """
        told = max(self.members.seen, self.spreading.agreed)
        return bool(told) and now - told <= INFORMED_MS

    # Configuration

    def list_configurations(self, now: int, items: list[StoredItem]) -> None:
        """Apply a complete list of configurations from the store."""
        for item in items:
            self.change_configuration(now, item)

    def change_configuration(self, now: int, item: StoredItem) -> None:
        """Apply a configuration from the store."""
        if isinstance(item.value, FlowConfiguration):
            self.take_configuration(item.value, "store")

    def take_configuration(self, configuration: FlowConfiguration, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if not self.routes.put(configuration):
            return False
        self.report(
            6304,
            configuration=configuration.version,
            routes=len(configuration.routes),
            source=source,
        )
        if source == "store":
            self.spreading.put(
                CONFIGURATION_KEY,
                configuration.version,
                pack_configuration(configuration),
            )
        return True

    # Members

    def list_members(self, now: int, items: list[StoredItem]) -> None:
        """Apply a complete list of members from the store."""
        listed = set()
        for item in items:
            listed.add(item.name)
            self.change_member(now, item)
        for name, view in list(self.table.views.items()):
            if name not in listed:
                self.miss(now, view)

    def change_member(self, now: int, item: StoredItem) -> None:
        """Apply a changed or deleted member from the store."""
        if item.is_deleted:
            view = self.table.views.get(item.name)
            if view is not None:
                self.miss(now, view)
            return
        try:
            member = read_member(item.value)
        except (ValueError, TypeError) as error:
            self.report(6305, key=f"members/{item.name}", error=repr(error))
            return
        self.take_member(now, member, "store")
        view = self.table.views.get(member.id)
        if view is not None:
            view.is_stored = True

    def miss(self, now: int, view: MemberView) -> None:
        """Record that a member is missing from the store, and schedule a check.

        Its object may have expired, or the member is gone.
        """
        view.is_stored = False
        name = view.member.id

        def check(later: int) -> None:
            known = self.table.views.get(name)
            if known is view and not view.is_stored and view.heard < now:
                self.drop(view, "neither in the store nor heard of")

        self.timers.add(now + RETURN_MS, check)

    def drop(self, view: MemberView, reason: str) -> None:
        """Remove a member that is considered gone; it may be added again later."""
        self.report(6307, member=view.member.id, host=view.member.host, reason=reason)
        self.table.remove(view.member.id)
        self.spreading.remove(f"members/{view.member.id}")

    def take_member(self, now: int, member: FlowMember, source: str) -> bool:
        """Apply a member from any source; return whether it was newer."""
        if not self.table.put(now, member):
            return False
        self.report(
            6306,
            member=member.id,
            host=member.host,
            service=member.service,
            state=member.state,
            source=source,
        )
        if source != "peer":
            self.spreading.put(
                f"members/{member.id}", member.version, pack_member(member)
            )
        view = self.table.views.get(member.id)
        if view is not None and not view.heard:
            self.pinger.ping(now, view)
        return True

    def on_status(self, now: int, host: str, message: Status) -> None:
        """Apply the status that a side process sent."""
        load = read_load(message.load)
        if message.member:
            member = unpack_member(message.member)
            self.take_member(now, member, "member")
            known = self.table.at(host)
            if known is not None and known.member.id != member.id:
                return
        view = self.table.at(host)
        if view is None:
            return
        if not view.heard or view.is_suspect(now):
            self.report(6308, member=view.member.id, host=host)
        view.hear(now, load)
        view.takes_flows = message.takes_flows
        view.refused = 0 if message.takes_flows else now + REFUSAL_MS

    def bury(self, now: int, view: MemberView) -> None:
        """Remove a dead member here and from the store."""
        self.drop(view, f"silent for {now - max(view.heard, view.since)} ms")
        if view.is_stored:
            call = StoreCall(DELETE, MEMBERS, view.member.id)
            self.out.append(ToStore("bury", call, CALL_TIMEOUT_MS))

    # Balancers

    def list_balancers(self, now: int, items: list[StoredItem]) -> None:
        """Apply a complete list of balancers from the store."""
        names = {item.name for item in items}
        for item in items:
            self.change_balancer(now, item)
        is_missing = self.record.name not in names and self.writer.is_done
        if is_missing and not self.record.is_leaving:
            self.announce(now)

    def change_balancer(self, now: int, item: StoredItem) -> None:
        """Apply a changed or deleted balancer from the store."""
        if item.is_deleted:
            if item.name == self.record.name and not self.record.is_leaving:
                self.announce(now)
            return
        try:
            record = read_balancer(item.value)
        except (ValueError, TypeError) as error:
            self.report(6305, key=f"balancers/{item.name}", error=repr(error))
            return
        self.take_balancer(now, record)

    def take_balancer(self, now: int, record: BalancerRecord) -> None:
        """Apply the record of another balancer."""
        if record.name == self.record.name:
            return
        if record.is_leaving:
            self.spreading.lose(record.host)
            return
        key = f"balancers/{record.name}"
        if record.version > self.spreading.version(key):
            self.spreading.meet(now, record.host)
            self.spreading.put(key, record.version, pack_balancer(record))

    # Objects from other processes

    def on_copy(self, now: int, host: str, message: Copy) -> None:
        """Handle an object sent by another process."""
        self.spreading.take_copy(now, host, message)

    def take_news(self, now: int, key: str, version: int, value: bytes) -> bool:
        """Apply an object if it is newer; return whether to replicate it further."""
        if key == CONFIGURATION_KEY:
            return self.take_configuration(unpack_configuration(value), "peer")
        if key.startswith("members/"):
            return self.take_member(now, unpack_member(value), "peer")
        if key.startswith("balancers/"):
            record = unpack_balancer(value)
            if record.name != self.record.name and not record.is_leaving:
                self.spreading.meet(now, record.host)
            elif record.is_leaving:
                self.spreading.lose(record.host)
            return record.name != self.record.name
        raise MalformedObject(f"key {key!r} has no prefix that balancers replicate")
