"""The store comes back from an older copy, in a new era."""

import random
import unittest
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiapin.flows import storage
from fuchsiapin.flows.effects import ToStore
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.messages import Era
from fuchsiapin.flows.storage import StoredItem, StoreResult
from fuchsiapin.tests.flowworld import FlowWorld
from fuchsiapin.timers import Timers

COPY_MS = 500
RETURN_MS = 2_000
"""Time after the store's return within which what is ours is written again."""


def drill(world: FlowWorld, age_ms: int, away_ms: int = 300) -> None:
    """Let the store be away for a moment, and come back from an older copy."""
    world.store.state.is_up = False
    world.run(away_ms)
    world.store.restore(age_ms)
    world.store.state.is_up = True


def world_with_copies(**options: Any) -> FlowWorld:
    """Return a world whose store tells eras and keeps copies of its contents."""
    world = FlowWorld(**options)
    world.store.era = 1
    world.store.keep_copies(COPY_MS)
    world.run(4_000)
    return world


def living(world: FlowWorld) -> set[str]:
    """Return the ids of the upstreams that run."""
    return {upstream.id for upstream in world.upstreams.values() if upstream.is_up}


def stored(world: FlowWorld, kind: str) -> set[str]:
    """Return the names of the stored objects of a kind."""
    return set(world.store.kinds.get(kind, {}))


def leave(world: FlowWorld, host: str) -> str:
    """Let an upstream leave, with its VM; return its id."""
    upstream = world.upstreams[host]
    upstream.is_draining = True
    world.side(host).on_leave(world.now, upstream.id, upstream.born)
    world.run_effects(host)
    world.run(100)
    upstream.is_up = False
    world.kill(host)
    return upstream.id


class FollowerTest(unittest.TestCase):
    """Revisions of different eras aren't compared."""

    def setUp(self) -> None:
        self.effects: list[ToStore] = []
        self.listed: list[list[str]] = []
        self.changed: list[str] = []
        self.follower = StoreFollower(
            storage.MEMBERS,
            Timers(),
            self.effects,
            random.Random(1),
            lambda number, **fields: self.fail(f"event {number}: {fields}"),
            lambda now, item: self.changed.append(item.name),
            lambda now, names: self.listed.append(sorted(names)),
        )
        self.follower.start(0)
        self.answer("done", "a", revision=10, era=3)
        self.changed.clear()

    def answer(self, outcome: str, *names: str, **fields: Any) -> None:
        """Answer the latest call."""
        items = tuple(StoredItem(name, 1, None) for name in names)
        result = StoreResult(outcome, items, **fields)
        self.follower.on_answer(5, self.effects[-1].purpose, result)

    @property
    def last_verb(self) -> str:
        """Return what the latest call does."""
        return self.effects[-1].request.verb

    def test_a_watch_of_the_same_era_goes_on(self) -> None:
        self.answer("done", "b", revision=11, era=3)
        self.assertEqual((self.changed, self.last_verb), (["b"], storage.WATCH))

    def test_a_watch_that_another_era_answers_is_not_applied(self) -> None:
        self.answer("done", "b", revision=11, era=4)
        self.assertEqual((self.changed, self.last_verb), ([], storage.LIST))
        self.answer("done", "c", revision=7, era=4)
        self.assertEqual(self.listed, [["a"], ["c"]])
        self.assertEqual(self.effects[-1].request.since, 7)

    def test_an_answer_without_an_era_is_not_compared_with_the_former_one(self) -> None:
        self.answer("done", "b", revision=11, era=0)
        self.assertEqual((self.changed, self.last_verb), ([], storage.LIST))
        self.answer("done", "b", revision=11, era=0)
        self.answer("done", "c", revision=12, era=0)
        self.assertEqual(self.changed, ["b", "c"])

    def test_pages_of_two_eras_are_not_joined(self) -> None:
        self.follower.relist(5)
        self.answer("done", "a", revision=12, era=3, has_more=True, after="a")
        self.answer("done", "z", revision=5, era=4)
        self.assertEqual(self.listed, [["a"]])
        self.answer("done", "b", revision=5, era=4)
        self.assertEqual(self.listed, [["a"], ["b"]])

    def test_the_era_is_asked_for_at_once_after_an_outage(self) -> None:
        self.answer("unreachable")
        self.follower.timers.run(2_000)
        self.assertEqual(self.effects[-1].request.wait_ms, 0)
        self.answer("done", revision=10, era=3)
        self.assertGreater(self.effects[-1].request.wait_ms, 0)

    def test_a_store_without_eras_is_watched_as_before(self) -> None:
        self.follower.relist(5)
        self.answer("done", "a", revision=12, era=0)
        self.answer("unreachable")
        self.follower.timers.run(2_000)
        self.assertGreater(self.effects[-1].request.wait_ms, 0)


