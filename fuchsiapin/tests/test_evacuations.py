"""Evacuated zones get no new flows, whatever fails, and are used again afterwards."""

import unittest

from fuchsiapin.flows.opening import ZONES_EVACUATED
from fuchsiapin.tests.flowworld import SETTLE_MS, FlowWorld, open_flow

BOUND_MS = 5_000
"""Time within which a zone gets no new flows after the store took its evacuation."""
ZONES = ("a", "b", "c")


def zoned_world(era: int = 0, **options: object) -> FlowWorld:
    """Return a settled world with three zones that may be evacuated."""
    defaults = {"balancers": 6, "members": 9, "zones": ZONES, "evacuates": True}
    world = FlowWorld(**{**defaults, **options})
    world.store.era = era
    world.run(SETTLE_MS)
    return world


def open_everywhere(world: FlowWorld, count: int = 30) -> list[str]:
    """Open flows at all balancers that run; return the zones of their holders."""
    hosts = [h for h in world.balancer_hosts if world.processes[h].is_up]
    found = []
    for number in range(count):
        caller = world.caller()
        caller.open(hosts[number % len(hosts)])
        world.run(60)
        if caller.is_open:
            found.append(world.zone_by_host[world.holder(caller)])
    return found


class EvacuationTest(unittest.TestCase):
    """A zone is evacuated and taken into use again."""

    def test_zone_gets_no_new_flows_and_keeps_open_ones(self) -> None:
        world = zoned_world()
        open_there = [open_flow(world, host) for host in world.balancer_hosts]
        world.evacuate("a")
        world.run(1_000)
        zones = open_everywhere(world)
        self.assertEqual(len(zones), 30)
        self.assertNotIn("a", zones)
        self.assertIn("b", zones)
        self.assertIn("c", zones)
        for caller, host in zip(open_there, world.balancer_hosts, strict=True):
            caller.request(host)
        world.run(200)
        self.assertTrue(all(caller.answers for caller in open_there))
        self.assertFalse(world.resets)

    def test_reinstated_zone_is_used_again(self) -> None:
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        world.reinstate("a")
        world.run(1_500)
        self.assertIn("a", open_everywhere(world))
        for host in world.upstreams:
            self.assertFalse(world.side(host).state.is_evacuated)

    def test_all_zones_evacuated_refuses_at_once(self) -> None:
        # Without a reason of its own the refusal would wait for the callers' deadline.
        world = zoned_world()
        for zone in ZONES:
            world.evacuate(zone)
        world.run(1_000)
        caller = world.caller()
        caller.open(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual(caller.resets, 1)
        self.assertEqual(world.resets[-1]["reason"], ZONES_EVACUATED)

    def test_side_process_refuses_a_balancer_that_does_not_know(self) -> None:
        # A late offer, or one of a balancer that lost its state, reaches the zone.
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        ignorant = world.balancer(0)
        ignorant.state.zones.evacuated.clear()
        zones = []
        for _ in range(12):
            caller = world.caller()
            caller.open(world.balancer_hosts[0])
            world.run(60)
            zones.append(world.zone_by_host[world.holder(caller)])
        self.assertNotIn("a", zones)

    def test_queued_openings_are_offered_in_other_zones(self) -> None:
        world = zoned_world(members=3, slots=1, service_ms=150)
        callers = [world.caller() for _ in range(9)]
        for caller in callers:
            caller.open(world.balancer_hosts[0])
        world.run(20)
        host = next(h for h in world.upstreams if world.zone_by_host[h] == "a")
        side = world.side(host)
        world.evacuate("a")
        world.run(300)
        self.assertEqual(len(side.queue), 0)
        given = side.counts["offered"]
        world.run(2_000)
        self.assertEqual(side.counts["offered"], given)


class FailureTest(unittest.TestCase):
    """One failure while a zone is evacuated or taken into use again."""

    def assert_unused(self, world: FlowWorld, zone: str) -> None:
        """Assert that new flows are served, but not in a zone."""
        zones = open_everywhere(world)
        self.assertEqual(len(zones), 30)
        self.assertNotIn(zone, zones)

    def test_balancer_cut_from_the_store_learns_from_others(self) -> None:
        world = zoned_world()
        world.cut_links.add((world.balancer_hosts[2], "store"))
        world.evacuate("b")
        world.run(BOUND_MS)
        self.assertEqual(world.balancer(2).state.zones.evacuated, {"b"})

    def test_watchers_cut_from_the_store_are_replaced(self) -> None:
        world = zoned_world()
        watchers = [
            host
            for index, host in enumerate(world.balancer_hosts)
            if world.balancer(index).state.evacuations.follower.is_active
        ]
        self.assertLess(len(watchers), 6)
        world.cut_links.update((host, "store") for host in watchers)
        world.evacuate("b")
        world.run(BOUND_MS)
        self.assert_unused(world, "b")

    def test_all_processes_killed_during_an_evacuation(self) -> None:
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        for host in [*world.balancer_hosts, *world.upstreams]:
            world.kill(host)
        world.run(500)
        for host in world.balancer_hosts:
            world.start_balancer(host)
        for host in world.upstreams:
            world.start_side(host)
        world.run(2_000)
        self.assert_unused(world, "a")

    def test_restarted_balancer_learns_from_others_while_the_store_is_away(
        self,
    ) -> None:
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        world.store.state.is_up = False
        host = world.balancer_hosts[3]
        world.kill(host)
        world.run(300)
        world.start_balancer(host)
        self.assertTrue(world.balancer(3).not_ready(world.now))
        world.run(1_500)
        self.assertFalse(world.balancer(3).not_ready(world.now))
        self.assertEqual(world.balancer(3).state.zones.evacuated, {"a"})

    def test_reinstated_while_half_of_the_processes_are_down(self) -> None:
        # An evacuation that a process kept must not outlive its removal.
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        cut = world.balancer_hosts[3:] + list(world.upstreams)[:4]
        others = world.balancer_hosts[:3] + list(world.upstreams)[4:]
        links = {(x, y) for x in cut for y in others}
        links |= {(y, x) for x, y in links} | {(x, "store") for x in cut}
        world.cut_links |= links
        world.reinstate("a")
        world.run(3_000)
        world.cut_links.clear()
        world.run(BOUND_MS)
        for index in range(6):
            self.assertFalse(world.balancer(index).state.zones.evacuated)
        for host in world.upstreams:
            self.assertFalse(world.side(host).state.is_evacuated)

    def test_side_process_that_missed_a_removal_is_told_after_all_restarted(
        self,
    ) -> None:
        # No balancer has a record of the zone any more, only its list of the store.
        world = zoned_world()
        world.evacuate("a")
        world.run(1_000)
        for host in world.balancer_hosts:
            world.kill(host)
        world.reinstate("a")
        world.run(500)
        for host in world.balancer_hosts:
            world.start_balancer(host)
        world.run(4_000)
        for host in world.upstreams:
            self.assertFalse(world.side(host).state.is_evacuated)
        self.assertIn("a", open_everywhere(world))

    def test_store_restored_to_before_the_evacuation(self) -> None:
        world = zoned_world(era=1)
        world.store.keep_copies(500)
        world.run(2_500)
        world.evacuate("a")
        world.run(1_000)
        world.store.restore(2_000)
        world.run(1_000)
        self.assert_unused(world, "a")
        world.evacuate("a")
        world.run(6_000)
        self.assert_unused(world, "a")

    def test_store_restored_to_before_the_removal(self) -> None:
        world = zoned_world(era=1)
        world.store.keep_copies(500)
        world.evacuate("a")
        world.run(2_000)
        world.reinstate("a")
        world.run(500)
        world.store.restore(1_000)
        world.run(500)
        world.reinstate("a")
        world.run(2_000)
        self.assertIn("a", open_everywhere(world))

    def test_second_zone_is_evacuated_meanwhile(self) -> None:
        world = zoned_world()
        world.evacuate("a")
        world.run(300)
        world.evacuate("b")
        world.run(1_000)
        self.assertEqual(set(open_everywhere(world)), {"c"})
        world.reinstate("a")
        world.run(1_500)
        zones = open_everywhere(world)
        self.assertNotIn("b", zones)
        self.assertIn("a", zones)


class UnusedTest(unittest.TestCase):
    """A deployment that evacuates no zones pays nothing for it."""

    def test_no_call_and_no_message(self) -> None:
        world = zoned_world(evacuates=False)
        world.run(3_000)
        self.assertNotIn("Evacuation", world.sent_messages)
        self.assertFalse(
            any(
                world.balancer(index).state.evacuations.follower.is_active
                for index in range(6)
            )
        )


if __name__ == "__main__":
    unittest.main()
