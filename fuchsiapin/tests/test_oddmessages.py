"""Odd messages neither stop a process of packet flows nor change its state for good."""

import json
import unittest
from typing import Any

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiapin.exceptions import MalformedEnvelope
from fuchsiapin.fields import is_host, read_text
from fuchsiapin.flows.coldrates import COLD_RATES_KEY, ColdBounds, openings_limit
from fuchsiapin.flows.effects import ToCaller, ToPeer, ToStore
from fuchsiapin.flows.erakeeping import UNCONFIRMED_MS
from fuchsiapin.flows.evacuations import evacuation_version
from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.members import (
    MAX_EPOCH,
    VERSIONS_PER_EPOCH,
    FlowMember,
    pack_member,
)
from fuchsiapin.flows.messages import (
    Ask,
    Buckets,
    ColdLimit,
    Copy,
    Digest,
    Era,
    Evacuation,
    Forward,
    Held,
    Known,
    Part,
    Ping,
    Pull,
    Returned,
    Silence,
    Status,
)
from fuchsiapin.flows.packets import endpoint
from fuchsiapin.flows.peerrecords import BalancerRecord, pack_balancer
from fuchsiapin.flows.routes import FlowConfiguration, pack_configuration
from fuchsiapin.flows.searchstate import FailedSearch
from fuchsiapin.flows.wire import TYPE_NUMBERS, decode_message, encode_message
from fuchsiapin.lightclasses import astuple
from fuchsiapin.replicas import pack_value
from fuchsiapin.tests.flowactors import ACK, SERVICE, SYN, make_packet, make_route
from fuchsiapin.tests.flowworld import SETTLE_MS, FlowWorld, open_flow

BALANCER, SIDE = "10.0.0.1", "10.0.1.1"
ODD_HOSTS = ("", "db", "\0", "10.0.0", "0.0.0.0", "255.255.255.255", "z" * 9_000)
ROUTE = make_route()
CLASS = 1 << 40 | 418 << 20 | 1_836
"""Priority, target latency and deadline of a flow, as packed in `Forward`."""


def packet(flags: int, number: int = 0) -> bytes:
    """Return a packet of a caller that no other test uses."""
    source = endpoint(f"100.64.200.{number}", 4_000)
    return make_packet(flags, ROUTE.address, source, 1, 0, 0 if flags == SYN else 50)


class OddWorld(FlowWorld):
    """Two balancers and two members; each effect is checked before it is executed."""

    def __init__(self, **options: Any) -> None:
        super().__init__(balancers=2, members=2, evacuates=True, **options)
        self.store.era = 1
        self.run(SETTLE_MS)

    def execute(self, host: str, effect: Any) -> None:
        """Execute one effect if the process could execute it."""
        if isinstance(effect, ToPeer | ToCaller) and not is_host(effect.host):
            raise AssertionError(f"no address of a host: {effect}")
        if isinstance(effect, ToPeer):
            assert decode_message(encode_message(effect.message)) == effect.message
        elif isinstance(effect, ToStore):
            read_text(effect.request.name, "name", is_empty_allowed=True)
            json.dumps(effect.request.value)
        super().execute(host, effect)

    def receive(self, host: str, message: Any, source: str = "10.0.0.2") -> None:
        """Let a process receive a message."""
        self.processes[host].core.on_message(self.now, source, message)
        self.run_effects(host)


