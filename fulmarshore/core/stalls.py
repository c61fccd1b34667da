"""Stalls of a process: what it reads after one may be as old as the stall.

A process that is stopped for seconds, or starved, goes on with the datagrams
and link messages that its sockets kept. Their age can't be seen, so for a while
after a stall whoever relies on the life of a message treats all as lost.
"""

from __future__ import annotations

STALL_S = 1.0
"""A longer time without any event is a stall, since ticks are far closer."""
DRAIN_S = 0.5
"""Time after a stall in which the sockets have given all that they kept."""


class StallGuard:
    """Notes stalls from the times of the events that a core takes."""

    __slots__ = ("_seen_at", "_resumed_at")

    def __init__(self) -> None:
        self._seen_at: float | None = None
        self._resumed_at = float("-inf")

    def is_stale(self, now: float) -> bool:
        """Return whether what is read now may have waited through a stall.

        To be called with each event, before it is taken.
        """
        if self._seen_at is not None and now - self._seen_at > STALL_S:
            self._resumed_at = now
        self._seen_at = now
        return now - self._resumed_at < DRAIN_S
