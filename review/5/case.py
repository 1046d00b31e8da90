"""A backend crashes while searches for the holders of flows pass beside it."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.backends import Backend  # noqa: E402
from review.clients import ClientFlow, Clients, Router  # noqa: E402
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

TARGET = endpoint("198.18.0.1", 443)
BACKENDS = 6
OPEN_FLOWS = 150
PAUSE_S = 0.3
"""Pause between two requests on a flow."""
GAP_S = 1.2
"""Pause between the stops of two side processes, as in the site files."""
CALM_S = 7.0
"""Time after the last of these stops; the process stops within 2 s, and its machine is
in touch `StableWindowMs` later."""
CRASH_AFTER_S = 0.5
WATCH_S = 8.0
REORDER_S = 2.0
"""`ReorderMs`."""


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop, system = Loop(), System()
    try:
        nodes = [system.add("balancer", "bole") for _ in range(3)]
        sides = [system.add("side", "bole", "huvo11a") for _ in range(BACKENDS)]
        routes = [route("board", "198.18.0.1", 443, "huvo11a", "safe")]
        system.store.put("config", "main", configuration(3, routes, []))
        system.start_all()
        backends = [
            Backend(loop, machine, f"i-{number}", work_s=0.01, note=record.note)
            for number, machine in enumerate(sides)
        ]
        router = Router(loop, system)
        client = Clients(loop, system, router, record, 0, "bole", lambda flow: PAUSE_S)
        loop.run_for(4)

        def supervise() -> None:
            system.supervise()
            loop.later(0.05, supervise)

        supervise()
        for number in range(OPEN_FLOWS):
            loop.later(number * 0.015, lambda: client.open(TARGET))
        loop.run_for(4)
        for machine in sides:
            record.say(machine.name, "is stopped as planned, and starts again")
            machine.signal(signal.SIGTERM)
            loop.run_for(GAP_S)
        loop.run_for(CALM_S)
        flows = list(client.flows.values())
        in_use = [flow for flow in flows if flow.opened and not flow.outcome]
        record.say(f"{len(in_use)} of {len(flows)} flows are open")
        if len(in_use) < OPEN_FLOWS * 0.9:
            raise CaseError("too few flows are open")
        judged_from = time.monotonic()
        nodes[1].signal(signal.SIGTERM)
        record.say(nodes[1].name, "is stopped as planned, and starts again")
        loop.run_for(CRASH_AFTER_S)
        if has_trouble:
            backends[0].crash()
            record.say(backends[0].name, "crashes, for good")
        loop.run_for(WATCH_S)
        broken = 0
        for flow in flows:
            holder = next((b for b in backends if flow.key in b.flows), None)
            if holder is None or holder.is_over or flow not in in_use:
                continue
            span = longest_miss(flow, holder, backends, router, judged_from, nodes[1])
            if span is not None:
                broken += 1
                record.say(
                    f"{endpoint_text(flow.key[6:])}, open at {holder.name}, which",
                    f"lives: {span}; {flow.outcome or 'in use'}",
                )
        living = [b for b in backends if not b.is_over]
        late = sum(
            flow.outcome == "late" and any(flow.key in b.flows for b in living)
            for flow in in_use
        )
        record.say(f"{late} requests to living backends weren't answered in time")
        record.say(f"{broken} flows of living backends missed them")
        return not broken
    finally:
        system.stop()


def longest_miss(
    flow: ClientFlow,
    holder: Backend,
    backends: list[Backend],
    router: Router,
    since: float,
    restarted: object,
) -> str | None:
    """Return how the packets of a flow missed its backend, None if they didn't.

    They did if for `ReorderMs` three or more reached other backends, and none its own,
    with none taken by the node that was restarted.
    """
    window_s = REORDER_S
    own = [at for at, key, _ in holder.arrivals if key == flow.key]
    other = sorted(
        at
        for each in backends
        if each is not holder
        for at, key, _ in each.arrivals
        if key == flow.key and at >= since
    )
    for start in other:
        end = start + window_s
        if any(start <= at <= end for at in own):
            continue
        count = sum(start <= at <= end for at in other)
        nodes = {
            n for at, k, n in router.taken if k == flow.key and start - 0.1 < at <= end
        }
        if count >= 3 and restarted.name not in nodes:
            return f"{count} packets reached others in {window_s} s, none its own"
    return None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
