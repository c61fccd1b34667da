"""Options of TCP connections that the event loop does not set."""

from __future__ import annotations

import asyncio
import os
import socket
import struct

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 30_000

KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
RESET = ((socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),)

Options = tuple[tuple[int, int, int | bytes], ...]


def set_options(transport: asyncio.Transport, options: Options) -> None:
    """Set socket options on a duplicate of the descriptor of a transport.

    The socket object that the event loop exposes cannot set options. Errors are
    ignored.
    """
    transport_socket = transport.get_extra_info("socket")
    try:
        sock = socket.socket(fileno=os.dup(transport_socket.fileno()))
    except OSError:
        return
    with sock:
        for level, name, value in options:
            try:
                sock.setsockopt(level, name, value)
            except OSError:
                return
