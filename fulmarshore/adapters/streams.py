"""Byte streams over TCP: framed records in front, then two ends spliced.

Back pressure: an end whose kernel buffer is full stops the reading of the
other one, so that at most the buffers of the transports are held.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import Counter
from collections.abc import Callable

from fulmarshore.adapters.sealing import HEADER_BYTES, Sealer, SealProblem
from fulmarshore.adapters.streamseal import (
    MAX_PLAIN_BYTES,
    MAX_SEALED_BYTES,
    StreamSealer,
    derive_stream_sealer,
)
from fulmarshore.core.codec import MAX_STREAM_FRAME_BYTES, decode_stream, encode
from fulmarshore.core.records import Address, Malformed, StreamMessage

LENGTH_BYTES = 4
MAX_EARLY_BYTES = 65_536
"""Bytes that an end takes before it is spliced."""
WRITE_BUFFER_BYTES = 262_144
BACKLOG = 1024
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 30_000


class StreamEnd(asyncio.Protocol):
    """One end of a stream: a connection to a caller, an agent or an upstream.

    Parameters
    ----------
    on_made : callable, optional
        Called with the end when it is connected.
    on_bytes : callable, optional
        Called when bytes have come while the end is not spliced.
    on_lost : callable, optional
        Called once when the connection is gone.
    """

    __slots__ = (
        "transport",
        "received",
        "is_lost",
        "_on_made",
        "_on_bytes",
        "_on_lost",
        "_other",
        "_has_ended",
        "_has_finished",
    )

    def __init__(
        self,
        on_made: Callable[[StreamEnd], None] | None = None,
        on_bytes: Callable[[], None] | None = None,
        on_lost: Callable[[], None] | None = None,
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.is_lost = False
        self._on_made = on_made
        self._on_bytes = on_bytes
        self._on_lost = on_lost
        self._other: StreamEnd | None = None
        self._has_ended = False
        self._has_finished = False

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be sent."""
        return not self.is_lost and not self.transport.is_closing()

    @property
    def peer(self) -> Address:
        """Address of the other side of the connection."""
        return Address(*self.transport.get_extra_info("peername")[:2])

    def watch(
        self,
        on_bytes: Callable[[], None] | None = None,
        on_lost: Callable[[], None] | None = None,
    ) -> None:
        """Replace what is called."""
        self._on_bytes = on_bytes
        self._on_lost = on_lost

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and set the options of the connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        _set_options(transport, _KEEPALIVE)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, or keep them until the end is spliced."""
        if self._other is not None:
            self._feed(data)
            return
        self.received += data
        if self._on_bytes is not None:
            self._on_bytes()
        if self._other is None and len(self.received) >= MAX_EARLY_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Pass the half-close on; the other direction stays open."""
        self._has_ended = True
        if self._other is not None:
            self._other.finish()
        if self._has_finished:
            self.close()
        return True

    def pause_writing(self) -> None:
        """Stop the other end's reading while this one has no room."""
        if self._other is not None and self._other.is_open:
            self._other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Let the other end read on."""
        if self._other is not None and self._other.is_open:
            self._other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Reset the other end, unless the stream is over."""
        self.is_lost = True
        other = self._other
        if other is not None and not other.is_lost:
            is_over = self._has_ended and self._has_finished and error is None
            other.close() if is_over else other.abort()
        if self._on_lost is not None:
            self._on_lost()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes."""
        if self.is_open:
            self.transport.write(data)

    def splice(self, other: StreamEnd) -> None:
        """Let the bytes of each end go to the other from now on."""
        is_ready = self.prepare() and other.prepare()
        if not is_ready or not self.is_open or not other.is_open:
            self.abort()
            other.abort()
            return
        self._other = other
        other._other = self
        self._release()
        other._release()

    def prepare(self) -> bool:
        """Make the end ready for bytes; False if it can't be."""
        return True

    def finish(self) -> None:
        """Half-close: nothing more is sent."""
        if not self.is_open or self._has_finished:
            return
        self._has_finished = True
        self.transport.write_eof()
        if self._has_ended:
            self.close()

    def close(self) -> None:
        """Close once everything is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection at once."""
        if self.is_lost or self.transport is None:
            return
        _set_options(self.transport, _RESET)
        self.transport.abort()

    def _release(self) -> None:
        if not self.is_open:
            return
        received = bytes(self.received)
        self.received.clear()
        if received:
            self._feed(received)
        self.transport.resume_reading()
        if self._has_ended:
            self._other.finish()

    def _feed(self, data: bytes) -> None:
        self._other.write(data)


