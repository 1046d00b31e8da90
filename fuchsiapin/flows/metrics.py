"""Metrics of the processes of packet flows, in the text format of scrapers.

Implemented here because importing a metrics library would delay the start, and
with it packets, by as much as the rest of the start takes; see docs/design.md.
"""

from collections.abc import Mapping

__all__ = ["LATENCY_BOUNDS_MS", "LatencyHistogram", "render_counts"]

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


class LatencyHistogram:
    """A histogram of times in ms.

    Examples
    --------
    >>> histogram = LatencyHistogram()
    >>> histogram.observe(3)
    >>> histogram.cumulative_counts()["5"], histogram.cumulative_counts()["+Inf"]
    (1, 1)
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_MS) + 1)
        self.sum = 0

    def observe(self, value: int) -> None:
        """Count a value."""
        self.sum += value
        for index, bound in enumerate(LATENCY_BOUNDS_MS):
            if value <= bound:
                self.counts[index] += 1
                return
        self.counts[-1] += 1

    def cumulative_counts(self) -> dict[str, float]:
        """Return the number of values up to each bound."""
        total = 0
        found: dict[str, float] = {}
        for bound, count in zip(
            (*map(str, LATENCY_BOUNDS_MS), "+Inf"), self.counts, strict=True
        ):
            total += count
            found[bound] = total
        return found


def render_counts(role: str, zone: str, series: Mapping[str, Mapping]) -> str:
    """Return series as text; a name that ends in `_ms_bucket` is a histogram.

    Examples
    --------
    >>> print(render_counts("side", "bole", {"flows": {"": 2}}))
    fuchsiapin_flows{role="side",zone="bole"} 2
    <BLANKLINE>
    """
    lines = []
    base = f'role="{escape(role)}",zone="{escape(zone)}"'
    for name, values in series.items():
        is_histogram = name.endswith("_ms_bucket")
        key = "le" if is_histogram else "what"
        for label, value in values.items():
            extra = f',{key}="{escape(label)}"' if label else ""
            lines.append(f"fuchsiapin_{name}{{{base}{extra}}} {value}")
    return "\n".join(lines) + "\n"


def escape(text: str) -> str:
    """Return a label value escaped for the text format."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
