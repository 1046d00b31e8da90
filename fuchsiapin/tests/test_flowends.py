"""Which events reset an open flow, and which must not."""

import unittest

from fuchsiapin.flows.messages import Copy, Forward
from fuchsiapin.flows.placement import rank_views
from fuchsiapin.flows.searching import PROPAGATION_MS
from fuchsiapin.tests.flowactors import ACK, BOUNCED, FIN, SYN, make_packet, make_route
from fuchsiapin.tests.flowworld import open_flow, settled_world, world_with_flow


class WrongHolderTest(unittest.TestCase):
    """A balancer with a wrong cached holder finds the right one and resets nothing."""

    def test_many_packets_sent_to_a_wrong_holder_at_once(self) -> None:
        world = settled_world(balancers=1)
        host, core = world.balancer_hosts[0], world.balancer(0)
        caller = open_flow(world, host)
        holder = core.holders.get(caller.flow, world.now)
        wrong = next(h for h in world.upstreams if h != holder)
        core.holders.put(caller.flow, wrong, world.now)
        for _ in range(4):
            caller.request(host)
        world.run(300)
        self.assertEqual((caller.answers, caller.resets), (4, 0))

    def test_the_first_member_that_accepts_is_the_holder(self) -> None:
        world = settled_world(balancers=1)
        host, core = world.balancer_hosts[0], world.balancer(0)
        caller = open_flow(world, host)
        holder = core.holders.get(caller.flow, world.now)
        other = next(h for h in world.upstreams if h != holder)
        world.side(other).delivery.send_held(world.now, caller.flow, host, accepts=True)
        world.run_effects(other)
        world.run(20)
        self.assertEqual(core.holders.get(caller.flow, world.now), holder)

    def test_a_flow_is_not_reset_when_the_search_skipped_its_holder(self) -> None:
        world, caller, host = world_with_flow()
        other = world.balancer(1)
        # The holder is suspect while the search runs, and no longer when it has failed.
        other.table.by_host(host).has_unanswered_opening = True
        world.cut_links = {
            (f"10.0.0.{a}", f"10.0.0.{b}") for a in (1, 2, 3) for b in (1, 2, 3)
        }
        caller.request(world.balancer_hosts[1])
        world.run(3)
        other.table.by_host(host).has_unanswered_opening = False
        world.run(200)
        self.assertEqual(caller.resets, 0)


class AcceptedTwiceTest(unittest.TestCase):
    """Two upstreams accept a flow; its caller continues with the first."""

    def setUp(self) -> None:
        self.world = settled_world(members=2)
        for host in self.world.upstreams:
            self.world.side(host).upstream.has_seen_all_flows = True
        self.balancer_host = self.world.balancer_hosts[0]
        self.caller = open_flow(self.world, self.balancer_host)
        hosts = self.world.upstreams
        self.host = next(h for h in hosts if self.caller.flow in hosts[h].flows)
        self.other = next(h for h in hosts if h != self.host)
        packet = make_packet(SYN, *self.caller.endpoints(), 1, 1)
        forward = Forward("desk", self.balancer_host, 0, 0, False, [], packet)
        self.world.side(self.other).on_message(
            self.world.now, self.balancer_host, forward
        )
        self.world.run_effects(self.other)
        self.world.run(20)
        self.assertIn(self.caller.flow, hosts[self.other].flows)

    def request_through(self, index: int) -> None:
        """Send a request through a balancer; it has the other upstream as holder."""
        core = self.world.balancer(index)
        core.holders.put(self.caller.flow, self.other, self.world.now)
        self.caller.request(self.world.balancer_hosts[index])
        self.world.run(200)

    def test_the_second_upstream_gets_no_packet(self) -> None:
        self.request_through(1)
        self.assertEqual(self.world.upstreams[self.other].foreign_packets, 0)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_the_second_upstream_gets_no_packet_after_its_side_process_restarted(
        self,
    ) -> None:
        self.world.side(self.other).upstream.has_seen_all_flows = False
        self.request_through(1)
        self.assertEqual(self.world.upstreams[self.other].foreign_packets, 0)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_late_retransmission_after_a_restart_does_not_lose_the_flow(self) -> None:
        for _ in range(3):
            self.caller.request(self.balancer_host)
            self.world.run(100)
        self.world.start_side(self.host)
        self.world.run(1_500)
        self.caller.open(self.balancer_host, retransmission=2)
        self.world.run(20)
        self.caller.request(self.balancer_host)
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (4, 0))

    def test_a_restart_of_the_second_upstream_does_not_end_the_flow(self) -> None:
        self.world.upstreams[self.other].restart()
        self.world.run(1_000)
        self.request_through(1)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_closed_port_of_the_second_upstream_does_not_end_the_flow(self) -> None:
        self.world.upstreams[self.other].is_up = False
        self.world.run(2_700)
        self.assertEqual(self.caller.resets, 0)

    def test_a_late_bounced_opening_packet_does_not_end_the_flow(self) -> None:
        packet = make_packet(SYN | BOUNCED, *self.caller.endpoints(), 1, 0)
        self.world.send_from_upstream(self.host, packet)
        self.world.run(20)
        self.caller.request(self.world.balancer_hosts[2])
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))


