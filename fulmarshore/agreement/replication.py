"""Replication: the leader's entries and heartbeats, and the followers' part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import joining, snapshots, transfer
from fulmarshore.agreement.progress import (
    BEAT_INTERVAL_S,
    MIN_ELECTION_TIMEOUT_S,
    OwnEntries,
    Progress,
    Role,
)
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    Command,
    Freshness,
    LogEntry,
    Noop,
    PutConfiguration,
    ReplicaId,
    SendLink,
)

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

MAX_ENTRIES = 256
"""Entries in one message."""
MAX_ENTRIES_BYTES = 32 * 1024
"""Configurations in one message, unless the first one alone is larger: a
message of many datagrams is whole only if none of them is lost."""


def start_leading(replica: Replica, now: float) -> None:
    """Take up the lead of the current term with an empty entry."""
    assert replica.is_voter, "only a voter leads"
    replica.claim_term(replica.identity)
    replica.role = Role.LEADER
    replica.leader = replica.identity
    replica.heartbeat_round = 0
    replica.note("leader_elected", detail=f"term {replica.term}")
    replica.progress = {}
    for voter in replica.current_voters:
        progress = Progress(replica.log.last_index + 1, now)
        replica.progress[voter] = progress
    append_command(replica, Noop())
    broadcast(replica, now)


def append_command(replica: Replica, command: Command) -> LogEntry:
    """Append a command to the leader's own log."""
    entry = LogEntry(replica.log.last_index + 1, replica.term, command)
    replica.append(entry)
    replica.emit_stored(OwnEntries(replica.term, entry.index))
    return entry


def tick_leader(replica: Replica, now: float) -> None:
    """Send heartbeats; step down when no majority has been heard of."""
    if now - find_majority_heard(replica, now) > MIN_ELECTION_TIMEOUT_S:
        replica.counters["stepped_down_no_majority"] += 1
        replica.step_down(replica.term)
        return
    transfer.tick_leader(replica, now)
    if replica.transfer is None:
        joining.tick_leader(replica, now)
    if now - replica.beat_at >= BEAT_INTERVAL_S:
        broadcast(replica, now)


def send_news(replica: Replica, now: float) -> None:
    """Send to everybody who is not still busy with earlier entries."""
    for target, progress in list(replica.progress.items()):
        if target == replica.identity or progress.waiting:
            continue
        _send(replica, target, progress)


def find_majority_heard(replica: Replica, now: float) -> float:
    """Return when a majority was last heard of, this replica included."""
    times = []
    for voter in replica.current_voters:
        if voter == replica.identity:
            times.append(now)
            continue
        progress = replica.progress.get(voter)
        times.append(progress.heard_at if progress else float("-inf"))
    return sorted(times, reverse=True)[replica.majority - 1]


def take_entries(
    replica: Replica, peer: str, request: AppendRequest, now: float
) -> None:
    """Take the leader's entries as far as they follow on what is held."""
    if request.term < replica.term:
        _reply(replica, peer, False, replica.log.last_index, request.heartbeat_round)
        return
    if request.term > replica.term:
        replica.step_down(request.term)
    replica.follow(request.sender, now)
    _take_stamp(replica, request)
    log = replica.log
    previous = request.previous_index
    if previous > log.last_index:
        _reply(replica, peer, False, log.last_index, request.heartbeat_round)
        return
    if previous >= log.base.index and log.find_term(previous) != request.previous_term:
        assert previous > replica.commit, "a committed entry is never overwritten"
        _reply(replica, peer, False, replica.commit, request.heartbeat_round)
        return
    for entry in request.entries:
        _take_entry(replica, entry)
    match = previous + len(request.entries)
    replica.advance_commit(max(replica.commit, min(request.commit, match)))
    if not replica.is_in_step and replica.commit >= request.commit:
        replica.is_in_step = True
        replica.note("replica_in_step", request.sender.name, f"index {replica.commit}")
    _reply(replica, peer, True, match, request.heartbeat_round)


def take_reply(replica: Replica, reply: AppendReply, now: float) -> None:
    """Note how far another replica agrees, and go on from there."""
    if reply.term > replica.term:
        replica.step_down(reply.term)
        return
    progress = hear(replica, reply.sender, reply.term, reply.heartbeat_round, now)
    if progress is None:
        return
    if not reply.success:
        progress.next_index = max(progress.match, reply.match) + 1
        progress.next_index = min(progress.next_index, replica.log.last_index + 1)
        _send(replica, reply.sender, progress)
        return
    assert reply.match <= replica.log.last_index, "nobody is ahead of the leader"
    progress.is_known = True
    progress.match = max(progress.match, reply.match)
    progress.next_index = progress.match + 1
    _advance(replica, now)
    transfer.advance(replica)
    if progress.next_index <= replica.log.last_index and not progress.waiting:
        _send(replica, reply.sender, progress)


