"""How balancers learn state: from the store, from each other, and during outages."""

import random
import unittest

from fuchsiapin.flows import storage
from fuchsiapin.flows.balancerstate import STALE_MS, WATCHERS
from fuchsiapin.flows.departures import MISSING_MEMBER_MS
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.members import FlowMember, MemberTable
from fuchsiapin.flows.messages import Status
from fuchsiapin.flows.pinging import DEAD_MS
from fuchsiapin.flows.routes import (
    MAX_DROPPED_ROUTES,
    FlowConfiguration,
    RouteTable,
)
from fuchsiapin.flows.storage import StoredItem, StoreResult
from fuchsiapin.flows.upstreams import Heartbeat, UpstreamState
from fuchsiapin.flows.writing import ObjectWriter
from fuchsiapin.lightclasses import replace
from fuchsiapin.tests.flowactors import HEARTBEAT_MS, make_route
from fuchsiapin.tests.flowworld import FlowWorld
from fuchsiapin.timers import Timers

MEMBER = FlowMember("u1", 100, "desk", "10.0.0.1", "z", 2, "ready")


def make_heartbeat(**changes: object) -> Heartbeat:
    """Return a heartbeat."""
    first = Heartbeat("u1", 1_000, 1, "desk", "z", 2, False, 0, ("10.0.0.1", 80))
    return replace(first, **changes)


class MemberTableTest(unittest.TestCase):
    """Versions only increase, and one address has one incarnation."""

    def setUp(self) -> None:
        self.table = MemberTable()
        self.table.put(0, MEMBER)

    def test_states_never_revert(self) -> None:
        draining = replace(MEMBER, state="draining")
        self.assertTrue(self.table.put(1, draining))
        self.assertFalse(self.table.put(2, MEMBER))
        self.assertEqual(self.table.views["u1"].member.state, "draining")

    def test_late_records_of_a_gone_member_are_ignored(self) -> None:
        self.table.put(1, replace(MEMBER, state="gone"))
        self.assertFalse(self.table.put(2, MEMBER))
        self.assertEqual(self.table.by_service("desk"), [])

    def test_the_same_id_may_start_again(self) -> None:
        self.table.put(1, replace(MEMBER, state="gone"))
        self.assertTrue(self.table.put(2, replace(MEMBER, epoch=101)))

    def test_a_later_incarnation_replaces_the_earlier_one_at_its_address(self) -> None:
        other = replace(MEMBER, id="u2", epoch=200, service="other")
        self.assertTrue(self.table.put(1, other))
        self.assertEqual(self.table.by_service("desk"), [])
        self.assertEqual(self.table.by_host("10.0.0.1").member, other)

    def test_an_earlier_incarnation_does_not_replace_the_later_one(self) -> None:
        earlier = replace(MEMBER, id="u0", epoch=50)
        self.assertFalse(self.table.put(1, earlier))


class UpstreamTest(unittest.TestCase):
    """Heartbeats that arrive late, twice, or from another start."""

    def setUp(self) -> None:
        self.state = UpstreamState("10.0.0.1", "desk", "z", HEARTBEAT_MS)

    def test_a_late_heartbeat_does_not_revert_draining(self) -> None:
        self.state.apply_heartbeat(0, make_heartbeat())
        self.assertEqual(
            self.state.apply_heartbeat(
                10, make_heartbeat(sequence=3, is_draining=True)
            ),
            "changed",
        )
        self.assertEqual(
            self.state.apply_heartbeat(20, make_heartbeat(sequence=2)), "late"
        )
        self.assertEqual(self.state.refusal_reason(20), "draining")

    def test_the_same_id_started_again_is_a_new_incarnation(self) -> None:
        self.state.apply_heartbeat(0, make_heartbeat(sequence=9))
        self.assertEqual(
            self.state.apply_heartbeat(10, make_heartbeat(born=2_000, sequence=1)),
            "started",
        )
        self.assertEqual(self.state.member.epoch, 2_000)

    def test_a_heartbeat_of_an_earlier_start_is_late(self) -> None:
        self.state.apply_heartbeat(0, make_heartbeat(id="u2", born=2_000))
        self.assertEqual(
            self.state.apply_heartbeat(10, make_heartbeat(sequence=7)), "late"
        )
        self.assertEqual(self.state.member.id, "u2")

    def test_a_start_whose_clock_was_set_back_takes_over(self) -> None:
        self.state.apply_heartbeat(0, make_heartbeat(id="u2", born=9_000))
        now, change = 2 * HEARTBEAT_MS, ""
        for sequence in range(1, 5):
            now += HEARTBEAT_MS
            change = self.state.apply_heartbeat(now, make_heartbeat(sequence=sequence))
            if change == "started":
                break
        self.assertEqual(change, "started")
        self.assertEqual(self.state.member.id, "u1")
        self.assertGreater(self.state.member.epoch, 9_000)

    def test_a_stalled_upstream_takes_no_new_flows(self) -> None:
        self.state.apply_heartbeat(0, make_heartbeat())
        for now in (10, 20):
            self.state.note_opening(now)
        self.assertEqual(self.state.refusal_reason(100), "")
        self.assertNotEqual(self.state.refusal_reason(200), "")
        self.state.note_packet(210)
        self.assertEqual(self.state.refusal_reason(211), "")


