"""Commands that evacuate and reinstate zones, against a stand-in for the store."""

import asyncio
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fuchsiapin.daemons.commandresults import CommandResult, ExitCode
from fuchsiapin.daemons.flowgathering import gather_flow_snapshot, load_adapter
from fuchsiapin.daemons.operations import Command
from fuchsiapin.daemons.zonecommands import evacuate, reinstate
from fuchsiapin.exceptions import SettingsError
from soak.store import StoreStandIn

PLATFORM = Path(__file__).parent.parent.parent / "platform"


class ZoneCommandTest(unittest.TestCase):
    """Each outcome is told, and what to do then."""

    def setUp(self) -> None:
        self.store = StoreStandIn("127.0.0.1", 0)
        self.addCleanup(self.store.close)
        self.address = self.store.server.server_address[:2]
        for name, service, zone in (("u1", "desk", "a"), ("u2", "shelf", "b")):
            record = [name, 100, service, "127.0.0.1", zone, 2, "ready"]
            self.store.put("fuchsiapin-members", name, record)
        record = ["entry-1", 1, "127.0.0.1", "c", False]
        self.store.put("fuchsiapin-balancers", "entry-1", record)

    def run_command(
        self, command: Callable[..., Command], zone: str, **options: Any
    ) -> CommandResult:
        """Return the result of a command."""
        store = f"{self.address[0]}:{self.address[1]}"
        made = command(zone, store=store, adapter=PLATFORM, **options)
        return asyncio.run(made.operation(None))

    def check(self, result: CommandResult, code: ExitCode, text: str) -> None:
        """Assert the exit code and a part of the text."""
        self.assertIn(text, result.text)
        self.assertEqual(result.code, code)

    def zones(self) -> list[str]:
        """Return the zones that the store holds as evacuated."""
        return [name for kind, name in self.store.objects if kind == "evacuations"]

    def test_evacuated_and_reinstated_once(self) -> None:
        done = self.run_command(evacuate, "c")
        self.check(done, ExitCode.DONE, "evacuation of zone c is written")
        self.assertEqual(self.zones(), ["c"])
        again = self.run_command(evacuate, "c")
        self.check(again, ExitCode.DONE, "zone c was evacuated already")
        removed = self.run_command(reinstate, "c")
        self.check(removed, ExitCode.DONE, "evacuation of zone c is removed")
        self.assertEqual(self.zones(), [])
        again = self.run_command(reinstate, "c")
        self.check(again, ExitCode.DONE, "zone c wasn't evacuated")

    def test_misspelt_zone_is_refused_with_the_known_ones(self) -> None:
        # It would otherwise count as evacuated while its upstreams get new flows.
        for command in (evacuate, reinstate):
            refused = self.run_command(command, "d")
            self.check(refused, ExitCode.MISSING, "known zones: a, b, c;")
        self.assertEqual(self.zones(), [])
        self.run_command(evacuate, "d", force=True)
        self.assertEqual(self.zones(), ["d"])
        # All upstreams of an evacuated zone may have left.
        self.check(self.run_command(reinstate, "d"), ExitCode.DONE, "removed")

    def test_name_that_changes_the_path_is_refused(self) -> None:
        for zone in ("", "a/b", "..", "a?x", "a b", "ä"):
            with self.assertRaises(SettingsError):
                self.run_command(evacuate, zone, force=True)

    def test_lost_answer_may_be_repeated(self) -> None:
        self.store.fault.mode = "lossy"
        for command, expected in ((evacuate, ["a"]), (reinstate, [])):
            self.store.calls = 2  # the next call is executed, its answer is lost
            lost = self.run_command(command, "a", force=True)
            self.check(lost, ExitCode.UNKNOWN, "repeating is safe")
            self.assertEqual(self.zones(), expected)
            again = self.run_command(command, "a", force=True)
            self.check(again, ExitCode.DONE, "nothing to do")

    def test_store_that_fails_or_is_away(self) -> None:
        self.store.fault.mode = "busy"
        unread = self.run_command(evacuate, "a")
        self.check(unread, ExitCode.UNREACHABLE, "busy (status 503); nothing was")
        unknown = self.run_command(evacuate, "a", force=True)
        self.check(unknown, ExitCode.UNKNOWN, "repeating is safe")
        self.address = ("127.0.0.1", 1)
        for force in (False, True):
            away = self.run_command(evacuate, "a", force=force)
            self.check(away, ExitCode.UNREACHABLE, "nothing was changed")

    def test_services_left_without_upstreams_are_named(self) -> None:
        done = self.run_command(evacuate, "a")
        self.check(done, ExitCode.DONE, "outside evacuated zones: desk; new flows")
        done = self.run_command(evacuate, "b")
        self.check(done, ExitCode.DONE, "outside evacuated zones: desk and shelf;")

    def test_snapshot_of_a_store_with_pending_deletes_or_without_the_kind(self) -> None:
        adapter = load_adapter(PLATFORM)
        self.run_command(evacuate, "a")
        meta = self.store.objects["evacuations", "a"]["meta"]
        self.assertEqual(
            gather_flow_snapshot(adapter, self.address, 1).evacuations, ("a",)
        )
        meta["DeletePending"] = True
        self.assertEqual(gather_flow_snapshot(adapter, self.address, 1).evacuations, ())
        answer = self.store.answer
        self.store.answer = lambda method, url, body: (
            (404, {}) if "evacuations" in url else answer(method, url, body)
        )
        found = gather_flow_snapshot(adapter, self.address, 1)
        self.assertEqual((found.error, len(found.members)), ("", 2))
        self.assertEqual(found.evacuations_error, "missing (status 404)")
