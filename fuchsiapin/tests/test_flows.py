"""Flows through balancers and side processes, while processes start and stop."""

import unittest

from fuchsiapin.flows.openingstate import Opening
from fuchsiapin.tests.flowactors import make_packet, make_route
from fuchsiapin.tests.flowworld import open_flow, settled_world


class LookupTest(unittest.TestCase):
    """Any balancer finds the upstream that holds a flow."""

    def test_a_request_is_answered_once(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[0])
        caller.request(world.balancer_hosts[0])
        world.run(100)
        self.assertEqual((caller.answers, caller.resets), (1, 0))
        self.assertEqual(sum(u.runs[caller.flow] for u in world.upstreams.values()), 1)

    def test_another_balancer_finds_each_flow(self) -> None:
        world = settled_world(members=8)
        callers = [open_flow(world, world.balancer_hosts[0]) for _ in range(40)]
        for caller in callers:
            caller.request(world.balancer_hosts[1])
        world.run(600)
        self.assertEqual({(c.answers, c.resets) for c in callers}, {(1, 0)})

    def test_a_found_holder_is_cached(self) -> None:
        world = settled_world(members=8)
        caller = open_flow(world, world.balancer_hosts[0])
        for _ in range(3):
            caller.request(world.balancer_hosts[1])
            world.run(100)
        self.assertEqual(caller.answers, 3)
        self.assertEqual(world.balancer(1).counts["searched"], 1)

    def test_flows_continue_when_every_balancer_is_replaced(self) -> None:
        world = settled_world()
        callers = [open_flow(world, world.balancer_hosts[0]) for _ in range(20)]
        for host in world.balancer_hosts:
            world.start_balancer(host)
        world.run(300)
        for caller in callers:
            caller.request(world.balancer_hosts[2])
        world.run(600)
        self.assertEqual({(c.answers, c.resets) for c in callers}, {(1, 0)})

    def test_flows_continue_when_a_side_process_restarts(self) -> None:
        world = settled_world()
        callers = [open_flow(world, world.balancer_hosts[0]) for _ in range(20)]
        for host in list(world.upstreams):
            world.start_side(host)
        world.run(100)
        for caller in callers:
            caller.request(world.balancer_hosts[1])
        world.run(700)
        self.assertEqual({(c.answers, c.resets) for c in callers}, {(1, 0)})

    def test_flows_of_a_former_service_continue(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[0])
        world.add_member("10.0.2.1", "other", 2, 30)
        world.routes = (make_route("other"),)
        world.configure(2)
        world.run(1_000)
        caller.request(world.balancer_hosts[1])
        world.run(200)
        self.assertEqual((caller.answers, caller.resets), (1, 0))

    def test_a_new_flow_goes_to_the_new_service(self) -> None:
        world = settled_world()
        world.add_member("10.0.2.1", "other", 2, 30)
        world.routes = (make_route("other"),)
        world.configure(2)
        world.run(1_000)
        caller = open_flow(world, world.balancer_hosts[0])
        self.assertIn(caller.flow, world.upstreams["10.0.2.1"].flows)


class InvalidPacketTest(unittest.TestCase):
    """Invalid packets are dropped or refused, and never reach an upstream."""

    def test_an_unknown_route_is_refused_at_once(self) -> None:
        world = settled_world()
        caller = world.caller(make_route(port=444))
        caller.open(world.balancer_hosts[0])
        world.run(20)
        self.assertEqual(caller.resets, 1)

    def test_a_flow_whose_route_is_removed_is_reset(self) -> None:
        world = settled_world()
        caller = open_flow(world, world.balancer_hosts[0])
        world.routes = (make_route(port=445),)
        world.configure(2)
        world.run(500)
        caller.request(world.balancer_hosts[0])
        world.run(20)
        self.assertEqual((caller.answers, caller.resets), (0, 1))

    def test_malformed_datagrams_are_dropped(self) -> None:
        world = settled_world()
        caller = world.caller()
        good = make_packet(1, *caller.endpoints(), 1, 0, 10)
        for data in (b"", good[:5], good[:-1], good + b"x"):
            world.send_to_balancer(world.balancer_hosts[0], data)
        world.run(50)
        self.assertEqual(world.balancer(0).counts["malformed"], 4)
        self.assertEqual(sum(len(u.flows) for u in world.upstreams.values()), 0)

    def test_a_reused_address_gets_no_packet_of_the_former_service(self) -> None:
        world = settled_world(members=1)
        caller = open_flow(world, world.balancer_hosts[0])
        world.kill("10.0.1.1")
        world.add_member("10.0.1.1", "other", 2, 30)
        caller.request(world.balancer_hosts[0])
        world.run(400)
        self.assertEqual(world.upstreams["10.0.1.1"].flows, {})
        self.assertEqual(sum(world.upstreams["10.0.1.1"].runs.values()), 0)


