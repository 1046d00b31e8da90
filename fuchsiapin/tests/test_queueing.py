"""New flows that wait beside a busy upstream: what callers get under load."""

import unittest
from unittest import mock

from fuchsiapin.flows import sidestate
from fuchsiapin.flows.holding import PENDING_MS
from fuchsiapin.flows.queueing import HOLD_MS, OpeningQueue, room_of
from fuchsiapin.tests.flowparties import DATA_BYTES, route_of
from fuchsiapin.tests.flowworld import FlowWorld

AIM_MS = 170
GIVE_UP_MS = 1_400
COPIES_MS = (200, 600)


class Visit:
    """A caller that opens a flow, sends one request, and waits."""

    def __init__(self, world: FlowWorld, balancer: str, route: object = None) -> None:
        self.world = world
        self.balancer = balancer
        self.caller = world.caller(route)
        self.began = world.now
        self.has_asked = False
        self.caller.open(balancer)
        for pause in COPIES_MS:
            world.after(pause, self.copy)
        world.after(5, self.watch)

    def copy(self) -> None:
        """Retransmit the opening packet while there is no answer."""
        if not self.caller.is_open and not self.caller.resets:
            self.caller.open(self.balancer)

    def watch(self) -> None:
        """Send the request once the flow is open."""
        if self.caller.is_open and not self.has_asked:
            self.has_asked = True
            self.caller.request(self.balancer)
        elif not self.has_asked and self.world.now - self.began < GIVE_UP_MS:
            self.world.after(5, self.watch)

    @property
    def took(self) -> int | None:
        """Return the time until the answer in ms, None without one."""
        if not self.caller.answers:
            return None
        return self.caller.answered_at - self.began


def play_herd(order: str) -> tuple[int, int, int]:
    """Return how many requests were served in time, served, and refused.

    240 callers return at once to 4 upstreams of 2 slots, while new callers arrive at
    70% of the capacity of the upstreams.
    """

    def queue(chosen: str = order) -> OpeningQueue:
        return OpeningQueue(chosen)

    with mock.patch.object(sidestate, "OpeningQueue", queue):
        world = FlowWorld(seed=5, balancers=2, members=4, slots=2, took_ms=40)
    world.run(1_500)
    hosts = world.balancer_hosts
    visits = [Visit(world, hosts[n % 2]) for n in range(240)]
    for step in range(140):
        world.after(7 * step, lambda n=step: visits.append(Visit(world, hosts[n % 2])))
    world.run(4_000)
    times = [visit.took for visit in visits if visit.took is not None]
    in_time = sum(took <= AIM_MS for took in times)
    return in_time, len(times), sum(visit.caller.resets for visit in visits)


class HerdTest(unittest.TestCase):
    """Many callers return at once while new ones keep arriving."""

    def test_newest_first_serves_more_in_time(self) -> None:
        newest, served, _ = play_herd("newest first")
        oldest, _, _ = play_herd("oldest first")
        self.assertGreater(newest, 2 * oldest)
        self.assertGreater(newest, 100)
        self.assertGreater(served, 200)

    def test_who_can_not_be_served_hears_of_it_before_the_deadline(self) -> None:
        world = FlowWorld(seed=6, balancers=1, members=1, slots=1, took_ms=300)
        world.run(1_500)
        visits = [Visit(world, world.balancer_hosts[0]) for _ in range(40)]
        world.run(HOLD_MS + 200)
        refused = [visit for visit in visits if visit.caller.resets]
        self.assertGreaterEqual(len(refused), 35)
        self.assertTrue(all(not visit.caller.answers for visit in refused))

    def test_no_upstream_is_given_more_than_its_room(self) -> None:
        world = FlowWorld(seed=7, balancers=2, members=3, slots=2, took_ms=50)
        world.run(1_500)
        most = []

        def look() -> None:
            most.append(max(u.running + len(u.queue) for u in world.upstreams.values()))
            world.after(10, look)

        look()
        for n in range(90):
            Visit(world, world.balancer_hosts[n % 2])
        world.run(1_500)
        self.assertLessEqual(max(most), room_of(2))


