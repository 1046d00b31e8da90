"""What crosses between availability zones as a fleet grows, and what is still known."""

import random
import unittest
from collections import Counter
from collections.abc import Callable
from unittest import mock

from fuchsiapin.flows.effects import ToPeer
from fuchsiapin.flows.members import (
    MIN_SILENT_PINGS,
    FlowMember,
    MemberTable,
    pack_member,
)
from fuchsiapin.flows.messages import Digest, Ping, Silence
from fuchsiapin.flows.peers import DIGEST_PEERS, ZONE_DIGESTS, digest_targets
from fuchsiapin.flows.pinging import MAX_PINGS, ZONE_PINGS, Pinger
from fuchsiapin.flows.wire import decode_message
from fuchsiapin.tests.flowworld import FlowWorld
from fuchsiapin.timers import Timers

ROUNDS = 400
ZONES = ("a", "b", "c")


class DrivenPinger:
    """A pinger in zone a that no member answers unless a test says so."""

    def __init__(self, members: int, zone_peers: int) -> None:
        self.effects: list[ToPeer] = []
        self.table = MemberTable()
        self.timers = Timers()
        self.pinger = Pinger(
            "a",
            self.table,
            self.timers,
            self.effects,
            random.Random(1),
            lambda: False,
            lambda now, view: None,
        )
        peers = [f"10.9.0.{number}" for number in range(zone_peers)]
        self.pinger.zone_peers = lambda: peers
        for number in range(members):
            zone = ZONES[number % 3]
            host = f"10.0.{number // 250}.{number % 250}"
            member = FlowMember(f"u{number}", 1, "desk", host, zone, 2, "ready")
            self.table.put(0, member)

    def run_rounds(self, count: int) -> Counter[str]:
        """Run rounds that are all answered; return the pings to each zone."""
        pings: Counter[str] = Counter()
        for number in range(count):
            now = number * 300
            self.pinger.round_due_at = now
            self.pinger.ping_round(now)
            for effect in self.effects:
                if isinstance(effect.message, Ping):
                    view = self.table.by_host(effect.host)
                    pings[view.member.zone] += 1
                    view.note_message(now)
            self.effects.clear()
        return pings

    def view(self, zone: str):
        """Return a member of a zone."""
        return next(v for v in self.table.views.values() if v.member.zone == zone)


class PingTest(unittest.TestCase):
    """Pings of one balancer to members of its zone and of others."""

    def test_small_fleets_ping_every_member_in_each_round(self) -> None:
        pings = DrivenPinger(members=12, zone_peers=2).run_rounds(10)
        self.assertEqual(pings, {"a": 40, "b": 40, "c": 40})

    def test_a_zone_sends_as_many_pings_to_others_however_large_it_is(self) -> None:
        """They grew with the number of balancers, and bytes between zones with it."""
        for zone_peers in (5, 11, 35):
            pings = DrivenPinger(180, zone_peers).run_rounds(ROUNDS)
            crossing = (pings["b"] + pings["c"]) * (zone_peers + 1) / ROUNDS
            self.assertLessEqual(crossing, ZONE_PINGS * 1.05)
            self.assertLessEqual(pings.total(), MAX_PINGS * ROUNDS)
            self.assertGreater(pings["a"], ROUNDS * MAX_PINGS / 3)

    def test_others_of_the_zone_are_told_of_a_silent_member_once(self) -> None:
        driven = DrivenPinger(members=12, zone_peers=9)
        view = driven.view("b")
        view.unanswered_pings, view.unanswered_since = MIN_SILENT_PINGS, 1
        for now in (300, 600, 900):
            driven.pinger.round_due_at = now
            driven.pinger.ping_round(now)
        told = [e for e in driven.effects if isinstance(e.message, Silence)]
        silent = [e for e in told if e.message.host == view.member.host]
        self.assertEqual(len(silent), 9)

    def test_a_balancer_that_was_told_pings_the_member_and_tells_nobody(self) -> None:
        driven = DrivenPinger(members=3, zone_peers=9)
        view = driven.view("b")
        driven.pinger.on_silence(100, Silence(view.member.host))
        self.assertEqual([e.host for e in driven.effects], [view.member.host])
        self.assertFalse(view.is_suspect(100))
        for now in (300, 600, 900):
            driven.pinger.tell_of_silence(view)
            driven.pinger.ping(now, view)
        self.assertFalse([e for e in driven.effects if isinstance(e.message, Silence)])


