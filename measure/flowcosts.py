"""Costs of packet flows at several sizes: `python -m measure.flowcosts`.

Prints the tables of docs/CAPACITY.md: processor time of decisions and memory of
stored state, each at four sizes with the line fitted to them, and message sizes.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.heldflows import HeldFlows
from fuchsiapin.flows.members import FlowMember, MemberTable, pack_member
from fuchsiapin.flows.messages import Copy, Forward, Held, Ping, Status
from fuchsiapin.flows.placement import least_loaded_of_few, rank_views
from fuchsiapin.flows.wire import encode_message
from fuchsiapin.replicas import Replicas, pack_value
from measure.slopes import fit

__all__ = ["measure_costs", "message_sizes"]

SIZES = (10, 40, 160, 640)
FLOWS = (1_000, 4_000, 16_000, 64_000)
REPEATS = 300
US_PER_S = 1e6


def make_member(number: int) -> FlowMember:
    """Return a member of a service."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return FlowMember(f"i-{number:010x}", 1, "desk", host, "z", 2, "ready")


def make_table(count: int) -> MemberTable:
    """Return a table with this many members of one service."""
    table = MemberTable()
    for number in range(count):
        table.put(0, make_member(number))
    return table


def time_per_flow_us(process_flow: Callable[[bytes], object]) -> float:
    """Return the processor time for one flow in microseconds, the best of 5 rounds."""
    rng = random.Random(1)
    flows = [rng.randbytes(12) for _ in range(REPEATS)]
    best = float("inf")
    for _ in range(5):
        start = time.process_time()
        for flow in flows:
            process_flow(flow)
        best = min(best, time.process_time() - start)
    return best / REPEATS * US_PER_S


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that an object allocates."""
    tracemalloc.start()
    kept = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def place_us(count: int) -> float:
    """Return the time to place a flow among this many members."""
    views = make_table(count).by_service("desk")
    return time_per_flow_us(lambda flow: least_loaded_of_few(flow, views, "z"))


def rank_us(count: int) -> float:
    """Return the time to rank this many members for a search."""
    views = make_table(count).by_service("desk")
    return time_per_flow_us(lambda flow: rank_views(flow, views))


def make_holder_cache(count: int) -> FlowCache:
    """Return a cache of the holders of this many flows."""
    rng = random.Random(2)
    cache = FlowCache(count, 1_000)
    for _ in range(count):
        cache.put(rng.randbytes(12), "10.0.0.1", 1)
    return cache


def make_held_flows(count: int) -> HeldFlows:
    """Return the state that a side process keeps of this many flows."""
    rng = random.Random(3)
    flows = HeldFlows()
    for _ in range(count):
        flows.track(1, rng.randbytes(12), "10.0.0.1")
    return flows


def make_balancer_state(count: int) -> tuple[MemberTable, Replicas]:
    """Return the state that a balancer keeps of this many members."""
    replicas = Replicas()
    for number in range(count):
        info = make_member(number)
        replicas.put(f"members/{info.id}", info.version, pack_member(info))
    return make_table(count), replicas


def measure_costs() -> list[tuple[str, str, dict[int, float]]]:
    """Return the name, the unit and the values by size of each cost."""
    return [
        ("flow placed, by members", "us", {n: place_us(n) for n in SIZES}),
        ("members ranked, by members", "us", {n: rank_us(n) for n in SIZES}),
        (
            "members known, by members",
            "B",
            {n: allocated_bytes(lambda n=n: make_balancer_state(n)) for n in SIZES},
        ),
        (
            "holders remembered, by flows",
            "B",
            {n: allocated_bytes(lambda n=n: make_holder_cache(n)) for n in FLOWS},
        ),
        (
            "flows held, by flows",
            "B",
            {n: allocated_bytes(lambda n=n: make_held_flows(n)) for n in FLOWS},
        ),
    ]


def message_sizes() -> dict[str, int]:
    """Return the encoded bytes of each message, without UDP and IP headers."""
    load, packed_member = [3, 1_200, 40, 0, 30], pack_member(make_member(1))
    copy = Copy("members/i-0000000001", 9, pack_value(packed_member))
    return {
        "Forward, beside its packet": len(
            encode_message(Forward("desk", "10.0.0.1", 0, 1, False, [], b""))
        ),
        "Held": len(encode_message(Held(bytes(12), False, load))),
        "Ping": len(encode_message(Ping("bole", 1 << 43, False))),
        "Status": len(encode_message(Status(packed_member, True, load))),
        "Copy of a member": len(encode_message(copy)),
    }


def main() -> None:
    """Print the tables."""
    print("| cost | unit | measured | line |\n|---|---|---|---|")
    for name, unit, figures in measure_costs():
        text = ", ".join(f"{n:,}: {value:,.3g}" for n, value in figures.items())
        slope, base = fit(list(figures), list(figures.values()))
        print(f"| {name} | {unit} | {text} | {base:,.3g} + {slope:.3g} x |")
    print("\n| message | bytes |\n|---|---|")
    for name, size in message_sizes().items():
        print(f"| {name} | {size} |")


if __name__ == "__main__":
    main()
