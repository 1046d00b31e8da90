"""Moves of requests to peers that have a free slot (late binding).

The owner of a request that has to wait places reservations at some peers. A peer
with an idle slot offers it to its oldest reservation; the owner then hands off that
request, or the one that has waited longest if that request can no longer move.

References
----------
.. [1] K. Ousterhout, P. Wendell, M. Zaharia, I. Stoica, "Sparrow: distributed,
   low latency scheduling", SOSP 2013 (late binding).
"""

from dataclasses import dataclass

from fuchsiapin.coap.moving import Mover
from fuchsiapin.coap.requests import Request
from fuchsiapin.messages import BacklogAsk, BacklogTell, Member, OfferDeclined, SendPeer
from fuchsiapin.policy import movers

__all__ = ["Reserve"]

ASKED_PEERS = 6
MAX_RESERVATIONS = 512
"""Bound on the reservations of peers stored here."""
OFFER_MS = 40
"""An offered slot is available again after this time without an answer."""
CROWD = 16
"""Number of reservations from which a slot is offered before it is free."""
AHEAD_MS = 160
"""A peer's request overtakes local ones that were received this much later."""


@dataclass(frozen=True)
class Reservation:
    """A request that waits at a peer and may run here."""

    peer: str
    key: bytes


@dataclass(frozen=True)
class Offer:
    """A slot that was offered to a peer."""

    due: int
    reservation: Reservation
    is_spare: bool


@movers.register("reserve")
class Reserve:
    """Idle peers pull the requests that wait elsewhere [1]_.

    Parameters
    ----------
    mover : Mover
        The moves of one side process.

    Attributes
    ----------
    waiting : dict
        Time of arrival of each reservation, oldest first.
    offered : dict
        Open offer to each peer, by name.
    """

    def __init__(self, mover: Mover) -> None:
        self.mover = mover
        self.core = mover.core
        self.waiting: dict[Reservation, int] = {}
        self.offered: dict[str, Offer] = {}

    # As the owner

    def consider(self, request: Request) -> None:
        """Place reservations for a request at peers, or use the slot of one."""
        if not request.tries and self.has_to_wait():
            request.tries = self.mover.ask(request, ASKED_PEERS)
        if request.offers and self.core.dispatcher.may_start(request):
            self.use_offer(request, next(iter(request.offers)))

    def has_to_wait(self) -> bool:
        """Return whether there are more requests than slots."""
        admission = self.core.admission
        return len(admission.running) + len(admission.queue) > admission.limit

    def use_offer(self, request: Request, name: str) -> None:
        """Hand a request off to a peer that offered a slot."""
        request.offers.clear()
        peer = self.core.membership.peer(name)
        if peer is not None:
            self.mover.hand_off(request, peer)

    def on_tell(self, peer: Member, message: BacklogTell) -> None:
        """Hand a request off to a peer with a free slot, or decline its offer."""
        request = self.find_waiting(message.key, message.wait_ms)
        if request is None:
            declined = OfferDeclined(self.core.service, message.key)
            self.core.out.append(SendPeer(peer.host, peer.port, declined))
        elif self.core.dispatcher.may_start(request):
            self.use_offer(request, peer.id)
        else:
            request.offers[peer.id] = 0

    def find_waiting(self, key: bytes, age: int) -> Request | None:
        """Return the requested request, or the next one that may move."""
        if not self.has_to_wait():
            return None
        asked = self.core.requests.get(key)
        for request in [asked, *self.core.admission.in_turn()]:
            if request is not None and self.is_free_to_move(request):
                waited = self.core.now - request.received
                return request if waited >= age else None
        return None

    def is_free_to_move(self, request: Request) -> bool:
        """Return whether a request may move and has no offer yet."""
        return self.mover.may_move(request) and not request.offers

    # As the peer with reservations

    def on_ask(self, peer: Member, message: BacklogAsk) -> None:
        """Store a reservation until there is a slot."""
        if len(self.waiting) < MAX_RESERVATIONS:
            self.waiting[Reservation(peer.id, message.key)] = self.core.now
        self.on_pumped()

    def on_pumped(self) -> None:
        """Offer slots to the oldest reservations."""
        while self.waiting:
            is_spare = self.has_spare_slot()
            age = 0 if is_spare else self.age_ahead()
            if age is None:
                return
            self.offer(next(iter(self.waiting)), is_spare, age)

    def offer(self, reservation: Reservation, is_spare: bool, age: int) -> None:
        """Offer a slot to a peer for a request that has waited at least `age` ms."""
        del self.waiting[reservation]
        peer = self.core.membership.peer(reservation.peer)
        if peer is not None:
            due = self.core.now + OFFER_MS
            self.offered[peer.id] = Offer(due, reservation, is_spare)
            self.mover.tell(peer, reservation.key, age)
            self.core.timers.add(due, self.drop_late)

    def has_spare_slot(self) -> bool:
        """Return whether a slot is neither in use, nor needed here, nor offered."""
        admission = self.core.admission
        taken = len(admission.running) + len(admission.queue) + len(self.offered)
        is_live = self.core.membership.me.state == "live"
        return is_live and taken < admission.limit + self.early_offers()

    def early_offers(self) -> int:
        """Return how many slots are offered before they are free.

        A slot would be idle during the round trip to the owner. When there are
        many reservations, one request is therefore prefetched.
        """
        admission = self.core.admission
        is_crowded = len(self.waiting) >= CROWD and not admission.queue
        return 1 if is_crowded and admission.limit else 0

    def age_ahead(self) -> int | None:
        """Return how long a peer's request must have waited to overtake local ones.

        Returns
        -------
        int or None
            Milliseconds; None if the oldest reservation is not that old.
        """
        if len(self.offered) >= self.core.admission.limit:
            return None
        own = [r.received for r in self.core.admission.queue if not r.origin]
        if not own:
            return None
        age = self.core.now - min(own) + AHEAD_MS
        asked = next(iter(self.waiting.values()))
        return age if self.core.now - asked > age else None

    def drop_late(self, now: int) -> None:
        """Withdraw offers that were not answered in time."""
        self.offered = {
            name: offer for name, offer in self.offered.items() if offer.due > now
        }
        self.on_pumped()

    def on_handoff(self, sender: str) -> None:
        """Remove the offer that a peer has used."""
        self.offered.pop(sender, None)

    def on_declined(self, sender: str) -> None:
        """Remove the reservations of a peer at which no request waits any more."""
        offer = self.offered.pop(sender, None)
        if offer is not None and offer.is_spare:
            for reservation in [item for item in self.waiting if item.peer == sender]:
                del self.waiting[reservation]
        self.on_pumped()
