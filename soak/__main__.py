"""Runs the soak test for one or more seeds: `python -m soak --seconds 20 --seed 1`."""

import json
import random
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

import defopt

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from fuchsiapin.clock import SystemClock  # noqa: E402
from fuchsiapin.daemons.eventloop import EventLoop  # noqa: E402
from fuchsiapin.flows.packets import endpoint, flow_name  # noqa: E402
from fuchsiapin.timers import Timers  # noqa: E402
from soak.drills import Drills  # noqa: E402
from soak.endpoints import CallerStandIn, Request, UpstreamStandIn  # noqa: E402
from soak.evacuations import IN_FORCE_MS, Evacuations  # noqa: E402
from soak.fabric import Fabric, PeerProxy  # noqa: E402
from soak.faults import PLANNED, draw_fault, faults  # noqa: E402
from soak.newest import Newest  # noqa: E402
from soak.processes import ManagedProcess, Vm, format_address  # noqa: E402
from soak.store import StoreStandIn  # noqa: E402
from soak.storelink import StoreLink  # noqa: E402
from soak.strains import Strains  # noqa: E402
from soak.writers import OddWriter  # noqa: E402

WARM_UP_MS = 3_000
"""Time from the start of the processes to the first traffic."""
FAULT_FREE_MS = 9_000
"""Time without faults at the end, in which the system must recover."""
EVACUATED_MS = 3_000
"""Time in addition with evacuations, the last of which ends after all faults."""
RECOVERY_SAMPLE_MS = 3_000
"""Length of the period whose requests show whether the system recovered.

It ends one caller deadline before the end of the run.
"""
DRAIN_MS = 2_000
"""Time after an acknowledged drain in which new flows may still arrive."""
SETTLE_MS = 4_000
"""Time after the last unplanned fault is injected in which resets of open flows are
not counted as violations."""
RESTART_MS = 200
CALLER_PORT = 20_172
SERVICES = ("desk", "intake")
ROUTES = (
    ("198.18.0.1", 443, "desk", "safe"),
    ("198.18.0.1", 444, "desk", "unsafe"),
    ("198.18.0.2", 443, "intake", "upload"),
)
SPARE_ROUTE = ("198.18.0.3", 443, "desk", "safe")
"""Route that changes of the configuration add and remove."""


