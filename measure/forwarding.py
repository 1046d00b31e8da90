"""Benchmark of a balancer's time per datagram and memory per flow.

The balancer is compared with a bare forwarder. Both read datagrams from a
loopback socket through Twisted's UDP port and write each one to another address.
The time spent on sending the datagrams to them is not counted. Compare figures
only with others from the same machine.
"""

import cProfile
import json
import pstats
import random
import socket
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

from fuchsiapin import messages
from fuchsiapin.clock import SystemClock
from fuchsiapin.coap.balancercore import make_balancer_core
from fuchsiapin.coap.recordtable import RecordTable
from fuchsiapin.codec import encode_object
from fuchsiapin.daemons.balancer import BalancerShell, CallerSocket
from fuchsiapin.settings import Settings
from fuchsiapin.settingsmodel import Address

__all__ = ["main", "measure_forwarding"]

SERVICE = "swapdesk"
HOST = "127.0.0.1"
SOCKET_BYTES = 65_536
BATCH = 64
"""Number of datagrams sent to the socket before it is read."""
PAYLOAD_BYTES = 64
SIDES = 7
RECORDS = 100_000
REPLY_BYTES = 64
ROUNDS = 5
TOP = 18


class BareForwarder(DatagramProtocol):
    """Forwards each datagram to one address."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram."""
        self.transport.write(datagram, self.target)


class ManyCallers(DatagramProtocol):
    """Passes datagrams to a protocol as if they came from many callers in turn.

    Parameters
    ----------
    inner : DatagramProtocol
        The protocol that is measured.
    flows : list of (str, int)
        Addresses of the callers, used one after the other.
    """

    def __init__(self, inner: DatagramProtocol, flows: list[tuple[str, int]]) -> None:
        self.inner = inner
        self.flows = flows
        self.count = 0

    def makeConnection(self, transport: Any) -> None:
        """Connect both protocols to the same socket."""
        super().makeConnection(transport)
        self.inner.makeConnection(transport)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on with the next caller's address as its source."""
        caller = self.flows[self.count % len(self.flows)]
        self.count += 1
        self.inner.datagramReceived(datagram, caller)


def make_flows(count: int) -> list[tuple[str, int]]:
    """Return addresses of callers in random order."""
    flows = [
        (f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}", 40_000) for n in range(count)
    ]
    random.Random(1).shuffle(flows)
    return flows


def make_shell(target: tuple[str, int]) -> BalancerShell:
    """Return a balancer with one service, whose side processes share one address."""
    settings = Settings(
        name="balancer-1",
        availability_zone="bole",
        peer=Address(HOST, 1),
        object_api="http://127.0.0.1:1",
        keys=["00" * 16],
    )
    clock = SystemClock()
    shell = BalancerShell(reactor, settings, clock)
    me = messages.BalancerMember("balancer-1", 1, HOST, 1, "bole", "live", "")
    shell.core = make_balancer_core(me, 1)
    members = [
        messages.Member(f"{SERVICE}-{n}", 1, *target, f"zone-{n % 3}", 2_000, "live")
        for n in range(SIDES)
    ]
    membership = messages.ServiceMembership(SERVICE, messages.View(1, members), [], "1")
    seen = messages.ObjectSeen(f"members/{SERVICE}", 1, encode_object(membership))
    shell.core.handle(clock.now(), seen)
    shell.peers.listen(HOST, 0)
    return shell


def time_port(port: Any, receiver: ManyCallers, total: int) -> float:
    """Return the processor time per datagram in microseconds.

    The time spent on sending the datagrams to the port is not counted.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = (HOST, port.getHost().port)
    payload = b"\x40\x02" + bytes(PAYLOAD_BYTES - 2)
    spent_ns = 0
    for _ in range(total // BATCH):
        for _ in range(BATCH):
            sender.sendto(payload, address)
        expected_count = receiver.count + BATCH
        started_at = time.process_time_ns()
        while receiver.count < expected_count:
            port.doRead()
        spent_ns += time.process_time_ns() - started_at
    sender.close()
    return spent_ns / 1000 / (total // BATCH * BATCH)


def time_forwarding(flows: int, total: int) -> tuple[float, float, float]:
    """Return the times of the bare forwarder and the balancer, and their ratio.

    Each time is the best of `ROUNDS` rounds.
    """
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind((HOST, 0))
    target = sink.getsockname()
    callers = make_flows(flows)
    bare = ManyCallers(BareForwarder(target), callers)
    full = ManyCallers(CallerSocket(SERVICE, make_shell(target)), callers)
    ports = [
        reactor.listenUDP(0, receiver, HOST, SOCKET_BYTES) for receiver in (bare, full)
    ]
    rounds = [
        (time_port(ports[0], bare, total), time_port(ports[1], full, total))
        for _ in range(ROUNDS)
    ]
    least_bare = min(one for one, _ in rounds)
    least_full = min(other for _, other in rounds)
    return least_bare, least_full, least_full / least_bare


def bytes_per_item(count: int, fill: Callable[[int], Any]) -> float:
    """Return the bytes per item of an object that `fill` makes with `count` items."""
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    kept = fill(count)
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (bytes_after - bytes_before) / count


def fill_balancer(count: int) -> BalancerShell:
    """Return a balancer after one datagram from each of this many flows."""
    shell = make_shell((HOST, 9))
    now = shell.clock.now()
    for host, port in make_flows(count):
        shell.core.handle(now, messages.CallerDatagram(SERVICE, host, port, b""))
    return shell


def fill_records(count: int) -> RecordTable:
    """Return a table with this many records of answered requests."""
    table = RecordTable(count)
    for number in range(count):
        key = number.to_bytes(12, "big")
        answer = bytes([number % 256]) * REPLY_BYTES
        host = f"10.9.{number >> 8 & 255}.{number & 255}"
        table.put(
            messages.Record(key, host, 4_000, key[:8], "done", "a#1", answer, number)
        )
    return table


def profile(flows: int, total: int) -> None:
    """Print a profile of the balancer, the `TOP` functions by own time."""
    shell = make_shell((HOST, 9))
    callers = make_flows(flows)
    inner = CallerSocket(SERVICE, shell)
    profiler = cProfile.Profile()
    profiler.enable()
    for number in range(total):
        inner.datagramReceived(bytes(PAYLOAD_BYTES), callers[number % flows])
    profiler.disable()
    pstats.Stats(profiler).sort_stats("tottime").print_stats(TOP)


def measure_forwarding(
    *,
    flows: int = 300_000,
    total: int = 64_000,
    profiled: bool = False,
    out: Path = Path("reports/forwarding.json"),
) -> None:
    """Measure a balancer's time per datagram and memory per flow.

    Parameters
    ----------
    flows : int
        Number of flows, which send one datagram in turn.
    total : int
        Number of datagrams per round.
    profiled : bool
        Also print a profile.
    out : Path
        File that the report is written to.
    """
    bare_us, balancer_us, ratio = time_forwarding(flows, total)
    report = {
        "flows": flows,
        "bare_us": round(bare_us, 2),
        "balancer_us": round(balancer_us, 2),
        "ratio": round(ratio, 2),
        "balancer_bytes_a_flow": round(bytes_per_item(flows, fill_balancer), 1),
        "record_bytes": round(bytes_per_item(RECORDS, fill_records)),
    }
    print(json.dumps(report, indent=1))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(report, indent=1) + "\n")
    if profiled:
        profile(flows, total)


def main() -> None:
    """Run the benchmark from the command line."""
    defopt.run(measure_forwarding)


if __name__ == "__main__":
    main()
