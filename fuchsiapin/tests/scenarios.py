"""Simulated scenarios, each of which puts one guarantee at risk.

A scenario returns the violations that it found. `measure.promises` defines the
guarantees, which it calls promises.
"""

from collections.abc import Callable
from dataclasses import replace

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from fuchsiapin.messages import (
    CallerDatagram,
    ClaimAnswer,
    Forward,
    Member,
    ObjectCopy,
    PeerMessage,
    Reply,
)
from fuchsiapin.ranking import flow_key
from fuchsiapin.tests.standins.caller import Caller
from fuchsiapin.views import pair_of
from measure.faults import Faults
from measure.promises import IN_FORCE_AFTER_MS, Observer, find_faults
from measure.world import World
from measure.worldparts import Links, Node, WorldOptions

__all__ = [
    "Scenario",
    "accept_config_that_reaches_one_zone",
    "answer_from_another_service",
    "claim_in_a_view_unknown_to_peers",
    "redeliver_older_versions",
    "kill_owner_before_replication",
    "kill_owner_that_refused",
    "restart_all_with_requests_in_flight",
    "reuse_address_for_another_service",
    "deliver_older_values_as_newer",
    "stop_owner_of_boards",
    "stop_owner_of_transfers",
    "resume_owner_that_lost_its_flows",
]

SETTLE_MS = 70_000
READY_MS = 6_000
FLOWS = 24
"""Enough flows for each side process to own some."""
HIGH_NUMBER = 1_000
"""Offset of object versions, and a request number that no earlier claim uses."""

Scenario = Callable[[], list[str]]


class Trial:
    """A simulated deployment without jitter, with an observer that checks it.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    options : WorldOptions
        Size and shape of the deployment.
    flows : int
        Number of callers.
    """

    def __init__(self, seed: int, options: WorldOptions, flows: int = FLOWS) -> None:
        self.world = World(seed, options, Links(jitter_ms=0.0))
        self.faults = Faults(self.world)
        self.observer = Observer(self.faults)
        self.callers = [self.world.add_caller() for _ in range(flows)]
        # Boards of these callers aren't checked; scenarios with boards clear the set.
        self.observer.closed.update(self.callers)
        self.world.run(READY_MS)

    def post(self, caller: Caller, number: int = 1) -> str:
        """Post a request to `claims` and return its name.

        The name is unique per caller and number.
        """
        name = f"{caller.service}:{self.address(caller)[0]}-{number}"
        caller.post("claims", name)
        return name

    def address(self, caller: Caller) -> tuple[str, int]:
        """Return the address of a caller."""
        return next(key for key, item in self.world.callers.items() if item is caller)

    def flow(self, caller: Caller) -> bytes:
        """Return the flow key of a caller."""
        return flow_key(caller.service, *self.address(caller))

    def members(self) -> list[Member]:
        """Return the members of the first side process's view."""
        [node, *_] = self.faults.sides(self.world.options.service)
        return node.core.ownership.history.members()

    def pair(self, caller: Caller, members: list[Member] | None = None) -> list[str]:
        """Return the names of owner and witness of a caller's flow."""
        pair = pair_of(self.flow(caller), members or self.members())
        return [member.id if member else "" for member in pair]

    def isolate(self, name: str) -> None:
        """Cut a process off from the store and from all messages to it."""
        self.world.store.unreachable.add(name)
        self.world.links.cuts |= {
            (other, name) for other in self.world.nodes if other != name
        }

    def forward_late(self, node: Node, caller: Caller, datagram: bytes) -> None:
        """Deliver a caller's datagram that a balancer forwarded in the node's view."""
        view = node.core.ownership.view
        host, port = self.address(caller)
        late = Forward(caller.service, host, port, "balancer-1", view, 0, datagram)
        self.world.feed(node, PeerMessage("balancer-1", 0, late))

    def settle(self, duration_ms: float = SETTLE_MS) -> list[str]:
        """Run for `duration_ms`; return the violated guarantees.

        The default is meant to let all requests end.
        """
        self.world.run(duration_ms)
        self.observer.has_settled = True
        return find_faults(self.observer)


