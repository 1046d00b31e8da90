"""State of one request at a side process."""

from enum import Enum

from aiocoap import Message

__all__ = ["Request", "Stage"]


class Stage(Enum):
    """Progress of a request."""

    WAITING = "waiting"
    """Received, but not yet sent to any upstream."""
    ASKING = "asking"
    """Up to two peers were asked for their backlog."""
    HANDED = "handed"
    """Handed off to a peer, which may run it."""
    RUNNING = "running"
    """Sent to this process's upstream."""


class Request:
    """A caller's request and the state of its processing.

    Parameters
    ----------
    key : bytes
        Digest of flow and datagram, which identifies retransmissions.
    flow : bytes
        Flow key.
    host, port : str, int
        Address of the caller.
    message : Message
        The parsed datagram.
    datagram : bytes
        The datagram.
    deadline : int
        When the final answer is due, ms since the epoch.
    origin : str
        Name of the peer that handed it off; empty if this process owns the flow.

    Attributes
    ----------
    recorded_view : int
        View in which the witness stored its record, 0 for none.
    refusal_reason : str
        Reason of the refusal; empty if it is not refused.
    refused_at : int
        Time of the refusal, ms since the epoch.
    move_attempts : int
        Nonzero once peers were queried about it or a block was handed off. Peers
        are queried only while it is 0; a retry resets it.
    handed_to : str
        Name of the peer that it was handed off to last.
    token : bytes
        CoAP token of the request to the upstream.
    may_have_run : bool
        Whether an earlier attempt may have run it.
    offers : dict
        Answers of peers: the wait in ms there, or 0 for a free slot, by name.
    received_at, started_at : int
        When it was received and when it was sent to an upstream or a peer, ms since
        the epoch; 0 if that has not happened.
    blocked_since : int
        Time at which it was first found blocked in the newest view, ms since the
        epoch; 0 if it may run.
    tenant : str
        Class of the caller; empty if callers have none.
    """

    def __init__(
        self,
        key: bytes,
        flow: bytes,
        host: str,
        port: int,
        message: Message,
        datagram: bytes,
        deadline: int,
        origin: str = "",
    ) -> None:
        self.key = key
        self.flow = flow
        self.host = host
        self.port = port
        self.message = message
        self.datagram = datagram
        self.deadline = deadline
        self.origin = origin
        self.stage = Stage.WAITING
        self.recorded_view = 0
        self.refusal_reason = ""
        self.refused_at = 0
        self.move_attempts = 0
        self.handed_to = ""
        self.token = b""
        self.may_have_run = False
        self.offers: dict[str, int] = {}
        self.received_at = 0
        self.started_at = 0
        self.blocked_since = 0
        self.tenant = ""

    @property
    def has_started(self) -> bool:
        """Whether an upstream may have begun to run it."""
        return self.stage in (Stage.HANDED, Stage.RUNNING)
