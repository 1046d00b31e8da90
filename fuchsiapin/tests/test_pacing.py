"""Uploads over a narrow link, beside packets of other callers: what callers get."""

import heapq
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiapin.flows.pacing import BULK_SHARE, MAX_QUEUE_MS, LinkPacer
from fuchsiapin.tests.flowactors import DATA_BYTES
from fuchsiapin.tests.flowworld import open_flow, settled_world

LINK_BYTES_PER_MS = 625
LINK_QUEUE_MS = 45
"""Time of traffic that the link holds; it drops what comes beyond that."""
PACKET_BYTES = 1_310
"""Size of a packet of an upload as it is forwarded, with headers."""
SMALL_BYTES = 100
UPLOAD_PACKETS = 66
WINDOW = 16
ROUND_TRIP_MS = 8
RETRANSMIT_MS = 200
UPLOADS_PER_S = 2.5
SMALL_PER_S = 100
RUN_MS = 60_000
TARGET_MS = 1_000
"""Target latency of an upload."""


@dataclass
class Upload:
    """One caller's upload: what it sent when, and what is acknowledged."""

    flow: bytes
    began_at: int
    sent: int = 0
    retransmit_ms: dict[int, int] = field(default_factory=dict)
    done_at: int | None = None


class NarrowLink:
    """A balancer, and the queue of the link over which it forwards packets."""

    def __init__(self, pacer: LinkPacer | None, seed: int) -> None:
        self.rng, self.pacer = random.Random(seed), pacer
        self.calls: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = 0
        self.free_at = 0.0
        self.lost_small = self.small = 0
        self.uploads: list[Upload] = []
        self.flush_at: float | None = None
        for per_s, start in ((UPLOADS_PER_S, self.begin), (SMALL_PER_S, self.ask)):
            at = 0.0
            while (at := at + self.rng.expovariate(per_s / 1_000)) < RUN_MS:
                self.at(at, start)

    def at(self, when: float, call: Callable[[float], None]) -> None:
        """Schedule a call."""
        self.count += 1
        heapq.heappush(self.calls, (when, self.count, call))

    def run(self) -> None:
        """Play all callers to their end."""
        while self.calls:
            when, _, call = heapq.heappop(self.calls)
            if when > RUN_MS + 10_000:
                return
            call(when)

    def cross(self, now: float, size: int, then: Callable[[float], None]) -> bool:
        """Send a packet over the link; return whether it wasn't dropped."""
        free_at = max(self.free_at, now)
        if free_at - now > LINK_QUEUE_MS:
            return False
        self.free_at = free_at + size / LINK_BYTES_PER_MS
        self.at(self.free_at, then)
        return True

    def ask(self, now: float) -> None:
        """Let one of the other callers send a packet."""
        self.small += 1
        self.lost_small += not self.cross(now, SMALL_BYTES, lambda later: None)

    def begin(self, now: float) -> None:
        """Let a caller begin an upload."""
        upload = Upload(self.count.to_bytes(8, "big"), int(now))
        self.uploads.append(upload)
        for _ in range(WINDOW):
            self.send_next(now, upload)

    def send_next(self, now: float, upload: Upload) -> None:
        """Send the next packet of an upload."""
        if upload.sent < UPLOAD_PACKETS:
            upload.sent += 1
            upload.retransmit_ms[upload.sent] = RETRANSMIT_MS
            self.send(now, upload, upload.sent)

    def send(self, now: float, upload: Upload, number: int) -> None:
        """Send a packet, and again while it isn't acknowledged."""
        pause = upload.retransmit_ms.get(number)
        if pause is None:
            return
        upload.retransmit_ms[number] = min(2 * pause, 1_600)
        self.at(now + pause, lambda later: self.send(later, upload, number))
        self.arrive(now, upload, number)

    def arrive(self, now: float, upload: Upload, number: int) -> None:
        """Forward a packet that the balancer received."""
        when = int(now)
        if self.pacer is None or self.pacer.admits(
            when, upload.flow, True, PACKET_BYTES
        ):
            self.forward(now, upload, number)
        elif self.pacer.put(when, upload.flow, number, PACKET_BYTES, (upload, number)):
            self.schedule_flush(now)

    def schedule_flush(self, now: float) -> None:
        """Schedule the next time at which a waiting packet may be sent."""
        due = self.pacer.next_due()
        if due is not None and self.flush_at is None:
            self.flush_at = max(float(due), now)
            self.at(self.flush_at, self.flush)

    def flush(self, now: float) -> None:
        """Forward what waited."""
        self.flush_at = None
        for upload, number in self.pacer.take(int(now)):
            self.forward(now, upload, number)
        self.schedule_flush(now)

    def forward(self, now: float, upload: Upload, number: int) -> None:
        """Send a packet of an upload to its upstream, which acknowledges it."""

        def acknowledge(later: float) -> None:
            if upload.retransmit_ms.pop(number, None) is None:
                return
            self.send_next(later, upload)
            if not upload.retransmit_ms and upload.sent == UPLOAD_PACKETS:
                upload.done_at = int(later)

        self.cross(
            now,
            PACKET_BYTES,
            lambda later: self.at(later + ROUND_TRIP_MS, acknowledge),
        )

    @property
    def in_target(self) -> float:
        """Return the share of uploads that took no longer than the target."""
        times = [u.done_at - u.began_at for u in self.uploads if u.done_at is not None]
        return sum(time <= TARGET_MS for time in times) / len(self.uploads)


