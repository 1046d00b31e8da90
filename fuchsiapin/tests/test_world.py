"""Sessions with all cores on simulated time, checked by the oracle."""

import unittest

from fuchsiapin.coap.datagrams import EXCHANGE_LIFETIME_MS
from measure.oracle import Oracle
from measure.world import World
from measure.worldparts import Links, WorldOptions

FLOWS = 20
REQUESTS = 10


def make_busy_world(seed: int, loss: float = 0.02) -> World:
    """Return a world with open boards and claims in flight."""
    world = World(seed, links=Links(loss=loss, duplicate=0.01))
    world.run(3_000)
    for flow in range(FLOWS):
        caller = world.add_caller()
        caller.open_board()
        for number in range(REQUESTS):
            name = f"claim-{flow}-{number}"
            due = world.now + world.rng.uniform(0, 30_000)
            world.at(due, lambda c=caller, n=name: c.post("claims", n))
    world.run(8_000)
    return world


class SessionTest(unittest.TestCase):
    """No session with one fault or change violates a promise."""

    def check(self, world: World) -> None:
        """Run the session to its end and check all promises."""
        world.run(100_000)
        self.assertEqual(Oracle(world).find_violations(), [])
        self.assertEqual(world.tally.silent, 0)
        now = world.clock.seconds()
        for caller in world.callers.values():
            self.assertTrue(caller.is_open)
            self.assertLess(now - caller.last_heard, 10)

    def test_leaving_upstream_loses_nothing(self) -> None:
        world = make_busy_world(1)
        world.stop("swapdesk-3")
        self.check(world)
        self.assertNotIn("swapdesk-3", world.nodes)
        self.assertEqual(world.tally.done, FLOWS * REQUESTS)

    def test_boards_survive_the_replacement_of_all_upstreams_at_once(self) -> None:
        world = make_busy_world(3)
        old = [node.name for node in world.nodes.values() if node.service]
        zones = [world.nodes[name].zone for name in old]
        for name in old:
            world.stop(name)
        # In the meantime, a view without live members is in force.
        world.run(300)
        for number, zone in enumerate(zones):
            world.add_side(f"swapdesk-{10 + number}", zone)
        self.check(world)
        self.assertFalse(set(old) & set(world.nodes))

    def test_killed_side_process_runs_nothing_twice(self) -> None:
        world = make_busy_world(2)
        world.kill("swapdesk-3")
        self.check(world)

    def test_suspended_owner_resumes_after_its_removal(self) -> None:
        world = make_busy_world(3)
        world.freeze("swapdesk-3")
        world.run(12_000)
        world.thaw("swapdesk-3")
        self.check(world)

    def test_restarted_upstream_is_observed_again(self) -> None:
        world = make_busy_world(5)
        node = world.nodes["swapdesk-3"]
        world.restart_upstream(node, silent_ms=2_500)
        self.check(world)

    def test_board_open_for_long_survives_the_kill_of_its_owner(self) -> None:
        world = make_busy_world(5, loss=0.0)
        world.run(25_000)
        world.kill("swapdesk-5")
        world.run(12_000)
        ages = [world.clock.seconds() - c.last_heard for c in world.callers.values()]
        self.assertLess(max(ages), 5)

    def uncertain(self, world: World) -> list[str]:
        """Return the ranges of flows that any side process treats as uncertain."""
        cores = [node.core for name, node in world.nodes.items() if "swapdesk" in name]
        return [str(item.lost) for core in cores for item in core.ownership.uncertain]

    def test_restart_of_the_first_member_leaves_nothing_uncertain(self) -> None:
        world = World(1, WorldOptions(sides=4))
        world.run(9_000)
        world.restart_side("swapdesk-1")
        world.run(8_000)
        self.assertEqual(self.uncertain(world), [])

    def test_suspended_owner_treats_no_peer_as_lost(self) -> None:
        world = World(1, WorldOptions(sides=4))
        world.run(9_000)
        world.set_store(True)
        world.restart_side("swapdesk-1")
        world.run(8_000)
        world.set_store(False)
        world.run(10_000)
        world.freeze("swapdesk-3")
        world.run(12_000)
        world.thaw("swapdesk-3")
        world.run(5_000)
        self.assertEqual(self.uncertain(world), [])

    def test_request_that_a_peer_declines_survives_the_stop_of_its_owner(self) -> None:
        for offset in (43, 51, 59, 62):
            world = World(offset, WorldOptions(sides=4, service_ms=20))
            world.run(4_000)
            callers = [world.add_caller() for _ in range(12)]
            for number, caller in enumerate(callers * 3):
                caller.post("claims", f"claim-{number}")
            world.run(offset)
            world.stop("swapdesk-4")
            world.run(60_000)
            self.assertEqual(Oracle(world).find_violations(), [])
            self.assertEqual(world.tally.done, 36)

    def test_killed_balancer_breaks_no_flow(self) -> None:
        world = make_busy_world(4)
        world.kill("balancer-2")
        self.check(world)
        self.assertEqual(world.tally.done, FLOWS * REQUESTS)


class ReplacementTest(unittest.TestCase):
    """Copies of claims that ran before all upstreams of a service were replaced."""

    def make_world(self) -> World:
        """Return a world with three upstreams that serve."""
        world = World(1, WorldOptions(sides=3), Links(jitter_ms=0))
        world.run(6_000)
        return world

    def stop_all(self, world: World) -> list[str]:
        """Stop all upstreams; return the names of the processes that have ended."""
        names = [name for name, node in world.nodes.items() if node.service]
        for name in names:
            world.stop(name)
        world.run(3_000)
        return [name for name in names if name not in world.nodes]

    def replace_all(self, gap_ms: int) -> World:
        """Replace all upstreams while answers are lost; copies follow later."""
        world = self.make_world()
        for number in range(8):
            world.add_caller().post("claims", f"claim-{number}")
        world.run(50)
        sides = [node for node in world.nodes.values() if node.service]
        world.links.cuts = {
            (node.name, "caller") for node in world.nodes.values() if not node.service
        }
        world.run(500)
        for node in sides:
            world.stop(node.name)
        world.run(gap_ms)
        for number, node in enumerate(sides):
            world.add_side(f"swapdesk-{10 + number}", node.zone)
        world.run(1_000)
        world.links.cuts.clear()
        world.run(70_000)
        return world

    def test_copies_do_not_run_when_others_join_before_the_last_left(self) -> None:
        world = self.replace_all(gap_ms=300)
        self.assertEqual(Oracle(world).find_violations(), [])
        self.assertEqual(world.tally.done, 8)

    def test_copies_do_not_run_when_others_join_after_the_last_left(self) -> None:
        world = self.replace_all(gap_ms=3_000)
        self.assertEqual(Oracle(world).find_violations(), [])
        self.assertEqual(world.tally.done, 8)

    def test_last_upstreams_end_at_once_without_records(self) -> None:
        """A service without recent claims could not be stopped in seconds."""
        self.assertEqual(len(self.stop_all(self.make_world())), 3)

    def test_last_upstreams_end_when_their_records_have_expired(self) -> None:
        """A process that waits for others to take over would never end."""
        world = self.make_world()
        world.add_caller().post("claims", "claim-1")
        world.run(1_000)
        self.assertLess(len(self.stop_all(world)), 3)
        world.run(EXCHANGE_LIFETIME_MS)
        self.assertFalse([node for node in world.nodes.values() if node.service])


if __name__ == "__main__":
    unittest.main()
