"""Works out each role's load at full size from measured slopes.

`python -m measure.capacity` measures and writes reports/capacity.json, then the
tables of docs/CAPACITY.md; `--page` writes the tables from the file alone.
"""

import json
import math
import os
import platform
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import defopt

from fuchsiapin import messages
from fuchsiapin.codec import encode_object
from fuchsiapin.registry import Registry
from measure.slopes import measure_slopes, message_bytes, resident_bytes
from measure.world import Links, World, WorldOptions

__all__ = ["PAGE", "REPORT", "main", "render_page", "tables"]

REPORT = Path("reports/capacity.json")
PAGE = Path("docs/CAPACITY.md")
DAY_S = 86_400
SPREAD_SIZES = (24, 72, 216)
JOIN_SIZES = (4, 7, 13)
SPREAD_CHANGES = 5
TRIALS_SEED = 11

tables = Registry("table")
"""Functions from the report to the text of a table, by name."""


@dataclass(frozen=True)
class Fleet:
    """The size that the page is worked out for."""

    balancers: int = 5_400
    sides: int = 38_000
    services: int = 2_900
    zones: int = 9
    flows: int = 190_000_000
    new_flows_s: int = 310_000
    changes_day: int = 3_200
    failures_day: int = 180
    restarts_day: int = 12_000
    deployments: int = 100
    bound_bytes_s: int = 17_000
    bound_core: float = 0.011
    bound_memory: int = 128_000_000
    bound_writes_s: int = 300
    bound_reads_s: int = 2_000
    bound_config_s: float = 17.0

    @property
    def processes(self) -> int:
        """Processes of the system."""
        return self.balancers + self.sides

    @property
    def per_service(self) -> float:
        """Members of one service."""
        return self.sides / self.services

    @property
    def per_zone(self) -> float:
        """Balancers of one availability zone."""
        return self.balancers / self.zones

    @property
    def roots(self) -> int:
        """Processes that watch the object API."""
        return 2 * self.zones


FLEET = Fleet()

# Measuring


def make_config(number: int) -> bytes:
    """Return a small configuration."""
    service = messages.ServiceConfig("swapdesk", 20_000, 64, [], [])
    return encode_object(
        messages.Configuration("d", number, "operator", f"c-{number}", [service], [])
    )


