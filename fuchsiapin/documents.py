"""Reads JSON with comments and records the line of each value."""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import jsonc
from expression import Error, Ok, Result

from fuchsiapin.faults import Fault
from fuchsiapin.fields import shown
from fuchsiapin.jsonpages import parse_whole

__all__ = ["Document", "Keys", "key_text", "parse_document", "read_document"]

Keys = tuple[str | int, ...]
"""Path from the root of a document to a value."""

MAX_FILE_BYTES = 64 * 1024 * 1024

TOKEN = re.compile(
    r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/|[\[\]{},:]|[^\s\[\]{},:"/]+', re.DOTALL
)
TRAILING_COMMA = re.compile(r",(\s*[\]}])")
NOT_NEWLINE = re.compile(r"[^\n]")


@dataclass(frozen=True)
class Document:
    """Values of a file, with their line numbers.

    Parameters
    ----------
    file : str
        Name of the file, for faults.
    values : Any
        Decoded content of the file.
    lines : dict
        Line number by path of the value.
    """

    file: str
    values: Any
    lines: dict[Keys, int] = field(default_factory=dict)

    def line_of(self, keys: Keys) -> int | None:
        """Return the line of a value, or of its innermost parent with a line."""
        for end in range(len(keys), -1, -1):
            if keys[:end] in self.lines:
                return self.lines[keys[:end]]
        return None

    def fault(self, keys: Keys, expected: str, found: str) -> Fault:
        """Return a fault at the line of a value."""
        return Fault(self.file, self.line_of(keys), key_text(keys), expected, found)


def key_text(keys: Keys) -> str:
    """Return the path of a value in the notation shown to operators.

    Examples
    --------
    >>> key_text(("assets", 0, "slots"))
    'assets[0].slots'
    """
    text = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in keys)
    return text.removeprefix(".")


def read_document(path: Path) -> Result[Document, list[Fault]]:
    """Read a file of JSON with comments, or return why it can't be read."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            size = f"at most {MAX_FILE_BYTES} bytes"
            return Error([Fault(str(path), None, "", size, "more")])
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or "an error"
        return Error([Fault(str(path), None, "", "a readable file", reason.lower())])
    except UnicodeDecodeError:
        return Error([Fault(str(path), None, "", "text in UTF-8", "other bytes")])
    return parse_document(str(path), text)


def parse_document(file: str, text: str) -> Result[Document, list[Fault]]:
    r"""Parse a text of JSON with comments.

    Examples
    --------
    >>> parse_document("x", '{\n"a": 1, // one\n}').ok.lines[("a",)]
    2
    """
    uncommented = blank_comments(text)
    try:
        values = jsonc.loads(uncommented, parse_int=parse_whole)
        lines, repeated = locate_values(uncommented)
        broken = list(broken_texts(values))
    except RecursionError:
        return Error([Fault(file, None, "", "fewer nesting levels", "too many")])
    except ValueError as error:
        return Error([syntax_fault(file, uncommented, str(error))])
    faults = [
        Fault(file, line, key_text(keys), "each key once", "the key again")
        for keys, line in repeated
    ]
    document = Document(file, values, lines)
    faults += [
        document.fault(keys, "text that can be written as UTF-8", shown(text))
        for keys, text in broken
    ]
    return Error(faults) if faults else Ok(document)


def broken_texts(value: Any, keys: Keys = ()) -> Iterator[tuple[Keys, str]]:
    """Yield path and text of each value or key with a lone surrogate."""
    if isinstance(value, str) and not is_encodable(value):
        yield keys, value
    items: Any = ()
    if isinstance(value, dict):
        yield from ((keys, key) for key in value if not is_encodable(key))
        items = ((key, item) for key, item in value.items() if is_encodable(key))
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        yield from broken_texts(item, (*keys, key))


def is_encodable(text: str) -> bool:
    """Return whether a text can be written as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def syntax_fault(file: str, uncommented: str, reason: str) -> Fault:
    """Return the syntax error of a text without comments, with its line.

    The library that allows trailing commas reports wrong line numbers, so the
    standard parser finds the error once they are blanked.
    """
    line = None
    try:
        json.loads(blank_trailing_commas(uncommented), parse_int=parse_whole)
    except json.JSONDecodeError as error:
        line, reason = error.lineno, error.msg
    return Fault(file, line, "", "JSON with comments", reason.lower())


def blank_comments(text: str) -> str:
    """Replace comments by spaces and keep the line breaks."""

    def blank(match: re.Match) -> str:
        token = match.group()
        is_comment = token.startswith(("//", "/*"))
        return NOT_NEWLINE.sub(" ", token) if is_comment else token

    return TOKEN.sub(blank, text)


def blank_trailing_commas(text: str) -> str:
    """Replace the trailing commas of a text without comments by spaces."""
    parts = []
    end = 0
    for match in TOKEN.finditer(text):
        trailing = match.group() == "," and TRAILING_COMMA.match(text, match.start())
        parts += [text[end : match.start()], " " if trailing else match.group()]
        end = match.end()
    return "".join([*parts, text[end:]])


def tokens(text: str) -> Iterator[tuple[str, int]]:
    """Yield the tokens of a text without comments, each with its line."""
    line, end = 1, 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", end, match.start())
        yield match.group(), line
        line += match.group().count("\n")
        end = match.end()


def locate_values(text: str) -> tuple[dict[Keys, int], list[tuple[Keys, int]]]:
    """Return the line of each value of a valid text, and the repeated keys.

    A repeated key is given by its path and its line.
    """
    lines: dict[Keys, int] = {}
    repeated: list[tuple[Keys, int]] = []
    path: list[Any] = []
    brackets: list[str] = []
    for token, line in tokens(text):
        if token == ":":
            continue
        if token == ",":
            path[-1] = None if brackets[-1] == "{" else path[-1] + 1
        elif token in "]}":
            brackets.pop()
            path.pop()
        elif brackets and brackets[-1] == "{" and path[-1] is None:
            path[-1] = json.loads(token)
            if tuple(path) in lines:
                repeated.append((tuple(path), line))
            lines[tuple(path)] = line
        else:
            lines.setdefault(tuple(path), line)
            if token in "{[":
                brackets.append(token)
                path.append(None if token == "{" else 0)
    return lines, repeated
