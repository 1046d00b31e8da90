"""Processes of packet flows start, run on whatever happens, and say why they end."""

import contextlib
import json
import os
import random
import resource
import select
import selectors
import signal
import socket
import subprocess
import sys
import time
import unittest
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from fuchsiapin.clock import Clock, ManualClock, SystemClock
from fuchsiapin.daemons.eventloop import EventLoop, open_udp_socket
from fuchsiapin.daemons.flowshell import FlowShell
from fuchsiapin.daemons.httpcalls import TOO_LONG, HttpClient, HttpResponse
from fuchsiapin.daemons.httpserving import Reply, listen_http
from fuchsiapin.daemons.loglines import LogLines
from fuchsiapin.daemons.processends import run_process
from fuchsiapin.flows.effects import ToCaller, ToStore
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.storage import (
    LIST,
    MEMBERS,
    WATCH,
    StoreCall,
    StoredItem,
    StoreResult,
)
from fuchsiapin.tests.flowprocess import HOST, ROOT, WAIT_S, RealProcess
from fuchsiapin.timers import Timers

FULL_PIPE = b"-" * 65_536
MAX_ITERATIONS = 200
SIGNAL_DURING_IMPORTS = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, *others):
        if name.startswith("fuchsiapin"):
            os.kill(os.getpid(), signal.SIGHUP)

