"""Processes of packet flows start, run on whatever happens, and say why they end."""

import os
import unittest

from fuchsiapin.tests.flowprocess import WAIT_S, RealProcess

FULL_PIPE = b"-" * 65_536


class EndTest(unittest.TestCase):
    """A process that ends by an error writes why, with memory and descriptors."""

    def test_failed_start_names_its_cause(self) -> None:
        for changes, cause in (
            ({"callers": 7}, "rpartition"),
            ({"bind": "192.0.2.1", "ports": [7720, 7735]}, "192.0.2.1:7720"),
        ):
            with self.subTest(cause):
                process = RealProcess(self, **changes)
                self.assertEqual(process.start().wait(WAIT_S), 1)
                [line] = process.lines(1111)
                self.assertIn(cause, line["error"])
                self.assertTrue(line["where"] and line["trace"], line)

    def test_figures_are_written_at_start_and_end(self) -> None:
        process = RealProcess(self, "side")
        process.start()
        process.wait_until_started()
        self.assertEqual(process.end(), 0)
        lines = process.lines(1110)
        self.assertGreaterEqual(len(lines), 2)
        for line in lines:
            self.assertGreater(line["peak_memory_kb"], 1_000)
            self.assertLess(3, line["descriptors"])
            self.assertLess(line["descriptors"], line["descriptor_limit"])

    def test_cause_is_written_if_standard_output_is_closed_or_full(self) -> None:
        for kind in ("closed", "full", "unread"):
            with self.subTest(kind):
                process = RealProcess(self, store=7)
                reading, writing = os.pipe()
                options: dict = {"stdout": writing}
                if kind == "closed":
                    options = {"stdout": None, "preexec_fn": lambda: os.close(1)}
                elif kind == "full":
                    os.set_blocking(writing, False)
                    os.write(writing, FULL_PIPE)
                else:
                    os.close(reading)
                with process.log.open("wb") as errors:
                    started = process.start(stderr=errors, **options)
                self.assertEqual(started.wait(WAIT_S), 1)
                self.assertEqual(len(process.lines(1111)), 1)
                for file in {writing} | ({reading} if kind != "unread" else set()):
                    os.close(file)


if __name__ == "__main__":
    unittest.main()
