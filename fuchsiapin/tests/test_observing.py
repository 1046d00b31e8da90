"""Open observations: copies at the witness, notifications and registrations."""

import unittest
from collections.abc import Callable
from itertools import pairwise
from typing import NoReturn

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from fuchsiapin.coap.datagrams import parse_datagram
from fuchsiapin.coap.observing import SEQUENCE_TICK_MS, Observations, observation_key
from fuchsiapin.messages import Observation
from fuchsiapin.tests.standins.upstream import Upstream
from fuchsiapin.timers import Timers
from measure.world import World
from measure.worldparts import Links, WorldOptions

BOARDS = 12
CUT_MS = 100
DEADLINE_MS = 2_000
LATE_MS = 3_000
LOST_CALLER = 3106
ALL_RETRANSMISSIONS_MS = 70_000
"""Longer than all retransmissions to a caller that no longer answers."""


def make_world(boards: int = 0, loss: float = 0.0, board_ms: float = 1e3) -> World:
    """Return a settled world with open boards."""
    world = World(1, WorldOptions(board_ms=board_ms), Links(loss=loss))
    world.run(8_000)
    for _ in range(boards):
        world.add_caller().open_board()
    world.run(1_000 if boards else 0)
    return world


def side_names(world: World) -> list[str]:
    """Return the names of the side processes."""
    return [name for name, node in world.nodes.items() if node.service]


def cut_sides(world: World) -> None:
    """Drop all datagrams between side processes for a short time."""
    names = side_names(world)
    world.links.cuts = {(one, two) for one in names for two in names}
    world.run(CUT_MS)
    world.links.cuts = set()


def copies(world: World) -> int:
    """Return how many observations owners and witnesses hold in total."""
    count = 0
    for name in side_names(world):
        core = world.nodes[name].core
        for observation in core.observations.by_key.values():
            pair = core.ownership.pair(core.flow_store.flow_of(observation))
            count += name in [member.id for member in pair if member]
    return count


class WitnessTest(unittest.TestCase):
    """The copy of an observation at the witness of its flow.

    If an update to the witness is lost and not repeated, the observation is lost
    with its owner, or a closed one comes back.
    """

    def test_board_survives_the_kill_of_its_owner_after_a_lost_copy(
        self,
    ) -> None:
        world = make_world()
        callers = [world.add_caller() for _ in range(BOARDS)]
        for caller in callers:
            caller.open_board()
        cut_sides(world)
        self.assertTrue(all(caller.is_open for caller in callers))
        world.run(1_000)
        for name in side_names(world)[:2]:
            world.kill(name)
            world.run(15_000)
        now = world.clock.seconds()
        self.assertLess(max(now - caller.last_heard for caller in callers), 5)

    def test_lost_close_of_a_board_is_sent_to_the_witness_again(self) -> None:
        world = make_world(BOARDS)
        self.assertEqual(copies(world), 2 * BOARDS)
        for caller in world.callers.values():
            caller.close_board()
        cut_sides(world)
        world.run(1_000)
        self.assertEqual(copies(world), 0)

    def test_copy_lost_before_a_view_change_is_sent_in_the_new_view(
        self,
    ) -> None:
        world = make_world()
        names = side_names(world)
        world.links.cuts = {(one, two) for one in names for two in names}
        for _ in range(BOARDS):
            world.add_caller().open_board()
        world.run(50)
        world.stop(names[-1])
        world.run(50)
        world.links.cuts = set()
        world.run(5_000)
        self.assertEqual(copies(world), 2 * BOARDS)

    def test_no_update_stays_pending_once_the_witness_acknowledged(self) -> None:
        world = make_world(BOARDS, loss=0.1)
        world.run(3_000)
        for name in side_names(world):
            self.assertEqual(
                world.nodes[name].core.observation_manager.unacknowledged, {}
            )


