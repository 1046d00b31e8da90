"""Stand-in for the platform's metadata store."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/fuchsiapin/objects/"
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_S = 0.004
"""Time that an answer takes, as in the site files."""


class Store:
    """Objects by kind and name with one revision counter, over HTTP in threads."""

    def __init__(self, host: str, port: int) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: Any) -> None:
                """Log nothing."""

            def handle_any(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                time.sleep(ANSWER_S)
                status, answer = store.execute(self.command, self.path, body)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", "1")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *args: Any) -> None:
                """Ignore errors of clients that closed their connection."""

        self.server = Server((host, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def execute(self, method: str, url: str, body: bytes) -> tuple[int, Any]:
        """Execute a call; return its status and answer."""
        parts = urlsplit(url)
        kind, _, name = unquote(parts.path[len(PREFIX) :]).partition("/")
        name = name.removesuffix("/status")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and "Watch" in query:
            return self.watch(kind, int(query["Watch"]), int(query["WaitMs"]))
        with self.changed:
            if method == "GET" and not name:
                return 200, self.page(kind, query.get("after", ""))
            request = json.loads(body) if body else {}
            name = name or request["meta"]["Name"]
            stored = self.objects.get((kind, name))
            if method == "GET":
                return (200, stored) if stored else (404, {})
            if method == "POST" and stored:
                return 409, stored
            if method != "POST" and not stored:
                return 404, {}
            if method == "DELETE":
                self.remove(kind, name)
                return 200, {}
            return 200, self.write(kind, name, request.get("spec"))

    def page(self, kind: str, after: str) -> dict:
        """Return a page of a list."""
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items, size = [], 0
        for name in names[:PAGE_ITEMS]:
            found = self.objects[kind, name]
            size += len(json.dumps(found))
            if items and size > PAGE_BYTES:
                break
            items.append(found)
        has_more = len(items) < len(names)
        return {"items": items, "HasMore": has_more, "CurrentRev": self.revision}

    def watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        """Return the events of a kind after a revision, waiting for one if needed."""
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                if since > self.revision:
                    return 410, {}
                events = [
                    {"Object": stored, "Deleted": is_deleted}
                    for revision, event_kind, stored, is_deleted in self.events
                    if event_kind == kind and revision > since
                ]
                remaining_s = end - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "CurrentRev": self.revision}
                self.changed.wait(remaining_s)

    def write(self, kind: str, name: str, spec: Any) -> dict:
        """Write an object; the caller holds the lock."""
        existing = self.objects.get((kind, name))
        if existing is not None and existing["spec"] == spec:
            return existing
        self.revision += 1
        meta = {"Name": name, "Rev": self.revision, "Created": self.revision}
        meta |= {"Finalizers": [], "DeletePending": False}
        written = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = written
        self.events.append((self.revision, kind, written, False))
        self.changed.notify_all()
        return written

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; the caller holds the lock."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self.events.append((self.revision, kind, stored, True))
        self.changed.notify_all()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or another writer; return its size."""
        with self.changed:
            return len(json.dumps(self.write(kind, name, spec)))

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        with self.changed:
            return sorted(name for k, name in self.objects if k == kind)