class UnknownMemberTest(unittest.TestCase):
    """A flow isn't reset if its holder isn't known to the balancer yet."""

    def setUp(self) -> None:
        self.world = settled_world()
        self.caller = open_flow(self.world, self.world.balancer_hosts[0])
        upstreams = self.world.upstreams
        self.holder = next(
            h for h in upstreams if self.caller.flow in upstreams[h].flows
        )
        self.balancer_host = self.world.balancer_hosts[1]
        others = (self.world.balancer_hosts[0], self.world.balancer_hosts[2], "store")
        self.cut_off_links = {(self.balancer_host, other) for other in others}
        self.cut_off_links |= {(other, self.balancer_host) for other in others}

    def remove_members(self, *hosts: str) -> None:
        """Remove some members from a balancer's state."""
        core = self.world.balancer(1)
        for host in hosts:
            name = core.table.by_host(host).member.id
            core.table.remove(name)
            core.state.gossip.remove(f"members/{name}")

    def test_a_member_record_that_arrives_after_the_packet(self) -> None:
        self.remove_members(self.holder)
        self.world.cut_links = set(self.cut_off_links)
        self.caller.request(self.balancer_host)
        self.world.run(200)
        self.world.cut_links = set()
        self.world.run(800)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_holder_at_the_last_of_a_hundred_ranks(self) -> None:
        world = settled_world(members=100, balancers=2)
        caller = world.caller()
        first = world.balancer_hosts[0]
        core = world.balancer(1)
        ranked = rank_views(caller.flow, core.table.by_service("desk"))
        last = ranked[-1].member.host
        packet = make_packet(SYN, *caller.endpoints(), 1, 0)
        for host in world.upstreams:
            world.side(host).upstream.has_seen_all_flows = True
        forward = Forward("desk", first, 0, 0, False, [], packet)
        world.side(last).on_message(world.now, first, forward)
        world.run_effects(last)
        world.run(20)
        world.balancer(0).holders.remove(caller.flow)
        caller.request(world.balancer_hosts[1])
        world.run(1_500)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_other_balancers_know_the_member_but_not_the_flow(self) -> None:
        self.remove_members(self.holder)
        for index in (0, 2):
            self.world.balancer(index).holders.remove(self.caller.flow)
        self.caller.request(self.balancer_host)
        self.world.run(PROPAGATION_MS + 400)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_an_isolated_balancer_resets_no_flow_after_its_start(self) -> None:
        self.world.cut_links = set(self.cut_off_links)
        copies = self.world.balancer(1).state.gossip.replicas.by_key
        shared = {key: copies[key] for key in copies if key.startswith("conf")}
        other = next(h for h in self.world.upstreams if h != self.holder)
        name = f"members/{self.world.upstreams[other].id}"
        shared[name] = copies[name]
        self.world.start_balancer(self.balancer_host)
        core = self.world.balancer(1)
        for key, copy in shared.items():
            message = Copy(key, copy.version, copy.packed)
            core.on_message(self.world.now, other, message)
        self.world.run(300)
        for _ in range(4):
            self.caller.request(self.balancer_host)
            self.world.run(PROPAGATION_MS)
        self.assertEqual(self.caller.resets, 0)
        self.world.cut_links = set()
        self.world.run(2_000)
        self.caller.request(self.balancer_host)
        self.world.run(200)
        self.assertGreater(self.caller.answers, 0)
        self.assertEqual(self.caller.resets, 0)


class HalfClosedTest(unittest.TestCase):
    """Late packets of a flow that its upstream ended still go to that upstream."""

    def test_the_upstream_decides_about_late_packets(self) -> None:
        world = settled_world()
        for host in world.upstreams:
            world.side(host).upstream.has_seen_all_flows = True
        caller = open_flow(world, world.balancer_hosts[0])
        caller.request(world.balancer_hosts[0])
        world.run(200)
        host = world.holder(caller)
        end = make_packet(FIN | ACK, caller.flow[6:], caller.flow[:6], 0, 0)
        world.send_from_upstream(host, end)
        world.run(10_000)
        caller.request(world.balancer_hosts[1])
        world.run(700)
        self.assertEqual((caller.answers, caller.resets), (2, 0))


