"""Parts of the simulated world: processes, links, clock and object store."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from fuchsiapin import messages
from fuchsiapin.coap.relaytree import Contact
from fuchsiapin.policy import Policy
from fuchsiapin.tests.standins.upstream import Upstream

__all__ = ["CallbackTransport", "Links", "Node", "Store", "WorldClock", "WorldOptions"]

REORDER_MS = 60.0
"""Additional delay of reordered datagrams."""
MAX_INBOX = 4_096
"""Maximum number of events that wait for a suspended process; older ones are lost."""


@dataclass
class WorldOptions:
    """Number of processes in a world, their zones and their settings."""

    service: str = "swapdesk"
    sides: int = 7
    balancers: int = 3
    zones: tuple[str, ...] = ("bole", "arada", "kirkos")
    service_ms: float = 100.0
    slots: int = 2
    queue: int = 64
    deadline_ms: int = 20_000
    board_ms: float = 1_000.0
    seeds: list[Contact] = field(default_factory=list)
    policy: Policy = field(default_factory=Policy)
    others: tuple[tuple[str, int], ...] = ()
    """Further services behind the same balancers, and their side process counts."""


@dataclass
class Links:
    """Delays in ms, shares of lost, duplicated and reordered datagrams, and cuts."""

    delay_ms: float = 4.0
    jitter_ms: float = 1.0
    caller_ms: float = 3.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    """Share of datagrams that are delayed by another `REORDER_MS`."""
    cuts: set[tuple[str, str]] = field(default_factory=set)
    """Source and target, processes or zones, between which datagrams are dropped."""

    def delay(self, rng: Random, base: float) -> float:
        """Return a random delay for one datagram."""
        if self.reorder and rng.random() < self.reorder:
            base += REORDER_MS
        return base + rng.uniform(0, self.jitter_ms)


class WorldClock:
    """Clock of a world with the interface of the reactor, for the stand-ins."""

    def __init__(self, world: Any) -> None:
        self.world = world

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self.world.now / 1000

    def callLater(self, delay: float, call: Callable, *args: Any) -> None:
        """Schedule a call after `delay` seconds."""
        self.world.at(self.world.now + delay * 1000, lambda: call(*args))


class CallbackTransport:
    """Transport that a stand-in writes to."""

    def __init__(self, write: Callable[[bytes, tuple[str, int]], None]) -> None:
        self.write = write


class Node:
    """One process: its core, its state and what it sent and reported."""

    def __init__(
        self, name: str, host: str, zone: str, core: Any, service: str = ""
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.core = core
        self.service = service
        self.is_alive = True
        self.is_frozen = False
        self.inbox: deque[Any] = deque(maxlen=MAX_INBOX)
        self.upstream: Upstream | None = None
        self.wake_due: float | None = None
        self.is_watching = False
        # None until the process is notified whether its watch works.
        self.watch_works: bool | None = None
        self.reports: list[messages.Report] = []
        self.sent_bytes = 0
        self.sent_by_kind: Counter[type] = Counter()
        self.sequence = 0


@dataclass
class Store:
    """Object store: values with versions, injected faults and counts of calls."""

    revision: int = 0
    objects: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    is_down: bool = False
    delay_ms: float = 3.0
    lose_answers: int = 0
    unreachable: set[str] = field(default_factory=set)
    reads: int = 0
    writes: int = 0
