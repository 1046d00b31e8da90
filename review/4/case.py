"""A configuration that has grown by many routes, and then drops one."""

import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.backends import Backend  # noqa: E402
from review.clients import Clients, Router  # noqa: E402
from review.loop import Loop  # noqa: E402
from review.packets import endpoint, endpoint_text  # noqa: E402
from review.system import (  # noqa: E402
    CaseError,
    Record,
    System,
    configuration,
    route,
    run_case,
)

KEPT = ("198.18.0.1", 443)
DROPPED = ("198.18.0.2", 443)
ADDED = ("198.18.0.3", 443)
IDLE_ROUTES = 40
GROWTH = 1_476
"""Routes of the largest `big_config` of the site files."""
STEPS = 3
STEP_S = 6.0
VALUE_BYTES = 1_048_576
"""`ValueBytes` of the store."""
MARGIN_S = 0.5
TRIALS = 5


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop, system = Loop(), System()
    rng = random.Random(1)
    try:
        for zone in ("bole", "bole", "bole", "arada", "arada", "kirkos"):
            system.add("balancer", zone)
        for zone in ("bole", "arada", "kirkos"):
            system.add("side", zone, "huvo11a")
        kept = [route("kept", *KEPT, "huvo11a")]
        dropped = route("dropped", *DROPPED, "huvo11a")
        idle = [idle_route(rng) for _ in range(IDLE_ROUTES)]
        version = 3
        write(system, record, version, [*kept, dropped, *idle])
        system.start_all()
        backends = [
            Backend(loop, machine, f"i-{number}", note=record.note)
            for number, machine in enumerate(system.of_role("side"))
        ]
        router = Router(loop, system)
        client = Clients(loop, system, router, record)
        loop.run_for(5)
        for node in system.of_role("balancer"):
            client.open(endpoint(*DROPPED), node)
        loop.run_for(2)
        if any(not flow.requests for flow in client.flows.values()):
            raise CaseError("a node doesn't serve")
        for _ in range(STEPS):
            idle += [idle_route(rng) for _ in range(GROWTH if has_trouble else 10)]
            version += 3
            write(system, record, version, [*kept, dropped, *idle])
            loop.run_for(STEP_S)
        version += 2
        added = route("added", *ADDED, "huvo11a")
        write(system, record, version, [*kept, added, *idle])
        acknowledged = time.monotonic()
        record.say("the store acknowledged the version that drops a route")
        bound_s = system.bounds["ConfigApplyMs"] / 1000
        loop.run_for(bound_s + MARGIN_S)
        trials = []
        for _ in range(TRIALS):
            for node in system.of_role("balancer"):
                if node in router.in_rotation():
                    for kind, target in (("dropped", DROPPED), ("added", ADDED)):
                        trials.append(
                            (kind, node, client.open(endpoint(*target), node))
                        )
            loop.run_for(1)
        loop.run_for(2)
        taken = {key for each in backends for _, key, _ in each.openings}
        broken = 0
        for kind, node, flow in trials:
            after_s = flow.began - acknowledged
            was_run = any(key == flow.key for b in backends for _, key, _ in b.runs)
            result = "run" if was_run else flow.outcome or "open"
            record.say(
                f"{after_s:.1f} s after it, {kind} route through {node.name}:",
                endpoint_text(flow.key[6:]),
                result,
            )
            broken += kind == "dropped" and flow.key in taken and was_run
        record.say(f"{broken} requests ran with the dropped route after the bound")
        ends = [machine.name for machine in system.machines if machine.ends]
        record.say("processes that ended:", ends)
        return not broken
    finally:
        system.stop()


def idle_route(rng: random.Random) -> dict:
    """Return a route that sees no traffic."""
    host = f"198.19.{rng.randrange(256)}.{rng.randrange(1, 255)}"
    kind = rng.choice(("safe", "unsafe", "upload"))
    name = f"r-{rng.getrandbits(32):08x}"
    own = {
        "TimeoutMs": rng.randrange(1_000, 9_000),
        "TargetLatencyMs": rng.randrange(100, 900),
        "Priority": rng.randrange(3),
    }
    return route(name, host, rng.randrange(1_024, 65_000), "huvo11a", kind) | own


def write(system: System, record: Record, version: int, routes: list[dict]) -> None:
    """Write a configuration as the operator."""
    size = system.store.put("config", "main", configuration(version, routes, []))
    record.say(f"version {version}: {len(routes)} routes, {size} bytes")
    if size > VALUE_BYTES:
        raise CaseError("the configuration is larger than the store accepts")


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
