"""UDP sockets behind callbacks of the event loop."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter, deque
from collections.abc import Callable

from fulmarshore.core.records import Address

RECEIVE_BYTES = 65_535
RECEIVE_BATCH = 64
"""Datagrams received in a row and passed to the callback as one batch."""
MAX_BATCHES_PER_READ = 4
"""Batches read from one socket before the event loop serves the others."""
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

Receive = Callable[[bytes, Address], None]
Batch = list[tuple[bytes, Address]]
"""Datagrams, each with its source or destination."""
ReceiveBatch = Callable[[Batch], None]
SEND_ERRORS = (OSError, OverflowError)
"""Raised by a socket when the kernel does not accept a datagram."""


RETIRED_PORT_S = 10.0
"""How long the port of an ended flow is not used again at least: several times the
longest interval at which protocols over UDP repeat an answer."""
MAX_RETIRED_PORTS = 256
"""Beyond this the oldest is closed, as descriptors are limited: 25 ended flows a
second, five times as many as an agent has at the size in docs/DEVELOPING.md."""


class DatagramSocket:
    """A bound or connected UDP socket that passes datagrams to a callback.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that watches the socket.
    receive : callable
        Called with each datagram and its source.
    on_refused : callable, optional
        Called when a connected peer refuses datagrams: its port is closed.
    receive_batch : callable, optional
        Called instead of ``receive`` with a batch of received datagrams.
    counters : Counter, optional
        Counts dropped datagrams by reason.

    Attributes
    ----------
    send_now, send_now_to : callable
        The socket's own ``send`` and ``sendto``, for loops over many
        datagrams. Pass their ``SEND_ERRORS`` to ``record_send_error``.
    """

    __slots__ = (
        "send_now",
        "send_now_to",
        "_loop",
        "_receive",
        "_on_refused",
        "_receive_batch",
        "_socket",
        "_connected",
        "_counters",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receive: Receive | None = None,
        on_refused: Callable[[], None] | None = None,
        receive_batch: ReceiveBatch | None = None,
        counters: Counter[str] | None = None,
    ) -> None:
        self._loop = loop
        self._receive = receive
        self._receive_batch = receive_batch or self._receive_each
        self._on_refused = on_refused
        self._connected = False
        self._counters = Counter[str]() if counters is None else counters
        self._socket: socket.socket | None = None
        self.send_now = self.send_now_to = _send_nothing

    def bind(
        self, address: Address, buffer_bytes: int = SOCKET_BUFFER_BYTES
    ) -> Address:
        """Bind to an address and return the one in use."""
        self._open(address.host, buffer_bytes)
        self._socket.bind(address)
        self._start_reading()
        return Address(*self._socket.getsockname()[:2])

    @property
    def local_port(self) -> int:
        """The port that the socket is bound to."""
        return self._socket.getsockname()[1]

    def connect(self, address: Address, local_port: int = 0) -> None:
        """Connect to a peer, so that only its datagrams are received.

        Parameters
        ----------
        address : Address
            The peer.
        local_port : int
            Port to bind first. The kernel chooses one if it is 0 or in use.
        """
        self._open(address.host, 0)
        if local_port:
            self._bind_port(local_port)
        self._socket.connect(address)
        self._connected = True
        self._start_reading()

    def open_connected(self, peer: Address) -> DatagramSocket:
        """Return a socket with the same local address, connected to a peer.

        The new socket receives what the peer sends from now on and passes it to
        the same callback. ``SO_REUSEADDR`` is set only during the bind, so that
        no other process can bind the address before or afterwards.
        """
        connected = DatagramSocket(
            self._loop, self._receive, None, self._receive_batch, self._counters
        )
        connected._open(peer.host, SOCKET_BUFFER_BYTES)
        try:
            for sock in (self._socket, connected._socket):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            connected._socket.bind(self._socket.getsockname())
            connected._socket.connect(peer)
        except OSError:
            connected._socket.close()
            raise
        finally:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        connected._connected = True
        connected._start_reading()
        return connected

    def send(self, payload: bytes, destination: Address | None = None) -> None:
        """Send a datagram; it is dropped and counted if the kernel refuses it."""
        if self._socket is None:
            return
        try:
            if destination is None:
                self._socket.send(payload)
            else:
                self._socket.sendto(payload, destination)
        except SEND_ERRORS as error:
            self.record_send_error(error)

    def record_send_error(self, error: OSError | OverflowError) -> None:
        """Count a datagram that the kernel did not accept."""
        if isinstance(error, ConnectionRefusedError):
            self._counters["dropped_connection_refused"] += 1
            if self._on_refused is not None:
                self._on_refused()
            return
        if isinstance(error, BlockingIOError):
            self._counters["dropped_no_send_buffer"] += 1
            return
        self._counters["dropped_send_failed"] += 1

    def mute(self) -> None:
        """Keep the port, but send nothing and discard what arrives."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 0)
        self.send_now = self.send_now_to = _send_nothing

    def close(self) -> None:
        """Close the socket; further sends are ignored."""
        if self._socket is None:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None
        self.send_now = self.send_now_to = _send_nothing

    def _open(self, host: str, buffer_bytes: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self.send_now = self._socket.send
        self.send_now_to = self._socket.sendto
        if not buffer_bytes:
            return
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)

    def _bind_port(self, port: int) -> None:
        try:
            self._socket.bind(("", port))
        except OSError:
            self._counters["local_ports_taken"] += 1

    def _start_reading(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        for _ in range(MAX_BATCHES_PER_READ):
            batch: Batch = []
            has_more = self._receive_available(batch)
            if batch:
                self._receive_batch(batch)
            if not has_more or self._socket is None:
                return

    def _receive_available(self, batch: Batch) -> bool:
        """Receive a batch; return whether more datagrams may be queued."""
        receive_from = self._socket.recvfrom
        append_datagram = batch.append
        try:
            for _ in range(RECEIVE_BATCH):
                append_datagram(receive_from(RECEIVE_BYTES))
        except BlockingIOError:
            return False
        except ConnectionRefusedError:
            if self._connected and self._on_refused is not None:
                self._on_refused()
            return False
        except OSError:
            self._counters["receives_failed"] += 1
            return False
        return True

    def _receive_each(self, batch: Batch) -> None:
        for payload, source in batch:
            self._receive(payload, source)
            if self._socket is None:
                return


def _send_nothing(payload: bytes, destination: Address | None = None) -> int:
    """Replace the send methods of a closed socket."""
    return 0


class RetiredSockets:
    """Keeps the ports of ended flows bound for a while.

    The kernel could give the port to the next flow. A late or repeated answer of the
    upstream would then reach the caller of that flow, who has not asked for it.
    """

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: deque[tuple[float, DatagramSocket]] = deque()

    def __len__(self) -> int:
        return len(self._sockets)

    def add(self, sock: DatagramSocket) -> None:
        """Retire the socket of an ended flow; close those retired for long."""
        self._close_expired()
        sock.mute()
        self._sockets.append((time.monotonic() + RETIRED_PORT_S, sock))
        if len(self._sockets) > MAX_RETIRED_PORTS:
            self._sockets.popleft()[1].close()

    def close(self) -> None:
        """Close all sockets."""
        while self._sockets:
            self._sockets.popleft()[1].close()

    def _close_expired(self) -> None:
        while self._sockets and self._sockets[0][0] <= time.monotonic():
            self._sockets.popleft()[1].close()
