"""The side process of packet flows."""

import json
import random
import time
from collections.abc import Callable

from fuchsiapin.daemons.flowshell import FlowShell
from fuchsiapin.daemons.httpcalls import HttpClient, HttpResponse
from fuchsiapin.daemons.httpserving import Reply
from fuchsiapin.daemons.processends import run_process
from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import shown
from fuchsiapin.flows.adapter import FlowAdapter, FlowSettings, LeaveNotice
from fuchsiapin.flows.effects import Probe, ToUpstream
from fuchsiapin.flows.sidecore import FlowSideCore, SideSettings, make_flow_side_core
from fuchsiapin.flows.upstreams import Heartbeat

__all__ = ["run_flow_side"]

PROBE_TIMEOUT_MS = 1_000
"""Timeout of a health check."""
IN_TRANSIT_MS = 300
"""Time without a packet forwarded to this process after which none is assumed to be in
transit through it."""
MAX_STOP_MS = 2_000
"""Longest planned stop, even if the store is not up to date yet. It is short because
a new side process takes over an upstream that keeps running."""
MAX_LOGGED_PATH_CHARACTERS = 200
MAX_CLOCK_LEAD_MS = 86_400_000
"""Most by which the start of an upstream may be later than the present time: clocks are
set back, but by seconds or by an hour."""
NS_PER_MS = 1_000_000


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
                settings.cold_overage > 0,
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
                outcome, name = self.read_health(response)
            elif response.error == "refused":
                outcome = "closed"
            self.feed(self.core.on_probe, outcome, name)
            for connection in list(client.idle):
                connection.close()

        client.call("GET", self.adapter.health_path, b"", PROBE_TIMEOUT_MS, done)

    def read_health(self, response: HttpResponse) -> tuple[str, str]:
        """Return the outcome of a health check, and the upstream's id, if known."""
        try:
            is_healthy, name = self.adapter.read_health(
                response.status, response.headers or {}
            )
        except MalformedObject as error:
            self.log.report(6206, path=self.adapter.health_path, error=str(error))
            return "unhealthy", ""
        return "healthy" if is_healthy else "unhealthy", name

    def on_control(self, method: str, path: str, body: bytes) -> Reply:
        """Handle a heartbeat or a deregistration of the upstream."""
        try:
            message = self.adapter.read_control(method, path, body)
        except MalformedObject as error:
            return self.refuse(path, str(error))
        if message is None:
            return Reply(404, b"{}")
        if isinstance(message, LeaveNotice):
            is_handled = self.feed(self.core.on_leave, message.id, message.born)
            return Reply(200 if is_handled else 503, b"{}")
        reason = foreign_reason(self.settings, self.latest_time(), message)
        if reason:
            return self.refuse(path, reason)
        is_handled = self.feed(self.core.on_heartbeat, message)
        is_pending = message.is_draining and not self.core.upstream.is_leaving(
            message.id
        )
        if is_handled and is_pending:
            return self.refuse(path, "a later heartbeat is known", 503)
        return Reply(200 if is_handled else 503, b"{}")

    def latest_time(self) -> int:
        """Return the time in ms, the later one of the process's and the system's clock.

        The process's clock keeps a time that was wrong when the process started.
        """
        return max(self.clock.now(), time.time_ns() // NS_PER_MS)

    def refuse(self, path: str, error: str, status: int = 400) -> Reply:
        """Refuse a call, and tell its sender and the log why."""
        self.log.report(6206, path=path[:MAX_LOGGED_PATH_CHARACTERS], error=error)
        return Reply(status, json.dumps({"error": error}).encode())

    def may_exit(self, now: int, elapsed_ms: int) -> bool:
        """Return whether the process may exit.

        It may after `MAX_STOP_MS`. Before, it may once the store is up to date if the
        upstream is gone, else once no request is unanswered and no packet was forwarded
        to this process for `IN_TRANSIT_MS`. It waits for the decision whether the
        upstream left.
        """
        if elapsed_ms >= MAX_STOP_MS:
            return True
        if self.core.upstream.leave_noticed_at:
            return False
        member = self.core.upstream.member
        is_gone = member is None or member.state == "gone"
        if is_gone:
            return self.core.writer.is_done
        return (
            not self.core.held.unanswered_requests
            and now - self.core.delivery.last_forward_at > IN_TRANSIT_MS
        )


def foreign_reason(settings: FlowSettings, now: int, heartbeat: Heartbeat) -> str:
    """Return why a heartbeat isn't from the upstream of this VM, empty if it is.

    The VM may have several addresses, and the upstream may tell any of them.
    """
    if heartbeat.born > now + MAX_CLOCK_LEAD_MS:
        return f"start {heartbeat.born} is {heartbeat.born - now} ms in the future"
    if heartbeat.service != settings.service:
        return f"service {shown(heartbeat.service)} is not {settings.service!r}"
    if heartbeat.zone != settings.zone:
        return f"zone {shown(heartbeat.zone)} is not {settings.zone!r}"
    host, port = heartbeat.address
    if host not in (settings.upstream[0], settings.host, settings.bind):
        return f"address {host} is not that of this VM, {settings.upstream[0]}"
    if port != settings.upstream[1]:
        return f"port {port} is not that of the upstream, {settings.upstream[1]}"
    return ""


def run_flow_side(adapter: FlowAdapter) -> None:
    """Run a side process of packet flows."""
    run_process(adapter, FlowSideShell)
