"""Evacuations reach every process and end everywhere, whatever fails meanwhile."""

import unittest
from typing import Any

from fuchsiapin.flows import storage
from fuchsiapin.flows.evacuating import REMOVAL_NOTICE_MS
from fuchsiapin.flows.evacuations import (
    EvacuatedZones,
    evacuation_key,
    evacuation_version,
)
from fuchsiapin.flows.messages import Copy, Pull
from fuchsiapin.flows.storage import StoreResult
from fuchsiapin.replicas import BUCKETS, pack_value
from fuchsiapin.tests.test_evacuations import open_everywhere, zoned_world

LONE_SURROGATE = "\ud800"
"""A name that JSON can carry and that has no encoding as UTF-8."""


class MalformedZoneTest(unittest.TestCase):
    """A malformed zone doesn't keep other zones from being evacuated."""

    def assert_others_stay_in_force(self, name: str) -> None:
        """Evacuate a malformed zone and then zone b, and look for zone b only."""
        world = zoned_world()
        world.evacuate(name)
        world.run(300)
        world.evacuate("b")
        world.run(1_000)
        self.assertGreater(world.event_counts[6305], 0)
        for index in range(6):
            self.assertEqual(world.balancer(index).state.zones.evacuated, {"b"})
        self.assertNotIn("b", open_everywhere(world))

    def test_name_that_can_not_be_encoded(self) -> None:
        # Its hash failed after a list or watch was answered, and no call followed.
        self.assert_others_stay_in_force(LONE_SURROGATE)

    def test_name_that_fits_in_no_datagram(self) -> None:
        # Each message that names the keys of its bucket would be too long as well.
        self.assert_others_stay_in_force("z" * 70_000)

    def test_copy_with_a_malformed_name(self) -> None:
        world = zoned_world()
        copy = Copy(evacuation_key(""), 9, pack_value(b""))
        world.balancer(0).on_message(world.now, world.balancer_hosts[1], copy)
        self.assertEqual(world.event_counts[6301], 1)
        self.assertFalse(world.balancer(0).state.zones.evacuated)


class StartTest(unittest.TestCase):
    """A process that just started doesn't use an evacuated zone."""

    def restarted_world(self) -> Any:
        """Return a world that restarts while the store lists no evacuations."""
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        answer = world.store.answer

        def answer_others(call: Any, done: Any) -> Any:
            if call.kind == storage.EVACUATIONS:
                return StoreResult("busy", detail="status 429")
            return answer(call, done)

        world.store.answer = answer_others
        for host in [*world.balancer_hosts, *world.upstreams]:
            world.kill(host)
        world.run(200)
        for host in [*world.balancer_hosts, *world.upstreams]:
            starts = world.start_balancer, world.start_side
            starts[host in world.upstreams](host)
        return world

    def test_new_flows_wait_until_the_zones_are_known(self) -> None:
        # Routers send packets to a restarted balancer until a second probe fails.
        world = self.restarted_world()
        self.assertEqual(open_everywhere(world, 20), [])
        self.assertTrue(world.balancer(0).counts["evacuated zones not known"])
        world.run(1_000)
        self.assertEqual(len(open_everywhere(world, 20)), 20)

    def test_agreement_of_balancers_that_know_nothing_is_no_knowledge(self) -> None:
        world = self.restarted_world()
        world.run(1_200)
        for index in range(6):
            self.assertTrue(world.balancer(index).not_ready(world.now))


