"""Plays case 11: routes stay in force after watchers left and others were cut off.

Starts six balancers and three side processes with the commands of the deploy file,
beside stand-ins for the store, the upstreams and a client, all on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = ("a", "a", "a", "b", "b", "c")
"""Zone of each balancer, as in the deployments of six balancers."""
SERVICE = "desk"
KEPT, DROPPED = ("198.18.0.1", 8443), ("198.18.0.2", 8443)
"""Addresses of the route that stays and of the one that the operator drops."""
CONFIG_APPLY_S = 3.0
STABLE_S = 4.0
CUT_S = 5.5
DEAD_PATH_S = 2.0
"""Time after which a connection over a cut path is reset here. The processes ask the
kernel to end one after two seconds without an acknowledgement, but over loopback all is
acknowledged."""
HEARTBEAT_S = 0.77
HEAD = struct.Struct(">IB5s4s4sH4sHIIH")
SYN, ACK, RST, BOUNCED = 8, 1, 32, 128


def pack_ip(host: str) -> bytes:
    """Return an address as four bytes."""
    return bytes(map(int, host.split(".")))


class Record:
    """Writes what happens to `record.txt` in the folder of a case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        now = time.monotonic() - self.started
        self.file.write(f"{now:8.3f} {text}\n")
        self.file.flush()


class Link:
    """Path of one VM to the store; a cut one carries nothing."""

    def __init__(self) -> None:
        self.up = asyncio.Event()
        self.up.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.pending_watches = 0

    async def cut(self, duration: float) -> None:
        """Cut the path for some time."""
        self.up.clear()
        before = set(self.writers)
        await asyncio.sleep(DEAD_PATH_S)
        for writer in before & self.writers:
            writer.transport.abort()
        await asyncio.sleep(duration - DEAD_PATH_S)
        self.up.set()


class Store:
    """The platform's store: lists, watches and writes, with one address for each VM."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Condition()

    async def serve(self, link: Link, host: str, port: int) -> None:
        """Serve the calls of one VM."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            link.writers.add(writer)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while (call := await read_call(reader)) is not None:
                    await link.up.wait()
                    status, answer = await self.answer(link, *call)
                    await link.up.wait()
                    await write_answer(writer, status, answer)
            link.writers.discard(writer)
            writer.close()

        await asyncio.start_server(handle, host, port)

    async def answer(
        self, link: Link, method: str, url: str, body: bytes
    ) -> tuple[int, dict]:
        """Return status and body of the answer to a call."""
        parts = urlsplit(url)
        kind, _, name = parts.path.removeprefix("/fuchsiapin/objects/").partition("/")
        name = unquote(name)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if "Watch" in query:
            link.pending_watches += kind == "config"
            try:
                return await self.watch(kind, int(query["Watch"]), query)
            finally:
                link.pending_watches -= kind == "config"
        if method == "GET":
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "HasMore": False, "CurrentRev": self.revision}
        value = json.loads(body) if body else {}
        name = name or value["meta"]["Name"]
        known = self.objects.get((kind, name))
        if method == "POST" and known is not None:
            return 409, known
        if method != "POST" and known is None:
            return 404, {}
        if method == "DELETE":
            del self.objects[kind, name]
            await self.publish(kind, {"Deleted": True, "Object": known})
            return 200, {}
        return 200, await self.write(kind, name, value.get("spec"))

    async def watch(self, kind: str, since: int, query: dict) -> tuple[int, dict]:
        """Return the changes since a revision, once there are any."""
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        async with self.changed:
            while True:
                found = [e for r, k, e in self.events if k == kind and r > since]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "CurrentRev": self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    async def write(self, kind: str, name: str, spec: object) -> dict:
        """Write an object."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        written = {"meta": {"Name": name, "Rev": self.revision + 1}, "spec": spec}
        self.objects[kind, name] = written
        await self.publish(kind, {"Deleted": False, "Object": written})
        return written

    async def publish(self, kind: str, event: dict) -> None:
        """Add an event and wake the watches."""
        async with self.changed:
            self.revision += 1
            self.events.append((self.revision, kind, event))
            self.changed.notify_all()


async def read_call(reader: asyncio.StreamReader) -> tuple[str, str, bytes] | None:
    """Return method, path and body of the next call, None at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, url, _ = line.decode().split()
    length = 0
    while (header := (await reader.readline()).strip()) != b"":
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return method, url, await reader.readexactly(length)


