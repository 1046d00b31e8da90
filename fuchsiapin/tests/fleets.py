"""A small set of real processes, and callers, for the tests that need them."""

import random
import shutil
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import reactor

from fuchsiapin.tests.reactorthread import call_in_reactor
from fuchsiapin.tests.standins.caller import Caller, Tally
from tools.fleet import Deployment, Fleet
from tools.processes import wait_until

__all__ = ["TIMEOUT_S", "Callers", "FleetCase"]

TIMEOUT_S = 90
SERVICE_MS = 20.0
BOARDS = 12
CLAIMS = 3


class Callers:
    """Callers of one service, each with an open board.

    Parameters
    ----------
    fleet : Fleet
        The set that is called.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.tally = Tally()
        self.addresses = fleet.addresses("swapdesk")
        self.callers: list[Caller] = []
        self.count = 0

    def open(self) -> None:
        """Open the boards, and wait until all are."""
        call_in_reactor(self.open_in_loop)
        self.wait_fresh()

    def open_in_loop(self) -> None:
        """Open the boards."""
        for seed in range(BOARDS):
            rng = random.Random(seed)
            caller = Caller("swapdesk", self.addresses, self.tally, reactor, rng)
            reactor.listenUDP(0, caller, "127.0.0.1", 65536)
            caller.open_board()
            self.callers.append(caller)

    def claim(self, prefix: str) -> None:
        """Post a few claims from every caller."""
        call_in_reactor(self.claim_in_loop, prefix)

    def claim_in_loop(self, prefix: str) -> None:
        """Post claims."""
        for caller in self.callers * CLAIMS:
            self.count += 1
            caller.post("claims", f"{prefix}-{self.count}")

    def wait_answered(self) -> None:
        """Wait until no request waits for its answer."""
        wait_until(
            lambda: not any(caller.pending for caller in self.callers),
            TIMEOUT_S,
            "answers",
        )

    def wait_fresh(self) -> None:
        """Wait until each board has heard of a state after now."""
        now = time.time()
        wait_until(
            lambda: all(c.is_open and c.last_heard > now for c in self.callers),
            TIMEOUT_S,
            "news on every board",
        )

    def faults(self) -> list[str]:
        """Return every broken promise that the execution logs show."""
        logs = self.fleet.executions("swapdesk").values()
        ran = [entry["body"] for log in logs for entry in log]
        told = self.tally.told
        found = [f"{name} ran twice" for name in set(ran) if ran.count(name) > 1]
        found += [f"{n} ran after all" for n in ran if told.get(n) == "refused"]
        found += [
            f"{n} never ran" for n, t in told.items() if t == "done" and n not in ran
        ]
        if self.tally.wrong:
            found.append(f"{self.tally.wrong} wrong answers")
        return found

    def close(self) -> None:
        """Close the sockets."""
        for caller in self.callers:
            call_in_reactor(caller.transport.stopListening)


class FleetCase(unittest.TestCase):
    """Tests that each have, or all share, one started set of processes."""

    deployment = Deployment("test", ["bole", "arada", "kirkos"], {"swapdesk": 4})

    @classmethod
    def start_fleet(cls, clean_up: Callable[..., Any]) -> Fleet:
        """Start a set that ends with the test or class that it is for."""
        folder = Path(tempfile.mkdtemp())
        clean_up(shutil.rmtree, folder)
        fleet = Fleet(cls.deployment, folder, SERVICE_MS)
        clean_up(fleet.stop_all)
        fleet.start()
        fleet.wait_ready()
        return fleet
