"""State replicated between balancers: configuration, members and balancers.

Changes are pushed to the other balancers; digests detect what a push missed. Hence
few balancers need to watch the store, and one that the store refuses still receives
changes. A version replaces only lower ones, whichever way it arrived.
"""

import random
from collections.abc import Callable

from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.eras import StoreEra
from fuchsiapin.flows.messages import Buckets, Copy, Digest, Era, Part, Pull
from fuchsiapin.flows.parts import (
    PART_BYTES,
    PartCollector,
    split_copy,
)
from fuchsiapin.flows.peerrecords import BalancerRecord
from fuchsiapin.flows.peers import (
    DIGEST_MS,
    PUSH_PEERS,
    Peer,
    digest_targets,
    expired_hosts,
    hosts_in_zone,
    push_targets,
    starts_repair,
)
from fuchsiapin.replicas import (
    BUCKETS,
    Replica,
    Replicas,
    bucket_of,
    unpack_value,
)
from fuchsiapin.timers import Timers

__all__ = [
    "CONFIGURATION_KEY",
    "Gossip",
]

CONFIGURATION_KEY = "configuration/current"
ALL_PREFIXES = ["balancers/", "configuration/", "members/"]
"""Prefixes of the objects that digests compare."""
REPEATED_PREFIXES = ["coldrates/", "evacuations/"]
"""Prefixes of the few objects that the previous build refuses. They are left out of
digests, which would differ for as long as both builds run, and sent again instead."""
LIVE_PEER_MS = 2_000
"""A balancer that sent nothing for this long isn't counted as live."""
WITHHELD_MS = 200
"""Time for which the set of objects that aren't offered is kept."""
LONG_PAUSE_MS = 100
"""Time between two long objects that this balancer sends, whoever asks, as they fill
its link; meanwhile those that have it send it on."""
MAX_PULL_BYTES = 120_000
"""Bytes after which the answer to one pull ends; the next digest fetches the rest."""


