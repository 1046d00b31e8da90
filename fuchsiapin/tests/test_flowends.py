"""Which events reset an open flow, and which must not."""

import unittest

from fuchsiapin.flows.messages import Copy, Forward
from fuchsiapin.flows.placement import rank_views
from fuchsiapin.flows.searching import NEWS_MS
from fuchsiapin.tests.flowparties import ACK, BOUNCED, FIN, SYN, make_packet, route_of
from fuchsiapin.tests.flowworld import held_flow, open_flow, settled


class WrongHolderTest(unittest.TestCase):
    """A balancer with a wrong cached holder finds the right one and resets nothing."""

    def test_many_packets_sent_to_a_wrong_holder_at_once(self) -> None:
        world = settled(balancers=1)
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
        world = settled(balancers=1)
        host, core = world.balancer_hosts[0], world.balancer(0)
        caller = open_flow(world, host)
        holder = core.holders.get(caller.flow, world.now)
        other = next(h for h in world.upstreams if h != holder)
        world.side(other).delivery.confirm(world.now, caller.flow, host, accepts=True)
        world.carry_out(other)
        world.run(20)
        self.assertEqual(core.holders.get(caller.flow, world.now), holder)

    def test_a_holder_that_was_left_out_of_the_search(self) -> None:
        world, caller, host = held_flow()
        other = world.balancer(1)
        other.table.at(host).doubted = True
        world.cut = {
            (f"10.0.0.{a}", f"10.0.0.{b}") for a in (1, 2, 3) for b in (1, 2, 3)
        }
        caller.request(world.balancer_hosts[1])
        world.run(3)
        other.table.at(host).doubted = False
        world.run(200)
        self.assertEqual(caller.resets, 0)


class AcceptedTwiceTest(unittest.TestCase):
    """Two upstreams accept a flow; its caller continues with the first."""

    def setUp(self) -> None:
        self.world = settled(members=2)
        for host in self.world.upstreams:
            self.world.side(host).upstream.is_seen_whole = True
        self.entry = self.world.balancer_hosts[0]
        self.caller = open_flow(self.world, self.entry)
        hosts = self.world.upstreams
        self.host = next(h for h in hosts if self.caller.flow in hosts[h].flows)
        self.other = next(h for h in hosts if h != self.host)
        packet = make_packet(SYN, *self.caller.ends(), 1, 1)
        forward = Forward("desk", self.entry, 0, 0, False, [], packet)
        self.world.side(self.other).on_message(self.world.now, self.entry, forward)
        self.world.carry_out(self.other)
        self.world.run(20)
        self.assertIn(self.caller.flow, hosts[self.other].flows)

    def ask(self, place: int) -> None:
        """Send a request by a balancer that has cached the other upstream as holder."""
        core = self.world.balancer(place)
        core.holders.put(self.caller.flow, self.other, self.world.now)
        self.caller.request(self.world.balancer_hosts[place])
        self.world.run(200)

    def test_no_packet_is_given_to_the_one_that_was_not_chosen(self) -> None:
        self.ask(1)
        self.assertEqual(self.world.upstreams[self.other].foreign, 0)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_nor_by_a_side_process_that_came_after_its_upstream(self) -> None:
        self.world.side(self.other).upstream.is_seen_whole = False
        self.ask(1)
        self.assertEqual(self.world.upstreams[self.other].foreign, 0)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_late_copy_after_a_restart_hides_no_open_flow(self) -> None:
        for _ in range(3):
            self.caller.request(self.entry)
            self.world.run(100)
        self.world.start_side(self.host)
        self.world.run(1_500)
        self.caller.open(self.entry, copies=2)
        self.world.run(20)
        self.caller.request(self.entry)
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (4, 0))

    def test_the_end_of_the_other_incarnation_ends_no_flow(self) -> None:
        self.world.upstreams[self.other].begin()
        self.world.run(1_000)
        self.ask(1)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_the_closed_port_of_the_other_ends_no_flow(self) -> None:
        self.world.upstreams[self.other].is_up = False
        self.world.run(2_700)
        self.assertEqual(self.caller.resets, 0)

    def test_a_late_return_of_an_opening_packet_ends_no_flow(self) -> None:
        packet = make_packet(SYN | BOUNCED, *self.caller.ends(), 1, 0)
        self.world.upstream_says(self.host, packet)
        self.world.run(20)
        self.caller.request(self.world.balancer_hosts[2])
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))


