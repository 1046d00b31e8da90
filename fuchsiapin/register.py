"""Reads the asset register from JSON with comments or from CSV."""

import csv
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cattrs import Converter
from expression import Error, Ok, Result

from fuchsiapin.checking import check_document, load_schema
from fuchsiapin.documents import Document, read_document
from fuchsiapin.faults import Fault, nearest_hint
from fuchsiapin.fields import is_host
from fuchsiapin.inputs import Asset
from fuchsiapin.jsonpages import parse_whole

__all__ = ["Entry", "read_register"]

NUMBER_COLUMNS = ("slots", "connections")
"""Columns with integer values."""
HEADER_LINE = 1


@dataclass(frozen=True)
class Entry:
    """One asset and its location in the register file."""

    asset: Asset
    file: str
    line: int | None
    key: str

    def fault(self, column: str, expected: str, found: str) -> Fault:
        """Return a fault in one column of this asset."""
        return Fault(self.file, self.line, f"{self.key}.{column}", expected, found)


def read_register(path: Path) -> Result[list[Entry], list[Fault]]:
    """Return the assets of a register, or all its faults.

    Parameters
    ----------
    path : Path
        A CSV file, recognized by the suffix `.csv`, or a file of JSON with comments.
        Columns and keys that load balancing does not use are ignored.
    """
    reader = read_table if path.suffix.lower() == ".csv" else read_document
    return reader(path).bind(entries_of)


def read_table(path: Path) -> Result[Document, list[Fault]]:
    """Read a CSV file as a document and check its columns."""
    try:
        text = path.read_text(encoding="utf-8-sig")
    except OSError as error:
        reason = (error.strerror or "an error").lower()
        return Error([Fault(str(path), None, "", "a readable file", reason)])
    except UnicodeDecodeError:
        return Error([Fault(str(path), None, "", "text in UTF-8", "other bytes")])
    lines = text.splitlines(keepends=True)
    rows = csv.reader(lines, delimiter=delimiter_of(lines), strict=True)
    try:
        return rows_of(str(path), rows)
    except csv.Error as error:
        return Error([Fault(str(path), rows.line_num, "", "CSV", str(error))])


def delimiter_of(lines: list[str]) -> str:
    """Return the delimiter of the columns.

    Spreadsheets export with semicolons in many countries.

    Examples
    --------
    >>> delimiter_of(["name;vm;zone"])
    ';'
    """
    header = lines[0] if lines else ""
    return ";" if header.count(";") > header.count(",") else ","


def rows_of(file: str, rows: Any) -> Result[Document, list[Fault]]:
    """Return the rows of a table as a document."""
    header = [name.strip() for name in next(rows, [])]
    faults = header_faults(file, header)
    if faults:
        return Error(faults)
    assets: list[dict[str, Any]] = []
    lines: dict[Any, int] = {(): HEADER_LINE, ("assets",): HEADER_LINE}
    for row in rows:
        if not any(cell.strip() for cell in row):
            continue
        if len(row) != len(header):
            expected, found = f"{len(header)} cells", f"{len(row)}"
            faults.append(Fault(file, rows.line_num, "", expected, found))
            continue
        lines[("assets", len(assets))] = rows.line_num
        assets.append(
            {
                name: cell_value(name, cell.strip())
                for name, cell in zip(header, row, strict=True)
            }
        )
    return Error(faults) if faults else Ok(Document(file, {"assets": assets}, lines))


def header_faults(file: str, header: list[str]) -> list[Fault]:
    """Return the faults of missing and repeated columns."""
    wanted = load_schema("inputs")["$defs"]["Asset"]["required"]
    others = [name for name in header if name not in wanted]
    found = []
    for name in wanted:
        if name not in header:
            similar = nearest_hint(name, others) if others else "nothing"
            expected = f"a column {name!r}"
            found.append(Fault(file, HEADER_LINE, "", expected, similar))
        elif header.count(name) > 1:
            expected = f"one column {name!r}"
            found.append(Fault(file, HEADER_LINE, "", expected, "several"))
    return found


def cell_value(name: str, cell: str) -> Any:
    """Return the value of a cell.

    A cell of a number column that is not an integer stays a string; the schema check
    reports it.
    """
    is_number = name in NUMBER_COLUMNS and cell.isascii() and cell.isdigit()
    return parse_whole(cell) if is_number else cell


def entries_of(document: Document) -> Result[list[Entry], list[Fault]]:
    """Return the assets of a document, or all its faults."""
    schema = load_schema("inputs")
    faults = check_document(document, schema["$defs"]["Register"] | defs_of(schema))
    if faults:
        return Error(faults)
    converter = Converter()
    entries = [
        Entry(
            converter.structure(values, Asset),
            document.file,
            document.line_of(("assets", index)),
            f"assets[{index}]",
        )
        for index, values in enumerate(document.values["assets"])
    ]
    faults = conflict_faults(entries)
    return Error(faults) if faults else Ok(entries)


def defs_of(schema: dict[str, Any]) -> dict[str, Any]:
    """Return the definitions that a part of a schema references."""
    return {"$defs": schema["$defs"]}


def conflict_faults(entries: list[Entry]) -> list[Fault]:
    """Return the faults of assets that contradict each other or can't be reached."""
    found: list[Fault] = []
    first_by_name: dict[str, Entry] = {}
    first_on_vm: dict[str, Entry] = {}
    first_at_address: dict[str, Entry] = {}
    for entry in entries:
        asset = entry.asset
        if not is_host(asset.address):
            expected = "an address of a single VM"
            found.append(entry.fault("address", expected, repr(asset.address)))
        first = first_by_name.setdefault(asset.name, entry)
        if first is not entry:
            duplicate = f"{asset.name!r}, as in {location_of(first)}"
            found.append(entry.fault("name", "a unique name", duplicate))
        first = first_on_vm.setdefault(asset.vm, entry)
        if first.asset.availability_zone != asset.availability_zone:
            expected = f"{first.asset.availability_zone!r}, the zone of {asset.vm}"
            found.append(
                entry.fault(
                    "availability_zone",
                    f"{expected} in {location_of(first)}",
                    repr(asset.availability_zone),
                )
            )
        first = first_at_address.setdefault(asset.address, entry)
        if first.asset.vm != asset.vm:
            duplicate = f"that of {first.asset.vm}, as in {location_of(first)}"
            found.append(
                entry.fault("address", "an address that no other VM has", duplicate)
            )
    return found


def location_of(entry: Entry) -> str:
    """Return the location of an asset as text."""
    return entry.key if entry.line is None else f"line {entry.line}"
