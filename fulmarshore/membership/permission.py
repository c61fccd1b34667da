"""Who may say what on a control link, by the owner of the key."""

from __future__ import annotations

from fulmarshore.core.records import (
    Change,
    ControlMessage,
    Heartbeat,
    HistoryRequest,
    KeyOwner,
    KeyRole,
    Leave,
    StatusRequest,
    Subscribe,
)


def may_send(owner: KeyOwner, message: ControlMessage) -> bool:
    """Return whether a control host takes a message from the owner of a key.

    A process speaks for itself only, an operator under the own name only, and
    another control host is taken at its word.
    """
    match owner.role:
        case KeyRole.CONTROL:
            return True
        case KeyRole.OPERATOR:
            return _may_operate(owner.name, message)
        case KeyRole.PROCESS:
            return _may_subscribe(owner.name, message)
    raise AssertionError(f"unexpected role {owner.role!r}")


def _may_operate(name: str, message: ControlMessage) -> bool:
    match message:
        case Change(operator=operator):
            return operator == name
        case StatusRequest() | HistoryRequest():
            return True
    return False


def _may_subscribe(name: str, message: ControlMessage) -> bool:
    match message:
        case Subscribe(identity=identity, announcement=announcement):
            return identity.name == name and announcement.name == name
        case Heartbeat(identity=identity) | Leave(identity=identity):
            return identity.name == name
    return False
