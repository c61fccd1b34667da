"""Reads and checks declaration files in TOML.

A file holds ``[[profile]]``, ``[[service]]`` and ``[[zone]]`` tables, whose
keys are the fields of the records. A line ``region = "NAME"`` before them
restricts the file to that region; other files apply to every region. For a
folder, all its ``*.toml`` files are read. All errors are reported, not only the
first.
"""

from __future__ import annotations

import enum
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_type_hints

import msgspec

from fulmarshore.adapters.parameters import NAME_PATTERN
from fulmarshore.agreement.validation import check_change
from fulmarshore.core.records import (
    Change,
    Declaration,
    InvalidItem,
    Profile,
    Service,
    Zone,
)
from fulmarshore.membership.view import Key, View, get_key

MAX_FILE_BYTES = 4 * 1024 * 1024
TABLES = {"profile": Profile, "service": Service, "zone": Zone}
ZONE_STATES = ("in", "out")
_STEP = "load_declarations"
_TYPE_NAMES = {
    "str": "text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
}


@dataclass(frozen=True, slots=True)
class Declarations:
    """The items declared by a set of files.

    Parameters
    ----------
    items : tuple of Declaration
        The declared items, in the order of the files.
    files : dict of Key to str
        The file of each item.
    zones_without_state : frozenset of str
        Zones whose tables state no ``state``: only operators' commands change it.
    """

    items: tuple[Declaration, ...]
    files: dict[Key, str]
    zones_without_state: frozenset[str]


def load_declarations(
    paths: list[Path], region: str | None = None
) -> tuple[Declarations, list[InvalidItem]]:
    """Read files, or folders of files.

    Parameters
    ----------
    paths : list of Path
        The files and folders.
    region : str, optional
        Reads only files of this region or of none; None reads all files.

    Returns
    -------
    declarations : Declarations
        The items that could be read.
    errors : list of InvalidItem
        All errors found; ``peer`` is the file.
    """
    files, errors = _list_files(paths)
    items: list[Declaration] = []
    sources: dict[Key, str] = {}
    without_state: set[str] = set()
    for path in files:
        document, new_errors = _read_document(path)
        errors += new_errors
        file_region, new_errors = _pop_region(path, document)
        errors += new_errors
        if region is not None and file_region not in ("", region):
            continue
        for label, table, fields in _list_tables(document):
            if table is None:
                errors.append(_make_unknown_table_error(path, label, fields))
                continue
            item, new_errors = _decode_table(path, label, table, fields)
            errors += new_errors
            if item is None:
                continue
            key = get_key(item)
            if key in sources:
                allowed = f"one table; the first is in {sources[key]}"
                errors.append(_make_error(path, label, "name", item.name, allowed))
                continue
            items.append(item)
            sources[key] = str(path)
            if table == "zone" and "state" not in fields:
                without_state.add(item.name)
    return Declarations(tuple(items), sources, frozenset(without_state)), errors


def list_file_regions(paths: list[Path]) -> dict[str, str]:
    """Return the regions named in the files, each with the first file naming it."""
    regions: dict[str, str] = {}
    for path in _list_files(paths)[0]:
        document, _ = _read_document(path)
        file_region, _ = _pop_region(path, document)
        if file_region:
            regions.setdefault(file_region, str(path))
    return regions


def check_declarations(declarations: Declarations) -> list[InvalidItem]:
    """Return the errors of declarations, as if nothing else were in force.

    The checks are the same as on the control hosts.
    """
    change = Change(1, "", list(declarations.items), [])
    if not change.items:
        return [InvalidItem(_STEP, "", "files", "tables", "none", "at least one")]
    errors = []
    for error in check_change(View(), 1, change):
        kind, _, name = error.item.partition(" ")
        file = declarations.files.get((kind.capitalize(), name), "")
        errors.append(
            InvalidItem(
                error.step, file, error.item, error.field, error.value, error.allowed
            )
        )
    return errors


def format_error(error: InvalidItem) -> str:
    """Return an error as one line that begins with its file."""
    return f"{error.peer}: {error}" if error.peer else str(error)


