"""Catalogue of the numbered events that processes log and count.

The first digit is the source: 1 the daemon that runs a core, 2 a balancer, 3 a
caller's request or observation, 4 a side process, 5 the relay of stored
objects, 6 the processes that carry packet flows. `docs/events.md` is generated
from this module.
"""

from fuchsiapin.eventtypes import NO_ACTION, Event, Field
from fuchsiapin.flowevents import FLOW_EVENTS

__all__ = ["CATALOGUE", "EVENTS", "Event", "Field", "reason_of"]

SERVICE = Field("service")
SENDER = Field("sender")
FLOW = Field("flow")
KEY = Field("key")
ERROR = Field("error")
CALLER = (Field("host"), Field("port", "integer"))

EVENTS = (
    Event(
        1101,
        "process started",
        "info",
        "The process has read its settings and starts serving.",
        NO_ACTION,
        (Field("role"), Field("version"), Field("incarnation", "integer")),
    ),
    Event(
        1102,
        "planned stop requested",
        "info",
        "The process received a stop signal; it finishes the work in flight and exits.",
        NO_ACTION,
    ),
    Event(1103, "process finished", "info", "The planned stop is complete.", NO_ACTION),
    Event(
        1104,
        "ready",
        "info",
        "The process is fully operational.",
        NO_ACTION,
    ),
    Event(
        1105,
        "not ready",
        "warning",
        "The process is not fully operational; the reasons are listed.",
        "Wait for a few seconds after a change; if it persists, resolve the listed "
        "reasons.",
        (Field("reasons", "list of text"),),
    ),
    Event(
        1106,
        "log lines unread",
        "warning",
        "The reader of the log stalled; the given number of lines was discarded.",
        "Check the program that reads the process's standard output.",
        (Field("lines", "integer"),),
    ),
    Event(
        1107,
        "process stood still",
        "warning",
        "The VM was suspended; the process's state is older by the given time.",
        "Find out why the VM was suspended.",
        (Field("still_ms", "integer"),),
    ),
    Event(
        1108,
        "process late",
        "warning",
        "The process ran its timers late, or most of its reads left datagrams unread, "
        "so answers to it may have waited. The fields give the largest lag and, for "
        "the interval since the check before, its length, the time that the process "
        "chose to wait for events, the processor time that it used, the datagrams "
        "that it read, and its reads that ended at their limit. The rest of the "
        "interval is time in which it was kept from running.",
        "Long interval with hardly any processor time: it was paused; find out by "
        "what. No waiting and processor time well under the interval: it is short of "
        "processor time; give it more. Processor time near the interval: it has too "
        "much work. A process that is on time with much waiting reports nothing: look "
        "at its links and the other processes.",
        (
            Field("lag_ms", "integer"),
            Field("interval_ms", "integer"),
            Field("waited_ms", "integer"),
            Field("processor_ms", "integer"),
            Field("datagrams", "integer"),
            Field("full_reads", "integer"),
        ),
        is_rate_limited=True,
    ),
    Event(
        1109,
        "bytes sent",
        "info",
        "The bytes that the process sent since its start, by kind of message, largest "
        "first: within its availability zone, to others, and to processes whose zone "
        "it doesn't know. `Answer` is what upstreams send to callers; a caller counts "
        "as being in the zone of the balancer that its packets come by.",
        "Where traffic between availability zones is dear, look for the largest kinds.",
        (
            Field("own_zone", "list of text"),
            Field("other_zone", "list of text"),
            Field("unknown_zone", "list of text"),
        ),
    ),
    Event(
        1110,
        "resources in use",
        "info",
        "Memory of the process and its peak, and its open descriptors and how many may "
        "be open; -1 if the system doesn't tell. Written at the start and the end and "
        "every ten seconds.",
        "If a figure comes near its limit: find out what it grows with.",
        (
            Field("memory_kb", "integer"),
            Field("peak_memory_kb", "integer"),
            Field("descriptors", "integer"),
            Field("descriptor_limit", "integer"),
        ),
    ),
    Event(
        1111,
        "process failed",
        "error",
        "The process ends by an error, or can't start; its exit status is 1. `trace` "
        "lists the innermost calls.",
        "Correct the settings or the address that the error names; report any other "
        "error with the log line.",
        (ERROR, Field("where"), Field("trace", "list of text")),
    ),
    Event(
        1112,
        "start delayed",
        "warning",
        "The settings can't be read yet, or an address is in use; the process tries "
        "again for some seconds, and for a port of the metrics as long as it runs.",
        "If it persists: correct the settings, or find out what uses the port.",
        (ERROR,),
    ),
    Event(
        1201,
        "object API unreachable",
        "warning",
        "The object API doesn't respond. The current membership and configuration "
        "stay in force and can't change until it responds.",
        "Check the object API.",
    ),
    Event(
        1202,
        "object API reachable",
        "info",
        "The object API responds, for the first time or again.",
        NO_ACTION,
    ),
    Event(
        1203,
        "object not read",
        "warning",
        "A read of an object from the object API failed; the process retries it.",
        "If it persists: check the object API.",
        (KEY, ERROR),
        is_rate_limited=True,
    ),
    Event(
        1204,
        "list entry refused",
        "error",
        "An entry of the list of stored objects can't be read and is left out; all "
        "others are followed.",
        "Repair the object and find out which program wrote it.",
        (KEY, ERROR),
        is_rate_limited=True,
    ),
    Event(
        1301,
        "envelope dropped",
        "warning",
        "A datagram or frame on the peer port was dropped: its authentication tag is "
        "not valid, it is a replay, or it can't be decoded.",
        "If it persists: compare the keys in the settings; look for foreign senders.",
        (ERROR,),
        is_rate_limited=True,
    ),
    Event(
        1302,
        "event failed",
        "error",
        "An internal error occurred while an event was handled; the event was dropped.",
        "Report the error with the log line.",
        (Field("event"), ERROR, Field("where")),
        is_rate_limited=True,
    ),
    Event(
        1401,
        "view known",
        "info",
        "The process received a newer view of a service and uses it.",
        NO_ACTION,
        (SERVICE, Field("view", "integer"), Field("members", "integer")),
    ),
    Event(
        1402,
        "view active",
        "info",
        "The process is active as an owner in a view: the witnesses hold its flows.",
        NO_ACTION,
        (SERVICE, Field("view", "integer")),
    ),
    Event(
        1403,
        "configuration in force",
        "info",
        "A newer configuration is in force at the process.",
        NO_ACTION,
        (Field("config", "integer"),),
    ),
    Event(
        2101,
        "no view of the service",
        "warning",
        "A caller's datagram was dropped: the balancer has no view of the service's "
        "members.",
        "Check that side processes of the service run and can reach the object API.",
        (SERVICE,),
        is_rate_limited=True,
    ),
    Event(
        2102,
        "no live upstream",
        "warning",
        "A caller's datagram was dropped: every upstream of the service is "
        "leaving or down.",
        "Return an upstream to service, or find out why they are down.",
        (SERVICE,),
        is_rate_limited=True,
    ),
    Event(
        2103,
        "answer of a stranger",
        "warning",
        "An answer was dropped: its sender is not a member of the service.",
        "Look for a process that runs with the settings of another service.",
        (SERVICE, SENDER),
        is_rate_limited=True,
    ),
    Event(
        2104,
        "broken object",
        "error",
        "A stored object, or one of the members that it lists, doesn't match the "
        "schema. The previous value of the object stays in force; a single member is "
        "left out.",
        "Repair the object and find out which program wrote it.",
        (KEY, ERROR),
        is_rate_limited=True,
    ),
    Event(
        3101,
        "refused, not run",
        "info",
        "A request was rejected without running; the answer says when to retry.",
        "No action if rare; add upstreams if `busy` persists.",
        (*CALLER, Field("reason"), Field("held_ms", "integer")),
        is_rate_limited=True,
    ),
    Event(
        3102,
        "given up, outcome unknown",
        "warning",
        "A caller was informed that it is unknown whether its request ran: the "
        "deadline passed while an upstream had the request, the witness didn't "
        "respond, too many requests were in progress, or the records were lost.",
        "Check whether an upstream is slow or was lost.",
        CALLER,
        is_rate_limited=True,
    ),
    Event(
        3103,
        "request moved",
        "debug",
        "A request that had not started was moved to a less loaded upstream.",
        NO_ACTION,
        (*CALLER, Field("peer")),
    ),
    Event(
        3104,
        "owner lost, outcome unknown",
        "warning",
        "The side process that had recorded a request is gone; the caller was informed "
        "that the outcome is unknown.",
        "Find out why the side process ended.",
        CALLER,
        is_rate_limited=True,
    ),
    Event(
        3106,
        "caller lost",
        "info",
        "A caller stopped acknowledging notifications; its observation was closed.",
        NO_ACTION,
        CALLER,
        is_rate_limited=True,
    ),
    Event(
        3107,
        "request ended",
        "debug",
        "A request received its final answer.",
        NO_ACTION,
        (
            Field("outcome"),
            Field("tenant"),
            Field("wait_ms", "integer"),
            Field("latency_ms", "integer"),
        ),
    ),
    Event(
        3108,
        "request tried again",
        "debug",
        "A request that was shed, or an idempotent request whose outcome is unknown, "
        "is retried within the retry budget of its class.",
        "Check whether an upstream sheds load, doesn't respond or was lost.",
        (Field("reason"), Field("tenant")),
    ),
    Event(
        4101,
        "message of another service",
        "warning",
        "A message was dropped because it belongs to another service.",
        "Look for a reused address or wrong settings.",
        (SENDER, SERVICE),
        is_rate_limited=True,
    ),
    Event(
        4102,
        "broken object",
        "error",
        "A stored object, or one of the members that it lists, doesn't match the "
        "schema. The previous value of the object stays in force; a single member is "
        "left out.",
        "Repair the object and find out which program wrote it.",
        (KEY, ERROR),
        is_rate_limited=True,
    ),
    Event(
        4103,
        "no owner",
        "warning",
        "A datagram was dropped: no live member is available to own its flow.",
        "Return an upstream to service, or find out why they are down.",
        (FLOW,),
        is_rate_limited=True,
    ),
    Event(
        4104,
        "malformed datagram",
        "info",
        "A datagram from a caller, or one that a peer forwarded, is not a valid CoAP "
        "message.",
        NO_ACTION,
        (FLOW,),
        is_rate_limited=True,
    ),
    Event(
        4105,
        "too many requests",
        "warning",
        "A request was answered at once with a retry time: the limit of requests in "
        "progress is reached.",
        "Add upstreams, or look for a flood of requests.",
        (FLOW,),
        is_rate_limited=True,
    ),
    Event(
        4106,
        "no balancer",
        "warning",
        "An answer was dropped because no balancer is known; the caller retransmits "
        "its request.",
        "Check that balancers run and can reach the object API.",
        (FLOW,),
        is_rate_limited=True,
    ),
    Event(
        5101,
        "broken relay message",
        "warning",
        "A message about stored objects was dropped because it can't be decoded.",
        "Compare the versions of the programs; the next digest exchange recovers the "
        "lost update.",
        (SENDER, ERROR),
        is_rate_limited=True,
    ),
    Event(
        5102,
        "watch of the object API changed",
        "info",
        "This balancer started or stopped watching the object API for its zone.",
        NO_ACTION,
        (Field("state"),),
    ),
    Event(
        5103,
        "other parent",
        "info",
        "This process now receives views and configuration from another balancer.",
        "If it recurs: check whether the named balancer is overloaded or isolated.",
        (Field("parent"),),
    ),
    *FLOW_EVENTS,
)

CATALOGUE: dict[int, Event] = {event.number: event for event in EVENTS}
"""Events by number."""

REASON_FIELDS = ("reason", "outcome", "service")
"""Fields that break down the counts of an event; the first one present is used."""


def reason_of(fields: dict) -> str:
    """Return the reason, outcome or service among the fields, else an empty string.

    Examples
    --------
    >>> reason_of({"host": "10.0.0.1", "reason": "busy"})
    'busy'
    """
    for name in REASON_FIELDS:
        if name in fields:
            return str(fields[name])
    return ""
