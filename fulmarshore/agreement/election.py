"""Elections: trial votes first, then one vote for each term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import replication
from fulmarshore.agreement.progress import (
    MAX_ELECTION_TIMEOUT_S,
    MIN_ELECTION_TIMEOUT_S,
    START_TIMEOUTS_S,
    OwnVote,
    Role,
)
from fulmarshore.core.records import SendLink, VoteReply, VoteRequest

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica


def reset_timeout(replica: Replica, now: float) -> None:
    """Draw the time at which the replica stands for election."""
    shortest, longest = MIN_ELECTION_TIMEOUT_S, MAX_ELECTION_TIMEOUT_S
    if replica.starts_fast and replica.leader_heard_at == float("-inf"):
        shortest, longest = START_TIMEOUTS_S
    replica.election_at = now + replica.random.uniform(shortest, longest)


def tick(replica: Replica, now: float) -> None:
    """Stand for election if no leader has been heard of for long enough."""
    if not replica.is_voter:
        return
    alone = replica.current_voters == [replica.identity]
    if now < replica.election_at and not alone:
        return
    if alone and replica.role == Role.CANDIDATE:
        return
    reset_timeout(replica, now)
    _forget_leader(replica)
    replica.role = Role.TRIAL
    replica.votes = {replica.identity}
    if len(replica.votes) >= replica.majority:
        stand(replica, now)
        return
    for request in _list_requests(replica, replica.term + 1, pre_vote=True):
        replica.emit(request)


def answer_vote(replica: Replica, peer: str, request: VoteRequest, now: float) -> None:
    """Give or refuse a vote, or tell whether it would be given."""
    heard = now - replica.leader_heard_at < MIN_ELECTION_TIMEOUT_S
    if (heard or replica.is_leader) and not request.for_transfer:
        # A replica that hears its leader takes no part: one that was cut off
        # and returns cannot push the others into a new term.
        granted = False
        if not request.pre_vote:
            replica.counters["votes_refused_leader_heard"] += 1
            return
    elif request.pre_vote:
        granted = request.term > replica.term and _is_up_to_date(replica, request)
    else:
        granted = _give_vote(replica, request, now)
    term = request.term if granted else replica.term
    reply = VoteReply(replica.group, replica.identity, term, granted, request.pre_vote)
    replica.emit_stored(SendLink(peer, reply))


def take_vote(replica: Replica, reply: VoteReply, now: float) -> None:
    """Count a vote."""
    if not reply.granted:
        if reply.term > replica.term:
            replica.step_down(reply.term)
        return
    if reply.sender not in replica.current_voters:
        return
    if reply.pre_vote:
        if replica.role != Role.TRIAL or reply.term != replica.term + 1:
            return
        replica.votes.add(reply.sender)
        if len(replica.votes) >= replica.majority:
            stand(replica, now)
        return
    if replica.role != Role.CANDIDATE or reply.term != replica.term:
        return
    _count(replica, reply.sender, now)


def count_own(replica: Replica, term: int, now: float) -> None:
    """Count the replica's vote for itself, now that it is synced."""
    if replica.role != Role.CANDIDATE or replica.term != term:
        return
    for request in _list_requests(replica, term, False, replica.is_ordered):
        replica.emit(request)
    _count(replica, replica.identity, now)


def stand(replica: Replica, now: float, for_transfer: bool = False) -> None:
    """Begin a term and ask for votes once the own one is synced."""
    replica.role = Role.CANDIDATE
    replica.is_ordered = for_transfer
    replica.term += 1
    replica.vote = replica.identity
    replica.votes = set()
    replica.write_term()
    replica.emit_stored(OwnVote(replica.term))
    replica.counters["elections"] += 1
    reset_timeout(replica, now)


def _count(replica: Replica, voter: object, now: float) -> None:
    replica.votes.add(voter)
    if replica.identity not in replica.votes:
        return
    if len(replica.votes) >= replica.majority:
        replication.start_leading(replica, now)


def _give_vote(replica: Replica, request: VoteRequest, now: float) -> bool:
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


def _forget_leader(replica: Replica) -> None:
    if replica.leader is not None:
        replica.note("leader_lost", peer=replica.leader.name)
    replica.leader = None


def _list_requests(
    replica: Replica, term: int, pre_vote: bool, for_transfer: bool = False
) -> list[SendLink]:
    requests = []
    for voter in replica.current_voters:
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
        )
        requests.append(SendLink(voter.name, request))
    return requests
