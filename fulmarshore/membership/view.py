"""The configuration and membership in force at a process.

A view is a set of items, each stamped with the version that last changed it.
Versions only go up: nothing older is ever applied over something newer.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.core.records import (
    Delta,
    Item,
    Member,
    OutOfOrder,
    Removed,
    Versioned,
)

MAX_REMOVED = 4096
"""Removals that a view remembers for deltas, the newest ones."""

Key = tuple[str, str]


class View(Struct, frozen=True):
    """All items in force at one version.

    Parameters
    ----------
    version : int
        Version of the newest change in the view.
    items : dict
        Stamped items by type name and name.
    removed : tuple of Removed
        The newest removals, oldest first.
    horizon : int
        Removals up to this version may be forgotten.
    had_members : bool
        Whether any agent was ever a member that is one no more.
    had_lives : bool
        Whether any agent ended in any way, also by another life of its name.
    """

    version: int = 0
    items: dict[Key, Versioned] = {}
    removed: tuple[Removed, ...] = ()
    horizon: int = 0
    had_members: bool = False
    had_lives: bool = False


def get_key(item: Item) -> Key:
    """Return the key of an item: its type name and its name."""
    return type(item).__name__, item.name


def change_view(
    view: View, version: int, items: list[Item], removed: list[Removed]
) -> View:
    """Return the view after a change of some items at a version."""
    delta = Delta(
        since=view.version,
        version=version,
        items=[Versioned(version, item) for item in items],
        removed=[Removed(version, gone.item_type, gone.name) for gone in removed],
    )
    changed, errors = apply_delta(view, delta)
    assert not errors, errors
    return changed


def apply_delta(view: View, delta: Delta) -> tuple[View, list[OutOfOrder]]:
    """Bring a view forward by a delta.

    Parameters
    ----------
    view : View
        The view in force.
    delta : Delta
        Changes since a version not above the view's; ``since == 0`` replaces
        the view.

    Returns
    -------
    view : View
        The newer view, or the same one where the delta does not fit.
    errors : list of OutOfOrder
        Why the delta was not applied. A delta that brings nothing newer is
        ignored without an error.
    """
    if delta.version <= view.version:
        return view, []
    if delta.since > view.version:
        error = OutOfOrder("apply_delta", "", view.version, delta.since, delta.version)
        return view, [error]
    items = {} if delta.since == 0 else dict(view.items)
    for gone in delta.removed:
        key = (gone.item_type, gone.name)
        held = items.get(key)
        if held is not None and held.version > gone.version:
            continue
        items.pop(key, None)
    had_lives = view.had_lives or delta.had_lives
    for stamped in delta.items:
        key = get_key(stamped.item)
        held = items.get(key)
        if held is not None and held.version > stamped.version:
            continue
        had_lives = had_lives or _is_other_life(held, stamped)
        items[key] = stamped
    removed, horizon = _merge_removed(view, delta)
    assert delta.version > view.version, "versions only go up"
    had_members = view.had_members or delta.had_members
    for gone in delta.removed:
        had_members = had_members or gone.item_type == Member.__name__
    had_lives = had_lives or had_members
    return View(delta.version, items, removed, horizon, had_members, had_lives), []


def make_delta(view: View, since: int) -> Delta:
    """Return what changed after a version: a snapshot if that is too old."""
    if since < view.horizon or since > view.version:
        since = 0
    if since == 0:
        items = list(view.items.values())
        return Delta(0, view.version, items, [], view.had_members, view.had_lives)
    items = []
    for stamped in view.items.values():
        if stamped.version <= since:
            continue
        items.append(stamped)
    removed = [gone for gone in view.removed if gone.version > since]
    return Delta(since, view.version, items, removed, view.had_members, view.had_lives)


def _is_other_life(held: Versioned | None, stamped: Versioned) -> bool:
    if held is None or not isinstance(stamped.item, Member):
        return False
    return held.item.incarnation != stamped.item.incarnation


def _merge_removed(view: View, delta: Delta) -> tuple[tuple[Removed, ...], int]:
    if delta.since == 0:
        return (), delta.version
    known = set(view.removed)
    merged = view.removed + tuple(gone for gone in delta.removed if gone not in known)
    if len(merged) <= MAX_REMOVED:
        return merged, view.horizon
    dropped = len(merged) - MAX_REMOVED
    return merged[dropped:], merged[dropped - 1].version
