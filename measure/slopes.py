"""Costs of control in one process, measured at several sizes on one machine."""

import random
import resource
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fuchsiapin import messages
from fuchsiapin.coap.acknowledgements import Acknowledgements
from fuchsiapin.coap.balancercore import BalancerCore, make_balancer_core
from fuchsiapin.coap.envelope import EnvelopeDecoder, EnvelopeEncoder
from fuchsiapin.coap.sidecore import make_side_core
from fuchsiapin.codec import encode_object
from fuchsiapin.messages import Member, ObjectSeen, View
from fuchsiapin.registry import Registry
from fuchsiapin.replicas import pack_value
from fuchsiapin.views import pair_of

__all__ = ["Slope", "fit", "measure_slopes", "slopes"]

slopes = Registry("slope")
"""Functions that measure a cost at a size, by the cost's name."""

KEY = bytes(32)
REPEATS = 200
US_PER_S = 1e6
SIDES_PER_SERVICE = 13


@dataclass(frozen=True)
class Slope:
    """Values of one cost at several sizes, and the line fitted to them.

    Parameters
    ----------
    name : str
        Name of the cost.
    over : str
        Kind of items that the size counts.
    unit : str
        Unit of the values.
    sizes, values : list
        Sizes and the values measured at them.
    slope, base : float
        Least-squares line through the values.
    """

    name: str
    over: str
    unit: str
    sizes: list[int]
    values: list[float]
    slope: float
    base: float


def fit(sizes: list[int], values: list[float]) -> tuple[float, float]:
    """Return slope and base of the least-squares line.

    Examples
    --------
    >>> fit([1, 2, 3], [3.0, 5.0, 7.0])
    (2.0, 1.0)
    """
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    squares = sum((size - mean_x) ** 2 for size in sizes)
    points = zip(sizes, values, strict=True)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    return slope, mean_y - slope * mean_x


