"""Tests of the bounds on how long and how many requests wait."""

import unittest
from unittest.mock import Mock, patch

from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.dispatching import Dispatcher
from fuchsiapin.coap.membership import LONE_REMOVAL_MS
from fuchsiapin.coap.requests import Stage
from fuchsiapin.coap.sidecore import SideCore
from fuchsiapin.codec import decode_object
from fuchsiapin.messages import Record, RecordAck, ServiceMembership
from fuchsiapin.ranking import flow_key, member_key
from measure.oracle import Oracle
from measure.world import World
from measure.worldparts import WorldOptions


def cut_all(world: World, names: list[str]) -> None:
    """Cut all links between some processes."""
    world.links.cuts |= {(one, two) for one in names for two in names if one != two}


def side_cores(world: World) -> list[SideCore]:
    """Return the cores of the running side processes."""
    return [node.core for node in world.nodes.values() if node.service]


class SilentWitnessTest(unittest.TestCase):
    """Requests whose witness doesn't answer while no newer view replaces it."""

    def test_claim_without_witness_is_abandoned_and_never_runs(self) -> None:
        world = World(2, WorldOptions(sides=2, balancers=2))
        world.run(6_000)
        cut_all(world, ["swapdesk-1", "swapdesk-2"])
        world.set_store(True)
        caller = world.add_caller()
        caller.post("claims", "claim")
        [start] = [item.started for item in caller.pending.values()]
        world.run(8_000)
        self.assertEqual(world.tally.outcomes, {"claim": "unknown"})
        self.assertGreater(world.clock.seconds() - start, 6)
        [owner] = [core for core in side_cores(world) if len(core.table)]
        [record] = owner.table
        self.assertEqual(record.state, "unknown")
        self.assertGreater(coap.parse_datagram(record.response).opt.max_age, 0)
        view, [witness] = owner.ownership.view, owner.membership.peers()
        late = RecordAck("swapdesk", view, record.key, "intent", True)
        owner.recorder.on_record_ack(witness.id, late)
        world.links.cuts.clear()
        world.set_store(False)
        world.run(30_000)
        self.assertEqual(
            (Oracle(world).execution_counts(), Oracle(world).find_violations()),
            ({}, []),
        )

    def test_requests_of_a_flow_that_stays_settling_end(self) -> None:
        world = World(3, WorldOptions(sides=3))
        world.run(6_000)
        for core in side_cores(world):
            core.ownership.is_settled = False
        caller = world.add_caller()
        caller.post("claims", "claim")
        caller.get_long("long", "long")
        world.run(8_000)
        told = {"claim": "unknown", "long": "refused"}
        self.assertEqual(world.tally.outcomes, told)


class WithdrawnTest(unittest.TestCase):
    """Copies of a request that its owner withdrew before it could run."""

    def test_copy_runs_when_the_witness_returned_the_record(self) -> None:
        # Guards against silence: nobody but this process could answer the record.
        world = World(7, WorldOptions(sides=2))
        world.run(6_000)
        caller = world.add_caller()
        caller.post("claims", "claim")
        [pending] = caller.pending.values()
        [[host, port]] = world.callers
        flow = flow_key("swapdesk", host, port)
        key = coap.request_digest(flow, pending.datagram)
        head = coap.request_head(pending.datagram)
        for core in side_cores(world):
            executor, expires = member_key(core.membership.me), int(world.now) + 99_000
            core.table.put(
                Record(key, host, port, head, "intent", executor, b"", expires)
            )
        world.run(50_000)
        self.assertEqual(world.tally.outcomes, {"claim": "done"})
        self.assertEqual(Oracle(world).execution_counts(), {"claim": 1})

    @patch.object(Dispatcher, "next_startable", return_value=None)
    def test_copy_is_not_ended_at_the_deadline_of_the_first(self, _: Mock) -> None:
        world = World(7, WorldOptions(sides=1, deadline_ms=10_000))
        world.run(6_000)
        world.add_caller().post("claims", "claim")
        world.run(1_000)
        [core] = side_cores(world)
        [first] = core.requests.values()
        core.dispatcher.remove_request(first)
        core.table.drop(first.key)
        world.run(10_000)
        self.assertEqual(world.tally.outcomes, {})
        world.run(10_000)
        self.assertEqual(world.tally.outcomes, {"claim": "unknown"})


