"""Questions to other balancers: whose answers count, and how many are asked."""

import unittest

from fuchsiapin.flows.balancerstate import MAX_ASKED_BALANCERS
from fuchsiapin.flows.flowcache import FlowCache
from fuchsiapin.flows.inquiries import Inquiry
from fuchsiapin.flows.messages import Ask, Forward, Known, Returned
from fuchsiapin.flows.opening import (
    ATTEMPT_MS,
    HOLD_BACK_MS,
    MAX_PEER_QUESTIONS,
    PEER_ANSWER_MS,
)
from fuchsiapin.flows.openingstate import Opening
from fuchsiapin.tests.drivenbalancer import LOAD, DrivenBalancer
from fuchsiapin.tests.flowactors import SYN, PlainPacketFormat, make_packet


def make_inquiry(*hosts: str) -> Inquiry:
    """Return an inquiry to some balancers."""
    packet = PlainPacketFormat().read(make_packet(SYN, b"a" * 6, b"b" * 6), False)
    assert packet is not None
    return Inquiry(packet, 1, frozenset(hosts))


class InquiryTest(unittest.TestCase):
    """Only balancers that were asked confirm, and a majority is more than half."""

    def test_a_host_that_was_not_asked_does_not_confirm(self) -> None:
        inquiry = make_inquiry("a", "b").confirm("c")
        self.assertEqual(inquiry.confirming_hosts, frozenset())
        self.assertEqual(inquiry.unconfirmed_hosts, {"a", "b"})

    def test_the_balancers_that_have_not_confirmed_remain(self) -> None:
        inquiry = make_inquiry("a", "b").confirm("a")
        self.assertEqual(inquiry.confirming_hosts, {"a"})
        self.assertEqual(inquiry.unconfirmed_hosts, {"b"})
        self.assertEqual(inquiry.confirm("b").unconfirmed_hosts, frozenset())

    def test_half_is_not_most(self) -> None:
        inquiry = make_inquiry("a", "b", "c", "d").confirm("a").confirm("b")
        self.assertFalse(inquiry.is_confirmed_by_most)
        self.assertTrue(inquiry.confirm("c").is_confirmed_by_most)

    def test_one_of_three_is_not_most_and_two_are(self) -> None:
        inquiry = make_inquiry("a", "b", "c").confirm("a").confirm("a")
        self.assertFalse(inquiry.is_confirmed_by_most)
        self.assertTrue(inquiry.confirm("b").is_confirmed_by_most)

    def test_most_of_nobody_confirms_nothing(self) -> None:
        self.assertFalse(make_inquiry().confirm("a").is_confirmed_by_most)


class AskedBalancersTest(unittest.TestCase):
    """Which of many balancers are asked about a flow."""

    def asked(self, peers: int, near: int) -> tuple[list[str], list[str]]:
        """Return the balancers that are asked, and those of the same zone.

        The latter became known last.
        """
        balancer = DrivenBalancer(peers=peers)
        state = balancer.core.state
        for index, host in enumerate(balancer.peers):
            is_near = index >= peers - near
            state.gossip.peers[host].zone = state.record.zone if is_near else "far"
        return state.balancers_to_ask(balancer.now), balancer.peers[-near:]

    def test_those_of_the_same_zone_come_first_when_there_are_many(self) -> None:
        asked, near = self.asked(MAX_ASKED_BALANCERS + 1, 5)
        self.assertEqual(asked[:5], near)

    def test_no_more_than_the_limit_are_asked(self) -> None:
        for peers, near in ((MAX_ASKED_BALANCERS + 1, 1), (60, 40)):
            asked, _ = self.asked(peers, near)
            self.assertEqual(len(set(asked)), MAX_ASKED_BALANCERS)

    def test_only_those_of_the_own_zone_are_asked_soon_after_the_first_packet(self):
        # Questions to all balancers for each refusal filled their links in an overload.
        balancer = DrivenBalancer(peers=6)
        opener, state = balancer.core.opener, balancer.core.state
        for host in balancer.peers[:2]:
            state.gossip.peers[host].zone = state.record.zone
        now = balancer.now
        for age, asked in ((100, balancer.peers[:2]), (200, balancer.peers)):
            opening = Opening("", now, [], saw_first=True, received_at=now - age)
            self.assertEqual(opener.balancers_to_ask(now, opening), asked)

    def test_all_are_asked_when_there_are_few(self) -> None:
        asked, _ = self.asked(MAX_ASKED_BALANCERS, 1)
        self.assertEqual(len(set(asked)), MAX_ASKED_BALANCERS)

    def test_a_search_asks_no_more_than_the_limit(self) -> None:
        balancer = DrivenBalancer(peers=MAX_ASKED_BALANCERS + 10)
        balancer.search_in_vain()
        self.assertEqual(len(balancer.asked()), MAX_ASKED_BALANCERS)


