"""Tests of the command line as a subprocess against a stand-in for the object API."""

import json
import os
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any
from urllib.request import Request, urlopen

from fuchsiapin.daemons.commandresults import EXIT_TEXT, ExitCode, format_table

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
DOCS = EXAMPLES.parent / "docs"
INPUTS = [
    str(EXAMPLES / "casa-popescu" / name) for name in ("register.csv", "rules.json")
]


class CommandLineTest(unittest.TestCase):
    """Operator commands and their exit codes."""

    def setUp(self) -> None:
        self.api = subprocess.Popen(
            [sys.executable, "-m", "fuchsiapin.tests.standins.objectapi"],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.end_api)
        port = self.api.stdout.readline().split()[1]
        self.url = f"http://127.0.0.1:{port}"

    def end_api(self) -> None:
        """End the stand-in."""
        self.api.kill()
        self.api.wait()
        self.api.stdout.close()

    def run_ctl(self, *args: str) -> tuple[int, Any]:
        """Return exit code and JSON of one command."""
        run = subprocess.run(
            [sys.executable, "-m", "fuchsiapin.daemons.ctl", *args, "--json"],
            capture_output=True,
            text=True,
            env=os.environ
            | {
                "FUCHSIAPIN_OBJECT_API": self.url,
                "FUCHSIAPIN_DEPLOYMENT": "casa-popescu",
            },
        )
        self.assertEqual(run.stderr, "")
        values = json.loads(run.stdout)
        self.assertEqual(values["exit"], run.returncode)
        return run.returncode, values

    def call(self, method: str, path: str, value: Any = None, **headers: str) -> Any:
        """Return the JSON of one call to the stand-in."""
        body = None if value is None else json.dumps(value).encode()
        request = Request(self.url + path, body, headers, method=method)
        with urlopen(request) as answer:
            return json.loads(answer.read())

    def test_commands_with_changes_a_race_and_an_outage(self) -> None:
        self.assertEqual(self.run_ctl("check", *INPUTS)[0], ExitCode.DONE)
        self.assertEqual(self.run_ctl("leave", "ledger-2")[0], ExitCode.MISSING)
        code, values = self.run_ctl("diff", *INPUTS)
        self.assertEqual((code, values["number"]), (ExitCode.DIFFERENT, 0))
        self.call("PUT", "/faults", {"lose_answers": 1})
        code, values = self.run_ctl("apply", *INPUTS, "--expect", "0")
        self.assertEqual((code, values["was_resolved"]), (ExitCode.DONE, True))
        self.assertEqual(self.run_ctl("diff", *INPUTS)[0], ExitCode.DONE)
        code, values = self.run_ctl("leave", "ledger-2", "--author", "radu")
        self.assertEqual((code, values["number"]), (ExitCode.DONE, 2))
        code, values = self.run_ctl("apply", *INPUTS, "--expect", "1")
        self.assertEqual(code, ExitCode.RACE)
        self.assertEqual([c["author"] for c in values["changes"]], ["radu"])
        self.assertIn("ledger-2", values["text"])
        code, values = self.run_ctl("return", "ledger-2")
        self.assertEqual((code, values["number"]), (ExitCode.DONE, 3))
        code, values = self.run_ctl("leave", "ledger-22")
        self.assertEqual(code, ExitCode.MISSING)
        self.assertIn("nearest: 'ledger-2'", values["text"])
        stored = self.call("GET", "/objects/config/casa-popescu")
        self.assertEqual([item["number"] for item in stored["history"]], [1, 2, 3])
        self.assertEqual(self.run_ctl("status")[0], ExitCode.BEHIND)
        self.assertEqual(self.run_ctl("members")[0], ExitCode.DONE)
        code, values = self.run_ctl("explain")
        self.assertEqual(code, ExitCode.BEHIND)
        self.assertIn("10 upstreams of the register did not", values["headline"])
        self.call("PUT", "/faults", {"outage": True})
        self.assertEqual(self.run_ctl("diff", *INPUTS)[0], ExitCode.UNREACHABLE)
        code, values = self.run_ctl("explain")
        self.assertEqual(code, ExitCode.BEHIND)
        self.assertIn("store can't be reached", values["headline"])

    def test_malformed_object_is_reported_and_not_overwritten(self) -> None:
        path = "/objects/config/casa-popescu"
        self.call("PUT", path, {"number": "x"})
        for args in (("diff", *INPUTS), ("apply", *INPUTS), ("leave", "ledger-1")):
            self.assertEqual(self.run_ctl(*args)[0], ExitCode.FAULTS)
        self.assertEqual(self.call("GET", path), {"number": "x"})

    def test_faults_are_listed_with_their_keys(self) -> None:
        code, values = self.run_ctl("check", INPUTS[1], INPUTS[1])
        self.assertEqual(code, ExitCode.FAULTS)
        self.assertEqual(values["faults"][0]["key"], "assets")


class CommandResultTest(unittest.TestCase):
    """Exit codes and tables."""

    def test_each_exit_code_is_explained_in_help_and_docs(self) -> None:
        self.assertEqual(set(EXIT_TEXT), set(ExitCode))
        page = (DOCS / "operators.md").read_text()
        for code, text in EXIT_TEXT.items():
            self.assertIn(f"| {int(code)} | {text} |", page)

    def test_table_has_no_trailing_blanks(self) -> None:
        self.assertEqual(format_table(["a", "b"], [["xyz", ""]]), "a    b\nxyz")


if __name__ == "__main__":
    unittest.main()
