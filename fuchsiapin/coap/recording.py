"""Replication of request records, and answers to callers from the records.

A request with a record of an earlier owner is not run here, because that process or
its peer may have run it. Its outcome is requested from that process. If that process
is lost, the outcome is reported as unknown, unless this process ran the request for
it. If that process reports that it never ran the request (withdrawal), the record
is deleted and the request may run here.
"""

from dataclasses import replace

from aiocoap.numbers.codes import Code

from fuchsiapin import messages
from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.ownership import FlowAuthority
from fuchsiapin.coap.requests import Request
from fuchsiapin.coap.sideparts import SideParts
from fuchsiapin.messages import Member, Record, SendPeer
from fuchsiapin.ranking import member_key

__all__ = ["Recorder"]

RESEND_MS = 200
"""Retransmission interval of records to the witness."""


class Recorder:
    """Handles the records of one side process, as owner and as witness.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.
    """

    def __init__(self, core: SideParts) -> None:
        self.core = core

    def answer_retransmission(self, record: Record) -> None:
        """Answer a retransmission from its record."""
        if record.response:
            self.core.answers.send(record.host, record.port, record.response, True)
            return
        executor = self.find_executor(record.executor)
        if executor is None:
            self.answer_for_lost_owner(record)
        elif not self.core.ownership.is_self(executor):
            ask = messages.RecordAsk(self.core.service, record.key, record.executor)
            self.core.effects.append(SendPeer(executor.host, executor.port, ask))

    def drop_unstarted(self, record: Record) -> bool:
        """Delete a record of a request that never ran; return whether it was one.

        This process withdrew the request when its flow had another owner or none,
        and got its own record back from the witness with the flow. A request that
        is not open here and has no response never started here, and a later owner
        that had started it would have replaced the record by its own.
        """
        if record.state != "intent" or record.key in self.core.requests:
            return False
        if record.executor != member_key(self.core.membership.me):
            return False
        self.core.table.drop(record.key)
        return True

    def find_executor(self, executor: str) -> Member | None:
        """Return the member of the newest view with an executor's member key."""
        for member in self.core.ownership.history.members():
            if member_key(member) == executor:
                return member
        return None

    def on_record_ask(self, sender: str, message: messages.RecordAsk) -> None:
        """Send the new owner of a flow the outcome of a request here.

        It is sent a withdrawal instead if the request never ran here.
        """
        owner = self.core.membership.peer(sender)
        if owner is None or message.key in self.core.requests:
            return
        record = self.core.table.get(message.key)
        if record is not None and record.response:
            view = self.core.ownership.view
            put = messages.RecordPut(self.core.service, view, record)
            self.core.effects.append(SendPeer(owner.host, owner.port, put))
        elif message.executor == member_key(self.core.membership.me):
            self.withdraw(message.key, owner)

    def withdraw(self, key: bytes, owner: Member) -> None:
        """Notify the owner of a flow that a request never ran here and never will."""
        executor = member_key(self.core.membership.me)
        withdrawal = messages.Withdrawal(self.core.service, key, executor)
        self.core.effects.append(SendPeer(owner.host, owner.port, withdrawal))

    def on_withdrawal(self, sender: str, message: messages.Withdrawal) -> None:
        """Delete the record of a request that never ran, so that it may run here."""
        record = self.core.table.get(message.key)
        if record is None or record.state != "intent":
            return
        is_of_sender = message.executor.rpartition("#")[0] == sender
        if is_of_sender and record.executor == message.executor:
            self.core.table.drop(message.key)

    def answer_record_unknown(self, record: Record) -> None:
        """Answer the caller that it is unknown whether its request ran."""
        message = coap.parse_datagram(record.head)
        answer = coap.error_response(
            message,
            Code.GATEWAY_TIMEOUT,
            self.core.allocate_message_id(),
            5,
            "outcome unknown",
        )
        self.core.table.put(replace(record, state="unknown", response=answer))
        self.core.report(3104, host=record.host, port=record.port)
        self.core.answers.send(record.host, record.port, answer, True)

    def answer_from_record(self, request: Request) -> bool:
        """Answer a request from an earlier owner's record, if there is one.

        Returns whether there is one. The request arrived before the claim was
        complete. The record was transferred since then and takes precedence: the
        earlier copy may have run.
        """
        record = self.core.table.get(request.key)
        if record is None or self.is_own_incarnation(record.executor):
            return False
        self.core.dispatcher.remove_request(request)
        self.answer_retransmission(record)
        return True

    def is_own_incarnation(self, executor: str) -> bool:
        """Return whether an executor is any incarnation of this process."""
        name, _, incarnation = executor.rpartition("#")
        is_mine = int(incarnation) in self.core.ownership.incarnations
        return is_mine and name == self.core.membership.me.id

    def make_record(self, request: Request, state: str, response: bytes) -> Record:
        """Return a record of a request with this process as its executor."""
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

    def replicate_record(self, request: Request, record: Record) -> None:
        """Send a record to the witness, and repeat it until it is acknowledged."""
        _, witness = self.core.ownership.pair(request.flow)
        if witness is None:
            self.core.dispatcher.on_recorded(request, record.state)
            return
        put = messages.RecordPut(self.core.service, self.core.ownership.view, record)
        self.core.effects.append(SendPeer(witness.host, witness.port, put))
        view = self.core.ownership.view

        def resend(now: int) -> None:
            is_open = request.key in self.core.requests and not request.has_started
            if is_open and request.recorded_view != view == self.core.ownership.view:
                self.replicate_record(request, record)

        self.core.timers.add(self.core.now + RESEND_MS, resend)

    def on_record_put(self, sender: str, message: messages.RecordPut) -> None:
        """Store a record.

        One without a response is declined unless this process is the sender's
        witness in the newest view and its table has room.
        """
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
        self.core.effects.append(SendPeer(owner.host, owner.port, answer))

    def on_record_ack(self, sender: str, message: messages.RecordAck) -> None:
        """Handle the witness's acknowledgement of a record."""
        request = self.core.requests.get(message.key)
        if (
            request is None
            or message.view != self.core.ownership.view
            or not message.ok
        ):
            return
        _, witness = self.core.ownership.pair(request.flow)
        if witness is not None and witness.id == sender:
            self.core.dispatcher.on_recorded(request, message.state)

    def resolve_intents(self) -> None:
        """Answer the callers whose requests were lost with an earlier owner."""
        if not self.core.ownership.is_settled:
            return
        for record in list(self.core.table):
            if record.state == "intent":
                self.resolve_intent(record.key)

    def resolve_intent(self, key: bytes) -> None:
        """Answer a request whose earlier owner is not in the newest view."""
        record = self.core.table.get(key)
        if record is None or record.state != "intent" or key in self.core.requests:
            return
        flow = self.core.flow_store.flow_of(record)
        authority = self.core.ownership.flow_authority(flow, self.core.now)
        if authority in (FlowAuthority.FOREIGN, FlowAuthority.SETTLING):
            return
        if self.find_executor(record.executor) is None:
            self.answer_for_lost_owner(record)

    def answer_for_lost_owner(self, record: Record) -> None:
        """Answer a caller whose request's owner was lost.

        The answer is the result if this process ran the request, else "unknown".
        """
        payload = self.core.mover.answer_payload(record.key)
        if not payload:
            self.answer_record_unknown(record)
            return
        message = coap.parse_datagram(record.head)
        answer = coap.answer_for_caller(
            coap.parse_datagram(payload), message, self.core.allocate_message_id()
        )
        done = replace(record, state="done", response=answer)
        self.core.table.put(done)
        self.send_outcome(self.core.flow_store.flow_of(record), done)
        self.core.answers.send(record.host, record.port, answer, True)

    def send_outcome(self, flow: bytes, record: Record) -> None:
        """Send the outcome to the witness, and to the owner if the flow has moved."""
        put = messages.RecordPut(self.core.service, self.core.ownership.view, record)
        for member in self.core.ownership.pair(flow):
            if member is not None and not self.core.ownership.is_self(member):
                self.core.effects.append(SendPeer(member.host, member.port, put))
