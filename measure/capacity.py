"""Measure the costs that the capacity page is based on and write its tables.

`python -m measure.capacity` measures, writes reports/capacity.json and then the
tables of docs/CAPACITY.md. With `--page` it only writes the tables, from the
existing report.
"""

import json
import os
import platform
import random
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import defopt

from fuchsiapin import messages
from fuchsiapin.codec import encode_object
from measure.capacitytables import render_page, role_table, store_table
from measure.slopes import measure_slopes, message_bytes, resident_bytes
from measure.world import World
from measure.worldparts import Links, WorldOptions

__all__ = ["PAGE", "REPORT", "main"]

REPORT = Path("reports/capacity.json")
PAGE = Path("docs/CAPACITY.md")
SPREAD_SIZES = (24, 72, 216)
JOIN_SIZES = (4, 7, 13)
SPREAD_CHANGES = 5
SEED = 11


def make_config(number: int) -> bytes:
    """Return an encoded configuration of one service."""
    service = messages.ServiceConfig("swapdesk", 20_000, 64, [], [])
    return encode_object(
        messages.Configuration("d", number, "operator", f"c-{number}", [service], [])
    )


def measure_spread(balancers: int) -> dict[str, float]:
    """Measure how long a configuration takes to be in force at every process.

    Also measures the bytes per second that processes send when nothing changes.
    """
    options = WorldOptions(sides=6, balancers=balancers, zones=("one",))
    world = World(SEED, options, Links(delay_ms=4, jitter_ms=4, loss=0.02))
    world.run(30_000)
    durations_ms = []
    for number in range(1, SPREAD_CHANGES + 1):
        version, _ = world.store.objects.get("config/d", (0, b""))
        started_at = world.now
        world.put("config/d", version, make_config(number))
        while not all(
            node.core.config and node.core.config.number >= number
            for node in world.nodes.values()
        ):
            world.run(20)
        durations_ms.append(world.now - started_at)
        world.run(3_000)
    bytes_before = {name: node.sent_bytes for name, node in world.nodes.items()}
    world.run(10_000)
    bytes_s = sorted(
        (node.sent_bytes - bytes_before[name]) / 10
        for name, node in world.nodes.items()
    )
    return {
        "balancers": balancers,
        "mean_ms": sum(durations_ms) / len(durations_ms),
        "max_ms": max(durations_ms),
        "idle_bytes_s_median": bytes_s[len(bytes_s) // 2],
        "idle_bytes_s_max": bytes_s[-1],
    }


def measure_calls(sides: int) -> dict[str, float]:
    """Count reads and writes of the store for each kind of change of processes."""
    options = WorldOptions(sides=sides, balancers=3)
    world = World(SEED, options, Links(loss=0.02))
    world.run(30_000)
    result: dict[str, float] = {"members": sides}

    def count_calls(name: str, change: Callable[[], Any], duration: float) -> None:
        reads, writes = world.store.reads, world.store.writes
        change()
        world.run(duration)
        result[f"{name}_reads"] = world.store.reads - reads
        result[f"{name}_writes"] = world.store.writes - writes

    count_calls("quiet", lambda: None, 30_000)
    count_calls("join", lambda: world.add_side("swapdesk-90", "bole"), 20_000)
    count_calls("leave", lambda: world.stop("swapdesk-90"), 40_000)
    count_calls("crash", lambda: world.kill("swapdesk-1"), 20_000)
    count_calls(
        "balancer_join", lambda: world.add_balancer("balancer-90", "bole"), 20_000
    )
    count_calls("balancer_leave", lambda: world.stop("balancer-90"), 40_000)
    return result


def measure() -> dict[str, Any]:
    """Return the report that the page's tables are made from."""
    return {
        "machine": {
            "processor": platform.machine(),
            "cores": os.cpu_count(),
            "python": platform.python_version(),
        },
        "slopes": [asdict(slope) for slope in measure_slopes()],
        "message_bytes": message_bytes(),
        "resident": {
            role: resident_bytes(f"fuchsiapin.daemons.{role}")
            for role in ("balancer", "side")
        },
        "spread": [measure_spread(size) for size in SPREAD_SIZES],
        "calls": [measure_calls(size) for size in JOIN_SIZES],
    }


def run(*, page: bool = False) -> None:
    """Measure, then write the report and the page.

    Parameters
    ----------
    page : bool
        Write the page only, from the existing report.
    """
    if not page:
        random.seed(SEED)
        REPORT.write_text(json.dumps(measure(), indent=1) + "\n")
    report = json.loads(REPORT.read_text())
    PAGE.write_text(render_page(PAGE.read_text(), report))
    print(role_table(report))
    print(store_table(report))


def main() -> None:
    """Run the measurement from the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