class FleetTest(unittest.TestCase):
    """A fleet with many balancers in each zone."""

    def make_world(self, balancers: int) -> FlowWorld:
        """Return a world of three zones in which all have heard of one another."""
        world = FlowWorld(2, balancers=balancers, members=balancers, zones=ZONES)
        world.run(6_000)
        return world

    def crossing(
        self, world: FlowWorld, change: Callable[[], None] = lambda: None
    ) -> Counter[str]:
        """Return the messages between zones in the five seconds after a change."""
        counts: Counter[str] = Counter()
        deliver = world.deliver_message

        def count(host: str, source: str, data: bytes) -> None:
            if world.zone_by_host[host] != world.zone_by_host[source]:
                kind = type(decode_message(data)).__name__
                counts[kind] += 1
            deliver(host, source, data)

        world.deliver_message = count
        change()
        world.run(5_000)
        return counts

    def test_digests_and_pings_between_zones_do_not_grow_with_the_fleet(self) -> None:
        small = self.crossing(self.make_world(balancers=12))
        large = self.crossing(self.make_world(balancers=36))
        for kind in (Digest, Ping):
            name = kind.__name__
            with self.subTest(kind=name):
                self.assertLess(large[name], 1.5 * small[name])

    def test_a_silent_member_of_another_zone_is_suspect_everywhere_soon(self) -> None:
        world = self.make_world(balancers=24)
        host = next(h for h in world.upstreams if world.zone_by_host[h] == "b")
        world.processes[host].is_up = False
        world.run(5_000)
        for balancer in world.balancer_hosts:
            view = world.processes[balancer].core.table.by_host(host)
            self.assertTrue(view is None or view.is_suspect(world.now), balancer)

    def test_a_change_crosses_to_a_zone_a_few_times_and_reaches_all(self) -> None:
        """It was pushed to balancers of all zones by all that it was new to."""
        world = self.make_world(balancers=36)
        hosts = world.balancer_hosts
        world.balancer_hosts = hosts[:3]  # the addresses that the member knows
        counts = self.crossing(world, lambda: world.add_member("10.0.1.99", "d", 2, 9))
        world.balancer_hosts = hosts
        self.assertLess(counts["Copy"], 30)
        for balancer in world.balancer_hosts:
            table = world.processes[balancer].core.table
            self.assertIsNotNone(table.by_host("10.0.1.99"))

    def test_a_change_reaches_a_zone_that_is_cut_off_from_its_own(self) -> None:
        """It crosses once to a zone, so that a cut could keep it from one."""
        world = self.make_world(balancers=24)
        zones = world.zone_by_host
        hosts = [*world.balancer_hosts, *world.upstreams]
        one = [host for host in hosts if zones[host] == "a"]
        other = [host for host in hosts if zones[host] == "b"]
        world.cut_links = {(x, y) for x in one for y in other}
        world.cut_links |= {(y, x) for x, y in world.cut_links}
        hosts = world.balancer_hosts
        world.balancer_hosts = [h for h in hosts if zones[h] == "b"][:3]
        zones["10.0.1.99"] = "b"
        world.add_member("10.0.1.99", "d", 2, 9)
        world.balancer_hosts = hosts
        world.run(5_000)
        for balancer in hosts:
            table = world.processes[balancer].core.table
            self.assertIsNotNone(table.by_host("10.0.1.99"), balancer)

    def test_balancers_of_a_killed_zone_learn_all_again(self) -> None:
        """They know no balancer of their zone at first, and others tell them little."""
        world = self.make_world(balancers=24)
        world.store.state.is_up = False
        killed = [h for h in world.balancer_hosts if world.zone_by_host[h] == "b"]
        for host in killed:
            world.processes[host].is_up = False
        world.run(3_000)
        for host in killed:
            world.start_balancer(host)
        world.run(5_000)
        for host in killed:
            core = world.processes[host].core
            self.assertEqual(len(core.table.views), 24)
            self.assertEqual(core.routes.version, 1)
            self.assertEqual(core.not_ready(world.now), "")

    def repairs(self) -> int:
        """Return the repairs between zones of a member that zone a alone knows."""
        world = self.make_world(balancers=36)
        member = FlowMember("late", 9, "desk", "10.0.1.99", "a", 2, "ready")
        world.zone_by_host[member.host] = "a"
        for balancer in world.balancer_hosts:
            if world.zone_by_host[balancer] == "a":
                state = world.processes[balancer].core.state
                state.table.put(world.now, member)
                state.table.views[member.id].note_message(world.now)
                packed = pack_member(member)
                key, version = f"members/{member.id}", member.version
                state.gossip.replicas.put(key, version, packed)
        counts = self.crossing(world)
        for balancer in world.balancer_hosts:
            self.assertIn(member.id, world.processes[balancer].core.table.views)
        return counts["Buckets"]

    def test_the_balancers_of_a_zone_share_repairs_to_others(self) -> None:
        """Each balancer fetched from other zones what others of its zone fetched too.

        Three of twelve start one, a quarter; half is allowed for chance.
        """
        with mock.patch("fuchsiapin.flows.peers.ZONE_REPAIRS", 1_000):
            unlimited = self.repairs()
        self.assertGreater(unlimited, 0)
        self.assertLess(self.repairs(), unlimited / 2)

    def test_balancers_of_other_zones_stay_known(self) -> None:
        world = self.make_world(balancers=36)
        world.run(30_000)
        for balancer in world.balancer_hosts:
            peers = world.processes[balancer].core.state.gossip.peers
            self.assertEqual(len(peers), 35)

    def test_a_zone_shares_its_digests_to_others(self) -> None:
        gossip = self.make_world(balancers=36).processes["10.0.0.1"].core.state.gossip
        targets = [
            digest_targets(gossip.peers, gossip.record.zone, gossip.rng)
            for _ in range(ROUNDS)
        ]
        own = set(gossip.zone_hosts())
        crossing = sum(host not in own for hosts in targets for host in hosts)
        self.assertLess(crossing / ROUNDS, ZONE_DIGESTS / 12 * 1.1)
        self.assertTrue(all(len(hosts) <= DIGEST_PEERS for hosts in targets))
        # Evacuations and eras, which digests leave out, go to the first target alone.
        first = sum(hosts[0] not in own for hosts in targets)
        self.assertGreater(first, crossing / DIGEST_PEERS / 2)


if __name__ == "__main__":
    unittest.main()
