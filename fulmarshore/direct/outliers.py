"""Whether an upstream does its work, judged by what passes its agent.

What an upstream says of its health may be false, either way. Its agent sees which
requests it answers, resets, or leaves without an answer. This module answers the
load of upstreams that fail quickly: they always have a free slot, so every new flow
would go there. An upstream that is suspected is offered what no other one takes, so
no suspicion, right or wrong, empties a service.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 3.0
"""How long an outcome counts."""
MIN_FAILURES = 3
"""Failures in that time that are no accident of single callers."""
MIN_FAILURE_SHARE = 0.2
"""Share of the requests that an upstream may fail before it is suspected."""
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
"""How long a suspicion lasts, twice as long each time it proves right at once."""
REPEAT_WINDOW_S = 5.0
"""A suspicion that begins so soon after the last one has ended proves it right."""


class OutlierDetector:
    """What is thought of one upstream."""

    __slots__ = ("_outcomes", "_failures", "_ejected_until", "_ejection_s")

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._ejected_until = float("-inf")
        self._ejection_s = MIN_EJECTION_S

    def is_outlier(self, now: float) -> bool:
        """Whether other upstreams should be asked first."""
        return now < self._ejected_until

    def record_outcome(self, is_answered: bool, now: float) -> bool:
        """Note how a request ended; whether a suspicion begins."""
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
        """Judge another incarnation from the beginning, but for its suspicion."""
        self._outcomes.clear()
        self._failures = 0

    def _exceeds_thresholds(self) -> bool:
        if self._failures < MIN_FAILURES:
            return False
        return self._failures >= MIN_FAILURE_SHARE * len(self._outcomes)