class OrderTest(unittest.TestCase):
    """Which queued flow is let in next."""

    def test_priority_goes_before_age(self) -> None:
        queue = OpeningQueue()
        queue.put(0, b"old", None, 2)
        queue.put(5, b"urgent", None, 1)
        queue.put(9, b"new", None, 2)
        taken = [queue.take().flow for _ in range(3)]
        self.assertEqual(taken, [b"urgent", b"new", b"old"])
        self.assertIsNone(queue.take())

    def test_a_copy_keeps_its_place(self) -> None:
        queue = OpeningQueue()
        queue.put(0, b"a", "first", 1)
        queue.put(200, b"a", "copy", 1)
        self.assertEqual(len(queue), 1)
        item = queue.take()
        self.assertEqual((item.since, item.message), (0, "copy"))

    def test_flows_past_the_wait_are_given_back(self) -> None:
        queue = OpeningQueue()
        queue.put(0, b"a", None, 1)
        queue.put(300, b"b", None, 1)
        self.assertEqual([item.flow for item in queue.expired(HOLD_MS)], [b"a"])
        self.assertEqual(len(queue), 1)

    def test_the_queue_is_no_longer_than_what_is_served_in_time(self) -> None:
        queue = OpeningQueue()
        for place in range(30):
            queue.put(place, bytes([place]), None, 1)
        extra = queue.excess(slots=2, service_ms=100)
        self.assertEqual([item.since for item in extra], list(range(20)))
        self.assertEqual(len(queue), 10)


class GoneCallerTest(unittest.TestCase):
    """Requests of callers that left silently don't block others for long."""

    def test_requests_that_are_never_answered_are_forgotten(self) -> None:
        world = FlowWorld(seed=3, balancers=1, members=1, slots=1, took_ms=60_000)
        world.run(1_500)
        host = world.balancer_hosts[0]
        for _ in range(room_of(1)):
            visit = Visit(world, host)
            world.run(50)
            self.assertTrue(visit.has_asked)
        upstream = next(iter(world.upstreams.values()))
        upstream.running = 0
        upstream.queue.clear()
        upstream.took_ms = 20
        world.run(PENDING_MS + 200)
        late = Visit(world, host)
        world.run(200)
        self.assertEqual(late.caller.answers, 1)


class UploadTest(unittest.TestCase):
    """Requests of many packets take no room while they are incomplete."""

    def test_uploads_on_their_way_keep_nobody_out(self) -> None:
        world = FlowWorld(seed=4, balancers=1, members=1, slots=1, took_ms=10)
        world.run(1_500)
        host = world.balancer_hosts[0]
        uploads = [world.caller() for _ in range(20)]
        for caller in uploads:
            caller.open(host)
        begun: list = []
        for _ in range(20):
            world.run(10)
            for caller in uploads:
                if caller.is_open and caller not in begun:
                    begun.append(caller)
                    caller.request(host, DATA_BYTES)
        self.assertEqual(len(begun), 20)
        late = world.caller()
        late.open(host)
        world.run(30)
        self.assertTrue(late.is_open)


class LeavingTest(unittest.TestCase):
    """An upstream that leaves keeps no flow waiting."""

    def test_waiting_flows_go_to_others_when_an_upstream_drains(self) -> None:
        world = FlowWorld(seed=8, balancers=1, members=2, slots=1, took_ms=400)
        world.run(1_500)
        visits = [Visit(world, world.balancer_hosts[0]) for _ in range(12)]
        world.run(30)
        host = next(h for h in world.upstreams if len(world.side(h).queue))
        upstream = world.upstreams[host]
        upstream.is_draining = True
        world.side(host).on_heartbeat(world.now, upstream.beat())
        world.carry_out(host)
        world.run(150)
        self.assertEqual(len(world.side(host).queue), 0)
        self.assertTrue(all(v.caller.flow not in upstream.flows for v in visits[-2:]))

    def test_a_safe_and_an_urgent_route_share_a_queue_by_priority(self) -> None:
        urgent = route_of(port=444)
        urgent = type(urgent)(
            "urgent", urgent.address, urgent.shares, "unsafe", 1_500, 200, 0
        )
        world = FlowWorld(
            seed=9,
            balancers=1,
            members=1,
            slots=1,
            took_ms=60,
            routes=(route_of(), urgent),
        )
        world.run(1_500)
        host = world.balancer_hosts[0]
        feeds = [Visit(world, host, world.routes[0]) for _ in range(8)]
        claims = [Visit(world, host, world.routes[1]) for _ in range(3)]
        world.run(480)
        self.assertEqual([visit.caller.answers for visit in claims], [1, 1, 1])
        self.assertLess(sum(visit.caller.answers for visit in feeds), 6)


if __name__ == "__main__":
    unittest.main()
