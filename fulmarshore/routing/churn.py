"""Detection of members with low churn: few of their flows end.

All flows of an upstream that has just come back are young, and hardly any end.
Excess flows, given to it because reports were late or several homes chose it at
the same moment, stay with it, while at other members such errors even out.
"""

from __future__ import annotations

from collections import Counter

LOW_CHURN_RATIO = 0.25
"""Share of the highest count of ended flows below which a member has low churn."""
HALVING_COUNT = 64
"""All counts are halved when one reaches this, so that they follow changes."""
MIN_ENDINGS = 16
"""No member has low churn while the highest count is below this."""


class ChurnTracker:
    """Counts the flows of one home agent that ended at each member."""

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
        """Return whether few flows of a member end, compared with the others."""
        most = max(self._ended.values(), default=0)
        return most >= MIN_ENDINGS and self._ended[name] < LOW_CHURN_RATIO * most

    def update(self, accepting: set[str]) -> None:
        """Reset the counts of members that accept flows again.

        Flows that ended during a drain do not show how many end after it.
        """
        for name in accepting - self._accepting:
            self._ended.pop(name, None)
        self._accepting = accepting
