"""One process of a local deployment, and helpers to query it."""

import ctypes
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

__all__ = [
    "Process",
    "answers_ping",
    "call",
    "die_with_parent",
    "free_port",
    "wait_until",
]

POLL_S = 0.1
CALL_TIMEOUT_S = 2.0
PING_TIMEOUT_S = 0.5
PING = bytes([0x40, 0, 0, 1])
"""An empty confirmable message, which is answered with a reset."""
RESET_TYPE = 3
NOT_READY = 503
"""Status of `/ready` while a process is not ready; the body has the reasons."""
SET_PARENT_DEATH_SIGNAL = 1
"""Option PR_SET_PDEATHSIG of prctl."""


@dataclass
class Process:
    """One process of a local deployment.

    Attributes
    ----------
    admin : str
        URL of its administration interface, empty if it has none.
    callers : dict
        Caller address by service, for a balancer.
    handle : subprocess.Popen or None
        The running process, None before it is started.
    """

    name: str
    role: str
    zone: str
    service: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    admin: str = ""
    callers: dict[str, tuple[str, int]] = field(default_factory=dict)
    handle: subprocess.Popen | None = None

    def describe(self) -> dict[str, Any]:
        """Return the entry of this process in `run/addresses.json`."""
        entry = {name: value for name, value in vars(self).items() if name != "handle"}
        entry["availability_zone"] = entry.pop("zone")
        return entry | {"pid": self.handle.pid}


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"timeout after {seconds} s: {what}")
        time.sleep(POLL_S)


def free_port(host: str, taken: set[tuple[str, int]]) -> int:
    """Return a port that is free for UDP and TCP, and add it to the taken ones."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            if (host, port) not in taken:
                taken.add((host, port))
                return port


def call(method: str, url: str, value: Any = None) -> Any:
    """Return the JSON value of an HTTP response, None if the call fails.

    A response with status 503 has a value too: the reasons of `/ready`.
    """
    body = None if value is None else json.dumps(value).encode()
    try:
        request = Request(url, data=body, method=method)
        with urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return json.loads(answer.read() or b"null")
    except HTTPError as error:
        return json_or_none(error.read()) if error.code == NOT_READY else None
    except (URLError, OSError, ValueError):
        return None


def json_or_none(body: bytes) -> Any:
    """Return the value of a JSON body, None if it is malformed."""
    try:
        return json.loads(body)
    except ValueError:
        return None


def answers_ping(address: tuple[str, int]) -> bool:
    """Return whether an address answers a CoAP ping with a reset."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.settimeout(PING_TIMEOUT_S)
        try:
            udp.sendto(PING, address)
            answer = udp.recv(64)
        except OSError:
            return False
    return len(answer) == len(PING) and (answer[0] >> 4) & 3 == RESET_TYPE


def die_with_parent() -> None:
    """Make the kernel kill this process when its parent ends."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