class UnknownMemberTest(unittest.TestCase):
    """A flow isn't reset if its holder isn't known to the balancer yet."""

    def setUp(self) -> None:
        self.world = settled()
        self.caller = open_flow(self.world, self.world.balancer_hosts[0])
        upstreams = self.world.upstreams
        self.holder = next(
            h for h in upstreams if self.caller.flow in upstreams[h].flows
        )
        self.entry = self.world.balancer_hosts[1]
        others = (self.world.balancer_hosts[0], self.world.balancer_hosts[2], "store")
        self.away = {(self.entry, other) for other in others}
        self.away |= {(other, self.entry) for other in others}

    def forget(self, *hosts: str) -> None:
        """Remove some members from a balancer's state."""
        core = self.world.balancer(1)
        for host in hosts:
            name = core.table.at(host).member.id
            core.table.remove(name)
            core.knowledge.spreading.remove(f"members/{name}")

    def test_news_that_come_later_than_the_packet(self) -> None:
        self.forget(self.holder)
        self.world.cut = set(self.away)
        self.caller.request(self.entry)
        self.world.run(200)
        self.world.cut = set()
        self.world.run(800)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_holder_behind_a_hundred_others(self) -> None:
        world = settled(members=100, balancers=2)
        caller = world.caller()
        first = world.balancer_hosts[0]
        core = world.balancer(1)
        ranked = rank_views(caller.flow, core.table.of("desk"))
        last = ranked[-1].member.host
        packet = make_packet(SYN, *caller.ends(), 1, 0)
        for host in world.upstreams:
            world.side(host).upstream.is_seen_whole = True
        forward = Forward("desk", first, 0, 0, False, [], packet)
        world.side(last).on_message(world.now, first, forward)
        world.carry_out(last)
        world.run(20)
        world.balancer(0).holders.remove(caller.flow)
        caller.request(world.balancer_hosts[1])
        world.run(1_500)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_balancers_that_know_more_without_the_flow(self) -> None:
        self.forget(self.holder)
        for place in (0, 2):
            self.world.balancer(place).holders.remove(self.caller.flow)
        self.caller.request(self.entry)
        self.world.run(NEWS_MS + 400)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_balancer_that_has_just_started_and_reaches_nobody(self) -> None:
        self.world.cut = set(self.away)
        copies = self.world.balancer(1).knowledge.spreading.replicas.replicas
        shared = {key: copies[key] for key in copies if key.startswith("conf")}
        other = next(h for h in self.world.upstreams if h != self.holder)
        name = f"members/{self.world.upstreams[other].id}"
        shared[name] = copies[name]
        self.world.start_balancer(self.entry)
        core = self.world.balancer(1)
        for key, copy in shared.items():
            message = Copy(key, copy.version, copy.packed)
            core.on_message(self.world.now, other, message)
        self.world.run(300)
        for _ in range(4):
            self.caller.request(self.entry)
            self.world.run(NEWS_MS)
        self.assertEqual(self.caller.resets, 0)
        self.world.cut = set()
        self.world.run(2_000)
        self.caller.request(self.entry)
        self.world.run(200)
        self.assertGreater(self.caller.answers, 0)
        self.assertEqual(self.caller.resets, 0)


class HalfClosedTest(unittest.TestCase):
    """Late packets of a flow that its upstream ended still go to that upstream."""

    def test_the_upstream_decides_about_late_packets(self) -> None:
        world = settled()
        for host in world.upstreams:
            world.side(host).upstream.is_seen_whole = True
        caller = open_flow(world, world.balancer_hosts[0])
        caller.request(world.balancer_hosts[0])
        world.run(200)
        host = world.holder(caller)
        end = make_packet(FIN | ACK, caller.flow[6:], caller.flow[:6], 0, 0)
        world.upstream_says(host, end)
        world.run(10_000)
        caller.request(world.balancer_hosts[1])
        world.run(700)
        self.assertEqual((caller.answers, caller.resets), (2, 0))


