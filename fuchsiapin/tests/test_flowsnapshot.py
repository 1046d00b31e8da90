"""Diagnosis of packet flow deployments: snapshots, and the real command line."""

import json
import subprocess
import sys
import threading
import unittest
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from fuchsiapin.daemons.commandresults import ExitCode
from fuchsiapin.daemons.flowcommandresults import FLOW_RESULTS
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.metrics import render_counts
from fuchsiapin.flows.opening import ZONES_EVACUATED
from fuchsiapin.flows.peerrecords import BalancerRecord
from fuchsiapin.flows.routes import FlowConfiguration
from fuchsiapin.flowsnapshot import (
    BalancerMetrics,
    FlowDeploymentSnapshot,
    SideMetrics,
    explain_flows,
    parse_metrics,
)
from fuchsiapin.lightclasses import astuple
from fuchsiapin.lightclasses import replace as replace_member
from fuchsiapin.tests.flowactors import make_route
from soak.store import StoreStandIn

ROOT = Path(__file__).parent.parent.parent
SERIES = {
    "configuration_version": {"": 7},
    "members": {"desk": 2},
    "suspect_members": {"": 0},
    "decisions_total": {"placed": 4},
}
MEMBERS = tuple(
    FlowMember(f"u{n}", 100, "desk", f"10.0.1.{n}", "z", 2, "ready") for n in (1, 2)
)
ROUTE = {
    "Name": "to-desk",
    "Host": "198.18.0.1",
    "PathPrefix": "/443/",
    "Service": "desk",
    "Type": "safe",
    "TimeoutMs": 1_200,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [ROUTE],
    "Limits": {"IdleTimeoutMs": 15_000},
}


def snapshot(**changes: object) -> FlowDeploymentSnapshot:
    """Return a healthy deployment with some changed metrics."""
    record = BalancerRecord("entry-1", 1, "10.0.0.1", "z")
    text = render_counts("balancer", "z", {**SERIES, **changes})
    metrics = BalancerMetrics(record, "", parse_metrics(text))
    configuration = FlowConfiguration(7, (make_route(),), 15_000)
    return FlowDeploymentSnapshot("", configuration, MEMBERS, (metrics,))


class ExplainTest(unittest.TestCase):
    """Each problem is reported with its reason."""

    def test_an_older_configuration_in_the_store_is_told(self) -> None:
        newer = snapshot(configuration_version={"": 9})
        [line] = explain_flows(newer)
        self.assertIn("the store holds configuration 7, 9 is in force", line)
        result = FLOW_RESULTS["status"](newer)
        self.assertIn("configuration 7, 1 routes; 9 is in force", result.text)
        self.assertEqual(result.code, ExitCode.BEHIND)

    def test_healthy_deployment_has_no_problems(self) -> None:
        self.assertEqual(explain_flows(snapshot()), [])

    def test_balancer_with_outdated_configuration(self) -> None:
        lines = explain_flows(snapshot(configuration_version={"": 5}))
        self.assertIn("entry-1 has configuration 5 in force, the store", lines[0])

    def test_balancer_with_missing_and_suspect_members(self) -> None:
        changed = snapshot(members={"desk": 1}, suspect_members={"": 1})
        lines = explain_flows(changed)
        self.assertIn("has 1 members, the store has 2", lines[0])
        self.assertIn("receives nothing from 1 members", lines[1])

    def test_resets_are_reported_by_reason(self) -> None:
        counts = {"placed": 4, "reset: held nowhere": 3}
        lines = explain_flows(snapshot(decisions_total=counts))
        self.assertEqual(
            lines, ["entry-1 has reset 3 flows since its start: held nowhere"]
        )

    def test_service_without_ready_upstreams(self) -> None:
        one = replace(snapshot(), members=MEMBERS[:1])
        self.assertIn("only one ready upstream", explain_flows(one)[0])
        none = replace(snapshot(), members=())
        self.assertIn("are refused at once", explain_flows(none)[0])

    def test_missing_configuration_is_reported(self) -> None:
        lines = explain_flows(replace(snapshot(), configuration=None))
        self.assertIn("no configuration", lines[0])


