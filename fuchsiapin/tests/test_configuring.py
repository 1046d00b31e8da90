"""Register and rules, and the configurations built from them."""

import tempfile
import unittest
from pathlib import Path

from fuchsiapin.coap.tenants import Tenants
from fuchsiapin.configuring import (
    HISTORY_LIMIT,
    accept,
    diff_configurations,
    read_proposal,
    set_leaving,
)
from fuchsiapin.faults import render_faults

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
HEADER = "name,vm,address,availability_zone,service,slots,connections,bought\n"
ROWS = (
    "ledger-1,vm-1,10.0.0.1,buc-a,ledger,2,2000,2024\n"
    "ledger-2,vm-2,10.0.0.2,buc-b,ledger,2,2000,2025\n"
    "scan-1,vm-3,10.0.0.3,buc-c,scan-intake,2,2000,\n"
)


class InputsTest(unittest.TestCase):
    """Faults of both files, reported together."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def read(self, register: str, rules: str, name: str = "r.csv"):
        """Return the result of reading both files: a proposal, or faults."""
        paths = self.folder / name, self.folder / "rules.json"
        for path, text in zip(paths, (register, rules), strict=True):
            path.write_text(text)
        return read_proposal(*paths)

    def faults(self, register: str, rules: str, name: str = "r.csv") -> list[str]:
        """Return the rendered faults, with the folder's path removed."""
        result = self.read(register, rules, name)
        text = render_faults(result.error)
        return text.replace(f"{self.folder}/", "").split("\n")

    def test_csv_and_json_give_the_same_proposal(self) -> None:
        rules = '{"deployment": "d", "leaving": ["ledger-1"]}'
        keys = HEADER.strip().split(",")
        assets = [dict(zip(keys, row.split(","), strict=True)) for row in ROWS.split()]
        for asset in assets:
            asset |= {name: int(asset[name]) for name in ("slots", "connections")}
        # JSON files may contain comments and trailing commas.
        text = f"// export\n{{'assets': {assets}, }}".replace("'", '"')
        first = self.read(HEADER + ROWS, rules).ok
        self.assertEqual(first, self.read(text, rules, "r.json").ok)
        # CSV may have a byte order mark, semicolons, CRLF and blank lines.
        excel = "\ufeff" + (HEADER + ROWS).replace(",", ";").replace("\n", "\r\n\r\n")
        self.assertEqual(first, self.read(excel, rules).ok)
        [ledger, _] = first.services
        self.assertEqual([item.leaving for item in ledger.upstreams], [True, False])

    def test_faults_of_both_files_are_reported_together(self) -> None:
        register = HEADER + ROWS.replace(",2,2000,2025", ",two,0,2025").replace(
            "10.0.0.3", "10.0.0"
        )
        rules = '{"deployment": "D",\n "leavin": [],\n "services": [{"name": 1}]}'
        self.assertEqual(
            self.faults(register, rules),
            [
                "r.csv:3: assets[1].connections: expected at least 1, found 0",
                'r.csv:3: assets[1].slots: expected an integer, found "two"',
                'r.csv:4: assets[2].address: expected an IPv4 address, found "10.0.0"',
                "rules.json:1: deployment: expected lowercase letters, digits and "
                'hyphens, found "D"',
                "rules.json:2: leavin: expected 'leaving', found the unknown key "
                "'leavin'",
                "rules.json:3: services[0].name: expected a string, found 1",
            ],
        )

    def test_faults_of_rules(self) -> None:
        rules = """{"deployment": "d",
            "services": [{"name": "leger"}, {"name": "ledger", "classes": [
              {"name": "a", "share": 1}, {"name": "a", "share": 2}]},
              {"name": "ledger"}],
            "may_share_zone": [["ledger", "scan-intake"]],
            "may_not_share_zone": [["scan-intake", "ledger"]],
            "leaving": ["scan-1", "ledger-3"]}"""
        found = self.faults(HEADER + ROWS, rules)
        self.assertEqual(len(found), 6, found)
        for line, text in (
            (2, "a service of the register: 'ledger', found 'leger'"),
            (3, "expected each class once, found 'a' again"),
            (4, "expected one rule for each service, found 'ledger' again"),
            (6, "that may_share_zone doesn't name together"),
            (7, "an upstream of the register: 'ledger-2', found 'ledger-3'"),
            (7, "expected an upstream of 'scan-intake' that stays"),
        ):
            self.assertTrue(
                any(f"rules.json:{line}:" in item and text in item for item in found),
                (line, text, found),
            )

    def test_networks_of_classes_are_checked_and_matched(self) -> None:
        rules = """{"deployment": "d", "services": [{"name": "ledger", "classes": [
            {"name": "a", "share": 1, "networks": ["10.0.0.0/8", "10.1.0.0/33"]},
            {"name": "b", "share": 1, "networks": ["10.0.0.0/8"]},
            {"name": "c", "share": 1}, {"name": "d", "share": 1}]}]}"""
        found = "\n".join(self.faults(HEADER + ROWS, rules))
        self.assertIn(
            "rules.json:2: services[0].classes[0].networks[1]: expected an", found
        )
        self.assertIn("networks that 'a' doesn't cover, found '10.0.0.0/8'", found)
        self.assertIn(
            "networks that 'c' doesn't cover, found no networks, which covers all "
            "remaining callers",
            found,
        )
        good = rules.replace(', "10.1.0.0/33"', "").replace(
            "10.0.0.0/8", "10.1.0.0/16", 1
        )
        good = good.replace(', {"name": "d", "share": 1}', "")
        proposal = self.read(HEADER + ROWS, good).ok
        tenants = Tenants(proposal.services[0].classes)
        callers = ("10.1.2.3", "10.2.2.3", "11.0.0.1")
        self.assertEqual([tenants.class_of(host) for host in callers], ["a", "b", "c"])
        self.assertEqual(Tenants([]).class_of("10.1.2.3"), "")
        config = accept(proposal, None, "x", "1")
        first = [str(item) for item in diff_configurations(None, config)]
        self.assertIn("class a of ledger comes (share 1, networks 10.1.0.0/16)", first)

    def test_conflicting_assets_are_refused(self) -> None:
        register = (
            HEADER
            + ROWS
            + (
                "ledger-1,vm-1,10.0.0.1,buc-b,ledger,2,2000,\n"
                "ledger-4,vm-4,10.0.0.2,buc-a,ledger,2,2000,\n"
            )
        )
        self.assertEqual(
            self.faults(register, '{"deployment": "d"}'),
            [
                "r.csv:5: assets[3].availability_zone: expected 'buc-a', the zone of "
                "vm-1 in line 2, found 'buc-b'",
                "r.csv:5: assets[3].name: expected a unique name, found "
                "'ledger-1', as in line 2",
                "r.csv:6: assets[4].address: expected an address that no other VM has, "
                "found that of vm-2, as in line 3",
            ],
        )

    def test_services_that_may_not_share_a_zone_are_refused(self) -> None:
        row = "scan-2,vm-5,10.0.0.5,buc-a,scan-intake,2,2000,\n"
        for rule in (
            '"may_not_share_zone": [["ledger", "scan-intake"]]',
            '"may_share_zone": []',
        ):
            rules = f'{{"deployment": "d", {rule}}}'
            [fault] = self.faults(HEADER + ROWS + row, rules)
            self.assertIn("r.csv:5: assets[3].availability_zone", fault)
            self.assertIn("without 'ledger' (this one contains ledger-1)", fault)
            [rule] = self.read(HEADER + ROWS, rules).ok.apart
            self.assertEqual(rule.services, ["ledger", "scan-intake"])

    def test_malformed_csv_is_refused(self) -> None:
        for text, wanted in (
            (HEADER.replace("slots", "slot") + ROWS, "a column 'slots', found 'slot'"),
            (HEADER.replace("bought", "vm") + ROWS, "one column 'vm', found several"),
            (HEADER + "a,b\n", "r.csv:2: expected 8 cells, found 2"),
            (HEADER, "assets: expected a list of size 1 or more"),
            ("", "a column 'name', found nothing"),
            (HEADER + '"a', "expected CSV, found"),
        ):
            found = self.faults(text, '{"deployment": "d"}')
            self.assertIn(wanted, "\n".join(found))

    def test_missing_files_are_faults(self) -> None:
        result = read_proposal(self.folder / "none.csv", self.folder / "none.json")
        self.assertEqual(len(result.error), 2)


