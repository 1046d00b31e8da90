"""Forged, malformed, replayed and misdirected input is dropped and counted.

No such input crashes a process or stops its service.
"""

import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport

from fuchsiapin import codec, messages
from fuchsiapin.clock import ManualClock
from fuchsiapin.coap.datagrams import parse_datagram
from fuchsiapin.coap.envelope import (
    GREETING_BYTES,
    MAX_CLOCK_DIFFERENCE_MS,
    EnvelopeDecoder,
    EnvelopeEncoder,
)
from fuchsiapin.daemons.transport import (
    GREETING_TIMEOUT_S,
    MAX_FRAME_BYTES,
    MAX_UNAUTHENTICATED,
    PeerServer,
    PeerTransport,
)
from fuchsiapin.exceptions import MalformedDatagram, MalformedEnvelope
from measure.world import World
from measure.worldparts import WorldOptions

KEY, NEW_KEY = b"k" * 16, b"n" * 16
HEARTBEAT = messages.BalancerHeartbeat("bole", 1, 0)
FUZZ = settings(max_examples=150, derandomize=True, deadline=None, database=None)
values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text()
    | st.binary(max_size=64) | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=9) | st.dictionaries(st.text(), inner),
    max_leaves=30,
)  # fmt: skip


def make_world() -> World:
    """Return a small settled world."""
    world = World(1, WorldOptions(sides=3))
    world.run(3_000)
    return world


