"""Well-formed heartbeats that don't come from the upstream of the VM."""

import random
import unittest
from types import SimpleNamespace
from typing import Any

from fuchsiapin.daemons.flowside import foreign_reason
from fuchsiapin.fields import MAX_VERSION
from fuchsiapin.flows.announcing import MAX_SUBSCRIBERS
from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import MAX_EPOCH
from fuchsiapin.flows.messages import Ping
from fuchsiapin.flows.sidecore import SideSettings, make_flow_side_core
from fuchsiapin.flows.upstreams import Heartbeat, UpstreamState
from fuchsiapin.flows.wire import encode_message
from fuchsiapin.lightclasses import replace
from fuchsiapin.tests.flowactors import HEARTBEAT_MS, PlainPacketFormat

HEARTBEAT = Heartbeat("u1", 1_000, 1, "desk", "z", 2, False, 0, ("10.0.0.1", 8165))
NOW = 1_800_000_000_000
DAY_MS = 86_400_000


class ForeignReasonTest(unittest.TestCase):
    """What tells a foreign heartbeat from one of the upstream."""

    def test_heartbeats_of_another_upstream_are_refused_and_own_ones_are_not(
        self,
    ) -> None:
        settings: Any = SimpleNamespace(
            service="desk",
            zone="z",
            host="10.0.0.1",
            bind="127.1.0.1",
            upstream=("127.2.0.1", 8165),
        )
        for changes, word in (
            ({}, ""),
            ({"address": ("127.1.0.1", 8165)}, ""),
            ({"address": ("127.2.0.1", 8165)}, ""),
            ({"address": ("10.0.0.2", 8165)}, "address"),
            ({"address": ("10.0.0.1", 8166)}, "port"),
            ({"service": "x" * 200}, "service"),
            ({"zone": "y"}, "zone"),
            ({"born": NOW + 60_000}, ""),
            ({"born": NOW + 2 * DAY_MS}, "start"),
        ):
            with self.subTest(changes=changes):
                reason = foreign_reason(settings, NOW, replace(HEARTBEAT, **changes))
                self.assertEqual(reason.partition(" ")[0], word)
                self.assertLess(len(reason), 100)


class SilencedUpstreamTest(unittest.TestCase):
    """One forged heartbeat doesn't silence the upstream for good."""

    def setUp(self) -> None:
        self.state = UpstreamState("10.0.0.1", "desk", "z", HEARTBEAT_MS)
        self.state.apply_heartbeat(0, replace(HEARTBEAT, sequence=5))

    def test_upstream_is_followed_again_after_a_forged_sequence_or_start(self) -> None:
        for changes in ({"sequence": MAX_VERSION}, {"id": "u2", "born": 90_000}):
            with self.subTest(changes=changes):
                self.setUp()
                self.state.apply_heartbeat(10, replace(HEARTBEAT, **changes))
                changes = []
                for sequence in range(6, 10):
                    draining = replace(HEARTBEAT, sequence=sequence, is_draining=True)
                    now = sequence * HEARTBEAT_MS
                    changes.append(self.state.apply_heartbeat(now, draining))
                self.assertEqual(changes[:2], ["late", "late"])
                self.assertEqual(self.state.member.state, "draining")
                self.assertEqual(self.state.member.id, "u1")

    def test_late_heartbeats_of_a_living_or_closed_upstream_stay_late(self) -> None:
        for now, is_closed in ((HEARTBEAT_MS, False), (9 * HEARTBEAT_MS, True)):
            self.state.is_port_closed = is_closed
            for sequence in range(1, 5):
                late = replace(HEARTBEAT, sequence=sequence)
                self.assertEqual(self.state.apply_heartbeat(now, late), "late")


class ForeignPingTest(unittest.TestCase):
    """Pings of strangers neither change the member for the worse nor take memory."""

    def setUp(self) -> None:
        settings = SideSettings("10.0.0.1", "desk", "z", HEARTBEAT_MS, 60_000, [])
        self.events: list[int] = []
        self.core = make_flow_side_core(
            settings,
            PlainPacketFormat(),
            lambda number, **fields: self.events.append(number),
            random.Random(1),
        )
        self.core.start(0)
        self.core.on_heartbeat(0, HEARTBEAT)

    def test_member_stays_valid_whatever_version_a_ping_tells(self) -> None:
        for known in (-5, MAX_EPOCH * 8, 1 << 61, 1 << 62, MAX_VERSION, 2**64 - 1):
            with self.subTest(known=known):
                self.core.on_message(1, "10.0.0.9", Ping("z", known, False))
                self.assertLessEqual(self.core.upstream.member.epoch, MAX_EPOCH)
                for effect in self.core.take_effects():
                    if isinstance(effect, ToPeer):
                        encode_message(effect.message)
        self.assertIn(6301, self.events)

    def test_number_of_subscribers_is_limited(self) -> None:
        for number in range(MAX_SUBSCRIBERS + 50):
            host = f"10.1.{number >> 8}.{number & 255}"
            self.core.on_message(number, host, Ping("z", 0, False))
            self.core.take_effects()
        subscribers = self.core.announcer.subscribers
        self.assertEqual(len(subscribers), MAX_SUBSCRIBERS)
        self.assertEqual(list(subscribers)[-1], host)


if __name__ == "__main__":
    unittest.main()
