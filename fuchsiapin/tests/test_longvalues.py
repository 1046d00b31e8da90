"""Configurations that are too long for one datagram reach all balancers."""

import random
import unittest

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.balancerstate import STALE_MS, WATCHERS
from fuchsiapin.flows.gossip import CONFIGURATION_KEY, LONG_PAUSE_MS
from fuchsiapin.flows.messages import Buckets, Copy, Digest, Part, Pull
from fuchsiapin.flows.packets import endpoint
from fuchsiapin.flows.parts import (
    MAX_PARTS,
    PART_BYTES,
    TRANSFER_MS,
    PartCollector,
    split_copy,
)
from fuchsiapin.flows.routes import FlowRoute
from fuchsiapin.replicas import bucket_of
from fuchsiapin.tests.drivenbalancer import DrivenBalancer
from fuchsiapin.tests.flowactors import SERVICE, make_route
from fuchsiapin.tests.flowworld import FlowWorld, settled_world

BALANCERS = 6
CONFIG_APPLY_MS = 3_000
"""Time within which a version is in force everywhere, from the platform's bounds."""


def long_routes(seed: int, count: int = 5_000) -> tuple[FlowRoute, ...]:
    """Return routes whose configuration is longer than a datagram may be."""
    rng = random.Random(seed)
    return tuple(
        FlowRoute(
            f"r-{rng.getrandbits(64):x}",
            endpoint(f"198.19.{rng.randrange(256)}.{rng.randrange(256)}", number),
            ((SERVICE, 1),),
            "safe",
            rng.randrange(9_000),
            rng.randrange(900),
            1,
        )
        for number in range(1, count + 1)
    )


def versions(world: FlowWorld) -> list[int]:
    """Return the version in force at each balancer."""
    return [world.balancer(index).routes.version for index in range(BALANCERS)]


