"""Handoffs of requests that have not started to a peer, which runs them at most once.

In names, `move` stands for a handoff that is considered or has been sent.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from fuchsiapin import messages
from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.ownership import FlowAuthority
from fuchsiapin.coap.requests import Request, Stage
from fuchsiapin.coap.sideparts import SideParts
from fuchsiapin.coap.transfers import continues_transfer
from fuchsiapin.messages import Member, SendPeer
from fuchsiapin.ranking import flow_key

__all__ = ["MoveStrategy", "Mover"]


class MoveStrategy(Protocol):
    """Policy that decides which requests are handed off to which peer."""

    def consider(self, request: Request) -> None:
        """Consider handing off a waiting request of an owned flow."""

    def on_ask(self, peer: Member, message: messages.BacklogAsk) -> None:
        """Answer a peer that asks for the backlog here, or store its reservation."""

    def on_tell(self, peer: Member, message: messages.BacklogTell) -> None:
        """Handle a peer's backlog or its offer of a slot."""

    def on_declined(self, sender: str) -> None:
        """Handle a peer's message that it has no use for an offered slot."""

    def on_handoff(self, sender: str) -> None:
        """Handle the arrival of a request that a peer handed off."""

    def on_dispatched(self) -> None:
        """Offer slots to peers, if any, after waiting requests were started."""


RESEND_MS = 200
"""Retransmission interval of handoffs."""
MAX_HANDOFF_RESULTS = 65_536
"""Bound on the stored results of peers' requests."""


