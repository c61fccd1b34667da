"""The planned stop of a control host."""

from __future__ import annotations

from fulmarshore.agreement.replica import Replica

REPLY_GRACE_S = 0.1
"""How long a former leader keeps running for the replies to messages it relayed."""


class PlannedStop:
    """Decides when a stopping control host can exit.

    A leader waits until another host leads, or until the timeout.

    Parameters
    ----------
    replica : Replica
        This host's replica of the log.
    timeout : float
        How long a leader waits for another host to lead, in seconds.
    """

    def __init__(self, replica: Replica, timeout: float) -> None:
        self._replica = replica
        self._timeout = timeout
        self._stop_at: float | None = None
        self._has_successor = False

    @property
    def has_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._stop_at is not None

    def begin(self, now: float) -> bool:
        """Begin the stop; return whether leadership has to be transferred first."""
        if self.has_begun:
            return False
        self._stop_at = now
        if not self._replica.is_leader:
            return False
        self._stop_at = now + self._timeout
        return True

    def can_end(self, now: float) -> bool:
        """Return whether the host can exit now."""
        assert self._stop_at is not None, "the stop has begun"
        if self._replica.can_propose:
            self._stop_at = now
        has_other_leader = (
            not self._replica.is_leader and self._replica.leader is not None
        )
        if has_other_leader and not self._has_successor:
            self._has_successor = True
            self._stop_at = min(self._stop_at, now + REPLY_GRACE_S)
        return now >= self._stop_at
