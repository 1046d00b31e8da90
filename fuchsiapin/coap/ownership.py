"""Decides which flows a side process may act for: claims, fencing and witnesses.

Each view assigns every flow an owner and a witness, which replicates the owner's
state [1]_. A side process acts as the owner in view v only after the owner or the
witness of each earlier view that may have been active has answered its claim, and
after its witness of view v has stored the collected state. A side process that
answers a claim of view v promises never to act in an earlier view.

References
----------
.. [1] L. Lamport, D. Malkhi, L. Zhou, "Vertical Paxos and primary-backup
   replication", PODC 2009.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum
from typing import Protocol

from fuchsiapin.coap.datagrams import EXCHANGE_LIFETIME_MS
from fuchsiapin.messages import (
    Claim,
    ClaimAnswer,
    Install,
    Installed,
    Member,
    ObjectWanted,
    Observation,
    Pairing,
    Record,
    SendPeer,
    ServiceMembership,
    UncertainRange,
    Upload,
    View,
)
from fuchsiapin.ranking import incarnation_key, member_key
from fuchsiapin.timers import Timers
from fuchsiapin.views import Placement, ViewHistory, pair_of

__all__ = ["Ownership", "FlowAuthority", "TransferableState"]

RESEND_MS = 150
"""Retransmission interval of claims and installs."""
CLAIM_TIMEOUT_MS = 2_000
"""Timeout of a claim to a member of the newest view."""
REMOVED_CLAIM_TIMEOUT_MS = 500
"""Timeout of a claim to a member that was removed."""
NO_WITNESS = ""
"""Member id in place of the witness in a view with a single live member."""


class FlowAuthority(Enum):
    """Whether a side process may act for a flow, and which requests it may run."""

    FOREIGN = "foreign"
    """Another side process owns the flow: its requests are forwarded."""
    SETTLING = "settling"
    """Answers of earlier owners and witnesses are outstanding: its requests wait."""
    UNWITNESSED = "unwitnessed"
    """The witness hasn't stored the flow yet: only idempotent requests run."""
    UNCERTAIN = "uncertain"
    """Records may be lost, so a request may be a retransmission of one that ran.

    Only idempotent requests run.
    """
    READY = "ready"
    """All requests run."""


class TransferableState(Protocol):
    """State of flows that is transferred when their owner changes."""

    def records(self) -> Iterable[Record]:
        """Return all records except those withdrawn before they could run."""

    def observations(self) -> Iterable[Observation]:
        """Return all observations.

        These include copies held as the witness, and those whose flows have another
        owner now.
        """

    def uploads(self) -> Iterable[Upload]:
        """Return the block-wise transfers in progress."""

    def put_record(self, record: Record) -> None:
        """Store a record."""

    def drop_record(self, key: bytes) -> None:
        """Delete a record that its owner withdrew."""

    def store_observation(self, observation: Observation) -> None:
        """Store an observation."""

    def drop_observation(self, observation: Observation) -> None:
        """Delete an observation that its owner closed."""

    def put_upload(self, upload: Upload) -> None:
        """Store a block-wise transfer."""

    def flow_of(self, item: Record | Observation | Upload) -> bytes:
        """Return the flow key of an item."""


