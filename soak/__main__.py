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
from soak.ends import CallerEnd, Request, UpstreamEnd  # noqa: E402
from soak.fabric import Fabric, PeerProxy  # noqa: E402
from soak.faults import PLANNED, draw_fault, faults  # noqa: E402
from soak.processes import Place, Program  # noqa: E402
from soak.store import StoreStandIn  # noqa: E402
from soak.storelink import StoreLink  # noqa: E402

WARM_MS = 3_000
"""Time from the start of the processes to the first traffic."""
CALM_MS = 9_000
"""Time without faults at the end, in which the system must recover."""
JUDGED_MS = 3_000
"""Length of the period at the end whose requests show whether it recovered."""
DRAIN_MS = 2_000
"""Time after an acknowledged drain in which new flows may still arrive."""
SETTLE_MS = 4_000
"""Resets of open flows count as violations only this long after the last unplanned
fault."""
CONFIGURED_MS = 3_000
RESTART_MS = 200
CALLER_PORT = 20_172
SERVICES = ("desk", "intake")
ROUTES = (
    ("198.18.0.1", 443, "desk", "safe"),
    ("198.18.0.1", 444, "desk", "unsafe"),
    ("198.18.0.2", 443, "intake", "upload"),
)
SPARE = ("198.18.0.3", 443, "desk", "safe")
"""Route that changes of the configuration add and remove."""