class RefusalQuestionTest(unittest.TestCase):
    """Questions about a new flow that no member takes."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=2, members=0)
        self.balancer.open()

    def test_questions_without_answers_end(self) -> None:
        self.balancer.wait(PEER_ANSWER_MS * 10)
        expected = self.balancer.peers * MAX_PEER_QUESTIONS
        self.assertEqual(self.balancer.asked(), expected)
        self.assertEqual(self.balancer.reasons, [])

    def test_a_copy_does_not_double_the_questions(self) -> None:
        self.balancer.open(1)
        self.balancer.wait(PEER_ANSWER_MS * 10)
        expected = self.balancer.peers * MAX_PEER_QUESTIONS
        self.assertEqual(self.balancer.asked(), expected)

    def test_a_balancer_that_answered_is_not_asked_again(self) -> None:
        first, second = self.balancer.peers
        self.balancer.receive(first, Known(self.balancer.flow, "", 0))
        self.balancer.wait(PEER_ANSWER_MS)
        self.assertEqual(self.balancer.asked(), [first, second, second])

    def test_one_missing_answer_leaves_the_flow_alone(self) -> None:
        first, second = self.balancer.peers
        self.balancer.receive(first, Known(self.balancer.flow, "", 0))
        self.assertEqual(self.balancer.reasons, [])
        self.balancer.receive(second, Known(self.balancer.flow, "", 0))
        self.assertEqual(len(self.balancer.reasons), 1)

    def test_a_flow_that_another_balancer_knows_is_not_reset(self) -> None:
        first, second = self.balancer.peers
        self.balancer.receive(first, Known(self.balancer.flow, "10.0.1.1", 0))
        for host in (first, second):
            self.balancer.receive(host, Known(self.balancer.flow, "", 0))
        self.balancer.wait(PEER_ANSWER_MS * 10)
        self.assertEqual(self.balancer.reasons, [])


class LateReturnTest(unittest.TestCase):
    """A member that was late returns a flow that a copy may have opened elsewhere."""

    def reasons_after(self, duration: int) -> tuple[list[str], int]:
        """Return the reasons of resets, and the number of offers.

        The first of two members returns the flow after a time, the other one at once.
        """
        balancer = DrivenBalancer(members=2)
        balancer.open()
        balancer.wait(duration)
        for _ in range(2):
            host, forward = balancer.hosts_of(Forward)[-1], balancer.last(Forward)
            returned = Returned("desk", "full", 0, False, LOAD, forward.packet)
            balancer.receive(host, returned)
        for host in balancer.peers:
            balancer.receive(host, Known(balancer.flow, "", 0))
        return balancer.reasons, len(balancer.hosts_of(Forward))

    def test_it_is_offered_again_and_refused_while_its_caller_waits(self) -> None:
        self.assertEqual(self.reasons_after(ATTEMPT_MS), (["every member refused"], 2))

    def test_it_is_neither_offered_nor_reset_once_its_caller_gave_up(self) -> None:
        self.assertEqual(self.reasons_after(ATTEMPT_MS + 1), ([], 1))


class HeldBackFlowTest(unittest.TestCase):
    """A flow that another balancer is about to refuse isn't offered for a while."""

    def setUp(self) -> None:
        self.balancer = DrivenBalancer(peers=1)
        self.balancer.receive(self.balancer.peers[0], Ask(self.balancer.flow))

    def test_a_copy_is_not_offered_while_its_flow_is_held_back(self) -> None:
        self.balancer.wait(HOLD_BACK_MS)
        self.balancer.open(1)
        self.assertEqual(self.balancer.hosts_of(Forward), [])
        self.assertEqual(self.balancer.core.counts["held back"], 1)

    def test_a_copy_is_offered_after_that_time(self) -> None:
        self.balancer.wait(HOLD_BACK_MS + 1)
        self.balancer.open(1)
        self.assertEqual(len(self.balancer.hosts_of(Forward)), 1)

    def test_a_copy_while_the_flow_is_held_back_does_not_prolong_that(self) -> None:
        self.balancer.wait(HOLD_BACK_MS - 1)
        self.balancer.open(1)
        self.balancer.wait(2)
        self.balancer.open(2)
        self.assertEqual(len(self.balancer.hosts_of(Forward)), 1)

    def test_flows_that_were_held_back_are_forgotten(self) -> None:
        peer, opener = self.balancer.peers[0], self.balancer.core.opener
        for number in range(20):
            self.balancer.receive(peer, Ask(bytes([number]) * 12))
        self.assertEqual(len(opener.held_back), 21)
        self.balancer.wait(HOLD_BACK_MS + 1)
        self.balancer.receive(peer, Ask(b"x" * 12))
        self.assertEqual(len(opener.held_back), 1)


class FlowCacheTest(unittest.TestCase):
    """Idle entries go, used ones stay."""

    def test_only_entries_that_were_idle_for_too_long_expire(self) -> None:
        cache = FlowCache(10, 100)
        for index, key in enumerate((b"a", b"b", b"c")):
            cache.put(key, index, 50 * index)
        cache.expire(150)
        self.assertEqual(list(cache.entries), [b"b", b"c"])

    def test_a_used_entry_outlives_one_that_was_put_later(self) -> None:
        cache = FlowCache(10, 100)
        cache.put(b"a", 1, 0)
        cache.put(b"b", 2, 10)
        cache.get(b"a", 60)
        cache.expire(120)
        self.assertEqual(list(cache.entries), [b"a"])

    def test_an_idle_entry_is_not_returned(self) -> None:
        cache = FlowCache(10, 100)
        cache.put(b"a", 1, 0)
        self.assertIsNone(cache.get(b"a", 101))
        self.assertEqual(len(cache), 0)

    def test_all_entries_expire(self) -> None:
        cache = FlowCache(10, 100)
        for key in (b"a", b"b"):
            cache.put(key, 1, 0)
        cache.expire(101)
        self.assertEqual(len(cache), 0)


if __name__ == "__main__":
    unittest.main()
