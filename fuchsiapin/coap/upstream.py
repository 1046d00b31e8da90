"""CoAP exchanges between a side process and its own upstream."""

import random
from collections.abc import Callable

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from fuchsiapin.coap.datagrams import (
    acknowledgement,
    parse_datagram,
    ping,
    request_for_upstream,
    reset,
)
from fuchsiapin.exceptions import MalformedDatagram
from fuchsiapin.messages import SendUpstream
from fuchsiapin.timers import Timers

__all__ = ["UpstreamLink"]

RETRANSMIT_TIMEOUT_MS = 1_000
"""Time to the first retransmission of an idempotent request to the upstream."""
MAX_RETRANSMIT = 4
"""Most retransmissions of a request to the upstream."""
PING_INTERVAL_MS = 1_000
"""Interval of the pings, by which an idle upstream shows that it is up."""
SILENCE_LIMIT_MS = 4_000
"""An upstream that has sent nothing for this time counts as down."""
MID_RANGE = 1 << 16

OnAnswer = Callable[[int, Message], None]


class Exchange:
    """A request to the upstream, or an observation registered there.

    Attributes
    ----------
    token : bytes
        Token by which answers are matched to it.
    mid : int
        Its message ID.
    data : bytes
        Its datagram, for retransmissions.
    on_answer : callable
        Called with the time and each answer.
    is_acknowledged : bool
        Whether the upstream has acknowledged or answered it.
    stays_open : bool
        Whether further answers may follow one that has an Observe option.
    """

    def __init__(
        self, token: bytes, mid: int, data: bytes, on_answer: OnAnswer
    ) -> None:
        self.token = token
        self.mid = mid
        self.data = data
        self.on_answer = on_answer
        self.is_acknowledged = False
        self.stays_open = False


