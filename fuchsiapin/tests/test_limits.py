"""Bounds on how long a request waits and on how many do."""

import unittest

from fuchsiapin import coap
from fuchsiapin.messages import RecordAck
from fuchsiapin.serving import SideCore
from measure.world import Oracle, World, WorldOptions


def cut_all(world: World, names: list[str]) -> None:
    """Cut all links between some processes."""
    world.links.cuts |= {(one, two) for one in names for two in names if one != two}


def side_cores(world: World) -> list[SideCore]:
    """Return the cores of the side processes that live."""
    return [node.core for node in world.nodes.values() if node.service]


class SilentWitnessTest(unittest.TestCase):
    """Claims whose witness says nothing while no other view comes."""

    def test_claim_without_witness_is_given_up_and_never_runs(self) -> None:
        world = World(2, WorldOptions(sides=2, balancers=2))
        world.run(6_000)
        cut_all(world, ["swapdesk-1", "swapdesk-2"])
        world.set_store(True)
        caller = world.add_caller()
        caller.post("claims", "claim")
        [start] = [item.started for item in caller.pending.values()]
        world.run(8_000)
        self.assertEqual(world.tally.told, {"claim": "unknown"})
        self.assertGreater(world.clock.seconds() - start, 6)
        [owner] = [core for core in side_cores(world) if len(core.table)]
        [record] = owner.table
        self.assertEqual(record.state, "unknown")
        self.assertGreater(coap.parse_datagram(record.response).opt.max_age, 0)
        view, [witness] = owner.ownership.view, owner.membership.peers()
        late = RecordAck("swapdesk", view, record.key, "intent", True)
        owner.dispatcher.on_record_ack(witness.id, late)
        world.links.cuts.clear()
        world.set_store(False)
        world.run(30_000)
        self.assertEqual((Oracle(world).runs(), Oracle(world).faults()), ({}, []))

    def test_flow_that_stays_settling_ends_its_requests(self) -> None:
        world = World(3, WorldOptions(sides=3))
        world.run(6_000)
        for core in side_cores(world):
            core.ownership.is_settled = False
        caller = world.add_caller()
        caller.post("claims", "claim")
        caller.get_long("long", "long")
        world.run(8_000)
        told = {"claim": "unknown", "long": "refused"}
        self.assertEqual(world.tally.told, told)


if __name__ == "__main__":
    unittest.main()
