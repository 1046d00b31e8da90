"""State of new flows at one balancer, until a member holds them or they are reset."""

from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.packets import Packet
from fuchsiapin.lightclasses import dataclass, field

__all__ = ["Opening", "PendingReset"]


@dataclass
class Opening:
    """A new flow, and the members that it was offered to.

    Attributes
    ----------
    host : str
        Address of the member that it was offered to last, empty for none.
    offered_at : int
        Time of that offer, or of the first packet, in ms.
    tried_hosts : list of str
        Addresses of all members that it was offered to.
    is_held : bool
        Whether a member reported that it holds the flow.
    retransmissions : int
        Opening packets of the flow received here after the first one.
    last_copies : dict
        Number of the latest copy of the opening packet that was sent to each member,
        by address.
    returned_by : list of str
        Addresses of members that returned the latest copy sent to them.
    saw_first : bool
        Whether this balancer received the first opening packet. Otherwise another
        balancer may have offered the flow to members that aren't in `tried_hosts`.
    early_returns : int
        Number of members that returned it early, -1 if one returned it for another
        reason.
    received_at : int
        When its first packet here was received, in ms.
    """

    host: str
    offered_at: int
    tried_hosts: list[str]
    is_held: bool = False
    retransmissions: int = 0
    last_copies: dict[str, int] = field(default_factory=dict)
    returned_by: list[str] = field(default_factory=list)
    saw_first: bool = False
    early_returns: int = 0
    received_at: int = 0

    def note_sent(self, host: str, packet: Packet) -> None:
        """Record that a copy of the opening packet was sent to a member."""
        # The acknowledgement number is the number of the copy.
        number = max(self.last_copies.get(host, 0), packet.acknowledged)
        self.last_copies[host] = number
        if host in self.returned_by:
            self.returned_by.remove(host)

    def note_returned(self, host: str, packet: Packet) -> None:
        """Record that a member returned a copy; it may have taken a later one."""
        if packet.acknowledged >= self.last_copies.get(host, 0):
            self.returned_by.append(host)

    @property
    def pending_hosts(self) -> list[str]:
        """Return the addresses of the members that may take the flow or have it."""
        return [host for host in self.tried_hosts if host not in self.returned_by]

    @property
    def cannot_be_open(self) -> bool:
        """Return whether the flow can't have opened at any member."""
        return self.saw_first and not self.is_held and not self.pending_hosts


@dataclass(frozen=True)
class PendingReset:
    """A flow that can't be served, as far as this balancer knows.

    It is reset unless another balancer knows more.

    Parameters
    ----------
    inquiry : Inquiry
        The question to the other balancers.
    reason : str
        Why it can't be served.
    asked_at : int
        When the question was sent last, in ms.
    """

    inquiry: Inquiry
    reason: str
    asked_at: int = 0
