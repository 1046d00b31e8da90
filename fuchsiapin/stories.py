"""Reconstructs the history of one flow from the logs of many processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.fields import MAX_TIME_MS, read_text, read_whole, shown
from fuchsiapin.jsonpages import load_json

__all__ = ["LogLine", "Story", "find_flows", "read_log", "build_story"]

CONTEXT_MS = 3_000
"""Margin before and after a flow's lines in which related lines are included."""
TIME_TOLERANCE_MS = 100
"""Tolerance around a given time within which lines match."""
STATE_EVENTS = frozenset(
    {1101, 1102, 1103, 1104, 1105, 1107, 1108, 1111, 6302, 6303, 6304, 6311}
)
"""Events that affect all flows of a process."""
MEMBER_EVENTS = frozenset({6106, 6201, 6204, 6219, 6220, 6221, 6306, 6307, 6308})
"""Events about one member."""

RESET = 6103
"""Event of a flow reset."""
EVENT_TEMPLATES = {
    1108: "was late by up to {lag_ms} ms: in {interval_ms} ms it waited {waited_ms} ms "
    "for events, used {processor_ms} ms of processor time and read {datagrams} "
    "datagrams; {full_reads} reads ended at their limit",
    6102: "offered the flow to {member} at {host} (offer {offers}): {waiting} "
    "requests there as of a report {load_age_ms} ms old, routes of configuration "
    "{configuration}",
    6104: "the flow's holder was unknown; asked {members} members of {service}",
    6105: "none of {denials} asked members holds the flow ({hops} forwarded the "
    "packet)",
    6106: "received nothing from {member} at {host} for {silent_ms} ms; new flows go "
    "to others",
    6107: "{member} at {host}, which holds the flow, has left {unanswered_pings} pings "
    "unanswered for {unanswered_ms} ms, as have {silent_members} of {members} members",
    6201: "upstream {member} is {state} ({change})",
    6202: "returned the new flow to the balancer: {reason}",
    6204: "nothing listens on the port of {member}; its open flows were reset ({flows} "
    "were tracked)",
    6207: "returned the new flow to the balancer after {waited_ms} ms in the queue",
    6208: "admitted the flow to its upstream after {waited_ms} ms; {waiting} requests "
    "there",
    6219: "ignored the notice that {member}, started at {born}, leaves; the start that "
    "runs is {known_born}",
    6220: "began to check whether {member}, started at {known_born}, has left",
    6221: "found that {member}, which is {state}, has not left",
    6304: "configuration {configuration} with {routes} routes is in force, from "
    "{source}",
    6306: "received from {source}: {member} at {host} is {state}",
    6307: "no longer uses {member}: {reason}",
    6308: "heard from {member} at {host} after {silent_ms} ms and {unanswered_pings} "
    "unanswered pings",
}
"""Templates that describe a log line, by event number."""


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log."""

    time_ms: int
    process: str
    number: int
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True)
class Story:
    """History of one flow.

    Parameters
    ----------
    flow : str
        The flow: caller, then route.
    lines : tuple of LogLine
        Lines of the flow and related lines, in order of time.
    missing : tuple of str
        Descriptions of the information that the logs lack.
    """

    flow: str
    lines: tuple[LogLine, ...]
    missing: tuple[str, ...]

    def render(self) -> str:
        """Format the history as text; `*` marks the lines of the flow itself."""
        if not self.lines:
            return f"no log line of flow {self.flow}\n" + "".join(
                f"missing: {text}\n" for text in self.missing
            )
        start = self.lines[0].time_ms
        rows = [f"flow {self.flow}"]
        for line in self.lines:
            mark = "*" if line.fields.get("flow") == self.flow else " "
            rows.append(
                f"{mark} {(line.time_ms - start) / 1000:8.3f} s  {line.process:<20} "
                f"{describe_line(line)}"
            )
        rows.extend(f"missing: {text}" for text in self.missing)
        return "\n".join(rows) + "\n"


def read_log(texts: Iterable[str]) -> list[LogLine]:
    """Parse the events in lines of text and sort them by time.

    Text before the first brace, such as a prefix of the log collector, and lines
    that are not events are ignored.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = load_json(text[start:].encode(errors="replace"))
            found.append(read_line(values))
        except (ValueError, MalformedObject):
            continue
    return sorted(found, key=lambda line: line.time_ms)


