"""Another writer: odd entries in the store, odd heartbeats and odd datagrams."""

import json
import math
import random
from typing import Any

import msgpack

from fuchsiapin.daemons.httpcalls import HttpClient
from fuchsiapin.flows.wire import MESSAGE_TYPES
from fuchsiapin.lightclasses import fields
from fuchsiapin.registry import Registry
from soak.store import RawJson, render_json

__all__ = ["OddWriter", "odd_message", "odd_value", "oddities"]

oddities = Registry("oddity")

NUMBERS = (
    *(2**62, 2**63, 10**30, -(2**70), -1, 0.5, True, 1e300, math.nan),
    *(RawJson("1e999"), RawJson("9" * 6_000)),
)
SHAPES = (
    *(None, {}, [], [["nested"]], {"spec": 1}),
    *(RawJson("[" * depth + "]" * depth) for depth in (5_000, 300_000)),
    RawJson('{"a":' * 5_000 + "1" + "}" * 5_000),
)
BAD_TEXTS = ("\udc0a\udcff", "x" * 100_000, RawJson('"\udcff\udcfe"'))
"""Texts that are valid nowhere; the last one is bytes that aren't UTF-8."""
STRANGE_TEXTS = ("", "a\0b", "db.example", "10.0.0.9:99999", "0.0.0.0", "odd /?&\r\n")
"""Texts that are neither addresses, services nor states."""
PLAIN_FIELDS = ("zone", "version")
"""Fields whose valid values can't be told from strange texts."""
NAMES = ("{} a/b?c&d=e#%41", "{}\r\nHost: b", "{}\udc0a\udcff", "{}" + "x" * 5_000)
MESSAGE_VALUES: dict[str, tuple] = {
    "int": (0, 2**31, 2**62, 2**63, 2**64 - 1, -1, -(2**63)),
    "str": ("", "db.example", "a\0b", "members/odd", "x" * 20_000),
    "bool": (False, True),
    "bytes": (b"", b"\x91" * 9_000, msgpack.packb([2**63])),
}
"""Values by the type of a field of a message."""
DATAGRAM_BYTES = 60_000
PAGE_ITEMS = 3
"""Items in a page of the store, so that pages end at odd names as well."""
MAX_STAY_MS = 4_000


def odd_value(rng: random.Random, name: str) -> Any:
    """Return an odd value of a field of an entry or a heartbeat."""
    texts = BAD_TEXTS + STRANGE_TEXTS * (name.lower() not in PLAIN_FIELDS)
    return rng.choice(rng.choice((NUMBERS, SHAPES, texts, texts)))


def odd_message(rng: random.Random, number: int) -> bytes:
    """Return a message of a type whose fields are odd, but have the right types."""
    values: list[Any] = [number]
    for field in fields(MESSAGE_TYPES[number]):
        kind = field.type.removeprefix("list[").rstrip("]")
        count = rng.choice((0, 1, 5, 300)) if kind != field.type else 1
        drawn = [rng.choice(MESSAGE_VALUES[kind]) for _ in range(count)]
        values.append(drawn if kind != field.type else drawn[0])
    return msgpack.packb(values)


class OddWriter:
    """Writes odd things a number of times; the processes must go on without loss.

    Parameters
    ----------
    soak : Soak
        The run.
    count : int
        Number of odd entries, heartbeats and series of datagrams.
    """

    def __init__(self, soak: Any, count: int) -> None:
        self.soak = soak
        # Drawn apart, so that a seed's other faults are the same with odd entries.
        self.rng = random.Random(f"writers {soak.seed}")
        self.count = count
        self.written = 0
        if count:
            soak.store.page_items = PAGE_ITEMS

    def schedule(self, start_ms: int, span_ms: int) -> None:
        """Schedule all within a span from a time on."""
        for _ in range(self.count):
            at = start_ms + self.rng.randint(0, span_ms)
            self.soak.loop.call_later(at, lambda now: self.write())

    def write(self) -> None:
        """Write one odd thing, mostly an entry."""
        self.written += 1
        name = self.rng.choice([*oddities.functions, "member", "balancer"])
        self.soak.log_fault(f"odd {name}: {oddities.get(name)(self)}")

    def put(self, kind: str, name: str, spec: Any) -> str:
        """Write an entry, which stays or is removed after a while."""
        store = self.soak.store
        store.put(kind, name, spec)
        stays = self.rng.random() < 0.5
        if not stays:
            delay = self.rng.randint(100, MAX_STAY_MS)
            self.soak.loop.call_later(delay, lambda now: store.delete(kind, name))
        return f"{name[:30]!a}, {'stays' if stays else 'is removed'}"

    def put_fields(self, kind: str, entry: dict[str, Any], living: str = "") -> str:
        """Write an entry that is a list of fields, odd in one way.

        At times it has the id of a `living` upstream under another name.
        """
        rng, name = self.rng, entry["id"]
        ways = ["fewer", "more", "shape", "name", *entry, *entry]
        way = rng.choice([*ways, "living"] if living else ways)
        odd: Any = None
        if way == "name":
            name = rng.choice(NAMES).format(name)
            entry |= {"id": rng.choice((name, entry["id"])), "host": self.unused()}
        elif way == "living":
            entry |= {"id": living, "state": rng.choice(("ready", "draining", "gone"))}
        elif way in entry:
            odd = entry[way] = odd_value(rng, way)
        values: Any = list(entry.values())
        if way == "fewer":
            values = values[: rng.randrange(len(values))]
        elif way == "more":
            values.append(1)
        elif way == "shape":
            odd = values = odd_value(rng, "spec")
        return f"{way} {odd!a:.40} of {self.put(kind, name, values)}"

    def unused(self) -> str:
        """Return the address of a VM on which nothing runs."""
        return f"{self.soak.network}.9.{self.rng.randint(1, 99)}"


