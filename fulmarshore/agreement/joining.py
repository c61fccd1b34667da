"""Group bootstrap and changes of the voters.

Each disk is a replica of its own. The leader adds a new disk as a learner, which
receives entries but does not vote, and promotes it to a voter once it holds every
committed entry. Each log entry changes the voters by one replica. A new disk of
a host replaces the host's previous one, which is removed first, by an entry of
its own, and only once it is unresponsive or known to be lost.

Each change takes two entries with the same voters: the first is committed by a
quorum of the former and of the new voters, and the second shows, to whoever holds it,
that the first is committed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import election, leaving, replication
from fulmarshore.agreement.progress import Progress
from fulmarshore.core.records import (
    JoinReply,
    JoinRequest,
    LogEntry,
    Noop,
    ReplicaId,
    SendLink,
    Snapshot,
    TermVote,
    Voters,
)

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

JOIN_INTERVAL_S = 0.3
"""Interval between join requests."""
BOOTSTRAP_WAIT_S = 1.0
"""How long a host with ``bootstrap`` looks for a group at its peers first."""
REPLACED_VOTER_TIMEOUT_S = 1.5
"""A new disk replaces its host's voter only after this long without contact."""
LEARNER_TIMEOUT_S = 10.0
"""A learner without contact for this long is dropped."""
REJOIN_TIMEOUT_S = 1.0
"""A voter without contact to a leader for this long asks to join again."""
EXTRA_VOTER_TIMEOUT_S = 1.5
"""A voter beyond ``min_voters`` is removed after this long without contact: until
then it is missing from the quorum as well as the next host that is lost. It is
longer than any election."""
RECOVERY_GAP_ENTRIES = 10_000
"""Empty entries that a recovery appends, to exceed any version of the lost disks."""


def recover_as_only_voter(replica: Replica) -> None:
    """Make this replica the only voter of a new group.

    For an operator, after a majority of the disks is lost for good. All entries
    on this disk become committed. Versions continue above any that the lost
    disks may have handed out.
    """
    replica.group = f"{replica.random.getrandbits(64):016x}"
    replica.term += 1
    replica.vote = None
    for _ in range(RECOVERY_GAP_ENTRIES):
        _append_entry(replica, Noop())
    # The second entry makes the former voters irrelevant, as any confirmation does.
    for _ in range(2):
        _append_entry(replica, Voters([replica.identity]))
    replica.rewrite_log_file()
    replica.record_event("group_recovered", detail=replica.group)


def _append_entry(replica: Replica, command: Noop | Voters) -> None:
    replica.append(LogEntry(replica.log.last_index + 1, replica.term, command))


def tick(replica: Replica, now: float) -> None:
    """Ask the peers for admission to their group, or start a group."""
    if replica.is_voter and not _should_rejoin(replica, now):
        return
    if replica.bootstrap and _can_bootstrap(replica, now):
        _start_group(replica, now)
        return
    if now - replica.join_requested_at < JOIN_INTERVAL_S:
        return
    replica.join_requested_at = now
    for peer in replica.peers:
        request = JoinRequest(
            replica.group, replica.identity, replica.bootstrap, replica.region
        )
        replica.emit(SendLink(peer, request))


def handle_join_request(
    replica: Replica, peer: str, request: JoinRequest, now: float
) -> None:
    """Reply with the group; a leader adds the sender as a learner."""
    reply = JoinReply(
        replica.group, replica.identity, replica.bootstrap, replica.region
    )
    replica.emit(SendLink(peer, reply))
    if not replica.is_leader or request.group not in ("", replica.group):
        return
    learner = request.sender
    if learner in replica.progress or learner.name not in replica.peers:
        return
    for other in _list_learners(replica):
        if other.name == learner.name:
            del replica.progress[other]
    replica.progress[learner] = Progress(replica.log.last_index + 1, now)
    replica.record_event("learner_joined", peer=learner.name, detail=learner.disk)


def handle_reply(replica: Replica, reply: JoinReply, now: float) -> None:
    """Cancel the bootstrap if a group exists or a peer has precedence.

    Among peers that bootstrap, the one with the lowest name starts the group.
    """
    if not replica.bootstrap:
        return
    if reply.group or (reply.bootstrap and reply.sender.name < replica.identity.name):
        replica.bootstrap = False


def adopt_group(replica: Replica, group: str) -> None:
    """Join the group of a leader, as a learner."""
    replica.group = group
    replica.bootstrap = False
    replica.write(TermVote(group, replica.term, replica.vote))


