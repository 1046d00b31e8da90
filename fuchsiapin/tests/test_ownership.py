"""Tests of claims, fencing, and the ranges of flows whose records are lost."""

import unittest
from dataclasses import replace

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import BlockOption

from fuchsiapin.coap.datagrams import parse_datagram, transfer_digest
from fuchsiapin.coap.membership import HISTORY_LIMIT, next_membership
from fuchsiapin.coap.ownership import Ownership
from fuchsiapin.messages import (
    Claim,
    Handoff,
    HandoffResult,
    Member,
    SendPeer,
    SendUpstream,
    ServiceMembership,
    UncertainRange,
    Upload,
    View,
)
from fuchsiapin.ranking import flow_key, member_key
from fuchsiapin.tests.standins.caller import Caller
from fuchsiapin.timers import Timers
from measure.world import World
from measure.worldparts import Links, WorldOptions


def make_member(name: str, zone: str = "bole") -> Member:
    """Return a live member."""
    return Member(name, 1, "10.0.0.1", 7000, zone, 2000, "live")


def make_ownership() -> Ownership:
    """Return the ownership of one side process without any view."""
    return Ownership("swapdesk", "a", 1, None, Timers(), [], lambda now: None)


def address_of(world: World, caller: Caller) -> tuple[str, int]:
    """Return the address of a caller."""
    return next(key for key, item in world.callers.items() if item is caller)


def flow_of(world: World, caller: Caller) -> bytes:
    """Return the flow key of a caller."""
    return flow_key("swapdesk", *address_of(world, caller))


class UncertainTest(unittest.TestCase):
    """Ranges of flows whose owner and witness both failed to answer."""

    def test_repeated_ranges_are_kept_once(self) -> None:
        ownership = make_ownership()
        view = View(3, [make_member("b"), make_member("c", "arada")])
        for until in (5, 9, 7):
            ownership.merge_uncertain([UncertainRange(view, ["b", "c"], until)])
        self.assertEqual([item.until for item in ownership.uncertain], [9])


class FalseRemovalTest(unittest.TestCase):
    """False removals, and claims for the incarnations before and after them."""

    def test_first_member_is_not_removed_before_it_sees_its_peers(self) -> None:
        options = WorldOptions(
            sides=5, others=(("intake", 3),), balancers=6, service_ms=60.0
        )
        world = World(464, options, Links(loss=0.02, duplicate=0.01, reorder=0.01))
        incarnations = {
            n: node.core.membership.me.incarnation
            for n, node in world.nodes.items()
            if node.service
        }
        world.run(12_000)
        now = {
            n: node.core.membership.me.incarnation
            for n, node in world.nodes.items()
            if node.service
        }
        self.assertEqual(now, incarnations)

    def test_claim_for_an_earlier_incarnation_goes_to_the_newer_one(self) -> None:
        ownership = make_ownership()
        earlier = make_member("b")
        later = replace(earlier, incarnation=2, host="10.0.0.2")
        views = [View(1, [earlier, make_member("a")]), View(2, [later])]
        ownership.adopt(0, ServiceMembership("swapdesk", views[1], views[:1], "x"))
        [asked] = ownership.pending_claims.values()
        self.assertEqual((asked.incarnation, asked.host), (1, "10.0.0.2"))

    def test_claim_is_known_for_own_incarnations_only(self) -> None:
        world = World(1, WorldOptions(sides=2))
        world.run(6_000)
        core = world.nodes["swapdesk-1"].core
        first, peer = core.membership.me.incarnation, core.membership.peers()[0]
        core.ownership.add_incarnation(first + 5)
        for incarnation, is_known in ((first, True), (first + 5, True), (3, False)):
            core.effects.clear()
            claim = Claim("swapdesk", core.ownership.view, incarnation)
            core.ownership.on_claim(int(world.now), peer, claim)
            answer = core.effects[-1].message
            self.assertEqual(
                (answer.incarnation, answer.is_known), (incarnation, is_known)
            )


class CutHistoryTest(unittest.TestCase):
    """Histories cut at their limit while no view is known to be active everywhere."""

    def grow(self, count: int, active_views: dict[str, set[int]]) -> ServiceMembership:
        """Return the membership after a number of changes."""
        members = [make_member("a"), make_member("b", "arada")]
        stored = None
        for _ in range(count):
            stored = next_membership("swapdesk", stored, members, "x", active_views)
        return stored

    def test_history_with_views_left_out_is_marked_as_cut(self) -> None:
        self.assertFalse(self.grow(HISTORY_LIMIT + 1, {}).is_cut)
        self.assertTrue(self.grow(HISTORY_LIMIT + 2, {}).is_cut)
        self.assertTrue(self.grow(HISTORY_LIMIT + 9, {}).is_cut)

    def test_view_active_everywhere_clears_the_cut_mark(self) -> None:
        number = HISTORY_LIMIT + 5
        active_views = {"a": {number}, "b": {number}}
        self.assertTrue(self.grow(number, active_views).is_cut)
        self.assertFalse(self.grow(number + 1, active_views).is_cut)

    def test_view_without_live_members_cuts_off_no_earlier_view(self) -> None:
        live = [make_member("a"), make_member("b", "arada")]
        leaving = [replace(member, state="leaving") for member in live]
        stored = None
        for members in (live, leaving, [*leaving, make_member("c")]):
            stored = next_membership("swapdesk", stored, members, "x", {})
        self.assertEqual([view.number for view in stored.history], [1, 2])

    def test_flows_of_views_left_out_are_uncertain(self) -> None:
        flow = b"swapdesk|10.0.0.9|4000"
        for count, member in ((HISTORY_LIMIT, ""), (HISTORY_LIMIT + 5, None)):
            ownership = make_ownership()
            membership = self.grow(count, {})
            ownership.adopt(0, membership)
            for key in ownership.pending_claims:
                answer = ownership.empty_answer(Claim("swapdesk", count, 1))
                ownership.answers[key] = replace(answer, is_known=True)
            self.assertEqual(ownership.authoritative_member(flow), member)
            ownership.mark_uncertain(0)
            self.assertEqual(ownership.is_uncertain(flow, 1), member is None)