sys.path.insert(0, "platform")
sys.meta_path.insert(0, Finder())
sys.argv[1:] = ["other"]
runpy.run_path("platform/main.py")
"""


def make_shell(test: unittest.TestCase, clock: Clock, **settings: object) -> FlowShell:
    """Return the shell of a core that does nothing, with a log that nobody reads."""
    reading, writing = os.pipe()
    test.addCleanup(os.close, reading)
    test.addCleanup(os.close, writing)
    values: dict[str, Any] = {
        "name": "entry-1",
        "bind": HOST,
        "zone": "z",
        "callers": (HOST, 0),
        "peer_port": 0,
        "store": (HOST, 1),
    }
    core = SimpleNamespace(timers=Timers(), counts={}, effects=[])
    core.zone_of = lambda host: "z"

    def take_effects() -> list:
        effects, core.effects = core.effects, []
        return effects

    core.take_effects = take_effects
    adapter = SimpleNamespace(settings_fingerprint=lambda: 0)
    module = "fuchsiapin.daemons.flowshell"
    with (
        patch(f"{module}.SystemClock", lambda: clock),
        patch(f"{module}.LogLines", lambda *args: LogLines(*args, writing)),
    ):
        shell = FlowShell(
            adapter, SimpleNamespace(**values | settings), "side", lambda *args: core
        )
    test.addCleanup(shell.peers.close)
    test.addCleanup(shell.loop.selector.close)
    return shell


class EndTest(unittest.TestCase):
    """A process that ends by an error writes why, with memory and descriptors."""

    def test_failed_start_names_its_cause(self) -> None:
        for changes, cause in (
            ({"callers": 7}, "callers"),
            ({"bind": "192.0.2.1", "ports": [7720, 7735]}, "192.0.2.1:7720"),
        ):
            with self.subTest(cause):
                process = RealProcess(self, **changes)
                self.assertEqual(process.start().wait(WAIT_S), 1)
                [line] = process.lines(1111)
                self.assertIn(cause, line["error"])
                self.assertTrue(line["where"] and line["trace"], line)

    def test_figures_are_written_at_start_and_end(self) -> None:
        process = RealProcess(self, "side")
        process.start()
        process.wait_until_started()
        self.assertEqual(process.end(), 0)
        lines = process.lines(1110)
        self.assertGreaterEqual(len(lines), 2)
        for line in lines:
            self.assertGreater(line["peak_memory_kb"], 1_000)
            self.assertLess(3, line["descriptors"])
            self.assertLess(line["descriptors"], line["descriptor_limit"])

    def test_cause_is_written_if_standard_output_is_closed_or_full(self) -> None:
        for kind in ("closed", "full", "unread"):
            with self.subTest(kind):
                process = RealProcess(self, bind="192.0.2.1")
                reading, writing = os.pipe()
                options: dict = {"stdout": writing}
                if kind == "closed":
                    options = {"stdout": None, "preexec_fn": lambda: os.close(1)}
                elif kind == "full":
                    os.set_blocking(writing, False)
                    os.write(writing, FULL_PIPE)
                else:
                    os.close(reading)
                with process.log.open("wb") as errors:
                    started = process.start(stderr=errors, **options)
                self.assertEqual(started.wait(WAIT_S), 1)
                self.assertEqual(len(process.lines(1111)), 1)
                for file in {writing} | ({reading} if kind != "unread" else set()):
                    os.close(file)


class StartTest(unittest.TestCase):
    """A process starts although something isn't in place yet."""

    def test_signal_for_changed_settings_never_ends_the_process(self) -> None:
        process = RealProcess(self)
        command = [sys.executable, "-c", SIGNAL_DURING_IMPORTS]
        done = subprocess.run(command, cwd=ROOT, capture_output=True)
        self.assertEqual((done.returncode, done.stderr[:5]), (1, b"usage"))
        started = process.start()
        process.wait_until_started()
        for _ in range(20):
            started.send_signal(signal.SIGHUP)
        process.wait_for(lambda: process.lines(6310))
        process.path.write_text("[" * 90_000)
        process.wait_for(lambda: process.lines(6311))
        process.path.write_text(json.dumps(process.values | {"store": "127.0.0.2:9"}))
        process.wait_for(lambda: process.lines(6310)[-1]["changed"] == ["store"])
        self.assertEqual(process.lines(1302), [])
        self.assertEqual(process.end(), 0)

    def test_signal_at_the_end_of_a_process_does_not_change_its_status(self) -> None:
        process = RealProcess(self)
        started = process.start()
        process.wait_until_started()
        started.send_signal(signal.SIGTERM)
        end = time.monotonic() + WAIT_S
        while started.poll() is None and time.monotonic() < end:
            started.send_signal(signal.SIGHUP)
            time.sleep(0.001)
        self.assertEqual(started.poll(), 0)

    def test_settings_that_are_written_late_are_awaited(self) -> None:
        for text in (None, "", '{"name": "balancer-1", "ho'):
            with self.subTest(text):
                process = RealProcess(self)
                if text is None:
                    process.path.unlink()
                else:
                    process.path.write_text(text)
                process.start()
                process.wait_for(lambda p=process: p.lines(1112))
                process.path.write_text(json.dumps(process.values))
                process.wait_until_started()
                self.assertEqual(process.end(), 0)

    def test_change_while_the_settings_are_read_is_noticed(self) -> None:
        fingerprints = iter((1, 2, 2))
        settings = SimpleNamespace(name="n")
        adapter = SimpleNamespace(
            read_settings=lambda: next(fingerprints) and settings,
            settings_fingerprint=lambda: next(fingerprints),
        )
        shell = SimpleNamespace(run=lambda: None, log=None)
        run_process(adapter, lambda *args: shell)
        self.assertEqual(shell.settings_fingerprint, 1)

    def test_port_that_is_still_in_use_is_awaited(self) -> None:
        for name, kind in (
            ("ready", socket.SOCK_STREAM),
            ("callers", socket.SOCK_DGRAM),
        ):
            with self.subTest(name), socket.socket(type=kind) as former:
                process = RealProcess(self)
                host, _, port = process.values[name].rpartition(":")
                former.bind((host, int(port)))
                if kind == socket.SOCK_STREAM:
                    former.listen()
                process.start()
                process.wait_for(lambda p=process: p.lines(1112))
                self.assertIn(port, process.lines(1112)[0]["error"])
                former.close()
                process.wait_until_started()
                self.assertEqual(process.end(), 0)

    def test_port_of_the_metrics_never_prevents_the_start(self) -> None:
        for name in ("ready", "callers", "control", "store"):
            with self.subTest(name):
                process = RealProcess(self, "side" if name == "store" else "balancer")
                process.values["metrics_port"] = int(process.values[name].split(":")[1])
                process.path.write_text(json.dumps(process.values))
                process.start()
                process.wait_until_started()
                if name == "store":  # its upstream's port too
                    port = process.values["metrics_port"]
                    socket.create_server((HOST, port)).close()
                self.assertEqual(process.end(), 0)


