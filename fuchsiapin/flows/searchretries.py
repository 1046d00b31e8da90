"""Repeated searches of a balancer that couldn't bring one to an end.

After a loss of power, or a restart, a balancer gets packets of flows that are lost
before it has heard another balancer, and while it still learns of members. No answer
then proves that a flow is open nowhere. Its caller retransmits after 0.2, 0.6 and 1.4 s
only, so the balancer itself searches again as soon as it knows more.
"""

from collections.abc import Callable

from fuchsiapin.flows.balancerstate import BalancerState
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.packets import Packet

__all__ = ["MAX_RETRIES", "RETRY_MS", "SearchRetries"]

RETRY_MS = 100
"""Time after which it is checked whether another search may end. Balancers that start
together hear one another within some digests, 0.4 s apart."""
MAX_RETRIES = 10
"""Number of checks after a packet; later its caller has sent the next one."""
MAX_FLOWS = 20_000
"""Maximum number of flows whose search is repeated."""


class SearchRetries:
    """Schedules another search for a flow.

    Parameters
    ----------
    state : BalancerState
        Other balancers known to this balancer.
    search : callable
        Takes the time and a packet, and searches for the holder of its flow.
    """

    def __init__(
        self, state: BalancerState, search: Callable[[int, Packet], None]
    ) -> None:
        self.state = state
        self.search = search
        self.checks = FlowCache(MAX_FLOWS, 2 * RETRY_MS)

    def schedule(self, now: int, packet: Packet) -> None:
        """Search again soon for the flow of a packet, `MAX_RETRIES` times at most."""
        checks = self.checks.get(packet.flow, now) or 0
        if checks >= MAX_RETRIES:
            return
        self.checks.expire(now)
        self.checks.put(packet.flow, checks + 1, now)
        self.state.timers.add(now + RETRY_MS, lambda later: self.check(later, packet))

    def schedule_for_new_members(self, now: int, packet: Packet, ids: set[str]) -> None:
        """Search again soon if members that weren't asked became known meanwhile.

        `ids` are those of the members that weren't asked. Others than new ones weren't,
        because they are suspect.
        """
        if any(not self.state.table.views[key].is_suspect(now) for key in ids):
            self.schedule(now, packet)

    def check(self, now: int, packet: Packet) -> None:
        """Search again if another balancer can be asked; check again later if not."""
        if self.state.balancers_to_ask(now) or self.state.is_alone():
            self.search(now, packet)
        else:
            self.schedule(now, packet)
