"""Faults and changes of a simulated deployment.

Each draws its target and its times from the plan of the world that it acts on.
"""

from functools import partial
from typing import Any

from fuchsiapin.registry import Registry
from fuchsiapin.tests.flowactors import SERVICE, make_route

__all__ = ["actions", "restart_under_id"]

actions = Registry("action")


def live_balancers(world: Any) -> list[str]:
    """Return the addresses of the balancers that run."""
    return [host for host in world.balancer_hosts if world.processes[host].is_up]


def live_members(world: Any) -> list[str]:
    """Return the addresses of upstreams that run beside a running side process."""
    return [
        host
        for host, upstream in world.upstreams.items()
        if upstream.is_up and not upstream.is_draining and world.processes[host].is_up
    ]


@actions.register("stall balancers")
def stall_balancers(world: Any) -> None:
    """Stall one or several balancers, their links or the processes."""
    hosts = live_balancers(world)
    is_process = world.plan.random() < 0.5
    for host in world.plan.sample(hosts, min(len(hosts), world.plan.choice((1, 1, 2)))):
        world.stall(host, world.plan.randint(200, 3_000), is_process)


@actions.register("slow balancer")
def slow_balancer(world: Any) -> None:
    """Let each input of a balancer take some ms."""
    hosts = live_balancers(world)
    if hosts:
        duration = world.plan.randint(300, 3_000)
        world.slow(world.plan.choice(hosts), duration, world.plan.randint(2, 15))


@actions.register("stall side")
def stall_side(world: Any) -> None:
    """Stall a side process or its link."""
    host = world.plan.choice(list(world.upstreams))
    world.stall(host, world.plan.randint(200, 3_000), world.plan.random() < 0.5)


@actions.register("add balancer")
def add_balancer(world: Any) -> None:
    """Start another balancer, which is in the rotation soon."""
    host = f"10.0.0.{len(world.balancer_hosts) + 1}"
    world.note("add balancer", host=host)
    world.balancer_hosts.append(host)
    world.start_balancer(host)
    world.after(world.plan.randint(50, 800), lambda: join_rotation(world, host))


def join_rotation(world: Any, host: str) -> None:
    """Put a balancer that is ready into the rotation."""
    process = world.processes[host]
    if host in world.rotation or not process.is_up:
        return
    if process.core.not_ready(world.now):
        world.after(100, lambda: join_rotation(world, host))
        return
    world.rotation.append(host)


def leave_rotation(world: Any, host: str) -> None:
    """Take a balancer out of the rotation."""
    if host in world.rotation:
        world.rotation.remove(host)


@actions.register("restart balancer")
def restart_balancer(world: Any) -> None:
    """Stop a balancer, planned or not, and start it again."""
    hosts = live_balancers(world)
    if len(hosts) < 2:
        return
    host = world.plan.choice(hosts)
    is_planned = world.plan.random() < 0.5
    world.note("restart balancer", host=host, is_planned=is_planned)
    down_at = 0
    if is_planned:
        world.processes[host].core.stop(world.now)
        world.run_effects(host)
        down_at = world.plan.randint(300, 1_000)
    world.after(
        world.plan.randint(0, 600 if is_planned else 1_500),
        lambda: leave_rotation(world, host),
    )

    def start() -> None:
        world.start_balancer(host)
        join_rotation(world, host)

    world.after(down_at, lambda: world.kill(host))
    world.after(down_at + world.plan.randint(100, 2_000), start)


@actions.register("restart side")
def restart_side(world: Any) -> None:
    """Stop a side process beside its upstream, planned or not, and start it again."""
    hosts = live_members(world)
    if not hosts:
        return
    host = world.plan.choice(hosts)
    is_planned = world.plan.random() < 0.5
    world.note("restart side", host=host, is_planned=is_planned)
    down_at = 0
    if is_planned:
        world.processes[host].core.stop(world.now)
        world.run_effects(host)
        down_at = world.plan.randint(100, 500)
    world.after(down_at, lambda: world.kill(host))
    world.after(
        down_at + world.plan.randint(300, 2_500), lambda: world.start_side(host)
    )


@actions.register("release")
def release(world: Any) -> None:
    """Start an upstream on a new VM, and let another one drain and leave."""
    hosts = live_members(world)
    if not hosts:
        return
    join(world)
    old = world.plan.choice(hosts)
    world.after(world.plan.randint(0, 800), lambda: drain_upstream(world, old))


def drain_upstream(world: Any, host: str) -> None:
    """Let an upstream drain, and leave some time later."""
    upstream = world.upstreams[host]
    if not upstream.is_up or not world.processes[host].is_up:
        return
    world.note("drain", host=host)
    upstream.is_draining = True
    world.send_heartbeat(host, upstream.next_heartbeat())
    delay = world.plan.randint(100, 1_500)
    world.after(delay, lambda: leave(world, host, upstream))


def leave(world: Any, host: str, upstream: Any) -> None:
    """Let an upstream leave, and its VM end; every other notice lacks its start."""
    if world.upstreams[host] is not upstream:
        return
    world.note("leave", host=host)
    upstream.is_leaving = True
    born = upstream.born if upstream.incarnation % 2 else None
    send_notice(world, host, upstream.id, born)

    def end() -> None:
        upstream.is_up = False
        world.kill(host)
        world.left_hosts.append(host)

    world.after(world.plan.randint(1, 100), end)


def send_notice(world: Any, host: str, member_id: str, born: int | None) -> None:
    """Let a notice that an upstream leaves arrive if its side process runs."""
    if world.processes[host].is_up:
        world.processes[host].core.on_leave(world.now, member_id, born)
        world.run_effects(host)


