"""Effects of a configuration at a side process."""

import unittest

from fuchsiapin.coap.tenants import Tenants
from fuchsiapin.codec import encode_object
from fuchsiapin.messages import (
    ClassConfig,
    Configuration,
    ObjectSeen,
    Report,
    ServiceConfig,
    UpstreamConfig,
)
from measure.world import World
from measure.worldparts import WorldOptions


def config(number: int, networks: list[str]) -> ObjectSeen:
    """Return a configuration in which the class `shops` has some networks."""
    classes = [ClassConfig("shops", 3, networks), ClassConfig("parents", 1)]
    service = ServiceConfig("swapdesk", 9_000, 64, [], classes)
    value = Configuration("d", number, "a", "c", [service], [])
    return ObjectSeen("config/d", number, encode_object(value))


class ConfigurationEffectsTest(unittest.TestCase):
    """A stored configuration sets classes, slots, connections and the leaving flag."""

    def setUp(self) -> None:
        self.world = World(1, WorldOptions(sides=1, balancers=1))
        self.world.run(2_000)
        self.core = self.world.nodes["swapdesk-1"].core

    def test_slots_connections_and_leaving_flag_are_applied(self) -> None:
        for number, connections, leaving in ((1, 500, False), (2, 500, True)):
            upstream = UpstreamConfig(
                "swapdesk-1", "vm", "10.0.0.1", "bole", 5, connections, leaving
            )
            service = ServiceConfig("swapdesk", 9_000, 7, [upstream], [])
            value = Configuration("d", number, "a", "c", [service], [])
            event = ObjectSeen("config/d", number, encode_object(value))
            self.world.feed(self.world.nodes["swapdesk-1"], event)
            self.world.run(2_000)
            [member] = self.core.ownership.history.members()
            state = "leaving" if leaving else "live"
            self.assertEqual((member.weight, member.state), (connections, state))
        self.assertEqual((self.core.admission.slots, self.core.deadline_ms), (5, 9_000))

    def test_most_specific_network_wins(self) -> None:
        tenants = Tenants(
            [ClassConfig("a", 1, ["10.0.0.0/8"]), ClassConfig("b", 1, ["10.9.0.0/16"])]
        )
        self.assertEqual(tenants.class_of("10.9.0.1"), "b")
        self.assertEqual(tenants.class_of("no address"), "")

    def test_requests_are_reported_by_their_class(self) -> None:
        self.core.handle(int(self.world.now), config(1, ["10.9.0.0/16"]))
        caller = self.world.add_caller()
        caller.post("claims", "one")
        self.world.run(5_000)
        ends = [
            report.fields["tenant"]
            for report in self.world.nodes["swapdesk-1"].reports
            if report.number == 3107
        ]
        self.assertEqual(ends, ["shops"])

    def test_invalid_network_leaves_the_earlier_configuration_in_force(self) -> None:
        now = int(self.world.now)
        self.core.handle(now, config(1, ["10.9.0.0/16"]))
        broken = config(2, ["10.9.0.0/99"])
        effects = self.core.handle(now, broken)
        self.assertEqual([e.number for e in effects if isinstance(e, Report)], [4102])
        self.assertEqual(self.core.config.number, 1)
        self.assertEqual(self.core.tenants.class_of("10.9.0.1"), "shops")


if __name__ == "__main__":
    unittest.main()