class OpeningTest(unittest.TestCase):
    """Opening packets and their retransmissions."""

    def test_a_retransmission_goes_to_the_same_member(self) -> None:
        world = settled_world()
        caller = world.caller()
        for _ in range(3):
            caller.open(world.balancer_hosts[0])
            world.run(60)
        holders = [u for u in world.upstreams.values() if caller.flow in u.flows]
        self.assertEqual(len(holders), 1)

    def test_a_retransmission_goes_to_another_member_after_a_loss(self) -> None:
        world = settled_world()
        caller = world.caller()
        for host in world.upstreams:
            world.kill(host)
        caller.open(world.balancer_hosts[0])
        world.run(50)
        first = world.balancer(0).opener.openings.get(caller.flow, world.now).host
        for host in world.upstreams:
            world.processes[host].is_up = host != first
        world.run(150)
        caller.open(world.balancer_hosts[0])
        world.run(50)
        self.assertTrue(caller.is_open)

    def test_the_silence_of_a_member_never_heard_counts_from_its_addition(self) -> None:
        world = settled_world()
        core = world.balancer(0)
        view = core.table.by_host(next(iter(world.upstreams)))
        view.last_message_at, view.added_at = 0, world.now - 40
        reports: list[dict] = []
        core.opener.report = lambda number, **fields: reports.append(fields)
        opening = Opening(view.member.host, world.now, [view.member.host])
        core.opener.suspect_member(world.now, opening)
        self.assertEqual([fields["silent_ms"] for fields in reports], [40])

    def test_a_full_upstream_passes_a_flow_to_another(self) -> None:
        world = settled_world(members=3)
        for upstream in list(world.upstreams.values())[:2]:
            upstream.capacity = 0
        callers = [open_flow(world, world.balancer_hosts[0]) for _ in range(6)]
        self.assertEqual([c.resets for c in callers], [0] * 6)

    def test_a_flow_that_every_member_refuses_is_reset_at_once(self) -> None:
        world = settled_world(members=3)
        for upstream in world.upstreams.values():
            upstream.capacity = 0
        caller = world.caller()
        caller.open(world.balancer_hosts[0])
        world.run(60)
        self.assertEqual((caller.resets, caller.is_open), (1, False))

    def test_a_service_without_members_is_refused_at_once(self) -> None:
        world = settled_world()
        world.routes = (make_route(), make_route("nobody", port=446))
        world.configure(2)
        world.run(500)
        caller = world.caller(world.routes[1])
        caller.open(world.balancer_hosts[0])
        world.run(20)
        self.assertEqual(caller.resets, 1)

    def test_a_refusal_without_an_offer_is_repeated(self) -> None:
        world = settled_world()
        for upstream in world.upstreams.values():
            upstream.is_draining = True
        world.run(1_000)
        first, other, _ = world.balancer_hosts
        world.cut_links = {(other, first)}
        caller = world.caller()
        caller.open(first)
        world.run(350)
        self.assertEqual(caller.resets, 0)
        world.cut_links = set()
        caller.open(first, retransmission=1)
        world.run(100)
        self.assertEqual(caller.resets, 1)


class NewFlowResetTest(unittest.TestCase):
    """A flow is reset only if it can't have opened."""

    def test_a_flow_that_opened_at_the_first_member_is_not_reset(self) -> None:
        world = settled_world(members=4, slots=1, balancers=1)
        core, host = world.balancer(0), world.balancer_hosts[0]
        caller = world.caller()
        caller.open(host)
        world.run(30)
        self.assertTrue(caller.is_open)
        opening = core.opener.openings.get(caller.flow, world.now)
        first = opening.host
        opening.is_held = False
        opening.offered_at = world.now - 1_000
        opening.retransmissions = 1
        for other, upstream in world.upstreams.items():
            if other != first:
                upstream.capacity = 0
        caller.open(host)
        world.run(200)
        self.assertEqual(caller.resets, 0)

    def test_a_retransmission_first_sent_elsewhere_is_not_reset(self) -> None:
        world = settled_world(members=3)
        for upstream in world.upstreams.values():
            upstream.capacity = 0
        caller = world.caller()
        caller.open(world.balancer_hosts[0], retransmission=1)
        world.run(100)
        self.assertEqual(caller.resets, 0)

    def test_a_late_first_packet_of_a_flow_opened_by_a_retransmission(self) -> None:
        world = settled_world(members=3)
        caller = world.caller()
        caller.open(world.balancer_hosts[0], retransmission=1)
        world.run(50)
        self.assertTrue(caller.is_open)
        for host, upstream in world.upstreams.items():
            if host != world.holder(caller):
                upstream.capacity = 0
        view = world.balancer(1).table.by_host(world.holder(caller))
        view.refused_until = world.now + 500
        caller.open(world.balancer_hosts[1])
        world.run(300)
        self.assertEqual((caller.resets, caller.is_open), (0, True))

    def test_a_queued_flow_is_not_reset(self) -> None:
        world = settled_world(members=2, slots=1, service_ms=400, balancers=1)
        host = world.balancer_hosts[0]
        for index in range(2):
            side = world.side(list(world.upstreams)[index])
            side.held.pending = {bytes([n]): world.now for n in range(20)}
        caller = world.caller()
        caller.open(host)
        world.run(250)
        core = world.balancer(0)
        opening = core.opener.openings.get(caller.flow, world.now)
        other = next(h for h in world.upstreams if h != opening.host)
        opening.tried_hosts.append(other)
        opening.retransmissions = 5
        caller.open(host, retransmission=2)
        world.run(50)
        self.assertEqual(caller.resets, 0)


if __name__ == "__main__":
    unittest.main()