class Mover:
    """Hands off requests of one side process, and runs those that peers hand off.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.
    make_strategy : callable
        Returns the policy, which decides which requests are handed off where.

    Attributes
    ----------
    handoff_results : OrderedDict
        Result of each request that a peer handed off, None while it is open, by
        key.
    """

    def __init__(
        self, core: SideParts, make_strategy: Callable[["Mover"], MoveStrategy]
    ) -> None:
        self.core = core
        self.strategy = make_strategy(self)
        self.handoff_results: OrderedDict[bytes, messages.HandoffResult | None] = (
            OrderedDict()
        )

    def consider_move(self, request: Request) -> None:
        """Consider handing a waiting request off to a peer where it starts sooner."""
        if self.may_move(request):
            self.strategy.consider(request)

    def may_move(self, request: Request) -> bool:
        """Return whether a waiting request may run elsewhere.

        Observations and block-wise requests may not: they stay at the upstream
        where they began.
        """
        message = request.message
        return (
            request.stage is Stage.WAITING
            and request.key in self.core.requests
            and not request.origin
            and message.opt.observe is None
            and not coap.is_blockwise(message)
        )

    def on_backlog_ask(self, sender: str, message: messages.BacklogAsk) -> None:
        """Answer a peer that asks for the backlog here, or store its reservation."""
        peer = self.core.membership.peer(sender)
        if peer is not None and self.core.membership.me.state == "live":
            self.strategy.on_ask(peer, message)

    def on_backlog_tell(self, sender: str, message: messages.BacklogTell) -> None:
        """Handle a peer's backlog or its offer of a slot."""
        peer = self.core.membership.peer(sender)
        if peer is not None:
            self.strategy.on_tell(peer, message)

    def on_offer_declined(self, sender: str, message: messages.OfferDeclined) -> None:
        """Handle a peer's message that it has no use for an offered slot."""
        self.strategy.on_declined(sender)

    def send_backlog_tell(self, peer: Member, key: bytes, wait_ms: int) -> None:
        """Send a peer the backlog here or the offer of a slot.

        The policy defines the meaning of `wait_ms`.
        """
        message = messages.BacklogTell(self.core.service, key, wait_ms)
        self.core.effects.append(SendPeer(peer.host, peer.port, message))

    def query_backlogs(self, request: Request, count: int) -> int:
        """Ask random live peers about a request; return how many were asked."""
        peers = [m for m in self.core.membership.peers() if m.state == "live"]
        asked = self.core.rng.sample(peers, min(count, len(peers)))
        message = messages.BacklogAsk(self.core.service, request.key)
        for member in asked:
            self.core.effects.append(SendPeer(member.host, member.port, message))
        return len(asked)

    def hand_off(self, request: Request, peer: Member) -> None:
        """Hand a request off to a peer, after which it may have run."""
        request.stage = Stage.HANDED
        request.handed_to = peer.id
        request.started_at = self.core.now
        self.core.admission.remove(request)
        self.core.report(3103, host=request.host, port=request.port, peer=peer.id)
        self.send_handoff(request, peer)

    def is_handed_to(self, request: Request, name: str) -> bool:
        """Return whether a peer is the last one that a request was handed off to.

        A late result of an earlier peer, which declined it, has to be ignored.
        """
        return (
            request.key in self.core.requests
            and request.stage is Stage.HANDED
            and request.handed_to == name
        )

    def send_handoff(self, request: Request, peer: Member) -> None:
        """Send a handoff to a peer, and repeat it until the result arrives."""
        if not self.is_handed_to(request, peer.id):
            return
        handoff = messages.Handoff(
            self.core.service,
            self.core.ownership.view,
            peer.incarnation,
            request.key,
            request.host,
            request.port,
            max(0, request.deadline - self.core.now),
            request.datagram,
        )
        self.core.effects.append(SendPeer(peer.host, peer.port, handoff))
        self.core.timers.add(
            self.core.now + RESEND_MS, lambda now: self.send_handoff(request, peer)
        )

    def on_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Run a request for its owner at most once, or repeat its result."""
        self.strategy.on_handoff(sender)
        peer = self.core.membership.peer(sender)
        if peer is None:
            return
        if message.key in self.handoff_results:
            result = self.handoff_results[message.key]
            if result is not None:
                self.core.effects.append(SendPeer(peer.host, peer.port, result))
            return
        if message.incarnation not in self.core.ownership.incarnations:
            # An earlier process at this address may have run it.
            result = self.make_result(message.key, "unknown", b"")
            self.core.effects.append(SendPeer(peer.host, peer.port, result))
            return
        self.accept_handoff(sender, message)

    def accept_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Queue a request of a peer, or decline it."""
        parsed = coap.parse_datagram(message.payload)
        flow = flow_key(self.core.service, message.host, message.port)
        deadline = self.core.now + message.remaining_ms
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
        request.tenant = self.core.tenants.class_of(message.host)
        self.store_result(message.key, None)
        is_current = message.view == self.core.ownership.view
        is_live = self.core.membership.me.state == "live"
        is_new = request.key not in self.core.requests
        if not (
            is_current
            and is_live
            and is_new
            and self.core.admission.accepts(self.core.now, deadline, request.tenant)
        ):
            self.return_result(request, "not_run", b"")
            return
        self.core.requests[request.key] = request
        self.core.timers.add(
            deadline, lambda now: self.core.dispatcher.expire_request(request)
        )
        self.core.admission.insert(request)
        self.core.dispatcher.dispatch_waiting()

    def store_result(self, key: bytes, result: messages.HandoffResult | None) -> None:
        """Store the result of a peer's request, within the bound."""
        self.handoff_results[key] = result
        if len(self.handoff_results) > MAX_HANDOFF_RESULTS:
            self.handoff_results.popitem(last=False)

    def make_result(
        self, key: bytes, outcome: str, payload: bytes
    ) -> messages.HandoffResult:
        """Return the message with the result of a request."""
        return messages.HandoffResult(self.core.service, key, outcome, payload)

    def return_result(self, request: Request, outcome: str, payload: bytes) -> None:
        """Send the owner the result of its request."""
        if self.core.requests.get(request.key) is request:
            self.core.dispatcher.remove_request(request)
        result = self.make_result(request.key, outcome, payload)
        self.store_result(request.key, result)
        peer = self.core.membership.peer(request.origin)
        if peer is not None:
            self.core.effects.append(SendPeer(peer.host, peer.port, result))
        self.core.recorder.resolve_intent(request.key)

    def answer_payload(self, key: bytes) -> bytes:
        """Return the upstream's answer to a peer's request, empty if there is none."""
        result = self.handoff_results.get(key)
        return result.payload if result and result.outcome == "done" else b""

    def on_handoff_result(self, sender: str, message: messages.HandoffResult) -> None:
        """Handle the result of a request that was handed off to a peer."""
        request = self.core.requests.get(message.key)
        if request is None or not self.is_handed_to(request, sender):
            return
        if message.outcome == "done":
            answer = coap.parse_datagram(message.payload)
            if self.core.transfers.leave_to_owner(request, answer):
                return
            datagram = coap.answer_for_caller(
                answer, request.message, self.core.allocate_message_id()
            )
            self.core.transfers.track_transfer(request, answer, sender)
            self.core.dispatcher.finish(
                request, "done", datagram, continues_transfer(answer)
            )
        elif message.outcome == "not_run" and coap.is_later_block(request.message):
            self.core.dispatcher.restart_transfer(request)
        elif message.outcome == "not_run" and self.must_run_here(request):
            self.core.dispatcher.start_request(request)
        elif message.outcome == "not_run":
            request.stage = Stage.WAITING
            self.core.admission.queue.appendleft(request)
            self.core.dispatcher.advance(request)
            self.core.dispatcher.dispatch_waiting()
        else:
            self.core.dispatcher.give_up(request)

    def must_run_here(self, request: Request) -> bool:
        """Return whether only this process can run a request that a peer declined.

        The flow has a new owner. According to the record in the claim answer the
        request may have run here, so the new owner would not run a forwarded copy.
        """
        authority = self.core.ownership.flow_authority(request.flow, self.core.now)
        return authority is FlowAuthority.FOREIGN and not coap.is_safe(request.message)
