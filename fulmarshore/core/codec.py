"""Encoding and decoding of messages between our processes and to disk."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec.structs import replace

from fulmarshore.core.hashing import FLOW_BYTES
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
PREPARED_LENGTHS = 2048
"""Payloads shorter than this are joined to a head without the encoder."""

_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode

_data_decoder = msgspec.msgpack.Decoder(DataMessage)
decode_data_frame = _data_decoder.decode
"""Decodes a datagram that a socket has bounded; raises ``DECODE_ERRORS``."""
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
_control_decoder = msgspec.msgpack.Decoder(ControlMessage)
_stream_decoder = msgspec.msgpack.Decoder(StreamMessage)
_request_decoder = msgspec.msgpack.Decoder(RequestMessage)
_command_decoder = msgspec.msgpack.Decoder(Command)


def encode_length(size: int) -> bytes:
    """Return what the codec puts in front of that many bytes."""
    return encode(bytes(size))[: -size or None]


LENGTHS = tuple(encode_length(size) for size in range(PREPARED_LENGTHS))


def encode_head(message: Forward | Answer) -> bytes:
    """Encode a message without its payload, its last field.

    The head, the entry of ``LENGTHS`` for a payload and the payload, joined,
    are the encoded message with that payload.
    """
    assert not message.payload, "the payload comes later"
    return encode(message).removesuffix(LENGTHS[0])


def find_flow(message: Forward | Answer) -> int:
    """Return where the key of the flow stands in an encoded message.

    Messages that differ only in what stands behind it have it at the same place.
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
        The message, or what is wrong with the frame.
    """
    if len(frame) > MAX_DATAGRAM_BYTES:
        return Malformed("decode_data", peer, f"{len(frame)} bytes")
    try:
        return _data_decoder.decode(frame)
    except DECODE_ERRORS as error:
        return Malformed("decode_data", peer, str(error))


def decode_stream(frame: bytes, peer: str) -> StreamMessage | Malformed:
    """Decode a record in front of the bytes of a stream."""
    return _decode(
        _stream_decoder, frame, MAX_STREAM_FRAME_BYTES, "decode_stream", peer
    )


def decode_control(frame: bytes, peer: str) -> ControlMessage | Malformed:
    """Decode a frame of a control link."""
    return _decode(
        _control_decoder, frame, MAX_LINK_FRAME_BYTES, "decode_control", peer
    )


def decode_request(frame: bytes, peer: str) -> RequestMessage | Malformed:
    """Decode the record that a caller or an upstream states in front of a body."""
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
