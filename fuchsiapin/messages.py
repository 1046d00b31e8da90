"""Messages, stored objects, events and effects, generated from the schema."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal


@dataclass(frozen=True)
class Schema:
    """
    Messages, stored objects, events and effects of fuchsiapin.
    """


@dataclass(frozen=True)
class Member:
    """
    One side process in a view, and the upstream that it represents.
    """

    id: str
    incarnation: int
    host: str
    port: int
    zone: str
    weight: int
    state: Literal["live", "leaving", "down"]
    admin: str = ""


@dataclass(frozen=True)
class View:
    """
    A numbered version of the member list of a service.
    """

    number: int
    members: list[Member]


@dataclass(frozen=True)
class ServiceMembership:
    """
    Stored object: the newest view of a service and the earlier views whose flows may still be claimed.
    """

    service: str
    view: View
    history: list[View]
    change_id: str
    is_cut: bool = False


@dataclass(frozen=True)
class BalancerMember:
    """
    One balancer in its availability zone.
    """

    id: str
    incarnation: int
    host: str
    port: int
    zone: str
    state: Literal["live", "leaving"]
    admin: str = ""


@dataclass(frozen=True)
class ZoneBalancers:
    """
    Stored object: the balancers of one availability zone.
    """

    zone: str
    number: int
    members: list[BalancerMember]
    change_id: str


@dataclass(frozen=True)
class UpstreamConfig:
    """
    One upstream of the asset register.
    """

    id: str
    vm: str
    host: str
    zone: str
    slots: int
    connections: int
    leaving: bool


@dataclass(frozen=True)
class ClassConfig:
    """
    One tenant or class of callers and its share of the slots.
    """

    name: str
    share: int
    networks: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class ServiceConfig:
    """
    One service of a deployment.
    """

    name: str
    deadline_ms: int
    queue: int
    upstreams: list[UpstreamConfig]
    classes: list[ClassConfig]


@dataclass(frozen=True)
class Separation:
    """
    Rule: services that may not share an availability zone.
    """

    services: list[str]


@dataclass(frozen=True)
class AcceptedChange:
    """
    One accepted change of a configuration, as listed in the history.
    """

    number: int
    author: str
    change_id: str
    summary: str


@dataclass(frozen=True)
class Configuration:
    """
    Stored object: the accepted configuration of one deployment.
    """

    deployment: str
    number: int
    author: str
    change_id: str
    services: list[ServiceConfig]
    apart: list[Separation]
    history: list[AcceptedChange] = field(default_factory=list)


@dataclass(frozen=True)
class ViewStatus:
    """
    State of one service's views at a process.
    """

    service: str
    number: int
    active: int
    members: list[str]


@dataclass(frozen=True)
class EventCount:
    """
    Number of times that a process reported an event for one reason.
    """

    number: int
    reason: str
    count: int


@dataclass(frozen=True)
class KnownProcess:
    """
    Another process, as recorded by the reporting process.
    """

    name: str
    role: Literal["side", "balancer"]
    service: str
    zone: str
    state: Literal["live", "leaving", "down"]
    admin: str


@dataclass(frozen=True)
class Forward:
    """
    Carries a caller's datagram to the owner of its flow.
    """

    service: str
    host: str
    port: int
    balancer: str
    view: int
    hop: int
    payload: bytes


@dataclass(frozen=True)
class Reply:
    """
    Carries a datagram to a caller through a balancer.
    """

    service: str
    host: str
    port: int
    view: int
    payload: bytes


@dataclass(frozen=True)
class Heartbeat:
    """
    Heartbeat between the side processes of a service.
    """

    service: str
    view: int
    active: int
    config: int
    backlog_ms: int


@dataclass(frozen=True)
class BalancerHeartbeat:
    """
    Heartbeat between the balancers of an availability zone.
    """

    zone: str
    number: int
    config: int


@dataclass(frozen=True)
class Record:
    """
    State of one request, for deduplication and recovery.
    """

    key: bytes
    host: str
    port: int
    head: bytes
    state: Literal["intent", "done", "refused", "unknown"]
    executor: str
    response: bytes
    expires: int


@dataclass(frozen=True)
class Observation:
    """
    One open observation of a caller.
    """

    host: str
    port: int
    token: bytes
    request: bytes
    sequence: int
    balancer: str


@dataclass(frozen=True)
class Upload:
    """
    A block-wise transfer, which must continue at the upstream where it began.
    """

    host: str
    port: int
    tag: bytes
    executor: str
    expires: int


@dataclass(frozen=True)
class UncertainRange:
    """
    Flows whose owner and witness in a view are both in `lost`.
    """

    view: View
    lost: list[str]
    until: int


@dataclass(frozen=True)
class Pairing:
    """
    A view in which one member was active as owner with another as its witness.
    """

    view: int
    peer: str


@dataclass(frozen=True)
class Claim:
    """
    Requests the transfer of all flows that the claimer owns in a view; sent to the live members of earlier views.
    """

    service: str
    view: int
    incarnation: int


@dataclass(frozen=True)
class ClaimAnswer:
    """
    Response to a Claim: a promise not to act in an earlier view, with the state of the claimed flows.
    """

    service: str
    view: int
    incarnation: int
    is_known: bool
    owned: list[Pairing]
    witnessed: list[Pairing]
    records: list[Record]
    observations: list[Observation]
    uploads: list[Upload]
    uncertain: list[UncertainRange]


@dataclass(frozen=True)
class Install:
    """
    Sends the state of an owner's flows to their witness.
    """

    service: str
    view: int
    records: list[Record]
    observations: list[Observation]
    uncertain: list[UncertainRange]


@dataclass(frozen=True)
class Installed:
    """
    Acknowledges an Install.
    """

    service: str
    view: int
    ok: bool


@dataclass(frozen=True)
class RecordPut:
    """
    Replicates a request record to the witness.
    """

    service: str
    view: int
    record: Record


@dataclass(frozen=True)
class RecordAck:
    """
    Acknowledges a RecordPut.
    """

    service: str
    view: int
    key: bytes
    state: Literal["intent", "done", "refused", "unknown"]
    ok: bool


@dataclass(frozen=True)
class ObservationPut:
    """
    Replicates the addition or removal of an observation to the witness.
    """

    service: str
    view: int
    key: bytes
    observation: Observation
    open: bool


@dataclass(frozen=True)
class ObservationAck:
    """
    Acknowledges an ObservationPut.
    """

    service: str
    view: int
    key: bytes
    sequence: int
    open: bool


@dataclass(frozen=True)
class BacklogAsk:
    """
    Asks a peer for the expected queueing delay of new work.
    """

    service: str
    key: bytes


@dataclass(frozen=True)
class BacklogTell:
    """
    Response to a BacklogAsk: the expected queueing delay of new work.
    """

    service: str
    key: bytes
    wait_ms: int


@dataclass(frozen=True)
class OfferDeclined:
    """
    Declines a slot that a peer offered, because no request is waiting for it.
    """

    service: str
    key: bytes


@dataclass(frozen=True)
class Handoff:
    """
    Transfers a request that has not started to a peer, which runs it.
    """

    service: str
    view: int
    incarnation: int
    key: bytes
    host: str
    port: int
    remaining_ms: int
    payload: bytes


@dataclass(frozen=True)
class RecordAsk:
    """
    Queries the member that is allowed to run a request for the state of that request.
    """

    service: str
    key: bytes
    executor: str


@dataclass(frozen=True)
class Withdrawal:
    """
    States that the sender has not run a request and never will.
    """

    service: str
    key: bytes
    executor: str


@dataclass(frozen=True)
class HandoffResult:
    """
    Outcome of a Handoff.
    """

    service: str
    key: bytes
    outcome: Literal["done", "not_run", "unknown"]
    payload: bytes


@dataclass(frozen=True)
class Suspect:
    """
    Asks a peer to confirm that it receives nothing from a member either.
    """

    service: str
    member: str
    incarnation: int


@dataclass(frozen=True)
class SuspectAnswer:
    """
    Response to a Suspect: whether the sender receives nothing from the member either.
    """

    service: str
    member: str
    incarnation: int
    silent: bool


@dataclass(frozen=True)
class ObjectWanted:
    """
    Requests a stored object if the receiver has a newer version.
    """

    key: str
    version: int


@dataclass(frozen=True)
class ObjectCopy:
    """
    Carries a stored object as the sender last received it.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class BalancerLeaving:
    """
    Asks a side process to send its answers through other balancers, because this one is stopping. Until it exits it still forwards the answers that reach it.
    """

    incarnation: int


