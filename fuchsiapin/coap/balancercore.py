"""The decision core of a balancer, which forwards datagrams by their flow.

The balancer forwards datagrams unparsed. It holds no state that a caller depends
on, so that its failure costs a caller one retransmission at most.

The balancers of an availability zone are listed in the zone's object, which is
stored under the key `balancers/<zone>`.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from fuchsiapin import messages
from fuchsiapin.coap.cores import Core
from fuchsiapin.coap.relay import Relay
from fuchsiapin.coap.relaylinks import ALL_TOPICS, RelayOptions
from fuchsiapin.coap.relaytree import Contact
from fuchsiapin.coap.zonemembership import ZoneMembership
from fuchsiapin.codec import decode_object
from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.messages import BalancerMember, SendPeer
from fuchsiapin.objectupdater import ObjectUpdater
from fuchsiapin.ranking import flow_key
from fuchsiapin.views import ViewHistory

__all__ = ["BalancerCore", "make_balancer_core"]

DRAIN_IDLE_MS = 1_000
"""A stopping balancer exits once it has received no datagram for this time."""
LEAVE_TIMEOUT_MS = 5_000
"""A stopping balancer waits this long for its removal from the zone's object."""
DRAIN_CHECK_INTERVAL_MS = 250
"""Interval of the checks whether a stopping balancer may exit."""
MAX_RECENT_SIDES = 4_096
"""Limit of side processes remembered, to be notified when this balancer stops.

Others are notified when they answer.
"""
DRAIN_TIMEOUT_MS = 30_000
"""A stopping balancer exits after this time even if datagrams still arrive."""