class RouteTest(unittest.TestCase):
    """Versions of routes."""

    def test_an_older_version_changes_nothing(self) -> None:
        table = RouteTable()
        self.assertTrue(table.put(FlowConfiguration(5, (make_route(),), 1)))
        self.assertFalse(table.put(FlowConfiguration(4, (), 1)))
        self.assertEqual((table.version, len(table.routes)), (5, 1))

    def test_a_split_follows_its_weights(self) -> None:
        route = replace(make_route(), shares=(("a", 90), ("b", 10)))
        rng = random.Random(4)
        drawn = [route.service_of(rng.randbytes(12)) for _ in range(4_000)]
        self.assertAlmostEqual(drawn.count("b") / 4_000, 0.1, delta=0.03)

    def test_a_dropped_route_that_comes_back_is_not_dropped_any_more(self) -> None:
        table, route = RouteTable(), make_route()
        flow = route.address + b"caller"
        table.put(FlowConfiguration(1, (route,), 1))
        self.assertFalse(table.is_dropped(flow))
        table.put(FlowConfiguration(2, (), 1))
        self.assertTrue(table.is_dropped(flow))
        table.put(FlowConfiguration(3, (route,), 1))
        self.assertEqual((table.is_dropped(flow), len(table.dropped)), (False, 0))

    def test_the_memory_of_dropped_routes_is_bounded(self) -> None:
        table, first = RouteTable(), make_route()
        many = [
            replace(first, address=b"r" + number.to_bytes(5, "big"))
            for number in range(MAX_DROPPED_ROUTES)
        ]
        for version, routes in enumerate(([first], many, []), 1):
            table.put(FlowConfiguration(version, tuple(routes), 1))
        self.assertEqual(len(table.dropped), MAX_DROPPED_ROUTES)
        self.assertFalse(table.is_dropped(first.address + b"caller"))
        self.assertTrue(table.is_dropped(many[0].address + b"caller"))


class FollowerTest(unittest.TestCase):
    """Lists in pages, watches that end, answers that arrive late."""

    def setUp(self) -> None:
        self.effects: list = []
        self.listed: list = []
        self.changed: list = []
        self.timers = Timers()
        self.follower = StoreFollower(
            "members",
            self.timers,
            self.effects,
            random.Random(1),
            lambda number, **fields: self.fail(f"event {number}: {fields}"),
            lambda now, item: self.changed.append(item),
            lambda now, names: self.listed.append(names),
        )
        self.follower.start(0)

    def answer(self, now: int, answer: StoreResult) -> None:
        """Answer the latest call."""
        self.follower.on_answer(now, self.effects[-1].purpose, answer)

    def test_pages_are_joined(self) -> None:
        first, second = StoredItem("a", 1, 1), StoredItem("b", 2, 2)
        self.answer(1, StoreResult("done", (first,), 7, True, after="a"))
        self.assertEqual(self.effects[-1].request.name, "a")
        self.answer(2, StoreResult("done", (second,), 9))
        self.assertEqual(self.changed, [first, second])
        self.assertEqual(self.listed, [{"a", "b"}])
        self.assertEqual(
            (self.effects[-1].request.verb, self.effects[-1].request.since),
            ("watch", 7),
        )

    def test_lost_history_leads_to_a_new_list(self) -> None:
        self.answer(1, StoreResult("done", (), 7))
        self.answer(2, StoreResult("history lost"))
        self.assertEqual(self.effects[-1].request.verb, "list")

    def test_an_answer_of_an_earlier_generation_is_ignored(self) -> None:
        early = self.effects[-1].purpose
        self.follower.stop()
        self.follower.start(1)
        self.follower.on_answer(2, early, StoreResult("done", (), 7))
        self.assertEqual(self.listed, [])

    def test_calls_are_retried_during_an_outage(self) -> None:
        now = 0
        for _ in range(20):
            self.answer(now, StoreResult("unreachable"))
            due = self.timers.next_due()
            self.assertLessEqual(due - now, 100)
            now = due
            self.timers.run(now)
        self.assertEqual(len(self.effects), 21)


