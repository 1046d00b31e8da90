"""Odd entries of another writer in the store name nobody and hide nothing."""

import random
import unittest
from functools import reduce
from typing import Any

from fuchsiapin.fields import is_host
from fuchsiapin.flows.balancerstate import WATCHERS
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.storage import (
    BALANCERS,
    EVACUATIONS,
    LIST,
    MEMBERS,
    StoredItem,
    StoreResult,
)
from fuchsiapin.tests.flowactors import SERVICE
from fuchsiapin.tests.flowworld import FlowWorld
from fuchsiapin.timers import Timers

UNREADABLE = "\udc0a\udcff"
"""Text of bytes that aren't UTF-8."""
NESTED = reduce(lambda inner, _: [inner], range(900), [])
"""Nested as deep as the JSON parser allows."""
ODD_TEXTS = (UNREADABLE, "x" * 100_000, None, 5, True, [], {}, NESTED)
ODD_HOSTS = (*ODD_TEXTS, "", "10.0.9.1\0", "db.example", "10.0.9", "10.0.9.1:99999")
ODD_HOSTS = (*ODD_HOSTS, "0.0.0.0", "224.0.0.1", "255.255.255.255", "::1")
ODD_NUMBERS = (2**62, 2**63, 10**30, -1, -(2**70), float("inf"), float("nan"))
ODD_NUMBERS = (*ODD_NUMBERS, 10**300, True, None, "5", NESTED)
ODD_VALUES = (None, 5, "text", UNREADABLE, {}, {"a": 1}, [], [[]], NESTED, True)
MEMBER = ("odd", 1_000, SERVICE, "10.0.9.1", "z", 2, "ready")
BALANCER = ("odd", 1_000, "10.0.9.1", "z", False)
ODD_FIELDS = {
    MEMBERS: (
        MEMBER,
        {0: ODD_TEXTS, 1: ODD_NUMBERS, 2: ODD_TEXTS, 3: ODD_HOSTS, 4: ODD_TEXTS}
        | {5: ODD_NUMBERS, 6: (*ODD_TEXTS, "asleep", ["ready"])},
    ),
    BALANCERS: (
        BALANCER,
        {0: ODD_TEXTS, 1: ODD_NUMBERS, 2: ODD_HOSTS, 3: ODD_TEXTS}
        | {4: (None, 5, "", NESTED)},
    ),
}
"""A valid object of each kind, and odd values by the position of the field."""


def odd_entries(kind: str) -> list[object]:
    """Return odd values of an object of a kind."""
    valid, odd = ODD_FIELDS[kind]
    entries: list[object] = [*ODD_VALUES, valid[:-1], (*valid, 1)]
    for place, values in odd.items():
        entries += [[*valid[:place], odd, *valid[place + 1 :]] for odd in values]
    return entries


class RecordingWorld(FlowWorld):
    """Deployment that records the events of its processes."""

    def report(self, number: int, **fields: Any) -> None:
        """Record an event."""
        super().report(number, **fields)
        vars(self).setdefault("events", []).append((number, fields))


class EntryTest(unittest.TestCase):
    """Balancers beside one odd entry after the other."""

    def setUp(self) -> None:
        self.world = RecordingWorld(balancers=WATCHERS, members=2, evacuates=True)
        self.world.run(2_000)
        self.events = self.world.events

    def check_entry_is_refused(self, kind: str, name: str, value: object) -> None:
        """Check that an entry is reported, and that a new member is found beside it."""
        world, number = self.world, len(self.world.upstreams) + 1
        self.events.clear()
        world.store.put(kind, name, value)
        world.run(20)
        refused = [fields for event, fields in self.events if event == 6305]
        self.assertEqual(len(refused), WATCHERS)
        self.assertLess(len(str(refused[0])), 500)
        version = 10 * number
        world.configure(version)
        world.store.put(
            MEMBERS, f"m{number}", [f"m{number}", 9_000, *MEMBER[2:]]
        )  # at an address without a process
        world.run(20)
        for index in range(WATCHERS):
            state = world.balancer(index).state
            self.assertIn(f"m{number}", state.table.views)
            self.assertEqual(state.routes.version, version)
            self.assertTrue(all(map(is_host, [*state.gossip.peers])))
        world.store.delete(MEMBERS, f"m{number}")
        world.store.delete(kind, name)
        world.run(20)
        self.assertNotIn(1302, [event for event, _ in self.events])

    def test_an_odd_entry_names_nobody_and_later_entries_are_followed(self) -> None:
        for kind in ODD_FIELDS:
            for value in odd_entries(kind):
                with self.subTest(kind=kind, value=repr(value)[:90]):
                    self.check_entry_is_refused(kind, "odd", value)

    def test_an_entry_under_the_name_of_another_names_nobody(self) -> None:
        for kind, value in ((MEMBERS, MEMBER), (BALANCERS, BALANCER)):
            self.check_entry_is_refused(kind, "other", list(value))

    def test_an_odd_zone_is_not_evacuated(self) -> None:
        for name in (UNREADABLE, "z" * 300):
            self.check_entry_is_refused(EVACUATIONS, name, {})

    def test_a_balancer_that_starts_beside_odd_entries_serves(self) -> None:
        for kind in ODD_FIELDS:
            for number, value in enumerate(odd_entries(kind)):
                self.world.store.put(kind, f"odd-{number}", value)
        self.world.balancer_hosts.append("10.0.0.9")
        self.world.start_balancer("10.0.0.9")
        self.world.run(2_000)
        self.assertEqual(self.world.balancer(-1).not_ready(self.world.now), "")
        self.assertEqual(len(self.world.balancer(-1).table.views), 2)
        self.assertNotIn(1302, [event for event, _ in self.events])