class LoopErrorTest(unittest.TestCase):
    """One failed event is reported, and everything else goes on."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.shell = make_shell(self, self.clock)
        self.loop = self.shell.loop
        self.loop.selector.select = self.select
        self.ready: list = []
        self.calls: list[str] = []

    def select(self, wait_s: float) -> list:
        """Return sockets that a test makes ready; let time pass."""
        self.clock.advance(max(1, int(wait_s * 1_000)))
        return self.ready

    def raise_error(self, *values: object) -> None:
        """Note the call, and raise an error."""
        self.calls.append("failed")
        raise RuntimeError("x" * 10_000)

    def run_for(self, duration_ms: int) -> int:
        """Run the loop; return how many lines tell of a failed event."""
        end = self.clock.now() + duration_ms
        while self.clock.now() < end:
            self.loop.run_once()
        return self.shell.log.tally[1302]

    def test_failed_timer_signal_and_effect_do_not_end_the_process(self) -> None:
        def queue_effects(now: int) -> None:
            self.shell.core.effects = ["unknown", ToCaller("h", b"", "z")]

        self.shell.effect_handlers[ToCaller] = lambda effect: self.calls.append("sent")
        self.loop.signal_handlers[1] = self.raise_error
        self.loop.pending_signals.append(1)
        self.loop.call_later(10, queue_effects)
        self.assertEqual(self.run_for(100), 2)
        self.assertEqual(self.calls, ["failed", "sent"])

    def test_failed_periodic_call_is_repeated_at_a_bounded_rate(self) -> None:
        ends_at = self.clock.now() + 60_000

        def fail_for_a_minute(now: int) -> None:
            if now < ends_at:
                self.raise_error()
            self.calls.append("done")

        self.loop.call_later(10, fail_for_a_minute)
        self.run_for(120_000)
        self.assertEqual(self.calls[-1], "done")
        self.assertLess(len(self.calls), 20)

    def test_call_that_scheduled_itself_before_it_failed_is_not_repeated(self) -> None:
        class Chain:
            def run(chain, now: int) -> None:  # noqa: N805
                self.loop.call_later(1_000, chain.run)
                self.raise_error()

        self.loop.call_later(0, Chain().run)
        self.assertLessEqual(self.run_for(10_500), 12)

    def test_socket_that_stays_ready_while_its_callback_fails_is_no_busy_loop(
        self,
    ) -> None:
        del self.loop.selector.select
        ours, other = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(other.close)
        other.send(b"x")
        self.loop.watch(ours, self.raise_error, selectors.EVENT_READ)
        for _ in range(10):
            self.loop.run_once()
        self.assertEqual(len(self.calls), 1)
        self.clock.advance(1_000)
        self.loop.run_once()
        self.loop.run_once()
        self.assertEqual(len(self.calls), 2)

    def test_datagram_to_no_address_is_dropped_without_a_lookup(self) -> None:
        hosts = ("db", "localhost", "\udc80", "1.2.3.4\0", "", "224.0.0.1", 7)
        targets = [(host, 9) for host in hosts]
        targets += [(HOST, port) for port in (0, -1, 65_536, 10**30)]
        for host, port in targets:
            with self.subTest(host=host, port=port):
                self.shell.unsent_datagrams = 0
                self.shell.send(self.shell.peers, b"x", host, port)
                self.assertEqual(self.shell.unsent_datagrams, 1)

    def test_line_that_cannot_be_encoded_is_shortened(self) -> None:
        deep: list = []
        for _ in range(100_000):
            deep = [deep]
        self.shell.log.report(1302, event="e", error=10**6_000, where=deep)
        [line] = map(json.loads, self.shell.log.buffer)
        self.assertEqual((line["where"], line["event"]), ("list", "'e'"))


class StoreCallTest(unittest.TestCase):
    """Each call to the store gets a result, so that it is followed on."""

    def test_store_is_followed_after_an_item_that_fails(self) -> None:
        clock = ManualClock(1_000)
        shell = make_shell(self, clock)
        handled: list[object] = []

        def handle(now: int, item: StoredItem) -> None:
            if item.value == "odd":
                raise OverflowError
            handled.append(item.value)

        def end_list(now: int, names: set[str]) -> None:
            raise OverflowError

        core: Any = shell.core
        rng = random.Random(1)
        follower = StoreFollower(
            MEMBERS,
            core.timers,
            core.effects,
            rng,
            shell.log.report,
            handle,
            end_list,
        )
        core.on_store = follower.on_answer

        def take_effects() -> list:
            taken = core.effects[:]
            core.effects.clear()
            return taken

        core.take_effects = take_effects
        answers = iter(["odd", "odd", "even", "odd", "even"])
        shell.adapter.store = SimpleNamespace(
            build_request=lambda call: ("GET", "/", b""),
            parse_response=lambda *_: StoreResult(
                "done", (StoredItem("i", 1, next(answers)),), 1
            ),
        )
        calls: list[int] = []

        def call(*values: Any) -> None:
            if len(calls) < 5:
                calls.append(clock.now())
                shell.loop.call_later(1, lambda now: values[-1](HttpResponse(200)))

        shell.store = SimpleNamespace(call=call)
        shell.loop.selector.select = lambda wait_s: (
            clock.advance(max(1, int(wait_s * 1_000))) or []
        )
        follower.start(clock.now())
        for _ in range(MAX_ITERATIONS):
            shell.loop.run_once()
        self.assertEqual((handled, len(calls)), (["even", "even"], 5))
        self.assertEqual(shell.log.tally[1302], 4)

    def test_a_watch_with_a_response_that_is_too_long_ends_in_a_list(self) -> None:
        shell = make_shell(self, ManualClock(1_000))
        for verb, wanted in ((WATCH, "history lost"), (LIST, "unreachable")):
            response = HttpResponse(0, error=TOO_LONG)
            result = shell.read_result(StoreCall(verb, MEMBERS), response)
            self.assertEqual(result.outcome, wanted)

    def test_each_call_has_one_result(self) -> None:
        deep = b"[" * 100_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
        valid = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        for path, response, wanted in (
            ("/a", valid, "done"),
            ("/a", b"HTTP/1.1 100 Continue\r\n\r\n" + valid, "done"),
            ("/a", valid + valid, "done"),
            ("/a", valid + b"rest", "done"),
            ("/deep", head + deep, "unreachable"),
            ("/a", b"HTTP/1.1 200 OK\r\n: \r\n" + valid, "unreachable"),
            ("/a\r\nX: 1", valid, "unreachable"),
            ("/\ud800", valid, "unreachable"),
            ("", valid, "unreachable"),
        ):
            with self.subTest(path=path, response=response[:40]):
                self.check(path, response, wanted)

    def check(self, path: str, response: bytes, wanted: str) -> None:
        """Make a call to a store with this answer; compare the outcome."""
        server = socket.create_server((HOST, 0))
        self.addCleanup(server.close)
        shell = make_shell(self, SystemClock(), store=server.getsockname())
        results: list[StoreResult] = []

        def on_store(now: int, purpose: str, result: StoreResult) -> None:
            results.append(result)
            raise RuntimeError

        def build_request(call: StoreCall) -> tuple[str, str, bytes]:
            if not path:
                raise RecursionError
            return "GET", path, b""

        def parse_response(call: StoreCall, status: int, body: bytes, _: dict) -> Any:
            return StoreResult("done", detail=str(json.loads(body)))

        shell.core.on_store = on_store
        shell.adapter.store = SimpleNamespace(
            build_request=build_request, parse_response=parse_response
        )
        shell.core.effects = [ToStore("follow", StoreCall(LIST, MEMBERS), 60_000)]
        server.settimeout(0.01)
        accepted = None
        shell.run_effects()
        for _ in range(MAX_ITERATIONS):
            if results:
                break
            with contextlib.suppress(TimeoutError):
                accepted, _ = server.accept()
                accepted.sendall(response)
                accepted.shutdown(socket.SHUT_WR)
            shell.loop.call_later(1, lambda now: None)
            shell.loop.run_once()
        for _ in range(3):
            shell.loop.call_later(1, lambda now: None)
            shell.loop.run_once()
        # The second one, because the first one isn't handled.
        outcomes = [result.outcome for result in results]
        self.assertEqual(outcomes, [wanted, "unreachable"])
        if accepted is not None:
            accepted.close()


def is_readable(opened: socket.socket) -> bool:
    """Return whether a socket has data or was closed; its number may be any."""
    readable = select.poll()
    readable.register(opened, select.POLLIN)
    return bool(readable.poll(0))


class LimitTest(unittest.TestCase):
    """Descriptors and memory that run out, or that others use up."""

    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), Timers())
        self.addCleanup(self.loop.selector.close)
        self.errors: list[str] = []
        self.loop.on_error = lambda name, error: self.errors.append(repr(error))

    def run_until(self, condition: Callable[[], object]) -> None:
        """Run the loop until a condition holds."""
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, self.errors)
            self.loop.call_later(10, lambda now: None)
            self.loop.run_once()

    @contextlib.contextmanager
    def no_descriptor(self) -> Iterator[None]:
        """Leave the test's process no descriptor to open."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        with socket.socket() as first_free:
            resource.setrlimit(resource.RLIMIT_NOFILE, (first_free.fileno(), hard))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def serve(self, reply: Callable[..., Reply] = lambda *call: Reply(200)) -> Any:
        """Start a server; return its socket."""
        opened = listen_http(self.loop, HOST, 0, reply)
        self.addCleanup(opened.close)
        return opened

    def connect(self, listener: socket.socket) -> socket.socket:
        """Return a connection that doesn't block."""
        client = socket.create_connection(listener.getsockname())
        self.addCleanup(client.close)
        client.setblocking(False)
        return client

    def is_closed(self, client: socket.socket) -> bool:
        """Return whether the server has closed a connection."""
        try:
            return not client.recv(10)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def test_accept_without_descriptors_resumes_and_is_no_busy_loop(self) -> None:
        listener = self.serve()
        client = self.connect(listener)
        client.send(b"GET / HTTP/1.1\r\n\r\n")
        with self.no_descriptor():
            for _ in range(20):
                self.loop.run_once()
                if self.errors:
                    break
            self.assertNotIn(listener, self.loop.selector.get_map())
        self.assertIn("Too many open files", self.errors[0])
        self.run_until(lambda: is_readable(client))
        self.assertEqual(client.recv(12), b"HTTP/1.1 200")

    def test_call_without_descriptors_fails_and_later_ones_succeed(self) -> None:
        client = HttpClient(self.loop, *self.serve().getsockname())
        self.addCleanup(lambda: [found.close() for found in client.idle])
        got: list[HttpResponse] = []
        with self.no_descriptor():
            client.call("GET", "/", b"", 60_000, got.append)
            self.run_until(lambda: got)
        client.call("GET", "/", b"", 60_000, got.append)
        self.run_until(lambda: len(got) == 2)
        self.assertEqual([found.status for found in got], [0, 200])
        self.assertEqual(got[0].error, "Too many open files")

    def test_call_whose_socket_cannot_be_watched_fails_once(self) -> None:
        client = HttpClient(self.loop, *self.serve().getsockname())
        got: list[HttpResponse] = []
        with patch.object(self.loop, "watch", side_effect=OSError(12, "no memory")):
            client.call("GET", "/", b"", 60_000, got.append)
        self.run_until(lambda: got)
        self.assertEqual([found.error for found in got], ["no memory"])

    def test_socket_that_fails_to_read_is_paused_and_read_again(self) -> None:
        class FailingSocket(socket.socket):
            failures = 100

            def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
                if FailingSocket.failures:
                    FailingSocket.failures -= 1
                    raise OSError(105, "no buffer space")
                return super().recvfrom(size)

        got: list = []
        with patch("fuchsiapin.daemons.eventloop.socket.socket", FailingSocket):
            receiver = open_udp_socket(
                self.loop, HOST, 0, lambda *values: got.append(values)
            )
        self.addCleanup(receiver.close)
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            sender.sendto(b"x", receiver.getsockname())
        self.run_until(lambda: got)
        self.assertEqual(len(self.errors), 6)

    def test_endless_request_is_closed(self) -> None:
        for start, part in (
            (b"GET /", b"a" * 1_000),
            (b"GET / HTTP/1.1\r\n", b"a: " + b"b" * 1_000 + b"\r\n"),
            (b"GET / HTTP/1.1\r\na: ", b"b" * 1_000),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"3e8\r\n" + b"b" * 1_000 + b"\r\n",
            ),
        ):
            with self.subTest(start):
                client = self.connect(self.serve())
                client.send(start)
                for _ in range(1_000):
                    with contextlib.suppress(OSError):
                        client.send(part)
                    self.loop.call_later(1, lambda now: None)
                    self.loop.run_once()
                    if self.is_closed(client):
                        break
                else:
                    self.fail("1 MB of one request was taken")

    def test_client_that_does_not_read_its_replies_is_closed(self) -> None:
        handled: list = []

        def reply(*call: object) -> Reply:
            handled.append(call)
            return Reply(200, b"x" * 1_000_000)

        client = self.connect(self.serve(reply))
        for _ in range(100):
            with contextlib.suppress(OSError):
                client.send(b"GET / HTTP/1.1\r\n\r\n" * 10)
            self.loop.call_later(1, lambda now: None)
            self.loop.run_once()
        self.assertLess(len(handled), 100)

    def test_endless_response_ends_the_call(self) -> None:
        for start, part in (
            (b"HTTP/1.1 200 OK\r\n", b"a: " + b"b" * 10_000 + b"\r\n"),
            (b"HTTP/1.1 200 OK\r\na: ", b"b" * 10_000),
        ):
            with self.subTest(start), socket.create_server((HOST, 0)) as server:
                got: list[HttpResponse] = []
                client = HttpClient(self.loop, *server.getsockname())
                client.call("GET", "/", b"", 600_000, got.append)
                accepted, _ = server.accept()
                accepted.setblocking(False)
                accepted.send(start)
                for _ in range(1_000):
                    with contextlib.suppress(OSError):
                        accepted.send(part)
                    self.loop.call_later(1, lambda now: None)
                    self.loop.run_once()
                    if got:
                        break
                accepted.close()
                self.assertEqual([found.status for found in got], [0])

    def test_handler_that_fails_is_answered(self) -> None:
        client = self.connect(self.serve(lambda *call: 1 // 0))
        client.send(b"GET / HTTP/1.1\r\n\r\n")
        self.run_until(lambda: is_readable(client))
        self.assertEqual(client.recv(12), b"HTTP/1.1 503")
        self.assertIn("ZeroDivisionError", self.errors[0])

    def test_process_out_of_descriptors_serves_again(self) -> None:
        process = RealProcess(self)
        limit = 30, 30
        process.start(
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit)
        )
        process.wait_until_started()
        host, _, port = process.values["ready"].rpartition(":")
        address = host, int(port)
        waiting = [socket.create_connection(address) for _ in range(60)]
        process.wait_for(lambda: process.lines(1302))
        for client in waiting:
            client.close()
        with socket.create_connection(address, WAIT_S) as client:
            client.send(b"GET /fuchsiapin/readiness HTTP/1.1\r\n\r\n")
            self.assertEqual(client.recv(10), b"HTTP/1.1 5")
        self.assertEqual(process.end(), 0)


if __name__ == "__main__":
    unittest.main()
