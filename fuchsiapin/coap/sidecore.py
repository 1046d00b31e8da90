"""The decision core of a side process, which serves the flows that it owns.

The core takes events and returns effects. It opens no socket and reads no
clock, so that the daemon, the fuzzer and the measurements run the same code.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import Any

from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from fuchsiapin import messages
from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.admission import Admission
from fuchsiapin.coap.answers import Answers
from fuchsiapin.coap.cores import Core
from fuchsiapin.coap.dispatching import Dispatcher
from fuchsiapin.coap.flowstore import FlowStore
from fuchsiapin.coap.handoffs import Mover
from fuchsiapin.coap.membership import Membership
from fuchsiapin.coap.observationmanager import ObservationManager
from fuchsiapin.coap.observing import Observations
from fuchsiapin.coap.ownership import FlowAuthority, Ownership
from fuchsiapin.coap.recording import Recorder
from fuchsiapin.coap.recordtable import RecordTable
from fuchsiapin.coap.relay import Relay
from fuchsiapin.coap.relaylinks import RelayOptions
from fuchsiapin.coap.relaytree import Contact
from fuchsiapin.coap.requests import Request
from fuchsiapin.coap.sideoptions import SideOptions
from fuchsiapin.coap.tenants import Tenants
from fuchsiapin.coap.transfers import Transfers
from fuchsiapin.coap.upstream import UpstreamLink
from fuchsiapin.coap.variants import (
    admission_policies,
    handoff_policies,
    retry_policies,
)
from fuchsiapin.codec import decode_object
from fuchsiapin.exceptions import MalformedDatagram, MalformedObject
from fuchsiapin.messages import Member, SendPeer
from fuchsiapin.ranking import flow_key

__all__ = ["SideCore", "SideOptions", "make_side_core"]

MAX_LAST_BALANCERS = 65_536
"""Bound on the flows whose last balancer is stored."""
MAX_PENDING_FORWARDS = 1_024
"""Bound on the datagrams that wait for a newer view."""
MAINTENANCE_INTERVAL_MS = 1_000


class SideCore(Core):
    """Decisions of one side process.

    Parameters
    ----------
    service : str
        Service that the upstream belongs to.
    me : Member
        This process as a member.
    rng : random.Random
        Source of all random draws.
    options : SideOptions
        Options of the side process.

    Attributes
    ----------
    last_balancers : OrderedDict
        Name of the balancer that the last datagram came from, by flow key.
    balancers : dict
        Balancers by availability zone and name.
    leaving_balancers : dict
        Incarnation of each balancer that announced that it is leaving.
    pending_forwards : deque
        Sender and message of datagrams that wait for a newer view.
    """

    def __init__(
        self, service: str, me: Member, rng: random.Random, options: SideOptions
    ) -> None:
        super().__init__(rng)
        self.service = service
        self.deadline_ms = options.deadline_ms
        self.requests: dict[bytes, Request] = {}
        self.answers = Answers(self)
        self.dispatcher = Dispatcher(self)
        self.recorder = Recorder(self)
        self.mover = Mover(self, handoff_policies.get(options.policy.move))
        self.retrier = retry_policies.get(options.policy.retry)(self)
        self.transfers = Transfers(self)
        self.observation_manager = ObservationManager(self)
        self.last_balancers: OrderedDict[bytes, str] = OrderedDict()
        self.balancers: dict[str, dict[str, messages.BalancerMember]] = {}
        self.balancer_versions: dict[str, int] = {}
        self.leaving_balancers: dict[str, int] = {}
        self.config: messages.Configuration | None = None
        self.admission = Admission(
            options.slots, options.queue, admission_policies.get(options.policy.admit)()
        )
        self.tenants = Tenants([])
        self.link = UpstreamLink(
            self.timers, self.effects, self.observation_manager.register_again, rng
        )
        self.observations = Observations(
            self.timers,
            self.observation_manager.send_notification,
            self.observation_manager.close_for_lost_caller,
            rng.randrange(65536),
        )
        self.table = RecordTable(options.records)
        self.flow_store = FlowStore(
            service, self.table, self.observations, self.dispatcher.is_withdrawn
        )
        self.ownership = Ownership(
            service,
            me.id,
            me.incarnation,
            self.flow_store,
            self.timers,
            self.effects,
            self.advance_all,
        )
        self.membership = Membership(
            service,
            me,
            self.ownership,
            self.timers,
            self.effects,
            rng,
            self.admission.wait_ms,
            lambda incarnation: None,
        )
        self.membership.updater.on_refused = partial(
            self.report_broken, self.membership.key
        )
        self.relay = self.make_relay(me, options)
        self.pending_forwards: deque[tuple[str, messages.Forward]] = deque(
            maxlen=MAX_PENDING_FORWARDS
        )
        self.message_handlers: dict[type, Callable[[str, Any], None]] = {
            messages.Forward: self.on_forward,
            messages.Heartbeat: self.on_heartbeat,
            messages.Claim: self.on_claim,
            messages.ClaimAnswer: self.on_claim_answer,
            messages.Install: self.on_install,
            messages.Installed: self.on_installed,
            messages.RecordPut: self.recorder.on_record_put,
            messages.RecordAck: self.recorder.on_record_ack,
            messages.ObservationPut: self.observation_manager.on_observation_put,
            messages.ObservationAck: self.observation_manager.on_observation_ack,
            messages.BacklogAsk: self.mover.on_backlog_ask,
            messages.BacklogTell: self.mover.on_backlog_tell,
            messages.OfferDeclined: self.mover.on_offer_declined,
            messages.Handoff: self.mover.on_handoff,
            messages.RecordAsk: self.recorder.on_record_ask,
            messages.Withdrawal: self.recorder.on_withdrawal,
            messages.HandoffResult: self.mover.on_handoff_result,
            messages.Suspect: self.on_suspect,
            messages.SuspectAnswer: self.on_suspect_answer,
            messages.ObjectWanted: self.on_object_wanted,
            messages.ObjectCopy: self.on_object_copy,
            messages.BalancerLeaving: self.on_balancer_leaving,
        }
        self.event_handlers |= {
            messages.Start: self.on_start,
            messages.Wake: self.on_wake,
            messages.PeerMessage: self.on_peer_message,
            messages.ObjectSeen: self.apply_object,
            messages.WriteFinished: self.on_write_finished,
            messages.StopRequested: self.on_stop,
            messages.UpstreamDatagram: self.on_upstream_datagram,
        }
        self.is_stopping = False
        self.is_finished = False
        self.last_mid = rng.randrange(65536)

    def make_relay(self, me: Member, options: SideOptions) -> Relay:
        """Return the relay, which receives stored objects from a balancer."""
        topics = [f"members/{self.service}", "balancers/"]
        topics.append(f"config/{options.deployment}")
        relay_options = RelayOptions(
            Contact(me.id, me.host, me.port), me.zone, topics, False, options.seeds
        )
        return Relay(
            relay_options, self.timers, self.effects, self.rng, self.apply_object
        )

    def on_start(self, event: messages.Start) -> None:
        """Start all parts."""
        self.membership.start(self.now)
        self.link.start(self.now)
        self.relay.start(self.now)
        self.run_maintenance(self.now)

    def on_wake(self, event: messages.Wake) -> None:
        """Do nothing: `handle` has run the due timers."""

    def on_upstream_datagram(self, event: messages.UpstreamDatagram) -> None:
        """Handle a datagram of the upstream."""
        self.link.receive(self.now, event.payload)

    def run_maintenance(self, now: int) -> None:
        """Run the periodic maintenance and schedule the next run."""
        try:
            self.flow_store.expire(now)
            self.check_upstream(now)
            self.dispatcher.expire_blocked()
            self.finish_if_drained(now)
        finally:
            self.timers.add(now + MAINTENANCE_INTERVAL_MS, self.run_maintenance)

    def check_upstream(self, now: int) -> None:
        """Set the state to `down` while the upstream is down, to own no flows."""
        if self.membership.me.state == "leaving":
            return
        if self.link.is_down(now):
            self.retrier.on_upstream_silent()
            self.membership.set_state(now, "down")
        else:
            self.membership.set_state(now, "live")

    # Messages from peers

    def on_peer_message(self, event: messages.PeerMessage) -> None:
        """Dispatch a message of another process to its handler."""
        message = event.message
        if self.relay.receive(self.now, event.sender, message):
            return
        if getattr(message, "service", self.service) != self.service:
            self.report(4101, sender=event.sender, service=message.service)
            return
        handler = self.message_handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(event.sender, message)
        except MalformedDatagram:
            self.report(4104, flow=f"from {event.sender}")

    def on_heartbeat(self, sender: str, message: messages.Heartbeat) -> None:
        """Handle a heartbeat of a peer."""
        self.membership.on_heartbeat(self.now, sender, message)

    def on_claim(self, sender: str, message: messages.Claim) -> None:
        """Answer a member's claim."""
        claimer = self.membership.peer(sender)
        if claimer is not None:
            self.ownership.on_claim(self.now, claimer, message)

    def on_claim_answer(self, sender: str, message: messages.ClaimAnswer) -> None:
        """Handle the state of flows from an earlier owner or witness."""
        self.ownership.on_claim_answer(self.now, sender, message)

    def on_install(self, sender: str, message: messages.Install) -> None:
        """Store flows as a witness."""
        owner = self.membership.peer(sender)
        if owner is not None:
            self.ownership.on_install(self.now, owner, message)

    def on_installed(self, sender: str, message: messages.Installed) -> None:
        """Handle the witness's confirmation of an install."""
        self.ownership.on_installed(self.now, sender, message)

    def on_suspect(self, sender: str, message: messages.Suspect) -> None:
        """Answer whether this process finds a member silent too."""
        self.membership.on_suspect(self.now, sender, message)

    def on_suspect_answer(self, sender: str, message: messages.SuspectAnswer) -> None:
        """Handle a peer's answer about a suspected member."""
        self.membership.on_suspect_answer(self.now, sender, message)

    def on_object_wanted(self, sender: str, message: messages.ObjectWanted) -> None:
        """Send the membership object to a peer that lacks it."""
        peer = self.membership.peer(sender)
        if peer is not None and message.key == self.membership.key:
            self.membership.send_membership(peer.host, peer.port)

    def on_object_copy(self, sender: str, message: messages.ObjectCopy) -> None:
        """Handle a stored object from a peer like one from the object API."""
        self.apply_object(
            messages.ObjectSeen(message.key, message.version, message.value)
        )

    # Stored objects

    def apply_object(self, event: messages.ObjectSeen) -> None:
        """Apply a stored object if it is newer, and pass it to the relay."""
        try:
            self.apply_known_object(event)
            self.relay.accept_object(self.now, event)
        except MalformedObject as error:
            self.report_broken(event.key, str(error))

    def report_broken(self, key: str, error: str) -> None:
        """Report an object that is refused, or an entry of it that is left out."""
        self.report(4102, key=key, error=error)

    def apply_known_object(self, event: messages.ObjectSeen) -> None:
        """Apply a stored object of a kind that this process uses."""
        if event.key == self.membership.key:
            if self.membership.apply_stored(self.now, event):
                self.after_view_change()
        elif event.key.startswith("balancers/") and event.value:
            on_refused = partial(self.report_broken, event.key)
            self.apply_zone_balancers(
                decode_object(
                    messages.ZoneBalancers, event.value, event.key, on_refused
                )
            )
        elif event.key.startswith("config/") and event.value:
            self.apply_configuration(
                decode_object(messages.Configuration, event.value, event.key)
            )

    def apply_zone_balancers(self, zone: messages.ZoneBalancers) -> None:
        """Store the balancers of an availability zone."""
        if zone.number > self.balancer_versions.get(zone.zone, 0):
            self.balancer_versions[zone.zone] = zone.number
            self.balancers[zone.zone] = {
                member.id: member
                for member in zone.members
                if not self.has_announced_leaving(member)
            }

    def has_announced_leaving(self, balancer: messages.BalancerMember) -> bool:
        """Return whether this incarnation of a balancer announced its leaving."""
        return balancer.incarnation <= self.leaving_balancers.get(balancer.id, 0)

    def on_balancer_leaving(
        self, sender: str, message: messages.BalancerLeaving
    ) -> None:
        """Stop answering through a leaving balancer, even without the object API."""
        balancer = self.find_balancer(sender)
        if balancer is not None and balancer.incarnation <= message.incarnation:
            self.leaving_balancers[sender] = message.incarnation
            del self.balancers[balancer.zone][sender]

    def apply_configuration(self, config: messages.Configuration) -> None:
        """Apply a newer configuration if it lists this service."""
        if self.config is not None and config.number <= self.config.number:
            return
        for service in config.services:
            if service.name == self.service:
                self.apply_service(service)
                self.config = config
                self.membership.config_number = config.number
                key = f"config/{config.deployment}"
                self.relay.acks.set_in_force(key, config.number)

    def apply_service(self, service: messages.ServiceConfig) -> None:
        """Apply the limits of the service and of this process's upstream."""
        self.tenants = Tenants(service.classes)
        shares = {item.name: item.share for item in service.classes}
        self.admission.sharing.set_shares(shares)
        self.deadline_ms = service.deadline_ms
        self.admission.queue_limit = service.queue
        for upstream in service.upstreams:
            if upstream.id == self.membership.me.id:
                self.admission.slots = upstream.slots
                self.membership.set_weight(self.now, upstream.connections)
                self.apply_leaving(upstream.leaving)

    def apply_leaving(self, leaving: bool) -> None:
        """Leave the service or return to it as the configuration requires."""
        state = self.membership.me.state
        if leaving and state != "leaving":
            self.membership.set_state(self.now, "leaving")
        elif not leaving and state == "leaving" and not self.is_stopping:
            self.membership.set_state(self.now, "live")

    def on_write_finished(self, event: messages.WriteFinished) -> None:
        """Handle the outcome of a conditional update."""
        if event.key == self.membership.key:
            self.membership.updater.on_write_finished(self.now, event)

    def after_view_change(self) -> None:
        """Forward unstarted requests and release observations of flows that moved.

        Datagrams that waited for this view are handled then.
        """
        for request in list(self.requests.values()):
            if not request.origin and not request.has_started:
                self.dispatcher.forward_if_foreign(request)
        for key in list(self.observations.served):
            flow = flow_key(self.service, key[0], key[1])
            if self.ownership.flow_authority(flow, self.now) is FlowAuthority.FOREIGN:
                self.observation_manager.release_observation(key)
        self.retrier.on_view_change()
        self.handle_pending_forwards()

    # Datagrams from callers

    def on_forward(self, sender: str, message: messages.Forward) -> None:
        """Handle a caller's datagram, or forward it to the owner of its flow."""
        flow = flow_key(self.service, message.host, message.port)
        if message.view > self.ownership.view:
            self.hold_forward(sender, message)
            return
        if message.view < self.ownership.view and message.hop == 0:
            self.send_membership_to(message.balancer)
        owner, _ = self.ownership.pair(flow)
        if owner is None:
            self.report(4103, flow=flow.decode())
            return
        if not self.ownership.is_self(owner):
            if message.hop == 0:
                self.forward_to_owner(
                    owner, message.host, message.port, message.payload, message.balancer
                )
            return
        if message.balancer:
            self.store_last_balancer(flow, message.balancer)
        self.receive(flow, message.host, message.port, message.payload)

    def hold_forward(self, sender: str, message: messages.Forward) -> None:
        """Hold a datagram of a newer view and request that view."""
        self.pending_forwards.append((sender, message))
        source = self.membership.peer(sender) or self.find_balancer(sender)
        if source is not None:
            wanted = messages.ObjectWanted(
                self.membership.key, self.membership.updater.version
            )
            self.effects.append(SendPeer(source.host, source.port, wanted))

    def handle_pending_forwards(self) -> None:
        """Handle the datagrams that waited for a newer view."""
        waiting = list(self.pending_forwards)
        self.pending_forwards.clear()
        for sender, message in waiting:
            self.on_forward(sender, message)

    def send_membership_to(self, name: str) -> None:
        """Send the membership object to a balancer that forwards by an older view."""
        balancer = self.find_balancer(name)
        if balancer is not None:
            self.membership.send_membership(balancer.host, balancer.port)

    def forward_to_owner(
        self, owner: Member, host: str, port: int, payload: bytes, balancer: str = ""
    ) -> None:
        """Forward a datagram to the owner of its flow; it is not forwarded again."""
        flow = flow_key(self.service, host, port)
        forward = messages.Forward(
            self.service,
            host,
            port,
            balancer or self.last_balancers.get(flow, ""),
            self.ownership.view,
            1,
            payload,
        )
        self.effects.append(SendPeer(owner.host, owner.port, forward))

    def store_last_balancer(self, flow: bytes, balancer: str) -> None:
        """Store the balancer that forwarded the last datagram of a flow."""
        self.last_balancers[flow] = balancer
        self.last_balancers.move_to_end(flow)
        if len(self.last_balancers) > MAX_LAST_BALANCERS:
            self.last_balancers.popitem(last=False)

    def receive(self, flow: bytes, host: str, port: int, datagram: bytes) -> None:
        """Handle a datagram of a flow that this process owns."""
        try:
            message = coap.parse_datagram(datagram)
        except MalformedDatagram:
            self.report(4104, flow=flow.decode())
            return
        if message.mtype in (Type.ACK, Type.RST):
            self.observation_manager.on_acknowledgement(host, port, message)
        elif message.code is Code.EMPTY:
            self.send_to_caller(host, port, coap.reset(message.mid))
        elif message.code.is_request():
            self.dispatcher.receive_request(flow, host, port, message, datagram)

    def advance_all(self, now: int) -> None:
        """Advance requests and observations after a change of ownership."""
        for request in list(self.requests.values()):
            self.dispatcher.advance(request)
        self.observation_manager.take_over_observations()
        self.recorder.resolve_intents()
        self.dispatcher.dispatch_waiting()

    # Answers to callers

    def allocate_message_id(self) -> int:
        """Return the next CoAP message ID for messages to callers."""
        self.last_mid = (self.last_mid + 1) % 65536
        return self.last_mid

    def send_to_caller(self, host: str, port: int, datagram: bytes) -> None:
        """Send a datagram through the balancer that last forwarded the flow."""
        flow = flow_key(self.service, host, port)
        balancer = (
            self.find_balancer(self.last_balancers.get(flow, ""))
            or self.random_balancer()
        )
        if balancer is None:
            self.report(4106, flow=flow.decode())
            return
        reply = messages.Reply(self.service, host, port, self.ownership.view, datagram)
        self.effects.append(SendPeer(balancer.host, balancer.port, reply))

    def find_balancer(self, name: str) -> messages.BalancerMember | None:
        """Return a balancer by name."""
        for members in self.balancers.values():
            if name in members:
                return members[name]
        return None

    def random_balancer(self) -> messages.BalancerMember | None:
        """Return a random balancer, preferably of the same availability zone."""
        same_zone = list(self.balancers.get(self.membership.me.zone, {}).values())
        all_zones = [m for zone in self.balancers.values() for m in zone.values()]
        candidates = same_zone or all_zones
        return self.rng.choice(candidates) if candidates else None

    # Stopping

    def on_stop(self, event: messages.StopRequested) -> None:
        """Leave the service and finish once this process is drained."""
        self.is_stopping = True
        self.membership.set_state(self.now, "leaving")
        self.finish_if_drained(self.now)

    def finish_if_drained(self, now: int) -> None:
        """Remove this member once it is drained, then finish."""
        if not self.is_stopping or self.is_finished:
            return
        if self.membership.is_removed:
            self.is_finished = True
            self.effects.append(messages.Finished())
            return
        if self.is_drained() and not self.membership.is_departing:
            self.membership.depart(now)

    def is_drained(self) -> bool:
        """Return whether no work is left and all peers have taken over the flows.

        Without a live peer nobody takes over the records of requests, and a member that
        joins later would run their copies again. The process then stays until one has
        joined or all records have expired.
        """
        if self.requests or self.admission.running or self.observations.served:
            return False
        view = self.ownership.view
        members = self.ownership.history.members()
        is_leaving = any(
            member.id == self.membership.me.id and member.state == "leaving"
            for member in members
        )
        others = [m for m in self.membership.peers() if m.state == "live"]
        if not others and self.flow_store.records():
            return False
        return is_leaving and all(
            view in self.membership.active_views.get(member.id, ()) for member in others
        )


def make_side_core(
    service: str, me: Member, seed: int, options: SideOptions | None = None
) -> SideCore:
    """Return the decision core of a side process.

    Parameters
    ----------
    service : str
        Service that the upstream belongs to.
    me : Member
        The process as a member.
    seed : int
        Seed of all random draws.
    options : SideOptions, optional
        Options of the side process.
    """
    return SideCore(service, me, random.Random(seed), options or SideOptions())