class EnvelopeTest(unittest.TestCase):
    """Authenticated envelopes: which are accepted and which are refused."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000_000)
        self.encoder = EnvelopeEncoder("balancer-1", 7, KEY, self.clock)
        self.decoder = EnvelopeDecoder([KEY], self.clock)

    def test_intact_envelope_opens_once(self) -> None:
        envelope = self.encoder.encode(HEARTBEAT)
        self.assertEqual(self.decoder.decode(envelope), ("balancer-1", 7, HEARTBEAT))
        self.assertRaises(MalformedEnvelope, self.decoder.decode, envelope)

    def test_every_changed_byte_and_length_is_refused(self) -> None:
        envelope = self.encoder.encode(HEARTBEAT)
        for index in range(len(envelope)):
            forged = bytearray(envelope)
            forged[index] ^= 1
            self.assertRaises(MalformedEnvelope, self.decoder.decode, bytes(forged))
            self.assertRaises(MalformedEnvelope, self.decoder.decode, envelope[:index])
        self.assertRaises(MalformedEnvelope, self.decoder.decode, envelope + b"\0")

    def test_both_keys_open_during_a_key_rotation(self) -> None:
        both = EnvelopeDecoder([NEW_KEY, KEY], self.clock)
        newer = EnvelopeEncoder("balancer-2", 7, NEW_KEY, self.clock)
        for encoder in (self.encoder, newer):
            self.assertEqual(both.decode(encoder.encode(HEARTBEAT))[2], HEARTBEAT)
        with self.assertRaises(MalformedEnvelope):
            self.decoder.decode(newer.encode(HEARTBEAT))

    def test_replay_to_a_restarted_process_is_refused_after_the_maximum_age(
        self,
    ) -> None:
        old = [self.encoder.encode(HEARTBEAT) for _ in range(3)]
        self.clock.advance(MAX_CLOCK_DIFFERENCE_MS + 1)
        for envelope in old:
            with self.assertRaises(MalformedEnvelope):
                EnvelopeDecoder([KEY], self.clock).decode(envelope)

    def test_replay_window_accepts_reordered_envelopes_exactly_once(self) -> None:
        sent = [self.encoder.encode(HEARTBEAT) for _ in range(1_000)]
        random.Random(1).shuffle(sent)
        for envelope in sent:
            self.decoder.decode(envelope)
        for envelope in sent:
            self.assertRaises(MalformedEnvelope, self.decoder.decode, envelope)

    @FUZZ
    @given(st.binary(max_size=300), st.lists(values, max_size=14), st.integers(-3, 40))
    def test_any_message_body_is_unpacked_or_refused(
        self, data: bytes, fields: list[Any], number: int
    ) -> None:
        packed = codec.msgpack.packb(["side-1", 1, 1, number, *fields])
        for body in (data, packed):
            try:
                message = codec.unpack_message(body)[3]
            except MalformedEnvelope:
                continue
            kind = type(message)
            codec.check_values(kind, codec.msgpack.unpackb(
                codec.msgpack.packb(codec.as_values(message), default=codec.as_values)
            ))  # fmt: skip


class StreamTest(unittest.TestCase):
    """Unauthenticated streams are bounded in number, size and time."""

    def setUp(self) -> None:
        clock = ManualClock(1_000_000)
        self.encoder = EnvelopeEncoder("side-1", 7, KEY, clock)
        self.received: list[Any] = []
        self.dropped: list[str] = []
        self.owner = PeerTransport(
            MemoryReactorClock(),
            self.encoder,
            EnvelopeDecoder([KEY], clock),
            lambda sender, incarnation, message: self.received.append(message),
            lambda error: self.dropped.append(str(error)),
            lambda kind, size: None,
        )
        self.server = PeerServer(self.owner)
        self.time = Clock()

    def connect(self) -> Any:
        """Open a stream."""
        stream = self.server.buildProtocol(None)
        stream.callLater = self.time.callLater
        stream.makeConnection(StringTransport())
        return stream

    def frame(self, data: bytes) -> bytes:
        """Return a frame with its length."""
        return len(data).to_bytes(4, "big") + data

    def test_greeted_stream_takes_envelopes(self) -> None:
        stream = self.connect()
        stream.dataReceived(self.frame(self.encoder.make_greeting()))
        stream.dataReceived(self.frame(self.encoder.encode(HEARTBEAT)))
        self.assertEqual(self.received, [HEARTBEAT])
        self.assertEqual(self.server.unauthenticated, 0)

    def test_unauthenticated_stream_is_closed_by_size_key_and_time(self) -> None:
        oversized, forger, silent = (self.connect() for _ in range(3))
        oversized.dataReceived((GREETING_BYTES + 1).to_bytes(4, "big") + b"x")
        forger.dataReceived(self.frame(bytes(GREETING_BYTES)))
        for stream in (oversized, forger):
            stream.connectionLost()
        self.time.advance(GREETING_TIMEOUT_S + 1)
        for stream in (oversized, forger, silent):
            self.assertTrue(stream.transport.disconnected)
        self.assertEqual(len(self.dropped), 3)
        self.assertEqual(self.received, [])

    def test_unauthenticated_streams_are_bounded_and_their_slots_are_freed(
        self,
    ) -> None:
        streams = [self.connect() for _ in range(MAX_UNAUTHENTICATED + 3)]
        closed = [s for s in streams if s.transport.disconnected]
        self.assertEqual(len(closed), 3)
        for stream in streams:
            stream.connectionLost()
        self.assertEqual(
            (self.server.unauthenticated, len(self.server.streams)), (0, 0)
        )

    def test_oversized_frame_closes_the_stream_after_the_greeting_too(self) -> None:
        stream = self.connect()
        stream.dataReceived(self.frame(self.encoder.make_greeting()))
        stream.dataReceived((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        self.assertTrue(stream.transport.disconnected)


class CoreTest(unittest.TestCase):
    """No input makes a core or the CoAP parser raise, and the cores keep serving."""

    @FUZZ
    @given(st.binary(max_size=200))
    def test_any_datagram_parses_or_is_malformed(self, data: bytes) -> None:
        try:
            parse_datagram(data)
        except MalformedDatagram:
            return

    def feed_all(self, world: World, events: list[Any]) -> None:
        """Feed events to a side process and a balancer; check that both serve."""
        for name in ("swapdesk-1", "balancer-1"):
            for event in events:
                world.feed(world.nodes[name], event)
        world.run(1_000)
        caller = world.add_caller()
        caller.post("claims", "claim-1")
        world.run(10_000)
        self.assertEqual(world.tally.done, 1)

    def test_malformed_misdirected_and_oversized_datagrams_do_not_stop_the_service(
        self,
    ) -> None:
        rng = random.Random(1)
        heads = [b"", b"\x40", b"\x4f\x01\0\0", b"\x60\0\0\0", b"\x41\x02\0\0", b"\x44"]
        bodies = [h + rng.randbytes(n) for h in heads for n in (0, 3, 40, 60_000)]
        world = make_world()
        view = world.nodes["swapdesk-1"].core.ownership.view
        events: list[Any] = []
        for body in bodies:
            events.append(messages.CallerDatagram("swapdesk", "10.9.0.1", 4000, body))
            events.append(messages.CallerDatagram("ledger", "10.9.0.1", 4000, body))
            events.append(messages.UpstreamDatagram(body))
            for service in ("swapdesk", "ledger"):
                for number in (0, view, view + 9):
                    forward = messages.Forward(
                        service, "10.9.0.1", 4000, "balancer-9", number, 0, body
                    )
                    events.append(messages.PeerMessage("balancer-9", 1, forward))
        self.feed_all(world, events)

    def test_handoff_without_a_coap_message_does_not_stop_the_service(self) -> None:
        world = make_world()
        view = world.nodes["swapdesk-1"].core.ownership.view
        incarnation = world.nodes["swapdesk-1"].core.ownership.incarnation
        handoff = messages.Handoff(
            "swapdesk", view, incarnation, b"k", "10.9.0.1", 4000, 9_000, b"\xff"
        )
        result = messages.HandoffResult("swapdesk", b"k", "done", b"\xff")
        self.feed_all(
            world,
            [messages.PeerMessage("swapdesk-2", 1, m) for m in (handoff, result)],
        )

    def test_broken_stored_objects_do_not_stop_the_service(self) -> None:
        bodies = [
            b"",
            b"{",
            b"[]",
            b"null",
            b"7",
            b'{"view": 3}',
            b"\xff",
            b"[" * 9_999,
        ]
        keys = ["members/swapdesk", "balancers/bole", "config/x", "nothing", ""]
        events: list[Any] = [
            messages.ObjectSeen(key, 10**9, body) for key in keys for body in bodies
        ]
        events += [
            messages.PeerMessage("swapdesk-2", 1, messages.ObjectCopy(key, 10**9, body))
            for key in keys
            for body in bodies
        ]
        self.feed_all(make_world(), events)
