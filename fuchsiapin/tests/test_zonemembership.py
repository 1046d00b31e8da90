"""Tests of balancers that join, leave, fail and return in an availability zone."""

import random
import unittest

from fuchsiapin import messages
from fuchsiapin.coap.zonemembership import (
    BALANCER_SERVICE,
    WATCHERS,
    ZoneMembership,
    watchers_of,
)
from fuchsiapin.codec import decode_object, encode_object
from fuchsiapin.messages import BalancerMember, ObjectSeen, Suspect, SuspectAnswer
from fuchsiapin.tests.test_world import make_busy_world
from fuchsiapin.timers import Timers
from measure.oracle import Oracle
from measure.world import World
from measure.worldparts import Links, WorldOptions


def make_balancers(count: int) -> list[BalancerMember]:
    """Return balancers of one zone."""
    return [
        BalancerMember(f"b{n}", 1, f"10.0.0.{n}", 1, "bole", "live", "")
        for n in range(count)
    ]


def stored_zone(world: World) -> dict[str, int]:
    """Return the stored incarnation of each balancer of the zone."""
    _, value = world.store.objects["balancers/bole"]
    zone = decode_object(messages.ZoneBalancers, value)
    return {member.id: member.incarnation for member in zone.members}


def make_zone(seed: int, balancers: int = 6) -> World:
    """Return a world with all balancers in one zone, after its start."""
    options = WorldOptions(sides=3, balancers=balancers, zones=("bole",))
    world = World(seed, options, Links(loss=0.02, jitter_ms=4))
    world.run(15_000)
    return world


class ZoneTest(unittest.TestCase):
    """Changes of a zone's balancers in simulated worlds."""

    def test_killed_balancer_is_removed_within_five_seconds(self) -> None:
        for balancers in (2, 6, 20):
            world = make_zone(1, balancers)
            self.assertEqual(len(stored_zone(world)), balancers)
            world.kill("balancer-2")
            world.run(5_000)
            self.assertNotIn("balancer-2", stored_zone(world))
            self.assertEqual(len(stored_zone(world)), balancers - 1)

    def test_sole_survivor_of_a_small_zone_removes_the_others(self) -> None:
        # Guards against dead balancers that no second watcher is left to confirm.
        for balancers in (3, 5):
            world = make_zone(5, balancers)
            for number in range(2, balancers + 1):
                world.kill(f"balancer-{number}")
            world.run(15_000)
            self.assertEqual(list(stored_zone(world)), ["balancer-1"])

    def test_balancer_of_a_small_zone_that_is_cut_off_removes_nobody(self) -> None:
        world = make_zone(6, 3)
        before = stored_zone(world)
        for name in list(world.nodes):
            world.links.cuts.add((name, "balancer-1"))
        world.run(20_000)
        self.assertEqual(stored_zone(world), before)

    def test_one_watcher_without_heartbeats_removes_nobody(self) -> None:
        world = make_zone(2)
        for name in list(world.nodes):
            world.links.cuts.add((name, "balancer-1"))
        before = stored_zone(world)
        world.run(20_000)
        self.assertEqual(stored_zone(world), before)

    def test_paused_balancer_returns_as_a_new_incarnation(self) -> None:
        world = make_zone(3)
        before = stored_zone(world)["balancer-3"]
        world.freeze("balancer-3")
        world.run(10_000)
        self.assertNotIn("balancer-3", stored_zone(world))
        world.thaw("balancer-3")
        world.run(5_000)
        self.assertGreater(stored_zone(world)["balancer-3"], before)
        core = world.nodes["balancer-3"].core
        self.assertIn(core.me, core.updater.value.members)

    def test_half_of_a_zone_lost_at_once_is_removed(self) -> None:
        world = make_zone(4, 20)
        for number in range(1, 11):
            world.kill(f"balancer-{number}")
        world.run(20_000)
        self.assertEqual(len(stored_zone(world)), 10)

    def test_balancer_and_upstream_change_at_the_same_moment(self) -> None:
        world = make_busy_world(5)
        world.stop("swapdesk-3")
        world.stop("balancer-2")
        world.add_balancer("balancer-9", "arada")
        world.add_side("swapdesk-9", "arada")
        world.run(100_000)
        self.assertEqual(Oracle(world).find_violations(), [])
        self.assertEqual(world.tally.silent, 0)
        self.assertTrue(all(caller.is_open for caller in world.callers.values()))
        self.assertNotIn("balancer-2", world.nodes)
        self.assertNotIn("swapdesk-3", world.nodes)

    def test_second_stop_signal_during_an_outage_loses_nothing(self) -> None:
        world = make_busy_world(6)
        world.set_store(is_down=True)
        world.run(1_000)
        world.stop("balancer-2")
        world.run(500)
        world.stop("balancer-2")
        world.run(8_000)
        self.assertNotIn("balancer-2", world.nodes)
        world.run(60_000)
        self.assertEqual(Oracle(world).find_violations(), [])
        self.assertEqual(world.tally.silent, 0)
        now = world.clock.seconds()
        for caller in world.callers.values():
            self.assertLess(now - caller.last_heard, 10)
        world.set_store(is_down=False)
        world.run(10_000)
        _, value = world.store.objects["balancers/arada"]
        self.assertNotIn(b"balancer-2", value)