def _list_files(paths: list[Path]) -> tuple[list[Path], list[InvalidItem]]:
    files: list[Path] = []
    errors: list[InvalidItem] = []
    for path in paths:
        if not path.is_dir():
            files.append(path)
            continue
        found = sorted(path.glob("*.toml"))
        if not found:
            errors.append(_make_error(path, "folder", "files", "none", "*.toml files"))
        files += found
    return list(dict.fromkeys(files)), errors


def _read_document(path: Path) -> tuple[dict[str, Any], list[InvalidItem]]:
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = error.strerror or str(error)
        return {}, [_make_error(path, "file", "content", text, "a readable file")]
    if len(content) > MAX_FILE_BYTES:
        allowed = f"at most {MAX_FILE_BYTES} bytes"
        return {}, [_make_error(path, "file", "size", "more", allowed)]
    try:
        return tomllib.loads(content.decode()), []
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        return {}, [_make_error(path, "file", "content", str(error), "valid TOML")]


def _pop_region(path: Path, document: dict[str, Any]) -> tuple[str, list[InvalidItem]]:
    """Remove and return the region of a document; empty if it names none."""
    file_region = document.pop("region", "")
    if file_region == "" or (
        isinstance(file_region, str) and NAME_PATTERN.match(file_region)
    ):
        return file_region, []
    allowed = "lower-case letters, digits and '-', at most 63"
    return "", [_make_error(path, "file", "region", _truncate(file_region), allowed)]


def _list_tables(document: dict[str, Any]) -> list[tuple[str, str | None, Any]]:
    """Return label, table name and fields; the name is None for unknown tables."""
    found: list[tuple[str, str | None, Any]] = []
    for table, entries in document.items():
        if table not in TABLES or not isinstance(entries, list):
            found.append((table, None, entries))
            continue
        for number, fields in enumerate(entries, start=1):
            if not isinstance(fields, dict):
                found.append((f"{table} {number}", None, fields))
                continue
            name = fields.get("name")
            label = f"{table} {name}" if isinstance(name, str) else f"{table} {number}"
            found.append((label, table, fields))
    return found


def _make_unknown_table_error(path: Path, label: str, value: Any) -> InvalidItem:
    allowed = ", ".join(f"[[{name}]]" for name in TABLES)
    return _make_error(path, label, "table", _truncate(value), allowed)


def _decode_table(
    path: Path, label: str, table: str, fields: dict[str, Any]
) -> tuple[Declaration | None, list[InvalidItem]]:
    errors: list[InvalidItem] = []
    fields = dict(fields)
    if table == "zone":
        state = fields.pop("state", "in")
        fields["out"] = state == "out"
        if state not in ZONE_STATES:
            allowed = " or ".join(ZONE_STATES)
            errors.append(_make_error(path, label, "state", _truncate(state), allowed))
    record = TABLES[table]
    type_hints = get_type_hints(record)
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(record):
        if field.name not in fields:
            if field.required:
                allowed = _describe_type(type_hints[field.name])
                errors.append(_make_error(path, label, field.name, "missing", allowed))
            continue
        value = fields.pop(field.name)
        try:
            values[field.name] = msgspec.convert(value, type_hints[field.name])
        except msgspec.ValidationError:
            allowed = _describe_type(type_hints[field.name])
            errors.append(
                _make_error(path, label, field.name, _truncate(value), allowed)
            )
    known = ["state" if name == "out" else name for name in record.__struct_fields__]
    for name, value in fields.items():
        errors.append(
            _make_error(path, label, name, _truncate(value), ", ".join(known))
        )
    if errors:
        return None, errors
    return record(**values), []


def _describe_type(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return ", ".join(str(member.value) for member in kind)
    return _TYPE_NAMES.get(getattr(kind, "__name__", ""), str(kind))


def _truncate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def _make_error(
    path: Path, label: str, field: str, value: str, allowed: str
) -> InvalidItem:
    return InvalidItem(_STEP, str(path), label, field, value, allowed)
