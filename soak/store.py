"""Stand-in for the platform's metadata store, with injectable faults."""

import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = ["RawJson", "StoreStandIn", "render_json"]

PREFIX = "/fuchsiapin/objects/"
OPERATOR_KINDS = ("config", "evacuations")
"""Kinds of the objects that operators write."""
SLOW_S = 0.3
"""Delay of each call in mode `slow`."""
COPIES_S = 15.0
"""Age of the oldest copy of the contents that is kept."""
SILENT_S = 30.0
"""Time for which a connection stays open without an answer in mode `silent`."""


@dataclass(frozen=True)
class RawJson:
    """Text that stands for a JSON value; surrogates stand for the bytes they escape."""

    text: str


def render_json(value: Any) -> bytes:
    """Return a value as JSON, with the texts of `RawJson` in it as they are.

    Examples
    --------
    >>> render_json({"epoch": RawJson("1e999")})
    b'{"epoch": 1e999}'
    """
    raw: list[str] = []

    def mark(found: RawJson) -> str:
        raw.append(found.text)
        return f"\0raw {len(raw) - 1}"

    text = json.dumps(value, default=mark)
    for number, part in enumerate(raw):
        text = text.replace(json.dumps(f"\0raw {number}"), part)
    return text.encode("utf-8", "surrogateescape")


@dataclass
class FaultMode:
    """Fault mode of the store.

    `up` is no fault; `busy` answers with status 503; `silent` does not answer; `slow`
    answers late; `lossy` executes writes, but does not answer one if the number of the
    call is a multiple of three.
    """

    mode: str = "up"


class StoreStandIn:
    """Serves objects by kind and name, with revisions, over HTTP in threads."""

    def __init__(self, host: str, port: int) -> None:
        self.fault = FaultMode()
        self.changed = threading.Condition()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.oldest_revision = 0
        self.calls = 0
        self.page_items = 500
        self.era = 1
        self.copies: list[tuple[float, int, dict[tuple[str, str], dict]]] = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args: Any) -> None:
                """Log nothing; only the logs of the daemons are kept."""

            def handle_any(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                era = store.era
                status, answer = store.answer(self.command, self.path, body)
                if status == 0:
                    self.close_connection = True
                    return
                data = render_json(answer)
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(era))
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any  # noqa: N815

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *args: Any) -> None:
                """Ignore errors of clients that closed their connection."""

        self.server = Server((host, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, method: str, url: str, body: bytes) -> tuple[int, Any]:
        """Return status and body of a response, or status 0 to send none."""
        self.calls += 1
        mode = self.fault.mode
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            time.sleep(SILENT_S)
            return 0, None
        if mode == "slow":
            time.sleep(SLOW_S)
        response = self.execute(method, url, body)
        if mode == "lossy" and method != "GET" and self.calls % 3 == 0:
            return 0, None
        return response

    def execute(self, method: str, url: str, body: bytes) -> tuple[int, Any]:
        """Execute a call."""
        parts = urlsplit(url)
        kind, _, name = parts.path[len(PREFIX) :].partition("/")
        name = unquote(name, errors="surrogatepass")
        values_by_key = parse_qs(parts.query, errors="surrogatepass")
        query = {key: values[0] for key, values in values_by_key.items()}
        if method == "GET" and "Watch" in query:
            return self.watch(kind, int(query["Watch"]), int(query["WaitMs"]))
        with self.changed:
            if method == "GET":
                after = query.get("after", "")
                names = sorted(n for k, n in self.objects if k == kind and n > after)
                return 200, {
                    "items": [self.objects[kind, n] for n in names[: self.page_items]],
                    "HasMore": len(names) > self.page_items,
                    "CurrentRev": self.revision,
                }
            request = json.loads(body) if body else {}
            name = name or request["meta"]["Name"]
            exists = (kind, name) in self.objects
            if method == "POST" and exists:
                return 409, self.objects[kind, name]
            if method != "POST" and not exists:
                return 404, {}
            if method == "DELETE":
                self.remove(kind, name)
                return 200, {}
            return 200, self.write(kind, name, request.get("spec"))

    def watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        """Return the events of a kind after a revision, waiting for one if needed."""
        end = time.monotonic() + wait_ms / 1000
        era = self.era
        with self.changed:
            while True:
                if era != self.era:
                    return 0, None
                if not self.oldest_revision <= since <= self.revision:
                    return 410, {}
                events = [
                    {"Deleted": is_deleted, "Object": stored}
                    for revision, event_kind, stored, is_deleted in self.events
                    if event_kind == kind and revision > since
                ]
                remaining_s = end - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "CurrentRev": self.revision}
                self.changed.wait(remaining_s)

    def write(self, kind: str, name: str, spec: Any) -> dict:
        """Write an object; the caller must hold the lock."""
        existing = self.objects.get((kind, name))
        if existing is not None and existing["spec"] == spec:
            return existing
        self.revision += 1
        written = {"meta": {"Name": name, "Rev": self.revision}, "spec": spec}
        self.objects[kind, name] = written
        self.publish(kind, written, False)
        return written

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; the caller must hold the lock."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self.publish(kind, stored, True)

    def publish(self, kind: str, stored: dict, is_deleted: bool) -> None:
        """Append an event and wake the watches."""
        self.events.append((self.revision, kind, stored, is_deleted))
        self.changed.notify_all()

    # Called by the soak test directly, not over HTTP

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object."""
        with self.changed:
            self.write(kind, name, spec)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object if it is there."""
        with self.changed:
            if (kind, name) in self.objects:
                self.remove(kind, name)

    def drop_history(self) -> None:
        """Drop the event history; watches from older revisions get status 410."""
        with self.changed:
            self.events.clear()
            self.oldest_revision = self.revision
            self.changed.notify_all()

    def keep_copy(self) -> None:
        """Keep a copy of the contents, and those of the last `COPIES_S` seconds."""
        now = time.monotonic()
        with self.changed:
            recent = [copy for copy in self.copies if now - copy[0] < COPIES_S]
            self.copies = [*recent, (now, self.revision, dict(self.objects))]

    def restore(self, age_s: float) -> None:
        """Return to a copy of at least this age, in a new era; watches break."""
        limit = time.monotonic() - age_s
        with self.changed:
            old = [copy for copy in self.copies if copy[0] <= limit] or self.copies[:1]
            at, self.revision, objects = old[-1]
            self.objects = dict(objects)
            self.events = [event for event in self.events if event[0] <= self.revision]
            self.oldest_revision = min(self.oldest_revision, self.revision)
            self.copies = [copy for copy in self.copies if copy[0] <= at]
            self.era += 1
            self.changed.notify_all()

    def remove_system_objects(self) -> int:
        """Remove all objects except those of operators; return how many."""
        with self.changed:
            names = [key for key in self.objects if key[0] not in OPERATOR_KINDS]
            for kind, name in names:
                self.remove(kind, name)
            return len(names)

    def close(self) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()
