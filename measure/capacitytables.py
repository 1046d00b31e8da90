"""Tables of the capacity page, rendered from its report."""

import math
from typing import Any

from fuchsiapin.registry import Registry
from measure.capacitymodel import FLEET, REMOVAL_S, CapacityModel

__all__ = ["render_page", "role_table", "store_table", "tables"]

tables = Registry("table")
"""Functions that render a table from the report, by the table's name."""


def markdown_row(*cells: Any) -> str:
    """Return one row of a Markdown table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def markdown_table(head: list[str], rows: list[list[Any]]) -> str:
    """Return a Markdown table."""
    lines = [markdown_row(*head), "|" + "---|" * len(head)]
    return "\n".join(lines + [markdown_row(*cells) for cells in rows])


def round_digits(value: float) -> str:
    """Return a number rounded to three significant digits."""
    if not value:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    return f"{round(value, digits):,.{max(0, min(digits, 6))}f}"


def verdict(value: float, bound: float) -> str:
    """Return whether a bound is met."""
    return "met" if value <= bound else f"missed ({value / bound:.1f} times)"


@tables.register("slopes")
def slope_table(report: dict[str, Any]) -> str:
    """Return the measured costs and their fitted lines."""
    rows = []
    for slope in report["slopes"]:
        measured = ", ".join(
            f"{size:,}: {round_digits(value)}"
            for size, value in zip(slope["sizes"], slope["values"], strict=True)
        )
        line = f"{round_digits(slope['base'])} + {round_digits(slope['slope'])} x"
        rows.append([slope["name"], slope["over"], slope["unit"], measured, line])
    return markdown_table(["cost", "x", "unit", "measured", "line"], rows)


@tables.register("messages")
def message_table(report: dict[str, Any]) -> str:
    """Return the lengths of the periodic messages in their envelopes."""
    rows = [[f"`{name}`", size] for name, size in report["message_bytes"].items()]
    return markdown_table(["message", "bytes, sealed"], rows)


@tables.register("roles")
def role_table(report: dict[str, Any]) -> str:
    """Return the load of each role against the bounds."""
    rows = []
    for name, load in CapacityModel(report).roles().items():
        rows.append(
            [
                name,
                round_digits(load["messages_s"]),
                f"{round_digits(load['bytes_s'])}, "
                + verdict(load["bytes_s"], FLEET.bound_bytes_s),
                f"{load['core']:.2%}, " + verdict(load["core"], FLEET.bound_core),
                f"{load['memory'] / 1e6:.0f}, "
                + verdict(load["memory"], FLEET.bound_memory),
            ]
        )
    head = ["role", "messages/s", "control B/s sent", "of a core", "memory, MB"]
    return markdown_table(head, rows)


@tables.register("changes")
def change_table(report: dict[str, Any]) -> str:
    """Return the rate, packed size and processing time of changes by object kind."""
    rows = [
        [f"`{name}/`", round_digits(rate), round_digits(size), round_digits(apply_us)]
        for name, (rate, size, apply_us) in CapacityModel(report).change_costs().items()
    ]
    return markdown_table(
        ["object", "changes/s", "bytes packed", "us to take in"], rows
    )


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
    return markdown_table(["change (reads / writes)", *sizes], rows)


@tables.register("store")
def store_table(report: dict[str, Any]) -> str:
    """Return the load of the object API against its bounds."""
    rows = [
        [
            name,
            f"{round_digits(reads)}, {verdict(reads, FLEET.bound_reads_s)}",
            f"{round_digits(writes)}, {verdict(writes, FLEET.bound_writes_s)}",
        ]
        for name, (reads, writes) in CapacityModel(report).store().items()
    ]
    return markdown_table(["time", "reads/s", "writes/s"], rows)


@tables.register("spread")
def spread_table(report: dict[str, Any]) -> str:
    """Return how long a configuration takes to spread, by the size of a zone."""
    rows = [
        [
            item["balancers"],
            round_digits(item["mean_ms"]),
            round_digits(item["max_ms"]),
            round_digits(item["idle_bytes_s_median"]),
            round_digits(item["idle_bytes_s_max"]),
        ]
        for item in report["spread"]
    ]
    head = ["balancers", "mean, ms", "longest, ms", "idle B/s, median", "most"]
    return markdown_table(head, rows)


@tables.register("hops")
def hop_table(report: dict[str, Any]) -> str:
    """Return the steps of spreading a configuration at full size, with their times."""
    hops = CapacityModel(report).depth()
    # 2 % of the pushes are lost; a round of digests leaves 4 % of these unrepaired.
    lost = FLEET.processes * 0.02
    rounds = 1 + math.ceil(math.log(lost) / -math.log(0.04))
    return markdown_table(
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
    """Return the size at which each bound is reached."""
    model = CapacityModel(report)
    config = model.slopes["configuration object"]
    zone = model.slopes["zone object"]
    memory = model.slopes["balancer memory"]
    other_memory = (
        model.balancer(8, 7, False)["memory"] - memory["slope"] * FLEET.services
    )
    services_memory = FLEET.bound_memory - other_memory
    crash = model.calls["crash_writes"]
    # The measured memberships hold three views.
    member = model.slopes["membership object"]
    return markdown_table(
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
                f"{services_memory / memory['slope']:,.0f} services",
            ],
            [
                f"{FLEET.bound_reads_s} reads/s by roots on an ordinary day",
                f"{FLEET.bound_reads_s / model.store()['ordinary day'][0]:,.0f} "
                "times the changes",
            ],
        ],
    )


def render_page(text: str, report: dict[str, Any]) -> str:
    """Return a page with each marked table rendered from the report.

    Parameters
    ----------
    text : str
        The page; a table stands between `<!-- table: NAME -->` and
        `<!-- end -->`.
    report : dict
        The measured costs.
    """
    parts = text.split("<!-- table: ")
    rendered = [parts[0]]
    for part in parts[1:]:
        name, rest = part.split(" -->", 1)
        _, after = rest.split("<!-- end -->", 1)
        body = tables.get(name)(report)
        rendered.append(f"{name} -->\n\n{body}\n\n<!-- end -->{after}")
    return "<!-- table: ".join(rendered)
