"""What a search for a flow's holder proves, and how little it may cost."""

import unittest

from fuchsiapin.flows.messages import Ask, Forward, Known, Returned
from fuchsiapin.flows.packets import endpoint
from fuchsiapin.flows.searching import (
    MAX_FLOW_MS,
    MAX_SEARCHED_MEMBERS,
    MAX_WAITING_PACKETS,
    PROPAGATION_MS,
    SEARCH_MS,
)
from fuchsiapin.flows.searchstate import (
    HOPS_PER_SEARCH,
    MAX_FIRST_NUMBER,
    first_hops,
)
from fuchsiapin.lightclasses import replace
from fuchsiapin.tests.drivenbalancer import LOAD, DrivenBalancer, make_member
from fuchsiapin.tests.flowactors import DATA_BYTES
from fuchsiapin.tests.flowworld import world_with_flow


class ConfirmationTest(unittest.TestCase):
    """When the answers of other balancers allow a reset."""

    def test_all_confirmations_reset_at_once(self) -> None:
        balancer = DrivenBalancer(peers=3)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.reasons, ["held nowhere"])

    def test_a_member_that_joined_since_the_search_may_hold_the_flow(self) -> None:
        balancer = DrivenBalancer(peers=2)
        balancer.search_in_vain()
        balancer.confirm(balancer.peers[0])
        balancer.table.put(balancer.now, make_member(9))
        balancer.confirm(balancer.peers[1])
        self.assertEqual(balancer.reasons, [])

    def test_a_balancer_that_knows_other_members_confirms_nothing(self) -> None:
        balancer = DrivenBalancer(peers=1)
        balancer.search_in_vain()
        known = Known(balancer.flow, "", balancer.first_hash ^ 1)
        balancer.receive(balancer.peers[0], known)
        self.assertEqual(balancer.reasons, [])

    def test_a_balancer_that_may_not_know_all_members_resets_nothing(self) -> None:
        balancer = DrivenBalancer(peers=1, age=500)
        balancer.core.state.member_follower.has_listed = False
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.reasons, [])

    def test_a_majority_does_not_suffice_before_members_propagate(self) -> None:
        balancer = DrivenBalancer(peers=3)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers[:2])
        balancer.wait(PROPAGATION_MS - 1)
        balancer.request()
        balancer.deny()
        self.assertEqual(balancer.reasons, [])

    def test_a_majority_suffices_once_members_have_propagated(self) -> None:
        balancer = DrivenBalancer(peers=3)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers[:2])
        balancer.wait(PROPAGATION_MS)
        balancer.deny()
        self.assertEqual(balancer.reasons, ["held nowhere"])

    def test_half_of_the_balancers_do_not_suffice(self) -> None:
        balancer = DrivenBalancer(peers=4)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers[:2])
        balancer.wait(PROPAGATION_MS)
        balancer.deny()
        self.assertEqual(balancer.reasons, [])

    def test_a_balancer_that_confirms_twice_counts_once(self) -> None:
        balancer = DrivenBalancer(peers=3)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers[:1] * 2)
        balancer.wait(PROPAGATION_MS)
        balancer.deny()
        self.assertEqual(balancer.reasons, [])


