"""Questions to other balancers about a flow that no member seems to hold."""

from fuchsiapin.flows.packets import Packet
from fuchsiapin.lightclasses import dataclass, replace

__all__ = ["Inquiry"]


@dataclass(frozen=True)
class Inquiry:
    """A question to other balancers about a flow, and their answers so far.

    Parameters
    ----------
    packet : Packet
        A packet of the flow.
    denials : int
        Members that denied the flow before the question.
    asked_hosts : frozenset of str
        Addresses of the balancers that were asked.
    confirming_hosts : frozenset of str
        Those of them that answered that they know no more than this balancer.
    """

    packet: Packet
    denials: int
    asked_hosts: frozenset[str]
    confirming_hosts: frozenset[str] = frozenset()

    def confirm(self, host: str) -> "Inquiry":
        """Return the inquiry with the confirmation of one balancer."""
        return replace(
            self, confirming_hosts=self.confirming_hosts | self.asked_hosts & {host}
        )

    @property
    def unconfirmed_hosts(self) -> frozenset[str]:
        """Return the addresses of the balancers that haven't confirmed it yet."""
        return self.asked_hosts - self.confirming_hosts

    @property
    def is_confirmed_by_most(self) -> bool:
        """Return whether more than half of the asked balancers confirmed it."""
        return 2 * len(self.confirming_hosts) > len(self.asked_hosts)
