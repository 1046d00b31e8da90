"""Flow state of one side process: records, observations and block-wise transfers."""

from collections.abc import Callable, Iterable

from fuchsiapin.coap.observing import Observations, observation_key
from fuchsiapin.coap.recordtable import RecordTable
from fuchsiapin.messages import Observation, Record, Upload
from fuchsiapin.ranking import flow_key

__all__ = ["FlowStore"]

MAX_UPLOADS = 10_000
"""Bound on the stored block-wise transfers; further ones are not tracked."""


class FlowStore:
    """The flow state of one side process, which moves with the ownership of flows.

    Parameters
    ----------
    service : str
        Name of the service.
    table : RecordTable
        Records.
    observations : Observations
        Observations.
    is_withdrawn : callable
        Returns whether the request with a record's key can never run here.

    Attributes
    ----------
    uploads_by_tag : dict
        Block-wise transfers in progress, by their tag.
    """

    def __init__(
        self,
        service: str,
        table: RecordTable,
        observations: Observations,
        is_withdrawn: Callable[[bytes], bool],
    ) -> None:
        self.service = service
        self.table = table
        self.observation_store = observations
        self.is_withdrawn = is_withdrawn
        self.uploads_by_tag: dict[bytes, Upload] = {}

    def records(self) -> Iterable[Record]:
        """Return all records except those withdrawn before they could run."""
        return [record for record in self.table if not self.is_withdrawn(record.key)]

    def observations(self) -> Iterable[Observation]:
        """Return all observations.

        These include copies held as the witness, and those whose flows have another
        owner now.
        """
        return self.observation_store.all()

    def uploads(self) -> Iterable[Upload]:
        """Return the block-wise transfers in progress."""
        return self.uploads_by_tag.values()

    def put_record(self, record: Record) -> None:
        """Store a record."""
        self.table.put(record)

    def drop_record(self, key: bytes) -> None:
        """Delete a record that its owner withdrew."""
        self.table.drop(key)

    def store_observation(self, observation: Observation) -> None:
        """Store an observation."""
        self.observation_store.keep(observation)

    def drop_observation(self, observation: Observation) -> None:
        """Delete an observation that its owner closed."""
        self.observation_store.drop(observation_key(observation))

    def put_upload(self, upload: Upload) -> None:
        """Store a block-wise transfer, within the bound on their number."""
        if upload.tag in self.uploads_by_tag or len(self.uploads_by_tag) < MAX_UPLOADS:
            self.uploads_by_tag[upload.tag] = upload

    def expire(self, now: int) -> None:
        """Delete expired records and transfers."""
        self.table.expire(now)
        old = [
            tag for tag, upload in self.uploads_by_tag.items() if upload.expires <= now
        ]
        for tag in old:
            del self.uploads_by_tag[tag]

    def flow_of(self, item: Record | Observation | Upload) -> bytes:
        """Return the flow key of an item."""
        return flow_key(self.service, item.host, item.port)
