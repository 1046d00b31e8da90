"""Each check of the soak test detects a deliberate fault."""

import random
import sys
import unittest
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from fuchsiapin.clock import ManualClock, SystemClock  # noqa: E402
from fuchsiapin.daemons.eventloop import EventLoop  # noqa: E402
from fuchsiapin.daemons.httpcalls import HttpClient, HttpResponse  # noqa: E402
from fuchsiapin.flows.packets import endpoint  # noqa: E402
from fuchsiapin.timers import Timers  # noqa: E402
from soak.__main__ import DRAIN_MS, SETTLE_MS, Soak, failed_once  # noqa: E402
from soak.ends import ACK, CallerEnd, Request, answer_to, packet  # noqa: E402
from soak.faults import PLANNED, draw_fault, faults  # noqa: E402
from soak.store import StoreStandIn  # noqa: E402
from soak.storelink import StoreLink  # noqa: E402

ROUTE = endpoint("198.18.0.1", 443)
INTAKE = endpoint("198.18.0.2", 443)
SOURCE = endpoint("127.0.0.1", 1_024)


class CheckTest(unittest.TestCase):
    """The checks of packets and requests report violations."""

    def setUp(self) -> None:
        self.soak = object.__new__(Soak)
        self.soak.loop = EventLoop(ManualClock(100_000), Timers())
        self.soak.rng = random.Random(1)
        self.soak.began = 0
        self.soak.violations = []
        self.soak.requests = {}

        self.soak.is_over = True
        self.soak.last_unplanned = 0
        self.soak.runs = Counter()
        self.upstream = SimpleNamespace(
            id="u1", service="desk", is_draining=False, drain_acked=0, flows={}
        )
        self.soak.upstreams = [self.upstream]

    def kinds(self) -> list[str]:
        """Return the kinds of the violations found."""
        return [text.split(" s ", 1)[1].split(":")[0] for text in self.soak.violations]

    def test_an_opening_packet_of_another_service(self) -> None:
        self.soak.saw_opening(self.upstream, ROUTE)
        self.assertEqual(self.kinds(), [])
        self.soak.saw_opening(self.upstream, INTAKE)
        self.assertEqual(self.kinds(), ["wrong service"])

    def test_work_for_an_upstream_that_leaves(self) -> None:
        self.upstream.is_draining = True
        self.upstream.drain_acked = 100_000 - DRAIN_MS + 1
        self.soak.saw_opening(self.upstream, ROUTE)
        self.assertEqual(self.kinds(), [])
        self.upstream.drain_acked -= 10
        self.soak.saw_opening(self.upstream, ROUTE)
        self.assertEqual(self.kinds(), ["work for a leaving upstream"])

    def test_a_request_that_runs_twice_or_that_nobody_sent(self) -> None:
        self.soak.requests[b"a/1"] = Request(b"a/1", 0, ROUTE, "desk", False)
        self.soak.ran(self.upstream, b"a/1")
        self.assertEqual(self.kinds(), [])
        self.soak.ran(self.upstream, b"a/1")
        self.soak.ran(self.upstream, b"x/9")
        self.assertEqual(self.kinds(), ["ran twice", "unasked"])

    def test_a_reset_of_a_living_flow(self) -> None:
        flow = ROUTE + SOURCE
        self.soak.saw_reset(flow)
        self.assertEqual(self.kinds(), [])
        self.upstream.flows[flow] = {}
        self.soak.last_unplanned = 100_000 - SETTLE_MS + 1
        self.soak.saw_reset(flow)
        self.assertEqual(self.kinds(), [])
        self.soak.last_unplanned = 0
        self.soak.saw_reset(flow)
        self.assertEqual(self.kinds(), ["open flow reset"])

    def test_answers_that_are_foreign_changed_or_not_whole(self) -> None:
        caller = CallerEnd(self.soak.loop, self.soak, "127.0.0.1", 0, lambda *_: None)
        self.addCleanup(caller.socket.close)
        name = b"127.0.0.1/1"
        request = Request(name, 0, ROUTE, "desk", True)
        self.soak.requests[name] = request
        self.soak.requests[b"127.0.0.9/1"] = Request(
            b"127.0.0.9/1", 0, ROUTE, "x", True
        )
        flow = ROUTE + SOURCE
        whole = answer_to(name, "desk")
        for body in (whole[:-1], answer_to(name, "intake"), b"127.0.0.9/1|x|"):
            caller.flows[flow] = {
                "seq": 1,
                "ack": 0,
                "open": True,
                "keeps": False,
                "waiting": {},
                "args": (ROUTE, "desk", True),
            }
            caller.on_packet(packet(ACK, SOURCE, ROUTE, 5, 0, body), "")
        changed = bytearray(packet(ACK, SOURCE, ROUTE, 5, 0, whole))
        changed[-1] ^= 1
        caller.on_packet(bytes(changed), "")
        self.assertEqual(
            self.kinds(),
            ["wrong answer", "wrong answer", "foreign answer", "changed packet"],
        )

    def test_planned_work_that_leaves_callers_without_an_answer(self) -> None:
        for number in range(100):
            outcome = "late" if number < 2 else "served"
            name = str(number).encode()
            self.soak.requests[name] = Request(name, 0, ROUTE, "desk", True, outcome)
        self.soak.judge_planned()
        self.assertEqual(self.kinds(), ["planned work cuts"])