class ObservedCaller:
    """Observations of one caller; records what is sent and when it is lost."""

    def __init__(self) -> None:
        self.timers = Timers()
        self.sent: list[Message] = []
        self.lost: list[int] = []
        self.observations = Observations(
            self.timers, self.send, lambda now, key: self.lose(now)
        )
        observation = Observation("10.9.0.1", 4000, b"t", b"", 1, "")
        self.key = observation_key(observation)
        self.observations.serve(observation)

    def send(self, observation: Observation, datagram: bytes) -> None:
        """Record a notification."""
        self.sent.append(parse_datagram(datagram))

    def lose(self, now: int) -> None:
        """Record the loss of the caller and drop its observation."""
        self.lost.append(now)
        self.observations.drop(self.key)

    def notify(self, now: int, state: str, code: Code = Code.CONTENT) -> None:
        """Deliver a new state from the upstream."""
        answer = Message(code=code, payload=state.encode())
        answer.opt.observe = now if code.is_successful() else None
        self.observations.notify(now, self.key, answer)

    def acknowledge(self, now: int, index: int) -> bool:
        """Acknowledge a notification; return whether the observation has ended."""
        mid = self.confirmable[index].mid
        key = self.observations.find(*self.key[:2], mid)
        return key is not None and self.observations.acknowledge(now, key, mid)

    @property
    def states(self) -> list[str]:
        """The states in the confirmable notifications sent so far."""
        return [message.payload.decode() for message in self.confirmable]

    @property
    def confirmable(self) -> list[Message]:
        """The confirmable notifications sent so far."""
        return [message for message in self.sent if message.mtype is Type.CON]


class LookupOnlyDict(dict):
    """A dict that allows lookups but fails on iteration."""

    def __iter__(self) -> NoReturn:
        raise AssertionError("all observations were iterated over")

    items = keys = values = __iter__


class IndexTest(unittest.TestCase):
    """Acknowledgements find their notification through an index of message IDs."""

    def test_acknowledgement_does_not_iterate_over_observations(self) -> None:
        caller = ObservedCaller()
        caller.notify(0, "a")
        caller.observations.served = LookupOnlyDict(caller.observations.served)
        caller.acknowledge(100, 0)
        caller.timers.run(90_000)
        self.assertEqual((caller.states, caller.lost), (["a"], []))

    def test_index_drops_acknowledged_replaced_and_closed_notifications(self) -> None:
        world = make_world(BOARDS)
        world.links.caller_ms = 1_500.0
        world.run(20_000)
        for caller in world.callers.values():
            caller.close_board()
        world.stop(side_names(world)[0])
        world.run(20_000)
        for name in side_names(world):
            observations = world.nodes[name].core.observations
            self.assertEqual((observations.served, observations.by_mid), ({}, {}))

    def test_reused_message_id_maps_to_the_later_notification(self) -> None:
        caller = ObservedCaller()
        other = Observation("10.9.0.1", 4000, b"u", b"", 1, "")
        caller.observations.serve(other)
        caller.notify(0, "a")
        caller.observations.last_mid -= 1
        answer = Message(code=Code.CONTENT, payload=b"b")
        caller.observations.notify(0, observation_key(other), answer)
        caller.observations.drop(caller.key)
        found = caller.observations.find("10.9.0.1", 4000, caller.sent[0].mid)
        self.assertEqual(found, observation_key(other))


