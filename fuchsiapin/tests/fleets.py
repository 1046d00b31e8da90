"""A small set of real processes for the tests that need one."""

import shutil
import tempfile
import unittest
from pathlib import Path

from tools.fleet import Deployment, Fleet

__all__ = ["FleetCase"]

SERVICE_MS = 20.0


class FleetCase(unittest.TestCase):
    """Tests that share one started set of processes."""

    deployment = Deployment("test", ["bole", "arada", "kirkos"], {"swapdesk": 3})

    @classmethod
    def setUpClass(cls) -> None:
        """Start the set."""
        folder = Path(tempfile.mkdtemp())
        cls.addClassCleanup(shutil.rmtree, folder)
        cls.fleet = Fleet(cls.deployment, folder, SERVICE_MS)
        cls.addClassCleanup(cls.fleet.stop_all)
        cls.fleet.start()
        cls.fleet.wait_ready()
