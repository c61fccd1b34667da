"""Messages between our own hosts over UDP, larger ones in parts.

Datagrams have no connection that could go silent: what is lost is asked for
or told again by those who need it.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from collections.abc import Callable
from itertools import count
from struct import Struct

from fulmarshore.adapters.eventloop import EventLoop

PART_BYTES = 16 * 1024
"""Data in one datagram; well below what UDP carries, 65,507 bytes."""
MAX_PARTS = 64
PART_LIFETIME_S = 2.0
"""Parts of a message that is not whole by then are dropped."""
MAX_INCOMPLETE = 64
RECEIVE_BYTES = 65_535
RECEIVE_BATCH = 64
"""Datagrams taken before timers and other sockets get their turn."""
BUFFER_BYTES = 4 * 1024 * 1024

_HEAD = Struct(">IHH")

Receive = Callable[[bytes, str, int], None]


class MessageSocket:
    """A bound UDP socket that hands over whole messages.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the socket.
    host : str
        Address to bind to.
    port : int
        Port to bind to; 0 lets the kernel choose.
    receive : callable
        Called with each message and its sender's address and port.
    counters : Counter
        Counts what is dropped.
    """

    __slots__ = ("port", "_socket", "_receive", "_counters", "_numbers", "_parts")

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        port: int,
        receive: Receive,
        counters: Counter[str],
    ) -> None:
        self._receive = receive
        self._counters = counters
        self._numbers = count()
        self._parts: dict[tuple[str, int, int], tuple[float, dict[int, bytes]]] = {}
        self._socket = open_datagram_socket(host, port)
        self.port = self._socket.getsockname()[1]
        loop.watch(self._socket, self._read)

    def send(self, message: bytes, host: str, port: int) -> None:
        """Send a message; what the kernel does not take is lost and counted."""
        number = next(self._numbers) & 0xFFFFFFFF
        total = max(1, -(-len(message) // PART_BYTES))
        if total > MAX_PARTS:
            self._counters["messages_too_large"] += 1
            return
        for part in range(total):
            data = message[part * PART_BYTES : (part + 1) * PART_BYTES]
            try:
                self._socket.sendto(
                    _HEAD.pack(number, part, total) + data, (host, port)
                )
            except OSError:
                self._counters["messages_unsent"] += 1

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _read(self) -> None:
        for _ in range(RECEIVE_BATCH):
            try:
                content, (host, port) = self._socket.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self._counters["messages_read_errors"] += 1
                continue
            if len(content) < _HEAD.size:
                self._counters["messages_malformed"] += 1
                continue
            number, part, total = _HEAD.unpack_from(content)
            data = content[_HEAD.size :]
            if total == 1:
                self._receive(data, host, port)
                continue
            if not 0 <= part < total <= MAX_PARTS:
                self._counters["messages_malformed"] += 1
                continue
            whole = self._join((host, port, number), part, total, data)
            if whole is not None:
                self._receive(whole, host, port)

    def _join(
        self, key: tuple[str, int, int], part: int, total: int, data: bytes
    ) -> bytes | None:
        now = time.monotonic()
        self._drop_old(now)
        _, parts = self._parts.setdefault(key, (now, {}))
        parts[part] = data
        if len(parts) < total:
            return None
        del self._parts[key]
        return b"".join(parts[index] for index in sorted(parts))

    def _drop_old(self, now: float) -> None:
        while self._parts:
            key = next(iter(self._parts))
            is_old = now - self._parts[key][0] > PART_LIFETIME_S
            if not is_old and len(self._parts) <= MAX_INCOMPLETE:
                return
            del self._parts[key]
            self._counters["messages_incomplete"] += 1


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound UDP socket that does not block."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    opened.bind((host, port))
    return opened