@dataclass(frozen=True)
class RelayDigest:
    """
    Subscribes to a parent in the relay tree and summarizes the sender's objects as one hash.
    """

    host: str
    port: int
    topics: list[str]
    digest: int
    acks: int
    is_root: bool


@dataclass(frozen=True)
class RelayAnswer:
    """
    Response to a RelayDigest: whether the parent has the same digest.
    """

    is_accepted: bool
    wants_acks: bool
    hops: int
    buckets: list[int]


@dataclass(frozen=True)
class RelayPull:
    """
    Requests the newer objects of some buckets.
    """

    buckets: list[int]
    keys: list[str]
    versions: list[int]


@dataclass(frozen=True)
class RelayWanted:
    """
    Requests the objects of which the receiver, a subscriber, has newer versions than the sender.
    """

    keys: list[str]


@dataclass(frozen=True)
class RelayCopy:
    """
    Carries a stored object to a subscriber.
    """

    key: str
    version: int
    packed: bytes


@dataclass(frozen=True)
class ConfigAck:
    """
    Aggregated count of the processes in which a configuration is in force.
    """

    key: str
    newest: int
    lowest: int
    total: int
    behind: int
    lagging: list[str]


@dataclass(frozen=True)
class RelayAcks:
    """
    Aggregated configuration acknowledgements of a process and its subscribers.
    """

    acks: list[ConfigAck]


