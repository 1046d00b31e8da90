"""Service class of a route, as it travels with the opening packets of its flows.

The field `priority` of `Forward` holds the priority of the route, its target latency
and its deadline. The previous build compares the numbers as they are, which orders them
by priority first.
"""

from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.lightclasses import dataclass

__all__ = ["ServiceClass", "pack_class", "pack_route_class", "unpack_class"]

FIELD_BITS = 20
MAX_FIELD = (1 << FIELD_BITS) - 1
"""Longest target latency and deadline that can be sent, 17 minutes."""
MAX_PRIORITY = (1 << 23) - 1
"""Largest priority whose packed form is a signed number of 64 bits."""


@dataclass(frozen=True)
class ServiceClass:
    """What a side process knows of the route of a new flow.

    Parameters
    ----------
    priority : int
        0 is the highest.
    target_latency_ms, deadline_ms : int
        Target latency, and how long callers wait for an answer; 0 if unknown.
    """

    priority: int
    target_latency_ms: int = 0
    deadline_ms: int = 0


def pack_class(service_class: ServiceClass) -> int:
    """Return a service class as one number.

    Without a target latency it is the plain priority, as in the previous build.

    Examples
    --------
    >>> pack_class(ServiceClass(1, 418, 1_836)) == 1 << 40 | 418 << 20 | 1_836
    True
    >>> pack_class(ServiceClass(2))
    2
    """
    if service_class.target_latency_ms <= 0:
        return service_class.priority
    priority = min(max(service_class.priority, 0), MAX_PRIORITY)
    target_latency_ms = min(service_class.target_latency_ms, MAX_FIELD)
    deadline_ms = min(max(service_class.deadline_ms, 0), MAX_FIELD)
    return (
        (priority << 2 * FIELD_BITS) | (target_latency_ms << FIELD_BITS) | deadline_ms
    )


def unpack_class(number: int) -> ServiceClass:
    """Return the service class in a number of `Forward`.

    A number without a target latency is a plain priority.

    Examples
    --------
    >>> unpack_class(1 << 40 | 418 << 20 | 1_836)
    ServiceClass(priority=1, target_latency_ms=418, deadline_ms=1836)
    >>> unpack_class(2)
    ServiceClass(priority=2, target_latency_ms=0, deadline_ms=0)
    """
    if number <= MAX_FIELD:
        return ServiceClass(number)
    return ServiceClass(
        number >> 2 * FIELD_BITS,
        number >> FIELD_BITS & MAX_FIELD,
        number & MAX_FIELD,
    )


def pack_route_class(route: FlowRoute) -> int:
    """Return the service class of a route as one number."""
    return pack_class(
        ServiceClass(route.priority, route.target_latency_ms, route.deadline_ms)
    )
