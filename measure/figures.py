"""Figures of one run: percentiles, imbalance, goodput and counts."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any

from measure.workload import Arrival

__all__ = ["Outcome", "Run", "imbalance", "jain_index", "quantile", "summarize"]

WINDOW_SAMPLES = 100
"""Number of samples of the requests in flight in one window of 10 s."""
SAMPLE_MS = 100.0
WARM_UP_MS = 5_000.0
"""Duration at the start of a run that some figures leave out.

These are goodput, waiting, latency and the imbalance of the requests in flight;
counts, flows, refusal times and control bytes include it.
"""


@dataclass(frozen=True)
class Outcome:
    """Result of a request at its caller, and its time since the start of the run."""

    result: str
    at_ms: float


@dataclass
class Run:
    """Raw results of one system in one scenario; times count from its start."""

    arrivals: list[Arrival]
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    samples: list[list[float]] = field(default_factory=list)
    """Requests in flight per slot of each upstream that takes new work, by sample."""
    flows: list[int] = field(default_factory=list)
    """Number of flows of each upstream."""
    executions: dict[str, int] = field(default_factory=dict)
    """Number of executions of each request."""
    broken_flows: int = 0
    held_flows: int = 0
    retried: int = 0
    moved: int = 0
    control_bytes_s: float = 0.0
    refusal_ms: list[float] = field(default_factory=list)
    """Time from the decision to refuse a request until the refusal was sent."""


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the value below which the given share of sorted values lies.

    Examples
    --------
    >>> quantile([1, 2, 3, 4], 0.5)
    3
    """
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def imbalance(values: Sequence[float]) -> float:
    """Return the maximum over the mean.

    Examples
    --------
    >>> imbalance([1, 1, 4])
    2.0
    """
    mean = fmean(values) if values else 0
    return max(values) / mean if mean else 1.0


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index, which is 1 if all values are equal.

    References
    ----------
    .. [1] R. Jain, D. Chiu, W. Hawe, "A quantitative measure of fairness and
       discrimination for resource allocation in shared computer systems", 1984.

    Examples
    --------
    >>> jain_index([2, 2])
    1.0
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def window_means(samples: list[list[float]]) -> list[list[float]]:
    """Return the mean requests in flight of each upstream, for each window.

    Windows in which the number of upstreams changes are left out.
    """
    means = []
    for start in range(0, len(samples) - WINDOW_SAMPLES + 1, WINDOW_SAMPLES):
        window = samples[start : start + WINDOW_SAMPLES]
        width = min(len(sample) for sample in window)
        if width == max(len(sample) for sample in window) and width:
            means.append([fmean(s[i] for s in window) for i in range(width)])
    return means


def percentiles(values: list[float]) -> dict[str, float]:
    """Return percentiles of values in ms."""
    ordered = sorted(values)
    shares = {"p50": 0.5, "p90": 0.9, "p99": 0.99}
    return {name: round(quantile(ordered, share), 1) for name, share in shares.items()}


def summarize(run: Run) -> dict[str, Any]:
    """Return the figures of a run for the report, as values of JSON types."""
    counted = [item for item in run.arrivals if item.at_ms >= WARM_UP_MS]
    span_s = (run.arrivals[-1].at_ms - WARM_UP_MS) / 1000 if counted else 1.0
    end_ms = run.arrivals[-1].at_ms if counted else 0.0
    done = [item for item in counted if result_of(run, item) == "done"]
    latency = [run.outcomes[item.name].at_ms - item.at_ms for item in done]
    waiting = [
        latency_ms - item.service_ms
        for latency_ms, item in zip(latency, done, strict=True)
    ]
    over_time = window_means(run.samples[int(WARM_UP_MS / SAMPLE_MS) :])
    in_time = [item for item in done if run.outcomes[item.name].at_ms <= end_ms]
    results = [result_of(run, item) for item in run.arrivals]
    # Repeating a safe request does no harm; the names of the others begin with "p".
    ran_twice = sum(n > 1 for name, n in run.executions.items() if name.startswith("p"))
    return {
        "requests": len(run.arrivals),
        "goodput_s": round(len(in_time) / span_s, 2),
        "goodput_by_class": goodput_by_class(in_time, span_s),
        "work_done": round(sum(i.service_ms for i in in_time) / span_s / 1000, 3),
        "refused": results.count("refused"),
        "unknown": results.count("unknown"),
        "silent": results.count("silent"),
        "wrong": results.count("wrong"),
        "ran_twice": ran_twice,
        "false_not_run": sum(
            result_of(run, item) == "refused" and bool(run.executions.get(item.name))
            for item in run.arrivals
            if not item.is_safe
        ),
        "retried": run.retried,
        "moved": run.moved,
        "held_flows": run.held_flows,
        "broken_flows": run.broken_flows,
        "waiting_ms": percentiles(waiting),
        "latency_ms": percentiles(latency),
        "refusal_ms": percentiles(run.refusal_ms),
        "in_flight_max_over_mean": mean_or_one([imbalance(w) for w in over_time]),
        "in_flight_worst_window": round(
            max((imbalance(w) for w in over_time), default=1.0), 3
        ),
        "in_flight_jain": mean_or_one([jain_index(w) for w in over_time]),
        "flows_max_over_mean": round(imbalance(run.flows), 3),
        "flows_jain": round(jain_index(run.flows), 3),
        "control_bytes_s": round(run.control_bytes_s),
    }


def result_of(run: Run, item: Arrival) -> str:
    """Return the result of a request at its caller, "silent" without an answer."""
    outcome = run.outcomes.get(item.name)
    return outcome.result if outcome else "silent"


def goodput_by_class(done: list[Arrival], span_s: float) -> dict[str, float]:
    """Return the goodput of each class in requests per second."""
    names = sorted({item.class_name for item in done if item.class_name})
    return {
        name: round(sum(item.class_name == name for item in done) / span_s, 2)
        for name in names
    }


def mean_or_one(values: list[float]) -> float:
    """Return the mean over the windows, 1 without any."""
    return round(fmean(values), 3) if values else 1.0
