"""The configuration in force at one balancer, from the store and other balancers."""

from collections.abc import Callable

from fuchsiapin.flows.coldrates import ColdRates
from fuchsiapin.flows.following import StoreFollower
from fuchsiapin.flows.gossip import CONFIGURATION_KEY, Gossip
from fuchsiapin.flows.routes import (
    FlowConfiguration,
    RouteTable,
    pack_configuration,
)
from fuchsiapin.flows.storage import StoredItem

__all__ = ["ConfigurationKeeper"]


class ConfigurationKeeper:
    """Puts configurations in force and replicates those read from the store.

    Parameters
    ----------
    routes : RouteTable
        Routes in force.
    cold_rates : ColdRates
        Rates of cold upstreams in force.
    gossip : Gossip
        Replicates configurations between balancers.
    report : callable
        Takes the number and the fields of an event.

    Attributes
    ----------
    stored_version : int
        Version that the store showed last, 0 before the first.
    follower : StoreFollower
        Reads the configurations from the store.
    read_version : int
        Highest version that was read from the store. A list shows only the last one,
        a watch all of them, and another balancer sends the one that it has.
    listed_at : int
        When a list showed a version that no watch had shown, in ms, 0 for never.
    copied_at : int
        When the last version was received from another balancer, in ms, 0 for never.
    """

    follower: StoreFollower

    def __init__(
        self,
        routes: RouteTable,
        cold_rates: ColdRates,
        gossip: Gossip,
        report: Callable[..., None],
    ) -> None:
        self.routes = routes
        self.cold_rates = cold_rates
        self.gossip = gossip
        self.report = report
        self.stored_version = 0
        self.read_version = 0
        self.listed_at = 0
        self.copied_at = 0

    def apply_change(self, now: int, item: StoredItem) -> None:
        """Apply a configuration from the store; a malformed one is reported."""
        if item.error:
            self.report(6305, key=f"configuration/{item.name}", error=item.error)
        if isinstance(item.value, FlowConfiguration):
            self.apply(now, item.value, "store")
            self.note_read(now, item.value.version)
            self.cold_rates.apply_stored(item.name, item.value)
            self.note_stored(item.value.version)

    def note_read(self, now: int, version: int) -> None:
        """Record that the store showed a version, in a list or to a watch."""
        if version <= self.read_version:
            return
        self.read_version = version
        if self.follower.listed_at == now:
            self.listed_at = now

    @property
    def skipped_until(self) -> int:
        """Return the time until which unknown versions may have been in force, in ms.

        Until then a new flow may have been sent to a service that isn't known to have
        been one of its route.
        """
        if self.read_version >= self.routes.version:
            return self.listed_at
        return self.copied_at

    def apply(self, now: int, configuration: FlowConfiguration, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if not self.routes.put(configuration):
            return False
        if source == "peer":
            self.copied_at = now
        self.report(
            6304,
            configuration=configuration.version,
            routes=len(configuration.routes),
            source=source,
        )
        if source == "store":
            self.gossip.put(
                CONFIGURATION_KEY,
                configuration.version,
                pack_configuration(configuration),
            )
        return True

    def note_stored(self, version: int) -> None:
        """Report a stored configuration that is older than the one in force.

        The one in force stays, as the operator writes the newer one again.
        """
        is_reported = version == self.stored_version
        self.stored_version = version
        if version < self.routes.version and not is_reported:
            self.report(6314, stored=version, in_force=self.routes.version)