class LoneMemberTest(unittest.TestCase):
    """A member that receives no heartbeats from several others."""

    def members(self, world: World) -> set[str]:
        """Return the names in the stored view."""
        _, value = world.store.objects["members/swapdesk"]
        view = decode_object(ServiceMembership, value).view
        return {member.id for member in view.members}

    def test_sole_survivor_of_three_serves_again(self) -> None:
        world = World(4, WorldOptions(sides=3))
        world.run(6_000)
        world.kill("swapdesk-1")
        world.kill("swapdesk-2")
        world.run(10_000)
        self.assertEqual(self.members(world), {"swapdesk-3"})
        for number in range(30):
            world.add_caller().post("claims", f"claim-{number}")
        world.run(5_000)
        told = list(world.tally.outcomes.values())
        self.assertEqual((len(told), set(told)), (30, {"done", "unknown"}))
        self.assertEqual(Oracle(world).find_violations(), [])

    def test_sole_survivor_of_many_removes_them_in_one_view(self) -> None:
        world = World(8, WorldOptions(sides=20))
        world.run(8_000)
        core = world.nodes["swapdesk-20"].core
        for number in range(1, 20):
            world.kill(f"swapdesk-{number}")
        view = core.ownership.view
        world.run(10_000)
        self.assertEqual(self.members(world), {"swapdesk-20"})
        self.assertEqual(core.ownership.view, view + 1)
        [item] = core.ownership.uncertain
        self.assertEqual(len(item.lost), 19)

    def test_member_cut_off_alone_removes_nobody(self) -> None:
        world = World(5, WorldOptions(sides=3))
        world.run(6_000)
        first = dict(world.nodes)["swapdesk-1"].core.membership.me.incarnation
        for name in ("swapdesk-2", "swapdesk-3"):
            cut_all(world, ["swapdesk-1", name])
        for _ in range(60):
            world.run(500)
            self.assertLessEqual({"swapdesk-2", "swapdesk-3"}, self.members(world))
        world.links.cuts.clear()
        world.run(10_000)
        self.assertEqual(len(self.members(world)), 3)
        self.assertGreater(
            world.nodes["swapdesk-1"].core.membership.me.incarnation, first
        )

    def test_lone_member_removes_others_only_after_the_longer_time(self) -> None:
        world = World(6, WorldOptions(sides=3))
        world.run(6_000)
        for name in ("swapdesk-2", "swapdesk-3"):
            cut_all(world, ["swapdesk-1", name])
            world.store.unreachable.add(name)
        world.run(LONE_REMOVAL_MS - 500)
        self.assertEqual(len(self.members(world)), 3)
        world.run(1_500)
        self.assertEqual(self.members(world), {"swapdesk-1"})

    def test_writes_of_isolated_members_are_bounded(self) -> None:
        for sides in (2, 4):
            world = World(7, WorldOptions(sides=sides))
            world.run(6_000)
            cut_all(world, [f"swapdesk-{number + 1}" for number in range(sides)])
            before = world.store.writes
            world.run(30_000)
            self.assertLess(world.store.writes - before, 80)
            world.links.cuts.clear()
            world.run(15_000)
            self.assertEqual(len(self.members(world)), sides)


class LostOriginTest(unittest.TestCase):
    """Requests whose owner failed while a peer ran them."""

    def test_peer_that_becomes_the_owner_answers_its_running_requests(self) -> None:
        world = World(9, WorldOptions(sides=3, service_ms=5_000.0, slots=8))
        world.run(6_000)
        lost = world.nodes["swapdesk-1"].core
        lost.admission.running = {bytes([index]): 0 for index in range(8)}
        for number in range(24):
            world.add_caller().post("claims", f"claim-{number}")
        world.run(150)
        handed = list(lost.requests.values())
        for request in handed:
            lost.mover.hand_off(request, lost.ownership.pair(request.flow)[1])
        world.run(250)
        world.kill("swapdesk-1")
        world.run(20_000)
        told = world.tally.outcomes
        names = [
            request.message.payload.decode()
            for request in handed
            if request.stage is Stage.HANDED
        ]
        self.assertGreater(len(names), 3)
        self.assertEqual({told.get(name) for name in names}, {"done"})
        self.assertEqual(len(told), 24)
        self.assertEqual(Oracle(world).find_violations(), [])


class CrowdedTest(unittest.TestCase):
    """Requests above the limit of one side process."""

    def test_one_request_too_many_is_answered_at_once_and_never_runs(self) -> None:
        world = World(10, WorldOptions(sides=1))
        world.run(6_000)
        [core] = side_cores(world)
        caller = world.add_caller()
        with patch("fuchsiapin.coap.dispatching.MAX_REQUESTS", 0):
            caller.post("claims", "claim")
            caller.get_long("long", "long")
            [datagram, _] = [item.datagram for item in caller.pending.values()]
            world.run(100)
        told = {"claim": "unknown", "long": "refused"}
        self.assertEqual(world.tally.outcomes, told)
        caller.send_datagram(datagram)
        world.run(1_000)
        self.assertEqual((Oracle(world).execution_counts(), len(core.table)), ({}, 1))
        core.table.limit = 2
        with patch("fuchsiapin.coap.dispatching.MAX_REQUESTS", 0):
            caller.post("claims", "other")
            world.run(100)
        self.assertEqual(
            (world.tally.outcomes["other"], len(core.table)), ("unknown", 1)
        )


if __name__ == "__main__":
    unittest.main()
