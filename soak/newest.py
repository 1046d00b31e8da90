"""Check that the newest configuration and members are in force at all balancers."""

import signal
from typing import Any

from fuchsiapin.daemons.httpcalls import HttpClient
from soak.processes import METRICS_PORT

__all__ = ["CONFIGURED_MS", "Newest", "missing_in"]

CHANGE_MS = 4_500
"""Time after the last fault at which configuration and members change; a balancer that
was restarted at the last fault is back by then."""
CONFIGURED_MS = 3_000
"""Time within which changes must be in force at each balancer."""
SCRAPE_MS = 250


def missing_in(metrics: str, version: int, members: list[str]) -> list[str]:
    """Return what a balancer's metrics lack: the configuration, members' ids."""
    lines = metrics.splitlines()
    versions = [n for n in lines if n.startswith("fuchsiapin_configuration_version{")]
    listed = [n for n in lines if n.startswith("fuchsiapin_member_silence_ms{")]
    missing = [id for id in members if not any(f'="{id}"' in n for n in listed)]
    is_configured = any(n.endswith(f" {version}") for n in versions)
    return missing if is_configured else [f"configuration {version}", *missing]


class Newest:
    """Changes configuration and members after all faults, and asks the balancers."""

    def __init__(self, soak: Any) -> None:
        self.soak = soak
        self.missing: dict[str, list[str]] = {}

    def schedule(self, end_ms: int) -> None:
        """Schedule the changes after the end of the faults, and the check."""
        call_later = self.soak.loop.call_later
        call_later(end_ms, lambda now: self.prepare())
        call_later(end_ms + CHANGE_MS, lambda now: self.change())
        call_later(end_ms + CHANGE_MS + CONFIGURED_MS, lambda now: self.check())

    def prepare(self) -> None:
        """Restart a balancer and begin to replace an upstream, as planned."""
        self.soak.processes[0].signal(signal.SIGTERM)
        if not self.soak.upstreams[0].is_draining:
            self.soak.upstreams[0].drain()

    def change(self) -> None:
        """Write another configuration, and start the new upstream."""
        self.soak.change_configuration()
        if self.soak.upstreams[0].is_draining:
            self.soak.upstreams[0].replace()
        for process in self.soak.processes:
            if process.vm.role == "balancer":
                client = HttpClient(self.soak.loop, process.bind, METRICS_PORT)
                self.scrape(process.vm.name, client)

    def scrape(self, name: str, client: HttpClient) -> None:
        """Ask a balancer for its metrics until they lack nothing."""
        self.missing.setdefault(name, ["metrics"])

        def done(answer: Any) -> None:
            if answer.status == 200:
                members = [upstream.id for upstream in self.soak.upstreams]
                text = answer.body.decode()
                self.missing[name] = missing_in(text, self.soak.version, members)
            if self.missing[name]:
                self.soak.loop.call_later(
                    SCRAPE_MS, lambda now: self.scrape(name, client)
                )

        client.call("GET", "/metrics", b"", 2 * SCRAPE_MS, done)

    def check(self) -> None:
        """Report the balancers at which something isn't in force."""
        for name, missing in self.missing.items():
            if missing:
                text = f"{', '.join(missing)} at {name}"
                self.soak.add_violation("not in force", text)