def read_line(values: Any) -> LogLine:
    """Return the event of a line of a log.

    Raises
    ------
    MalformedObject
        If the line is no event.
    """
    if type(values) is not dict:
        raise MalformedObject(f"line {shown(values)} is not an object")
    fields = dict(values)
    return LogLine(
        read_whole(fields.pop("time_ms", None), "time_ms", 0, MAX_TIME_MS),
        read_text(fields.pop("process", None), "process"),
        read_whole(fields.pop("number", None), "number"),
        read_text(fields.pop("event", None), "event"),
        fields,
    )


def find_flows(
    lines: Iterable[LogLine], part: str, member: str = "", at_ms: int = 0
) -> list[str]:
    """Return the matching flows in order of their first line.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs, in order of time.
    part : str
        Substring of their names: the address and port of a caller or of a route.
    member : str
        Only flows that were offered to this member; empty for all.
    at_ms : int
        Only flows with a line within `TIME_TOLERANCE_MS` of this time; 0 for all.
    """
    names = (
        str(line.fields["flow"])
        for line in lines
        if "flow" in line.fields
        and (not member or line.fields.get("member") == member)
        and (not at_ms or abs(line.time_ms - at_ms) <= TIME_TOLERANCE_MS)
    )
    return list(dict.fromkeys(name for name in names if part in name))


def build_story(lines: list[LogLine], flow: str, request_ms: int = 0) -> Story:
    """Build the history of one flow.

    Parameters
    ----------
    lines : list of LogLine
        Logs of all processes, in order of time.
    flow : str
        The flow, as `100.64.0.7:4001>198.18.0.1:443`.
    request_ms : int
        Time of a request on a long-lived flow: related lines around that time are
        included too. With 0 only those around the flow's own lines are included.
    """
    own_lines = [line for line in lines if line.fields.get("flow") == flow]
    if not own_lines:
        return Story(flow, (), tuple(left_out(lines, None)))
    first, last = own_lines[0].time_ms - CONTEXT_MS, own_lines[-1].time_ms + CONTEXT_MS
    processes = {line.process for line in own_lines}
    members = {str(line.fields.get("member")) for line in own_lines} - {"None"}
    spans = [(first, last)]
    if request_ms:
        spans.append((request_ms - CONTEXT_MS, request_ms + CONTEXT_MS))
    near = [line for line in lines if any(a <= line.time_ms <= b for a, b in spans)]
    related = [line for line in near if is_relevant(line, flow, processes, members)]
    missing = left_out(near, processes)
    if not any(line.number in (6103, 6208) for line in own_lines):
        missing.append(
            "no line shows that a member admitted the flow or that it was reset"
        )
    return Story(flow, tuple(related), tuple(missing))


def is_relevant(
    line: LogLine, flow: str, processes: set[str], members: set[str]
) -> bool:
    """Return whether a line is relevant for a flow."""
    if line.fields.get("flow") == flow:
        return True
    if line.number in MEMBER_EVENTS:
        return str(line.fields.get("member")) in members
    return line.number in STATE_EVENTS and line.process in processes


def left_out(lines: Iterable[LogLine], processes: set[str] | None) -> list[str]:
    """Describe the number of lines that processes left out of their logs, by event."""
    counts: dict[tuple[str, int], int] = {}
    for line in lines:
        if processes is None or line.process in processes:
            key = (line.process, line.number)
            count = line.fields.get("left_out", 0)
            counts[key] = counts.get(key, 0) + (count if type(count) is int else 0)
    return [
        f"{count} lines of event {number} left out by {process}"
        for (process, number), count in sorted(counts.items())
        if count
    ]


def describe_line(line: LogLine) -> str:
    """Describe a line by its template, or by its event name and fields."""
    try:
        if line.number == RESET:
            return describe_reset(line.fields)
        if line.number in EVENT_TEMPLATES:
            return EVENT_TEMPLATES[line.number].format(**line.fields)
    except KeyError:
        pass  # written by a version whose event had fewer fields
    fields = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.event} ({fields})"


def describe_reset(fields: dict[str, Any]) -> str:
    """Describe a flow reset."""
    kind = "refused the new flow" if fields["opens"] else "reset the open flow"
    return f"{kind}: {fields['reason']} (configuration {fields['configuration']})"