def cpu_time_us(call: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the mean processor time of one call in microseconds."""
    call()
    began = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - began) / repeats * US_PER_S


def make_member(service: str, number: int) -> Member:
    """Return a member with a random address."""
    zone = f"region-{number % 3}-zone-{number % 9}"
    rng = random.Random(f"{service}-{number}")
    host = random_host(rng)
    return Member(
        f"{service}-upstream-{number:05}",
        1_700_000_000_000 + rng.getrandbits(36),
        host,
        7000,
        zone,
        2000,
        "live",
        f"{host}:7001",
    )


def random_host(rng: random.Random) -> str:
    """Return a random IPv4 address."""
    return f"10.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(256)}"


def make_membership(service: str, members: int, number: int = 3) -> bytes:
    """Return a stored membership with two earlier views."""
    views = [
        View(n, [make_member(service, m) for m in range(members)])
        for n in (number - 2, number - 1, number)
    ]
    value = messages.ServiceMembership(service, views[2], views[:2], "change-id-1")
    return encode_object(value)


def make_zone(balancers: int, number: int = 1) -> bytes:
    """Return a stored zone."""
    rng = random.Random(balancers)
    members = [
        messages.BalancerMember(
            f"balancer-{n:04}",
            1_700_000_000_000 + rng.getrandbits(36),
            host := random_host(rng),
            7000,
            "zone-1",
            "live",
            f"{host}:7001",
        )
        for n in range(balancers)
    ]
    return encode_object(messages.ZoneBalancers("zone-1", number, members, "change-1"))


def make_config(upstreams: int, number: int = 1) -> bytes:
    """Return a stored configuration of services of 13 upstreams."""
    rng = random.Random(1)
    services = []
    for first in range(0, upstreams, SIDES_PER_SERVICE):
        group = [
            messages.UpstreamConfig(
                f"service-{first:05}-upstream-{n:05}",
                f"vm-{rng.getrandbits(32):08x}",
                random_host(rng),
                f"region-{n % 3}-zone-{n % 9}",
                2,
                2000,
                False,
            )
            for n in range(first, min(first + SIDES_PER_SERVICE, upstreams))
        ]
        services.append(
            messages.ServiceConfig(f"service-{first:05}", 20_000, 64, group, [])
        )
    return encode_object(
        messages.Configuration("d", number, "operator", "change-1", services, [])
    )


def make_balancer(services: int = 0) -> BalancerCore:
    """Return a balancer that holds the memberships of some services."""
    me = messages.BalancerMember(
        "balancer-0001", 1, "10.0.0.1", 1, "zone-1", "live", ""
    )
    core = make_balancer_core(me, 1)
    for number in range(services):
        name = f"service-{number:05}"
        value = make_membership(name, SIDES_PER_SERVICE)
        core.handle(0, ObjectSeen(f"members/{name}", number + 1, value))
    return core


def allocated_bytes(make: Callable[[], Any]) -> float:
    """Return the bytes that an object allocates."""
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


@slopes.register("membership object")
def membership_bytes(members: int) -> float:
    """Return the bytes of a stored membership with two earlier views."""
    return len(make_membership("service-1", members))


@slopes.register("membership packed")
def membership_packed(members: int) -> float:
    """Return the bytes of a membership as packed for a subscriber."""
    return len(pack_value(make_membership("service-1", members)))


@slopes.register("membership taken in")
def membership_time(members: int) -> float:
    """Return a balancer's time to apply one changed membership, without pushes."""
    core = make_balancer()
    values = [make_membership("s", members, n + 3) for n in range(52)]
    versions = iter(range(1, 1000))

    def apply() -> None:
        version = next(versions)
        core.handle(0, ObjectSeen("members/s", version, values[version]))

    return cpu_time_us(apply, 50)


@slopes.register("push to one subscriber")
def push_time(members: int) -> float:
    """Return the time to encode and decode one pushed membership, packed once."""
    value = make_membership("s", members)
    encoder, decoder = EnvelopeEncoder("a", 1, KEY), EnvelopeDecoder([KEY])
    copy = messages.RelayCopy("members/s", 5, pack_value(value))
    return cpu_time_us(lambda: decoder.decode(encoder.encode(copy)))


@slopes.register("zone object")
def zone_bytes(balancers: int) -> float:
    """Return the bytes of a stored zone."""
    return len(make_zone(balancers))


@slopes.register("zone packed")
def zone_packed(balancers: int) -> float:
    """Return the bytes of a zone as packed for a subscriber."""
    return len(pack_value(make_zone(balancers)))


@slopes.register("zone taken in")
def zone_time(balancers: int) -> float:
    """Return a balancer's time to apply one changed zone, without pushes."""
    core = make_balancer()
    values = [make_zone(balancers, n + 1) for n in range(12)]
    versions = iter(range(1, 1000))

    def apply() -> None:
        version = next(versions)
        core.handle(0, ObjectSeen("balancers/zone-1", version, values[version]))

    return cpu_time_us(apply, 10)


@slopes.register("configuration object")
def config_bytes(upstreams: int) -> float:
    """Return the bytes of a stored configuration."""
    return len(make_config(upstreams))


@slopes.register("configuration packed")
def config_packed(upstreams: int) -> float:
    """Return the bytes of a configuration as packed for a subscriber."""
    return len(pack_value(make_config(upstreams)))


@slopes.register("configuration taken in")
def config_time(upstreams: int) -> float:
    """Return a process's time to apply one changed configuration."""
    core = make_balancer()
    values = [make_config(upstreams, n + 1) for n in range(12)]
    versions = iter(range(1, 1000))

    def apply() -> None:
        version = next(versions)
        core.handle(0, ObjectSeen("config/d", version, values[version]))

    return cpu_time_us(apply, 10)


@slopes.register("balancer memory")
def balancer_memory(services: int) -> float:
    """Return the bytes that a balancer allocates for services of 13 members."""
    return allocated_bytes(lambda: make_balancer(services))


@slopes.register("digest answered")
def digest_time(services: int) -> float:
    """Return a parent's time for a digest and its answer, encoded and decoded."""
    core = make_balancer(services)
    encoder, decoder = EnvelopeEncoder("child", 1, KEY), EnvelopeDecoder([KEY])
    topics = ["members/service-00001", "balancers/", "config/d"]
    digest = messages.RelayDigest(
        "10.0.0.2", 1, topics, core.relay.replicas.digest(topics), 0, False
    )

    def answer() -> None:
        sender, incarnation, message = decoder.decode(encoder.encode(digest))
        event = messages.PeerMessage(sender, incarnation, message)
        for effect in core.handle(1, event):
            encoder.encode(effect.message)

    return cpu_time_us(answer)


@slopes.register("sums in force")
def sums_time(deployments: int) -> float:
    """Return the time to sum and hash the acknowledgements of the subscribers."""
    acks = Acknowledgements("balancer")
    sums = [
        messages.ConfigAck(f"config/deployment-{n}", 9, 9, 40, 0, [])
        for n in range(deployments)
    ]
    for child in range(8):
        acks.put(f"balancer-{child}", sums)
    for child in range(7):
        acks.put(f"side-{child}", sums[:1])
    for ack in sums:
        acks.set_in_force(ack.key, 9)
    return cpu_time_us(acks.digest, 50)


@slopes.register("heartbeat round")
def heartbeat_time(members: int) -> float:
    """Return the time to encode and decode one heartbeat per peer."""
    encoder, decoder = EnvelopeEncoder("a", 1, KEY), EnvelopeDecoder([KEY])
    beat = messages.Heartbeat("service-1", 10, 10, 10, 5)

    def beat_all() -> None:
        for _ in range(members):
            decoder.decode(encoder.encode(beat))

    return cpu_time_us(beat_all)


@slopes.register("placing flows")
def placing_time(flows: int) -> float:
    """Return the time to rank 13 members for each flow, as after a view change."""
    members = [make_member("s", n) for n in range(SIDES_PER_SERVICE)]
    keys = [f"s|10.0.{n // 250}.{n % 250}|4000".encode() for n in range(flows)]

    def place() -> None:
        for key in keys:
            pair_of(key, members)

    return cpu_time_us(place, 3)


@slopes.register("observation memory")
def observation_memory(flows: int) -> float:
    """Return the bytes that a side process allocates for open observations."""

    def make() -> list[messages.Observation]:
        return [
            messages.Observation(
                f"10.0.{n // 250}.{n % 250}", 4000, b"%08d" % n, b"x" * 40, n, "b-1"
            )
            for n in range(flows)
        ]

    return allocated_bytes(make)


@slopes.register("side memory")
def side_memory(balancers: int) -> float:
    """Return the bytes that a side process allocates for its service and one zone."""

    def make() -> Any:
        me = make_member("service-1", 1)
        core = make_side_core("service-1", me, 1)
        value = make_membership("service-1", SIDES_PER_SERVICE)
        core.handle(0, ObjectSeen("members/service-1", 1, value))
        core.handle(0, ObjectSeen("balancers/zone-1", 2, make_zone(balancers)))
        return core

    return allocated_bytes(make)


SIZES: dict[str, tuple[str, str, list[int]]] = {
    "membership object": ("members", "B", [7, 13, 26, 52]),
    "membership packed": ("members", "B", [7, 13, 26, 52]),
    "membership taken in": ("members", "us", [7, 13, 26, 52]),
    "push to one subscriber": ("members", "us", [7, 13, 26, 52]),
    "zone object": ("balancers", "B", [50, 200, 600]),
    "zone packed": ("balancers", "B", [50, 200, 600]),
    "zone taken in": ("balancers", "us", [50, 200, 600]),
    "configuration object": ("upstreams", "B", [20, 200, 2000]),
    "configuration packed": ("upstreams", "B", [20, 200, 2000]),
    "configuration taken in": ("upstreams", "us", [20, 200, 2000]),
    "balancer memory": ("services", "B", [100, 400, 1600]),
    "digest answered": ("services", "us", [100, 400, 1600]),
    "sums in force": ("deployments", "us", [10, 30, 100]),
    "heartbeat round": ("members", "us", [7, 13, 26]),
    "placing flows": ("flows", "us", [1000, 5000, 20000]),
    "observation memory": ("flows", "B", [1000, 5000, 20000]),
    "side memory": ("balancers", "B", [50, 200, 600]),
}
"""Kind of items that the size counts, unit and measured sizes of each cost."""


def measure_slopes() -> list[Slope]:
    """Measure all costs and fit a line to each."""
    measured = []
    for name, (over, unit, sizes) in SIZES.items():
        values = [float(slopes.get(name)(size)) for size in sizes]
        measured.append(Slope(name, over, unit, sizes, values, *fit(sizes, values)))
    return measured


def resident_bytes(module: str) -> int:
    """Return the resident memory of a process that has loaded a daemon."""
    code = f"import {module}; print(open('/proc/self/statm').read().split()[1])"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return int(completed.stdout) * resource.getpagesize()


def message_bytes() -> dict[str, int]:
    """Return the encoded length of the periodic messages."""
    encoder = EnvelopeEncoder("service-00001-upstream-00001", 1_700_000_000_000, KEY)
    topics = ["members/service-00001", "balancers/", "config/deployment-01"]
    ack = messages.ConfigAck("config/deployment-01", 3000, 3000, 40, 0, [])
    samples = [
        messages.RelayDigest("10.100.100.100", 7000, topics, 2**63, 2**63, False),
        messages.RelayAnswer(True, False, 0, []),
        messages.Heartbeat("service-00001", 3000, 3000, 3000, 100),
        messages.BalancerHeartbeat("region-1-zone-1", 3000, 3000),
        messages.RelayAcks([ack]),
    ]
    return {type(m).__name__: len(encoder.encode(m)) for m in samples}
