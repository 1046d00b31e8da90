"""Starts the whole set on loopback: object API, upstreams, side processes, balancers.

Only this tool starts processes; the product's processes start nothing.
"""

import json
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import defopt

__all__ = ["DEPLOYMENTS", "Deployment", "Fleet", "Process", "main"]

KEY = "00112233445566778899aabbccddeeff"
READY_S = 60.0
STOP_S = 40.0


@dataclass(frozen=True)
class Deployment:
    """Availability zones and services of one user."""

    name: str
    zones: list[str]
    services: dict[str, int]


DEPLOYMENTS = {
    "little-threads": Deployment(
        "little-threads", ["bole", "arada", "kirkos"], {"swapdesk": 7, "intake": 3}
    ),
    "casa-popescu": Deployment(
        "casa-popescu", ["buc-a", "buc-b", "buc-c"], {"ledger": 7, "scan-intake": 3}
    ),
}


@dataclass
class Process:
    """One process of the set."""

    name: str
    role: str
    zone: str
    service: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    admin: str = ""
    callers: dict[str, tuple[str, int]] = field(default_factory=dict)
    handle: subprocess.Popen | None = None


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free for UDP and TCP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((host, port))
                except OSError:
                    continue
                return port


class Fleet:
    """The processes of one deployment.

    Parameters
    ----------
    deployment : Deployment
        What to start.
    folder : Path
        Where settings and logs go.
    octet : int
        Second octet of the loopback addresses.
    """

    def __init__(self, deployment: Deployment, folder: Path, octet: int = 0) -> None:
        self.deployment = deployment
        self.folder = folder / deployment.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.octet = octet
        self.processes: dict[str, Process] = {}
        self.object_api = ""

    def launch(self, process: Process, command: list[str]) -> None:
        """Start one process with its log in the folder."""
        log = (self.folder / f"{process.name}.log").open("ab")
        process.handle = subprocess.Popen(
            [sys.executable, "-m", *command], stdout=log, stderr=log
        )
        self.processes[process.name] = process

    def start(self) -> None:
        """Start everything."""
        self.start_object_api()
        for place, zone in enumerate(self.deployment.zones):
            self.start_balancer(f"balancer-{zone}", zone, place)
        for service, count in self.deployment.services.items():
            for number in range(1, count + 1):
                zone = self.deployment.zones[number % len(self.deployment.zones)]
                self.start_upstream(f"{service}-{number}", service, zone, number)
                self.start_side(f"{service}-{number}", service, zone)

    def start_object_api(self) -> None:
        """Start the object API stand-in."""
        port = free_port("127.0.0.1")
        process = Process("object-api", "object-api", "", port=port)
        self.launch(
            process,
            ["fuchsiapin.tests.standins.objectapi", "--port", str(port)],
        )
        self.object_api = f"http://127.0.0.1:{port}"

    def start_balancer(self, name: str, zone: str, place: int) -> None:
        """Start a balancer with a caller address per service."""
        host = f"127.{self.octet}.1.{place + 1}"
        process = Process(name, "balancer", zone, host=host, port=free_port(host))
        callers = []
        for service in self.deployment.services:
            port = free_port(host)
            callers.append({"service": service, "host": host, "port": port})
            process.callers[service] = (host, port)
        settings = self.common(process) | {"callers": callers}
        self.launch(
            process, ["fuchsiapin.daemons.balancer", str(self.write(process, settings))]
        )

    def start_upstream(self, name: str, service: str, zone: str, seed: int) -> None:
        """Start an upstream stand-in."""
        port, admin = free_port("127.0.0.1"), free_port("127.0.0.1")
        process = Process(f"upstream-{name}", "upstream", zone, service, port=port)
        process.admin = f"http://127.0.0.1:{admin}"
        self.launch(
            process,
            ["fuchsiapin.tests.standins.upstream", "--port", str(port)]
            + ["--admin-port", str(admin), "--name", name, "--service", service]
            + ["--seed", str(seed)],
        )

    def start_side(self, name: str, service: str, zone: str) -> None:
        """Start a side process beside its upstream."""
        upstream = self.processes[f"upstream-{name}"]
        process = Process(name, "side", zone, service, port=free_port("127.0.0.1"))
        settings = self.common(process) | {
            "service": service,
            "upstream": {"host": upstream.host, "port": upstream.port},
        }
        self.launch(
            process, ["fuchsiapin.daemons.side", str(self.write(process, settings))]
        )

    def common(self, process: Process) -> dict:
        """Return the settings that all roles have."""
        return {
            "name": process.name,
            "availability_zone": process.zone,
            "deployment": self.deployment.name,
            "peer": {"host": process.host, "port": process.port},
            "object_api": self.object_api,
            "keys": [KEY],
        }

    def write(self, process: Process, settings: dict) -> Path:
        """Write a settings file; return its path."""
        path = self.folder / f"{process.name}.json"
        path.write_text(json.dumps(settings, indent=1))
        return path

    def stop(self, name: str, number: int = signal.SIGTERM) -> int:
        """Stop one process and wait for its end."""
        process = self.processes.pop(name)
        process.handle.send_signal(number)
        return process.handle.wait(STOP_S)

    def stop_all(self) -> None:
        """End every process."""
        for process in self.processes.values():
            process.handle.send_signal(signal.SIGCONT)
            process.handle.kill()
        for process in self.processes.values():
            process.handle.wait()

    def addresses(self) -> dict:
        """Return what `run/addresses.json` says of this deployment."""
        described = []
        for process in self.processes.values():
            entry = {k: v for k, v in vars(process).items() if k != "handle"}
            described.append(entry | {"pid": process.handle.pid})
        services = {
            service: [
                list(process.callers[service])
                for process in self.processes.values()
                if service in process.callers
            ]
            for service in self.deployment.services
        }
        return {
            "object_api": self.object_api,
            "services": services,
            "processes": described,
        }


def up(*, deployment: str = "", folder: Path = Path("run")) -> None:
    """Start the set and leave it running until interrupted.

    Parameters
    ----------
    deployment : str
        One deployment; both when empty.
    folder : Path
        Where settings, logs and `addresses.json` go.
    """
    names = [deployment] if deployment else list(DEPLOYMENTS)
    fleets = [
        Fleet(DEPLOYMENTS[name], folder, place) for place, name in enumerate(names)
    ]
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    try:
        for fleet in fleets:
            fleet.start()
        described = {fleet.deployment.name: fleet.addresses() for fleet in fleets}
        (folder / "addresses.json").write_text(json.dumps(described, indent=1))
        time.sleep(5)
        print("ready", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        for fleet in fleets:
            fleet.stop_all()


def main() -> None:
    """Enter from the command line."""
    defopt.run(up)


if __name__ == "__main__":
    main()