def tick_leader(replica: Replica, now: float) -> None:
    """Promote learners that have caught up; remove unresponsive replicas."""
    confirm_change(replica)
    for learner in _list_learners(replica):
        if now - replica.progress[learner].last_contact > LEARNER_TIMEOUT_S:
            del replica.progress[learner]
            continue
        if not _can_promote(replica, learner):
            continue
        replaced = _find_replaced_voter(replica, learner)
        if replaced is None:
            _change_voters(replica, [*replica.current_voters, learner])
            replica.record_event("voter_added", peer=learner.name, detail=learner.disk)
            return
        replaced_progress = replica.progress.get(replaced)
        if (
            replaced_progress is not None
            and replaced not in replica.lost_voters
            and now - replaced_progress.last_contact < REPLACED_VOTER_TIMEOUT_S
        ):
            replica.counters["learners_refused_name_in_use"] += 1
            continue
        _remove_voter(replica, replaced)
        return
    extra = _find_extra_voter(replica, now)
    if extra is not None and _can_change_voters(replica):
        _remove_voter(replica, extra)


def _remove_voter(replica: Replica, removed: ReplicaId) -> None:
    voters = [voter for voter in replica.current_voters if voter != removed]
    _change_voters(replica, voters)
    replica.record_event("voter_removed", peer=removed.name, detail=removed.disk)


def _can_promote(replica: Replica, learner: ReplicaId) -> bool:
    if not _can_change_voters(replica):
        return False
    progress = replica.progress[learner]
    return progress.has_match and progress.match >= replica.commit


def _can_change_voters(replica: Replica) -> bool:
    """Return whether the voters can be changed now.

    The previous change has to be committed, and so has an entry of the leader's
    own term.
    """
    if replica.is_change_pending:
        return False
    return replica.log.find_term(replica.commit) == replica.term


def _needs_confirmation(replica: Replica) -> bool:
    """Return whether the newest change has no second entry yet."""
    if len(replica.voter_configs) == 1:
        return False
    former, newest = (held.replicas for _, held in replica.voter_configs[-2:])
    return former != newest


def confirm_change(replica: Replica) -> None:
    """Append the second entry of a change that is committed, unless it is there.

    A removed voter gets no further entries.
    """
    if not _can_change_voters(replica) or not _needs_confirmation(replica):
        return
    former, newest = (held.replicas for _, held in replica.voter_configs[-2:])
    for removed in set(former) - set(newest):
        replica.progress.pop(removed, None)
        replica.leaving.pop(removed, None)
    replication.append_command(replica, Voters(list(newest)))


def _should_rejoin(replica: Replica, now: float) -> bool:
    """Return whether this voter should ask to join again.

    A group with ``min_voters`` may have removed it, and the leader sends nothing
    to removed replicas, so it would not find out.
    """
    if replica.min_voters is None or replica.is_leader:
        return False
    return now - max(replica.leader_last_contact, replica.started_at) > REJOIN_TIMEOUT_S


def _find_extra_voter(replica: Replica, now: float) -> ReplicaId | None:
    """Return a voter that the group does not need, or None.

    It is unresponsive, or it is about to stop.
    """
    minimum = replica.min_voters
    if minimum is None or len(replica.current_voters) <= minimum:
        return None
    for voter in replica.current_voters:
        voter_progress = replica.progress.get(voter)
        if voter == replica.identity or voter_progress is None:
            continue
        if now - voter_progress.last_contact > EXTRA_VOTER_TIMEOUT_S:
            return voter
    return leaving.find_spare_voter(replica, now)


def _change_voters(replica: Replica, voters: list[ReplicaId]) -> None:
    assert len(set(voters) ^ set(replica.current_voters)) == 1, (
        "voters change one at a time"
    )
    replication.append_command(replica, Voters(voters))


def _find_replaced_voter(replica: Replica, learner: ReplicaId) -> ReplicaId | None:
    for voter in replica.current_voters:
        if voter.name == learner.name:
            return voter
    return None


def _list_learners(replica: Replica) -> list[ReplicaId]:
    voters = replica.all_voters
    return [identity for identity in replica.progress if identity not in voters]


def _can_bootstrap(replica: Replica, now: float) -> bool:
    waited = now - replica.started_at >= replica.bootstrap_wait_s
    return waited or not replica.peers


def _start_group(replica: Replica, now: float) -> None:
    replica.bootstrap = False
    replica.group = f"{replica.random.getrandbits(64):016x}"
    replica.snapshot = Snapshot(0, 0, Voters([replica.identity]), b"")
    replica.voter_configs = [(0, replica.snapshot.voters)]
    replica.rewrite_log_file()
    replica.record_event("group_started", detail=replica.group)
    election.reset_timeout(replica, now)