class NotificationTest(unittest.TestCase):
    """At most one pending notification per observation; the last state arrives."""

    def setUp(self) -> None:
        self.caller = ObservedCaller()

    def run_until(self, end: int) -> None:
        """Run the timers and change the board, second by second."""
        for now in range(1_000, end, 1_000):
            self.caller.timers.run(now)
            if not self.caller.lost:
                self.caller.notify(now, f"s{now}")

    def test_silent_caller_is_dropped_while_its_board_changes(self) -> None:
        self.caller.notify(0, "s0")
        self.run_until(ALL_RETRANSMISSIONS_MS)
        # Timeouts of 2, 4, 8, 16 and 32 s, at each of which the newest state is sent.
        self.assertEqual(self.caller.lost, [62_000])
        states = ["s0", "s1000", "s5000", "s13000", "s29000"]
        self.assertEqual(self.caller.states, states)

    def test_states_are_still_sent_while_acknowledgements_are_lost(self) -> None:
        self.caller.notify(0, "s0")
        self.run_until(62_000)
        numbers = [message.opt.observe for message in self.caller.sent]
        self.assertEqual(numbers, sorted(set(numbers)))
        gaps = [after - before for before, after in pairwise(numbers)]
        # Non-confirmable notifications are 3 s apart, and states change every second.
        self.assertLessEqual(max(gaps) * SEQUENCE_TICK_MS, 4_000)
        # 5 confirmable transmissions, and a non-confirmable one per 3 s.
        self.assertLessEqual(len(numbers), 25)

    def test_newest_state_is_sent_at_once_after_the_acknowledgement(self) -> None:
        for now, state in ((0, "a"), (100, "b"), (200, "c")):
            self.caller.notify(now, state)
        self.assertEqual(self.caller.states, ["a"])
        self.caller.acknowledge(300, 0)
        self.assertEqual(self.caller.states, ["a", "c"])
        self.caller.acknowledge(400, 1)
        self.caller.timers.run(90_000)
        self.assertEqual(self.caller.states, ["a", "c"])
        first, second = (message.opt.observe for message in self.caller.sent)
        self.assertLess(first, second)

    def test_last_state_is_retransmitted_until_it_is_acknowledged(self) -> None:
        self.caller.notify(0, "a")
        self.caller.notify(100, "b")
        for now in (2_000, 6_000):
            self.caller.timers.run(now)
        self.assertEqual(self.caller.states, ["a", "b", "b"])
        self.assertEqual(len({message.mid for message in self.caller.sent}), 2)

    def test_late_acknowledgements_keep_a_caller(self) -> None:
        self.caller.notify(0, "s0")
        for now in range(1_000, 300_000, 1_000):
            self.caller.timers.run(now)
            self.caller.notify(now, f"s{now}")
            if len(self.caller.confirmable) > 1:
                self.caller.acknowledge(now, -2)
        self.assertEqual(self.caller.lost, [])

    def test_end_queued_behind_a_state_reaches_the_caller(self) -> None:
        self.caller.notify(0, "a")
        self.caller.notify(100, "gone", Code.NOT_FOUND)
        self.assertFalse(self.caller.acknowledge(200, 0))
        self.assertEqual(self.caller.states, ["a", "gone"])
        self.assertIsNone(self.caller.sent[1].opt.observe)
        self.assertTrue(self.caller.acknowledge(300, 1))

    def test_observations_of_silent_callers_are_removed_everywhere(self) -> None:
        world = make_world(5)
        world.callers.clear()
        world.run(ALL_RETRANSMISSIONS_MS)
        cores = [world.nodes[name].core for name in side_names(world)]
        self.assertEqual(sum(len(core.observations.served) for core in cores), 0)
        reports = [r.number for n in side_names(world) for r in world.nodes[n].reports]
        self.assertEqual(reports.count(LOST_CALLER), 5)
        self.assertEqual(copies(world), 0)
        self.assertEqual(sum(len(u.observers) for u in world.upstreams), 0)

    def test_end_sent_by_an_upstream_survives_a_lost_datagram(self) -> None:
        world = make_world(BOARDS)
        cores = [world.nodes[name].core for name in side_names(world)]
        closed = list(world.callers.values())
        for caller in closed:
            caller.open_board = lambda: None
        names = [name for name in world.nodes if name not in side_names(world)]
        world.links.cuts = {(name, "caller") for name in names}
        for core in cores:
            for token in list(core.observations.by_token):
                answer = Message(
                    code=Code.NOT_FOUND, _mtype=Type.NON, _mid=7, _token=token
                )
                core.link.receive(core.now, answer.encode())
        world.run(100)
        world.links.cuts = set()
        world.run(10_000)
        self.assertFalse(any(caller.is_open for caller in closed))
        self.assertEqual(copies(world), 0)