def kill_owner_before_replication() -> list[str]:
    """Kill an owner whose record was never replicated to the witness."""
    trial = Trial(1, WorldOptions(sides=3, service_ms=2_000.0), flows=1)
    [caller] = trial.callers
    owner, witness = trial.pair(caller)
    trial.world.links.cuts = {(owner, witness)}
    trial.post(caller)
    trial.world.run(100)
    trial.faults.kill(trial.world.nodes[owner])
    return trial.settle()


def resume_owner_that_lost_its_flows() -> list[str]:
    """Resume a frozen owner with queued requests after a new member took over.

    The owner is cut off from the store, so that it still holds the old view.
    """
    trial = Trial(20, WorldOptions(sides=3))
    world = trial.world
    owner = trial.pair(trial.callers[0])[0]
    witnesses = {member.id for member in trial.members()} - {owner}
    world.freeze(owner)
    for caller in trial.callers:
        trial.post(caller)
    world.run(20)
    world.add_side("swapdesk-9", world.nodes[owner].zone)
    trial.isolate(owner)
    world.run(1_500)
    # The store is down until the owner has been resumed.
    world.set_store(True)
    world.run(8_000)
    world.links.cuts -= {(witness, owner) for witness in witnesses}
    world.thaw(owner)
    world.run(50)
    world.links.cuts.clear()
    world.set_store(False)
    world.store.unreachable.clear()
    return trial.settle()


def claim_in_a_view_unknown_to_peers() -> list[str]:
    """Let a rejoining member send ownership claims to two peers that lack its view."""
    trial = Trial(3, WorldOptions(sides=3, service_ms=2_000.0))
    world = trial.world
    names = [node.name for node in trial.faults.sides("swapdesk")]
    returning = world.nodes[names[2]]
    world.restart_upstream(returning, silent_ms=7_000)
    world.run(6_500)
    back = [replace(member, state="live") for member in trial.members()]
    caller = next(
        caller for caller in trial.callers if trial.pair(caller, back)[0] == names[2]
    )
    owner = world.nodes[trial.pair(caller)[0]]
    for name in names[:2]:
        trial.isolate(name)
    # Balancers and store stay out of reach; side processes still reach each other.
    world.links.cuts -= {(one, two) for one in names for two in names}
    # Run until the owner answers a claim of ownership.
    answered = owner.sent_by_kind[ClaimAnswer]
    while owner.sent_by_kind[ClaimAnswer] == answered:
        world.run(0.5)
    trial.post(caller)
    [pending] = caller.pending.values()
    trial.forward_late(owner, caller, pending.datagram)
    world.run(1_000)
    world.links.cuts.clear()
    world.store.unreachable.clear()
    return trial.settle()


def kill_owner_that_refused() -> list[str]:
    """Deliver a retransmission of a refused request after its owner was killed."""
    trial = Trial(4, WorldOptions(sides=3), flows=1)
    [caller] = trial.callers
    owner, witness = trial.pair(caller)
    world = trial.world
    world.links.cuts = {(owner, witness)}
    world.nodes[owner].core.admission.queue_limit = 0
    trial.post(caller)
    [pending] = caller.pending.values()
    world.run(300)
    trial.faults.kill(world.nodes[owner])
    world.run(5_000)
    host, port = trial.address(caller)
    late = CallerDatagram("swapdesk", host, port, pending.datagram)
    world.feed(world.nodes["balancer-1"], late)
    return trial.settle()


def stop_owner_of_boards() -> list[str]:
    """Stop an owner of observations while requests of its flows run."""
    trial = Trial(5, WorldOptions(sides=3, service_ms=300.0))
    trial.observer.is_planned_only = True
    trial.observer.closed.clear()
    for caller in trial.callers:
        caller.open_board()
    trial.world.run(2_000)
    for number, caller in enumerate(trial.callers * 3):
        trial.post(caller, number)
    trial.world.run(50)
    trial.faults.leave(trial.world.nodes["swapdesk-1"])
    trial.world.run(5_000)
    for caller in trial.callers:
        trial.post(caller, HIGH_NUMBER)
    return trial.settle()


