"""Adaptive concurrency limit of an upstream, measured by its answers.

The limit is the average number of running requests. Below one, or between whole
numbers, the last slot is used for that share of the time only.
"""

from __future__ import annotations

import math
from collections import deque
from statistics import median

from fulmarshore.admission.growthpace import GrowthPace

SLOW_RATIO = 2.0
"""Ratio of service time to baseline above which the upstream is taken for cold."""

STEADY_RATIO = 1.5
"""Ratio of service time to baseline up to which the limit may grow."""

RECENT_ANSWERS = 3
"""Answers whose median service time is compared with the baseline."""

BASELINE_FALL = 0.1
BASELINE_RISE = 0.05
"""Smoothing factors of the baseline for faster and slower answers."""

BASELINE_HALF_LIFE_S = 1.0
"""Half-life of the baseline without answers: callers wait for seconds at most."""

DEVIATIONS = 3.0
"""Mean deviations above the baseline up to which a service time is normal."""

SHED_FACTOR = 0.5
"""Factor by which the limit is cut after the upstream has shed work."""


class ConcurrencyLimiter:
    """Limits concurrent requests: grows with answers, drops on a sign of overload.

    Parameters
    ----------
    slots : int
        Requests that the warm upstream runs concurrently.
    cold_share : float
        Share of the slots that a cold upstream can use.
    slow_start : float
        Time in which a cold upstream warms up when used at its limit, in seconds.

    Attributes
    ----------
    successes, overload_signs : int
        Answers at the usual service time, and signs of overload, so far.
    """

    __slots__ = (
        "slots",
        "baseline",
        "successes",
        "overload_signs",
        "_measured_limit",
        "_hint_share",
        "_deviation",
        "_cold_limit",
        "_growth_rate",
        "_recent_times",
        "_credit",
        "_running",
        "_credit_updated_at",
        "_pace",
        "_slow_start",
        "_growth_paused_until",
        "_last_shed_at",
        "_answered_at",
    )

    def __init__(self, slots: int, cold_share: float, slow_start: float) -> None:
        assert slots >= 1
        self.successes = 0
        self.overload_signs = 0
        self._hint_share = 1.0
        self.baseline = 0.0
        self._deviation = 0.0
        self._recent_times: deque[float] = deque(maxlen=RECENT_ANSWERS)
        self._credit = 0.0
        self._running = 0
        self._credit_updated_at = 0.0
        self._pace = GrowthPace()
        self._growth_paused_until = float("-inf")
        self._last_shed_at = float("-inf")
        self._answered_at = 0.0
        self._measured_limit = float(slots)
        self.configure(slots, cold_share, slow_start)
        self._measured_limit = self._cold_limit

    @property
    def limit(self) -> float:
        """Requests that may run on average; setting it sets the measured limit."""
        hinted_limit = max(self._hint_share * self.slots, self._cold_limit)
        return min(self._measured_limit, hinted_limit)

    @limit.setter
    def limit(self, measured: float) -> None:
        self._measured_limit = measured

    @property
    def is_cold(self) -> bool:
        """Whether the upstream is taken for cold, apart from hints."""
        return self._measured_limit <= self._cold_limit

    def configure(self, slots: int, cold_share: float, slow_start: float) -> None:
        """Apply other parameters; the measured limit is kept up to the slots."""
        self.slots = slots
        self._slow_start = slow_start
        self._cold_limit = max(cold_share, 0.01) * slots
        self._growth_rate = math.log(1.0 / max(cold_share, 0.01)) / slow_start
        self._measured_limit = min(self._measured_limit, float(slots))

    def has_room(self, running: int, now: float) -> bool:
        """Return whether one more request could start now."""
        self._accrue_credit(running, now)
        if running < math.floor(self.limit + 1e-9):
            return True
        return running < math.ceil(self.limit - 1e-9) and self._credit >= 0.0

    def try_acquire(self, running: int, now: float) -> bool:
        """Return whether one more request may start; if so, it counts as started."""
        if not self.has_room(running, now):
            return False
        self._running = running + 1
        return True

    def _accrue_credit(self, running: int, now: float) -> None:
        """Add the unused part of the limit since the last call to the credit.

        The last slot is used while the credit is not negative, so that the average
        number of running requests equals the limit.
        """
        elapsed = now - self._credit_updated_at
        self._credit_updated_at = now
        credit = self._credit + (self.limit - self._running) * elapsed
        bound = max(self.baseline, 1e-3)
        self._credit = min(max(credit, -bound * self.slots), bound)
        self._running = running

    def estimate_service_time(self, now: float) -> float:
        """Return the expected service time of a request that starts now, in seconds.

        It falls while no answer comes, so that an upstream that was slow for a while
        gets a request again whose deadline is shorter than its slow answers.
        """
        unanswered = max(now - self._answered_at, 0.0)
        return self.baseline * 0.5 ** (unanswered / BASELINE_HALF_LIFE_S)

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Adapt the limit to an answer.

        Parameters
        ----------
        running : int
            Running requests, including the answered one.
        service_time : float
            Time from the start of the request to the answer, in seconds.
        """
        self._accrue_credit(running, now)
        self._running = running - 1
        self._answered_at = now
        self._recent_times.append(service_time)
        if self.baseline == 0.0:
            self.baseline = service_time
        recent_median = median(self._recent_times)
        normal_max = self.baseline + DEVIATIONS * self._deviation
        is_slow = recent_median > max(SLOW_RATIO * self.baseline, normal_max)
        is_steady = recent_median <= max(STEADY_RATIO * self.baseline, normal_max)
        self._update_baseline(service_time)
        if is_slow and len(self._recent_times) == RECENT_ANSWERS:
            self.overload_signs += 1
            self.restart_slow_start(now)
            return
        self.successes += is_steady
        if now < self._growth_paused_until or not is_steady:
            return
        if self._measured_limit >= self.slots:
            self._pace.record_work(service_time / self.slots / self._slow_start)
            return
        is_limit_used = running >= math.floor(self._measured_limit)
        if not is_limit_used:
            return
        new_limit = self._measured_limit + self._pace.share * self._growth_rate * min(
            service_time, 2.0 * self.baseline
        )
        self._measured_limit = min(new_limit, float(self.slots))

    def record_unmeasured_answer(self, running: int, now: float) -> None:
        """Record an answer whose service time is not known."""
        self._accrue_credit(running, now)
        self._running = running - 1

    def record_shed(self, running: int, now: float) -> None:
        """Lower the limit, as the upstream has shed a request."""
        self._accrue_credit(running, now)
        self._running = running - 1
        self.overload_signs += 1
        pause = max(4.0 * self.baseline, 0.1)
        if now - self._last_shed_at < self.baseline:
            return
        self._last_shed_at = now
        self._growth_paused_until = now + pause
        self._measured_limit = max(self._measured_limit * SHED_FACTOR, self._cold_limit)

    def record_timeout(self, elapsed: float, now: float) -> None:
        """Restart the slow start if a timed-out request ran for unusually long."""
        self._answered_at = now
        if elapsed > SLOW_RATIO * self.baseline:
            self.overload_signs += 1
            self.restart_slow_start(now)

    def restart_slow_start(self, now: float) -> None:
        """Set the limit to that of a cold upstream.

        The upstream was restarted, timed out or became slow.
        """
        self._measured_limit = self._cold_limit
        self._pace.record_cold_start()
        self._growth_paused_until = now + self.baseline
        if self._recent_times:
            self.baseline = max(self.baseline, median(self._recent_times))
        self._recent_times.clear()

    def record_upstream_crash(self, now: float) -> None:
        """Record that the upstream closed its connection with a request running."""
        self._pace.record_crash(now)
        self.overload_signs += 1
        self.restart_slow_start(now)

    def apply_hint(self, share: float) -> None:
        """Lower the limit to what endpoints of the upstream allow.

        The measured limit is kept, and applies again once the hint ends.

        Parameters
        ----------
        share : float
            Share of the slots, 0 to 1; the limit never falls below that of a cold
            upstream.
        """
        self._hint_share = share

    def _update_baseline(self, service_time: float) -> None:
        step = service_time - self.baseline
        self._deviation += BASELINE_RISE * (abs(step) - self._deviation)
        self.baseline += step * (BASELINE_FALL if step < 0 else BASELINE_RISE)
