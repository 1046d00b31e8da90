"""One small scenario per promise, run with and without a deliberate fault.

A scenario must find no violation with the cores as they are, and one of the named
promise once a fault is patched into the cores.
"""

import unittest
from typing import Any
from unittest.mock import patch

from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.balancercore import BalancerCore
from fuchsiapin.coap.dispatching import Dispatcher
from fuchsiapin.coap.membership import Membership
from fuchsiapin.coap.observationmanager import ObservationManager
from fuchsiapin.coap.ownership import Ownership
from fuchsiapin.coap.relay import Relay
from fuchsiapin.coap.sidecore import SideCore
from fuchsiapin.coap.upstream import UpstreamLink
from fuchsiapin.replicas import Replicas
from fuchsiapin.tests.deliberate import (
    adopt_any_view,
    answer_any_claim,
    apply_any_balancer_configuration,
    apply_any_members,
    apply_any_side_configuration,
    find_any_side,
    forward_elsewhere,
    put_any_version,
    refuse_unrecorded,
    start_unrecorded,
    stay_live,
    take_any_service,
    use_equal_tokens,
)
from fuchsiapin.tests.scenarios import (
    Scenario,
    accept_config_that_reaches_one_zone,
    answer_from_another_service,
    claim_in_a_view_unknown_to_peers,
    deliver_older_values_as_newer,
    kill_owner_before_replication,
    kill_owner_that_refused,
    redeliver_older_versions,
    restart_all_with_requests_in_flight,
    resume_owner_that_lost_its_flows,
    reuse_address_for_another_service,
    stop_owner_of_boards,
    stop_owner_of_transfers,
)
from fuchsiapin.views import ViewHistory


class PromiseTest(unittest.TestCase):
    """Each scenario passes, and detects the fault that breaks its promise."""

    def check(
        self, scenario: Scenario, promise: str, *faults: tuple[Any, str, Any]
    ) -> None:
        """Check that a scenario finds no violation, and one with each fault."""
        self.assertEqual(scenario(), [])
        for owner, name, fault in faults:
            with self.subTest(fault=name), patch.object(owner, name, fault):
                found = scenario()
                self.assertTrue(any(promise in item for item in found), found)

    def test_no_claim_runs_without_its_witness(self) -> None:
        self.check(
            kill_owner_before_replication,
            "at most once",
            (Dispatcher, "may_start", start_unrecorded),
        )

    def test_resumed_owner_runs_nothing_under_its_old_view(self) -> None:
        self.check(
            resume_owner_that_lost_its_flows,
            "at most once",
            (Ownership, "is_witness_for", lambda self, view, owner: True),
        )

    def test_claim_binds_to_its_view(self) -> None:
        self.check(
            claim_in_a_view_unknown_to_peers,
            "at most once",
            (Ownership, "on_claim", answer_any_claim),
        )

    def test_refused_claim_never_runs_later(self) -> None:
        self.check(
            kill_owner_that_refused,
            "not run is true",
            (Dispatcher, "record_decision", refuse_unrecorded),
        )

    def test_boards_survive_the_stop_of_their_owner(self) -> None:
        self.check(
            stop_owner_of_boards,
            "open boards survive",
            (ObservationManager, "take_over_observations", lambda self: None),
        )

    def test_planned_stop_completes_running_requests(self) -> None:
        self.check(
            stop_owner_of_boards,
            "planned stop cuts nothing",
            (SideCore, "is_drained", lambda self: True),
        )

    def test_leaving_upstream_gets_no_new_work(self) -> None:
        self.check(
            stop_owner_of_boards,
            "leaving is quiet",
            (Membership, "set_state", stay_live),
        )

    def test_answers_reach_their_own_caller(self) -> None:
        self.check(
            restart_all_with_requests_in_flight,
            "own whole answer",
            (UpstreamLink, "__init__", use_equal_tokens),
        )

    def test_reused_address_serves_only_its_new_service(self) -> None:
        self.check(
            reuse_address_for_another_service,
            "right service",
            (SideCore, "on_peer_message", take_any_service),
            (BalancerCore, "on_caller_datagram", forward_elsewhere),
        )

    def test_answer_of_another_service_is_dropped(self) -> None:
        self.check(
            answer_from_another_service,
            "own whole answer",
            (BalancerCore, "find_side", find_any_side),
        )

    def test_block_transfers_stay_whole_when_their_owner_stops(self) -> None:
        self.check(
            stop_owner_of_transfers,
            "own whole answer",
            (coap, "transfer_digest", lambda flow, message: b"same"),
        )

    def test_configuration_reaches_zones_without_the_store(self) -> None:
        self.check(
            accept_config_that_reaches_one_zone,
            "in force everywhere",
            (Relay, "on_copy", lambda self, now, sender, message: None),
        )

    def test_lower_numbers_are_never_in_force(self) -> None:
        self.check(
            deliver_older_values_as_newer,
            "never reverts",
            (ViewHistory, "adopt", adopt_any_view),
            (BalancerCore, "apply_members", apply_any_members),
            (SideCore, "apply_configuration", apply_any_side_configuration),
            (BalancerCore, "apply_known_object", apply_any_balancer_configuration),
        )

    def test_lower_versions_are_never_kept(self) -> None:
        self.check(
            redeliver_older_versions, "fell at", (Replicas, "put", put_any_version)
        )


if __name__ == "__main__":
    unittest.main()
