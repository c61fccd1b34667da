"""The replicated state machine: from commands to the view in force.

Every control host applies the same commands in the same order, so every
function here is pure: it takes a state and returns a new one.
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

MAX_DECISIONS = 4096
"""Accepted changes whose answers are kept, the newest ones."""
MAX_LIVES = 16_384
"""Names whose newest life is remembered, the newest ones."""
LEFT = 1 << 62
"""Revision of a process that has ended its membership itself."""


class Decision(Struct, frozen=True, array_like=True):
    """The change that took a number, and the version that put it in force."""

    change: Change
    version: int


class Life(Struct, frozen=True, array_like=True):
    """The newest announcement that was taken from a name."""

    incarnation: int
    revision: int


class State(Struct, frozen=True):
    """What the log adds up to.

    Parameters
    ----------
    index : int
        Index of the last command applied; the view's version follows it.
    view : View
        Configuration and membership in force.
    decisions : dict of int to Decision
        The accepted change of each number, the newest ones.
    next_number : int
        The lowest number not yet taken by a change.
    lives : dict
        The newest life of each name, also of those that are gone.
    """

    index: int = 0
    view: View = View()
    decisions: dict[int, Decision] = {}
    next_number: int = 1
    lives: dict[Key, Life] = {}


_decoder = msgspec.msgpack.Decoder(State)


def encode_state(state: State) -> bytes:
    """Return the state as it stands in a snapshot."""
    return encode(state)


def decode_state(content: bytes) -> State:
    """Return the state of a snapshot; an empty one is that of a new group."""
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
        The answer to an operator's change.
    """
    assert index == state.index + 1, "commands are applied in order"
    state = replace(state, index=index)
    match command:
        case Change():
            return _apply_change(state, command)
        case Join() | Expire():
            return _apply_memberships(state, [command]), None
        case Batch(commands=commands):
            return _apply_memberships(state, commands), None
        case Noop() | Voters():
            return state, None
    raise AssertionError(f"unexpected command {command!r}")


def answer_decided(state: State, change: Change) -> ChangeReply | None:
    """Return the answer to a change whose number is taken, for good.

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
    """Return the answer to a change that cannot take its number, else None."""
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
    assert change.number == state.next_number, "numbers are taken in order"
    decisions = dict(state.decisions)
    decisions[change.number] = Decision(change, state.index)
    decisions.pop(change.number - MAX_DECISIONS, None)
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


def _apply_memberships(state: State, commands: list[Join | Expire]) -> State:
    lives = dict(state.lives)
    items: dict[Key, Member | EntryHost] = {}
    gone: dict[Key, Removed] = {}
    holders = list_holders(state.view)
    for command in commands:
        match command:
            case Join():
                former = _find_former(holders, command.announcement)
                if former is not None and _is_older(command.announcement, former):
                    continue
                if not _join(lives, items, gone, command):
                    continue
                if former is not None:
                    _take_address(state, lives, items, gone, former)
                _hold_address(holders, command.announcement)
            case Expire():
                _expire(state, lives, items, gone, command)
    changed = []
    for key, item in items.items():
        held = state.view.items.get(key)
        if held is None or held.item != item:
            changed.append(item)
    removed = []
    for key, entry in gone.items():
        if key in state.view.items:
            removed.append(entry)
    while len(lives) > MAX_LIVES:
        lives.pop(next(iter(lives)))
    state = replace(state, lives=lives)
    if not changed and not removed:
        return state
    return replace(state, view=change_view(state.view, state.index, changed, removed))


Holders = dict[tuple[str, int], Member | EntryHost]
"""Who announced which data address."""


def list_holders(view: View) -> Holders:
    """Return who announced which data address."""
    holders: Holders = {}
    for stamped in view.items.values():
        if isinstance(stamped.item, Member | EntryHost):
            _hold_address(holders, stamped.item)
    return holders


def find_newer(state: State, announcement: Member | EntryHost, holders: Holders) -> int:
    """Return the incarnation that bars an announcement; 0 if none does.

    Parameters
    ----------
    state : State
        The state.
    announcement : Member or EntryHost
        What a process announces.
    holders : Holders
        Who has which data address in the state's view.
    """
    key = get_key(announcement)
    held = state.view.items.get(key)
    if held is not None and held.item.incarnation == announcement.incarnation:
        return 0
    newest = 0
    life = state.lives.get(key)
    if life is not None:
        newest = life.incarnation
    former = _find_former(holders, announcement)
    if former is not None:
        newest = max(newest, former.incarnation)
    return newest if newest > announcement.incarnation else 0


def _hold_address(
    holders: Holders,
    announcement: Member | EntryHost,
) -> None:
    holders[announcement.host, announcement.port] = announcement


def _find_former(
    holders: Holders,
    announcement: Member | EntryHost,
) -> Member | EntryHost | None:
    """Return the process of another name that had the address before."""
    held = holders.get((announcement.host, announcement.port))
    if held is None or get_key(held) == get_key(announcement):
        return None
    return held


def _is_older(announcement: Member | EntryHost, held: Member | EntryHost) -> bool:
    """Whether an announcement is that of a process which lost its address.

    Incarnations are drawn from the clock of the host that has the address.
    """
    return announcement.incarnation < held.incarnation


def _take_address(
    state: State,
    lives: dict[Key, Life],
    items: dict[Key, Member | EntryHost],
    gone: dict[Key, Removed],
    former: Member | EntryHost,
) -> None:
    """End the membership of whoever had an address before."""
    identity = Identity(former.name, former.incarnation)
    _expire(state, lives, items, gone, Expire(identity))


def _join(
    lives: dict[Key, Life],
    items: dict[Key, Member | EntryHost],
    gone: dict[Key, Removed],
    command: Join,
) -> bool:
    """Take an announcement unless a newer one of that name was taken."""
    announcement = command.announcement
    key = get_key(announcement)
    held = lives.get(key)
    if held is not None and (held.incarnation, held.revision) > (
        announcement.incarnation,
        command.revision,
    ):
        return False
    lives.pop(key, None)
    lives[key] = Life(announcement.incarnation, command.revision)
    gone.pop(key, None)
    items[key] = announcement
    return True


def _expire(
    state: State,
    lives: dict[Key, Life],
    items: dict[Key, Member | EntryHost],
    gone: dict[Key, Removed],
    command: Expire,
) -> None:
    identity = command.identity
    for kind in (Member.__name__, EntryHost.__name__):
        key = (kind, identity.name)
        life = lives.get(key)
        if command.left and _is_newer(identity, life):
            lives.pop(key, None)
            lives[key] = Life(identity.incarnation, LEFT)
        held = items.get(key)
        if held is None and key in state.view.items:
            held = state.view.items[key].item
        if held is None or held.incarnation != identity.incarnation:
            continue
        items.pop(key, None)
        gone[key] = Removed(state.index, kind, identity.name)


def _is_newer(identity: Identity, life: Life | None) -> bool:
    return life is not None and life.incarnation <= identity.incarnation
