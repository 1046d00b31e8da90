"""Checks documents against a schema, and tells every fault at once."""

import json
from collections.abc import Iterator
from functools import cache
from importlib.resources import files
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from fuchsiapin.documents import Document, Keys
from fuchsiapin.faults import Fault, nearest_hint
from fuchsiapin.registry import Registry

__all__ = ["check_document", "expectations", "load_schema", "show"]

expectations = Registry("expectation")
"""From the value of a schema keyword to what it expects, in words."""

MAX_SHOWN = 60
KINDS = {
    "string": "a text",
    "integer": "a whole number",
    "number": "a number",
    "boolean": "true or false",
    "array": "a list",
    "object": "a group of keys",
    "null": "nothing",
}
PATTERNS = {
    "^http://[^/ ]+/?$": "a URL as in 'http://10.0.0.1:8080'",
    "^([0-9a-f]{2}){16,64}$": "16 to 64 bytes in small hexadecimal digits",
    "^[a-z0-9][a-z0-9-]*$": "small letters, digits and hyphens",
}
"""What the patterns of the schemas ask for, in words."""


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Return a schema of this package."""
    path = files("fuchsiapin").joinpath(f"schema/{name}.json")
    return json.loads(path.read_text())


def check_document(document: Document, *schemas: dict[str, Any]) -> list[Fault]:
    """Return all faults of a document against schemas, none twice.

    The first schema describes the keys; the others only add to it.
    """
    described = schemas[0].get("properties", {})
    found: dict[Fault, None] = {}
    for schema in schemas:
        validator = Draft202012Validator(
            schema, format_checker=Draft202012Validator.FORMAT_CHECKER
        )
        for error in validator.iter_errors(document.values):
            found |= dict.fromkeys(faults_of(document, error, described))
    return list(found)


def faults_of(
    document: Document, error: ValidationError, described: dict[str, Any]
) -> Iterator[Fault]:
    """Yield what one error of the validator means to an operator."""
    keys: Keys = tuple(error.absolute_path)
    if error.validator == "required":
        yield from missing_keys(document, keys, error, described)
    elif error.validator == "additionalProperties":
        yield from unknown_keys(document, keys, error)
    else:
        expected = expectations.variants.get(error.validator, fallback)
        secret = bool(error.schema.get("writeOnly"))
        yield document.fault(
            keys, expected(error.validator_value), show(error.instance, secret)
        )


def missing_keys(
    document: Document, keys: Keys, error: ValidationError, described: dict[str, Any]
) -> Iterator[Fault]:
    """Yield the keys that a group lacks."""
    known = error.schema.get("properties", {})
    if not keys:
        known = known | described
    for name in error.validator_value:
        if name not in error.instance:
            text = known.get(name, {}).get("description", "A value.")
            expected = in_sentence(text)
            yield document.fault((*keys, name), expected, "nothing")


def in_sentence(text: str) -> str:
    """Return a description as a part of a sentence.

    Examples
    --------
    >>> in_sentence("Port of the VM."), in_sentence("CoAP address.")
    ('port of the VM', 'CoAP address')
    """
    is_plain = text.split()[0][1:].islower() or text[1] == " "
    first = text[0].lower() if is_plain else text[0]
    return first + text[1:].rstrip(".")


def unknown_keys(
    document: Document, keys: Keys, error: ValidationError
) -> Iterator[Fault]:
    """Yield the keys that a group may not have, with the nearest known ones."""
    known = error.schema.get("properties", {})
    for name in error.instance:
        if name not in known:
            hint = nearest_hint(name, known)
            yield document.fault((*keys, name), hint, f"the unknown key {name!r}")


def show(value: Any, is_secret: bool = False) -> str:
    """Return a value as faults show it, cut off; never a secret one."""
    if is_secret:
        size = f" of {len(value)} characters" if isinstance(value, str) else ""
        return f"a secret{size}"
    if value == "":
        return "an empty text"
    if isinstance(value, list | dict):
        return f"{KINDS['array' if isinstance(value, list) else 'object']}" + (
            f" of {len(value)}"
        )
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}…"


def fallback(value: Any) -> str:
    """Return what an unusual keyword expects."""
    return f"what the schema says: {show(value)}"


@expectations.register("type")
def expect_type(value: Any) -> str:
    """Return the kind that is expected."""
    kinds = value if isinstance(value, list) else [value]
    return " or ".join(KINDS[kind] for kind in kinds)


@expectations.register("pattern")
def expect_pattern(value: str) -> str:
    """Return the form that is expected."""
    return PATTERNS.get(value, f"a text of the form {value}")


@expectations.register("format")
def expect_format(value: str) -> str:
    """Return the format that is expected."""
    return "an IPv4 address" if value == "ipv4" else f"a text of the format {value}"


@expectations.register("enum")
def expect_enum(value: list) -> str:
    """Return the values that are allowed."""
    return f"one of {', '.join(map(str, value))}"


@expectations.register("minimum")
def expect_minimum(value: int) -> str:
    """Return the lower bound."""
    return f"at least {value}"


@expectations.register("maximum")
def expect_maximum(value: int) -> str:
    """Return the upper bound."""
    return f"at most {value}"


@expectations.register("minLength")
def expect_min_length(value: int) -> str:
    """Return how long a text has to be."""
    return "a text that isn't empty" if value == 1 else f"{value} characters or more"


@expectations.register("minItems")
def expect_min_items(value: int) -> str:
    """Return how many items a list needs."""
    return f"a list of {value} or more"


@expectations.register("maxItems")
def expect_max_items(value: int) -> str:
    """Return how many items a list may have."""
    return f"a list of {value} at the most" if value else "no such list in this role"


@expectations.register("uniqueItems")
def expect_unique(value: bool) -> str:
    """Return that no item may repeat."""
    return "each item once"
