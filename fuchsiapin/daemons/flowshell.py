"""Shell of the packet-flow processes: passes events to a core, runs its effects."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from errno import EADDRINUSE
from socket import socket
from typing import TYPE_CHECKING, Any

from fuchsiapin import __version__
from fuchsiapin.clock import SystemClock
from fuchsiapin.daemons.eventloop import EventLoop, open_udp_socket
from fuchsiapin.daemons.httpcalls import TOO_LONG, HttpClient, HttpResponse
from fuchsiapin.daemons.httpserving import Handler, Reply, listen_http
from fuchsiapin.daemons.loglines import FLUSH_INTERVAL_MS, LogLines
from fuchsiapin.daemons.processends import (
    ADDRESS_WAIT_MS,
    FLUSH_MS,
    MAX_ERROR_CHARACTERS,
    report_delay,
    report_resources,
    try_for,
)
from fuchsiapin.daemons.resources import read_resources
from fuchsiapin.daemons.traffic import TrafficAccount, kind_texts, message_kind
from fuchsiapin.exceptions import MalformedEnvelope, SettingsError, error_location
from fuchsiapin.fields import is_host
from fuchsiapin.flows.effects import ToCaller, ToPeer, ToStore
from fuchsiapin.flows.metrics import render_counts
from fuchsiapin.flows.storage import WATCH, StoreCall, StoreResult
from fuchsiapin.flows.wire import decode_message, encode_message

if TYPE_CHECKING:
    from fuchsiapin.flows.adapter import FlowAdapter, FlowSettings

__all__ = ["FlowShell"]

STATE_CHECK_MS = 250
"""Interval of the checks for changed settings, changed readiness and a suspension;
settings may change without a signal."""
TRAFFIC_REPORT_MS = 10_000
"""Interval of the log lines on the bytes sent, memory and descriptors."""
MIN_SUSPENSION_MS = 1_000
"""Shortest suspension of the VM that is logged and reported to the core."""
LATE_REPORT_MS = 1_000
"""Shortest time between two reports that the process is late. An interval that is
itself longer, as after a pause, is always reported."""
UNSENT_CALL_MS = 100
"""Delay of the result of a call that can't be sent, so that repeats are bounded."""
METRICS_RETRY_MS = 5_000
EXIT_CHECK_MS = 50
EXIT_MARGIN_MS = 500
"""Time reserved for exiting before the process is killed."""
MAX_PORT = 65_535
NS_PER_MS = 1_000_000


