"""Settings: all faults are reported, with file, line, key, expected and found."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiapin.documents import parse_document
from fuchsiapin.exceptions import SettingsError
from fuchsiapin.settings import read_settings
from tools.pages import DOCS, PAGES

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)

GOOD = """{
  // entry VM
  "name": "balancer-1", "availability_zone": "bole",
  "deployment": "little-threads",
  "peer": {"host": "10.0.0.1", "port": 7000},
  "admin": {"host": "10.0.0.1", "port": 7001}, /* own
  address */
  "object_api": "http://10.0.0.9:8080",
  "keys": ["00112233445566778899aabbccddeeff",
           "ffeeddccbbaa99887766554433221100",],
  "callers": [{"service": "swapdesk", "host": "10.0.0.1", "port": 5683}],
}
"""


class SettingsTest(unittest.TestCase):
    """Settings files of each role."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "b.json"

    def faults(self, text: str, role: str = "balancer") -> list[str]:
        """Return the faults of a text, without the name of the file."""
        self.path.write_text(text)
        with self.assertRaises(SettingsError) as caught:
            read_settings(self.path, role)
        lines = str(caught.exception).split("\n")
        return [line.removeprefix(str(self.path) + ":").lstrip() for line in lines]

    def test_valid_settings_with_comments_and_two_keys_are_read(self) -> None:
        self.path.write_text(GOOD)
        settings = read_settings(self.path, "balancer")
        self.assertEqual(len(settings.keys), 2)
        self.assertEqual(settings.callers[0].port, 5683)
        self.assertEqual(settings.object_api, "http://10.0.0.9:8080")

    def test_all_faults_are_reported_with_line_and_key(self) -> None:
        text = (
            GOOD.replace('"admin"', '"amdin"')
            .replace("7000", '"7000"')
            .replace("http://", "ftp://")
            .replace("00112233445566778899aabbccddeeff", "0011")
            .replace('"bole"', '""')
            .replace("5683", "70000")
        )
        self.assertEqual(
            self.faults(text),
            [
                "3: availability_zone: expected a non-empty string, "
                "found an empty string",
                '5: peer.port: expected an integer, found "7000"',
                "6: amdin: expected 'admin', found the unknown key 'amdin'",
                "8: object_api: expected a URL as in 'http://10.0.0.1:8080', "
                'found "ftp://10.0.0.9:8080"',
                "9: keys[0]: expected 16 to 64 bytes in lowercase hexadecimal digits, "
                "found a secret of 4 characters",
                "11: callers[0].port: expected at most 65535, found 70000",
            ],
        )

    def test_roles_need_their_own_keys(self) -> None:
        self.assertEqual(
            self.faults(GOOD, "side"),
            [
                "1: service: expected service of the upstream, found nothing",
                "1: upstream: expected CoAP address of the upstream, found nothing",
                "11: callers: expected an empty list or none, found a list of size 1",
            ],
        )

    def test_missing_key_is_reported_with_its_description(self) -> None:
        text = GOOD.replace('"name": "balancer-1",', "")
        [fault] = self.faults(text)
        self.assertTrue(fault.startswith("1: name: expected name of the process"))

    def test_address_of_all_interfaces_is_refused(self) -> None:
        text = GOOD.replace(
            '"admin": {"host": "10.0.0.1"', '"admin": {"host": "0.0.0.0"'
        )
        self.assertEqual(
            self.faults(text),
            ["6: admin.host: expected one address of this VM, found 0.0.0.0"],
        )

    def test_service_with_two_caller_addresses_is_refused(self) -> None:
        one = '{"service": "swapdesk", "host": "10.0.0.1", "port": 5683}'
        [again, same] = self.faults(GOOD.replace(one, f"{one}, {one}"))
        self.assertIn("each service once, found 'swapdesk' again", again + same)
        self.assertIn("a separate address", again + same)

    def test_syntax_error_is_reported_with_its_line(self) -> None:
        [fault] = self.faults(GOOD.replace('"admin":', '"admin"'))
        self.assertTrue(fault.startswith("6: expected JSON with comments, found"))

    def test_key_given_twice_is_refused(self) -> None:
        [fault] = self.faults(GOOD.replace('"deployment"', '"name"'))
        self.assertEqual(fault, "4: name: expected each key once, found the key again")

    def test_missing_binary_and_deeply_nested_files_are_refused(self) -> None:
        for data in (b"\xff\xfe", b"[" * 100_000, b"", b"[1, 2]", b"null"):
            self.path.write_bytes(data)
            with self.assertRaises(SettingsError):
                read_settings(self.path, "side")
        with self.assertRaises(SettingsError):
            read_settings(self.path / "none", "side")

    def test_secret_is_never_shown(self) -> None:
        text = GOOD.replace("00112233445566778899aabbccddeeff", "SECRET")
        self.assertNotIn("SECRET", "".join(self.faults(text)))

    def test_check_reports_faults_and_starts_nothing(self) -> None:
        for text, status in ((GOOD, 0), (GOOD.replace('"name"', '"nam"'), 1)):
            self.path.write_text(text)
            command = ["-m", "fuchsiapin.daemons.balancer", str(self.path), "--check"]
            run = subprocess.run(
                [sys.executable, *command], capture_output=True, text=True
            )
            self.assertEqual(run.returncode, status, run.stderr)
            self.assertIn(
                ": valid settings of a balancer" if not status else "'name'",
                run.stdout + run.stderr,
            )


class DocumentTest(unittest.TestCase):
    """Values and their line numbers."""

    def test_lines_are_correct_with_comments_strings_and_trailing_commas(self) -> None:
        text = '{"a": "// no, ]", /* x\n\n*/ "b": [1,\n [2, 3,\n],\n{"c": {}}]}'
        document = parse_document("x", text).ok
        self.assertEqual(
            document.values, {"a": "// no, ]", "b": [1, [2, 3], {"c": {}}]}
        )
        self.assertEqual(document.line_of(("b",)), 3)
        self.assertEqual(document.line_of(("b", 1, 1)), 4)
        self.assertEqual(document.line_of(("b", 2, "c", "none")), 6)
        self.assertEqual(document.lines[("b", 0)], 3)

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(VALUES, st.integers(0, 3))
    def test_any_value_is_read_with_the_line_of_each_item(
        self, value: Any, shape: int
    ) -> None:
        text = json.dumps(value, indent=2, ensure_ascii=shape > 1)
        document = parse_document("x", text.replace("\n", " // c, ]\n") + " /* { */")
        self.assertEqual(document.ok.values, value)
        found = sorted(line for keys, line in document.ok.lines.items() if keys)
        rows = text.split("\n")
        closing = {n for n, row in enumerate(rows, 1) if row.strip(" ,") in ("]", "}")}
        wanted = [n for n in range(2, len(rows) + 1) if n not in closing]
        self.assertEqual(found, wanted)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.text('{}[]",:/*\\\n 1a', max_size=30))
    def test_any_text_gives_a_document_or_faults(self, text: str) -> None:
        result = parse_document("x", text)
        if result.is_error():
            self.assertTrue(all(str(fault) for fault in result.error))

    def test_invalid_syntax_is_refused(self) -> None:
        for text in ("[1,,]", '{"a":1 "b":2}', "[1] 2", "/* x"):
            self.assertTrue(parse_document("x", text).is_error(), text)


class PagesTest(unittest.TestCase):
    """Pages that are generated from the code."""

    def test_pages_match_schema_and_catalogue(self) -> None:
        for name, make in PAGES.items():
            self.assertEqual((DOCS / name).read_text(), make(), name)


if __name__ == "__main__":
    unittest.main()
