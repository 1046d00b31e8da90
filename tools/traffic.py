"""Traffic of the callers of one service, and checks of its results."""

import random
from dataclasses import dataclass
from typing import Any

from fuchsiapin.tests.standins.caller import Caller, Tally
from tools.fleet import Fleet

__all__ = ["ServiceResult", "ServiceTraffic", "percentile"]

FLOWS_PER_SERVICE = 24
"""Number of callers per service; each keeps one board open."""
REQUESTS_PER_S = 12.0
UPLOAD_SHARE = 0.1
LONG_SHARE = 0.1
UPLOAD_BYTES = 4_500
SILENCE_LIMIT_S = 10.0
"""Time without a notification after which an open board counts as broken."""


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of a list, 0 if it is empty.

    Examples
    --------
    >>> percentile([3, 1, 2], 0.5)
    2
    """
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0


@dataclass(frozen=True)
class ServiceResult:
    """Results of one service, from its callers and the execution logs.

    Attributes
    ----------
    unknown : int
        Requests that were answered with a gateway timeout.
    silent : int
        Requests without an answer after all retransmissions.
    false_not_run : int
        Requests that were refused, but ran.
    false_done : int
        Posts and uploads that were reported as done, but never ran.
    mixed : int
        Executions with another body than that of their request.
    """

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

    def violations(self) -> list[str]:
        """Return each violated guarantee with its count."""
        counts = {
            "broken flows": self.broken,
            "run twice": self.twice,
            "reported as not run, but ran": self.false_not_run,
            "reported as done, but never ran": self.false_done,
            "bodies that do not match their request": self.mixed,
            "wrong answers": self.wrong_answer,
            "run by another service": self.wrong_service,
            "requests without an answer": self.silent,
        }
        return [
            f"{self.service}: {count} {name}" for name, count in counts.items() if count
        ]


class ServiceTraffic:
    """The callers of one service.

    Parameters
    ----------
    fleet : Fleet
        Processes of the deployment.
    service : str
        Name of the service.
    reactor : twisted reactor
        Reactor of the callers.
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
        self.is_running = False
        self.loads: dict[str, list[int]] = {}

    def start(self) -> None:
        """Open the boards and begin to send requests."""
        self.is_running = True
        for _ in range(FLOWS_PER_SERVICE):
            rng = random.Random(self.rng.getrandbits(32))
            caller = Caller(self.service, self.balancers, self.tally, self.reactor, rng)
            self.reactor.listenUDP(0, caller, "127.0.0.1", 65536)
            caller.open_board()
            self.callers.append(caller)
        self.send_next()

    def send_next(self) -> None:
        """Send a request of a random kind, and the next one after a random time."""
        if not self.is_running:
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
        """Whether all requests have ended."""
        return not any(caller.pending for caller in self.callers)

    def replace_balancer(
        self, old: tuple[str, int] | None, new: tuple[str, int] | None
    ) -> None:
        """Make the callers send to another balancer."""
        if new is not None:
            self.balancers.append(new)
        if old in self.balancers:
            self.balancers.remove(old)

    def sample(self, loads: dict[str, int]) -> None:
        """Record the requests in flight at each upstream."""
        for name, load in loads.items():
            self.loads.setdefault(name, []).append(load)

    def imbalance(self) -> float:
        """Return maximum divided by mean of the upstreams' mean requests in flight.

        Only upstreams that are in every sample count.
        """
        sample_count = max((len(values) for values in self.loads.values()), default=0)
        means = [
            sum(values) / sample_count
            for values in self.loads.values()
            if len(values) == sample_count
        ]
        total = sum(means)
        return max(means) * len(means) / total if total else 1.0

    def count_broken_flows(self) -> int:
        """Return the number of boards that are not open or receive nothing."""
        now = self.reactor.seconds()
        return sum(
            not caller.is_open or now - caller.last_heard > SILENCE_LIMIT_S
            for caller in self.callers
        )

    def make_result(self, logs: dict[str, list[dict[str, Any]]]) -> ServiceResult:
        """Return the results: answers to callers compared with executed requests.

        Parameters
        ----------
        logs : dict
            Execution log of each upstream of the deployment.
        """
        runs: dict[str, list[dict[str, Any]]] = {}
        for log in logs.values():
            for entry in log:
                runs.setdefault(entry["body"], []).append(entry)
        own_runs = {
            name: found for name, found in runs.items() if self.is_own_request(name)
        }
        outcomes = self.tally.outcomes
        # latency minus service time, in ms
        waits = [
            1000 * took - own_runs[name][0]["ms"]
            for name, took in self.tally.latency_by_name.items()
            if name in own_runs
        ]
        return ServiceResult(
            service=self.service,
            requests=self.tally.sent,
            answers=self.tally.done,
            refused=self.tally.refused,
            unknown=self.tally.unknown,
            silent=self.tally.silent,
            broken=self.count_broken_flows(),
            twice=sum(len(found) > 1 for found in own_runs.values()),
            false_not_run=sum(outcomes.get(name) == "refused" for name in own_runs),
            false_done=sum(
                outcomes[name] == "done" and name not in own_runs
                for name in self.tally.digests
                if name in outcomes
            ),
            mixed=sum(
                entry["digest"] != self.tally.digests.get(name)
                for name, found in own_runs.items()
                for entry in found
            ),
            wrong_answer=self.tally.wrong,
            wrong_service=sum(
                not self.is_own_request(entry["body"])
                for name, log in logs.items()
                if self.fleet.service_of(name) == self.service
                for entry in log
            ),
            imbalance=self.imbalance(),
            wait_p50_ms=percentile(waits, 0.5),
            wait_p99_ms=percentile(waits, 0.99),
        )

    def is_own_request(self, name: str) -> bool:
        """Return whether a name is that of a request to this service."""
        return name.rpartition("/")[0] == self.service
