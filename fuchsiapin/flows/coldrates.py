"""Limits of cold upstreams, as balancers know them.

A cold upstream bears a rate of requests that the configuration gives for its service.
The settings may bound the openings that it gets by that rate. Side processes enforce
the limit (`coldstart`), and learn it with the pings of balancers.
"""

from collections.abc import Callable, Sequence
from typing import Any

import msgpack

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import MAX_WHOLE, read_number, read_text
from fuchsiapin.flows.gossip import Gossip
from fuchsiapin.flows.members import MemberView
from fuchsiapin.flows.messages import ColdLimit
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.lightclasses import dataclass

__all__ = [
    "COLD_RATES_KEY",
    "NO_BOUNDS",
    "ColdBounds",
    "ColdRates",
    "openings_limit",
    "pack_cold_rates",
    "unpack_cold_rates",
]

COLD_RATES_KEY = "coldrates/current"


@dataclass(frozen=True)
class ColdBounds:
    """Bounds of the openings that a cold upstream gets, from the settings.

    Parameters
    ----------
    overage : float
        Factor of the rate that it bears; 0 for no limit.
    slack : float
        Openings a second in addition.
    """

    overage: float = 0.0
    slack: float = 0.0


NO_BOUNDS = ColdBounds()


def openings_limit(per_s: float, bounds: ColdBounds) -> int:
    """Return the largest number of openings in any span of one second, 0 for no limit.

    A limit below one opening is raised to one, because the upstream would never get
    any otherwise.

    Examples
    --------
    >>> openings_limit(20.0, ColdBounds(1.5, 5)), openings_limit(0.0, ColdBounds(1.5))
    (35, 0)
    """
    if per_s <= 0 or bounds.overage <= 0:
        return 0
    return max(1, int(min(per_s * bounds.overage + bounds.slack, MAX_WHOLE)))


def pack_cold_rates(rates: Sequence[tuple[str, float]]) -> bytes:
    """Return cold rates as bytes, for other processes."""
    return msgpack.packb(list(rates))


def unpack_cold_rates(data: bytes) -> tuple[tuple[str, float], ...]:
    """Return the cold rates in bytes from another process.

    Raises
    ------
    MalformedObject
        If the bytes hold no cold rates.
    """
    try:
        return tuple(read_rate(*fields) for fields in msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        # The representation of some errors contains the decoded object.
        text = f"{type(error).__name__} {error}"
        raise MalformedObject(f"cold rates: {text}") from error


def read_rate(service: Any, per_s: Any) -> tuple[str, float]:
    """Return a service and its cold rate.

    Raises
    ------
    MalformedObject
        If a field has an invalid value.
    """
    return read_text(service, "service"), read_number(per_s, "cold rate", MAX_WHOLE)


class ColdRates:
    """The newest known cold rates, and the limits that follow from them.

    They aren't part of the configuration that balancers exchange, whose layout
    processes of earlier builds read too.

    Parameters
    ----------
    gossip : Gossip
        Replicates the rates between balancers.
    bounds : ColdBounds
        Bounds from the settings.
    report : callable
        Takes the number and the fields of an event.

    Attributes
    ----------
    version : int
        Version of the configuration that the rates come from, 0 before the first.
    limits : dict
        Openings in any span of one second by service, of services with a limit.
    """

    def __init__(
        self, gossip: Gossip, bounds: ColdBounds, report: Callable[..., None]
    ) -> None:
        self.gossip = gossip
        self.bounds = bounds
        self.report = report
        self.version = 0
        self.rates: tuple[tuple[str, float], ...] = ()
        self.limits: dict[str, int] = {}

    def put(self, version: int, rates: Sequence[tuple[str, float]]) -> bool:
        """Put rates in force if they are newer; return whether they were."""
        if version <= self.version:
            return False
        self.version = version
        self.rates = tuple(rates)
        limits = {name: openings_limit(rate, self.bounds) for name, rate in rates}
        self.limits = {name: limit for name, limit in limits.items() if limit}
        return True

    def apply_stored(self, name: str, configuration: FlowConfiguration) -> None:
        """Apply the rates of a configuration from the store, and replicate them.

        The configuration itself may have been received from another balancer before.
        Without any rate nothing is replicated, unless balancers may have earlier rates.
        """
        if configuration.cold_rates_error:
            error = configuration.cold_rates_error
            self.report(6305, key=f"configuration/{name}", error=error)
        if self.put(configuration.version, configuration.cold_rates) and (
            self.rates or self.gossip.version(COLD_RATES_KEY)
        ):
            self.replicate()

    def apply_copy(self, version: int, value: bytes) -> bool:
        """Apply rates from another balancer; return whether to replicate them further.

        A balancer that has rates of a configuration without any may know from the store
        alone that earlier ones have ended. It tells the others.

        Raises
        ------
        MalformedObject
            If the value can't be read.
        """
        if self.put(version, unpack_cold_rates(value)):
            return True
        if version < self.version:
            self.replicate()
        return False

    def replicate(self) -> None:
        """Send the rates in force to other balancers."""
        self.gossip.put(COLD_RATES_KEY, self.version, pack_cold_rates(self.rates))

    def notices(self, now: int, view: MemberView) -> list[Any]:
        """Return the messages that go with a ping to a member.

        They tell its limit if it is cold, and if it takes no new flows, 0 for none: it
        may be waiting for that.
        """
        limit = self.limits.get(view.member.service, 0)
        is_asking = self.bounds.overage > 0 and view.refused_until > now
        if not self.version or not (is_asking or (limit and view.load.cold_ms > 0)):
            return []
        return [ColdLimit(self.version, limit)]

    def is_used_up(self, view: MemberView) -> bool:
        """Return whether a cold member got as many openings as its limit from here.

        Those since its last load report count.
        """
        if not self.limits or view.load.cold_ms <= 0:
            return False
        limit = self.limits.get(view.member.service)
        return limit is not None and view.placed_since_report >= limit

    def first_choice(self, ordered: Sequence[MemberView]) -> MemberView:
        """Return the first member whose limit isn't used up, the first one if all are.

        Parameters
        ----------
        ordered : sequence of MemberView
            Members in the order of the placement policy, at least one.
        """
        return next((view for view in ordered if not self.is_used_up(view)), ordered[0])
