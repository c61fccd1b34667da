"""Log replication: entries and heartbeats, on the leader and on followers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import joining, snapshots, transfer
from fulmarshore.agreement.progress import (
    HEARTBEAT_INTERVAL_S,
    MIN_ELECTION_TIMEOUT_S,
    OwnEntriesSynced,
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
"""Largest number of entries in one message."""
MAX_ENTRIES_BYTES = 32 * 1024
"""Largest total size of configurations in one message, unless the first alone is
larger. A message that spans many datagrams is lost if any of them is."""


def become_leader(replica: Replica, now: float) -> None:
    """Become the leader of the current term and append an empty entry."""
    assert replica.is_voter, "only a voter becomes leader"
    replica.record_term_leader(replica.identity)
    replica.role = Role.LEADER
    replica.leader = replica.identity
    replica.heartbeat_round = 0
    replica.lost_round = 0
    replica.record_event("leader_elected", detail=f"term {replica.term}")
    replica.progress = {}
    for voter in replica.all_voters:
        replica.progress[voter] = Progress(replica.log.last_index + 1, now)
    append_command(replica, Noop())
    broadcast_heartbeat(replica, now)


def append_command(replica: Replica, command: Command) -> LogEntry:
    """Append a command to the leader's own log."""
    entry = LogEntry(replica.log.last_index + 1, replica.term, command)
    replica.append(entry)
    replica.emit_when_synced(OwnEntriesSynced(replica.term, entry.index))
    return entry


def tick_leader(replica: Replica, now: float) -> None:
    """Send heartbeats; step down after losing contact with a quorum."""
    if not _is_in_contact(replica, now):
        replica.counters["stepped_down_no_majority"] += 1
        replica.step_down(replica.term)
        return
    transfer.tick_leader(replica, now)
    if replica.transfer is None:
        joining.tick_leader(replica, now)
    if now - replica.last_heartbeat_at >= HEARTBEAT_INTERVAL_S:
        broadcast_heartbeat(replica, now)


def send_new_entries(replica: Replica, now: float) -> None:
    """Send entries to every replica that has no unanswered message."""
    for target, progress in list(replica.progress.items()):
        if target == replica.identity or progress.is_awaiting_reply:
            continue
        _send(replica, target, progress)


def _is_in_contact(replica: Replica, now: float) -> bool:
    """Return whether a quorum, this replica included, was in contact lately."""
    members = {replica.identity}
    for identity, progress in replica.progress.items():
        if now - progress.last_contact <= MIN_ELECTION_TIMEOUT_S:
            members.add(identity)
    return replica.has_quorum(members, members, replica.lost_voters)


def handle_append_request(
    replica: Replica, peer: str, request: AppendRequest, now: float
) -> None:
    """Append the leader's entries if the previous entry matches, and reply."""
    if request.term < replica.term:
        _reply(replica, peer, False, replica.log.last_index, request.heartbeat_round)
        return
    if request.term > replica.term:
        replica.step_down(request.term)
    replica.follow(request.sender, now)
    _update_freshness(replica, request)
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
        _store_entry(replica, entry)
    match = previous + len(request.entries)
    replica.advance_commit(max(replica.commit, min(request.commit, match)))
    if not replica.is_caught_up and replica.commit >= request.commit:
        replica.is_caught_up = True
        replica.record_event(
            "replica_in_step", request.sender.name, f"index {replica.commit}"
        )
    _reply(replica, peer, True, match, request.heartbeat_round)


def handle_reply(replica: Replica, reply: AppendReply, now: float) -> None:
    """Update a replica's progress from its reply and send what comes next."""
    if reply.term > replica.term:
        replica.step_down(reply.term)
        return
    progress = record_contact(
        replica, reply.sender, reply.term, reply.heartbeat_round, now
    )
    if progress is None:
        return
    if not reply.success:
        progress.next_index = max(progress.match, reply.match) + 1
        progress.next_index = min(progress.next_index, replica.log.last_index + 1)
        _send(replica, reply.sender, progress)
        return
    if reply.match > replica.log.last_index:
        # No replica matches beyond the leader's log.
        replica.counters["replies_out_of_range"] += 1
        return
    progress.has_match = True
    progress.match = max(progress.match, reply.match)
    progress.next_index = progress.match + 1
    _advance_commit(replica, now)
    transfer.try_complete(replica)
    if progress.next_index <= replica.log.last_index and not progress.is_awaiting_reply:
        _send(replica, reply.sender, progress)


def record_contact(
    replica: Replica, sender: ReplicaId, term: int, heartbeat_round: int, now: float
) -> Progress | None:
    """Record a reply of this term; return the replica's progress, or None.

    Freshness advances to the newest heartbeat round that a quorum answered.
    """
    progress = replica.progress.get(sender)
    if not replica.is_leader or term != replica.term or progress is None:
        return None
    progress.last_contact = now
    progress.is_awaiting_reply = False
    progress.heartbeat_round = max(progress.heartbeat_round, heartbeat_round)
    renew_freshness(replica, _find_quorum_round(replica))
    return progress