def evacuated(known: dict[str, int], *sides: dict[str, int]) -> FlowDeploymentSnapshot:
    """Return a deployment whose zone is evacuated, with values of side processes.

    `known` is for how long the balancer has known each evacuated zone, in ms.
    """
    return replace(
        snapshot(evacuated_zone_ms=known),
        evacuations=("z",),
        members=(
            *MEMBERS,
            *(replace_member(m, id=f"o{m.id}", zone="o") for m in MEMBERS),
        ),
        balancers=snapshot(evacuated_zone_ms=known, members={"desk": 4}).balancers,
        sides=tuple(
            SideMetrics(
                member,
                "" if values else "timeout",
                {(name, ""): value for name, value in values.items()},
            )
            for member, values in zip(MEMBERS, sides, strict=True)
        ),
        read_at=1_796_380_867_000,
    )


class EvacuationTest(unittest.TestCase):
    """Progress and problems of evacuated zones."""

    def test_evacuation_in_force_is_no_problem(self) -> None:
        # Planned work in order would otherwise look like a fault to scripts.
        side = {"zone_evacuated": 1, "open_flows": 3}
        found = evacuated({"z": 75_300}, side, side)
        self.assertEqual(explain_flows(found), [])
        for command in ("status", "explain"):
            result = FLOW_RESULTS[command](found)
            self.assertEqual(result.code, ExitCode.DONE)
            self.assertIn(
                "zone z is evacuated since 2026-12-04 10:39:51 UTC or earlier (75 s); "
                "6 open flows at 2 upstreams there",
                result.text,
            )

    def test_zone_is_called_empty_only_if_each_side_process_said_so(self) -> None:
        # An operator who trusts it switches the zone off.
        side = {"zone_evacuated": 1, "open_flows": 0}
        empty = FLOW_RESULTS["explain"](evacuated({"z": 9_000}, side, side))
        self.assertIn("no flow is open any more at 2 upstreams there", empty.text)
        for other, reason in (({}, "timeout"), ({"held_flows": 0}, "no such metric")):
            unknown = FLOW_RESULTS["explain"](evacuated({"z": 9_000}, side, other))
            self.assertNotIn("no flow is open any more", unknown.text)
            self.assertIn("0 open flows at 1 of 2 upstreams there", unknown.text)
            self.assertIn(
                f"u2 at 10.0.1.2 in evacuated zone z aren't known: {reason}",
                unknown.text,
            )
            self.assertEqual(unknown.code, ExitCode.BEHIND)

    def test_processes_that_it_has_not_reached(self) -> None:
        side = {"zone_evacuated": 0, "open_flows": 1}
        lines = explain_flows(evacuated({}, side, side))
        self.assertIn("evacuation of zone z isn't in force at entry-1;", lines[0])
        self.assertIn(
            "side processes of zone z still take new flows: u1 and u2", lines[1]
        )
        text = FLOW_RESULTS["status"](evacuated({}, side, side)).text
        self.assertIn("in the store, but at no balancer that can be read", text)

    def test_balancer_that_missed_the_removal(self) -> None:
        [line] = explain_flows(snapshot(evacuated_zone_ms={"z": 90_000}))
        self.assertIn("entry-1 still has zone z evacuated, the store doesn't", line)

    def test_service_with_upstreams_in_evacuated_zones_only(self) -> None:
        side = {"zone_evacuated": 1, "open_flows": 0}
        alone = replace(evacuated({"z": 9}, side, side), members=MEMBERS)
        self.assertIn(
            "service desk has no ready upstream outside evacuated zones: new flows",
            explain_flows(alone)[0],
        )
        one_left = replace_member(MEMBERS[0], id="u3", zone="y")
        rest = replace(alone, members=(*MEMBERS, one_left))
        self.assertIn("only one ready upstream outside evac", explain_flows(rest)[0])

    def test_refused_new_flows_are_counted(self) -> None:
        counts = {f"reset: {ZONES_EVACUATED}": 3, "reset: held nowhere": 2}
        text = FLOW_RESULTS["status"](snapshot(decisions_total=counts)).text
        self.assertIn(
            f"3 new flows refused since the balancers' start: {ZONES_EVACUATED}", text
        )


