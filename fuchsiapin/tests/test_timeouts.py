"""A store that answers slowly for long is read, and one that is back soon noticed."""

import random
import unittest
from typing import Any

from fuchsiapin.flows.effects import ToStore
from fuchsiapin.flows.following import (
    FIRST_LIST_TIMEOUT_MS,
    WATCH_SLACK_MS,
    WATCH_WAIT_MS,
    StoreFollower,
)
from fuchsiapin.flows.storage import LIST, MEMBERS, StoredItem, StoreResult
from fuchsiapin.flows.timeouts import MAX_TIMEOUT_MS
from fuchsiapin.flows.writing import WRITE_TIMEOUT_MS, ObjectWriter
from fuchsiapin.tests.flowworld import FlowWorld, open_flow
from fuchsiapin.timers import Timers

UNREACHABLE = StoreResult("unreachable", detail="timeout")


class SlowStoreWorld(FlowWorld):
    """A world whose store is slow from the start on."""

    def __init__(self, delay_ms: int) -> None:
        self.delay_ms = delay_ms
        super().__init__()

    def configure(self, version: int) -> None:
        self.store.state.delay_ms = self.delay_ms
        super().configure(version)


def versions(world: FlowWorld) -> set[int]:
    """Return the versions of the configuration in force at the balancers."""
    return {world.balancer(index).routes.version for index in range(3)}


class SlowStoreTest(unittest.TestCase):
    """All processes start while the store takes long for each answer (review/9)."""

    def test_callers_are_served(self) -> None:
        for delay_ms in (400, 650, 1_300):
            with self.subTest(delay_ms=delay_ms):
                world = SlowStoreWorld(delay_ms)
                world.run(2 * delay_ms + 2_000)
                self.assertEqual(versions(world), {1})
                open_flow(world, world.balancer_hosts[1])

    def test_a_later_configuration_comes_into_force(self) -> None:
        for delay_ms in (400, 1_300):
            with self.subTest(delay_ms=delay_ms):
                world = SlowStoreWorld(delay_ms)
                world.run(5_000)
                for version in (2, 3, 4):
                    world.configure(version)
                    world.run(3 * delay_ms + 2_000)
                    self.assertEqual(versions(world), {version})

    def test_an_upstream_that_left_is_deleted(self) -> None:
        world = SlowStoreWorld(1_300)
        world.run(6_000)
        host, upstream = next(iter(world.upstreams.items()))
        side = world.side(host)
        self.assertTrue(side.writer.is_done)
        upstream.is_up = False
        side.on_leave(world.now, upstream.id, upstream.born)
        world.run_effects(host)
        world.run(6_000)
        self.assertTrue(side.writer.is_done)
        self.assertNotIn(upstream.id, world.store.kinds[MEMBERS])

    def test_the_end_of_an_outage_is_noticed_soon(self) -> None:
        for outage_ms in range(2_000, 5_000, 250):
            world = FlowWorld()
            world.run(2_000)
            world.store.state.is_silent = True
            for host in world.balancer_hosts:
                world.start_balancer(host)
            world.run(outage_ms)
            self.assertEqual(versions(world), {0})
            world.store.state.is_silent = False
            world.run(1_600)
            self.assertEqual(versions(world), {1})


class FollowerTest(unittest.TestCase):
    """The timeouts of one follower."""

    def setUp(self) -> None:
        self.now = 0
        self.effects: list[ToStore] = []
        self.timers = Timers()
        self.names: list[set[str]] = []
        self.follower = StoreFollower(
            MEMBERS,
            self.timers,
            self.effects,
            random.Random(1),
            lambda number, **fields: None,
            lambda now, item: None,
            lambda now, names: self.names.append(names),
        )
        self.follower.start(self.now)

    def answer(self, delay_ms: int, **fields: Any) -> int:
        """Answer the pending call after a delay if it waits so long.

        Return its timeout.
        """
        call = self.effects.pop()
        is_late = delay_ms > call.timeout_ms
        self.now += call.timeout_ms if is_late else delay_ms
        result = UNREACHABLE if is_late else StoreResult("done", revision=9, **fields)
        self.follower.on_answer(self.now, call.purpose, result)
        while not self.effects:
            self.now = self.timers.next_due()
            self.timers.run(self.now)
        return call.timeout_ms

    def list_slowly(self) -> None:
        """Answer calls after 600 ms until the first list is read."""
        for _ in range(8):
            if self.effects[-1].request.verb == LIST:
                self.answer(600)

    def test_each_page_of_a_list_may_take_long(self) -> None:
        for _ in range(12):
            if self.effects[-1].request.verb != LIST:
                break
            after = self.effects[-1].request.name
            name = {"": "a", "a": "b", "b": ""}[after]
            items = (StoredItem(name or "c", 5, None),)
            self.answer(500, items=items, has_more=bool(name), after=name)
        self.assertEqual(self.names, [{"a", "b", "c"}])

    def test_timeouts_are_short_again_once_the_store_is_fast(self) -> None:
        self.list_slowly()
        slack = self.answer(WATCH_WAIT_MS + 600) - WATCH_WAIT_MS
        self.assertEqual(slack, 2 * 600)
        self.answer(WATCH_WAIT_MS + 4)
        slack = self.answer(WATCH_WAIT_MS + 4) - WATCH_WAIT_MS
        self.assertEqual(slack, WATCH_SLACK_MS)

    def test_a_change_told_soon_shows_that_the_store_is_fast(self) -> None:
        self.list_slowly()
        self.answer(30, items=(StoredItem("a", 9, None),))
        slack = self.answer(WATCH_WAIT_MS + 4) - WATCH_WAIT_MS
        self.assertEqual(slack, WATCH_SLACK_MS)

    def test_every_other_call_of_an_outage_is_short(self) -> None:
        timeouts = [self.answer(10_000) for _ in range(8)]
        self.assertEqual(timeouts[1::2], [FIRST_LIST_TIMEOUT_MS] * 4)
        self.assertLessEqual(max(timeouts), MAX_TIMEOUT_MS)


class WriterTest(unittest.TestCase):
    """A write whose answer takes longer than its timeout isn't repeated for ever."""

    def test_a_slow_write_ends(self) -> None:
        timers, effects = Timers(), []
        writer = ObjectWriter(MEMBERS, timers, effects, random.Random(1))
        writer.put(0, "u1", [])
        now, calls = 0, 0
        while not writer.is_done and calls < 6:
            call = effects.pop()
            calls += 1
            is_late = call.timeout_ms < 2 * WRITE_TIMEOUT_MS
            now += min(call.timeout_ms, 2 * WRITE_TIMEOUT_MS)
            result = UNREACHABLE if is_late else StoreResult("done")
            writer.on_answer(now, call.purpose, result)
            if not effects and not writer.is_done:
                now = timers.next_due()
                timers.run(now)
        self.assertEqual((writer.is_done, calls), (True, 3))


if __name__ == "__main__":
    unittest.main()
