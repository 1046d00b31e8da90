"""Run the scenarios, print a table and write reports/latest.json."""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import defopt

from measure.figures import summarize
from measure.scenarios import scenarios
from measure.sizes import SIZES
from measure.systems import CURRENT, systems
from measure.workload import make_arrivals

__all__ = ["main"]

SPARSE_SERVICES = ("swapdesk", "intake")
VARIANT_SERVICES = ("swapdesk",)
VARIANT_SCENARIOS = ("steady-0.70", "steady-0.85", "greedy-class", "one-shedding")
BASELINES = ("modulo", "least-local", "ideal")
COLUMNS = (
    ("req", "requests"),
    ("good/s", "goodput_s"),
    ("refused", "refused"),
    ("unknown", "unknown"),
    ("silent", "silent"),
    ("twice", "ran_twice"),
    ("false", "false_not_run"),
    ("retried", "retried"),
    ("moved", "moved"),
    ("held", "held_flows"),
    ("broken", "broken_flows"),
    ("in-flight", "in_flight_max_over_mean"),
    ("flows", "flows_max_over_mean"),
    ("jain", "in_flight_jain"),
    ("ctl B/s", "control_bytes_s"),
)


def run_one(job: tuple[str, str, str, int]) -> dict[str, Any]:
    """Run one system in one scenario of one service."""
    service, scenario_name, system, seed = job
    size = SIZES[service]
    scenario = scenarios.get(scenario_name)()
    arrivals = make_arrivals(size, scenario.phases, seed)
    started_at = time.process_time()
    run = systems.get(system)(size, scenario, arrivals, seed)
    return {
        "deployment": size.deployment,
        "service": service,
        "scenario": scenario_name,
        "system": system,
        "seed": seed,
        "cpu_s": round(time.process_time() - started_at, 1),
    } | summarize(run)


def make_jobs(
    names: list[str], services: list[str], variants: list[str], seed: int
) -> list[tuple[str, str, str, int]]:
    """Return the runs to make, the longest first."""
    jobs = []
    for name in names:
        is_sparse = scenarios.get(name)().is_sparse
        for service in services:
            if is_sparse and service not in SPARSE_SERVICES:
                continue
            chosen = variants or compared_systems(name, service)
            jobs += [(service, name, system, seed) for system in chosen]
    jobs.sort(key=lambda job: (job[2] in BASELINES, -scenarios.get(job[1])().is_sparse))
    return jobs


def compared_systems(scenario: str, service: str) -> list[str]:
    """Return the systems that are compared in a scenario of a service."""
    chosen = [CURRENT, *BASELINES]
    if scenario in VARIANT_SCENARIOS and service in VARIANT_SERVICES:
        chosen += [name for name in systems.functions if name not in chosen]
    return chosen


def print_progress(result: dict[str, Any]) -> None:
    """Print a finished run to standard error."""
    names = (result["service"], result["scenario"], result["system"])
    print(*names, f"{result['cpu_s']} s", file=sys.stderr, flush=True)


def print_table(results: list[dict[str, Any]]) -> None:
    """Print one line per run."""
    headers = [header for header, _ in COLUMNS]
    print(f"{'service':12} {'scenario':20} {'system':12}", end=" ")
    print(*(f"{header:>9}" for header in headers), "  waiting p50/p90/p99 ms")
    for item in results:
        print(f"{item['service']:12} {item['scenario']:20}", end=" ")
        print(f"{item['system']:12}", end=" ")
        print(*(f"{item[key]:>9}" for _, key in COLUMNS), end="   ")
        print(*(f"{value:.0f}" for value in item["waiting_ms"].values()), sep="/")


def measure(
    *scenario: str,
    service: list[str] = (),
    system: list[str] = (),
    seed: int = 1,
    jobs: int = 2,
    out: Path = Path("reports/latest.json"),
) -> None:
    """Compare the decision cores with plain baselines and an ideal queue.

    Parameters
    ----------
    scenario : str
        Names of the scenarios to run; all by default.
    service : list[str]
        Services to run; all by default.
    system : list[str]
        Systems to run; by default chosen for each scenario and service.
    seed : int
        Seed of arrivals, service times, links and decisions.
    jobs : int
        Number of worker processes.
    out : Path
        File that the report is written to.
    """
    names = list(scenario) or list(scenarios.functions)
    planned = make_jobs(names, list(service) or list(SIZES), list(system), seed)
    with ProcessPoolExecutor(jobs) as pool:
        results = []
        for result in pool.map(run_one, planned):
            results.append(result)
            print_progress(result)
    order = list(scenarios.functions)
    results.sort(key=lambda r: (r["service"], order.index(r["scenario"])))
    print_table(results)
    out.parent.mkdir(parents=True, exist_ok=True)
    lines = ",\n".join(json.dumps(item) for item in results)
    out.write_text(f'{{"schema": 1, "seed": {seed}, "results": [\n{lines}\n]}}\n')


def main() -> None:
    """Run the measurement from the command line."""
    defopt.run(measure)


if __name__ == "__main__":
    main()
