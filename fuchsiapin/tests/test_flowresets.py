"""No open flow whose upstream holds it is reset, whatever is late or fails."""

import unittest
from typing import Any

from fuchsiapin.flows.balancercore import FlowBalancerCore
from fuchsiapin.flows.packets import Packet
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.flows.searching import HolderSearch
from fuchsiapin.flows.sidecore import FlowSideCore
from fuchsiapin.tests.flowchaos import ChaosWorld
from fuchsiapin.tests.flowworld import settled_world
from fuchsiapin.tests.test_resetproofs import isolate, links

DRILL_SETTLE_MS = 6_000
"""Time after the last fault in which all balancers have the newest configuration."""
LONGEST_PAUSE_MS = 4_000
"""Longest time between two answers to a caller in a world without faults."""
EVACUATED_SETTLE_MS = 11_000
"""Time in which all processes agree with the store after drills and restarts, which may
keep an evacuation in force for 5 s more."""
SMALL = {"span_ms": 2_000, "callers": 15, "members": 3, "balancers": 2}
"""Options of a small world."""


class ResettingSearch(HolderSearch):
    """A deliberate fault: every flow that would be searched is reset."""

    def start(
        self,
        now: int,
        packet: Packet,
        route: FlowRoute,
        excluded_host: str = "",
        is_repeated: bool = False,
    ) -> None:
        """Reset the flow."""
        self.sender.reset(packet, "searched")


class FaultyWorld(ChaosWorld):
    """A world whose balancers have a deliberate fault."""

    def start(self, host: str, core: FlowBalancerCore | FlowSideCore) -> None:
        """Start a process at an address."""
        if isinstance(core, FlowBalancerCore):
            core.search = ResettingSearch(
                core.state, core.sender, core.holders, core.report
            )
        super().start(host, core)


def quiet_world(seed: int, **options: Any) -> ChaosWorld:
    """Return a world without actions, in which flows were opened."""
    world = ChaosWorld(seed, actions=0, span_ms=500, callers=20, **options)
    world.run_all()
    return world


class CheckTest(unittest.TestCase):
    """The check finds wrong resets, and only these."""

    def test_a_balancer_that_resets_searched_flows_is_found(self) -> None:
        world = FaultyWorld(1, actions=0, span_ms=500, callers=20)
        world.run_all()
        self.assertEqual({r.reason for r in world.wrong_resets}, {"searched"})

    def test_a_side_process_that_resets_flows_of_a_living_upstream_is_found(
        self,
    ) -> None:
        world = quiet_world(1)
        host = next(h for h, u in world.upstreams.items() if u.open_flows)
        world.side(host).probed_at = world.now
        world.side(host).on_probe(world.now, "closed", "")
        world.run_effects(host)
        self.assertEqual({r.reason for r in world.wrong_resets}, {"port closed"})
        self.assertEqual({r.host for r in world.wrong_resets}, {host})

    def test_flows_are_served_and_not_reset_without_faults(self) -> None:
        world = quiet_world(1)
        self.assertEqual(world.resets, [])
        self.assertTrue(all(c.answers for c in world.callers.values()))

    def test_resets_of_flows_of_a_crashed_upstream_are_not_wrong(self) -> None:
        world = quiet_world(1)
        upstream = next(u for u in world.upstreams.values() if u.open_flows)
        upstream.is_up = False
        world.run(5_000)
        resets = sum(c.resets for c in world.callers.values())
        self.assertGreaterEqual(resets, len(upstream.open_flows))
        self.assertEqual(world.wrong_resets, [])

    def test_inputs_wait_during_a_stall_and_are_handled_in_order(self) -> None:
        world = quiet_world(1)
        host, handled = world.balancer_hosts[0], []
        world.stall(host, 100, is_process=True)
        for number in range(30):
            world.enter(host, lambda n=number: handled.append(n), is_local=False)
        world.run(99)
        self.assertEqual((handled, world.runs_timers(host)), ([], False))
        world.run(3)
        self.assertTrue(0 < len(handled) < 30 and world.runs_timers(host))
        world.run(100)
        self.assertEqual(handled, list(range(30)))


class UninformedWorld(ChaosWorld):
    """A world whose balancers and side processes learn of no evacuation."""

    def start(self, host: str, core: FlowBalancerCore | FlowSideCore) -> None:
        """Start a process at an address."""
        core.state.zones.put = lambda *record: False
        super().start(host, core)


class EvacuationCheckTest(unittest.TestCase):
    """The check finds new flows in evacuated zones, and only these."""

    def test_new_flows_in_an_evacuated_zone_are_found(self) -> None:
        world = UninformedWorld(1, actions=0, evacuations=2, span_ms=9_000)
        self.assertTrue(world.run_all())
        self.assertEqual(world.wrong_resets, [])

    def test_open_flows_in_an_evacuated_zone_go_on(self) -> None:
        world = ChaosWorld(1, actions=0, evacuations=3, span_ms=9_000)
        self.assertEqual(world.run_all(), [])
        self.assertEqual(world.resets, [])
        late = [
            caller
            for caller in world.callers.values()
            if not caller.answers or world.now - caller.answered_at > LONGEST_PAUSE_MS
        ]
        self.assertEqual(late, [])


