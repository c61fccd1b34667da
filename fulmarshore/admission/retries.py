"""Retries by the home agent of requests that an executor has refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.claimtable import ClaimState
from fulmarshore.core.records import Reason

if TYPE_CHECKING:
    from fulmarshore.admission.coordinator import Coordinator

RETRY_JITTER_S = 0.02
MAX_RETRIES = 2

RETRYABLE = frozenset(
    {
        Reason.FENCED,
        Reason.DRAINING,
        Reason.FULL,
        Reason.SHED,
        Reason.STOPPING,
        Reason.ZONE_OUT,
    }
)
BUDGET_FREE = frozenset({Reason.ZONE_OUT, Reason.DRAINING, Reason.FENCED})
"""Refusals that are no sign of load; their retries don't use the budget."""


def acquire_retry(
    home: Coordinator, state: ClaimState, reason: str, now: float
) -> bool:
    """Return whether a claim may be dispatched again; if so, charge the budget."""
    if state.cancelled or state.retries >= MAX_RETRIES or state.request is None:
        return False
    if now + RETRY_JITTER_S >= state.deadline:
        return False
    service = home.service
    if service is None or len(service.accepting) < 2:
        return False
    return reason in BUDGET_FREE or home.budget.try_withdraw()
