"""Heartbeats of another writer with a field of another type."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.backends import Backend, post  # noqa: E402
from review.clients import Clients, Router  # noqa: E402
from review.loop import Loop  # noqa: E402
from review.packets import endpoint  # noqa: E402
from review.system import (  # noqa: E402
    HEARTBEAT_MS,
    CaseError,
    Record,
    System,
    configuration,
    route,
    run_case,
)

TARGET = endpoint("198.18.0.1", 443)
FLOWS_PER_S = 30
CALM_S = 4.0
TROUBLED_S = 12.0
MAX_ENDS = 3
"""Ends of the processes of a machine in a day that are a fault."""


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop, system = Loop(), System()
    try:
        for _ in range(3):
            system.add("balancer", "bole")
        sides = [system.add("side", "bole", "huvo11a") for _ in range(3)]
        routes = [route("claims", "198.18.0.1", 443, "huvo11a")]
        system.store.put("config", "main", configuration(3, routes, []))
        system.start_all()
        backends = [
            Backend(loop, machine, f"i-{number}", note=record.note)
            for number, machine in enumerate(sides)
        ]
        router = Router(loop, system)
        client = Clients(loop, system, router, record, 0, "bole")
        loop.run_for(4)

        def supervise() -> None:
            system.supervise()
            loop.later(0.05, supervise)

        def open_flow() -> None:
            client.open(TARGET)
            loop.later(1 / FLOWS_PER_S, open_flow)

        supervise()
        open_flow()
        loop.run_for(CALM_S)
        if not all(backend.runs for backend in backends):
            raise CaseError("a backend gets no flows")
        is_over = threading.Event()
        began = time.monotonic()
        if has_trouble:
            for backend in backends[:2]:
                arguments = (backend, record, is_over)
                threading.Thread(
                    target=send_foreign, args=arguments, daemon=True
                ).start()
        loop.run_for(TROUBLED_S)
        is_over.set()
        ended = 0
        for machine in system.machines:
            at = [f"{end - record.started:.1f} s: {code}" for end, code in machine.ends]
            record.say(machine.name, "ended by itself", len(at), "times", at)
            ended += len(at) >= MAX_ENDS
        flows = [
            flow
            for flow in client.flows.values()
            if began <= flow.began < time.monotonic() - 2
        ]
        answered = sum(bool(flow.requests and flow.requests[0][2]) for flow in flows)
        record.say(f"{answered} of {len(flows)} requests were answered meanwhile")
        return ended < max(2, len(system.machines) / 10)
    finally:
        system.stop()


def send_foreign(backend: Backend, record: Record, is_over: threading.Event) -> None:
    """Send heartbeats whose `ColdLeftMs` is no whole number, as another writer."""
    sequence = 0
    while not is_over.is_set():
        sequence += 1
        values = {
            "Service": backend.machine.service,
            "Address": "{}:{}".format(*backend.machine.app),
            "Zone": backend.machine.zone,
            "Version": "v2",
            "Slots": 2,
            "State": "ready",
            "ColdLeftMs": 1e300,
            "Sequence": sequence,
            "born": int(time.time() * 1000),
        }
        path = f"/fuchsiapin/instances/other-{sequence}/heartbeat"
        status = post(backend.machine.control, path, values)
        record.note(f"a foreign heartbeat beside {backend.name}:", values, "->", status)
        is_over.wait(HEARTBEAT_MS / 1000)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
