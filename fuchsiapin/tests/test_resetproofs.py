"""A flow is reset only on proof that is current: silence and old answers are none."""

import unittest

from fuchsiapin.flows.gossip import CONFIGURATION_KEY
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.messages import Copy, Held
from fuchsiapin.flows.routes import FlowConfiguration, FlowRoute
from fuchsiapin.flows.searching import PROPAGATION_MS
from fuchsiapin.lightclasses import replace
from fuchsiapin.tests.flowactors import HEARTBEAT_MS, Caller, make_route
from fuchsiapin.tests.flowworld import (
    FlowWorld,
    open_flow,
    settled_world,
    world_with_flow,
)


def links(sources: list[str], targets: list[str]) -> set[tuple[str, str]]:
    """Return the links from some hosts to others."""
    return {(source, target) for source in sources for target in targets}


def isolate(world: FlowWorld, *sources: str) -> tuple[str, str]:
    """Cut off a balancer that doesn't watch the store; return it and another one.

    It receives nothing from other balancers and from `sources`.
    """
    index, balancer = next(
        (index, host)
        for index, host in enumerate(world.balancer_hosts)
        if not world.balancer(index).state.member_follower.is_active
    )
    others = [host for host in world.balancer_hosts if host != balancer]
    world.cut_links = links([*others, *sources], [balancer]) | {(balancer, "store")}
    return balancer, others[0]


