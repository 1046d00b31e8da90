"""Runs one process of packet flows as on the platform, with settings of its own."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from fuchsiapin_platform.settings import SETTINGS_VARIABLE  # noqa: E402

__all__ = ["HOST", "ROOT", "WAIT_S", "RealProcess", "free_ports", "read_lines"]

HOST = "127.0.0.1"
WAIT_S = 60


def free_ports(count: int) -> list[int]:
    """Return different ports that are free for both protocols."""
    ports: list[int] = []
    with contextlib.ExitStack() as opened:
        while len(ports) < count:
            stream = opened.enter_context(socket.socket())
            stream.bind((HOST, 0))
            with socket.socket(type=socket.SOCK_DGRAM) as other:
                try:
                    other.bind(stream.getsockname())
                except OSError:
                    continue
            ports.append(stream.getsockname()[1])
    return ports


def read_lines(text: bytes) -> list[dict]:
    """Return the decoded log lines."""
    return [json.loads(line) for line in text.splitlines() if line.startswith(b"{")]


class RealProcess:
    """A process in a folder of its own, which is removed after the test.

    Parameters
    ----------
    test : TestCase
        Test that uses it.
    role : str
        Role of the process.
    changes : dict
        Settings that differ from usual ones.
    """

    def __init__(
        self, test: unittest.TestCase, role: str = "balancer", **changes: object
    ) -> None:
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"
        self.log = Path(folder.name) / "log"
        self.role = role
        ports = free_ports(7)
        callers, ready, control, store, peers, metrics, outbound = ports
        self.values = {
            "name": f"{role}-1",
            "role": role,
            "host": HOST,
            "zone": "z",
            "callers": f"{HOST}:{callers}",
            "ready": f"{HOST}:{ready}",
            "control": f"{HOST}:{control}",
            "outbound": f"{HOST}:{outbound}" if role == "side" else "",
            "upstream": f"{HOST}:{store}" if role == "side" else "",
            "service": "desk" if role == "side" else "",
            "store": f"{HOST}:{store}",
            "ports": [peers, peers + 15],
            "seeds": [],
            "heartbeat_ms": 770,
            "flow_s": 60,
            "grace_s": 6,
            "metrics_port": metrics,
        } | changes
        self.path.write_text(json.dumps(self.values))
        self.process: subprocess.Popen | None = None
        test.addCleanup(self.kill)

    def start(self, **options: object) -> subprocess.Popen:
        """Start the process; options are those of `Popen`."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "platform/main.py", self.role],
                **{  # type: ignore[arg-type]
                    "cwd": ROOT,
                    "stdin": subprocess.DEVNULL,
                    "stdout": log,
                    "stderr": log,
                    "env": {
                        "PATH": os.environ["PATH"],
                        SETTINGS_VARIABLE: str(self.path),
                    },
                }
                | options,
            )
        return self.process

    def lines(self, number: int) -> list[dict]:
        """Return the log lines of an event."""
        return [
            line
            for line in read_lines(self.log.read_bytes())
            if line["number"] == number
        ]

    def wait_for(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds.

        Raises
        ------
        AssertionError
            If it doesn't for a minute.
        """
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(self.log.read_text()[-2_000:])
            time.sleep(0.02)

    def wait_until_started(self) -> None:
        """Wait for the log line of the start."""
        self.wait_for(lambda: self.lines(1101))

    def end(self) -> int:
        """Stop the process as planned; return its exit status."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_S)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(WAIT_S)
