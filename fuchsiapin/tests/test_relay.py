"""Stored objects reach every process that needs them, and never revert."""

import random
import unittest

from fuchsiapin import messages
from fuchsiapin.coap.acknowledgements import Acknowledgements
from fuchsiapin.coap.relay import Relay
from fuchsiapin.coap.relaylinks import ALL_TOPICS, RelayOptions
from fuchsiapin.coap.relaytree import FANOUT, Contact, RelayTree, parent_positions
from fuchsiapin.codec import encode_object
from fuchsiapin.replicas import Replicas, pack_value
from fuchsiapin.timers import Timers
from measure.world import World
from measure.worldparts import Links, Node, WorldOptions

CONFIG = "config/little-threads"


def make_config(number: int) -> messages.Configuration:
    """Return a configuration that the service follows."""
    service = messages.ServiceConfig("swapdesk", 20_000, 64, [], [])
    return messages.Configuration(
        "little-threads", number, "operator", f"change-{number}", [service], []
    )


def accept(world: World, number: int) -> None:
    """Write a configuration to the store, as an operator does."""
    version, _ = world.store.objects.get(CONFIG, (0, b""))
    world.put(CONFIG, version, encode_object(make_config(number)))


def numbers(world: World) -> set[int]:
    """Return the configuration numbers in force at any process."""
    return {
        node.core.config.number if node.core.config else 0
        for node in world.nodes.values()
    }


def make_zone_world(seed: int, **fields: int) -> World:
    """Return a settled world of one large availability zone with lossy links."""
    shape = {"sides": 12, "balancers": 24} | fields
    options = WorldOptions(zones=("bole",), **shape)
    links = Links(delay_ms=4, jitter_ms=4, loss=0.02, duplicate=0.01)
    world = World(seed, options, links)
    world.run(20_000)
    return world


def skip_pushes(world: World) -> list[Node]:
    """Return a list, empty at first, of nodes that get no pushes from the store."""
    skipped: list[Node] = []
    push = world.send_object

    def push_others(node: Node, key: str) -> None:
        if node not in skipped:
            push(node, key)

    world.send_object = push_others
    return skipped