class LongConfigurationTest(unittest.TestCase):
    """Three of six balancers watch the store; the others need what these have."""

    def setUp(self) -> None:
        self.world = settled_world(balancers=BALANCERS)
        watching = [
            self.world.balancer(index).state.configuration_follower.is_active
            for index in range(BALANCERS)
        ]
        self.assertEqual(sum(watching), WATCHERS)

    def grow(self, version: int) -> None:
        """Write a configuration that is longer than a datagram."""
        self.world.routes = (make_route(), *long_routes(version))
        self.world.configure(version)

    def test_all_balancers_follow_within_the_bound(self) -> None:
        # review/2: three balancers kept the configuration from before the growth.
        for version in (2, 3):
            self.grow(version)
            self.world.run(CONFIG_APPLY_MS)
            self.assertEqual(versions(self.world), [version] * BALANCERS)
        replicas = self.world.balancer(0).state.gossip.replicas.by_key
        packed = replicas[CONFIGURATION_KEY].packed
        self.assertGreater(len(packed), PART_BYTES)

    def test_they_follow_at_once_and_each_gets_the_value_about_once(self) -> None:
        calls = sum(self.world.store.calls.values())
        self.grow(2)
        self.world.run(500)
        self.assertEqual(versions(self.world), [2] * BALANCERS)
        replicas = self.world.balancer(0).state.gossip.replicas.by_key
        count = -(-len(replicas[CONFIGURATION_KEY].packed) // PART_BYTES)
        others = BALANCERS - WATCHERS
        self.assertLessEqual(self.world.sent_messages["Part"], 2 * others * count)
        # The watches of the three that watch anyway.
        self.assertLessEqual(sum(self.world.store.calls.values()) - calls, WATCHERS)

    def test_a_balancer_that_starts_while_the_store_is_away_gets_it(self) -> None:
        self.grow(2)
        self.world.run(CONFIG_APPLY_MS)
        self.world.store.state.is_up = False
        self.world.start_balancer(self.world.balancer_hosts[0])
        self.world.run(1_000)
        self.assertEqual(versions(self.world), [2] * BALANCERS)

    def test_lost_parts_are_sent_again(self) -> None:
        self.world.loss_rate = 0.3
        self.grow(2)
        self.world.run(CONFIG_APPLY_MS)
        self.assertEqual(versions(self.world), [2] * BALANCERS)


class PartTest(unittest.TestCase):
    """Parts make up one version of one object."""

    def setUp(self) -> None:
        self.collector = PartCollector()
        self.copy = Copy(CONFIGURATION_KEY, 7, bytes(range(250)) * 600)
        self.parts = list(split_copy(self.copy))

    def add(self, *parts: Part, now: int = 0) -> list[Copy | None]:
        """Add parts; return what each led to."""
        return [self.collector.add(now, part) for part in parts]

    def test_parts_in_any_order_and_repeated_ones_make_up_the_value(self) -> None:
        first, second, third = self.parts
        result = self.add(third, first, third, second)
        self.assertEqual(result, [None, None, None, self.copy])
        self.assertEqual(self.collector.transfers, {})

    def test_parts_of_two_versions_are_not_mixed(self) -> None:
        newer = [Part(p.key, 8, p.index, p.count, p.data) for p in self.parts]
        self.assertEqual(self.add(*self.parts[:2], *newer[2:]), [None] * 3)
        self.assertEqual(self.add(*self.parts), [None] * 3)
        self.assertEqual(self.add(*newer[:2])[-1].version, 8)

    def test_impossible_parts_are_refused(self) -> None:
        for index, count, size in (
            (2, 2, 1),
            (0, 0, 1),
            (0, MAX_PARTS + 1, 1),
            (0, 2, PART_BYTES + 1),
        ):
            with self.assertRaises(MalformedObject):
                self.add(Part("configuration/current", 9, index, count, bytes(size)))
        self.assertEqual(self.collector.transfers, {})

    def test_few_keys_are_kept(self) -> None:
        for number in range(100):
            self.add(Part(f"members/{number}", 1, 0, 2, b"z"))
        self.assertLess(len(self.collector.transfers), 10)

    def test_a_value_that_is_arriving_is_not_pulled_a_second_time(self) -> None:
        balancer = DrivenBalancer(peers=2)
        gossip = balancer.core.state.gossip
        balancer.receive(balancer.peers[0], self.parts[0])
        for wait, version in ((TRANSFER_MS, 7), (1, 0)):
            balancer.wait(wait)
            gossip.on_buckets(balancer.now, balancer.peers[1], Buckets([1] * 64))
            balancer.collect()
            pull = balancer.last(Pull)
            versions = dict(zip(pull.keys, pull.versions, strict=True))
            self.assertEqual(versions[CONFIGURATION_KEY], version)

    def test_a_balancer_sends_one_long_object_at_a_time(self) -> None:
        balancer = DrivenBalancer(peers=2)
        gossip = balancer.core.state.gossip
        value = random.Random(1).randbytes(150_000)
        gossip.replicas.put(CONFIGURATION_KEY, 7, value)
        pull = Pull([bucket_of(CONFIGURATION_KEY)], [], [])
        for wait, parts in ((0, 3), (LONG_PAUSE_MS - 1, 3), (1, 6)):
            balancer.wait(wait)
            for host in balancer.peers:
                balancer.receive(host, pull)
            self.assertEqual(balancer.counts()["Part"], parts)

    def test_one_balancer_at_a_time_is_asked_for_a_newer_configuration(self) -> None:
        balancer = DrivenBalancer(peers=2)
        digest = Digest("entry-2", "z", 7, 7, 0)
        for wait, asked in ((0, 1), (LONG_PAUSE_MS, 1), (1, 2)):
            balancer.sent.clear() if not wait else balancer.wait(wait)
            for host in balancer.peers:
                balancer.receive(host, digest)
            self.assertEqual(balancer.counts()["Digest"], asked)


class FreshnessTest(unittest.TestCase):
    """How recent another balancer's state is tells nothing of what is known here."""

    def receive_digest(self, configuration: int) -> DrivenBalancer:
        """Return a balancer that got fresh digests for longer than its copy is kept."""
        balancer = DrivenBalancer(peers=1)
        gossip = balancer.core.state.gossip
        gossip.is_store_reachable = lambda: False
        for _ in range(STALE_MS // 100 + 1):
            digest = Digest("entry-2", "z", configuration, 7, 0)
            balancer.receive(balancer.peers[0], digest)
            balancer.wait(100)
        return balancer

    def test_a_digest_of_a_newer_configuration_does_not_make_the_copy_fresh(
        self,
    ) -> None:
        balancer = self.receive_digest(2)
        age = balancer.core.state.gossip.store_age(balancer.now)
        self.assertGreater(age, STALE_MS)

    def test_a_digest_of_the_same_configuration_does(self) -> None:
        balancer = self.receive_digest(0)
        age = balancer.core.state.gossip.store_age(balancer.now)
        self.assertEqual(age, 100)


if __name__ == "__main__":
    unittest.main()