class WriterTest(unittest.TestCase):
    """Writes whose answer is lost, and objects that exist already."""

    def setUp(self) -> None:
        self.effects: list = []
        self.timers = Timers()
        self.writer = ObjectWriter(
            "members", self.timers, self.effects, random.Random(1)
        )
        self.writer.put(0, "u1", [1])

    def answer(self, now: int, outcome: str) -> None:
        """Answer the latest call."""
        self.writer.on_answer(now, self.effects[-1].purpose, StoreResult(outcome))

    def test_an_object_that_is_there_is_replaced(self) -> None:
        self.answer(1, "exists")
        self.assertEqual(self.effects[-1].request.verb, storage.REPLACE)
        self.answer(2, "done")
        self.assertTrue(self.writer.is_done)

    def test_a_write_without_an_answer_is_repeated(self) -> None:
        self.answer(1, "unreachable")
        self.timers.run(1_000)
        self.assertEqual(len(self.effects), 2)
        self.answer(1_001, "exists")
        self.answer(1_002, "done")
        self.assertTrue(self.writer.is_done)

    def test_a_delete_replaces_a_pending_write(self) -> None:
        self.answer(1, "busy")
        self.writer.delete(2, "u1")
        self.timers.run(5_000)
        verbs = [effect.request.verb for effect in self.effects]
        self.assertEqual(verbs, [storage.CREATE, storage.DELETE])


class GossipTest(unittest.TestCase):
    """Few balancers watch the store; all of them get its state."""

    def test_a_configuration_is_in_force_everywhere_within_a_second(self) -> None:
        world = FlowWorld(balancers=12, members=2)
        world.run(3_000)
        world.configure(2)
        world.run(1_000)
        versions = {world.balancer(n).routes.version for n in range(12)}
        self.assertEqual(versions, {2})

    def test_a_change_is_pushed_a_few_times_by_each_balancer(self) -> None:
        world = FlowWorld(balancers=40, members=2)
        world.run(4_000)
        world.loss_rate = 0.1
        before = world.sent_messages["Copy"]
        world.configure(2)
        world.run(1_000)
        versions = {world.balancer(n).routes.version for n in range(40)}
        self.assertEqual(versions, {2})
        self.assertLess(world.sent_messages["Copy"] - before, 40 * 8)

    def test_few_balancers_watch(self) -> None:
        world = FlowWorld(balancers=12, members=2)
        world.run(4_000)
        watching = [
            n for n in range(12) if world.balancer(n).state.member_follower.is_active
        ]
        self.assertEqual(len(watching), WATCHERS)

    def test_others_watch_when_the_watchers_lose_the_store(self) -> None:
        world = FlowWorld(balancers=8, members=2)
        world.run(4_000)
        for n, host in enumerate(world.balancer_hosts):
            if world.balancer(n).state.member_follower.is_active:
                world.cut_links.add((host, "store"))
        world.run(6_000)
        world.configure(2)
        world.run(1_500)
        versions = {world.balancer(n).routes.version for n in range(8)}
        self.assertEqual(versions, {2})

    def test_digests_make_up_for_lost_pushes(self) -> None:
        world = FlowWorld(balancers=6, members=2, seed=3)
        world.run(2_000)
        world.loss_rate = 0.3
        world.configure(2)
        world.run(4_000)
        versions = {world.balancer(n).routes.version for n in range(6)}
        self.assertEqual(versions, {2})

    def test_calls_in_an_outage_do_not_grow_with_balancers(self) -> None:
        counts = []
        for balancers in (6, 24):
            world = FlowWorld(balancers=balancers, members=2)
            world.run(3_000)
            world.store.state.is_up = False
            world.run(2_000)
            before = sum(world.store.calls.values())
            world.run(10_000)
            counts.append(sum(world.store.calls.values()) - before)
        self.assertLess(counts[1], 2 * counts[0])

    def test_all_balancers_recover_within_400_ms_after_an_outage(self) -> None:
        world = FlowWorld(balancers=24, members=2)
        world.run(3_000)
        world.store.state.is_up = False
        world.run(6_000)
        for host in world.balancer_hosts:
            world.start_balancer(host)
        world.run(2_000)
        world.store.state.is_up = True
        world.run(400)
        known = [world.balancer(n).routes.version for n in range(24)]
        members = [len(world.balancer(n).table.views) for n in range(24)]
        self.assertEqual((set(known), set(members)), ({1}, {2}))

    def test_no_object_is_written_twice_at_the_start(self) -> None:
        world = FlowWorld(balancers=6, members=4)
        world.run(5_000)
        # One object for each of the 6 balancers and 4 members.
        self.assertEqual(world.store.calls[storage.CREATE], 10)
        self.assertEqual(world.store.calls[storage.REPLACE], 0)

    def test_a_balancer_that_starts_in_an_outage_learns_from_others(self) -> None:
        world = FlowWorld()
        world.run(2_000)
        world.store.state.is_silent = True
        world.start_balancer(world.balancer_hosts[2])
        world.run(600)
        self.assertEqual(world.balancer(2).not_ready(world.now), "")
        self.assertEqual(len(world.balancer(2).table.views), 4)

    def test_a_member_that_starts_in_an_outage_is_used(self) -> None:
        world = FlowWorld(members=1)
        world.run(2_000)
        world.store.state.is_up = False
        world.add_member("10.0.1.9", "desk", 2, 30)
        world.run(1_500)
        for n in range(3):
            self.assertEqual(len(world.balancer(n).table.by_service("desk")), 2)

    def test_the_age_of_the_store_state_grows_in_an_outage(self) -> None:
        world = FlowWorld()
        world.run(2_000)
        world.store.state.is_up = False
        world.run(STALE_MS + 5_000)
        ages = [world.balancer(n).state.gossip.store_age(world.now) for n in (0, 1, 2)]
        self.assertTrue(all(age > STALE_MS for age in ages))


