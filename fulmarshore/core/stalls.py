"""Detection of process stalls, after which received messages may be stale.

A process that was stopped or starved for seconds continues with the datagrams
and link messages that its sockets buffered. Their age is not visible, so for a
while after a stall, code that relies on the age of messages treats all of them
as lost.
"""

from __future__ import annotations

STALL_S = 1.0
"""A longer gap between events is a stall: ticks come far more often."""
BACKLOG_S = 0.5
"""Time after a stall within which all buffered messages have been read."""


class StallDetector:
    """Detects stalls from the gaps between the events that a core handles."""

    __slots__ = ("_last_event_at", "_resumed_at")

    def __init__(self) -> None:
        self._last_event_at: float | None = None
        self._resumed_at = float("-inf")

    def is_stale(self, now: float) -> bool:
        """Return whether a message read now may have been buffered during a stall.

        Has to be called for each event, before the event is handled.
        """
        if self._last_event_at is not None and now - self._last_event_at > STALL_S:
            self._resumed_at = now
        self._last_event_at = now
        return now - self._resumed_at < BACKLOG_S