class BalancerCore(Core):
    """Decisions of one balancer.

    Parameters
    ----------
    me : BalancerMember
        This process as a member of its availability zone.
    rng : random.Random
        Source of all random draws.
    seeds : list of Contact, optional
        Balancers to contact while the object API does not answer.
    """

    def __init__(
        self,
        me: BalancerMember,
        rng: random.Random,
        seeds: list[Contact] | None = None,
    ) -> None:
        super().__init__(rng)
        self.views: dict[str, ViewHistory] = {}
        self.config: messages.Configuration | None = None
        self.zone_membership = ZoneMembership(
            me, self.timers, self.effects, rng, self.config_number, self.report_broken
        )
        self.recent_sides: dict[str, messages.Member] = {}
        self.relay = Relay(
            RelayOptions(
                Contact(me.id, me.host, me.port), me.zone, ALL_TOPICS, True, seeds or []
            ),
            self.timers,
            self.effects,
            rng,
            self.apply_object,
        )
        self.event_handlers |= {
            messages.Start: self.on_start,
            messages.PeerMessage: self.on_peer_message,
            messages.CallerDatagram: self.on_caller_datagram,
            messages.ObjectSeen: self.apply_object,
            messages.WriteFinished: self.on_write_finished,
            messages.StopRequested: self.on_stop,
            messages.WatchState: self.on_watch_state,
        }
        self.last_datagram_at = 0
        self.stopped_at: int | None = None
        self.is_finished = False

    @property
    def me(self) -> BalancerMember:
        """The process as a member of its availability zone."""
        return self.zone_membership.me

    @property
    def updater(self) -> ObjectUpdater:
        """The updater of the zone's object."""
        return self.zone_membership.updater

    def config_number(self) -> int:
        """Return the number of the configuration in force, 0 for none."""
        return self.config.number if self.config else 0

    def on_start(self, event: messages.Start) -> None:
        """Add this balancer to its zone, and start the heartbeats and the relay."""
        self.zone_membership.start(self.now)
        self.relay.start(self.now)

    def on_watch_state(self, event: messages.WatchState) -> None:
        """Record whether the watch of the object API is working."""
        self.relay.on_watch_state(self.now, event)

    # Datagrams

    def on_caller_datagram(self, event: messages.CallerDatagram) -> None:
        """Forward a caller's datagram to the owner of its flow."""
        self.last_datagram_at = self.now
        views = self.views.get(event.service)
        newest = views.newest if views else None
        if newest is None:
            self.report(2101, service=event.service)
            return
        owner = newest.owner(flow_key(event.service, event.host, event.port))
        if owner is None:
            self.report(2102, service=event.service)
            return
        forward = messages.Forward(
            event.service,
            event.host,
            event.port,
            self.me.id,
            newest.number,
            0,
            event.payload,
        )
        self.effects.append(SendPeer(owner.host, owner.port, forward))
        if (
            owner.id not in self.recent_sides
            and len(self.recent_sides) < MAX_RECENT_SIDES
        ):
            self.recent_sides[owner.id] = owner

    def on_peer_message(self, event: messages.PeerMessage) -> None:
        """Dispatch a message from another process to its handler."""
        self.zone_membership.last_message_at = self.now
        if self.relay.receive(self.now, event.sender, event.message):
            return
        handler = MESSAGE_HANDLERS.get(type(event.message))
        if handler is not None:
            handler(self, event.sender, event.message)

    def on_reply(self, sender: str, message: messages.Reply) -> None:
        """Forward an answer to its caller if a member of the service sent it.

        Asks the sender for the membership object if its view is newer. While this
        balancer is stopping, asks the sender to answer through other balancers.
        """
        views = self.views.get(message.service)
        side = self.find_side(message.service, sender)
        if side is None:
            self.report(2103, service=message.service, sender=sender)
            return
        self.effects.append(
            messages.SendCaller(
                message.service, message.host, message.port, message.payload
            )
        )
        if self.stopped_at is not None:
            self.last_datagram_at = self.now
            self.send_leaving(side)
        if views is not None and message.view > views.number:
            wanted = messages.ObjectWanted(f"members/{message.service}", 0)
            self.effects.append(SendPeer(side.host, side.port, wanted))

    def find_side(self, service: str, name: str) -> messages.Member | None:
        """Return a side process from any retained view of a service."""
        views = self.views.get(service)
        if views is None:
            return None
        for placement in reversed(views.placements):
            for member in placement.view.members:
                if member.id == name:
                    return member
        return None

    # Stored objects

    def apply_object(self, event: messages.ObjectSeen) -> None:
        """Apply a stored object if it is newer than the copy held here."""
        try:
            self.apply_known_object(event)
            self.relay.accept_object(self.now, event)
        except MalformedObject as error:
            self.report_broken(event.key, str(error))

    def report_broken(self, key: str, error: str) -> None:
        """Report an object that is refused, or an entry of it that is left out."""
        self.report(2104, key=key, error=error)

    def apply_known_object(self, event: messages.ObjectSeen) -> None:
        """Apply a stored object of a kind that a balancer uses."""
        if event.key.startswith("balancers/"):
            self.zone_membership.apply_stored(self.now, event)
        elif event.key.startswith("members/") and event.value:
            self.apply_members(event)
        elif event.key.startswith("config/") and event.value:
            config = decode_object(messages.Configuration, event.value, event.key)
            if self.config is None or config.number > self.config.number:
                self.config = config
            self.relay.acks.set_in_force(event.key, config.number)

    def apply_members(self, event: messages.ObjectSeen) -> None:
        """Adopt the membership of a service if its view is newer."""
        membership = decode_object(
            messages.ServiceMembership,
            event.value,
            event.key,
            partial(self.report_broken, event.key),
        )
        views = self.views.setdefault(membership.service, ViewHistory())
        if membership.view.number > views.number:
            views.adopt(deduplicate_members(membership))

    def on_object_copy(self, sender: str, message: messages.ObjectCopy) -> None:
        """Handle a stored object from a peer as if the object API had sent it."""
        self.apply_object(
            messages.ObjectSeen(message.key, message.version, message.value)
        )

    def on_object_wanted(self, sender: str, message: messages.ObjectWanted) -> None:
        """Send a membership object to a side process that requested it."""
        value = self.relay.replicas.value(message.key)
        service = message.key.removeprefix("members/")
        side = self.find_side(service, sender)
        if value is not None and side is not None:
            version = self.relay.replicas.version(message.key)
            copy = messages.ObjectCopy(message.key, version, value)
            self.effects.append(SendPeer(side.host, side.port, copy))

    def on_write_finished(self, event: messages.WriteFinished) -> None:
        """Handle the result of a conditional update of the zone's object."""
        self.zone_membership.on_write_finished(self.now, event)

    # Membership of the availability zone

    def on_heartbeat(self, sender: str, message: messages.BalancerHeartbeat) -> None:
        """Record a heartbeat of another balancer."""
        self.zone_membership.on_heartbeat(self.now, sender)

    def on_suspect(self, sender: str, message: messages.Suspect) -> None:
        """Answer whether this process finds a suspected balancer silent too."""
        self.zone_membership.on_suspect(self.now, sender, message)

    def on_suspect_answer(self, sender: str, message: messages.SuspectAnswer) -> None:
        """Handle another balancer's answer about a suspected one."""
        self.zone_membership.on_suspect_answer(self.now, sender, message)

    # Stopping

    def on_stop(self, event: messages.StopRequested) -> None:
        """Leave the zone's object, then forward until the traffic stops."""
        if self.stopped_at is not None:
            return
        self.stopped_at = self.now
        self.zone_membership.depart(self.now)
        self.relay.close()
        self.drain(self.now)

    def drain(self, now: int) -> None:
        """Have side processes answer through other balancers; exit once idle."""
        try:
            for member in self.recent_sides.values():
                self.send_leaving(member)
            self.finish_if_drained(now)
        finally:
            if not self.is_finished:
                self.timers.add(now + DRAIN_CHECK_INTERVAL_MS, self.drain)

    def send_leaving(self, member: messages.Member) -> None:
        """Ask a side process to send its answers through other balancers."""
        message = messages.BalancerLeaving(self.me.incarnation)
        self.effects.append(SendPeer(member.host, member.port, message))

    def finish_if_drained(self, now: int) -> None:
        """Exit once this balancer has left the zone's object and is idle.

        While the object API is unreachable, the zone's object still lists the
        balancer; the others remove it when the API is back. The wait to leave ends
        after `LEAVE_TIMEOUT_MS`. After `DRAIN_TIMEOUT_MS` the balancer exits anyway.
        """
        has_left = (
            self.zone_membership.has_left() or now - self.stopped_at > LEAVE_TIMEOUT_MS
        )
        is_idle = now - max(self.last_datagram_at, self.stopped_at) > DRAIN_IDLE_MS
        is_timed_out = now - self.stopped_at > DRAIN_TIMEOUT_MS
        if (has_left and is_idle) or is_timed_out:
            self.is_finished = True
            self.effects.append(messages.Finished())


