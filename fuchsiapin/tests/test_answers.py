"""Tests of answers and notifications that are lost on their way to the caller."""

import unittest

from fuchsiapin.coap.sidecore import SideCore
from measure.oracle import Oracle
from measure.world import World
from measure.worldparts import Links, WorldOptions


def make_world(service_ms: float = 100.0) -> World:
    """Return a world without jitter, after its start."""
    world = World(1, WorldOptions(sides=2, service_ms=service_ms), Links(jitter_ms=0))
    world.run(6_000)
    return world


def cuts_from(world: World, source: str) -> set[tuple[str, str]]:
    """Return the cuts between callers and balancers; the source is `source`."""
    names = [node.name for node in world.nodes.values() if not node.service]
    if source == "caller":
        return {("caller", name) for name in names}
    return {(name, "caller") for name in names}


def owner_of(world: World) -> SideCore:
    """Return the core that has an open request or observation."""
    [core] = [
        node.core
        for node in world.nodes.values()
        if node.service and (node.core.requests or node.core.observations.served)
    ]
    return core


class AnswerTest(unittest.TestCase):
    """Final answers."""

    def test_late_answer_that_is_lost_is_repeated(self) -> None:
        world = make_world(service_ms=3_000)
        world.add_caller().post("claims", "claim")
        world.run(2_990)
        owner = owner_of(world)
        # The answer is lost, and so are all later copies of the request.
        world.links.cuts = cuts_from(world, "caller") | cuts_from(world, "balancer")
        world.run(1_000)
        self.assertEqual((len(owner.requests), world.tally.outcomes), (0, {}))
        world.links.cuts = cuts_from(world, "caller")
        world.run(5_000)
        self.assertEqual(world.tally.outcomes, {"claim": "done"})
        self.assertEqual(Oracle(world).execution_counts(), {"claim": 1})

    def test_answer_to_a_copy_is_repeated_if_it_is_lost(self) -> None:
        world = make_world()
        world.add_caller().post("claims", "claim")
        world.run(50)
        world.links.cuts = cuts_from(world, "balancer")
        world.run(3_500)
        self.assertEqual(world.tally.outcomes, {})
        world.links.cuts = cuts_from(world, "caller")
        world.run(4_000)
        self.assertEqual(world.tally.outcomes, {"claim": "done"})

    def test_repetition_ends_with_an_acknowledgement_or_after_the_last(self) -> None:
        for is_cut in (False, True):
            world = make_world(service_ms=3_000)
            world.add_caller().post("claims", "claim")
            world.run(2_990)
            owner = owner_of(world)
            world.run(1_000)
            self.assertEqual(len(owner.answers.repeated), 1)
            if is_cut:
                world.links.cuts = cuts_from(world, "balancer")
            world.run(3_000)
            self.assertEqual(len(owner.answers.repeated), int(is_cut))
            world.run(60_000)
            self.assertEqual(
                (owner.answers.repeated, owner.answers.bodies), ({}, set())
            )

    def test_prompt_answer_is_not_repeated(self) -> None:
        world = make_world()
        world.add_caller().post("claims", "claim")
        world.run(50)
        owner = owner_of(world)
        world.run(200)
        self.assertEqual(world.tally.outcomes, {"claim": "done"})
        self.assertEqual(owner.answers.repeated, {})


class NotificationTest(unittest.TestCase):
    """Notifications of open boards."""

    def test_board_survives_a_dead_balancer_that_stays_listed(self) -> None:
        # Guards against silence: nobody may be left who could remove it.
        world = make_world()
        caller = world.add_caller()
        caller.open_board()
        world.run(2_500)
        [last] = owner_of(world).last_balancers.values()
        world.set_store(True)
        world.kill(last)
        caller.balancers = world.balancer_addresses
        world.run(70_000)
        self.assertLess(world.clock.seconds() - caller.last_heard, 10)


if __name__ == "__main__":
    unittest.main()
