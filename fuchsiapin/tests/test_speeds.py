"""Upstreams of different speed: service times learned, and flows placed by them."""

import heapq
import random
import statistics
import unittest
from collections import Counter
from unittest import mock

from fuchsiapin.flows.members import Load, MemberView
from fuchsiapin.flows.messages import Status
from fuchsiapin.flows.placement import (
    expected_load,
    expected_wait_ms,
    placement_policies,
    rank_views,
)
from fuchsiapin.flows.speeds import INITIAL_SERVICE_MS, ServiceTimes
from fuchsiapin.flows.wire import decode_message
from fuchsiapin.tests import flowworld
from fuchsiapin.tests.flowactors import Upstream
from fuchsiapin.tests.flowworld import SETTLE_MS, FlowWorld
from fuchsiapin.tests.test_placement import make_view
from fuchsiapin.tests.test_queueing import GIVE_UP_MS, CallerSession

TARGET_MS = 250
SERVICE_MS = (13, 17)
LONG_ONE_IN, LONG_FACTOR = 33, 7
MEAN_MS = sum(SERVICE_MS) / 2 * (1 + (LONG_FACTOR - 1) / LONG_ONE_IN)
UNEVEN = [2.2, 1.0, 1.0, 1.0] * 2
EQUAL = [1.0] * 8
SEEDS = (1, 2)


class UnevenUpstream(Upstream):
    """An upstream with a speed, two kinds of requests, and a few long ones."""

    factor, busy_ms = 1.0, 0

    def run_next(self) -> None:
        """Run queued requests, each with a service time of its own."""
        rng, before = self.world.rng, self.running
        long = LONG_FACTOR if rng.randrange(LONG_ONE_IN) == 0 else 1
        self.service_ms = round(rng.choice(SERVICE_MS) * self.factor * long)
        super().run_next()
        self.busy_ms += self.service_ms * (self.running - before)


class Session(CallerSession):
    """A caller that sends a request each second, as often as asked."""

    def __init__(self, world: FlowWorld, requests: int) -> None:
        self.left, self.sent_at, self.answers = requests, world.now, 0
        self.times: list[float] = []
        super().__init__(world, world.rng.choice(world.balancer_hosts))

    def watch(self) -> None:
        """Wait until the request was sent, then for the next one."""
        super().watch()
        if self.has_sent_request:
            self.world.after(1_000, self.send_next)

    def send_next(self) -> None:
        """Note the time of the last answer, and send the next request."""
        is_answered = self.caller.answers > self.answers
        self.answers = self.caller.answers
        elapsed = self.caller.answered_at - self.sent_at if is_answered else GIVE_UP_MS
        self.times.append(elapsed)
        self.left -= 1
        if self.left:
            self.sent_at = self.world.now
            self.caller.request(self.balancer)
            self.world.after(1_000, self.send_next)


def former_order(
    flow: bytes, views: list[MemberView], zone: str, target_latency_ms: int
) -> list[MemberView]:
    """Order members as before speeds were known: by wait, then by requests."""
    ranked = rank_views(flow, views)

    def key(view: MemberView) -> tuple[float, float]:
        return expected_wait_ms(view, view.load.service_ms), expected_load(view, zone)

    return sorted(ranked[:4], key=key) + ranked[4:]


