"""Handoffs of requests to peers that have a free slot (late binding).

The owner of a request that has to wait places reservations at some peers. A peer
with an idle slot offers it to its oldest reservation; the owner then hands off that
request or, if it can no longer be handed off, the next one in its queue that can. A
slot is also offered shortly before it is free, and to a request that has waited much
longer than the local ones.

References
----------
.. [1] K. Ousterhout, P. Wendell, M. Zaharia, I. Stoica, "Sparrow: distributed,
   low latency scheduling", SOSP 2013 (late binding).
"""

from dataclasses import dataclass

from fuchsiapin.coap.handoffs import Mover
from fuchsiapin.coap.requests import Request
from fuchsiapin.messages import BacklogAsk, BacklogTell, Member, OfferDeclined, SendPeer
from fuchsiapin.policy import handoff_policies

__all__ = ["Reserve"]

ASKED_PEERS = 6
MAX_RESERVATIONS = 512
"""Bound on the reservations of peers stored here."""
OFFER_TIMEOUT_MS = 40
"""An offered slot is available again after this time without an answer."""
PREFETCH_RESERVATIONS = 16
"""With at least this many reservations, one slot is offered before it is free."""
OVERTAKE_MARGIN_MS = 160
"""A peer's request overtakes local ones that were received this much later."""


@dataclass(frozen=True)
class Reservation:
    """A request that waits at a peer and may run here."""

    peer: str
    key: bytes


@dataclass(frozen=True)
class Offer:
    """A slot that was offered to a peer.

    Parameters
    ----------
    due : int
        When the offer expires.
    reservation : Reservation
        The reservation that it was made for.
    is_spare : bool
        Whether the slot was idle or prefetched; else a peer's older request overtakes
        local ones.
    """

    due: int
    reservation: Reservation
    is_spare: bool


