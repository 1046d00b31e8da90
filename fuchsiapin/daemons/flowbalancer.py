"""The balancer process of packet flows."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from fuchsiapin.daemons.flowshell import FlowShell
from fuchsiapin.daemons.httpserving import Reply
from fuchsiapin.daemons.processends import run_process
from fuchsiapin.flows.balancercore import FlowBalancerCore, make_flow_balancer_core
from fuchsiapin.flows.coldrates import ColdBounds
from fuchsiapin.flows.peerrecords import BalancerRecord

if TYPE_CHECKING:
    from fuchsiapin.flows.adapter import FlowAdapter, FlowSettings

__all__ = ["run_flow_balancer"]

ROUTER_WITHDRAWAL_MS = 1_500
"""Shortest time before an exit; routers stop using a balancer after two failed
probes, which they send every 500 ms."""
QUIET_MS = 700
"""Time without a packet after which, beyond `ROUTER_WITHDRAWAL_MS`, the routers are
assumed to have stopped using the balancer."""


class FlowBalancerShell(FlowShell):
    """Shell of a balancer, with the socket for callers."""

    def __init__(self, adapter: FlowAdapter, settings: FlowSettings) -> None:
        def make_core(
            report: Callable[..., None], rng: random.Random
        ) -> FlowBalancerCore:
            record = BalancerRecord(
                settings.name, self.clock.now(), settings.host, settings.zone
            )
            seeds = list(settings.seeds)
            evacuates = settings.evacuation_ms > 0
            bounds = ColdBounds(settings.cold_overage, settings.cold_slack)
            return make_flow_balancer_core(
                record,
                seeds,
                adapter.packets,
                report,
                rng,
                evacuates,
                bounds,
                settings.link_mbps,
            )

        super().__init__(adapter, settings, "balancer", make_core)
        self.open_udp(*settings.callers, self.on_packet)
        self.listen(settings.ready[1], self.on_readiness_probe)
        if settings.control[1]:
            # Upstreams report to side processes; a balancer has no control calls.
            self.listen(settings.control[1], lambda *call: Reply(404))

    def on_packet(self, data: bytes, host: str) -> None:
        """Pass a caller's packet to the core."""
        self.feed(self.core.on_packet, data)

    def on_readiness_probe(self, method: str, path: str, body: bytes) -> Reply:
        """Answer a readiness probe."""
        if path.split("?")[0] != self.adapter.ready_path:
            return Reply(404)
        return Reply(503 if self.core.not_ready(self.clock.now()) else 200)

    def may_exit(self, now: int, elapsed_ms: int) -> bool:
        """Return whether routers stopped using the balancer."""
        return (
            elapsed_ms >= ROUTER_WITHDRAWAL_MS
            and now - self.core.last_packet_at > QUIET_MS
        )


def run_flow_balancer(adapter: FlowAdapter) -> None:
    """Run a balancer of packet flows."""
    run_process(adapter, FlowBalancerShell)
