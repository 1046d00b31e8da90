"""Routes of flows: which services a new flow may go to."""

from typing import Any

import msgpack
from xxhash import xxh3_64_intdigest

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import MAX_VERSION, read_text, read_whole, shown
from fuchsiapin.flows.packets import ROUTE_BYTES
from fuchsiapin.lightclasses import astuple, dataclass

__all__ = [
    "FlowConfiguration",
    "FlowRoute",
    "RouteTable",
    "pack_configuration",
    "unpack_configuration",
]

MAX_DROPPED_ROUTES = 10_000
"""Maximum number of dropped routes that are remembered; about 100 bytes each."""


@dataclass(frozen=True)
class FlowRoute:
    """An address for callers, with the services that share its new flows.

    It also has the properties of its requests.

    Parameters
    ----------
    name : str
        Name of the route.
    address : bytes
        Address and port that callers use, 6 bytes.
    shares : tuple of (str, int)
        Services and their weights for new flows.
    kind : str
        Kind of its requests; callers retry only `safe` ones.
    deadline_ms, target_latency_ms : int
        How long callers wait, and the target latency.
    priority : int
        0 is the highest.
    """

    name: str
    address: bytes
    shares: tuple[tuple[str, int], ...]
    kind: str
    deadline_ms: int
    target_latency_ms: int
    priority: int

    def service_of(self, flow: bytes) -> str:
        """Return the service of a new flow, the same at every balancer."""
        total = sum(weight for _, weight in self.shares)
        if len(self.shares) == 1 or total <= 0:
            return self.shares[0][0]
        draw = xxh3_64_intdigest(flow) % total
        for service, weight in self.shares:
            if draw < weight:
                return service
            draw -= weight
        return self.shares[-1][0]


@dataclass(frozen=True)
class FlowConfiguration:
    """All routes under one version; versions only increase.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : tuple of FlowRoute
        The routes.
    idle_timeout_ms : int
        Time after which an idle flow ends.
    cold_rates : tuple of (str, float)
        Services, and the requests a second that an upstream of each bears while it is
        cold. Services without a rate are left out. Balancers exchange the rates apart
        from the configuration (`coldrates`).
    cold_rates_error : str
        Why the rates can't be read, empty if they can.
    """

    version: int
    routes: tuple[FlowRoute, ...]
    idle_timeout_ms: int
    cold_rates: tuple[tuple[str, float], ...] = ()
    cold_rates_error: str = ""


def pack_configuration(configuration: FlowConfiguration) -> bytes:
    """Return a configuration as bytes, for other processes.

    Processes of earlier builds read exactly these three values.
    """
    routes = [astuple(route) for route in configuration.routes]
    return msgpack.packb((configuration.version, routes, configuration.idle_timeout_ms))


def unpack_configuration(data: bytes) -> FlowConfiguration:
    """Return the configuration in bytes from another process.

    Raises
    ------
    MalformedObject
        If the bytes hold no configuration.
    """
    try:
        version, routes, idle_timeout_ms = msgpack.unpackb(data, use_list=False)
        return FlowConfiguration(
            read_whole(version, "version", highest=MAX_VERSION),
            tuple(read_route(fields) for fields in routes),
            read_whole(idle_timeout_ms, "idle timeout"),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        # The representation of some errors contains the decoded object.
        text = f"{type(error).__name__} {error}"
        raise MalformedObject(f"configuration of flows: {text}") from error


def read_route(fields: Any) -> FlowRoute:
    """Return a route from its fields.

    Raises
    ------
    MalformedObject
        If a field has an invalid value.
    TypeError, ValueError
        If there are other fields, or shares that aren't pairs.
    """
    name, address, shares, kind, deadline_ms, target_latency_ms, priority = fields
    if type(address) is not bytes or len(address) != ROUTE_BYTES:
        raise MalformedObject(f"address of a route is {shown(address)}")
    if type(shares) is not tuple or not shares:
        raise MalformedObject(f"shares of a route are {shown(shares)}")
    return FlowRoute(
        read_text(name, "name of a route", is_empty_allowed=True),
        address,
        tuple(
            (read_text(service, "service"), read_whole(weight, "weight"))
            for service, weight in shares
        ),
        read_text(kind, "kind of a route", is_empty_allowed=True),
        read_whole(deadline_ms, "deadline"),
        read_whole(target_latency_ms, "target latency"),
        read_whole(priority, "priority"),
    )


class RouteTable:
    """Routes in force at one process.

    Attributes
    ----------
    version : int
        Version in force, 0 before the first.
    former_services : dict
        Services that were removed from a route and may still hold its flows, by
        address.
    dropped : dict
        Addresses of routes that a configuration dropped, the latest last.
    changed_versions : dict
        Version that added a route or changed its services, by address.
    """

    def __init__(self) -> None:
        self.version = 0
        self.idle_timeout_ms = 0
        self.routes: dict[bytes, FlowRoute] = {}
        self.former_services: dict[bytes, tuple[str, ...]] = {}
        self.dropped: dict[bytes, None] = {}
        self.changed_versions: dict[bytes, int] = {}

    def put(self, configuration: FlowConfiguration) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        The services of an earlier one may hold open flows, so they are remembered.
        """
        if configuration.version <= self.version:
            for route in configuration.routes:
                self.remember_former(route, self.routes.get(route.address))
            return False
        self.version = configuration.version
        self.idle_timeout_ms = configuration.idle_timeout_ms
        before = self.routes
        self.routes = {route.address: route for route in configuration.routes}
        for address, route in self.routes.items():
            earlier = before.get(address)
            self.remember_former(earlier, route)
            if earlier is None or earlier.shares != route.shares:
                self.changed_versions[address] = self.version
        for address in self.changed_versions.keys() - self.routes.keys():
            del self.changed_versions[address]
        for address in self.former_services.keys() - self.routes.keys():
            del self.former_services[address]
        self.remember_dropped(before)
        return True

    def changed_version(self, flow: bytes) -> int:
        """Return the version that added a flow's route or changed its services.

        0 if there is no such route.
        """
        return self.changed_versions.get(flow[:ROUTE_BYTES], 0)

    def remember_dropped(self, before: dict[bytes, FlowRoute]) -> None:
        """Remember the routes in force before that are no longer there."""
        for address in self.dropped.keys() & self.routes.keys():
            del self.dropped[address]
        self.dropped.update(dict.fromkeys(before.keys() - self.routes.keys()))
        while len(self.dropped) > MAX_DROPPED_ROUTES:
            del self.dropped[next(iter(self.dropped))]

    def is_dropped(self, flow: bytes) -> bool:
        """Return whether a configuration dropped the route of a flow."""
        return flow[:ROUTE_BYTES] in self.dropped

    def remember_former(
        self, earlier: FlowRoute | None, route: FlowRoute | None
    ) -> None:
        """Remember the services that a route had in an earlier configuration."""
        if earlier is None or route is None or earlier.shares == route.shares:
            return
        current = [service for service, _ in route.shares]
        previous = [service for service, _ in earlier.shares]
        remembered = self.former_services.get(route.address, ())
        former = dict.fromkeys([*previous, *remembered])
        self.former_services[route.address] = tuple(
            name for name in former if name not in current
        )

    def find(self, flow: bytes) -> FlowRoute | None:
        """Return the route of a flow, None if there is none."""
        return self.routes.get(flow[:ROUTE_BYTES])

    def services(self, route: FlowRoute) -> list[str]:
        """Return the services that may hold open flows of a route."""
        current = [service for service, _ in route.shares]
        return [*current, *self.former_services.get(route.address, ())]
