"""Makes the pages of docs/ that follow from the code: settings and events."""

from pathlib import Path
from typing import Any

import defopt

from fuchsiapin.checking import load_schema
from fuchsiapin.events import EVENTS

__all__ = ["PAGES", "event_page", "main", "settings_page"]

DOCS = Path(__file__).parent.parent / "docs"
ROLE_OF = {"weight": "side", "slots": "side"}
"""Roles of settings that are not needed."""


def settings_page() -> str:
    """Return the text of the page that lists all settings."""
    schema = load_schema("settings")
    lines = [
        "# Settings",
        "",
        "One file of JSON with comments for each process. `fuchsiapin-side FILE",
        "--check` and `fuchsiapin-balancer FILE --check` read it, tell every fault at",
        "once (file, line, key, what was expected and found) and start nothing. A",
        "process with faults in its settings ends with status 1. This page is made by",
        "`python -m tools.pages`.",
        "",
        "| key | role | needed | kind | default | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for name, rule in schema["properties"].items():
        lines.append(settings_row(schema, name, rule))
    for name, rule in schema["$defs"].items():
        lines += ["", f"## {name}", "", rule["description"], ""]
        lines += ["| key | kind | meaning |", "|---|---|---|"]
        for key, inner in rule["properties"].items():
            kind = f"{inner['type']}{bounds_text(inner)}"
            lines.append(f"| `{key}` | {kind} | {inner['description']} |")
    return "\n".join(lines) + "\n"


def settings_row(schema: dict[str, Any], name: str, rule: dict[str, Any]) -> str:
    """Return one row of the table of settings."""
    roles = schema["roles"]
    needing = [role for role in roles if name in roles[role]["required"]]
    role = needing[0] if needing else ROLE_OF.get(name, "both")
    needed = "yes" if needing or name in schema["required"] else "no"
    default = repr(rule["default"]) if "default" in rule else ""
    return (
        f"| `{name}` | {role} | {needed} | {kind_text(rule)} | {default} "
        f"| {rule['description']} |"
    )


def kind_text(rule: dict[str, Any]) -> str:
    """Return the kind of a setting for the table."""
    if "$ref" in rule:
        return rule["$ref"].rsplit("/", 1)[-1]
    if rule["type"] == "array":
        return f"list of {kind_text(rule['items'])}"
    return f"{rule['type']}{bounds_text(rule)}"


def bounds_text(rule: dict[str, Any]) -> str:
    """Return the bounds of a number for the table."""
    if "maximum" in rule:
        return f", {rule['minimum']} to {rule['maximum']}"
    return f", {rule['minimum']} or more" if "minimum" in rule else ""


def event_page() -> str:
    """Return the text of the page that lists all events."""
    lines = [
        "# Events",
        "",
        "Each process writes one line of JSON per event to its standard error:",
        "`time_ms`, `level`, `process`, `number`, `event`, and the fields below.",
        "Events marked *rate-limited* can be caused from outside; the log takes five",
        "lines of one number in ten seconds and counts the others in `suppressed`.",
        "Every event is counted at `/status` and `/metrics`, also at level `debug`,",
        "which is not logged. This page is made by `python -m tools.pages`.",
    ]
    for event in EVENTS:
        rate_limit = ", rate-limited" if event.is_rate_limited else ""
        fields = ", ".join(f"`{f.name}` ({f.kind})" for f in event.fields) or "none"
        lines += [
            "",
            f"## {event.number} {event.name}",
            "",
            f"Level: {event.level}{rate_limit}. Fields: {fields}.",
            "",
            event.meaning,
            "",
            f"What to do: {event.advice}",
        ]
    return "\n".join(lines) + "\n"


PAGES = {"settings.md": settings_page, "events.md": event_page}


def write_pages(folder: Path = DOCS) -> None:
    """Write the pages.

    Parameters
    ----------
    folder : Path
        Where they go.
    """
    for name, make in PAGES.items():
        (folder / name).write_text(make())


def main() -> None:
    """Enter from the command line."""
    defopt.run(write_pages)


if __name__ == "__main__":
    main()
