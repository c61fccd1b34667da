"""Handing over the lead: for a planned stop, without waiting for a timeout.

The leader takes no more commands, brings the voter that is furthest along up
to date and tells it to stand at once. The votes are given by the rules of any
election, so a target that is lost or behind costs time and nothing else: the
next voter is tried, each for a bounded time, and then the leader goes on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.agreement import election, replication
from fulmarshore.core.records import ReplicaId, SendLink, TimeoutNow

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica

TARGET_TIMEOUT_S = 0.3
"""How long one voter may take to be up to date and elected."""
TARGET_SILENCE_S = 0.3
"""A voter that was not heard of for this long is not tried."""


class Transfer:
    """The handing over that is under way.

    Parameters
    ----------
    target : ReplicaId
        The voter that shall lead.
    until : float
        When the next voter is tried.
    tried : set of ReplicaId
        The voters that were tried, the target included.
    """

    __slots__ = ("target", "until", "tried")

    def __init__(self, target: ReplicaId, until: float, tried: set[ReplicaId]) -> None:
        self.target = target
        self.until = until
        self.tried = tried


def begin(replica: Replica, now: float) -> None:
    """Begin to hand over the lead; one that is under way goes on."""
    if not replica.is_leader or replica.transfer is not None:
        return
    if replica.current_voters == [replica.identity]:
        return
    _try_next(replica, set(), now)


def tick_leader(replica: Replica, now: float) -> None:
    """Tell the target again, or try the next voter."""
    transfer = replica.transfer
    if transfer is None:
        return
    if now >= transfer.until:
        replica.counters["transfers_timed_out"] += 1
        _try_next(replica, transfer.tried, now)
        return
    advance(replica)


def advance(replica: Replica) -> None:
    """Tell the target to stand once it holds every entry of the leader."""
    transfer = replica.transfer
    if transfer is None:
        return
    progress = replica.progress.get(transfer.target)
    if progress is None or not progress.is_known:
        return
    if progress.match < replica.log.last_index:
        return
    target = transfer.target
    message = TimeoutNow(replica.group, replica.identity, target, replica.term)
    replica.emit(SendLink(target.name, message))


def take_order(replica: Replica, message: TimeoutNow, now: float) -> None:
    """Stand for election at the word of the leader of this term."""
    is_leader = message.term == replica.term and message.sender == replica.leader
    if not is_leader or not replica.is_voter:
        replica.counters["stand_orders_refused"] += 1
        return
    replica.note("lead_offered", peer=message.sender.name)
    replica.leader = None
    election.stand(replica, now, for_transfer=True)


def _try_next(replica: Replica, tried: set[ReplicaId], now: float) -> None:
    target = _choose_target(replica, tried, now)
    if target is None:
        replica.transfer = None
        replica.note("lead_not_handed_over", detail=f"term {replica.term}")
        return
    replica.transfer = Transfer(target, now + TARGET_TIMEOUT_S, tried | {target})
    replica.note("lead_handing_over", peer=target.name, detail=f"term {replica.term}")
    advance(replica)
    replication.send_news(replica, now)


def _choose_target(
    replica: Replica, tried: set[ReplicaId], now: float
) -> ReplicaId | None:
    """Return the voter with the most synced entries, then the last one heard."""
    found: ReplicaId | None = None
    best = (-1, float("-inf"))
    for voter in replica.current_voters:
        progress = replica.progress.get(voter)
        if voter == replica.identity or voter in tried or progress is None:
            continue
        if now - progress.heard_at > TARGET_SILENCE_S:
            continue
        if (progress.match, progress.heard_at) > best:
            found = voter
            best = (progress.match, progress.heard_at)
    return found
