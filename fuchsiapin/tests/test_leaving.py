"""Notices that an upstream leaves: true ones, and late ones of an earlier start."""

import unittest

from fuchsiapin.daemons.flowside import MAX_STOP_MS, FlowSideShell
from fuchsiapin.flows.storage import MEMBERS
from fuchsiapin.flows.upstreams import MISSED_HEARTBEATS
from fuchsiapin.tests.flowactors import HEARTBEAT_MS, Caller
from fuchsiapin.tests.flowworld import (
    FlowWorld,
    open_flow,
    settled_world,
    world_with_flow,
)

PROBE_MS = 5
"""Time within which a health check is sent and answered."""
REPEATED_PROBE_MS = 700
"""Time within which a repeated health check is sent and answered."""


def restart_under_id(world: FlowWorld, host: str) -> int:
    """Start the upstream at an address again under its id; return the former start."""
    upstream = world.upstreams[host]
    name, former_born = upstream.id, upstream.born
    upstream.restart()
    upstream.id = name
    upstream.is_draining = False
    world.send_heartbeat(host, upstream.next_heartbeat())
    world.run(HEARTBEAT_MS)
    return former_born


def notify(world: FlowWorld, host: str, born: int | None = None) -> None:
    """Let a notice of the upstream at an address arrive."""
    world.side(host).on_leave(world.now, world.upstreams[host].id, born)
    world.run_effects(host)


def drain(world: FlowWorld, host: str) -> None:
    """Let the upstream at an address report that it drains."""
    upstream = world.upstreams[host]
    upstream.is_draining = True
    world.send_heartbeat(host, upstream.next_heartbeat())
    world.run(50)


def replace_balancers(world: FlowWorld) -> None:
    """Restart the balancers one after the other."""
    for host in world.balancer_hosts:
        world.start_balancer(host)
        world.run(1_500)


def open_flow_at(world: FlowWorld, host: str) -> Caller:
    """Return a caller with an open flow at the upstream of an address."""
    for _ in range(40):
        caller = open_flow(world, world.balancer_hosts[0])
        if world.holder(caller) == host:
            return caller
    raise AssertionError(f"no new flow in 40 was placed at {host}")


class LateNoticeTest(unittest.TestCase):
    """A late notice of an earlier start leaves the present one in use (review/6)."""

    def setUp(self) -> None:
        self.world = settled_world(members=2)
        self.host = next(iter(self.world.upstreams))
        self.upstream = self.world.upstreams[self.host]
        self.former_born = restart_under_id(self.world, self.host)
        self.caller = open_flow_at(self.world, self.host)

    def check_use(self) -> None:
        """Check that new balancers find the flow, and place new ones there."""
        world = self.world
        self.assertIn(self.upstream.id, world.store.kinds[MEMBERS])
        self.assertEqual(world.event_counts[6204], 0)
        replace_balancers(world)
        self.caller.request(world.balancer_hosts[1])
        world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))
        open_flow_at(world, self.host)

    def test_a_notice_that_names_the_earlier_start_changes_nothing(self) -> None:
        before = self.world.side(self.host).upstream.member
        notify(self.world, self.host, self.former_born)
        self.assertEqual(self.world.side(self.host).upstream.member, before)
        self.assertEqual(self.world.side(self.host).not_ready(self.world.now), "")
        self.check_use()

    def test_a_notice_without_a_start_is_dropped_after_a_health_check(self) -> None:
        notify(self.world, self.host)
        self.world.run(PROBE_MS)
        self.assertEqual(self.world.side(self.host).not_ready(self.world.now), "")
        self.check_use()

    def test_nobody_is_told_before_a_notice_without_a_start_is_decided(self) -> None:
        notify(self.world, self.host)
        before = self.world.side(self.host).upstream.member
        self.world.run(PROBE_MS)
        self.assertEqual(self.world.side(self.host).upstream.member, before)
        for index in range(3):
            view = self.world.balancer(index).table.views[self.upstream.id]
            self.assertEqual(view.member, before)

    def test_a_notice_without_a_start_after_the_side_process_restarted(self) -> None:
        self.world.start_side(self.host)
        self.world.run(PROBE_MS)
        notify(self.world, self.host)
        self.world.run(PROBE_MS)
        self.check_use()

    def test_the_flow_of_a_draining_upstream_is_kept(self) -> None:
        drain(self.world, self.host)
        notify(self.world, self.host)
        self.world.run(HEARTBEAT_MS)
        replace_balancers(self.world)
        self.caller.request(self.world.balancer_hosts[1])
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_an_upstream_too_busy_for_health_checks_is_kept(self) -> None:
        self.upstream.answer_probe = lambda: ("silent", "")
        notify(self.world, self.host)
        self.world.run(HEARTBEAT_MS)
        side = self.world.side(self.host)
        self.assertEqual(side.upstream.member.state, "ready")
        self.assertNotEqual(side.not_ready(self.world.now), "")
        self.world.run((MISSED_HEARTBEATS + 1) * HEARTBEAT_MS)
        self.assertEqual(side.not_ready(self.world.now), "")
        self.check_use()

    def test_a_late_deletion_of_the_earlier_record_is_undone(self) -> None:
        self.world.store.delete(MEMBERS, self.upstream.id)
        replace_balancers(self.world)
        self.check_use()

    def test_a_late_write_of_the_earlier_record_changes_nothing(self) -> None:
        [*value] = self.world.store.kinds[MEMBERS][self.upstream.id].value
        value[1] = self.former_born
        self.world.store.put(MEMBERS, self.upstream.id, value)
        replace_balancers(self.world)
        self.check_use()


