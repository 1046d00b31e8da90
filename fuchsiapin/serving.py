"""The decision core of a side process: requests of the flows that it owns.

The core takes events and returns effects. It opens no socket and reads no
clock, so that the daemon, the fuzzer and the measurements drive the same code.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from fuchsiapin import coap, messages
from fuchsiapin.admission import Admission
from fuchsiapin.codec import decode_object, encode_object
from fuchsiapin.exceptions import MalformedDatagram, MalformedObject
from fuchsiapin.flowstate import KeptFlows
from fuchsiapin.membership import Membership
from fuchsiapin.messages import Member, Record, SendPeer
from fuchsiapin.observing import (
    ObservationKey,
    Observations,
    observation_key,
    registration,
)
from fuchsiapin.ownership import Ownership, Standing
from fuchsiapin.ranking import flow_key, member_key
from fuchsiapin.records import RecordTable
from fuchsiapin.requests import Request, Stage
from fuchsiapin.timers import Timers
from fuchsiapin.upstream import UpstreamLink

__all__ = ["SideCore", "SideOptions", "make_side_core"]

RESEND_MS = 200
"""Records and handoffs are sent again after this time."""
MAX_REQUESTS = 4_096
"""Requests under way at one side process."""
MAX_ROUTES = 65_536
"""Flows whose latest balancer is remembered."""
DEFAULT_DEADLINE_MS = 20_000
MAX_SLOT_MS = 120_000
"""A slot is taken to be free again after this time without an answer."""
CLEAN_INTERVAL_MS = 1_000
ASK_PATIENCE_MS = 25
"""Wait for the peers that were asked for their backlog."""
HOP_MS = 16
"""A move has to save more than the way there and back."""
ASKED_PEERS = 2
MAX_HANDLED = 65_536
MAX_EARLY = 1_024
"""Datagrams that wait for a view not yet known."""
MIN_RETRY_AFTER_S = 1

State = str


class SideOptions:
    """Limits of one side process.

    Parameters
    ----------
    slots : int
        Requests that the upstream serves at the same time.
    queue : int
        Requests that may wait for a slot.
    records : int
        Records kept at the most.
    deadline_ms : int
        Time that a request may take.
    """

    def __init__(
        self,
        slots: int = 2,
        queue: int = 64,
        records: int = 100_000,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> None:
        self.slots = slots
        self.queue = queue
        self.records = records
        self.deadline_ms = deadline_ms


class SideCore:
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
        Limits.
    """

    def __init__(
        self, service: str, me: Member, rng: random.Random, options: SideOptions
    ) -> None:
        self.service = service
        self.rng = rng
        self.deadline_ms = options.deadline_ms
        self.out: list[Any] = []
        self.timers = Timers()
        self.now = 0
        self.requests: dict[bytes, Request] = {}
        self.handled: OrderedDict[bytes, messages.HandoffResult | None] = OrderedDict()
        self.routes: OrderedDict[bytes, str] = OrderedDict()
        self.balancers: dict[str, dict[str, messages.BalancerMember]] = {}
        self.balancer_versions: dict[str, int] = {}
        self.config: messages.Configuration | None = None
        self.admission = Admission(options.slots, options.queue)
        self.link = UpstreamLink(self.timers, self.out)
        self.observations = Observations(
            self.timers, self.send_notification, self.lose_caller, rng.randrange(65536)
        )
        self.table = RecordTable(options.records)
        self.flows = KeptFlows(
            service, self.table, self.observations, self.is_withdrawn
        )
        self.ownership = Ownership(
            service,
            me.id,
            me.incarnation,
            self.flows,
            self.timers,
            self.out,
            self.progress,
        )
        self.membership = Membership(
            service,
            me,
            self.ownership,
            self.timers,
            self.out,
            rng,
            self.admission.wait_ms,
            lambda incarnation: None,
        )
        self.early: deque[tuple[str, messages.Forward]] = deque(maxlen=MAX_EARLY)
        self.is_stopping = False
        self.is_finished = False
        self.next_mid = rng.randrange(65536)

    # Entry

    def handle(self, now: int, event: Any) -> list[Any]:
        """Take an event; return the effects that it causes.

        Parameters
        ----------
        now : int
            Time in ms.
        event : dataclass
            An event of the schema.

        Returns
        -------
        list
            Effects of the schema, in order.
        """
        self.now = now
        self.timers.run(now)
        handler = EVENT_HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)
        effects = list(self.out)
        self.out.clear()
        return effects

    def next_due(self) -> int | None:
        """Return when the core wants to be woken, in ms."""
        return self.timers.next_due()

    def on_start(self, event: messages.Start) -> None:
        """Begin to serve."""
        self.membership.start(self.now)
        self.link.start(self.now)
        self.clean(self.now)

    def on_wake(self, event: messages.Wake) -> None:
        """Nothing more: due timers ran already."""

    def clean(self, now: int) -> None:
        """Forget what expired and look after the upstream, and again later."""
        self.flows.expire(now)
        self.watch_upstream(now)
        self.finish_if_quiet(now)
        self.timers.add(now + CLEAN_INTERVAL_MS, self.clean)

    def watch_upstream(self, now: int) -> None:
        """Leave the ranking while the own upstream is silent."""
        if self.membership.me.state == "leaving":
            return
        state = "down" if self.link.is_silent(now) else "live"
        self.membership.set_state(now, state)

    def report(self, number: int, **fields: Any) -> None:
        """Add a numbered event for log and metrics."""
        self.out.append(messages.Report(number, fields))

    # Messages of peers

    def on_peer_message(self, event: messages.PeerMessage) -> None:
        """Take a message of another process."""
        message = event.message
        if getattr(message, "service", self.service) != self.service:
            self.report(4101, sender=event.sender, service=message.service)
            return
        handler = MESSAGE_HANDLERS.get(type(message))
        if handler is not None:
            handler(self, event.sender, message)

    def on_heartbeat(self, sender: str, message: messages.Heartbeat) -> None:
        """Take a peer's sign of life."""
        self.membership.on_heartbeat(self.now, sender, message)

    def on_claim(self, sender: str, message: messages.Claim) -> None:
        """Give up flows that another member owns by a newer view."""
        claimer = self.membership.peer(sender)
        if claimer is not None:
            self.ownership.on_claim(self.now, claimer, message)

    def on_claim_answer(self, sender: str, message: messages.ClaimAnswer) -> None:
        """Take over what an earlier owner or witness knows."""
        self.ownership.on_claim_answer(self.now, sender, message)

    def on_install(self, sender: str, message: messages.Install) -> None:
        """Hold flows as a witness."""
        owner = self.membership.peer(sender)
        if owner is not None:
            self.ownership.on_install(self.now, owner, message)

    def on_installed(self, sender: str, message: messages.Installed) -> None:
        """Take the witness's word on flows handed to it."""
        self.ownership.on_installed(self.now, sender, message)

    def on_suspect(self, sender: str, message: messages.Suspect) -> None:
        """Tell whether a member is silent here too."""
        self.membership.on_suspect(self.now, sender, message)

    def on_suspect_answer(self, sender: str, message: messages.SuspectAnswer) -> None:
        """Take a second word on a silent member."""
        self.membership.on_suspect_answer(self.now, sender, message)

    def on_object_wanted(self, sender: str, message: messages.ObjectWanted) -> None:
        """Send the membership object to a peer that lacks it."""
        peer = self.membership.peer(sender)
        if peer is not None and message.key == self.membership.key:
            self.send_membership(peer.host, peer.port)

    def send_membership(self, host: str, port: int) -> None:
        """Send the membership object as last seen."""
        updater = self.membership.updater
        if updater.value is not None:
            copy = messages.ObjectCopy(
                updater.key, updater.version, encode_object(updater.value)
            )
            self.out.append(SendPeer(host, port, copy))

    def on_object_copy(self, sender: str, message: messages.ObjectCopy) -> None:
        """Take a stored object from a peer, as from the store."""
        self.see_object(
            messages.ObjectSeen(message.key, message.version, message.value)
        )

    # Stored objects

    def see_object(self, event: messages.ObjectSeen) -> None:
        """Take in a stored object, if it is newer than what is known."""
        try:
            self.see_known_object(event)
        except MalformedObject as error:
            self.report(4102, key=event.key, error=str(error))

    def see_known_object(self, event: messages.ObjectSeen) -> None:
        """Take in an object of a kind that matters here."""
        if event.key == self.membership.key:
            if self.membership.see(self.now, event):
                self.after_view_change()
        elif event.key.startswith("balancers/") and event.value:
            self.see_balancers(decode_object(messages.ZoneBalancers, event.value))
        elif event.key.startswith("config/") and event.value:
            self.see_config(decode_object(messages.Configuration, event.value))

    def see_balancers(self, zone: messages.ZoneBalancers) -> None:
        """Take in the balancers of an availability zone."""
        if zone.number > self.balancer_versions.get(zone.zone, 0):
            self.balancer_versions[zone.zone] = zone.number
            self.balancers[zone.zone] = {member.id: member for member in zone.members}

    def see_config(self, config: messages.Configuration) -> None:
        """Put a newer configuration in force."""
        if self.config is not None and config.number <= self.config.number:
            return
        for service in config.services:
            if service.name == self.service:
                self.config = config
                self.membership.config = config.number
                self.apply_service(service)

    def apply_service(self, service: messages.ServiceConfig) -> None:
        """Put the limits of the service and of the own upstream in force."""
        self.deadline_ms = service.deadline_ms
        self.admission.queue_limit = service.queue
        for upstream in service.upstreams:
            if upstream.id == self.membership.me.id:
                self.admission.slots = upstream.slots
                self.apply_leaving(upstream.leaving)

    def apply_leaving(self, leaving: bool) -> None:
        """Leave or return as the rules ask."""
        state = self.membership.me.state
        if leaving and state != "leaving":
            self.membership.set_state(self.now, "leaving")
        elif not leaving and state == "leaving" and not self.is_stopping:
            self.membership.set_state(self.now, "live")

    def on_write_finished(self, event: messages.WriteFinished) -> None:
        """Take the end of a conditional update."""
        if event.key == self.membership.key:
            self.membership.updater.finish(self.now, event)

    def after_view_change(self) -> None:
        """Pass on what other members own now."""
        for request in list(self.requests.values()):
            if not request.origin and not request.has_started:
                self.pass_on_if_foreign(request)
        for key in list(self.observations.watched):
            flow = flow_key(self.service, key[0], key[1])
            if self.ownership.standing(flow, self.now) is Standing.FOREIGN:
                self.release_observation(key)
        self.take_early()

    def pass_on_if_foreign(self, request: Request) -> None:
        """Give a request that has not started to the new owner of its flow."""
        if self.ownership.standing(request.flow, self.now) is not Standing.FOREIGN:
            return
        self.forget_request(request)
        self.table.drop(request.key)
        owner, _ = self.ownership.pair(request.flow)
        if owner is not None:
            self.pass_on(owner, request.host, request.port, request.datagram)

    def is_withdrawn(self, key: bytes) -> bool:
        """Return whether a recorded request can no more run here.

        A request that waits is withdrawn once its flow has another owner.
        """
        request = self.requests.get(key)
        if request is None or request.origin or request.has_started:
            return False
        return self.ownership.standing(request.flow, self.now) is Standing.FOREIGN

    # Datagrams of callers

    def on_forward(self, sender: str, message: messages.Forward) -> None:
        """Take a caller's datagram, or pass it on to the owner."""
        flow = flow_key(self.service, message.host, message.port)
        if message.view > self.ownership.view:
            self.hold_early(sender, message)
            return
        if message.view < self.ownership.view and message.hop == 0:
            self.update_balancer(message.balancer)
        owner, _ = self.ownership.pair(flow)
        if owner is None:
            self.report(4103, flow=flow.decode())
            return
        if not self.ownership.is_self(owner):
            if message.hop == 0:
                self.pass_on(
                    owner, message.host, message.port, message.payload, message.balancer
                )
            return
        if message.balancer:
            self.remember_route(flow, message.balancer)
        self.receive(flow, message.host, message.port, message.payload)

    def hold_early(self, sender: str, message: messages.Forward) -> None:
        """Keep a datagram that was sent by a view not yet known here."""
        self.early.append((sender, message))
        source = self.membership.peer(sender) or self.find_balancer(sender)
        if source is not None:
            wanted = messages.ObjectWanted(
                self.membership.key, self.membership.updater.version
            )
            self.out.append(SendPeer(source.host, source.port, wanted))

    def take_early(self) -> None:
        """Take the datagrams that waited for the newest view."""
        waiting = list(self.early)
        self.early.clear()
        for sender, message in waiting:
            self.on_forward(sender, message)

    def update_balancer(self, name: str) -> None:
        """Send a balancer the view that it lacks."""
        balancer = self.find_balancer(name)
        if balancer is not None:
            self.send_membership(balancer.host, balancer.port)

    def pass_on(
        self, owner: Member, host: str, port: int, payload: bytes, balancer: str = ""
    ) -> None:
        """Pass a datagram on to the owner of its flow, one hop at the most."""
        flow = flow_key(self.service, host, port)
        forward = messages.Forward(
            self.service,
            host,
            port,
            balancer or self.routes.get(flow, ""),
            self.ownership.view,
            1,
            payload,
        )
        self.out.append(SendPeer(owner.host, owner.port, forward))

    def remember_route(self, flow: bytes, balancer: str) -> None:
        """Note the balancer that the latest datagram of a flow came in by."""
        self.routes[flow] = balancer
        self.routes.move_to_end(flow)
        if len(self.routes) > MAX_ROUTES:
            self.routes.popitem(last=False)

    def receive(self, flow: bytes, host: str, port: int, datagram: bytes) -> None:
        """Take a datagram of an own flow."""
        try:
            message = coap.parse_datagram(datagram)
        except MalformedDatagram:
            self.report(4104, flow=flow.decode())
            return
        if message.mtype in (Type.ACK, Type.RST):
            self.receive_acknowledgement(host, port, message)
        elif message.code is Code.EMPTY:
            self.send_to_caller(host, port, coap.reset(message.mid))
        elif message.code.is_request():
            self.receive_request(flow, host, port, message, datagram)

    def receive_acknowledgement(self, host: str, port: int, message: Message) -> None:
        """Take the word of a caller on a notification."""
        key = self.observations.acknowledge(host, port, message.mid)
        if key is not None and message.mtype is Type.RST:
            self.close_observation(key)

    def receive_request(
        self, flow: bytes, host: str, port: int, message: Message, datagram: bytes
    ) -> None:
        """Take a request, unless it is a retransmission."""
        key = coap.request_digest(flow, datagram)
        if key in self.requests:
            return
        record = self.table.get(key)
        if record is not None:
            self.answer_again(record)
            return
        if len(self.requests) >= MAX_REQUESTS:
            self.report(4105, flow=flow.decode())
            return
        deadline = self.now + self.deadline_ms
        request = Request(key, flow, host, port, message, datagram, deadline)
        self.requests[key] = request
        self.timers.add(deadline, lambda now: self.expire_request(request))
        if message.opt.observe == 1:
            self.close_observation((host, port, message.token))
        self.admit(request)

    def answer_again(self, record: Record) -> None:
        """Answer a retransmission from its record."""
        if record.response:
            self.send_to_caller(record.host, record.port, record.response)
            return
        if not self.is_present(record.executor):
            self.tell_unknown(record)

    def is_present(self, executor: str) -> bool:
        """Return whether one incarnation of a member is in the newest view."""
        members = self.ownership.history.members()
        return any(member_key(member) == executor for member in members)

    def tell_unknown(self, record: Record) -> None:
        """Tell a caller that it can't be known whether its request ran."""
        message = coap.parse_datagram(record.head)
        answer = coap.refusal(
            message, Code.GATEWAY_TIMEOUT, self.take_mid(), 5, "outcome unknown"
        )
        self.table.put(replace(record, state="unknown", response=answer))
        self.report(3104, host=record.host, port=record.port)
        self.send_to_caller(record.host, record.port, answer)

    # Admission

    def admit(self, request: Request) -> None:
        """Let a request wait for its turn, or refuse it at once."""
        if coap.is_blockwise(request.message) and self.follow_upload(request):
            return
        if self.admission.accepts(self.now, request.deadline):
            self.admission.enqueue(request)
        else:
            request.refused = "busy"
        self.advance(request)
        self.pump()

    def advance(self, request: Request) -> None:
        """Take the next step for a request that has not started."""
        if request.key not in self.requests or request.has_started:
            return
        standing = self.ownership.standing(request.flow, self.now)
        if request.origin:
            return
        if standing is Standing.FOREIGN:
            self.pass_on_if_foreign(request)
        elif coap.is_safe(request.message):
            if request.refused:
                self.refuse(request)
        elif standing is Standing.UNCERTAIN and not coap.is_idempotent(request.message):
            self.give_up(request)
        elif standing in (Standing.READY, Standing.UNCERTAIN):
            self.record_intent(request)

    def record_intent(self, request: Request) -> None:
        """Have the witness keep what will become of a request."""
        if request.recorded_in == self.ownership.view:
            return
        state = "refused" if request.refused else "intent"
        record = self.new_record(request, state, b"")
        self.table.put(record)
        self.put_at_witness(request, record)

    def new_record(self, request: Request, state: State, response: bytes) -> Record:
        """Return a record of a request."""
        return Record(
            key=request.key,
            host=request.host,
            port=request.port,
            head=coap.request_head(request.datagram),
            state=state,
            executor=member_key(self.membership.me),
            response=response,
            expires=self.now + coap.EXCHANGE_LIFETIME_MS,
        )

    def put_at_witness(self, request: Request, record: Record) -> None:
        """Send a record to the witness until it has it."""
        _, witness = self.ownership.pair(request.flow)
        if witness is None:
            self.note_recorded(request, record.state)
            return
        put = messages.RecordPut(self.service, self.ownership.view, record)
        self.out.append(SendPeer(witness.host, witness.port, put))
        view = self.ownership.view

        def resend(now: int) -> None:
            is_open = request.key in self.requests and not request.has_started
            if is_open and request.recorded_in != view == self.ownership.view:
                self.put_at_witness(request, record)

        self.timers.add(self.now + RESEND_MS, resend)

    def on_record_put(self, sender: str, message: messages.RecordPut) -> None:
        """Keep a record as the witness, unless a newer view is known."""
        owner = self.membership.peer(sender)
        if owner is None:
            return
        record = message.record
        ok = self.ownership.is_witness_for(message.view, sender)
        ok = ok and not (self.table.is_full and self.table.get(record.key) is None)
        if ok or record.state == "done":
            self.table.put(record)
        answer = messages.RecordAck(
            self.service, message.view, record.key, record.state, ok
        )
        self.out.append(SendPeer(owner.host, owner.port, answer))

    def on_record_ack(self, sender: str, message: messages.RecordAck) -> None:
        """Take the witness's word on a record."""
        request = self.requests.get(message.key)
        if request is None or message.view != self.ownership.view or not message.ok:
            return
        _, witness = self.ownership.pair(request.flow)
        if witness is not None and witness.id == sender:
            self.note_recorded(request, message.state)

    def note_recorded(self, request: Request, state: State) -> None:
        """Note that the witness holds what will become of a request."""
        if request.has_started or state != ("refused" if request.refused else "intent"):
            return
        request.recorded_in = self.ownership.view
        if request.refused:
            self.refuse(request)
        else:
            self.pump()
            self.consider_move(request)

    def progress(self, now: int) -> None:
        """Go on with requests and observations after a step of ownership."""
        for request in list(self.requests.values()):
            self.advance(request)
        self.take_over_observations()
        self.settle_intents()
        self.pump()

    def settle_intents(self) -> None:
        """Tell callers at once when an earlier owner died with their request."""
        if not self.ownership.is_settled:
            return
        for record in list(self.table):
            is_open = record.state == "intent" and record.key not in self.requests
            flow = self.flows.flow_of(record)
            if not is_open or self.ownership.standing(flow, self.now) in (
                Standing.FOREIGN,
                Standing.SETTLING,
            ):
                continue
            if not self.is_present(record.executor):
                self.tell_unknown(record)

    # Running

    def pump(self) -> None:
        """Start waiting requests while the upstream has free slots."""
        while self.admission.has_free_slot and not self.link.is_silent(self.now):
            request = self.next_startable()
            if request is None:
                return
            self.admission.remove(request)
            self.start_request(request)

    def next_startable(self) -> Request | None:
        """Return the first waiting request that may run now."""
        for request in self.admission.queue:
            if self.may_start(request):
                return request
        return None

    def may_start(self, request: Request) -> bool:
        """Return whether a request may run by the newest view."""
        if request.origin:
            return True
        standing = self.ownership.standing(request.flow, self.now)
        if coap.is_idempotent(request.message):
            return standing not in (Standing.FOREIGN, Standing.SETTLING)
        return standing is Standing.READY and (
            request.recorded_in == self.ownership.view
        )

    def start_request(self, request: Request) -> None:
        """Send a request to the own upstream."""
        request.stage = Stage.RUNNING
        self.admission.start(request.key, self.now)
        observe = request.message.opt.observe == 0
        token = self.link.request(
            self.now,
            request.message,
            coap.transfer_digest(request.flow, request.message),
            lambda now, answer: self.on_answer(request, token, answer),
            coap.is_idempotent(request.message),
            observe,
        )
        self.timers.add(
            self.now + MAX_SLOT_MS, lambda now: self.free_slot(request, token)
        )

    def free_slot(self, request: Request, token: bytes) -> None:
        """Stop to wait for an answer that never came."""
        if request.key in self.admission.running:
            self.admission.finish(request.key, self.now)
            self.link.forget(token)

    def on_answer(self, request: Request, token: bytes, answer: Message) -> None:
        """Take the upstream's answer to a request."""
        if token in self.observations.by_token:
            self.on_notification(token, answer)
            return
        self.admission.finish(request.key, self.now)
        if request.key in self.requests:
            self.complete(request, token, answer)
        self.pump()

    def complete(self, request: Request, token: bytes, answer: Message) -> None:
        """Give the caller the whole answer."""
        if request.origin:
            self.return_result(request, "done", coap.answer_bytes(answer))
            return
        sequence = None
        if answer.opt.observe is not None and request.message.opt.observe == 0:
            sequence = self.open_observation(request, token)
        datagram = coap.answer_for_caller(
            answer, request.message, self.take_mid(), sequence
        )
        self.note_upload(request, answer)
        self.finish(request, "done", datagram)

    def finish(self, request: Request, state: State, datagram: bytes) -> None:
        """Send the final answer and keep it for retransmissions."""
        self.forget_request(request)
        self.send_to_caller(request.host, request.port, datagram)
        if coap.is_safe(request.message):
            return
        record = self.new_record(request, state, datagram)
        self.table.put(record)
        self.share_outcome(request, record)

    def share_outcome(self, request: Request, record: Record) -> None:
        """Tell the witness, and the owner where the flow has moved."""
        put = messages.RecordPut(self.service, self.ownership.view, record)
        for member in self.ownership.pair(request.flow):
            if member is not None and not self.ownership.is_self(member):
                self.out.append(SendPeer(member.host, member.port, put))

    def refuse(self, request: Request) -> None:
        """Tell the caller that its request was not run, and when to come back."""
        self.report(3101, host=request.host, port=request.port, reason=request.refused)
        answer = coap.refusal(
            request.message,
            Code.SERVICE_UNAVAILABLE,
            self.take_mid(),
            self.retry_after_s(),
            f"not run: {request.refused}",
        )
        self.finish(request, "refused", answer)

    def retry_after_s(self) -> int:
        """Return when a refused caller may come back, in seconds."""
        wait = self.admission.wait_ms() / 1000
        return MIN_RETRY_AFTER_S + int(wait * self.rng.uniform(1.0, 1.5))

    def give_up(self, request: Request) -> None:
        """Tell the caller that it can't be known whether its request ran."""
        self.report(3102, host=request.host, port=request.port)
        answer = coap.refusal(
            request.message,
            Code.GATEWAY_TIMEOUT,
            self.take_mid(),
            self.retry_after_s(),
            "outcome unknown",
        )
        self.finish(request, "unknown", answer)

    def expire_request(self, request: Request) -> None:
        """Give the final answer at the deadline."""
        if request.key not in self.requests:
            return
        if request.origin:
            outcome = "unknown" if request.has_started else "not_run"
            self.return_result(request, outcome, b"")
        elif coap.is_safe(request.message) and not request.has_started:
            request.refused = "deadline"
            self.refuse(request)
        else:
            self.give_up(request)

    def forget_request(self, request: Request) -> None:
        """Take a request out of all queues."""
        self.requests.pop(request.key, None)
        self.admission.remove(request)

    # Moving requests to peers

    def consider_move(self, request: Request) -> None:
        """Ask two peers whether a request would start sooner there."""
        if not self.may_move(request):
            return
        peers = [m for m in self.membership.peers() if m.state == "live"]
        asked = self.rng.sample(peers, min(ASKED_PEERS, len(peers)))
        request.stage = Stage.ASKING
        for member in asked:
            ask = messages.BacklogAsk(self.service, request.key)
            self.out.append(SendPeer(member.host, member.port, ask))
        self.timers.add(
            self.now + ASK_PATIENCE_MS, lambda now: self.decide_move(request)
        )

    def may_move(self, request: Request) -> bool:
        """Return whether a waiting request may run elsewhere."""
        message = request.message
        return (
            request.stage is Stage.WAITING
            and request.key in self.requests
            and not request.origin
            and request.tries == 0
            and message.opt.observe is None
            and not coap.is_blockwise(message)
            and not self.admission.has_free_slot
        )

    def on_backlog_ask(self, sender: str, message: messages.BacklogAsk) -> None:
        """Tell how long new work would wait here."""
        peer = self.membership.peer(sender)
        if peer is not None and self.membership.me.state == "live":
            tell = messages.BacklogTell(
                self.service, message.key, self.admission.wait_ms()
            )
            self.out.append(SendPeer(peer.host, peer.port, tell))

    def on_backlog_tell(self, sender: str, message: messages.BacklogTell) -> None:
        """Note a peer's backlog; decide once all that were asked told."""
        request = self.requests.get(message.key)
        if request is None or request.stage is not Stage.ASKING:
            return
        request.offers[sender] = message.wait_ms
        if len(request.offers) == ASKED_PEERS:
            self.decide_move(request)

    def decide_move(self, request: Request) -> None:
        """Hand a request to the better peer, if that saves time."""
        if request.stage is not Stage.ASKING or request.key not in self.requests:
            return
        request.stage = Stage.WAITING
        request.tries += 1
        if request.offers and self.may_start(request):
            best = min(request.offers, key=lambda name: request.offers[name])
            peer = self.membership.peer(best)
            saved = self.admission.wait_ms() - request.offers[best]
            if peer is not None and saved > HOP_MS:
                self.hand_off(request, peer)
                return
        self.pump()

    def hand_off(self, request: Request, peer: Member) -> None:
        """Let a peer run a request; from now on it may have run."""
        request.stage = Stage.HANDED
        self.admission.remove(request)
        self.report(3103, host=request.host, port=request.port, peer=peer.id)
        self.send_handoff(request, peer)

    def send_handoff(self, request: Request, peer: Member) -> None:
        """Send a request to a peer until it tells what became of it."""
        if request.key not in self.requests or request.stage is not Stage.HANDED:
            return
        handoff = messages.Handoff(
            self.service,
            self.ownership.view,
            peer.incarnation,
            request.key,
            request.host,
            request.port,
            max(0, request.deadline - self.now),
            request.datagram,
        )
        self.out.append(SendPeer(peer.host, peer.port, handoff))
        self.timers.add(
            self.now + RESEND_MS, lambda now: self.send_handoff(request, peer)
        )

    def on_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Run a request for its owner, once."""
        peer = self.membership.peer(sender)
        if peer is None:
            return
        if message.key in self.handled:
            result = self.handled[message.key]
            if result is not None:
                self.out.append(SendPeer(peer.host, peer.port, result))
            return
        if message.incarnation not in self.ownership.incarnations:
            result = self.handoff_result(message.key, "unknown", b"")
            self.out.append(SendPeer(peer.host, peer.port, result))
            return
        self.take_handoff(sender, message)

    def take_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Let a request of a peer wait for its turn here, or decline it."""
        parsed = coap.parse_datagram(message.payload)
        flow = flow_key(self.service, message.host, message.port)
        deadline = self.now + message.remaining_ms
        request = Request(
            message.key,
            flow,
            message.host,
            message.port,
            parsed,
            message.payload,
            deadline,
            sender,
        )
        self.remember_handled(message.key, None)
        is_current = message.view == self.ownership.view
        is_live = self.membership.me.state == "live"
        is_open = request.key not in self.requests
        if not (
            is_current
            and is_live
            and is_open
            and self.admission.accepts(self.now, deadline)
        ):
            self.return_result(request, "not_run", b"")
            return
        self.requests[request.key] = request
        self.timers.add(deadline, lambda now: self.expire_request(request))
        self.admission.enqueue(request)
        self.pump()

    def remember_handled(
        self, key: bytes, result: messages.HandoffResult | None
    ) -> None:
        """Keep what became of a peer's request, within a bound."""
        self.handled[key] = result
        if len(self.handled) > MAX_HANDLED:
            self.handled.popitem(last=False)

    def handoff_result(
        self, key: bytes, outcome: str, payload: bytes
    ) -> messages.HandoffResult:
        """Return the message that tells what became of a request."""
        return messages.HandoffResult(self.service, key, outcome, payload)

    def return_result(self, request: Request, outcome: str, payload: bytes) -> None:
        """Tell the owner what became of its request."""
        if self.requests.get(request.key) is request:
            self.forget_request(request)
        result = self.handoff_result(request.key, outcome, payload)
        self.remember_handled(request.key, result)
        peer = self.membership.peer(request.origin)
        if peer is not None:
            self.out.append(SendPeer(peer.host, peer.port, result))

    def on_handoff_result(self, sender: str, message: messages.HandoffResult) -> None:
        """Take what became of a request that was handed to a peer."""
        request = self.requests.get(message.key)
        if request is None or request.stage is not Stage.HANDED:
            return
        if message.outcome == "done":
            answer = coap.parse_datagram(message.payload)
            datagram = coap.answer_for_caller(answer, request.message, self.take_mid())
            self.finish(request, "done", datagram)
        elif message.outcome == "not_run":
            request.stage = Stage.WAITING
            self.admission.queue.appendleft(request)
            self.advance(request)
            self.pump()
        else:
            self.give_up(request)

    # Block-wise transfers

    def follow_upload(self, request: Request) -> bool:
        """Send a block to the member where its transfer began, if elsewhere."""
        tag = coap.transfer_digest(request.flow, request.message)
        upload = self.flows.transfers.get(tag)
        if upload is None or upload.executor == self.membership.me.id:
            return False
        peer = self.membership.peer(upload.executor)
        if peer is None:
            return False
        request.tries = 1
        self.hand_off(request, peer)
        return True

    def note_upload(self, request: Request, answer: Message) -> None:
        """Remember where a transfer goes on, while it is under way."""
        tag = coap.transfer_digest(request.flow, request.message)
        goes_on = answer.code is Code.CONTINUE or (
            answer.opt.block2 is not None and answer.opt.block2.more
        )
        if goes_on:
            expires = self.now + coap.EXCHANGE_LIFETIME_MS
            self.flows.put_upload(
                messages.Upload(
                    request.host, request.port, tag, self.membership.me.id, expires
                )
            )
        else:
            self.flows.transfers.pop(tag, None)

    # Observations

    def open_observation(self, request: Request, token: bytes) -> int:
        """Begin an observation; return its first sequence number."""
        key = (request.host, request.port, request.message.token)
        self.cancel_upstream(self.observations.drop(key))
        watched = self.observations.watch(
            messages.Observation(
                host=request.host,
                port=request.port,
                token=request.message.token,
                request=request.datagram,
                sequence=0,
                balancer=self.routes.get(request.flow, ""),
            )
        )
        self.observations.bind(key, token)
        sequence = self.observations.advance(key, self.now)
        self.put_observation(watched.observation, True)
        return sequence

    def put_observation(self, observation: messages.Observation, is_open: bool) -> None:
        """Have the witness keep or drop an observation."""
        flow = self.flows.flow_of(observation)
        _, witness = self.ownership.pair(flow)
        if witness is None or self.ownership.is_self(witness):
            return
        put = messages.ObservationPut(
            self.service,
            self.ownership.view,
            coap.request_digest(flow, observation.token),
            observation,
            is_open,
        )
        self.out.append(SendPeer(witness.host, witness.port, put))

    def on_observation_put(self, sender: str, message: messages.ObservationPut) -> None:
        """Keep or drop an observation as the witness."""
        if not self.ownership.is_witness_for(message.view, sender):
            return
        if message.open:
            self.observations.keep(message.observation)
        else:
            self.observations.drop(observation_key(message.observation))

    def take_over_observations(self) -> None:
        """Register the observations of newly owned flows at the own upstream."""
        for observation in list(self.observations.kept.values()):
            key = observation_key(observation)
            if key in self.observations.watched:
                continue
            flow = self.flows.flow_of(observation)
            standing = self.ownership.standing(flow, self.now)
            if standing not in (Standing.FOREIGN, Standing.SETTLING):
                self.register_observation(key, observation)

    def register_observation(
        self, key: ObservationKey, observation: messages.Observation
    ) -> None:
        """Register an observation that another member opened."""
        self.observations.watch(observation)
        message = registration(observation)
        flow = self.flows.flow_of(observation)
        token = self.link.request(
            self.now,
            message,
            coap.transfer_digest(flow, message),
            lambda now, answer: self.on_notification(token, answer),
            True,
            True,
        )
        self.observations.bind(key, token)

    def on_notification(self, token: bytes, answer: Message) -> None:
        """Send a new state to the caller that observes it."""
        key = self.observations.by_token.get(token)
        if key is None:
            return
        self.observations.notify(self.now, key, answer)
        if not answer.code.is_successful():
            self.close_observation(key)

    def send_notification(
        self, observation: messages.Observation, datagram: bytes
    ) -> None:
        """Send a notification by the balancer that the flow last used."""
        self.send_to_caller(observation.host, observation.port, datagram)

    def close_observation(self, key: ObservationKey) -> None:
        """End an observation everywhere."""
        watched = self.observations.drop(key)
        if watched is not None:
            self.cancel_upstream(watched)
            self.put_observation(watched.observation, False)

    def lose_caller(self, now: int, key: ObservationKey) -> None:
        """End the observation of a caller that answers no more."""
        self.report(3106, host=key[0], port=key[1])
        self.close_observation(key)

    def release_observation(self, key: ObservationKey) -> None:
        """Leave an observation to the new owner of its flow."""
        self.cancel_upstream(self.observations.release(key))

    def cancel_upstream(self, watched: Any) -> None:
        """Cancel a registration at the own upstream."""
        if watched is None or not watched.upstream_token:
            return
        self.link.forget(watched.upstream_token)
        message = registration(watched.observation)
        message.opt.observe = 1
        flow = self.flows.flow_of(watched.observation)
        self.link.cancel(
            self.now,
            message,
            watched.upstream_token,
            coap.transfer_digest(flow, message),
        )

    # Answers to callers

    def take_mid(self) -> int:
        """Return a message ID towards callers."""
        self.next_mid = (self.next_mid + 1) % 65536
        return self.next_mid

    def send_to_caller(self, host: str, port: int, datagram: bytes) -> None:
        """Send a datagram by the balancer that the flow last came in by."""
        flow = flow_key(self.service, host, port)
        balancer = self.find_balancer(self.routes.get(flow, "")) or self.any_balancer()
        if balancer is None:
            self.report(4106, flow=flow.decode())
            return
        reply = messages.Reply(self.service, host, port, self.ownership.view, datagram)
        self.out.append(SendPeer(balancer.host, balancer.port, reply))

    def find_balancer(self, name: str) -> messages.BalancerMember | None:
        """Return a balancer by name."""
        for members in self.balancers.values():
            if name in members:
                return members[name]
        return None

    def any_balancer(self) -> messages.BalancerMember | None:
        """Return a balancer drawn at random, of the own availability zone first."""
        own = list(self.balancers.get(self.membership.me.zone, {}).values())
        every = [m for zone in self.balancers.values() for m in zone.values()]
        candidates = own or every
        return self.rng.choice(candidates) if candidates else None

    # Stopping

    def on_stop(self, event: messages.StopRequested) -> None:
        """Leave the service; end when nothing is in flight."""
        self.is_stopping = True
        self.membership.set_state(self.now, "leaving")
        self.finish_if_quiet(self.now)

    def finish_if_quiet(self, now: int) -> None:
        """Remove this member once its flows are elsewhere, then end."""
        if not self.is_stopping or self.is_finished:
            return
        if self.membership.is_removed:
            self.is_finished = True
            self.out.append(messages.Finished())
            return
        if self.is_quiet() and not self.membership.is_departing:
            self.membership.depart(now)

    def is_quiet(self) -> bool:
        """Return whether no work is left here and the others took over."""
        if self.requests or self.admission.running or self.observations.watched:
            return False
        view = self.ownership.view
        members = self.ownership.history.members()
        is_leaving = any(
            member.id == self.membership.me.id and member.state == "leaving"
            for member in members
        )
        others = [m for m in self.membership.peers() if m.state == "live"]
        return is_leaving and all(
            view in self.membership.actives.get(member.id, ()) for member in others
        )


