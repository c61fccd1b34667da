"""Roles, timeouts, and a leader's replication progress for each replica."""

from __future__ import annotations

import enum

from msgspec import Struct

MIN_ELECTION_TIMEOUT_S = 0.6
MAX_ELECTION_TIMEOUT_S = 1.2
STARTUP_ELECTION_TIMEOUTS_S = (0.03, 0.15)
"""Shortest and longest election timeout after a start with ``starts_fast``,
until the first contact with a leader. After a power loss there is no leader, so
waiting longer gains nothing; if there is one, pre-votes keep it in place."""
HEARTBEAT_INTERVAL_S = 0.1
"""Interval between heartbeats of a leader."""


class OwnVoteSynced(Struct, frozen=True):
    """Signals that the replica's vote for itself in a term is synced to disk."""

    term: int


class OwnEntriesSynced(Struct, frozen=True):
    """Signals that the leader's own entries up to an index are synced to disk."""

    term: int
    index: int


class Role(enum.StrEnum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress:
    """The leader's view of another replica: replication and last contact.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    now : float
        Current time in seconds, taken as the last contact.
    """

    __slots__ = (
        "next_index",
        "match",
        "heartbeat_round",
        "last_contact",
        "is_awaiting_reply",
        "snapshot_index",
        "snapshot_offset",
        "has_match",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.match = 0
        self.heartbeat_round = 0
        self.last_contact = now
        self.is_awaiting_reply = False
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.has_match = False
