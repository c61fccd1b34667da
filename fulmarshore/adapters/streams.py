"""Byte streams over TCP: two connections that are spliced.

Backpressure: a connection whose write buffer is full pauses the reading of the
other one, so that only the buffers of the transports hold data.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fulmarshore.adapters.tcpoptions import KEEPALIVE, RESET, set_options
from fulmarshore.core.records import Address

MAX_UNSPLICED_BYTES = 65_536
"""Bytes that a connection buffers before it is spliced."""
WRITE_BUFFER_BYTES = 262_144


class StreamConnection(asyncio.Protocol):
    """A connection to a caller, an agent or an upstream that carries a stream.

    Parameters
    ----------
    on_connected : callable, optional
        Called with this connection once it is established.
    on_data : callable, optional
        Called when data has been received before the connection is spliced.
    on_lost : callable, optional
        Called once when the connection is closed or lost.
    """

    __slots__ = (
        "transport",
        "received",
        "is_lost",
        "_on_connected",
        "_on_data",
        "_on_lost",
        "_other",
        "_has_received_eof",
        "_has_sent_eof",
    )

    def __init__(
        self,
        on_connected: Callable[[StreamConnection], None] | None = None,
        on_data: Callable[[], None] | None = None,
        on_lost: Callable[[], None] | None = None,
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.is_lost = False
        self._on_connected = on_connected
        self._on_data = on_data
        self._on_lost = on_lost
        self._other: StreamConnection | None = None
        self._has_received_eof = False
        self._has_sent_eof = False

    @property
    def is_open(self) -> bool:
        """Whether data can still be sent."""
        return not self.is_lost and not self.transport.is_closing()

    @property
    def peer(self) -> Address:
        """Address of the peer."""
        return Address(*self.transport.get_extra_info("peername")[:2])

    def set_callbacks(
        self,
        on_data: Callable[[], None] | None = None,
        on_lost: Callable[[], None] | None = None,
    ) -> None:
        """Replace both callbacks; None removes one."""
        self._on_data = on_data
        self._on_lost = on_lost

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set the options of the connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        set_options(transport, KEEPALIVE)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Forward data, or buffer it until the connection is spliced."""
        if self._other is not None:
            self._forward(data)
            return
        self.received += data
        if self._on_data is not None:
            self._on_data()
        if self._other is None and len(self.received) >= MAX_UNSPLICED_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Forward the half-close; the other direction stays open."""
        self._has_received_eof = True
        if self._other is not None:
            self._other.finish()
        if self._has_sent_eof:
            self.close()
        return True

    def pause_writing(self) -> None:
        """Pause reading of the other connection while the write buffer is full."""
        if self._other is not None and self._other.is_open:
            self._other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading of the other connection."""
        if self._other is not None and self._other.is_open:
            self._other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Reset the other connection, unless both directions ended cleanly."""
        self.is_lost = True
        other = self._other
        if other is not None and not other.is_lost:
            is_over = self._has_received_eof and self._has_sent_eof and error is None
            other.close() if is_over else other.abort()
        if self._on_lost is not None:
            self._on_lost()

    def write(self, data: bytes | memoryview) -> None:
        """Send data; ignored if the connection is closed."""
        if self.is_open:
            self.transport.write(data)

    def splice(self, other: StreamConnection) -> None:
        """Forward the data of each connection to the other from now on."""
        is_ready = self.prepare() and other.prepare()
        if not is_ready or not self.is_open or not other.is_open:
            self.abort()
            other.abort()
            return
        self._other = other
        other._other = self
        self._start_forwarding()
        other._start_forwarding()

    def prepare(self) -> bool:
        """Prepare the connection for stream data; return whether that succeeded."""
        return True

    def finish(self) -> None:
        """Half-close the connection: no more data is sent."""
        if not self.is_open or self._has_sent_eof:
            return
        self._has_sent_eof = True
        self.transport.write_eof()
        if self._has_received_eof:
            self.close()

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection immediately."""
        if self.is_lost or self.transport is None:
            return
        set_options(self.transport, RESET)
        self.transport.abort()

    def _start_forwarding(self) -> None:
        if not self.is_open:
            return
        received = bytes(self.received)
        self.received.clear()
        if received:
            self._forward(received)
        self.transport.resume_reading()
        if self._has_received_eof:
            self._other.finish()

    def _forward(self, data: bytes) -> None:
        self._other.write(data)
