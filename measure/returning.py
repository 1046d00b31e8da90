"""Print whom an ideal scheduler serves when all callers return after a loss of power.

It knows all callers, gives each free slot to one that can still be answered within its
target latency, the newest first, and otherwise to one that can be answered before its
deadline. What it can't serve no system can: the callers whose last opening packet was
sent before a process was ready, and those beyond the capacity of cold upstreams.
"""

import heapq
import random
import statistics
from dataclasses import dataclass

import defopt

__all__ = ["Caller", "Load", "main", "serve_return"]

COPY_AGES_MS = (0, 200, 600)
"""Time from a caller's first opening packet to each of its copies."""
WINDOW_MS = 2_000


@dataclass(frozen=True)
class Load:
    """Callers and upstreams of one service around a loss of power.

    Parameters
    ----------
    per_s : float
        Requests a second.
    slots : int
        Requests that all upstreams run at once.
    service_ms : float
        Mean service time of a warm upstream.
    target_ms, deadline_ms : float
        Target latency and deadline of the requests.
    dark_ms : int
        Time from the loss of power until a balancer is ready; it ends at time 0.
    cold_ms : int
        Time after that in which upstreams are slow.
    cold_factor : float
        How much longer a request takes then.
    spread : float
        Standard deviation of the logarithm of service times.
    """

    per_s: float
    slots: int
    service_ms: float
    target_ms: float
    deadline_ms: float
    dark_ms: int = 2_000
    cold_ms: int = 1_500
    cold_factor: float = 1.6
    spread: float = 0.5


@dataclass(frozen=True)
class Caller:
    """One request: when it began, and when an opening packet first finds a balancer."""

    started_at: float
    reaches_at: float


def make_callers(load: Load, until: int, rng: random.Random) -> list[Caller]:
    """Return the callers that a balancer hears of, in the order in which it does."""
    callers = []
    at = -float(load.dark_ms)
    while (at := at + rng.expovariate(load.per_s / 1_000)) < until:
        copies = [at + age for age in COPY_AGES_MS if at + age >= 0]
        if copies:
            callers.append(Caller(at, copies[0]))
    return sorted(callers, key=lambda caller: caller.reaches_at)


def serve_return(load: Load, seed: int, until: int = 4_000) -> dict[int, list[int]]:
    """Serve all callers of a return.

    Returns
    -------
    dict
        Callers that began in each window of 2 s before and after a balancer is ready,
        by its start in ms: how many were answered within the target latency, how many
        later before the deadline.
    """
    rng = random.Random(seed)
    callers = make_callers(load, until, rng)
    free = [0.0] * load.slots
    outcome: dict[int, list[int]] = {}
    waiting: list[Caller] = []
    sigma = load.spread
    while callers or waiting:
        now = heapq.heappop(free)
        if not waiting and callers:
            now = max(now, callers[0].reaches_at)
        while callers and callers[0].reaches_at <= now:
            waiting.append(callers.pop(0))
        factor = load.cold_factor if now < load.cold_ms else 1.0
        work_ms = load.service_ms * factor * rng.lognormvariate(-(sigma**2) / 2, sigma)
        done_at = now + work_ms
        waiting = [c for c in waiting if done_at <= c.started_at + load.deadline_ms]
        if not waiting:
            heapq.heappush(free, now + 1)
            if not callers:
                break
            continue
        in_target = [c for c in waiting if done_at <= c.started_at + load.target_ms]
        chosen = max(in_target or waiting, key=lambda caller: caller.started_at)
        waiting.remove(chosen)
        heapq.heappush(free, done_at)
        window = int(chosen.started_at // WINDOW_MS * WINDOW_MS)
        outcome.setdefault(window, [0, 0])[not in_target] += 1
    return outcome


def main(
    *,
    per_s: float = 225,
    slots: int = 21,
    service_ms: float = 51,
    target_ms: float = 200,
    deadline_ms: float = 1_200,
    dark_ms: int = 2_000,
    cold_ms: int = 1_500,
    seeds: int = 20,
) -> None:
    """Print the mean over several seeds, by windows of 2 s.

    Parameters
    ----------
    per_s
        Requests a second.
    slots
        Requests that all upstreams run at once.
    service_ms
        Mean service time of a warm upstream.
    target_ms
        Target latency.
    deadline_ms
        Deadline.
    dark_ms
        Time from the loss of power until a balancer is ready.
    cold_ms
        Time after that in which upstreams are slow.
    seeds
        Number of seeds.
    """
    load = Load(per_s, slots, service_ms, target_ms, deadline_ms, dark_ms, cold_ms)
    runs = [serve_return(load, seed) for seed in range(seeds)]
    print("from ms   asked  in target    late")
    for window in (-WINDOW_MS, 0, WINDOW_MS):
        pairs = [run.get(window, [0, 0]) for run in runs]
        in_target, late = (statistics.mean(v) for v in zip(*pairs, strict=True))
        print(f"{window:7} {per_s * 2:7.0f} {in_target:10.0f} {late:7.0f}")


if __name__ == "__main__":
    defopt.run(main)
