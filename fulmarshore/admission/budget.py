"""Retry budget: limits retries to a fraction of the first attempts."""

from __future__ import annotations

MAX_SAVED_RETRIES = 10.0
"""Highest number of tokens that the budget can hold."""


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    Parameters
    ----------
    share : float
        Retries allowed for each first attempt.
    """

    __slots__ = ("share", "_tokens")

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = 1.0

    def deposit(self) -> None:
        """Add the share of a first attempt."""
        self._tokens = min(self._tokens + self.share, MAX_SAVED_RETRIES)

    def try_withdraw(self) -> bool:
        """Take a token for a retry; False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