@handoff_policies.register("reserve")
class Reserve:
    """Idle peers pull the requests that wait elsewhere [1]_.

    Parameters
    ----------
    mover : Mover
        The handoffs of one side process.

    Attributes
    ----------
    reservations : dict
        Time of arrival of each reservation, oldest first.
    open_offers : dict
        Open offer to each peer, by name.
    """

    def __init__(self, mover: Mover) -> None:
        self.mover = mover
        self.core = mover.core
        self.reservations: dict[Reservation, int] = {}
        self.open_offers: dict[str, Offer] = {}

    # As the owner

    def consider(self, request: Request) -> None:
        """Place reservations for a request at peers, or use the slot of one."""
        if not request.move_attempts and self.has_to_wait():
            request.move_attempts = self.mover.query_backlogs(request, ASKED_PEERS)
        if request.offers and self.core.dispatcher.may_start(request):
            self.use_offer(request, next(iter(request.offers)))

    def has_to_wait(self) -> bool:
        """Return whether there are more requests than slots."""
        admission = self.core.admission
        return (
            len(admission.running) + len(admission.queue) > admission.concurrency_limit
        )

    def use_offer(self, request: Request, name: str) -> None:
        """Hand a request off to a peer that offered a slot."""
        request.offers.clear()
        peer = self.core.membership.peer(name)
        if peer is not None:
            self.mover.hand_off(request, peer)

    def on_tell(self, peer: Member, message: BacklogTell) -> None:
        """Hand a request off to a peer that offers a slot, or decline the offer.

        The offer for a request that may not start yet is stored in the request.
        """
        request = self.find_waiting(message.key, message.wait_ms)
        if request is None:
            declined = OfferDeclined(self.core.service, message.key)
            self.core.effects.append(SendPeer(peer.host, peer.port, declined))
        elif self.core.dispatcher.may_start(request):
            self.use_offer(request, peer.id)
        else:
            request.offers[peer.id] = 0

    def find_waiting(self, key: bytes, min_wait_ms: int) -> Request | None:
        """Return the requested request, or the next one that may be handed off."""
        if not self.has_to_wait():
            return None
        requested = self.core.requests.get(key)
        for request in [requested, *self.core.admission.in_turn()]:
            if request is not None and self.is_free_to_move(request):
                waited = self.core.now - request.received_at
                return request if waited >= min_wait_ms else None
        return None

    def is_free_to_move(self, request: Request) -> bool:
        """Return whether a request may be handed off and has no offer yet."""
        return self.mover.may_move(request) and not request.offers

    # As the peer with reservations

    def on_ask(self, peer: Member, message: BacklogAsk) -> None:
        """Store a reservation until there is a slot."""
        if len(self.reservations) < MAX_RESERVATIONS:
            self.reservations[Reservation(peer.id, message.key)] = self.core.now
        self.on_dispatched()

    def on_dispatched(self) -> None:
        """Offer slots to the oldest reservations."""
        while self.reservations:
            is_spare = self.has_spare_slot()
            age = 0 if is_spare else self.min_age_to_overtake()
            if age is None:
                return
            self.offer_slot(next(iter(self.reservations)), is_spare, age)

    def offer_slot(self, reservation: Reservation, is_spare: bool, age: int) -> None:
        """Offer a slot to a peer for a request that has waited at least `age` ms.

        The message holds this minimum in its field `wait_ms`.
        """
        del self.reservations[reservation]
        peer = self.core.membership.peer(reservation.peer)
        if peer is not None:
            due = self.core.now + OFFER_TIMEOUT_MS
            self.open_offers[peer.id] = Offer(due, reservation, is_spare)
            self.mover.send_backlog_tell(peer, reservation.key, age)
            self.core.timers.add(due, self.expire_offers)

    def has_spare_slot(self) -> bool:
        """Return whether a slot is idle or prefetched, not needed here or offered."""
        admission = self.core.admission
        taken = len(admission.running) + len(admission.queue) + len(self.open_offers)
        is_live = self.core.membership.me.state == "live"
        return is_live and taken < admission.concurrency_limit + self.prefetched_slots()

    def prefetched_slots(self) -> int:
        """Return how many slots are offered before they are free.

        A slot would be idle during the round trip to the owner. When there are
        many reservations, one request is therefore prefetched.
        """
        admission = self.core.admission
        should_prefetch = (
            len(self.reservations) >= PREFETCH_RESERVATIONS and not admission.queue
        )
        return 1 if should_prefetch and admission.concurrency_limit else 0

    def min_age_to_overtake(self) -> int | None:
        """Return how long a peer's request must have waited to overtake local ones.

        Returns
        -------
        int or None
            Milliseconds; None if no reservation may overtake: no local request is
            queued, all slots are offered, or the oldest reservation is too recent.
        """
        if len(self.open_offers) >= self.core.admission.concurrency_limit:
            return None
        local = [r.received_at for r in self.core.admission.queue if not r.origin]
        if not local:
            return None
        age = self.core.now - min(local) + OVERTAKE_MARGIN_MS
        oldest = next(iter(self.reservations.values()))
        return age if self.core.now - oldest > age else None

    def expire_offers(self, now: int) -> None:
        """Discard offers that were not answered in time."""
        self.open_offers = {
            name: offer for name, offer in self.open_offers.items() if offer.due > now
        }
        self.on_dispatched()

    def on_handoff(self, sender: str) -> None:
        """Remove the offer that a peer has used."""
        self.open_offers.pop(sender, None)

    def on_declined(self, sender: str) -> None:
        """Remove the offer, and the reservations of a peer that declined a spare slot.

        No request waits there any more. A peer may decline an overtaking offer just
        because its requests have not waited long enough.
        """
        offer = self.open_offers.pop(sender, None)
        if offer is not None and offer.is_spare:
            for reservation in [
                item for item in self.reservations if item.peer == sender
            ]:
                del self.reservations[reservation]
        self.on_dispatched()
