"""Promises that must hold in every run, each with a check.

The checks read only executions at upstreams, answers at callers, and the numbers
of views and configurations in force. They don't depend on decisions of the cores.
"""

from collections.abc import Callable, Iterator

from aiocoap import Message

from fuchsiapin.coap.datagrams import parse_datagram
from fuchsiapin.registry import Registry
from fuchsiapin.tests.standins.caller import Caller
from measure.faults import Faults
from measure.worldparts import Node

__all__ = ["Observer", "find_faults", "promises"]

NO_NEW_WORK_AFTER_MS = 3_000
"""Time after which a leaving upstream gets no new work."""
IN_FORCE_AFTER_MS = 5_000
"""Time within which an accepted configuration is in force at every process."""
STALE_BOARD_S = 10
"""An open board that received nothing for this time is broken."""

promises = Registry("promise")


class Observer:
    """Records what the checks need to know of a simulated world.

    Parameters
    ----------
    faults : Faults
        Fault injector of the world.

    Attributes
    ----------
    closed : set of Caller
        Callers without a board that must stay open.
    is_planned_only : bool
        Whether the run makes planned changes only.
    has_settled : bool
        Whether the run is over, so that boards and requests can be checked.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.world = faults.world
        self.highest_numbers: dict[tuple[str, int, str], int] = {}
        self.late_work: list[str] = []
        self.closed: set[Caller] = set()
        self.is_planned_only = False
        self.has_settled = False
        self.seen_datagrams: set[tuple[str, bytes]] = set()
        self.world.on_upstream_datagram = self.record_late_work

    def record_late_work(self, node: Node, payload: bytes) -> None:
        """Record new work that a leaving upstream gets too late."""
        is_new = (node.name, payload) not in self.seen_datagrams
        self.seen_datagrams.add((node.name, payload))
        asked_at = self.faults.asked_to_leave_at.get(node.name)
        if asked_at is None or not is_new:
            return
        limit = max(asked_at, self.faults.limits_suspended_until) + NO_NEW_WORK_AFTER_MS
        if self.world.now > limit and is_new_work(parse_datagram(payload)):
            delay_ms = self.world.now - asked_at
            self.late_work.append(
                f"{node.name} got new work {delay_ms:.0f} ms "
                "after it was asked to leave"
            )

    def executions(self) -> Iterator[tuple[str, str, str]]:
        """Yield each execution as service, name of the upstream and request name."""
        for upstream in self.world.upstreams:
            for execution in upstream.executions:
                name = execution["body"].partition("\n")[0]
                yield upstream.options.service, upstream.options.name, name

    def execution_counts(self) -> dict[str, int]:
        """Return the number of executions of each request."""
        counts: dict[str, int] = {}
        for _, _, name in self.executions():
            counts[name] = counts.get(name, 0) + 1
        return counts

    def with_result(self, result: str) -> list[str]:
        """Return the names of the requests with this result at their callers."""
        return [
            name for name, found in self.world.tally.outcomes.items() if found == result
        ]


def is_new_work(message: Message) -> bool:
    """Return whether a datagram to an upstream starts a request.

    Later blocks and cancelled observations don't.
    """
    if not message.code.is_request() or message.opt.observe == 1:
        return False
    block = message.opt.block1 or message.opt.block2
    return block is None or block.block_number == 0


def find_faults(observer: Observer) -> list[str]:
    """Return a description of every violation, after the name of its promise."""
    found = []
    for name, check in promises.functions.items():
        found.extend(f"{name}: {violation}" for violation in check(observer))
    return found


Check = Callable[[Observer], Iterator[str]]


@promises.register("at most once")
def check_runs(observer: Observer) -> Iterator[str]:
    """Check that no request runs twice, except GETs, which `executions` leaves out."""
    for name, count in observer.execution_counts().items():
        if count > 1:
            yield f"{name} ran {count} times"


@promises.register("not run is true")
def check_refusals(observer: Observer) -> Iterator[str]:
    """Check that a request refused as not run never ran and doesn't run later."""
    counts = observer.execution_counts()
    for name in observer.with_result("refused"):
        if counts.get(name):
            yield f"{name} was refused as not run, but ran"


