"""Open flows of dropped routes, which may be back in a newer configuration."""

import unittest

from fuchsiapin.flows.gossip import LIVE_PEER_MS
from fuchsiapin.flows.messages import Ask, Digest, Known
from fuchsiapin.flows.routechecks import ANSWER_MS
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.flows.sending import NO_ROUTE
from fuchsiapin.tests.drivenbalancer import DrivenBalancer
from fuchsiapin.tests.flowactors import make_route
from fuchsiapin.tests.flowworld import settled_world
from fuchsiapin.tests.test_resetproofs import isolate


class ReturningRouteTest(unittest.TestCase):
    """A route is dropped, and added again by a version that isn't here yet."""

    def test_an_open_flow_is_not_reset_where_the_route_is_still_dropped(self) -> None:
        world = settled_world(balancers=5)
        route = make_route(port=444)
        former = world.routes
        for version, routes in ((2, (*former, route)), (3, former)):
            world.routes = routes
            world.configure(version)
            world.run(1_000)
        balancer, other = isolate(world)
        world.routes = (*former, route)
        world.configure(4)
        world.run(100)
        caller = world.caller(route)
        caller.open(other)
        world.run(50)
        self.assertTrue(caller.is_open)
        caller.request(balancer)
        world.run(100)
        self.assertEqual(caller.resets, 0)
        # The answers of the others arrive, their configuration hasn't yet.
        world.cut_links = {(balancer, "store")}
        caller.retransmit(balancer)
        world.run(100)
        self.assertEqual(caller.resets, 0)
        world.run(1_000)
        caller.retransmit(balancer)
        world.run(100)
        self.assertEqual((caller.answers > 0, caller.resets), (True, 0))

    def test_a_flow_of_a_route_that_stays_dropped_is_reset_at_once(self) -> None:
        world = settled_world(balancers=5)
        route = make_route(port=444)
        former = world.routes
        world.routes = (*former, route)
        world.configure(2)
        world.run(500)
        caller = world.caller(route)
        caller.open(world.balancer_hosts[0])
        world.run(50)
        world.routes = former
        world.configure(3)
        world.run(1_000)
        for resets, host in enumerate(world.balancer_hosts, 1):
            caller.request(host)
            world.run(50)
            self.assertEqual(caller.resets, resets)

    def test_a_dead_balancer_delays_the_reset_until_it_counts_as_dead(self) -> None:
        world = settled_world(balancers=4)
        route = make_route(port=444)
        former = world.routes
        world.routes = (*former, route)
        world.configure(2)
        world.run(500)
        caller = world.caller(route)
        caller.open(world.balancer_hosts[0])
        world.run(50)
        world.routes = former
        world.configure(3)
        world.run(1_000)
        world.kill(world.balancer_hosts[3])
        for wait, resets in ((100, 0), (LIVE_PEER_MS, 0), (100, 1)):
            caller.request(world.balancer_hosts[0])
            world.run(wait)
            self.assertEqual(caller.resets, resets)


class RouteAnswerTest(unittest.TestCase):
    """Which answers of other balancers allow the reset."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=2)
        routes = self.balancer.core.routes
        routes.put(FlowConfiguration(2, (), 15_000))
        self.balancer.request()

    def answer(self, *hosts: str, members: int = 7, holder: str = "") -> None:
        """Receive answers to the question."""
        for host in hosts:
            known = Known(self.balancer.flow, holder, members)
            self.balancer.receive(host, known)

    def test_all_confirm_also_one_that_sent_the_flow_to_a_member(self) -> None:
        self.answer(self.balancer.peers[0], holder=self.balancer.members[0].host)
        self.assertEqual(self.balancer.reasons, [])
        self.answer(self.balancer.peers[1])
        self.assertEqual(self.balancer.reasons, [NO_ROUTE])

    def test_one_that_does_not_vouch_prevents_it(self) -> None:
        self.answer(self.balancer.peers[0], members=0)
        self.answer(*self.balancer.peers)
        self.assertEqual(self.balancer.reasons, [])

    def test_one_that_tells_a_newer_configuration_prevents_it(self) -> None:
        digest = Digest("entry-2", "z", 3, 7, 0)
        self.balancer.receive(self.balancer.peers[0], digest)
        self.answer(*self.balancer.peers)
        self.assertEqual(self.balancer.reasons, [])
        asked = len(self.balancer.asked())
        self.balancer.wait(ANSWER_MS + 1)
        self.balancer.request()
        self.assertEqual(len(self.balancer.asked()), asked)

    def test_late_answers_do_not_count_and_the_next_packet_asks_again(self) -> None:
        self.answer(self.balancer.peers[0])
        self.balancer.request()
        self.assertEqual(len(self.balancer.asked()), 2)
        self.balancer.wait(ANSWER_MS + 1)
        self.answer(self.balancer.peers[1])
        self.balancer.request()
        self.assertEqual((self.balancer.reasons, len(self.balancer.asked())), ([], 4))

    def test_a_route_that_came_back_meanwhile_prevents_it(self) -> None:
        self.answer(self.balancer.peers[0])
        configuration = FlowConfiguration(3, (make_route(),), 15_000)
        self.balancer.core.routes.put(configuration)
        self.answer(self.balancer.peers[1])
        self.assertEqual(self.balancer.reasons, [])

    def test_without_other_balancers_only_one_that_is_alone_resets(self) -> None:
        for reachable in (False, True):
            balancer = DrivenBalancer(peers=0)
            balancer.core.routes.put(FlowConfiguration(2, (), 15_000))
            balancer.core.state.member_follower.is_reachable = reachable
            balancer.request()
            self.assertEqual(balancer.reasons, [NO_ROUTE] * reachable)

    def test_a_balancer_vouches_to_those_that_know_the_routes_services(self) -> None:
        balancer = DrivenBalancer(peers=1)
        balancer.core.routes.put(FlowConfiguration(2, (), 15_000))
        balancer.core.routes.put(FlowConfiguration(3, (make_route(),), 15_000))
        balancer.core.routes.put(FlowConfiguration(4, (make_route(),), 15_000))
        peer = balancer.peers[0]
        for told, members in ((2, 0), (3, balancer.table.ids_hash)):
            balancer.receive(peer, Digest("entry-2", "z", told, 7, 0))
            balancer.receive(peer, Ask(balancer.flow))
            self.assertEqual(balancer.last(Known).members, members)


if __name__ == "__main__":
    unittest.main()