class FlowShell:
    """One process: a decision core, its sockets and its client of the store.

    Parameters
    ----------
    adapter : FlowAdapter
        The platform.
    settings : FlowSettings
        Settings of the process.
    role : str
        Role of the process.
    make_core : callable
        Makes the core from a function that reports events and a random generator.
    """

    def __init__(
        self,
        adapter: FlowAdapter,
        settings: FlowSettings,
        role: str,
        make_core: Callable[[Callable[..., None], random.Random], Any],
    ) -> None:
        self.adapter = adapter
        self.settings = settings
        self.role = role
        self.clock = SystemClock()
        self.log = LogLines(self.clock, settings.name)
        self.rng = random.Random(f"{settings.name} {time.time_ns()}")
        self.core = make_core(self.log.report, self.rng)
        self.loop = EventLoop(self.clock, self.core.timers)
        self.loop.after_events = self.run_effects
        self.loop.on_error = self.report_error
        self.settings_fingerprint: object = adapter.settings_fingerprint()
        self.store = HttpClient(self.loop, *settings.store)
        self.store_call_counts: dict[str, int] = {}
        self.unsent_datagrams = 0
        self.traffic = TrafficAccount(settings.zone)
        self.stop_requested_at = 0
        self.was_ready = True  # a process that is ready at once logs no event 1104
        self.last_suspended_ns = self.suspended_ns()
        self.late_reported_at = 0
        self.peers = self.open_udp(settings.bind, settings.peer_port, self.on_peer)
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            ToCaller: self.send_to_caller,
            ToPeer: self.send_to_peer,
            ToStore: self.call_store,
        }

    def run(self) -> None:
        """Run until the planned stop is complete."""
        self.log.report(
            1101,
            role=self.role,
            version=__version__,
            incarnation=self.clock.now(),
        )
        report_resources(self.log)
        self.loop.on_signal(signal.SIGTERM, self.on_stop)
        self.loop.on_signal(signal.SIGINT, self.on_stop)
        self.loop.on_signal(signal.SIGHUP, self.on_reload)
        self.listen_for_metrics(self.clock.now())
        self.core.start(self.clock.now())
        self.check_state(self.clock.now())
        self.flush(self.clock.now())
        self.loop.call_later(TRAFFIC_REPORT_MS, self.report_figures)
        self.loop.run()
        self.report_traffic()
        report_resources(self.log)
        self.log.report(1103)
        self.log.drain(FLUSH_MS)

    def await_address(self, open_socket: Callable[[], socket]) -> socket:
        """Open a socket; wait if its address is in use, as by a former process."""
        return try_for(
            ADDRESS_WAIT_MS,
            open_socket,
            lambda error: error.errno == EADDRINUSE,
            lambda error: report_delay(self.log, error),
        )

    def open_udp(
        self, host: str, port: int, on_datagram: Callable[[bytes, str], None]
    ) -> socket:
        """Open a UDP socket."""
        return self.await_address(
            lambda: open_udp_socket(self.loop, host, port, on_datagram)
        )

    def listen(self, port: int, handler: Handler) -> None:
        """Serve HTTP on a port of this VM."""
        self.await_address(
            lambda: listen_http(self.loop, self.settings.bind, port, handler)
        )

    def listen_for_metrics(self, now: int) -> None:
        """Serve metrics; callers are served without them while the port is in use."""
        settings = self.settings
        port = settings.metrics_port
        if not port or port == settings.upstream[1]:
            return  # the upstream needs the port
        try:
            listen_http(self.loop, settings.bind, port, self.on_metrics)
        except OSError as error:
            report_delay(self.log, error)
            self.loop.call_later(METRICS_RETRY_MS, self.listen_for_metrics)

    # Effects

    def run_effects(self) -> None:
        """Execute the effects that the core has queued."""
        while self.core.effects:
            for effect in self.core.take_effects():
                try:
                    self.effect_handlers[type(effect)](effect)
                except Exception as error:
                    self.report_error(type(effect).__name__, error)

    def send(self, udp_socket: Any, data: bytes, host: str, port: int) -> None:
        """Send a datagram; one that can't be sent is counted and dropped.

        Datagrams can be lost on any network, so the core has to cope with it anyway.
        The socket would look up a host that is no address, and block meanwhile.
        """
        if not is_host(host) or not 0 < port <= MAX_PORT:
            self.unsent_datagrams += 1
            return
        try:
            udp_socket.sendto(data, (host, port))
        except OSError:
            self.unsent_datagrams += 1

    def send_to_caller(self, effect: ToCaller) -> None:
        """Send a packet to a caller, on the port on which balancers receive packets."""
        self.traffic.count("Answer", effect.zone, len(effect.data))
        self.send(self.peers, effect.data, effect.host, self.settings.callers[1])

    def send_to_peer(self, effect: ToPeer) -> None:
        """Send a message to another process."""
        data = encode_message(effect.message)
        kind = message_kind(effect.message)
        self.traffic.count(kind, self.core.zone_of(effect.host), len(data))
        self.send(self.peers, data, effect.host, self.settings.peer_port)

    def call_store(self, effect: ToStore) -> None:
        """Make a call to the store; the core gets exactly one result.

        Otherwise it would wait for it, and no longer follow the store.
        """
        kind = f"{effect.request.verb} {effect.request.kind}"
        try:
            method, path, body = self.adapter.store.build_request(effect.request)
        except Exception as error:
            self.report_error(kind, error)
            result = StoreResult("unreachable", detail=f"can't be encoded: {error!r}")
            self.loop.call_later(
                UNSENT_CALL_MS, lambda now: self.pass_result(effect.purpose, result)
            )
            return
        self.traffic.count("store request", "", len(path) + len(body))

        def done(response: HttpResponse) -> None:
            self.traffic.count("store answer", "", len(response.body))
            result = self.read_result(effect.request, response)
            name = f"{kind}: {result.outcome}"
            self.store_call_counts[name] = self.store_call_counts.get(name, 0) + 1
            self.pass_result(effect.purpose, result)

        self.store.call(method, path, body, effect.timeout_ms, done)

    def pass_result(self, purpose: str, result: StoreResult) -> None:
        """Pass a result to the core, as unreachable if the core fails to handle it.

        The core then makes its next call after a pause, as after an outage.
        """
        if self.feed(self.core.on_store, purpose, result):
            return
        for effect in self.core.effects:
            if isinstance(effect, ToStore) and effect.purpose == purpose:
                return  # the core failed after it had made its next call
        failed = StoreResult("unreachable", detail="the result can't be handled")
        self.feed(self.core.on_store, purpose, failed)

    def read_result(self, call: StoreCall, response: HttpResponse) -> StoreResult:
        """Return the result of a call to the store."""
        if not response.status:
            # Lists have pages, which are shorter than the changes since a revision.
            is_lost = response.error == TOO_LONG and call.verb == WATCH
            outcome = "history lost" if is_lost else "unreachable"
            return StoreResult(outcome, detail=response.error)
        try:
            return self.adapter.store.parse_response(
                call, response.status, response.body, response.headers or {}
            )
        except Exception as error:
            self.report_error(f"answer to {call.verb} {call.kind}", error)
            return StoreResult("unreachable", detail=f"can't be decoded: {error!r}")

    # Events

    def feed(self, handle: Callable[..., Any], *values: Any) -> bool:
        """Pass an event to the core; return whether it was handled.

        Errors are logged, and later events are still handled.
        """
        try:
            handle(self.clock.now(), *values)
        except Exception as error:
            self.report_error(handle.__name__, error)
            return False
        return True

    def report_error(self, name: str, error: Exception) -> None:
        """Report that an event failed."""
        self.log.report(
            1302,
            event=name,
            error=repr(error)[:MAX_ERROR_CHARACTERS],
            where=error_location(error),
        )

    def on_peer(self, data: bytes, host: str) -> None:
        """Pass a message of another process to the core."""
        try:
            message = decode_message(data)
        except MalformedEnvelope as error:
            self.log.report(6309, host=host, error=str(error))
            return
        except Exception as error:
            self.report_error("decode_message", error)
            return
        self.feed(self.core.on_message, host, message)

    def on_stop(self) -> None:
        """Begin a planned stop."""
        if self.stop_requested_at:
            return
        self.stop_requested_at = self.clock.now()
        self.log.report(1102)
        self.feed(self.core.stop)
        self.exit_when_done(self.stop_requested_at)

    def may_exit(self, now: int, elapsed_ms: int) -> bool:
        """Return whether the process may exit, `elapsed_ms` after the stop request."""
        raise NotImplementedError

    def exit_when_done(self, now: int) -> None:
        """Exit if nothing is left to do, else check again later."""
        elapsed_ms = now - self.stop_requested_at
        is_over = elapsed_ms >= self.settings.grace_ms - EXIT_MARGIN_MS
        if is_over or self.may_exit(now, elapsed_ms):
            self.loop.stop()
        else:
            self.loop.call_later(EXIT_CHECK_MS, self.exit_when_done)

    def on_reload(self) -> None:
        """Reload the settings on a signal."""
        self.reload("signal")

    def reload(self, cause: str) -> None:
        """Reload the settings; keep the former ones if the new ones are invalid.

        Only the store's address, for which a new client is made, and values that are
        read at each use take effect, such as `grace_ms` and the upstream's address.
        Sockets stay bound to their former addresses, and the core keeps the values that
        it was made with.
        """
        self.settings_fingerprint = self.adapter.settings_fingerprint()
        try:
            settings = self.adapter.read_settings()
        except SettingsError as error:
            self.log.report(6311, cause=cause, error=str(error))
            return
        if settings.store != self.settings.store:
            self.store.close()
            self.store = HttpClient(self.loop, *settings.store)
        changed = sorted(
            name
            for name in vars(settings)
            if getattr(settings, name) != getattr(self.settings, name)
        )
        self.settings = settings
        self.log.report(6310, cause=cause, changed=changed)

    def check_state(self, now: int) -> None:
        """Check for changed settings, readiness, a suspension of the VM, and lag."""
        self.loop.call_later(STATE_CHECK_MS, self.check_state)
        for check in (
            self.check_settings,
            self.check_readiness,
            self.check_suspension,
            self.check_load,
        ):
            self.feed(check)

    def check_settings(self, now: int) -> None:
        """Reload changed settings."""
        if self.adapter.settings_fingerprint() != self.settings_fingerprint:
            self.reload("file changed")

    def check_readiness(self, now: int) -> None:
        """Report changed readiness."""
        reason = self.core.not_ready(now)
        if bool(reason) == self.was_ready:
            self.was_ready = not reason
            if reason:
                self.log.report(1105, reasons=[reason])
            else:
                self.log.report(1104)

    def check_suspension(self, now: int) -> None:
        """Report a suspension of the VM, and tell the core."""
        suspended_ns = self.suspended_ns()
        suspended_ms = (suspended_ns - self.last_suspended_ns) // NS_PER_MS
        self.last_suspended_ns = suspended_ns
        if suspended_ms > MIN_SUSPENSION_MS:
            self.log.report(1107, still_ms=suspended_ms)
            self.core.on_suspended(now)

    def check_load(self, now: int) -> None:
        """End an interval of the load figures; report whether the process was late."""
        figures = self.loop.load.end_interval(now)
        if not figures.is_late or now - self.late_reported_at < LATE_REPORT_MS:
            return
        self.late_reported_at = now
        self.log.report(
            1108,
            lag_ms=figures.lag_ms,
            interval_ms=figures.interval_ms,
            waited_ms=figures.waited_ms,
            processor_ms=figures.processor_ms,
            datagrams=figures.datagrams,
            full_reads=figures.full_reads,
        )

    def suspended_ns(self) -> int:
        """Return the total time that the VM was suspended since boot."""
        boot = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return boot - time.monotonic_ns()

    def flush(self, now: int) -> None:
        """Write buffered log lines periodically."""
        self.loop.call_later(FLUSH_INTERVAL_MS, self.flush)
        self.log.flush()

    def report_figures(self, now: int) -> None:
        """Report bytes sent, memory and descriptors periodically."""
        self.loop.call_later(TRAFFIC_REPORT_MS, self.report_figures)
        self.report_traffic()
        report_resources(self.log)

    def report_traffic(self) -> None:
        """Report the bytes sent since the start."""
        traffic = self.traffic
        self.log.report(
            1109,
            own_zone=kind_texts(traffic.own_zone),
            other_zone=kind_texts(traffic.other_zone),
            unknown_zone=kind_texts(traffic.unknown_zone),
        )

    def on_metrics(self, method: str, path: str, body: bytes) -> Reply:
        """Answer a scrape of the metrics."""
        if path != self.adapter.metrics_path:
            return Reply(404)
        text = render_counts(self.role, self.settings.zone, self.metric_values())
        return Reply(200, text.encode(errors="replace"), "text/plain; version=0.0.4")

    def metric_values(self) -> dict[str, dict[str, float]]:
        """Return the metrics of the process: values by series name, then by label.

        `log_lines_left_out_total` is not a running total: the value of an event falls
        to 0 when a line of this event is logged again. `timer_lag_ms` is the largest
        lag of the last interval of `STATE_CHECK_MS`.
        """
        load = self.loop.load
        figures = read_resources()
        events = {str(number): count for number, count in self.log.tally.items()}
        return {
            "events_total": events,
            "decisions_total": dict(self.core.counts),
            "store_calls_total": dict(self.store_call_counts),
            "unsent_datagrams_total": {"": self.unsent_datagrams},
            **self.traffic.metric_values(),
            "timer_lag_ms": {"": load.figures.lag_ms},
            "waited_ms_total": {"": load.waited_ms},
            "processor_ms_total": {"": load.processor_ms},
            "datagrams_total": {"": load.datagrams},
            "full_reads_total": {"": load.full_reads},
            "memory_kb": {"": figures.memory_kb},
            "peak_memory_kb": {"": figures.peak_memory_kb},
            "open_descriptors": {"": figures.descriptors},
            "descriptor_limit": {"": figures.descriptor_limit},
            "log_lines_left_out_total": {
                str(number): count for number, count in self.log.left_out.items()
            },
            **self.core.metric_values(self.clock.now()),
        }