async def write_answer(
    writer: asyncio.StreamWriter, status: int, answer: dict, headers: str = ""
) -> None:
    """Write the answer to a call."""
    body = json.dumps(answer).encode()
    head = f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n{headers}"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()


async def call(host: str, port: int, method: str, path: str, value: dict) -> int:
    """Return the status of a call, 0 without an answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
            body = json.dumps(value).encode() if value else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            status = int((await reader.readline()).split()[1])
            writer.close()
            return status
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Datagrams(asyncio.DatagramProtocol):
    """Passes received datagrams on."""

    def __init__(self, handle: Callable[[bytes], None]) -> None:
        self.handle = handle

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Pass a datagram on."""
        self.handle(data)


async def open_udp(
    host: str, port: int, handle: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Open a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(handle), local_addr=(host, port)
    )
    return transport


class Upstream:
    """A sound backend, which accepts flows and answers each request at once."""

    def __init__(self, play: "Play", host: str, zone: str, number: int) -> None:
        self.play = play
        self.host = host
        self.zone = zone
        self.id = f"i-{number}{random.randrange(10**6)}"
        self.born = int(time.time() * 1000)
        self.flows: dict[bytes, int] = {}

    async def start(self) -> None:
        """Serve packets and health checks, and send heartbeats."""
        ports = self.play.ports

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await read_call(reader) is not None:
                    await write_answer(writer, 200, {}, f"X-Instance-Id: {self.id}\r\n")
            writer.close()

        self.socket = await open_udp(self.host, ports["upstream"], self.on_packet)
        await asyncio.start_server(handle, self.host, ports["upstream"])
        self.play.start_task(self.send_heartbeats())

    async def send_heartbeats(self) -> None:
        """Send a heartbeat at each interval."""
        sequence = 0
        while True:
            sequence += 1
            beat = {
                "Service": SERVICE,
                "Address": f"{self.host}:{self.play.ports['upstream']}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 2,
                "State": "ready",
                "ColdLeftMs": 0,
                "Sequence": sequence,
                "born": self.born,
            }
            path = f"/fuchsiapin/instances/{self.id}/heartbeat"
            await call(self.host, self.play.ports["control"], "POST", path, beat)
            await asyncio.sleep(HEARTBEAT_S)

    def on_packet(self, data: bytes) -> None:
        """Accept a flow, run a request, or return a packet of an unknown flow."""
        _, flags, _, _, dst, dport, src, sport, seq, ack, length = HEAD.unpack_from(
            data
        )
        key = dst + dport.to_bytes(2, "big") + src + sport.to_bytes(2, "big")
        if flags & SYN:
            self.play.note_taken(self.id, dst, dport, sport)
            own = self.flows.setdefault(key, random.getrandbits(31))
            answer = SYN | ACK, own, seq + 1, b""
        elif key not in self.flows:
            returned = bytearray(data)
            returned[4] |= BOUNCED
            self.send(bytes(returned))
            return
        elif length:
            self.play.record.note(f"{self.id} runs {data[HEAD.size :].decode()}")
            own = self.flows[key] + 1
            answer = ACK, own, seq + length, b"done " + data[HEAD.size :]
        else:
            return
        flags, seq, ack, body = answer
        head = HEAD.pack(
            *(0, flags, bytes(5), b"\1" * 4, src, sport, dst, dport),
            *(seq, ack, len(body)),
        )
        self.send(head + body)

    def send(self, data: bytes) -> None:
        """Send a packet by the side process."""
        self.socket.sendto(data, (self.host, self.play.ports["outbound"]))


