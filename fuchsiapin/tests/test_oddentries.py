"""Odd values of other programs end no daemon or command, and later ones are followed.

The values come from stored objects, peers, admin pages, metrics and operators' files.
"""

import json
import random
import subprocess
import sys
import unittest
from collections.abc import Iterator
from contextlib import suppress
from copy import deepcopy
from dataclasses import asdict, is_dataclass, replace
from functools import partial
from itertools import chain, product
from math import inf, nan
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, inet_aton, socket
from tempfile import TemporaryDirectory
from typing import Any, Literal, get_args, get_origin, get_type_hints
from unittest.mock import Mock, patch
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from expression import Ok
from msgpack import packb, unpackb
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock
from twisted.web.resource import Resource
from twisted.web.server import Site

from fuchsiapin import messages
from fuchsiapin.applying import Change
from fuchsiapin.clock import ManualClock
from fuchsiapin.coap.balancercore import make_balancer_core
from fuchsiapin.coap.sidecore import make_side_core
from fuchsiapin.coap.sideoptions import SideOptions
from fuchsiapin.codec import (
    MESSAGE_TYPES,
    decode_object,
    encode_object,
    pack_message,
    unpack_message,
)
from fuchsiapin.configuring import Proposal, accept, read_proposal
from fuchsiapin.daemons.commandresults import ExitCode, members_result, status_result
from fuchsiapin.daemons.flowcommandresults import FLOW_RESULTS
from fuchsiapin.daemons.flowgathering import BlockingClient, gather_flow_snapshot
from fuchsiapin.daemons.gathering import gather_snapshot
from fuchsiapin.daemons.objectapi import ObjectApiClient, parse_list, parse_version
from fuchsiapin.daemons.operations import make_change
from fuchsiapin.daemons.readcommands import explain_result
from fuchsiapin.daemons.shell import Shell
from fuchsiapin.exceptions import MalformedEnvelope, ObjectApiError
from fuchsiapin.faults import render_faults
from fuchsiapin.flows.peerrecords import BalancerRecord
from fuchsiapin.flows.storage import StoredItem, StoreResult
from fuchsiapin.flowsnapshot import (
    BalancerMetrics,
    FlowDeploymentSnapshot,
    explain_flows,
    parse_metrics,
)
from fuchsiapin.jsonpages import load_json
from fuchsiapin.messages import BalancerMember, Member, View
from fuchsiapin.settings import Address, Settings, check_settings
from fuchsiapin.stories import build_story, read_log
from fuchsiapin.tests.fleets import TIMEOUT_S, FleetCase
from fuchsiapin.tests.reactorthread import call_in_reactor, run_in_reactor
from fuchsiapin.tests.standins.objectapi import Faults, make_site
from fuchsiapin.timers import Timers
from tools.fleet import Deployment
from tools.processes import call, wait_until

ODD_TEXTS = {
    "nested": "[" * 5_000 + "]" * 5_000,
    "nested deeper": "[" * 300_000 + "]" * 300_000,
    "a number of 100 bits": "1" + "0" * 30,
    "2^63": str(2**63),
    "-2^70": str(-(2**70)),
    "6,000 digits": "9" * 6_000,
    "no finite number": "1e999",
    "not a number": "NaN",
    "a port out of range": "70000",
    "below zero": "-1",
    "a surrogate": r'"\ud800"',
    "NUL": r'"10.0.0.1\u0000"',
    "a name": '"db.invalid"',
    "a long text": '"' + "x" * 100_000 + '"',
    "a number as text": '"7"',
    "a boolean": "true",
    "null": "null",
    "an object": r'{"\u0000": 1, "": [{}]}',
    "a list": "[1]",
    "bytes": '"\udcff"',
    "nothing": None,
}
"""JSON texts of odd values; a lone surrogate stands for a byte that isn't UTF-8."""
ODD_CELLS = {
    "6,000 digits": '"%s"' % ("9" * 6_000),
    "a long text": ODD_TEXTS["a long text"],
    "NUL": ODD_TEXTS["NUL"],
    "bytes": r'"\udcff"',
    "an address of no host": '"0.0.0.0"',
}
"""Odd values of tables, as JSON texts."""
PLACE = "place"
EPOCH_MS = 1_700_000_000_000
FIRST_NUMBER = 100_000
"""Number and version of the first valid object, above the odd ones in range."""


