"""Open observations: their copies at the witness, their callers, their ends."""

import unittest

from measure.world import Links, World, WorldOptions

BOARDS = 12
CUT_MS = 100


def make_world(boards: int = 0, loss: float = 0.0, board_ms: float = 1e3) -> World:
    """Return a settled world with open boards."""
    world = World(1, WorldOptions(board_ms=board_ms), Links(loss=loss))
    world.run(8_000)
    for _ in range(boards):
        world.add_caller().open_board()
    world.run(1_000 if boards else 0)
    return world


def side_names(world: World) -> list[str]:
    """Return the names of the side processes."""
    return [name for name, node in world.nodes.items() if node.service]


def cut_sides(world: World) -> None:
    """Lose all that side processes send each other for a short while."""
    names = side_names(world)
    world.links.cuts = {(one, two) for one in names for two in names}
    world.run(CUT_MS)
    world.links.cuts = set()


def copies(world: World) -> int:
    """Return how many owners and witnesses keep an observation of a flow."""
    count = 0
    for name in side_names(world):
        core = world.nodes[name].core
        for observation in core.observations.kept.values():
            pair = core.ownership.pair(core.flows.flow_of(observation))
            count += name in [member.id for member in pair if member]
    return count


class WitnessTest(unittest.TestCase):
    """The copy of an observation at the witness of its flow."""

    def test_board_whose_copy_was_lost_once_survives_the_kill_of_its_owner(
        self,
    ) -> None:
        world = make_world()
        callers = [world.add_caller() for _ in range(BOARDS)]
        for caller in callers:
            caller.open_board()
        cut_sides(world)
        self.assertTrue(all(caller.is_open for caller in callers))
        world.run(1_000)
        for name in side_names(world)[:2]:
            world.kill(name)
            world.run(15_000)
        now = world.clock.seconds()
        self.assertLess(max(now - caller.last_heard for caller in callers), 5)

    def test_end_of_a_board_that_was_lost_once_reaches_the_witness(self) -> None:
        world = make_world(BOARDS)
        self.assertEqual(copies(world), 2 * BOARDS)
        for caller in world.callers.values():
            caller.close_board()
        cut_sides(world)
        world.run(1_000)
        self.assertEqual(copies(world), 0)

    def test_copy_that_was_lost_before_a_view_change_is_sent_by_the_new_view(
        self,
    ) -> None:
        world = make_world()
        names = side_names(world)
        world.links.cuts = {(one, two) for one in names for two in names}
        for _ in range(BOARDS):
            world.add_caller().open_board()
        world.run(50)
        world.stop(names[-1])
        world.run(50)
        world.links.cuts = set()
        world.run(5_000)
        self.assertEqual(copies(world), 2 * BOARDS)

    def test_witness_is_asked_no_more_once_it_answered(self) -> None:
        world = make_world(BOARDS, loss=0.1)
        world.run(3_000)
        for name in side_names(world):
            self.assertEqual(world.nodes[name].core.watcher.unanswered, {})


if __name__ == "__main__":
    unittest.main()
