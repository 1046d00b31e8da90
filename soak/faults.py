"""Faults that the soak test injects from outside the processes.

The seed determines their sequence.
"""

import random
import signal
from typing import Any

from fuchsiapin.registry import Registry
from soak.storelink import MODES

__all__ = ["PLANNED", "draw_fault", "faults"]

faults = Registry("fault")

PLANNED = ("restart", "drain and replace", "configuration")
"""Faults that are planned operations: open flows must survive them."""
FREQUENCIES = (
    ("restart", 4),
    ("drain and replace", 3),
    ("configuration", 3),
    ("kill", 3),
    ("pause", 2),
    ("cut", 2),
    ("weather", 2),
    ("store", 4),
    ("store link", 3),
    ("crash upstream", 2),
    ("herd", 1),
    ("hang up", 1),
)
"""Faults and their relative frequencies."""


def draw_fault(rng: random.Random, planned_only: bool) -> str:
    """Return the name of a random fault."""
    candidates = [c for c in FREQUENCIES if not planned_only or c[0] in PLANNED]
    names, weights = zip(*candidates, strict=True)
    return rng.choices(names, weights)[0]


@faults.register("restart")
def restart(soak: Any) -> str:
    """Stop a process as planned, at times with two signals; it is restarted."""
    process = soak.rng.choice(soak.processes)
    process.signal(signal.SIGTERM)
    if soak.rng.random() < 0.2:
        process.signal(signal.SIGTERM)
    return process.vm.name


@faults.register("kill")
def kill(soak: Any) -> str:
    """Kill a process; it is restarted."""
    process = soak.rng.choice(soak.processes)
    process.signal(signal.SIGKILL)
    return process.vm.name


@faults.register("herd")
def kill_most(soak: Any) -> str:
    """Kill most processes at once."""
    chosen = [p for p in soak.processes if soak.rng.random() < 0.7]
    for process in chosen:
        process.signal(signal.SIGKILL)
    return f"{len(chosen)} processes"


@faults.register("pause")
def suspend(soak: Any) -> str:
    """Suspend a process for a while."""
    process = soak.rng.choice(soak.processes)
    process.signal(signal.SIGSTOP)
    duration = soak.rng.randint(300, 3_000)
    soak.loop.call_later(duration, lambda now: process.signal(signal.SIGCONT))
    return f"{process.vm.name} for {duration} ms"


@faults.register("hang up")
def reload_settings(soak: Any) -> str:
    """Signal a process to reload its settings."""
    process = soak.rng.choice(soak.processes)
    process.reload()
    return process.vm.name


@faults.register("cut")
def cut_links(soak: Any) -> str:
    """Block datagrams from a process to some others, at times also theirs to it."""
    hosts = [process.vm.host for process in soak.processes]
    host = soak.rng.choice(hosts)
    others = [h for h in hosts if h != host and soak.rng.random() < 0.7]
    both = soak.rng.random() < 0.5
    soak.proxy.cut(host, others, both)
    duration = soak.rng.randint(500, 4_000)
    soak.loop.call_later(duration, lambda now: soak.proxy.heal())
    return f"{host} from {len(others)} {'both ways' if both else 'one way'}"


@faults.register("weather")
def degrade_links(soak: Any) -> str:
    """Make the links between processes drop and delay datagrams for a while."""
    soak.proxy.loss = soak.rng.choice((0.02, 0.1, 0.3))
    soak.proxy.delay_ms = soak.rng.choice((0, 20, 100))
    duration = soak.rng.randint(500, 3_000)
    soak.loop.call_later(duration, lambda now: soak.proxy.heal())
    return f"loss {soak.proxy.loss}, delay {soak.proxy.delay_ms} ms"


@faults.register("store")
def disturb_store(soak: Any) -> str:
    """Make the store fail for a while, drop its event history or lose objects."""
    mode = soak.rng.choice(("busy", "silent", "slow", "lossy", "forget", "lapse"))
    if mode == "forget":
        soak.store.drop_history()
    elif mode == "lapse":
        soak.store.remove_system_objects()
    else:
        soak.store.fault.mode = mode
        duration = soak.rng.randint(500, 5_000)
        soak.loop.call_later(duration, lambda now: soak.restore_store())
    return mode


@faults.register("store link")
def disturb_store_link(soak: Any) -> str:
    """Make the connections to the store fail for a while."""
    mode = soak.rng.choice(MODES)
    soak.store_link.set_mode(mode)
    duration = soak.rng.randint(500, 4_000)
    soak.loop.call_later(duration, lambda now: soak.store_link.set_mode("up"))
    return f"{mode} for {duration} ms"


@faults.register("crash upstream")
def crash_upstream(soak: Any) -> str:
    """Crash an upstream; a new incarnation starts at once."""
    upstream = soak.rng.choice(soak.upstreams)
    upstream.crash()
    return upstream.vm.name


@faults.register("drain and replace")
def drain_and_replace(soak: Any) -> str:
    """Drain an upstream as planned, then replace it by a new incarnation."""
    upstream = soak.rng.choice(soak.upstreams)
    if upstream.is_draining:
        return "none"
    upstream.drain()
    soak.loop.call_later(soak.drain_ms + 500, lambda now: upstream.replace())
    return upstream.vm.name


@faults.register("configuration")
def change_configuration(soak: Any) -> str:
    """Store a new version of the configuration, with or without the spare route."""
    soak.change_configuration()
    return f"version {soak.version}"
