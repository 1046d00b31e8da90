"""Messages between the processes that carry packet flows, generated from the schema."""

from __future__ import annotations

from fuchsiapin.lightclasses import dataclass


@dataclass(frozen=True)
class FlowSchema:
    """
    Messages between the processes that carry packet flows.
    """


@dataclass(frozen=True)
class Forward:
    """
    Carries a caller's packet to the upstream that holds its flow.
    """

    service: str
    origin: str
    hops: int
    priority: int
    is_search: bool
    rest: list[str]
    packet: bytes


@dataclass(frozen=True)
class Returned:
    """
    Returns a packet that a side process could not deliver.
    """

    service: str
    reason: str
    hops: int
    is_search: bool
    load: list[int]
    packet: bytes


@dataclass(frozen=True)
class Held:
    """
    Informs a balancer that the sender's upstream holds a flow.
    """

    flow: bytes
    accepts: bool
    load: list[int]


@dataclass(frozen=True)
class Ping:
    """
    Requests the state of a side process and subscribes to its changes.
    """

    zone: str
    known: int
    is_missing: bool


@dataclass(frozen=True)
class Status:
    """
    State and load of a side process and its upstream.
    """

    member: bytes
    takes_flows: bool
    load: list[int]


@dataclass(frozen=True)
class Digest:
    """
    Summarizes the shared state of a balancer as one hash.
    """

    name: str
    zone: str
    configuration: int
    total: int
    store_age_ms: int


@dataclass(frozen=True)
class Buckets:
    """
    Hashes of the parts of a balancer's shared state, sent when the digests differ.
    """

    marks: list[int]


@dataclass(frozen=True)
class Pull:
    """
    Requests the objects of which the receiver, a balancer, has newer versions than the sender.
    """

    places: list[int]
    keys: list[str]
    versions: list[int]


@dataclass(frozen=True)
class Ask:
    """
    Asks other balancers for the holder of a flow that no known member holds.
    """

    flow: bytes


@dataclass(frozen=True)
class Known:
    """
    Response to an Ask: the side process to which the sender last sent packets of the flow, and a hash over its members.
    """

    flow: bytes
    host: str
    members: int


@dataclass(frozen=True)
class Era:
    """
    Tells another balancer the newest known era of the store.
    """

    era: int


@dataclass(frozen=True)
class Evacuation:
    """
    Tells a side process whether the availability zone of its upstream is evacuated.
    """

    zone: str
    version: int


@dataclass(frozen=True)
class ColdLimit:
    """
    Tells a side process how many new flows its upstream may be given while it is cold.
    """

    configuration: int
    openings_per_s: int


@dataclass(frozen=True)
class Silence:
    """
    Tells a balancer of the same availability zone that a member of another zone leaves pings unanswered.
    """

    host: str


@dataclass(frozen=True)
class Copy:
    """
    One object of the shared state: a configuration, a member, a balancer or an evacuated zone.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Part:
    """
    A part of an object of the shared state that is longer than a datagram.
    """

    key: str
    version: int
    index: int
    count: int
    data: bytes
