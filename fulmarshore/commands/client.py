"""The operator's link to control: ask, wait, ask again elsewhere."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass

import zmq

from fulmarshore.adapters.links import format_endpoint, set_address_family
from fulmarshore.adapters.security import LinkSecurity
from fulmarshore.core.addresses import format_address
from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    ControlMessage,
    Declaration,
    HistoryEntry,
    HistoryReply,
    HistoryRequest,
    Malformed,
    Removed,
    StatusReply,
    StatusRequest,
)

REQUEST_TIMEOUT_S = 1.5
REQUEST_ATTEMPTS = 4
CONFLICT_ATTEMPTS = 5


class ControlHosts:
    """The control hosts as an operator reaches them.

    Parameters
    ----------
    addresses : list of Address
        Their link addresses.
    operator : str
        Who asks.
    security : LinkSecurity, optional
        The operator's key.
    region : str
        Name of their region; empty where it is not told.
    """

    __slots__ = ("addresses", "operator", "security", "region")

    def __init__(
        self,
        addresses: list[Address],
        operator: str = "",
        security: LinkSecurity | None = None,
        region: str = "",
    ) -> None:
        self.addresses = addresses
        self.region = region
        self.operator = operator
        self.security = security

    def exclude(self, silent: Iterable[str]) -> ControlHosts:
        """Return them without those that did not answer, if any did.

        Whoever has not told its region is sent no change.
        """
        left = [held for held in self.addresses if format_address(held) not in silent]
        held = left or self.addresses
        return ControlHosts(held, self.operator, self.security, self.region)

    def connect(self, context: zmq.Context, address: Address) -> zmq.Socket:
        """Return a socket on its way to a control host."""
        sock = context.socket(zmq.DEALER)
        if self.security is not None:
            problem = self.security.secure_client(sock, address)
            assert problem is None, problem
        set_address_family(sock, address)
        sock.connect(format_endpoint(address))
        return sock


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No control host answered; a change may or may not be accepted."""

    step: str
    peer: str
    attempts: int


def send_request(
    controls: list[Address] | ControlHosts,
    message: ControlMessage,
    timeout: float = REQUEST_TIMEOUT_S,
) -> ControlMessage | NoAnswer:
    """Send a message to one control host after the other until one answers.

    A change is safe to send again: its number makes every resend get the
    same answer.
    """
    reached = _wrap(controls)
    addresses = reached.addresses
    context = zmq.Context()
    try:
        for attempt in range(REQUEST_ATTEMPTS):
            address = addresses[attempt % len(addresses)]
            reply = _ask_once(reached, context, address, message, timeout)
            if reply is None:
                continue
            if _is_unavailable(reply) and attempt + 1 < REQUEST_ATTEMPTS:
                time.sleep(timeout / REQUEST_ATTEMPTS)
                continue
            return reply
    finally:
        context.destroy(linger=0)
    peers = ", ".join(format_address(address) for address in addresses)
    return NoAnswer("ask", peers, REQUEST_ATTEMPTS)


def fetch_status(controls: list[Address] | ControlHosts) -> StatusReply | NoAnswer:
    """Ask for all that a control host knows."""
    reply = send_request(controls, StatusRequest())
    if isinstance(reply, StatusReply | NoAnswer):
        return reply
    return NoAnswer("fetch_status", "unexpected answer", 1)


def fetch_all_statuses(
    controls: list[Address] | ControlHosts, timeout: float = REQUEST_TIMEOUT_S
) -> tuple[list[StatusReply], list[str]]:
    """Ask every control host at once.

    Returns
    -------
    replies : list of StatusReply
        The answers, one for each control host that gave one.
    silent : list of str
        Addresses of those that did not answer in time.
    """
    reached = _wrap(controls)
    context = zmq.Context()
    poller = zmq.Poller()
    waiting: dict[zmq.Socket, str] = {}
    replies: list[StatusReply] = []
    until = time.monotonic() + timeout
    try:
        for address in reached.addresses:
            sock = reached.connect(context, address)
            sock.send(encode(StatusRequest(is_local=True)))
            poller.register(sock, zmq.POLLIN)
            waiting[sock] = format_address(address)
        while waiting and time.monotonic() < until:
            left_ms = max(0.0, (until - time.monotonic()) * 1000)
            for sock, _ in poller.poll(left_ms):
                poller.unregister(sock)
                reply = decode_control(sock.recv_multipart()[-1], waiting[sock])
                if not isinstance(reply, StatusReply):
                    continue
                del waiting[sock]
                sock.close(linger=0)
                replies.append(reply)
    finally:
        context.destroy(linger=0)
    return replies, sorted(waiting.values())


def fetch_history(
    controls: list[Address] | ControlHosts, before: int, limit: int
) -> list[HistoryEntry] | NoAnswer:
    """Ask for accepted changes below a number, the newest first."""
    reply = send_request(controls, HistoryRequest(before, limit))
    if isinstance(reply, NoAnswer):
        return reply
    if isinstance(reply, HistoryReply):
        return reply.entries
    return NoAnswer("fetch_history", "unexpected answer", 1)


def submit_with_retries(
    controls: list[Address] | ControlHosts,
    operator: str,
    items: list[Declaration],
    removed: list[Removed],
) -> ChangeReply | NoAnswer:
    """Submit a change that is right whatever was accepted just before.

    Where another operator takes the number first, the next free one is tried.
    """
    for _ in range(CONFLICT_ATTEMPTS):
        reply = submit_change(controls, operator, items, removed)
        if isinstance(reply, NoAnswer) or not _lost_race(reply):
            return reply
    return reply


def submit_change(
    controls: list[Address] | ControlHosts,
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
    reply = send_request(controls, Change(number, operator, items, removed))
    if isinstance(reply, ChangeReply | NoAnswer):
        return reply
    return NoAnswer("submit_change", "unexpected answer", 1)


def _wrap(controls: list[Address] | ControlHosts) -> ControlHosts:
    return controls if isinstance(controls, ControlHosts) else ControlHosts(controls)


def _ask_once(
    reached: ControlHosts,
    context: zmq.Context,
    address: Address,
    message: ControlMessage,
    timeout: float,
) -> ControlMessage | None:
    sock = reached.connect(context, address)
    try:
        sock.send(encode(message))
        if not sock.poll(timeout * 1000):
            return None
        reply = decode_control(sock.recv_multipart()[-1], format_endpoint(address))
    finally:
        sock.close(linger=0)
    return None if isinstance(reply, Malformed) else reply


def _lost_race(reply: ChangeReply) -> bool:
    return reply.status == ChangeStatus.CONFLICT


def _is_unavailable(reply: ControlMessage) -> bool:
    return isinstance(reply, ChangeReply) and reply.status == ChangeStatus.UNAVAILABLE