def paths_of(value: Any, path: tuple = ()) -> Iterator[tuple]:
    """Yield the path of each value; of lists, the first item stands for all."""
    yield path
    items = value.items() if isinstance(value, dict) else []
    if isinstance(value, list):
        items = list(enumerate(value))[: 1 if path else None]
    for key, inner in items:
        yield from paths_of(inner, (*path, key))


def with_odd(value: Any, path: tuple, text: str | None) -> bytes:
    """Return a value as JSON with an odd text at a path, None to leave it out."""
    if not path:
        return (text or "").encode(errors="surrogateescape")
    copied = json.loads(json.dumps(value))
    parent = copied
    for key in path[:-1]:
        parent = parent[key]
    if text is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = PLACE
    written = json.dumps(copied).replace(f'"{PLACE}"', text or "")
    return written.encode(errors="surrogateescape")


def with_odd_packed(values: list[Any], path: tuple, odd: bytes) -> bytes:
    """Return values as msgpack with an odd one at a path."""
    copied = deepcopy(values)
    parent = copied
    for index in path[:-1]:
        parent = parent[index]
    parent[path[-1]] = PLACE * 9
    return packb(copied).replace(packb(PLACE * 9), odd)


def make_member(index: int) -> Member:
    """Return a side process of the service."""
    host = f"10.2.0.{index}"
    return Member(f"desk-{index}", EPOCH_MS, host, 7000, "bole", 2000, "live", "")


def make_balancer(index: int) -> BalancerMember:
    """Return a balancer of the zone."""
    host = f"10.1.0.{index}"
    return BalancerMember(f"balancer-{index}", EPOCH_MS, host, 7000, "bole", "live", "")


def make_objects(number: int) -> dict[str, Any]:
    """Return a valid object of each kind by key."""
    members = [make_member(index) for index in (1, 2, 3)]
    views = [View(number, members), View(number - 1, members[1:])]
    upstream = messages.UpstreamConfig("desk-1", "v", "10.2.0.1", "bole", 2, 9, False)
    classes = [messages.ClassConfig("shops", 1, ["10.8.0.0/16"])]
    service = messages.ServiceConfig("desk", 5_000, 10, [upstream], classes)
    return {
        "members/desk": messages.ServiceMembership("desk", views[0], views[1:], "c"),
        "balancers/bole": messages.ZoneBalancers(
            "bole", number, [make_balancer(index) for index in (1, 2, 3)], "c"
        ),
        "config/d": messages.Configuration(
            "d",
            number,
            "author",
            "change",
            [service],
            [messages.Separation(["desk", "ledger"])],
            [messages.AcceptedChange(number, "author", "change", "summary")],
        ),
    }


def check_effects(effects: list[Any]) -> list[str]:
    """Check that effects can be executed, without a name lookup; return the errors."""
    for effect in effects:
        if isinstance(effect, messages.SendPeer):
            pack_message("side-1", 1, 1, effect.message)
        if isinstance(effect, messages.SendPeer | messages.SendCaller):
            assert 0 < effect.port < 2**16, effect
            assert inet_aton(effect.host), effect
    reports = [item for item in effects if isinstance(item, messages.Report)]
    return [item.fields["error"] for item in reports if "error" in item.fields]


class Process:
    """A core of one role that is fed stored objects while its peers are silent."""

    def __init__(self, role: str) -> None:
        self.core: Any = (
            make_balancer_core(make_balancer(1), 1)
            if role == "balancer"
            else make_side_core("desk", make_member(1), 1, SideOptions(deployment="d"))
        )
        self.now, self.version, self.number = EPOCH_MS, FIRST_NUMBER, FIRST_NUMBER
        self.feed(messages.Start())

    def feed(self, event: Any) -> list[str]:
        """Handle an event a second later; return the errors that it reports."""
        self.now += 1_000
        return check_effects(self.core.handle(self.now, event))

    def put(self, key: str, value: bytes) -> list[str]:
        """Handle a new version of an object; return the errors that it reports."""
        self.version += 1
        return self.feed(messages.ObjectSeen(key, self.version, value))

    def put_valid(self) -> None:
        """Handle a new valid object of each kind."""
        self.number += 2
        for key, value in make_objects(self.number).items():
            self.put(key, encode_object(value))

    def numbers(self) -> tuple[int, ...]:
        """Return the numbers of view, zone and configuration in force."""
        is_side = hasattr(self.core, "ownership")
        history = self.core.ownership.history if is_side else self.core.views["desk"]
        zone = self.core.relay.tree.zones["bole"]
        return history.number, zone.number, self.core.config.number


