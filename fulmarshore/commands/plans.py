"""Compares declaration files with what is in force.

A file changes whether a zone is out of service only if it states a ``state``;
otherwise the state set by operators stays. Files never change drains. Items that
are no longer declared are removed only on request, and a zone that is out is
never removed, since that would bring it back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fulmarshore.commands.declarations import Declarations
from fulmarshore.core.records import (
    Change,
    Declaration,
    Profile,
    Removed,
    Service,
    Zone,
)
from fulmarshore.membership.view import Key, View, get_key

Row = tuple[str, str, str, str, str]
HEADERS = ("action", "item", "field", "in force", "declared")


@dataclass(frozen=True, slots=True)
class Plan:
    """The changes that an apply would submit.

    Parameters
    ----------
    items : tuple of Declaration
        Items to add or change.
    removed : tuple of Removed
        Items to remove.
    kept : tuple of Key
        Items in force that no file declares and that stay.
    rows : tuple of Row
        All differences, as rows of a table.
    """

    items: tuple[Declaration, ...]
    removed: tuple[Removed, ...]
    kept: tuple[Key, ...]
    rows: tuple[Row, ...]

    def is_empty(self) -> bool:
        """Return whether nothing would change."""
        return not self.items and not self.removed


def make_plan(declarations: Declarations, view: View, prune: bool) -> Plan:
    """Return the changes that lead from a view to the declarations.

    Parameters
    ----------
    declarations : Declarations
        The declared items.
    view : View
        The items in force.
    prune : bool
        Whether to remove items that no file declares.
    """
    items: list[Declaration] = []
    rows: list[Row] = []
    for item in resolve_zones(declarations, view):
        current = view.items.get(get_key(item))
        if current is not None and current.item == item:
            continue
        items.append(item)
        rows += _describe_change(current.item if current else None, item)
    removed: list[Removed] = []
    kept: list[Key] = []
    for key, current in sorted(view.items.items()):
        if not isinstance(current.item, Profile | Service | Zone):
            continue
        if key in declarations.files:
            continue
        is_out = isinstance(current.item, Zone) and current.item.out
        if not prune or is_out:
            kept.append(key)
            continue
        removed.append(Removed(0, *key))
        rows.append(("remove", _format_key(key), "", "", ""))
    return Plan(tuple(items), tuple(removed), tuple(kept), tuple(rows))


def resolve_zones(declarations: Declarations, view: View) -> list[Declaration]:
    """Return the declared items; zones without a state keep the one in force."""
    items: list[Declaration] = []
    for item in declarations.items:
        if isinstance(item, Zone) and item.name in declarations.zones_without_state:
            current = view.items.get(get_key(item))
            if current is not None:
                item = current.item
        items.append(item)
    return items


def is_repeat(declarations: Declarations, operator: str, change: Change) -> bool:
    """Return whether an accepted change came from the same files and operator.

    A change holds only differences, so it counts as a repeat if the files still
    declare every item in it with the same value.
    """
    if change.operator != operator:
        return False
    declared = {get_key(item): item for item in declarations.items}
    for removal in change.removed:
        if (removal.item_type, removal.name) in declared:
            return False
    for item in change.items:
        declared_item = declared.get(get_key(item))
        if isinstance(item, Zone) and item.name in declarations.zones_without_state:
            continue
        if declared_item != item:
            return False
    return True


def _describe_change(current: Any, item: Declaration) -> list[Row]:
    label = _format_key(get_key(item))
    before = describe_fields(current) if current is not None else {}
    action = "change" if current is not None else "add"
    rows = []
    for field, value in describe_fields(item).items():
        if before.get(field) == value:
            continue
        rows.append((action, label, field, before.get(field, ""), value))
    return rows


def describe_fields(item: Declaration) -> dict[str, str]:
    """Return the fields of an item as text, without its name."""
    if isinstance(item, Zone):
        return {"state": "out" if item.out else "in"}
    names = type(item).__struct_fields__
    return {name: str(getattr(item, name)) for name in names if name != "name"}


def _format_key(key: Key) -> str:
    return f"{key[0].lower()} {key[1]}"
