"""State of a balancer: routes, members and other balancers, and their sources."""

import heapq
import random
from collections.abc import Callable
from typing import Any

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import shown
from fuchsiapin.flows.balancerrecords import BalancerRecords
from fuchsiapin.flows.coldrates import (
    COLD_RATES_KEY,
    NO_BOUNDS,
    ColdBounds,
    ColdRates,
)
from fuchsiapin.flows.configurationkeeping import ConfigurationKeeper
from fuchsiapin.flows.departures import Departures, is_departure, member_key
from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.erakeeping import EraKeeper
from fuchsiapin.flows.eras import StoreEra
from fuchsiapin.flows.evacuating import EvacuationKeeper
from fuchsiapin.flows.evacuations import EVACUATIONS_PREFIX, EvacuatedZones
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.gossip import CONFIGURATION_KEY, Gossip
from fuchsiapin.flows.members import (
    FlowMember,
    MemberTable,
    MemberView,
    pack_member,
    read_load,
    read_stored_member,
    unpack_member,
)
from fuchsiapin.flows.messages import Copy, Part, Status
from fuchsiapin.flows.peerrecords import BalancerRecord, unpack_balancer
from fuchsiapin.flows.pinging import Pinger
from fuchsiapin.flows.routes import RouteTable, unpack_configuration
from fuchsiapin.flows.storage import (
    BALANCERS,
    CONFIGURATION,
    EVACUATIONS,
    MEMBERS,
    StoredItem,
    StoreResult,
)
from fuchsiapin.flows.writing import ObjectWriter
from fuchsiapin.lightclasses import replace
from fuchsiapin.ranking import hash_seed
from fuchsiapin.replicas import unpack_value
from fuchsiapin.timers import Timers

__all__ = ["BalancerState"]

REFUSAL_MS = 200
"""How long no new flows are offered to a member that refused one."""
REPORTED_REFUSAL_MS = 2_000
"""How long no new flows are offered to a member that reported that it takes none. It
reports a change at once, and its answer to the next ping repeats it."""
WATCHERS = 3
"""Number of balancers that watch the store; the others receive changes from them."""
STALE_MS = 1_500
"""Maximum age of the copy of the store's state before a balancer watches the store
itself."""
WATCHER_REVIEW_MS = 300
"""Interval at which a balancer decides whether it should watch the store."""
MAX_ASKED_BALANCERS = 24
"""Balancers that are asked about one flow; those of the same availability zone come
first, because routers rarely move a caller's packets to another one."""
ALL_ANNOUNCED_MS = 2_000
"""Time after the start within which each side process has announced its member, also
without the store: they repeat it at the latest after 1.2 s."""


