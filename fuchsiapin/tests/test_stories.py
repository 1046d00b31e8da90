"""Histories of flows, reconstructed from the logs of many processes."""

import json
import unittest
from pathlib import Path
from string import Formatter

from fuchsiapin.events import CATALOGUE
from fuchsiapin.stories import EVENT_TEMPLATES, build_story, find_flows, read_log

GOLDEN = Path(__file__).parent / "stories" / "flow-story.txt"
FLOW = "100.64.0.4:1045>198.18.0.1:443"
OTHER = "100.64.0.9:1045>198.18.0.1:443"


def line(time_ms: int, process: str, number: int, **fields: object) -> str:
    """Return a log line."""
    event = CATALOGUE[number].name
    values = {"time_ms": time_ms, "process": process, "number": number, "event": event}
    return json.dumps({**values, **fields})


def lost_side_process() -> list[str]:
    """Return the logs of a flow whose first member did not respond.

    The first line has the prefix of a log collector.
    """
    placed = {"waiting": 0, "load_age_ms": 40, "configuration": 7}
    return [
        "12.5 entry-1 "
        + line(900, "entry-1", 6304, configuration=7, routes=13, source="store"),
        line(
            1_000, "entry-1", 6102, flow=FLOW, member="u1", host="h1", offers=1
        ).replace("}", ', "waiting": 0, "load_age_ms": 40, "configuration": 7}'),
        line(
            1_010, "entry-1", 6102, flow=OTHER, member="u3", host="h3", offers=1
        ).replace("}", ', "waiting": 0, "load_age_ms": 40, "configuration": 7}'),
        line(1_200, "entry-1", 6106, member="u1", host="h1", silent_ms=240),
        line(
            1_201,
            "entry-1",
            6102,
            flow=FLOW,
            member="u2",
            host="h2",
            offers=2,
            left_out=3,
            **placed,
        ),
        line(1_203, "side-2", 6208, flow=FLOW, waited_ms=0, waiting=1),
        line(1_900, "side-2", 6201, member="u2", state="draining", change="changed"),
        line(2_000, "side-3", 6204, member="u3", flows=4),
        "not a line",
        '{"also": "none"}',
    ]


class StoryTest(unittest.TestCase):
    """The lines of one flow in order of time, and the missing information."""

    def test_flow_whose_first_member_was_silent(self) -> None:
        lines = read_log(reversed(lost_side_process()))
        self.assertEqual(build_story(lines, FLOW).render(), GOLDEN.read_text())

    def test_flow_is_found_by_part_of_its_name(self) -> None:
        lines = read_log(lost_side_process())
        self.assertEqual(find_flows(lines, "100.64.0.4:"), [FLOW])
        self.assertEqual(find_flows(lines, ":1045"), [FLOW, OTHER])
        self.assertEqual(find_flows(lines, "", member="u3"), [OTHER])
        self.assertEqual(find_flows(lines, "", at_ms=1_290), [FLOW])

    def test_lines_around_a_request_are_included(self) -> None:
        late = line(90_000, "side-2", 1101, role="side", version="v", incarnation=1)
        lines = read_log([*lost_side_process(), late])
        self.assertNotIn("process started", build_story(lines, FLOW).render())
        story = build_story(lines, FLOW, request_ms=89_000).render()
        self.assertIn("process started", story)

    def test_missing_information_is_listed(self) -> None:
        lines = read_log(lost_side_process())
        story = build_story(lines, OTHER)
        self.assertIn("no line shows that a member admitted the flow", story.render())
        self.assertIn("no log line of flow x", build_story(lines, "x").render())

    def test_late_process_of_the_flow_is_included(self) -> None:
        figures = {
            "waited_ms": 0,
            "processor_ms": 31,
            "datagrams": 512,
            "full_reads": 8,
        }
        late = [
            line(1_150, name, 1108, lag_ms=190, interval_ms=260, **figures)
            for name in ("entry-1", "entry-9")
        ]
        story = build_story(read_log([*lost_side_process(), *late]), FLOW).render()
        self.assertEqual(story.count("was late by up to 190 ms"), 1)
        self.assertIn("used 31 ms of processor time", story)

    def test_member_heard_again_is_described_with_its_silence(self) -> None:
        old = {"member": "u1", "host": "h1"}
        heard = [
            line(1_300, "entry-1", 6308, **old, silent_ms=340, unanswered_pings=2),
            line(1_400, "entry-1", 6308, **old),
        ]
        story = build_story(read_log([*lost_side_process(), *heard]), FLOW).render()
        self.assertIn("heard from u1 at h1 after 340 ms and 2 unanswered pings", story)
        self.assertIn("member heard (member u1, host h1)", story)


class TemplateTest(unittest.TestCase):
    """Templates only use fields that their events have in the catalogue."""

    def test_fields_are_in_the_catalogue(self) -> None:
        for number, text in EVENT_TEMPLATES.items():
            named = {name for _, name, _, _ in Formatter().parse(text) if name}
            known = {field.name for field in CATALOGUE[number].fields}
            self.assertLessEqual(named, known, number)


if __name__ == "__main__":
    unittest.main()
