"""What must hold in every run, each promise with a check of its own.

A check reads only executions at upstreams, answers at callers, and the numbers
of views and configurations in force; it knows no decision of the cores.
"""

from collections.abc import Callable, Iterator

from aiocoap import Message

from fuchsiapin.coap.datagrams import parse_datagram
from fuchsiapin.registry import Registry
from fuchsiapin.tests.standins.caller import Caller
from measure.faults import Faults
from measure.worldparts import Node

__all__ = ["Observer", "find_faults", "promises"]

QUIET_AFTER_MS = 3_000
"""A leaving upstream gets no new work after this time."""
IN_FORCE_AFTER_MS = 5_000
"""An accepted configuration is in force everywhere after this time."""
STALE_BOARD_S = 10
"""An open board that heard nothing for so long is broken."""

promises = Registry("promise")


class Observer:
    """Watches a world for broken promises.

    Parameters
    ----------
    faults : Faults
        The world and its faults.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.world = faults.world
        self.numbers: dict[tuple[str, int, str], int] = {}
        self.late_work: list[str] = []
        self.closed: set[Caller] = set()
        self.is_planned_only = False
        self.has_settled = False
        self.sent: set[tuple[str, bytes]] = set()
        self.world.tap = self.watch_work

    def watch_work(self, node: Node, payload: bytes) -> None:
        """Note work that a leaving upstream gets too late."""
        is_new = (node.name, payload) not in self.sent
        self.sent.add((node.name, payload))
        left = self.faults.leaving.get(node.name)
        if left is None or not is_new:
            return
        due = max(left, self.faults.disturbed) + QUIET_AFTER_MS
        if self.world.now > due and is_new_work(parse_datagram(payload)):
            late = self.world.now - left
            self.late_work.append(f"{node.name} got work {late:.0f} ms late")

    def runs(self) -> Iterator[tuple[str, str, str]]:
        """Return service and name of the upstream of each execution, and its body."""
        for upstream in self.world.upstreams:
            for execution in upstream.executions:
                name = execution["body"].partition("\n")[0]
                yield upstream.options.service, upstream.options.name, name

    def counts(self) -> dict[str, int]:
        """Return how often each request ran."""
        counts: dict[str, int] = {}
        for _, _, body in self.runs():
            counts[body] = counts.get(body, 0) + 1
        return counts

    def told(self, what: str) -> list[str]:
        """Return the requests of which callers were told something."""
        return [
            name for name, told in self.world.tally.outcomes.items() if told == what
        ]


def is_new_work(message: Message) -> bool:
    """Return whether a datagram to an upstream begins a request."""
    if not message.code.is_request() or message.opt.observe == 1:
        return False
    block = message.opt.block1 or message.opt.block2
    return block is None or block.block_number == 0


def find_faults(observer: Observer) -> list[str]:
    """Return every broken promise, with the promise that it breaks."""
    found = []
    for name, check in promises.functions.items():
        found.extend(f"{name}: {fault}" for fault in check(observer))
    return found


Check = Callable[[Observer], Iterator[str]]


@promises.register("at most once")
def check_runs(observer: Observer) -> Iterator[str]:
    """Check that no request that is not idempotent runs twice."""
    for name, count in observer.counts().items():
        if count > 1:
            yield f"{name} ran {count} times"


@promises.register("not run is true")
def check_refusals(observer: Observer) -> Iterator[str]:
    """Check that what was told not to have run never ran, nor runs later."""
    counts = observer.counts()
    for name in observer.told("refused"):
        if counts.get(name):
            yield f"{name} was told not run, but ran"


@promises.register("own whole answer")
def check_answers(observer: Observer) -> Iterator[str]:
    """Check that each caller gets the whole answer to the own request."""
    if observer.world.tally.wrong:
        yield f"{observer.world.tally.wrong} wrong answers"
    digests = observer.world.tally.digests
    for upstream in observer.world.upstreams:
        for execution in upstream.executions:
            name = execution["body"].partition("\n")[0]
            if execution["digest"] != digests.get(name):
                yield f"the body of {name} was mixed from two"
    counts = observer.counts()
    for name in observer.told("done"):
        if ":" in name and not counts.get(name):
            yield f"{name} was told done, but never ran"


@promises.register("right service")
def check_services(observer: Observer) -> Iterator[str]:
    """Check that no request reaches an upstream of another service."""
    for service, upstream, body in observer.runs():
        if not body.startswith(f"{service}:"):
            yield f"{body} ran at {upstream}"


@promises.register("leaving is quiet")
def check_leaving(observer: Observer) -> Iterator[str]:
    """Check that a leaving upstream gets no new work after a few seconds."""
    yield from observer.late_work


@promises.register("never reverts")
def check_numbers(observer: Observer) -> Iterator[str]:
    """Check that views and configurations in force only rise at each process."""
    for node in observer.world.nodes.values():
        core = node.core
        numbers = {"config": core.config.number if core.config else 0}
        if node.service:
            numbers["view"] = core.ownership.view
        else:
            numbers |= {name: views.number for name, views in core.views.items()}
        for kind, number in numbers.items():
            key = (node.name, id(core), kind)
            if number < observer.numbers.get(key, 0):
                yield f"{kind} of {node.name} fell to {number}"
            observer.numbers[key] = number


@promises.register("in force everywhere")
def check_config(observer: Observer) -> Iterator[str]:
    """Check that an accepted configuration is in force everywhere in time."""
    world = observer.world
    due = [
        number
        for number, accepted in observer.faults.accepted.items()
        if observer.has_settled or world.now - accepted > IN_FORCE_AFTER_MS
    ]
    if not due or world.now < observer.faults.disturbed + IN_FORCE_AFTER_MS:
        return
    for node in world.nodes.values():
        core = node.core
        is_new = not node.service and world.now - core.me.incarnation < 5_000
        is_new = is_new or (
            node.service
            and world.now - core.membership.me.incarnation < IN_FORCE_AFTER_MS
        )
        number = core.config.number if core.config else 0
        if number < max(due) and not is_new and not node.is_frozen:
            yield f"{node.name} has configuration {number}, not {max(due)}"


@promises.register("open boards survive")
def check_boards(observer: Observer) -> Iterator[str]:
    """Check that planned changes break no flow and one crash loses no board."""
    if not observer.has_settled:
        return
    now = observer.world.clock.seconds()
    for caller in observer.world.callers.values():
        if caller in observer.closed or observer.faults.severe > 1:
            continue
        if not caller.is_open:
            yield f"board of {caller.service} was closed"
        elif now - caller.last_heard > STALE_BOARD_S:
            yield f"board of {caller.service} was last heard at {caller.last_heard}"


@promises.register("planned stop cuts nothing")
def check_cuts(observer: Observer) -> Iterator[str]:
    """Check that each request is answered, and by planned changes none unknown."""
    if not observer.has_settled:
        return
    for name in observer.told("silent"):
        yield f"{name} was never answered"
    if observer.is_planned_only:
        for name in observer.told("unknown"):
            yield f"{name} was told unknown"
        for name, left in observer.faults.leaving.items():
            if name in observer.world.nodes:
                yield f"{name} was asked to leave at {left} and is still there"