class BalancerState:
    """Routes, members and balancers, read from the store and from other balancers.

    Parameters
    ----------
    record : BalancerRecord
        This balancer.
    seeds : list of str
        Addresses of balancers to send digests to while no other is live.
    report : callable
        Takes the number and the fields of an event.
    rng : random.Random
        Source of all random numbers.
    evacuates : bool
        Whether zones may be evacuated in this deployment.
    cold_bounds : ColdBounds
        Bounds of the openings that cold upstreams get.
    """

    def __init__(
        self,
        record: BalancerRecord,
        seeds: list[str],
        report: Callable[..., None],
        rng: random.Random,
        evacuates: bool = False,
        cold_bounds: ColdBounds = NO_BOUNDS,
    ) -> None:
        self.report = report
        self.rng = rng
        self.effects: list[Any] = []
        self.timers = Timers()
        self.routes = RouteTable()
        self.table = MemberTable()
        self.refusal_ms = REFUSAL_MS
        self.era = StoreEra()
        self.gossip = Gossip(
            record,
            seeds,
            self.timers,
            self.effects,
            rng,
            self.apply_object,
            self.table.unheard_keys,
            self.is_store_followed,
            self.era,
        )
        self.writer = ObjectWriter(BALANCERS, self.timers, self.effects, rng)
        self.balancers = BalancerRecords(record, self.gossip, self.writer, report)
        self.cold_rates = ColdRates(self.gossip, cold_bounds, report)
        self.configurations = ConfigurationKeeper(
            self.routes, self.cold_rates, self.gossip, report
        )
        self.departures = Departures(
            self.table, self.gossip, self.timers, self.effects, report
        )
        self.configuration_follower = self.make_follower(
            CONFIGURATION, self.configurations.apply_change
        )
        self.configurations.follower = self.configuration_follower
        self.member_follower = self.make_follower(
            MEMBERS, self.apply_member_change, self.end_member_list
        )
        self.balancer_follower = self.make_follower(
            BALANCERS,
            self.balancers.apply_change,
            self.balancers.end_list,
            self.configuration_follower,
        )
        self.zones = EvacuatedZones()
        self.evacuations = EvacuationKeeper(
            self.zones, self.gossip, self.era, self.timers, report, evacuates
        )
        # It has no leader: evacuations are read whatever ails the configuration.
        self.evacuations.follower = self.make_follower(
            EVACUATIONS,
            self.evacuations.apply_change,
            self.evacuations.end_list,
        )
        self.followers: tuple[StoreFollower, ...] = (
            self.configuration_follower,
            self.member_follower,
            self.balancer_follower,
        )
        if evacuates:
            self.followers = (*self.followers, self.evacuations.follower)
        self.eras = EraKeeper(
            self.era,
            self.followers,
            self.writer,
            self.gossip,
            self.timers,
            rng,
            report,
            self.balancers.announce_again,
        )
        self.was_store_reachable = False
        self.pinger = Pinger(
            record.zone,
            self.table,
            self.timers,
            self.effects,
            rng,
            self.is_store_reachable,
            self.remove_dead,
        )
        self.pinger.zone_peers = self.gossip.zone_hosts
        self.pinger.notices = lambda now, view: [
            *self.evacuations.notices(now, view),
            *self.cold_rates.notices(now, view),
        ]

    @property
    def record(self) -> BalancerRecord:
        """Return the record of this balancer."""
        return self.balancers.record

    def make_follower(
        self,
        kind: str,
        on_change: Callable[[int, StoredItem], None],
        on_list: Callable[[int, set[str]], None] = lambda now, names: None,
        leader: StoreFollower | None = None,
    ) -> StoreFollower:
        """Return a store follower for one kind of objects."""
        return StoreFollower(
            kind,
            self.timers,
            self.effects,
            self.rng,
            self.report,
            on_change,
            on_list,
            lambda now: len(self.gossip.live_hosts(now)),
            leader,
        )

    def start(self, now: int) -> None:
        """Read the store, query the seeds, and announce this balancer."""
        self.evacuations.start(now)
        for follower in self.followers:
            follower.start(now)
        self.gossip.start(now)
        self.balancers.announce(now)
        self.pinger.start(now)
        self.timers.add(now + WATCHER_REVIEW_MS, self.review_watching)

    def review_watching(self, now: int) -> None:
        """Start or stop watching the store here, and schedule the next decision.

        The balancers that come first in hash order watch the store. The others receive
        changes from them, and watch the store themselves when their copy is stale.
        """
        hosts = [*self.gossip.peers, self.record.host]
        is_first = self.record.host in heapq.nsmallest(WATCHERS, hosts, key=hash_seed)
        is_active = is_first or self.gossip.store_age(now) > STALE_MS
        for follower in self.followers:
            if is_active:
                follower.start(now)
            elif follower.has_listed:  # a follower completes its first list
                follower.stop()
        # An inactive follower makes no calls whose success would resume the others.
        if not self.configuration_follower.is_active:
            self.resume_followers(now)
        self.timers.add(now + WATCHER_REVIEW_MS, self.review_watching)

    def is_store_reachable(self) -> bool:
        """Return whether this balancer follows the store and the store answers it."""
        followers = (self.configuration_follower, self.member_follower)
        return all(f.is_active and f.is_reachable for f in followers)

    def is_store_followed(self) -> bool:
        """Return whether the store answers the calls for all followed state.

        That includes the evacuations, where zones may be evacuated.
        """
        evacuations = self.evacuations.follower
        return self.is_store_reachable() and (
            not self.evacuations.is_followed
            or (evacuations.is_active and evacuations.is_reachable)
        )

    def has_read_members(self) -> bool:
        """Return whether a list of members was read, or at least one member is known.

        Otherwise a service without members may simply not have been read yet.
        """
        return self.member_follower.has_listed or bool(self.table.views)

    def on_store(self, now: int, purpose: str, answer: StoreResult) -> None:
        """Handle the answer of a call to the store."""
        answer = self.eras.check(now, purpose, answer)
        was_reachable = self.configuration_follower.is_reachable
        if not any(f.on_answer(now, purpose, answer) for f in self.followers):
            self.writer.on_answer(now, purpose, answer)
        if self.configuration_follower.is_reachable and not was_reachable:
            self.resume_followers(now)
        is_reachable = self.is_store_reachable()
        if is_reachable != self.was_store_reachable:
            self.was_store_reachable = is_reachable
            detail = self.member_follower.last_outcome
            if is_reachable:
                self.report(6302, detail=detail)
            else:
                self.report(6303, detail=detail)

    def resume_followers(self, now: int) -> None:
        """Repeat the failed calls of the followers of members and balancers now."""
        for follower in self.followers[1:]:
            follower.resume(now)

    def knows_members(self, now: int) -> bool:
        """Return whether this balancer has run for long enough to know all members."""
        is_young = now - self.record.started < ALL_ANNOUNCED_MS
        return self.member_follower.has_listed or not is_young

    def balancers_to_ask(self, now: int) -> list[str]:
        """Return the addresses of the balancers to ask about a flow."""
        hosts = self.gossip.live_hosts(now)
        if len(hosts) > MAX_ASKED_BALANCERS:
            peers = self.gossip.peers
            hosts.sort(key=lambda host: peers[host].zone != self.record.zone)
        return hosts[:MAX_ASKED_BALANCERS]

    def is_alone(self) -> bool:
        """Return whether the store answers and no other balancer is known."""
        has_listed = self.balancer_follower.has_listed
        return has_listed and self.is_store_reachable() and not self.gossip.peers

    # Members

    def end_member_list(self, now: int, names: set[str]) -> None:
        """Note the members that a complete list from the store lacks."""
        for member_id, view in list(self.table.views.items()):
            if member_id not in names:
                self.departures.mark_missing(now, view)
                self.pinger.ping(now, view)

    def apply_member_change(self, now: int, item: StoredItem) -> None:
        """Apply a changed or deleted member from the store."""
        if item.is_deleted:
            view = self.table.views.get(item.name)
            if view is not None:
                self.departures.mark_missing(now, view)
            return
        try:
            member = read_stored_member(item.name, item.value)
        except MalformedObject as error:
            self.report(6305, key=f"members/{item.name}", error=str(error))
            return
        if self.departures.has_departed(member):
            self.report(6315, member=member.id, host=member.host)
            self.departures.delete_stored(member.id)
            return
        self.apply_member(now, member, "store")
        view = self.table.views.get(member.id)
        if view is not None:
            view.is_stored = True

    def apply_member(self, now: int, member: FlowMember, source: str) -> bool:
        """Apply a member from any source; return whether it was newer."""
        if self.departures.has_departed(member) or not self.table.put(now, member):
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
            self.gossip.put(f"members/{member.id}", member.version, pack_member(member))
        view = self.table.views.get(member.id)
        if view is not None and not view.last_message_at:
            self.pinger.ping(now, view)
        return True

    def on_status(self, now: int, host: str, message: Status) -> None:
        """Apply the status that a side process sent."""
        load = read_load(message.load)
        if message.member:
            member = unpack_member(message.member)
            if not member.id:
                self.remove_absent(now, host, member.epoch)
                return
            self.apply_member(now, member, "member")
            current = self.table.by_host(host)
            if current is not None and current.member.id != member.id:
                return  # another incarnation has this address: the load isn't its own
        view = self.table.by_host(host)
        if view is None:
            known = 0  # without the member's record, it was known here until lately
            if message.member:
                if member.state == "gone":
                    return
                # A higher version is known under its id; it raises its own above that.
                known = self.known_version(member.id)
            self.pinger.ask_for_record(now, host, known)
            return
        if not view.last_message_at or view.is_suspect(now):
            self.report(
                6308,
                member=view.member.id,
                host=host,
                silent_ms=now - max(view.last_message_at, view.added_at),
                unanswered_pings=view.unanswered_pings,
            )
        was_cold = view.load.cold_ms > 0
        view.note_message(now, load)
        turned_cold = view.load.cold_ms > 0 and not was_cold
        if turned_cold and self.cold_rates.notices(now, view):
            self.pinger.ping(now, view)  # tells it the limit before its first flows
        was_refusing = view.refused_until > now
        view.refused_until = 0 if message.takes_flows else now + REPORTED_REFUSAL_MS
        if not message.takes_flows and not was_refusing:
            # With many members, the next ping from here comes much later.
            for notice in self.pinger.notices(now, view):
                self.effects.append(ToPeer(host, notice))

    def tell_cold_limit(self, now: int, view: MemberView) -> None:
        """Tell a member that refused a new flow its limit, if it may wait for it."""
        for notice in self.cold_rates.notices(now, view):
            self.effects.append(ToPeer(view.member.host, notice))

    def known_version(self, member_id: str) -> int:
        """Return the highest known version of a member, also a gone one, 0 for none."""
        gone_version, _ = self.table.gone_versions.get(member_id, (0, 0))
        return max(gone_version, self.gossip.version(member_key(member_id)))

    def remove_absent(self, now: int, host: str, found_at: int) -> None:
        """Remove the member at an address whose side process finds no upstream there.

        Such an upstream ended while no side process ran beside it, as after a loss of
        power. One that started after `found_at`, by the clock of its VM, stays. The
        balancers that follow the store remove the member there.
        """
        view = self.table.by_host(host)
        if view is None or view.member.epoch >= found_at:
            return
        is_stored = view.is_stored and self.member_follower.is_active
        self.apply_member(now, replace(view.member, state="gone"), "member")
        if is_stored:
            self.departures.delete_stored(view.member.id)

    def remove_dead(self, now: int, view: MemberView) -> None:
        """Remove a dead member here and from the store."""
        self.departures.drop(
            view, f"silent for {now - max(view.last_message_at, view.added_at)} ms"
        )
        if view.is_stored:
            self.departures.delete_stored(view.member.id)

    # Objects from other processes

    def on_copy(self, now: int, host: str, message: Copy) -> None:
        """Handle an object sent by another process.

        A member that announces itself, but is known to be gone, has started again under
        its id, with a clock that was set back. One that is known at another address was
        displaced by a record of another writer. It is told the known version, so that
        it takes a higher one.
        """
        prefix, _, member_id = message.key.partition("/")
        known = self.known_version(member_id) if prefix == "members" else 0
        if message.version < known:
            member = unpack_member(unpack_value(message.value))
            view = self.table.views.get(member.id)
            is_elsewhere = view is not None and view.member.host != host
            is_outdated = is_departure(message.key, known) or is_elsewhere
            if member.host == host and is_outdated:
                self.pinger.ask_for_record(now, host, known)
            return
        self.gossip.receive_copy(now, host, message)

    def on_part(self, now: int, host: str, message: Part) -> None:
        """Handle a part of an object sent by another process."""
        copy = self.gossip.collect(now, message)
        if copy is not None:
            self.on_copy(now, host, copy)

    def apply_object(self, now: int, key: str, version: int, value: bytes) -> bool:
        """Apply an object if it is newer; return whether to replicate it further.

        Raises
        ------
        MalformedObject
            If the value can't be read, or has another key or version of its own.
        """
        if key == CONFIGURATION_KEY:
            configuration = unpack_configuration(value)
            check_identity(key, version, key, configuration.version)
            return self.configurations.apply(now, configuration, "peer")
        if key == COLD_RATES_KEY:
            # Those of a configuration that isn't known here yet come again.
            is_known = version <= self.routes.version
            return is_known and self.cold_rates.apply_copy(version, value)
        if key.startswith("members/"):
            member = unpack_member(value)
            check_identity(key, version, member_key(member.id), member.version)
            return self.apply_member(now, member, "peer")
        if key.startswith("balancers/"):
            record = unpack_balancer(value)
            check_identity(key, version, f"balancers/{record.name}", record.version)
            return self.balancers.apply_copy(now, record)
        if key.startswith(EVACUATIONS_PREFIX):
            zone = key.removeprefix(EVACUATIONS_PREFIX)
            return self.evacuations.apply_copy(now, zone, version)
        raise MalformedObject(f"key {shown(key)} has no prefix that balancers use")


def check_identity(key: str, version: int, own_key: str, own_version: int) -> None:
    """Check that an object was received under the key and version in its value.

    Raises
    ------
    MalformedObject
        If it was received under others.
    """
    if (key, version) != (own_key, own_version):
        raise MalformedObject(
            f"{shown(key)} of version {version} holds {shown(own_key)} of version "
            f"{own_version}"
        )