def deduplicate_members(
    membership: messages.ServiceMembership,
) -> messages.ServiceMembership:
    """Return a membership whose views share equal members, to save memory."""
    unique: dict[messages.Member, messages.Member] = {}

    def deduplicate(view: messages.View) -> messages.View:
        members = [unique.setdefault(member, member) for member in view.members]
        return messages.View(view.number, members)

    return replace(
        membership,
        view=deduplicate(membership.view),
        history=[deduplicate(view) for view in membership.history],
    )


MESSAGE_HANDLERS: dict[type, Callable[[BalancerCore, str, Any], None]] = {
    messages.Reply: BalancerCore.on_reply,
    messages.BalancerHeartbeat: BalancerCore.on_heartbeat,
    messages.Suspect: BalancerCore.on_suspect,
    messages.SuspectAnswer: BalancerCore.on_suspect_answer,
    messages.ObjectCopy: BalancerCore.on_object_copy,
    messages.ObjectWanted: BalancerCore.on_object_wanted,
}


def make_balancer_core(
    me: BalancerMember, seed: int, seeds: list[Contact] | None = None
) -> BalancerCore:
    """Return the decision core of a balancer.

    Parameters
    ----------
    me : BalancerMember
        The process as a member of its availability zone.
    seed : int
        Seed of all random draws.
    seeds : list of Contact, optional
        Balancers to contact while the object API does not answer.
    """
    return BalancerCore(me, random.Random(seed), seeds)