class NoticeTest(unittest.TestCase):
    """Side processes learn the end of an evacuation, and not before it."""

    def test_fresh_balancer_ends_no_evacuation_that_is_written_again(self) -> None:
        # A new era: the store lost the evacuation, which stays in force for a while.
        world = zoned_world(era=1)
        world.store.keep_copies(500)
        world.run(2_500)
        world.evacuate("a")
        world.run(1_000)
        fresh = world.balancer_hosts[0]
        world.kill(fresh)
        world.store.restore(2_000)
        links = {(fresh, h) for h in world.balancer_hosts[1:]}
        world.cut_links |= links | {(y, x) for x, y in links}
        world.run(100)
        world.start_balancer(fresh)
        world.run(2_000)
        for host in [h for h in world.upstreams if world.zone_by_host[h] == "a"]:
            self.assertTrue(world.side(host).state.is_evacuated)
        world.run(6_000)
        for host in world.upstreams:
            self.assertFalse(world.side(host).state.is_evacuated)

    def test_side_process_that_missed_a_removal_is_told_in_a_large_deployment(
        self,
    ) -> None:
        # There the next ping of a balancer comes after minutes.
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        host = next(h for h in world.upstreams if world.zone_by_host[h] == "a")
        evacuated = world.side(host).state.zones.version("a")
        world.reinstate("a")
        world.run(REMOVAL_NOTICE_MS + 2_000)
        for index in range(6):
            world.balancer(index).state.pinger.ping_round = lambda now: None
        world.run(400)
        world.side(host).state.zones = EvacuatedZones()
        world.side(host).state.zones.put(world.now, "a", evacuated)
        core = world.balancer(0)
        core.state.pinger.ping(world.now, core.table.by_host(host))
        world.run_effects(world.balancer_hosts[0])
        world.run(100)
        self.assertFalse(world.side(host).state.is_evacuated)


class ExchangeTest(unittest.TestCase):
    """Evacuations reach balancers through the store and other balancers."""

    def test_pull_answers_evacuations_before_many_other_objects(self) -> None:
        # One answer holds 120 kB; the balancers of a large deployment need more.
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        gossip = world.balancer(0).state.gossip
        for number in range(5_000):
            gossip.replicas.put(f"balancers/{number}", 1, bytes(range(48)))
        world.balancer(0).take_effects()
        pull = Pull(list(range(BUCKETS)), [], [])
        world.balancer(0).on_message(world.now, "10.0.0.2", pull)
        keys = [effect.message.key for effect in world.balancer(0).take_effects()]
        self.assertLess(len(keys), 5_000)
        self.assertIn(evacuation_key("a"), keys)

    def test_evacuation_written_while_answers_tell_no_era(self) -> None:
        # Its version was lower than all of the known era, so it counted as outdated.
        world = zoned_world(era=3)
        world.evacuate("a")
        world.run(1_000)
        world.reinstate("a")
        world.run(1_000)
        world.store.era = 0
        world.run(4_000)
        world.evacuate("a")
        world.run(5_000)
        for index in range(6):
            self.assertEqual(world.balancer(index).state.zones.evacuated, {"a"})
        world.reinstate("a")
        world.run(5_000)
        for index in range(6):
            self.assertFalse(world.balancer(index).state.zones.evacuated)

    def test_evacuations_are_read_while_the_configuration_is_not(self) -> None:
        # The follower waited for the configuration's before it repeated a failed call.
        world = zoned_world()
        answer = world.store.answer

        def fail_configuration(call: Any, done: Any) -> Any:
            is_failed = call.kind == storage.CONFIGURATION or world.now < 8_000
            return StoreResult("busy") if is_failed else answer(call, done)

        world.store.answer = fail_configuration
        world.run(7_000)
        world.evacuate("a")
        world.run(5_000)
        for index in range(6):
            self.assertEqual(world.balancer(index).state.zones.evacuated, {"a"})


class RestoredCopyTest(unittest.TestCase):
    """An evacuation that only a former era of the store held ends."""

    def test_copy_that_arrives_after_the_list_of_the_new_era(self) -> None:
        world = zoned_world(era=2)
        host = world.balancer_hosts[1]
        key, version = evacuation_key("a"), evacuation_version(1, 900)
        copy = Copy(key, version, pack_value(b""))
        world.balancer(0).on_message(world.now, host, copy)
        world.run_effects(world.balancer_hosts[0])
        self.assertEqual(world.balancer(0).state.zones.evacuated, {"a"})
        world.run(6_000)
        for index in range(6):
            self.assertFalse(world.balancer(index).state.zones.evacuated)


if __name__ == "__main__":
    unittest.main()
