"""Requests of own flows: from the datagram to the final answer.

A request that is not idempotent runs only after the witness holds its record,
and "not run" is told only after the witness holds that it was refused.
"""

from dataclasses import replace
from typing import TYPE_CHECKING

from aiocoap import Message
from aiocoap.numbers.codes import Code

from fuchsiapin import coap, messages
from fuchsiapin.messages import Member, Record, SendPeer
from fuchsiapin.ownership import Standing
from fuchsiapin.ranking import member_key
from fuchsiapin.requests import Request, Stage
from fuchsiapin.transfers import goes_on

if TYPE_CHECKING:
    from fuchsiapin.serving import SideCore

__all__ = ["Dispatcher"]

RESEND_MS = 200
"""A record is sent to the witness again after this time."""
REFUSAL_PATIENCE_MS = 3_000
"""A refusal that no witness takes down for so long ends as unknown."""
WITNESS_PATIENCE_MS = 6_000
"""A request that may not run by the newest view waits for so long at the most.

A silent member is removed and its flows are taken over sooner.
"""
MAX_REQUESTS = 4_096
"""Requests under way at one side process."""
MAX_SLOT_MS = 120_000
"""A slot is taken to be free again after this time without an answer."""
MIN_RETRY_AFTER_S = 1


class Dispatcher:
    """The requests of one side process.

    Parameters
    ----------
    core : SideCore
        The core that this is a part of.
    """

    def __init__(self, core: "SideCore") -> None:
        self.core = core

    def receive_request(
        self, flow: bytes, host: str, port: int, message: Message, datagram: bytes
    ) -> None:
        """Take a request, unless it is a retransmission."""
        key = coap.request_digest(flow, datagram)
        if key in self.core.requests:
            return
        record = self.core.table.get(key)
        if record is not None:
            self.answer_again(record)
            return
        deadline = self.core.now + self.core.deadline_ms
        request = Request(key, flow, host, port, message, datagram, deadline)
        request.received = self.core.now
        request.tenant = self.core.tenants.name_of(host)
        if message.opt.observe == 1:
            self.core.watcher.close_observation((host, port, message.token))
        if len(self.core.requests) >= MAX_REQUESTS:
            self.turn_away(request)
            return
        self.core.requests[key] = request
        self.core.timers.add(deadline, lambda now: self.expire_request(request))
        self.admit(request)

    def turn_away(self, request: Request) -> None:
        """Give the final answer at once to a request that is one too many.

        Only a safe one was surely not run. Of the others a record is kept here,
        unless such records would take the place of those of requests that run.
        """
        self.core.report(4105, flow=request.flow.decode())
        if coap.is_safe(request.message):
            request.refused = "crowded"
            request.refused_at = self.core.now
            self.refuse(request)
            return
        answer = self.unknown_answer(request)
        if len(self.core.table) < self.core.table.limit // 2:
            self.core.table.put(self.new_record(request, "unknown", answer))
        self.core.send_to_caller(request.host, request.port, answer)

    def answer_again(self, record: Record) -> None:
        """Answer a retransmission from its record."""
        if record.response:
            self.core.send_to_caller(record.host, record.port, record.response)
            return
        executor = self.find_incarnation(record.executor)
        if executor is None:
            self.tell_fate(record)
        elif not self.core.ownership.is_self(executor):
            ask = messages.RecordAsk(self.core.service, record.key, record.executor)
            self.core.out.append(SendPeer(executor.host, executor.port, ask))

    def find_incarnation(self, executor: str) -> Member | None:
        """Return one incarnation of a member, if it is in the newest view."""
        for member in self.core.ownership.history.members():
            if member_key(member) == executor:
                return member
        return None

    def on_record_ask(self, sender: str, message: messages.RecordAsk) -> None:
        """Tell the new owner of a flow what became of a request here."""
        owner = self.core.membership.peer(sender)
        if owner is None or message.key in self.core.requests:
            return
        record = self.core.table.get(message.key)
        if record is not None and record.response:
            view = self.core.ownership.view
            put = messages.RecordPut(self.core.service, view, record)
            self.core.out.append(SendPeer(owner.host, owner.port, put))
        elif message.executor == member_key(self.core.membership.me):
            self.withdraw(message.key, owner)

    def withdraw(self, key: bytes, owner: Member) -> None:
        """Give the owner of a flow the word that a request never ran here."""
        executor = member_key(self.core.membership.me)
        withdrawal = messages.Withdrawal(self.core.service, key, executor)
        self.core.out.append(SendPeer(owner.host, owner.port, withdrawal))

    def on_withdrawal(self, sender: str, message: messages.Withdrawal) -> None:
        """Let a request run after all that an earlier owner never ran."""
        record = self.core.table.get(message.key)
        if record is None or record.state != "intent":
            return
        is_of_sender = message.executor.rpartition("#")[0] == sender
        if is_of_sender and record.executor == message.executor:
            self.core.table.drop(message.key)

    def tell_unknown(self, record: Record) -> None:
        """Tell a caller that it can't be known whether its request ran."""
        message = coap.parse_datagram(record.head)
        answer = coap.refusal(
            message, Code.GATEWAY_TIMEOUT, self.core.take_mid(), 5, "outcome unknown"
        )
        self.core.table.put(replace(record, state="unknown", response=answer))
        self.core.report(3104, host=record.host, port=record.port)
        self.core.send_to_caller(record.host, record.port, answer)

    def admit(self, request: Request) -> None:
        """Let a request wait for its turn, or refuse it at once."""
        if coap.is_blockwise(request.message) and self.core.transfers.follow_upload(
            request
        ):
            return
        if self.core.admission.accepts(self.core.now, request.deadline, request.tenant):
            self.core.admission.enqueue(request)
        else:
            request.refused = "busy"
            request.refused_at = self.core.now
        self.advance(request)
        self.pump()

    def advance(self, request: Request) -> None:
        """Take the next step for a request that has not started."""
        if request.key not in self.core.requests or request.has_started:
            return
        standing = self.core.ownership.standing(request.flow, self.core.now)
        if request.origin:
            return
        if standing is Standing.FOREIGN:
            self.pass_on_if_foreign(request)
        elif coap.is_safe(request.message):
            if request.refused:
                self.refuse(request)
            else:
                self.core.mover.consider_move(request)
        elif standing is not Standing.SETTLING and self.take_known(request):
            return
        elif standing is Standing.UNCERTAIN and not coap.is_idempotent(request.message):
            self.give_up(request)
        elif standing in (Standing.READY, Standing.UNCERTAIN):
            self.record_intent(request)

    def take_known(self, request: Request) -> bool:
        """Drop a request that an earlier owner has a copy of; return whether so.

        It came while the earlier owners were still asked. Its record, which they
        handed over since then, counts: the copy may have run.
        """
        record = self.core.table.get(request.key)
        if record is None or self.is_own(record.executor):
            return False
        self.forget_request(request)
        self.answer_again(record)
        return True

    def is_own(self, executor: str) -> bool:
        """Return whether an incarnation is of this process."""
        name, _, incarnation = executor.rpartition("#")
        is_mine = int(incarnation) in self.core.ownership.incarnations
        return is_mine and name == self.core.membership.me.id

    def record_intent(self, request: Request) -> None:
        """Have the witness keep what will become of a request."""
        if request.recorded_in == self.core.ownership.view:
            return
        state = "refused" if request.refused else "intent"
        record = self.new_record(request, state, b"")
        self.core.table.put(record)
        self.put_at_witness(request, record)
        if request.refused:
            due = self.core.now + REFUSAL_PATIENCE_MS
            self.core.timers.add(due, lambda now: self.end_refusal(request))

    def end_refusal(self, request: Request) -> None:
        """Give the final answer where no witness takes a refusal down.

        "Not run" can't be said then: a later owner might run a copy.
        """
        is_open = self.core.requests.get(request.key) is request
        if is_open and request.refused and not request.has_started:
            self.give_up(request)

    def new_record(self, request: Request, state: str, response: bytes) -> Record:
        """Return a record of a request."""
        return Record(
            key=request.key,
            host=request.host,
            port=request.port,
            head=coap.request_head(request.datagram),
            state=state,
            executor=member_key(self.core.membership.me),
            response=response,
            expires=self.core.now + coap.EXCHANGE_LIFETIME_MS,
        )

    def put_at_witness(self, request: Request, record: Record) -> None:
        """Send a record to the witness until it has it."""
        _, witness = self.core.ownership.pair(request.flow)
        if witness is None:
            self.note_recorded(request, record.state)
            return
        put = messages.RecordPut(self.core.service, self.core.ownership.view, record)
        self.core.out.append(SendPeer(witness.host, witness.port, put))
        view = self.core.ownership.view

        def resend(now: int) -> None:
            is_open = request.key in self.core.requests and not request.has_started
            if is_open and request.recorded_in != view == self.core.ownership.view:
                self.put_at_witness(request, record)

        self.core.timers.add(self.core.now + RESEND_MS, resend)

    def on_record_put(self, sender: str, message: messages.RecordPut) -> None:
        """Keep a record as the witness, unless a newer view is known."""
        owner = self.core.membership.peer(sender)
        if owner is None:
            return
        record = message.record
        ok = self.core.ownership.is_witness_for(message.view, sender)
        ok = ok and not (
            self.core.table.is_full and self.core.table.get(record.key) is None
        )
        if ok or record.response:
            self.core.table.put(record)
        answer = messages.RecordAck(
            self.core.service, message.view, record.key, record.state, ok
        )
        self.core.out.append(SendPeer(owner.host, owner.port, answer))

    def on_record_ack(self, sender: str, message: messages.RecordAck) -> None:
        """Take the witness's word on a record."""
        request = self.core.requests.get(message.key)
        if (
            request is None
            or message.view != self.core.ownership.view
            or not message.ok
        ):
            return
        _, witness = self.core.ownership.pair(request.flow)
        if witness is not None and witness.id == sender:
            self.note_recorded(request, message.state)

    def note_recorded(self, request: Request, state: str) -> None:
        """Note that the witness holds what will become of a request."""
        if request.has_started or state != ("refused" if request.refused else "intent"):
            return
        request.recorded_in = self.core.ownership.view
        if request.refused:
            self.refuse(request)
        else:
            self.pump()
            self.core.mover.consider_move(request)

    def settle_intents(self) -> None:
        """Tell callers at once when an earlier owner died with their request."""
        if not self.core.ownership.is_settled:
            return
        for record in list(self.core.table):
            if record.state == "intent":
                self.settle_intent(record.key)

    def settle_intent(self, key: bytes) -> None:
        """Tell a caller what became of a request whose earlier owner is gone."""
        record = self.core.table.get(key)
        if record is None or record.state != "intent" or key in self.core.requests:
            return
        flow = self.core.flows.flow_of(record)
        standing = self.core.ownership.standing(flow, self.core.now)
        if standing in (Standing.FOREIGN, Standing.SETTLING):
            return
        if self.find_incarnation(record.executor) is None:
            self.tell_fate(record)

    def tell_fate(self, record: Record) -> None:
        """Tell a caller what is known of a request whose earlier owner is gone."""
        payload = self.core.mover.payload_of(record.key)
        if not payload:
            self.tell_unknown(record)
            return
        message = coap.parse_datagram(record.head)
        answer = coap.answer_for_caller(
            coap.parse_datagram(payload), message, self.core.take_mid()
        )
        done = replace(record, state="done", response=answer)
        self.core.table.put(done)
        self.share_outcome(self.core.flows.flow_of(record), done)
        self.core.send_to_caller(record.host, record.port, answer)

    def pump(self) -> None:
        """Start waiting requests while the upstream has free slots."""
        while self.core.admission.has_free_slot and not self.core.link.is_silent(
            self.core.now
        ):
            request = self.next_startable()
            if request is None:
                break
            self.core.admission.remove(request)
            self.start_request(request)
        self.core.mover.strategy.on_pumped()

    def next_startable(self) -> Request | None:
        """Return the first waiting request that may run now."""
        for request in self.core.admission.in_turn():
            if self.may_start(request):
                return request
        return None

    def may_start(self, request: Request) -> bool:
        """Return whether a request may run by the newest view."""
        if request.origin:
            return True
        standing = self.core.ownership.standing(request.flow, self.core.now)
        if coap.is_idempotent(request.message):
            return standing not in (Standing.FOREIGN, Standing.SETTLING)
        return standing is Standing.READY and (
            request.recorded_in == self.core.ownership.view
        )

    def start_request(self, request: Request) -> None:
        """Send a request to the own upstream."""
        request.stage = Stage.RUNNING
        request.started = self.core.now
        self.core.admission.start(request.key, self.core.now, request.tenant)
        observe = request.message.opt.observe == 0
        token = self.core.link.request(
            self.core.now,
            request.message,
            coap.transfer_digest(request.flow, request.message),
            lambda now, answer: self.on_answer(request, token, answer),
            coap.is_idempotent(request.message),
            observe,
        )
        request.token = token
        self.core.timers.add(
            self.core.now + MAX_SLOT_MS, lambda now: self.free_slot(request, token)
        )

    def free_slot(self, request: Request, token: bytes) -> None:
        """Stop to wait for an answer that never came."""
        if request.key in self.core.admission.running:
            self.core.admission.finish(request.key, self.core.now)
            self.core.link.forget(token)

    def on_answer(self, request: Request, token: bytes, answer: Message) -> None:
        """Take the upstream's answer to a request."""
        if token in self.core.observations.by_token:
            self.core.watcher.on_notification(token, answer)
            return
        self.take_answer(request, token, answer)
        self.pump()

    def take_answer(self, request: Request, token: bytes, answer: Message) -> None:
        """Free the slot and give the answer on, unless the request is tried again."""
        if answer.code is Code.SERVICE_UNAVAILABLE:
            self.core.admission.release(request.key)
        else:
            self.core.admission.finish(request.key, self.core.now)
        if request.key not in self.core.requests:
            return
        if not self.core.retrier.on_answer(request, answer):
            self.complete(request, token, answer)

    def complete(self, request: Request, token: bytes, answer: Message) -> None:
        """Give the caller the whole answer."""
        if request.origin:
            self.core.mover.return_result(request, "done", coap.answer_bytes(answer))
            return
        sequence = None
        if answer.opt.observe is not None and request.message.opt.observe == 0:
            sequence = self.core.watcher.open_observation(request, token)
        datagram = coap.answer_for_caller(
            answer, request.message, self.core.take_mid(), sequence
        )
        self.core.transfers.note_upload(request, answer, self.core.membership.me.id)
        self.finish(request, "done", datagram, goes_on(answer))

    def finish(
        self, request: Request, state: str, datagram: bytes, is_part: bool = False
    ) -> None:
        """Send the final answer and keep it for retransmissions.

        The answer to a safe request is kept only if it is part of a longer one:
        a second run elsewhere would mix two bodies.
        """
        self.forget_request(request)
        self.core.retrier.on_ended(request)
        self.report_end(request, state)
        self.core.send_to_caller(request.host, request.port, datagram)
        if coap.is_safe(request.message) and not is_part:
            return
        record = self.new_record(request, state, datagram)
        self.core.table.put(record)
        self.share_outcome(request.flow, record)

    def report_end(self, request: Request, state: str) -> None:
        """Report how a request ended and how long it took."""
        now = self.core.now
        self.core.report(
            3107,
            outcome=state,
            tenant=request.tenant,
            wait_ms=(request.started or now) - request.received,
            latency_ms=now - request.received,
        )

    def share_outcome(self, flow: bytes, record: Record) -> None:
        """Tell the witness, and the owner where the flow has moved."""
        put = messages.RecordPut(self.core.service, self.core.ownership.view, record)
        for member in self.core.ownership.pair(flow):
            if member is not None and not self.core.ownership.is_self(member):
                self.core.out.append(SendPeer(member.host, member.port, put))

    def refuse(self, request: Request) -> None:
        """Tell the caller that its request was not run, and when to come back."""
        self.core.report(
            3101,
            host=request.host,
            port=request.port,
            reason=request.refused,
            held_ms=self.core.now - request.refused_at,
        )
        answer = coap.refusal(
            request.message,
            Code.SERVICE_UNAVAILABLE,
            self.core.take_mid(),
            self.retry_after_s(),
            f"not run: {request.refused}",
        )
        self.finish(request, "refused", answer)

    def retry_after_s(self) -> int:
        """Return when a refused caller may come back, in seconds."""
        wait = self.core.admission.wait_ms() / 1000
        return MIN_RETRY_AFTER_S + int(wait * self.core.rng.uniform(1.0, 1.5))

    def give_up(self, request: Request) -> None:
        """Tell the caller that it can't be known whether its request ran."""
        self.finish(request, "unknown", self.unknown_answer(request))

    def unknown_answer(self, request: Request) -> bytes:
        """Return the answer that it can't be known whether a request ran."""
        self.core.report(3102, host=request.host, port=request.port)
        return coap.refusal(
            request.message,
            Code.GATEWAY_TIMEOUT,
            self.core.take_mid(),
            self.retry_after_s(),
            "outcome unknown",
        )

    def end_blocked(self) -> None:
        """Give the final answer to requests that may not run for too long."""
        for request in list(self.core.requests.values()):
            if request.has_started or self.may_start(request):
                request.blocked_since = 0
            elif not request.blocked_since:
                request.blocked_since = self.core.now
            elif self.core.now - request.blocked_since >= WITNESS_PATIENCE_MS:
                self.end_unsettled(request)

    def end_unsettled(self, request: Request) -> None:
        """Give the final answer to a request that the newest view holds back."""
        if coap.is_safe(request.message) and not request.may_have_run:
            request.refused = "unsettled"
            request.refused_at = self.core.now
            self.refuse(request)
        else:
            self.give_up(request)

    def expire_request(self, request: Request) -> None:
        """Give the final answer at the deadline."""
        if request.key not in self.core.requests:
            return
        if request.origin:
            outcome = "unknown" if request.has_started else "not_run"
            self.core.mover.return_result(request, outcome, b"")
        elif coap.is_safe(request.message) and not (
            request.has_started or request.may_have_run
        ):
            request.refused = "deadline"
            request.refused_at = self.core.now
            self.refuse(request)
        else:
            self.give_up(request)

    def forget_request(self, request: Request) -> None:
        """Take a request out of all queues."""
        self.core.requests.pop(request.key, None)
        self.core.admission.remove(request)

    def pass_on_if_foreign(self, request: Request) -> None:
        """Give a request that has not started to the new owner of its flow."""
        if (
            self.core.ownership.standing(request.flow, self.core.now)
            is not Standing.FOREIGN
        ):
            return
        self.forget_request(request)
        self.core.table.drop(request.key)
        owner, _ = self.core.ownership.pair(request.flow)
        if owner is not None:
            self.withdraw(request.key, owner)
            self.core.pass_on(owner, request.host, request.port, request.datagram)

    def is_withdrawn(self, key: bytes) -> bool:
        """Return whether a recorded request can no more run here.

        A request that waits is withdrawn once its flow has another owner.
        """
        request = self.core.requests.get(key)
        if request is None or request.origin or request.has_started:
            return False
        return (
            self.core.ownership.standing(request.flow, self.core.now)
            is Standing.FOREIGN
        )
