"""How callers were served and why, in plain words and with counts."""

from collections import Counter
from dataclasses import dataclass

from fuchsiapin.phrases import count, join, number
from fuchsiapin.picture import Picture, count_events

__all__ = [
    "Section",
    "count_errors",
    "kept_out",
    "kept_out_sections",
    "refusal_reasons",
    "served_section",
]

REFUSED, GIVEN_UP, MOVED, OWNER_LOST, CALLER_LOST, ENDED = (
    3101,
    3102,
    3103,
    3104,
    3106,
    3107,
)
NO_VIEW, NO_UPSTREAM, NO_OWNER = 2101, 2102, 4103
DROPPED_AT_SIDES = (NO_OWNER,)
DROPPED_AT_BALANCERS = (NO_VIEW, NO_UPSTREAM)
FAILED = 1302

refusal_reasons = {
    "busy": "the upstreams had as much work as they can finish in time",
    "crowded": "a process had as many requests as it takes",
    "deadline": "no upstream became free before the request's time was over",
    "unsettled": "the processes that had their flows before did not answer",
}
"""Reasons of refusals in plain words."""

kept_out = {
    4104: "packets of callers that made no sense",
    1301: "messages that bore no valid key, or came a second time",
    2103: "answers from senders that don't belong to the service",
    4101: "messages meant for another service",
    2104: "times a balancer could not read a stored object",
    4102: "times a side process could not read a stored object",
    FAILED: "times an error was met inside a process; the logs tell more",
}
"""Events that were dropped, in plain words."""


@dataclass(frozen=True)
class Section:
    """A heading and its sentences."""

    title: str
    lines: list[str]


def served_section(picture: Picture, service: str) -> Section:
    """Return how callers of a service were served, and why so."""
    sides = picture.side_statuses(service)
    counts = count_events(sides)
    lines = [
        f"{count(counts[ENDED, 'done'], 'request')} got the whole answer asked for."
    ]
    lines += refused_lines(counts)
    lines += unknown_lines(counts)
    moved = of_number(counts, MOVED)
    if moved:
        lines.append(
            f"{number(moved)} moved to a less busy upstream before they started, so "
            "that they waited less."
        )
    retried = sum(status.retries for status in sides)
    if retried:
        lines.append(
            f"{number(retried)} sent to an upstream again, because it had not answered "
            "at once. Only requests that may run again are repeated."
        )
    lost = of_number(counts, CALLER_LOST)
    if lost:
        lines.append(
            f"{number(lost)} open observations were closed, because the caller "
            "answered no more."
        )
    dropped = sum(of_number(counts, item) for item in DROPPED_AT_SIDES)
    everywhere = count_events(picture.statuses.values())
    dropped += sum(everywhere[item, service] for item in DROPPED_AT_BALANCERS)
    if dropped:
        lines.append(
            f"{number(dropped)} packets were dropped, because no upstream could take "
            "them. Callers send such packets again."
        )
    title = f"How callers of {service} were served since the processes started"
    return Section(title, lines)


def refused_lines(counts: Counter[tuple[int, str]]) -> list[str]:
    """Return how many requests were refused and why."""
    reasons = {
        reason: count_ for (item, reason), count_ in counts.items() if item == REFUSED
    }
    if not reasons:
        return []
    whys = {reason: refusal_reasons.get(reason, reason) for reason in sorted(reasons)}
    parts = [f"{number(reasons[reason])} because {why}" for reason, why in whys.items()]
    total = sum(reasons.values())
    if len(parts) == 1:
        parts = [f"because {why}" for why in whys.values()]
    return [
        f"{number(total)} refused, {join(parts)}. None of them was run, and each "
        "caller was told at once when to come back."
    ]


def unknown_lines(counts: Counter[tuple[int, str]]) -> list[str]:
    """Return how many callers could not be told whether their request ran."""
    late, lost = of_number(counts, GIVEN_UP), of_number(counts, OWNER_LOST)
    lines = []
    if late:
        lines.append(
            f"{count(late, 'caller was', 'callers were')} told that the outcome isn't "
            "known, because an upstream had the request and did not finish in time, or "
            "because its record could not be kept in two places."
        )
    if lost:
        lines.append(
            f"{count(lost, 'caller was', 'callers were')} told that the outcome isn't "
            "known, because the process that had the request was lost. It was not run "
            "a second time."
        )
    return lines


def kept_out_sections(picture: Picture) -> list[Section]:
    """Return what was dropped without harm, nothing where nothing was."""
    counts = count_events(picture.statuses.values())
    lines = [
        f"{number(of_number(counts, event))} {text}."
        for event, text in kept_out.items()
        if of_number(counts, event)
    ]
    title = "What was dropped, without harm to callers, since the processes started"
    return [Section(title, lines)] if lines else []


def of_number(counts: Counter[tuple[int, str]], event: int) -> int:
    """Return how often an event was reported for any reason."""
    return sum(count_ for (item, _), count_ in counts.items() if item == event)


def count_errors(picture: Picture) -> int:
    """Return how many errors were met inside processes."""
    return of_number(count_events(picture.statuses.values()), FAILED)