class DrillTest(unittest.TestCase):
    """What processes do when the store has lost what it acknowledged."""

    def test_what_is_ours_is_written_again_in_time(self) -> None:
        for age_ms in (500, 2_000, 10_000):
            with self.subTest(age_ms=age_ms):
                world = world_with_copies(balancers=4, members=3)
                world.run(8_000)
                world.add_member("10.0.1.9", "desk", 2, 30)
                world.balancer_hosts.append("10.0.0.9")
                world.start_balancer("10.0.0.9")
                world.run(1_500)
                self.assertEqual(stored(world, "members"), living(world))
                drill(world, age_ms)
                world.run(RETURN_MS)
                self.assertEqual(stored(world, "members"), living(world))
                self.assertIn("entry-10.0.0.9", stored(world, "balancers"))

    def test_a_change_after_the_return_is_not_missed(self) -> None:
        """It has a revision that the former era had given out already."""
        world = world_with_copies()
        for number in range(12):
            world.configure(2 + number)
            world.run(200)
        drill(world, 2_000)
        world.configure(20)
        world.run(RETURN_MS)
        versions = {world.balancer(n).routes.version for n in range(3)}
        self.assertEqual(versions, {20})

    def test_the_configuration_in_force_stays(self) -> None:
        world = world_with_copies()
        world.configure(7)
        world.run(300)
        drill(world, 1_000)
        world.run(3_000)
        self.assertEqual(
            world.store.kinds[storage.CONFIGURATION]["main"].value.version, 1
        )
        for number in range(3):
            core = world.balancer(number)
            self.assertEqual(core.routes.version, 7)
        values = [
            world.balancer(n).metric_values(world.now)["stored_configuration_version"]
            for n in range(3)
        ]
        self.assertIn({"": 1}, values)
        self.assertGreater(world.event_counts[6314], 0)

    def test_a_member_that_left_is_not_used_again(self) -> None:
        world = world_with_copies(balancers=4, members=4)
        host = next(iter(world.upstreams))
        world.run(1_000)
        gone = leave(world, host)
        world.run(600)
        drill(world, 3_000)
        before = world.sent_to[host]["Forward"]
        for _ in range(20):
            world.caller().open(world.balancer_hosts[0])
            world.run(100)
        self.assertEqual(world.sent_to[host]["Forward"], before)
        for number in range(4):
            self.assertNotIn(gone, world.balancer(number).table.views)
        self.assertNotIn(gone, stored(world, "members"))

    def test_a_departure_is_remembered_for_longer_than_its_copies(self) -> None:
        world = world_with_copies(members=4)
        gone = leave(world, next(iter(world.upstreams)))
        world.run(25_000)
        drill(world, 27_000)
        world.run(RETURN_MS)
        for number in range(3):
            self.assertNotIn(gone, world.balancer(number).table.views)
        self.assertNotIn(gone, stored(world, "members"))

    def test_balancers_that_do_not_reach_the_store_learn_the_era(self) -> None:
        world = world_with_copies(balancers=5)
        world.run(1_000)
        cut = world.balancer_hosts[4]
        world.cut_links.add((cut, "store"))
        world.run(4_000)
        drill(world, 1_000)
        world.run(RETURN_MS)
        self.assertEqual(world.balancer(4).state.era.current, 2)

    def test_two_drills_in_a_row(self) -> None:
        world = world_with_copies(balancers=4, members=4)
        drill(world, 2_000)
        world.run(500)
        world.configure(5)
        drill(world, 1_500)
        world.configure(6)
        world.run(RETURN_MS)
        self.assertEqual(stored(world, "members"), living(world))
        versions = {world.balancer(n).routes.version for n in range(4)}
        self.assertEqual(versions, {6})

    def test_a_process_that_starts_during_the_drill_learns_what_others_know(
        self,
    ) -> None:
        world = world_with_copies(balancers=4, members=4)
        gone = leave(world, next(iter(world.upstreams)))
        world.configure(9)
        world.run(400)
        drill(world, 3_000)
        world.start_balancer(world.balancer_hosts[3])
        world.run(1_000)
        core = world.balancer(3)
        self.assertEqual(core.routes.version, 9)
        self.assertNotIn(gone, core.table.views)


