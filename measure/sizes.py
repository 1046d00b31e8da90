"""Sizes of the services that are measured."""

from dataclasses import dataclass

__all__ = ["SIZES", "ServiceSize"]

SLOTS = 2
BALANCERS = 3
MEAN_SERVICE_MS = 100.0
SAME_ZONE_MS = 0.3
"""One-way delay inside an availability zone."""


@dataclass(frozen=True)
class ServiceSize:
    """One service and its links, whose delays are one-way."""

    service: str
    deployment: str
    zones: tuple[str, ...]
    upstreams: int
    zone_ms: float
    caller_ms: float
    slots: int = SLOTS
    balancers: int = BALANCERS
    service_ms: float = MEAN_SERVICE_MS

    @property
    def capacity(self) -> float:
        """Requests per second that all slots together can serve."""
        return self.upstreams * self.slots * 1000 / self.service_ms

    def zone_of(self, index: int) -> str:
        """Return the availability zone of an upstream by its index."""
        return self.zones[index % len(self.zones)]


ADDIS = ("bole", "arada", "kirkos")
BUCHAREST = ("buc-a", "buc-b", "buc-c")

SIZES = {
    size.service: size
    for size in (
        ServiceSize("swapdesk", "little-threads", ADDIS, 7, 4.0, 3.0),
        ServiceSize("intake", "little-threads", ADDIS, 3, 4.0, 3.0),
        ServiceSize("ledger", "casa-popescu", BUCHAREST, 7, 3.0, 1.0),
        ServiceSize("scan-intake", "casa-popescu", BUCHAREST, 3, 3.0, 1.0),
    )
}
