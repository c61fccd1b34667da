"""Leader elections: a pre-vote round, then one vote per term.

A replica starts an election only after a majority has answered in the
pre-vote round that it would get their votes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import replication
from fulmarshore.agreement.progress import (
    MAX_ELECTION_TIMEOUT_S,
    MIN_ELECTION_TIMEOUT_S,
    STARTUP_ELECTION_TIMEOUTS_S,
    OwnVoteSynced,
    Role,
)
from fulmarshore.core.records import SendLink, VoteReply, VoteRequest

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica


def reset_timeout(replica: Replica, now: float) -> None:
    """Choose a random time for the next election, from the timeout range."""
    shortest, longest = MIN_ELECTION_TIMEOUT_S, MAX_ELECTION_TIMEOUT_S
    if replica.starts_fast and replica.leader_last_contact == float("-inf"):
        shortest, longest = STARTUP_ELECTION_TIMEOUTS_S
    replica.election_at = now + replica.random.uniform(shortest, longest)


def tick(replica: Replica, now: float) -> None:
    """Start a pre-vote round once the election timeout has passed."""
    if not replica.is_voter:
        return
    is_only_voter = replica.current_voters == [replica.identity]
    if now < replica.election_at and not is_only_voter:
        return
    if is_only_voter and replica.role == Role.CANDIDATE:
        return
    reset_timeout(replica, now)
    _clear_leader(replica)
    replica.role = Role.PRE_CANDIDATE
    replica.votes = {replica.identity}
    replica.confirming_votes = {replica.identity}
    replica.lost_in_election = replica.list_lost()
    if _has_quorum(replica):
        start_election(replica, now)
        return
    for request in _make_requests(replica, replica.term + 1, pre_vote=True):
        replica.emit(request)


def handle_vote_request(
    replica: Replica, peer: str, request: VoteRequest, now: float
) -> None:
    """Grant or refuse a vote, or a pre-vote, and reply."""
    leader_is_active = now - replica.leader_last_contact < MIN_ELECTION_TIMEOUT_S
    if (leader_is_active or replica.is_leader) and not request.for_transfer:
        # A replica with an active leader grants no votes. Otherwise a replica
        # that was partitioned could force a new term when it returns.
        granted = False
        if not request.pre_vote:
            replica.counters["votes_refused_leader_heard"] += 1
            return
    elif request.pre_vote:
        granted = request.term > replica.term and _is_up_to_date(replica, request)
    else:
        granted = _grant_vote(replica, request, now)
    term = request.term if granted else replica.term
    reply = VoteReply(
        replica.group,
        replica.identity,
        term,
        granted,
        request.pre_vote,
        replica.lost_voters.issuperset(request.lost),
    )
    replica.emit_when_synced(SendLink(peer, reply))


def handle_vote_reply(replica: Replica, reply: VoteReply, now: float) -> None:
    """Record a granted vote; act once a majority is reached."""
    if not reply.granted:
        if reply.term > replica.term:
            replica.step_down(reply.term)
        return
    if reply.sender not in replica.all_voters:
        return
    if reply.pre_vote:
        if replica.role != Role.PRE_CANDIDATE or reply.term != replica.term + 1:
            return
        _add_vote(replica, reply)
        if _has_quorum(replica):
            start_election(replica, now)
        return
    if replica.role != Role.CANDIDATE or reply.term != replica.term:
        return
    _add_vote(replica, reply)
    _finish_election(replica, now)


def handle_synced(replica: Replica, term: int, now: float) -> None:
    """Request votes and record the replica's own one, which is now synced."""
    if replica.role != Role.CANDIDATE or replica.term != term:
        return
    for request in _make_requests(replica, term, False, replica.is_transfer_election):
        replica.emit(request)
    replica.votes.add(replica.identity)
    replica.confirming_votes.add(replica.identity)
    _finish_election(replica, now)


def start_election(replica: Replica, now: float, for_transfer: bool = False) -> None:
    """Begin a new term as a candidate.

    The vote requests are sent by ``handle_synced``, once the replica's own
    vote is on disk. ``for_transfer`` marks an election that the leader asked
    for, which voters do not refuse for having an active leader.
    """
    replica.role = Role.CANDIDATE
    replica.is_transfer_election = for_transfer
    replica.term += 1
    replica.vote = replica.identity
    replica.votes = set()
    replica.confirming_votes = set()
    replica.lost_in_election = replica.list_lost()
    replica.write_term()
    replica.emit_when_synced(OwnVoteSynced(replica.term))
    replica.counters["elections"] += 1
    reset_timeout(replica, now)


def _add_vote(replica: Replica, reply: VoteReply) -> None:
    replica.votes.add(reply.sender)
    if reply.confirms_lost:
        replica.confirming_votes.add(reply.sender)


def _has_quorum(replica: Replica) -> bool:
    return replica.has_quorum(
        replica.votes, replica.confirming_votes, replica.lost_in_election
    )


def _finish_election(replica: Replica, now: float) -> None:
    if replica.identity not in replica.votes:
        return
    if _has_quorum(replica):
        replication.become_leader(replica, now)


def _grant_vote(replica: Replica, request: VoteRequest, now: float) -> bool:
    if request.term > replica.term:
        replica.step_down(request.term)
    if request.term < replica.term or not _is_up_to_date(replica, request):
        return False
    if replica.vote not in (None, request.sender):
        return False
    if replica.vote is None:
        replica.vote = request.sender
        replica.write_term()
    reset_timeout(replica, now)
    return True


def _is_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    own = (replica.log.last_term, replica.log.last_index)
    return (request.last_term, request.last_index) >= own


def _clear_leader(replica: Replica) -> None:
    if replica.leader is not None:
        replica.record_event("leader_lost", peer=replica.leader.name)
    replica.leader = None


def _make_requests(
    replica: Replica, term: int, pre_vote: bool, for_transfer: bool = False
) -> list[SendLink]:
    requests = []
    for voter in replica.all_voters:
        if voter == replica.identity:
            continue
        request = VoteRequest(
            replica.group,
            replica.identity,
            voter,
            term,
            replica.log.last_index,
            replica.log.last_term,
            pre_vote,
            for_transfer,
            tuple(replica.lost_in_election),
        )
        requests.append(SendLink(voter.name, request))
    return requests