class RegistrationTest(unittest.TestCase):
    """Each board of a caller has exactly one registration at the upstream."""

    def setUp(self) -> None:
        self.world = make_world()
        self.caller = self.world.add_caller()
        self.registration = self.caller.request(Code.GET, "board")
        self.registration.opt.observe = 0
        self.caller.board_token = self.registration.token
        self.send(self.registration)

    def send(self, message: Message) -> None:
        """Send a datagram of the caller and wait until it has taken effect."""
        self.caller.send_datagram(message.encode())
        self.world.run(100)

    def observers(self) -> int:
        """Return the number of registrations at all upstreams."""
        return sum(len(upstream.observers) for upstream in self.world.upstreams)

    def check_open(self, copy_count: int = 2) -> None:
        """Check that one registration is left and delivers notifications."""
        self.assertEqual((self.observers(), copies(self.world)), (1, copy_count))
        received = self.world.tally.notifications
        self.world.run(5_000)
        self.assertEqual(self.world.tally.notifications, received + 5)
        self.assertEqual(self.world.tally.stale, 0)

    def test_repeated_registration_leaves_one_at_the_upstream(self) -> None:
        for _ in range(3):
            self.send(self.registration)
        self.check_open()

    def test_new_registration_under_the_same_token_replaces_the_first(self) -> None:
        for _ in range(3):
            self.registration.mid = self.caller.next_mid()
            self.send(self.registration)
        self.check_open()

    def test_concurrent_registrations_leave_one_at_the_upstream(self) -> None:
        for _ in range(3):
            self.registration.mid = self.caller.next_mid()
            self.caller.send_datagram(self.registration.encode())
        self.world.run(100)
        self.check_open()

    def cancel(self) -> Message:
        """Return a cancellation."""
        message = self.caller.request(Code.GET, "board")
        message.token = self.registration.token
        message.opt.observe = 1
        return message

    def check_closed(self) -> None:
        """Check that no registration and no copy is left."""
        self.world.run(2_000)
        self.assertEqual((self.observers(), copies(self.world)), (0, 0))
        self.assertFalse(self.caller.is_open)

    def test_cancellation_is_answered_and_frees_the_upstream(self) -> None:
        received = self.world.tally.notifications
        self.send(self.cancel())
        self.assertEqual(self.world.tally.notifications, received + 1)
        self.check_closed()

    def test_repeated_cancellation_is_answered_each_time(self) -> None:
        message, received = self.cancel(), self.world.tally.notifications
        for _ in range(3):
            self.send(message)
        self.assertEqual(self.world.tally.notifications, received + 3)
        self.check_closed()

    def test_cancellation_after_a_change_of_owner_frees_the_new_upstream(self) -> None:
        [owner] = [
            name
            for name in side_names(self.world)
            if self.world.nodes[name].core.observations.served
        ]
        self.world.stop(owner)
        self.world.run(10_000)
        self.check_open()
        self.send(self.cancel())
        self.check_closed()

    def test_registration_answered_after_its_deadline_frees_the_upstream(self) -> None:
        self.send(self.cancel())
        self.caller.open_board = lambda: None
        for name in side_names(self.world):
            node = self.world.nodes[name]
            node.core.deadline_ms = DEADLINE_MS
            node.upstream.answer_board = self.delayed(node.upstream)
        self.registration.mid = self.caller.next_mid()
        self.send(self.registration)
        self.world.run(LATE_MS)
        self.assertFalse(self.caller.is_open)
        self.assertEqual(self.observers(), 1)
        self.check_closed()

    def test_restarted_side_process_frees_registrations_of_its_predecessor(
        self,
    ) -> None:
        for _ in range(BOARDS):
            self.world.add_caller().open_board()
        self.world.run(1_000)
        for name in side_names(self.world)[:3]:
            self.world.restart_side(name)
            self.world.run(12_000)
        self.assertEqual(self.observers(), BOARDS + 1)

    def delayed(self, upstream: Upstream) -> Callable[..., None]:
        """Return the upstream's board handler, delayed past the deadline."""
        answer = upstream.answer_board
        return lambda *args: self.world.clock.callLater(LATE_MS / 1000, answer, *args)


if __name__ == "__main__":
    unittest.main()