class TrueNoticeTest(unittest.TestCase):
    """An upstream that leaves is forgotten soon, and its flows are reset."""

    def setUp(self) -> None:
        self.world, self.caller, self.host = world_with_flow(members=2)
        self.upstream = self.world.upstreams[self.host]

    def check_forgotten(self) -> None:
        """Check that everyone forgets the upstream, and that its flow is reset.

        Its VM ends with it.
        """
        world = self.world
        world.run(100)
        self.assertEqual(world.side(self.host).upstream.member.state, "gone")
        self.assertNotIn(self.upstream.id, world.store.kinds[MEMBERS])
        for index in range(3):
            self.assertNotIn(self.upstream.id, world.balancer(index).table.views)
        world.kill(self.host)
        if not self.caller.resets:
            self.caller.request(world.balancer_hosts[0])
            world.run(200)
        self.assertEqual(self.caller.resets, 1)

    def test_one_that_names_its_start_is_gone_at_once(self) -> None:
        drain(self.world, self.host)
        notify(self.world, self.host, self.upstream.born)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "gone")
        self.upstream.is_up = False
        self.check_forgotten()

    def test_one_without_a_start_that_has_ended_is_gone_after_a_health_check(
        self,
    ) -> None:
        drain(self.world, self.host)
        notify(self.world, self.host)
        self.upstream.is_up = False
        self.check_forgotten()

    def test_one_without_a_start_that_ends_later(self) -> None:
        drain(self.world, self.host)
        notify(self.world, self.host)
        self.world.run(200)
        self.upstream.is_up = False
        self.world.run(REPEATED_PROBE_MS)
        self.check_forgotten()

    def test_one_whose_drain_was_not_heard_takes_no_new_flow(self) -> None:
        self.upstream.answer_probe = lambda: ("silent", "")
        notify(self.world, self.host)
        self.world.run(50)
        held = set(self.upstream.flows)
        for _ in range(12):
            open_flow(self.world, self.world.balancer_hosts[0])
        self.assertEqual(set(self.upstream.flows), held)

    def test_one_that_nothing_is_heard_of_any_more(self) -> None:
        self.upstream.answer_probe = lambda: ("silent", "")
        self.upstream.is_up = False
        notify(self.world, self.host)
        self.world.run((MISSED_HEARTBEATS + 1) * HEARTBEAT_MS)
        self.check_forgotten()

    def test_a_wrong_health_answer_does_not_keep_one_that_drains(self) -> None:
        drain(self.world, self.host)
        self.upstream.answer_probe = lambda: ("healthy", self.upstream.id)
        notify(self.world, self.host)
        self.world.run(PROBE_MS)
        self.upstream.is_up = False
        del self.upstream.answer_probe
        self.world.run(REPEATED_PROBE_MS)
        self.check_forgotten()

    def test_another_upstream_answers_in_its_place(self) -> None:
        notify(self.world, self.host)
        self.upstream.answer_probe = lambda: ("healthy", "u99")
        self.world.run(PROBE_MS)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "gone")

    def test_a_start_that_is_known_later_only(self) -> None:
        drain(self.world, self.host)
        notify(self.world, self.host, self.upstream.born + 1)
        self.upstream.is_up = False
        self.check_forgotten()

    def test_a_start_whose_clock_was_set_back(self) -> None:
        self.upstream.is_up = False
        self.world.run((MISSED_HEARTBEATS - 1) * HEARTBEAT_MS + 200)
        notify(self.world, self.host, self.upstream.born - 500)
        self.check_forgotten()

    def test_a_late_heartbeat_does_not_bring_it_back(self) -> None:
        late = [self.upstream.next_heartbeat() for _ in range(2 * MISSED_HEARTBEATS)]
        notify(self.world, self.host, self.upstream.born)
        self.upstream.is_up = False
        for heartbeat in late:
            self.world.run(HEARTBEAT_MS)
            self.world.send_heartbeat(self.host, heartbeat)
        self.check_forgotten()