def play(is_paced: bool, seed: int) -> NarrowLink:
    """Return a link after all callers came."""
    pacer = LinkPacer(LINK_BYTES_PER_MS * BULK_SHARE) if is_paced else None
    link = NarrowLink(pacer, seed)
    link.run()
    return link


class NarrowLinkTest(unittest.TestCase):
    """Uploads use a third of a link, in bursts that its queue can't hold."""

    def test_uploads_cost_other_callers_no_packets(self) -> None:
        """Those packets would come 200 ms or more later, with a retransmission."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                paced, former = play(True, seed), play(False, seed)
                self.assertEqual(paced.lost_small, 0)
                self.assertGreater(former.lost_small, 0.01 * former.small)
                self.assertGreaterEqual(paced.in_target, former.in_target)


class LinkPacerTest(unittest.TestCase):
    """Which packets wait, in which order, and for how long."""

    def setUp(self) -> None:
        self.pacer = LinkPacer(100)
        while self.pacer.admits(1_000, b"upload", True, 1_000):
            pass
        self.pacer.put(1_000, b"upload", 1, 1_000, "first")

    def test_other_flows_go_ahead(self) -> None:
        self.assertTrue(self.pacer.admits(1_000, b"other", False, 100))

    def test_a_flow_keeps_its_order(self) -> None:
        """A request whose last packet came first would wait for retransmissions."""
        self.assertFalse(self.pacer.admits(1_000, b"upload", False, 100))
        self.pacer.put(1_000, b"upload", 2, 100, "last")
        self.assertEqual(self.pacer.take(1_100), ["first", "last"])
        self.assertTrue(self.pacer.admits(1_100, b"upload", False, 100))

    def test_a_retransmission_of_a_waiting_packet_is_dropped(self) -> None:
        """Retransmissions would fill the link that made them necessary."""
        self.assertFalse(self.pacer.put(1_200, b"upload", 1, 1_000, "again"))
        self.assertEqual(self.pacer.take(5_000), ["first"])

    def test_data_are_no_retransmission_of_an_acknowledgement_before_them(self) -> None:
        """Both have the same sequence number."""
        self.assertTrue(self.pacer.put(1_000, b"upload", 2, 36, "acknowledgement"))
        self.assertTrue(self.pacer.put(1_000, b"upload", 2, 1_000, "data"))
        taken = [*self.pacer.take(1_050), *self.pacer.take(1_100)]
        self.assertEqual(taken, ["first", "acknowledgement", "data"])

    def test_no_packet_waits_longer_than_the_limit(self) -> None:
        count = sum(
            self.pacer.put(1_000, b"upload", number, 1_000, number)
            for number in range(2, 1_000)
        )
        self.assertLessEqual(count * 1_000 / 100, MAX_QUEUE_MS)
        self.assertGreater(count, 0)


class PacedBalancerTest(unittest.TestCase):
    """A balancer behind a narrow link forwards an upload and another request."""

    def test_a_burst_is_spaced_out_and_another_request_goes_ahead(self) -> None:
        world = settled_world(balancers=1, members=2)
        host = world.balancer_hosts[0]
        world.balancer(0).sender.pacer = LinkPacer(100)
        upload, other = open_flow(world, host), open_flow(world, host)
        sent = world.sent_messages["Forward"]
        for _ in range(WINDOW):
            upload.request(host, DATA_BYTES)
        world.run(10)
        other.request(host)
        world.run(80)
        self.assertEqual(other.answers, 1)
        self.assertLess(world.sent_messages["Forward"] - sent, WINDOW)
        world.run(150)
        self.assertEqual(world.sent_messages["Forward"] - sent, WINDOW + 1)
        self.assertEqual(world.balancer(0).sender.pacer.waiting_bytes, 0)


if __name__ == "__main__":
    unittest.main()
