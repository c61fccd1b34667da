"""The planned stop of a control host: when it may end."""

from __future__ import annotations

from fulmarshore.agreement.replica import Replica

ANSWER_LINGER_S = 0.1
"""How long a former leader stays for the answers of what it handed on."""


class PlannedStop:
    """Ends once another host leads, nobody can, or it takes too long.

    Parameters
    ----------
    replica : Replica
        This host's part in the replicated log.
    timeout : float
        How long, in seconds, it waits for another host to take up the lead.
    """

    def __init__(self, replica: Replica, timeout: float) -> None:
        self._replica = replica
        self._timeout = timeout
        self._stop_at: float | None = None
        self._is_handed_over = False

    @property
    def is_begun(self) -> bool:
        """Whether the host is to stop."""
        return self._stop_at is not None

    def begin(self, now: float) -> bool:
        """Begin to stop; True where the lead has to be handed over first."""
        if self.is_begun:
            return False
        self._stop_at = now
        if not self._replica.is_leader:
            return False
        self._stop_at = now + self._timeout
        return True

    def is_over(self, now: float) -> bool:
        """Return whether the host may end now."""
        assert self._stop_at is not None, "the stop has begun"
        if self._replica.is_accepting:
            self._stop_at = now
        is_led = not self._replica.is_leader and self._replica.leader is not None
        if is_led and not self._is_handed_over:
            self._is_handed_over = True
            self._stop_at = min(self._stop_at, now + ANSWER_LINGER_S)
        return now >= self._stop_at