class Ownership:
    """Ownership of flows by one side process in each view.

    Parameters
    ----------
    service : str
        Service of the side process.
    member : str
        Member id of the process.
    incarnation : int
        Start time of the process in ms.
    state : TransferableState
        Flow state of the process.
    timers : Timers
        Timers of the core.
    effects : list
        Effects of the core.
    on_progress : callable
        Called with the current time when flows may have become ready.

    Attributes
    ----------
    incarnations : set of int
        All incarnations of this process, including those before it was removed
        and joined again.
    owned, witnessed : set of tuple
        Pairs of view number and peer for which this process was active as the
        owner with that peer as its witness, or as the witness of that peer.
    uncertain : list of UncertainRange
        Flows whose records may be lost.
    pending_claims : dict
        Members whose answer to the current claim is outstanding, by member key.
    answers : dict
        Answers to the current claim, by member key.
    pending_installs : dict
        Witnesses that have not confirmed the current install, by member id.
    is_settled : bool
        Whether the current claim is complete.
    active : int
        Newest view in which all witnesses hold the flows of this process.
    """

    def __init__(
        self,
        service: str,
        member: str,
        incarnation: int,
        state: TransferableState,
        timers: Timers,
        effects: list,
        on_progress: Callable[[int], None],
    ) -> None:
        self.service = service
        self.member = member
        self.incarnation = incarnation
        self.incarnations = {incarnation}
        self.state = state
        self.timers = timers
        self.effects = effects
        self.on_progress = on_progress
        self.history = ViewHistory()
        self.owned: set[tuple[int, str]] = set()
        self.witnessed: set[tuple[int, str]] = set()
        self.uncertain: list[UncertainRange] = []
        self.pending_claims: dict[str, Member] = {}
        self.answers: dict[str, ClaimAnswer] = {}
        self.pending_installs: dict[str, Member] = {}
        self.is_settled = False
        self.active = 0

    @property
    def view(self) -> int:
        """Number of the newest view, the only one to act in; 0 if there is none."""
        return self.history.number

    def pair(self, flow: bytes) -> tuple[Member | None, Member | None]:
        """Return the owner and the witness of a flow in the newest view."""
        newest = self.history.newest
        return newest.pair(flow) if newest else (None, None)

    def is_self(self, member: Member | None) -> bool:
        """Return whether a member is this process or an earlier incarnation of it."""
        return (
            member is not None
            and member.id == self.member
            and member.incarnation in self.incarnations
        )

    def add_incarnation(self, incarnation: int) -> None:
        """Continue as a new incarnation after a removal, keeping all state."""
        self.incarnation = incarnation
        self.incarnations.add(incarnation)

    # Adopting a view

    def adopt(self, now: int, membership: ServiceMembership) -> bool:
        """Apply a membership object; return whether its view is newer."""
        if not self.history.adopt(membership):
            return False
        oldest = self.history.placements[0].number
        self.owned = {pair for pair in self.owned if pair[0] >= oldest}
        self.witnessed = {pair for pair in self.witnessed if pair[0] >= oldest}
        self.uncertain = [item for item in self.uncertain if item.until > now]
        self.answers = {}
        self.pending_installs = {}
        self.is_settled = False
        self.pending_claims = self.find_claim_targets()
        self.send_claims(now, self.view)
        self.schedule_claim_timeouts(now)
        self.settle_if_complete(now)
        return True

    def find_claim_targets(self) -> dict[str, Member]:
        """Return the members that have to answer the claim, by member key.

        The claim for an earlier incarnation goes to the current address of
        the member: after a false removal it is the same process and kept its state.
        """
        newest = {member.id: member for member in self.history.members()}
        pending_claims = {}
        for placement in self.history.earlier():
            for member in placement.view.members:
                if member.state != "live" or member.id == self.member:
                    continue
                present = newest.get(member.id, member)
                pending_claims[member_key(member)] = replace(
                    member, host=present.host, port=present.port
                )
        return pending_claims

    def send_claims(self, now: int, view: int) -> None:
        """Send the claim to all pending members, and repeat it until there are none."""
        if view != self.view or not self.pending_claims:
            return
        for member in self.pending_claims.values():
            claim = Claim(self.service, view, member.incarnation)
            self.effects.append(SendPeer(member.host, member.port, claim))
        self.timers.add(now + RESEND_MS, lambda later: self.send_claims(later, view))

    def schedule_claim_timeouts(self, now: int) -> None:
        """Schedule the timeouts for members that don't answer the claim."""
        view = self.view
        present = {member_key(member) for member in self.history.members()}

        def time_out_removed(later: int) -> None:
            if view == self.view:
                for key in set(self.pending_claims) - present:
                    del self.pending_claims[key]
                self.settle_if_complete(later)

        def time_out_all(later: int) -> None:
            if view == self.view:
                self.pending_claims.clear()
                self.settle_if_complete(later)

        self.timers.add(now + REMOVED_CLAIM_TIMEOUT_MS, time_out_removed)
        self.timers.add(now + CLAIM_TIMEOUT_MS, time_out_all)

    # Answering claims

    def on_claim(self, now: int, claimer: Member, claim: Claim) -> None:
        """Answer a claim of the newest view, promising not to act in earlier ones.

        A claim of a newer view is not answered: the view is requested instead,
        and the claimer repeats the claim.
        """
        if claim.view > self.view:
            self.request_view(claimer)
            return
        if claim.view < self.view or self.history.newest is None:
            return
        is_known = claim.incarnation in self.incarnations
        answer = (
            self.make_claim_answer(claimer, claim)
            if is_known
            else self.empty_answer(claim)
        )
        self.effects.append(SendPeer(claimer.host, claimer.port, answer))

    def request_view(self, member: Member) -> None:
        """Request the membership object from a member."""
        wanted = ObjectWanted(f"members/{self.service}", 0)
        self.effects.append(SendPeer(member.host, member.port, wanted))

    def empty_answer(self, claim: Claim) -> ClaimAnswer:
        """Return the answer to a claim for an incarnation that isn't this process."""
        return ClaimAnswer(
            self.service, claim.view, claim.incarnation, False, [], [], [], [], [], []
        )

    def make_claim_answer(self, claimer: Member, claim: Claim) -> ClaimAnswer:
        """Return the state of the flows that the claimer owns in the newest view."""

        def is_claimed(item: Record | Observation | Upload) -> bool:
            owner, _ = self.pair(self.state.flow_of(item))
            return owner is not None and owner.id == claimer.id

        return ClaimAnswer(
            service=self.service,
            view=claim.view,
            incarnation=claim.incarnation,
            is_known=True,
            owned=[Pairing(*pair) for pair in sorted(self.owned)],
            witnessed=[Pairing(*pair) for pair in sorted(self.witnessed)],
            records=[item for item in self.state.records() if is_claimed(item)],
            observations=[
                item for item in self.state.observations() if is_claimed(item)
            ],
            uploads=[item for item in self.state.uploads() if is_claimed(item)],
            uncertain=self.uncertain,
        )

    # Completing a claim

    def on_claim_answer(self, now: int, sender: str, answer: ClaimAnswer) -> None:
        """Store the answer to a claim."""
        if answer.view != self.view or self.is_settled:
            return
        key = incarnation_key(sender, answer.incarnation)
        if self.pending_claims.pop(key, None) is None:
            return
        if answer.is_known:
            self.answers[key] = answer
        self.settle_if_complete(now)

    def settle_if_complete(self, now: int) -> None:
        """Take over the flows once no answer is outstanding."""
        if self.is_settled or self.pending_claims:
            return
        self.is_settled = True
        self.merge_answers()
        self.mark_uncertain(now)
        self.start_installs(now)
        self.on_progress(now)

    def authoritative_member(self, flow: bytes) -> str | None:
        """Return the member whose answer is authoritative for a flow.

        Returns
        -------
        str or None
            The member key of the newest earlier owner that was active, or of
            its witness; empty when there was none; None when neither answered, or
            when there was none but the history is cut.
        """
        for placement in self.history.earlier():
            owner, witness = placement.pair(flow)
            if owner is None:
                continue
            peer = witness.id if witness else NO_WITNESS
            if self.has_answered(owner):
                if (placement.number, peer) in self.pairings(owner, "owned"):
                    return member_key(owner)
            elif witness is not None and self.has_answered(witness):
                if (placement.number, owner.id) in self.pairings(witness, "witnessed"):
                    return member_key(witness)
            else:
                return None
        return None if self.history.is_cut else ""

    def has_answered(self, member: Member) -> bool:
        """Return whether a member has answered the claim or is this process."""
        return self.is_self(member) or member_key(member) in self.answers

    def pairings(self, member: Member, role: str) -> set[tuple[int, str]]:
        """Return the views in which a member was active in a role, with its peers."""
        if self.is_self(member):
            return self.owned if role == "owned" else self.witnessed
        answer = self.answers[member_key(member)]
        pairs = answer.owned if role == "owned" else answer.witnessed
        return {(pair.view, pair.peer) for pair in pairs}

    def merge_answers(self) -> None:
        """Store the state from each answer for the flows it is authoritative for."""
        self.drop_withdrawn()
        for key, answer in self.answers.items():
            for record in answer.records:
                if self.authoritative_member(self.state.flow_of(record)) == key:
                    self.state.put_record(record)
            for observation in answer.observations:
                if self.authoritative_member(self.state.flow_of(observation)) == key:
                    self.state.store_observation(observation)
            for upload in answer.uploads:
                if self.authoritative_member(self.state.flow_of(upload)) == key:
                    self.state.put_upload(upload)
            self.merge_uncertain(answer.uncertain)

    def drop_withdrawn(self) -> None:
        """Delete the items that the authoritative member no longer has."""
        self.drop_withdrawn_intents()
        self.drop_closed_observations()

    def drop_withdrawn_intents(self) -> None:
        """Delete intents that were withdrawn before they could run.

        The authoritative member no longer has them.
        """
        for record in list(self.state.records()):
            flow = self.state.flow_of(record)
            if record.state != "intent" or not self.is_self(self.pair(flow)[0]):
                continue
            answer = self.answers.get(self.authoritative_member(flow) or "")
            if answer is not None and not any(
                item.key == record.key for item in answer.records
            ):
                self.state.drop_record(record.key)

    def drop_closed_observations(self) -> None:
        """Delete observations that were closed at their last owner."""
        for observation in list(self.state.observations()):
            flow = self.state.flow_of(observation)
            if not self.is_self(self.pair(flow)[0]):
                continue
            answer = self.answers.get(self.authoritative_member(flow) or "")
            if answer is not None and not any(
                is_same_observation(item, observation) for item in answer.observations
            ):
                self.state.drop_observation(observation)

    def mark_uncertain(self, now: int) -> None:
        """Store the ranges of flows whose owner and witness both failed to answer.

        The search ends at the newest earlier view that was active for every flow:
        the owners of that view had collected the state of all views before it.
        A process outside of the newest view owns nothing, and its claims are not
        answered, so it stores no ranges.
        """
        if not any(self.is_self(member) for member in self.history.members()):
            return
        until = now + EXCHANGE_LIFETIME_MS
        for placement in self.history.earlier():
            live = [m for m in placement.view.members if m.state == "live"]
            lost = [member.id for member in live if not self.has_answered(member)]
            if len(lost) >= min(2, len(live)) and lost:
                view = View(placement.number, live)
                self.merge_uncertain([UncertainRange(view, lost, until)])
            if self.was_active_for_all(placement.number, live):
                return
        if self.history.is_cut:
            self.mark_all_uncertain(until)

    def mark_all_uncertain(self, until: int) -> None:
        """Store a range of all flows, because the history leaves out views."""
        live = [member for member in self.history.members() if member.state == "live"]
        lost = [member.id for member in live]
        self.merge_uncertain([UncertainRange(View(self.view, live), lost, until)])

    def was_active_for_all(self, view: int, live: list[Member]) -> bool:
        """Return whether all pairs of a view are known to have been active."""
        if len(live) == 1:
            [only] = live
            return self.has_answered(only) and (view, NO_WITNESS) in self.pairings(
                only, "owned"
            )
        return bool(live) and all(
            self.was_pair_active(view, owner, witness)
            for owner in live
            for witness in live
            if owner is not witness
        )

    def was_pair_active(self, view: int, owner: Member, witness: Member) -> bool:
        """Return whether an owner, or else its witness, reports the pair as active."""
        if self.has_answered(owner):
            return (view, witness.id) in self.pairings(owner, "owned")
        if self.has_answered(witness):
            return (view, owner.id) in self.pairings(witness, "witnessed")
        return False

    # Installing flows at the witnesses

    def start_installs(self, now: int) -> None:
        """Start to replicate the flows to their witnesses."""
        live = [m for m in self.history.members() if m.state == "live"]
        if not any(self.is_self(member) for member in live):
            # It owns no flows to replicate.
            self.active = self.view
            return
        others = [member for member in live if not self.is_self(member)]
        if not others:
            self.owned.add((self.view, NO_WITNESS))
        self.pending_installs = {member.id: member for member in others}
        self.send_installs(now, self.view)
        self.update_active()

    def send_installs(self, now: int, view: int) -> None:
        """Send the witnesses the state that they lack, until all have confirmed."""
        if view != self.view or not self.pending_installs:
            return
        for witness in self.pending_installs.values():
            self.effects.append(
                SendPeer(witness.host, witness.port, self.make_install(witness))
            )
        self.timers.add(now + RESEND_MS, lambda later: self.send_installs(later, view))

    def make_install(self, witness: Member) -> Install:
        """Return the state that a witness has to store in the newest view."""
        earlier = self.history.earlier()
        before = earlier[0] if earlier else None

        def is_lacking(item: Record | Observation) -> bool:
            flow = self.state.flow_of(item)
            owner, flow_witness = self.pair(flow)
            if (
                not self.is_self(owner)
                or flow_witness is None
                or flow_witness.id != witness.id
            ):
                return False
            return not self.was_installed(before, flow, witness)

        return Install(
            service=self.service,
            view=self.view,
            records=[item for item in self.state.records() if is_lacking(item)],
            observations=[
                item for item in self.state.observations() if is_lacking(item)
            ],
            uncertain=self.uncertain,
        )

    def was_installed(
        self, before: Placement | None, flow: bytes, witness: Member
    ) -> bool:
        """Return whether a witness stored this process's flow in the previous view."""
        if before is None or (before.number, witness.id) not in self.owned:
            return False
        owner, flow_witness = before.pair(flow)
        return (
            self.is_self(owner)
            and flow_witness is not None
            and member_key(flow_witness) == member_key(witness)
        )

    def on_install(self, now: int, owner: Member, install: Install) -> None:
        """Store an owner's flows as its witness."""
        if install.view > self.view:
            self.request_view(owner)
            return
        is_current = install.view == self.view
        if is_current:
            self.store_install(install)
            self.witnessed.add((install.view, owner.id))
        answer = Installed(self.service, install.view, is_current)
        self.effects.append(SendPeer(owner.host, owner.port, answer))

    def store_install(self, install: Install) -> None:
        """Store the state in an install."""
        for record in install.records:
            self.state.put_record(record)
        for observation in install.observations:
            self.state.store_observation(observation)
        self.merge_uncertain(install.uncertain)

    def merge_uncertain(self, ranges: Iterable[UncertainRange]) -> None:
        """Merge uncertain ranges; duplicates keep the latest expiry."""
        merged = {(item.view.number, *item.lost): item for item in self.uncertain}
        for item in ranges:
            key = (item.view.number, *item.lost)
            if key not in merged or merged[key].until < item.until:
                merged[key] = item
        self.uncertain = list(merged.values())

    def on_installed(self, now: int, sender: str, answer: Installed) -> None:
        """Mark the install at a witness as complete."""
        if answer.view != self.view or not answer.ok:
            return
        if self.pending_installs.pop(sender, None) is None:
            return
        self.owned.add((answer.view, sender))
        self.update_active()
        self.on_progress(now)

    def update_active(self) -> None:
        """Mark the newest view as active once all its witnesses hold the flows."""
        if self.is_settled and not self.pending_installs:
            self.active = self.view

    # Authority over flows

    def is_witness_for(self, view: int, owner: str) -> bool:
        """Return whether a view is the newest and this process is the witness in it."""
        return view == self.view and (view, owner) in self.witnessed

    def flow_authority(self, flow: bytes, now: int) -> FlowAuthority:
        """Return whether and how this process may act for a flow."""
        owner, witness = self.pair(flow)
        if not self.is_self(owner):
            return FlowAuthority.FOREIGN
        if not self.is_settled:
            return FlowAuthority.SETTLING
        peer = witness.id if witness else NO_WITNESS
        if (self.view, peer) not in self.owned:
            return FlowAuthority.UNWITNESSED
        if self.is_uncertain(flow, now):
            return FlowAuthority.UNCERTAIN
        return FlowAuthority.READY

    def is_uncertain(self, flow: bytes, now: int) -> bool:
        """Return whether records of a flow may be lost."""
        return any(item.until > now and covers(item, flow) for item in self.uncertain)


def is_same_observation(one: Observation, other: Observation) -> bool:
    """Return whether two observations have the same caller and token."""
    return (one.host, one.port, one.token) == (other.host, other.port, other.token)


def covers(item: UncertainRange, flow: bytes) -> bool:
    """Return whether a flow's owner and witness are both among the lost members."""
    owner, witness = pair_of(flow, item.view.members)
    if owner is None or owner.id not in item.lost:
        return False
    return witness is None or witness.id in item.lost
