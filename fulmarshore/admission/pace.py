"""How fast a limit grows, after what it led to before."""

from __future__ import annotations

BACKOFF_FACTOR = 0.5
MIN_PACE = 1.0 / 16.0
"""What a fall leaves of the pace of growth, and the slowest pace."""

CRASH_WINDOW_S = 1.0
"""Connections that go within this time went in one fall."""

STABLE_STARTS = 1.0
"""Work at the whole limit, in slow starts, after which a fall is none of growth."""

MIN_RECOVERY_STARTS = 10.0
MAX_RECOVERY_STARTS = 160.0
RECOVERY_FACTOR = 2.0
"""Work at the whole limit, in slow starts, before the pace doubles again.

Each time that the faster pace turns out too fast it takes longer.
"""


class GrowthPace:
    """Halves when growth leads to a fall, and recovers with work that goes well.

    Attributes
    ----------
    share : float
        Share of the growth that the profile names, 1 at most.
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
        """Learn of work that went well at the whole limit.

        Parameters
        ----------
        starts : float
            The time that all slots were busy, in slow starts.
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
        """Learn that the limit begins at its start again."""
        self._work_since_cold = 0.0
        self._was_cold = True

    def record_crash(self, now: float) -> None:
        """Learn that the upstream went away with work."""
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