class CommandTest(unittest.TestCase):
    """`status`, `explain` and `members` with a stand-in store and rendered metrics."""

    def setUp(self) -> None:
        self.store = StoreStandIn("127.0.0.1", 0)
        self.addCleanup(self.store.server.server_close)
        self.addCleanup(self.store.server.shutdown)
        self.text = render_counts("balancer", "z", SERIES).encode()
        self.metrics = self.serve_metrics()
        self.put("config", "main", CONFIGURATION)
        for member in MEMBERS:
            self.put("fuchsiapin-members", member.id, list(astuple(member)))
        record = BalancerRecord("entry-1", 1, "127.0.0.1", "z")
        self.put("fuchsiapin-balancers", "entry-1", list(astuple(record)))

    def serve_metrics(self) -> int:
        """Serve the metrics of a balancer; return the port."""
        test = self

        class Handler(BaseHTTPRequestHandler):
            def log_message(self, *words: object) -> None:
                """Log nothing."""

            def do_GET(self) -> None:  # noqa: N802
                self.send_response(200)
                self.send_header("Content-Length", str(len(test.text)))
                self.end_headers()
                self.wfile.write(test.text)

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return server.server_address[1]

    def put(self, kind: str, name: str, value: object) -> None:
        """Write an object."""
        body = json.dumps({"meta": {"Name": name}, "spec": value}).encode()
        self.store.answer("POST", f"/fuchsiapin/objects/{kind}", body)

    def run_command(self, name: str, zone: str = "") -> tuple[int, str]:
        """Return status and output of a command, of one on a zone if that is given."""
        port = self.store.server.server_address[1]
        done = subprocess.run(
            [
                *(sys.executable, "-m", "fuchsiapin.daemons.ctl", name),
                *("--store", f"127.0.0.1:{port}"),
                *("--adapter", str(ROOT / "platform")),
                *([zone] if zone else ["--metrics-port", str(self.metrics)]),
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    def test_status_prints_configuration_and_balancers(self) -> None:
        code, text = self.run_command("status")
        self.assertEqual(code, 0, text)
        self.assertIn("configuration 7, 1 routes\ndesk: 2 ready", text)
        self.assertRegex(text, r"entry-1 +z +127.0.0.1 +7 +2 +0")

    def test_members_are_printed(self) -> None:
        code, text = self.run_command("members")
        self.assertEqual(code, 0, text)
        self.assertRegex(text, r"u2 +desk +10.0.1.2 +z +2 +ready")

    def test_explain_reports_an_outdated_configuration(self) -> None:
        self.text = self.text.replace(b"version{", b"versions{")
        code, text = self.run_command("explain")
        self.assertEqual(code, 8, text)
        self.assertIn("entry-1 has configuration 0 in force, the store holds 7", text)

    def test_evacuation_is_written_and_explained(self) -> None:
        code, text = self.run_command("evacuate", "z")
        self.assertEqual(code, 0, text)
        self.assertIn("desk; new flows to them are refused at once", text)
        side = {"zone_evacuated": {"": 1}, "open_flows": {"": 4}}
        known = {**SERIES, "evacuated_zone_ms": {"z": 12_000}}
        self.text = render_counts("any", "z", {**known, **side}).encode()
        for member in MEMBERS:
            here = replace_member(member, host="127.0.0.1")
            self.store.put("fuchsiapin-members", member.id, list(astuple(here)))
        code, text = self.run_command("explain")
        self.assertEqual(code, 8, text)
        self.assertRegex(text, r"zone z is evacuated since .*; 8 open flows at 2 ups")
        self.assertIn("desk has no ready upstream outside evacuated zones", text)

    def test_store_error_is_reported(self) -> None:
        self.store.fault.mode = "busy"
        code, text = self.run_command("status")
        self.assertEqual(code, 4, text)
        self.assertIn("the store can't be read: busy (status 503)", text)
