"""A deregistration arrives after its upstream has started again under its id."""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from bed import BROKEN, HELD, NOT_RUN, Bed, CallerHost, Upstream, run_case  # noqa: E402

WORK_S = 0.029
ROUTE = ("127.18.0.1", 443)
DRAIN_S = 5.0
"""`DrainMs`."""
CUT_S = 2.0
"""Time for which the old upstream waits in vain, and for which it is cut off."""
HELD_S = 6.2
"""Time after which the bytes sent behind the cut arrive. TCP sends them again 0.2, 0.6,
1.4, 3.0 and 6.2 s after the first time."""
SETTLED_S = 1.0
FLOWS = 24
OTHER_VMS = 4
"""VMs of another service; with them, one backend of six is cut off."""


class HeldLink:
    """Link from an upstream to its side process, which may hold what is sent."""

    def __init__(self, bed: Bed, target: tuple[str, int]) -> None:
        self.bed = bed
        self.target = target
        self.hold_s = 0.0
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        """Listen; return the address."""
        host, port = self.target[0], self.bed.peer_port + 16
        self.server = await asyncio.start_server(self.carry, host, port)
        return host, port

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one call, which its sender may have given up."""
        sent = await reader.read(65_536)
        if self.hold_s:
            self.bed.note(f"held for {self.hold_s} s: {sent.splitlines()[0].decode()}")
            await asyncio.sleep(self.hold_s)
        onward_reader, onward_writer = await asyncio.open_connection(*self.target)
        onward_writer.write(sent)
        answer = await onward_reader.read(65_536)
        if self.hold_s:
            self.bed.note(f"it is answered: {answer.splitlines()[0].decode()}")
        writer.write(answer)
        onward_writer.close()
        writer.close()


async def ask_all(
    callers: CallerHost, states: list[dict], name: str
) -> tuple[int, int]:
    """Make a request on each flow; return how many were served and reset."""
    outcomes = await asyncio.gather(
        *(
            callers.request(state, f"{name}-{number}".encode(), 1.2)
            for number, state in enumerate(states)
        )
    )
    callers.bed.note(
        f"{name} requests: {outcomes.count('served')} served, "
        f"{outcomes.count('reset')} reset, {outcomes.count('silent')} unanswered"
    )
    return outcomes.count("served"), outcomes.count("reset")


async def roll(bed: Bed) -> None:
    """Stop the balancers and start them again, one after the other."""
    for process in bed.balancers:
        starts = process.starts
        process.signal(signal.SIGTERM)
        while process.starts == starts:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)


async def play(has_trouble: bool) -> int:
    """Play the case; return its status."""
    services = [
        {"Name": name, "HealthPath": "/health", "MaxConns": 2000}
        for name in ("swapdesk", "intake")
    ]
    routes = [(*ROUTE, "swapdesk", "safe"), (ROUTE[0], 444, "intake", "upload")]
    bed = Bed(FOLDER, services, routes)
    try:
        bed.configure()
        for zone in ("bole", "arada"):
            bed.add_balancer(zone)
        for number in (1, 2):
            bed.add_side(number, "swapdesk", "bole")
            await bed.add_upstream(number, "swapdesk", "bole", WORK_S)
        await bed.add_others(3, OTHER_VMS)
        callers = CallerHost(bed, bed.address(200))
        await callers.start()
        await bed.until_ready()
        await asyncio.sleep(1.0)
        old = bed.upstreams[0]
        link = HeldLink(bed, old.control)
        old.control = await link.start()
        old.state = "draining"
        bed.note(f"draining: {await old.send_heartbeat()}")
        await asyncio.sleep(DRAIN_S + 1.0)
        link.hold_s = HELD_S if has_trouble else 0.0
        held_since = asyncio.get_running_loop().time()
        body = json.dumps({"born": int(old.born_s * 1_000)}).encode()
        bed.note(f"deregistered: {await old.post('deregister', body)}")
        old.end()
        await asyncio.sleep(CUT_S - 1.0)
        new = Upstream(bed, old.host, "swapdesk", "bole", WORK_S, 0.0, old.name)
        await new.start()
        await asyncio.sleep(1.0)
        states = [callers.open_flow(ROUTE) for _ in range(FLOWS)]
        await asyncio.gather(*(callers.connect(state) for state in states))
        served, _ = await ask_all(callers, states, "first")
        bed.note(f"{len(new.taken)} of {FLOWS} flows are at {new.name}")
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(held_since + HELD_S + SETTLED_S - now)
        await roll(bed)
        _, reset = await ask_all(callers, states, "second")
        bed.note(f"a heartbeat of {new.name} gets {await new.send_heartbeat()}")
        count = len(new.taken)
        for _ in range(20):
            await callers.connect(callers.open_flow(ROUTE))
        bed.note(f"of 20 new flows {len(new.taken) - count} are at {new.name}")
        if served < FLOWS or not new.taken:
            return NOT_RUN
        return BROKEN if reset else HELD
    finally:
        bed.end()


run_case(play)
