"""Starts, signals and stops the daemons as processes."""

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["ManagedProcess", "Vm", "format_address"]

ROOT = Path(__file__).parent.parent
MAIN = ROOT / "platform" / "main.py"
KILL_TIMEOUT_S = 10
"""Time that a killed process may take to end."""


@dataclass(frozen=True)
class Vm:
    """Name, role, zone and loopback addresses of one VM."""

    name: str
    role: str
    host: str
    service: str
    zone: str
    callers: tuple[str, int]
    ready: tuple[str, int]
    control: tuple[str, int]
    upstream: tuple[str, int] = ("", 0)
    outbound: tuple[str, int] = ("", 0)


def format_address(address: tuple[str, int]) -> str:
    """Return an address in the form used in settings, empty if the port is 0."""
    return f"{address[0]}:{address[1]}" if address[1] else ""


@dataclass
class ManagedProcess:
    """One daemon of the system, on one VM.

    Attributes
    ----------
    seed_hosts : list of str
        Hosts of the balancers in the setting `seeds`.
    evacuation_ms : int
        Time within which an evacuation is in force, 0 if zones can't be evacuated.
    is_paused : bool
        Whether it is suspended by SIGSTOP.
    should_restart : bool
        Whether it is restarted when it ends.
    """

    vm: Vm
    bind: str
    store_address: tuple[str, int]
    peer_port: int
    seed_hosts: list[str]
    folder: Path
    evacuation_ms: int = 0
    process: subprocess.Popen | None = None
    is_paused: bool = False
    should_restart: bool = True
    start_count: int = 0
    exit_statuses: list[int] = field(default_factory=list)

    def settings(self) -> dict:
        """Return the settings, with the keys of the platform's template."""
        vm = self.vm
        return {
            "name": vm.name,
            "role": vm.role,
            "host": vm.host,
            "bind": self.bind,
            "zone": vm.zone,
            "callers": format_address(vm.callers),
            "ready": format_address(vm.ready),
            "control": format_address(vm.control),
            "outbound": format_address(vm.outbound),
            "upstream": format_address(vm.upstream),
            "service": vm.service,
            "store": format_address(self.store_address),
            "ports": [self.peer_port, self.peer_port + 15],
            # the platform's settings use only the host of a seed, not its port
            "seeds": [f"{host}:1" for host in self.seed_hosts],
            "heartbeat_ms": 300,
            "flow_s": 60,
            "grace_s": 4,
            "metrics_port": 0,
            "evacuation_ms": str(self.evacuation_ms or ""),
        }

    def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.vm.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.start_count += 1
        log = self.folder / f"{self.vm.name}.log"
        with log.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, str(MAIN), self.vm.role],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, "FUCHSIAPIN_SETTINGS": str(path)},
                cwd=ROOT,
            )
        self.is_paused = False

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.is_paused = number == signal.SIGSTOP

    def poll(self) -> int | None:
        """Return the exit status if the process ended since the last call."""
        if self.process is None or self.process.poll() is None:
            return None
        status, self.process = self.process.returncode, None
        self.exit_statuses.append(status)
        return status

    def shut_down(self) -> None:
        """Kill the process, wait until it has ended, and prevent a restart."""
        self.should_restart = False
        if self.process is not None:
            self.process.kill()
            self.process.wait(KILL_TIMEOUT_S)
            self.process = None