class Soak:
    """Run of one seed: processes, traffic, faults and the violations found."""

    def __init__(
        self,
        seed: int,
        seconds: int,
        balancers: int,
        sides: int,
        drills: int = 0,
        evacuations: int = 0,
        writers: int = 0,
        strains: int = 0,
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.drills = Drills(self, drills)
        self.evacuations = Evacuations(self, evacuations)
        self.strains = Strains(self, strains)
        self.seconds = seconds
        # Every third seed injects planned operations only, so that
        # check_planned_operations applies.
        self.planned_only = seed % 3 == 0
        self.loop = EventLoop(SystemClock(), Timers())
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.network = f"127.{20 + seed % 200}"
        self.store = StoreStandIn(f"{self.network}.0.1", 20_169)
        self.store_link = StoreLink(
            self.loop, (f"{self.network}.0.1", 20_168), (f"{self.network}.0.1", 20_169)
        )
        self.writers = OddWriter(self, writers)
        self.newest = Newest(self)
        self.checks_newest = writers + strains > 0
        self.violations: list[str] = []
        self.requests: dict[bytes, Request] = {}
        self.run_counts: Counter[bytes] = Counter()
        self.fault_log: list[str] = []
        self.incarnations = 0
        self.version = 1
        self.is_over = False
        self.has_spare_route = False
        self.spare_removed = 0
        self.last_unplanned_at = 0
        self.drain_ms = DRAIN_MS
        self.started_at = self.loop.clock.now()
        self.write_configuration()
        self.start_system(balancers, sides)

    def start_system(self, balancers: int, sides: int) -> None:
        """Start the processes, the upstreams, the fabric and the callers."""
        self.proxy = PeerProxy(self.loop, 20_720, self.rng)
        zone_of = self.evacuations.zone_of
        balancer_vms = [
            self.make_vm("balancer", n, "", zone_of(n, 1)) for n in range(balancers)
        ]
        side_vms = [
            self.make_vm("side", balancers + n, SERVICES[n % 3 == 2], zone_of(n, 3))
            for n in range(sides)
        ]
        seed_hosts = [vm.host for vm in balancer_vms[:3]]
        self.processes = [
            ManagedProcess(
                vm,
                vm.control[0],
                (f"{self.network}.0.1", 20_168),
                self.proxy.port,
                seed_hosts,
                self.folder,
                IN_FORCE_MS if self.evacuations.count else 0,
            )
            for vm in [*balancer_vms, *side_vms]
        ]
        for process in self.processes:
            process.has_metrics = self.checks_newest
            self.proxy.add(process.vm.host, process.bind)
            process.start()
        self.upstreams = [
            UpstreamStandIn(self.loop, self, side_vm) for side_vm in side_vms
        ]
        self.fabric = Fabric(self.loop, balancer_vms)
        self.callers = [
            CallerStandIn(
                self.loop,
                self,
                f"{self.network}.3.{n + 1}",
                CALLER_PORT,
                self.fabric.send,
            )
            for n in range(6)
        ]

    def make_vm(self, role: str, number: int, service: str, zone: str) -> Vm:
        """Return name, role, zone and addresses of one VM."""
        bind, host = f"{self.network}.2.{number + 1}", f"{self.network}.1.{number + 1}"
        is_side = role == "side"
        return Vm(
            f"{role}-{number}",
            role,
            host,
            service,
            zone,
            (bind, CALLER_PORT),
            ("" if is_side else bind, 0 if is_side else 20_167),
            (bind, 20_166),
            (bind, 20_165) if is_side else ("", 0),
            (bind, 20_162) if is_side else ("", 0),
        )

    # Called by upstreams and callers

    def pick_route(self, rng: random.Random) -> tuple[bytes, str, bool]:
        """Return address and service of a random route, and whether it is safe."""
        host, port, service, kind = rng.choice(ROUTES)
        return endpoint(host, port), service, kind == "safe"

    def clock_offset_ms(self) -> int:
        """Return the clock error of a new upstream incarnation."""
        return self.rng.choice((0, 0, 0, -5_000, 5_000))

    def make_heartbeat(self, upstream: UpstreamStandIn, state: str) -> bytes:
        """Return the body of an upstream's heartbeat."""
        values = {
            "Service": upstream.service,
            "Address": format_address(upstream.vm.upstream),
            "Zone": upstream.vm.zone,
            "Version": "v1",
            "Slots": 4,
            "State": state,
            "ColdLeftMs": self.evacuations.cold_ms(upstream.vm.zone),
            "Sequence": upstream.sequence,
            "born": upstream.born,
        }
        return json.dumps(values).encode()

    def check_opening(self, upstream: UpstreamStandIn, route: bytes) -> None:
        """Check that an upstream may receive the opening packet of a flow."""
        now = self.loop.clock.now()
        # The spare route is accepted whether or not the configuration has it now.
        allowed = {endpoint(h, p): s for h, p, s, _ in (*ROUTES, SPARE_ROUTE)}
        if allowed.get(route) != upstream.service:
            self.add_violation("wrong service", f"{upstream.id} of {upstream.service}")
        is_late = upstream.drain_acked_at and now - upstream.drain_acked_at > DRAIN_MS
        if upstream.is_draining and is_late:
            self.add_violation("work for a leaving upstream", upstream.id)

    def check_run(self, upstream: UpstreamStandIn, request_id: bytes) -> None:
        """Check that a caller sent a request to this service and that it runs once."""
        self.run_counts[request_id] += 1
        request = self.requests.get(request_id)
        if request is None or request.service != upstream.service:
            self.add_violation("unasked", f"{request_id!r} at {upstream.id}")
        elif self.run_counts[request_id] > 1:
            self.add_violation("ran twice", f"{request_id!r} at {upstream.id}")

    def check_reset(self, flow: bytes, ack: int) -> None:
        """Report a reset of an open flow that a running upstream still has.

        That upstream is the one whose number the caller acknowledges; others may have
        accepted copies of the opening packet. A reset is accepted if it is draining, if
        the flow has ended, or soon after an unplanned fault.
        """
        now = self.loop.clock.now()
        holders = [
            upstream
            for upstream in self.upstreams
            if upstream.has_opened(flow, ack) and not upstream.is_draining
        ]
        has_settled = now - self.last_unplanned_at > SETTLE_MS
        if holders and has_settled and not holders[0].flows[flow].get("ended"):
            self.add_violation(
                "open flow reset", f"{flow_name(flow)} at {holders[0].id}"
            )

    def add_violation(self, kind: str, detail: str) -> None:
        """Record a violated guarantee."""
        at = (self.loop.clock.now() - self.started_at) / 1000
        self.violations.append(f"{at:.3f} s {kind}: {detail}")

    def log_fault(self, text: str) -> None:
        """Add a line to the log of faults."""
        at = (self.loop.clock.now() - self.started_at) / 1000
        self.fault_log.append(f"{at:.3f} s {text}")

    # Called by faults

    def restore_store(self) -> None:
        """End the faults of the store and of the connections to it."""
        self.store.fault.mode = "up"
        self.store_link.set_mode("up")

    def write_configuration(self) -> None:
        """Store the configuration with all routes, as an operator does."""
        routes = [*ROUTES, *([SPARE_ROUTE] if self.has_spare_route else [])]
        spec = {
            "Version": self.version,
            "Routes": [
                {
                    "Name": f"r{n}",
                    "Host": host,
                    "PathPrefix": f"/{port}/",
                    "Type": kind,
                    "TimeoutMs": 2_500,
                    "TargetLatencyMs": 200,
                    "Priority": n % 3,
                    "Service": service,
                }
                for n, (host, port, service, kind) in enumerate(routes)
            ],
            "Limits": {"IdleTimeoutMs": 15_000},
        }
        self.store.put("config", "main", spec)

    def change_configuration(self) -> None:
        """Store the next version, which adds or removes the spare route."""
        self.version += self.rng.randint(1, 3)
        self.has_spare_route = not self.has_spare_route
        self.write_configuration()

    # Running

    def run(self) -> None:
        """Run the seed and check the results."""
        end = WARM_UP_MS + self.seconds * 1_000
        stop = end + FAULT_FREE_MS + EVACUATED_MS * (self.evacuations.count > 0)
        self.loop.call_later(WARM_UP_MS, lambda now: self.start_flows())
        self.loop.call_later(WARM_UP_MS + 500, lambda now: self.inject_faults())
        self.loop.call_later(end, lambda now: self.end_faults())
        self.loop.call_later(stop, lambda now: self.stop())
        self.drills.schedule(WARM_UP_MS, self.seconds * 1_000)
        self.evacuations.schedule(WARM_UP_MS, end)
        self.writers.schedule(WARM_UP_MS, self.seconds * 1_000)
        self.strains.schedule(WARM_UP_MS, self.seconds * 1_000)
        if self.checks_newest:
            self.newest.schedule(end)
        self.restart_processes()
        try:
            self.loop.run()
            self.check_results()
        finally:
            self.stop_system()

    def start_flows(self) -> None:
        """Start a flow, and the next one after a random pause, until the run ends."""
        if not self.is_over:
            caller = self.rng.choice(self.callers)
            caller.open_flow(keeps_open=self.rng.random() < 0.3)
            self.loop.call_later(
                self.rng.randint(5, 25), lambda now: self.start_flows()
            )

    def inject_faults(self) -> None:
        """Inject a fault, and the next one after a pause that may be zero."""
        now = self.loop.clock.now()
        if now - self.started_at >= WARM_UP_MS + self.seconds * 1_000:
            return
        name = draw_fault(self.rng, self.planned_only)
        if name not in PLANNED:
            self.last_unplanned_at = now
        self.log_fault(f"{name}: {faults.get(name)(self)}")
        pause = self.rng.choice((0, 100, 700, 1_500))
        self.loop.call_later(pause, lambda now: self.inject_faults())

    def end_faults(self) -> None:
        """End all faults."""
        self.restore_store()
        self.proxy.heal()
        for process in self.processes:
            process.signal(18)  # SIGCONT

    def restart_processes(self) -> None:
        """Restart processes that ended, and report those that no signal asked to."""
        for process in self.processes:
            status = process.poll()
            if status is not None and process.should_restart:
                if error := process.end_error(status):
                    self.add_violation("process ended by itself", error)
                self.loop.call_later(RESTART_MS, lambda now, p=process: p.start())
        self.loop.call_later(50, lambda now: self.restart_processes())

    def stop(self) -> None:
        """Stop the traffic and the loop."""
        self.is_over = True
        self.loop.stop()

    def check_results(self) -> None:
        """Check the recovery, and the answers if all operations were planned."""
        now = self.loop.clock.now()
        # The sample ends 2,500 ms (DEADLINE_MS) before now, so that each of its
        # requests has reached its deadline.
        sampled = [
            r
            for r in self.requests.values()
            if now - RECOVERY_SAMPLE_MS - 2_500 < r.started_at < now - 2_500
        ]
        served = sum(request.outcome == "served" for request in sampled)
        if not sampled or served < 0.9 * len(sampled):
            self.add_violation(
                "no recovery", f"{served} of {len(sampled)} served at the end"
            )
        self.evacuations.check_use()
        if self.planned_only:
            self.check_planned_operations()

    def stop_system(self) -> None:
        """Stop all processes and the store."""
        for process in self.processes:
            process.shut_down()
        self.store_link.close()
        self.store.close()

    def check_planned_operations(self) -> None:
        """Check that at most 1 % of requests lack an answer under planned operations.

        Resets are checked when they arrive: a reset is correct if the upstream of
        the flow has left, and a violation if that upstream still runs.
        """
        unanswered = [
            r for r in self.requests.values() if r.outcome in ("late", "no answer")
        ]
        if len(unanswered) > 0.01 * len(self.requests):
            text = f"{len(unanswered)} of {len(self.requests)}"
            self.add_violation("planned work cuts", text)

    def remove_logs(self) -> None:
        """Remove the logs of a run without violations."""
        if not self.violations:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_seed(seed: int, **options: int) -> int:
    """Run one seed, print the results, and return the number of violations."""
    soak = Soak(seed, **options)
    soak.run()
    outcomes = Counter(request.outcome or "open" for request in soak.requests.values())
    print(f"seed {seed}: {dict(outcomes)}, {len(soak.fault_log)} faults, ", end="")
    print(f"{len(soak.violations)} violations", flush=True)
    if soak.violations:
        for text in [*soak.fault_log, "violations:", *soak.violations[:20]]:
            print(f"  {text}")
        print(f"  logs in {soak.folder}", flush=True)
    soak.remove_logs()
    return len(soak.violations)


def regression_seeds() -> dict[int, dict[str, int]]:
    """Return the seeds in `regressions.txt`, which failed in earlier runs.

    Options may follow the seed, such as `7 writers=9`.
    """
    text = (Path(__file__).parent / "regressions.txt").read_text()
    lines = [line.split("|")[0].split() for line in text.splitlines()]
    return {
        int(line[0]): {name: int(n) for name, n in (o.split("=") for o in line[1:])}
        for line in lines
        if line and line[0] != "#"
    }


def run(
    *,
    seconds: int = 20,
    seed: int = 1,
    seeds: str = "",
    balancers: int = 3,
    sides: int = 6,
    drills: int = 0,
    evacuations: int = 0,
    writers: int = 0,
    strains: int = 0,
    regressions: bool = False,
) -> None:
    """Run the soak test.

    Parameters
    ----------
    seconds : int
        Duration of the phase with faults, for each seed.
    seed : int
        Seed to run.
    seeds : str
        Range of seeds to run instead of one, such as 1..50.
    balancers : int
        Number of balancers.
    sides : int
        Number of side processes, each with an upstream.
    drills : int
        Number of times that the store comes back from an older copy.
    evacuations : int
        Number of times that one of two zones is evacuated.
    writers : int
        Number of odd entries, heartbeats and datagrams of another writer.
    strains : int
        Number of times that a process is put under strain.
    regressions : bool
        Run the seeds that failed in earlier runs.
    """
    first, _, last = seeds.partition("..")
    numbers = range(int(first), int(last) + 1) if seeds else [seed]
    chosen: dict[int, dict[str, int]] = {number: {} for number in numbers}
    if regressions:
        chosen = regression_seeds()
    common = {
        "seconds": seconds,
        "balancers": balancers,
        "sides": sides,
        "drills": drills,
        "evacuations": evacuations,
        "writers": writers,
        "strains": strains,
    }
    failed = [s for s, own in chosen.items() if run_seed(s, **{**common, **own})]
    print(f"{len(chosen) - len(failed)} passed, {len(failed)} failed")
    if failed:
        print(f"failed seeds: {failed}")
        sys.exit(1)


if __name__ == "__main__":
    defopt.run(run)
