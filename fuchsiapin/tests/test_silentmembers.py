"""Members that neither claim nor deny a flow don't end the search for its holder."""

import unittest

from fuchsiapin.flows.searchstate import Search, SearchStep
from fuchsiapin.flows.unanswered import (
    MAX_SPLITS,
    SPLITS_MS,
    STEP_MS,
    UNRESPONSIVE_MS,
)
from fuchsiapin.tests.drivenbalancer import DrivenBalancer, make_member
from fuchsiapin.tests.flowactors import Caller
from fuchsiapin.tests.flowworld import FlowWorld, open_flow, settled_world

RETRANSMIT_MS = 200


class CrashedUpstreamTest(unittest.TestCase):
    """An upstream crashes beside a side process that is younger than its flows.

    The side process gives it packets of flows that it doesn't know, as the upstream may
    hold them.
    """

    def crashed_world(self, members: int) -> tuple[FlowWorld, list[Caller]]:
        """Return a world with such an upstream, and the callers of the others."""
        world = settled_world(members=members)
        callers = [open_flow(world, world.balancer_hosts[0]) for _ in range(60)]
        for host in list(world.upstreams):
            world.start_side(host)
        world.run(1_000)
        crashed = next(iter(world.upstreams))
        world.upstreams[crashed].is_up = False
        callers = [caller for caller in callers if world.holder(caller) != crashed]
        for index in range(3):
            for caller in callers:
                world.balancer(index).holders.remove(caller.flow)
        return world, callers

    def retransmit(self, world: FlowWorld, callers: list[Caller], wait: int) -> None:
        """Retransmit the requests of callers without an answer, and wait."""
        for caller in callers:
            if not caller.answers:
                caller.retransmit(world.balancer_hosts[1])
        world.run(wait)

    def test_flows_of_living_upstreams_are_found_by_the_first_retransmission(
        self,
    ) -> None:
        # review/5: each search along the members ended at the crashed upstream.
        world, callers = self.crashed_world(members=6)
        for caller in callers:
            caller.request(world.balancer_hosts[1])
            world.run(10)
        world.run(RETRANSMIT_MS)
        self.assertTrue(any(not caller.answers for caller in callers))
        self.retransmit(world, callers, RETRANSMIT_MS)
        self.retransmit(world, callers, RETRANSMIT_MS)
        missed = [caller for caller in callers if not caller.answers]
        self.assertEqual((missed, sum(c.resets for c in callers)), ([], 0))

    def test_the_second_retransmission_finds_them_among_many_members(self) -> None:
        world, callers = self.crashed_world(members=40)
        for caller in callers:
            caller.request(world.balancer_hosts[1])
        world.run(RETRANSMIT_MS)
        for wait in (400, 400):
            self.retransmit(world, callers, wait)
        missed = [caller for caller in callers if not caller.answers]
        self.assertEqual((missed, sum(c.resets for c in callers)), ([], 0))


