"""Admission of new flows under overload: who is served, and when others are told."""

import unittest
from unittest import mock

from hypothesis import given, strategies

from fuchsiapin.flows import balancercore, balancerstate
from fuchsiapin.flows.admission import AdmissionControl
from fuchsiapin.flows.queueing import OpeningQueue
from fuchsiapin.flows.serviceclass import ServiceClass, pack_class, unpack_class
from fuchsiapin.tests.flowactors import make_route
from fuchsiapin.tests.flowworld import settled_world
from fuchsiapin.tests.overload import (
    Outcome,
    OverloadedWorld,
    RetryingSession,
    without_early_returns,
)

POLL_MS = 5
"""Callers of the played loads look for a refusal this often."""
AT_ONSET_MS = 1_000
"""Time in which an overload is told from a burst, also beside a slow upstream."""
COLD_MS = 2_000
CLASS = ServiceClass(1, 400, 1_500)


def make_control(until: int, arrivals_every_ms: int = 5) -> AdmissionControl:
    """Return a control after arrivals at a rate, with an admission each 20 ms."""
    control = AdmissionControl()
    for now in range(until):
        if now % arrivals_every_ms == 0:
            control.rates.note_arrival(now, 1)
        if now % 20 == 0:
            control.rates.note_admission(now)
        control.update(now)
    return control


class DecisionTest(unittest.TestCase):
    """Which waiting flows are returned early."""

    def count_unservable(self, control: AdmissionControl, now: int, *classes) -> int:
        queue = OpeningQueue()
        for number, service_class in enumerate(classes):
            queue.put(now - 1, bytes([number]), None, service_class)
        return len(control.find_unservable(now, queue, 40))

    def test_none_is_returned_in_a_burst_or_below_the_capacity(self) -> None:
        burst = make_control(200)
        calm = make_control(3_000, arrivals_every_ms=25)
        self.assertEqual(self.count_unservable(burst, 200, *[CLASS] * 30), 0)
        self.assertEqual(self.count_unservable(calm, 3_000, *[CLASS] * 20), 0)

    def test_lasting_overload_keeps_only_flows_with_a_chance(self) -> None:
        for service_class, least, most in (
            (CLASS, 7, 8),
            (ServiceClass(0, 400, 1_500), 0, 0),  # arrivals of lower priorities
            (ServiceClass(0, 10, 42), 9, 9),  # the deadline is too near
            (ServiceClass(1), 0, 0),  # placed by the previous build
        ):
            found = self.count_unservable(
                make_control(1_000), 1_000, *[service_class] * 9
            )
            self.assertIn(found, range(least, most + 1), service_class)

    @given(*[strategies.integers(0, 1 << 19)] * 2, strategies.integers(1, 1 << 19))
    def test_packed_classes_keep_the_order(self, priority, deadline, target) -> None:
        wanted = ServiceClass(priority, target, deadline)
        self.assertEqual(unpack_class(pack_class(wanted)), wanted)
        after = pack_class(ServiceClass(priority + 1, 1, 0))
        self.assertLess(pack_class(wanted), after)


def play(factor: float, seed: int = 2) -> Outcome:
    """Return what callers got after the onset of an overload of 8 s."""
    played = OverloadedWorld(seed)
    played.arrive(factor, 0, 8_000)
    played.world.run(10_000)
    return played.outcome(AT_ONSET_MS)