@dataclass(frozen=True)
class Start:
    """
    Event: the process starts.
    """


@dataclass(frozen=True)
class Wake:
    """
    Event: a timer is due.
    """


@dataclass(frozen=True)
class PeerMessage:
    """
    Event: a message from another process of the system arrived.
    """

    sender: str
    incarnation: int
    message: Any


@dataclass(frozen=True)
class CallerDatagram:
    """
    Event: a datagram from a caller arrived at a balancer.
    """

    service: str
    host: str
    port: int
    payload: bytes


@dataclass(frozen=True)
class UpstreamDatagram:
    """
    Event: a datagram from the local upstream arrived.
    """

    payload: bytes


@dataclass(frozen=True)
class ObjectSeen:
    """
    Event: a stored object was received from a watch, a read or a peer.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class WriteFinished:
    """
    Event: a conditional update ended, with its outcome.
    """

    key: str
    change_id: str
    outcome: Literal["done", "conflict", "unreachable"]


@dataclass(frozen=True)
class WatchState:
    """
    Event: the watch of the object API became reachable or unreachable.
    """

    is_reachable: bool


@dataclass(frozen=True)
class StopRequested:
    """
    Event: the operator or the platform requested a planned stop.
    """


@dataclass(frozen=True)
class SendPeer:
    """
    Effect: send a message to another process of the system.
    """

    host: str
    port: int
    message: Any


@dataclass(frozen=True)
class SendCaller:
    """
    Effect: send a datagram to a caller.
    """

    service: str
    host: str
    port: int
    payload: bytes


@dataclass(frozen=True)
class SendUpstream:
    """
    Effect: send a datagram to the local upstream.
    """

    payload: bytes


@dataclass(frozen=True)
class WriteObject:
    """
    Effect: update a stored object conditionally.
    """

    key: str
    version: int
    value: bytes
    change_id: str


@dataclass(frozen=True)
class ReadObject:
    """
    Effect: read a stored object.
    """

    key: str


@dataclass(frozen=True)
class WatchObjects:
    """
    Effect: start or stop watching all stored objects.
    """

    is_wanted: bool


@dataclass(frozen=True)
class Report:
    """
    Effect: report a numbered event to the log and the metrics.
    """

    number: int
    fields: Any


@dataclass(frozen=True)
class Finished:
    """
    Effect: the planned stop is complete and the process may exit.
    """


@dataclass(frozen=True)
class ProcessStatus:
    """
    Status that a process serves at its admin address.
    """

    name: str
    role: Literal["side", "balancer"]
    service: str
    zone: str
    version: str
    incarnation: int
    state: Literal["live", "leaving", "down"]
    not_ready: list[str]
    object_api: Literal["unknown", "reachable", "unreachable"]
    config: int
    views: list[ViewStatus]
    in_flight: int
    waiting: int
    observations: int
    records: int
    counts: list[EventCount]
    retries: int = 0
    in_force: list[ConfigAck] = field(default_factory=list)