class SideTest(unittest.TestCase):
    """Odd messages to a side process."""

    def setUp(self) -> None:
        self.world = OddWorld()
        self.side = self.world.side(SIDE)

    def test_a_huge_count_of_returns_does_not_end_the_review_of_the_queue(self) -> None:
        # Two to the power of the count was computed for each flow that waits.
        self.side.state.admission.update = lambda now: None
        self.side.state.admission.is_overloaded = True
        for number in range(12):
            data = packet(SYN, number)
            forward = Forward(SERVICE, BALANCER, 5_000, CLASS, False, [], data)
            self.world.receive(SIDE, forward, BALANCER)
        self.assertGreater(len(self.side.queue) + self.side.counts["offered"], 4)
        self.world.run(1_000)

    def test_nothing_is_sent_to_an_odd_address(self) -> None:
        # The name of a host would be resolved, which blocks the process.
        for odd in ODD_HOSTS:
            for flags, service in ((SYN, SERVICE), (ACK, SERVICE), (SYN, "other")):
                with self.subTest(host=odd[:20], flags=flags, service=service):
                    number = ODD_HOSTS.index(odd)
                    data = packet(flags, number)
                    for origin, rest in ((odd, []), (odd, [odd]), (BALANCER, [odd])):
                        forward = Forward(service, origin, 0, 1, True, rest, data)
                        self.world.receive(SIDE, forward, BALANCER)
                        self.world.run(200)
        self.assertGreater(self.side.counts["malformed"], 0)

    def test_an_odd_version_in_a_ping_does_not_raise_the_epoch_for_good(self) -> None:
        # An epoch that can't be packed, or that no balancer accepts, hides the member.
        highest = MAX_EPOCH * VERSIONS_PER_EPOCH
        for known in (2**63 - 1, 2**62 + 1, highest, highest - 1, 10**13):
            with self.subTest(known=known):
                self.world.receive(SIDE, Ping("z", known, False))
                self.world.run(300)
                member = self.side.upstream.member
                self.assertLess(member.epoch, MAX_EPOCH)
                for index in range(2):
                    view = self.world.balancer(index).table.by_host(SIDE)
                    self.assertEqual(view.member, member)
        self.assertGreater(member.version, 10**13)

    def test_an_odd_limit_of_a_cold_upstream_ends(self) -> None:
        self.world.upstreams[SIDE].cold_until = self.world.now + 60_000
        self.world.receive(SIDE, ColdLimit(2**63 - 1, 1))
        for _ in range(20):
            self.world.run(100)
            self.world.receive(SIDE, ColdLimit(2, 7), BALANCER)
        self.assertEqual(self.side.state.cold_start.limit_at(self.world.now), 7)


