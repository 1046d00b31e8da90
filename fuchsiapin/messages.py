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
    One side process in a view, and the upstream that it speaks for.
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
    The members of a service under one number.
    """

    number: int
    members: list[Member]


@dataclass(frozen=True)
class ServiceMembership:
    """
    Stored object: the newest view of a service and the views that may still be claimed from.
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
    One accepted change of a configuration.
    """

    number: int
    author: str
    change_id: str
    summary: str


@dataclass(frozen=True)
class Configuration:
    """
    Stored object: what the operator accepted for one deployment.
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
    What a process knows of one service's members.
    """

    service: str
    number: int
    active: int
    members: list[str]


@dataclass(frozen=True)
class EventCount:
    """
    How often a process reported a numbered event for one reason.
    """

    number: int
    reason: str
    count: int


@dataclass(frozen=True)
class KnownProcess:
    """
    Another process, as one process knows it.
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
    A caller's datagram on its way to the owner of its flow.
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
    A datagram for a caller.
    """

    service: str
    host: str
    port: int
    view: int
    payload: bytes


@dataclass(frozen=True)
class Heartbeat:
    """
    Sign of life between the side processes of a service.
    """

    service: str
    view: int
    active: int
    config: int
    backlog_ms: int


@dataclass(frozen=True)
class BalancerHeartbeat:
    """
    Sign of life between the balancers of an availability zone.
    """

    zone: str
    number: int
    config: int


@dataclass(frozen=True)
class Record:
    """
    What is known of one request.
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
    A block-wise transfer that stays at the upstream where it began.
    """

    host: str
    port: int
    tag: bytes
    executor: str
    expires: int


@dataclass(frozen=True)
class UncertainRange:
    """
    Flows whose earlier owner and witness could not be asked.
    """

    view: View
    lost: list[str]
    until: int


@dataclass(frozen=True)
class Pairing:
    """
    A view in which one member was active with another as its witness.
    """

    view: int
    peer: str


@dataclass(frozen=True)
class Claim:
    """
    Asks for all flows that the claimer owns by a view.
    """

    service: str
    view: int
    incarnation: int


@dataclass(frozen=True)
class ClaimAnswer:
    """
    The promise not to act by an earlier view, and what is known of the flows.
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
    Hands the flows of an owner to their witness.
    """

    service: str
    view: int
    records: list[Record]
    observations: list[Observation]
    uncertain: list[UncertainRange]


@dataclass(frozen=True)
class Installed:
    """
    The witness's word on an Install.
    """

    service: str
    view: int
    ok: bool


@dataclass(frozen=True)
class RecordPut:
    """
    Asks the witness to keep a record.
    """

    service: str
    view: int
    record: Record


@dataclass(frozen=True)
class RecordAck:
    """
    The witness's word on a RecordPut.
    """

    service: str
    view: int
    key: bytes
    state: Literal["intent", "done", "refused", "unknown"]
    ok: bool


@dataclass(frozen=True)
class ObservationPut:
    """
    Asks the witness to keep or drop an observation.
    """

    service: str
    view: int
    key: bytes
    observation: Observation
    open: bool


@dataclass(frozen=True)
class ObservationAck:
    """
    The witness's word on an ObservationPut.
    """

    service: str
    view: int
    key: bytes
    sequence: int
    open: bool


@dataclass(frozen=True)
class BacklogAsk:
    """
    Asks how long new work would wait.
    """

    service: str
    key: bytes


@dataclass(frozen=True)
class BacklogTell:
    """
    How long new work would wait.
    """

    service: str
    key: bytes
    wait_ms: int


@dataclass(frozen=True)
class OfferDeclined:
    """
    Tells a peer that offered a slot that nothing waits for it.
    """

    service: str
    key: bytes


@dataclass(frozen=True)
class Handoff:
    """
    A request that has not started, for a peer to run.
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
    Asks the member that may run a request what became of it.
    """

    service: str
    key: bytes
    executor: str


@dataclass(frozen=True)
class Withdrawal:
    """
    The word of a member that it never ran a request and never will.
    """

    service: str
    key: bytes
    executor: str


@dataclass(frozen=True)
class HandoffResult:
    """
    What became of a Handoff.
    """

    service: str
    key: bytes
    outcome: Literal["done", "not_run", "unknown"]
    payload: bytes


@dataclass(frozen=True)
class Suspect:
    """
    Asks a peer to confirm that a member is silent.
    """

    service: str
    member: str
    incarnation: int


@dataclass(frozen=True)
class SuspectAnswer:
    """
    Whether the member is silent here too.
    """

    service: str
    member: str
    incarnation: int
    silent: bool


@dataclass(frozen=True)
class ObjectWanted:
    """
    Asks for a stored object if the other side has a newer version.
    """

    key: str
    version: int


@dataclass(frozen=True)
class ObjectCopy:
    """
    A stored object as last seen.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class BalancerLeaving:
    """
    A balancer that ends soon takes no more answers.
    """

    incarnation: int