class LinkEnd(StreamEnd):
    """An end of a connection between an entry host and an agent.

    Bytes travel in chunks behind their length, and an empty chunk is the
    half-close. A process that dies closes its connections just as one that
    has finished: without the empty chunk that is a reset, so that nobody
    takes half of an upload or a download for the whole. With keys each chunk
    is a sealed record, and one that does not open resets the stream.
    """

    __slots__ = (
        "sealer",
        "counters",
        "_records",
        "_is_opener",
        "_stream_sealer",
        "_part",
        "_left",
        "_length",
    )

    def __init__(
        self,
        on_made: Callable[[StreamEnd], None] | None = None,
        on_bytes: Callable[[], None] | None = None,
        on_lost: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(on_made, on_bytes, on_lost)
        self.sealer: Sealer | None = None
        self.counters = Counter[str]()
        self._records: list[bytes] = []
        self._is_opener = False
        self._stream_sealer: StreamSealer | None = None
        self._part = bytearray()
        self._left = 0
        self._length = bytearray()

    def secure(self, sealer: Sealer | None, counters: Counter[str]) -> None:
        """Seal records and bytes, where there are keys, and count forgeries."""
        self.sealer = sealer
        self.counters = counters

    def eof_received(self) -> bool:
        """Reset the stream if the other process has not finished it."""
        if not self._has_ended:
            self.abort()
        return True

    def write(self, data: bytes) -> None:
        """Send bytes as chunks."""
        if not self.is_open or not data:
            return
        if self._stream_sealer is None:
            self._send_chunk(data)
            return
        view = memoryview(data)
        for start in range(0, len(view), MAX_PLAIN_BYTES):
            plain = view[start : start + MAX_PLAIN_BYTES]
            self._send_chunk(self._stream_sealer.seal(plain))

    def send(self, message: StreamMessage) -> None:
        """Send a framed record, sealed where there are keys."""
        frame = encode(message)
        if self.sealer is not None:
            frame = self.sealer.seal(frame)
            self._is_opener = not self._records
            self._records.append(frame[:HEADER_BYTES])
        self.write(frame)

    def take_message(self, peer: str) -> StreamMessage | Malformed | None:
        """Take a framed record off what was received; None if not yet whole."""
        size = int.from_bytes(self.received[:LENGTH_BYTES], "big")
        if size > MAX_STREAM_FRAME_BYTES:
            return Malformed("take_message", peer, f"{size} bytes")
        end = LENGTH_BYTES + size
        if len(self.received) < max(end, LENGTH_BYTES + 1):
            return None
        frame = bytes(self.received[LENGTH_BYTES:end])
        del self.received[:end]
        if self.sealer is None:
            return decode_stream(frame, peer)
        opened = self.sealer.open(frame)
        if isinstance(opened, SealProblem):
            return Malformed("take_message", peer, opened.value)
        self._records.append(frame[:HEADER_BYTES])
        return decode_stream(opened, peer)

    def prepare(self) -> bool:
        """Derive the keys of the stream from the records that opened it."""
        if self.sealer is None:
            return True
        opening, reply = self._records
        self._stream_sealer = derive_stream_sealer(
            self.sealer, opening, reply, self._is_opener
        )
        return self._stream_sealer is not None

    def finish(self) -> None:
        """Half-close: send the empty chunk."""
        if self.is_open and not self._has_finished:
            sealer = self._stream_sealer
            self._send_chunk(b"" if sealer is None else sealer.seal(b""))
        super().finish()

    def _send_chunk(self, chunk: bytes) -> None:
        self.transport.write(len(chunk).to_bytes(LENGTH_BYTES, "big"))
        if chunk:
            self.transport.write(chunk)

    def _feed(self, data: bytes) -> None:
        if self._stream_sealer is not None:
            self._feed_sealed(data)
            return
        rest = memoryview(data)
        while rest and not self._has_ended:
            if self._left:
                chunk = rest[: self._left]
                self._other.write(chunk)
                self._left -= len(chunk)
                rest = rest[len(chunk) :]
                continue
            missing = LENGTH_BYTES - len(self._length)
            self._length += rest[:missing]
            rest = rest[missing:]
            if len(self._length) < LENGTH_BYTES:
                return
            self._left = int.from_bytes(self._length, "big")
            self._length.clear()
            if not self._left:
                self._end()

    def _feed_sealed(self, data: bytes) -> None:
        """Open the whole records in what has come; keep the rest for later."""
        if self._part:
            self._part += data
            if len(self._part) < self._left:
                return
            data = self._part
        rest = memoryview(data)
        self._left = LENGTH_BYTES
        while len(rest) >= LENGTH_BYTES and not self._has_ended:
            size = int.from_bytes(rest[:LENGTH_BYTES], "big")
            if size > MAX_SEALED_BYTES:
                self._reject()
                return
            end = LENGTH_BYTES + size
            if len(rest) < end:
                self._left = end
                break
            plain = self._stream_sealer.open(rest[LENGTH_BYTES:end])
            if plain is None:
                self._reject()
                return
            rest = rest[end:]
            self._left = LENGTH_BYTES
            if plain:
                self._other.write(plain)
                continue
            self._end()
        self._part = bytearray(rest)

    def _reject(self) -> None:
        """Reset a stream whose bytes are not what the other process sent."""
        self.counters["dropped_seal_stream"] += 1
        self._part = bytearray()
        self.abort()

    def _end(self) -> None:
        self._has_ended = True
        self._other.finish()
        if self._has_finished:
            self.close()


_KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
_RESET = ((socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),)

Options = tuple[tuple[int, int, int | bytes], ...]


def _set_options(transport: asyncio.Transport, options: Options) -> None:
    """Set options of a connection; the loop's own socket object sets none."""
    held = transport.get_extra_info("socket")
    try:
        sock = socket.socket(fileno=os.dup(held.fileno()))
    except OSError:
        return
    with sock:
        for level, name, value in options:
            try:
                sock.setsockopt(level, name, value)
            except OSError:
                return


class Listener:
    """A listening socket whose connections become stream ends.

    The address is bound at once; connections are accepted as soon as the
    loop runs.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 takes a free one.
    on_made : callable
        Called with each new end.
    end_type : type
        What the ends are.
    """

    def __init__(
        self,
        address: Address,
        on_made: Callable[[StreamEnd], None],
        end_type: type[StreamEnd] = StreamEnd,
    ) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        self.address = Address(*sock.getsockname()[:2])
        self._socket = sock
        self._server: asyncio.Server | None = None
        self._on_made = on_made
        self._end_type = end_type
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def close(self) -> None:
        """Stop listening; connections that were accepted go on."""
        self._task.cancel()
        if self._server is not None:
            self._server.close()
        self._socket.close()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._end_type(self._on_made), sock=self._socket
        )