class Client:
    """Opens one flow for each request, from a new port."""

    def __init__(self, play: "Play", host: str) -> None:
        self.play = play
        self.host = host
        self.port = 20_000
        self.flows: dict[int, tuple[str, tuple[str, int]]] = {}

    async def start(self) -> None:
        """Open the socket."""
        port = self.play.ports["callers"]
        self.socket = await open_udp(self.host, port, self.on_packet)

    def send(self, flags: int, sport: int, seq: int, ack: int, body: bytes) -> None:
        """Send a packet of a flow by the balancer of the flow."""
        balancer, (dst, dport) = self.flows[sport]
        head = HEAD.pack(
            *(0, flags, bytes(5), b"\2" * 4, pack_ip(dst), dport),
            *(pack_ip(self.host), sport, seq, ack, len(body)),
        )
        self.socket.sendto(head + body, (balancer, self.play.ports["callers"]))

    def open_flow(self, balancer: str, route: tuple[str, int]) -> int:
        """Open a flow by a balancer; return its port."""
        self.port += 1
        self.flows[self.port] = balancer, route
        self.send(SYN, self.port, 1000, 0, b"")
        return self.port

    def on_packet(self, data: bytes) -> None:
        """Send the request once the flow is accepted, and note how it ends."""
        _, flags, _, _, _, sport, _, port, seq, _, length = HEAD.unpack_from(data)
        if flags & RST:
            self.play.record.note(f"client: flow {sport} is reset")
        elif flags & SYN:
            self.send(ACK, sport, 1001, seq + 1, f"request {sport}".encode())
        elif length:
            text = data[HEAD.size :].decode()
            self.play.served.add(sport)
            self.play.record.note(f"client: flow {sport} gets '{text}'")


