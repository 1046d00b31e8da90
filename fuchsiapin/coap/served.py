"""Sections of the account on how callers were served, with counts and reasons."""

from collections import Counter
from dataclasses import dataclass

from fuchsiapin.phrases import count, format_number, join_words
from fuchsiapin.snapshot import DeploymentSnapshot, count_events

__all__ = [
    "Section",
    "count_errors",
    "dropped_input",
    "dropped_sections",
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
INTERNAL_ERROR = 1302

refusal_reasons = {
    "busy": "the upstreams had as much work as they can finish in time",
    "crowded": "a process had reached its limit of requests",
    "deadline": "no upstream became free before the request's deadline",
    "unsettled": "the processes that owned their flows before did not answer",
}
"""Reasons of refusals in plain words."""

dropped_input = {
    4104: "packets of callers that could not be parsed",
    1301: "messages that had no valid key, were too old, unreadable or received twice",
    2103: "answers from senders that don't belong to the service",
    4101: "messages for another service",
    2104: "times a balancer could not read a stored object",
    4102: "times a side process could not read a stored object",
    INTERNAL_ERROR: "times an error occurred inside a process; see the logs",
}
"""Descriptions of the events that mean dropped input or an internal error."""


@dataclass(frozen=True)
class Section:
    """A section of the account: a title and its sentences."""

    title: str
    lines: list[str]


def served_section(snapshot: DeploymentSnapshot, service: str) -> Section:
    """Return how callers of a service were served, with reasons."""
    sides = snapshot.side_statuses(service)
    counts = count_events(sides)
    lines = [f"{count(counts[ENDED, 'done'], 'request')} received the whole answer."]
    lines += refused_lines(counts)
    lines += unknown_lines(counts)
    moved = event_total(counts, MOVED)
    if moved:
        lines.append(
            "Requests moved to a less busy upstream before they started, to shorten "
            f"their wait: {format_number(moved)}."
        )
    retried = sum(status.retries for status in sides)
    if retried:
        lines.append(
            "Transmissions repeated, because an upstream had not acknowledged a "
            f"request within one second: {format_number(retried)}. Only requests "
            "that may run twice are repeated."
        )
    lost = event_total(counts, CALLER_LOST)
    if lost:
        lines.append(
            "Open observations closed, because the caller no longer answered: "
            f"{format_number(lost)}."
        )
    dropped = sum(event_total(counts, item) for item in DROPPED_AT_SIDES)
    everywhere = count_events(snapshot.statuses.values())
    dropped += sum(everywhere[item, service] for item in DROPPED_AT_BALANCERS)
    if dropped:
        lines.append(
            "Packets dropped, because no upstream could take them: "
            f"{format_number(dropped)}. Callers send such packets again."
        )
    title = f"How callers of {service} were served since the processes started"
    return Section(title, lines)


def refused_lines(counts: Counter[tuple[int, str]]) -> list[str]:
    """Return how many requests were refused and why."""
    reasons = {
        reason: times for (event, reason), times in counts.items() if event == REFUSED
    }
    if not reasons:
        return []
    explanations = {
        reason: refusal_reasons.get(reason, reason) for reason in sorted(reasons)
    }
    parts = [
        f"{format_number(reasons[reason])} because {explanation}"
        for reason, explanation in explanations.items()
    ]
    total = sum(reasons.values())
    if len(parts) == 1:
        parts = [f"because {explanation}" for explanation in explanations.values()]
    return [
        f"Requests refused: {format_number(total)} ({join_words(parts)}). None of them "
        "was run, and each caller was told when to try again."
    ]


def unknown_lines(counts: Counter[tuple[int, str]]) -> list[str]:
    """Return how many callers were told that the outcome is unknown, and why."""
    given_up, owner_lost = (
        event_total(counts, GIVEN_UP),
        event_total(counts, OWNER_LOST),
    )
    lines = []
    if given_up:
        lines.append(
            f"{count(given_up, 'caller was', 'callers were')} told that the outcome "
            "isn't known, because an upstream had the request and did not finish in "
            "time, because its record could not be kept in two places, or because too "
            "many requests were in progress."
        )
    if owner_lost:
        lines.append(
            f"{count(owner_lost, 'caller was', 'callers were')} told that the outcome "
            "isn't known, because the process that had the request was lost. It was "
            "not run a second time."
        )
    return lines


def dropped_sections(snapshot: DeploymentSnapshot) -> list[Section]:
    """Return a section on dropped input and internal errors; none without any."""
    counts = count_events(snapshot.statuses.values())
    lines = [
        f"{format_number(event_total(counts, event))} {text}."
        for event, text in dropped_input.items()
        if event_total(counts, event)
    ]
    title = "Dropped input and internal errors since the processes started"
    return [Section(title, lines)] if lines else []


def event_total(counts: Counter[tuple[int, str]], event: int) -> int:
    """Return how often an event was reported, over all reasons."""
    return sum(times for (item, _), times in counts.items() if item == event)


def count_errors(snapshot: DeploymentSnapshot) -> int:
    """Return how many errors occurred inside the processes."""
    return event_total(count_events(snapshot.statuses.values()), INTERNAL_ERROR)
