"""Passive outlier detection for an upstream, from the requests that pass its agent.

The health that an upstream reports may be wrong in both directions, but its agent
sees which requests it answers, resets or leaves unanswered. An upstream that fails
fast always has a free slot and would attract every new flow. An ejected upstream is
still offered flows that no other one takes, so an ejection, justified or not, never
leaves a service without upstreams.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 3.0
"""How long the outcome of a request counts."""
MIN_FAILURES = 3
"""Fewer failures in that time may be due to single callers."""
MIN_FAILURE_SHARE = 0.2
"""Share of failed requests from which an upstream is an outlier."""
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
"""Length of an ejection, which doubles from the first to the second value while an
upstream fails again soon."""
REPEAT_WINDOW_S = 5.0
"""An ejection within this time after the last one is a repeated one."""


class OutlierDetector:
    """Decides whether one upstream is an outlier."""

    __slots__ = ("_outcomes", "_failures", "_ejected_until", "_ejection_s")

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._ejected_until = float("-inf")
        self._ejection_s = MIN_EJECTION_S

    def is_outlier(self, now: float) -> bool:
        """Whether the upstream is ejected, so that others should be tried first."""
        return now < self._ejected_until

    def record_outcome(self, is_answered: bool, now: float) -> bool:
        """Record whether a request was answered; return whether an ejection starts."""
        self._outcomes.append((now, is_answered))
        self._failures += not is_answered
        while now - self._outcomes[0][0] > WINDOW_S:
            self._failures -= not self._outcomes.popleft()[1]
        if is_answered or self.is_outlier(now) or not self._exceeds_thresholds():
            return False
        is_repeat = now - self._ejected_until < REPEAT_WINDOW_S
        doubled_s = min(self._ejection_s * 2, MAX_EJECTION_S)
        self._ejection_s = doubled_s if is_repeat else MIN_EJECTION_S
        self._ejected_until = now + self._ejection_s
        self._outcomes.clear()
        self._failures = 0
        return True

    def reset(self) -> None:
        """Discard outcomes of the previous incarnation; a current ejection stays."""
        self._outcomes.clear()
        self._failures = 0

    def _exceeds_thresholds(self) -> bool:
        if self._failures < MIN_FAILURES:
            return False
        return self._failures >= MIN_FAILURE_SHARE * len(self._outcomes)
