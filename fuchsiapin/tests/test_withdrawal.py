"""Tests of requests that moved to a peer while their flow got another owner."""

import unittest

from measure.oracle import Oracle
from measure.world import World
from measure.worldparts import Links, WorldOptions

FLOWS = 60
REQUESTS = 20
LEAVING = ("swapdesk-3", "swapdesk-5", "swapdesk-1")


class WithdrawalTest(unittest.TestCase):
    """A request that a peer declined after a view change still runs."""

    def test_declined_handoff_of_a_leaving_owner_is_not_lost(self) -> None:
        world = World(8, WorldOptions(service_ms=300.0), Links(loss=0.02))
        world.run(3_000)
        for flow in range(FLOWS):
            caller = world.add_caller()
            for number in range(REQUESTS):
                name = f"claim-{flow}-{number}"
                due = world.now + world.rng.uniform(0, 32_000)
                world.at(due, lambda c=caller, n=name: c.post("claims", n))
        for name in LEAVING:
            world.run(6_000)
            world.stop(name)
        world.run(140_000)
        self.assertEqual(Oracle(world).find_violations(), [])
        self.assertEqual((world.tally.silent, world.tally.unknown), (0, 0))


if __name__ == "__main__":
    unittest.main()