def restart_all_with_requests_in_flight() -> list[str]:
    """Restart all side processes while their upstreams still run their requests.

    A restarted process must not take an answer to its predecessor for its own.
    """
    trial = Trial(1, WorldOptions(sides=3, service_ms=8_000.0))
    for caller in trial.callers:
        trial.post(caller)
    trial.world.run(200)
    for node in trial.faults.sides("swapdesk"):
        trial.faults.restart(node)
    for number, caller in enumerate(trial.callers):
        caller.get_long("long", f"swapdesk-{number}")
    return trial.settle()


def reuse_address_for_another_service() -> list[str]:
    """Start a member of another service at the address of one that was killed."""
    options = WorldOptions(sides=3, others=(("intake", 6),))
    trial = Trial(6, options)
    world = trial.world
    old = world.kill("swapdesk-2")
    for number in range(6):
        world.add_side(f"intake-{10 + number}", "bole", service="intake")
    world.add_side("intake-9", old.zone, service="intake", host=old.host)
    world.run(900)
    for caller in trial.callers:
        trial.post(caller)
    return trial.settle()


def answer_from_another_service() -> list[str]:
    """Forge an answer from a member of another service to a claim that never ran."""
    trial = Trial(8, WorldOptions(sides=3, others=(("intake", 3),)), flows=1)
    [caller] = trial.callers
    world = trial.world
    owner = trial.pair(caller)[0]
    world.freeze(owner)
    name = trial.post(caller)
    [token] = caller.pending
    answer = Message(
        code=Code.CHANGED,
        payload=f"intake-1 claims {name}".encode(),
        _mtype=Type.NON,
        _mid=1,
        _token=token,
    )
    reply = Reply("swapdesk", *trial.address(caller), 0, answer.encode())
    for balancer in trial.faults.balancers():
        world.feed(balancer, PeerMessage("intake-1", 0, reply))
    world.run(100)
    trial.faults.kill(world.nodes[owner])
    return trial.settle()


def stop_owner_of_transfers() -> list[str]:
    """Stop an owner during block-wise uploads and downloads."""
    trial = Trial(9, WorldOptions(sides=3, service_ms=20.0), flows=12)
    trial.observer.is_planned_only = True
    for number, caller in enumerate(trial.callers):
        caller.upload("photos", f"swapdesk:{number}", 6_000)
        caller.get_long("long", f"swapdesk-{number}")
    trial.world.run(60)
    [owner, _] = trial.pair(trial.callers[0])
    trial.faults.leave(trial.world.nodes[owner])
    return trial.settle(15_000)


def accept_config_that_reaches_one_zone() -> list[str]:
    """Accept a configuration while only one availability zone reaches the store."""
    trial = Trial(10, WorldOptions(sides=3), flows=0)
    world = trial.world
    hidden = [node.name for node in world.nodes.values() if node.zone != "bole"]
    world.store.unreachable.update(hidden)
    trial.faults.accept_config(20_000)
    world.run(IN_FORCE_AFTER_MS + 100)
    return find_faults(trial.observer)


def deliver_older_values_as_newer() -> list[str]:
    """Deliver old object values under newer versions to all processes."""
    return redeliver_old_objects(later=HIGH_NUMBER)


def redeliver_older_versions() -> list[str]:
    """Deliver delayed copies of older versions to all processes."""
    return redeliver_old_objects(later=0)


def redeliver_old_objects(later: int) -> list[str]:
    """Deliver old objects to all processes, their versions raised by `later`."""
    trial = Trial(7, WorldOptions(sides=3), flows=0)
    world = trial.world
    trial.faults.accept_config(20_000)
    world.run(1_000)
    old = dict(world.store.objects)
    trial.faults.accept_config(15_000)
    trial.faults.join_side("swapdesk")
    world.run(6_000)
    found = find_faults(trial.observer)
    nodes = list(world.nodes.values())
    before = [node.core.relay.versions for node in nodes]
    for node in nodes:
        for key, (version, value) in old.items():
            copy = ObjectCopy(key, version + later, value)
            world.feed(node, PeerMessage("balancer-1", 0, copy))
    found += find_faults(trial.observer)
    for node, versions in zip(nodes, before, strict=True):
        now = node.core.relay.versions
        reverted = [key for key in versions if now[key] < versions[key]]
        found += [f"version of {key} fell at {node.name}" for key in reverted]
    return found