class StoredObjectTest(unittest.TestCase):
    """Odd values in stored objects, at any place."""

    def test_any_odd_value_is_refused_and_later_objects_are_followed(self) -> None:
        for role in ("side", "balancer"):
            process = Process(role)
            process.put_valid()
            for key, value in make_objects(7).items():
                for path in paths_of(asdict(value)):
                    with self.subTest(role=role, key=key, path=path):
                        errors = []
                        for text in ODD_TEXTS.values():
                            values = asdict(make_objects(process.number + 1)[key])
                            errors += process.put(key, with_odd(values, path, text))
                        for error in errors:
                            self.assertLess(len(error), 200)
                        self.assertTrue(
                            any(str(path[-1]) in e for e in errors) if path else errors
                        )
                        process.put_valid()
                        self.assertEqual(process.numbers(), (process.number,) * 3)

    def test_an_odd_member_does_not_hide_the_others(self) -> None:
        for role in ("side", "balancer"):
            process = Process(role)
            for key, path in (
                ("members/desk", ("view", "members", 0)),
                ("balancers/bole", ("members", 0)),
            ):
                for name, text in ODD_TEXTS.items():
                    if name == "nothing":
                        continue
                    with self.subTest(role=role, key=key, odd=name):
                        process.put_valid()
                        number = process.number + 1
                        values = asdict(make_objects(number)[key])
                        odd = with_odd(values, (*path, "host"), text)
                        [error] = process.put(key, odd)
                        self.assertIn("members[0].host", error)
                        self.assertIn(number, process.numbers())


ODD_PACKED = {
    "nested": b"\x91" * 5_000 + b"\xc0",
    "nested deeper": b"\x91" * 300_000 + b"\xc0",
    "an extension": b"\xd4\x05\x00",
    "a time": b"\xc7\x0c\xff" + b"\xff" * 12,
    "a map with a list as key": b"\x81\x91\x01\x02",
    "bytes": b"\xa1\xff",
    "a surrogate": b"\xa3\xed\xa0\x80",
    "nothing": b"",
} | {
    repr(value)[:20]: packb(value)
    for value in (2**63, 2**64 - 1, -(2**63), 70_000, 0, -1, inf, nan, True, None, [],
                  "10.0.0.1\0", "db.invalid", "x" * 100_000, "", b"", {"a": 1})
}  # fmt: skip
"""Odd values as msgpack."""


def sample(hint: Any, name: str = "") -> Any:
    """Return a valid value of a field of a message."""
    if get_origin(hint) is Literal:
        return get_args(hint)[0]
    if get_origin(hint) is list:
        return [sample(get_args(hint)[0])]
    if is_dataclass(hint):
        return hint(**{key: sample(h, key) for key, h in get_type_hints(hint).items()})
    texts = {"host": "10.2.0.2", "service": "desk", "key": "members/desk"}
    return texts.get(name, "desk-2") if hint is str else hint(3)


class MessageTest(unittest.TestCase):
    """Odd values in messages of authenticated peers."""

    def test_messages_with_odd_values_are_refused_or_harmless(self) -> None:
        for kind in MESSAGE_TYPES:
            packed = pack_message("desk-2", 3, 1, sample(kind))
            values = unpackb(packed)
            processes = [Process("side"), Process("balancer")]
            for process in processes:
                process.put_valid()
            for path in paths_of(values):
                if not path:
                    continue
                for odd in ODD_PACKED.values():
                    data = with_odd_packed(values, path, odd)
                    try:
                        sender, incarnation, _, message = unpack_message(data)
                    except MalformedEnvelope:
                        continue
                    event = messages.PeerMessage(sender, incarnation, message)
                    with self.subTest(kind=kind.__name__, path=path, odd=odd[:20]):
                        for process in processes:
                            process.feed(event)
                            process.feed(messages.Wake())
            for process in processes:
                process.put_valid()
                with self.subTest(kind=kind.__name__):
                    self.assertEqual(process.numbers(), (process.number,) * 3)


