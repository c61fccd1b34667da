"""The difference between what files declare and what is in force.

Files never take a zone out of service or bring it back unless they state a
``state``: where they do not, the state that operators set stays. Files never
touch drains. What is declared no longer is removed only on request, and a
zone that is out is never removed, since that would bring it back.
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
    """What an apply would change.

    Parameters
    ----------
    items : tuple of Declaration
        Items to add or change.
    removed : tuple of Removed
        Items to remove.
    kept : tuple of Key
        Items in force that the files do not declare and that stay.
    rows : tuple of Row
        Every difference, for a person.
    """

    items: tuple[Declaration, ...]
    removed: tuple[Removed, ...]
    kept: tuple[Key, ...]
    rows: tuple[Row, ...]

    def is_empty(self) -> bool:
        """Return whether nothing would change."""
        return not self.items and not self.removed


def make_plan(declarations: Declarations, view: View, prune: bool) -> Plan:
    """Compare declarations with a view.

    Parameters
    ----------
    declarations : Declarations
        What the files declare.
    view : View
        What is in force.
    prune : bool
        Whether items that no file declares are removed.
    """
    items: list[Declaration] = []
    rows: list[Row] = []
    for item in resolve_zones(declarations, view):
        held = view.items.get(get_key(item))
        if held is not None and held.item == item:
            continue
        items.append(item)
        rows += _describe_change(held.item if held else None, item)
    removed: list[Removed] = []
    kept: list[Key] = []
    for key, held in sorted(view.items.items()):
        if not isinstance(held.item, Profile | Service | Zone):
            continue
        if key in declarations.files:
            continue
        is_out = isinstance(held.item, Zone) and held.item.out
        if not prune or is_out:
            kept.append(key)
            continue
        removed.append(Removed(0, *key))
        rows.append(("remove", _label(key), "", "", ""))
    return Plan(tuple(items), tuple(removed), tuple(kept), tuple(rows))


def resolve_zones(declarations: Declarations, view: View) -> list[Declaration]:
    """Return the declared items, zones without a state as they are in force."""
    items: list[Declaration] = []
    for item in declarations.items:
        if isinstance(item, Zone) and item.name in declarations.stateless_zones:
            held = view.items.get(get_key(item))
            if held is not None:
                item = held.item
        items.append(item)
    return items


def is_repeat(declarations: Declarations, operator: str, change: Change) -> bool:
    """Return whether an accepted change came from the same files and operator.

    A change holds only differences, so a resend is recognised by everything
    in it being declared as it was accepted.
    """
    if change.operator != operator:
        return False
    declared = {get_key(item): item for item in declarations.items}
    for gone in change.removed:
        if (gone.item_type, gone.name) in declared:
            return False
    for item in change.items:
        stated = declared.get(get_key(item))
        if isinstance(item, Zone) and item.name in declarations.stateless_zones:
            continue
        if stated != item:
            return False
    return True


def _describe_change(held: Any, item: Declaration) -> list[Row]:
    label = _label(get_key(item))
    before = describe_fields(held) if held is not None else {}
    action = "change" if held is not None else "add"
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


def _label(key: Key) -> str:
    return f"{key[0].lower()} {key[1]}"
