"""Requests that have not started move to the better one of two peers.

References
----------
.. [1] M. Mitzenmacher, "The power of two choices in randomized load balancing",
   IEEE Transactions on Parallel and Distributed Systems, 2001.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

from fuchsiapin import coap, messages
from fuchsiapin.messages import Member, SendPeer
from fuchsiapin.ranking import flow_key
from fuchsiapin.registry import Registry
from fuchsiapin.requests import Request, Stage

if TYPE_CHECKING:
    from fuchsiapin.serving import SideCore

__all__ = ["Mover", "movers"]

movers = Registry("move")

RESEND_MS = 200
"""A handoff is sent again after this time."""
ASK_PATIENCE_MS = 25
"""Wait for the peers that were asked for their backlog."""
HOP_MS = 16
"""A move has to save more than the way there and back."""
ASKED_PEERS = 2
MAX_HANDLED = 65_536
"""Requests of peers whose result is remembered."""


class Mover:
    """Moves of one side process, as owner and as the peer that is asked.

    Parameters
    ----------
    core : SideCore
        The core that this is a part of.
    consider : callable
        Called with the mover and a request that waits.
    """

    def __init__(
        self, core: "SideCore", consider: Callable[["Mover", Request], None]
    ) -> None:
        self.core = core
        self.consider = consider
        self.handled: OrderedDict[bytes, messages.HandoffResult | None] = OrderedDict()

    def consider_move(self, request: Request) -> None:
        """Look whether a request that waits here would start sooner elsewhere."""
        if self.may_move(request):
            self.consider(self, request)

    def ask_peers(self, request: Request) -> None:
        """Ask two peers how long a request would wait there."""
        peers = [m for m in self.core.membership.peers() if m.state == "live"]
        asked = self.core.rng.sample(peers, min(ASKED_PEERS, len(peers)))
        request.stage = Stage.ASKING
        for member in asked:
            ask = messages.BacklogAsk(self.core.service, request.key)
            self.core.out.append(SendPeer(member.host, member.port, ask))
        self.core.timers.add(
            self.core.now + ASK_PATIENCE_MS, lambda now: self.decide_move(request)
        )

    def may_move(self, request: Request) -> bool:
        """Return whether a waiting request may run elsewhere."""
        message = request.message
        return (
            request.stage is Stage.WAITING
            and request.key in self.core.requests
            and not request.origin
            and request.tries == 0
            and message.opt.observe is None
            and not coap.is_blockwise(message)
            and not self.core.admission.has_free_slot
        )

    def on_backlog_ask(self, sender: str, message: messages.BacklogAsk) -> None:
        """Tell how long new work would wait here."""
        peer = self.core.membership.peer(sender)
        if peer is not None and self.core.membership.me.state == "live":
            tell = messages.BacklogTell(
                self.core.service, message.key, self.core.admission.wait_ms()
            )
            self.core.out.append(SendPeer(peer.host, peer.port, tell))

    def on_backlog_tell(self, sender: str, message: messages.BacklogTell) -> None:
        """Note a peer's backlog; decide once all that were asked told."""
        request = self.core.requests.get(message.key)
        if request is None or request.stage is not Stage.ASKING:
            return
        request.offers[sender] = message.wait_ms
        if len(request.offers) == ASKED_PEERS:
            self.decide_move(request)

    def decide_move(self, request: Request) -> None:
        """Hand a request to the better peer, if that saves time."""
        if request.stage is not Stage.ASKING or request.key not in self.core.requests:
            return
        request.stage = Stage.WAITING
        request.tries += 1
        if request.offers and self.core.dispatcher.may_start(request):
            best = min(request.offers, key=lambda name: request.offers[name])
            peer = self.core.membership.peer(best)
            saved = self.core.admission.wait_ms() - request.offers[best]
            if peer is not None and saved > HOP_MS:
                self.hand_off(request, peer)
                return
        self.core.dispatcher.pump()

    def hand_off(self, request: Request, peer: Member) -> None:
        """Let a peer run a request; from now on it may have run."""
        request.stage = Stage.HANDED
        request.started = self.core.now
        self.core.admission.remove(request)
        self.core.report(3103, host=request.host, port=request.port, peer=peer.id)
        self.send_handoff(request, peer)

    def send_handoff(self, request: Request, peer: Member) -> None:
        """Send a request to a peer until it tells what became of it."""
        if request.key not in self.core.requests or request.stage is not Stage.HANDED:
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
        self.core.out.append(SendPeer(peer.host, peer.port, handoff))
        self.core.timers.add(
            self.core.now + RESEND_MS, lambda now: self.send_handoff(request, peer)
        )

    def on_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Run a request for its owner, once."""
        peer = self.core.membership.peer(sender)
        if peer is None:
            return
        if message.key in self.handled:
            result = self.handled[message.key]
            if result is not None:
                self.core.out.append(SendPeer(peer.host, peer.port, result))
            return
        if message.incarnation not in self.core.ownership.incarnations:
            result = self.handoff_result(message.key, "unknown", b"")
            self.core.out.append(SendPeer(peer.host, peer.port, result))
            return
        self.take_handoff(sender, message)

    def take_handoff(self, sender: str, message: messages.Handoff) -> None:
        """Let a request of a peer wait for its turn here, or decline it."""
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
        self.remember_handled(message.key, None)
        is_current = message.view == self.core.ownership.view
        is_live = self.core.membership.me.state == "live"
        is_open = request.key not in self.core.requests
        if not (
            is_current
            and is_live
            and is_open
            and self.core.admission.accepts(self.core.now, deadline)
        ):
            self.return_result(request, "not_run", b"")
            return
        self.core.requests[request.key] = request
        self.core.timers.add(
            deadline, lambda now: self.core.dispatcher.expire_request(request)
        )
        self.core.admission.enqueue(request)
        self.core.dispatcher.pump()

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
        return messages.HandoffResult(self.core.service, key, outcome, payload)

    def return_result(self, request: Request, outcome: str, payload: bytes) -> None:
        """Tell the owner what became of its request."""
        if self.core.requests.get(request.key) is request:
            self.core.dispatcher.forget_request(request)
        result = self.handoff_result(request.key, outcome, payload)
        self.remember_handled(request.key, result)
        peer = self.core.membership.peer(request.origin)
        if peer is not None:
            self.core.out.append(SendPeer(peer.host, peer.port, result))

    def on_handoff_result(self, sender: str, message: messages.HandoffResult) -> None:
        """Take what became of a request that was handed to a peer."""
        request = self.core.requests.get(message.key)
        if request is None or request.stage is not Stage.HANDED:
            return
        if message.outcome == "done":
            answer = coap.parse_datagram(message.payload)
            datagram = coap.answer_for_caller(
                answer, request.message, self.core.take_mid()
            )
            self.core.dispatcher.finish(request, "done", datagram)
        elif message.outcome == "not_run":
            request.stage = Stage.WAITING
            self.core.admission.queue.appendleft(request)
            self.core.dispatcher.advance(request)
            self.core.dispatcher.pump()
        else:
            self.core.dispatcher.give_up(request)


@movers.register("stay")
def stay(mover: Mover, request: Request) -> None:
    """Let every request wait where its flow is."""


@movers.register("ask-two")
def ask_two(mover: Mover, request: Request) -> None:
    """Ask two peers once, when the request has to wait."""
    mover.ask_peers(request)
