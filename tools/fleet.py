"""Starts, observes and stops the processes of one deployment on loopback.

Only these tools start processes; the daemons themselves start none. Each VM has its
own loopback address.
"""

import json
import os
import random
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tools.processes import (
    Process,
    answers_ping,
    call,
    die_with_parent,
    free_port,
    wait_until,
)

__all__ = ["DEPLOYMENTS", "Deployment", "Fleet"]

KEY = "00112233445566778899aabbccddeeff"
"""Key that authenticates the messages between the processes."""
EXAMPLES = Path(__file__).parent.parent / "examples"
SLOTS = 2
"""Slots of each asset in a generated register."""
CONNECTIONS = 2_000
"""Connections of each asset in a generated register."""
READY_TIMEOUT_S = 90.0
"""Timeout until all processes of a deployment are ready."""
STOP_TIMEOUT_S = 40.0
"""Timeout for the planned stop of one process."""


@dataclass(frozen=True)
class Deployment:
    """Name, availability zones and services of a deployment.

    The services map to their numbers of upstreams.
    """

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


class Fleet:
    """The processes of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Zones and services to start.
    folder : Path
        Directory for settings and logs.
    service_ms : float
        Mean service time of the upstream stand-ins.
    """

    def __init__(
        self, deployment: Deployment, folder: Path, service_ms: float = 100.0
    ) -> None:
        self.deployment = deployment
        self.folder = folder / deployment.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.service_ms = service_ms
        # Drawn at random: fleets on one machine rarely share addresses.
        self.subnet = random.SystemRandom().randrange(1, 255)
        self.host_count = 0
        self.taken_ports: set[tuple[str, int]] = set()
        self.processes: dict[str, Process] = {}
        self.object_api = ""

    # Starting

    def next_host(self) -> str:
        """Return an unused loopback address for a new VM."""
        self.host_count += 1
        return f"127.{self.subnet}.{self.host_count // 250}.{self.host_count % 250 + 1}"

    def launch(self, process: Process, command: list[str]) -> Process:
        """Start one process, which logs to a file in the directory."""
        with (self.folder / f"{process.name}.log").open("ab") as log:
            process.handle = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self.processes[process.name] = process
        return process

    def start(self) -> None:
        """Start all processes, and apply the register and rules."""
        self.start_object_api()
        for zone in self.deployment.zones:
            self.start_balancer(f"balancer-{zone}", zone)
        for service, count in self.deployment.services.items():
            for number in range(1, count + 1):
                zone = self.deployment.zones[number % len(self.deployment.zones)]
                name = f"{service}-{number}"
                self.start_upstream(name, service, zone, number)
                self.start_side(name)
        self.apply()

    def start_object_api(self, port: int = 0) -> Process:
        """Start the stand-in for the object API."""
        host = self.next_host()
        process = Process("object-api", "object-api", "", host=host)
        process.port = free_port(host, self.taken_ports)
        self.object_api = f"http://{host}:{process.port}"
        return self.launch(
            process,
            ["fuchsiapin.tests.standins.objectapi"]
            + ["--host", host, "--port", str(process.port)],
        )

    def start_balancer(self, name: str, zone: str) -> Process:
        """Start a balancer with a caller address per service."""
        process = Process(name, "balancer", zone, host=self.next_host())
        process.port = free_port(process.host, self.taken_ports)
        for service in self.deployment.services:
            port = free_port(process.host, self.taken_ports)
            process.callers[service] = (process.host, port)
        callers = [
            {"service": service, "host": host, "port": port}
            for service, (host, port) in process.callers.items()
        ]
        settings = self.common_settings(process) | {"callers": callers}
        path = self.write_settings(process, settings)
        return self.launch(process, ["fuchsiapin.daemons.balancer", str(path)])

    def start_upstream(self, name: str, service: str, zone: str, seed: int) -> Process:
        """Start a stand-in for an upstream."""
        process = Process(f"upstream-{name}", "upstream", zone, service)
        process.host = self.next_host()
        process.port = free_port(process.host, self.taken_ports)
        admin = free_port(process.host, self.taken_ports)
        process.admin = f"http://{process.host}:{admin}"
        return self.launch(
            process,
            ["fuchsiapin.tests.standins.upstreamadmin", "--host", process.host]
            + ["--port", str(process.port), "--admin-port", str(admin)]
            + ["--name", name, "--service", service, "--seed", str(seed)]
            + ["--service-ms", str(self.service_ms)],
        )

    def start_side(self, name: str) -> Process:
        """Start a side process beside its upstream, on the same VM."""
        upstream = self.processes[f"upstream-{name}"]
        process = Process(name, "side", upstream.zone, upstream.service)
        process.host = upstream.host
        process.port = free_port(process.host, self.taken_ports)
        settings = self.common_settings(process) | {
            "service": upstream.service,
            "upstream": {"host": upstream.host, "port": upstream.port},
        }
        path = self.write_settings(process, settings)
        return self.launch(process, ["fuchsiapin.daemons.side", str(path)])

    def start_fabric(self, service: str, seed: int = 1) -> Process:
        """Start a stand-in for the fabric in front of the balancers of a service."""
        process = Process(f"fabric-{service}", "fabric", "", service, self.next_host())
        process.port = free_port(process.host, self.taken_ports)
        admin = free_port(process.host, self.taken_ports)
        process.admin = f"http://{process.host}:{admin}"
        balancer_addresses = [
            f"{host}:{port}" for host, port in self.addresses(service)
        ]
        return self.launch(
            process,
            ["fuchsiapin.tests.standins.fabric", "--host", process.host]
            + ["--port", str(process.port), "--admin-port", str(admin)]
            + ["--seed", str(seed), *balancer_addresses],
        )

    def common_settings(self, process: Process) -> dict[str, Any]:
        """Choose an admin address; return the settings that all roles have."""
        admin = free_port(process.host, self.taken_ports)
        process.admin = f"http://{process.host}:{admin}"
        return {
            "name": process.name,
            "availability_zone": process.zone,
            "deployment": self.deployment.name,
            "peer": {"host": process.host, "port": process.port},
            "admin": {"host": process.host, "port": admin},
            "object_api": self.object_api,
            "keys": [KEY],
        }

    def write_settings(self, process: Process, settings: dict[str, Any]) -> Path:
        """Write a settings file; return its path."""
        path = self.folder / f"{process.name}.json"
        path.write_text(json.dumps(settings, indent=1))
        return path

    # Operator commands

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operator's command line for this deployment."""
        variables = {
            "FUCHSIAPIN_OBJECT_API": self.object_api,
            "FUCHSIAPIN_DEPLOYMENT": self.deployment.name,
        }
        return subprocess.run(
            [sys.executable, "-m", "fuchsiapin.daemons.ctl", *arguments],
            env=os.environ | variables,
            capture_output=True,
            text=True,
        )

    def apply(self) -> None:
        """Apply the example's register and rules, or generated ones if there is none.

        Raises
        ------
        RuntimeError
            If the command line fails; contains its output.
        """
        folder = EXAMPLES / self.deployment.name
        if not folder.exists():
            folder = self.write_inputs()
        [register] = folder.glob("register.*")
        wait_until(
            lambda: call("GET", f"{self.object_api}/counts") is not None,
            30,
            "object API answers",
        )
        done = self.run_ctl("apply", str(register), str(folder / "rules.json"))
        if done.returncode:
            raise RuntimeError(f"command `apply` failed: {done.stdout}{done.stderr}")

    def write_inputs(self) -> Path:
        """Write register and rules for these processes; return their directory."""
        assets = [
            {
                "name": side.name,
                "vm": f"vm-{side.name}",
                "address": side.host,
                "availability_zone": side.zone,
                "service": side.service,
                "slots": SLOTS,
                "connections": CONNECTIONS,
            }
            for side in self.of_role("side")
        ]
        rules = {"deployment": self.deployment.name}
        (self.folder / "register.json").write_text(json.dumps({"assets": assets}))
        (self.folder / "rules.json").write_text(json.dumps(rules))
        return self.folder

    # Queries

    def of_role(self, role: str, service: str = "") -> list[Process]:
        """Return the processes of a role, of one service if it is given."""
        return [
            process
            for process in self.processes.values()
            if process.role == role and service in ("", process.service)
        ]

    def read_object(self, key: str) -> Any:
        """Return an object of the object API, None if it does not exist."""
        return call("GET", f"{self.object_api}/objects/{key}")

    def set_faults(self, **faults: Any) -> None:
        """Set or clear faults of the object API stand-in."""
        call("PUT", f"{self.object_api}/faults", faults)

    def members(self, service: str) -> dict[str, str]:
        """Return the state of each member of a service."""
        found = self.read_object(f"members/{service}")
        members = found["view"]["members"] if found else []
        return {member["id"]: member["state"] for member in members}

    def balancers(self, zone: str) -> set[str]:
        """Return the ids of the balancers in the object of an availability zone."""
        found = self.read_object(f"balancers/{zone}")
        return {member["id"] for member in found["members"]} if found else set()

    def service_of(self, name: str) -> str:
        """Return the service of a process, empty if it has none or does not exist."""
        process = self.processes.get(name)
        return process.service if process else ""

    def executions(self, service: str) -> dict[str, list[dict[str, Any]]]:
        """Return the execution log of each upstream of a service."""
        logs = {}
        for process in self.of_role("upstream", service):
            logs[process.name] = call("GET", f"{process.admin}/executions") or []
        return logs

    def addresses(self, service: str) -> list[tuple[str, int]]:
        """Return the caller addresses of a service, one per balancer."""
        return [process.callers[service] for process in self.of_role("balancer")]

    def unready_reasons(self, name: str) -> list[str]:
        """Return the reasons why a process is not ready, empty if it is."""
        process = self.processes[name]
        readiness = call("GET", f"{process.admin}/ready")
        if readiness is None:
            return ["its admin address does not answer"]
        reasons = list(readiness["reasons"])
        if process.role == "balancer" and name not in self.balancers(process.zone):
            reasons.append("it is not stored as a balancer")
        for service, address in process.callers.items():
            if not answers_ping(address):
                reasons.append(f"no ping is answered for {service}")
        if process.role == "side" and name not in self.members(process.service):
            reasons.append("it is not stored as a member")
        return reasons

    def is_ready(self, name: str) -> bool:
        """Return whether a process is ready."""
        return not self.unready_reasons(name)

    def unready_processes(self) -> dict[str, list[str]]:
        """Return the reasons of all processes that are not ready, by name."""
        found = {
            process.name: self.unready_reasons(process.name)
            for process in [*self.of_role("side"), *self.of_role("balancer")]
        }
        return {name: reasons for name, reasons in found.items() if reasons}

    def check_alive(self) -> None:
        """Check that no process exited unexpectedly.

        Raises
        ------
        RuntimeError
            If processes exited; contains their names and the directory of the logs.
        """
        ended = [p.name for p in self.processes.values() if p.handle.poll() is not None]
        if ended:
            raise RuntimeError(
                f"processes exited: {', '.join(ended)}; logs in {self.folder}"
            )

    def wait_ready(self) -> None:
        """Wait until every process is ready.

        Raises
        ------
        TimeoutError
            If not all become ready in time; contains the reasons.
        """

        def is_ready() -> bool:
            self.check_alive()
            return not self.unready_processes()

        try:
            wait_until(is_ready, READY_TIMEOUT_S, f"{self.deployment.name} ready")
        except TimeoutError as error:
            raise TimeoutError(f"{error}: {self.unready_processes()}") from error

    def describe(self) -> dict[str, Any]:
        """Return the entry of this deployment in `run/addresses.json`."""
        return {
            "object_api": self.object_api,
            "services": {
                service: [list(address) for address in self.addresses(service)]
                for service in self.deployment.services
            },
            "processes": [process.describe() for process in self.processes.values()],
        }

    # Stopping

    def kill(self, name: str) -> None:
        """Kill one process."""
        process = self.processes.pop(name)
        process.handle.kill()
        process.handle.wait()

    def stop(self, name: str) -> int:
        """Stop one process as planned; return its exit code."""
        process = self.processes.pop(name)
        process.handle.terminate()
        try:
            return process.handle.wait(STOP_TIMEOUT_S)
        finally:
            process.handle.kill()

    def stop_all(self) -> None:
        """Kill all processes, which also ends suspended ones."""
        for process in self.processes.values():
            process.handle.kill()
        for process in self.processes.values():
            process.handle.wait()
        self.processes.clear()