class AloneTest(unittest.TestCase):
    """A balancer resets without asking others only if it is known to be alone."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=0)
        self.state = self.balancer.core.state

    def test_a_balancer_that_is_alone_resets_at_once(self) -> None:
        self.balancer.search_in_vain()
        self.assertEqual(self.balancer.reasons, ["held nowhere"])

    def test_a_balancer_that_has_not_read_the_list_is_not_alone(self) -> None:
        self.state.balancer_follower.has_listed = False
        self.balancer.search_in_vain()
        self.assertEqual((self.state.is_alone(), self.balancer.reasons), (False, []))

    def test_a_balancer_without_the_store_is_not_alone(self) -> None:
        self.state.member_follower.is_reachable = False
        self.balancer.search_in_vain()
        self.assertEqual((self.state.is_alone(), self.balancer.reasons), (False, []))

    def test_a_balancer_that_knows_a_silent_one_is_not_alone(self) -> None:
        self.state.gossip.ensure_peer(self.balancer.now, "10.0.0.2")
        self.balancer.search_in_vain()
        self.assertEqual((self.state.is_alone(), self.balancer.reasons), (False, []))


class AnswerTest(unittest.TestCase):
    """A balancer vouches for its members only if they account for the holder."""

    def answer(self, holder: str, **options: int) -> tuple[DrivenBalancer, Known]:
        """Return a balancer that cached a holder, and its answer to a question."""
        balancer = DrivenBalancer(peers=1, **options)
        if holder:
            balancer.core.holders.put(balancer.flow, holder, balancer.now)
        balancer.receive(balancer.peers[0], Ask(balancer.flow))
        return balancer, balancer.last(Known)

    def test_an_unknown_holder_is_not_vouched_for(self) -> None:
        _, known = self.answer("10.0.9.9")
        self.assertEqual((known.host, known.members), ("10.0.9.9", 0))

    def test_the_members_vouch_for_a_known_holder_and_for_none(self) -> None:
        for holder in (make_member(0).host, ""):
            balancer, known = self.answer(holder)
            self.assertEqual(known.host, holder)
            self.assertEqual(known.members, balancer.table.ids_hash)

    def test_the_members_vouch_for_a_holder_that_left(self) -> None:
        balancer, _ = self.answer(make_member(0).host)
        balancer.table.mark_gone(balancer.now, make_member(0))
        balancer.receive(balancer.peers[0], Ask(balancer.flow))
        self.assertEqual(balancer.last(Known).members, balancer.table.ids_hash)

    def test_a_balancer_that_may_not_know_all_members_vouches_for_none(self) -> None:
        balancer = DrivenBalancer(peers=1, age=500)
        balancer.core.state.member_follower.has_listed = False
        balancer.receive(balancer.peers[0], Ask(balancer.flow))
        self.assertEqual(balancer.last(Known).members, 0)


class FoundFlowTest(unittest.TestCase):
    """What was noted about a flow ends once a member holds it."""

    def test_a_found_flow_is_not_reset_later_as_upstream_gone(self) -> None:
        balancer = DrivenBalancer(peers=1, members=3)
        left = balancer.members[0]
        balancer.core.holders.put(balancer.flow, left.host, balancer.now)
        balancer.table.mark_gone(balancer.now, left)
        balancer.request()
        balancer.claim(balancer.members[1].host)
        balancer.core.holders.remove(balancer.flow)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.reasons, ["held nowhere"])

    def test_a_flow_that_was_not_found_is_reset_as_upstream_gone(self) -> None:
        balancer = DrivenBalancer(peers=1, members=3)
        left = balancer.members[0]
        balancer.core.holders.put(balancer.flow, left.host, balancer.now)
        balancer.table.mark_gone(balancer.now, left)
        balancer.search_in_vain()
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.reasons, ["upstream gone"])

    def test_confirmations_that_come_after_the_holder_reset_nothing(self) -> None:
        balancer = DrivenBalancer(peers=1)
        balancer.search_in_vain()
        balancer.claim(balancer.members[0].host)
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.reasons, [])


class FoundMeanwhileTest(unittest.TestCase):
    """The holder reports while a search that doesn't include it is under way."""

    def test_the_search_that_fails_then_resets_nothing(self) -> None:
        balancer = DrivenBalancer(peers=1, members=3)
        holder = balancer.members[0]
        balancer.claim(holder.host)
        balancer.table.mark_gone(balancer.now, replace(holder, state="gone"))
        balancer.first_hash = balancer.table.ids_hash
        balancer.request()
        balancer.claim(holder.host)
        balancer.deny()
        balancer.confirm(*balancer.peers)
        self.assertEqual((balancer.reasons, balancer.asked()), ([], []))