class RecoveryTest(unittest.TestCase):
    """Regression tests of failures found by the fuzzer or in a review."""

    def test_restarted_side_process_ignores_answers_to_its_predecessor(self) -> None:
        world = World(1, WorldOptions(sides=3, service_ms=2_000.0))
        world.run(6_000)
        callers = [world.add_caller() for _ in range(12)]
        for number, caller in enumerate(callers):
            caller.open_board()
            caller.post("claims", f"before-{number}")
        world.run(200)
        for name in ("swapdesk-1", "swapdesk-2", "swapdesk-3"):
            world.restart_side(name)
        for number, caller in enumerate(callers):
            caller.get_long("long", f"after-{number}")
        world.run(60_000)
        self.assertEqual(world.tally.wrong, 0)

    def test_copy_received_before_the_record_does_not_run(self) -> None:
        world = World(3, WorldOptions(sides=3))
        world.run(6_000)
        caller = world.add_caller()
        cores = [world.nodes[f"swapdesk-{number}"].core for number in (1, 2, 3)]
        for core in cores:
            core.ownership.is_settled = False
        caller.post("claims", "claim")
        world.run(50)
        [owner] = [core for core in cores if core.requests]
        [request] = owner.requests.values()
        other = next(core for core in cores if core is not owner)
        record = owner.recorder.make_record(request, "intent", b"")
        executor = member_key(other.membership.me)
        owner.table.put(replace(record, executor=executor))
        owner.ownership.is_settled = True
        owner.advance_all(int(world.now))
        world.run(1_000)
        self.assertEqual([item.executions for item in world.upstreams], [[], [], []])

    def test_blocks_of_a_moved_transfer_come_from_one_run(self) -> None:
        options = WorldOptions(sides=3, service_ms=1_500.0, slots=1)
        world = World(5, options, Links(loss=0.05))
        world.run(6_000)
        for number in range(40):
            due = world.now + 300 * number
            caller = world.add_caller()
            world.at(due, lambda c=caller, n=number: c.get_long("long", f"long-{n}"))
        world.run(120_000)
        self.assertEqual(world.tally.wrong, 0)
        self.assertGreater(world.tally.done, 0)

    def test_first_block_of_a_former_owner_is_left_to_the_new_one(self) -> None:
        # Guards against a body from two runs, when both owners run the request.
        for seed in (1, 2):
            world = World(seed, WorldOptions(sides=2, service_ms=4_000.0, slots=1))
            world.run(6_000)
            world.add_caller().get_long("long", "long")
            world.run(100)
            [owner] = [
                node
                for node in world.nodes.values()
                if node.service and node.core.requests
            ]
            world.stop(owner.name)
            world.run(60_000)
            self.assertEqual(world.tally.outcomes, {"long": "done"})

    def test_block_received_before_the_claim_answer_joins_its_transfer(self) -> None:
        world = World(1, WorldOptions(sides=3))
        world.run(6_000)
        core = world.nodes["swapdesk-1"].core
        caller = next(
            item
            for item in [world.add_caller() for _ in range(20)]
            if core.ownership.is_self(core.ownership.pair(flow_of(world, item))[0])
        )
        message = Message(
            code=Code.GET, _mtype=Type.CON, _mid=9, _token=b"t", uri_path=("long",)
        )
        message.opt.block2 = BlockOption.BlockwiseTuple(1, False, 6)
        datagram = message.encode()
        host, port = address_of(world, caller)
        flow = flow_of(world, caller)
        core.ownership.is_settled = False
        core.receive(flow, host, port, datagram)
        tag = transfer_digest(flow, parse_datagram(datagram))
        upload = Upload(host, port, tag, "swapdesk-2", core.now + 60_000)
        core.flow_store.put_upload(upload)
        core.ownership.is_settled = True
        core.effects.clear()
        core.advance_all(core.now)
        sent = [type(e.message) for e in core.effects if isinstance(e, SendPeer)]
        self.assertIn(Handoff, sent)
        self.assertFalse(any(isinstance(e, SendUpstream) for e in core.effects))
        [request] = core.requests.values()
        core.effects.clear()
        declined = HandoffResult("swapdesk", request.key, "not_run", b"")
        core.mover.on_handoff_result("swapdesk-2", declined)
        self.assertFalse(any(isinstance(e, SendUpstream) for e in core.effects))
        record = core.table.get(request.key)
        answer = parse_datagram(record.response)
        self.assertIs(answer.code, Code.REQUEST_ENTITY_INCOMPLETE)

    def test_refusal_without_witness_is_answered(self) -> None:
        world = World(2, WorldOptions(sides=2, balancers=2, queue=0))
        world.run(6_000)
        caller = world.add_caller()
        world.links.cuts |= {
            ("swapdesk-1", "swapdesk-2"),
            ("swapdesk-2", "swapdesk-1"),
        }
        world.set_store(True)
        caller.post("claims", "claim")
        world.run(4_000)
        self.assertEqual(world.tally.outcomes, {"claim": "unknown"})


if __name__ == "__main__":
    unittest.main()