class DisplacedMemberTest(unittest.TestCase):
    """A well-formed entry of another writer under the id of a living member."""

    def test_the_member_is_back_soon_without_a_storm_of_messages(self) -> None:
        for state, host in (("gone", "10.0.1.1"), ("ready", "10.0.9.1")):
            with self.subTest(state=state):
                world = FlowWorld(balancers=WATCHERS, members=2)
                world.run(2_000)
                for upstream in list(world.upstreams.values()):
                    odd = [upstream.id, world.now + 3_600_000, SERVICE, host, "z", 2]
                    world.store.put(MEMBERS, upstream.id, [*odd, state])
                before = world.sent_messages.copy()
                world.run(2_000)
                for index in range(WATCHERS):
                    views = world.balancer(index).table.views.values()
                    hosts = {view.member.host for view in views}
                    self.assertEqual(hosts, set(world.upstreams))
                sent = world.sent_messages - before
                self.assertLess(sent["Ping"] + sent["Status"], 400)

    def test_a_gone_upstream_is_not_asked_again_and_again(self) -> None:
        world = FlowWorld(balancers=1, members=2)
        world.run(2_000)
        [side, *_] = world.upstreams
        upstream = world.upstreams[side]
        upstream.is_up = False
        world.side(side).on_leave(world.now, upstream.id, upstream.born)
        world.run_effects(side)
        world.run(1_000)
        before = world.sent_messages["Ping"]
        world.side(side).announcer.report_status(world.now)
        world.run_effects(side)
        world.run(1_000)
        self.assertLess(world.sent_messages["Ping"] - before, 20)


class FollowerTest(unittest.TestCase):
    """Odd answers while the store is followed."""

    def setUp(self) -> None:
        self.effects: list[Any] = []
        self.events: list[int] = []
        self.applied: list[str] = []
        self.listed: list[set[str]] = []
        self.follower = StoreFollower(
            MEMBERS,
            Timers(),
            self.effects,
            random.Random(1),
            lambda number, **fields: self.events.append(number),
            self.apply,
            lambda now, names: self.listed.append(names),
        )
        self.follower.start(0)

    def apply(self, now: int, item: StoredItem) -> None:
        """Apply an item; fail for the one named `b`."""
        if item.name == "b":
            raise KeyError(item.name)
        self.applied.append(item.name)

    def answer(self, answer: StoreResult) -> None:
        """Answer the latest call."""
        self.follower.on_answer(1, self.effects[-1].purpose, answer)

    def test_a_list_ends_at_a_page_that_cannot_be_continued(self) -> None:
        items = (StoredItem("a", 1, None),)
        for after in ("", "a"):
            with self.subTest(after=after):
                self.follower.relist(1)
                for _ in range(3):
                    if self.effects[-1].request.verb == LIST:
                        page = StoreResult("done", items, 7, True, after=after)
                        self.answer(page)
                self.assertEqual(self.effects[-1].request.since, 7)
        self.assertEqual((self.listed, self.events), ([], [6305] * 2))

    def test_a_change_between_two_pages_is_watched_for(self) -> None:
        items = (StoredItem("a", 1, None),)
        self.answer(StoreResult("done", items, 7, True, after="a"))
        self.answer(StoreResult("done", (), 9))
        self.assertEqual(self.effects[-1].request.since, 7)

    def test_the_other_items_are_applied_and_the_store_is_followed(self) -> None:
        items = tuple(StoredItem(name, 1, None) for name in "abc")
        for revision in (7, 8):
            answer = StoreResult("done", items, revision, refused=("no name",))
            self.answer(answer)
            self.assertEqual(self.effects[-1].request.since, revision)
        self.assertEqual(self.applied, ["a", "c"] * 2)
        self.assertEqual(self.listed, [{"a", "b", "c"}])
        self.assertEqual(self.events, [6305, 1302] * 2)


if __name__ == "__main__":
    unittest.main()