class SpreadTest(unittest.TestCase):
    """Changes reach all processes from the few that watch the store."""

    def test_two_processes_per_zone_watch_the_store(self) -> None:
        world = make_zone_world(1)
        watching = [n.name for n in world.nodes.values() if n.is_watching]
        self.assertEqual(len(watching), 2)
        most = max(len(n.core.relay.subscribers) for n in world.nodes.values())
        self.assertLess(most, 2 * FANOUT)

    def test_configurations_reach_all_processes_in_5_s_and_never_revert(self) -> None:
        world = make_zone_world(2)
        for number in range(1, 6):
            accept(world, number)
            for _ in range(50):
                world.run(100)
                self.assertLessEqual(numbers(world), {number - 1, number})
            self.assertEqual(numbers(world), {number})

    def test_both_roots_killed_at_once_are_replaced(self) -> None:
        world = make_zone_world(3)
        for node in [n for n in world.nodes.values() if n.is_watching]:
            world.kill(node.name)
        world.run(15_000)
        accept(world, 1)
        world.run(5_000)
        self.assertEqual(numbers(world), {1})
        self.assertEqual(sum(n.is_watching for n in world.nodes.values()), 2)

    def test_zone_cut_off_from_the_store_gets_changes_from_other_zones(self) -> None:
        world = World(4, WorldOptions(balancers=6), Links(loss=0.02))
        world.run(10_000)
        cut = {n.name for n in world.nodes.values() if n.zone == "bole"}
        world.store.unreachable |= cut
        world.run(5_000)
        accept(world, 1)
        world.run(5_000)
        self.assertEqual(numbers(world), {1})

    def test_skipped_and_repeated_watch_events_neither_revert_nor_lose_changes(
        self,
    ) -> None:
        for seed in range(8, 11):
            world = make_zone_world(seed, sides=4, balancers=10)
            rng = random.Random(seed)
            skipped = skip_pushes(world)
            roots = [n for n in world.nodes.values() if n.is_watching]
            # Version 1 of the object, which every later version replaces.
            outdated = messages.ObjectSeen(CONFIG, 1, encode_object(make_config(0)))
            for number in range(1, 6):
                skipped[:] = [rng.choice(roots)]
                accept(world, number)
                for _ in range(50):
                    world.run(100)
                    world.feed(rng.choice(list(world.nodes.values())), outdated)
                    self.assertLessEqual(numbers(world), {number - 1, number})
                self.assertEqual(numbers(world), {number})

    def test_restarted_side_process_gets_objects_from_a_seed_without_the_store(
        self,
    ) -> None:
        world = make_zone_world(5)
        accept(world, 1)
        world.run(5_000)
        world.set_store(is_down=True)
        balancer = world.nodes["balancer-3"]
        world.options.seeds.append(Contact("", balancer.host, 7000))
        old = world.kill("swapdesk-2")
        world.add_side("swapdesk-2", "bole", old.upstream)
        world.run(5_000)
        core = world.nodes["swapdesk-2"].core
        self.assertEqual(core.config.number, 1)
        self.assertTrue(core.ownership.view)
        self.assertEqual(core.relay.unready_reason(), "")

    def test_without_store_and_seeds_a_process_reports_why_it_is_unready(self) -> None:
        world = make_zone_world(6)
        world.set_store(is_down=True)
        world.add_side("swapdesk-90", "bole")
        world.run(5_000)
        reason = world.nodes["swapdesk-90"].core.relay.unready_reason()
        self.assertIn("object API", reason)

    def test_status_reports_where_a_configuration_is_in_force(self) -> None:
        world = make_zone_world(7)
        accept(world, 1)
        world.run(10_000)
        root = next(n for n in world.nodes.values() if n.is_watching)
        (ack,) = root.core.relay.in_force(int(world.now))
        # 12 side processes and 24 balancers.
        self.assertEqual((ack.total, ack.lowest, ack.behind), (36, 1, 0))
        world.freeze("swapdesk-4")
        accept(world, 2)
        world.run(4_000)
        (ack,) = root.core.relay.in_force(int(world.now))
        self.assertEqual((ack.newest, ack.behind), (2, 1))
        self.assertEqual(ack.lagging, ["swapdesk-4"])