class ListTest(unittest.TestCase):
    """Odd entries in lists of the object API."""

    def test_an_odd_entry_hides_no_other_and_is_told(self) -> None:
        entry = {"key": "members/desk", "version": 3, "value": {"service": "desk"}}
        for path in paths_of(entry):
            for name, text in ODD_TEXTS.items():
                if not path and name == "nothing":
                    continue
                with self.subTest(path=path, odd=name):
                    odd = with_odd(entry, path, text)
                    data = b'{"objects": [%s, %s], "revision": 4}'
                    other = json.dumps(entry | {"key": "config/d"}).encode()
                    refused: dict[str, str] = {}
                    revision, found = parse_list(
                        data % (odd, other), refused.__setitem__
                    )
                    self.assertEqual(revision, 4)
                    self.assertEqual(found[-1].key, "config/d")
                    self.assertEqual(len(found) + len(refused), 2)

    def test_odd_revisions_and_versions_are_errors_of_the_call(self) -> None:
        for name, text in ODD_TEXTS.items():
            with self.subTest(odd=name):
                data = with_odd({"objects": [], "revision": 1}, ("revision",), text)
                if name != "a port out of range":
                    self.assertRaises(ObjectApiError, parse_list, data)
                    self.assertRaises(ObjectApiError, parse_version, "a", str(text))

    def test_watches_follow_what_is_written_after_an_odd_value(self) -> None:
        site = make_site(reactor, Faults())
        port = call_in_reactor(reactor.listenTCP, 0, site, 50, "127.0.0.1")
        self.addCleanup(call_in_reactor, port.stopListening)
        url = f"http://127.0.0.1:{port.getHost().port}"
        store = site.resource.store

        def start_watch() -> set[str]:
            keys: set[str] = set()
            client = ObjectApiClient(reactor, url, random.Random(1))
            call_in_reactor(
                lambda: (
                    ensureDeferred(
                        client.watch(
                            lambda item: keys.add(item.key), lambda state: None
                        )
                    )
                    and None
                )
            )
            self.addCleanup(call_in_reactor, client.pool.closeCachedConnections)
            self.addCleanup(call_in_reactor, client.stop)
            return keys

        running = start_watch()
        for index, (name, text) in enumerate(ODD_TEXTS.items()):
            if name in ("bytes", "nothing"):
                continue
            with self.subTest(odd=name):
                site.resource.faults.odd_texts[name] = text
                call_in_reactor(store.put, f"config/odd-{index}", name)
                call_in_reactor(store.put, f"config/{index}", {})
                for keys in (running, start_watch()):
                    wait_until(lambda: f"config/{index}" in keys, 10, "object")  # noqa: B023


class FailingCore:
    """A core whose timer, events and effects fail."""

    def __init__(self) -> None:
        self.now = 0
        self.timers = Timers()
        self.handled: list[str] = []
        self.effects: list[Any] = []

    def next_due(self) -> int | None:
        """Return when the next timer is due."""
        return self.timers.next_due()

    def handle(self, now: int, event: Any) -> list[Any]:
        """Run the timers, note the event, and return an effect that fails and one."""
        self.timers.run(now)
        name = type(event).__name__
        self.handled.append(name)
        if name == "WatchState":
            raise KeyError(name)
        peer = messages.SendPeer("10.1.0.2", 7000, messages.ObjectWanted("", 2**64))
        return [peer, messages.ReadObject(name)]

    def fail(self, now: int) -> None:
        """Fail as a timer."""
        raise KeyError("timer")


