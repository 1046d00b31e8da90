"""Starts, signals and stops the daemons as processes."""

import fcntl
import json
import os
import resource
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
METRICS_PORT = 20_164
LOG_MODES = ("file", "unread", "closed")
"""Where a process writes its log lines: to its file, or to a small pipe that nobody
reads, whose other end may be closed. Tracebacks go to the file in any case."""
PIPE_BYTES = 4_096
EXCERPT_LINES = 6


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
    has_metrics : bool
        Whether it serves metrics at `METRICS_PORT`.
    log_mode : str
        One of `LOG_MODES`, from its next start on.
    descriptors : int
        Limit of its open files, 0 for that of the soak test.
    asked : set of int
        Exit statuses that its signals since its start may lead to.
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
    has_metrics: bool = False
    log_mode: str = "file"
    log_reader: int | None = None
    descriptors: int = 0
    asked: set[int] = field(default_factory=set)
    predecessors: list[subprocess.Popen] = field(default_factory=list)

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.vm.name}.json"

    @property
    def log_path(self) -> Path:
        """Return the path of the log."""
        return self.folder / f"{self.vm.name}.log"

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
            "metrics_port": METRICS_PORT * self.has_metrics,
            "evacuation_ms": str(self.evacuation_ms or ""),
        }

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.process is not None:
            return
        self.settings_path.write_text(json.dumps(self.settings()))
        self.start_count += 1
        self.asked = set()
        with self.log_path.open("ab") as log_file:
            output = log_file.fileno() if self.log_mode == "file" else self.open_pipe()
            self.process = subprocess.Popen(
                [sys.executable, str(MAIN), self.vm.role],
                stdout=output,
                stderr=log_file,
                env={**os.environ, "FUCHSIAPIN_SETTINGS": str(self.settings_path)},
                cwd=ROOT,
            )
            if self.log_mode != "file":
                os.close(output)
        self.limit_descriptors(self.descriptors)
        self.is_paused = False

    def open_pipe(self) -> int:
        """Return the end of a new pipe that the process writes its log lines to."""
        if self.log_reader is not None:
            os.close(self.log_reader)
        self.log_reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        if self.log_mode == "closed":
            os.close(self.log_reader)
            self.log_reader = None
        return writer

    def limit_descriptors(self, limit: int) -> None:
        """Limit the open files of the process and its successors; 0 for no limit."""
        self.descriptors = limit
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self.process is not None and self.process.poll() is None:
            pid = self.process.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit or soft, hard))

    def replace_early(self) -> subprocess.Popen | None:
        """Start the successor while the process stops; return the latter."""
        self.signal(signal.SIGTERM)
        predecessor, self.process = self.process, None
        if predecessor is not None:
            self.predecessors.append(predecessor)
        self.start()
        return predecessor

    def runs_program(self) -> bool:
        """Return whether the interpreter has begun to import modules of the program.

        A signal that comes before can't be handled by it.
        """
        if self.process is None:
            return False
        try:
            maps = Path(f"/proc/{self.process.pid}/maps").read_text()
        except OSError:
            return False
        return ".cpython-" in maps

    def reload(self) -> None:
        """Signal the process to reload its settings, once its program runs."""
        if self.runs_program():
            self.signal(signal.SIGHUP)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.asked |= {0, -number}
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.is_paused = number == signal.SIGSTOP

    def poll(self) -> int | None:
        """Return the exit status if the process ended since the last call."""
        if self.process is None or self.process.poll() is None:
            return None
        status, self.process = self.process.returncode, None
        return status

    def end_error(self, status: int) -> str:
        """Return how the process ended if no signal asked for it, empty otherwise."""
        if status in self.asked:
            return ""
        lines = self.log_path.read_text(errors="replace").splitlines()
        excerpt = "".join(f"\n    {line[:200]}" for line in lines[-EXCERPT_LINES:])
        return f"{self.vm.name}: status {status}, log:{excerpt}"

    def shut_down(self) -> None:
        """Kill the process, wait until it has ended, and prevent a restart."""
        self.should_restart = False
        for process in [*self.predecessors, *([self.process] if self.process else [])]:
            process.kill()
            process.wait(KILL_TIMEOUT_S)
        self.process = None
