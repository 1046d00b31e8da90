"""Tests of the stand-ins themselves: the behaviour that other tests rely on."""

import json
import unittest
from io import BytesIO
from typing import Any

from aiocoap import GET, POST, Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import OpaqueOption
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from fuchsiapin.tests.standins.objectapi import Faults, ObjectApi, Store
from fuchsiapin.tests.standins.upstream import (
    DEADLINE_OPTION,
    Upstream,
    UpstreamOptions,
)

ADDRESS = ("10.0.0.1", 5683)


class Api:
    """The stand-in of the object API, called without a socket."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.faults = Faults()
        self.site = ObjectApi(Store(), self.faults, self.clock)

    def call(self, method: bytes, path: bytes, body: bytes = b"", **more: Any) -> Any:
        """Return the request after a call; `was_aborted` is true if it was aborted."""
        request = DummyRequest([path])
        request.method, request.path = method, b"/" + path
        request.args = more.get("args", {})
        request.content = BytesIO(body)
        request._disconnected = False
        request.was_aborted = False
        request.transport = type(
            "", (), {"abortConnection": lambda _: record_abort(request)}
        )()
        if "match" in more:
            request.requestHeaders.setRawHeaders(b"If-Match", [b'"%d"' % more["match"]])
        self.site.render(request)
        return request

    def watch(self, since: int, wait: int = 0) -> Any:
        """Return the request of a watch."""
        args = {b"since": [b"%d" % since], b"wait": [b"%d" % wait]}
        return self.call(b"GET", b"objects", args=args)


def record_abort(request: Any) -> None:
    """Record that the connection was aborted."""
    request.was_aborted = True


def response_json(request: Any) -> Any:
    """Return the parsed JSON body of a response."""
    return json.loads(b"".join(request.written))


class ObjectApiTest(unittest.TestCase):
    """Versions, conditional writes, watches, call counts and injected faults."""

    def setUp(self) -> None:
        self.api = Api()

    def test_failed_conditional_write_reports_the_current_version(self) -> None:
        self.assertEqual(self.api.call(b"PUT", b"objects/a", b"1").responseCode, 200)
        lost = self.api.call(b"PUT", b"objects/a", b"2", match=7)
        self.assertEqual(
            (lost.responseCode, response_json(lost)), (412, {"version": 1})
        )
        self.assertEqual(lost.responseHeaders.getRawHeaders("ETag"), ['"1"'])
        absent = self.api.call(b"PUT", b"objects/b", b"2", match=7)
        self.assertEqual(
            (absent.responseCode, response_json(absent)), (409, {"version": 0})
        )
        won = self.api.call(b"PUT", b"objects/a", b"3", match=1)
        self.assertEqual(won.responseCode, 200)
        self.assertEqual(response_json(self.api.call(b"GET", b"objects/a")), 3)

    def test_too_large_and_broken_values_are_refused(self) -> None:
        large = b'"%s"' % (b"x" * 1_000_000)
        self.assertEqual(self.api.call(b"PUT", b"objects/a", large).responseCode, 413)
        self.assertEqual(self.api.call(b"PUT", b"objects/a", b"{").responseCode, 400)
        self.assertEqual(self.api.call(b"GET", b"objects/a").responseCode, 404)

    def test_watch_waits_and_each_call_counts(self) -> None:
        waiting = self.api.watch(0, wait=20)
        self.assertEqual(waiting.written, [])
        self.api.call(b"PUT", b"objects/a", b"1")
        self.assertEqual([o["key"] for o in response_json(waiting)["objects"]], ["a"])
        late = self.api.watch(1, wait=20)
        self.api.clock.advance(20)
        self.assertEqual(response_json(late), {"revision": 1, "objects": []})
        counts = call_counts(self.api)
        self.assertEqual(counts, {"watch": 2, "write": 1})

    def test_faults_of_calls_and_watches(self) -> None:
        self.api.faults.lose_answers = 1
        self.assertTrue(self.api.call(b"PUT", b"objects/a", b"1").was_aborted)
        self.assertEqual(response_json(self.api.call(b"GET", b"objects/a")), 1)
        self.api.faults.break_watches = 1
        self.assertTrue(self.api.watch(0).was_aborted)
        self.api.faults.repeat_watches = 1
        self.assertEqual(len(response_json(self.api.watch(1))["objects"]), 1)
        self.api.faults.skip_watches = 1
        self.assertEqual(
            response_json(self.api.watch(0)), {"revision": 1, "objects": []}
        )
        waiting = self.api.watch(1, wait=20)
        self.api.faults.outage = True
        self.api.clock.advance(20)
        self.assertTrue(waiting.was_aborted)
        self.assertTrue(self.api.call(b"GET", b"objects/a").was_aborted)


def call_counts(api: Api) -> dict[str, int]:
    """Return the number of calls of each kind."""
    request = DummyRequest([b"counts"])
    request.path = b"/counts"
    return json.loads(api.site.render(request))


class UpstreamTest(unittest.TestCase):
    """Slots, limits, shedding, draining, cancellation, deadlines, false reports."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.options = UpstreamOptions("up-1", "swapdesk")
        self.upstream = Upstream(self.options, self.clock)
        self.sent: list[Message] = []
        self.upstream.sink = lambda data, _: self.sent.append(Message.decode(data))

    def send(self, mid: int, code: Code = POST, path: str = "claims", **more: Any):
        """Send a confirmable request with the given options; return it."""
        message = Message(
            code=code,
            _mtype=Type.CON,
            _mid=mid,
            _token=bytes([mid]),
            uri_path=(path,),
            payload=b"claim %d" % mid if code is POST else b"",
        )
        for name, value in more.items():
            setattr(message.opt, name, value)
        self.upstream.datagramReceived(message.encode(), ADDRESS)
        return message

    def codes(self) -> list[Code]:
        """Return the codes of all responses sent so far."""
        return [message.code for message in self.sent]

    def ran(self) -> list[str]:
        """Return the names of the executed requests."""
        return [entry["body"] for entry in self.upstream.executions]

    def test_two_requests_run_at_a_time_and_retransmissions_run_once(self) -> None:
        for mid in (1, 2, 3, 1, 2, 3):
            self.send(mid)
        self.assertEqual((self.upstream.busy, len(self.upstream.queue)), (2, 1))
        self.clock.pump([0.01] * 500)
        self.assertEqual(sorted(self.ran()), ["claim 1", "claim 2", "claim 3"])

    def test_shedding_connection_limit_and_drain_refuse(self) -> None:
        changes = {"shed_above": 1, "connections": 3, "is_draining": True}
        for start, (name, value) in enumerate(changes.items()):
            setattr(self.options, name, value)
            for mid in range(start * 4, start * 4 + 4):
                self.send(mid)
            self.assertEqual(self.codes()[-1], Code.SERVICE_UNAVAILABLE, name)
            self.assertEqual(self.sent[-1].opt.max_age, 1)
            self.clock.pump([0.01] * 500)
        self.assertEqual(len(self.ran()), 6)

    def test_reset_and_expired_deadline_prevent_execution(self) -> None:
        for mid in (1, 2, 3):
            self.send(mid)
        reset = Message(code=Code.EMPTY, _mtype=Type.RST, _mid=1, _token=b"")
        self.upstream.datagramReceived(reset.encode(), ADDRESS)
        late = Message(code=POST, _mtype=Type.CON, _mid=4, _token=b"4")
        late.opt.uri_path = ("claims",)
        late.opt.add_option(OpaqueOption(OptionNumber(DEADLINE_OPTION), b"\x01"))
        self.upstream.datagramReceived(late.encode(), ADDRESS)
        self.clock.pump([0.01] * 500)
        self.assertEqual(sorted(self.ran()), ["claim 2", "claim 3"])
        self.assertEqual(self.upstream.cancelled, 1)
        self.assertIn(Code.SERVICE_UNAVAILABLE, self.codes())

    def test_cold_start_and_outdated_or_false_reports(self) -> None:
        self.options.cold_requests, self.options.cold_factor = 1, 1_000.0
        self.options.report_lag_ms = 500
        self.send(1)
        self.clock.advance(0.4)
        self.assertEqual(self.upstream.load(), (0, 0))
        self.clock.advance(0.2)
        self.assertEqual(self.upstream.load(), (1, 0))
        self.options.told_load = 9
        self.assertEqual(self.upstream.load(), (9, 0))
        self.assertEqual(self.ran(), [])

    def test_reset_of_a_notification_cancels_its_observation(self) -> None:
        self.upstream.startProtocol()
        self.send(1, GET, "board", observe=0)
        self.clock.advance(1)
        notification = self.sent[-1]
        self.assertEqual(notification.opt.observe, 1)
        reset = Message(
            code=Code.EMPTY, _mtype=Type.RST, _mid=notification.mid, _token=b""
        )
        self.upstream.datagramReceived(reset.encode(), ADDRESS)
        self.assertEqual(self.upstream.observers, {})
