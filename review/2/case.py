"""A configuration that has grown by many routes drops one and adds another."""

import random
import signal
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
RETURNING = ("198.18.0.3", 443)
"""A route that was dropped while the configuration was small, and is added again."""
IDLE_ROUTES = 40
GROWTH = 1_476
"""Routes of the largest `big_config` of the site files."""
STEPS = 3
STEP_S = 6.0
VALUE_BYTES = 1_048_576
"""`ValueBytes` of the store."""
MARGIN_S = 0.5
TRIALS = 4
OPEN_FLOWS = 60
PAUSE_S = 0.5
"""Pause between two requests on a flow."""


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop, system = Loop(), System()
    rng = random.Random(1)
    try:
        for _ in range(6):
            system.add("balancer", "bole")
        for _ in range(3):
            system.add("side", "bole", "huvo11a")
        kept = [route("kept", *KEPT, "huvo11a")]
        dropped = route("dropped", *DROPPED, "huvo11a")
        returning = route("returning", *RETURNING, "huvo11a")
        idle = [idle_route(rng) for _ in range(IDLE_ROUTES)]
        version = 3
        write(system, record, version, [*kept, dropped, returning, *idle])
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
        version += 1
        write(system, record, version, [*kept, dropped, *idle])
        loop.run_for(STEP_S)
        for _ in range(STEPS):
            idle += [idle_route(rng) for _ in range(GROWTH if has_trouble else 10)]
            version += 3
            write(system, record, version, [*kept, dropped, *idle])
            loop.run_for(STEP_S)
        version += 2
        write(system, record, version, [*kept, returning, *idle])
        acknowledged = time.monotonic()
        record.say("the store acknowledged the version that drops a route")
        bound_s = system.bounds["ConfigApplyMs"] / 1000
        loop.run_for(bound_s + MARGIN_S)
        trials = []
        for _ in range(TRIALS):
            for node in system.of_role("balancer"):
                for kind, target in (("dropped", DROPPED), ("returning", RETURNING)):
                    trials.append((kind, node, client.open(endpoint(*target), node)))
            loop.run_for(1)
        loop.run_for(2)
        stale = set()
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
            if kind == "dropped" and was_run:
                broken += 1
                stale.add(node.name)
        record.say(f"{broken} requests ran with the dropped route after the bound")
        record.say("through", sorted(stale))
        resets = roll_one(loop, system, router, record, backends, stale)
        record.say(f"{resets} open flows of living backends were reset")
        ends = [machine.name for machine in system.machines if machine.ends]
        record.say("processes that ended:", ends)
        return not broken and not resets
    finally:
        system.stop()


def roll_one(
    loop: Loop,
    system: System,
    router: Router,
    record: Record,
    backends: list[Backend],
    stale: set[str],
) -> int:
    """Stop a node as planned that knows the newest routes, while flows are open.

    Returns
    -------
    int
        Open flows of the returning route that the system reset.
    """
    client = Clients(loop, system, router, record, 1, "bole", lambda flow: PAUSE_S)
    for number in range(OPEN_FLOWS):
        loop.later(number * 0.02, lambda: client.open(endpoint(*RETURNING)))
    loop.run_for(4)
    flows = [f for f in client.flows.values() if f.opened and not f.outcome]
    record.say(f"{len(flows)} of {OPEN_FLOWS} flows opened on the returning route")
    node = next(m for m in system.of_role("balancer") if m.name not in stale)
    record.say(f"{node.name} is stopped as planned")
    node.signal(signal.SIGTERM)
    loop.run_for(5)
    resets = 0
    for flow in flows:
        holder = next((b for b in backends if flow.key in b.flows), None)
        if holder is not None and any(who == "the system" for _, who in flow.resets):
            resets += 1
            record.say(
                f"{endpoint_text(flow.key[6:])}, open at {holder.name}, which lives,",
                "was reset by the system",
            )
    return resets


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