@oddities.register("member")
def write_member(writer: OddWriter) -> str:
    """Write an odd entry among the members, at times at the address of a real one."""
    upstream = writer.rng.choice(writer.soak.upstreams)
    entry = {
        "id": f"odd-{writer.written}",
        "epoch": writer.soak.loop.clock.now(),
        "service": upstream.service,
        "host": writer.rng.choice((upstream.vm.host, writer.unused())),
        "zone": upstream.vm.zone,
        "slots": 4,
        "state": "ready",
    }
    return writer.put_fields("fuchsiapin-members", entry, upstream.id)


@oddities.register("balancer")
def write_balancer(writer: OddWriter) -> str:
    """Write an odd entry among the balancers."""
    entry = {
        "id": f"odd-{writer.written}",
        "started": writer.soak.loop.clock.now(),
        "host": writer.unused(),
        "zone": "z",
        "leaving": False,
    }
    return writer.put_fields("fuchsiapin-balancers", entry)


@oddities.register("entry of an operator")
def write_beside(writer: OddWriter) -> str:
    """Write an odd entry beside the configuration or among the evacuations."""
    kind = writer.rng.choice(("config", "evacuations"))
    name = writer.rng.choice(("{}", *NAMES)).format(f"odd-{writer.written}")
    spec = odd_value(writer.rng, "spec")
    return f"{kind} {spec!a:.40} of {writer.put(kind, name, spec)}"


@oddities.register("heartbeat")
def send_heartbeat(writer: OddWriter) -> str:
    """Send an odd heartbeat to a side process, at times with its upstream's id."""
    rng = writer.rng
    upstream = rng.choice(writer.soak.upstreams)
    values = json.loads(writer.soak.make_heartbeat(upstream, "ready"))
    field = rng.choice([*values])
    way = rng.choice(("missing", "bytes", "shape", *[field] * 4))
    if way == "missing":
        del values[field]
    elif way == field:
        values[field] = odd_value(rng, field)
    body = render_json(rng.choice(SHAPES) if way == "shape" else values)
    name = rng.choice((upstream.id, f"odd-{writer.written}"))
    path = f"/fuchsiapin/instances/{name}/heartbeat"
    body = b"\xff\xfe{\0" if way == "bytes" else body
    client = HttpClient(writer.soak.loop, *upstream.vm.control)
    client.call("POST", path, body, 1_000, lambda answer: None)
    return f"{way} {values.get(field)!a:.40} of {name} at {upstream.vm.name}"


@oddities.register("datagrams")
def send_datagrams(writer: OddWriter) -> str:
    """Send odd datagrams from one process to another, of each type of message too."""
    proxy = writer.soak.proxy
    sender, target = writer.rng.sample([*proxy.bind_by_host], 2)
    odd = [odd_message(writer.rng, number) for number in range(len(MESSAGE_TYPES))]
    odd += [writer.rng.randbytes(size) for size in (0, 1, 40, 9_000)]
    odd += [b"\x91" * DATAGRAM_BYTES, b"\xdd\xff\xff\xff\xff", msgpack.packb([2**63])]
    for data in odd:
        proxy.forward(sender, target, data[:DATAGRAM_BYTES])
    return f"from {sender} to {target}"
