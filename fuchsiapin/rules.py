"""Reads the operator's rules and checks them against the asset register."""

from ipaddress import IPv4Network
from itertools import combinations
from pathlib import Path

from cattrs import Converter
from expression import Error, Ok, Result

from fuchsiapin.checking import check_document, load_schema
from fuchsiapin.documents import Document, Keys, read_document
from fuchsiapin.faults import Fault, nearest_hint
from fuchsiapin.inputs import Rules
from fuchsiapin.register import Entry

__all__ = ["RulesDocument", "read_rules", "rule_faults", "separations"]

ServicePair = tuple[str, str]
"""Two services, sorted by name."""


class RulesDocument:
    """Rules with the document that contains them.

    Parameters
    ----------
    rules : Rules
        The rules.
    document : Document
        Document that contains the rules.
    """

    def __init__(self, rules: Rules, document: Document) -> None:
        self.rules = rules
        self.document = document


def read_rules(path: Path) -> Result[RulesDocument, list[Fault]]:
    """Read the rules in a file, or return all its faults."""
    return read_document(path).bind(rules_from)


def rules_from(document: Document) -> Result[RulesDocument, list[Fault]]:
    """Read the rules in a document, or return all its faults."""
    schema = load_schema("inputs")
    faults = check_document(
        document, schema["$defs"]["Rules"] | {"$defs": schema["$defs"]}
    )
    if faults:
        return Error(faults)
    return Ok(RulesDocument(Converter().structure(document.values, Rules), document))


def rule_faults(rules_document: RulesDocument, entries: list[Entry]) -> list[Fault]:
    """Return the faults of the rules, alone and in relation to the register."""
    services = {entry.asset.service for entry in entries}
    names = {entry.asset.name for entry in entries}
    found = []
    for keys, name in named_services(rules_document.rules):
        if name not in services:
            hint = f"a service of the register: {nearest_hint(name, services)}"
            found.append(rules_document.document.fault(keys, hint, repr(name)))
    for index, name in enumerate(rules_document.rules.leaving):
        if name not in names:
            hint = f"an upstream of the register: {nearest_hint(name, names)}"
            found.append(
                rules_document.document.fault(("leaving", index), hint, repr(name))
            )
    found += repeated_services(rules_document)
    found += network_faults(rules_document)
    found += contradictions(rules_document)
    return found + emptied_services(rules_document, entries)


def named_services(rules: Rules) -> list[tuple[Keys, str]]:
    """Return the path and name of each reference to a service."""
    found: list[tuple[Keys, str]] = []
    for index, rule in enumerate(rules.services):
        found.append((("services", index, "name"), rule.name))
    groups = {
        "may_share_zone": rules.may_share_zone or [],
        "may_not_share_zone": rules.may_not_share_zone,
    }
    for key, lists in groups.items():
        for index, group in enumerate(lists):
            for number, name in enumerate(group):
                found.append(((key, index, number), name))
    return found


def repeated_services(rules_document: RulesDocument) -> list[Fault]:
    """Return the faults of services with two rules and of duplicate classes."""
    found = []
    seen: set[str] = set()
    for index, rule in enumerate(rules_document.rules.services):
        if rule.name in seen:
            keys: Keys = ("services", index, "name")
            found.append(
                rules_document.document.fault(
                    keys, "one rule for each service", f"{rule.name!r} again"
                )
            )
        seen.add(rule.name)
        classes: set[str] = set()
        for class_index, item in enumerate(rule.classes):
            if item.name in classes:
                keys = ("services", index, "classes", class_index, "name")
                found.append(
                    rules_document.document.fault(
                        keys, "each class once", f"{item.name!r} again"
                    )
                )
            classes.add(item.name)
    return found


def network_faults(rules_document: RulesDocument) -> list[Fault]:
    """Return the faults of invalid networks and of networks in two classes.

    A class without networks covers all remaining callers; only one class may do so.
    """
    found = []
    for index, rule in enumerate(rules_document.rules.services):
        class_by_network: dict[IPv4Network | None, str] = {}
        for class_index, item in enumerate(rule.classes):
            for network_index, text in enumerate(item.networks or [""]):
                keys: Keys = (
                    "services",
                    index,
                    "classes",
                    class_index,
                    "networks",
                    network_index,
                )
                try:
                    network = IPv4Network(text) if text else None
                except ValueError as error:
                    expected = "an IPv4 network as in 10.8.0.0/16"
                    found.append(
                        rules_document.document.fault(keys, expected, str(error))
                    )
                    continue
                first = class_by_network.setdefault(network, item.name)
                if first != item.name:
                    what = (
                        repr(text)
                        if text
                        else "no networks, which covers all remaining callers"
                    )
                    expected = f"networks that {first!r} doesn't cover"
                    found.append(rules_document.document.fault(keys, expected, what))
    return found


def pairs_of(groups: list[list[str]]) -> dict[ServicePair, int]:
    """Return each pair of services of the groups, with the index of its first group."""
    found: dict[ServicePair, int] = {}
    for index, group in enumerate(groups):
        for first, second in combinations(sorted(set(group)), 2):
            found.setdefault((first, second), index)
    return found


def contradictions(rules_document: RulesDocument) -> list[Fault]:
    """Return the faults of pairs that both may and may not share a zone."""
    allowed = pairs_of(rules_document.rules.may_share_zone or [])
    forbidden = pairs_of(rules_document.rules.may_not_share_zone)
    return [
        rules_document.document.fault(
            ("may_not_share_zone", index),
            "services that may_share_zone doesn't name together",
            f"{pair[0]!r} and {pair[1]!r}",
        )
        for pair, index in forbidden.items()
        if pair in allowed
    ]


def emptied_services(
    rules_document: RulesDocument, entries: list[Entry]
) -> list[Fault]:
    """Return the faults of services all of whose upstreams would be leaving."""
    leaving = set(rules_document.rules.leaving)
    found = []
    for service in sorted({entry.asset.service for entry in entries}):
        names = {
            entry.asset.name for entry in entries if entry.asset.service == service
        }
        if names <= leaving:
            expected = f"an upstream of {service!r} that stays"
            keys: Keys = ("leaving",)
            found.append(
                rules_document.document.fault(keys, expected, "all of them leaving")
            )
    return found


def separations(rules: Rules, services: list[str]) -> list[ServicePair]:
    """Return the pairs of services that may not share an availability zone.

    Examples
    --------
    >>> separations(Rules("d", may_share_zone=[["a", "b"]]), ["a", "b", "c"])
    [('a', 'c'), ('b', 'c')]
    >>> separations(Rules("d", may_not_share_zone=[["a", "c"]]), ["a", "b", "c"])
    [('a', 'c')]
    """
    forbidden = set(pairs_of(rules.may_not_share_zone))
    if rules.may_share_zone is not None:
        allowed = set(pairs_of(rules.may_share_zone))
        forbidden |= set(combinations(sorted(services), 2)) - allowed
    return sorted(forbidden)
