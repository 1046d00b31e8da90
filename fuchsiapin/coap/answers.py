"""Final answers to callers, which are repeated if they are late.

An answer goes out at first on the acknowledgement of its request. If that datagram
is lost, the caller's next copy gets it again, but a caller sends only four copies. A
late answer may come after most of them, and a copy shows that an answer was lost.
Both are therefore repeated as separate responses [1]_ until the caller acknowledges
or resets one.

References
----------
.. [1] Z. Shelby, K. Hartke, C. Bormann, RFC 7252, 2014, section 5.2.2.
"""

from dataclasses import dataclass

from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.sideparts import SideParts
from fuchsiapin.ranking import flow_key

__all__ = ["Answers"]

MAX_REPEATED = 4_096
"""Bound on the answers that are repeated; callers get others by their copies only."""

MidKey = tuple[str, int, int]
"""Host and port of a caller, and the message ID of a separate response to it."""

BodyKey = tuple[str, int, bytes]
"""Host and port of a caller, and an answer to it without its header."""


@dataclass(frozen=True)
class RepeatedAnswer:
    """A separate response that the caller has not acknowledged."""

    host: str
    port: int
    mid: int
    datagram: bytes

    @property
    def mid_key(self) -> MidKey:
        """Key by which the caller's acknowledgement finds it."""
        return self.host, self.port, self.mid

    @property
    def body_key(self) -> BodyKey:
        """Key by which a second copy of the request finds it."""
        return self.host, self.port, coap.after_message_id(self.datagram)


class Answers:
    """Sends the final answers of one side process.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.

    Attributes
    ----------
    repeated : dict
        Unacknowledged separate responses by caller and message ID.
    bodies : set
        Body keys of these responses.
    """

    def __init__(self, core: SideParts) -> None:
        self.core = core
        self.repeated: dict[MidKey, RepeatedAnswer] = {}
        self.bodies: set[BodyKey] = set()

    def send(self, host: str, port: int, datagram: bytes, is_late: bool) -> None:
        """Send a final answer, and repeat it if it is late.

        Only answers to confirmable requests are repeated. The first answer to a
        registration isn't: the notifications that follow are repeated.

        Parameters
        ----------
        host, port : str, int
            Address of the caller.
        datagram : bytes
            The answer.
        is_late : bool
            Whether the caller has sent a copy, or had the time to.
        """
        self.core.send_to_caller(host, port, datagram)
        if not is_late or not coap.can_be_separate(datagram):
            return
        body_key = (host, port, coap.after_message_id(datagram))
        if body_key in self.bodies or len(self.repeated) >= MAX_REPEATED:
            return
        mid = self.core.observations.allocate_message_id()
        separate = coap.separate_response(datagram, mid)
        answer = RepeatedAnswer(host, port, mid, separate)
        self.repeated[answer.mid_key] = answer
        self.bodies.add(body_key)
        self.schedule(answer, 0)

    def schedule(self, answer: RepeatedAnswer, count: int) -> None:
        """Schedule a repetition, or the end of the repetitions."""
        due = self.core.now + (coap.ACK_TIMEOUT_MS << count)
        self.core.timers.add(due, lambda now: self.repeat(answer, count))

    def repeat(self, answer: RepeatedAnswer, count: int) -> None:
        """Send an answer again unless it was acknowledged, through another balancer.

        The balancer that the flow last used may have lost the answer.
        """
        if self.repeated.get(answer.mid_key) is not answer:
            return
        if count >= coap.MAX_RETRANSMIT:
            self.on_acknowledgement(answer.host, answer.port, answer.mid)
            return
        flow = flow_key(self.core.service, answer.host, answer.port)
        self.core.last_balancers.pop(flow, None)
        self.core.send_to_caller(answer.host, answer.port, answer.datagram)
        self.schedule(answer, count + 1)

    def on_acknowledgement(self, host: str, port: int, mid: int) -> None:
        """Stop repeating an answer that the caller acknowledged or reset, if any."""
        answer = self.repeated.pop((host, port, mid), None)
        if answer is not None:
            self.bodies.discard(answer.body_key)
