"""How a group starts, and how a new disk gets its vote.

A disk is an identity. The leader takes an unknown one in as a learner, which
gets entries but has no vote. It becomes a voter once it holds every committed
entry, by one entry that changes one replica: the former disk of the host goes
first, by an entry of its own, and only if it is silent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import election, replication
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
BOOTSTRAP_WAIT_S = 1.0
"""How long a host that may start a group asks its peers for one first."""
REPLACED_SILENCE_S = 1.5
"""A disk that was heard of within this time is not replaced by a new one."""
LEARNER_SILENCE_S = 10.0
LEADERLESS_S = 1.0
"""A voter that heard no leader for this long asks whether it was removed."""
LOST_SILENCE_S = 3.0
"""A voter beyond the fewest that are wanted is removed after this silence."""
RECOVERY_ENTRIES = 10_000
"""Entries by which a recovered group is ahead of its former self."""


def recover_alone(replica: Replica) -> None:
    """Make the only disk that is left the only voter of a new group.

    For an operator, once a majority of the disks is lost for good. All
    entries of this disk count as accepted from now on. Its versions go on
    above what the lost disks may have handed out.
    """
    replica.group = f"{replica.random.getrandbits(64):016x}"
    replica.term += 1
    replica.vote = None
    for _ in range(RECOVERY_ENTRIES):
        _append(replica, Noop())
    _append(replica, Voters([replica.identity]))
    replica.rewrite()
    replica.note("group_recovered", detail=replica.group)


def _append(replica: Replica, command: Noop | Voters) -> None:
    replica.append(LogEntry(replica.log.last_index + 1, replica.term, command))


def tick(replica: Replica, now: float) -> None:
    """Ask for a place in the group, or start the group."""
    if replica.is_voter and not _may_be_removed(replica, now):
        return
    if replica.bootstrap and _may_bootstrap(replica, now):
        _start_group(replica, now)
        return
    if now - replica.joined_at < JOIN_INTERVAL_S:
        return
    replica.joined_at = now
    for peer in replica.peers:
        request = JoinRequest(
            replica.group, replica.identity, replica.bootstrap, replica.region
        )
        replica.emit(SendLink(peer, request))


def answer_join(replica: Replica, peer: str, request: JoinRequest, now: float) -> None:
    """Take in a learner, and tell it which group there is."""
    reply = JoinReply(
        replica.group, replica.identity, replica.bootstrap, replica.region
    )
    replica.emit(SendLink(peer, reply))
    if not replica.is_leader or request.group not in ("", replica.group):
        return
    learner = request.sender
    if learner in replica.progress or learner.name not in replica.peers:
        return
    for held in _list_learners(replica):
        if held.name == learner.name:
            del replica.progress[held]
    replica.progress[learner] = Progress(replica.log.last_index + 1, now)
    replica.note("learner_joined", peer=learner.name, detail=learner.disk)


def take_reply(replica: Replica, reply: JoinReply, now: float) -> None:
    """Give up starting a group where there is one, or somebody goes first."""
    if not replica.bootstrap:
        return
    if reply.group or (reply.bootstrap and reply.sender.name < replica.identity.name):
        replica.bootstrap = False


def adopt_group(replica: Replica, group: str) -> None:
    """Become a learner of the group of a leader."""
    replica.group = group
    replica.bootstrap = False
    replica.write(TermVote(group, replica.term, replica.vote))


def tick_leader(replica: Replica, now: float) -> None:
    """Give a learner its vote once it holds every committed entry."""
    for learner in _list_learners(replica):
        if now - replica.progress[learner].heard_at > LEARNER_SILENCE_S:
            del replica.progress[learner]
            continue
        if not _may_change(replica, learner):
            continue
        former = _find_former(replica, learner)
        if former is None:
            _change_voters(replica, [*replica.current_voters, learner])
            replica.note("voter_added", peer=learner.name, detail=learner.disk)
            return
        held = replica.progress.get(former)
        if held is not None and now - held.heard_at < REPLACED_SILENCE_S:
            replica.counters["learners_refused_name_in_use"] += 1
            continue
        _remove(replica, former)
        return
    lost = _find_lost(replica, now)
    if lost is not None and _is_settled(replica):
        _remove(replica, lost)


def _remove(replica: Replica, former: ReplicaId) -> None:
    voters = [voter for voter in replica.current_voters if voter != former]
    _change_voters(replica, voters)
    replica.progress.pop(former, None)
    replica.note("voter_removed", peer=former.name, detail=former.disk)


def _may_change(replica: Replica, learner: ReplicaId) -> bool:
    if not _is_settled(replica):
        return False
    progress = replica.progress[learner]
    return progress.is_known and progress.match >= replica.commit


def _is_settled(replica: Replica) -> bool:
    """One change at a time, after an entry of the leader's own term."""
    if replica.voters[-1][0] > replica.commit:
        return False
    return replica.log.find_term(replica.commit) == replica.term


def _may_be_removed(replica: Replica, now: float) -> bool:
    """Whether a voter should ask for its place again.

    A group that removes lost voters may have removed this one, which cannot
    hear of it: the leader does not send to those that it removed.
    """
    if replica.fewest_voters is None or replica.is_leader:
        return False
    return now - max(replica.leader_heard_at, replica.started_at) > LEADERLESS_S


def _find_lost(replica: Replica, now: float) -> ReplicaId | None:
    """Return a silent voter that a group larger than it has to be can spare."""
    fewest = replica.fewest_voters
    if fewest is None or len(replica.current_voters) <= fewest:
        return None
    for voter in replica.current_voters:
        held = replica.progress.get(voter)
        if voter == replica.identity or held is None:
            continue
        if now - held.heard_at > LOST_SILENCE_S:
            return voter
    return None


def _change_voters(replica: Replica, voters: list[ReplicaId]) -> None:
    assert len(set(voters) ^ set(replica.current_voters)) == 1, "one at a time"
    replication.append_command(replica, Voters(voters))


def _find_former(replica: Replica, learner: ReplicaId) -> ReplicaId | None:
    for voter in replica.current_voters:
        if voter.name == learner.name:
            return voter
    return None


def _list_learners(replica: Replica) -> list[ReplicaId]:
    voters = replica.current_voters
    return [held for held in replica.progress if held not in voters]


def _may_bootstrap(replica: Replica, now: float) -> bool:
    waited = now - replica.started_at >= replica.bootstrap_wait_s
    return waited or not replica.peers


def _start_group(replica: Replica, now: float) -> None:
    replica.bootstrap = False
    replica.group = f"{replica.random.getrandbits(64):016x}"
    replica.snapshot = Snapshot(0, 0, Voters([replica.identity]), b"")
    replica.voters = [(0, replica.snapshot.voters)]
    replica.rewrite()
    replica.note("group_started", detail=replica.group)
    election.reset_timeout(replica, now)
