"""Tests of the admin endpoints and of the status of each role."""

import json
import unittest
from dataclasses import asdict
from typing import Any

from twisted.web.test.requesthelper import DummyRequest

from fuchsiapin.coap.statuses import (
    describe_balancer,
    describe_side,
    known_to_balancer,
    known_to_side,
)
from fuchsiapin.codec import converter
from fuchsiapin.daemons.admin import AdminResource
from fuchsiapin.messages import EventCount, ProcessStatus
from fuchsiapin.metrics import Metrics
from measure.world import World
from measure.worldparts import WorldOptions


def get(resource: AdminResource, path: str, method: bytes = b"GET") -> tuple[int, Any]:
    """Return the status code and body of the response to a call."""
    request = DummyRequest([])
    request.path = path.encode()
    request.method = method
    return_value = resource.render(request)
    return request.responseCode, return_value.decode()


class AdminTest(unittest.TestCase):
    """Admin pages of a side process in a small simulated deployment."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.world = World(1, WorldOptions(sides=3))
        cls.world.run(4_000)

    def side(self) -> ProcessStatus:
        """Return the status of a side process."""
        core = self.world.nodes["swapdesk-1"].core
        return describe_side(core, "1", "reachable", [EventCount(3101, "busy", 2)])

    def resource(self) -> AdminResource:
        """Return the admin resource of a side process."""
        metrics = Metrics("swapdesk-1", "side", "bole", "swapdesk")
        metrics.update_status(self.side())
        core = self.world.nodes["swapdesk-1"].core
        return AdminResource(self.side, lambda: known_to_side(core), metrics.render)

    def test_live_process_that_is_not_ready_gives_reasons(self) -> None:
        self.assertEqual(get(self.resource(), "/live"), (200, '{"live": true}\n'))
        code, body = get(self.resource(), "/ready")
        self.assertEqual(code, 503)
        self.assertEqual(json.loads(body)["reasons"], ["no configuration is known yet"])

    def test_status_round_trips_through_json(self) -> None:
        _, body = get(self.resource(), "/status")
        status = converter.structure(json.loads(body), ProcessStatus)
        self.assertEqual(status, self.side())
        self.assertEqual(status.views[0].active, status.views[0].number)
        self.assertEqual(len(status.views[0].members), 3)

    def test_balancer_status_lists_its_views(self) -> None:
        core = self.world.nodes["balancer-1"].core
        status = describe_balancer(core, "1", "reachable", [])
        self.assertEqual(status.views[0].number, self.side().views[0].number)
        self.assertEqual(json.loads(json.dumps(asdict(status)))["role"], "balancer")

    def test_each_role_lists_its_known_processes(self) -> None:
        _, body = get(self.resource(), "/peers")
        sides = {"swapdesk-1", "swapdesk-2", "swapdesk-3"}
        balancers = {"balancer-1", "balancer-2", "balancer-3"}
        self.assertEqual({item["name"] for item in json.loads(body)}, sides | balancers)
        known = known_to_balancer(self.world.nodes["balancer-1"].core)
        self.assertEqual({item.name for item in known}, sides | {"balancer-1"})

    def test_unknown_page_and_method_are_refused(self) -> None:
        self.assertEqual(get(self.resource(), "/none")[0], 404)
        self.assertEqual(get(self.resource(), "/live", b"POST")[0], 405)
        self.assertEqual(get(self.resource(), "/live", b"HEAD"), (200, ""))

    def test_metrics_are_rendered_with_their_labels(self) -> None:
        metrics = Metrics("swapdesk-1", "side", "bole", "swapdesk")
        end = {"outcome": "done", "tenant": "shop", "wait_ms": 3, "latency_ms": 30}
        metrics.record(3107, end)
        metrics.record(3101, {"host": "h", "port": 1, "reason": "busy"})
        metrics.record(3103, {"host": "h", "port": 1, "peer": "p"})
        metrics.count_sent("Claim", 100)
        metrics.count_sent("Forward", 1_000)
        text = metrics.render().decode()
        labels = 'process="swapdesk-1",role="side",service="swapdesk"'
        for wanted in (
            f'waiting_ms_bucket{{le="5.0",{labels},tenant="shop",zone="bole"}} 1.0',
            f'latency_ms_bucket{{le="20.0",{labels},tenant="shop",zone="bole"}} 0.0',
            'refusals_total{process="swapdesk-1",reason="busy"',
            "moves_total{",
            "claims_total{",
            'control_bytes_total{process="swapdesk-1",role="side",zone="bole"} 100',
        ):
            self.assertIn(wanted, text)


if __name__ == "__main__":
    unittest.main()
