"""Distribution of stored objects from process to process.

It keeps the number of watches at the object API small. In each availability zone
a few balancers, the roots, watch the object API. All other processes subscribe
to a parent: balancers in a tree below the roots, side processes to a balancer of
their zone. Changes are pushed down the tree; periodic digests find what a push
missed [1]_. At every process a version replaces only lower ones.

A process is synced once its objects have matched those of its parent.

References
----------
.. [1] A. Demers et al., "Epidemic algorithms for replicated database
   maintenance", PODC 1987.
"""

import random
from collections.abc import Callable
from typing import Any

from fuchsiapin import messages
from fuchsiapin.coap.acknowledgements import Acknowledgements, SharedSums
from fuchsiapin.coap.relaylinks import ALL_TOPICS, RelayOptions, Subscriber
from fuchsiapin.coap.relaytree import Contact, RelayTree, parents_of_side
from fuchsiapin.codec import decode_object
from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.messages import ConfigAck, ObjectSeen, ReadObject, SendPeer
from fuchsiapin.replicas import Replicas, is_in_scope, unpack_value
from fuchsiapin.timers import Timers

__all__ = ["Relay"]

DIGEST_INTERVAL_MS = 1_000
"""Longest interval of the digests to the parent; the shortest is 3/4 of it."""
FETCH_INTERVAL_MS = 100
"""Longest interval after a digest that found differences; the shortest is 3/4 of it."""
PARENT_TIMEOUT_MS = 3_000
"""A parent that has not answered for this time is replaced by the next candidate."""
SUBSCRIBER_TIMEOUT_MS = 5_000
"""A subscriber that has sent no digest for this time is removed."""
FAILBACK_DELAY_MS = 30_000
"""Time with another parent after which the preferred one is tried again."""
FIRST_READ_PAUSE_MS = 250
"""Upper limit of the first pause between reads of the zone's object.

The limit is doubled at each read. A pause is drawn between half the limit and the
limit.
"""
MAX_READ_PAUSE_MS = 30_000
"""Bound on the doubled limit."""
COMPARE_INTERVAL_MS = 2_000
"""Interval at which a root compares its objects with those of another root."""
MAX_HOPS = 4
"""Limit of `hops`; a root that reaches it counts as cut off from the object API."""
MAX_SUBSCRIBERS = 64
"""Limit of subscribers; a refused one tries its next candidate."""
MAX_TOPICS = 64
"""Limit of the topics of a subscriber; one with more is refused."""
MAX_PULL_BYTES = 131_072
"""Bytes of objects sent for one request; the next digest fetches the rest."""


