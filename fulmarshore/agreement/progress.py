"""Roles, timeouts, and what a leader knows about another replica."""

from __future__ import annotations

import enum

from msgspec import Struct

MIN_ELECTION_TIMEOUT_S = 0.6
MAX_ELECTION_TIMEOUT_S = 1.2
START_TIMEOUTS_S = (0.03, 0.15)
"""Shortest and longest timeout of a replica that has heard no leader since its
start, where it starts fast: after a loss of power nobody leads, and trial
votes keep it from disturbing a leader that it has not heard yet."""
BEAT_INTERVAL_S = 0.1
"""Interval of a leader's heartbeats."""


class OwnVote(Struct, frozen=True):
    """The replica's vote for itself in a term is synced."""

    term: int


class OwnEntries(Struct, frozen=True):
    """The leader's own entries up to an index are synced."""

    term: int
    index: int


class Role(enum.StrEnum):
    """The part that a replica plays in its term."""

    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress:
    """How far another replica's log agrees with the leader's.

    Parameters
    ----------
    next_index : int
        The next entry to send.
    now : float
        When the leader began to count.
    """

    __slots__ = (
        "next_index",
        "match",
        "heartbeat_round",
        "heard_at",
        "waiting",
        "snapshot_index",
        "snapshot_offset",
        "is_known",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.match = 0
        self.heartbeat_round = 0
        self.heard_at = now
        self.waiting = False
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.is_known = False