class SilenceTest(unittest.TestCase):
    """What the next packet of a flow does while members haven't answered."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=1, members=3)

    def retransmit(self) -> list[str]:
        """Receive the next packet of the flow; return the addresses that get it."""
        before = len(self.balancer.searches())
        self.balancer.wait(RETRANSMIT_MS)
        self.balancer.request()
        return [
            " ".join([search.host, *search.message.rest])
            for search in self.balancer.searches()[before:]
        ]

    def hosts(self) -> list[str]:
        """Return the addresses of the members in the order of the first search."""
        first = self.balancer.searches()[0]
        return [first.host, *first.message.rest]

    def deny_all_but(self, *silent: str) -> None:
        """Receive the denials of the latest chains without some members."""
        for search in self.balancer.searches()[self.balancer.denied :]:
            if not {search.host, *search.message.rest} & set(silent):
                self.balancer.deny_chain(search)
        self.balancer.denied = len(self.balancer.searches())

    def test_each_member_of_a_short_chain_is_asked_alone(self) -> None:
        self.balancer.request()
        self.assertEqual(self.retransmit(), self.hosts())

    def test_the_silence_of_a_member_is_no_denial(self) -> None:
        self.balancer.first_hash = self.balancer.table.ids_hash
        self.balancer.request()
        silent = self.hosts()[0]
        self.deny_all_but(silent)
        for _ in range(6):
            self.retransmit()
            self.deny_all_but(silent)
        self.balancer.confirm(*self.balancer.peers)
        self.assertEqual((self.balancer.asked(), self.balancer.reasons), ([], []))

    def test_a_silent_member_is_asked_after_the_others_for_a_while(self) -> None:
        self.balancer.request()
        silent, second, third = self.hosts()
        self.deny_all_but(silent)
        self.retransmit()
        self.deny_all_but(silent)
        self.assertEqual(self.retransmit(), [f"{second} {third}"])
        self.deny_all_but(silent)
        self.assertEqual(self.balancer.searches()[-1].host, silent)
        self.balancer.wait(max(UNRESPONSIVE_MS, STEP_MS) + 1)
        self.assertEqual(self.retransmit(), [f"{silent} {second} {third}"])

    def test_a_member_that_answers_again_is_asked_in_order_again(self) -> None:
        self.balancer.request()
        silent, second, third = self.hosts()
        self.retransmit()
        self.retransmit()
        self.balancer.claim(silent)
        self.balancer.core.holders.remove(self.balancer.flow)
        asked = self.retransmit()
        self.assertEqual(asked[0], silent)

    def test_a_late_denial_of_the_whole_chain_counts_for_all_members(self) -> None:
        self.balancer.first_hash = self.balancer.table.ids_hash
        self.balancer.request()
        chain = self.balancer.searches()[0]
        self.retransmit()
        self.balancer.deny_chain(chain)
        self.assertEqual(self.balancer.asked(), self.balancer.peers)

    def test_the_other_services_are_searched_without_a_silent_member(self) -> None:
        balancer = self.balancer = DrivenBalancer(peers=1, members=2, age=30_000)
        route = balancer.route
        balancer.table.put(balancer.now, make_member(9, "other"))
        balancer.core.routes.former_services[route.address] = ("other",)
        balancer.request()
        silent = self.hosts()[0]
        self.retransmit()
        self.deny_all_but(silent)
        self.assertEqual(self.retransmit(), [make_member(9).host])
        balancer.first_hash = balancer.table.ids_hash
        balancer.deny()
        balancer.confirm(*balancer.peers)
        self.assertEqual((balancer.asked(), balancer.reasons), ([], []))

    def test_few_searches_are_continued_at_a_time(self) -> None:
        self.balancer.core.search.unanswered.splits_since = (
            self.balancer.now + RETRANSMIT_MS
        )
        self.balancer.core.search.unanswered.splits = MAX_SPLITS
        self.balancer.request()
        chain = " ".join(self.hosts())
        self.assertEqual(self.retransmit(), [chain])
        self.balancer.wait(SPLITS_MS)
        self.assertEqual(self.retransmit(), self.hosts())


class SearchStepTest(unittest.TestCase):
    """A chain is split into a few parts, until each member was asked alone."""

    def test_the_open_part_of_a_long_chain_is_split_again(self) -> None:
        hosts = tuple(f"10.0.1.{number}" for number in range(50))
        step = SearchStep(Search([], frozenset()))
        step.add(1, hosts)
        parts = step.overdue_parts()
        self.assertEqual(sum(parts, ()), hosts)
        for number, part in enumerate(parts, 2):
            step.add(number, part)
        for number in (2, *range(4, 2 + len(parts))):
            step.note_returned(number)
        alone = step.overdue_parts()
        self.assertEqual(alone, [(host,) for host in parts[1]])
        for number, part in enumerate(alone, 20):
            step.add(number, part)
        self.assertEqual(step.overdue_parts(), [])
        self.assertEqual(step.waiting_hosts, set(parts[1]))


if __name__ == "__main__":
    unittest.main()
