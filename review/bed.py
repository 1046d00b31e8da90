"""A small deployment for the cases of the second review, on loopback addresses.

It starts the commands of the deploy file as processes, and has stand-ins for the
routers, the callers and the upstreams. The store is the stand-in of the soak test. All
of them run on one event loop and write what they see to a record.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from soak.store import StoreStandIn  # noqa: E402

__all__ = [
    "BROKEN",
    "HELD",
    "NOT_RUN",
    "Bed",
    "CallerHost",
    "Process",
    "Upstream",
    "call_once",
    "most_in_a_second",
    "run_case",
    "send_traffic",
]

HEADER = struct.Struct(">IB5s4s6s6sIIH")
"""Fields: echo, flags, pad, sum, destination, source, seq, ack, len."""
SYN, ACK, FIN, RST, BOUNCED = 8, 1, 16, 32, 128
HEARTBEAT_S = 0.77
ACK_TIMEOUT_S = 1.0
"""Time within which a heartbeat has to be acknowledged."""
OPENING_COPIES_S = (0.0, 0.2, 0.6)
OPENING_S = 1.4
"""Time after which a caller gives up to open a flow."""
RETRANSMIT_S = 0.2
DEADLINE_S = 1.5
PROBE_S = 0.5
RESTART_S = 0.3
"""Delay until the platform starts a process again that has ended."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a case."""


def pack_endpoint(host: str, port: int) -> bytes:
    """Return an address and port as 6 bytes."""
    return socket.inet_aton(host) + port.to_bytes(2, "big")


def make_packet(
    flags: int, target: bytes, source: bytes, seq: int, ack: int, data: bytes = b""
) -> bytes:
    """Return a packet with a checksum that is never 0."""
    total = (sum(data) + sum(target) + sum(source) + seq + ack + flags) | 1 << 31
    checksum = (total & 0xFFFF_FFFF).to_bytes(4, "big")
    fields = (0, flags, bytes(5), checksum, target, source, seq, ack, len(data))
    return HEADER.pack(*fields) + data


class Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams to a function."""

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass on one datagram."""
        self.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of datagrams sent to closed ports."""


async def call_http(
    host: str, port: int, method: str, path: str, body: bytes, timeout_s: float
) -> int:
    """Make one call on a new connection; return its status, 0 for no response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0
    finally:
        if writer is not None:
            writer.close()


class Process:
    """One process of the system, started again by the platform when it ends."""

    def __init__(self, bed: "Bed", name: str, role: str, settings: dict) -> None:
        self.bed = bed
        self.name = name
        self.role = role
        self.settings = settings
        self.path = bed.folder / f"{name}.json"
        self.handle: asyncio.subprocess.Process | None = None
        self.is_wanted = True
        self.restart_s = RESTART_S
        self.starts = 0

    async def run(self) -> None:
        """Run the process, again and again, until it isn't wanted any more."""
        while self.is_wanted:
            self.path.write_text(json.dumps(self.settings))
            log = (self.bed.folder / f"{self.name}.log").open("ab")
            self.handle = await asyncio.create_subprocess_exec(
                *self.bed.commands[self.role],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "FUCHSIAPIN_SETTINGS": str(self.path),
                },
            )
            log.close()
            self.starts += 1
            self.bed.note(f"{self.name} starts")
            status = await self.handle.wait()
            self.bed.note(f"{self.name} ends with status {status}")
            if self.is_wanted:
                await asyncio.sleep(self.restart_s)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.handle is not None and self.handle.returncode is None:
            self.bed.note(f"{signal.Signals(number).name} to {self.name}")
            self.handle.send_signal(number)

    def end(self) -> None:
        """End the process for good."""
        self.is_wanted = False
        if self.handle is not None and self.handle.returncode is None:
            self.handle.kill()