class ShellTest(unittest.TestCase):
    """Errors inside a daemon end none of its parts."""

    def test_periodic_work_goes_on_after_it_failed_once(self) -> None:
        for role, part, name in (
            ("side", "membership", "backlog_ms"),
            ("side", "membership", "is_silent"),
            ("side", "relay", "remove_silent_subscribers"),
            ("side", "flow_store", "expire"),
            ("balancer", "zone_membership", "suspect_silent"),
        ):
            with self.subTest(role=role, part=part, name=name):
                process = Process(role)
                process.put_valid()
                owner = getattr(process.core, part)
                with patch.object(owner, name, side_effect=KeyError) as call:
                    for _ in range(20):
                        with suppress(KeyError):
                            process.feed(messages.Wake())
                self.assertGreater(call.call_count, 9)

    def test_no_error_ends_a_loop_or_loses_other_events_and_effects(self) -> None:
        clock = MemoryReactorClock()
        settings = Settings("a", "bole", Address("127.0.0.1", 0), "http://h", ["00"])
        shell = Shell(clock, ManualClock(EPOCH_MS), settings, EPOCH_MS, "balancer")
        core = shell.core = FailingCore()
        done: list[str] = []
        shell.effect_handlers[messages.ReadObject] = lambda item: done.append(item.key)
        core.timers.add(EPOCH_MS, core.fail)
        core.timers.add(EPOCH_MS, lambda now: done.append("timer"))
        shell.start()
        self.assertEqual(done, ["timer", "Wake", "Start"])
        core.timers.add(EPOCH_MS + 1, lambda now: done.append("later timer"))
        shell.on_api_state(True)
        shell.clock.advance(1)
        clock.advance(1)
        self.assertIn("later timer", done)
        before = shell.log.tally[1302, ""]
        clock.pump([1] * 9)
        self.assertEqual(shell.log.tally[1302, ""], before + 9)  # checks of the status


