"""MessagePack encoding and decoding of records for the network and the disk."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec.structs import replace

from fulmarshore.core.hashing import FLOW_BYTES
from fulmarshore.core.ranges import DECODE_ERRORS
from fulmarshore.core.records import (
    Answer,
    Command,
    ControlMessage,
    DataMessage,
    Forward,
    Malformed,
    RequestMessage,
    StreamMessage,
)

MAX_DATAGRAM_BYTES = 65_507
MAX_LINK_FRAME_BYTES = 16 * 1024 * 1024
MAX_STREAM_FRAME_BYTES = 4096
BIN_HEADER_COUNT = 2048
"""Number of precomputed headers; longer payloads go through the encoder."""

_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode

_data_decoder = msgspec.msgpack.Decoder(DataMessage)
decode_data_frame = _data_decoder.decode
"""Decodes a datagram without a size check; raises ``DECODE_ERRORS``.

For datagrams from a socket, whose size is bounded already.
"""
_control_decoder = msgspec.msgpack.Decoder(ControlMessage)
_stream_decoder = msgspec.msgpack.Decoder(StreamMessage)
_request_decoder = msgspec.msgpack.Decoder(RequestMessage)
_command_decoder = msgspec.msgpack.Decoder(Command)


def encode_bin_header(size: int) -> bytes:
    """Return the MessagePack header of a ``bin`` value of ``size`` bytes."""
    return encode(bytes(size))[: -size or None]


BIN_HEADERS = tuple(encode_bin_header(size) for size in range(BIN_HEADER_COUNT))


def encode_head(message: Forward | Answer) -> bytes:
    """Encode a message up to its payload, which is the last field.

    The encoded message with a payload is the head, followed by
    ``BIN_HEADERS[len(payload)]`` and the payload. This saves encoding the
    same head for each packet of a flow.
    """
    assert not message.payload, "payload must be empty to encode the head"
    return encode(message).removesuffix(BIN_HEADERS[0])


def find_flow_offset(message: Forward | Answer) -> int:
    """Return the byte offset of the flow key in an encoded message.

    It depends only on the fields before the key, so that it is the same for
    all messages that differ in the key or in later fields alone.
    """
    zeros, ones = (
        encode(replace(message, flow=bytes([fill]) * FLOW_BYTES)) for fill in (0, 1)
    )
    return next(at for at, byte in enumerate(zeros) if byte != ones[at])


def decode_data(frame: bytes, peer: str) -> DataMessage | Malformed:
    """Decode a datagram of the data path.

    Parameters
    ----------
    frame : bytes
        The datagram as received.
    peer : str
        The sender, for the error.

    Returns
    -------
    message : DataMessage or Malformed
        The message, or why the frame was rejected.
    """
    if len(frame) > MAX_DATAGRAM_BYTES:
        return Malformed(
            "decode_data", peer, f"{len(frame)} bytes, longer than a UDP datagram"
        )
    try:
        return _data_decoder.decode(frame)
    except DECODE_ERRORS as error:
        return Malformed("decode_data", peer, str(error))


def decode_stream(frame: bytes, peer: str) -> StreamMessage | Malformed:
    """Decode a record that precedes the bytes of a stream."""
    return _decode(
        _stream_decoder, frame, MAX_STREAM_FRAME_BYTES, "decode_stream", peer
    )


def decode_control(frame: bytes, peer: str) -> ControlMessage | Malformed:
    """Decode a frame received on a control link."""
    return _decode(
        _control_decoder, frame, MAX_LINK_FRAME_BYTES, "decode_control", peer
    )


def decode_request(frame: bytes, peer: str) -> RequestMessage | Malformed:
    """Decode a request of a caller or a response of an upstream."""
    return _decode(_request_decoder, frame, MAX_DATAGRAM_BYTES, "decode_request", peer)


def decode_command(frame: bytes, peer: str) -> Command | Malformed:
    """Decode a command of the replicated log."""
    return _decode(
        _command_decoder, frame, MAX_LINK_FRAME_BYTES, "decode_command", peer
    )


def _decode(
    decoder: msgspec.msgpack.Decoder[Any],
    frame: bytes,
    limit: int,
    step: str,
    peer: str,
) -> Any:
    if len(frame) > limit:
        return Malformed(step, peer, f"{len(frame)} bytes, allowed are {limit}")
    try:
        return decoder.decode(frame)
    except DECODE_ERRORS as error:
        return Malformed(step, peer, str(error))
