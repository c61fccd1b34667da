"""The format of the log file and of its sync mark.

The log file is a sequence of frames; it is only appended to or replaced as a
whole. The mark is a small second file, synced after the log file, that records
up to which byte the log file has been synced. A torn tail after the mark was
never acknowledged and is cut off; damage before the mark has lost acknowledged
data.
"""

from __future__ import annotations

import struct

import msgspec
from xxhash import xxh3_64_intdigest

from fulmarshore.core.codec import encode
from fulmarshore.core.ranges import DECODE_ERRORS
from fulmarshore.core.records import (
    DamagedFile,
    DiskRecord,
    FileHeader,
    LogBase,
    LogEntry,
    Recovered,
    Snapshot,
    TermVote,
    Truncation,
)

LOG_FILE = "log"
MARK_FILE = "mark"
MAX_RECORD_BYTES = 256 * 1024 * 1024
MARK_SLOT_BYTES = 512
"""Offset between the two slots of the mark, which are written alternately."""

_STEP = "read_log"
_FRAME = struct.Struct("<IQ")
_MARK = struct.Struct("<QQQ")
_decoder = msgspec.msgpack.Decoder(DiskRecord)


def encode_record(record: DiskRecord) -> bytes:
    """Return a record as a frame: length, checksum, content."""
    content = encode(record)
    length = len(content).to_bytes(4, "little")
    return _FRAME.pack(len(content), xxh3_64_intdigest(length + content)) + content


def encode_mark(generation: int, size: int) -> bytes:
    """Return the content of one slot of the mark file."""
    checksum = xxh3_64_intdigest(struct.pack("<QQ", generation, size))
    return _MARK.pack(generation, size, checksum)


def read_mark(content: bytes) -> tuple[int, int] | None:
    """Return generation and synced bytes of the newest valid slot, or None."""
    found = []
    for offset in (0, MARK_SLOT_BYTES):
        slot = content[offset : offset + _MARK.size]
        if len(slot) < _MARK.size:
            continue
        generation, size, checksum = _MARK.unpack(slot)
        if checksum != xxh3_64_intdigest(slot[:16]):
            continue
        found.append((generation, size))
    return max(found, default=None)


def read_log(
    content: bytes, mark: tuple[int, int] | None, host: str
) -> Recovered | DamagedFile:
    """Read a log file.

    Parameters
    ----------
    content : bytes
        The whole file.
    mark : tuple of int or None
        Generation and synced bytes, from ``read_mark``.
    host : str
        Name of the control host, for the error.

    Returns
    -------
    outcome : Recovered or DamagedFile
        The content of the file, or the offset from which synced data is lost.
    """
    records, end, problem = _read_frames(content)
    if mark is None:
        return DamagedFile(_STEP, host, MARK_FILE, 0, "no valid slot")
    generation, synced = mark
    if not records or not isinstance(records[0], FileHeader):
        return DamagedFile(_STEP, host, LOG_FILE, 0, problem or "no header")
    if records[0].generation > generation:
        # A replacement file is synced before it is renamed into place, and
        # nothing is appended until the mark is updated: all of it is synced.
        synced = len(content)
    elif records[0].generation < generation:
        return DamagedFile(_STEP, host, LOG_FILE, 0, "older than the mark")
    if end < synced:
        detail = problem or f"{len(content)} bytes, {synced} were synced"
        return DamagedFile(_STEP, host, LOG_FILE, end, detail)
    return _replay(records, end, len(content) - end, host)


def _read_frames(content: bytes) -> tuple[list[DiskRecord], int, str]:
    """Return the valid records, the offset after them, and why reading stopped."""
    records: list[DiskRecord] = []
    offset = 0
    while offset < len(content):
        start = offset + _FRAME.size
        if start > len(content):
            return records, offset, "frame is cut short"
        length, checksum = _FRAME.unpack_from(content, offset)
        if length > MAX_RECORD_BYTES or start + length > len(content):
            return records, offset, "frame is cut short"
        body = content[start : start + length]
        if xxh3_64_intdigest(content[offset : offset + 4] + body) != checksum:
            return records, offset, "checksum differs"
        try:
            records.append(_decoder.decode(body))
        except DECODE_ERRORS as error:
            return records, offset, str(error)
        offset = start + length
    return records, offset, ""


def _replay(
    records: list[DiskRecord], size: int, cut: int, host: str
) -> Recovered | DamagedFile:
    header = records[0]
    term_vote = TermVote("", 0, None)
    base = LogBase(0, 0)
    snapshot = None
    entries: list[LogEntry] = []
    for record in records[1:]:
        match record:
            case TermVote():
                term_vote = record
            case LogBase():
                base = record
            case Snapshot():
                snapshot = record
            case LogEntry():
                if record.index != base.index + len(entries) + 1:
                    detail = f"entry {record.index} out of order"
                    return DamagedFile(_STEP, host, LOG_FILE, size, detail)
                entries.append(record)
            case Truncation(index=index):
                del entries[max(0, index - base.index - 1) :]
    return Recovered(
        header.replica,
        header.generation,
        term_vote,
        base,
        snapshot,
        entries,
        size,
        cut,
    )