class RepeatedQuestionTest(unittest.TestCase):
    """A flow that isn't found costs a bounded number of questions."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=3)
        self.balancer.search_in_vain()

    def test_a_retransmission_does_not_ask_the_balancers_again(self) -> None:
        self.balancer.wait(100)
        self.balancer.request()
        self.balancer.deny()
        self.assertEqual(self.balancer.asked(), self.balancer.peers)

    def test_a_packet_asks_again_once_the_answers_are_overdue(self) -> None:
        self.balancer.wait(SEARCH_MS)
        self.balancer.request()
        self.balancer.deny()
        self.assertEqual(len(self.balancer.asked()), 6)

    def test_a_packet_asks_again_after_the_members_changed(self) -> None:
        self.balancer.table.put(self.balancer.now, make_member(9))
        self.balancer.request()
        self.balancer.deny()
        self.assertEqual(len(self.balancer.asked()), 6)

    def test_a_repeated_search_asks_nobody_although_the_members_changed(self) -> None:
        self.balancer.table.put(self.balancer.now, make_member(9))
        self.balancer.wait(PROPAGATION_MS)
        self.assertEqual(self.balancer.counts()["Forward"], 2)
        self.balancer.deny()
        self.assertEqual(self.balancer.asked(), self.balancer.peers)

    def test_one_packet_of_a_gone_flow_asks_each_balancer_once(self) -> None:
        world, caller, host = world_with_flow(balancers=5)
        for index in range(5):
            world.balancer(index).holders.remove(caller.flow)
        world.upstreams[host].flows.clear()
        world.side(host).held.remove(caller.flow)
        first, *others = world.balancer_hosts
        world.cut_links = {(other, first) for other in others}
        before = world.sent_messages["Ask"]
        caller.request(first)
        # The members change between the search and its repetition.
        world.run(200)
        world.add_member("10.0.1.9", "desk", 2, 30)
        world.run(5_000)
        self.assertEqual(world.sent_messages["Ask"] - before, 4)
        self.assertEqual(caller.resets, 0)


class YoungBalancerTest(unittest.TestCase):
    """A young balancer searches other services too, in small deployments only."""

    def search(self, age: int, members: int) -> DrivenBalancer:
        """Return a balancer at which a route's members denied a flow.

        One more member, u999, is of another service.
        """
        balancer = DrivenBalancer(members=members - 1, age=age)
        balancer.table.put(balancer.now, make_member(999, "other"))
        balancer.search_in_vain()
        return balancer

    def test_a_young_balancer_searches_other_services_before_it_asks(self) -> None:
        balancer = self.search(MAX_FLOW_MS, 3)
        self.assertEqual(balancer.last(Forward).service, "other")
        self.assertEqual(balancer.asked(), [])
        balancer.deny()
        self.assertEqual(balancer.asked(), balancer.peers)

    def test_an_older_balancer_searches_the_services_of_the_route_only(self) -> None:
        balancer = self.search(MAX_FLOW_MS + 1, 3)
        self.assertEqual(balancer.counts()["Forward"], 1)
        self.assertEqual(balancer.asked(), balancer.peers)

    def test_as_many_members_as_allowed_are_searched(self) -> None:
        balancer = self.search(MAX_FLOW_MS, MAX_SEARCHED_MEMBERS)
        self.assertEqual(balancer.last(Forward).service, "other")

    def test_a_young_balancer_with_more_members_searches_and_resets_nothing(
        self,
    ) -> None:
        balancer = self.search(MAX_FLOW_MS, MAX_SEARCHED_MEMBERS + 1)
        balancer.confirm(*balancer.peers)
        balancer.wait(PROPAGATION_MS)
        self.assertEqual(balancer.counts()["Forward"], 1)
        self.assertEqual((balancer.asked(), balancer.reasons), ([], []))

    def test_an_older_balancer_with_more_members_resets(self) -> None:
        balancer = self.search(MAX_FLOW_MS + 1, MAX_SEARCHED_MEMBERS + 1)
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.reasons, ["held nowhere"])


class SearchTableTest(unittest.TestCase):
    """The table of searches stays small, though most never end with an answer."""

    def test_searches_that_found_their_holder_expire(self) -> None:
        balancer = DrivenBalancer()
        for number in range(50):
            caller = endpoint("100.64.1.1", 5_000 + number)
            balancer.request(caller)
            flow = balancer.route.address + caller
            balancer.claim(balancer.members[0].host, flow)
        self.assertEqual(len(balancer.core.search.searches), 50)
        balancer.wait(SEARCH_MS + 1)
        balancer.request(endpoint("100.64.1.1", 6_000))
        self.assertEqual(len(balancer.core.search.searches), 1)

    def test_a_search_that_is_not_answered_in_time_is_forgotten(self) -> None:
        balancer = DrivenBalancer()
        balancer.request()
        balancer.wait(SEARCH_MS + 1)
        balancer.deny()
        self.assertEqual((balancer.asked(), balancer.reasons), ([], []))


class FormerProcessTest(unittest.TestCase):
    """An answer to a search of another process, or to none, changes nothing."""

    def check_ignored(self, balancer: DrivenBalancer, hops: int) -> None:
        """Check that a returned packet with some count of hops changes nothing."""
        packet = balancer.last(Forward).packet
        before = balancer.counts()
        returned = Returned("desk", "unknown", hops, True, LOAD, packet)
        balancer.receive(balancer.members[-1].host, returned)
        balancer.confirm(*balancer.peers)
        self.assertEqual(balancer.counts(), before)
        self.assertEqual(balancer.reasons, [])

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=1)
        self.balancer.first_hash = self.balancer.table.ids_hash
        self.balancer.request()

    def test_the_answer_to_another_number_is_ignored(self) -> None:
        number = self.balancer.core.search.last_number
        for other in (number - 1, number + 1):
            self.check_ignored(self.balancer, first_hops(other) + 2)

    def test_an_answer_without_a_number_is_ignored(self) -> None:
        number = self.balancer.core.search.last_number
        for hops in (0, 5, HOPS_PER_SEARCH, number * HOPS_PER_SEARCH + 5):
            self.check_ignored(self.balancer, hops)

    def test_the_answer_to_the_first_search_of_a_former_process(self) -> None:
        former = self.balancer.last(Forward)
        present = DrivenBalancer(peers=1, age=10_000)
        present.first_hash = present.table.ids_hash
        present.request()
        self.check_ignored(present, former.hops + 2)

    def test_numbers_of_long_running_clocks_stay_in_range(self) -> None:
        started = 1 << 60
        balancer = DrivenBalancer(now=started + 1_000, age=1_000)
        balancer.request()
        number = balancer.core.search.last_number
        self.assertLessEqual(number, MAX_FIRST_NUMBER)


class WaitingPacketsTest(unittest.TestCase):
    """One packet of a flow is searched with; the others go to the holder directly."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=1, members=4)

    def searches(self) -> int:
        """Return how many packets were sent along the members."""
        return len(self.balancer.searches())

    def direct(self) -> list[str]:
        """Return the addresses to which packets were sent directly, in order."""
        return [
            effect.host
            for effect in self.balancer.sent
            if isinstance(effect.message, Forward) and not effect.message.is_search
        ]

    def test_packets_of_an_upload_wait_for_the_holder(self) -> None:
        for _ in range(10):
            self.balancer.request()
        self.assertEqual((self.searches(), self.direct()), (1, []))
        holder = self.balancer.members[3].host
        self.balancer.claim(holder)
        self.assertEqual(self.direct(), [holder] * 9)
        self.balancer.request()
        self.assertEqual((self.searches(), self.direct()), (1, [holder] * 10))

    def test_a_retransmission_starts_another_search(self) -> None:
        self.balancer.request()
        self.assertEqual(self.searches(), 1)
        self.balancer.wait(200)
        self.balancer.request()
        # No member has answered: each of the four is asked alone.
        self.assertEqual(self.searches(), 1 + 4)

    def test_a_failed_search_ends_the_wait(self) -> None:
        self.balancer.search_in_vain()
        self.balancer.request()
        self.assertEqual(self.searches(), 2)

    def test_waiting_packets_are_limited(self) -> None:
        for _ in range(100):
            self.balancer.request()
        self.balancer.claim(self.balancer.members[0].host)
        self.assertEqual(len(self.direct()), MAX_WAITING_PACKETS)

    def test_packets_reach_the_upstream_by_another_balancer(self) -> None:
        world, caller, holder = world_with_flow(members=6, balancers=2)
        other = world.balancer_hosts[1]
        before = world.sent_messages["Forward"]
        for length in (DATA_BYTES, DATA_BYTES, DATA_BYTES, 50):
            caller.request(other, length)
        world.run(300)
        self.assertEqual(caller.answers, 1)
        self.assertLessEqual(world.sent_messages["Forward"] - before, 3 + 6)


if __name__ == "__main__":
    unittest.main()
