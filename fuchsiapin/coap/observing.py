"""Open observations and their notifications.

An observation of a board or a balance outlives its upstream: another side process
can take it over.

References
----------
.. [1] K. Hartke, "Observing Resources in CoAP", RFC 7641, 2015.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from aiocoap import Message

from fuchsiapin.coap.datagrams import (
    ACK_TIMEOUT_MS,
    MAX_RETRANSMIT,
    SEQUENCE_RANGE,
    notification,
    parse_datagram,
)
from fuchsiapin.messages import Observation
from fuchsiapin.timers import Timers

__all__ = [
    "ObservationKey",
    "Observations",
    "ServedObservation",
    "first_sequence",
    "next_sequence",
    "observation_key",
    "registration_request",
]

ObservationKey = tuple[str, int, bytes]
"""Host and port of the caller, and its token."""

NotificationKey = tuple[str, int, int]
"""Host and port of the caller, and the message ID of the notification."""

SEQUENCE_TICK_MS = 8
"""Milliseconds per sequence number of the clock; the numbers wrap after 37 hours."""

NONCONFIRMABLE_INTERVAL_MS = 3_000
"""Minimum time from the last message to a non-confirmable notification [1]_.

They are sent only while a confirmable notification is unacknowledged. Its
retransmissions ignore this interval.
"""

SendToCaller = Callable[[Observation, bytes], None]


def first_sequence(now: int) -> int:
    """Return the sequence number that corresponds to a time in ms.

    Examples
    --------
    >>> first_sequence(800)
    100
    """
    return (now // SEQUENCE_TICK_MS) % SEQUENCE_RANGE


def next_sequence(last: int, now: int) -> int:
    """Return a sequence number after `last` that a later owner will exceed.

    Sequence numbers follow the clock, so that a new owner whose copy holds an
    old number still sends a higher one. This requires that the owners' clocks
    agree and that an observation has on average no more than one notification
    per `SEQUENCE_TICK_MS`.

    Examples
    --------
    >>> next_sequence(5, 800)
    100
    >>> next_sequence(100, 800)
    101
    """
    timed = first_sequence(now)
    ahead = (timed - last) % SEQUENCE_RANGE
    if 0 < ahead < SEQUENCE_RANGE // 2:
        return timed
    return (last + 1) % SEQUENCE_RANGE


class ServedObservation:
    """An observation that this process serves.

    Parameters
    ----------
    observation : Observation
        The state that another side process needs to take it over.

    Attributes
    ----------
    upstream_token : bytes
        Token of the registration at the upstream, empty before there is one.
    pending : bytes
        Notification that the caller has not acknowledged, empty without one.
    mids : list of int
        Message IDs of the confirmable notifications sent since the last
        acknowledged one, oldest first; all but the last were replaced by a newer
        state.
    queued : Message or None
        Newest state, to be sent instead of the next retransmission or after the
        next acknowledgement.
    attempts : int
        Confirmable transmissions since the last acknowledgement.
    sent_at : int
        Time of the last message to the caller, in ms.
    transmission : int
        Counts transmissions; a timer of an earlier one does nothing.
    is_final : bool
        Whether the pending notification ends the observation.
    """

    def __init__(self, observation: Observation) -> None:
        self.observation = observation
        self.upstream_token = b""
        self.pending = b""
        self.mids: list[int] = []
        self.queued: Message | None = None
        self.attempts = 0
        self.sent_at = 0
        self.transmission = 0
        self.is_final = False


class Observations:
    """Observations that this process serves, and copies of those that others serve.

    Parameters
    ----------
    timers : Timers
        Timers of the core.
    send : callable
        Sends a datagram to the caller of an observation.
    on_caller_lost : callable
        Called with the time and the key when a caller has acknowledged none of
        the retransmissions.
    initial_mid : int
        Message IDs start after this one; drawn at random, so that two owners of a
        flow rarely use the same one.

    Attributes
    ----------
    by_key : dict
        All observations held here, served or not, by key.
    served : dict
        Observations that this process serves, by key.
    by_token, by_mid : dict
        Keys of served observations by the token at the upstream and by the
        message ID of an unacknowledged confirmable notification.
    last_mid : int
        Message ID that was used last.
    """

    def __init__(
        self,
        timers: Timers,
        send: SendToCaller,
        on_caller_lost: Callable[[int, ObservationKey], None],
        initial_mid: int = 0,
    ) -> None:
        self.timers = timers
        self.send = send
        self.on_caller_lost = on_caller_lost
        self.by_key: dict[ObservationKey, Observation] = {}
        self.served: dict[ObservationKey, ServedObservation] = {}
        self.by_token: dict[bytes, ObservationKey] = {}
        self.by_mid: dict[NotificationKey, ObservationKey] = {}
        self.last_mid = initial_mid

    def all(self) -> Iterable[Observation]:
        """Return all observations held here, in their newest state."""
        for key, observation in self.by_key.items():
            served = self.served.get(key)
            yield served.observation if served else observation

    def keep(self, observation: Observation) -> None:
        """Store an observation as its witness, or to take it over.

        An observation served here is not replaced.
        """
        key = observation_key(observation)
        known = self.by_key.get(key)
        if known is None or key not in self.served:
            self.by_key[key] = observation

    def drop(self, key: ObservationKey) -> ServedObservation | None:
        """Delete an observation; return it if it was served here."""
        self.by_key.pop(key, None)
        return self.stop_serving(key)

    def stop_serving(self, key: ObservationKey) -> ServedObservation | None:
        """Stop serving an observation; return it if it was served."""
        served = self.served.pop(key, None)
        if served is not None:
            self.by_token.pop(served.upstream_token, None)
            self.remove_mids(key, served, len(served.mids))
        return served

    def remove_mids(
        self, key: ObservationKey, served: ServedObservation, count: int
    ) -> None:
        """Remove the oldest message IDs of an observation from the index.

        An ID that another observation has reused in the meantime stays.
        """
        for mid in served.mids[:count]:
            index_key = (key[0], key[1], mid)
            if self.by_mid.get(index_key) == key:
                del self.by_mid[index_key]
        del served.mids[:count]

    def serve(self, observation: Observation) -> ServedObservation:
        """Start serving an observation."""
        key = observation_key(observation)
        served = ServedObservation(observation)
        self.served[key] = served
        self.by_key[key] = observation
        return served

    def bind(self, key: ObservationKey, token: bytes) -> None:
        """Set the token that the upstream's notifications bear."""
        self.served[key].upstream_token = token
        self.by_token[token] = key

    def release(self, key: ObservationKey) -> ServedObservation | None:
        """Stop serving an observation, but keep it; its flow has a new owner."""
        served = self.stop_serving(key)
        if served is not None:
            self.by_key[key] = served.observation
        return served

    def advance(self, key: ObservationKey, now: int) -> int:
        """Reserve and return the sequence number of the next notification."""
        served = self.served[key]
        sequence = next_sequence(served.observation.sequence, now)
        served.observation = replace(served.observation, sequence=sequence)
        self.by_key[key] = served.observation
        return sequence

    def allocate_message_id(self) -> int:
        """Return the next message ID of a message that callers acknowledge."""
        self.last_mid = (self.last_mid + 1) % (1 << 16)
        return self.last_mid

    def notify(self, now: int, key: ObservationKey, answer: Message) -> None:
        """Send a new state, or queue it while a notification is unacknowledged."""
        served = self.served[key]
        served.queued = answer
        if not served.pending:
            served.attempts = 0
            self.transmit(now, key, served)
        elif now - served.sent_at >= NONCONFIRMABLE_INTERVAL_MS:
            self.send_nonconfirmable(now, key, served, answer)

    def send_nonconfirmable(
        self, now: int, key: ObservationKey, served: ServedObservation, answer: Message
    ) -> None:
        """Send the queued state once as a non-confirmable notification.

        Keeps the caller up to date where only acknowledgements are lost. The
        state stays queued, and the retransmissions go on unchanged. The message ID
        is not in `by_mid`, so that a reset of this message is ignored.
        """
        sequence = self.sequence_for(now, key, answer)
        mid = self.allocate_message_id()
        token = served.observation.token
        datagram = notification(answer, token, mid, sequence, False)
        served.sent_at = now
        self.send(served.observation, datagram)

    def sequence_for(
        self, now: int, key: ObservationKey, answer: Message
    ) -> int | None:
        """Return the sequence number of a state, None if it ends the observation."""
        is_open = answer.code.is_successful() and answer.opt.observe is not None
        return self.advance(key, now) if is_open else None

    def transmit(
        self, now: int, key: ObservationKey, served: ServedObservation
    ) -> None:
        """Send the newest state and schedule its retransmission.

        A newer state replaces the notification to be retransmitted and inherits
        its retransmission count and timeout [1]_.
        """
        if served.queued is not None:
            self.promote_queued(now, key, served, served.queued)
        served.sent_at = now
        self.send(served.observation, served.pending)
        due = now + (ACK_TIMEOUT_MS << served.attempts)
        served.attempts += 1
        served.transmission += 1
        transmission = served.transmission
        self.timers.add(
            due, lambda later: self.retransmit(later, key, served, transmission)
        )

    def promote_queued(
        self, now: int, key: ObservationKey, served: ServedObservation, answer: Message
    ) -> None:
        """Encode the queued state as the pending notification."""
        sequence = self.sequence_for(now, key, answer)
        served.mids.append(self.allocate_message_id())
        self.by_mid[(key[0], key[1], self.last_mid)] = key
        served.pending = notification(
            answer, served.observation.token, self.last_mid, sequence
        )
        served.queued = None
        served.is_final = sequence is None

    def retransmit(
        self,
        now: int,
        key: ObservationKey,
        served: ServedObservation,
        transmission: int,
    ) -> None:
        """Retransmit the pending notification, or give up on the caller."""
        if self.served.get(key) is not served or served.transmission != transmission:
            return
        if not served.pending:
            return
        if served.attempts > MAX_RETRANSMIT:
            self.on_caller_lost(now, key)
        else:
            self.transmit(now, key, served)

    def find(self, host: str, port: int, mid: int) -> ObservationKey | None:
        """Return the key of the observation with a message ID, None if unknown."""
        return self.by_mid.get((host, port, mid))

    def acknowledge(self, now: int, key: ObservationKey, mid: int) -> bool:
        """Handle an acknowledgement; return whether the observation has ended.

        An acknowledgement of a notification that a newer state has replaced only
        shows that the caller is alive: the newer one is still retransmitted.
        """
        served = self.served[key]
        self.remove_mids(key, served, served.mids.index(mid) + 1)
        served.attempts = 0
        if served.mids:
            return False
        served.pending = b""
        if served.queued is not None:
            self.transmit(now, key, served)
            return False
        return served.is_final


def observation_key(observation: Observation) -> ObservationKey:
    """Return the key of an observation."""
    return observation.host, observation.port, observation.token


def registration_request(observation: Observation) -> Message:
    """Parse the request that registered an observation."""
    return parse_datagram(observation.request)