@dataclass(frozen=True)
class RelayDigest:
    """
    Subscribes to a parent and tells what is known, as one hash.
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
    Tells a subscriber whether its digest is the same here.
    """

    is_accepted: bool
    wants_acks: bool
    hops: int
    buckets: list[int]


@dataclass(frozen=True)
class RelayPull:
    """
    Asks for what is newer in some buckets.
    """

    buckets: list[int]
    keys: list[str]
    versions: list[int]


@dataclass(frozen=True)
class RelayWanted:
    """
    Asks a subscriber for objects that are newer there.
    """

    keys: list[str]


@dataclass(frozen=True)
class RelayCopy:
    """
    A stored object on its way to a subscriber.
    """

    key: str
    version: int
    packed: bytes


@dataclass(frozen=True)
class ConfigAck:
    """
    In how many processes a configuration is in force.
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
    What is in force at a process and its subscribers.
    """

    acks: list[ConfigAck]


@dataclass(frozen=True)
class Start:
    """
    Event: the process begins.
    """


@dataclass(frozen=True)
class Wake:
    """
    Event: a timer is due.
    """


@dataclass(frozen=True)
class PeerMessage:
    """
    Event: a message of another process of the system.
    """

    sender: str
    incarnation: int
    message: Any


@dataclass(frozen=True)
class CallerDatagram:
    """
    Event: a datagram of a caller reached a balancer.
    """

    service: str
    host: str
    port: int
    payload: bytes


@dataclass(frozen=True)
class UpstreamDatagram:
    """
    Event: a datagram of the own upstream.
    """

    payload: bytes


@dataclass(frozen=True)
class ObjectSeen:
    """
    Event: a stored object, by a watch, a read or a peer.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class WriteFinished:
    """
    Event: how a conditional update ended.
    """

    key: str
    change_id: str
    outcome: Literal["done", "conflict", "unreachable"]


@dataclass(frozen=True)
class WatchState:
    """
    Event: whether the watch of the object API answers.
    """

    is_reachable: bool


@dataclass(frozen=True)
class StopRequested:
    """
    Event: the operator or the platform asks for a planned stop.
    """


@dataclass(frozen=True)
class SendPeer:
    """
    Effect: a message for another process of the system.
    """

    host: str
    port: int
    message: Any


@dataclass(frozen=True)
class SendCaller:
    """
    Effect: a datagram for a caller.
    """

    service: str
    host: str
    port: int
    payload: bytes


@dataclass(frozen=True)
class SendUpstream:
    """
    Effect: a datagram for the own upstream.
    """

    payload: bytes


@dataclass(frozen=True)
class WriteObject:
    """
    Effect: conditional update of a stored object.
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
    Effect: begin or end to watch all stored objects.
    """

    is_wanted: bool


@dataclass(frozen=True)
class Report:
    """
    Effect: a numbered event for log and metrics.
    """

    number: int
    fields: Any


@dataclass(frozen=True)
class Finished:
    """
    Effect: the process may end.
    """


@dataclass(frozen=True)
class ProcessStatus:
    """
    What one process tells at its admin address.
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