class LateAnswerTest(unittest.TestCase):
    """Answers of the former era that come after one of the next era."""

    def test_a_late_answer_changes_nothing(self) -> None:
        world = world_with_copies()
        core = next(
            world.balancer(n)
            for n in range(3)
            if world.balancer(n).state.member_follower.is_active
        )
        core.on_message(world.now, "10.0.0.77", Era(5))
        purpose = core.state.member_follower.purpose
        late = StoreResult("done", (), 99, era=1)
        core.on_store(world.now, purpose, late)
        self.assertNotEqual(core.state.member_follower.revision, 99)
        self.assertEqual(core.state.era.current, 5)

    def test_a_write_that_a_former_era_acknowledged_is_repeated(self) -> None:
        world = world_with_copies()
        side = world.side(next(iter(world.upstreams)))
        side.era.note(4)
        side.write_member(world.now)
        answer = StoreResult("done", era=3)
        side.on_store(world.now, side.writer.purpose, answer)
        self.assertFalse(side.writer.is_done)
        side.on_store(world.now, side.writer.purpose, StoreResult("done", era=4))
        self.assertTrue(side.writer.is_done)

    def test_an_unreadable_era_is_reported_once(self) -> None:
        world = world_with_copies()
        core = world.balancer(0)
        numbers: list[int] = []
        core.state.eras.report = lambda number, **fields: numbers.append(number)
        for _ in range(3):
            core.on_store(world.now, "other", StoreResult("done"))
        core.on_store(world.now, "other", StoreResult("done", era=1))
        bad = StoreResult("done", era_error="header 'store-era' is 'x'")
        core.on_store(world.now, "other", bad)
        self.assertEqual(numbers.count(6313), 2)


class DrillMachine(RuleBasedStateMachine):
    """Changes, outages and drills in any order, against what callers rely on."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world_with_copies(balancers=3, members=3)
        self.version = 1
        self.left: set[str] = set()
        self.versions = [0, 0, 0]
        self.hosts = 20

    @rule(duration=st.integers(50, 1_500))
    def wait(self, duration: int) -> None:
        """Let time pass."""
        self.world.run(duration)

    @rule()
    def configure(self) -> None:
        """Write the next configuration."""
        self.version += 1
        self.world.configure(self.version)

    @rule()
    def join(self) -> None:
        """Start another upstream."""
        if len(living(self.world)) < 6:
            self.hosts += 1
            self.world.add_member(f"10.0.1.{self.hosts}", "desk", 2, 30)

    @rule()
    def depart(self) -> None:
        """Let an upstream leave."""
        hosts = [h for h, u in self.world.upstreams.items() if u.is_up]
        if len(hosts) > 2:
            self.left.add(leave(self.world, hosts[0]))

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Restart a balancer."""
        self.versions[number] = 0
        self.world.start_balancer(self.world.balancer_hosts[number])

    @rule(number=st.integers(0, 2), duration=st.integers(300, 2_000))
    def cut(self, number: int, duration: int) -> None:
        """Cut a balancer from the store for a while."""
        link = (self.world.balancer_hosts[number], "store")
        self.world.cut_links.add(link)
        self.world.after(duration, lambda: self.world.cut_links.discard(link))

    @rule(age=st.integers(500, 10_000), away=st.integers(50, 1_000))
    def drill(self, age: int, away: int) -> None:
        """Restore an older copy; the operator writes its configuration again."""
        drill(self.world, age, away)
        self.world.after(700, lambda: self.world.configure(self.version))

    @invariant()
    def configurations_never_revert(self) -> None:
        """No running balancer goes back to an earlier configuration."""
        for number in range(3):
            version = self.world.balancer(number).routes.version
            assert version >= self.versions[number]
            self.versions[number] = version

    def teardown(self) -> None:
        """Check that all agree on what runs, soon after the last fault."""
        world = self.world
        world.run(2_000)
        world.configure(self.version)
        world.run(RETURN_MS + 4_000)
        assert stored(world, "members") >= living(world)
        assert not stored(world, "members") & self.left
        for number in range(3):
            core = world.balancer(number)
            assert core.routes.version == self.version
            assert set(core.table.views) >= living(world)
            assert not set(core.table.views) & self.left


DrillModelTest = DrillMachine.TestCase
DrillModelTest.settings = settings(
    max_examples=25,
    stateful_step_count=14,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


if __name__ == "__main__":
    unittest.main()
