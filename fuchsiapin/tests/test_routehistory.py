"""Flows of services that a route had in versions that a balancer skipped."""

import unittest

from fuchsiapin.flows.following import WATCH_SLACK_MS, WATCH_WAIT_MS
from fuchsiapin.flows.gossip import CONFIGURATION_KEY
from fuchsiapin.flows.messages import Copy, Forward, Known
from fuchsiapin.flows.routes import FlowConfiguration, RouteTable, pack_configuration
from fuchsiapin.flows.searching import MAX_FLOW_MS, PROPAGATION_MS
from fuchsiapin.flows.storage import CONFIGURATION, StoredItem, StoreResult
from fuchsiapin.replicas import pack_value
from fuchsiapin.tests.drivenbalancer import DrivenBalancer, make_member
from fuchsiapin.tests.flowactors import SERVICE, Caller, make_route
from fuchsiapin.tests.flowworld import FlowWorld, open_flow, settled_world

OTHER = "other"


def configuration(version: int, service: str = SERVICE) -> FlowConfiguration:
    """Return a configuration that sends the route's new flows to a service."""
    return FlowConfiguration(version, (make_route(service),), 15_000)


class CutBalancerTest(unittest.TestCase):
    """A balancer is cut off while a route moves to another service and back."""

    def cut(self, is_store_cut_longer: bool) -> tuple[FlowWorld, str, Caller]:
        """Return a world, the balancer that was cut off, and a flow that opened then.

        The flow is open at the service that the route had meanwhile.
        """
        world = settled_world()
        world.add_member("10.0.1.9", OTHER, 2, 30)
        world.run(MAX_FLOW_MS + 1_000)
        cut, other = world.balancer_hosts[0], world.balancer_hosts[1]
        hosts = [*world.processes, "store"]
        links = {(a, b) for a in hosts for b in hosts if a != b and cut in (a, b)}
        world.cut_links = links
        world.run(WATCH_WAIT_MS + WATCH_SLACK_MS)  # the open watch still gets an answer
        world.routes = (make_route(OTHER),)
        world.configure(2)
        world.run(2_000)
        caller = open_flow(world, other)
        world.routes = (make_route(),)
        world.configure(3)
        world.run(2_000)
        world.cut_links = {(cut, "store")} if is_store_cut_longer else set()
        world.run(WATCH_WAIT_MS + 2 * WATCH_SLACK_MS)
        self.assertEqual(world.balancer(0).routes.version, 3)
        return world, cut, caller

    def check_found(self, world: FlowWorld, balancer: str, caller: Caller) -> None:
        """Check that a flow is found by a balancer, and not reset."""
        for index in range(3):
            world.balancer(index).holders.remove(caller.flow)
        caller.request(balancer)
        world.run(3 * PROPAGATION_MS)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_a_version_is_skipped_when_another_balancer_sends_the_last_one(
        self,
    ) -> None:
        # review/4: the search left out a service of the version between.
        self.check_found(*self.cut(is_store_cut_longer=True))

    def test_the_store_shows_the_version_between_afterwards(self) -> None:
        world, cut, caller = self.cut(is_store_cut_longer=False)
        self.assertEqual(
            world.balancer(0).routes.former_services[make_route().address], (OTHER,)
        )
        self.check_found(world, cut, caller)


