"""Stand-in of the platform's object API: versions, conditional writes, watches."""

import json
from dataclasses import dataclass, field
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

__all__ = ["Faults", "Store", "make_site", "main"]

MAX_VALUE_BYTES = 1_000_000


@dataclass
class Faults:
    """Faults to inject.

    The integers other than `delay_ms` and `oldest` count the calls that the fault
    still applies to.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    """Writes that are stored, but whose connection is aborted before the answer."""
    oldest: int = 0
    """Watches that start at an earlier revision than this are answered with 410."""
    break_watches: int = 0
    """Watches whose connection is aborted instead of an answer."""
    repeat_watches: int = 0
    """Watches that return all objects instead of the changed ones."""
    skip_watches: int = 0
    """Watches that return the newest revision without the changed objects."""
    odd_texts: dict[str, str] = field(default_factory=dict)
    """JSON texts that replace strings in answers, such as ones too deep to write."""

    def consume(self, name: str) -> bool:
        """Return whether a counted fault applies to this call; decrement its count."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


@dataclass
class Store:
    """Objects by key, each with its version, the store revision that wrote it."""

    revision: int = 0
    objects: dict[str, tuple[int, Any]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    waiting: list[Any] = field(default_factory=list)

    def count(self, kind: str) -> None:
        """Count a call."""
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def put(self, key: str, value: Any) -> int:
        """Write an object, wake the waiting watches, and return the new revision."""
        self.revision += 1
        self.objects[key] = (self.revision, value)
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()
        return self.revision

    def changed_since(self, revision: int) -> list[dict[str, Any]]:
        """Return the objects written after a revision."""
        return [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self.objects.items())
            if version > revision
        ]


class ObjectApi(Resource):
    """The HTTP resources `/objects`, `/objects/KEY`, `/counts` and `/faults`."""

    isLeaf = True

    def __init__(self, store: Store, faults: Faults, clock: Any) -> None:
        super().__init__()
        self.store = store
        self.faults = faults
        self.clock = clock

    def render(self, request: Any) -> Any:
        """Answer a call after the injected delay; abort it during an outage."""
        path = request.path.decode().strip("/")
        if path == "faults":
            return self.set_faults(request)
        if path == "counts":
            return json.dumps(self.store.counts).encode()
        if self.faults.outage:
            request.transport.abortConnection()
            return NOT_DONE_YET
        if self.faults.delay_ms:
            self.clock.callLater(self.faults.delay_ms / 1000, self.serve, request, path)
        else:
            self.serve(request, path)
        return NOT_DONE_YET

    def set_faults(self, request: Any) -> bytes:
        """Set the faults that the JSON body names."""
        for name, value in json.loads(request.content.read()).items():
            setattr(self.faults, name, value)
        return b"{}"

    def serve(self, request: Any, path: str) -> None:
        """Dispatch a call on objects."""
        if path == "objects":
            self.watch(request)
        elif request.method == b"PUT":
            self.write(request, path.removeprefix("objects/"))
        else:
            self.read(request, path.removeprefix("objects/"))

    def respond(self, request: Any, status: int, body: bytes, version: int = 0) -> None:
        """Send a response unless the client has disconnected."""
        if request._disconnected:
            return
        for name, text in self.faults.odd_texts.items():
            body = body.replace(
                b'"%s"' % name.encode(), text.encode(errors="surrogateescape")
            )
        request.setResponseCode(status)
        request.setHeader("ETag", f'"{version}"')
        request.setHeader("Content-Type", "application/json")
        request.write(body)
        request.finish()

    def read(self, request: Any, key: str) -> None:
        """Answer with an object and its version, or with 404."""
        self.store.count("read")
        version, value = self.store.objects.get(key, (0, None))
        if not version:
            self.respond(request, 404, b"{}")
            return
        self.respond(request, 200, json.dumps(value).encode(), version)

    def write(self, request: Any, key: str) -> None:
        """Write an object if `If-Match` is its current version, 0 for a new one.

        Otherwise answer 412, or 409 if the object doesn't exist.
        """
        self.store.count("write")
        version, _ = self.store.objects.get(key, (0, None))
        expected = (request.getHeader("If-Match") or '"0"').strip('"')
        data = request.content.read()
        if len(data) > MAX_VALUE_BYTES:
            self.respond(request, 413, b"{}")
        elif str(version) != expected:
            body = json.dumps({"version": version}).encode()
            self.respond(request, 412 if version else 409, body, version)
        else:
            self.replace(request, key, data)

    def replace(self, request: Any, key: str, data: bytes) -> None:
        """Write an object whose condition was checked."""
        try:
            value = json.loads(data)
        except ValueError:
            self.respond(request, 400, b"{}")
            return
        written = self.store.put(key, value)
        if self.faults.consume("lose_answers"):
            request.transport.abortConnection()
            return
        self.respond(request, 200, b"{}", written)

    def watch(self, request: Any) -> None:
        """Answer with the changes since a revision, waiting for one until a timeout."""
        self.store.count("watch")
        since = int(request.args.get(b"since", [b"0"])[0])
        wait = float(request.args.get(b"wait", [b"0"])[0])
        if since > self.store.revision or 0 < since < self.faults.oldest:
            self.respond(request, 410, b"{}")
            return
        if self.store.changed_since(since) or not wait:
            self.answer_watch(request, since)
            return
        timer = self.clock.callLater(wait, lambda: self.answer_watch(request, since))

        def wake() -> None:
            if timer.active():
                timer.cancel()
                self.answer_watch(request, since)

        self.store.waiting.append(wake)

    def answer_watch(self, request: Any, since: int) -> None:
        """Send the objects written after a revision, altered by the counted faults."""
        if self.faults.outage or self.faults.consume("break_watches"):
            request.transport.abortConnection()
            return
        start = 0 if self.faults.consume("repeat_watches") else since
        objects = (
            []
            if self.faults.consume("skip_watches")
            else self.store.changed_since(start)
        )
        body = {"revision": self.store.revision, "objects": objects}
        self.respond(request, 200, json.dumps(body).encode())


def make_site(clock: Any, faults: Faults | None = None) -> Site:
    """Return the object API as a web site with an empty store."""
    return Site(ObjectApi(Store(), faults or Faults(), clock))


def serve(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the object API stand-in.

    Parameters
    ----------
    host : str
        Address.
    port : int
        Port; 0 picks a free one.
    """
    bound = reactor.listenTCP(port, make_site(reactor), interface=host)
    print(f"ready {bound.getHost().port}", flush=True)
    reactor.run()


def main() -> None:
    """Run the command line."""
    defopt.run(serve)


if __name__ == "__main__":
    main()
