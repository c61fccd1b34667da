"""The configuration and membership in force at a process.

A view is a set of items, each with the version that last changed it. Versions
never decrease: an older item is never applied over a newer one.
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
"""Number of removals, the newest ones, that a view keeps to make deltas."""

Key = tuple[str, str]


class View(Struct, frozen=True):
    """All items in force at one version.

    Parameters
    ----------
    version : int
        Version of the newest change in the view.
    items : dict
        Versioned items by type name and name.
    removed : tuple of Removed
        The newest removals, oldest first.
    horizon : int
        Removals up to this version may have been dropped.
    had_members : bool
        Whether any agent has ever left the membership.
    had_lives : bool
        Whether any incarnation of an agent has ended, by the end of its
        membership or by a newer incarnation.
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
    """Return the view after changing and removing items at a version."""
    delta = Delta(
        since=view.version,
        version=version,
        items=[Versioned(version, item) for item in items],
        removed=[
            Removed(version, removal.item_type, removal.name) for removal in removed
        ],
    )
    changed, errors = apply_delta(view, delta)
    assert not errors, errors
    return changed


def apply_delta(view: View, delta: Delta) -> tuple[View, list[OutOfOrder]]:
    """Apply a delta to a view.

    Parameters
    ----------
    view : View
        The view in force.
    delta : Delta
        Changes since a version not above the view's; ``since == 0`` makes it a
        snapshot, which replaces the view.

    Returns
    -------
    view : View
        The newer view, or the same one if the delta was not applied.
    errors : list of OutOfOrder
        An error if there is a gap between view and delta. A delta that is not
        newer than the view is ignored without an error.
    """
    if delta.version <= view.version:
        return view, []
    if delta.since > view.version:
        error = OutOfOrder("apply_delta", "", view.version, delta.since, delta.version)
        return view, [error]
    items = {} if delta.since == 0 else dict(view.items)
    for removal in delta.removed:
        key = (removal.item_type, removal.name)
        current = items.get(key)
        if current is not None and current.version > removal.version:
            continue
        items.pop(key, None)
    had_lives = view.had_lives or delta.had_lives
    for stamped in delta.items:
        key = get_key(stamped.item)
        current = items.get(key)
        if current is not None and current.version > stamped.version:
            continue
        had_lives = had_lives or _is_new_incarnation(current, stamped)
        items[key] = stamped
    removed, horizon = _merge_removed(view, delta)
    assert delta.version > view.version, "versions never decrease"
    had_members = view.had_members or delta.had_members
    for removal in delta.removed:
        had_members = had_members or removal.item_type == Member.__name__
    had_lives = had_lives or had_members
    return View(delta.version, items, removed, horizon, had_members, had_lives), []


def make_delta(view: View, since: int) -> Delta:
    """Return the changes after a version, or a snapshot if it is too old."""
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
    removed = [removal for removal in view.removed if removal.version > since]
    return Delta(since, view.version, items, removed, view.had_members, view.had_lives)


def _is_new_incarnation(previous: Versioned | None, stamped: Versioned) -> bool:
    if previous is None or not isinstance(stamped.item, Member):
        return False
    return previous.item.incarnation != stamped.item.incarnation


def _merge_removed(view: View, delta: Delta) -> tuple[tuple[Removed, ...], int]:
    if delta.since == 0:
        return (), delta.version
    known = set(view.removed)
    merged = view.removed + tuple(
        removal for removal in delta.removed if removal not in known
    )
    if len(merged) <= MAX_REMOVED:
        return merged, view.horizon
    dropped = len(merged) - MAX_REMOVED
    return merged[dropped:], merged[dropped - 1].version