class Play:
    """The processes and stand-ins of one run."""

    def __init__(self, folder: Path, case: Path = FOLDER) -> None:
        self.folder = folder
        self.record = Record(case)
        self.store = Store()
        self.net = f"127.{random.randrange(20, 220)}"
        first = random.randrange(20_000, 28_000) // 64 * 64
        names = [
            "callers",
            "ready",
            "control",
            "outbound",
            "upstream",
            "store",
            "metrics",
        ]
        self.ports = {name: first + 20 + n for n, name in enumerate(names)}
        self.peer_port = first
        self.commands = {
            name: shlex.split(role["run"])
            for name, role in tomllib.loads(
                (ROOT / "deploy" / "system.toml").read_text()
            )["roles"].items()
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.links: dict[str, Link] = {}
        self.tasks: set[asyncio.Task] = set()
        self.sent: dict[int, tuple[float, str, tuple[str, int]]] = {}
        self.taken: dict[int, tuple[float, str]] = {}
        self.served: set[int] = set()

    def start_task(self, work: Awaitable) -> None:
        """Run a coroutine in the background."""
        self.tasks.add(asyncio.ensure_future(work))

    def note_taken(self, name: str, dst: bytes, dport: int, sport: int) -> None:
        """Note that an upstream got an opening packet."""
        self.taken.setdefault(sport, (time.monotonic(), name))
        route = f"{'.'.join(map(str, dst))}:{dport}"
        self.record.note(f"{name} gets the opening packet of flow {sport} on {route}")

    async def start_process(self, role: str, number: int, zone: str) -> str:
        """Start a process on a VM of its own; return the address of the VM."""
        host = f"{self.net}.{1 if role == 'balancer' else 2}.{number}"
        store = f"{self.net}.{3 if role == 'balancer' else 4}.{number}"
        self.links[host] = Link()
        await self.store.serve(self.links[host], store, self.ports["store"])
        is_side = role == "side"
        address = {name: f"{host}:{port}" for name, port in self.ports.items()}
        seeds = [f"{self.net}.1.{n}:{self.ports['control']}" for n in (1, 2, 3)]
        settings = {
            "name": f"{role}-{number}",
            "role": role,
            "host": host,
            "zone": zone,
            "callers": address["callers"],
            "ready": address["ready"],
            "control": address["control"],
            "outbound": address["outbound"] if is_side else "",
            "upstream": address["upstream"] if is_side else "",
            "service": SERVICE if is_side else "",
            "store": f"{store}:{self.ports['store']}",
            "ports": [self.peer_port, self.peer_port + 15],
            "seeds": seeds,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "flow_s": 60,
            "grace_s": 6,
            "evacuation_ms": "",
            "cold_overage": "",
            "cold_slack": "",
            "link_mbps": "1000",
            "metrics_port": self.ports["metrics"],
        }
        path = self.folder / f"{role}-{number}.json"
        path.write_text(json.dumps(settings))
        with (self.folder / f"{role}-{number}.log").open("wb") as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                *self.commands[role],
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **{n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ},
                    "FUCHSIAPIN_SETTINGS": str(path),
                },
            )
        return host

    async def configure(self, version: int, routes: list[tuple[str, int]]) -> None:
        """Write a configuration, as the operator does."""
        spec = {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{host}",
                    "Host": host,
                    "PathPrefix": f"/{port}/",
                    "Type": "safe",
                    "TimeoutMs": 1200 + version,
                    "TargetLatencyMs": 200,
                    "Priority": 1,
                    "Service": SERVICE,
                    "MaxAttempts": 2,
                }
                for host, port in routes
            ],
            "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 2000}],
            "Limits": {"IdleTimeoutMs": 12000},
        }
        await self.store.write("config", "main", spec)
        self.record.note(f"operator: version {version} acknowledged, routes {routes}")

    async def wait_until_ready(self, balancers: list[str]) -> None:
        """Wait until all balancers are ready for callers."""
        async with asyncio.timeout(30):
            for host in balancers:
                while (
                    await call(
                        host, self.ports["ready"], "GET", "/fuchsiapin/readiness", {}
                    )
                    != 200
                ):
                    await asyncio.sleep(0.1)

    async def find_watchers(self, balancers: list[str]) -> list[str]:
        """Return the balancers that watch the configuration most of the time."""
        counts = dict.fromkeys(balancers, 0)
        for _ in range(20):
            await asyncio.sleep(0.1)
            for host in balancers:
                counts[host] += self.links[host].pending_watches > 0
        return [host for host in balancers if counts[host] > 10]

    async def run(self) -> int:
        """Play the case; return the exit status."""
        await self.configure(5, [KEPT, DROPPED])
        for number, zone in enumerate("abc", 1):
            host = await self.start_process("side", number, zone)
            await Upstream(self, host, zone, number).start()
        balancers = [
            await self.start_process("balancer", number, zone)
            for number, zone in enumerate(ZONES, 1)
        ]
        client = Client(self, f"{self.net}.9.1")
        await client.start()
        await self.wait_until_ready(balancers)
        await asyncio.sleep(STABLE_S)
        watchers = await self.find_watchers(balancers)
        self.record.note(f"balancers that watch the store: {watchers}")
        live = list(balancers)
        cut: list[str] = []
        if HAS_TROUBLE:
            if len(watchers) < 3:
                return 2
            for host in watchers[:2]:
                self.record.note(f"platform: SIGTERM to {host}, which leaves for good")
                self.processes[host].send_signal(signal.SIGTERM)
                await asyncio.sleep(1.2)
                live.remove(host)
            await asyncio.sleep(STABLE_S)
            cut = [watchers[2], next(h for h in live if h != watchers[2])]
        # An upstream is added, and a timeout changes.
        host = await self.start_process("side", 4, "a")
        await Upstream(self, host, "a", 4).start()
        await asyncio.sleep(1.0)
        await self.configure(6, [KEPT, DROPPED])
        await asyncio.sleep(0.2)
        for host in cut:
            self.record.note(f"{host} is partitioned from the store for {CUT_S} s")
            self.start_task(self.links[host].cut(CUT_S))
        await asyncio.sleep(0.05)
        await self.configure(8, [KEPT])
        return await self.judge(client, [h for h in live if h not in cut])

    async def judge(self, client: Client, balancers: list[str]) -> int:
        """Send flows of both routes by balancers in touch; return the exit status."""
        acknowledged_at = time.monotonic()
        end = acknowledged_at + CONFIG_APPLY_S + 5
        while time.monotonic() < end:
            for host in balancers:
                for route in (KEPT, DROPPED):
                    self.sent[client.open_flow(host, route)] = (
                        time.monotonic(),
                        host,
                        route,
                    )
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        kept = [port for port, (_, _, route) in self.sent.items() if route == KEPT]
        if not self.served.issuperset(kept[:-10]):
            self.record.note("some flows of the kept route weren't served")
        late = [
            (port, host, at - acknowledged_at)
            for port, (at, host, route) in self.sent.items()
            if route == DROPPED
            and at > acknowledged_at + CONFIG_APPLY_S
            and port in self.taken
        ]
        for port, host, after in late:
            self.record.note(
                f"BROKEN: flow {port} of the dropped route, sent to {host} {after:.3f} "
                f"s after the acknowledgement, was taken by {self.taken[port][1]}"
            )
        self.record.note(f"{len(self.sent)} flows sent, {len(late)} break the rule")
        if not kept or not self.served:
            return 2
        return 1 if late else 0

    async def end(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def main() -> int:
    """Run the case in a temporary folder; return the exit status."""
    # Calls that wait at the end are cancelled, which asyncio would report.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder))
        try:
            async with asyncio.timeout(100):
                status = await play.run()
        except (OSError, TimeoutError) as error:
            play.record.note(f"can't run: {error!r}")
            status = 2
        finally:
            await play.end()
        play.record.note(f"exit status {status}")
        return status


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
