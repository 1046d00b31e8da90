"""Runs both deployments under traffic while their processes are replaced.

The exit code is 0 only if every guarantee held: no flow broke, no request ran
twice, every caller got correct answers to its own requests, and no request reached
the upstream of another service.
"""

import random
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.task import LoopingCall, deferLater
from twisted.internet.threads import deferToThread

from tools.fleet import DEPLOYMENTS, READY_TIMEOUT_S, Fleet
from tools.processes import Process, call
from tools.traffic import ServiceResult, ServiceTraffic

__all__ = ["main"]

SERVICE_MS = 60.0
"""Mean service time of the upstream stand-ins."""
WARM_UP_S = 4.0
"""Time with traffic before the first change."""
PAUSE_S = 2.0
"""Time with traffic between two changes."""
LEAVE_S = 3.0
"""Time after which a leaving upstream must receive no new requests."""
SETTLE_S = 8.0
"""Time from the last change to the end of the traffic."""
ANSWER_TIMEOUT_S = 60.0
"""Timeout for the last answers."""
SAMPLE_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1

COLUMNS = {
    "service": "service",
    "requests": "requests",
    "answers": "answers",
    "refused": "refused",
    "unknown": "unknown",
    "broken": "broken flows",
    "twice": "run twice",
    "wrong_service": "wrong service",
    "imbalance": "imbalance",
    "wait_p50_ms": "wait p50 ms",
    "wait_p99_ms": "wait p99 ms",
}


def sleep(seconds: float) -> Deferred:
    """Return a deferred that fires after a time."""
    return deferLater(reactor, seconds)


