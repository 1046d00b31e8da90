"""Tests of the event loop, HTTP and log lines of the packet-flow processes."""

import json
import os
import socket
import subprocess
import sys
import unittest
from pathlib import Path

from fuchsiapin.clock import ManualClock, SystemClock
from fuchsiapin.daemons.eventloop import EventLoop, open_udp_socket
from fuchsiapin.daemons.httpcalls import HttpClient, HttpResponse
from fuchsiapin.daemons.httpserving import Reply, listen_http
from fuchsiapin.daemons.loglines import (
    BURST_LINES,
    LINES_PER_SECOND,
    MAX_BUFFER_BYTES,
    LogLines,
)
from fuchsiapin.timers import Timers

ROOT = Path(__file__).parent.parent.parent
MAX_ITERATIONS = 2_000


class LogLinesTest(unittest.TestCase):
    """The log volume is bounded, and a reader that stalls never blocks the process."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, self.writing)
        self.log = LogLines(self.clock, "entry-1", self.writing)

    def lines(self) -> list[dict]:
        """Flush the log; return the decoded lines."""
        self.log.flush()
        os.set_blocking(self.reading, False)
        try:
            text = os.read(self.reading, 1 << 20).decode()
        except BlockingIOError:
            return []
        return [json.loads(line) for line in text.splitlines()]

    def test_line_contains_time_process_and_fields(self) -> None:
        self.log.report(6105, flow="f", hops=2)
        line = self.lines()[0]
        self.assertEqual((line["time_ms"], line["process"]), (1_000, "entry-1"))
        self.assertEqual((line["event"], line["hops"]), ("flow not found", 2))

    def test_lines_over_the_rate_limit_are_counted(self) -> None:
        for _ in range(1_000):
            self.log.report(6301, host="h", error="e")
        self.assertEqual(len(self.lines()), BURST_LINES)
        self.clock.advance(1_000)
        self.log.report(6301, host="h", error="e")
        self.assertEqual(self.lines()[0]["left_out"], 1_000 - BURST_LINES)
        self.assertEqual(self.log.tally[6301], 1_001)

    def test_sustained_flood_is_bounded(self) -> None:
        count = 0
        for _ in range(50):
            self.clock.advance(100)
            for _ in range(100):
                self.log.report(6301, host="h", error="e")
            count += len(self.lines())
        self.assertLessEqual(count, BURST_LINES + 5 * LINES_PER_SECOND)

    def test_sampled_flows_are_logged_beyond_the_rate_limit(self) -> None:
        for number in range(4_000):
            flow = f"caller-{number % 80}"
            self.log.report(6105, flow=flow, hops=0)
        lines = [line["flow"] for line in self.lines()]
        self.assertGreater(len(lines), BURST_LINES)

    def test_stalled_reader_does_not_block(self) -> None:
        for step in range(20_000):
            self.clock.advance(100)
            self.log.report(6301, host="h" * 300, error="e" * 300)
            if step % 10 == 0:
                self.log.flush()
        self.assertLessEqual(self.log.buffered_bytes, MAX_BUFFER_BYTES)
        self.assertGreater(self.log.unread_lines, 0)


class LoopTest(unittest.TestCase):
    """Datagrams, HTTP calls and timeouts on one event loop."""

    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), Timers())

    def run_until(self, condition: object) -> None:
        """Run the loop until a condition holds."""
        for _ in range(MAX_ITERATIONS):
            if condition():
                return
            self.loop.run_once()
        self.fail("the condition did not become true")

    def test_datagrams_arrive_with_their_sender(self) -> None:
        got: list = []
        receiver = open_udp_socket(
            self.loop, "127.0.0.1", 0, lambda data, host: got.append((data, host))
        )
        self.addCleanup(receiver.close)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"x", receiver.getsockname())
        self.run_until(lambda: got)
        self.assertEqual(got, [(b"x", "127.0.0.1")])

    def call(
        self, port: int, body: bytes = b"", timeout_ms: int = 2_000
    ) -> HttpResponse:
        """Make a call; return its outcome."""
        got: list = []
        client = HttpClient(self.loop, "127.0.0.1", port)
        client.call("POST", "/path?x=1", body, timeout_ms, got.append)
        self.run_until(lambda: got)
        for connection in list(client.idle):
            connection.close()
        return got[0]

    def serve(self) -> int:
        """Start an echo server; return its port."""
        opened = listen_http(
            self.loop,
            "127.0.0.1",
            0,
            lambda method, path, body: Reply(200, f"{method} {path} ".encode() + body),
        )
        self.addCleanup(opened.close)
        return opened.getsockname()[1]

    def test_call_is_answered(self) -> None:
        answer = self.call(self.serve(), b'{"a": 1}')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b'POST /path?x=1 {"a": 1}')

    def test_body_over_the_limit_is_refused(self) -> None:
        self.assertEqual(self.call(self.serve(), b"x" * 70_000).status, 400)

    def test_closed_port_and_timeout_are_distinguished(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            port = taken.getsockname()[1]
        self.assertEqual(self.call(port).error, "refused")
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            answer = self.call(silent.getsockname()[1], timeout_ms=50)
        self.assertEqual((answer.status, answer.error), (0, "timeout"))

    def test_response_that_is_not_http_ends_the_call(self) -> None:
        with socket.socket() as served:
            served.bind(("127.0.0.1", 0))
            served.listen()
            got: list = []
            client = HttpClient(self.loop, *served.getsockname())
            client.call("GET", "/", b"", 2_000, got.append)
            self.loop.run_once()
            connection, _ = served.accept()
            with connection:
                connection.sendall(b"nonsense\r\n\r\n")
                self.run_until(lambda: got)
        self.assertEqual(got[0].status, 0)
        self.assertIn("malformed", got[0].error)


class StartTest(unittest.TestCase):
    """A process on the platform must not import slow modules at start-up."""

    def test_slow_modules_are_not_imported(self) -> None:
        code = (
            "import sys; sys.path[:0] = ['platform', '.']\n"
            "import fuchsiapin_platform.adapter\n"
            "import fuchsiapin.daemons.flowbalancer, fuchsiapin.daemons.flowside\n"
            "names = 'twisted asyncio cattrs aiocoap fuchsiapin.messages'.split()\n"
            "print([name for name in names if name in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)


if __name__ == "__main__":
    unittest.main()
