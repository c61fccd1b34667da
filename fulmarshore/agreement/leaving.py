"""A planned stop of a voter that the group can spare.

A host that stops does not know whether it returns. The leader removes it from the
voters while it still runs, as far as the group keeps ``min_voters``: a vote that is
never given again would count against the next host that is lost. A host that
returns joins again with the disk that it has. While another voter is silent, that
one is the voter to spare: the host that stops keeps its vote.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from fulmarshore.core.records import LeaveGroup, LeaveGroupReply, ReplicaId, SendLink

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

REQUEST_TIMEOUT_S = 0.5
"""A voter that does not repeat its request for this long, ten ticks, has stopped, and
may be back already."""


class Leave(NamedTuple):
    """A voter's request to leave.

    Parameters
    ----------
    heartbeat_round : int
        The leader's newest round when the voter asked first. Voters that answer a
        later one have been running since.
    requested_at : float
        When it asked last, seconds.
    """

    heartbeat_round: int
    requested_at: float


def tick(replica: Replica) -> None:
    """Ask the leader again until it has replied."""
    if replica.has_left or replica.leader is None:
        return
    request = LeaveGroup(replica.group, replica.identity)
    replica.emit(SendLink(replica.leader.name, request))


def handle_request(
    replica: Replica, peer: str, request: LeaveGroup, now: float
) -> None:
    """Reply if the voter may stop now; otherwise note that it leaves."""
    if not replica.is_leader:
        return
    sender = request.sender
    is_voter = sender in replica.all_voters
    is_spare = (
        replica.min_voters is not None
        and len(replica.current_voters) > replica.min_voters
    )
    if is_voter and (is_spare or replica.is_change_pending):
        former = replica.leaving.get(sender)
        is_new = former is None or now - former.requested_at > REQUEST_TIMEOUT_S
        first_round = replica.heartbeat_round if is_new else former.heartbeat_round
        replica.leaving[sender] = Leave(first_round, now)
        return
    replica.leaving.pop(sender, None)
    reply = LeaveGroupReply(replica.group, replica.identity)
    replica.emit(SendLink(peer, reply))


def find_spare_voter(replica: Replica, now: float) -> ReplicaId | None:
    """Return a voter that is about to stop, if all others have been running since."""
    for voter in replica.current_voters:
        leave = replica.leaving.get(voter)
        if leave is None or now - leave.requested_at > REQUEST_TIMEOUT_S:
            continue
        if _are_others_running(replica, voter, leave):
            return voter
    return None


def _are_others_running(replica: Replica, leaving: ReplicaId, leave: Leave) -> bool:
    for voter in replica.current_voters:
        if voter in (leaving, replica.identity):
            continue
        progress = replica.progress.get(voter)
        if progress is None or voter in replica.lost_voters:
            return False
        if progress.heartbeat_round <= leave.heartbeat_round:
            return False
    return True


def handle_reply(replica: Replica) -> None:
    """Record that this replica may stop."""
    replica.has_left = replica.is_leaving
