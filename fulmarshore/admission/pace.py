"""How fast a limit grows, after what it led to before."""

from __future__ import annotations

PACE_FACTOR = 0.5
MIN_PACE = 1.0 / 16.0
"""What a fall leaves of the pace of growth, and the slowest pace."""

FALL_INTERVAL_S = 1.0
"""Connections that go within this time went in one fall."""

SOUND_STARTS = 1.0
"""Work at the whole limit, in slow starts, after which a fall is none of growth."""

MIN_RECOVERY_STARTS = 10.0
MAX_RECOVERY_STARTS = 160.0
RECOVERY_FACTOR = 2.0
"""Work at the whole limit, in slow starts, before the pace doubles again.

Each time that the faster pace turns out too fast it takes longer.
"""


class Pace:
    """Halves when growth leads to a fall, and recovers with work that goes well.

    Attributes
    ----------
    share : float
        Share of the growth that the profile names, 1 at most.
    """

    __slots__ = (
        "share",
        "_fell_at",
        "_since_cold",
        "_since_fall",
        "_recovery",
        "_is_trial",
        "_was_cold",
    )

    def __init__(self) -> None:
        self.share = 1.0
        self._fell_at = float("-inf")
        self._since_cold = 0.0
        self._since_fall = 0.0
        self._recovery = MIN_RECOVERY_STARTS
        self._is_trial = False
        self._was_cold = False

    def note_work(self, starts: float) -> None:
        """Learn of work that went well at the whole limit.

        Parameters
        ----------
        starts : float
            The time that all slots were busy, in slow starts.
        """
        self._since_cold += starts
        self._since_fall += starts
        if self._was_cold and self._since_cold >= SOUND_STARTS:
            self._is_trial = False
        if self.share >= 1.0 or self._since_fall < self._recovery:
            return
        self.share = min(self.share / PACE_FACTOR, 1.0)
        self._since_fall = 0.0
        self._is_trial = True
        self._was_cold = False

    def note_cold(self) -> None:
        """Learn that the limit begins at its start again."""
        self._since_cold = 0.0
        self._was_cold = True

    def note_fall(self, now: float) -> None:
        """Learn that the upstream went away with work."""
        is_new = now - self._fell_at >= FALL_INTERVAL_S
        self._fell_at = now
        if not is_new or self._since_cold >= SOUND_STARTS:
            return
        self.share = max(self.share * PACE_FACTOR, MIN_PACE)
        self._since_fall = 0.0
        if self._is_trial:
            longer = self._recovery * RECOVERY_FACTOR
            self._recovery = min(longer, MAX_RECOVERY_STARTS)
        self._is_trial = False
