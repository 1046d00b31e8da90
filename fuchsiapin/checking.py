"""Validates documents against a schema and collects all faults."""

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

__all__ = ["check_document", "expectations", "format_value", "load_schema"]

expectations = Registry("expectation")
"""Functions that describe the value that a schema keyword expects."""

MAX_SHOWN_CHARACTERS = 60
TYPE_NAMES = {
    "string": "a string",
    "integer": "an integer",
    "number": "a number",
    "boolean": "true or false",
    "array": "a list",
    "object": "an object",
    "null": "null",
}
PATTERNS = {
    "^http://[^/ ]+/?$": "a URL as in 'http://10.0.0.1:8080'",
    "^([0-9a-f]{2}){16,64}$": "16 to 64 bytes in lowercase hexadecimal digits",
    "^[a-z0-9][a-z0-9-]*$": "lowercase letters, digits and hyphens",
}
"""Descriptions of the patterns of the schemas."""


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Load a schema of this package."""
    path = files("fuchsiapin").joinpath(f"schema/{name}.json")
    return json.loads(path.read_text())


def check_document(document: Document, *schemas: dict[str, Any]) -> list[Fault]:
    """Return all faults of a document against schemas, without duplicates.

    The first schema has the descriptions of the keys; the others add constraints.
    """
    key_schemas = schemas[0].get("properties", {})
    found: dict[Fault, None] = {}
    for schema in schemas:
        validator = Draft202012Validator(
            schema, format_checker=Draft202012Validator.FORMAT_CHECKER
        )
        for error in validator.iter_errors(document.values):
            found |= dict.fromkeys(faults_of_error(document, error, key_schemas))
    return list(found)


def faults_of_error(
    document: Document, error: ValidationError, key_schemas: dict[str, Any]
) -> Iterator[Fault]:
    """Convert one error of the validator into faults for an operator."""
    keys: Keys = tuple(error.absolute_path)
    if error.validator == "required":
        yield from missing_keys(document, keys, error, key_schemas)
    elif error.validator == "additionalProperties":
        yield from unknown_keys(document, keys, error)
    else:
        expected = expectations.functions.get(error.validator, expect_other)
        is_secret = bool(error.schema.get("writeOnly"))
        yield document.fault(
            keys,
            expected(error.validator_value),
            format_value(error.instance, is_secret),
        )


def missing_keys(
    document: Document, keys: Keys, error: ValidationError, key_schemas: dict[str, Any]
) -> Iterator[Fault]:
    """Yield a fault for each missing key of an object."""
    known = error.schema.get("properties", {})
    if not keys:
        known = known | key_schemas
    for name in error.validator_value:
        if name not in error.instance:
            text = known.get(name, {}).get("description", "A value.")
            expected = as_clause(text)
            yield document.fault((*keys, name), expected, "nothing")


def as_clause(text: str) -> str:
    """Return a description in a form that fits into a sentence.

    Examples
    --------
    >>> as_clause("Port of the VM."), as_clause("CoAP address.")
    ('port of the VM', 'CoAP address')
    """
    is_plain_word = text.split()[0][1:].islower() or text[1] == " "
    first = text[0].lower() if is_plain_word else text[0]
    return first + text[1:].rstrip(".")


def unknown_keys(
    document: Document, keys: Keys, error: ValidationError
) -> Iterator[Fault]:
    """Yield a fault for each unknown key of an object, with the most similar key."""
    known = error.schema.get("properties", {})
    for name in error.instance:
        if name not in known:
            hint = nearest_hint(name, known)
            yield document.fault((*keys, name), hint, f"the unknown key {name!r}")


def format_value(value: Any, is_secret: bool = False) -> str:
    """Return a value as text, truncated; secret values are not shown."""
    if is_secret:
        size = f" of {len(value)} characters" if isinstance(value, str) else ""
        return f"a secret{size}"
    if value == "":
        return "an empty string"
    if isinstance(value, list | dict):
        return f"{TYPE_NAMES['array' if isinstance(value, list) else 'object']}" + (
            f" of size {len(value)}"
        )
    text = json.dumps(value, ensure_ascii=False)
    return (
        text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]}…"
    )


def expect_other(value: Any) -> str:
    """Describe the value that a keyword without its own function expects."""
    return f"a value that matches the schema: {format_value(value)}"


@expectations.register("type")
def expect_type(value: Any) -> str:
    """Describe the expected type."""
    types = value if isinstance(value, list) else [value]
    return " or ".join(TYPE_NAMES[name] for name in types)


@expectations.register("pattern")
def expect_pattern(value: str) -> str:
    """Describe the expected pattern."""
    return PATTERNS.get(value, f"a string that matches {value}")


@expectations.register("format")
def expect_format(value: str) -> str:
    """Describe the expected format."""
    return "an IPv4 address" if value == "ipv4" else f"a string in the format {value}"


@expectations.register("enum")
def expect_enum(value: list) -> str:
    """Describe the allowed values."""
    return f"one of {', '.join(map(str, value))}"


@expectations.register("minimum")
def expect_minimum(value: int) -> str:
    """Describe the lower bound."""
    return f"at least {value}"


@expectations.register("maximum")
def expect_maximum(value: int) -> str:
    """Describe the upper bound."""
    return f"at most {value}"


@expectations.register("minLength")
def expect_min_length(value: int) -> str:
    """Describe the minimum length of a string."""
    return "a non-empty string" if value == 1 else f"{value} characters or more"


@expectations.register("maxLength")
def expect_max_length(value: int) -> str:
    """Describe the maximum length of a string."""
    return f"at most {value} characters"


@expectations.register("minItems")
def expect_min_items(value: int) -> str:
    """Describe the minimum number of items."""
    return f"a list of size {value} or more"


@expectations.register("maxItems")
def expect_max_items(value: int) -> str:
    """Describe the maximum number of items."""
    return f"a list of size {value} or less" if value else "an empty list or none"


@expectations.register("uniqueItems")
def expect_unique(value: bool) -> str:
    """Describe that items are unique."""
    return "each item once"