class SilentHolderTest(unittest.TestCase):
    """A holder that a balancer doesn't hear may be sound."""

    def test_a_backlog_read_without_the_holders_answer_resets_nothing(self) -> None:
        world, caller, host = world_with_flow(members=12)
        balancer = world.balancer_hosts[0]
        members = list(world.upstreams)
        world.cut_links = links(members, [balancer])
        world.run(2_500)
        world.cut_links = links([host], [balancer])
        world.run(400)
        caller.request(balancer)
        world.run(50)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_a_holder_whose_side_process_is_down_keeps_its_flow(self) -> None:
        world, caller, host = world_with_flow()
        world.kill(host)
        world.run(2_500)
        caller.request(world.balancer_hosts[0])
        world.run(50)
        world.start_side(host)
        world.run(50)
        caller.retransmit(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual((caller.answers, caller.resets), (1, 0))


class SearchAnswerTest(unittest.TestCase):
    """The answer to a search is proof only for the members that it went to."""

    def test_an_answer_to_an_earlier_search_does_not_complete_a_later_one(self) -> None:
        world, caller, host = world_with_flow()
        balancer, other = world.balancer_hosts[1], world.balancer(1)
        for core in (world.balancer(0), world.balancer(2)):
            core.holders.remove(caller.flow)
        other.table.by_host(host).has_unanswered_opening = True
        caller.request(balancer)
        world.run(3)
        other.table.by_host(host).has_unanswered_opening = False
        everyone = [*world.upstreams, *world.balancer_hosts]
        world.cut_links = links(everyone, [host])
        caller.retransmit(balancer)
        world.run(200)
        self.assertEqual(caller.resets, 0)

    def test_a_flow_of_a_former_service_is_found_after_a_restart(self) -> None:
        world = settled_world(members=2)
        world.add_member("10.0.1.9", "new", 2, 30)
        caller = open_flow(world, world.balancer_hosts[0])
        route = world.routes[0]
        world.routes = (
            FlowRoute(route.name, route.address, (("new", 1),), "safe", 1_200, 170, 1),
        )
        world.configure(2)
        world.run(2_000)
        for host in world.balancer_hosts:
            world.start_balancer(host)
        world.run(1_500)
        caller.request(world.balancer_hosts[1])
        world.run(PROPAGATION_MS * 2)
        self.assertEqual((caller.answers, caller.resets), (1, 0))


class UnconfirmedMembersTest(unittest.TestCase):
    """A list of members that was current some time ago proves nothing about now."""

    def test_a_flow_of_a_member_that_joined_since_the_last_match_is_kept(self) -> None:
        world = settled_world(balancers=5)
        host = "10.0.1.9"
        balancer, other = isolate(world, host)
        world.add_member(host, "desk", 8, 30)
        world.run(400)
        caller = next(
            caller
            for caller in [open_flow(world, other) for _ in range(12)]
            if world.holder(caller) == host
        )
        for _ in range(3):
            caller.request(balancer)
            world.run(PROPAGATION_MS)
        self.assertEqual(caller.resets, 0)
        world.cut_links = set()
        world.run(1_500)
        caller.retransmit(balancer)
        world.run(200)
        self.assertEqual((caller.answers > 0, caller.resets), (True, 0))

    def test_no_other_balancer_is_heard_after_a_start(self) -> None:
        world, caller, host = world_with_flow()
        balancer = world.balancer_hosts[1]
        others = [h for h in world.balancer_hosts if h != balancer]
        world.start_balancer(balancer)
        world.cut_links = links(others, [balancer]) | links([host], [balancer])
        world.run(1_000)
        core = world.balancer(1)
        core.table.remove(world.upstreams[host].id)
        caller.request(balancer)
        world.run(PROPAGATION_MS)
        self.assertEqual(caller.resets, 0)

    def test_two_balancers_that_have_just_started_confirm_nothing(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[2])
        first, second, third = world.balancer_hosts
        holder = world.holder(caller)
        known = next(host for host in world.upstreams if host != holder)
        unheard = [host for host in world.upstreams if host != known]
        replicas = world.balancer(0).state.gossip.replicas.by_key
        configuration = replicas[CONFIGURATION_KEY]
        world.cut_links = links([third, *unheard], [first, second])
        world.cut_links |= links([first, second], ["store"])
        for index, host in enumerate((first, second)):
            world.start_balancer(host)
            copy = Copy(CONFIGURATION_KEY, configuration.version, configuration.packed)
            world.balancer(index).on_message(world.now, known, copy)
        world.side(known).announcer.announce(world.now)
        world.run_effects(known)
        world.run(1_000)
        caller.request(first)
        world.run(100)
        self.assertEqual(caller.resets, 0)


class ReusedAddressTest(unittest.TestCase):
    """That an upstream left tells nothing of the next one at its address."""

    def setUp(self) -> None:
        self.world, self.caller, self.host = world_with_flow()
        self.balancer = self.world.balancer_hosts[1]
        core = self.world.balancer(1)
        name = self.world.upstreams[self.host].id
        # This balancer knows the upstream before the present one only, which left.
        self.world.cut_links = links([self.host], [self.balancer])
        core.table.remove(name)
        core.state.gossip.remove(f"members/{name}")
        core.table.left_hosts[self.host] = self.world.now

    def test_a_flow_that_another_balancer_sends_there_is_not_reset(self) -> None:
        self.caller.request(self.balancer)
        self.world.run(100)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_flow_that_the_present_upstream_claims_is_not_reset(self) -> None:
        core = self.world.balancer(1)
        held = Held(self.caller.flow, False, [0, 0, 0, 0, 0])
        core.on_message(self.world.now, self.host, held)
        self.caller.request(self.balancer)
        self.world.run(100)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_the_former_upstream_leaves_after_the_present_one_claimed_the_flow(
        self,
    ) -> None:
        world, core = self.world, self.world.balancer(1)
        present = world.upstreams[self.host]
        former = FlowMember("former", 1, "desk", self.host, "z", 2, "ready")
        del core.table.left_hosts[self.host]
        core.table.put(world.now, former)
        held = Held(self.caller.flow, False, [0, 0, 0, 0, 0])
        core.on_message(world.now, self.host, held)
        core.table.put(world.now, replace(former, state="gone"))
        self.caller.request(self.balancer)
        world.run(200)
        self.assertIn(self.caller.flow, present.flows)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_a_late_claim_of_another_flow_does_not_hide_that_the_upstream_left(
        self,
    ) -> None:
        world, caller, host = world_with_flow()
        world.side(host).on_leave(world.now, world.upstreams[host].id)
        world.run_effects(host)
        world.upstreams[host].is_up = False
        world.run(100)
        world.kill(host)
        core = world.balancer(0)
        core.on_message(world.now, host, Held(b"x" * 12, False, [0, 0, 0, 0, 0]))
        caller.request(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual(caller.resets, 1)


class UnknownHolderTest(unittest.TestCase):
    """An address or a service that this balancer doesn't know proves nothing."""

    def test_a_denial_by_a_side_process_for_another_service(self) -> None:
        world = settled_world(members=1)
        caller = open_flow(world, world.balancer_hosts[0])
        holder = world.holder(caller)
        world.add_member("10.0.1.9", "new", 2, 30)
        route = world.routes[0]
        new = next(
            candidate
            for weight in range(1, 60)
            if (
                candidate := replace(route, shares=(("desk", 1), ("new", weight)))
            ).service_of(caller.flow)
            == "new"
        )
        world.routes = (new,)
        world.configure(2)
        world.run(2_000)
        balancer, core = world.balancer_hosts[1], world.balancer(1)
        view = core.table.by_host(holder)
        core.holders.put(caller.flow, holder, world.now)
        for other in (world.balancer(0), world.balancer(2)):
            other.holders.remove(caller.flow)
        core.table.remove(view.member.id)
        caller.request(balancer)
        world.run(3)
        core.table.put(world.now, view.member)
        world.run(100)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_a_holder_that_only_others_know_is_not_asked_without_end(self) -> None:
        world = settled_world(members=2)
        world.add_member("10.0.1.9", "new", 2, 30)
        caller = open_flow(world, world.balancer_hosts[0])
        holder = world.holder(caller)
        world.routes = (replace(world.routes[0], shares=(("new", 1),)),)
        world.configure(2)
        world.run(2_000)
        world.start_balancer(world.balancer_hosts[1])
        world.run(1_000)
        world.balancer(1).table.remove(world.upstreams[holder].id)
        before = world.sent_messages["Ask"]
        caller.request(world.balancer_hosts[1])
        world.run(1_000)
        self.assertLess(world.sent_messages["Ask"] - before, 20)


class LateOpeningTest(unittest.TestCase):
    """A late opening packet of a flow that is open doesn't get it reset."""

    def late_opening(self, world: FlowWorld) -> Caller:
        """Return a caller whose copy opened the flow while the first packet waits."""
        caller = world.caller()
        caller.open(world.balancer_hosts[0], retransmission=1)
        world.run(50)
        self.assertTrue(caller.is_open)
        for host, upstream in world.upstreams.items():
            if host != world.holder(caller):
                upstream.capacity = 0
        view = world.balancer(1).table.by_host(world.holder(caller))
        view.refused_until = world.now + 500
        return caller

    def test_the_balancer_that_knows_the_flow_answers_late(self) -> None:
        world = settled_world(members=3, balancers=5)
        caller = self.late_opening(world)
        world.cut_links = links(world.balancer_hosts[:1], world.balancer_hosts[1:2])
        caller.open(world.balancer_hosts[1])
        world.run(400)
        self.assertEqual((caller.resets, caller.is_open), (0, True))

    def test_the_balancer_that_knows_the_flow_was_not_heard_yet(self) -> None:
        world = settled_world(members=3)
        others = [world.balancer_hosts[0], world.balancer_hosts[2]]
        world.cut_links = links(others, world.balancer_hosts[1:2])
        world.start_balancer(world.balancer_hosts[1])
        world.run(1_000)
        caller = self.late_opening(world)
        caller.open(world.balancer_hosts[1])
        world.run(400)
        self.assertEqual((caller.resets, caller.is_open), (0, True))

    def test_a_copy_that_its_member_took_after_it_had_returned_the_first(self) -> None:
        world = settled_world(members=3, balancers=1)
        balancer, opener = world.balancer_hosts[0], world.balancer(0).opener
        for upstream in world.upstreams.values():
            upstream.capacity = 0
        caller = world.caller()
        caller.open(balancer)
        world.run(3)
        first = opener.openings.get(caller.flow, world.now).host
        caller.open(balancer, retransmission=1)
        world.run(2)
        world.upstreams[first].capacity = 100
        world.run(2)
        # The member's message that it holds the flow is lost.
        world.cut_links = links([first], [balancer])
        world.run(100)
        self.assertEqual((caller.resets, caller.is_open), (0, True))

    def world_that_refuses(self) -> tuple[FlowWorld, Caller]:
        """Return a world whose only member has no room, and a caller that opens."""
        world = settled_world(members=1)
        for upstream in world.upstreams.values():
            upstream.capacity = 0
        caller = world.caller()
        caller.open(world.balancer_hosts[0])
        return world, caller

    def test_a_copy_sent_on_while_other_balancers_are_asked(self) -> None:
        world, caller = self.world_that_refuses()
        world.run(6)
        for upstream in world.upstreams.values():
            upstream.capacity = 100
        caller.open(world.balancer_hosts[0], retransmission=1)
        world.run(400)
        self.assertEqual((caller.resets, caller.is_open), (0, True))

    def test_a_copy_through_a_balancer_that_has_answered(self) -> None:
        world, caller = self.world_that_refuses()
        first, second, third = world.balancer_hosts
        world.cut_links = links([first], [third])
        world.run(8)
        for upstream in world.upstreams.values():
            upstream.capacity = 100
        caller.open(second, retransmission=1)
        world.run(50)
        world.cut_links = set()
        world.run(400)
        self.assertFalse(caller.is_open and caller.resets)
        self.assertFalse(any(caller.flow in u.flows for u in world.upstreams.values()))


class IncarnationTest(unittest.TestCase):
    """A side process doesn't take the present upstream's flows for former ones."""

    def test_a_flow_opened_before_the_first_heartbeat_of_its_upstream(self) -> None:
        world = settled_world(members=1)
        balancer = world.balancer_hosts[0]
        upstream = next(iter(world.upstreams.values()))
        world.run(100)
        upstream.restart()
        caller = open_flow(world, balancer)
        caller.request(balancer)
        world.run(HEARTBEAT_MS + 200)
        self.assertIn(caller.flow, upstream.flows)
        caller.request(balancer)
        world.run(200)
        self.assertEqual((caller.answers, caller.resets), (2, 0))

    def test_a_late_heartbeat_of_a_former_upstream_after_a_flow_was_adopted(
        self,
    ) -> None:
        world, caller, host = world_with_flow(members=3)
        balancer, upstream = world.balancer_hosts[0], world.upstreams[host]
        former = replace(upstream.next_heartbeat(), id="former", born=1, sequence=900)
        world.start_side(host)
        world.run(20)
        caller.request(balancer)
        world.run(100)
        world.side(host).on_heartbeat(world.now, former)
        world.run_effects(host)
        caller.request(balancer)
        world.run(100)
        self.assertEqual((caller.answers, caller.resets), (2, 0))

    def test_a_late_heartbeat_of_a_former_upstream_before_the_first_one(self) -> None:
        world, caller, host = world_with_flow(members=3)
        balancer, upstream = world.balancer_hosts[0], world.upstreams[host]
        former = replace(upstream.next_heartbeat(), id="former", born=1, sequence=900)
        world.start_side(host)
        for heartbeat in (former, upstream.next_heartbeat()):
            world.side(host).on_heartbeat(world.now, heartbeat)
            world.run_effects(host)
        world.start_balancer(balancer)
        world.run(1_500)
        caller.request(balancer)
        world.run(200)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_two_late_heartbeats_of_a_former_upstream_after_a_restart(self) -> None:
        # review/3: they counted as proof that the living one started afterwards.
        world, caller, host = world_with_flow(members=3)
        upstream = world.upstreams[host]
        former = replace(upstream.next_heartbeat(), id="former", born=1, sequence=900)
        world.start_side(host)
        later = replace(former, sequence=901)
        for heartbeat in (former, later, upstream.next_heartbeat()):
            world.side(host).on_heartbeat(world.now, heartbeat)
            world.run_effects(host)
            world.run(20)
        for balancer in world.balancer_hosts:
            world.start_balancer(balancer)
        world.run(1_500)
        caller.request(world.balancer_hosts[1])
        world.run(3 * PROPAGATION_MS)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_an_upstream_that_replaced_a_probed_one_has_no_older_flows(self) -> None:
        world, _, host = world_with_flow(members=3)
        upstream = world.upstreams[host]
        world.start_side(host)
        world.run(1_000)
        side = world.side(host)
        self.assertFalse(side.upstream.has_seen_all_flows)
        upstream.restart()
        side.on_heartbeat(world.now, upstream.next_heartbeat())
        world.run_effects(host)
        self.assertFalse(side.upstream.has_seen_all_flows)
        world.run(20)
        self.assertTrue(side.upstream.has_seen_all_flows)

    def test_a_closed_port_that_was_probed_before_the_upstream_started(self) -> None:
        world = settled_world(members=1)
        host, upstream = next(iter(world.upstreams.items()))
        side = world.side(host)
        upstream.restart()
        side.on_heartbeat(world.now, upstream.next_heartbeat())
        world.run_effects(host)
        caller = open_flow(world, world.balancer_hosts[0])
        caller.request(world.balancer_hosts[0])
        world.run(100)
        side.on_probe(world.now, "closed", "")
        world.run_effects(host)
        world.run(20)
        self.assertEqual((caller.answers, caller.resets), (1, 0))


class UnknownRouteTest(unittest.TestCase):
    """A balancer with an older configuration resets no flow of a newer route."""

    def test_an_open_flow_of_a_route_that_is_not_known_yet_is_not_reset(self) -> None:
        world = settled_world(balancers=5)
        balancer, other = isolate(world)
        route = make_route(port=444)
        world.routes = (*world.routes, route)
        world.configure(2)
        world.run(100)
        caller = world.caller(route)
        caller.open(other)
        world.run(50)
        self.assertTrue(caller.is_open)
        caller.request(balancer)
        world.run(50)
        self.assertEqual(caller.resets, 0)

    def test_a_late_opening_packet_of_a_route_that_is_not_known_yet(self) -> None:
        world = settled_world(balancers=5)
        balancer, other = isolate(world)
        route = make_route(port=444)
        world.routes = (*world.routes, route)
        world.configure(2)
        world.run(100)
        caller = world.caller(route)
        caller.open(other, retransmission=1)
        world.run(50)
        self.assertTrue(caller.is_open)
        caller.open(balancer)
        world.run(400)
        self.assertEqual(caller.resets, 0)

    def test_a_new_flow_whose_route_arrives_before_the_answers_is_not_refused(
        self,
    ) -> None:
        world = settled_world()
        route = make_route(port=444)
        caller = world.caller(route)
        caller.open(world.balancer_hosts[0])
        world.run(3)
        world.routes = (*world.routes, route)
        configuration = FlowConfiguration(2, world.routes, 15_000)
        world.balancer(0).state.configurations.apply(world.now, configuration, "peer")
        world.run(50)
        self.assertEqual((caller.resets, caller.is_open), (0, True))


if __name__ == "__main__":
    unittest.main()
