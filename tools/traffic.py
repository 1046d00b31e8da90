"""Traffic of the callers of one service, and what the oracle finds in it."""

import random
from dataclasses import dataclass
from typing import Any

from fuchsiapin.tests.standins.caller import Caller, Tally
from tools.fleet import Fleet

__all__ = ["Account", "ServiceTraffic", "percentile"]

FLOWS = 24
"""Callers of one service, each with an open board."""
REQUESTS_PER_S = 12.0
UPLOAD_SHARE = 0.1
LONG_SHARE = 0.1
UPLOAD_BYTES = 4_500
FRESH_S = 10.0
"""An open board that heard nothing for so long is broken."""


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of a list, 0 of an empty one.

    Examples
    --------
    >>> percentile([3, 1, 2], 0.5)
    2
    """
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0


@dataclass(frozen=True)
class Account:
    """What one service did, as its callers and the execution logs tell it."""

    service: str
    requests: int
    answers: int
    refused: int
    unknown: int
    silent: int
    broken: int
    twice: int
    false_not_run: int
    false_done: int
    mixed: int
    wrong_answer: int
    wrong_service: int
    imbalance: float
    wait_p50_ms: float
    wait_p99_ms: float

    def faults(self) -> list[str]:
        """Return every promise that was broken, with its count."""
        promises = {
            "broken flows": self.broken,
            "run twice": self.twice,
            "told not run, but ran": self.false_not_run,
            "told done, but never ran": self.false_done,
            "a body mixed from two": self.mixed,
            "answers of another request": self.wrong_answer,
            "run by another service": self.wrong_service,
            "requests without an answer": self.silent,
        }
        return [
            f"{self.service}: {count} {name}"
            for name, count in promises.items()
            if count
        ]


class ServiceTraffic:
    """The callers of one service.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    service : str
        The service.
    reactor : twisted reactor
        The loop.
    rng : random.Random
        Source of all random draws.
    """

    def __init__(
        self, fleet: Fleet, service: str, reactor: Any, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.reactor = reactor
        self.rng = rng
        self.tally = Tally()
        self.balancers = fleet.addresses(service)
        self.callers: list[Caller] = []
        self.count = 0
        self.is_on = False
        self.loads: dict[str, list[int]] = {}

    def start(self) -> None:
        """Open the boards and begin to send requests."""
        self.is_on = True
        for _ in range(FLOWS):
            rng = random.Random(self.rng.getrandbits(32))
            caller = Caller(self.service, self.balancers, self.tally, self.reactor, rng)
            self.reactor.listenUDP(0, caller, "127.0.0.1", 65536)
            caller.open_board()
            self.callers.append(caller)
        self.send_next()

    def send_next(self) -> None:
        """Send a request of some kind, and the next one later."""
        if not self.is_on:
            return
        self.count += 1
        name = f"{self.service}/{self.count}"
        caller = self.rng.choice(self.callers)
        kind = self.rng.random()
        if kind < UPLOAD_SHARE:
            caller.upload("photos", name, UPLOAD_BYTES)
        elif kind < UPLOAD_SHARE + LONG_SHARE:
            caller.get_long("long", name)
        else:
            caller.post("claims", name)
        self.reactor.callLater(self.rng.expovariate(REQUESTS_PER_S), self.send_next)

    @property
    def is_answered(self) -> bool:
        """Whether no request waits for its answer."""
        return not any(caller.pending for caller in self.callers)

    def replace_balancer(
        self, old: tuple[str, int] | None, new: tuple[str, int] | None
    ) -> None:
        """Have the fabric hand datagrams to another balancer."""
        if new is not None:
            self.balancers.append(new)
        if old in self.balancers:
            self.balancers.remove(old)

    def sample(self, loads: dict[str, int]) -> None:
        """Note the requests in flight at each upstream."""
        for name, load in loads.items():
            self.loads.setdefault(name, []).append(load)

    def imbalance(self) -> float:
        """Return max over mean of the mean requests in flight per upstream.

        Only upstreams that were there all the time count.
        """
        most = max((len(values) for values in self.loads.values()), default=0)
        means = [
            sum(values) / most for values in self.loads.values() if len(values) == most
        ]
        total = sum(means)
        return max(means) * len(means) / total if total else 1.0

    def broken_flows(self) -> int:
        """Return how many boards are not open or hear nothing."""
        now = self.reactor.seconds()
        return sum(
            not caller.is_open or now - caller.last_heard > FRESH_S
            for caller in self.callers
        )

    def account(self, logs: dict[str, list[dict[str, Any]]]) -> Account:
        """Return what callers were told beside what the upstreams ran.

        Parameters
        ----------
        logs : dict
            Execution log of each upstream of the deployment.
        """
        runs: dict[str, list[dict[str, Any]]] = {}
        for log in logs.values():
            for entry in log:
                runs.setdefault(entry["body"], []).append(entry)
        own = {name: found for name, found in runs.items() if self.is_mine(name)}
        told = self.tally.outcomes
        waits = [
            1000 * took - own[name][0]["ms"]
            for name, took in self.tally.latency_by_name.items()
            if name in own
        ]
        return Account(
            service=self.service,
            requests=self.tally.sent,
            answers=self.tally.done,
            refused=self.tally.refused,
            unknown=self.tally.unknown,
            silent=self.tally.silent,
            broken=self.broken_flows(),
            twice=sum(len(found) > 1 for found in own.values()),
            false_not_run=sum(told.get(name) == "refused" for name in own),
            false_done=sum(
                told[name] == "done" and name not in own
                for name in self.tally.digests
                if name in told
            ),
            mixed=sum(
                entry["digest"] != self.tally.digests.get(name)
                for name, found in own.items()
                for entry in found
            ),
            wrong_answer=self.tally.wrong,
            wrong_service=sum(
                not self.is_mine(entry["body"])
                for name, log in logs.items()
                if self.fleet.service_of(name) == self.service
                for entry in log
            ),
            imbalance=self.imbalance(),
            wait_p50_ms=percentile(waits, 0.5),
            wait_p99_ms=percentile(waits, 0.99),
        )

    def is_mine(self, name: str) -> bool:
        """Return whether a request of that name was sent to this service."""
        return name.rpartition("/")[0] == self.service
