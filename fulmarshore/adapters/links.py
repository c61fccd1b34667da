"""Control links over ZeroMQ: a ROUTER at a control host, DEALERs elsewhere."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable

import zmq
import zmq.asyncio

from fulmarshore.adapters.security import LinkSecurity
from fulmarshore.core.addresses import format_address
from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    ControlMessage,
    Malformed,
)
from fulmarshore.membership.permission import can_send

SEND_QUEUE_FRAMES = 1000

ReceiveMessage = Callable[[str, ControlMessage], None]


class LinkServer:
    """The control host's side of its links.

    Parameters
    ----------
    context : zmq.asyncio.Context
        The ZeroMQ context of the process.
    address : Address
        Address that subscribers and operators connect to.
    receive : callable
        Called with the peer's ZeroMQ identity, in hexadecimal, and the message.
    security : LinkSecurity, optional
        Without it links are neither authenticated nor encrypted.
    counters : Counter, optional
        Counts dropped messages by reason.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: Address,
        receive: ReceiveMessage,
        security: LinkSecurity | None = None,
        counters: Counter[str] | None = None,
    ) -> None:
        self._receive = receive
        self._security = security
        self.counters = Counter[str]() if counters is None else counters
        self._socket = context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 200)
        self._socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        set_address_family(self._socket, address)
        self._authenticator = None
        if security is not None:
            self._authenticator = security.start_authenticator(context)
            security.secure_server(self._socket)
        try:
            self._socket.bind(format_endpoint(address))
        except zmq.ZMQError as error:
            self._socket.close(linger=0)
            self._stop_authenticator()
            raise OSError(error.errno, os.strerror(error.errno)) from error
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, peer: str, message: ControlMessage) -> None:
        """Send a message to a peer; it is dropped if the peer is gone."""
        frames = [bytes.fromhex(peer), encode(message)]
        _send_frames(self._socket, frames)

    def close(self) -> None:
        """Close all links."""
        self._task.cancel()
        self._socket.close()
        self._stop_authenticator()

    def _stop_authenticator(self) -> None:
        if self._authenticator is not None:
            self._authenticator.stop()

    async def _run(self) -> None:
        while True:
            frames = await self._socket.recv_multipart(copy=False)
            if len(frames) != 2:
                self.counters["dropped_link_malformed"] += 1
                continue
            peer = frames[0].bytes.hex()
            message = decode_control(frames[1].bytes, peer)
            if isinstance(message, Malformed):
                self.counters["dropped_link_malformed"] += 1
                continue
            if not self._is_allowed(frames[1], message):
                self._refuse(peer, message)
                continue
            self._receive(peer, message)

    def _is_allowed(self, frame: zmq.Frame, message: ControlMessage) -> bool:
        if self._security is None:
            return True
        owner = self._security.find_owner(frame)
        return owner is not None and can_send(owner, message)

    def _refuse(self, peer: str, message: ControlMessage) -> None:
        self.counters["dropped_link_unauthorized"] += 1
        if isinstance(message, Change):
            reason = f"the key in use may not act as operator {message.operator}"
            status = ChangeStatus.INVALID
            self.send(peer, ChangeReply(message.number, status, 0, "", [reason], 0))


class LinkClient:
    """The links of one process to its control hosts, by name.

    Parameters
    ----------
    context : zmq.asyncio.Context
        The ZeroMQ context of the process.
    controls : dict of str to Address
        Addresses of the control hosts by the name of the link.
    receive : callable
        Called with the name of the link and the message.
    security : LinkSecurity, optional
        Without it links are neither authenticated nor encrypted.
    counters : Counter, optional
        Counts dropped messages by reason.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        controls: dict[str, Address],
        receive: ReceiveMessage,
        security: LinkSecurity | None = None,
        counters: Counter[str] | None = None,
    ) -> None:
        self._security = security
        self._context = context
        self._controls = controls
        self._receive = receive
        self.counters = Counter[str]() if counters is None else counters
        self._links: dict[str, tuple[zmq.asyncio.Socket, asyncio.Task]] = {}

    def send(self, name: str, message: ControlMessage) -> None:
        """Send a message on a link, which is opened if needed."""
        if name not in self._links and not self._open(name):
            self.counters["dropped_link_without_key"] += 1
            return
        _send_frames(self._links[name][0], [encode(message)])

    def reset(self, name: str) -> None:
        """Close an unresponsive link; the next message opens a new one."""
        link = self._links.pop(name, None)
        if link is None:
            return
        link[1].cancel()
        link[0].close(linger=0)

    def close(self) -> None:
        """Close all links."""
        for sock, task in self._links.values():
            task.cancel()
            sock.close(linger=200)
        self._links.clear()

    def _open(self, name: str) -> bool:
        sock = self._context.socket(zmq.DEALER)
        sock.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        if self._security is not None:
            problem = self._security.secure_client(sock, self._controls[name])
            if problem is not None:
                sock.close(linger=0)
                return False
        set_address_family(sock, self._controls[name])
        sock.connect(format_endpoint(self._controls[name]))
        task = asyncio.get_running_loop().create_task(self._run(name, sock))
        self._links[name] = (sock, task)
        return True

    async def _run(self, name: str, sock: zmq.asyncio.Socket) -> None:
        while True:
            frames = await sock.recv_multipart()
            message = decode_control(frames[-1], name)
            if isinstance(message, Malformed):
                self.counters["dropped_link_malformed"] += 1
                continue
            self._receive(name, message)


def set_address_family(sock: zmq.Socket, address: Address) -> None:
    """Enable IPv6 on a socket if the address needs it; ZeroMQ disables it."""
    sock.setsockopt(zmq.IPV6, int(":" in address.host))


def format_endpoint(address: Address) -> str:
    """Return the ZeroMQ endpoint of an address."""
    return f"tcp://{format_address(address)}"


def _send_frames(sock: zmq.asyncio.Socket, frames: list[bytes]) -> None:
    future = sock.send_multipart(frames, flags=zmq.DONTWAIT)
    future.add_done_callback(_ignore_unsent)


def _ignore_unsent(future: asyncio.Future) -> None:
    """Ignore the error of a message that was not queued; heartbeats detect the loss."""
    if not future.cancelled():
        future.exception()