class BalancerTest(unittest.TestCase):
    """Odd messages to a balancer."""

    def setUp(self) -> None:
        self.world = OddWorld()
        self.balancer = self.world.balancer(0)

    def test_no_packet_is_sent_to_an_odd_address_of_a_holder(self) -> None:
        for odd in ODD_HOSTS[1:]:
            with self.subTest(host=odd[:20]):
                caller = self.world.caller()
                caller.request(BALANCER)
                self.world.run(30)
                self.balancer.search.failed_searches.put(
                    caller.flow, self.failed_search(caller.flow), self.world.now
                )
                self.world.receive(BALANCER, Known(caller.flow, odd, 7))
        self.assertEqual(self.world.event_counts[6301], len(ODD_HOSTS) - 1)

    def test_a_copy_whose_key_or_version_is_not_its_own_is_refused(self) -> None:
        # Kept under that version it would beat all later ones of its object.
        member = FlowMember("u9", 900, SERVICE, "10.0.1.9", "z", 2, "ready")
        record = BalancerRecord("entry-9", 900, "10.0.0.9", "z")
        configuration = FlowConfiguration(2, (ROUTE,), 15_000)
        for key, version, value in (
            ("members/u9", member.version, pack_member(member)),
            ("balancers/entry-9", record.version, pack_balancer(record)),
            ("configuration/current", 2, pack_configuration(configuration)),
        ):
            for odd_key, odd_version in (
                (key, 2**62 + 1),
                (key, version + 1),
                (f"{key}-2", version),
                (key.split("/")[0] + "/", version),
            ):
                with self.subTest(key=odd_key, version=odd_version):
                    copy = Copy(odd_key, odd_version, pack_value(value))
                    known = self.world.event_counts[6301]
                    self.world.receive(BALANCER, copy)
                    self.assertEqual(self.world.event_counts[6301], known + 1)
                    self.assertLessEqual(self.balancer.state.gossip.version(odd_key), 1)
            self.world.receive(BALANCER, Copy(key, version, pack_value(value)))
            self.assertEqual(self.balancer.state.gossip.version(key), version)

    def test_an_odd_configuration_of_another_balancer_is_refused(self) -> None:
        # Routes were kept as they came, and each packet of a caller failed.
        right = astuple(ROUTE)
        share = (SERVICE, 1)
        routes = [
            (*right[:index], odd, *right[index + 1 :])
            for index, odd_values in (
                (0, (5, "z" * 300)),
                (1, ("198.18", b"", None)),
                (2, (5, "ab", (), (5,), ((SERVICE,),), (share, (7, 1)))),
                (2, tuple(((SERVICE, odd),) for odd in (-1, "1", 2**40, 1e300))),
                (3, (None, 2)),
                *((index, (None, "9", True, -1, 2**40, 1e300)) for index in (4, 5, 6)),
            )
            for odd in odd_values
        ]
        odd_values = [(2, [route], 15_000) for route in [*routes, (), 5, right[:6]]]
        odd_values += [(2, 5, 1), (2, [right], -1), (2, [right], 1e300), (2, None, 1)]
        odd_values += [(odd, [right], 1) for odd in (1e300, "2", None, True)]
        packed = [msgpack.packb(odd) for odd in odd_values]
        nested = b"\x91" * 1_010 + b"\xc0"
        for value in (*packed, nested, nested + b"\x00", b"", b"\xc1", b"\xa1\xff"):
            with self.subTest(value=value[:80]):
                known = self.world.event_counts[6301]
                copy = Copy("configuration/current", 2, pack_value(value))
                self.world.receive(BALANCER, copy)
                self.assertEqual(self.world.event_counts[6301], known + 1)
        open_flow(self.world, BALANCER)

    def receive_rates(self, rates: Any, version: int = 2) -> None:
        """Receive the rates of cold upstreams from another balancer."""
        copy = Copy(COLD_RATES_KEY, version, pack_value(msgpack.packb(rates)))
        self.world.receive(BALANCER, copy)

    def test_odd_rates_of_cold_upstreams_make_no_limit_that_cannot_be_sent(
        self,
    ) -> None:
        rates = self.balancer.state.cold_rates
        rates.bounds = ColdBounds(1.5, 5)
        self.balancer.routes.version = 2
        for upstream in self.world.upstreams.values():
            upstream.cold_until = self.world.now + 60_000
        nested: Any = []
        for _ in range(400):
            nested = [nested]
        odd_rates = (1e308, 1e30, 2**64 - 1, -1, True, "5", nested, float("nan"))
        odd = [[(SERVICE, rate)] for rate in odd_rates]
        for values in (*odd, [("z" * 300, 5.0)], [(5, 5.0)], [(SERVICE,)], 5, nested):
            with self.subTest(values=str(values)[:60]):
                known = self.world.event_counts[6301]
                self.receive_rates(values)
                self.world.run(800)
                self.assertEqual(self.world.event_counts[6301], known + 1)
        self.receive_rates([(SERVICE, 4.0)])
        self.assertEqual(rates.limits, {SERVICE: 11})
        self.assertEqual(openings_limit(1e9, ColdBounds(1e300)), 2**31 - 1)

    def test_rates_of_no_known_configuration_do_not_hide_later_ones(self) -> None:
        rates = self.balancer.state.cold_rates
        for version in (2**63 - 1, 3, 2):
            self.receive_rates([(SERVICE, 4.0)], version)
            self.assertEqual(rates.rates, ())
        self.balancer.routes.version = 2
        self.receive_rates([(SERVICE, 4.0)])
        self.assertEqual(rates.rates, ((SERVICE, 4.0),))

    def test_an_era_that_the_store_does_not_tell_ends(self) -> None:
        # All answers of the store counted as outdated.
        for version, odd in ((2, 2**62), (3, 900)):
            for host in self.world.balancer_hosts:
                self.world.receive(host, Era(odd), "10.0.0.9")
            self.world.configure(version)
            self.world.run(2_000 + UNCONFIRMED_MS)
            for index in range(2):
                core = self.world.balancer(index)
                self.assertEqual(core.state.era.current, 1)
                self.assertEqual(core.routes.version, version)
        # An era that the store tells later counts, though it was told wrongly before.
        self.world.store.era = 900
        self.world.run(4_000)
        self.assertEqual(self.balancer.state.era.current, 900)

    def test_a_plausible_era_that_the_store_refutes_ends_soon(self) -> None:
        # No change was followed for the 10 s in which the store may confirm an era.
        self.world.receive(BALANCER, Era(1_100), "10.0.0.9")
        self.world.run(2_500)
        self.world.configure(2)
        self.world.run(500)
        for index in range(2):
            core = self.world.balancer(index)
            self.assertEqual((core.state.era.current, core.routes.version), (1, 2))

    def test_an_evacuation_of_an_odd_era_is_refused(self) -> None:
        # Neither its removal nor a later evacuation would count.
        for version in (2**63 - 1, 2**62 + 1, (200_000 << 44) + 1):
            copy = Copy("evacuations/z", version, pack_value(b""))
            for host in self.world.balancer_hosts:
                self.world.receive(host, copy, "10.0.0.9")
            for host in self.world.upstreams:
                self.world.receive(host, Evacuation("z", version), "10.0.0.9")
            self.world.run(500)
        open_flow(self.world, BALANCER)
        # A store may use the time in seconds as its era.
        later = Evacuation("z", evacuation_version(50_000, 1))
        self.world.receive(SIDE, later, BALANCER)
        self.assertTrue(self.world.side(SIDE).state.is_evacuated)
        self.world.evacuate("z")
        self.world.run(1_500)
        self.assertTrue(self.world.side("10.0.1.2").state.is_evacuated)
        self.assertEqual(self.balancer.state.zones.evacuated, {"z"})

    def test_odd_reasons_make_no_further_metrics(self) -> None:
        for reason in ("", "\0", "z" * 300, *map(str, range(2_000))):
            returned = Returned(SERVICE, reason, 0, False, [0] * 5, packet(ACK))
            self.world.receive(BALANCER, returned, SIDE)
        for reason in ("unknown", "refused", "full", "lost", "overloaded"):
            returned = Returned(SERVICE, reason, 0, False, [0] * 5, packet(ACK))
            self.world.receive(BALANCER, returned, SIDE)
            self.assertEqual(self.balancer.counts[f"returned: {reason}"], 1)
        self.assertLess(len(self.balancer.counts), 30)

    def failed_search(self, flow: bytes) -> FailedSearch:
        """Return a search that failed."""
        data = make_packet(ACK, flow[:6], flow[6:], 1, 1, 50)
        found = self.world.packets.read(data, False)
        return FailedSearch(Inquiry(found, 2, frozenset()), self.world.now, 1)


