"""Builds configurations from register and rules, and compares configurations."""

import dataclasses
from collections import Counter, defaultdict
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from fuchsiapin.faults import Fault
from fuchsiapin.inputs import Asset, Rules, ServiceRule
from fuchsiapin.messages import (
    AcceptedChange,
    ClassConfig,
    Configuration,
    Separation,
    ServiceConfig,
    UpstreamConfig,
)
from fuchsiapin.phrases import count
from fuchsiapin.register import Entry, read_register
from fuchsiapin.rules import RulesDocument, read_rules, rule_faults, separations

__all__ = [
    "Difference",
    "Proposal",
    "accept",
    "diff_configurations",
    "set_leaving",
    "read_proposal",
    "summarize",
]

HISTORY_LIMIT = 32
"""Maximum number of accepted changes in the history of a configuration."""
NON_VALUE_FIELDS = ("id", "name", "upstreams", "classes")
"""Fields that `values_of` leaves out: names and nested items."""
MAX_LISTED_DIFFERENCES = 4
"""Maximum number of differences that a summary names individually."""
MAX_SUMMARY_LENGTH = 200
"""Maximum length of the summary of a change, in characters."""


@dataclass(frozen=True)
class Proposal:
    """Content of a configuration, without number, author and history."""

    deployment: str
    services: list[ServiceConfig]
    apart: list[Separation]


@dataclass(frozen=True)
class Difference:
    """One difference between two configurations.

    Parameters
    ----------
    subject : str
        Service, class, upstream or separation that differs, as `upstream ledger-1`.
    key : str
        Field that differs; empty if the whole subject is added or removed.
    before, after : str
        Values as text; empty if there is none.

    Examples
    --------
    >>> str(Difference("upstream ledger-1", "leaving", "False", "True"))
    'upstream ledger-1: leaving changes from False to True'
    >>> str(Difference("upstream ledger-8", "", "", "buc-a"))
    'upstream ledger-8 comes (buc-a)'
    """

    subject: str
    key: str
    before: str
    after: str

    def __str__(self) -> str:
        if self.key:
            return (
                f"{self.subject}: {self.key} changes from {self.before} to {self.after}"
            )
        if self.after:
            return f"{self.subject} comes ({self.after})"
        return f"{self.subject} goes ({self.before})"


def read_proposal(register: Path, rules: Path) -> Result[Proposal, list[Fault]]:
    """Build a proposal from register and rules, or return the faults of both files."""
    entries, rules_document = read_register(register), read_rules(rules)
    faults = [*faults_of(entries), *faults_of(rules_document)]
    if faults:
        return Error(faults)
    return build_proposal(entries.ok, rules_document.ok)


def faults_of(result: Result) -> list[Fault]:
    """Return the faults of a result, empty if it is successful."""
    return result.error if result.is_error() else []


def build_proposal(
    entries: list[Entry], rules_document: RulesDocument
) -> Result[Proposal, list[Fault]]:
    """Build a proposal from register and rules, or return all their faults."""
    services = sorted({entry.asset.service for entry in entries})
    apart = separations(rules_document.rules, services)
    faults = rule_faults(rules_document, entries) + zone_faults(entries, apart)
    if faults:
        return Error(faults)
    return Ok(
        Proposal(
            rules_document.rules.deployment,
            [make_service(name, entries, rules_document.rules) for name in services],
            [Separation(list(pair)) for pair in apart],
        )
    )


def zone_faults(entries: list[Entry], apart: list[tuple[str, str]]) -> list[Fault]:
    """Return the faults of assets in a zone that their service may not share."""
    by_zone: dict[tuple[str, str], list[Entry]] = defaultdict(list)
    for entry in entries:
        by_zone[entry.asset.service, entry.asset.availability_zone].append(entry)
    found = []
    for first, second in apart:
        for (service, zone), others in by_zone.items():
            conflicting = by_zone.get((first, zone))
            if service == second and conflicting:
                expected = (
                    f"an availability zone without {first!r} (this one contains "
                    f"{conflicting[0].asset.name})"
                )
                found += [
                    entry.fault("availability_zone", expected, repr(zone))
                    for entry in others
                ]
    return found


def make_service(name: str, entries: list[Entry], rules: Rules) -> ServiceConfig:
    """Return the configuration of one service."""
    matching = [rule for rule in rules.services if rule.name == name]
    rule = matching[0] if matching else ServiceRule(name)
    assets = [entry.asset for entry in entries if entry.asset.service == name]
    return ServiceConfig(
        name,
        rule.deadline_ms,
        rule.queue,
        [
            make_upstream(asset, asset.name in rules.leaving)
            for asset in sorted(assets, key=lambda asset: asset.name)
        ],
        [ClassConfig(item.name, item.share, item.networks) for item in rule.classes],
    )


def make_upstream(asset: Asset, leaving: bool) -> UpstreamConfig:
    """Return the configuration of one upstream."""
    return UpstreamConfig(
        asset.name,
        asset.vm,
        asset.address,
        asset.availability_zone,
        asset.slots,
        asset.connections,
        leaving,
    )


