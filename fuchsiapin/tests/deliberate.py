"""Faults to inject into the cores, to show that the scenarios detect them."""

from dataclasses import replace
from typing import Any

from fuchsiapin.coap.balancercore import BalancerCore
from fuchsiapin.coap.dispatching import Dispatcher
from fuchsiapin.coap.membership import Membership
from fuchsiapin.coap.ownership import FlowAuthority, Ownership
from fuchsiapin.coap.sidecore import SideCore
from fuchsiapin.coap.upstream import UpstreamLink
from fuchsiapin.messages import (
    CallerDatagram,
    Member,
    PeerMessage,
    SendPeer,
)
from fuchsiapin.replicas import Replica, Replicas, pack_value
from fuchsiapin.views import Placement, ViewHistory

__all__ = [
    "adopt_any_view",
    "answer_any_claim",
    "find_any_side",
    "forward_elsewhere",
    "put_any_version",
    "refuse_unrecorded",
    "apply_any_balancer_configuration",
    "apply_any_members",
    "apply_any_side_configuration",
    "start_unrecorded",
    "stay_live",
    "take_any_service",
    "use_equal_tokens",
]


def start_unrecorded(self: Dispatcher, request: Any) -> bool:
    """Allow a request to start before the witness has stored its record."""
    authority = self.core.ownership.flow_authority(request.flow, self.core.now)
    return authority is FlowAuthority.READY


def answer_any_claim(self: Ownership, now: int, claimer: Member, claim: Any) -> None:
    """Answer a claim whatever its view and incarnation."""
    answer = self.make_claim_answer(claimer, claim)
    self.effects.append(SendPeer(claimer.host, claimer.port, answer))


def refuse_unrecorded(self: Dispatcher, request: Any) -> None:
    """Answer "not run" before the witness has stored the refusal."""
    if request.refusal_reason:
        self.refuse(request)
    else:
        RECORD_DECISION(self, request)


def adopt_any_view(self: ViewHistory, membership: Any) -> bool:
    """Adopt any view, even an older one."""
    views = [*membership.history, membership.view]
    self.placements = [Placement(view) for view in views]
    return True


def apply_any_members(self: BalancerCore, event: Any) -> None:
    """Adopt any view at a balancer."""
    for service in list(self.views):
        if event.key == f"members/{service}":
            del self.views[service]
    APPLY_MEMBERS(self, event)


def apply_any_side_configuration(self: SideCore, config: Any) -> None:
    """Apply any configuration at a side process, even an older one."""
    self.config = None
    APPLY_CONFIGURATION(self, config)


def apply_any_balancer_configuration(self: BalancerCore, event: Any) -> None:
    """Apply any configuration at a balancer, even an older one."""
    if event.key.startswith("config/"):
        self.config = None
    APPLY_OBJECT(self, event)


def put_any_version(self: Replicas, key: str, version: int, value: bytes) -> bool:
    """Store any version of an object, even an older one."""
    self.by_key[key] = Replica(version, pack_value(value), version)
    return True


def take_any_service(self: SideCore, event: PeerMessage) -> None:
    """Handle messages of any service."""
    handler = self.message_handlers.get(type(event.message))
    if not self.relay.receive(self.now, event.sender, event.message) and handler:
        handler(event.sender, event.message)


def forward_elsewhere(self: BalancerCore, event: CallerDatagram) -> None:
    """Forward all callers' datagrams to the service `intake`."""
    FORWARD(self, replace(event, service="intake"))


def find_any_side(self: BalancerCore, service: str, name: str) -> Member | None:
    """Accept a side process of any service as a member of the named service."""
    found = (FIND_SIDE(self, known, name) for known in self.views)
    return next((member for member in found if member), None)


def use_equal_tokens(self: UpstreamLink, *args: Any) -> None:
    """Use a constant token prefix, so that tokens repeat after a restart."""
    MAKE_LINK(self, *args)
    self.token_prefix = bytes(4)


def stay_live(self: Membership, now: int, state: str) -> None:
    """Never change the member's state, so that a silent upstream keeps its flows."""


# Originals, bound before the scenarios patch the classes.
FIND_SIDE = BalancerCore.find_side
RECORD_DECISION = Dispatcher.record_decision
APPLY_MEMBERS = BalancerCore.apply_members
APPLY_CONFIGURATION = SideCore.apply_configuration
APPLY_OBJECT = BalancerCore.apply_known_object
FORWARD = BalancerCore.on_caller_datagram
MAKE_LINK = UpstreamLink.__init__
