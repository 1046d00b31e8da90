"""The build command of the deploy file installs packages when they aren't complete."""

import os
import shutil
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
COMMAND = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
PIP = """
import os, pathlib, sys
folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
folder.mkdir(parents=True, exist_ok=True)
(folder / "first").touch()
with open("installs", "a") as file:
    file.write(".")
if "INTERRUPTED" in os.environ:
    sys.exit(1)
(folder / "second").touch()
"""
"""Stands in for the installer; it installs two packages."""


class BuildTest(unittest.TestCase):
    """Each start would end with an `ImportError` if a package were missing."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        for name in ("fuchsiapin", "platform", "pip"):
            (self.root / name).mkdir()
        (self.root / "pip" / "__init__.py").touch()
        (self.root / "pip" / "__main__.py").write_text(PIP)
        self.requirements = self.root / "requirements-platform.txt"
        self.requirements.write_text("first\n")
        self.deps = self.root / "target" / "deps"

    def build(self, **variables: str) -> tuple[int, int]:
        """Build; return the exit status and how often packages were installed."""
        env = os.environ | {"PYTHONPATH": str(self.root)} | variables
        done = subprocess.run(
            COMMAND, shell=True, cwd=self.root, env=env, capture_output=True
        )
        installs = self.root / "installs"
        return done.returncode, len(installs.read_text()) if installs.exists() else 0

    def test_complete_folder_is_kept(self) -> None:
        self.assertEqual([self.build(), self.build()], [(0, 1), (0, 1)])

    def test_interrupted_installation_is_repeated(self) -> None:
        status, count = self.build(INTERRUPTED="1")
        self.assertNotEqual((status, count), (0, 1))
        self.assertEqual(self.build(), (0, 2))
        self.assertTrue((self.deps / "second").exists())

    def test_folder_for_another_machine_python_or_requirements_is_replaced(
        self,
    ) -> None:
        def change_stamp() -> None:
            for stamp in self.deps.glob(".*"):
                stamp.write_text(stamp.read_text().replace(os.uname().machine, "z80"))

        def remove_stamp() -> None:
            for stamp in self.deps.glob(".*"):
                stamp.unlink()

        def change_requirements() -> None:
            self.requirements.write_text("second\n")
            os.utime(self.requirements, (1, 1))

        self.build()
        for count, change in enumerate(
            (change_stamp, remove_stamp, change_requirements), 2
        ):
            with self.subTest(change.__name__):
                (self.deps / "old").touch()
                change()
                self.assertEqual(self.build(), (0, count))
                self.assertFalse((self.deps / "old").exists())


if __name__ == "__main__":
    unittest.main()
