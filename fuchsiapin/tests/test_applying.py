"""Conditional updates of a configuration: races, lost responses, outages."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass, replace

from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiapin.applying import MAX_ATTEMPTS, Change, Outcome, Refusal, apply_change
from fuchsiapin.codec import decode_object, encode_object
from fuchsiapin.configuring import Proposal, accept, set_leaving
from fuchsiapin.exceptions import ObjectApiError
from fuchsiapin.messages import Configuration, ServiceConfig, UpstreamConfig

KEY = "config/d"


def upstream(name: str) -> UpstreamConfig:
    """Return an upstream."""
    return UpstreamConfig(name, "vm", "10.0.0.1", "a", 2, 2000, False)


def proposal(*names: str, deadline: int = 1_000) -> Proposal:
    """Return a proposal of one service."""
    upstreams = [upstream(name) for name in names]
    return Proposal("d", [ServiceConfig("s", deadline, 64, upstreams, [])], [])


@dataclass
class Stored:
    """A stored object."""

    version: int
    value: bytes


class FakeStore:
    """A store that injects faults according to a script.

    Each call consumes one letter: `.` succeeds, `x` fails, `l` takes effect but
    its response is lost, `o` lets another operator write first.
    """

    def __init__(self, script: str = "") -> None:
        self.script = list(script)
        self.version = 0
        self.config: Configuration | None = None
        self.written: list[str] = []
        self.others = 0

    def next_fault(self) -> str:
        """Inject the fault of this call and return its letter."""
        fault = self.script.pop(0) if self.script else "."
        if fault == "x":
            raise ObjectApiError("no response")
        if fault == "o":
            self.others += 1
            self.put_other()
        return fault

    def put_other(self) -> None:
        """Write a configuration as another operator."""
        other = proposal("u1", "u2", deadline=2_000 + self.others)
        self.put(accept(other, self.config, "other", f"o{self.others}"))

    def put(self, config: Configuration) -> None:
        """Store a configuration."""
        self.version += 1
        self.config = config
        self.written.append(config.change_id)

    async def read(self, key: str) -> Stored:
        """Return the object."""
        self.next_fault()
        value = encode_object(self.config) if self.config else b""
        return Stored(self.version, value)

    async def write(self, key: str, version: int, value: bytes) -> bool:
        """Replace the object if the given version is its current one."""
        fault = self.next_fault()
        if version != self.version:
            return False
        self.put(decode_object(Configuration, value))
        if fault == "l":
            raise ObjectApiError("response lost")
        return True


async def no_pause(seconds: float) -> None:
    """Return without waiting."""


def run(store: FakeStore, **options) -> Outcome:
    """Apply one change as an operator."""
    wanted: Callable = options.pop("propose", lambda base: Ok(proposal("u1", "u2")))
    change = Change(KEY, wanted, "me", options.pop("change_id", "m1"), **options)
    return asyncio.run(apply_change(store, change, no_pause))


def leave(base: Configuration | None):
    """Propose to mark u1 as leaving."""
    found = set_leaving(base, "u1", True) if base else None
    return Ok(found) if found else Error(Refusal("missing", "no u1"))


class ApplyTest(unittest.TestCase):
    """One operator against faults and concurrent changes."""

    def test_repeated_change_is_not_written_again(self) -> None:
        store = FakeStore()
        self.assertEqual(run(store).ok.number, 1)
        again = run(store, change_id="m2").ok
        self.assertEqual((again.number, again.differences), (1, []))
        self.assertEqual(store.written, ["m1"])

    def test_lost_response_is_resolved_and_change_applied_once(self) -> None:
        for script in (".l", ".l.", ".lx.", "xxx.l", ".lxxx."):
            store = FakeStore(script)
            applied = run(store).ok
            self.assertEqual(applied.number, 1, script)
            self.assertTrue(applied.was_resolved, script)
            self.assertEqual(store.written, ["m1"])

    def test_lost_response_is_resolved_after_a_later_change(self) -> None:
        store = FakeStore(".lo")
        applied = run(store).ok
        self.assertEqual((applied.number, applied.configuration.number), (1, 2))
        self.assertEqual(store.written, ["m1", "o1"])

    def test_write_that_never_arrived_is_retried(self) -> None:
        store = FakeStore(".x")
        self.assertEqual(run(store).ok.number, 1)
        self.assertEqual(store.written, ["m1"])

    def test_lost_race_reports_the_other_change_and_writes_nothing(self) -> None:
        store = FakeStore()
        run(store)
        store.script = list(".o")
        refusal = run(
            store, change_id="m2", propose=lambda base: Ok(proposal("u1"))
        ).error
        self.assertEqual(refusal.kind, "race")
        [change] = refusal.changes
        self.assertEqual((change.author, change.number), ("other", 2))
        self.assertEqual(
            [str(item) for item in refusal.differences],
            ["service s: deadline_ms changes from 1000 to 2001"],
        )
        self.assertEqual(store.written, ["m1", "o1"])

    def test_change_based_on_an_outdated_number_is_refused(self) -> None:
        store = FakeStore()
        run(store)
        store.others = 1
        store.put_other()
        refusal = run(
            store, change_id="m2", expected=1, propose=lambda base: Ok(proposal("u1"))
        ).error
        self.assertEqual([item.author for item in refusal.changes], ["other"])
        self.assertEqual(store.written, ["m1", "o1"])

    def test_leave_is_reapplied_on_top_of_another_change(self) -> None:
        store = FakeStore()
        run(store)
        store.script = list(".o")
        applied = run(
            store, change_id="m2", propose=leave, reapplies_on_conflict=True
        ).ok
        self.assertEqual(store.written, ["m1", "o1", "m2"])
        [service] = applied.configuration.services
        self.assertEqual(service.deadline_ms, 2_001)
        self.assertTrue(service.upstreams[0].leaving)

    def test_outage_is_distinguished_from_an_unknown_outcome(self) -> None:
        store = FakeStore("x" * 100)
        refusal = run(store).error
        self.assertEqual(refusal.kind, "unreachable")
        self.assertIn("nothing was changed", refusal.text)
        store = FakeStore(".l" + "x" * 100)
        refusal = run(store).error
        self.assertEqual(refusal.kind, "unknown")
        self.assertIn("--change-id m1", refusal.text)
        store.script = []
        self.assertTrue(run(store).ok.was_resolved)
        self.assertEqual(store.written, ["m1"])

    def test_truncated_history_means_unknown_outcome(self) -> None:
        store = FakeStore(".l")

        def cut_history(config: Configuration) -> None:
            FakeStore.put(store, config)
            store.version += 1
            store.config = replace(config, number=99, history=[])

        store.put = cut_history
        self.assertEqual(run(store).error.kind, "unknown")

    def test_malformed_object_is_not_overwritten(self) -> None:
        store = FakeStore()
        store.version = 3
        self.assertEqual(run(store).error.kind, "malformed")
        self.assertEqual(store.written, [])

    def test_missing_upstream_is_reported(self) -> None:
        self.assertEqual(run(FakeStore(), propose=leave).error.kind, "missing")

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.text("...xlo", max_size=2 * MAX_ATTEMPTS), st.booleans())
    def test_reported_outcome_is_correct_under_any_faults(
        self, script: str, reapplies_on_conflict: bool
    ) -> None:
        store = FakeStore()
        run(store, change_id="first")
        store.script = list(script)
        outcome = run(store, propose=leave, reapplies_on_conflict=reapplies_on_conflict)
        count = store.written.count("m1")
        self.assertLessEqual(count, 1)
        if outcome.is_ok():
            self.assertEqual(count, 1)
        elif outcome.error.kind != "unknown":
            self.assertEqual(count, 0)
        numbers = [item.number for item in store.config.history]
        self.assertEqual(numbers, list(range(1, store.config.number + 1)))


if __name__ == "__main__":
    unittest.main()
