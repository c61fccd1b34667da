"""Client of the control hosts: sends requests, with timeout and retry."""

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
    """The control hosts of a region, and how an operator connects to them.

    Parameters
    ----------
    addresses : list of Address
        Their link addresses.
    operator : str
        Name of the operator.
    security : LinkSecurity, optional
        Keys of the operator and the control hosts; None for unencrypted links.
    region : str
        Name of their region; empty if it was not given.
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

    def exclude(self, unresponsive: Iterable[str]) -> ControlHosts:
        """Return the control hosts except the unresponsive ones.

        If none is left, all are returned. A control host that did not answer
        has not confirmed its region either, so it is sent no change.
        """
        responsive = [
            address
            for address in self.addresses
            if format_address(address) not in unresponsive
        ]
        targets = responsive or self.addresses
        return ControlHosts(targets, self.operator, self.security, self.region)

    def connect(self, context: zmq.Context, address: Address) -> zmq.Socket:
        """Return a socket that connects to a control host."""
        sock = context.socket(zmq.DEALER)
        if self.security is not None:
            problem = self.security.secure_client(sock, address)
            assert problem is None, problem
        set_address_family(sock, address)
        sock.connect(format_endpoint(address))
        return sock


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No control host answered; whether a change was accepted is unknown.

    Parameters
    ----------
    step : str
        Name of the request.
    peer : str
        The control hosts that were asked, or what was wrong with the answer.
    attempts : int
        Number of requests that were sent.
    """

    step: str
    peer: str
    attempts: int


def send_request(
    control_hosts: list[Address] | ControlHosts,
    message: ControlMessage,
    timeout: float = REQUEST_TIMEOUT_S,
) -> ControlMessage | NoAnswer:
    """Send a request to one control host after the other until one answers.

    Parameters
    ----------
    control_hosts : list of Address or ControlHosts
        Control hosts to try, in this order.
    message : ControlMessage
        The request. A change is safe to resend: control hosts recognise it by
        its number and give the same answer.
    timeout : float
        Seconds to wait for each answer.
    """
    hosts = _to_control_hosts(control_hosts)
    addresses = hosts.addresses
    context = zmq.Context()
    try:
        for attempt in range(REQUEST_ATTEMPTS):
            address = addresses[attempt % len(addresses)]
            reply = _try_request(hosts, context, address, message, timeout)
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


def fetch_status(control_hosts: list[Address] | ControlHosts) -> StatusReply | NoAnswer:
    """Request the status of one control host."""
    reply = send_request(control_hosts, StatusRequest())
    if isinstance(reply, StatusReply | NoAnswer):
        return reply
    return NoAnswer("fetch_status", "unexpected answer", 1)


def fetch_all_statuses(
    control_hosts: list[Address] | ControlHosts, timeout: float = REQUEST_TIMEOUT_S
) -> tuple[list[StatusReply], list[str]]:
    """Request the status of every control host in parallel.

    Returns
    -------
    replies : list of StatusReply
        One reply for each control host that answered.
    unresponsive : list of str
        Addresses of the control hosts that did not answer in time.
    """
    hosts = _to_control_hosts(control_hosts)
    context = zmq.Context()
    poller = zmq.Poller()
    pending: dict[zmq.Socket, str] = {}
    replies: list[StatusReply] = []
    deadline = time.monotonic() + timeout
    try:
        for address in hosts.addresses:
            sock = hosts.connect(context, address)
            sock.send(encode(StatusRequest(is_local=True)))
            poller.register(sock, zmq.POLLIN)
            pending[sock] = format_address(address)
        while pending and time.monotonic() < deadline:
            remaining_ms = max(0.0, (deadline - time.monotonic()) * 1000)
            for sock, _ in poller.poll(remaining_ms):
                poller.unregister(sock)
                reply = decode_control(sock.recv_multipart()[-1], pending[sock])
                if not isinstance(reply, StatusReply):
                    continue
                del pending[sock]
                sock.close(linger=0)
                replies.append(reply)
    finally:
        context.destroy(linger=0)
    return replies, sorted(pending.values())


def fetch_history(
    control_hosts: list[Address] | ControlHosts, before: int, limit: int
) -> list[HistoryEntry] | NoAnswer:
    """Return accepted changes with a number below ``before``, the newest first."""
    reply = send_request(control_hosts, HistoryRequest(before, limit))
    if isinstance(reply, NoAnswer):
        return reply
    if isinstance(reply, HistoryReply):
        return reply.entries
    return NoAnswer("fetch_history", "unexpected answer", 1)


def submit_with_retries(
    control_hosts: list[Address] | ControlHosts,
    operator: str,
    items: list[Declaration],
    removed: list[Removed],
) -> ChangeReply | NoAnswer:
    """Submit a change that does not depend on the changes before it.

    If another operator takes the number first, the next free one is tried.
    """
    for _ in range(CONFLICT_ATTEMPTS):
        reply = submit_change(control_hosts, operator, items, removed)
        if isinstance(reply, NoAnswer) or not _is_conflict(reply):
            return reply
    return reply


def submit_change(
    control_hosts: list[Address] | ControlHosts,
    operator: str,
    items: list[Declaration],
    removed: list[Removed],
    number: int | None = None,
) -> ChangeReply | NoAnswer:
    """Submit a change under a number, by default the next free one."""
    if number is None:
        status = fetch_status(control_hosts)
        if isinstance(status, NoAnswer):
            return status
        number = status.next_number
    reply = send_request(control_hosts, Change(number, operator, items, removed))
    if isinstance(reply, ChangeReply | NoAnswer):
        return reply
    return NoAnswer("submit_change", "unexpected answer", 1)


def _to_control_hosts(control_hosts: list[Address] | ControlHosts) -> ControlHosts:
    return (
        control_hosts
        if isinstance(control_hosts, ControlHosts)
        else ControlHosts(control_hosts)
    )


def _try_request(
    hosts: ControlHosts,
    context: zmq.Context,
    address: Address,
    message: ControlMessage,
    timeout: float,
) -> ControlMessage | None:
    sock = hosts.connect(context, address)
    try:
        sock.send(encode(message))
        if not sock.poll(timeout * 1000):
            return None
        reply = decode_control(sock.recv_multipart()[-1], format_endpoint(address))
    finally:
        sock.close(linger=0)
    return None if isinstance(reply, Malformed) else reply


def _is_conflict(reply: ChangeReply) -> bool:
    return reply.status == ChangeStatus.CONFLICT


def _is_unavailable(reply: ControlMessage) -> bool:
    return isinstance(reply, ChangeReply) and reply.status == ChangeStatus.UNAVAILABLE