class MemberTest(unittest.TestCase):
    """One balancer and its reaction to the messages of the others."""

    def setUp(self) -> None:
        self.effects: list = []
        members = make_balancers(12)
        self.zone = ZoneMembership(
            members[0], Timers(), self.effects, random.Random(1), lambda: 0
        )
        stored = messages.ZoneBalancers("bole", 1, members, "x")
        self.apply_zone(1, stored)

    def apply_zone(self, version: int, stored: messages.ZoneBalancers) -> None:
        """Pass a zone's object to the balancer."""
        event = ObjectSeen("balancers/bole", version, encode_object(stored))
        self.zone.apply_stored(0, event)
        self.effects.clear()

    def test_heartbeats_do_not_grow_with_the_zone(self) -> None:
        self.zone.send_heartbeats(0)
        self.assertEqual(len(self.effects), WATCHERS)
        self.assertEqual(len(self.zone.watched), WATCHERS)
        for member in self.zone.watched:
            names = [m.id for m in watchers_of(member.id, make_balancers(12))]
            self.assertIn("b0", names)

    def test_removal_needs_two_watchers_without_heartbeats(self) -> None:
        silent = self.zone.watched[0].id
        answer = SuspectAnswer(BALANCER_SERVICE, silent, 1, True)
        self.zone.on_suspect_answer(1_000, "b5", answer)
        self.assertEqual(self.zone.updater.changes, {})
        self.zone.on_suspect_answer(9_000, silent, answer)
        self.zone.on_suspect_answer(
            9_000, "b5", SuspectAnswer(BALANCER_SERVICE, silent, 0, True)
        )
        self.assertEqual(self.zone.updater.changes, {})
        self.zone.on_suspect_answer(9_000, "b5", answer)
        self.assertEqual(list(self.zone.updater.changes), [f"remove {silent}"])
        self.zone.on_heartbeat(9_100, silent)
        self.assertEqual(self.zone.updater.changes, {})

    def test_suspected_balancer_answers_for_itself(self) -> None:
        self.zone.on_suspect(0, "b5", Suspect(BALANCER_SERVICE, "b0", 1))
        self.assertIsInstance(self.effects[0].message, messages.BalancerHeartbeat)
        self.zone.on_suspect(0, "b5", Suspect("members/ledger", "b3", 1))
        self.zone.on_suspect(0, "stranger", Suspect(BALANCER_SERVICE, "b0", 1))
        self.assertEqual(len(self.effects), 1)


if __name__ == "__main__":
    unittest.main()