class StopTest(unittest.TestCase):
    """A planned stop waits until it is decided whether the upstream left."""

    def test_the_record_is_deleted_before_the_process_ends(self) -> None:
        world, _, host = world_with_flow(members=2)
        shell = object.__new__(FlowSideShell)
        shell.core = side = world.side(host)
        world.upstreams[host].answer_probe = lambda: ("silent", "")
        notify(world, host)
        side.stop(world.now)
        world.run(500)
        self.assertFalse(shell.may_exit(world.now, 500))
        self.assertTrue(shell.may_exit(world.now, MAX_STOP_MS))
        world.upstreams[host].answer_probe = lambda: ("closed", "")
        world.run(REPEATED_PROBE_MS)
        self.assertTrue(shell.may_exit(world.now, 500))
        self.assertNotIn(world.upstreams[host].id, world.store.kinds[MEMBERS])


class ReturnTest(unittest.TestCase):
    """An upstream that was taken for gone returns if it still sends heartbeats."""

    def setUp(self) -> None:
        self.world, self.caller, self.host = world_with_flow(members=2)
        self.upstream = self.world.upstreams[self.host]
        notify(self.world, self.host, self.upstream.born)
        self.world.run(100)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "gone")

    def test_it_gets_new_flows_and_keeps_the_open_one(self) -> None:
        self.world.run(HEARTBEAT_MS + 100)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "ready")
        self.assertIn(self.upstream.id, self.world.store.kinds[MEMBERS])
        replace_balancers(self.world)
        self.caller.request(self.world.balancer_hosts[1])
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))
        open_flow_at(self.world, self.host)

    def test_a_draining_one_stays_gone_if_it_told_so_itself(self) -> None:
        self.upstream.is_draining = True
        self.world.run(5 * HEARTBEAT_MS)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "gone")

    def test_a_draining_one_that_did_not_keeps_its_flow(self) -> None:
        self.upstream.is_draining = True
        self.world.side(self.host).upstream.has_told_leave = False
        self.world.run(HEARTBEAT_MS + 100)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "draining")
        replace_balancers(self.world)
        self.caller.request(self.world.balancer_hosts[1])
        self.world.run(200)
        self.assertEqual((self.caller.answers, self.caller.resets), (1, 0))

    def test_one_that_answers_no_health_check_returns_later(self) -> None:
        self.upstream.answer_probe = lambda: ("silent", "")
        self.world.run(MISSED_HEARTBEATS * HEARTBEAT_MS)
        side = self.world.side(self.host)
        self.assertEqual(side.upstream.member.state, "gone")
        self.world.run(3 * HEARTBEAT_MS)
        self.assertEqual(side.not_ready(self.world.now), "")

    def test_health_alone_proves_nothing(self) -> None:
        """The answer may come from the next upstream with this id."""
        self.world.side(self.host).on_suspended(self.world.now)
        self.world.run_effects(self.host)
        self.world.run(PROBE_MS)
        self.assertEqual(self.world.side(self.host).upstream.member.state, "gone")


if __name__ == "__main__":
    unittest.main()