LOAD = [0] * 5
FLOW = ROUTE.address + endpoint("100.64.200.9", 4_000)
MEMBER = FlowMember("u9", 900, SERVICE, "10.0.1.9", "z", 2, "gone")
RECORD = BalancerRecord("entry-9", 900, "10.0.0.9", "z")
RIGHT = (
    Forward(SERVICE, BALANCER, 0, CLASS, False, [], packet(SYN, 9)),
    Forward(SERVICE, BALANCER, -5 << 17, 0, True, ["10.0.1.2"], packet(ACK, 9)),
    Returned(SERVICE, "unknown", -5 << 17, True, LOAD, packet(ACK, 9)),
    Returned(SERVICE, "full", 0, False, LOAD, packet(SYN, 9)),
    Held(FLOW, True, LOAD),
    Ping("z", 8, True),
    Status(b"", True, LOAD),
    Digest("entry-9", "z", 1, 7, 0),
    Buckets([0] * 64),
    Pull([1], ["members/u1"], [1]),
    Ask(FLOW),
    Known(FLOW, SIDE, 1),
    Era(1),
    Evacuation("y", 9),
    ColdLimit(1, 3),
    Silence(SIDE),
    Part("configuration/current", 2, 0, 2, b"z"),
    Copy("configuration/current", 2, pack_value(b"\x93\x02\x90\x01")),
    Copy(COLD_RATES_KEY, 1, pack_value(msgpack.packb([(SERVICE, 5.0)]))),
    Copy("evacuations/y", 9, pack_value(b"")),
    Copy("members/u9", MEMBER.version, pack_value(pack_member(MEMBER))),
    Copy("balancers/entry-9", RECORD.version, pack_value(pack_balancer(RECORD))),
    Status(pack_member(MEMBER), True, LOAD),
)
NESTED = b"\x91" * 1_010 + b"\xc0"
NUMBERS = [-(2**63), -1, 0, 1_100, 2**31, 2**40 + 1, 2**62 + 1, 2**63 - 1, 2**64 - 1]
TEXTS = [*ODD_HOSTS, "10.9.9.9", "é" * 300, "members/", "members/x", "coldrates/x"]
BYTES = [b"", b"\xff", b"z" * 40_000, NESTED, pack_value(NESTED), pack_value(b"z")]
ODD_RECORDS = [
    msgpack.packb(["u9", epoch, SERVICE, host, "z", slots, "ready"])
    for epoch in (-5, 2**62, 2**64 - 1, 1e300, True)
    for host in (*ODD_HOSTS, "10.0.1.9")
    for slots in (2, 2**63)
]
ODD_RECORDS += [
    msgpack.packb(["entry-9", started, host, "z", False])
    for started in (-5, 2**62, 2**64 - 1, 1e300, True, 900)
    for host in ODD_HOSTS
]
BYTES += [*ODD_RECORDS, *map(pack_value, ODD_RECORDS)]
LISTS = [
    [],
    [0] * 4,
    [2**64 - 1] * 5,
    [2**64 - 1] * 64,
    [-1] * 5,
    [True] * 5,
    [0] * 9_000,
]
LISTS += [[odd] for odd in TEXTS] + [["10.9.9.9"] * 3_000]
POOLS = {int: NUMBERS, str: TEXTS, bytes: BYTES, list: LISTS, bool: [0, 2]}
OTHERS = [None, True, 1.5, float("nan"), {}, "z", b"z", 0, [[]], msgpack.Timestamp(1)]