class Soak:
    """Run of one seed: processes, traffic, faults and the violations found."""

    def __init__(self, seed: int, seconds: int, balancers: int, sides: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.planned_only = seed % 3 == 0
        self.loop = EventLoop(SystemClock(), Timers())
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.net = f"127.{20 + seed % 200}"
        self.store = StoreStandIn(f"{self.net}.0.1", 20_169)
        self.link = StoreLink(
            self.loop, (f"{self.net}.0.1", 20_168), (f"{self.net}.0.1", 20_169)
        )
        self.violations: list[str] = []
        self.requests: dict[bytes, Request] = {}
        self.runs: Counter[bytes] = Counter()
        self.log: list[str] = []
        self.incarnations = 0
        self.version = 1
        self.is_over = False
        self.has_spare = False
        self.spare_removed = 0
        self.last_unplanned = 0
        self.drain_ms = DRAIN_MS
        self.began = self.loop.clock.now()
        self.write_configuration()
        self.build(balancers, sides)

    def build(self, balancers: int, sides: int) -> None:
        """Start the processes, the upstreams, the fabric and the callers."""
        self.proxy = PeerProxy(self.loop, 20_720, self.rng)
        places = [self.place("balancer", n, "") for n in range(balancers)]
        side_places = [
            self.place("side", balancers + n, SERVICES[n % 3 == 2])
            for n in range(sides)
        ]
        seeds = [place.host for place in places[:3]]
        self.programs = [
            Program(
                place,
                place.control[0],
                (f"{self.net}.0.1", 20_168),
                self.proxy.port,
                seeds,
                self.folder,
            )
            for place in [*places, *side_places]
        ]
        for program in self.programs:
            self.proxy.add(program.place.host, program.bind)
            program.start()
        self.upstreams = [UpstreamEnd(self.loop, self, p) for p in side_places]
        self.fabric = Fabric(self.loop, places)
        self.callers = [
            CallerEnd(
                self.loop, self, f"{self.net}.3.{n + 1}", CALLER_PORT, self.fabric.send
            )
            for n in range(6)
        ]

    def place(self, role: str, number: int, service: str) -> Place:
        """Return name, role and addresses of one VM."""
        bind, host = f"{self.net}.2.{number + 1}", f"{self.net}.1.{number + 1}"
        is_side = role == "side"
        return Place(
            f"{role}-{number}",
            role,
            host,
            service,
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

    def clock_jump_ms(self) -> int:
        """Return the clock error of a new upstream incarnation."""
        return self.rng.choice((0, 0, 0, -5_000, 5_000))

    def heartbeat(self, upstream: UpstreamEnd, state: str) -> bytes:
        """Return the body of an upstream's heartbeat."""
        values = {
            "Service": upstream.service,
            "Address": "",
            "Zone": "z",
            "Version": "v1",
            "Slots": 4,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": upstream.sequence,
            "born": upstream.born,
        }
        return json.dumps(values).encode()

    def saw_opening(self, upstream: UpstreamEnd, route: bytes) -> None:
        """Check that an upstream may receive the opening packet of a flow."""
        now = self.loop.clock.now()
        allowed = {endpoint(h, p): s for h, p, s, _ in (*ROUTES, SPARE)}
        if allowed.get(route) != upstream.service:
            self.violate("wrong service", f"{upstream.id} of {upstream.service}")
        late = upstream.drain_acked and now - upstream.drain_acked > DRAIN_MS
        if upstream.is_draining and late:
            self.violate("work for a leaving upstream", upstream.id)

    def ran(self, upstream: UpstreamEnd, name: bytes) -> None:
        """Check that a caller sent a request to this service and that it runs once."""
        self.runs[name] += 1
        request = self.requests.get(name)
        if request is None or request.service != upstream.service:
            self.violate("unasked", f"{name!r} at {upstream.id}")
        elif self.runs[name] > 1:
            self.violate("ran twice", f"{name!r} at {upstream.id}")

    def saw_reset(self, flow: bytes) -> None:
        """Check that the upstream of an open flow that was reset is gone."""
        now = self.loop.clock.now()
        holds = [u for u in self.upstreams if flow in u.flows and not u.is_draining]
        is_calm = now - self.last_unplanned > SETTLE_MS
        if holds and is_calm and not holds[0].flows[flow].get("ended"):
            self.violate("open flow reset", f"{flow_name(flow)} at {holds[0].id}")

    def violate(self, kind: str, detail: str) -> None:
        """Record a violated guarantee."""
        at = (self.loop.clock.now() - self.began) / 1000
        self.violations.append(f"{at:.3f} s {kind}: {detail}")

    # Called by faults

    def calm_store(self) -> None:
        """End the faults of the store and of the connections to it."""
        self.store.trouble.mode = "up"
        self.link.set_mode("up")

    def write_configuration(self) -> None:
        """Store the configuration with all routes, as an operator does."""
        routes = [*ROUTES, *([SPARE] if self.has_spare else [])]
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
        self.has_spare = not self.has_spare
        self.write_configuration()

    # Running

    def play(self) -> None:
        """Run the seed and check the results."""
        end = WARM_MS + self.seconds * 1_000
        self.loop.call_later(WARM_MS, lambda now: self.traffic())
        self.loop.call_later(WARM_MS + 500, lambda now: self.trouble())
        self.loop.call_later(end, lambda now: self.calm())
        self.loop.call_later(end + CALM_MS, lambda now: self.finish())
        self.watch_programs()
        try:
            self.loop.run()
            self.judge()
        finally:
            self.end_all()

    def traffic(self) -> None:
        """Start a flow, and the next one after a random pause, until the run ends."""
        if not self.is_over:
            caller = self.rng.choice(self.callers)
            caller.start(keeps_open=self.rng.random() < 0.3)
            self.loop.call_later(self.rng.randint(5, 25), lambda now: self.traffic())

    def trouble(self) -> None:
        """Inject a fault, and the next one after a pause that may be zero."""
        now = self.loop.clock.now()
        if now - self.began >= WARM_MS + self.seconds * 1_000:
            return
        name = draw_fault(self.rng, self.planned_only)
        if name not in PLANNED:
            self.last_unplanned = now
        detail = faults.get(name)(self)
        self.log.append(f"{(now - self.began) / 1000:.3f} s {name}: {detail}")
        pause = self.rng.choice((0, 100, 700, 1_500))
        self.loop.call_later(pause, lambda now: self.trouble())

    def calm(self) -> None:
        """End all faults."""
        self.calm_store()
        self.proxy.heal()
        for program in self.programs:
            program.signal(18)

    def watch_programs(self) -> None:
        """Restart processes that ended, and report those with a failure status."""
        for program in self.programs:
            status = program.look()
            if status is not None and program.wants_run:
                if status > 0:
                    self.violate("process failed", f"{program.place.name}: {status}")
                self.loop.call_later(RESTART_MS, lambda now, p=program: p.start())
        self.loop.call_later(50, lambda now: self.watch_programs())

    def finish(self) -> None:
        """Stop the traffic and the loop."""
        self.is_over = True
        self.loop.stop()

    def judge(self) -> None:
        """Check the recovery, and the answers if only planned work was done."""
        now = self.loop.clock.now()
        judged = [
            r
            for r in self.requests.values()
            if now - JUDGED_MS - 2_500 < r.began < now - 2_500
        ]
        served = sum(request.outcome == "served" for request in judged)
        if not judged or served < 0.9 * len(judged):
            self.violate("no recovery", f"{served} of {len(judged)} served at the end")
        if self.planned_only:
            self.judge_planned()

    def end_all(self) -> None:
        """Stop all processes and the store."""
        for program in self.programs:
            program.end()
        self.link.close()
        self.store.close()

    def judge_planned(self) -> None:
        """Check that at most 1 % of requests lack an answer under planned work.

        Resets are checked when they arrive: a reset is correct if the upstream of
        the flow has left, and a violation if that upstream still runs.
        """
        silent = [
            r for r in self.requests.values() if r.outcome in ("late", "no answer")
        ]
        if len(silent) > 0.01 * len(self.requests):
            text = f"{len(silent)} of {len(self.requests)}"
            self.violate("planned work cuts", text)

    def close(self) -> None:
        """Remove the logs of a run without violations."""
        if not self.violations:
            shutil.rmtree(self.folder, ignore_errors=True)


def play_seed(seed: int, seconds: int, balancers: int, sides: int) -> int:
    """Run one seed, print the results, and return the number of violations."""
    soak = Soak(seed, seconds, balancers, sides)
    soak.play()
    outcomes = Counter(request.outcome or "open" for request in soak.requests.values())
    print(f"seed {seed}: {dict(outcomes)}, {len(soak.log)} faults, ", end="")
    print(f"{len(soak.violations)} broken", flush=True)
    if soak.violations:
        for text in [*soak.log, "broken:", *soak.violations[:20]]:
            print(f"  {text}")
        print(f"  logs in {soak.folder}", flush=True)
    soak.close()
    return len(soak.violations)


def failed_once() -> list[int]:
    """Return the seeds listed in `regressions.txt`, which failed in earlier runs."""
    text = (Path(__file__).parent / "regressions.txt").read_text()
    return [
        int(line.split("|")[0])
        for line in text.splitlines()
        if line.strip() and not line.startswith("#")
    ]


def run(
    *,
    seconds: int = 20,
    seed: int = 1,
    seeds: str = "",
    balancers: int = 3,
    sides: int = 6,
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
    regressions : bool
        Run the seeds that failed in earlier runs.
    """
    first, _, last = seeds.partition("..")
    chosen = list(range(int(first), int(last) + 1)) if seeds else [seed]
    if regressions:
        chosen = failed_once()
    broken = [s for s in chosen if play_seed(s, seconds, balancers, sides)]
    print(f"{len(chosen) - len(broken)} passed, {len(broken)} failed")
    if broken:
        print(f"broken seeds: {broken}")
        sys.exit(1)


if __name__ == "__main__":
    defopt.run(run)