class GoneTest(unittest.TestCase):
    """Callers of an upstream that is gone get a reset before their deadline."""

    def test_flows_of_a_closed_port_are_reset_at_once(self) -> None:
        world = settled()
        caller = open_flow(world, world.balancer_hosts[0])
        caller.request(world.balancer_hosts[0])
        host = world.holder(caller)
        world.upstreams[host].is_up = False
        world.run(2_700)
        self.assertEqual((caller.answers, caller.resets), (0, 1))

    def test_flows_of_a_former_incarnation_are_reset(self) -> None:
        world, caller, host = held_flow()
        world.upstreams[host].begin()
        world.run(1_000)
        caller.request(world.balancer_hosts[1])
        world.run(100)
        self.assertEqual(caller.resets, 1)

    def test_a_flow_that_nobody_holds_is_reset_soon(self) -> None:
        world = settled()
        caller = open_flow(world, world.balancer_hosts[0])
        for host, upstream in world.upstreams.items():
            upstream.begin()
            world.start_side(host)
        for host in world.balancer_hosts:
            world.start_balancer(host)
        world.run(1_500)
        caller.request(world.balancer_hosts[0])
        world.run(75)
        self.assertEqual(caller.resets, 1)

    def test_a_holder_that_only_another_balancer_knows_is_found(self) -> None:
        world = settled(members=2)
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

    def test_clocks_that_jump_hide_no_flow(self) -> None:
        world = settled()
        caller = open_flow(world, world.balancer_hosts[0])
        for host, upstream in world.upstreams.items():
            upstream.born = world.now + 60_000
            world.start_side(host)
        world.run(1_000)
        caller.request(world.balancer_hosts[1])
        world.run(200)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_a_flow_is_not_reset_while_a_member_is_silent(self) -> None:
        world, caller, host = held_flow()
        world.stop(host)
        world.run(1_500)
        for _ in range(4):
            caller.request(world.balancer_hosts[1])
            world.run(300)
        self.assertEqual(caller.resets, 0)

    def test_a_caller_may_try_again_when_its_holder_is_silent(self) -> None:
        world, caller, host = held_flow()
        world.stop(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        self.assertEqual(caller.resets, 1)

    def test_a_request_that_may_not_be_repeated_waits_for_its_holder(self) -> None:
        world, caller, host = held_flow(routes=(route_of(kind="unsafe"),))
        world.stop(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        self.assertEqual(caller.resets, 0)

    def test_a_planned_stop_beside_a_living_upstream_resets_nothing(self) -> None:
        world, caller, host = held_flow()
        world.side(host).stop(world.now)
        world.carry_out(host)
        world.run(50)
        world.stop(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        self.assertEqual(caller.resets, 0)
        world.start_side(host)
        world.run(50)
        caller.repeat(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual(caller.answers, 1)


class LeavingTest(unittest.TestCase):
    """A leaving upstream gets no new flows, and its open flows continue."""

    def test_an_idle_flow_of_an_upstream_that_left_is_reset_soon(self) -> None:
        world, caller, host = held_flow()
        world.side(host).on_leave(world.now, world.upstreams[host].id)
        world.carry_out(host)
        world.upstreams[host].is_up = False
        world.run(100)
        world.stop(host)
        world.run(5_000)
        caller.request(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual(caller.resets, 1)

    def test_a_draining_upstream_takes_no_new_flow(self) -> None:
        world, caller, host = held_flow(members=2)
        upstream = world.upstreams[host]
        upstream.is_draining = True
        world.side(host).on_heartbeat(world.now, upstream.beat())
        world.carry_out(host)
        held = set(upstream.flows)
        for place in range(12):
            open_flow(world, world.balancer_hosts[place % 3])
        self.assertEqual(set(upstream.flows), held)
        caller.request(world.balancer_hosts[1])
        world.run(100)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_an_upstream_that_left_is_forgotten_everywhere(self) -> None:
        world = settled(members=2)
        host = next(iter(world.upstreams))
        name = world.upstreams[host].id
        world.side(host).on_leave(world.now, name)
        world.carry_out(host)
        world.upstreams[host].is_up = False
        world.run(500)
        for place in range(3):
            self.assertNotIn(name, world.balancer(place).table.views)
        self.assertNotIn(name, world.store.kinds["members"])


if __name__ == "__main__":
    unittest.main()