class GoneUpstreamTest(unittest.TestCase):
    """Callers of an upstream that is gone get a reset instead of timing out."""

    def test_flows_of_a_closed_port_are_reset_without_a_packet(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[0])
        caller.request(world.balancer_hosts[0])
        host = world.holder(caller)
        world.upstreams[host].is_up = False
        world.run(2_700)
        self.assertEqual((caller.answers, caller.resets), (0, 1))

    def test_flows_of_a_former_incarnation_are_reset(self) -> None:
        world, caller, host = world_with_flow()
        world.upstreams[host].restart()
        world.run(1_000)
        caller.request(world.balancer_hosts[1])
        world.run(100)
        self.assertEqual(caller.resets, 1)

    def test_a_flow_that_nobody_holds_is_reset_within_75_ms(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[0])
        for host, upstream in world.upstreams.items():
            upstream.restart()
            world.start_side(host)
        for host in world.balancer_hosts:
            world.start_balancer(host)
        world.run(1_500)
        caller.request(world.balancer_hosts[0])
        world.run(75)
        self.assertEqual(caller.resets, 1)
        reset = world.resets[0]
        self.assertEqual((reset["denials"], reset["confirmations"]), (4, 2))

    def test_a_packet_to_a_silent_holder_is_reported(self) -> None:
        world, caller, host = world_with_flow()
        world.kill(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        self.assertEqual(world.event_counts[6107], 1)

    def test_a_holder_that_only_another_balancer_knows_is_found(self) -> None:
        world = settled_world(members=2)
        world.add_member("10.0.1.9", "desk", 2, 30)
        world.run(2_000)
        callers = [open_flow(world, world.balancer_hosts[0]) for _ in range(20)]
        held = [c for c in callers if c.flow in world.upstreams["10.0.1.9"].flows]
        self.assertTrue(held)
        other = world.balancer(1)
        other.table.remove(world.upstreams["10.0.1.9"].id)
        held[0].request(world.balancer_hosts[1])
        world.run(100)
        self.assertEqual((held[0].answers, held[0].resets), (1, 0))

    def test_clock_jumps_do_not_lose_the_flow(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[0])
        for host, upstream in world.upstreams.items():
            upstream.born = world.now + 60_000
            world.start_side(host)
        world.run(1_000)
        caller.request(world.balancer_hosts[1])
        world.run(200)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_a_search_does_not_reset_while_a_member_is_silent(self) -> None:
        world, caller, host = world_with_flow()
        world.kill(host)
        world.run(1_500)
        for _ in range(4):
            caller.request(world.balancer_hosts[1])
            world.run(300)
        self.assertEqual(caller.resets, 0)

    def test_an_unsafe_flow_with_a_silent_cached_holder_is_not_reset(self) -> None:
        world, caller, host = world_with_flow(routes=(make_route(kind="unsafe"),))
        world.kill(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        self.assertEqual(caller.resets, 0)

    def test_a_planned_stop_beside_a_living_upstream_resets_nothing(self) -> None:
        world, caller, host = world_with_flow()
        world.side(host).stop(world.now)
        world.run_effects(host)
        world.run(50)
        world.kill(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        self.assertEqual(caller.resets, 0)
        world.start_side(host)
        world.run(50)
        caller.retransmit(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual(caller.answers, 1)


class LeavingTest(unittest.TestCase):
    """A leaving upstream gets no new flows, and its open flows continue."""

    def test_an_idle_flow_of_an_upstream_that_left_is_reset_on_its_next_packet(
        self,
    ) -> None:
        world, caller, host = world_with_flow()
        world.side(host).on_leave(world.now, world.upstreams[host].id)
        world.run_effects(host)
        world.upstreams[host].is_up = False
        world.run(100)
        world.kill(host)
        world.run(5_000)
        caller.request(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual(caller.resets, 1)
        reset = world.resets[0]
        self.assertEqual((reset["reason"], reset["host"]), ("upstream gone", host))

    def test_a_draining_upstream_takes_no_new_flow(self) -> None:
        world, caller, host = world_with_flow(members=2)
        upstream = world.upstreams[host]
        upstream.is_draining = True
        world.side(host).on_heartbeat(world.now, upstream.next_heartbeat())
        world.run_effects(host)
        held = set(upstream.flows)
        for index in range(12):
            open_flow(world, world.balancer_hosts[index % 3])
        self.assertEqual(set(upstream.flows), held)
        caller.request(world.balancer_hosts[1])
        world.run(100)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_an_upstream_that_left_is_forgotten_everywhere(self) -> None:
        world = settled_world(members=2)
        host = next(iter(world.upstreams))
        name = world.upstreams[host].id
        world.side(host).on_leave(world.now, name)
        world.run_effects(host)
        world.upstreams[host].is_up = False
        world.run(500)
        for index in range(3):
            self.assertNotIn(name, world.balancer(index).table.views)
        self.assertNotIn(name, world.store.kinds["members"])


if __name__ == "__main__":
    unittest.main()