def restart_under_id(world: Any) -> None:
    """Let an upstream drain, end and start again under its id.

    The notice that it leaves is late, and may lack its start.
    """
    hosts = live_members(world)
    if not hosts:
        return
    host = world.plan.choice(hosts)
    upstream = world.upstreams[host]
    name, born = upstream.id, world.plan.choice((upstream.born, None))
    upstream.is_draining = True
    world.send_heartbeat(host, upstream.next_heartbeat())
    ended_at = world.plan.randint(100, 800)
    started_at = ended_at + world.plan.randint(100, 800)
    noticed_at = ended_at + world.plan.randint(50, 3_000)
    world.note("restart under id", host=host, born=born, noticed_ms=noticed_at)

    def end() -> None:
        if world.upstreams[host] is upstream:
            upstream.is_up = False

    def start() -> None:
        if world.upstreams[host] is not upstream or upstream.is_leaving:
            return
        upstream.restart()
        upstream.id = name
        upstream.is_draining, upstream.is_up = False, True
        world.send_heartbeat(host, upstream.next_heartbeat())

    world.after(ended_at, end)
    world.after(started_at, start)
    world.after(noticed_at, lambda: send_notice(world, host, name, born))


@actions.register("join")
def join(world: Any, host: str = "") -> None:
    """Start an upstream on a new VM, or at a former address."""
    host = host or f"10.0.2.{len(world.upstreams) + 1}"
    service = world.plan.choice(sorted({u.service for u in world.upstreams.values()}))
    world.note("join", host=host, service=service)
    world.add_member(host, service, world.plan.choice((1, 2, 8)), 30)


@actions.register("reuse address")
def reuse_address(world: Any) -> None:
    """Let an upstream leave, and another one start at its address soon after."""
    hosts = live_members(world)
    if len(hosts) < 2:
        return
    host = world.plan.choice(hosts)
    drain_upstream(world, host)
    service = world.plan.choice((SERVICE, "other"))

    def start() -> None:
        if host in world.left_hosts:
            world.left_hosts.remove(host)
            world.note("reuse", host=host, service=service)
            world.add_member(host, service, 8, 30)

    world.after(world.plan.randint(300, 3_000), start)


@actions.register("crash upstream")
def crash_upstream(world: Any) -> None:
    """Let an upstream crash, and start a new incarnation."""
    hosts = live_members(world)
    if not hosts:
        return
    host = world.plan.choice(hosts)
    upstream = world.upstreams[host]
    # How long the first heartbeat comes after the port is open.
    delay = world.plan.choice((0, 2, 50, 300))
    world.note("crash", host=host, heartbeat_ms=delay)
    upstream.is_up = False

    def start() -> None:
        if world.upstreams[host] is upstream and not upstream.is_leaving:
            upstream.restart()
            upstream.is_up = True
            world.note("upstream restarted", host=host)
            world.after(delay, beat)

    def beat() -> None:
        if upstream.is_up:
            world.send_heartbeat(host, upstream.next_heartbeat())

    world.after(world.plan.randint(200, 2_500), start)


@actions.register("fill upstreams")
def fill_upstreams(world: Any) -> None:
    """Let most upstreams accept no more flows for some time."""
    hosts = list(world.upstreams)
    world.note("fill")
    for host in world.plan.sample(hosts, max(1, len(hosts) - 1)):
        upstream = world.upstreams[host]
        upstream.capacity = 0
        world.after(
            world.plan.randint(300, 1_500), partial(setattr, upstream, "capacity", 100)
        )


@actions.register("lose datagrams")
def lose_datagrams(world: Any) -> None:
    """Let links lose datagrams for some time."""
    world.loss_rate = world.plan.choice((0.02, 0.1, 0.3))
    world.note("loss", rate=world.loss_rate)
    world.after(
        world.plan.randint(300, 2_000), partial(setattr, world, "loss_rate", 0.0)
    )


@actions.register("cut link")
def cut_link(world: Any) -> None:
    """Cut the links between two processes, or one of the two directions."""
    source = world.plan.choice(world.balancer_hosts)
    others = [host for host in world.balancer_hosts if host != source]
    target = world.plan.choice([*others, *world.upstreams, "store"])
    pairs = {(source, target), (target, source)}
    if world.plan.random() < 0.4:
        pairs = {world.plan.choice(sorted(pairs))}
    world.note("cut", pairs=sorted(pairs))
    world.cut_links |= pairs

    def mend() -> None:
        world.cut_links -= pairs

    world.after(world.plan.randint(300, 3_000), mend)


@actions.register("stop store")
def stop_store(world: Any) -> None:
    """Let the store refuse calls, or leave them unanswered, for some time."""
    name, value = world.plan.choice((("is_up", False), ("is_silent", True)))
    world.note("store", **{name: value})
    setattr(world.store.state, name, value)
    world.after(
        world.plan.randint(500, 4_000),
        partial(setattr, world.store.state, name, not value),
    )


@actions.register("add route")
def add_route(world: Any) -> None:
    """Add a route, and open flows on it at once."""
    service = world.plan.choice(sorted({u.service for u in world.upstreams.values()}))
    kind = world.plan.choice(("safe", "unsafe"))
    route = make_route(service, kind, 450 + len(world.routes))
    world.routes = (*world.routes, route)
    world.note("add route", port=450 + len(world.routes) - 1, service=service)
    world.configure(len(world.routes))
    for delay in (5, 20, 50, 100, 200, 400):
        world.after(delay, partial(world.start_caller, route))
