"""The side process of packet flows."""

import random
from collections.abc import Callable

from fuchsiapin.daemons.flowshell import FlowShell
from fuchsiapin.daemons.httpcalls import HttpClient, HttpResponse
from fuchsiapin.daemons.httpserving import Reply
from fuchsiapin.daemons.processends import run_process
from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.adapter import FlowAdapter, FlowSettings, LeaveNotice
from fuchsiapin.flows.effects import Probe, ToUpstream
from fuchsiapin.flows.sidecore import FlowSideCore, SideSettings, make_flow_side_core

__all__ = ["run_flow_side"]

PROBE_TIMEOUT_MS = 1_000
"""Timeout of a health check."""
IN_TRANSIT_MS = 300
"""Time without a packet forwarded to this process after which none is assumed to be in
transit through it."""
MAX_STOP_MS = 2_000
"""Longest planned stop, even if the store is not up to date yet. It is short because
a new side process takes over an upstream that keeps running."""


class FlowSideShell(FlowShell):
    """Shell of a side process, with the sockets to its upstream."""

    def __init__(self, adapter: FlowAdapter, settings: FlowSettings) -> None:
        def make_core(report: Callable[..., None], rng: random.Random) -> FlowSideCore:
            record = SideSettings(
                settings.host,
                settings.service,
                settings.zone,
                settings.heartbeat_ms,
                settings.flow_ms,
                list(settings.seeds),
            )
            return make_flow_side_core(record, adapter.packets, report, rng)

        super().__init__(adapter, settings, "side", make_core)
        self.effect_handlers[ToUpstream] = self.send_to_upstream
        self.effect_handlers[Probe] = self.probe
        self.upstream = self.open_udp(*settings.outbound, self.on_upstream_packet)
        self.listen(settings.control[1], self.on_control)
        if settings.ready[1]:
            # A side process is always ready.
            self.listen(settings.ready[1], lambda *call: Reply(200))

    def on_upstream_packet(self, data: bytes, host: str) -> None:
        """Pass a packet of the upstream to the core."""
        self.feed(self.core.on_upstream_packet, data)

    def send_to_upstream(self, effect: ToUpstream) -> None:
        """Send a packet to the upstream."""
        self.send(self.upstream, effect.data, *self.settings.upstream)

    def probe(self, effect: Probe) -> None:
        """Check the health of the upstream over a new connection."""
        client = HttpClient(self.loop, *self.settings.upstream)

        def done(response: HttpResponse) -> None:
            # closed: connection refused; silent: any other call without a response
            outcome, name = "silent", ""
            if response.status:
                is_healthy, name = self.adapter.read_health(
                    response.status, response.headers or {}
                )
                outcome = "healthy" if is_healthy else "unhealthy"
            elif response.error == "refused":
                outcome = "closed"
            self.feed(self.core.on_probe, outcome, name)
            for connection in list(client.idle):
                connection.close()

        client.call("GET", self.adapter.health_path, b"", PROBE_TIMEOUT_MS, done)

    def on_control(self, method: str, path: str, body: bytes) -> Reply:
        """Handle a heartbeat or a deregistration of the upstream."""
        try:
            message = self.adapter.read_control(method, path, body)
        except MalformedObject as error:
            self.log.report(6206, path=path, error=str(error))
            return Reply(400, b"{}")
        if message is None:
            return Reply(404, b"{}")
        if isinstance(message, LeaveNotice):
            is_handled = self.feed(self.core.on_leave, message.id)
            return Reply(200 if is_handled else 503, b"{}")
        if message.service != self.settings.service:
            error = f"service {message.service!r} is not {self.settings.service!r}"
            self.log.report(6206, path=path, error=error)
            return Reply(400, b"{}")
        is_handled = self.feed(self.core.on_heartbeat, message)
        return Reply(200 if is_handled else 503, b"{}")

    def may_exit(self, now: int, elapsed_ms: int) -> bool:
        """Return whether the process may exit.

        It may after `MAX_STOP_MS`. Before, it may once the store is up to date if the
        upstream is gone, else once no request is unanswered and no packet was forwarded
        to this process for `IN_TRANSIT_MS`.
        """
        if elapsed_ms >= MAX_STOP_MS:
            return True
        member = self.core.upstream.member
        is_gone = member is None or member.state == "gone"
        if is_gone:
            return self.core.writer.is_done
        return (
            not self.core.held.unanswered_requests
            and now - self.core.delivery.last_forward_at > IN_TRANSIT_MS
        )


def run_flow_side(adapter: FlowAdapter) -> None:
    """Run a side process of packet flows."""
    run_process(adapter, FlowSideShell)