class PlayedTest(unittest.TestCase):
    """What callers get, compared with what they got without early returns."""

    def test_lasting_overload(self) -> None:
        for factor in (2, 3):
            outcome = play(factor)
            with without_early_returns():
                former = play(factor)
            quarter_ms = make_route().target_latency_ms // 4 + POLL_MS
            told = sum(ms <= quarter_ms for ms in outcome.refusal_ms)
            self.assertGreaterEqual(outcome.in_target, former.in_target)
            self.assertGreater(told, 0.9 * len(outcome.refusal_ms))
            self.assertEqual(outcome.untold, 0)

    def test_a_burst_loses_nobody(self) -> None:
        def burst() -> int:
            played = OverloadedWorld(1)
            played.arrive(0.7, 0, 3_000)
            played.arrive(2.3, 1_000, 1_200)
            played.world.run(6_000)
            return played.outcome().in_time

        served = burst()
        with without_early_returns():
            self.assertGreaterEqual(served, burst())

    def test_after_an_overload_flows_are_served_again(self) -> None:
        played = OverloadedWorld(1)
        played.arrive(2.5, 0, 3_000)
        played.arrive(0.8, 3_000, 6_000)
        played.world.run(8_000)
        outcome = played.outcome(4_000)
        self.assertGreaterEqual(outcome.in_time, 0.99 * outcome.count)

    def test_a_higher_priority_is_served_beside_an_overload_of_a_lower_one(self):
        urgent = make_route(port=444)
        shares = urgent.shares
        urgent = type(urgent)("urgent", urgent.address, shares, "", 1_800, 400, 0)
        played = OverloadedWorld(1, (make_route(), urgent))
        played.arrive(2, 0, 4_000, played.world.routes[0])
        played.arrive(0.4, 0, 4_000, urgent)
        played.world.run(6_000)
        outcome = played.outcome(route=urgent)
        self.assertEqual(outcome.in_time, outcome.count)


def play_return(is_cold_told: bool, seed: int) -> tuple[int, int]:
    """Return how many callers were served at all, and in their target latency.

    Callers of an outage of 1.3 s return at once while others keep arriving, at .6 of
    the capacity of warm upstreams. All upstreams are cold for 2 s.
    """
    options = {"balancers": 2, "members": 6, "slots": 2, "service_ms": 40}
    world = settled_world(seed=seed, **options)
    for upstream in world.upstreams.values():
        upstream.capacity = 1_000_000
        upstream.service_ms = 64
        world.after(COLD_MS, lambda u=upstream: setattr(u, "service_ms", 40))
        upstream.cold_until = world.now + COLD_MS if is_cold_told else 0
    world.send_heartbeats()
    tries: list[RetryingSession] = []
    per_ms = 0.6 * 6 * 2 / 40
    at = -1_300.0
    while (at := at + world.rng.expovariate(per_ms)) < 3_000:
        age = max(0, -int(at))
        delay = max(0, int(at))
        world.after(delay, lambda a=age: RetryingSession(world, tries, a))
    world.run(7_000)
    times = [
        session.started_at + session.answer_ms - session.began_at
        for session in tries
        if session.answer_ms is not None
    ]
    target_ms = world.routes[0].target_latency_ms
    return len(times), sum(time <= target_ms for time in times)


class ReturnTest(unittest.TestCase):
    """All callers return to cold upstreams, which soon serve them faster."""

    def test_more_are_served_than_with_early_returns(self) -> None:
        """A refused caller is back at once, ahead of those that wait, and gives up."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                served, in_target = play_return(True, seed)
                former_served, former_in_target = play_return(False, seed)
                self.assertGreater(served, former_served)
                # A late answer is worth half as much as one in the target latency.
                lost = former_in_target - in_target
                self.assertGreater(served - former_served, lost)


class FaultTest(unittest.TestCase):
    """One fault in a lasting overload: every caller is served or told."""

    def check_fault(self, fault) -> None:
        played = OverloadedWorld(3)
        played.arrive(2, 0, 4_000)
        played.world.run(2_000)
        fault(played.world, "10.0.1.1")
        played.world.run(4_000)
        outcome = played.outcome(1_500)
        self.assertEqual(outcome.untold, 0)
        self.assertGreater(outcome.in_time, 0.3 * outcome.count)
        self.assertLess(outcome.refusal_ms[len(outcome.refusal_ms) // 2], 100)

    def test_a_side_process_restarts(self) -> None:
        self.check_fault(lambda world, host: world.start_side(host))

    def test_an_upstream_ends(self) -> None:
        def end(world, host) -> None:
            world.upstreams[host].is_up = False
            world.side(host).on_leave(world.now, world.upstreams[host].id)
            world.run_effects(host)

        self.check_fault(end)

    def test_no_load_reports(self) -> None:
        def read(values: list) -> None:
            return None

        with (
            mock.patch.object(balancercore, "read_load", read),
            mock.patch.object(balancerstate, "read_load", read),
        ):
            self.check_fault(lambda world, host: None)


if __name__ == "__main__":
    unittest.main()
