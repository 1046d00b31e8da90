"""A small deployment of real processes, and callers of it, for tests."""

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
    """Callers of one service, each of which observes its board.

    Parameters
    ----------
    fleet : Fleet
        Deployment whose service the callers use.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.tally = Tally()
        self.addresses = fleet.addresses("swapdesk")
        self.callers: list[Caller] = []
        self.count = 0

    def open(self) -> None:
        """Start all observations and wait until each is established."""
        call_in_reactor(self.open_in_reactor)
        self.wait_for_notifications()

    def open_in_reactor(self) -> None:
        """Create the callers and start their observations, in the reactor thread."""
        for seed in range(BOARDS):
            rng = random.Random(seed)
            caller = Caller("swapdesk", self.addresses, self.tally, reactor, rng)
            reactor.listenUDP(0, caller, "127.0.0.1", 65536)
            caller.open_board()
            self.callers.append(caller)

    def claim(self, prefix: str) -> None:
        """Post `CLAIMS` claims from every caller."""
        call_in_reactor(self.claim_in_reactor, prefix)

    def claim_in_reactor(self, prefix: str) -> None:
        """Post the claims, in the reactor thread."""
        for caller in self.callers * CLAIMS:
            self.count += 1
            caller.post("claims", f"{prefix}-{self.count}")

    def wait_answered(self) -> None:
        """Wait until every request has been answered or has timed out."""
        wait_until(
            lambda: not any(caller.pending for caller in self.callers),
            TIMEOUT_S,
            "answers",
        )

    def wait_for_notifications(self) -> None:
        """Wait until each caller has received a notification since this call began."""
        now = time.time()
        wait_until(
            lambda: all(c.is_open and c.last_heard > now for c in self.callers),
            TIMEOUT_S,
            "a notification on every board",
        )

    def find_violations(self) -> list[str]:
        """Return every violated guarantee that the execution logs show."""
        logs = self.fleet.executions("swapdesk").values()
        ran = [entry["body"] for log in logs for entry in log]
        outcomes = self.tally.outcomes
        found = [f"{name} ran twice" for name in set(ran) if ran.count(name) > 1]
        found += [
            f"{n} ran although it was refused"
            for n in ran
            if outcomes.get(n) == "refused"
        ]
        found += [
            f"{n} never ran although it was answered as done"
            for n, t in outcomes.items()
            if t == "done" and n not in ran
        ]
        if self.tally.wrong:
            found.append(f"{self.tally.wrong} wrong answers")
        return found

    def close(self) -> None:
        """Close the sockets of all callers."""
        for caller in self.callers:
            call_in_reactor(caller.transport.stopListening)


class FleetCase(unittest.TestCase):
    """Base of tests that run against a deployment, one per test or one per class."""

    deployment = Deployment("test", ["bole", "arada", "kirkos"], {"swapdesk": 4})

    @classmethod
    def start_fleet(cls, clean_up: Callable[..., Any]) -> Fleet:
        """Start a deployment; `clean_up` registers its stop with the test or class."""
        folder = Path(tempfile.mkdtemp())
        clean_up(shutil.rmtree, folder)
        fleet = Fleet(cls.deployment, folder, SERVICE_MS)
        clean_up(fleet.stop_all)
        fleet.start()
        fleet.wait_ready()
        return fleet