class Relay:
    """Replicas of stored objects at one process, kept up to date through others.

    Parameters
    ----------
    options : RelayOptions
        Role of this process in the relay.
    timers, effects, rng
        Timers, effects and random numbers of the core.
    on_object : callable
        Called with an `ObjectSeen` that came from another process.

    Attributes
    ----------
    replicas : Replicas
        Newest known version of each object.
    acks : Acknowledgements
        Where configurations are in force, here and at the processes below.
    subscribers : dict
        Subscribers by name.
    parent : Contact or None
        Process that this one subscribes to; at a root with a working watch, the
        root that it last compared its objects with.
    candidate_index : int
        Index of the candidate that `choose_parent` chose last, 0 for the preferred
        one; taken modulo the number of candidates.
    last_answer_at : int
        Time of the parent's last answer, or of a change of the parent or of the
        watch, in ms.
    chosen_at : int
        Time at which the parent was chosen, in ms.
    is_synced : bool
        Whether the objects have matched the parent's since a parent last timed out.
    hops : int
        Roots without a working watch on the path from the object API to this
        process, itself included; `MAX_HOPS` at most or if unknown.
    has_differences : bool
        Whether the objects differed from the parent's since the last tick.
    copy_sender : str
        Sender of the copy that is being handled; it is not sent back there.
    """

    def __init__(
        self,
        options: RelayOptions,
        timers: Timers,
        effects: list,
        rng: random.Random,
        on_object: Callable[[ObjectSeen], None],
    ) -> None:
        self.options = options
        self.name = options.contact.id
        self.timers = timers
        self.effects = effects
        self.rng = rng
        self.on_object = on_object
        self.replicas = Replicas()
        self.tree = RelayTree(options.zone)
        self.acks = Acknowledgements(self.name)
        self.subscribers: dict[str, Subscriber] = {}
        self.parent: Contact | None = None
        self.candidate_index = 0
        self.last_answer_at = 0
        self.chosen_at = 0
        self.is_watching = False
        self.is_object_api_reachable = False
        self.is_synced = False
        self.hops = MAX_HOPS
        self.is_closed = False
        self.copy_sender = ""
        self.read_pause = FIRST_READ_PAUSE_MS
        self.next_read_at = 0
        self.has_differences = False
        self.shared_sums = SharedSums()
        self.next_compare_at = 0

    def start(self, now: int) -> None:
        """Read the zone's object, whose balancers form the tree; start subscribing."""
        self.read_zone(now)
        self.tick(now)

    @property
    def versions(self) -> dict[str, int]:
        """Return the newest known version of each key."""
        return {key: item.version for key, item in self.replicas.by_key.items()}

    def unready_reason(self) -> str:
        """Return why this process is not ready, empty if it is.

        It is ready if it is synced or its watch of the object API works.
        """
        if self.is_synced or (self.is_watching and self.is_object_api_reachable):
            return ""
        if self.is_watching:
            return "the object API does not answer the watch"
        if self.parent is None:
            return "no balancer is known: object API silent and no seed answers"
        return f"no answer yet from {self.parent.id or self.parent.host}"

    # Objects

    def accept_object(self, now: int, event: ObjectSeen) -> bool:
        """Store an accepted object and push it to the subscribers, if it is newer.

        Returns
        -------
        bool
            Whether it was newer.
        """
        if not event.version or not is_in_scope(event.key, ALL_TOPICS):
            return False
        if not self.replicas.put(event.key, event.version, event.value):
            return False
        if event.key.startswith("balancers/"):
            self.update_zone(now, event.value)
        for subscriber in self.subscribers.values():
            if subscriber.contact.id != self.copy_sender and is_in_scope(
                event.key, subscriber.topics
            ):
                self.send_copy(subscriber.contact, event.key)
        return True

    def update_zone(self, now: int, value: bytes) -> None:
        """Update the tree with the balancers of a zone."""
        if self.tree.update(decode_object(messages.ZoneBalancers, value)):
            self.update_role(now)

    def update_role(self, now: int) -> None:
        """Watch the object API as a root, or stop; choose a parent if needed."""
        is_root = self.options.is_balancer and self.tree.is_root(self.name)
        if is_root != self.is_watching:
            self.is_watching = is_root
            self.is_object_api_reachable = False
            self.last_answer_at = now
            self.effects.append(messages.WatchObjects(is_root))
            self.report(5102, state="begun" if is_root else "ended")
        candidates = self.candidates()
        if self.parent not in candidates or (candidates and self.candidate_index == 0):
            self.choose_parent(now, 0)

    def on_watch_state(self, now: int, event: messages.WatchState) -> None:
        """Record whether the watch of a root is working."""
        if event.is_reachable != self.is_object_api_reachable:
            self.hops = 0 if event.is_reachable else MAX_HOPS
            self.is_object_api_reachable = event.is_reachable
            self.last_answer_at = now

    def send_copy(self, target: Contact, key: str) -> int:
        """Send an object; return its packed length in bytes."""
        replica = self.replicas.by_key[key]
        self.send(target, messages.RelayCopy(key, replica.version, replica.packed))
        return len(replica.packed)

    def send(self, target: Contact, message: Any) -> None:
        """Send a message to another process."""
        self.effects.append(SendPeer(target.host, target.port, message))

    def on_copy(self, now: int, sender: str, message: messages.RelayCopy) -> None:
        """Handle an object from another process as if the object API had sent it."""
        if message.version <= self.replicas.version(message.key):
            return
        if not is_in_scope(message.key, self.options.topics):
            return
        value = unpack_value(message.packed)
        self.copy_sender = sender
        try:
            self.on_object(ObjectSeen(message.key, message.version, value))
        finally:
            self.copy_sender = ""

    # Towards the parent

    def candidates(self) -> list[Contact]:
        """Return the candidates for the parent, the preferred one first."""
        if not self.options.is_balancer:
            zone = self.tree.zones.get(self.options.zone)
            return [
                *parents_of_side(self.name, zone),
                *self.tree.roots(self.name),
                *self.options.seeds,
            ]
        if self.is_watching:
            return [*self.tree.roots(self.name), *self.options.seeds]
        parents = self.tree.parent_candidates(self.name)
        roots = [root for root in self.tree.roots(self.name) if root not in parents]
        return [*parents, *roots, *self.options.seeds]

    def needs_parent(self) -> bool:
        """Return whether this process has no working watch of the object API."""
        return not (self.is_watching and self.is_object_api_reachable)

    def choose_parent(self, now: int, candidate_index: int) -> None:
        """Subscribe to the candidate at an index, modulo their number."""
        candidates = self.candidates()
        self.candidate_index = candidate_index
        parent = candidates[candidate_index % len(candidates)] if candidates else None
        if parent != self.parent:
            self.parent = parent
            self.last_answer_at = now
            self.chosen_at = now
            if parent is not None:
                self.report(5103, parent=parent.id or parent.host)
            if self.needs_parent():
                self.send_digest()

    def tick(self, now: int) -> None:
        """Send a digest to the parent, check the links, and schedule the next run."""
        try:
            self.run_checks(now)
        finally:
            pause = FETCH_INTERVAL_MS if self.has_differences else DIGEST_INTERVAL_MS
            self.has_differences = False
            self.timers.add(now + self.rng.randint(pause * 3 // 4, pause), self.tick)

    def run_checks(self, now: int) -> None:
        """Send a digest to the parent and check the links."""
        self.remove_silent_subscribers(now)
        if self.needs_parent():
            self.check_parent(now)
            self.read_if_not_synced(now)
            self.send_digest()
        else:
            self.compare_with_root(now)
        if self.is_watching:
            self.send_acks_to_roots(now)

    def compare_with_root(self, now: int) -> None:
        """Fetch from a random other root what this root's watch has missed."""
        roots = self.tree.roots(self.name)
        if now >= self.next_compare_at and roots:
            self.next_compare_at = now + COMPARE_INTERVAL_MS
            self.parent = self.rng.choice(roots)
            self.send_digest()

    def check_parent(self, now: int) -> None:
        """Replace a silent parent; return to the preferred one after a while.

        A root without a working watch looks for another root that has one. All
        other processes keep a parent that is cut off from the object API, because it
        gets changes through other roots and passes them on.
        """
        if self.parent is None:
            self.choose_parent(now, 0)
        elif now - self.last_answer_at > PARENT_TIMEOUT_MS:
            self.is_synced = False
            self.choose_parent(now, self.candidate_index + 1)
            self.last_answer_at = now
        elif self.is_watching and self.hops >= MAX_HOPS:
            self.choose_parent(now, self.candidate_index + 1)
        elif self.candidate_index and now - self.chosen_at > FAILBACK_DELAY_MS:
            self.choose_parent(now, 0)

    def send_digest(self) -> None:
        """Send the parent a digest of the objects and acknowledgements held here."""
        if self.parent is None:
            return
        digest = messages.RelayDigest(
            self.options.contact.host,
            self.options.contact.port,
            self.options.topics,
            self.replicas.digest(self.options.topics),
            self.acks.digest(),
            self.is_watching,
        )
        self.send(self.parent, digest)

    def identify_parent(self, sender: str) -> bool:
        """Return whether the parent sent a message.

        If the parent is a seed whose id is unknown, the sender is taken for it.
        """
        if self.parent is not None and not self.parent.id:
            self.parent = Contact(sender, self.parent.host, self.parent.port)
        return self.parent is not None and self.parent.id == sender

    def on_answer(self, now: int, sender: str, message: messages.RelayAnswer) -> None:
        """Handle the parent's answer to a digest; fetch the objects that differ."""
        if not self.identify_parent(sender):
            return
        if not message.is_accepted:
            if not self.needs_parent():
                return
            self.choose_parent(now, self.candidate_index + 1)
            return
        self.last_answer_at = now
        self.read_pause = FIRST_READ_PAUSE_MS
        if self.needs_parent():
            self.hops = min(message.hops + self.is_watching, MAX_HOPS)
        if message.wants_acks:
            self.send(self.parent, messages.RelayAcks(self.acks.sums()))
        if not message.buckets:
            self.is_synced = True
            return
        self.pull(message.buckets)

    def pull(self, theirs: list[int]) -> None:
        """Request the objects of all buckets that differ from the parent's."""
        ours = self.replicas.buckets(self.options.topics)
        differing = [
            bucket
            for bucket, bucket_hash in enumerate(ours)
            if theirs[bucket] != bucket_hash
        ]
        known = self.replicas.in_buckets(self.options.topics, differing)
        versions = [replica.version for replica in known.values()]
        self.send(self.parent, messages.RelayPull(differing, list(known), versions))
        self.has_differences = True

    def on_wanted(self, now: int, sender: str, message: messages.RelayWanted) -> None:
        """Send the parent the objects that are newer here."""
        if self.identify_parent(sender):
            self.send_copies(self.parent, message.keys)

    def send_copies(self, target: Contact, keys: list[str]) -> None:
        """Send objects until `MAX_PULL_BYTES` are exceeded."""
        sent = 0
        for key in keys:
            if sent > MAX_PULL_BYTES:
                return
            if key in self.replicas.by_key:
                sent += self.send_copy(target, key)

    # Reads of the zone's object

    def read_zone(self, now: int) -> None:
        """Read the object of this zone; double the pause to the next read."""
        self.effects.append(ReadObject(f"balancers/{self.options.zone}"))
        self.next_read_at = now + self.rng.randint(
            self.read_pause // 2, self.read_pause
        )
        self.read_pause = min(2 * self.read_pause, MAX_READ_PAUSE_MS)

    def read_if_not_synced(self, now: int) -> None:
        """Read the object of this zone again while not synced or no parent answers."""
        needs_read = (
            not self.is_synced or now - self.last_answer_at > 2 * DIGEST_INTERVAL_MS
        )
        if now >= self.next_read_at and needs_read:
            self.read_zone(now)

    # Towards the subscribers

    def on_digest(self, now: int, sender: str, message: messages.RelayDigest) -> None:
        """Accept or refuse a subscriber; answer where its objects differ."""
        contact = Contact(sender, message.host, message.port)
        is_full = (
            sender not in self.subscribers and len(self.subscribers) >= MAX_SUBSCRIBERS
        )
        accepts_subscribers = self.options.is_balancer and not self.is_closed
        if not accepts_subscribers or is_full or len(message.topics) > MAX_TOPICS:
            self.subscribers.pop(sender, None)
            self.send(contact, messages.RelayAnswer(False, False, MAX_HOPS, []))
            return
        self.subscribers[sender] = Subscriber(
            contact, message.topics, now, message.is_root
        )
        self.send(contact, self.answer_digest(sender, message))

    def answer_digest(
        self, sender: str, message: messages.RelayDigest
    ) -> messages.RelayAnswer:
        """Return the answer to a subscriber's digest."""
        wants_acks = (
            not message.is_root and self.acks.subscriber_digest(sender) != message.acks
        )
        is_same = self.replicas.digest(message.topics) == message.digest
        buckets = [] if is_same else self.replicas.buckets(message.topics)
        return messages.RelayAnswer(True, wants_acks, self.hops, buckets)

    def on_pull(self, now: int, sender: str, message: messages.RelayPull) -> None:
        """Send a subscriber what it lacks; request what is newer there."""
        subscriber = self.subscribers.get(sender)
        if subscriber is None:
            return
        theirs = dict(zip(message.keys, message.versions, strict=False))
        ours = self.replicas.in_buckets(subscriber.topics, message.buckets)
        lacking = [key for key in ours if ours[key].version > theirs.get(key, 0)]
        self.send_copies(subscriber.contact, lacking)
        newer = [key for key in theirs if theirs[key] > self.replicas.version(key)]
        if newer:
            self.send(subscriber.contact, messages.RelayWanted(newer))

    def close(self) -> None:
        """Refuse all subscribers from now on, because this process is stopping."""
        self.is_closed = True

    def remove_silent_subscribers(self, now: int) -> None:
        """Remove subscribers that have sent no digest for `SUBSCRIBER_TIMEOUT_MS`."""
        for name, subscriber in list(self.subscribers.items()):
            if now - subscriber.last_digest_at > SUBSCRIBER_TIMEOUT_MS:
                del self.subscribers[name]
                self.acks.forget(name)

    # Acknowledgements

    def on_acks(self, now: int, sender: str, message: messages.RelayAcks) -> None:
        """Record what is in force at a subscriber or another root, and below it.

        A root's sums are kept in `shared_sums` only, so that the processes below it
        are not counted twice.
        """
        subscriber = self.subscribers.get(sender)
        if any(root.id == sender for root in self.tree.roots(self.name)):
            self.acks.forget(sender)
            self.shared_sums.receive(now, sender, message.acks)
        elif subscriber is not None:
            self.acks.put(sender, message.acks)

    def send_acks_to_roots(self, now: int) -> None:
        """Send the other roots the acknowledgement sums that have changed."""
        changed = self.shared_sums.changed_sums(now, self.acks.sums())
        if changed:
            for root in self.tree.roots(self.name):
                self.send(root, messages.RelayAcks(changed))

    def in_force(self, now: int) -> list[ConfigAck]:
        """Return where configurations are in force; only a root has them all."""
        roots = {root.id for root in self.tree.roots(self.name)}
        return self.shared_sums.sums(now, self.acks, roots)

    def handlers(self) -> dict[type, Callable[[int, str, Any], None]]:
        """Return the handler of each message type.

        Handlers are called with time, sender and message.
        """
        return {
            messages.RelayDigest: self.on_digest,
            messages.RelayAnswer: self.on_answer,
            messages.RelayPull: self.on_pull,
            messages.RelayWanted: self.on_wanted,
            messages.RelayCopy: self.on_copy,
            messages.RelayAcks: self.on_acks,
        }

    def receive(self, now: int, sender: str, message: Any) -> bool:
        """Handle a message if it belongs to the relay; return whether it does."""
        handler = self.handlers().get(type(message))
        if handler is None:
            return False
        try:
            handler(now, sender, message)
        except (MalformedObject, IndexError, TypeError, AttributeError) as error:
            self.report(5101, sender=sender, error=str(error))
        return True

    def report(self, number: int, **fields: Any) -> None:
        """Add a numbered event for log and metrics."""
        self.effects.append(messages.Report(number, fields))