EVENT_HANDLERS: dict[type, Callable[[SideCore, Any], None]] = {
    messages.Start: SideCore.on_start,
    messages.Wake: SideCore.on_wake,
    messages.PeerMessage: SideCore.on_peer_message,
    messages.ObjectSeen: SideCore.see_object,
    messages.WriteFinished: SideCore.on_write_finished,
    messages.StopRequested: SideCore.on_stop,
    messages.UpstreamDatagram: lambda core, event: core.link.receive(
        core.now, event.payload
    ),
}

MESSAGE_HANDLERS: dict[type, Callable[[SideCore, str, Any], None]] = {
    messages.Forward: SideCore.on_forward,
    messages.Heartbeat: SideCore.on_heartbeat,
    messages.Claim: SideCore.on_claim,
    messages.ClaimAnswer: SideCore.on_claim_answer,
    messages.Install: SideCore.on_install,
    messages.Installed: SideCore.on_installed,
    messages.RecordPut: SideCore.on_record_put,
    messages.RecordAck: SideCore.on_record_ack,
    messages.ObservationPut: SideCore.on_observation_put,
    messages.BacklogAsk: SideCore.on_backlog_ask,
    messages.BacklogTell: SideCore.on_backlog_tell,
    messages.Handoff: SideCore.on_handoff,
    messages.HandoffResult: SideCore.on_handoff_result,
    messages.Suspect: SideCore.on_suspect,
    messages.SuspectAnswer: SideCore.on_suspect_answer,
    messages.ObjectWanted: SideCore.on_object_wanted,
    messages.ObjectCopy: SideCore.on_object_copy,
}


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
        Limits.
    """
    return SideCore(service, me, random.Random(seed), options or SideOptions())
