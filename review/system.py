"""Starts the project's processes as its deploy file says, on loopback addresses."""

import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.store import Store

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableWindowMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 12000,
    "RecoveryS": 12,
    "ReorderMs": 2000,
    "MaxFlowS": 60,
}
"""Bounds of the example in DEPLOY.md."""
HEARTBEAT_MS = 770
MAX_CASE_S = 115
RESTART_S = 0.3
"""Delay before a process that ended is started again."""


@dataclass
class Machine:
    """A machine of the system and its process."""

    name: str
    role: str
    zone: str
    ip: str
    settings: Path
    log: Path
    ready: tuple[str, int]
    packets: tuple[str, int]
    control: tuple[str, int]
    service: str = ""
    app: tuple[str, int] = ("", 0)
    outbound: tuple[str, int] = ("", 0)
    bind: str = ""
    store: tuple[str, int] = ("", 0)
    process: subprocess.Popen | None = None
    restarts: bool = True
    ends: list[tuple[float, int]] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    start_at: float = 0.0

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


def render(template: str, values: Any) -> str:
    """Fill in a settings template as DEPLOY.md describes.

    Only what this project's template uses: values, `|json`, lists and sections.
    """

    def find(name: str) -> Any:
        found = values
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match) -> str:
        entries = find(match[1]) or []
        return "".join(
            match[2]
            .replace("{{.}}", str(entry))
            .replace("{{,}}", "," if number + 1 < len(entries) else "")
            for number, entry in enumerate(entries)
        )

    def value(match: re.Match) -> str:
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class System:
    """A small deployment: a store, balancers and side processes.

    Parameters
    ----------
    bounds : dict
        Bounds in addition to `BOUNDS`.
    is_proxied : bool
        Whether each process listens on an address of its own behind a proxy.
    """

    def __init__(self, bounds: dict | None = None, is_proxied: bool = False) -> None:
        self.is_proxied = is_proxied
        self.bounds = BOUNDS | (bounds or {})
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: list[Machine] = []
        self.network, self.port = self.find_network()
        self.store_address = f"{self.network}.0.1", self.port + 20
        self.store = Store(*self.store_address)

    def find_network(self) -> tuple[str, int]:
        """Return the prefix of unused loopback addresses, and a free range of ports."""
        rng = random.SystemRandom()
        for _ in range(50):
            network = f"127.{rng.randrange(30, 250)}"
            port = rng.randrange(15_000, 30_000)
            try:
                for offset in range(30):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("0.0.0.0", port + offset))
            except OSError:
                continue
            return network, port
        raise OSError("no free ports")

    @property
    def packet_port(self) -> int:
        """Return the port of `DatagramAddr`, the same on all machines and clients."""
        return self.port + 16

    def client_ip(self, number: int) -> str:
        """Return the address of a client."""
        return f"{self.network}.3.{number + 1}"

    def add(self, role: str, zone: str, service: str = "") -> Machine:
        """Add a machine, without starting its process."""
        number = sum(machine.role == role for machine in self.machines) + 1
        ip = f"{self.network}.{1 if role == 'balancer' else 2}.{number}"
        # The other processes know it by `ip`; clients and its backend use `own`.
        own = f"{self.network}.1{ip.split('.')[2]}.{number}" if self.is_proxied else ip
        name = f"{role}-{number}"
        machine = Machine(
            name,
            role,
            zone,
            ip,
            self.folder / f"{name}.json",
            self.folder / f"{name}.log",
            ready=(own, self.port + 17),
            packets=(own, self.packet_port),
            control=(own, self.port + 18),
            service=service,
            bind=own,
            store=self.store_address,
        )
        if role == "side":
            machine.app = own, self.port + 21
            machine.outbound = own, self.port + 19
        self.machines.append(machine)
        return machine

    def of_role(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.machines if machine.role == role]

    def platform_settings(self, machine: Machine) -> dict:
        """Return the platform's settings of a process, as in DEPLOY.md."""
        role = DEPLOY["roles"][machine.role]
        is_side = machine.role == "side"
        zones = sorted({other.zone for other in self.machines})
        listen = {
            "DatagramAddr": "{}:{}".format(*machine.packets),
            "Ready": "{}:{}".format(*machine.ready),
            "Control": "{}:{}".format(*machine.control),
        }
        if is_side:
            listen["outbound"] = "{}:{}".format(*machine.outbound)
        return {
            "NodeName": machine.name,
            "Role": machine.role,
            "MachineClass": role["on"],
            "Serves": role["serves"],
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": "addis",
            "Zones": dict.fromkeys(zones, "addis"),
            "Listen": listen,
            "PortRange": [self.port, self.port + 15],
            "Seeds": [
                f"{other.ip}:{other.control[1]}"
                for other in self.of_role("balancer")[:3]
            ],
            "Bootstrap": not machine.starts,
            "Limits": {"CpuShare": 0.537, "Cores": 2, "LinkMbps": 1000.0},
            "HeartbeatMs": HEARTBEAT_MS,
            "Bounds": self.bounds,
            "platform": {"Address": "{}:{}".format(*machine.store)},
            "Service": machine.service if is_side else None,
            "app": "{}:{}".format(*machine.app) if is_side else None,
        }

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with the command of its role."""
        role = DEPLOY["roles"][machine.role]
        template = (ROOT / role["template"]).read_text()
        text = render(template, self.platform_settings(machine))
        settings = json.loads(text)
        # The port of the metrics is the project's own choice; any free one will do.
        settings["metrics_port"] = self.port + 22
        if self.is_proxied:
            settings["bind"] = machine.bind
        machine.settings.write_text(json.dumps(settings))
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        with machine.log.open("ab") as log:
            machine.process = subprocess.Popen(
                shlex.split(role["run"]),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env | {"FUCHSIAPIN_SETTINGS": str(machine.settings)},
            )
        machine.starts.append(time.monotonic())

    def start_all(self) -> None:
        """Start the processes of all machines."""
        for machine in self.machines:
            self.start(machine)

    def supervise(self) -> None:
        """Record which processes ended, and start them again after a delay."""
        now = time.monotonic()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is not None:
                machine.ends.append((now, machine.process.returncode))
                machine.process = None
                machine.start_at = now + RESTART_S
            is_down = machine.process is None and machine.restarts and machine.starts
            if is_down and now >= machine.start_at:
                self.start(machine)

    def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, with times; written to a file at the end."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def note(self, *values: object) -> None:
        """Add a line."""
        at = time.monotonic() - self.started
        self.lines.append(f"{at:8.3f} " + " ".join(map(str, values)))

    def say(self, *values: object) -> None:
        """Add a line and print it."""
        self.note(*values)
        print(self.lines[-1], flush=True)

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def run_case(folder: Path, play: Callable[[Record, bool], bool]) -> int:
    """Run a case; return its exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        Takes the record and whether to cause the disruption; returns whether the rule
        held, or raises an exception if the case couldn't run.

    Returns
    -------
    int
        0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
    """

    def give_up(number: int, frame: object) -> None:
        raise CaseError(f"signal {number}")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(MAX_CASE_S)
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("trouble" if has_trouble else "no trouble")
    try:
        held = play(record, has_trouble)
    except Exception as error:
        record.say("the case couldn't run:", repr(error))
        traceback.print_exc()
        return 2
    finally:
        record.save()
    record.say("the rule held" if held else "the rule was broken")
    record.save()
    return 0 if held else 1


class CaseError(Exception):
    """The case couldn't run."""


def configuration(
    version: int, routes: Sequence[dict], services: Sequence[dict]
) -> dict:
    """Return the configuration that the operator writes."""
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": list(services),
        "Limits": {"IdleTimeoutMs": 12_000},
    }


def route(name: str, host: str, port: int, service: str, kind: str = "unsafe") -> dict:
    """Return a route."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": f"/{port}/",
        "Service": service,
        "Type": kind,
        "TimeoutMs": 1_500,
        "TargetLatencyMs": 200,
        "MaxAttempts": 2,
        "Priority": 1,
    }