def accept(
    proposal: Proposal, current: Configuration | None, author: str, change_id: str
) -> Configuration | None:
    """Return the next configuration, with a proposal accepted as a change.

    Returns
    -------
    Configuration or None
        None if nothing would change.
    """
    draft = Configuration(
        proposal.deployment,
        current.number + 1 if current else 1,
        author,
        change_id,
        proposal.services,
        proposal.apart,
    )
    differences = diff_configurations(current, draft)
    if current is not None and not differences:
        return None
    change = AcceptedChange(draft.number, author, change_id, summarize(differences))
    history = [*(current.history if current else []), change]
    return replace(draft, history=history[-HISTORY_LIMIT:])


def set_leaving(
    current: Configuration, upstream: str, leaving: bool
) -> Proposal | None:
    """Return a proposal that changes only the leaving flag of one upstream.

    Returns
    -------
    Proposal or None
        None if there is no such upstream.
    """
    names = [item.id for service in current.services for item in service.upstreams]
    if upstream not in names:
        return None
    services = [
        replace(
            service,
            upstreams=[
                replace(item, leaving=leaving) if item.id == upstream else item
                for item in service.upstreams
            ],
        )
        for service in current.services
    ]
    return Proposal(current.deployment, services, current.apart)


def summarize(differences: list[Difference]) -> str:
    """Summarize differences in one short text, for the history of the configuration.

    Examples
    --------
    >>> summarize([Difference("upstream ledger-1", "leaving", "False", "True")])
    'ledger-1 leaves'
    >>> summarize([Difference(f"upstream u{n}", "", "", "x") for n in range(9)])
    '9 upstreams come'
    """
    if len(differences) <= MAX_LISTED_DIFFERENCES:
        text = "; ".join(describe_difference(difference) for difference in differences)
    else:
        kinds = Counter(classify_difference(difference) for difference in differences)
        text = ", ".join(
            f"{count(number, kind)} {verb if number == 1 else plural_verb}"
            for (kind, verb, plural_verb), number in sorted(kinds.items())
        )
    return (
        text
        if len(text) <= MAX_SUMMARY_LENGTH
        else f"{text[: MAX_SUMMARY_LENGTH - 1]}…"
    )


def describe_difference(difference: Difference) -> str:
    """Describe one difference briefly."""
    name = difference.subject.removeprefix("upstream ")
    if difference.key == "leaving":
        return f"{name} {'leaves' if difference.after == 'True' else 'returns'}"
    if difference.key:
        return (
            f"{difference.key} of {name} from {difference.before} to {difference.after}"
        )
    return f"{difference.subject} {'comes' if difference.after else 'goes'}"


def classify_difference(difference: Difference) -> tuple[str, str, str]:
    """Return the kind of subject of a difference, and its verb for one and many."""
    kind = difference.subject.split()[0]
    if difference.key:
        return kind, "changes", "change"
    return (kind, "comes", "come") if difference.after else (kind, "goes", "go")


def diff_configurations(
    before: Configuration | None, after: Configuration
) -> list[Difference]:
    """Return the differences between two configurations, sorted by subject."""
    old, new = values_by_subject(before), values_by_subject(after)
    found = []
    for subject in sorted(old | new):
        if subject not in old:
            found.append(Difference(subject, "", "", join_values(new[subject])))
        elif subject not in new:
            found.append(Difference(subject, "", join_values(old[subject]), ""))
        else:
            found += value_differences(subject, old[subject], new[subject])
    return found


def values_by_subject(config: Configuration | None) -> dict[str, dict[str, str]]:
    """Return the values of each service, class, upstream and separation as text."""
    found: dict[str, dict[str, str]] = {}
    if config is None:
        return found
    for service in config.services:
        found[f"service {service.name}"] = values_of(service)
        for item in service.classes:
            found[f"class {item.name} of {service.name}"] = values_of(item)
        for upstream in service.upstreams:
            values = {"service": service.name} | values_of(upstream)
            found[f"upstream {upstream.id}"] = values
    for rule in config.apart:
        found[f"separation of {' and '.join(rule.services)}"] = {}
    return found


def values_of(item: Any) -> dict[str, str]:
    """Return the values of an item as text, without its name and nested items."""
    values = dataclasses.asdict(item)
    return {
        key: ", ".join(value) if isinstance(value, list) else str(value)
        for key, value in values.items()
        if key not in NON_VALUE_FIELDS
    }


def join_values(values: dict[str, str]) -> str:
    """Return the values of a subject as one text.

    A subject without values gives `rule`, because an empty text means that the subject
    doesn't exist.
    """
    return ", ".join(f"{key} {value}" for key, value in values.items()) or "rule"


def value_differences(
    subject: str, old: dict[str, str], new: dict[str, str]
) -> list[Difference]:
    """Return the values of one subject that differ."""
    return [
        Difference(subject, key, old[key], new[key])
        for key in new
        if old.get(key) != new[key]
    ]