class Upstream:
    """An upstream on a VM with a side process: takes flows, runs requests, reports.

    Parameters
    ----------
    bed : Bed
        The deployment.
    host, service, zone : str
        Address, service and zone of its VM.
    work_s : float
        Time that a request takes.
    cold_s : float
        Time for which it is cold after its start.
    name : str, optional
        Its id; a new one by default.
    """

    def __init__(
        self,
        bed: "Bed",
        host: str,
        service: str,
        zone: str,
        work_s: float,
        cold_s: float = 0.0,
        name: str = "",
    ) -> None:
        self.bed = bed
        self.host = host
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.name = name or f"i-{bed.rng.getrandbits(32):08x}"
        self.born_s = time.time()
        self.sequence = 0
        self.state = "ready"
        self.cold_until_s = self.born_s + cold_s
        self.slots = asyncio.Semaphore(bed.slots)
        self.flows: dict[bytes, dict] = {}
        self.taken: list[tuple[float, float, bytes]] = []
        self.control = host, bed.control_port
        self.tasks: list[asyncio.Task] = []
        self.transport: Any = None
        self.server: Any = None

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.on_packet),
            local_addr=(self.host, self.bed.app_port),
        )
        self.server = await asyncio.start_server(
            self.on_health_check, self.host, self.bed.app_port
        )
        self.bed.note(f"upstream {self.name} of {self.service} starts at {self.host}")
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))

    def end(self) -> None:
        """End without a word, as in a crash."""
        self.bed.note(f"upstream {self.name} ends")
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.server.close()

    @property
    def cold_left_s(self) -> float:
        """Return for how much longer it is cold."""
        return max(0.0, self.cold_until_s - time.time())

    async def on_health_check(self, reader: Any, writer: Any) -> None:
        """Answer one health check."""
        await reader.readline()
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        head = f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.name}\r\n"
        writer.write((head + "Content-Length: 0\r\n\r\n").encode())
        writer.close()

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def heartbeat_body(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        values = {
            "Service": self.service,
            "Address": f"{self.host}:{self.bed.app_port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.bed.slots,
            "State": self.state,
            "ColdLeftMs": int(self.cold_left_s * 1_000),
            "Sequence": self.sequence,
            "born": int(self.born_s * 1_000),
        }
        return json.dumps(values).encode()

    async def post(self, verb: str, body: bytes) -> int:
        """Send a call to the control address; return the status."""
        path = f"/fuchsiapin/instances/{self.name}/{verb}"
        return await call_http(*self.control, "POST", path, body, ACK_TIMEOUT_S)

    async def await_heartbeat(self, sequence: int = 0) -> None:
        """Wait until a heartbeat with this number was sent, by default the next one."""
        sequence = sequence or self.sequence + 1
        while self.sequence < sequence:
            await asyncio.sleep(0.005)

    async def send_heartbeat(self) -> int:
        """Send a heartbeat; return the status of the response."""
        return await self.post("heartbeat", self.heartbeat_body())

    def send(self, flow: bytes, flags: int, seq: int, data: bytes = b"") -> None:
        """Send a packet of a flow to its caller, through the side process."""
        packet = make_packet(flags, flow[6:], flow[:6], seq & 0xFFFF_FFFF, 0, data)
        self.transport.sendto(packet, (self.host, self.bed.outbound_port))

    def on_packet(self, packet: bytes) -> None:
        """Handle a packet from the side process."""
        _, flags, _, _, target, source, _, ack, length = HEADER.unpack_from(packet)
        flow, body = target + source, packet[HEADER.size :]
        state = self.flows.get(flow)
        if flags & SYN:
            if state is None:
                self.take(flow, ack)
                state = self.flows[flow]
            self.send(flow, SYN | ACK, state["seq"])
        elif state is None or (not state["open"] and ack != state["seq"] + 1):
            returned = bytearray(packet)
            returned[4] |= BOUNCED
            self.transport.sendto(returned, (self.host, self.bed.outbound_port))
        elif flags & (FIN | RST):
            state["open"] = True
            self.send(flow, FIN | ACK, state["sent"])
        else:
            state["open"] = True
            if length:
                self.on_request(flow, state, body)

    def take(self, flow: bytes, copy: int) -> None:
        """Accept a new flow."""
        sequence = self.bed.rng.getrandbits(31)
        self.flows[flow] = {
            "seq": sequence,
            "sent": sequence + 1,
            "open": False,
            "runs": {},
        }
        sent_at = self.bed.sent_at.get((flow, copy), 0.0)
        self.taken.append((sent_at, time.monotonic(), flow))
        self.bed.note_quietly(f"{self.name} takes {flow.hex()}")

    def on_request(self, flow: bytes, state: dict, body: bytes) -> None:
        """Run a request once, or send its answer again."""
        if body not in state["runs"]:
            state["runs"][body] = None
            self.bed.runs[body] = self.bed.runs.get(body, 0) + 1
            self.bed.note_quietly(f"{self.name} runs {body.decode()}")
            self.tasks.append(asyncio.create_task(self.run_request(flow, state, body)))
        elif state["runs"][body] is not None:
            self.send(flow, ACK, state["runs"][body], b"answer to " + body)

    async def run_request(self, flow: bytes, state: dict, body: bytes) -> None:
        """Work on a request and answer it."""
        async with self.slots:
            await asyncio.sleep(self.work_s)
        answer = b"answer to " + body
        state["runs"][body] = state["sent"]
        self.send(flow, ACK, state["sent"], answer)
        state["sent"] += len(answer)


class CallerHost:
    """Callers at one address, each flow from a port of its own."""

    def __init__(self, bed: "Bed", host: str) -> None:
        self.bed = bed
        self.host = host
        self.flows: dict[bytes, dict] = {}
        self.next_port = 1_024

    async def start(self) -> None:
        """Listen for packets."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(self.on_packet),
            local_addr=(self.host, self.bed.callers_port),
        )

    def open_flow(self, route: tuple[str, int]) -> dict:
        """Return the state of a new flow, before its first packet."""
        self.next_port += 1
        flow = pack_endpoint(*route) + pack_endpoint(self.host, self.next_port)
        state = {
            "flow": flow,
            "seq": self.bed.rng.getrandbits(31),
            "ack": 0,
            "opened": asyncio.Event(),
            "reset": asyncio.Event(),
            "answers": {},
        }
        self.flows[flow] = state
        return state

    def send(self, state: dict, flags: int, seq: int, ack: int, data: bytes) -> None:
        """Send a packet through the routers."""
        flow = state["flow"]
        packet = make_packet(flags, flow[:6], flow[6:], seq & 0xFFFF_FFFF, ack, data)
        self.bed.route_packet(flow, packet)

    async def connect(self, state: dict) -> str:
        """Open a flow; return `open`, `reset` or `silent`."""
        begin = time.monotonic()
        self.bed.note_quietly(f"flow {state['flow'].hex()} is requested")
        for copy, pause in enumerate((*OPENING_COPIES_S[1:], OPENING_S)):
            self.bed.sent_at[state["flow"], copy] = time.monotonic()
            self.send(state, SYN, state["seq"], copy, b"")
            if await self.wait(state, state["opened"], begin + pause):
                break
        if state["opened"].is_set():
            return "open"
        return "reset" if state["reset"].is_set() else "silent"

    async def wait(self, state: dict, event: asyncio.Event, until: float) -> bool:
        """Wait for an event or a reset; return whether one came."""
        while time.monotonic() < until:
            if event.is_set() or state["reset"].is_set():
                return True
            await asyncio.sleep(0.005)
        return event.is_set() or state["reset"].is_set()

    async def request(self, state: dict, body: bytes, deadline_s: float) -> str:
        """Send a request on an open flow; return `served`, `reset` or `silent`."""
        answered = state["answers"].setdefault(b"answer to " + body, asyncio.Event())
        name = f"{body.decode()} on {state['flow'].hex()}"
        self.bed.note_quietly(f"{name} is sent")
        end = time.monotonic() + deadline_s
        pause = RETRANSMIT_S
        seq = state["seq"] + 1
        while time.monotonic() < end:
            self.send(state, ACK, seq, state["ack"], body)
            until = min(end, time.monotonic() + pause)
            if await self.wait(state, answered, until):
                break
            pause *= 2
        state["seq"] += len(body)
        outcome = "reset" if state["reset"].is_set() else "silent"
        if answered.is_set():
            outcome = "served"
        self.bed.note_quietly(f"{name} is {outcome}")
        return outcome

    def close(self, state: dict) -> None:
        """Close a flow."""
        self.send(state, FIN | ACK, state["seq"] + 1, state["ack"], b"")
        self.flows.pop(state["flow"], None)

    def on_packet(self, packet: bytes) -> None:
        """Handle a packet of an upstream, or a reset."""
        _, flags, _, checksum, target, source, seq, _, length = HEADER.unpack_from(
            packet
        )
        state = self.flows.get(source + target)
        if state is None:
            return
        if flags & RST:
            is_own = checksum == bytes(4)
            self.bed.note(f"reset of {state['flow'].hex()}, by the system: {is_own}")
            state["reset"].set()
        elif flags & SYN and not state["opened"].is_set():
            state["ack"] = seq + 1
            state["opened"].set()
        elif length:
            event = state["answers"].get(packet[HEADER.size :])
            if event is not None:
                event.set()


async def call_once(
    bed: "Bed", callers: CallerHost, route: tuple[str, int], body: bytes
) -> str:
    """Make one request on a flow of its own; return its outcome."""
    state = callers.open_flow(route)
    outcome = await callers.connect(state)
    if outcome == "open":
        outcome = await callers.request(state, body, DEADLINE_S)
        callers.close(state)
    return outcome


async def send_traffic(
    bed: "Bed",
    callers: CallerHost,
    route: tuple[str, int],
    flows_per_s: float,
    duration_s: float,
) -> list[str]:
    """Make requests at random intervals; return their outcomes."""
    calls = []
    due = time.monotonic()
    end = due + duration_s
    while due < end:
        body = f"request-{len(calls)}-of-{callers.host.split('.')[-1]}".encode()
        calls.append(asyncio.create_task(call_once(bed, callers, route, body)))
        due += bed.rng.expovariate(flows_per_s)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return list(await asyncio.gather(*calls))


def most_in_a_second(
    taken: list[tuple[float, float, bytes]], since: float, until: float
) -> int:
    """Return the most openings sent and taken within one second of a span of time."""
    found = [(sent, at) for sent, at, _ in taken if since <= sent and at <= until]
    return max(
        (
            sum(sent >= start and at <= start + 1.0 for sent, at in found)
            for start, _ in found
        ),
        default=0,
    )


class Bed:
    """The deployment of one case.

    Parameters
    ----------
    folder : Path
        Folder of the case; the record is written there.
    services : list of dict
        Services of the configuration.
    routes : list of tuple
        Host, port, service and kind of each route.
    bounds : dict, optional
        Settings of all processes besides the usual ones.
    slots : int
        Requests that each upstream runs concurrently.
    """

    def __init__(
        self,
        folder: Path,
        services: list[dict],
        routes: list[tuple[str, int, str, str]],
        bounds: dict | None = None,
        slots: int = 2,
    ) -> None:
        self.case_folder = folder
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.rng = random.Random()
        self.services = services
        self.routes = routes
        self.bounds = bounds or {}
        self.slots = slots
        self.network = f"127.{self.rng.randint(10, 250)}.{self.rng.randint(1, 250)}"
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.sent_at: dict[tuple[bytes, int], float] = {}
        self.runs: dict[bytes, int] = {}
        self.processes: dict[str, Process] = {}
        self.tasks: list[asyncio.Task] = []
        self.upstreams: list[Upstream] = []
        self.balancers: list[Process] = []
        self.misses: dict[str, int] = {}
        self.version = 1
        base = self.free_ports()
        self.callers_port, self.ready_port, self.control_port = base, base + 1, base + 2
        self.outbound_port, self.app_port, self.store_port = (
            base + 3,
            base + 4,
            base + 5,
        )
        self.metrics_port, self.peer_port = base + 6, base + 10
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        self.store = StoreStandIn(self.address(1), self.store_port)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sender.setblocking(False)

    def free_ports(self) -> int:
        """Return the first of some ports that are free on all addresses."""
        for _ in range(100):
            base = self.rng.randrange(10_000, 30_000, 32)
            try:
                for port in range(base, base + 32):
                    with socket.socket() as tried:
                        tried.bind(("", port))
                return base
            except OSError:
                continue
        raise OSError("no free ports")

    def address(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f"{self.network}.{number}"

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.note_quietly(text)
        print(self.lines[-1], flush=True)

    def note_quietly(self, text: str) -> None:
        """Add a line to the record only."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def configure(self) -> None:
        """Write the configuration as the operator does."""
        spec = {
            "Version": self.version,
            "Routes": [
                {
                    "Name": f"r-{number}",
                    "Host": host,
                    "PathPrefix": f"/{port}/",
                    "Type": kind,
                    "TimeoutMs": 1_500,
                    "TargetLatencyMs": 200,
                    "Priority": 1,
                    "Service": service,
                    "MaxAttempts": 2,
                }
                for number, (host, port, service, kind) in enumerate(self.routes)
            ],
            "Services": self.services,
            "Limits": {"IdleTimeoutMs": 15_000},
        }
        self.store.put("config", "main", spec)
        self.note(f"configuration {self.version} is written")

    def settings(self, name: str, role: str, host: str, zone: str) -> dict:
        """Return the settings of a process, with the keys of the template."""
        return {
            "name": name,
            "role": role,
            "host": host,
            "zone": zone,
            "callers": f"{host}:{self.callers_port}",
            "ready": f"{host}:{self.ready_port}",
            "control": f"{host}:{self.control_port}",
            "outbound": "",
            "upstream": "",
            "service": "",
            "store": f"{self.address(1)}:{self.store_port}",
            "ports": [self.peer_port, self.peer_port + 15],
            "seeds": [f"{self.address(10 + n)}:{self.control_port}" for n in range(3)],
            "heartbeat_ms": HEARTBEAT_S * 1_000,
            "flow_s": 60,
            "grace_s": 6,
            "metrics_port": self.metrics_port,
            **self.bounds,
        }

    def start_process(self, name: str, role: str, settings: dict) -> Process:
        """Start a process."""
        process = self.processes[name] = Process(self, name, role, settings)
        self.tasks.append(asyncio.create_task(process.run()))
        return process

    def add_balancer(self, zone: str) -> Process:
        """Start a balancer."""
        number = len(self.balancers)
        host, name = self.address(10 + number), f"frontend-{zone}-{number + 1}"
        settings = self.settings(name, "balancer", host, zone)
        process = self.start_process(name, "balancer", settings)
        self.balancers.append(process)
        self.misses[host] = 2
        self.tasks.append(asyncio.create_task(self.probe(host)))
        return process

    def add_side(self, number: int, service: str, zone: str) -> Process:
        """Start a side process on the VM with a number."""
        host, name = self.address(30 + number), f"side-{zone}-{number}"
        settings = self.settings(name, "side", host, zone) | {
            "ready": "",
            "outbound": f"{host}:{self.outbound_port}",
            "upstream": f"{host}:{self.app_port}",
            "service": service,
        }
        return self.start_process(name, "side", settings)

    async def add_upstream(
        self, number: int, service: str, zone: str, work_s: float, cold_s: float = 0.0
    ) -> Upstream:
        """Start an upstream on the VM with a number."""
        host = self.address(30 + number)
        upstream = Upstream(self, host, service, zone, work_s, cold_s)
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    async def add_others(self, first: int, count: int) -> None:
        """Start VMs of the service `intake`, which gets no requests here."""
        zones = sorted({process.settings["zone"] for process in self.balancers})
        for number in range(first, first + count):
            zone = zones[number % len(zones)]
            self.add_side(number, "intake", zone)
            await self.add_upstream(number, "intake", zone, 0.005)

    async def probe(self, host: str) -> None:
        """Probe the readiness of a balancer, as the routers do."""
        while True:
            status = await call_http(
                host, self.ready_port, "GET", "/fuchsiapin/readiness", b"", PROBE_S
            )
            self.misses[host] = 0 if status == 200 else self.misses[host] + 1
            await asyncio.sleep(PROBE_S)

    def route_packet(self, flow: bytes, packet: bytes) -> None:
        """Send a packet to the balancer that the hash of its flow selects."""
        hosts = [host for host, misses in self.misses.items() if misses < 2]
        hosts = hosts or list(self.misses)
        host = hosts[sum(flow) % len(hosts)]
        try:
            self.sender.sendto(packet, (host, self.callers_port))
        except OSError:
            return  # lost

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all balancers are ready.

        Raises
        ------
        TimeoutError
            If they aren't in time.
        """
        async with asyncio.timeout(timeout_s):
            while any(self.misses.values()):
                await asyncio.sleep(0.1)
        self.note("all balancers are ready")

    def end(self) -> None:
        """End all processes, and write the record."""
        for process in self.processes.values():
            process.end()
        self.store.close()
        text = "\n".join(self.lines)
        for name, text_name in ((self.network, "net"), (str(self.folder), "folder")):
            text = text.replace(name, text_name)
        (self.case_folder / "record.txt").write_text(text + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play: Callable[[bool], Awaitable[int]]) -> None:
    """Run a case and exit with its status; `TROUBLE=0` leaves out the disruption."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(play(has_trouble))
    except Exception as error:  # noqa: BLE001 - whatever it is, the case couldn't run
        print(f"the case couldn't run: {error!r}")
        status = NOT_RUN
    sys.exit(status)
