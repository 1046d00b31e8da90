"""Interface of the core of a side process to its parts.

The parts depend only on this interface, which avoids circular imports: the core
imports its parts, and no part imports the core.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from fuchsiapin.coap.admission import Admission
    from fuchsiapin.coap.flowstore import FlowStore
    from fuchsiapin.coap.membership import Membership
    from fuchsiapin.coap.observing import Observations
    from fuchsiapin.coap.ownership import Ownership
    from fuchsiapin.coap.recordtable import RecordTable
    from fuchsiapin.coap.requests import Request
    from fuchsiapin.coap.tenants import Tenants
    from fuchsiapin.coap.upstream import UpstreamLink
    from fuchsiapin.messages import Member
    from fuchsiapin.timers import Timers

__all__ = ["SideParts"]


class SideParts(Protocol):
    """Interface of the core of a side process that its parts use.

    Attributes
    ----------
    now : int
        Time of the event that is handled, in ms.
    effects : list
        Effects of the event so far.
    requests : dict
        Open requests by their key.
    last_balancers : OrderedDict
        Name of the balancer that the last datagram came from, by flow key.
    answers, dispatcher, recorder, mover, retrier, transfers, observation_manager
        Parts whose modules import this one; typed as `Any`.
    """

    now: int
    effects: list[Any]
    service: str
    deadline_ms: int
    rng: random.Random
    timers: Timers
    requests: dict[bytes, Request]
    last_balancers: OrderedDict[bytes, str]
    admission: Admission
    flow_store: FlowStore
    link: UpstreamLink
    membership: Membership
    observations: Observations
    ownership: Ownership
    table: RecordTable
    tenants: Tenants
    answers: Any
    dispatcher: Any
    mover: Any
    recorder: Any
    retrier: Any
    transfers: Any
    observation_manager: Any

    def report(self, number: int, **fields: Any) -> None:
        """Add a numbered event for log and metrics."""

    def allocate_message_id(self) -> int:
        """Return the next CoAP message ID for messages to callers."""

    def send_to_caller(self, host: str, port: int, datagram: bytes) -> None:
        """Send a datagram through the balancer that last forwarded the flow."""

    def forward_to_owner(
        self, owner: Member, host: str, port: int, payload: bytes, balancer: str = ""
    ) -> None:
        """Forward a datagram to the owner of its flow; it is not forwarded again."""