class ExamplesTest(unittest.TestCase):
    """The registers and rules of both example deployments."""

    def test_examples_have_the_expected_sizes(self) -> None:
        for folder, register, sizes in (
            ("little-threads", "register.json", {"swapdesk": 7, "intake": 3}),
            ("casa-popescu", "register.csv", {"ledger": 7, "scan-intake": 3}),
        ):
            folder = EXAMPLES / folder
            result = read_proposal(folder / register, folder / "rules.json")
            self.assertTrue(result.is_ok(), result)
            proposal = result.ok
            self.assertEqual(proposal.deployment, folder.name)
            found = {item.name: len(item.upstreams) for item in proposal.services}
            self.assertEqual(found, sizes)
            for service in proposal.services:
                zones = {item.zone for item in service.upstreams}
                self.assertEqual(len(zones), 3)
                self.assertEqual(
                    {(u.slots, u.connections) for u in service.upstreams}, {(2, 2000)}
                )


class ConfigurationTest(unittest.TestCase):
    """Numbers, history and differences."""

    def setUp(self) -> None:
        folder = EXAMPLES / "casa-popescu"
        self.proposal = read_proposal(folder / "register.csv", folder / "rules.json").ok
        self.config = accept(self.proposal, None, "ioana", "c1")

    def test_same_proposal_changes_nothing(self) -> None:
        self.assertEqual(self.config.number, 1)
        self.assertIsNone(accept(self.proposal, self.config, "ioana", "c2"))

    def test_differences_are_described(self) -> None:
        leaving = set_leaving(self.config, "ledger-3", True)
        config = accept(leaving, self.config, "radu", "c2")
        [difference] = diff_configurations(self.config, config)
        self.assertEqual(
            str(difference),
            "upstream ledger-3: leaving changes from False to True",
        )
        self.assertEqual([item.author for item in config.history], ["ioana", "radu"])
        self.assertIn("ledger-3", config.history[-1].summary)
        self.assertIsNone(set_leaving(self.config, "none", True))
        first = diff_configurations(None, self.config)
        self.assertTrue(
            any(str(item).startswith("upstream ledger-1 comes") for item in first)
        )

    def test_history_is_bounded(self) -> None:
        config = self.config
        for number in range(2 * HISTORY_LIMIT):
            proposal = set_leaving(config, "ledger-3", number % 2 == 0)
            config = accept(proposal, config, "radu", f"d{number}")
        self.assertEqual(len(config.history), HISTORY_LIMIT)
        self.assertEqual(config.history[-1].number, config.number)


if __name__ == "__main__":
    unittest.main()