def _find_quorum_round(replica: Replica) -> int:
    """Return the newest heartbeat round that a quorum answered, or 0."""
    rounds = {
        identity: progress.heartbeat_round
        for identity, progress in replica.progress.items()
    }
    rounds[replica.identity] = replica.heartbeat_round
    for newest in sorted(set(rounds.values()), reverse=True):
        members = {identity for identity, held in rounds.items() if held >= newest}
        confirmed = members if newest > replica.lost_round else ()
        if replica.has_quorum(members, confirmed, replica.lost_voters):
            return newest
    return 0


def renew_freshness(replica: Replica, stamp: int) -> None:
    """Advance the freshness stamp, unless the stamp is not newer."""
    current = (replica.freshness.term, replica.freshness.stamp)
    if stamp and (replica.term, stamp) > current:
        replica.freshness = Freshness(replica.term, stamp)


def handle_synced(replica: Replica, term: int, index: int, now: float) -> None:
    """Count the leader's own entries up to an index, which are now synced."""
    if not replica.is_leader or replica.term != term:
        return
    progress = replica.progress[replica.identity]
    progress.match = max(progress.match, index)
    _advance_commit(replica, now)


def broadcast_heartbeat(replica: Replica, now: float) -> None:
    """Start a heartbeat round: send a heartbeat and pending entries to everyone."""
    replica.heartbeat_round += 1
    replica.last_heartbeat_at = now
    if replica.current_voters == [replica.identity]:
        renew_freshness(replica, replica.heartbeat_round)
    for target, progress in list(replica.progress.items()):
        if target == replica.identity:
            continue
        _send(replica, target, progress)


def _send(replica: Replica, target: ReplicaId, progress: Progress) -> None:
    progress.is_awaiting_reply = True
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
        _select_entries(replica, progress.next_index),
        replica.commit,
        replica.freshness.stamp if replica.freshness.term == replica.term else 0,
        replica.heartbeat_round,
    )
    replica.emit(SendLink(target.name, request))


def _select_entries(replica: Replica, index: int) -> list[LogEntry]:
    """Return the entries for one message, within the size limits."""
    entries = []
    size = 0
    for entry in replica.log.list_from(index, MAX_ENTRIES):
        if isinstance(entry.command, PutConfiguration):
            size += len(entry.command.content)
        if entries and size > MAX_ENTRIES_BYTES:
            break
        entries.append(entry)
    return entries


def _advance_commit(replica: Replica, now: float) -> None:
    """Commit what a quorum has synced.

    An entry of an earlier term is committed only by a later one of the current
    term (section 5.4.2 of the Raft paper).
    """
    index = _find_quorum_match(replica)
    if index <= replica.commit or replica.log.find_term(index) != replica.term:
        return
    replica.advance_commit(index)
    if not replica.is_voter:
        replica.step_down(replica.term)
        return
    joining.confirm_change(replica)
    send_new_entries(replica, now)


def _find_quorum_match(replica: Replica) -> int:
    """Return the newest index that a quorum has synced, or the commit index."""
    matches = {
        identity: progress.match for identity, progress in replica.progress.items()
    }
    for index in sorted(set(matches.values()), reverse=True):
        if index <= replica.commit:
            break
        members = {identity for identity, match in matches.items() if match >= index}
        confirmed = {
            identity for identity in members if _knows_of_losses(replica, identity)
        }
        if replica.has_quorum(members, confirmed, replica.lost_voters):
            return index
    return replica.commit


def _knows_of_losses(replica: Replica, identity: ReplicaId) -> bool:
    """Return whether a replica answered after this leader knew of all lost disks."""
    if identity == replica.identity:
        return True
    return replica.progress[identity].heartbeat_round > replica.lost_round


def _store_entry(replica: Replica, entry: LogEntry) -> None:
    log = replica.log
    if entry.index <= log.base.index:
        return
    if entry.index <= log.last_index:
        if log.find_term(entry.index) == entry.term:
            return
        replica.truncate(entry.index)
    replica.append(entry)


def _update_freshness(replica: Replica, request: AppendRequest) -> None:
    current = (replica.freshness.term, replica.freshness.stamp)
    if request.stamp and (request.term, request.stamp) > current:
        replica.freshness = Freshness(request.term, request.stamp)


def _reply(
    replica: Replica, peer: str, success: bool, match: int, heartbeat_round: int
) -> None:
    reply = AppendReply(
        replica.group, replica.identity, replica.term, success, match, heartbeat_round
    )
    replica.emit_when_synced(SendLink(peer, reply))
