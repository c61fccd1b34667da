"""Pace at which a concurrency limit grows, lowered after crashes of the upstream."""

from __future__ import annotations

BACKOFF_FACTOR = 0.5
MIN_PACE = 1.0 / 16.0
"""Factor of the pace after a crash, and the slowest pace."""

CRASH_WINDOW_S = 1.0
"""Time within which lost connections count as one crash."""

STABLE_STARTS = 1.0
"""Work at the full limit, in slow starts, after which a crash is not due to growth."""

MIN_RECOVERY_STARTS = 10.0
MAX_RECOVERY_STARTS = 160.0
RECOVERY_FACTOR = 2.0
"""Work at the full limit, in slow starts, before the pace is doubled again.

It is multiplied by the factor each time that the faster pace leads to a crash.
"""


class GrowthPace:
    """Halves when growth leads to a crash, and recovers with successful work.

    Attributes
    ----------
    share : float
        Share of the growth rate that the profile states, at most 1.
    """

    __slots__ = (
        "share",
        "_crashed_at",
        "_work_since_cold",
        "_work_since_crash",
        "_recovery_starts",
        "_is_probing",
        "_was_cold",
    )

    def __init__(self) -> None:
        self.share = 1.0
        self._crashed_at = float("-inf")
        self._work_since_cold = 0.0
        self._work_since_crash = 0.0
        self._recovery_starts = MIN_RECOVERY_STARTS
        self._is_probing = False
        self._was_cold = False

    def record_work(self, starts: float) -> None:
        """Record successful work at the full limit.

        Parameters
        ----------
        starts : float
            Time for which all slots were busy, as a multiple of the slow start.
        """
        self._work_since_cold += starts
        self._work_since_crash += starts
        if self._was_cold and self._work_since_cold >= STABLE_STARTS:
            self._is_probing = False
        if self.share >= 1.0 or self._work_since_crash < self._recovery_starts:
            return
        self.share = min(self.share / BACKOFF_FACTOR, 1.0)
        self._work_since_crash = 0.0
        self._is_probing = True
        self._was_cold = False

    def record_cold_start(self) -> None:
        """Record that the limit was reset to that of a cold upstream."""
        self._work_since_cold = 0.0
        self._was_cold = True

    def record_crash(self, now: float) -> None:
        """Record that the upstream closed its connection with a request running."""
        is_new = now - self._crashed_at >= CRASH_WINDOW_S
        self._crashed_at = now
        if not is_new or self._work_since_cold >= STABLE_STARTS:
            return
        self.share = max(self.share * BACKOFF_FACTOR, MIN_PACE)
        self._work_since_crash = 0.0
        if self._is_probing:
            longer = self._recovery_starts * RECOVERY_FACTOR
            self._recovery_starts = min(longer, MAX_RECOVERY_STARTS)
        self._is_probing = False