class UpstreamLink:
    """Sends requests to the upstream and matches its answers to them by token.

    Parameters
    ----------
    timers : Timers
        Timers of the core.
    effects : list
        Effects of the core.
    on_recovery : callable
        Called with the time when the upstream answers again after a missed
        ping: it may have restarted and lost its observers.
    rng : random.Random
        Draws the first message ID and the prefix of all tokens. An upstream can
        outlive its side process, and its late answers to the previous process
        must not match a request of the new one.

    Attributes
    ----------
    last_mid : int
        Message ID that was used last.
    pinged_at : int
        Time of the first ping since the upstream last sent something, in ms.
    """

    def __init__(
        self,
        timers: Timers,
        effects: list,
        on_recovery: Callable[[int], None],
        rng: random.Random,
    ) -> None:
        self.timers = timers
        self.effects = effects
        self.exchanges: dict[bytes, Exchange] = {}
        self.mids: dict[int, Exchange] = {}
        self.last_mid = rng.randrange(MID_RANGE)
        self.token_prefix = rng.randbytes(4)
        self.next_token = 1
        self.retransmissions = 0
        self.last_received_at = 0
        self.pinged_at = 0
        self.on_recovery = on_recovery

    def start(self, now: int) -> None:
        """Start pinging the upstream."""
        self.last_received_at = now
        self.ping(now)

    def ping(self, now: int) -> None:
        """Ping the upstream and schedule the next ping."""
        self.effects.append(SendUpstream(ping(self.allocate_message_id())))
        if not self.has_unanswered_ping:
            self.pinged_at = now
        self.timers.add(now + PING_INTERVAL_MS, self.ping)

    @property
    def has_unanswered_ping(self) -> bool:
        """Whether a ping is unanswered so far."""
        return self.pinged_at > self.last_received_at

    def is_down(self, now: int) -> bool:
        """Return whether the upstream has sent nothing for `SILENCE_LIMIT_MS`."""
        return now - self.last_received_at > SILENCE_LIMIT_MS

    def allocate_message_id(self) -> int:
        """Return the next message ID, the least recently used one."""
        self.last_mid = (self.last_mid + 1) % MID_RANGE
        return self.last_mid

    def request(
        self,
        now: int,
        message: Message,
        tag: bytes,
        on_answer: OnAnswer,
        may_retransmit: bool,
        stays_open: bool = False,
    ) -> bytes:
        """Send a request; return its token.

        Parameters
        ----------
        now : int
            Time in ms.
        message : Message
            Request of a caller.
        tag : bytes
            Request-Tag that keeps the transfers of two callers apart.
        on_answer : callable
            Called with the time and each answer.
        may_retransmit : bool
            Set it only for a request that may run twice: an upstream that restarts
            loses the message IDs by which it detects retransmissions.
        stays_open : bool
            Whether it registers an observation, which may have several answers.
        """
        token = self.token_prefix + self.next_token.to_bytes(4, "big")
        self.next_token += 1
        mid = self.allocate_message_id()
        data = request_for_upstream(message, mid, token, True, tag)
        exchange = Exchange(token, mid, data, on_answer)
        exchange.stays_open = stays_open
        self.exchanges[token] = exchange
        self.mids[mid] = exchange
        self.effects.append(SendUpstream(data))
        if may_retransmit:
            self.schedule_retransmission(now, exchange, 0)
        return token

    def cancel(self, now: int, message: Message, token: bytes, tag: bytes) -> None:
        """Cancel an observation that was registered under a token.

        `message` is the registration with its Observe option set to 1.
        """
        self.discard_exchange(token)
        mid = self.allocate_message_id()
        data = request_for_upstream(message, mid, token, True, tag)
        self.effects.append(SendUpstream(data))

    def schedule_retransmission(self, now: int, exchange: Exchange, count: int) -> None:
        """Schedule a retransmission.

        It is skipped if the exchange has been acknowledged or discarded by then.
        """

        def retransmit(later: int) -> None:
            if exchange.is_acknowledged or exchange.token not in self.exchanges:
                return
            self.retransmissions += 1
            self.effects.append(SendUpstream(exchange.data))
            if count + 1 < MAX_RETRANSMIT:
                self.schedule_retransmission(later, exchange, count + 1)

        self.timers.add(now + (RETRANSMIT_TIMEOUT_MS << count), retransmit)

    def discard_exchange(self, token: bytes) -> None:
        """Stop waiting for answers with a token."""
        exchange = self.exchanges.pop(token, None)
        if exchange is not None:
            self.mids.pop(exchange.mid, None)

    def receive(self, now: int, data: bytes) -> bool:
        """Handle a datagram of the upstream.

        Returns
        -------
        bool
            False if it is malformed or its token belongs to no exchange.
        """
        try:
            message = parse_datagram(data)
        except MalformedDatagram:
            return False
        # A ping was missed only if the first unanswered one is an interval old or more.
        was_unanswered = (
            self.has_unanswered_ping and now - self.pinged_at >= PING_INTERVAL_MS
        )
        self.last_received_at = now
        if was_unanswered:
            self.on_recovery(now)
        if message.mtype in (Type.ACK, Type.RST):
            self.mark_acknowledged(message)
        if message.code is Code.EMPTY:
            return True
        if self.is_orphaned_notification(message):
            self.effects.append(SendUpstream(reset(message.mid)))
        elif message.mtype is Type.CON:
            self.effects.append(SendUpstream(acknowledgement(message.mid)))
        return self.answer(now, message)

    def is_orphaned_notification(self, message: Message) -> bool:
        """Return whether a notification belongs to no observation of this process.

        Either the caller's observation has been closed here in the meantime, or
        the previous side process registered it. A reset ends it at the upstream.
        """
        is_notification = message.mtype is not Type.ACK and (
            message.opt.observe is not None
        )
        return is_notification and message.token not in self.exchanges

    def mark_acknowledged(self, message: Message) -> None:
        """Mark the request that the upstream has acknowledged."""
        exchange = self.mids.pop(message.mid, None)
        if exchange is not None:
            exchange.is_acknowledged = True

    def answer(self, now: int, message: Message) -> bool:
        """Pass an answer to the callback of its exchange, if there is one."""
        exchange = self.exchanges.get(message.token)
        if exchange is None:
            return False
        exchange.is_acknowledged = True
        if not exchange.stays_open or message.opt.observe is None:
            self.discard_exchange(exchange.token)
        exchange.on_answer(now, message)
        return True