class Pages(Resource):
    """Admin pages of one process."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self.bodies: dict[bytes, bytes] = {}

    def render(self, request: Any) -> bytes:
        """Return the body of a page."""
        return self.bodies.get(request.path, b"")


class CommandTest(unittest.TestCase):
    """Odd values that the operator's commands read."""

    def listen(self, site: Site) -> str:
        """Serve a site; return its address."""
        port = call_in_reactor(reactor.listenTCP, 0, site, 50, "127.0.0.1")
        self.addCleanup(call_in_reactor, port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    def render_all(self, url: str, via: list[str]) -> str:
        """Return what `status`, `explain` and `members` print."""
        snapshot = run_in_reactor(gather_snapshot(reactor, url, "d", via))
        results = [
            render(snapshot)
            for render in (status_result, explain_result, members_result)
        ]
        return "".join(item.render(json) for item in results for json in (False, True))

    def test_odd_entries_and_pages_are_told_and_hide_no_process(self) -> None:
        site, pages = make_site(reactor, Faults()), Pages()
        url, admin = f"http://{self.listen(site)}", self.listen(Site(pages))
        store, odd_texts = site.resource.store, site.resource.faults.odd_texts
        for key, value in make_objects(7).items():
            call_in_reactor(store.put, key, asdict(value))
        values = (
            ["desk-9", "side", "desk", "bole", "1", 5, "live", ["reason"]],
            ["reachable", 7, [messages.ViewStatus("desk", 7, 7, ["desk-1"])]],
            [0, 0, 0, 0, [messages.EventCount(3101, "busy", 2)], 0],
            [[messages.ConfigAck("config/d", 7, 7, 1, 0, [])]],
        )
        status = asdict(messages.ProcessStatus(*chain(*values)))
        known = messages.KnownProcess("desk-8", "side", "desk", "bole", "live", "")
        both = [asdict(known), asdict(known) | {"name": "desk-7"}]
        texts = {"no address": '"a b:\\u0000:99999999999"', "no port": '"10.0.0.1:x"'}
        for name, text in (ODD_TEXTS | texts).items():
            if name == "nothing":
                continue
            odd_texts["odd"] = text
            member = asdict(make_member(4)) | {"admin": "odd", "weight": 2_000}
            view = {"number": 8, "members": [member, asdict(make_member(5))]}
            stored = asdict(make_objects(8)["members/desk"]) | {"view": view}
            call_in_reactor(store.put, "members/desk", stored)
            call_in_reactor(store.put, "config/other", "odd")
            for path in paths_of(status):
                pages.bodies[b"/status"] = with_odd(status, path, text)
                pages.bodies[b"/peers"] = with_odd(both, (0, "zone"), text)
                with self.subTest(odd=name, path=path):
                    printed = self.render_all(url, [admin])
                    printed.encode()
                    for process in ("desk-5", "desk-7", "config/other"):
                        self.assertIn(process, printed)


SETTINGS = {
    "name": "balancer-1",
    "availability_zone": "bole",
    "peer": {"host": "127.0.0.1", "port": 1},
    "object_api": "http://127.0.0.1:1",
    "keys": ["00" * 16],
    "callers": [{"service": "desk", "host": "127.0.0.1", "port": 2}],
    "weight": 5,
    "slots": 2,
}
ASSET = {
    "name": "desk-1",
    "vm": "vm-1",
    "address": "10.0.0.1",
    "availability_zone": "bole",
    "service": "desk",
    "slots": 1,
    "connections": 2,
}
CLASS = {"name": "shops", "share": 1, "networks": ["10.8.0.0/16"]}
RULES = {
    "deployment": "d",
    "services": [{"name": "desk", "deadline_ms": 500, "queue": 3, "classes": [CLASS]}],
}


class ChangeTest(unittest.TestCase):
    """Odd values in a change of the configuration, or in the stored one."""

    def test_odd_changes_are_refused_and_written_nowhere(self) -> None:
        site = make_site(reactor, Faults())
        port = call_in_reactor(reactor.listenTCP, 0, site, 50, "127.0.0.1")
        self.addCleanup(call_in_reactor, port.stopListening)
        store = site.resource.store
        url = f"http://127.0.0.1:{port.getHost().port}"
        config = make_objects(7)["config/d"]
        proposal = Proposal(config.deployment, config.services, config.apart)

        def change(author: str, change_id: str = "change") -> Any:
            wanted = Change("config/d", lambda _: Ok(proposal), author, change_id)
            return run_in_reactor(make_change(reactor, url, wanted))

        for author, change_id in (("x" * 3_000, "c"), ("\udcff", "c"), ("a", "\udcff")):
            with self.subTest(author=author[:9], change_id=change_id):
                self.assertIn("nothing was changed", change(author, change_id).text)
                self.assertEqual(store.objects, {})
        for name, text in ODD_TEXTS.items():
            if name != "nothing":
                site.resource.faults.odd_texts["odd"] = text
                call_in_reactor(
                    store.put, "config/d", asdict(config) | {"number": "odd"}
                )
                with self.subTest(odd=name):
                    result = change("author")
                    if name != "a port out of range":
                        self.assertIn("number", result.text)
                        self.assertEqual(result.code, ExitCode.FAULTS)


class FileTest(unittest.TestCase):
    """Odd values in the operator's files."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory()))

    def write(self, name: str, data: bytes) -> Path:
        """Write a file; return its path."""
        path = self.folder / name
        path.write_bytes(data)
        return path

    def odd_files(self, name: str, value: dict) -> Iterator[tuple[str, Path]]:
        """Write a file with each odd value at each place, and each part of it.

        Yield what is odd and the path of the file.
        """
        whole = json.dumps(value).encode()
        for path in paths_of(value):
            for odd, text in ODD_TEXTS.items():
                yield f"{path}: {odd}", self.write(name, with_odd(value, path, text))
        for length in range(0, len(whole), 9):
            yield f"{length} bytes", self.write(name, whole[:length])

    def check_proposal(self, odd: str, register: Path, rules: Path) -> None:
        """Check that files have faults, which can be printed, or are readable."""
        with self.subTest(odd=odd, register=register.name, rules=rules.name):
            result = read_proposal(register, rules)
            if result.is_error():
                render_faults(result.error).encode()
            else:
                config = accept(result.ok, None, "author", "change")
                decode_object(messages.Configuration, encode_object(config))

    def test_odd_settings_have_faults_or_can_be_sent(self) -> None:
        for odd, path in self.odd_files("settings.json", SETTINGS):
            with self.subTest(odd=odd):
                result = check_settings(path, "balancer")
                if result.is_error():
                    render_faults(result.error).encode()
                    continue
                found = result.ok
                names = {"id": found.name, "zone": found.availability_zone}
                member = replace(make_member(1), weight=found.weight, **names)
                view = View(1, [member])
                stored = messages.ServiceMembership("desk", view, [], "c")
                data = encode_object(stored)
                self.assertEqual(decode_object(type(stored), data), stored)

    def test_odd_registers_and_rules_have_faults_or_are_readable(self) -> None:
        rules = self.write("right.json", json.dumps(RULES).encode())
        register = {"assets": [ASSET]}
        for odd, path in self.odd_files("register.json", register):
            self.check_proposal(odd, path, rules)
        right = self.write("assets.json", json.dumps(register).encode())
        for odd, path in self.odd_files("rules.json", RULES):
            self.check_proposal(odd, right, path)
        for (odd, cell_text), column in product(ODD_CELLS.items(), ASSET):
            cell = json.loads(cell_text)
            row = [str(v) for v in (ASSET | {column: cell}).values()]
            text = f"{','.join(ASSET)}\n{','.join(row)}\n"
            path = self.write("register.csv", text.encode(errors="surrogateescape"))
            self.check_proposal(f"{column}: {odd}", path, rules)


class FlowCommandTest(unittest.TestCase):
    """Odd objects in the store of packet flows."""

    def test_odd_objects_are_told_and_end_no_command(self) -> None:
        odd = [None, 1e30, inf, nan, True, [], {}, "x", b"\xff", {"Host": 7}, "\ud800"]
        items = tuple(StoredItem(f"odd-{n}\ud800", 1, v) for n, v in enumerate(odd))
        page = StoreResult("done", items, 1, refused=("an object without a name",))
        with patch.object(BlockingClient, "execute", lambda client, call: page):
            snapshot = gather_flow_snapshot(Mock(), ("127.0.0.1", 1), 1)
        text = FLOW_RESULTS["explain"](snapshot).render(False)
        self.assertIn("an object without a name", text)
        for kind, index in product(("members", "balancers"), range(len(odd))):
            self.assertIn(f"{kind} 'odd-{index}\\ud800'", text)
        self.assertEqual(snapshot.members + snapshot.balancers, ())


class LogTest(unittest.TestCase):
    """Odd lines in logs and metrics that the operator's commands read."""

    def test_odd_log_lines_end_no_story(self) -> None:
        fields = {"flow": "f", "member": "m", "opens": True, "reason": "r"}
        line = {"time_ms": 5, "process": "p", "number": 6103, "event": "reset"}
        line |= fields | {"configuration": 1, "left_out": 1}
        right = json.dumps(line | {"process": "right"})
        for path, (odd, text) in product(paths_of(line), ODD_TEXTS.items()):
            with self.subTest(path=path, odd=odd):
                written = with_odd(line, path, text).decode(errors="surrogateescape")
                story = build_story(read_log([written, right]), "f")
                self.assertIn("right", story.render())

    def test_odd_metrics_end_no_command_and_are_told(self) -> None:
        record = BalancerRecord("b-1", 1, "10.1.0.1", "bole")
        texts = ["NaN", "1e999", "-1", "-1e300", "9" * 30, "9" * 6_000, "x", "", "1e15"]
        series = ("configuration_version", "suspect_members", "members",
                  "evacuated_zone_ms", "decisions_total")  # fmt: skip
        for name, label, text in product(series, ("bole", "reset: x"), texts):
            with self.subTest(name=name, label=label, text=text[:20]):
                lines = f'fuchsiapin_{name}{{what="{label}"}} {text}\nfuchsiapin_y 1'
                values = parse_metrics(lines)
                self.assertEqual(values["y", ""], 1)
                snapshot = FlowDeploymentSnapshot(
                    balancers=(BalancerMetrics(record, "", values),),
                    evacuations=("bole",),
                    read_at=EPOCH_MS,
                )
                for render in FLOW_RESULTS.values():
                    printed = render(snapshot).render(False)
                if text != "1e15":
                    self.assertIn("1 value of b-1", "".join(explain_flows(snapshot)))
                self.assertTrue(printed)


class StartTest(unittest.TestCase):
    """Starts that can't succeed end with a plain line."""

    def run_module(self, name: str, *arguments: str | bytes) -> str:
        """Run a program; return what it prints."""
        command = [sys.executable, "-m", f"fuchsiapin.daemons.{name}", *arguments]
        done = subprocess.run(command, capture_output=True, timeout=90, check=False)
        return (done.stdout + done.stderr).decode()

    def test_a_port_in_use_is_told_in_one_line(self) -> None:
        folder = Path(self.enterContext(TemporaryDirectory()))
        path = folder / "settings.json"
        address = {"host": "127.0.0.2", "port": 0}
        kinds = (SOCK_DGRAM, SOCK_STREAM, SOCK_STREAM, SOCK_DGRAM)
        for name, kind in zip(("peer", "peer", "admin", "callers"), kinds, strict=True):
            busy = self.enterContext(socket(AF_INET, kind))
            busy.bind(("127.0.0.1", 0))
            if kind == SOCK_STREAM:
                busy.listen()
            port = busy.getsockname()[1]
            place = SETTINGS | {"peer": address, "admin": address}
            place["callers"] = [address | {"service": "desk"}]
            used = {"host": "127.0.0.1", "port": port}
            place[name] = [used | {"service": "desk"}] if name == "callers" else used
            path.write_text(json.dumps(place))
            with self.subTest(name=name, kind=kind):
                said = self.run_module("balancer", str(path))
                self.assertEqual(len(said.splitlines()), 1, said)
                self.assertIn(f"127.0.0.1:{port}", said)

    def test_odd_file_names_and_texts_are_printed_without_a_traceback(self) -> None:
        missing = b"/nowhere/\xff"
        log = Path(self.enterContext(TemporaryDirectory())) / "log"
        line = {"time_ms": 5, "process": "p", "number": 1, "event": "e", "flow": "f"}
        log.write_text(json.dumps(line | {"reason": "\ud800"}))
        for expected, command in (
            ("readable file", (b"check", missing, missing)),
            ("readable file", (b"story", b"f", b"--logs", missing)),
            ("reason \\ud800", (b"story", b"f", b"--logs", bytes(log))),
        ):
            with self.subTest(command=command):
                printed = self.run_module("ctl", *command)
                self.assertIn(expected, printed)
                self.assertNotIn("Traceback", printed)


class ProcessesTest(FleetCase):
    """Odd entries in the store of real processes."""

    deployment = Deployment("test", ["bole", "arada"], {"swapdesk": 2})

    def put_member(self, host: str) -> bool:
        """Add a member by a conditional write; return whether it was written."""
        url = f"{self.fleet.object_api}/objects/members/swapdesk"
        with urlopen(url, timeout=10) as answer:
            stored, tag = load_json(answer.read()), answer.headers["ETag"]
        odd = asdict(make_member(9)) | {"host": host}
        stored["view"]["members"].append(odd)
        stored["view"]["number"] += 1
        data = json.dumps(stored).encode()
        request = Request(url, data, {"If-Match": tag}, method="PUT")
        with suppress(HTTPError), urlopen(request, timeout=10):
            return True
        return False

    def test_running_and_new_processes_follow_what_comes_after(self) -> None:
        self.fleet = self.start_fleet(self.addCleanup)
        names = [name for name in ODD_TEXTS if name not in ("bytes", "nothing")]
        self.fleet.set_faults(odd_texts={name: ODD_TEXTS[name] for name in names})
        for index, name in enumerate(names):
            call("PUT", f"{self.fleet.object_api}/objects/config/odd-{index}", name)
            wait_until(partial(self.put_member, name), TIMEOUT_S, "a write")
        self.fleet.start_balancer("balancer-new", "bole")
        self.fleet.kill("swapdesk-2")
        self.fleet.start_side("swapdesk-2")
        self.fleet.wait_ready()
        self.fleet.check_alive()
        said = self.fleet.run_ctl("explain").stdout
        for index in range(len(names)):
            self.assertIn(f"config/odd-{index}: ", said)


if __name__ == "__main__":
    unittest.main()
