"""Stand-in of the platform's object API: versions, conditions, list watches."""

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
    """What a test makes go wrong."""

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    oldest: int = 0
    """Watches from an earlier revision than this one are gone."""
    break_watches: int = 0
    """Watches whose answer is lost."""
    repeat_watches: int = 0
    """Watches that tell all objects again, also known ones."""
    skip_watches: int = 0
    """Watches that tell the newest revision, but not what changed."""

    def take(self, name: str) -> bool:
        """Return whether a fault that is counted strikes now."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


@dataclass
class Store:
    """Objects by key, each with the revision that wrote it."""

    revision: int = 0
    objects: dict[str, tuple[int, Any]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    waiting: list[Any] = field(default_factory=list)

    def count(self, kind: str) -> None:
        """Count a call."""
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def put(self, key: str, value: Any) -> int:
        """Write an object and wake the watches."""
        self.revision += 1
        self.objects[key] = (self.revision, value)
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()
        return self.revision

    def since(self, revision: int) -> list[dict[str, Any]]:
        """Return the objects written after a revision."""
        return [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self.objects.items())
            if version > revision
        ]


class ObjectApi(Resource):
    """All calls: `/objects`, `/objects/KEY`, `/counts`, `/faults`."""

    isLeaf = True

    def __init__(self, store: Store, faults: Faults, clock: Any) -> None:
        super().__init__()
        self.store = store
        self.faults = faults
        self.clock = clock

    def render(self, request: Any) -> Any:
        """Answer a call, later or never where a fault says so."""
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
        """Take the faults from the body."""
        for name, value in json.loads(request.content.read()).items():
            setattr(self.faults, name, value)
        return b"{}"

    def serve(self, request: Any, path: str) -> None:
        """Carry out one call."""
        if path == "objects":
            self.watch(request)
        elif request.method == b"PUT":
            self.write(request, path.removeprefix("objects/"))
        else:
            self.read(request, path.removeprefix("objects/"))

    def finish(self, request: Any, status: int, body: bytes, version: int = 0) -> None:
        """Send an answer, unless the caller has gone."""
        if request._disconnected:
            return
        request.setResponseCode(status)
        request.setHeader("ETag", f'"{version}"')
        request.setHeader("Content-Type", "application/json")
        request.write(body)
        request.finish()

    def read(self, request: Any, key: str) -> None:
        """Answer with an object."""
        self.store.count("read")
        version, value = self.store.objects.get(key, (0, None))
        if not version:
            self.finish(request, 404, b"{}")
            return
        self.finish(request, 200, json.dumps(value).encode(), version)

    def write(self, request: Any, key: str) -> None:
        """Replace an object if the condition holds."""
        self.store.count("write")
        version, _ = self.store.objects.get(key, (0, None))
        wanted = (request.getHeader("If-Match") or '"0"').strip('"')
        data = request.content.read()
        if len(data) > MAX_VALUE_BYTES:
            self.finish(request, 413, b"{}")
        elif str(version) != wanted:
            body = json.dumps({"version": version}).encode()
            self.finish(request, 412 if version else 409, body, version)
        else:
            self.replace(request, key, data)

    def replace(self, request: Any, key: str, data: bytes) -> None:
        """Write an object whose condition holds."""
        try:
            value = json.loads(data)
        except ValueError:
            self.finish(request, 400, b"{}")
            return
        written = self.store.put(key, value)
        if self.faults.take("lose_answers"):
            request.transport.abortConnection()
            return
        self.finish(request, 200, b"{}", written)

    def watch(self, request: Any) -> None:
        """Answer with what changed, once something did or the time is over."""
        self.store.count("watch")
        since = int(request.args.get(b"since", [b"0"])[0])
        wait = float(request.args.get(b"wait", [b"0"])[0])
        if since > self.store.revision or 0 < since < self.faults.oldest:
            self.finish(request, 410, b"{}")
            return
        if self.store.since(since) or not wait:
            self.answer_watch(request, since)
            return
        timer = self.clock.callLater(wait, lambda: self.answer_watch(request, since))

        def wake() -> None:
            if timer.active():
                timer.cancel()
                self.answer_watch(request, since)

        self.store.waiting.append(wake)

    def answer_watch(self, request: Any, since: int) -> None:
        """Send the changes since a revision."""
        if self.faults.outage or self.faults.take("break_watches"):
            request.transport.abortConnection()
            return
        known = 0 if self.faults.take("repeat_watches") else since
        found = [] if self.faults.take("skip_watches") else self.store.since(known)
        body = {"revision": self.store.revision, "objects": found}
        self.finish(request, 200, json.dumps(body).encode())


def make_site(clock: Any, faults: Faults | None = None) -> Site:
    """Return the object API as a site."""
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
    """Enter from the command line."""
    defopt.run(serve)


if __name__ == "__main__":
    main()