class CauseTest(unittest.TestCase):
    """Each seed led to a wrong reset for one cause."""

    def assert_no_wrong_reset(
        self, seed: int, kinds: tuple[str, ...] = (), **options: Any
    ) -> None:
        """Run a world, and require that flows were opened and none reset wrongly."""
        world = ChaosWorld(seed, kinds, **options)
        wrong_resets = world.run_all()
        self.assertTrue(any(c.answers for c in world.callers.values()))
        self.assertEqual(wrong_resets, [])

    def test_a_side_process_that_is_down_is_no_proof(self) -> None:
        self.assert_no_wrong_reset(38, ("restart side",), actions=1, **SMALL)

    def test_silence_is_no_proof_while_a_backlog_waits(self) -> None:
        self.assert_no_wrong_reset(32)

    def test_a_flow_opened_before_the_first_heartbeat_is_not_lost(self) -> None:
        """Its upstream restarted, and accepted it before its side process knew."""
        self.assert_no_wrong_reset(36, ("crash upstream",), actions=4, **SMALL)

    def test_a_late_opening_packet_finds_no_route_at_a_late_balancer(self) -> None:
        """Its retransmission opened the flow at a balancer that knows the route."""
        self.assert_no_wrong_reset(
            44, ("add route", "stall balancers"), actions=2, **SMALL
        )

    def test_a_search_that_fails_after_the_holder_was_found_is_no_proof(self) -> None:
        """The next upstream at a former holder's address had reported the flow."""
        self.assert_no_wrong_reset(21, drills=2)

    def test_the_answer_to_an_earlier_search_is_no_proof(self) -> None:
        kinds = ("restart side", "stall side")
        options = SMALL | {"span_ms": 2_500, "callers": 25, "balancers": 3}
        self.assert_no_wrong_reset(26, kinds, actions=4, **options)


class FormerOfferTest(unittest.TestCase):
    """That a member left is no proof for a flow that was only offered to it."""

    def test_a_flow_that_opened_at_a_member_not_known_here_is_not_reset(self) -> None:
        world = settled_world(members=2, balancers=5)
        new = "10.0.1.9"
        balancer, other = isolate(world, new)
        world.add_member(new, "desk", 8, 30)
        world.run(900)
        lost_offers = links([balancer], list(world.upstreams))
        world.cut_links |= lost_offers
        caller = world.caller()
        caller.open(balancer)
        world.run(10)
        world.cut_links -= lost_offers
        core = world.balancer(world.balancer_hosts.index(balancer))
        offered = core.holders.get(caller.flow, world.now)
        for host, upstream in world.upstreams.items():
            upstream.capacity = 100 if host == new else 0
        caller.open(other, retransmission=1)
        world.run(100)
        self.assertEqual((caller.is_open, world.holder(caller)), (True, new))
        world.side(offered).on_leave(world.now, world.upstreams[offered].id)
        world.run_effects(offered)
        world.upstreams[offered].is_up = False
        world.run(20)
        caller.request(balancer)
        world.run(100)
        self.assertEqual(caller.resets, 0)


class RandomTest(unittest.TestCase):
    """Worlds with all actions."""

    def test_no_open_flow_is_reset(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                self.assertEqual(ChaosWorld(seed).run_all(), [])

    def test_no_open_flow_is_reset_when_the_store_comes_back_from_a_copy(self) -> None:
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                world = ChaosWorld(seed, drills=2)
                self.assertEqual(world.run_all(), [])
                world.run(DRILL_SETTLE_MS)
                versions = {
                    process.core.routes.version
                    for process in world.processes.values()
                    if process.is_up and isinstance(process.core, FlowBalancerCore)
                }
                self.assertEqual(versions, {max(1, len(world.routes))})

    def test_no_open_flow_is_reset_after_a_late_notice_of_an_earlier_start(
        self,
    ) -> None:
        restarts = ("restart balancer", "restart side")
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                kinds = restarts if seed % 2 else ()
                world = ChaosWorld(seed, kinds, callers=100, late_notices=5)
                self.assertEqual(world.run_all(), [])

    def test_evacuated_zones_get_no_new_flow(self) -> None:
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                options = {"callers": 150, "span_ms": 10_000, "drills": seed % 2}
                world = ChaosWorld(seed, evacuations=2, **options)
                self.assertEqual(world.run_all(), [])
                world.run(EVACUATED_SETTLE_MS)
                for host, process in world.processes.items():
                    zones = process.core.state.zones.evacuated
                    scope = {world.zone_by_host[host]}
                    if isinstance(process.core, FlowBalancerCore):
                        scope = set(world.zones)
                    if process.is_up:
                        self.assertFalse(zones & scope)


if __name__ == "__main__":
    unittest.main()
