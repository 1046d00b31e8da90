"""Processes of packet flows start, run on whatever happens, and say why they end."""

import contextlib
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import unittest
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from fuchsiapin.clock import Clock, ManualClock, SystemClock
from fuchsiapin.daemons.flowshell import FlowShell
from fuchsiapin.daemons.loglines import LogLines
from fuchsiapin.daemons.processends import run_process
from fuchsiapin.flows.effects import ToCaller, ToStore
from fuchsiapin.flows.storage import LIST, MEMBERS, StoreCall, StoreResult
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
        self.assertEqual(process.end(), 0)

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
    """Each call to the store gets exactly one result, so that it is followed on."""

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
        self.assertEqual([result.outcome for result in results], [wanted])
        if accepted is not None:
            accepted.close()


if __name__ == "__main__":
    unittest.main()
