"""HTTP interface of the upstream stand-in: execution log, health, load, behaviour."""

import json
from typing import Any

import defopt
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from fuchsiapin.tests.standins.upstream import Upstream, UpstreamOptions

__all__ = ["Admin", "main", "serve"]


class Admin(Resource):
    """Lists and reports by GET; PUT changes the options.

    GET knows `/executions`, `/reads` and `/load`, and answers any other path with the
    health. PUT accepts any path, by convention `/behaviour`.
    """

    isLeaf = True

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self.upstream = upstream

    def render_GET(self, request: Any) -> bytes:
        """Answer with one of the lists or reports."""
        values = {
            b"/executions": lambda: self.upstream.executions,
            b"/reads": lambda: list(self.upstream.reads),
            b"/load": self.load,
        }.get(request.path, self.health)()
        return json.dumps(values).encode()

    def load(self) -> dict[str, int]:
        """Return the reported load, which may be outdated or false on purpose."""
        busy, waiting = self.upstream.load()
        return {"busy": busy, "waiting": waiting}

    def health(self) -> dict[str, Any]:
        """Return the reported health, with counts that tests check."""
        state = "draining" if self.upstream.options.is_draining else "ok"
        return {
            "state": self.upstream.options.told_health or state,
            "observers": len(self.upstream.observers),
            "cancelled": self.upstream.cancelled,
            "shed": self.upstream.shed,
        }

    def render_PUT(self, request: Any) -> bytes:
        """Set the fields of the options that the JSON body names."""
        for name, value in json.loads(request.content.read()).items():
            setattr(self.upstream.options, name, value)
        return b"{}"


def serve(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    admin_port: int = 0,
    name: str = "upstream",
    service: str = "",
    slots: int = 2,
    service_ms: float = 100.0,
    seed: int = 1,
) -> None:
    """Serve the upstream stand-in.

    Parameters
    ----------
    host : str
        Address.
    port : int
        CoAP port; 0 picks a free one.
    admin_port : int
        HTTP port of this interface; 0 picks a free one.
    name : str
        Name of the upstream.
    service : str
        Service that it belongs to.
    slots : int
        Requests served at the same time.
    service_ms : float
        Mean service time.
    seed : int
        Seed of the service times.
    """
    options = UpstreamOptions(name, service, slots, service_ms, seed=seed)
    upstream = Upstream(options, reactor)
    bound = reactor.listenUDP(port, upstream, host, 65536)
    admin = reactor.listenTCP(admin_port, Site(Admin(upstream)), interface=host)
    print(f"ready {bound.getHost().port} {admin.getHost().port}", flush=True)
    reactor.run()


def main() -> None:
    """Run the command line."""
    defopt.run(serve)


if __name__ == "__main__":
    main()