class StoreLinkTest(unittest.TestCase):
    """The proxy in front of the store applies its fault mode to connections."""

    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), Timers())
        self.store = StoreStandIn("127.0.0.1", 0)
        self.addCleanup(self.store.server.server_close)
        self.addCleanup(self.store.server.shutdown)
        target = self.store.server.server_address
        self.link = StoreLink(self.loop, ("127.0.0.1", 0), target)
        self.addCleanup(self.link.close)
        self.caller = HttpClient(self.loop, *self.link.listener.getsockname())

    def call(self, timeout_ms: int = 3_000) -> HttpResponse:
        """Return the answer to a call through the link."""
        got: list[HttpResponse] = []
        path = "/fuchsiapin/objects/config"
        self.caller.call("GET", path, b"", timeout_ms, got.append)
        while not got:
            self.loop.run_once()
        return got[0]

    def test_up_and_delayed_links_carry_calls(self) -> None:
        self.assertEqual(self.call().status, 200)
        self.link.set_mode("delayed")
        self.assertEqual(self.call().status, 200)

    def test_a_cut_holds_up_either_way(self) -> None:
        for mode in ("cut", "requests cut", "answers cut"):
            self.link.set_mode(mode)
            self.assertEqual(self.call(200).error, "timeout")
            self.link.set_mode("up")
            self.assertEqual(self.call().status, 200)

    def test_a_doomed_connection_stays_silent(self) -> None:
        self.assertEqual(self.call().status, 200)
        self.link.set_mode("doomed")
        self.link.set_mode("up")
        self.assertEqual(self.call(200).error, "timeout")
        self.assertEqual(self.call().status, 200)

    def test_a_reset_ends_calls(self) -> None:
        self.link.set_mode("reset")
        self.assertEqual(self.call().status, 0)
        self.link.set_mode("up")
        self.assertEqual(self.call().status, 200)


class FaultTest(unittest.TestCase):
    """The seed determines the sequence of faults."""

    def test_a_seed_draws_the_same_faults(self) -> None:
        drawn = [
            [draw_fault(random.Random(7), False) for _ in range(3)] for _ in range(2)
        ]
        self.assertEqual(drawn[0], drawn[1])

    def test_planned_sessions_hold_planned_work_only(self) -> None:
        rng = random.Random(3)
        drawn = {draw_fault(rng, True) for _ in range(200)}
        self.assertEqual(drawn, set(PLANNED))
        self.assertTrue(drawn <= set(faults.functions))

    def test_seeds_that_failed_are_kept(self) -> None:
        self.assertTrue({3, 6, 12} <= set(failed_once()))


if __name__ == "__main__":
    unittest.main()
