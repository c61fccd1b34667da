"""The file in which a control host stores the register of kept flows.

It may be lost, torn or outdated. Whatever is not certain to be valid is ignored.
"""

from __future__ import annotations

from struct import Struct as Layout
from struct import error as LayoutError

import msgspec
from msgspec import Struct
from xxhash import xxh3_64_intdigest

from fulmarshore.core.ranges import DECODE_ERRORS, Number, Text
from fulmarshore.direct.records import FlowKey, Position

FILE_NAME = "keptflows"
FILE_RETENTION_S = 60.0
"""A file older than this has no record that is still valid."""

_HEADER = Layout(">4sHdQ")
"""Magic number, version, time of writing in seconds since the epoch, checksum."""
_MAGIC = b"FKFL"
_VERSION = 1


class StoredGroup(Struct, frozen=True, array_like=True):
    """Records of one incarnation.

    Parameters
    ----------
    host, incarnation : str
        The agent's host, and the incarnation of the upstream that holds the flows.
    flows : list of tuple
        Key, position, process, and age in seconds of each record.
    """

    host: Text
    incarnation: Text
    flows: list[tuple[FlowKey, Position, Number, float]]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[StoredGroup])


def encode_file(groups: list[StoredGroup], written_at: float) -> bytes:
    """Return the content of the file; ``written_at`` is in seconds since the epoch."""
    content = _encoder.encode(groups)
    checksum = _compute_checksum(content, written_at)
    return _HEADER.pack(_MAGIC, _VERSION, written_at, checksum) + content


def decode_file(file_content: bytes, read_at: float) -> list[StoredGroup]:
    """Return the records of a file, with their ages at ``read_at``.

    Raises
    ------
    ValueError
        If the file is damaged, of another version, too old, or from the future, as
        its age is then not known.
    """
    try:
        magic, version, written_at, checksum = _HEADER.unpack_from(file_content)
    except LayoutError as error:
        raise ValueError(f"header is incomplete: {error}") from error
    content = file_content[_HEADER.size :]
    if magic != _MAGIC or checksum != _compute_checksum(content, written_at):
        raise ValueError("checksum does not match")
    if version != _VERSION:
        raise ValueError(f"version {version} is not known")
    age_s = read_at - written_at
    if not 0 <= age_s <= FILE_RETENTION_S:
        raise ValueError(f"written {age_s:.1f} s ago")
    try:
        groups = _decoder.decode(content)
    except DECODE_ERRORS as error:
        raise ValueError(f"records are not valid: {error}") from error
    return [
        StoredGroup(
            group.host,
            group.incarnation,
            [(*record[:3], max(0.0, record[3]) + age_s) for record in group.flows],
        )
        for group in groups
    ]


def _compute_checksum(content: bytes, written_at: float) -> int:
    return xxh3_64_intdigest(repr(written_at).encode() + content)