class Gossip:
    """Replicates the shared state between this balancer and the others.

    Parameters
    ----------
    record : BalancerRecord
        This balancer.
    seeds : list of str
        Addresses of balancers to send digests to while no other is live.
    timers, effects, rng
        Timers, effects and random numbers of the core.
    apply_object : callable
        Called with time, key, version and value of a newer object from another
        process; returns whether to replicate it further.
    withheld_keys : callable
        Takes the time and returns the keys of objects that aren't sent to a balancer
        that asks for what it lacks. They don't count in hashes.
    is_store_reachable : callable
        Returns whether this balancer follows the store and the store answers it.
    era : StoreEra
        Newest known era of the store.

    Attributes
    ----------
    store_synced_at : int
        Time up to which the store's changes are known, from this balancer's own
        watches or from other balancers, in ms. While the last calls were answered it
        is the current time, although a watch may have gone silent since. What a
        balancer with a newer configuration says doesn't hold here.
    was_in_step : bool
        Whether the digest of another balancer that knows the store's state, from its
        own calls or from others, has matched the objects here. A balancer that starts
        gets there by pulls, which are answered with the objects that digests leave out,
        too.
    """

    def __init__(
        self,
        record: BalancerRecord,
        seeds: list[str],
        timers: Timers,
        effects: list,
        rng: random.Random,
        apply_object: Callable[[int, str, int, bytes], bool],
        withheld_keys: Callable[[int], list[str]],
        is_store_reachable: Callable[[], bool],
        era: StoreEra,
    ) -> None:
        self.record = record
        self.seeds = [seed for seed in seeds if seed != record.host]
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.apply_object = apply_object
        self.read_withheld_keys = withheld_keys
        self.withheld_keys: frozenset[str] = frozenset()
        self.withheld_at = 0
        self.is_store_reachable = is_store_reachable
        self.era = era
        self.replicas = Replicas()
        self.parts = PartCollector()
        self.asked_configuration = 0, 0
        self.pulled_configuration = 0, 0
        self.sent_long_at = 0
        self.peers: dict[str, Peer] = {}
        self.store_synced_at = 0
        self.was_in_step = False

    def start(self, now: int) -> None:
        """Start to send digests."""
        self.run_round(now)

    def version(self, key: str) -> int:
        """Return the newest known version of a key, 0 for none."""
        return self.replicas.version(key)

    def put(self, key: str, version: int, value: bytes, source: str = "") -> bool:
        """Keep a newer object and push it to peers; return whether it was newer.

        `source` is the address of the process that it was received from, if any.
        """
        if not self.replicas.put(key, version, value):
            return False
        for host in push_targets(self.peers, self.record.zone, source, self.rng):
            self.push(host, key)
        return True

    def push(self, host: str, key: str) -> None:
        """Send a new object, or soon a digest if it is long.

        Several balancers push each change; a long one is sent only to those that then
        ask for it.
        """
        if len(self.replicas.by_key[key].packed) <= PART_BYTES:
            self.send_copy(host, key)
            return
        self.timers.add(
            0, lambda now: self.effects.append(ToPeer(host, self.digest(now)))
        )

    def remove(self, key: str) -> None:
        """Remove a key here only; each balancer decides that for itself."""
        self.replicas.remove(key)

    def push_era(self, era: int) -> None:
        """Tell other balancers a new era of the store; their digests tell the rest."""
        hosts = list(self.peers)
        for host in self.rng.sample(hosts, min(len(hosts), PUSH_PEERS)):
            self.effects.append(ToPeer(host, Era(era)))

    def send_copy(self, host: str, key: str) -> int:
        """Send an object, in parts if it is long; return its length in bytes."""
        replica = self.replicas.by_key[key]
        copy = Copy(key, replica.version, replica.packed)
        messages = [copy] if len(copy.value) <= PART_BYTES else split_copy(copy)
        self.effects.extend(ToPeer(host, message) for message in messages)
        return len(copy.value)

    def zone_hosts(self) -> list[str]:
        """Return the addresses of the other balancers of this availability zone."""
        return hosts_in_zone(self.peers, self.record.zone)

    def ensure_peer(self, now: int, host: str, zone: str = "") -> Peer | None:
        """Return the peer at an address, added if it is new; None for this balancer.

        `zone` is its availability zone, empty if it isn't known.
        """
        if host == self.record.host:
            return None
        peer = self.peers.get(host)
        if peer is None:
            peer = self.peers[host] = Peer(host, now)
        peer.zone = zone or peer.zone
        return peer

    def remove_peer(self, host: str) -> None:
        """Remove a balancer that stopped."""
        self.peers.pop(host, None)

    def live_hosts(self, now: int) -> list[str]:
        """Return the addresses of balancers that sent a message recently."""
        return [
            host
            for host, peer in self.peers.items()
            if peer.last_message_at and now - peer.last_message_at <= LIVE_PEER_MS
        ]

    def run_round(self, now: int) -> None:
        """Expire silent peers, send digests, and schedule the next round."""
        for host in expired_hosts(now, self.peers, self.record.zone):
            del self.peers[host]
        self.send_digests(now)
        delay = self.rng.randint(DIGEST_MS * 3 // 4, DIGEST_MS)
        self.timers.add(now + delay, self.run_round)

    def send_digests(self, now: int) -> None:
        """Send digests to a few random peers, and to the seeds if no peer is live."""
        targets = digest_targets(self.peers, self.record.zone, self.rng)
        if not self.live_hosts(now):
            targets = [*targets, *self.seeds]
        if not targets:
            return
        digest = self.digest(now)
        for host in dict.fromkeys(targets):
            self.effects.append(ToPeer(host, digest))
        repeated = [key for key, _ in self.replicas.in_scope(REPEATED_PREFIXES)]
        if repeated:
            self.send_copy(targets[0], self.rng.choice(repeated))
        if self.era.current:
            self.effects.append(ToPeer(targets[0], Era(self.era.current)))

    def store_age(self, now: int) -> int:
        """Return the age of the known state of the store, in ms."""
        if self.is_store_reachable():
            self.store_synced_at = now
        return now - self.store_synced_at

    def digest(self, now: int) -> Digest:
        """Return a digest of everything that this balancer has."""
        return Digest(
            self.record.name,
            self.record.zone,
            self.version(CONFIGURATION_KEY),
            self.total(now),
            self.store_age(now),
        )

    def withheld(self, now: int) -> frozenset[str]:
        """Return the keys of objects that are offered to no other balancer."""
        if now - self.withheld_at >= WITHHELD_MS:
            self.withheld_at = now
            self.withheld_keys = frozenset(self.read_withheld_keys(now))
        return self.withheld_keys

    def total(self, now: int) -> int:
        """Return the hash over all offered objects."""
        total = self.replicas.digest(ALL_PREFIXES)
        for key in self.withheld(now):
            total ^= self.replicas.version_hash(key)
        return total

    def buckets(self, now: int) -> list[int]:
        """Return the hashes over the offered objects of each bucket."""
        totals = self.replicas.buckets(ALL_PREFIXES)
        for key in self.withheld(now):
            totals[bucket_of(key)] ^= self.replicas.version_hash(key)
        return totals

    def note_message(self, now: int, host: str) -> None:
        """Record that a message came from a peer."""
        peer = self.ensure_peer(now, host)
        if peer is not None:
            peer.last_message_at = now

    def on_digest(self, now: int, host: str, message: Digest) -> None:
        """Compare another balancer's digest; send bucket hashes if it differs."""
        is_new = host not in self.peers
        peer = self.ensure_peer(now, host)
        if peer is None:
            return
        peer.last_message_at = now
        peer.name = message.name
        peer.zone = message.zone
        peer.configuration = message.configuration
        if message.configuration <= self.version(CONFIGURATION_KEY):
            self.store_synced_at = max(
                self.store_synced_at, now - max(message.store_age_ms, 0)
            )
        is_in_step = message.total == self.total(now)
        # The age that a balancer without knowledge of the store reports is the time
        # since the epoch.
        knows_store = now - message.store_age_ms > self.record.started // 2
        self.was_in_step = self.was_in_step or (is_in_step and knows_store)
        if not is_in_step and starts_repair(
            self.peers, self.record.zone, host, self.rng
        ):
            self.effects.append(ToPeer(host, Buckets(self.buckets(now))))
        if is_new or self.is_wanted(now, message.configuration):
            self.effects.append(ToPeer(host, self.digest(now)))

    def is_wanted(self, now: int, configuration: int) -> bool:
        """Return whether to ask for the configuration that another balancer has.

        One balancer is asked at a time, the next one if nothing arrives from it. A
        configuration of one datagram is usually on the way already.
        """
        if configuration <= self.version(CONFIGURATION_KEY):
            return False
        asked_version, asked_at = self.asked_configuration
        is_arriving = self.parts.arriving_version(now, CONFIGURATION_KEY) >= (
            configuration
        )
        if is_arriving or (
            asked_version == configuration and now - asked_at <= LONG_PAUSE_MS
        ):
            return False
        self.asked_configuration = configuration, now
        return True

    def on_buckets(self, now: int, host: str, message: Buckets) -> None:
        """Pull the contents of the buckets whose hashes differ."""
        self.note_message(now, host)
        if len(message.marks) != BUCKETS:
            return
        ours = self.buckets(now)
        indexes = [
            i for i, ours_hash in enumerate(ours) if message.marks[i] != ours_hash
        ]
        replicas = self.replicas.in_buckets(ALL_PREFIXES, indexes)
        known = {key: replica.version for key, replica in replicas.items()}
        if bucket_of(CONFIGURATION_KEY) in indexes:
            own = known.get(CONFIGURATION_KEY, 0)
            known[CONFIGURATION_KEY] = max(own, self.expected_version(now, host))
        pull = Pull(indexes, list(known), list(known.values()))
        self.effects.append(ToPeer(host, pull))

    def expected_version(self, now: int, host: str) -> int:
        """Return the version of the configuration that is on the way, 0 if none is.

        If none is, it is now pulled from the balancer at an address.
        """
        version, pulled_at = self.pulled_configuration
        if now - pulled_at > LONG_PAUSE_MS:
            version = 0
        version = max(version, self.parts.arriving_version(now, CONFIGURATION_KEY))
        peer = self.peers.get(host)
        if peer is not None and peer.configuration > version:
            self.pulled_configuration = peer.configuration, now
        return version

    def on_pull(self, now: int, host: str, message: Pull) -> None:
        """Send the objects that are newer here than at the requesting balancer."""
        self.note_message(now, host)
        theirs = dict(zip(message.keys, message.versions, strict=False))
        withheld = self.withheld(now)
        for key, _ in self.replicas.in_scope(REPEATED_PREFIXES):
            self.send_copy(host, key)
        sent = 0
        for key, replica in self.replicas.in_buckets(
            ALL_PREFIXES, message.places
        ).items():
            is_newer = replica.version > theirs.get(key, 0) and key not in withheld
            if is_newer and self.may_send(now, replica):
                sent += self.send_copy(host, key)
            if sent > MAX_PULL_BYTES:
                return

    def may_send(self, now: int, replica: Replica) -> bool:
        """Return whether to send an object now: long ones at intervals only."""
        if len(replica.packed) <= PART_BYTES:
            return True
        if now - self.sent_long_at < LONG_PAUSE_MS:
            return False
        self.sent_long_at = now
        return True

    def collect(self, now: int, message: Part) -> Copy | None:
        """Keep a part of an object; return the object once it is whole, if it is newer.

        Raises
        ------
        MalformedObject
            If the part has impossible numbers or a wrong length.
        """
        if message.version <= self.version(message.key):
            return None
        return self.parts.add(now, message)

    def receive_copy(self, now: int, host: str, message: Copy) -> None:
        """Apply an object from another process if it is newer.

        Raises
        ------
        MalformedObject
            If the value can't be read.
        """
        if message.version <= self.version(message.key):
            return
        value = unpack_value(message.value)
        if self.apply_object(now, message.key, message.version, value):
            self.put(message.key, message.version, value, host)