@st.composite
def odd_datagrams(draw: Any) -> bytes:
    """Return a message with up to two odd values."""
    message = draw(st.sampled_from(RIGHT))
    values = list(astuple(message))
    for index in draw(st.sets(st.integers(0, len(values) - 1), max_size=2)):
        pool = POOLS[type(values[index])]
        values[index] = draw(st.sampled_from(pool) | st.sampled_from(OTHERS))
    return msgpack.packb([TYPE_NUMBERS[type(message)], *values])


HOSTS = (BALANCER, "10.0.0.2", SIDE, "10.0.1.2")
events = st.tuples(
    st.sampled_from(HOSTS),
    st.sampled_from((*HOSTS, "10.0.0.9")),
    odd_datagrams() | st.binary(max_size=60),
    st.sampled_from((0, 30, 400)),
)


class AnyMessagesTest(unittest.TestCase):
    """No messages end a process, and it still learns what is new and serves callers."""

    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(st.lists(events, min_size=1, max_size=12))
    def test_ordinary_work_goes_on_after_any_messages(self, received: Any) -> None:
        world = OddWorld()
        for host, source, data, pause in received:
            try:
                message = decode_message(data)
            except MalformedEnvelope:
                continue
            world.receive(host, message, source)
            world.run(pause)
        world.run(2_500)
        world.routes = (ROUTE, make_route(port=444))
        world.configure(9)
        world.add_member("10.0.1.7", SERVICE, 2, 30)
        world.run(2_500)
        ids = {upstream.id for upstream in world.upstreams.values()}
        for index, host in enumerate(HOSTS[:2]):
            core = world.balancer(index)
            self.assertEqual(core.routes.version, 9)
            self.assertEqual(set(core.table.views), ids)
            self.assertLess(max(map(len, core.state.gossip.replicas.by_key)), 300)
            caller = world.caller(world.routes[1])
            caller.open(host)
            world.run(300)
            caller.request(host)
            world.run(300)
            self.assertEqual((caller.answers, caller.resets), (1, 0))
        for process in world.processes.values():
            process.core.metric_values(world.now)


if __name__ == "__main__":
    unittest.main()
