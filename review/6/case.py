"""A side process is killed while the upstream beside it is cold."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from bed import BROKEN, HELD, NOT_RUN, Bed, CallerHost, run_case  # noqa: E402

COLD_PER_S = 2.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
COLD_START_S = 8.0
FLOWS_PER_S = 80.0
WORK_S = 0.029
ROUTE = ("198.18.0.1", 8080)
HEARTBEATS_BEFORE = 5
KILL_AFTER_S = 0.55
"""Time of the kill after a heartbeat; the process is back after the next one was due."""
LIMIT = COLD_PER_S * COLD_OVERAGE + COLD_SLACK


async def call_once(bed: Bed, callers: CallerHost, number: int) -> None:
    """Make one request on a flow of its own."""
    body = f"request-{number}".encode()
    state = callers.open_flow(ROUTE)
    outcome = await callers.connect(state)
    if outcome == "open":
        outcome = await callers.request(state, body, 1.5)
        callers.close(state)
    bed.note_quietly(f"{body.decode()} is {outcome}")


async def send_traffic(bed: Bed, callers: CallerHost, until: float) -> None:
    """Send requests at random intervals."""
    number = 0
    calls = []
    due = time.monotonic()
    while due < until:
        number += 1
        calls.append(asyncio.create_task(call_once(bed, callers, number)))
        due += bed.rng.expovariate(FLOWS_PER_S)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*calls)


def most_in_a_second(taken: list[tuple[float, float, bytes]], until: float) -> int:
    """Return the most openings sent and taken within one second, while cold."""
    cold = [(sent, arrived) for sent, arrived, _ in taken if arrived <= until]
    return max(
        (
            sum(sent >= start and arrived <= start + 1.0 for sent, arrived in cold)
            for start, _ in cold
        ),
        default=0,
    )


async def play(has_trouble: bool) -> int:
    """Play the case; return its status."""
    bounds = {"cold_overage": str(COLD_OVERAGE), "cold_slack": str(COLD_SLACK)}
    cold = {"ColdStartS": COLD_START_S, "ColdPerS": COLD_PER_S}
    services = [{"Name": "swapdesk", "HealthPath": "/health", "MaxConns": 2000, **cold}]
    bed = Bed(FOLDER, services, [(*ROUTE, "swapdesk", "unsafe")], bounds, slots=3)
    try:
        bed.configure()
        for _ in range(3):
            bed.add_balancer("bole")
        bed.add_side(1, "swapdesk", "bole")
        await bed.add_upstream(1, "swapdesk", "bole", WORK_S)
        callers = CallerHost(bed, bed.address(200))
        await callers.start()
        await bed.until_ready()
        await asyncio.sleep(1.0)
        end = time.monotonic() + 18.0
        traffic = asyncio.create_task(send_traffic(bed, callers, end))
        await asyncio.sleep(4.0)
        side = bed.add_side(2, "swapdesk", "bole")
        upstream = await bed.add_upstream(
            2, "swapdesk", "bole", WORK_S * 1.6, COLD_START_S
        )
        cold_until = time.monotonic() + upstream.cold_left_s
        while upstream.sequence < HEARTBEATS_BEFORE:
            await asyncio.sleep(0.01)
        await asyncio.sleep(KILL_AFTER_S)
        if has_trouble:
            side.signal(signal.SIGKILL)
        await traffic
        most = most_in_a_second(upstream.taken, cold_until)
        count = sum(arrived <= cold_until for _, arrived, _ in upstream.taken)
        served = sum("is served" in line for line in bed.lines)
        bed.note(f"{served} requests were served")
        bed.note(f"the cold upstream took {count} flows, at most {most} in one second")
        bed.note(f"limit: {LIMIT} in one second")
        if not count or not served:
            return NOT_RUN
        return BROKEN if most > LIMIT else HELD
    finally:
        bed.end()


run_case(play)
