"""Searches for holders that some of the asked members don't answer."""

from collections.abc import Iterable

from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.searchstate import SearchStep

__all__ = ["UnansweredSearches"]

MAX_STEPS = 20_000
"""Maximum number of flows for which the asked members are remembered; about 1 KB each
where a service has a dozen members."""
STEP_MS = 3_000
"""How long the members that were asked for a flow are remembered; callers retransmit
at most 1.6 s apart."""
UNRESPONSIVE_MS = 1_000
"""How long a member that didn't answer in a search is asked after the others."""
SPLITS_MS = 100
MAX_SPLITS = 20
"""Most searches in `SPLITS_MS` that are continued without an answer, so that late
answers of all members don't add to what makes them late."""


class UnansweredSearches:
    """The latest step of the search for each flow, and members that don't answer.

    Attributes
    ----------
    unresponsive_hosts : dict
        Addresses of members that didn't answer though each was asked alone, and when
        that was found, in ms.
    """

    def __init__(self) -> None:
        self.steps = FlowCache(MAX_STEPS, STEP_MS)
        self.unresponsive_hosts: dict[str, int] = {}
        self.splits = 0
        self.splits_since = 0

    def remember(self, now: int, flow: bytes, step: SearchStep) -> None:
        """Remember which members were asked for a flow."""
        self.steps.expire(now)
        self.steps.put(flow, step, now)

    def forget(self, flow: bytes) -> None:
        """Forget a search that found the holder."""
        self.steps.remove(flow)

    def take_overdue(self, now: int, flow: bytes) -> SearchStep | None:
        """Return the step of a flow that members haven't answered, if it may go on.

        None is returned, too, after as many as may go on at a time.
        """
        step = self.steps.get(flow, now)
        if step is None or step.is_done or not step.waiting_hosts:
            return None
        if now - self.splits_since >= SPLITS_MS:
            self.splits_since, self.splits = now, 0
        if self.splits >= MAX_SPLITS:
            return None
        self.splits += 1
        return step

    def note_unresponsive(self, now: int, hosts: Iterable[str]) -> None:
        """Record that members didn't answer."""
        self.unresponsive_hosts.update(dict.fromkeys(hosts, now))

    def note_answers(self, hosts: Iterable[str]) -> None:
        """Record that members answered."""
        for host in hosts:
            self.unresponsive_hosts.pop(host, None)

    def is_unresponsive(self, now: int, host: str) -> bool:
        """Return whether a member didn't answer in a recent search."""
        since = self.unresponsive_hosts.get(host)
        return since is not None and now - since <= UNRESPONSIVE_MS
