"""Leadership transfer: a planned stop without waiting for an election timeout.

The leader stops accepting commands, brings the most up-to-date voter to the end
of its log and asks it to start an election at once. Votes are granted by the
usual rules, so a target that has failed or is behind costs only time: the leader
tries the next voter, each for a bounded time, and resumes if none takes over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import election, replication
from fulmarshore.core.records import ReplicaId, SendLink, TimeoutNow

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

TARGET_TIMEOUT_S = 0.3
"""Time for one target to catch up and win the election."""
TARGET_CONTACT_TIMEOUT_S = 0.3
"""A voter without contact for this long is not chosen as a target."""


class Transfer:
    """A leadership transfer in progress.

    Parameters
    ----------
    target : ReplicaId
        The voter that is to become the leader.
    until : float
        Deadline in seconds, after which the next voter is tried.
    tried : set of ReplicaId
        The voters tried so far, including the target.
    """

    __slots__ = ("target", "until", "tried")

    def __init__(self, target: ReplicaId, until: float, tried: set[ReplicaId]) -> None:
        self.target = target
        self.until = until
        self.tried = tried


def begin(replica: Replica, now: float) -> None:
    """Start a leadership transfer unless one is in progress."""
    if not replica.is_leader or replica.transfer is not None:
        return
    if replica.current_voters == [replica.identity]:
        return
    _try_next_target(replica, set(), now)


def tick_leader(replica: Replica, now: float) -> None:
    """Repeat the request to the target, or try the next voter."""
    transfer = replica.transfer
    if transfer is None:
        return
    if now >= transfer.until:
        replica.counters["transfers_timed_out"] += 1
        _try_next_target(replica, transfer.tried, now)
        return
    try_complete(replica)


def try_complete(replica: Replica) -> None:
    """Ask the target to start an election once it holds all of the leader's log."""
    transfer = replica.transfer
    if transfer is None:
        return
    progress = replica.progress.get(transfer.target)
    if progress is None or not progress.has_match:
        return
    if progress.match < replica.log.last_index:
        return
    target = transfer.target
    message = TimeoutNow(replica.group, replica.identity, target, replica.term)
    replica.emit(SendLink(target.name, message))


def handle_timeout_now(replica: Replica, message: TimeoutNow, now: float) -> None:
    """Start an election if the leader of the current term asks for it."""
    is_leader = message.term == replica.term and message.sender == replica.leader
    if not is_leader or not replica.is_voter:
        replica.counters["stand_orders_refused"] += 1
        return
    replica.record_event("lead_offered", peer=message.sender.name)
    replica.leader = None
    election.start_election(replica, now, for_transfer=True)


def _try_next_target(replica: Replica, tried: set[ReplicaId], now: float) -> None:
    target = _choose_target(replica, tried, now)
    if target is None:
        replica.transfer = None
        replica.record_event("lead_not_handed_over", detail=f"term {replica.term}")
        return
    replica.transfer = Transfer(target, now + TARGET_TIMEOUT_S, tried | {target})
    replica.record_event(
        "lead_handing_over", peer=target.name, detail=f"term {replica.term}"
    )
    try_complete(replica)
    replication.send_new_entries(replica, now)


def _choose_target(
    replica: Replica, tried: set[ReplicaId], now: float
) -> ReplicaId | None:
    """Return the voter with the most synced entries, then the latest contact."""
    found: ReplicaId | None = None
    best = (-1, float("-inf"))
    for voter in replica.current_voters:
        progress = replica.progress.get(voter)
        if voter == replica.identity or voter in tried or progress is None:
            continue
        if now - progress.last_contact > TARGET_CONTACT_TIMEOUT_S:
            continue
        if (progress.match, progress.last_contact) > best:
            found = voter
            best = (progress.match, progress.last_contact)
    return found