class RelayTest(unittest.TestCase):
    """One process and the relay messages that it receives."""

    def setUp(self) -> None:
        self.effects: list = []
        self.seen: list = []
        options = RelayOptions(Contact("b", "10.0.0.1", 1), "bole", ALL_TOPICS, True)
        self.relay = Relay(
            options, Timers(), self.effects, random.Random(1), self.seen.append
        )

    def subscribe(self, name: str, topics: list[str]) -> messages.RelayAnswer:
        """Subscribe a process; return the answer."""
        digest = messages.RelayDigest("10.0.0.2", 2, topics, 0, 0, False)
        self.relay.receive(0, name, digest)
        return self.effects[-1].message

    def test_lower_version_changes_nothing(self) -> None:
        self.relay.accept_object(0, messages.ObjectSeen("members/a", 5, b"{}"))
        copy = messages.RelayCopy("members/a", 4, pack_value(b"[]"))
        self.relay.receive(0, "peer", copy)
        self.assertFalse(
            self.relay.accept_object(0, messages.ObjectSeen("members/a", 5, b""))
        )
        self.assertEqual(self.seen, [])
        self.assertEqual(self.relay.versions, {"members/a": 5})

    def test_only_topics_are_pushed(self) -> None:
        self.subscribe("side-1", ["members/a"])
        self.effects.clear()
        self.relay.accept_object(0, messages.ObjectSeen("members/b", 1, b"{}"))
        self.assertEqual(self.effects, [])
        self.relay.accept_object(0, messages.ObjectSeen("members/a", 2, b"{}"))
        self.assertEqual(self.effects[0].message.version, 2)

    def test_too_many_subscribers_are_refused(self) -> None:
        answers = [self.subscribe(f"side-{n}", []).is_accepted for n in range(65)]
        self.assertEqual(answers, [True] * 64 + [False])
        self.assertFalse(self.subscribe("side-99", ["x"] * 65).is_accepted)

    def test_malformed_messages_are_reported_and_dropped(self) -> None:
        bomb = messages.RelayCopy("members/a", 1, pack_value(b" " * 2_000_000))
        self.relay.receive(0, "peer", bomb)
        self.relay.receive(0, "peer", messages.RelayCopy("members/a", 1, b"x"))
        self.relay.parent = Contact("peer", "10.0.0.3", 3)
        self.relay.receive(0, "peer", messages.RelayAnswer(True, False, 0, [1]))
        self.assertEqual([report.number for report in self.effects], [5101] * 3)
        self.assertEqual(self.relay.versions, {})

    def test_subscriber_with_newer_objects_is_asked_for_them(self) -> None:
        self.subscribe("side-1", ["members/"])
        pull = messages.RelayPull(list(range(64)), ["members/a"], [3])
        self.relay.receive(0, "side-1", pull)
        self.assertEqual(self.effects[-1].message, messages.RelayWanted(["members/a"]))


class TreeTest(unittest.TestCase):
    """The tree of a zone of 600 balancers."""

    def test_600_balancers_are_reached_through_at_most_three_links(self) -> None:
        depth = [0, 0]
        children = [0] * 600
        for position in range(2, 600):
            parent = parent_positions(position)[0]
            self.assertLess(parent, position)
            depth.append(depth[parent] + 1)
            children[parent] += 1
        self.assertEqual((max(depth), max(children)), (3, FANOUT))

    def test_lower_number_of_a_zone_changes_nothing(self) -> None:
        tree = RelayTree("bole")
        member = messages.BalancerMember("b", 1, "10.0.0.1", 1, "bole", "live", "")
        self.assertTrue(tree.update(messages.ZoneBalancers("bole", 2, [member], "")))
        self.assertFalse(tree.update(messages.ZoneBalancers("bole", 1, [], "")))
        self.assertTrue(tree.is_root("b"))


class ReplicasTest(unittest.TestCase):
    """Digests detect differences, whatever the order of the updates."""

    def test_digest_follows_every_change(self) -> None:
        rng = random.Random(1)
        one, other = Replicas(), Replicas()
        updates = [(f"members/{rng.randrange(50)}", n + 1, b"{}") for n in range(300)]
        for item in updates:
            one.put(*item)
            one.digest(ALL_TOPICS)
        for item in rng.sample(updates, len(updates)):
            other.put(*item)
        self.assertEqual(one.digest(ALL_TOPICS), other.digest(ALL_TOPICS))
        self.assertEqual(one.buckets(ALL_TOPICS), other.buckets(ALL_TOPICS))
        other.put("members/7", 1_000, b"{}")
        self.assertNotEqual(one.digest(ALL_TOPICS), other.digest(ALL_TOPICS))


class AcknowledgementsTest(unittest.TestCase):
    """Sums over processes name those that lag behind."""

    def test_child_with_an_older_configuration_is_named(self) -> None:
        acks = Acknowledgements("root")
        acks.set_in_force(CONFIG, 2)
        child = Acknowledgements("side-1")
        child.set_in_force(CONFIG, 1)
        acks.put("side-1", child.sums())
        (ack,) = acks.sums()
        self.assertEqual((ack.behind, ack.lagging), (1, ["side-1"]))
        acks.forget("side-1")
        self.assertEqual(acks.sums()[0].total, 1)


if __name__ == "__main__":
    unittest.main()
