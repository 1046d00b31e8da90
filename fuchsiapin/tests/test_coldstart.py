"""Cold upstreams get no more openings than their service's limit."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.coldrates import COLD_RATES_KEY, NO_BOUNDS, ColdBounds
from fuchsiapin.flows.coldstart import (
    NEWS_MS,
    RENEWAL_MS,
    SPAN_MS,
    OpeningWindow,
)
from fuchsiapin.flows.evacuations import removal_version
from fuchsiapin.flows.members import Load, pack_load
from fuchsiapin.flows.messages import (
    ColdLimit,
    Copy,
    Evacuation,
    Forward,
    Ping,
    Status,
)
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.flows.storage import CONFIGURATION
from fuchsiapin.flows.upstreams import Heartbeat
from fuchsiapin.lightclasses import replace
from fuchsiapin.tests.drivenbalancer import LOAD, DrivenBalancer
from fuchsiapin.tests.flowactors import SERVICE, SYN, Upstream, make_packet
from fuchsiapin.tests.flowworld import FlowWorld
from fuchsiapin.tests.test_queueing import CallerSession

COLD_MS = 4_000
COLD_LOAD = pack_load(Load(cold_ms=1_000))
BOUNDS = ColdBounds(1.5, 5)
RATES = ((SERVICE, 10.0),)
LIMIT = 20  # openings in one second by `RATES` and `BOUNDS`


def most_in_a_span(times: list[int]) -> int:
    """Return the largest number of times in a span of one second, ends included."""
    spans = (sum(first <= time <= first + SPAN_MS for time in times) for first in times)
    return max(spans, default=0)


class ColdUpstream(Upstream):
    """An upstream that is cold after its start, and records its openings."""

    def restart(self) -> None:
        super().restart()
        self.cold_until = self.world.now + COLD_MS
        self.openings: list[int] = []

    def receive(self, data: bytes) -> None:
        if self.world.packets.read(data, False).opens:
            self.openings.append(self.world.now)
        super().receive(data)

    def next_heartbeat(self) -> Heartbeat:
        cold_ms = max(0, self.cold_until - self.world.now)
        return replace(super().next_heartbeat(), cold_ms=cold_ms)


class ColdWorld(FlowWorld):
    """Three balancers, two warm upstreams; then these restart, and are cold."""

    def __init__(
        self, rates: tuple = RATES, bounds: ColdBounds = BOUNDS, **options: object
    ) -> None:
        self.rates, self.bounds = rates, bounds
        super().__init__(members=2, slots=20, **options)
        self.run(COLD_MS + 1_000)
        for host, upstream in self.upstreams.items():
            upstream.restart()
            self.send_heartbeat(host, upstream.next_heartbeat())

    def add_member(self, host: str, service: str, slots: int, service_ms: int) -> None:
        self.upstreams[host] = ColdUpstream(self, host, service, slots, service_ms)
        self.start_side(host)

    def start_side(self, host: str) -> None:
        super().start_side(host)
        cold_start = self.side(host).state.cold_start
        cold_start.is_bounded = self.bounds.overage > 0
        cold_start.start(self.now)

    def configure(self, version: int) -> None:
        value = FlowConfiguration(version, tuple(self.routes), 15_000, self.rates)
        self.store.put(CONFIGURATION, "main", value)

    def start_balancer(self, host: str) -> None:
        super().start_balancer(host)
        self.processes[host].core.state.cold_rates.bounds = self.bounds

    def run_callers(self, duration: int) -> list[int]:
        """Let 100 callers a second come; return each upstream's most in a span."""
        since = self.now
        for number in range(duration // 10):
            CallerSession(self, self.balancer_hosts[number % 3])
            self.run(10)
        return [
            most_in_a_span([time for time in upstream.openings if time > since])
            for upstream in self.upstreams.values()
        ]

    def limits(self) -> list[int]:
        return [self.side(host).state.cold_start.limit for host in self.upstreams]


class WindowTest(unittest.TestCase):
    """No span of one second has more openings than the limit."""

    @given(st.lists(st.integers(0, 4_000), max_size=80), st.integers(1, 5))
    def test_no_span_has_more_than_the_limit(self, times: list, limit: int) -> None:
        window, given_at = OpeningWindow(), []
        for now in times:
            if window.has_room(now, limit):
                window.note(now)
                given_at.append(now)
        self.assertLessEqual(most_in_a_span(given_at), limit)


class DeploymentTest(unittest.TestCase):
    """Upstreams that start cold while many callers come, with one fault each."""

    def test_the_limit_holds_while_cold_and_is_used(self) -> None:
        world = ColdWorld()
        self.assertLessEqual(max(world.run_callers(COLD_MS - 500)), LIMIT)
        for upstream in world.upstreams.values():
            self.assertGreater(len(upstream.openings), 2.5 * LIMIT)
        self.assertGreater(world.event_counts[6218], 0)
        world.run(500)
        self.assertGreater(max(world.run_callers(1_500)), 2 * LIMIT)

    def test_without_rate_or_bounds_nothing_is_sent_and_no_limit_holds(self) -> None:
        """With bounds each balancer tells each member once, at its start."""
        for rates, bounds, starts in (((), BOUNDS, 3 * 2), (RATES, NO_BOUNDS, 0)):
            world = ColdWorld(rates, bounds)
            self.assertEqual(world.sent_messages["ColdLimit"], starts)
            self.assertGreater(max(world.run_callers(1_500)), 2 * LIMIT)
            self.assertEqual(world.sent_messages["ColdLimit"], starts)
            known = world.balancer(0).state.gossip.version(COLD_RATES_KEY)
            self.assertEqual(known, bool(rates))

    def test_a_restarted_side_process_learns_the_limit(self) -> None:
        world = ColdWorld()
        for host in world.upstreams:
            world.start_side(host)
        world.run_callers(1_000)
        self.assertEqual(world.limits(), [LIMIT, LIMIT])
        self.assertLessEqual(max(world.run_callers(2_000)), LIMIT)

    def test_the_limit_holds_over_a_restart_of_the_side_process(self) -> None:
        """Nor the limit, nor the cold time or earlier openings are known (review/8)."""
        for pause in (0, 300, 600):
            world = ColdWorld()
            world.run_callers(500)
            for host in world.upstreams:
                world.start_side(host)
            world.run(pause)
            world.run_callers(COLD_MS - 1_000 - pause)
            for upstream in world.upstreams.values():
                self.assertLessEqual(most_in_a_span(upstream.openings), LIMIT)
                self.assertGreater(len(upstream.openings), LIMIT)

    def test_a_restart_without_a_rate_costs_a_moment_only(self) -> None:
        world = ColdWorld(())
        world.run_callers(500)
        for host in world.upstreams:
            world.start_side(host)
        before = [len(upstream.openings) for upstream in world.upstreams.values()]
        world.run_callers(500)
        for upstream, count in zip(world.upstreams.values(), before, strict=True):
            self.assertGreater(len(upstream.openings) - count, LIMIT // 2)

    def test_balancers_of_the_previous_build_are_limited_too(self) -> None:
        world = ColdWorld()
        for index in (0, 1):  # they refuse the rates and send no limit
            state = world.balancer(index).state
            state.gossip.remove(COLD_RATES_KEY)
            state.pinger.notices = lambda now, view: []
            state.gossip.apply_object = mock.Mock(side_effect=MalformedObject("key"))
        self.assertLessEqual(max(world.run_callers(COLD_MS - 500)), LIMIT)
        self.assertGreater(world.event_counts[6301], 0)

    def test_a_changed_rate_is_applied_and_a_removed_one_ends(self) -> None:
        world = ColdWorld()
        for version, rate, limit in ((2, 2.0, 8), (3, 6.0, 14), (4, 0.0, 0)):
            world.rates = ((SERVICE, rate),) if rate else ()
            world.configure(version)
            world.run(800 if rate else 500 + RENEWAL_MS)
            self.assertEqual(world.limits(), [limit, limit])

    def test_a_retransmitted_opening_waits_and_counts(self) -> None:
        world = ColdWorld()
        host, upstream = next(iter(world.upstreams.items()))
        side = world.side(host)
        side.on_message(world.now, "10.0.0.1", ColdLimit(9, 1))
        for name, pause in ((b"caller", 700), (b"caller", 500), (b"latest", 200)):
            packet = make_packet(SYN, world.routes[0].address, name)
            forward = Forward(SERVICE, "10.0.0.1", 0, 1, False, [], packet)
            side.on_message(world.now, "10.0.0.1", forward)
            world.run(pause)
        first, second = upstream.openings
        self.assertGreater(second - first, SPAN_MS)
        # The last one would wait for longer than the queue allows.
        self.assertEqual(side.counts["waited in vain"], 1)


class EvacuatedZoneTest(unittest.TestCase):
    """An upstream that turned cold just before its zone is in use again (review/7)."""

    def world_in_use_again(self, rates: tuple = RATES) -> ColdWorld:
        """Return a world whose first upstream was evacuated, and is cold since."""
        world = ColdWorld(rates, zones=("a", "b"), evacuates=True)
        world.run(COLD_MS)
        world.evacuate("a")
        world.run(3_000)
        host, upstream = next(iter(world.upstreams.items()))
        world.send_heartbeat(host, upstream.next_heartbeat())
        upstream.cold_until = world.now + COLD_MS
        world.run(50)
        world.reinstate("a")
        return world

    def test_the_limit_holds_before_the_next_heartbeat(self) -> None:
        world = self.world_in_use_again()
        [most, _] = world.run_callers(COLD_MS - 500)
        self.assertLessEqual(most, LIMIT)
        self.assertGreater(most, LIMIT // 2)

    def test_the_limit_is_asked_for_though_the_evacuation_was_not_heard_of(
        self,
    ) -> None:
        world = ColdWorld(zones=("a", "b"), evacuates=True)
        side = world.side(next(iter(world.upstreams)))
        balancer, notice = (
            world.balancer_hosts[0],
            Evacuation("a", removal_version(0, 9)),
        )
        side.on_message(world.now, balancer, notice)
        self.assertNotEqual(side.not_ready(world.now), "")
        side.on_message(world.now, balancer, ColdLimit(1, LIMIT))
        side.on_message(world.now, balancer, notice)  # repeated, it tells nothing new
        self.assertEqual(side.not_ready(world.now), "")
        self.assertEqual(side.state.cold_start.limit_at(world.now), LIMIT)

    def test_without_a_rate_new_flows_come_at_once(self) -> None:
        world = self.world_in_use_again(())
        world.run(600)
        host = next(iter(world.upstreams))
        self.assertEqual(world.side(host).not_ready(world.now), "")
        self.assertGreater(world.run_callers(1_000)[0], 2 * LIMIT)

    def test_a_limit_that_nobody_tells_is_not_awaited_for_long(self) -> None:
        world = self.world_in_use_again()
        for index in range(3):
            world.balancer(index).state.cold_rates.bounds = NO_BOUNDS
        world.run(600 + NEWS_MS)
        host = next(iter(world.upstreams))
        self.assertEqual(world.side(host).not_ready(world.now), "")


class BalancerTest(unittest.TestCase):
    """Rates at a balancer, and placement by what is left of a limit."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer()
        self.rates = self.balancer.core.state.cold_rates
        self.rates.bounds = BOUNDS

    def test_a_cold_member_without_room_comes_after_warm_ones(self) -> None:
        self.rates.put(1, RATES)
        cold, warm = self.balancer.members
        busy = pack_load(Load(waiting=50))
        for placed, chosen in ((LIMIT - 1, cold), (LIMIT, warm)):
            self.balancer.receive(cold.host, Status(b"", True, COLD_LOAD))
            self.balancer.receive(warm.host, Status(b"", True, busy))
            self.balancer.table.by_host(cold.host).placed_since_report = placed
            self.balancer.core.opener.openings.remove(self.balancer.flow)
            self.balancer.open()
            self.assertEqual(self.balancer.hosts_of(Forward)[-1], chosen.host)

    def test_the_limit_goes_at_once_to_cold_members_only(self) -> None:
        self.rates.put(1, RATES)
        host = self.balancer.members[0].host
        for load, kinds in ((LOAD, []), (COLD_LOAD, [ColdLimit, Ping])):
            for _ in range(2):
                self.balancer.receive(host, Status(b"", True, load))
            sent = [type(effect.message) for effect in self.balancer.sent]
            self.assertEqual(sent, kinds)

    def test_the_end_of_all_rates_is_replicated(self) -> None:
        # Guards against a rate that stays in force at balancers without the store.
        gossip = self.balancer.core.state.gossip
        for version, rates, known in ((1, (), 0), (2, RATES, 2), (3, (), 3)):
            self.rates.apply_stored("main", FlowConfiguration(version, (), 1, rates))
            self.assertEqual(gossip.version(COLD_RATES_KEY), known)
        # Repeated with the rounds of digests, so that lost pushes are made up for.
        gossip.effects.clear()
        gossip.send_digests(self.balancer.now)
        copies = [e.message for e in gossip.effects if isinstance(e.message, Copy)]
        self.assertEqual([(c.key, c.version) for c in copies], [(COLD_RATES_KEY, 3)])
        gossip.remove(COLD_RATES_KEY)
        self.assertFalse(self.rates.apply_copy(2, b"\x90"))
        self.assertEqual(gossip.version(COLD_RATES_KEY), 3)
        self.rates.report = mock.Mock()
        self.rates.apply_stored("main", FlowConfiguration(4, (), 1, (), "malformed"))
        self.rates.report.assert_called_once_with(
            6305, key="configuration/main", error="malformed"
        )
        for value in (b"", b"\x01", b"\x91\x01", b"\x91\x92\xa1s\xff"):
            with self.assertRaises(MalformedObject):
                self.rates.apply_copy(9, value)


if __name__ == "__main__":
    unittest.main()
