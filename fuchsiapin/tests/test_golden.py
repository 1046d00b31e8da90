"""Compares the text of whole sessions with the golden files."""

import unittest

from tools.golden import FOLDER, render, sessions


class GoldenTest(unittest.TestCase):
    """Each session matches its golden file; `python -m tools.golden` writes them."""

    maxDiff = None

    def test_sessions_match_their_files(self) -> None:
        for name in sessions.functions:
            with self.subTest(name):
                expected = (FOLDER / f"{name}.txt").read_text()
                self.assertMultiLineEqual(render(name), expected)

    def test_every_file_has_a_session(self) -> None:
        files = {path.stem for path in FOLDER.glob("*.txt")}
        self.assertEqual(files, set(sessions.functions))


if __name__ == "__main__":
    unittest.main()
