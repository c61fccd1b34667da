"""Framed connections between entry hosts and agents: messages, then stream data."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from fulmarshore.adapters.sealing import HEADER_BYTES, Sealer, SealProblem
from fulmarshore.adapters.streams import StreamConnection
from fulmarshore.adapters.streamseal import (
    MAX_PLAIN_BYTES,
    MAX_SEALED_BYTES,
    StreamSealer,
    derive_stream_sealer,
)
from fulmarshore.core.codec import MAX_STREAM_FRAME_BYTES, decode_stream, encode
from fulmarshore.core.records import Malformed, StreamMessage

LENGTH_BYTES = 4


class FramedConnection(StreamConnection):
    """A connection between an entry host and an agent that carries a stream.

    Data is sent in chunks with a length prefix, and an empty chunk is the
    half-close. The connections of a process that dies are closed like those of
    one that has finished. An end of file without the empty chunk therefore
    resets the stream, so that a truncated transfer is never taken for a complete
    one. With keys each chunk is a sealed record, and a record that fails
    authentication resets the stream.
    """

    __slots__ = (
        "sealer",
        "counters",
        "_record_headers",
        "_is_initiator",
        "_stream_sealer",
        "_partial_record",
        "_bytes_expected",
        "_length_prefix",
    )

    def __init__(
        self,
        on_connected: Callable[[StreamConnection], None] | None = None,
        on_data: Callable[[], None] | None = None,
        on_lost: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(on_connected, on_data, on_lost)
        self.sealer: Sealer | None = None
        self.counters = Counter[str]()
        self._record_headers: list[bytes] = []
        self._is_initiator = False
        self._stream_sealer: StreamSealer | None = None
        self._partial_record = bytearray()
        self._bytes_expected = 0
        self._length_prefix = bytearray()

    def secure(self, sealer: Sealer | None, counters: Counter[str]) -> None:
        """Set the sealer, None without keys, and the counter of forged records."""
        self.sealer = sealer
        self.counters = counters

    def eof_received(self) -> bool:
        """Reset the stream if the peer has not sent its half-close."""
        if not self._has_received_eof:
            self.abort()
        return True

    def write(self, data: bytes) -> None:
        """Send data as chunks, sealed if there are keys."""
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
        """Send a message in a frame, sealed if there are keys."""
        frame = encode(message)
        if self.sealer is not None:
            frame = self.sealer.seal(frame)
            self._is_initiator = not self._record_headers
            self._record_headers.append(frame[:HEADER_BYTES])
        self.write(frame)

    def read_message(self, peer: str) -> StreamMessage | Malformed | None:
        """Remove and return the next received message; None if it is incomplete."""
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
        self._record_headers.append(frame[:HEADER_BYTES])
        return decode_stream(opened, peer)

    def prepare(self) -> bool:
        """Derive the keys of the stream from the two messages that opened it."""
        if self.sealer is None:
            return True
        opening_header, reply_header = self._record_headers
        self._stream_sealer = derive_stream_sealer(
            self.sealer, opening_header, reply_header, self._is_initiator
        )
        return self._stream_sealer is not None

    def finish(self) -> None:
        """Half-close the stream by sending the empty chunk."""
        if self.is_open and not self._has_sent_eof:
            sealer = self._stream_sealer
            self._send_chunk(b"" if sealer is None else sealer.seal(b""))
        super().finish()

    def _send_chunk(self, chunk: bytes) -> None:
        self.transport.write(len(chunk).to_bytes(LENGTH_BYTES, "big"))
        if chunk:
            self.transport.write(chunk)

    def _forward(self, data: bytes) -> None:
        if self._stream_sealer is not None:
            self._forward_sealed(data)
            return
        remaining = memoryview(data)
        while remaining and not self._has_received_eof:
            if self._bytes_expected:
                chunk = remaining[: self._bytes_expected]
                self._other.write(chunk)
                self._bytes_expected -= len(chunk)
                remaining = remaining[len(chunk) :]
                continue
            missing = LENGTH_BYTES - len(self._length_prefix)
            self._length_prefix += remaining[:missing]
            remaining = remaining[missing:]
            if len(self._length_prefix) < LENGTH_BYTES:
                return
            self._bytes_expected = int.from_bytes(self._length_prefix, "big")
            self._length_prefix.clear()
            if not self._bytes_expected:
                self._handle_half_close()

    def _forward_sealed(self, data: bytes) -> None:
        """Open and forward the complete records; keep a partial one."""
        if self._partial_record:
            self._partial_record += data
            if len(self._partial_record) < self._bytes_expected:
                return
            data = self._partial_record
        remaining = memoryview(data)
        self._bytes_expected = LENGTH_BYTES
        while len(remaining) >= LENGTH_BYTES and not self._has_received_eof:
            size = int.from_bytes(remaining[:LENGTH_BYTES], "big")
            if size > MAX_SEALED_BYTES:
                self._reset_forged()
                return
            end = LENGTH_BYTES + size
            if len(remaining) < end:
                self._bytes_expected = end
                break
            plain = self._stream_sealer.open(remaining[LENGTH_BYTES:end])
            if plain is None:
                self._reset_forged()
                return
            remaining = remaining[end:]
            self._bytes_expected = LENGTH_BYTES
            if plain:
                self._other.write(plain)
                continue
            self._handle_half_close()
        self._partial_record = bytearray(remaining)

    def _reset_forged(self) -> None:
        """Reset a stream whose data fails authentication."""
        self.counters["dropped_seal_stream"] += 1
        self._partial_record = bytearray()
        self.abort()

    def _handle_half_close(self) -> None:
        self._has_received_eof = True
        self._other.finish()
        if self._has_sent_eof:
            self.close()
