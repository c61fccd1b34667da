"""The replicated state machine: from commands to the view in force.

Every control host applies the same commands in the same order, so every
function here is pure: it takes a state and returns a new one.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.agreement.validation import check_change
from fulmarshore.core.records import (
    Change,
    ChangeReply,
    ChangeStatus,
    Command,
    EntryHost,
    Expire,
    Identity,
    Join,
    Member,
    Removed,
)
from fulmarshore.membership.view import View, change_view


class Decision(Struct, frozen=True):
    """The change that took a number, and the answer it got."""

    change: Change
    reply: ChangeReply


class State(Struct, frozen=True):
    """What the log adds up to.

    Parameters
    ----------
    index : int
        Index of the last command applied; the view's version follows it.
    view : View
        Configuration and membership in force.
    decisions : dict of int to Decision
        The accepted change of each number.
    next_number : int
        The lowest number not yet taken by a change.
    """

    index: int = 0
    view: View = View()
    decisions: dict[int, Decision] = {}
    next_number: int = 1


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
        case Join(announcement=announcement):
            return _apply_join(state, announcement), None
        case Expire(identity=identity):
            return _apply_expire(state, identity), None
    raise AssertionError(f"unexpected command {command!r}")


def answer_change(state: State, change: Change) -> ChangeReply | None:
    """Return the answer to a change that the state already decides.

    None means that the change has to go through the log.
    """
    decision = state.decisions.get(change.number)
    if decision is not None:
        if decision.change == change:
            return decision.reply
        winner = decision.change.operator
        return _make_reply(state, change, ChangeStatus.CONFLICT, winner=winner)
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
    state = replace(state, view=view, next_number=change.number + 1)
    reply = _make_reply(state, change, ChangeStatus.ACCEPTED, version=state.index)
    decisions = {**state.decisions, change.number: Decision(change, reply)}
    return replace(state, decisions=decisions), reply


def _make_reply(
    state: State,
    change: Change,
    status: ChangeStatus,
    version: int = 0,
    winner: str = "",
    errors: list[str] | None = None,
) -> ChangeReply:
    return ChangeReply(
        change.number, status, version, winner, errors or [], state.next_number
    )


def _apply_join(state: State, announcement: Member | EntryHost) -> State:
    key = (type(announcement).__name__, announcement.name)
    held = state.view.items.get(key)
    if held is not None:
        if held.item.incarnation > announcement.incarnation:
            return state
        if held.item == announcement:
            return state
    return replace(state, view=change_view(state.view, state.index, [announcement], []))


def _apply_expire(state: State, identity: Identity) -> State:
    gone = []
    for kind in (Member.__name__, EntryHost.__name__):
        held = state.view.items.get((kind, identity.name))
        if held is None or held.item.incarnation != identity.incarnation:
            continue
        gone.append(Removed(state.index, kind, identity.name))
    if not gone:
        return state
    return replace(state, view=change_view(state.view, state.index, [], gone))