class InvalidObjectTest(unittest.TestCase):
    """Invalid objects in the store are ignored; valid ones stay in use."""

    def test_invalid_objects_are_ignored(self) -> None:
        world = FlowWorld(members=2)
        world.run(2_000)
        for index, value in enumerate((None, 3, "x", [], [1] * 7, {"a": 1}, ["x"] * 5)):
            world.store.put("members", f"odd{index}", value)
            world.store.put("balancers", f"odd{index}", value)
        world.run(2_000)
        world.add_member("10.0.1.9", "desk", 2, 30)
        world.run(1_500)
        for n in range(3):
            self.assertEqual(len(world.balancer(n).table.views), 3)
        self.assertGreater(world.event_counts[6305], 0)


class StoredMemberTest(unittest.TestCase):
    """Members whose object disappears from the store, and members that are gone."""

    def test_an_expired_member_is_written_back_within_two_seconds(self) -> None:
        world = FlowWorld()
        world.run(4_000)
        before = dict(world.store.kinds["members"])
        for name in list(before):
            world.store.delete("members", name)
        world.run(2_000)
        self.assertEqual(set(world.store.kinds["members"]), set(before))
        for n in range(3):
            self.assertEqual(len(world.balancer(n).table.views), 4)

    def test_an_expired_member_whose_vm_is_gone_is_dropped(self) -> None:
        world = FlowWorld()
        world.run(4_000)
        host, upstream = next(iter(world.upstreams.items()))
        world.kill(host)
        upstream.is_up = False
        world.run(500)
        world.store.delete("members", upstream.id)
        world.run(MISSING_MEMBER_MS + 500)
        watchers = [
            n for n in range(3) if world.balancer(n).state.member_follower.is_active
        ]
        for n in watchers:
            self.assertNotIn(upstream.id, world.balancer(n).table.views)

    def test_a_member_silent_for_long_is_removed_everywhere(self) -> None:
        world = FlowWorld()
        world.run(4_000)
        host, upstream = next(iter(world.upstreams.items()))
        world.kill(host)
        upstream.is_up = False
        world.run(DEAD_MS + 4_000)
        self.assertNotIn(upstream.id, world.store.kinds["members"])
        for n in range(3):
            self.assertNotIn(upstream.id, world.balancer(n).table.views)

    def test_a_dropped_member_is_not_restored_by_a_balancer_that_drops_it_later(
        self,
    ) -> None:
        world = FlowWorld(seed=2)
        world.run(4_000)
        host, upstream = next(iter(world.upstreams.items()))
        world.kill(host)
        upstream.is_up = False
        world.run(DEAD_MS + 4_000)
        for n in range(3):
            self.assertNotIn(upstream.id, world.balancer(n).table.views)

    def test_a_removed_member_that_is_alive_is_added_again(self) -> None:
        world = FlowWorld()
        world.run(4_000)
        host, upstream = next(iter(world.upstreams.items()))
        world.kill(host)
        world.run(DEAD_MS + 4_000)
        world.processes[host].is_up = True
        world.run(4_000)
        for n in range(3):
            self.assertIn(upstream.id, world.balancer(n).table.views)
        self.assertIn(upstream.id, world.store.kinds["members"])

    def test_a_restart_with_a_clock_set_back_is_used(self) -> None:
        world = FlowWorld(members=1)
        world.run(2_000)
        host, upstream = next(iter(world.upstreams.items()))
        upstream.restart()
        upstream.born = 5
        world.start_side(host)
        world.run(3_000)
        for n in range(3):
            self.assertIn(upstream.id, world.balancer(n).table.views)
        self.assertIn(upstream.id, world.store.kinds["members"])

    def test_a_delayed_balancer_suspects_no_member(self) -> None:
        world = FlowWorld()
        world.run(2_000)
        state = world.balancer(0).state
        late = world.now + 5_000
        state.pinger.ping_round(late)
        views = state.table.views.values()
        self.assertFalse(any(view.is_suspect(late + 900) for view in views))

    def test_a_member_heard_again_is_reported_with_its_silence(self) -> None:
        world = FlowWorld()
        world.run(4_000)
        host, upstream = next(iter(world.upstreams.items()))
        state = world.balancer(0).state
        view = state.table.by_host(host)
        heard: list[dict] = []

        def report(number: int, **fields: object) -> None:
            if number == 6308:
                heard.append(fields)

        state.report = report
        world.kill(host)
        world.run(2_500)
        now, pings = world.now, view.unanswered_pings
        silent_ms = now - view.last_message_at
        state.on_status(now, host, Status(b"", True, [0] * 5))
        self.assertGreater(silent_ms, 2_000)
        self.assertGreater(pings, 2)
        fields = {
            "member": upstream.id,
            "host": host,
            "silent_ms": silent_ms,
            "unanswered_pings": pings,
        }
        self.assertEqual(heard, [fields])

    def test_a_member_heard_first_is_reported_with_the_time_since_it_was_added(
        self,
    ) -> None:
        world = FlowWorld(members=0, balancers=1)
        world.run(1_000)
        state = world.balancer(0).state
        heard: list[dict] = []
        state.report = lambda number, **fields: heard.append(
            {"number": number} | fields
        )
        state.apply_member(world.now, MEMBER, "store")
        heard.clear()
        state.on_status(world.now + 40, MEMBER.host, Status(b"", True, [0] * 5))
        fields = {"member": "u1", "host": MEMBER.host}
        figures = {"silent_ms": 40, "unanswered_pings": 1}
        self.assertEqual(heard, [{"number": 6308} | fields | figures])

    def test_many_members_are_pinged_within_the_budget(self) -> None:
        world = FlowWorld(members=60, balancers=1)
        world.run(3_000)
        before = world.sent_messages["Ping"]
        world.run(10_000)
        self.assertLess(world.sent_messages["Ping"] - before, 600)
        host = next(iter(world.upstreams))
        world.kill(host)
        world.run(4_000)
        self.assertTrue(world.balancer(0).table.by_host(host).is_suspect(world.now))

    def test_a_member_that_was_not_pinged_for_long_is_not_dropped(self) -> None:
        world = FlowWorld(balancers=1, members=700)
        world.run(22_000)
        self.assertEqual(world.event_counts[6307], 0)

    def test_members_are_kept_when_all_are_silent(self) -> None:
        world = FlowWorld()
        world.run(4_000)
        for host in world.upstreams:
            world.kill(host)
        world.run(DEAD_MS + 6_000)
        self.assertEqual(len(world.balancer(0).table.by_service("desk")), 4)


if __name__ == "__main__":
    unittest.main()
