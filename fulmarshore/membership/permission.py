"""Access control on control links, by the owner of the key."""

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


def can_send(owner: KeyOwner, message: ControlMessage) -> bool:
    """Return whether the owner of a key is allowed to send a message.

    A process can send messages only about itself, and an operator only changes
    under its own name and queries. Another control host is fully trusted.
    """
    match owner.role:
        case KeyRole.CONTROL:
            return True
        case KeyRole.OPERATOR:
            return _can_operator_send(owner.name, message)
        case KeyRole.PROCESS:
            return _can_process_send(owner.name, message)
    raise AssertionError(f"unexpected role {owner.role!r}")


def _can_operator_send(name: str, message: ControlMessage) -> bool:
    match message:
        case Change(operator=operator):
            return operator == name
        case StatusRequest() | HistoryRequest():
            return True
    return False


def _can_process_send(name: str, message: ControlMessage) -> bool:
    match message:
        case Subscribe(identity=identity, announcement=announcement):
            return identity.name == name and announcement.name == name
        case Heartbeat(identity=identity) | Leave(identity=identity):
            return identity.name == name
    return False