def measure_spread(balancers: int) -> dict[str, float]:
    """Return how long changes take until they are in force at every process."""
    options = WorldOptions(sides=6, balancers=balancers, zones=("one",))
    world = World(TRIALS_SEED, options, Links(delay_ms=4, jitter_ms=4, loss=0.02))
    world.run(30_000)
    took = []
    for number in range(1, SPREAD_CHANGES + 1):
        version, _ = world.store.objects.get("config/d", (0, b""))
        began = world.now
        world.put("config/d", version, make_config(number))
        while not all(
            node.core.config and node.core.config.number >= number
            for node in world.nodes.values()
        ):
            world.run(20)
        took.append(world.now - began)
        world.run(3_000)
    before = {name: node.sent_bytes for name, node in world.nodes.items()}
    world.run(10_000)
    sent = sorted(
        (node.sent_bytes - before[name]) / 10 for name, node in world.nodes.items()
    )
    return {
        "balancers": balancers,
        "mean_ms": sum(took) / len(took),
        "max_ms": max(took),
        "idle_bytes_s_median": sent[len(sent) // 2],
        "idle_bytes_s_max": sent[-1],
    }


def measure_calls(sides: int) -> dict[str, float]:
    """Return reads and writes of the store for changes of one service."""
    options = WorldOptions(sides=sides, balancers=3)
    world = World(TRIALS_SEED, options, Links(loss=0.02))
    world.run(30_000)
    result: dict[str, float] = {"members": sides}

    def note(name: str, act: Callable[[], Any], duration: float) -> None:
        reads, writes = world.store.reads, world.store.writes
        act()
        world.run(duration)
        result[f"{name}_reads"] = world.store.reads - reads
        result[f"{name}_writes"] = world.store.writes - writes

    note("quiet", lambda: None, 30_000)
    note("join", lambda: world.add_side("swapdesk-90", "bole"), 20_000)
    note("leave", lambda: world.stop("swapdesk-90"), 40_000)
    note("crash", lambda: world.kill("swapdesk-1"), 20_000)
    note("balancer_join", lambda: world.add_balancer("balancer-90", "bole"), 20_000)
    note("balancer_leave", lambda: world.stop("balancer-90"), 40_000)
    return result


def measure() -> dict[str, Any]:
    """Return everything that the page needs."""
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


# Working out


class Model:
    """Rates, bytes, processor time and memory at full size.

    Parameters
    ----------
    report : dict
        What was measured.
    fleet : Fleet
        The size.
    """

    def __init__(self, report: dict[str, Any], fleet: Fleet = FLEET) -> None:
        self.report = report
        self.fleet = fleet
        self.slopes = {slope["name"]: slope for slope in report["slopes"]}
        self.length = report["message_bytes"]

    def at(self, name: str, size: float) -> float:
        """Return a cost at a size, by its line."""
        slope = self.slopes[name]
        return max(0.0, slope["base"] + slope["slope"] * size)

    def us(self, kind: str) -> float:
        """Return the time to send or take one small message."""
        return self.slopes["heartbeat round"]["slope"] / 2

    @property
    def calls(self) -> dict[str, float]:
        """Return the store's calls at the largest measured service."""
        return self.report["calls"][-1]

    @property
    def restarts_s(self) -> float:
        """Planned restarts of side processes a second."""
        share = self.fleet.sides / self.fleet.processes
        return self.fleet.restarts_day * share / DAY_S

    @property
    def balancer_restarts_s(self) -> float:
        """Planned restarts of balancers a second."""
        share = self.fleet.balancers / self.fleet.processes
        return self.fleet.restarts_day * share / DAY_S

    @property
    def membership_changes_s(self) -> float:
        """Writes of memberships a second, over all services."""
        calls = self.calls
        restart = calls["join_writes"] + calls["leave_writes"]
        failures = self.fleet.failures_day / DAY_S
        return self.restarts_s * restart + failures * calls["crash_writes"]

    @property
    def zone_changes_s(self) -> float:
        """Writes of zones a second."""
        calls = self.calls
        restart = calls["balancer_join_writes"] + calls["balancer_leave_writes"]
        return self.balancer_restarts_s * restart

    @property
    def config_changes_s(self) -> float:
        """Accepted configurations a second."""
        return self.fleet.changes_day / DAY_S

    def pushed(self) -> dict[str, tuple[float, float, float]]:
        """Return changes a second, bytes a change and us a change, by object."""
        fleet = self.fleet
        size = fleet.sides / fleet.deployments
        return {
            "members": (
                self.membership_changes_s,
                self.at("membership packed", fleet.per_service),
                self.at("membership taken in", fleet.per_service),
            ),
            "balancers": (
                self.zone_changes_s,
                self.at("zone packed", fleet.per_zone),
                self.at("zone taken in", fleet.per_zone),
            ),
            "config": (
                self.config_changes_s,
                self.at("configuration packed", size),
                self.at("configuration taken in", size),
            ),
        }

    def balancer(self, children: int, sides: float, is_root: bool) -> dict[str, float]:
        """Return the load of a balancer with so many subscribers."""
        digest, answer = self.length["RelayDigest"], self.length["RelayAnswer"]
        beat = self.length["BalancerHeartbeat"]
        below = children + sides
        per_digest = self.at("digest answered", self.fleet.services)
        messages_s, bytes_s, us = below * 2 + 8 * 2, below * answer + 8 * beat, 0.0
        us += below * per_digest + 16 * self.us("beat")
        us += self.at("sums in force", self.fleet.deployments)
        sums = self.length["RelayAcks"] * self.fleet.deployments
        if is_root:
            told = (
                sums / TELL_S + self.config_changes_s * TURNS * self.length["RelayAcks"]
            )
            messages_s += 2 * (self.fleet.roots - 1) / TELL_S
            bytes_s += (self.fleet.roots - 1) * told
        else:
            messages_s += 2
            bytes_s += digest + self.config_changes_s * TURNS * sums
        for name, (rate, size, taken) in self.pushed().items():
            receivers = children + (sides if name == "balancers" else 0)
            share = sides * self.side_share(name)
            pushes = rate * (receivers + share)
            messages_s += pushes + rate
            bytes_s += pushes * size
            us += rate * taken + pushes * self.at("push to one subscriber", 13)
        memory = self.report["resident"]["balancer"]
        memory += self.at("balancer memory", self.fleet.services)
        memory += self.fleet.zones * self.at("side memory", self.fleet.per_zone)
        return {
            "messages_s": messages_s,
            "bytes_s": bytes_s,
            "core": us / 1e6,
            "memory": memory,
        }

    def side_share(self, name: str) -> float:
        """Return the share of changes of a kind that one side process needs."""
        fleet = self.fleet
        shares = {"members": 1 / fleet.services, "config": 1 / fleet.deployments}
        return shares.get(name, 0.0)

    def side(self) -> dict[str, float]:
        """Return the load of a side process."""
        fleet = self.fleet
        peers = fleet.per_service - 1
        beats = 2 * peers
        flows = fleet.flows / fleet.sides
        bytes_s = beats * self.length["Heartbeat"] + self.length["RelayDigest"]
        messages_s = 2 * beats + 2
        us = 2 * beats * self.us("beat") + 2 * self.us("digest")
        for name, (rate, _, taken) in self.pushed().items():
            got = rate * (self.side_share(name) if name != "balancers" else 1)
            messages_s += got
            us += got * taken
        changes = self.membership_changes_s / fleet.services
        us += changes * self.at("placing flows", flows)
        memory = self.report["resident"]["side"]
        memory += fleet.zones * self.at("side memory", fleet.per_zone)
        memory += self.at("observation memory", flows) * 2
        return {
            "messages_s": messages_s,
            "bytes_s": bytes_s,
            "core": us / 1e6,
            "memory": memory,
        }

    def roles(self) -> dict[str, dict[str, float]]:
        """Return the load of each role."""
        sides = self.fleet.sides / self.fleet.balancers
        return {
            "balancer (8 balancers, 7 sides below)": self.balancer(8, sides, False),
            "root balancer": self.balancer(8, sides, True),
            "busiest balancer (8 and 20)": self.balancer(8, 20, False),
            "side process": self.side(),
        }

    def store(self) -> dict[str, tuple[float, float]]:
        """Return reads (waiting watches counted) and writes a second."""
        fleet, calls = self.fleet, self.calls
        changes = (
            self.membership_changes_s + self.zone_changes_s + self.config_changes_s
        )
        reads = fleet.roots * (1 + changes)
        reads += self.restarts_s * (calls["join_reads"] + calls["leave_reads"])
        reads += self.balancer_restarts_s * (
            calls["balancer_join_reads"] + calls["balancer_leave_reads"]
        )
        lost = fleet.sides / fleet.zones
        zone_writes = lost * calls["crash_writes"] / REMOVAL_S
        zone_reads = lost * calls["crash_reads"] / REMOVAL_S
        zone_reads += fleet.roots * (1 + min(zone_writes, 1 / WATCH_TURN_S))
        pending = fleet.restarts_day / 24
        return {
            "ordinary day": (reads, changes),
            "loss of an availability zone, 4 s": (zone_reads, zone_writes),
            "after an hour's outage, 5 s": (
                reads + pending * calls["join_reads"] / RETURN_S,
                changes + pending * calls["join_writes"] / RETURN_S,
            ),
        }

    def depth(self) -> int:
        """Return the hops from a root to the farthest side process."""
        place, hops = int(self.fleet.per_zone) - 1, 1
        while place >= 2:
            place, hops = (place - 2) // 8, hops + 1
        return hops


TELL_S = 60.0
"""A root tells the others all its sums once in this time."""
TURNS = 3
"""Times that sums change and are sent on while a configuration spreads."""
REMOVAL_S = 4.0
"""Time in which the members of a lost zone are removed."""
RETURN_S = 5.0
"""Longest pause of an updater, after which it sees that the store is back."""
WATCH_TURN_S = 0.01
"""A watch is asked again after each answer, which carries all that came."""

# Tables


def row(*cells: Any) -> str:
    """Return one row of a table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table(head: list[str], rows: list[list[Any]]) -> str:
    """Return a table."""
    lines = [row(*head), "|" + "---|" * len(head)]
    return "\n".join(lines + [row(*cells) for cells in rows])


def short(value: float) -> str:
    """Return a number with three digits that matter."""
    if not value:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    return f"{round(value, digits):,.{max(0, min(digits, 6))}f}"


def verdict(value: float, bound: float) -> str:
    """Return whether a bound is met."""
    return "met" if value <= bound else f"missed ({value / bound:.1f} times)"


@tables.register("slopes")
def slope_table(report: dict[str, Any]) -> str:
    """Return the measured costs and their lines."""
    rows = []
    for slope in report["slopes"]:
        measured = ", ".join(
            f"{size:,}: {short(value)}"
            for size, value in zip(slope["sizes"], slope["values"], strict=True)
        )
        line = f"{short(slope['base'])} + {short(slope['slope'])} x"
        rows.append([slope["name"], slope["over"], slope["unit"], measured, line])
    return table(["cost", "x", "unit", "measured", "line"], rows)


@tables.register("messages")
def message_table(report: dict[str, Any]) -> str:
    """Return the lengths of the periodic messages."""
    rows = [[f"`{name}`", size] for name, size in report["message_bytes"].items()]
    return table(["message", "bytes, sealed"], rows)


@tables.register("roles")
def role_table(report: dict[str, Any]) -> str:
    """Return the load of each role against the bounds."""
    rows = []
    for name, load in Model(report).roles().items():
        rows.append(
            [
                name,
                short(load["messages_s"]),
                f"{short(load['bytes_s'])}, "
                + verdict(load["bytes_s"], FLEET.bound_bytes_s),
                f"{load['core']:.2%}, " + verdict(load["core"], FLEET.bound_core),
                f"{load['memory'] / 1e6:.0f}, "
                + verdict(load["memory"], FLEET.bound_memory),
            ]
        )
    head = ["role", "messages/s", "control B/s sent", "of a core", "memory, MB"]
    return table(head, rows)


@tables.register("changes")
def change_table(report: dict[str, Any]) -> str:
    """Return what changes how often, and how long it is on its way."""
    rows = [
        [f"`{name}/`", short(rate), short(size), short(taken)]
        for name, (rate, size, taken) in Model(report).pushed().items()
    ]
    return table(["object", "changes/s", "bytes packed", "us to take in"], rows)


@tables.register("calls")
def call_table(report: dict[str, Any]) -> str:
    """Return the calls to the store that one change causes."""
    names = ["join", "leave", "crash", "balancer_join", "balancer_leave", "quiet"]
    rows = [
        [
            name.replace("_", " "),
            *(
                f"{item[f'{name}_reads']:.0f} / {item[f'{name}_writes']:.0f}"
                for item in report["calls"]
            ),
        ]
        for name in names
    ]
    sizes = [f"{item['members']} members" for item in report["calls"]]
    return table(["change (reads / writes)", *sizes], rows)


@tables.register("store")
def store_table(report: dict[str, Any]) -> str:
    """Return the load of the object API against its rates."""
    rows = [
        [
            name,
            f"{short(reads)}, {verdict(reads, FLEET.bound_reads_s)}",
            f"{short(writes)}, {verdict(writes, FLEET.bound_writes_s)}",
        ]
        for name, (reads, writes) in Model(report).store().items()
    ]
    return table(["time", "reads/s", "writes/s"], rows)


@tables.register("spread")
def spread_table(report: dict[str, Any]) -> str:
    """Return how long a configuration takes by the size of a zone."""
    rows = [
        [
            item["balancers"],
            short(item["mean_ms"]),
            short(item["max_ms"]),
            short(item["idle_bytes_s_median"]),
            short(item["idle_bytes_s_max"]),
        ]
        for item in report["spread"]
    ]
    head = ["balancers", "mean, ms", "longest, ms", "idle B/s, median", "most"]
    return table(head, rows)


@tables.register("hops")
def hop_table(report: dict[str, Any]) -> str:
    """Return the way of a configuration at full size."""
    hops = Model(report).depth()
    lost = FLEET.processes * 0.02
    rounds = 1 + math.ceil(math.log(lost) / -math.log(0.04))
    return table(
        ["part", "time, s"],
        [
            ["write and watch of the roots", "0.02"],
            [f"{hops} hops, each one datagram", f"{hops * 0.008:.3f}"],
            ["a lost push: next digest, answer, pull, copy", "up to 1.1"],
            [
                f"again, until less than one of {lost:.0f} is left",
                f"{rounds * 1.1:.1f}",
            ],
            ["a dead parent: silence, then the next one", "3.1 to 4.1"],
            ["sum of all, once", f"{0.1 + rounds * 1.1 + 4.1:.1f}"],
        ],
    )


@tables.register("breaks")
def break_table(report: dict[str, Any]) -> str:
    """Return at which size each bound is reached."""
    model = Model(report)
    config = model.slopes["configuration object"]
    zone = model.slopes["zone object"]
    memory = model.slopes["balancer memory"]
    rest = model.balancer(8, 7, False)["memory"] - memory["slope"] * FLEET.services
    room = FLEET.bound_memory - rest
    crash = model.calls["crash_writes"]
    member = model.slopes["membership object"]
    return table(
        ["bound", "reached at"],
        [
            [
                f"{FLEET.bound_writes_s} writes/s when a zone is lost",
                f"{FLEET.bound_writes_s * REMOVAL_S / crash:,.0f} members in the zone",
            ],
            [
                "1 MB for a configuration",
                f"{(1e6 - config['base']) / config['slope']:,.0f} upstreams "
                "in one deployment",
            ],
            [
                "1 MB for a zone",
                f"{(1e6 - zone['base']) / zone['slope']:,.0f} balancers in a zone",
            ],
            [
                "1 MB for a membership with 17 views",
                f"{1e6 / (member['slope'] * 17 / 3):,.0f} members of one service",
            ],
            [
                "128 MB of a balancer",
                f"{room / memory['slope']:,.0f} services",
            ],
            [
                f"{FLEET.bound_reads_s} reads/s by roots on an ordinary day",
                f"{FLEET.bound_reads_s / model.store()['ordinary day'][0]:,.0f} "
                "times the changes",
            ],
        ],
    )


def render_page(text: str, report: dict[str, Any]) -> str:
    """Return a page with each marked table made anew.

    Parameters
    ----------
    text : str
        The page; a table stands between `<!-- table: NAME -->` and
        `<!-- end -->`.
    report : dict
        What was measured.
    """
    parts = text.split("<!-- table: ")
    made = [parts[0]]
    for part in parts[1:]:
        name, rest = part.split(" -->", 1)
        _, after = rest.split("<!-- end -->", 1)
        body = tables.get(name)(report)
        made.append(f"{name} -->\n\n{body}\n\n<!-- end -->{after}")
    return "<!-- table: ".join(made)


def run(*, page: bool = False) -> None:
    """Measure, then write the report and the page.

    Parameters
    ----------
    page : bool
        Write the page only, from the report as it stands.
    """
    if not page:
        random.seed(TRIALS_SEED)
        REPORT.write_text(json.dumps(measure(), indent=1) + "\n")
    report = json.loads(REPORT.read_text())
    PAGE.write_text(render_page(PAGE.read_text(), report))
    print(role_table(report))
    print(store_table(report))


def main() -> None:
    """Enter from the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
