"""The budget of retries: a share of first tries."""

from __future__ import annotations

MAX_SAVED_RETRIES = 10.0
"""Retries that may be saved up for a moment of need."""


class RetryBudget:
    """A token bucket that first tries fill and retries empty.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.
    """

    __slots__ = ("share", "_tokens")

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = 1.0

    def deposit(self) -> None:
        """Count a first try."""
        self._tokens = min(self._tokens + self.share, MAX_SAVED_RETRIES)

    def try_withdraw(self) -> bool:
        """Take a retry from the budget, if it has one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