@promises.register("own whole answer")
def check_answers(observer: Observer) -> Iterator[str]:
    """Check that each caller gets the complete answer to its request."""
    if observer.world.tally.wrong:
        yield f"{observer.world.tally.wrong} wrong answers"
    digests = observer.world.tally.digests
    for upstream in observer.world.upstreams:
        for execution in upstream.executions:
            name = execution["body"].partition("\n")[0]
            if execution["digest"] != digests.get(name):
                yield f"the body of {name} was mixed from two requests"
    counts = observer.execution_counts()
    for name in observer.with_result("done"):
        # Only GETs, which `executions` leaves out, have names without a colon.
        if ":" in name and not counts.get(name):
            yield f"{name} was answered as done, but never ran"


@promises.register("right service")
def check_services(observer: Observer) -> Iterator[str]:
    """Check that no request reaches an upstream of another service."""
    for service, upstream, name in observer.executions():
        if not name.startswith(f"{service}:"):
            yield f"{name} ran at {upstream}, which belongs to another service"


@promises.register("leaving is quiet")
def check_leaving(observer: Observer) -> Iterator[str]:
    """Check that a leaving upstream gets no new work after `NO_NEW_WORK_AFTER_MS`."""
    yield from observer.late_work


@promises.register("never reverts")
def check_numbers(observer: Observer) -> Iterator[str]:
    """Check that no view or configuration number in force at a process decreases."""
    for node in observer.world.nodes.values():
        core = node.core
        numbers = {"config": core.config.number if core.config else 0}
        if node.service:
            numbers["view"] = core.ownership.view
        else:
            numbers |= {name: views.number for name, views in core.views.items()}
        for kind, number in numbers.items():
            key = (node.name, id(core), kind)
            if number < observer.highest_numbers.get(key, 0):
                yield f"number of {kind} at {node.name} decreased to {number}"
            observer.highest_numbers[key] = number


@promises.register("in force everywhere")
def check_config(observer: Observer) -> Iterator[str]:
    """Check that accepted configurations are in force everywhere in time."""
    world = observer.world
    due = [
        number
        for number, accepted in observer.faults.accepted_at.items()
        if observer.has_settled or world.now - accepted > IN_FORCE_AFTER_MS
    ]
    if (
        not due
        or world.now < observer.faults.limits_suspended_until + IN_FORCE_AFTER_MS
    ):
        return
    for node in world.nodes.values():
        core = node.core
        has_just_started = not node.service and world.now - core.me.incarnation < 5_000
        has_just_started = has_just_started or (
            node.service
            and world.now - core.membership.me.incarnation < IN_FORCE_AFTER_MS
        )
        number = core.config.number if core.config else 0
        if number < max(due) and not has_just_started and not node.is_frozen:
            yield f"{node.name} has configuration {number}, not {max(due)}"


@promises.register("open boards survive")
def check_boards(observer: Observer) -> Iterator[str]:
    """Check that no open board is lost to planned changes or to one severe fault."""
    if not observer.has_settled:
        return
    now = observer.world.clock.seconds()
    for caller in observer.world.callers.values():
        if caller in observer.closed or observer.faults.severe > 1:
            continue
        if not caller.is_open:
            yield f"board of {caller.service} was closed"
        elif now - caller.last_heard > STALE_BOARD_S:
            yield f"board of {caller.service} got nothing since {caller.last_heard} s"


@promises.register("planned stop cuts nothing")
def check_cuts(observer: Observer) -> Iterator[str]:
    """Check that each request is answered.

    With planned changes only, no outcome is unknown and each stopped process ends.
    """
    if not observer.has_settled:
        return
    for name in observer.with_result("silent"):
        yield f"{name} was never answered"
    if observer.is_planned_only:
        for name in observer.with_result("unknown"):
            yield f"{name} was answered with an unknown outcome"
        for name, asked_at in observer.faults.asked_to_leave_at.items():
            if name in observer.world.nodes:
                yield f"{name} was asked to leave at {asked_at} and still runs"
