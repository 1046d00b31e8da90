"""Request handling for owned flows, from the datagram to the final answer.

A request that is not idempotent runs only after the witness, if there is one, has
stored its intent record. One that is not safe is answered "not run" only after the
witness, if there is one, has stored the refusal.
"""

from aiocoap import Message
from aiocoap.numbers.codes import Code

from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.ownership import FlowAuthority
from fuchsiapin.coap.requests import Request, Stage
from fuchsiapin.coap.sideparts import SideParts
from fuchsiapin.coap.transfers import continues_transfer

__all__ = ["Dispatcher"]

REFUSAL_TIMEOUT_MS = 3_000
"""A refusal that the witness doesn't store within this time ends as unknown."""
BLOCKED_TIMEOUT_MS = 6_000
"""Longest wait of a request that may not run in the newest view.

It is longer than it takes two members to remove a silent third one and take over
its flows.
"""
MAX_REQUESTS = 4_096
"""Bound on the open requests of one side process."""
MAX_SLOT_MS = 120_000
"""A slot is freed after this time without an answer of the upstream."""
MIN_RETRY_AFTER_S = 1


class Dispatcher:
    """Handles the requests of one side process.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.
    """

    def __init__(self, core: SideParts) -> None:
        self.core = core

    def receive_request(
        self, flow: bytes, host: str, port: int, message: Message, datagram: bytes
    ) -> None:
        """Accept a new request, or answer a retransmission from its record."""
        key = coap.request_digest(flow, datagram)
        if key in self.core.requests:
            return
        record = self.core.table.get(key)
        if record is not None and not self.core.recorder.drop_unstarted(record):
            self.core.recorder.answer_retransmission(record)
            return
        deadline = self.core.now + self.core.deadline_ms
        request = Request(key, flow, host, port, message, datagram, deadline)
        request.received_at = self.core.now
        request.tenant = self.core.tenants.class_of(host)
        if message.opt.observe == 1:
            self.core.observation_manager.close_observation((host, port, message.token))
        if len(self.core.requests) >= MAX_REQUESTS:
            self.reject_excess_request(request)
            return
        self.core.requests[key] = request
        self.core.timers.add(deadline, lambda now: self.expire_request(request))
        self.admit(request)

    def reject_excess_request(self, request: Request) -> None:
        """Answer a request over the limit of open requests at once.

        Only a safe request is refused as "not run" at once: the witness would have
        to store the refusal of another first, because a later owner might run a
        copy. The others are answered "outcome unknown". Their record is stored
        unless the table is half full; the rest is left for requests that run.
        """
        self.core.report(4105, flow=request.flow.decode())
        if coap.is_safe(request.message):
            request.refusal_reason = "crowded"
            request.refused_at = self.core.now
            self.refuse(request)
            return
        answer = self.unknown_answer(request)
        if len(self.core.table) < self.core.table.limit // 2:
            self.core.table.put(
                self.core.recorder.make_record(request, "unknown", answer)
            )
        self.core.send_to_caller(request.host, request.port, answer)

    def admit(self, request: Request) -> None:
        """Queue a request, or hand a block off if its transfer runs elsewhere.

        A request is marked as refused if the queue has no room for it, or if it is
        not expected to finish by its deadline.
        """
        authority = self.core.ownership.flow_authority(request.flow, self.core.now)
        if authority is not FlowAuthority.SETTLING and self.redirect_block(request):
            return
        if self.core.admission.accepts(self.core.now, request.deadline, request.tenant):
            self.core.admission.enqueue(request)
        else:
            request.refusal_reason = "busy"
            request.refused_at = self.core.now
        self.advance(request)
        self.dispatch_waiting()

    def advance(self, request: Request) -> None:
        """Advance a request that has not started."""
        if request.key not in self.core.requests or request.has_started:
            return
        authority = self.core.ownership.flow_authority(request.flow, self.core.now)
        if request.origin:
            return
        if authority is FlowAuthority.FOREIGN:
            self.forward_if_foreign(request)
        elif coap.is_safe(request.message):
            if request.refusal_reason:
                self.refuse(request)
            else:
                self.core.mover.consider_move(request)
        else:
            self.advance_recorded(request, authority)

    def advance_recorded(self, request: Request, authority: FlowAuthority) -> None:
        """Advance a request that needs a record at the witness."""
        if (
            authority is not FlowAuthority.SETTLING
            and self.core.recorder.answer_from_record(request)
        ):
            return
        if authority is FlowAuthority.UNCERTAIN and not coap.is_idempotent(
            request.message
        ):
            self.give_up(request)
        elif authority in (FlowAuthority.READY, FlowAuthority.UNCERTAIN):
            self.record_decision(request)

    def record_decision(self, request: Request) -> None:
        """Record the intent to run a request, or its refusal, at the witness."""
        if request.recorded_view == self.core.ownership.view:
            return
        state = "refused" if request.refusal_reason else "intent"
        record = self.core.recorder.make_record(request, state, b"")
        self.core.table.put(record)
        self.core.recorder.replicate_record(request, record)
        if request.refusal_reason:
            due = self.core.now + REFUSAL_TIMEOUT_MS
            self.core.timers.add(due, lambda now: self.expire_refusal(request))

    def expire_refusal(self, request: Request) -> None:
        """Answer "outcome unknown" when the witness didn't store a refusal.

        The answer can't be "not run": a later owner might run a copy.
        """
        is_open = self.core.requests.get(request.key) is request
        if is_open and request.refusal_reason and not request.has_started:
            self.give_up(request)

    def on_recorded(self, request: Request, state: str) -> None:
        """Continue a request whose intent or refusal the witness has stored."""
        if request.has_started or state != (
            "refused" if request.refusal_reason else "intent"
        ):
            return
        request.recorded_view = self.core.ownership.view
        if request.refusal_reason:
            self.refuse(request)
        else:
            self.dispatch_waiting()
            self.core.mover.consider_move(request)

    def dispatch_waiting(self) -> None:
        """Start waiting requests while the upstream has free slots."""
        while self.core.admission.has_free_slot and not self.core.link.is_down(
            self.core.now
        ):
            request = self.next_startable()
            if request is None:
                break
            self.core.admission.remove(request)
            if not self.redirect_block(request):
                self.start_request(request)
        self.core.mover.strategy.on_dispatched()

    def redirect_block(self, request: Request) -> bool:
        """Hand a block off to where its transfer began; return whether it was.

        The claim answer of an earlier owner may add the transfer later, so a block
        that waited for it is checked again before it starts.
        """
        is_own_block = not request.origin and coap.is_blockwise(request.message)
        return (
            is_own_block
            and request.move_attempts == 0
            and self.core.transfers.hand_off_to_executor(request)
        )

    def next_startable(self) -> Request | None:
        """Return the first queued request that may run now."""
        for request in self.core.admission.in_turn():
            if self.may_start(request):
                return request
        return None

    def may_start(self, request: Request) -> bool:
        """Return whether a request may run in the newest view."""
        if request.origin:
            return True
        authority = self.core.ownership.flow_authority(request.flow, self.core.now)
        if coap.is_idempotent(request.message):
            return authority not in (FlowAuthority.FOREIGN, FlowAuthority.SETTLING)
        return authority is FlowAuthority.READY and (
            request.recorded_view == self.core.ownership.view
        )

    def start_request(self, request: Request) -> None:
        """Send a request to the upstream."""
        request.stage = Stage.RUNNING
        request.started_at = self.core.now
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
            self.core.now + MAX_SLOT_MS, lambda now: self.expire_slot(request, token)
        )

    def expire_slot(self, request: Request, token: bytes) -> None:
        """Free the slot of a request that the upstream didn't answer."""
        if request.key in self.core.admission.running:
            self.core.admission.finish(request.key, self.core.now)
            self.core.link.discard_exchange(token)

    def on_answer(self, request: Request, token: bytes, answer: Message) -> None:
        """Handle an answer or a notification of the upstream."""
        if token in self.core.observations.by_token:
            self.core.observation_manager.on_notification(token, answer)
            return
        self.handle_answer(request, token, answer)
        self.dispatch_waiting()

    def handle_answer(self, request: Request, token: bytes, answer: Message) -> None:
        """Free the slot and pass the answer on, unless the request is retried."""
        if answer.code is Code.SERVICE_UNAVAILABLE:
            self.core.admission.release(request.key)
        else:
            self.core.admission.finish(request.key, self.core.now)
        if request.key not in self.core.requests:
            self.core.link.discard_exchange(token)
            return
        if not self.core.retrier.on_answer(request, answer):
            self.complete(request, token, answer)

    def complete(self, request: Request, token: bytes, answer: Message) -> None:
        """Send the answer to the caller, or to the peer that owns the flow."""
        if request.origin:
            self.core.mover.return_result(request, "done", coap.answer_for_peer(answer))
            return
        if self.core.transfers.leave_to_owner(request, answer):
            return
        sequence = None
        if answer.opt.observe is not None and request.message.opt.observe == 0:
            sequence = self.core.observation_manager.open_observation(request, token)
        datagram = coap.answer_for_caller(
            answer, request.message, self.core.allocate_message_id(), sequence
        )
        self.core.transfers.track_transfer(request, answer, self.core.membership.me.id)
        self.finish(request, "done", datagram, continues_transfer(answer))

    def finish(
        self, request: Request, state: str, datagram: bytes, is_part: bool = False
    ) -> None:
        """Send the final answer and store it for retransmissions.

        The answer to a safe request is stored only if it is one block of a larger
        body: after a second run elsewhere the body would mix blocks of two runs.
        """
        self.remove_request(request)
        self.core.retrier.on_finished(request)
        self.report_end(request, state)
        # By then a caller may have sent its first copy.
        is_late = self.core.now - request.received_at >= coap.ACK_TIMEOUT_MS
        self.core.answers.send(request.host, request.port, datagram, is_late)
        if coap.is_safe(request.message) and not is_part:
            return
        record = self.core.recorder.make_record(request, state, datagram)
        self.core.table.put(record)
        self.core.recorder.send_outcome(request.flow, record)

    def restart_transfer(self, request: Request) -> None:
        """Make the caller restart a transfer that its member declined to continue.

        This process's upstream may hold an older body under the same path, whose
        blocks must not be mixed with those that the caller has received.
        """
        answer = Message(code=Code.REQUEST_ENTITY_INCOMPLETE)
        mid = self.core.allocate_message_id()
        datagram = coap.answer_for_caller(answer, request.message, mid)
        self.core.flow_store.uploads_by_tag.pop(
            coap.transfer_digest(request.flow, request.message), None
        )
        self.finish(request, "done", datagram, True)

    def report_end(self, request: Request, state: str) -> None:
        """Report how a request ended and how long it took."""
        now = self.core.now
        self.core.report(
            3107,
            outcome=state,
            tenant=request.tenant,
            wait_ms=(request.started_at or now) - request.received_at,
            latency_ms=now - request.received_at,
        )

    def refuse(self, request: Request) -> None:
        """Answer that a request was not run, and when the caller may retry."""
        self.core.report(
            3101,
            host=request.host,
            port=request.port,
            reason=request.refusal_reason,
            held_ms=self.core.now - request.refused_at,
        )
        answer = coap.error_response(
            request.message,
            Code.SERVICE_UNAVAILABLE,
            self.core.allocate_message_id(),
            self.retry_after_s(),
            f"not run: {request.refusal_reason}",
        )
        self.finish(request, "refused", answer)

    def retry_after_s(self) -> int:
        """Return after how many seconds a refused caller may retry."""
        wait = self.core.admission.wait_ms() / 1000
        return MIN_RETRY_AFTER_S + int(wait * self.core.rng.uniform(1.0, 1.5))

    def give_up(self, request: Request) -> None:
        """Answer that it is unknown whether a request ran."""
        self.finish(request, "unknown", self.unknown_answer(request))

    def unknown_answer(self, request: Request) -> bytes:
        """Return the answer for a request that may have run."""
        self.core.report(3102, host=request.host, port=request.port)
        return coap.error_response(
            request.message,
            Code.GATEWAY_TIMEOUT,
            self.core.allocate_message_id(),
            self.retry_after_s(),
            "outcome unknown",
        )

    def expire_blocked(self) -> None:
        """Answer the requests that have been blocked for too long."""
        for request in list(self.core.requests.values()):
            if request.has_started or self.may_start(request):
                request.blocked_since = 0
            elif not request.blocked_since:
                request.blocked_since = self.core.now
            elif self.core.now - request.blocked_since >= BLOCKED_TIMEOUT_MS:
                self.expire_blocked_request(request)

    def expire_blocked_request(self, request: Request) -> None:
        """Answer a request that may not run in the newest view."""
        if coap.is_safe(request.message) and not request.may_have_run:
            request.refusal_reason = "unsettled"
            request.refused_at = self.core.now
            self.refuse(request)
        else:
            self.give_up(request)

    def expire_request(self, request: Request) -> None:
        """Answer a request at its deadline.

        A copy that came after the request was forwarded has its own deadline.
        """
        if self.core.requests.get(request.key) is not request:
            return
        if request.origin:
            outcome = "unknown" if request.has_started else "not_run"
            self.core.mover.return_result(request, outcome, b"")
        elif coap.is_safe(request.message) and not (
            request.has_started or request.may_have_run
        ):
            request.refusal_reason = "deadline"
            request.refused_at = self.core.now
            self.refuse(request)
        else:
            self.give_up(request)

    def remove_request(self, request: Request) -> None:
        """Remove a request from the table of open requests and the queue."""
        self.core.requests.pop(request.key, None)
        self.core.admission.remove(request)

    def forward_if_foreign(self, request: Request) -> None:
        """Forward a request that has not started if its flow has a new owner.

        Its record is withdrawn, so that the new owner may run the request.
        """
        if (
            self.core.ownership.flow_authority(request.flow, self.core.now)
            is not FlowAuthority.FOREIGN
        ):
            return
        self.remove_request(request)
        self.core.table.drop(request.key)
        owner, _ = self.core.ownership.pair(request.flow)
        if owner is not None:
            self.core.recorder.withdraw(request.key, owner)
            self.core.forward_to_owner(
                owner, request.host, request.port, request.datagram
            )

    def is_withdrawn(self, key: bytes) -> bool:
        """Return whether a recorded request can no longer run here.

        A request that has not started is withdrawn when its flow gets another
        owner.
        """
        request = self.core.requests.get(key)
        if request is None or request.origin or request.has_started:
            return False
        return (
            self.core.ownership.flow_authority(request.flow, self.core.now)
            is FlowAuthority.FOREIGN
        )
