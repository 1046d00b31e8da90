"""Configurations that are too long for one datagram reach all balancers."""

import random
import unittest

from fuchsiapin.flows.balancerstate import STALE_MS, WATCHERS
from fuchsiapin.flows.gossip import CONFIGURATION_KEY, MAX_COPY_BYTES
from fuchsiapin.flows.messages import Digest
from fuchsiapin.flows.packets import endpoint
from fuchsiapin.flows.routes import FlowRoute
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
        self.assertGreater(len(packed), MAX_COPY_BYTES)


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