async def wait_for(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition holds; it is evaluated in a thread, as it may block."""
    end = reactor.seconds() + seconds
    while not await deferToThread(condition):
        if reactor.seconds() > end:
            raise TimeoutError(f"timeout after {seconds} s: {what}")
        await sleep(POLL_INTERVAL_S)


class Session:
    """Traffic and changes of one deployment.

    Parameters
    ----------
    fleet : Fleet
        Processes of the deployment.
    seed : int
        Seed of the traffic.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        rng = random.Random(seed)
        self.traffic = {
            service: ServiceTraffic(fleet, service, reactor, rng)
            for service in fleet.deployment.services
        }
        self.main_service = next(iter(fleet.deployment.services))
        self.sampler = LoopingCall(self.sample)
        self.results: list[ServiceResult] = []
        self.leaving = ""
        self.runs_at_leave = 0
        self.violations: list[str] = []
        self.explanation = ""

    def print_line(self, text: str) -> None:
        """Print a line that starts with the name of the deployment."""
        print(f"{self.fleet.deployment.name}: {text}", flush=True)

    async def run(self) -> None:
        """Run the traffic through all changes and collect the results."""
        for traffic in self.traffic.values():
            traffic.start()
        self.sampler.start(SAMPLE_INTERVAL_S)
        await sleep(WARM_UP_S)
        for old in self.fleet.of_role("balancer"):
            await self.replace_balancer(old)
        await self.leave(f"{self.main_service}-3")
        await self.kill(f"{self.main_service}-5")
        await sleep(SETTLE_S)
        await self.finish()

    async def replace_balancer(self, old: Process) -> None:
        """Start a balancer that replaces another, and stop the old one as planned."""
        new = self.fleet.start_balancer(f"{old.name}-2", old.zone)
        await wait_for(
            lambda: self.fleet.is_ready(new.name), READY_TIMEOUT_S, f"{new.name} ready"
        )
        for service, traffic in self.traffic.items():
            traffic.replace_balancer(old.callers[service], new.callers[service])
        code = await deferToThread(self.fleet.stop, old.name)
        self.print_line(
            f"{new.name} replaced {old.name}, which exited with status {code}"
        )
        await sleep(PAUSE_S)

    async def leave(self, name: str) -> None:
        """Make an upstream leave by the operator's command, and count its requests."""
        done = await deferToThread(self.fleet.run_ctl, "leave", name)
        if done.returncode:
            raise RuntimeError(f"command `leave` failed: {done.stdout}{done.stderr}")
        self.print_line(f"{name} leaves: {done.stdout.splitlines()[0]}")
        self.leaving = name
        await sleep(LEAVE_S)
        self.runs_at_leave = await deferToThread(self.count_runs, name)

    def count_runs(self, name: str) -> int:
        """Return how many requests an upstream has run."""
        admin = self.fleet.processes[f"upstream-{name}"].admin
        logs = [call("GET", f"{admin}/{path}") for path in ("executions", "reads")]
        return sum(len(log) for log in logs)

    async def kill(self, name: str) -> None:
        """Kill the side process of an upstream and wait until its peers remove it."""
        self.fleet.kill(name)
        self.print_line(f"{name} killed")
        service = self.main_service
        await wait_for(
            lambda: name not in self.fleet.members(service),
            READY_TIMEOUT_S,
            f"{name} removed",
        )
        self.print_line(f"{name} was detected as failed and removed by its peers")

    def sample(self) -> Deferred:
        """Record the requests in flight at each upstream."""
        return deferToThread(self.read_loads).addCallback(self.add_loads)

    def read_loads(self) -> dict[str, dict[str, int]]:
        """Return the requests in flight per service and upstream."""
        loads: dict[str, dict[str, int]] = {}
        for side in self.fleet.of_role("side"):
            # Leaves it out of the imbalance, which counts only upstreams that are in
            # every sample.
            if side.name == self.leaving:
                continue
            upstream = self.fleet.processes[f"upstream-{side.name}"]
            load = call("GET", f"{upstream.admin}/load")
            if load is not None:
                service_loads = loads.setdefault(side.service, {})
                service_loads[side.name] = load["busy"] + load["waiting"]
        return loads

    def add_loads(self, loads: dict[str, dict[str, int]]) -> None:
        """Add the requests in flight to the samples of their services."""
        for service, service_loads in loads.items():
            self.traffic[service].sample(service_loads)

    async def finish(self) -> None:
        """End the traffic, wait for the last answers and collect the results."""
        for traffic in self.traffic.values():
            traffic.is_running = False
        self.sampler.stop()
        await wait_for(
            lambda: all(traffic.is_answered for traffic in self.traffic.values()),
            ANSWER_TIMEOUT_S,
            "all requests answered",
        )
        late_runs = (
            await deferToThread(self.count_runs, self.leaving) - self.runs_at_leave
        )
        if late_runs:
            self.violations.append(
                f"{self.leaving} received {late_runs} requests after it left"
            )
        explained = await deferToThread(self.fleet.run_ctl, "explain")
        self.explanation = explained.stdout + explained.stderr
        logs: dict[str, list[dict[str, Any]]] = {}
        for service in self.traffic:
            logs |= await deferToThread(self.fleet.executions, service)
        self.results = [traffic.make_result(logs) for traffic in self.traffic.values()]


def print_table(results: list[ServiceResult]) -> None:
    """Print one line per service."""
    rows = [list(COLUMNS.values())]
    for result in results:
        values = [getattr(result, name) for name in COLUMNS]
        rows.append([f"{v:.2f}" if isinstance(v, float) else str(v) for v in values])
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print("  ".join(text.rjust(width) for text, width in cells))


def print_results(sessions: list[Session]) -> int:
    """Print results and violated guarantees; return the exit code."""
    for session in sessions:
        print(f"\n{session.explanation.strip()}\n")
    results = [result for session in sessions for result in session.results]
    print_table(results)
    violations = [violation for result in results for violation in result.violations()]
    violations += [
        violation for session in sessions for violation in session.violations
    ]
    for violation in violations:
        print(f"violated guarantee: {violation}")
    if not violations:
        print("all guarantees held")
    return 1 if violations else 0


async def run_sessions(sessions: list[Session]) -> None:
    """Run the sessions at the same time."""
    await gatherResults([ensureDeferred(session.run()) for session in sessions])


def run_in_reactor(main: Callable[[], Awaitable[None]]) -> BaseException | None:
    """Run the reactor until a coroutine has ended; return its error, if any."""
    failures: list[BaseException] = []

    def record_failure(failure: Any) -> None:
        failures.append(failure.value)

    def start() -> None:
        completion = ensureDeferred(main())
        completion.addErrback(record_failure).addCallback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return failures[0] if failures else None


def demo(*, folder: Path = Path("run/demo"), seed: int = 1) -> None:
    """Run both deployments under traffic and changes.

    Parameters
    ----------
    folder : Path
        Directory for settings and logs.
    seed : int
        Seed of the traffic.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fleets = [Fleet(item, folder, SERVICE_MS) for item in DEPLOYMENTS.values()]
    sessions: list[Session] = []
    try:
        for fleet in fleets:
            fleet.start()
        for fleet in fleets:
            fleet.wait_ready()
            print(f"{fleet.deployment.name}: ready", flush=True)
        sessions = [Session(fleet, seed + index) for index, fleet in enumerate(fleets)]
        error = run_in_reactor(lambda: run_sessions(sessions))
    finally:
        for fleet in fleets:
            fleet.stop_all()
    if error is not None:
        sys.exit(f"a session failed: {error!r}")
    sys.exit(print_results(sessions))


def main() -> None:
    """Run the command line."""
    defopt.run(demo)


if __name__ == "__main__":
    main()