def hear(
    replica: Replica, sender: ReplicaId, term: int, heartbeat_round: int, now: float
) -> Progress | None:
    """Note that another replica answered in this term."""
    progress = replica.progress.get(sender)
    if not replica.is_leader or term != replica.term or progress is None:
        return None
    progress.heard_at = now
    progress.waiting = False
    progress.heartbeat_round = max(progress.heartbeat_round, heartbeat_round)
    beats = []
    for voter in replica.current_voters:
        if voter == replica.identity:
            beats.append(replica.heartbeat_round)
            continue
        held = replica.progress.get(voter)
        beats.append(held.heartbeat_round if held else 0)
    renew(replica, sorted(beats, reverse=True)[replica.majority - 1])
    return progress


def renew(replica: Replica, stamp: int) -> None:
    """Renew the stamp of freshness."""
    held = (replica.freshness.term, replica.freshness.stamp)
    if stamp and (replica.term, stamp) > held:
        replica.freshness = Freshness(replica.term, stamp)


def count_own(replica: Replica, term: int, index: int, now: float) -> None:
    """Count the leader's own entries, now that they are synced."""
    if not replica.is_leader or replica.term != term:
        return
    progress = replica.progress[replica.identity]
    progress.match = max(progress.match, index)
    _advance(replica, now)


def broadcast(replica: Replica, now: float) -> None:
    """Send a heartbeat to everybody, with the entries that are due."""
    replica.heartbeat_round += 1
    replica.beat_at = now
    if replica.current_voters == [replica.identity]:
        renew(replica, replica.heartbeat_round)
    for target, progress in list(replica.progress.items()):
        if target == replica.identity:
            continue
        _send(replica, target, progress)


def _send(replica: Replica, target: ReplicaId, progress: Progress) -> None:
    progress.waiting = True
    if progress.next_index <= replica.log.base.index:
        snapshots.send_chunk(replica, target, progress)
        return
    previous = progress.next_index - 1
    request = AppendRequest(
        replica.group,
        replica.identity,
        target,
        replica.term,
        previous,
        replica.log.find_term(previous),
        _list_entries(replica, progress.next_index),
        replica.commit,
        replica.freshness.stamp if replica.freshness.term == replica.term else 0,
        replica.heartbeat_round,
    )
    replica.emit(SendLink(target.name, request))


def _list_entries(replica: Replica, index: int) -> list[LogEntry]:
    """Return the entries of one message."""
    entries = []
    size = 0
    for entry in replica.log.list_from(index, MAX_ENTRIES):
        if isinstance(entry.command, PutConfiguration):
            size += len(entry.command.content)
        if entries and size > MAX_ENTRIES_BYTES:
            break
        entries.append(entry)
    return entries


def _advance(replica: Replica, now: float) -> None:
    """Commit what a majority has synced, if it is of this term."""
    matches = []
    for voter in replica.current_voters:
        progress = replica.progress.get(voter)
        matches.append(progress.match if progress else 0)
    index = sorted(matches, reverse=True)[replica.majority - 1]
    if index <= replica.commit or replica.log.find_term(index) != replica.term:
        return
    replica.advance_commit(index)
    if not replica.is_voter:
        replica.step_down(replica.term)
        return
    send_news(replica, now)


def _take_entry(replica: Replica, entry: LogEntry) -> None:
    log = replica.log
    if entry.index <= log.base.index:
        return
    if entry.index <= log.last_index:
        if log.find_term(entry.index) == entry.term:
            return
        replica.truncate(entry.index)
    replica.append(entry)


def _take_stamp(replica: Replica, request: AppendRequest) -> None:
    held = (replica.freshness.term, replica.freshness.stamp)
    if request.stamp and (request.term, request.stamp) > held:
        replica.freshness = Freshness(request.term, request.stamp)


def _reply(
    replica: Replica, peer: str, success: bool, match: int, heartbeat_round: int
) -> None:
    reply = AppendReply(
        replica.group, replica.identity, replica.term, success, match, heartbeat_round
    )
    replica.emit_stored(SendLink(peer, reply))
