"""A planned stop of a voter that the group can spare.

A host that stops does not know whether it returns. The leader removes it from the
voters while it still runs, as far as the group keeps ``min_voters``: a vote that is
never given again would count against the next host that is lost. A host that
returns joins again with the disk that it has. While another voter is silent, that
one is the voter to spare: the host that stops keeps its vote.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.core.records import LeaveGroup, LeaveGroupReply, ReplicaId, SendLink

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

CONTACT_TIMEOUT_S = 0.5
"""A voter without contact for this long, five heartbeats, counts as silent; one that
does not repeat its request for this long has stopped, and may be back already."""


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
    is_voter = any(sender in voters for voters in replica.configurations)
    is_spare = (
        replica.min_voters is not None
        and len(replica.current_voters) > replica.min_voters
    )
    if is_voter and (is_spare or replica.is_change_pending):
        replica.leaving[sender] = now
        return
    replica.leaving.pop(sender, None)
    reply = LeaveGroupReply(replica.group, replica.identity)
    replica.emit(SendLink(peer, reply))


def find_spare_voter(replica: Replica, now: float) -> ReplicaId | None:
    """Return a voter that is about to stop, if all others are in contact."""
    found = None
    for voter in replica.current_voters:
        if voter == replica.identity:
            continue
        requested_at = replica.leaving.get(voter, float("-inf"))
        if now - requested_at <= CONTACT_TIMEOUT_S:
            found = found or voter
            continue
        progress = replica.progress.get(voter)
        if progress is None or voter in replica.lost_voters:
            return None
        # A new leader has not heard of voters that have not answered it yet.
        if not progress.heartbeat_round:
            return None
        if now - progress.last_contact > CONTACT_TIMEOUT_S:
            return None
    return found


def handle_reply(replica: Replica) -> None:
    """Record that this replica may stop."""
    replica.has_left = replica.is_leaving
