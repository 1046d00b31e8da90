"""Each check of the soak test detects a deliberate fault."""

import random
import sys
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import msgpack

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from fuchsiapin.clock import ManualClock, SystemClock  # noqa: E402
from fuchsiapin.daemons.eventloop import EventLoop  # noqa: E402
from fuchsiapin.daemons.httpcalls import HttpClient, HttpResponse  # noqa: E402
from fuchsiapin.flows.packets import endpoint  # noqa: E402
from fuchsiapin.flows.wire import MESSAGE_TYPES  # noqa: E402
from fuchsiapin.lightclasses import fields  # noqa: E402
from fuchsiapin.timers import Timers  # noqa: E402
from soak.__main__ import DRAIN_MS, SETTLE_MS, Soak, regression_seeds  # noqa: E402
from soak.endpoints import (  # noqa: E402
    ACK,
    CallerStandIn,
    Request,
    UpstreamStandIn,
    answer_to,
    make_packet,
)
from soak.evacuations import IN_FORCE_MS, Evacuations  # noqa: E402
from soak.faults import PLANNED, draw_fault, faults  # noqa: E402
from soak.newest import missing_in  # noqa: E402
from soak.processes import ManagedProcess, Vm  # noqa: E402
from soak.store import RawJson, StoreStandIn, render_json  # noqa: E402
from soak.storelink import StoreLink  # noqa: E402
from soak.strains import HARMLESS, strains  # noqa: E402
from soak.writers import OddWriter, odd_message, oddities  # noqa: E402

ROUTE = endpoint("198.18.0.1", 443)
INTAKE = endpoint("198.18.0.2", 443)
SOURCE = endpoint("127.0.0.1", 1_024)


class CheckTest(unittest.TestCase):
    """The checks of packets and requests report violations."""

    def setUp(self) -> None:
        self.soak = object.__new__(Soak)
        self.soak.loop = EventLoop(ManualClock(100_000), Timers())
        self.soak.rng = random.Random(1)
        self.soak.started_at = 0
        self.soak.violations = []
        self.soak.requests = {}
        self.soak.is_over = True
        self.soak.last_unplanned_at = 0
        self.soak.run_counts = Counter()
        self.upstream = SimpleNamespace(
            id="u1", service="desk", is_draining=False, drain_acked_at=0, flows={}
        )
        self.soak.upstreams = [self.upstream]

    def violation_kinds(self) -> list[str]:
        """Return the kinds of the violations found."""
        return [text.split(" s ", 1)[1].split(":")[0] for text in self.soak.violations]

    def test_opening_packet_for_another_service_is_reported(self) -> None:
        self.soak.check_opening(self.upstream, ROUTE)
        self.assertEqual(self.violation_kinds(), [])
        self.soak.check_opening(self.upstream, INTAKE)
        self.assertEqual(self.violation_kinds(), ["wrong service"])

    def test_opening_packet_for_a_drained_upstream_is_reported(self) -> None:
        self.upstream.is_draining = True
        self.upstream.drain_acked_at = 100_000 - DRAIN_MS + 1
        self.soak.check_opening(self.upstream, ROUTE)
        self.assertEqual(self.violation_kinds(), [])
        self.upstream.drain_acked_at -= 10
        self.soak.check_opening(self.upstream, ROUTE)
        self.assertEqual(self.violation_kinds(), ["work for a leaving upstream"])

    def test_new_flow_in_an_evacuated_zone_is_reported(self) -> None:
        self.soak.seed = 1
        evacuations = Evacuations(self.soak, 1)
        evacuations.zone, evacuations.began_at = "a", 100_000 - IN_FORCE_MS
        self.upstream.vm = SimpleNamespace(zone="a")
        evacuations.check_new_flow(self.upstream)
        self.assertEqual(self.violation_kinds(), [])
        evacuations.began_at -= 1_000
        evacuations.check_new_flow(self.upstream)
        evacuations.away_at = 99_000
        evacuations.check_new_flow(self.upstream)
        self.assertEqual(self.violation_kinds(), ["new flow in evacuated zone"])

    def test_zone_that_is_not_used_after_its_evacuation_is_reported(self) -> None:
        self.soak.seed = 1
        evacuations = Evacuations(self.soak, 1)
        evacuations.ended_at["a"] = 95_000
        evacuations.used_at["a"] = 94_000
        evacuations.check_use()
        self.assertEqual(self.violation_kinds(), ["zone not used again"])
        evacuations.used_at["a"] = 96_000
        evacuations.check_use()
        self.assertEqual(len(self.soak.violations), 1)

    def test_repeated_and_unsent_requests_are_reported(self) -> None:
        self.soak.requests[b"a/1"] = Request(b"a/1", 0, ROUTE, "desk", False)
        self.soak.check_run(self.upstream, b"a/1")
        self.assertEqual(self.violation_kinds(), [])
        self.soak.check_run(self.upstream, b"a/1")
        self.soak.check_run(self.upstream, b"x/9")
        self.assertEqual(self.violation_kinds(), ["ran twice", "unasked"])

    def test_reset_of_an_open_flow_is_reported_after_the_settle_time(self) -> None:
        flow = ROUTE + SOURCE
        upstream = object.__new__(UpstreamStandIn)
        upstream.id, upstream.flows, upstream.is_draining = "u1", {}, False
        self.soak.upstreams = [upstream]
        self.soak.check_reset(flow, 8)
        self.assertEqual(self.violation_kinds(), [])
        upstream.flows[flow] = {"first": 7}
        self.soak.last_unplanned_at = 100_000 - SETTLE_MS + 1
        self.soak.check_reset(flow, 8)
        self.assertEqual(self.violation_kinds(), [])
        self.soak.last_unplanned_at = 0
        self.soak.check_reset(flow, 9)  # opened at another upstream
        self.assertEqual(self.violation_kinds(), [])
        self.soak.check_reset(flow, 8)
        self.assertEqual(self.violation_kinds(), ["open flow reset"])

    def test_foreign_changed_and_incomplete_answers_are_reported(self) -> None:
        caller = CallerStandIn(
            self.soak.loop, self.soak, "127.0.0.1", 0, lambda *_: None
        )
        self.addCleanup(caller.socket.close)
        request_id = b"127.0.0.1/1"
        request = Request(request_id, 0, ROUTE, "desk", True)
        self.soak.requests[request_id] = request
        self.soak.requests[b"127.0.0.9/1"] = Request(
            b"127.0.0.9/1", 0, ROUTE, "x", True
        )
        flow = ROUTE + SOURCE
        complete_answer = answer_to(request_id, "desk")
        for body in (
            complete_answer[:-1],
            answer_to(request_id, "intake"),
            b"127.0.0.9/1|x|",
        ):
            caller.flows[flow] = {
                "seq": 1,
                "ack": 0,
                "open": True,
                "keeps": False,
                "waiting": {},
                "args": (ROUTE, "desk", True),
            }
            caller.on_packet(make_packet(ACK, SOURCE, ROUTE, 5, 0, body), "")
        changed = bytearray(make_packet(ACK, SOURCE, ROUTE, 5, 0, complete_answer))
        changed[-1] ^= 1
        caller.on_packet(bytes(changed), "")
        self.assertEqual(
            self.violation_kinds(),
            ["wrong answer", "wrong answer", "foreign answer", "changed packet"],
        )

    def test_missing_answers_under_planned_operations_are_reported(self) -> None:
        for number in range(100):
            outcome = "late" if number < 2 else "served"
            request_id = str(number).encode()
            self.soak.requests[request_id] = Request(
                request_id, 0, ROUTE, "desk", True, outcome
            )
        self.soak.check_planned_operations()
        self.assertEqual(self.violation_kinds(), ["planned work cuts"])