class SkippedVersionTest(unittest.TestCase):
    """A balancer knows since when it has read each version."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(members=1)
        self.keeper = self.balancer.core.state.configurations
        self.follower = self.keeper.follower
        self.read(self.balancer.now, 1)
        self.balancer.wait(2 * MAX_FLOW_MS)

    def read(self, listed_at: int, version: int, service: str = SERVICE) -> None:
        """Read a version from the store, in a list if one was read at this time."""
        self.follower.listed_at = listed_at
        item = StoredItem("main", version, configuration(version, service))
        self.keeper.apply_change(self.balancer.now, item)

    def copy(self, version: int) -> None:
        """Receive a version from another balancer."""
        value = pack_value(pack_configuration(configuration(version)))
        self.balancer.receive(
            self.balancer.peers[0], Copy(CONFIGURATION_KEY, version, value)
        )

    def knows_services(self) -> bool:
        """Return whether no version was skipped during a flow's life."""
        return self.balancer.core.search.knows_services(self.balancer.now)

    def test_a_watch_skips_nothing(self) -> None:
        self.read(0, 2)
        self.assertTrue(self.knows_services())

    def test_a_list_may_have_skipped_versions_until_now(self) -> None:
        self.read(self.balancer.now, 2)
        self.assertFalse(self.knows_services())
        self.balancer.wait(MAX_FLOW_MS + 1)
        self.assertTrue(self.knows_services())

    def test_a_list_of_the_known_version_skipped_nothing(self) -> None:
        self.read(self.balancer.now, 1)
        self.assertTrue(self.knows_services())

    def test_a_copy_may_have_skipped_versions_until_a_watch_shows_them(self) -> None:
        self.copy(5)
        self.assertFalse(self.knows_services())
        self.read(0, 3, OTHER)
        self.assertFalse(self.knows_services())
        self.read(0, 5)
        self.assertTrue(self.knows_services())
        self.assertEqual(self.balancer.core.routes.version, 5)

    def test_a_list_sets_the_time_that_the_keeper_compares(self) -> None:
        self.follower.relist(self.balancer.now)
        item = StoredItem("main", 9, configuration(9))
        listed = StoreResult("done", (item,), 9)
        self.balancer.core.on_store(self.balancer.now, self.follower.purpose, listed)
        self.assertEqual(self.follower.kind, CONFIGURATION)
        self.assertFalse(self.knows_services())

    def test_other_services_are_searched_after_a_skipped_version(self) -> None:
        self.balancer.table.put(self.balancer.now, make_member(5, OTHER))
        self.copy(5)
        self.balancer.search_in_vain()
        self.assertEqual(self.balancer.last(Forward).service, OTHER)
        self.assertEqual(self.balancer.asked(), [])


class EarlierConfigurationTest(unittest.TestCase):
    """An earlier configuration that arrives late tells services, and changes none."""

    def test_its_services_are_remembered_and_its_routes_are_not_in_force(self) -> None:
        table = RouteTable()
        table.put(configuration(5))
        self.assertFalse(table.put(configuration(3, OTHER)))
        route = make_route()
        self.assertEqual(table.routes, {route.address: route})
        self.assertEqual(table.services(route), [SERVICE, OTHER])


class NamedHolderTest(unittest.TestCase):
    """A balancer names a holder that the search here didn't ask."""

    def test_a_member_of_another_service_is_asked_and_nothing_is_reset(self) -> None:
        # review/4: the holder's name was taken for a confirmation that there is none.
        balancer = DrivenBalancer(peers=1)
        holder = make_member(9, OTHER)
        balancer.table.put(balancer.now, holder)
        balancer.search_in_vain()
        known = Known(balancer.flow, holder.host, balancer.first_hash)
        balancer.receive(balancer.peers[0], known)
        self.assertEqual(balancer.reasons, [])
        self.assertEqual(balancer.hosts_of(Forward)[-1], holder.host)
        self.assertEqual(balancer.last(Forward).service, OTHER)
        balancer.claim(holder.host)
        balancer.request()
        self.assertEqual(balancer.hosts_of(Forward)[-1], holder.host)

    def test_a_member_that_denied_the_flow_is_not_asked_again(self) -> None:
        balancer = DrivenBalancer(peers=1)
        balancer.search_in_vain()
        host = balancer.members[0].host
        known = Known(balancer.flow, host, balancer.first_hash)
        balancer.receive(balancer.peers[0], known)
        self.assertEqual(balancer.reasons, ["held nowhere"])


if __name__ == "__main__":
    unittest.main()
