"""Faults and planned changes injected into a simulated world, counted by kind."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from fuchsiapin import messages
from fuchsiapin.codec import decode_object, encode_object
from measure.world import World
from measure.worldparts import Node

__all__ = ["CONFIG_KEY", "Faults", "make_config"]

CONFIG_KEY = "config/town"
SETTLE_MS = 6_000
"""Time that views need to settle after a crash or the end of a fault."""
DEADLINE_MS = 20_000
QUEUE = 64


def make_config(world: World) -> messages.Configuration:
    """Return a configuration that names all upstreams of a world."""
    services = []
    for service in world.services():
        upstreams = [
            messages.UpstreamConfig(
                node.name, node.name, node.host, node.zone, 2, 2000, False
            )
            for node in world.nodes.values()
            if node.service == service
        ]
        services.append(
            messages.ServiceConfig(service, DEADLINE_MS, QUEUE, upstreams, [])
        )
    return messages.Configuration("town", 1, "operator", "first", services, [])


class Faults:
    """Injects faults into a world and reverts them after their duration.

    Parameters
    ----------
    world : World
        The simulated world.

    Attributes
    ----------
    injected : Counter
        Number of injected faults and changes by kind.
    severe : int
        Number of faults that can take a flow's owner or witness away.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.injected: Counter[str] = Counter()
        self.severe = 0
        self.usual_links = replace(world.links)
        self.limits_suspended_until = 0.0
        self.asked_to_leave_at: dict[str, float] = {}
        self.accepted_at: dict[int, float] = {}
        self.joined = 0

    # Running processes

    def sides(self, service: str = "") -> list[Node]:
        """Return the running side processes, of one service or all."""
        return [
            node
            for node in self.world.nodes.values()
            if node.service and (not service or node.service == service)
        ]

    def balancers(self) -> list[Node]:
        """Return the running balancers."""
        return [node for node in self.world.nodes.values() if not node.service]

    def staying(self, service: str) -> list[Node]:
        """Return the side processes of a service that weren't asked to leave."""
        return [
            node
            for node in self.sides(service)
            if node.name not in self.asked_to_leave_at
        ]

    def count_fault(self, kind: str, is_severe: bool = False) -> None:
        """Count a fault."""
        self.injected[kind] += 1
        self.severe += is_severe

    def suspend_time_limits(self, duration_ms: float) -> None:
        """Suspend the time limits of the promises for a duration from now."""
        self.limits_suspended_until = max(
            self.limits_suspended_until, self.world.now + duration_ms
        )

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.world.at(self.world.now + delay_ms, call)

    # Processes

    def kill(self, node: Node) -> None:
        """Kill a process without warning."""
        self.count_fault(
            "kill side" if node.service else "kill balancer", bool(node.service)
        )
        self.suspend_time_limits(SETTLE_MS)
        self.world.kill(node.name)

    def restart(self, node: Node) -> None:
        """Restart a side process under its address, without its state."""
        self.count_fault("restart side", True)
        self.suspend_time_limits(SETTLE_MS)
        self.asked_to_leave_at.pop(node.name, None)
        self.world.restart_side(node.name)

    def freeze(self, node: Node, duration_ms: float) -> None:
        """Suspend a process for a duration."""
        if node.is_frozen:
            return
        self.count_fault("freeze side" if node.service else "freeze balancer", True)
        self.suspend_time_limits(duration_ms + SETTLE_MS)
        self.world.freeze(node.name)

        def thaw() -> None:
            if self.world.nodes.get(node.name) is node:
                self.world.thaw(node.name)

        self.call_later(duration_ms, thaw)

    def restart_upstream(self, node: Node, silent_ms: float) -> None:
        """Restart an upstream without its state; its side process keeps running."""
        self.count_fault("restart upstream", True)
        self.suspend_time_limits(silent_ms + SETTLE_MS)
        self.world.restart_upstream(node, silent_ms)

    def join_side(self, service: str) -> None:
        """Start one more side process."""
        self.count_fault("join side")
        self.joined += 1
        zone = self.world.zone_of(self.joined)
        name = f"{service}-{100 + self.joined}"
        self.world.add_side(name, zone, service=service)

    def join_balancer(self) -> None:
        """Start one more balancer."""
        self.count_fault("join balancer")
        self.joined += 1
        self.world.add_balancer(
            f"balancer-{100 + self.joined}", self.world.zone_of(self.joined)
        )

    def leave(self, node: Node, times: int = 1) -> None:
        """Ask a process for a planned stop."""
        self.count_fault("leave side" if node.service else "leave balancer")
        if node.service:
            self.asked_to_leave_at.setdefault(node.name, self.world.now)
        for _ in range(times):
            self.world.stop(node.name)

    # Links

    def cut(self, one: str, two: str, duration_ms: float, both: bool) -> None:
        """Drop all datagrams from one process or zone to another for a duration."""
        self.count_fault("cut" if both else "cut one way", True)
        self.suspend_time_limits(duration_ms + SETTLE_MS)
        pairs = {(one, two), (two, one)} if both else {(one, two)}
        self.world.links.cuts |= pairs

        def reconnect() -> None:
            self.world.links.cuts -= pairs

        self.call_later(duration_ms, reconnect)

    def change_links(self, duration_ms: float, **changes: float) -> None:
        """Change delay, jitter, loss, duplication or reordering for a duration."""
        self.suspend_time_limits(duration_ms + SETTLE_MS)
        for name, value in changes.items():
            self.count_fault(f"links {name}")
            setattr(self.world.links, name, value)
            self.call_later(duration_ms, self.restore_links)

    def restore_links(self) -> None:
        """Restore the usual parameters of the links, but keep the cuts.

        This ends every change of the parameters, also one injected later.
        """
        self.world.links = replace(self.usual_links, cuts=self.world.links.cuts)

    # Store

    def store_down(self, duration_ms: float) -> None:
        """Make the store unavailable for a duration."""
        if self.world.store.is_down:
            return
        self.count_fault("store down")
        self.suspend_time_limits(duration_ms + SETTLE_MS)
        self.world.set_store(True)
        self.call_later(duration_ms, lambda: self.world.set_store(False))

    def store_slow(self, duration_ms: float, delay_ms: float) -> None:
        """Delay the store's answers for a duration."""
        self.count_fault("store slow")
        self.suspend_time_limits(duration_ms + SETTLE_MS)
        self.world.store.delay_ms = delay_ms
        self.call_later(duration_ms, lambda: setattr(self.world.store, "delay_ms", 3.0))

    def lose_answers(self, count: int) -> None:
        """Make the store carry out the next writes without answering."""
        self.count_fault("store answer lost")
        self.suspend_time_limits(SETTLE_MS)
        self.world.store.lose_answers += count

    def hide_store(self, names: list[str], duration_ms: float) -> None:
        """Make the store unreachable from some processes for a duration."""
        self.count_fault("store unreachable from some")
        self.suspend_time_limits(duration_ms + SETTLE_MS)
        self.world.store.unreachable |= set(names)

        def reconnect() -> None:
            self.world.store.unreachable -= set(names)
            for node in list(self.world.nodes.values()):
                self.world.resync(node)

        self.call_later(duration_ms, reconnect)

    # Operators

    def accept_config(self, deadline_ms: int, leaving: str = "") -> None:
        """Write the next configuration, as an operator's conditional update does."""
        store = self.world.store
        version, value = store.objects.get(CONFIG_KEY, (0, b""))
        stored = decode_object(messages.Configuration, value) if value else None
        config = stored or make_config(self.world)
        number = stored.number + 1 if stored else 1
        services = [
            replace(
                service,
                deadline_ms=deadline_ms,
                upstreams=[
                    replace(item, leaving=item.leaving or item.id == leaving)
                    for item in service.upstreams
                ],
            )
            for service in config.services
        ]
        config = replace(
            config, number=number, services=services, change_id=f"change-{number}"
        )
        if store.is_down:
            return
        if self.world.put(CONFIG_KEY, version, encode_object(config)) == "done":
            self.count_fault("configuration")
            self.accepted_at[number] = self.world.now
            if leaving in self.world.nodes:
                self.asked_to_leave_at.setdefault(leaving, self.world.now)

    def race_configs(self) -> None:
        """Let two operators update the same version; the second write conflicts."""
        store = self.world.store
        version, value = store.objects.get(CONFIG_KEY, (0, b""))
        if not value or store.is_down:
            return
        self.count_fault("operators race")
        self.accept_config(15_000)
        second_result = self.world.put(CONFIG_KEY, version, value)
        # The simulated store must reject the second write.
        assert second_result == "conflict"

    def heal(self) -> None:
        """Revert all faults of links and store, and resume suspended processes."""
        self.restore_links()
        self.world.links.cuts.clear()
        self.world.store.unreachable.clear()
        self.world.store.lose_answers = 0
        self.world.store.delay_ms = 3.0
        self.world.set_store(False)
        for node in list(self.world.nodes.values()):
            if node.is_frozen:
                self.world.thaw(node.name)