class ProcessEndTest(unittest.TestCase):
    """A process that ends without having been asked to is reported."""

    def test_end_is_expected_only_after_a_signal_that_asks_for_it(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            vm = Vm("side-1", "side", "", "", "z", ("", 0), ("", 0), ("", 0))
            process = ManagedProcess(vm, "", ("", 0), 0, [], Path(folder))
            process.log_path.write_text("Traceback\nValueError: odd")
            cases = ((set(), 0, 1), ({0, -15}, 0, 0), ({0, -15}, -15, 0))
            for asked, status, errors in (*cases, ({0, -15}, -1, 1), ({0, -9}, 1, 1)):
                with self.subTest(asked=asked, status=status):
                    process.asked = asked
                    found = process.end_error(status)
                    self.assertEqual(found.count("ValueError: odd"), errors)

    def test_old_configuration_and_unknown_members_are_reported(self) -> None:
        text = (
            'fuchsiapin_configuration_version{role="balancer"} 4\n'
            'fuchsiapin_stored_configuration_version{role="balancer"} 5\n'
            'fuchsiapin_member_silence_ms{role="balancer",member="u1"} 5\n'
        )
        self.assertEqual(missing_in(text, 4, ["u1"]), [])
        self.assertEqual(missing_in(text, 5, ["u1", "u2"]), ["configuration 5", "u2"])


class OddWriterTest(unittest.TestCase):
    """Odd entries and messages reach the processes as they were drawn."""

    def test_raw_json_is_sent_as_it_is(self) -> None:
        raw = [RawJson("1e999"), RawJson('"\udcff"'), "\udc0a"]
        self.assertEqual(
            render_json({"items": raw}), b'{"items": [1e999, "\xff", "\\udc0a"]}'
        )

    def test_pages_of_the_store_end_at_odd_names(self) -> None:
        store = StoreStandIn("127.0.0.1", 0)
        self.addCleanup(store.server.server_close)
        self.addCleanup(store.server.shutdown)
        store.page_items = 1
        path = "/fuchsiapin/objects/config"
        for name in ("a", "odd /?&", "\udc0a"):
            store.put("config", name, {})
        status, page = store.execute("GET", f"{path}?after=odd%20%2F%3F%26", b"")
        self.assertEqual([o["meta"]["Name"] for o in page["items"]], ["\udc0a"])
        self.assertEqual((status, page["HasMore"]), (200, False))

    def test_odd_messages_have_all_fields_of_their_types(self) -> None:
        for number, kind in enumerate(MESSAGE_TYPES):
            found, *values = msgpack.unpackb(odd_message(random.Random(1), number))
            self.assertEqual((found, len(values)), (number, len(fields(kind))))

    def test_same_seed_writes_the_same_entries(self) -> None:
        drawn = []
        for _ in range(2):
            vm = SimpleNamespace(host="127.0.1.1", zone="z")
            upstream = SimpleNamespace(id="u1", service="desk", vm=vm)
            soak = SimpleNamespace(seed=7, network="127.0", upstreams=[upstream])
            soak.store = SimpleNamespace(put=lambda *entry: drawn.append(repr(entry)))
            soak.store.delete = lambda *names: None
            soak.loop = EventLoop(ManualClock(5), Timers())
            writer = OddWriter(soak, 9)
            for writer.written in range(100):
                name = ("member", "balancer", "entry of an operator")[
                    writer.written % 3
                ]
                oddities.get(name)(writer)
        self.assertEqual(drawn[:100], drawn[100:])
        self.assertGreater(len(set(drawn)), 90)


class StoreLinkTest(unittest.TestCase):
    """The proxy in front of the store applies its fault mode to connections."""

    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), Timers())
        self.store = StoreStandIn("127.0.0.1", 0)
        self.addCleanup(self.store.server.server_close)
        self.addCleanup(self.store.server.shutdown)
        target = self.store.server.server_address
        self.store_link = StoreLink(self.loop, ("127.0.0.1", 0), target)
        self.addCleanup(self.store_link.close)
        self.client = HttpClient(self.loop, *self.store_link.listener.getsockname())

    def call(self, timeout_ms: int = 3_000) -> HttpResponse:
        """Return the answer to a call through the link."""
        responses: list[HttpResponse] = []
        path = "/fuchsiapin/objects/config"
        self.client.call("GET", path, b"", timeout_ms, responses.append)
        while not responses:
            self.loop.run_once()
        return responses[0]

    def test_up_and_delayed_links_carry_calls(self) -> None:
        self.assertEqual(self.call().status, 200)
        self.store_link.set_mode("delayed")
        self.assertEqual(self.call().status, 200)

    def test_cut_link_holds_data_back_until_it_is_up(self) -> None:
        for mode in ("cut", "requests cut", "answers cut"):
            self.store_link.set_mode(mode)
            self.assertEqual(self.call(200).error, "timeout")
            self.store_link.set_mode("up")
            self.assertEqual(self.call().status, 200)

    def test_doomed_connection_never_answers(self) -> None:
        self.assertEqual(self.call().status, 200)
        self.store_link.set_mode("doomed")
        self.store_link.set_mode("up")
        self.assertEqual(self.call(200).error, "timeout")
        self.assertEqual(self.call().status, 200)

    def test_reset_fails_calls(self) -> None:
        self.store_link.set_mode("reset")
        self.assertEqual(self.call().status, 0)
        self.store_link.set_mode("up")
        self.assertEqual(self.call().status, 200)


class FaultTest(unittest.TestCase):
    """The seed determines the sequence of faults."""

    def test_same_seed_draws_the_same_faults(self) -> None:
        drawn = [
            [draw_fault(random.Random(7), False) for _ in range(3)] for _ in range(2)
        ]
        self.assertEqual(drawn[0], drawn[1])

    def test_planned_only_runs_draw_planned_faults_only(self) -> None:
        rng = random.Random(3)
        drawn = {draw_fault(rng, True) for _ in range(200)}
        self.assertEqual(drawn, set(PLANNED))
        self.assertTrue(drawn <= set(faults.functions))

    def test_regression_seeds_include_known_failures(self) -> None:
        self.assertTrue({3, 6, 12} <= set(regression_seeds()))
        self.assertEqual(regression_seeds()[9], {"writers": 14})

    def test_strains_that_are_harmless_are_known(self) -> None:
        self.assertTrue(set(HARMLESS) < set(strains.functions))


if __name__ == "__main__":
    unittest.main()
