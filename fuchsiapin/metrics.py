"""Metrics of one process, in the text exposition format of Prometheus."""

import dataclasses
from math import inf

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from fuchsiapin.events import CATALOGUE, reason_of
from fuchsiapin.messages import ProcessStatus

__all__ = ["DATA_MESSAGES", "Metrics"]

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, inf)

REQUEST_ENDED = 3107
REQUEST_REFUSED = 3101
REQUEST_MOVED = 3103
ENVELOPE_DROPPED = 1301

DATA_MESSAGES = frozenset({"Forward", "Reply", "Handoff", "HandoffResult"})
"""Messages that carry callers' data; all others are control traffic."""

STATUS_GAUGES = ("config", "in_flight", "waiting", "observations", "records")
"""Fields of the process status that are exported as gauges of the same name."""


class Metrics:
    """Counters, gauges and histograms of one process.

    Parameters
    ----------
    name, role, zone, service : str
        Labels of every series; the service of a balancer is empty.

    Examples
    --------
    >>> metrics = Metrics("ledger-1", "side", "buc-a", "ledger")
    >>> metrics.record(3101, {"host": "10.0.0.1", "port": 1, "reason": "busy"})
    >>> 'reason="busy"' in metrics.render().decode()
    True
    """

    def __init__(self, name: str, role: str, zone: str, service: str) -> None:
        self.service = service
        self.registry = Registry()
        self.sent_messages: dict[str, int] = {}
        self.sent_control_bytes = 0
        self.labels = {"process": name, "role": role, "zone": zone}
        self.events = self.counter("events", "Numbered events.")
        self.requests = self.counter("requests", "Requests that ended, by outcome.")
        self.refusals = self.counter("refusals", "Refused requests, by reason.")
        self.moves = self.counter("moves", "Requests given to another upstream.")
        self.retries = self.counter("retries", "Requests sent to the upstream again.")
        self.claims = self.counter("claims", "Claims sent for flows.")
        self.dropped = self.counter("dropped_envelopes", "Refused peer messages.")
        self.sent = self.counter("peer_messages", "Messages sent, by type.")
        self.control = self.counter("control_bytes", "Bytes of control sent.")
        self.latency = self.histogram("latency_ms", "Request to final answer, ms.")
        self.waiting = self.histogram("waiting_ms", "Request to its start, ms.")
        self.ready = self.gauge("ready", "1 when the process is ready.")
        self.api = self.gauge("object_api_reachable", "1 while the object API answers.")
        self.view = self.gauge("view", "Newest view known.")
        self.active = self.gauge("active_view", "View that the process is active in.")
        self.members = self.gauge("members", "Members of the newest view.")
        self.load = {
            field: self.gauge(field, f"Status: {field}.") for field in STATUS_GAUGES
        }

    def counter(self, name: str, text: str) -> Counter:
        """Return a new counter."""
        return Counter(f"fuchsiapin_{name}_total", text, self.labels, self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Return a new gauge."""
        return Gauge(f"fuchsiapin_{name}", text, self.labels, self.registry)

    def histogram(self, name: str, text: str) -> Histogram:
        """Return a new histogram of milliseconds."""
        return Histogram(
            f"fuchsiapin_{name}", text, self.labels, self.registry, BUCKETS_MS
        )

    def record(self, number: int, fields: dict) -> None:
        """Count a numbered event."""
        service = str(fields.get("service", self.service))
        event = CATALOGUE.get(number)
        self.events.inc(
            {"number": str(number), "event": event.name if event else "unknown"}
        )
        if number == REQUEST_ENDED:
            self.observe_request_end(service, fields)
        elif number == REQUEST_REFUSED:
            self.refusals.inc({"service": service, "reason": reason_of(fields)})
        elif number == REQUEST_MOVED:
            self.moves.inc({"service": service})
        elif number == ENVELOPE_DROPPED:
            self.dropped.inc({})

    def observe_request_end(self, service: str, fields: dict) -> None:
        """Record the outcome and latency of a finished request."""
        labels = {"service": service, "tenant": fields["tenant"]}
        self.requests.inc(labels | {"outcome": fields["outcome"]})
        self.latency.observe(labels, fields["latency_ms"])
        self.waiting.observe(labels, fields["wait_ms"])

    def count_sent(self, kind: str, size: int) -> None:
        """Count a message to another process.

        It runs for every message of the data path, so it only updates plain
        integers; `update_sent` copies them to the counters.
        """
        self.sent_messages[kind] = self.sent_messages.get(kind, 0) + 1
        if kind not in DATA_MESSAGES:
            self.sent_control_bytes += size

    def update_sent(self) -> None:
        """Copy the counts of sent messages to the counters."""
        for kind, count in self.sent_messages.items():
            self.sent.set({"type": kind}, count)
        self.control.set({}, self.sent_control_bytes)
        claims = self.sent_messages.get("Claim", 0)
        self.claims.set({"service": self.service}, claims)

    def update_status(self, status: ProcessStatus) -> None:
        """Update gauges and the retry counter from the status, before rendering."""
        self.retries.set({"service": self.service}, status.retries)
        self.ready.set({}, int(not status.not_ready))
        self.api.set({}, int(status.object_api == "reachable"))
        values = dataclasses.asdict(status)
        for field, gauge in self.load.items():
            gauge.set({}, values[field])
        for view in status.views:
            labels = {"service": view.service}
            self.view.set(labels, view.number)
            self.active.set(labels, view.active)
            self.members.set(labels, len(view.members))

    def render(self) -> bytes:
        """Return all series in the exposition format."""
        self.update_sent()
        content, _ = render(self.registry, ["text/plain"])
        return content
