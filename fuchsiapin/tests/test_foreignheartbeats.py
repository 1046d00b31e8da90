"""Well-formed heartbeats that don't come from the upstream of the VM."""

import unittest
from types import SimpleNamespace
from typing import Any

from fuchsiapin.daemons.flowside import foreign_reason
from fuchsiapin.flows.upstreams import Heartbeat
from fuchsiapin.lightclasses import replace

HEARTBEAT = Heartbeat("u1", 1_000, 1, "desk", "z", 2, False, 0, ("10.0.0.1", 8165))


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
        ):
            with self.subTest(changes=changes):
                reason = foreign_reason(settings, replace(HEARTBEAT, **changes))
                self.assertEqual(reason.partition(" ")[0], word)
                self.assertLess(len(reason), 100)


if __name__ == "__main__":
    unittest.main()
