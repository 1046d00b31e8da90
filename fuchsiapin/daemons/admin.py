"""HTTP admin endpoints of a process for operators, scrapers and the platform."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site

from fuchsiapin.messages import KnownProcess, ProcessStatus

__all__ = ["AdminResource", "listen_admin"]

JSON = b"application/json"
TEXT = b"text/plain; version=0.0.4; charset=utf-8"
OK, NOT_FOUND, NOT_ALLOWED, UNAVAILABLE = 200, 404, 405, 503

PageResponse = tuple[int, bytes, bytes]
"""Status code, content type and body."""


class AdminResource(Resource):
    """`/live`, `/ready`, `/status`, `/peers` and `/metrics`.

    Parameters
    ----------
    status : callable
        Returns the status of the process.
    known : callable
        Returns the other processes that this process knows of.
    metrics : callable
        Returns the metrics in the Prometheus text format.
    """

    isLeaf = True

    def __init__(
        self,
        status: Callable[[], ProcessStatus],
        known: Callable[[], list[KnownProcess]],
        metrics: Callable[[], bytes],
    ) -> None:
        super().__init__()
        self.status = status
        self.known = known
        self.metrics = metrics
        self.pages: dict[bytes, Callable[[], PageResponse]] = {
            b"/live": self.live_page,
            b"/ready": self.ready_page,
            b"/status": self.status_page,
            b"/peers": self.peers_page,
            b"/metrics": self.metrics_page,
        }

    def render(self, request: Any) -> bytes:
        """Answer a GET or HEAD of one of the pages."""
        page = self.pages.get(request.path)
        if request.method not in (b"GET", b"HEAD"):
            code, content_type, body = NOT_ALLOWED, JSON, b'{"error": "only GET"}\n'
            request.setHeader(b"Allow", b"GET, HEAD")
        elif page is None:
            code, content_type, body = (
                NOT_FOUND,
                JSON,
                encode_json_line({"pages": self.page_names()}),
            )
        else:
            code, content_type, body = page()
        request.setResponseCode(code)
        request.setHeader(b"Content-Type", content_type)
        request.setHeader(b"Content-Length", str(len(body)).encode())
        return b"" if request.method == b"HEAD" else body

    def page_names(self) -> list[str]:
        """Return the names of the pages."""
        return [name.decode() for name in self.pages]

    def live_page(self) -> PageResponse:
        """Return 200, which shows that the event loop runs."""
        return OK, JSON, encode_json_line({"live": True})

    def ready_page(self) -> PageResponse:
        """Return 200 if the process is ready, else 503 with the reasons."""
        reasons = self.status().not_ready
        code = UNAVAILABLE if reasons else OK
        return code, JSON, encode_json_line({"ready": not reasons, "reasons": reasons})

    def status_page(self) -> PageResponse:
        """Return the full status, as `fuchsiapin-ctl` reads it."""
        return OK, JSON, encode_json_line(dataclasses.asdict(self.status()))

    def peers_page(self) -> PageResponse:
        """Return the known processes; used while the object API is unreachable."""
        return (
            OK,
            JSON,
            encode_json_line([dataclasses.asdict(item) for item in self.known()]),
        )

    def metrics_page(self) -> PageResponse:
        """Return all metrics."""
        return OK, TEXT, self.metrics()


def encode_json_line(values: Any) -> bytes:
    """Return values as one line of JSON."""
    return json.dumps(values).encode() + b"\n"


def listen_admin(reactor: Any, host: str, port: int, resource: AdminResource) -> int:
    """Listen on the admin address only; return the bound port."""
    bound = reactor.listenTCP(port, Site(resource), interface=host)
    return bound.getHost().port