class Play:
    """Callers with short and long flows to upstreams of one slot.

    Parameters
    ----------
    factors : list of float
        Service time of each upstream, relative to the usual one.
    balancers : int
        Number of balancers.
    use : float
        Share of the capacity that the callers need.
    is_former : bool
        Whether placement and reports are those without speeds.
    seed : int
        Seed of all random numbers.
    long_share : float
        Share of the requests that come on long flows.
    """

    def __init__(
        self,
        factors: list[float],
        balancers: int,
        use: float,
        is_former: bool,
        seed: int = 1,
        long_share: float = 0.5,
    ) -> None:
        options = {"seed": seed, "balancers": balancers, "members": len(factors)}
        with mock.patch.object(flowworld, "Upstream", UnevenUpstream):
            self.world = FlowWorld(slots=1, **options)
        for (host, upstream), factor in zip(
            self.world.upstreams.items(), factors, strict=True
        ):
            upstream.factor, upstream.capacity = factor, 10_000
            if is_former:  # each request counts from its arrival
                self.world.side(host).held.times.slots = 1_000
        for index in range(balancers if is_former else 0):
            self.world.balancer(index).opener.order_members = former_order
        self.world.run(SETTLE_MS)
        self.sessions: list[Session] = []
        per_s = use * sum(1_000 / (MEAN_MS * factor) for factor in factors)
        self.pause_ms = 1_000 / per_s / (1 - long_share)
        long_flows = int(per_s * long_share)
        for number in range(long_flows):
            self.world.after(number * 3_000 // long_flows, lambda: self.open(60))
        self.open_short()

    def open(self, requests: int) -> None:
        """Let a caller open a flow."""
        self.sessions.append(Session(self.world, requests))

    def open_short(self) -> None:
        """Let callers open flows for one request at random times."""
        self.open(1)
        pause = max(1, round(self.world.rng.expovariate(1 / self.pause_ms)))
        self.world.after(pause, self.open_short)

    def run(self, duration: int) -> tuple[float, float]:
        """Return the highest use relative to the mean, and the share in target."""
        upstreams = self.world.upstreams.values()
        before = [upstream.busy_ms for upstream in upstreams]
        for session in self.sessions:
            session.times.clear()
        self.world.run(duration)
        use = [u.busy_ms - b for u, b in zip(upstreams, before, strict=True)]
        times = [time for session in self.sessions for time in session.times]
        in_time = sum(time <= TARGET_MS for time in times) / len(times)
        return max(use) / statistics.mean(use), in_time


def lose_reports(world: FlowWorld, share: float) -> None:
    """Lose a share of the load reports that balancers would get."""
    deliver = world.deliver_message

    def deliver_some(host: str, source: str, data: bytes) -> None:
        is_status = isinstance(decode_message(data), Status)
        if not is_status or world.rng.random() >= share:
            deliver(host, source, data)

    if share:
        world.deliver_message = deliver_some


class PlacementTest(unittest.TestCase):
    """Flows go to upstreams of different speed, from several balancers."""

    def compare(
        self, factors: list[float], balancers: int, use: float, lost_reports: float = 0
    ) -> tuple[float, float]:
        """Return by how much use is more even, and more requests are in target."""
        gains = []
        for seed in SEEDS:
            figures = []
            for is_former in (False, True):
                play = Play(factors, balancers, use, is_former, seed)
                lose_reports(play.world, lost_reports)
                play.world.run(4_000)
                figures.append(play.run(8_000))
            (busiest, in_time), (former_busiest, former_in_time) = figures
            gains.append((former_busiest - busiest, in_time - former_in_time))
        evener, better = (
            statistics.mean(values) for values in zip(*gains, strict=True)
        )
        return evener, better

    def test_busy_upstreams_get_flows_in_proportion_to_their_speed(self) -> None:
        """Slow upstreams would get as many flows as the others, and serve them late."""
        for balancers in (1, 6, 16):
            with self.subTest(balancers=balancers):
                evener, better = self.compare(UNEVEN, balancers, 0.6)
                self.assertGreater(better, 0)
                if balancers > 1:
                    self.assertGreater(evener, 0)

    def test_equal_upstreams_serve_as_many_in_target(self) -> None:
        """Learned speeds differ a little also where true ones don't."""
        for balancers in (1, 6, 16):
            with self.subTest(balancers=balancers):
                _, better = self.compare(EQUAL, balancers, 0.7)
                self.assertGreater(better, -0.01)

    def test_as_many_are_in_target_with_stale_reports(self) -> None:
        """Three of four reports are lost."""
        _, better = self.compare(UNEVEN, 6, 0.6, lost_reports=0.75)
        self.assertGreater(better, 0)

    def test_use_is_no_less_even_than_by_waits_alone(self) -> None:
        """Herds on the upstreams that look fastest would use them unevenly."""
        cases = [(UNEVEN, 1, 0.6, 0.0), (UNEVEN, 6, 0.6, 0.75)]
        cases += [(EQUAL, balancers, 0.7, 0.0) for balancers in (1, 6, 16)]
        for case in cases:
            with self.subTest(case=case):
                self.assertGreaterEqual(self.compare(*case)[0], 0)

    def test_upstreams_that_turn_slow_lose_flows_and_get_them_back(self) -> None:
        """A third of them are five times slower for 8 s."""
        shares = []
        for is_former in (False, True):
            play = Play([1.0] * 9, 6, 0.5, is_former, long_share=0.1)
            play.world.run(3_000)
            slow = list(play.world.upstreams.values())[::3]
            for factor, duration in ((5.0, 8_000), (1.0, 4_000)):
                for upstream in slow:
                    upstream.factor = factor
                shares.append(play.run(duration)[1])
            busy = [upstream.busy_ms for upstream in slow]
            play.run(4_000)
            busy = [u.busy_ms - b for u, b in zip(slow, busy, strict=True)]
            self.assertGreater(min(busy), 4_000 * 0.5 / 2)
        during, after, former, former_after = shares
        self.assertGreater(during, former)
        self.assertGreater(after, former_after - 0.01)


class CostTest(unittest.TestCase):
    """Which member a new flow is offered to, by service times alone."""

    def first(self, views: list[MemberView], target_ms: int = TARGET_MS) -> Counter:
        """Return how many of 320 flows of zone a go first to each member."""
        policy = placement_policies.get("own zone first")
        flows = [number.to_bytes(2, "big") for number in range(320)]
        return Counter(policy(f, views, "a", target_ms)[0].member.id for f in flows)

    def views(self, service_ms: list[int], zones: str) -> list[MemberView]:
        """Return members with these service times in these zones."""
        views = [make_view(n, zone, slots=1) for n, zone in enumerate(zones)]
        for view, time in zip(views, service_ms, strict=True):
            view.load = Load(service_ms=time)
        return views

    def test_a_slow_upstream_gets_a_few_flows_for_trial(self) -> None:
        views = self.views([250, 50, 50, 50], "aaaa")
        for view in views[1:]:
            view.load = Load(1, 1_000, service_ms=50)
        self.assertGreater(self.first(views)["u0"], 0)
        self.assertLess(self.first(views)["u0"], 320 / 8)

    def test_a_healthy_upstream_among_slow_ones_is_not_too_fast(self) -> None:
        views = self.views([50, 250, 250, 50, 50, 50, 50], "aaabbbb")
        self.assertGreater(self.first(views)["u0"], 320 * 0.8)

    def test_a_slower_upstream_of_the_own_zone_is_preferred(self) -> None:
        views = self.views([40, 20], "ab")
        self.assertEqual(self.first(views), {"u0": 320})
        views[0].load = Load(2, 0, service_ms=40)  # 80 ms are over a quarter of 210
        self.assertEqual(self.first(views), {"u1": 320})


def feed(times: ServiceTimes, slots: int, load: float, seed: int = 1) -> None:
    """Let an upstream with so many slots serve 1,000 requests."""
    rng, free, events = random.Random(seed), [0] * slots, []
    at = 0.0
    for number in range(1_000):
        at += rng.expovariate(load * slots / MEAN_MS)
        long = LONG_FACTOR if rng.randrange(LONG_ONE_IN) == 0 else 1
        flow = number.to_bytes(2, "big")
        done = max(round(at), heapq.heappop(free)) + rng.choice(SERVICE_MS) * long
        heapq.heappush(free, done)
        events += [(round(at), 1, flow, 0), (done, 0, flow, round(at))]
    for now, is_request, flow, since in sorted(events):
        if is_request:
            times.note_request(now, flow)
        else:
            times.note_answer(now, flow, since)


class ServiceTimesTest(unittest.TestCase):
    """Service times are learned apart from waits."""

    def test_waits_and_outliers_hardly_count(self) -> None:
        """At nine tenths of the capacity most of the time to an answer is a wait."""
        for load in (0.3, 0.9):
            times = ServiceTimes()
            feed(times, 1, load)
            self.assertAlmostEqual(times.average_ms, 15, delta=5)

    def test_more_slots_than_reported_are_noticed(self) -> None:
        for slots in (2, 3):
            times = ServiceTimes()
            feed(times, slots, 0.7)
            self.assertGreater(times.slots, 1)
            self.assertAlmostEqual(times.average_ms, 15, delta=5)

    def test_cold_samples_and_those_of_former_incarnations_are_discarded(self) -> None:
        times = ServiceTimes()
        times.cold_until = 1_000
        for now in range(0, 2_000, 100):
            times.note_request(now, b"a")
            times.note_answer(now + (90 if now < 1_000 else 15), b"a", now)
        self.assertEqual(times.average_ms, 15)
        times.clear()
        self.assertEqual(times.average_ms, INITIAL_SERVICE_MS)

    def test_refusals_of_a_full_upstream_are_no_service(self) -> None:
        """They come before the answers to older requests, and at once."""
        times = ServiceTimes()
        for now in range(0, 2_000, 100):
            times.note_request(now, b"a")
            times.note_request(now, b"b")
            times.note_answer(now + 1, b"b", now)
            times.note_answer(now + 40, b"a", now)
        self.assertEqual((times.average_ms, times.slots), (40, 1))


if __name__ == "__main__":
    unittest.main()
