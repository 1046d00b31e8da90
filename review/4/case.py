"""A balancer that was cut off while a route was moved to another service and back."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.backends import Backend  # noqa: E402
from review.clients import Clients, Router  # noqa: E402
from review.links import PeerLinks, StoreLink  # noqa: E402
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
OPEN_FLOWS = 40
PAUSE_S = 0.5
"""Pause between two requests on a flow."""
CUT_AT_S = 50.0
CUT_S = 8.0
"""Length of the cut; the longest `node_cut` of the site files takes 12 s."""
ROLL_AT_S = CUT_AT_S + CUT_S + 7.0
"""When the other balancer is restarted as planned, more than `StableWindowMs` later."""
END_S = ROLL_AT_S + 10.0


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop, system = Loop(), System(is_proxied=True)
    try:
        links = PeerLinks(loop, system.port)
        nodes = [system.add("balancer", "bole") for _ in range(3)]
        for service in ("huvo11a", "huvo11a", "kel93b", "kel93b"):
            system.add("side", "bole", service)
        for machine in system.machines:
            links.add(machine.ip, machine.bind)
        cut_off, rolled = nodes[0], nodes[1]
        cut_off.store = f"{system.network}.0.3", system.port + 23
        store_link = StoreLink(cut_off.store, system.store_address)
        store_link.is_cut = lambda: cut_off.ip in links.cut

        def write(version: int, service: str) -> None:
            routes = [route("board", "198.18.0.1", 443, service, "safe")]
            system.store.put("config", "main", configuration(version, routes, []))
            record.say(f"version {version}: the route goes to {service}")

        write(3, "huvo11a")
        system.start_all()
        backends = [
            Backend(loop, machine, f"i-{number}", note=record.note)
            for number, machine in enumerate(system.of_role("side"))
        ]
        router = Router(loop, system)
        client = Clients(loop, system, router, record, 0, "bole", lambda flow: PAUSE_S)

        def supervise() -> None:
            system.supervise()
            loop.later(0.05, supervise)

        def cut(is_cut: bool) -> None:
            links.cut = {cut_off.ip} if is_cut else set()
            router.cut = {cut_off.name} if is_cut else set()
            record.say(cut_off.name, "is cut off" if is_cut else "is back")

        def roll() -> None:
            record.say(rolled.name, "is stopped as planned, and starts again")
            rolled.signal(signal.SIGTERM)

        supervise()
        if has_trouble:
            loop.later(CUT_AT_S, lambda: cut(True))
            loop.later(CUT_AT_S + CUT_S, lambda: cut(False))
        loop.later(CUT_AT_S + 1, lambda: write(5, "kel93b"))
        for number in range(OPEN_FLOWS):
            at = CUT_AT_S + 3 + number * 0.05
            loop.later(at, lambda: client.open(TARGET))
        loop.later(CUT_AT_S + 6, lambda: write(8, "huvo11a"))
        loop.later(ROLL_AT_S, roll)
        loop.run_for(ROLL_AT_S)
        judged_from = time.monotonic()
        flows = list(client.flows.values())
        in_use = [flow for flow in flows if flow.opened and not flow.outcome]
        record.say(f"{len(in_use)} of {len(flows)} flows are open before the restart")
        if len(in_use) < OPEN_FLOWS / 2:
            raise CaseError("too few flows are open")
        loop.run_for(END_S - ROLL_AT_S)
        broken = 0
        for flow in flows:
            holder = next(
                each
                for each in backends
                if flow.key in each.flows and each.flows[flow.key].is_open
            )
            at = [at for at, sender in flow.resets if sender == "the system"]
            if at and at[0] >= judged_from:
                broken += 1
                record.say(
                    f"{endpoint_text(flow.key[6:])}, open at {holder.name} of",
                    f"{holder.machine.service}, which lives, was reset after",
                    f"{at[0] - flow.opened:.1f} s; a request waited for its answer:",
                    flow.request is not None,
                )
        record.say(f"{broken} open flows of living backends were reset")
        record.say("starts:", {m.name: len(m.starts) for m in system.machines})
        return not broken
    finally:
        system.stop()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
