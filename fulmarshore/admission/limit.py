"""The limit of requests that an upstream bears, as its answers show it.

The limit is the average number of requests in work. Below one, or between
whole numbers, the last slot is used for that share of the time only.
"""

from __future__ import annotations

import math
from collections import deque
from statistics import median

from fulmarshore.admission.pace import Pace

SLOW_RATIO = 2.0
"""Service time over the baseline from which the upstream is taken for cold."""

STEADY_RATIO = 1.5
"""Service time over the baseline up to which the limit may grow."""

RECENT_ANSWERS = 3
"""Answers whose median service time is held against the baseline."""

BASELINE_FALL = 0.1
BASELINE_RISE = 0.05
"""Shares by which the baseline follows faster and slower answers."""

DEVIATIONS = 3.0
"""Mean deviations above the baseline that count as ordinary."""

SHED_FACTOR = 0.5
"""What is left of the limit after the upstream shed work."""


class ConcurrencyLimiter:
    """Grows with work that went well and falls at once on a sign of overload.

    Parameters
    ----------
    slots : int
        Requests that the warm upstream works on at once.
    cold_share : float
        Share of the slots that a cold upstream bears.
    slow_start : float
        Time over which a cold upstream warms at its limit, in seconds.

    Attributes
    ----------
    good, bad : int
        Answers at the usual service time, and signs of overload, so far.
    """

    __slots__ = (
        "slots",
        "baseline",
        "successes",
        "overload_signs",
        "_learnt",
        "_hinted",
        "_deviation",
        "_cold_limit",
        "_rate",
        "_recent",
        "_credit",
        "_running",
        "_counted_at",
        "_pace",
        "_slow_start",
        "_held_until",
        "_cut_at",
    )

    def __init__(self, slots: int, cold_share: float, slow_start: float) -> None:
        assert slots >= 1
        self.successes = 0
        self.overload_signs = 0
        self._hinted = 1.0
        self.baseline = 0.0
        self._deviation = 0.0
        self._recent: deque[float] = deque(maxlen=RECENT_ANSWERS)
        self._credit = 0.0
        self._running = 0
        self._counted_at = 0.0
        self._pace = Pace()
        self._held_until = float("-inf")
        self._cut_at = float("-inf")
        self._learnt = float(slots)
        self.configure(slots, cold_share, slow_start)
        self._learnt = self._cold_limit

    @property
    def limit(self) -> float:
        """The requests that may be in work on average; set is what was learnt."""
        hinted = max(self._hinted * self.slots, self._cold_limit)
        return min(self._learnt, hinted)

    @limit.setter
    def limit(self, learnt: float) -> None:
        self._learnt = learnt

    @property
    def is_cold(self) -> bool:
        """Whether the upstream is taken for cold, whatever is hinted."""
        return self._learnt <= self._cold_limit

    def configure(self, slots: int, cold_share: float, slow_start: float) -> None:
        """Take other bounds; the limit reached is kept as far as they allow."""
        self.slots = slots
        self._slow_start = slow_start
        self._cold_limit = max(cold_share, 0.01) * slots
        self._rate = math.log(1.0 / max(cold_share, 0.01)) / slow_start
        self._learnt = min(self._learnt, float(slots))

    def has_room(self, running: int, now: float) -> bool:
        """Return whether one more request could start beside those running."""
        self._accrue_credit(running, now)
        if running < math.floor(self.limit + 1e-9):
            return True
        return running < math.ceil(self.limit - 1e-9) and self._credit >= 0.0

    def try_acquire(self, running: int, now: float) -> bool:
        """Return whether one more request may start beside those running.

        Where it may, it is taken to start now.
        """
        if not self.has_room(running, now):
            return False
        self._running = running + 1
        return True

    def _accrue_credit(self, running: int, now: float) -> None:
        """Count the work that the limit allowed and that was not done.

        The last slot is used while there is such credit, so that the average
        of the requests in work is the limit.
        """
        passed = now - self._counted_at
        self._counted_at = now
        credit = self._credit + (self.limit - self._running) * passed
        bound = max(self.baseline, 1e-3)
        self._credit = min(max(credit, -bound * self.slots), bound)
        self._running = running

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Learn from an answer.

        Parameters
        ----------
        running : int
            Requests in work, the answered one included.
        service_time : float
            Time from the hand-over to the answer, in seconds.
        """
        self._accrue_credit(running, now)
        self._running = running - 1
        self._recent.append(service_time)
        if self.baseline == 0.0:
            self.baseline = service_time
        usual = median(self._recent)
        ordinary = self.baseline + DEVIATIONS * self._deviation
        is_slow = usual > max(SLOW_RATIO * self.baseline, ordinary)
        is_steady = usual <= max(STEADY_RATIO * self.baseline, ordinary)
        self._follow_baseline(service_time)
        if is_slow and len(self._recent) == RECENT_ANSWERS:
            self.overload_signs += 1
            self.restart_slow_start(now)
            return
        self.successes += is_steady
        if now < self._held_until or not is_steady:
            return
        if self._learnt >= self.slots:
            self._pace.note_work(service_time / self.slots / self._slow_start)
            return
        used = running >= math.floor(self._learnt)
        if not used:
            return
        grown = self._learnt + self._pace.share * self._rate * min(
            service_time, 2.0 * self.baseline
        )
        self._learnt = min(grown, float(self.slots))

    def record_shed(self, running: int, now: float) -> None:
        """Learn that the upstream refused work: it has less room than thought."""
        self._accrue_credit(running, now)
        self._running = running - 1
        self.overload_signs += 1
        hold = max(4.0 * self.baseline, 0.1)
        if now - self._cut_at < self.baseline:
            return
        self._cut_at = now
        self._held_until = now + hold
        self._learnt = max(self._learnt * SHED_FACTOR, self._cold_limit)

    def time_out(self, worked: float, now: float) -> None:
        """Learn that a deadline passed in work that took a time so far."""
        if worked > SLOW_RATIO * self.baseline:
            self.overload_signs += 1
            self.restart_slow_start(now)

    def restart_slow_start(self, now: float) -> None:
        """Learn that the upstream was restarted, timed out or became slow."""
        self._learnt = self._cold_limit
        self._pace.note_cold()
        self._held_until = now + self.baseline
        if self._recent:
            self.baseline = max(self.baseline, median(self._recent))
        self._recent.clear()

    def record_upstream_crash(self, now: float) -> None:
        """Learn that the upstream went away with work."""
        self._pace.note_fall(now)
        self.overload_signs += 1
        self.restart_slow_start(now)

    def apply_hint(self, share: float) -> None:
        """Take what endpoints of the upstream allow: it can only lower.

        What was learnt from answers stays beside it.

        Parameters
        ----------
        share : float
            Share of the slots, 0 to 1; the limit of a start is the least.
        """
        self._hinted = share

    def _follow_baseline(self, service_time: float) -> None:
        step = service_time - self.baseline
        self._deviation += BASELINE_RISE * (abs(step) - self._deviation)
        self.baseline += step * (BASELINE_FALL if step < 0 else BASELINE_RISE)
