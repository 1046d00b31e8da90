"""Handoff policies: no handoffs, or handoffs by the backlogs of two peers.

References
----------
.. [1] M. Mitzenmacher, "The power of two choices in randomized load balancing",
   IEEE Transactions on Parallel and Distributed Systems, 2001.
"""

from fuchsiapin.coap.handoffs import Mover
from fuchsiapin.coap.requests import Request, Stage
from fuchsiapin.messages import BacklogAsk, BacklogTell, Member
from fuchsiapin.policy import handoff_policies

__all__ = ["AskTwo", "Stay"]

QUERY_TIMEOUT_MS = 25
"""Timeout of the backlog queries to peers."""
MIN_SAVING_MS = 16
"""Least saving of a handoff: the round trip to the peer."""
ASKED_PEERS = 2


@handoff_policies.register("stay")
class Stay:
    """Hands off no requests: each waits at the owner of its flow.

    Parameters
    ----------
    mover : Mover
        The handoffs of one side process.
    """

    def __init__(self, mover: Mover) -> None:
        self.mover = mover
        self.core = mover.core

    def consider(self, request: Request) -> None:
        """Do nothing."""

    def on_ask(self, peer: Member, message: BacklogAsk) -> None:
        """Answer how long a new request would wait here."""
        self.mover.send_backlog_tell(peer, message.key, self.core.admission.wait_ms())

    def on_tell(self, peer: Member, message: BacklogTell) -> None:
        """Do nothing."""

    def on_declined(self, sender: str) -> None:
        """Do nothing: no slot was offered."""

    def on_handoff(self, sender: str) -> None:
        """Do nothing: no slot was offered."""

    def on_dispatched(self) -> None:
        """Do nothing: slots are not offered."""


@handoff_policies.register("ask-two")
class AskTwo(Stay):
    """Hands off a request that has to wait to the less loaded of two peers [1]_."""

    def consider(self, request: Request) -> None:
        """Ask up to two peers for backlogs, once per attempt, if no slot is free."""
        if request.move_attempts or self.core.admission.has_free_slot:
            return
        request.stage = Stage.ASKING
        self.mover.query_backlogs(request, ASKED_PEERS)
        self.core.timers.add(
            self.core.now + QUERY_TIMEOUT_MS, lambda now: self.decide(request)
        )

    def on_tell(self, peer: Member, message: BacklogTell) -> None:
        """Store a peer's backlog; decide after two answers, else a timer decides."""
        request = self.core.requests.get(message.key)
        if request is None or request.stage is not Stage.ASKING:
            return
        request.offers[peer.id] = message.wait_ms
        if len(request.offers) == ASKED_PEERS:
            self.decide(request)

    def decide(self, request: Request) -> None:
        """Hand a request off to the less loaded peer if that saves time."""
        if request.stage is not Stage.ASKING or request.key not in self.core.requests:
            return
        request.stage = Stage.WAITING
        request.move_attempts += 1
        if request.offers and self.core.dispatcher.may_start(request):
            best = min(request.offers, key=lambda name: request.offers[name])
            peer = self.core.membership.peer(best)
            saved = self.core.admission.wait_ms() - request.offers[best]
            if peer is not None and saved > MIN_SAVING_MS:
                self.mover.hand_off(request, peer)
                return
        self.core.dispatcher.dispatch_waiting()
