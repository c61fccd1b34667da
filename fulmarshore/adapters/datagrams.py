"""UDP sockets behind callbacks of the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from fulmarshore.core.records import Address

RECEIVE_BYTES = 65_535
RECEIVE_BATCH = 256
"""Datagrams taken from one socket before the others get their turn."""
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

Receive = Callable[[bytes, Address], None]
ReceiveFrom = Callable[[int], tuple[bytes, Address]]
Drain = Callable[[ReceiveFrom], None]


class DatagramSocket:
    """A bound or connected UDP socket that hands datagrams to a callback.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that watches the socket.
    receive : callable
        Called with each datagram and its source.
    fail : callable, optional
        Called when a connected peer is reported gone.
    drain : callable, optional
        Called in place of ``receive`` when datagrams wait, with the bound
        ``recvfrom`` of the socket. It takes at most ``RECEIVE_BATCH`` of
        them and lets the error of an empty socket through.
    counters : Counter, optional
        Counts what is dropped, and why.
    """

    __slots__ = (
        "_loop",
        "_receive",
        "_fail",
        "_drain",
        "_socket",
        "_connected",
        "_counters",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receive: Receive | None = None,
        fail: Callable[[], None] | None = None,
        drain: Drain | None = None,
        counters: Counter[str] | None = None,
    ) -> None:
        self._loop = loop
        self._receive = receive
        self._drain = drain or self._hand_over
        self._fail = fail
        self._connected = False
        self._counters = Counter[str]() if counters is None else counters
        self._socket: socket.socket | None = None

    def bind(
        self, address: Address, buffer_bytes: int = SOCKET_BUFFER_BYTES
    ) -> Address:
        """Bind to an address and return the one in use."""
        self._open(address.host, buffer_bytes)
        self._socket.bind(address)
        self._watch()
        return Address(*self._socket.getsockname()[:2])

    @property
    def local_port(self) -> int:
        """Port that the socket is bound to."""
        return self._socket.getsockname()[1]

    def connect(self, address: Address, local_port: int = 0) -> None:
        """Connect to a peer: only its datagrams are received.

        Parameters
        ----------
        address : Address
            The peer.
        local_port : int
            Port to bind first; 0 leaves it to the kernel. One that is taken
            is left to the kernel too.
        """
        self._open(address.host, 0)
        if local_port:
            self._bind_port(local_port)
        self._socket.connect(address)
        self._connected = True
        self._watch()

    def send(self, payload: bytes, destination: Address | None = None) -> None:
        """Send a datagram; one that the kernel has no room for is dropped."""
        if self._socket is None:
            return
        try:
            if destination is None:
                self._socket.send(payload)
            else:
                self._socket.sendto(payload, destination)
        except ConnectionRefusedError:
            self._counters["dropped_connection_refused"] += 1
            if self._fail is not None:
                self._fail()
        except BlockingIOError:
            self._counters["dropped_no_send_buffer"] += 1
        except (OSError, OverflowError):
            self._counters["dropped_send_failed"] += 1

    def close(self) -> None:
        """Close the socket; further sends are ignored."""
        if self._socket is None:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def _open(self, host: str, buffer_bytes: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        if not buffer_bytes:
            return
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)

    def _bind_port(self, port: int) -> None:
        try:
            self._socket.bind(("", port))
        except OSError:
            self._counters["local_ports_taken"] += 1

    def _watch(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        try:
            self._drain(self._socket.recvfrom)
        except BlockingIOError:
            return
        except ConnectionRefusedError:
            if self._connected and self._fail is not None:
                self._fail()
        except OSError:
            self._counters["receives_failed"] += 1

    def _hand_over(self, receive_from: ReceiveFrom) -> None:
        for _ in range(RECEIVE_BATCH):
            payload, source = receive_from(RECEIVE_BYTES)
            self._receive(payload, source)
            if self._socket is None:
                return
