"""The operator's link to control: ask, wait, ask again elsewhere."""

from __future__ import annotations

import time
from dataclasses import dataclass

import zmq

from fulmarshore.adapters.links import format_endpoint
from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    ControlMessage,
    Declaration,
    Malformed,
    Removed,
    StatusReply,
    StatusRequest,
)

ASK_TIMEOUT_S = 1.5
ASK_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No control host answered; a change may or may not be accepted."""

    step: str
    peer: str
    attempts: int


def ask(
    controls: list[Address], message: ControlMessage, timeout: float = ASK_TIMEOUT_S
) -> ControlMessage | NoAnswer:
    """Send a message to one control host after the other until one answers.

    A change is safe to send again: its number makes every resend get the
    same answer.
    """
    context = zmq.Context()
    try:
        for attempt in range(ASK_ATTEMPTS):
            address = controls[attempt % len(controls)]
            reply = _ask_once(context, address, message, timeout)
            if reply is None:
                continue
            if _is_unavailable(reply) and attempt + 1 < ASK_ATTEMPTS:
                time.sleep(timeout / ASK_ATTEMPTS)
                continue
            return reply
    finally:
        context.destroy(linger=0)
    peers = ", ".join(f"{address.host}:{address.port}" for address in controls)
    return NoAnswer("ask", peers, ASK_ATTEMPTS)


def fetch_status(controls: list[Address]) -> StatusReply | NoAnswer:
    """Ask for all that a control host knows."""
    reply = ask(controls, StatusRequest())
    if isinstance(reply, StatusReply | NoAnswer):
        return reply
    return NoAnswer("fetch_status", "unexpected answer", 1)


def submit_change(
    controls: list[Address],
    operator: str,
    items: list[Declaration],
    removed: list[Removed],
    number: int | None = None,
) -> ChangeReply | NoAnswer:
    """Submit a change under a number, by default the next free one."""
    if number is None:
        status = fetch_status(controls)
        if isinstance(status, NoAnswer):
            return status
        number = status.next_number
    reply = ask(controls, Change(number, operator, items, removed))
    if isinstance(reply, ChangeReply | NoAnswer):
        return reply
    return NoAnswer("submit_change", "unexpected answer", 1)


def _ask_once(
    context: zmq.Context, address: Address, message: ControlMessage, timeout: float
) -> ControlMessage | None:
    sock = context.socket(zmq.DEALER)
    try:
        sock.connect(format_endpoint(address))
        sock.send(encode(message))
        if not sock.poll(timeout * 1000):
            return None
        reply = decode_control(sock.recv_multipart()[-1], format_endpoint(address))
    finally:
        sock.close(linger=0)
    return None if isinstance(reply, Malformed) else reply


def _is_unavailable(reply: ControlMessage) -> bool:
    return isinstance(reply, ChangeReply) and reply.status == ChangeStatus.UNAVAILABLE
