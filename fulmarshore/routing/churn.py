"""Which members lose no flows while others do.

All flows of an upstream that has just come back are young, and hardly one ends.
What it gets too much, by reports that are late or homes that chose it at the
same moment, stays with it, while everywhere else such errors even out.
"""

from __future__ import annotations

from collections import Counter

LOW_CHURN_RATIO = 0.25
"""A member that ends less than this share of what others end is quiet."""
HALVING_COUNT = 64
"""All counts are halved when one reaches this, so that they follow changes."""
MIN_ENDINGS = 16
"""With fewer endings of any member nothing is known of the others."""


class ChurnTracker:
    """Counts the flows that ended at each member, of those that a home knows."""

    __slots__ = ("_ended", "_accepting")

    def __init__(self) -> None:
        self._ended: Counter[str] = Counter()
        self._accepting: set[str] = set()

    def record_ended(self, name: str) -> None:
        """Count a flow that ended at a member."""
        self._ended[name] += 1
        if self._ended[name] < HALVING_COUNT:
            return
        for other in self._ended:
            self._ended[other] //= 2

    def has_low_churn(self, name: str) -> bool:
        """Return whether hardly a flow of a member ends beside the others."""
        most = max(self._ended.values(), default=0)
        return most >= MIN_ENDINGS and self._ended[name] < LOW_CHURN_RATIO * most

    def update(self, accepting: set[str]) -> None:
        """Begin anew with members that accept flows again.

        What ended while a member was drained says nothing about its return.
        """
        for name in accepting - self._accepting:
            self._ended.pop(name, None)
        self._accepting = accepting
