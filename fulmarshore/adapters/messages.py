"""Messages between hosts over UDP, fragmented if large.

UDP has no connection that could become unresponsive. Delivery is not guaranteed:
whoever needs a lost message requests it or sends it again.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from collections.abc import Callable
from itertools import count
from struct import Struct

from fulmarshore.adapters.eventloop import EventLoop

FRAGMENT_BYTES = 16 * 1024
"""Payload of one datagram, well below the limit of UDP, 65,507 bytes."""
MAX_FRAGMENTS = 64
REASSEMBLY_TIMEOUT_S = 2.0
"""Age at which the fragments of an incomplete message are dropped."""
MAX_INCOMPLETE_MESSAGES = 64
RECEIVE_BYTES = 65_535
RECEIVE_BATCH = 64
"""Datagrams read before the event loop serves timers and other sockets."""
BUFFER_BYTES = 4 * 1024 * 1024

_HEADER = Struct(">IHH")

Receive = Callable[[bytes, str, int], None]


class MessageSocket:
    """A bound UDP socket that sends and receives messages of one or more datagrams.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the socket.
    host : str
        IPv4 address to bind to.
    port : int
        Port to bind to; 0 lets the kernel choose.
    receive : callable
        Called with each message and its sender's address and port.
    counters : Counter
        Counts messages that are dropped, by reason.
    """

    __slots__ = (
        "port",
        "_socket",
        "_receive",
        "_counters",
        "_message_numbers",
        "_incomplete",
    )

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
        self._message_numbers = count()
        self._incomplete: dict[
            tuple[str, int, int], tuple[float, dict[int, bytes]]
        ] = {}
        self._socket = open_datagram_socket(host, port)
        self.port = self._socket.getsockname()[1]
        loop.watch(self._socket, self._read)

    def send(self, message: bytes, host: str, port: int) -> None:
        """Send a message; fragments that the kernel refuses are counted and lost."""
        number = next(self._message_numbers) & 0xFFFFFFFF
        total = max(1, -(-len(message) // FRAGMENT_BYTES))
        if total > MAX_FRAGMENTS:
            self._counters["messages_too_large"] += 1
            return
        for position in range(total):
            data = message[position * FRAGMENT_BYTES : (position + 1) * FRAGMENT_BYTES]
            try:
                self._socket.sendto(
                    _HEADER.pack(number, position, total) + data,
                    (host, port),
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
            if len(content) < _HEADER.size:
                self._counters["messages_malformed"] += 1
                continue
            number, position, total = _HEADER.unpack_from(content)
            data = content[_HEADER.size :]
            if total == 1:
                self._receive(data, host, port)
                continue
            if not 0 <= position < total <= MAX_FRAGMENTS:
                self._counters["messages_malformed"] += 1
                continue
            message = self._reassemble((host, port, number), position, total, data)
            if message is not None:
                self._receive(message, host, port)

    def _reassemble(
        self,
        key: tuple[str, int, int],
        position: int,
        total: int,
        data: bytes,
    ) -> bytes | None:
        now = time.monotonic()
        self._discard_incomplete(now)
        _, fragments = self._incomplete.setdefault(key, (now, {}))
        fragments[position] = data
        if len(fragments) < total:
            return None
        del self._incomplete[key]
        return b"".join(fragments[index] for index in sorted(fragments))

    def _discard_incomplete(self, now: float) -> None:
        while self._incomplete:
            key = next(iter(self._incomplete))
            is_expired = now - self._incomplete[key][0] > REASSEMBLY_TIMEOUT_S
            if not is_expired and len(self._incomplete) <= MAX_INCOMPLETE_MESSAGES:
                return
            del self._incomplete[key]
            self._counters["messages_incomplete"] += 1


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound, non-blocking IPv4 UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    sock.bind((host, port))
    return sock
