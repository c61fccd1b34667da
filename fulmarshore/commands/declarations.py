"""Declarations in TOML files kept under version control."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct

from fulmarshore.core.records import (
    Declaration,
    InvalidItem,
    Kind,
    Profile,
    Protocol,
    Service,
    Zone,
)


class ProfileEntry(Struct, forbid_unknown_fields=True):
    """A ``[[profile]]`` table; the fields are those of ``Profile``."""

    name: str
    kind: Kind
    queue_length: int = 64
    queue_timeout: float = 2.0
    deadline: float = 10.0
    retry_budget: float = 0.1
    idle_timeout: float = 300.0
    slow_start: float = 30.0
    drain_timeout: float = 3600.0


class ServiceEntry(Struct, forbid_unknown_fields=True):
    """A ``[[service]]`` table; the fields are those of ``Service``."""

    name: str
    profile: str
    host: str
    port: int
    protocol: Protocol = Protocol.OPAQUE


class ZoneEntry(Struct, forbid_unknown_fields=True):
    """A ``[[zone]]`` table."""

    name: str
    state: Literal["in", "out"] = "in"


class DeclarationFile(Struct, forbid_unknown_fields=True):
    """The whole of a declaration file."""

    profile: list[ProfileEntry] = []
    service: list[ServiceEntry] = []
    zone: list[ZoneEntry] = []


def load_declarations(path: Path) -> tuple[list[Declaration], list[InvalidItem]]:
    """Read a declaration file.

    Returns
    -------
    items : list of Declaration
        What the file declares; empty with errors.
    errors : list of InvalidItem
        What is wrong with the file.
    """
    step = "load_declarations"
    try:
        parsed = msgspec.toml.decode(path.read_bytes(), type=DeclarationFile)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return [], [InvalidItem(step, "", str(path), "file", str(error), "valid TOML")]
    except OSError as error:
        text = error.strerror or str(error)
        return [], [InvalidItem(step, "", str(path), "file", text, "a readable file")]
    items: list[Declaration] = []
    for entry in parsed.profile:
        items.append(Profile(**msgspec.structs.asdict(entry)))
    for entry in parsed.service:
        items.append(Service(**msgspec.structs.asdict(entry)))
    for entry in parsed.zone:
        items.append(Zone(entry.name, entry.state == "out"))
    return items, []
