"""The replicated state machine: applies commands and yields the view in force.

Every control host applies the same commands in the same order. The functions
here are deterministic: they take a state and return a new one.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.agreement.validation import check_change
from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Batch,
    Change,
    ChangeReply,
    ChangeStatus,
    Command,
    EntryHost,
    Expire,
    Identity,
    Join,
    Member,
    Noop,
    Removed,
    Voters,
)
from fulmarshore.membership.view import Key, View, change_view, get_key

MAX_ACCEPTED_CHANGES = 4096
"""Number of accepted changes, the newest ones, that are kept to answer resends."""
MAX_LATEST_ANNOUNCEMENTS = 16_384
"""Number of process names whose latest announcement is remembered."""
LEFT_REVISION = 1 << 62
"""Revision recorded for a process that left; no announcement has a higher one."""


class AcceptedChange(Struct, frozen=True, array_like=True):
    """An accepted change and the version at which it took effect."""

    change: Change
    version: int


class LatestAnnouncement(Struct, frozen=True, array_like=True):
    """Incarnation and revision of the latest announcement accepted for a name."""

    incarnation: int
    revision: int


class State(Struct, frozen=True):
    """The state after applying the log up to an index.

    Parameters
    ----------
    index : int
        Index of the last command applied; it becomes the version of a changed view.
    view : View
        Configuration and membership in force.
    decisions : dict of int to AcceptedChange
        The newest accepted changes by number.
    next_number : int
        The lowest number without an accepted change.
    lives : dict of Key to LatestAnnouncement
        The latest announcement of each name, former members included.
    """

    index: int = 0
    view: View = View()
    decisions: dict[int, AcceptedChange] = {}
    next_number: int = 1
    lives: dict[Key, LatestAnnouncement] = {}


_decoder = msgspec.msgpack.Decoder(State)


def encode_state(state: State) -> bytes:
    """Return the state as the content of a snapshot."""
    return encode(state)


def decode_state(content: bytes) -> State:
    """Return the state from a snapshot; empty content is the state of a new group."""
    return _decoder.decode(content) if content else State()


def apply_command(
    state: State, index: int, command: Command
) -> tuple[State, ChangeReply | None]:
    """Apply the command at an index of the log.

    Returns
    -------
    state : State
        The state after the command.
    reply : ChangeReply or None
        The reply to an operator's change; None for other commands.
    """
    assert index == state.index + 1, "commands are applied in order"
    state = replace(state, index=index)
    match command:
        case Change():
            return _apply_change(state, command)
        case Join() | Expire():
            return _apply_membership_commands(state, [command]), None
        case Batch(commands=commands):
            return _apply_membership_commands(state, commands), None
        case Noop() | Voters():
            return state, None
    raise AssertionError(f"unexpected command {command!r}")


def answer_decided(state: State, change: Change) -> ChangeReply | None:
    """Return the final reply to a change whose number is already taken.

    None means that the change has to go through the log.
    """
    decision = state.decisions.get(change.number)
    if decision is None:
        if 0 < change.number < state.next_number:
            return _make_reply(state, change, ChangeStatus.PRUNED)
        return None
    if decision.change == change:
        return ChangeReply(
            change.number,
            ChangeStatus.ACCEPTED,
            decision.version,
            "",
            [],
            change.number + 1,
        )
    return _make_reply(
        state, change, ChangeStatus.CONFLICT, winner=decision.change.operator
    )


def answer_change(state: State, change: Change) -> ChangeReply | None:
    """Return the reply to a change that cannot be accepted, or None if it can."""
    decided = answer_decided(state, change)
    if decided is not None:
        return decided
    errors = check_change(state.view, state.next_number, change)
    if errors:
        lines = [str(error) for error in errors]
        return _make_reply(state, change, ChangeStatus.INVALID, errors=lines)
    return None


def _apply_change(state: State, change: Change) -> tuple[State, ChangeReply]:
    decided = answer_change(state, change)
    if decided is not None:
        return state, decided
    view = change_view(
        state.view, state.index, list(change.items), list(change.removed)
    )
    assert change.number == state.next_number, "numbers are assigned in order"
    decisions = dict(state.decisions)
    decisions[change.number] = AcceptedChange(change, state.index)
    decisions.pop(change.number - MAX_ACCEPTED_CHANGES, None)
    state = replace(
        state, view=view, next_number=change.number + 1, decisions=decisions
    )
    return state, answer_decided(state, change)


def _make_reply(
    state: State,
    change: Change,
    status: ChangeStatus,
    winner: str = "",
    errors: list[str] | None = None,
) -> ChangeReply:
    return ChangeReply(
        change.number, status, 0, winner, errors or [], state.next_number
    )


def _apply_membership_commands(state: State, commands: list[Join | Expire]) -> State:
    lives = dict(state.lives)
    items: dict[Key, Member | EntryHost] = {}
    removals: dict[Key, Removed] = {}
    holders = map_address_holders(state.view)
    for command in commands:
        match command:
            case Join():
                former = _find_former_holder(holders, command.announcement)
                if former is not None and _is_older(command.announcement, former):
                    continue
                if not _apply_join(lives, items, removals, command):
                    continue
                if former is not None:
                    _expire_former_holder(state, lives, items, removals, former)
                _record_holder(holders, command.announcement)
            case Expire():
                _apply_expire(state, lives, items, removals, command)
    changed = []
    for key, item in items.items():
        current = state.view.items.get(key)
        if current is None or current.item != item:
            changed.append(item)
    removed = []
    for key, entry in removals.items():
        if key in state.view.items:
            removed.append(entry)
    while len(lives) > MAX_LATEST_ANNOUNCEMENTS:
        lives.pop(next(iter(lives)))
    state = replace(state, lives=lives)
    if not changed and not removed:
        return state
    return replace(state, view=change_view(state.view, state.index, changed, removed))


AddressHolders = dict[tuple[str, int], Member | EntryHost]
"""Members and entry hosts by their data address."""


def map_address_holders(view: View) -> AddressHolders:
    """Return the members and entry hosts of a view by data address."""
    holders: AddressHolders = {}
    for stamped in view.items.values():
        if isinstance(stamped.item, Member | EntryHost):
            _record_holder(holders, stamped.item)
    return holders


def find_superseding_incarnation(
    state: State, announcement: Member | EntryHost, holders: AddressHolders
) -> int:
    """Return the newer incarnation that supersedes an announcement, or 0.

    It belongs to a process of the same name or at the same data address.

    Parameters
    ----------
    state : State
        The replicated state.
    announcement : Member or EntryHost
        The announcement of a process.
    holders : AddressHolders
        The view's members and entry hosts by data address.
    """
    key = get_key(announcement)
    current = state.view.items.get(key)
    if current is not None and current.item.incarnation == announcement.incarnation:
        return 0
    blocking = 0
    latest = state.lives.get(key)
    if latest is not None:
        blocking = latest.incarnation
    former = _find_former_holder(holders, announcement)
    if former is not None:
        blocking = max(blocking, former.incarnation)
    return blocking if blocking > announcement.incarnation else 0


def _record_holder(
    holders: AddressHolders,
    announcement: Member | EntryHost,
) -> None:
    holders[announcement.host, announcement.port] = announcement


def _find_former_holder(
    holders: AddressHolders,
    announcement: Member | EntryHost,
) -> Member | EntryHost | None:
    """Return the process of another name at the same address, or None."""
    holder = holders.get((announcement.host, announcement.port))
    if holder is None or get_key(holder) == get_key(announcement):
        return None
    return holder


def _is_older(announcement: Member | EntryHost, holder: Member | EntryHost) -> bool:
    """Return whether an announcement is older than the holder of its address.

    Incarnations at one address come from the clock of one host, so they compare.
    """
    return announcement.incarnation < holder.incarnation


def _expire_former_holder(
    state: State,
    lives: dict[Key, LatestAnnouncement],
    items: dict[Key, Member | EntryHost],
    removals: dict[Key, Removed],
    former: Member | EntryHost,
) -> None:
    """Expire the membership of the process that held an address before."""
    identity = Identity(former.name, former.incarnation)
    _apply_expire(state, lives, items, removals, Expire(identity))


def _apply_join(
    lives: dict[Key, LatestAnnouncement],
    items: dict[Key, Member | EntryHost],
    removals: dict[Key, Removed],
    command: Join,
) -> bool:
    """Apply an announcement; return False if a newer one of the name was applied."""
    announcement = command.announcement
    key = get_key(announcement)
    latest = lives.get(key)
    if latest is not None and (latest.incarnation, latest.revision) > (
        announcement.incarnation,
        command.revision,
    ):
        return False
    lives.pop(key, None)
    lives[key] = LatestAnnouncement(announcement.incarnation, command.revision)
    removals.pop(key, None)
    items[key] = announcement
    return True


def _apply_expire(
    state: State,
    lives: dict[Key, LatestAnnouncement],
    items: dict[Key, Member | EntryHost],
    removals: dict[Key, Removed],
    command: Expire,
) -> None:
    identity = command.identity
    for kind in (Member.__name__, EntryHost.__name__):
        key = (kind, identity.name)
        latest = lives.get(key)
        if command.left and _is_newer(identity, latest):
            lives.pop(key, None)
            lives[key] = LatestAnnouncement(identity.incarnation, LEFT_REVISION)
        current = items.get(key)
        if current is None and key in state.view.items:
            current = state.view.items[key].item
        if current is None or current.incarnation != identity.incarnation:
            continue
        items.pop(key, None)
        removals[key] = Removed(state.index, kind, identity.name)


def _is_newer(identity: Identity, latest: LatestAnnouncement | None) -> bool:
    return latest is not None and latest.incarnation <= identity.incarnation
