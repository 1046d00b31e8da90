"""Records of balancers: the own one in the store, and those of the others."""

from collections.abc import Callable

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.gossip import Gossip
from fuchsiapin.flows.peerrecords import (
    BalancerRecord,
    pack_balancer,
    read_stored_balancer,
)
from fuchsiapin.flows.storage import StoredItem
from fuchsiapin.flows.writing import ObjectWriter
from fuchsiapin.lightclasses import astuple

__all__ = ["BalancerRecords"]


class BalancerRecords:
    """Publishes the record of one balancer, and applies those of the others.

    Parameters
    ----------
    record : BalancerRecord
        This balancer.
    gossip : Gossip
        Replicates records between balancers.
    writer : ObjectWriter
        Writes this balancer's record to the store.
    report : callable
        Takes the number and the fields of an event.
    """

    def __init__(
        self,
        record: BalancerRecord,
        gossip: Gossip,
        writer: ObjectWriter,
        report: Callable[..., None],
    ) -> None:
        self.record = record
        self.gossip = gossip
        self.writer = writer
        self.report = report

    def announce(self, now: int) -> None:
        """Publish the record of this balancer to the store and to other balancers."""
        record = self.record
        self.gossip.put(
            f"balancers/{record.name}", record.version, pack_balancer(record)
        )
        self.writer.put(now, record.name, astuple(record))

    def announce_again(self, now: int) -> None:
        """Write this balancer's record again unless it is leaving."""
        if not self.record.is_leaving:
            self.announce(now)

    def leave(self, now: int) -> None:
        """Announce to the store and to other balancers that this balancer stops."""
        record = self.record
        self.record = BalancerRecord(
            record.name, record.started, record.host, record.zone, True
        )
        self.gossip.record = self.record
        self.gossip.put(
            f"balancers/{record.name}", self.record.version, pack_balancer(self.record)
        )
        self.writer.delete(now, record.name)

    def end_list(self, now: int, names: set[str]) -> None:
        """Write the own record again if a complete list from the store lacks it."""
        is_missing = self.record.name not in names and self.writer.is_done
        if is_missing and not self.record.is_leaving:
            self.announce(now)

    def apply_change(self, now: int, item: StoredItem) -> None:
        """Apply a changed or deleted balancer from the store."""
        if item.is_deleted:
            # The deletion of another balancer's record is ignored: that balancer is
            # removed when it announces that it leaves, or is silent.
            if item.name == self.record.name and not self.record.is_leaving:
                self.announce(now)
            return
        try:
            record = read_stored_balancer(item.name, item.value)
        except MalformedObject as error:
            self.report(6305, key=f"balancers/{item.name}", error=str(error))
            return
        self.apply(now, record)

    def apply(self, now: int, record: BalancerRecord) -> None:
        """Apply the record of another balancer."""
        if record.name == self.record.name:
            return
        if record.is_leaving:
            self.gossip.remove_peer(record.host)
            return
        key = f"balancers/{record.name}"
        if record.version > self.gossip.version(key):
            self.gossip.ensure_peer(now, record.host, record.zone)
            self.gossip.put(key, record.version, pack_balancer(record))

    def apply_copy(self, now: int, record: BalancerRecord) -> bool:
        """Apply a record from another process; return whether to replicate it."""
        if record.name != self.record.name and not record.is_leaving:
            self.gossip.ensure_peer(now, record.host, record.zone)
        elif record.is_leaving:
            self.gossip.remove_peer(record.host)
        return record.name != self.record.name
