"""Snapshots: taken by each replica, sent in chunks to one that lags far behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarshore.agreement import replication
from fulmarshore.agreement.progress import Progress
from fulmarshore.core.codec import encode
from fulmarshore.core.ranges import DECODE_ERRORS
from fulmarshore.core.records import (
    AppendReply,
    ChunkReply,
    ReplicaId,
    SendLink,
    Snapshot,
    SnapshotChunk,
)

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

CHUNK_BYTES = 64 * 1024

_decoder = msgspec.msgpack.Decoder(Snapshot)


class IncomingSnapshot:
    """A partially received snapshot of a leader's term."""

    __slots__ = ("term", "index", "data")

    def __init__(self, term: int, index: int) -> None:
        self.term = term
        self.index = index
        self.data = bytearray()


def compact(replica: Replica, state: bytes, retained_entries: int) -> None:
    """Take a snapshot at the last applied entry and drop older entries.

    ``retained_entries`` entries before it are kept, so that followers that lag a
    little need no snapshot.
    """
    index = replica.applied
    term = replica.log.find_term(index)
    replica.snapshot = Snapshot(index, term, replica.get_voters_at(index), state)
    replica.log.drop_until(max(replica.log.base.index, index - retained_entries))
    replica.counters["snapshots_taken"] += 1
    replica.rewrite_log_file()


def send_chunk(replica: Replica, target: ReplicaId, progress: Progress) -> None:
    """Send the next chunk of the snapshot to a replica."""
    snapshot = replica.snapshot
    assert snapshot is not None, "a compacted log has a snapshot"
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_offset = 0
    content = encode(snapshot)
    start = progress.snapshot_offset
    chunk = SnapshotChunk(
        replica.group,
        replica.identity,
        target,
        replica.term,
        snapshot.index,
        start,
        len(content),
        content[start : start + replica.chunk_bytes],
        replica.heartbeat_round,
    )
    replica.counters["snapshot_chunks_sent"] += 1
    replica.emit(SendLink(target.name, chunk))


def handle_chunk(replica: Replica, peer: str, chunk: SnapshotChunk, now: float) -> None:
    """Append a chunk of a snapshot; install the snapshot once it is complete."""
    if chunk.term < replica.term:
        _reply(replica, peer, chunk, 0)
        return
    if chunk.term > replica.term:
        replica.step_down(chunk.term)
    replica.follow(chunk.sender, now)
    if chunk.index <= replica.commit:
        _reply_installed(replica, peer, chunk)
        return
    incoming = replica.incoming
    if incoming is None or (incoming.term, incoming.index) != (chunk.term, chunk.index):
        incoming = replica.incoming = IncomingSnapshot(chunk.term, chunk.index)
    if chunk.offset == len(incoming.data):
        incoming.data += chunk.data
    if len(incoming.data) < chunk.total:
        _reply(replica, peer, chunk, len(incoming.data))
        return
    replica.incoming = None
    try:
        snapshot = _decoder.decode(bytes(incoming.data))
    except DECODE_ERRORS:
        replica.counters["snapshots_malformed"] += 1
        _reply(replica, peer, chunk, 0)
        return
    replica.install_snapshot(snapshot)
    replica.counters["snapshots_installed"] += 1
    _reply_installed(replica, peer, chunk)


def handle_reply(replica: Replica, reply: ChunkReply, now: float) -> None:
    """Send the chunk after the offset that the receiver confirmed."""
    if reply.term > replica.term:
        replica.step_down(reply.term)
        return
    progress = replication.record_contact(
        replica, reply.sender, reply.term, reply.heartbeat_round, now
    )
    if progress is None or reply.index != progress.snapshot_index:
        return
    if progress.next_index > replica.log.base.index:
        return
    progress.snapshot_offset = reply.offset
    progress.is_awaiting_reply = True
    send_chunk(replica, reply.sender, progress)


def _reply(replica: Replica, peer: str, chunk: SnapshotChunk, offset: int) -> None:
    reply = ChunkReply(
        replica.group,
        replica.identity,
        replica.term,
        chunk.index,
        offset,
        chunk.heartbeat_round,
    )
    replica.emit_when_synced(SendLink(peer, reply))


def _reply_installed(replica: Replica, peer: str, chunk: SnapshotChunk) -> None:
    reply = AppendReply(
        replica.group,
        replica.identity,
        replica.term,
        True,
        chunk.index,
        chunk.heartbeat_round,
    )
    replica.emit_when_synced(SendLink(peer, reply))
