"""Limits on the lifetime and size of requests, shared by all roles."""

from __future__ import annotations

MAX_TIMEOUT_S = 30.0
"""Longest timeout of a request; a longer one is malformed."""

COPY_LIFE_S = 5.0
"""Time after which no copy of a request is left in a network or queue."""

MAX_CLOCK_DRIFT = 1e-3
"""Fraction by which the clock of a caller may be slower than that of an agent."""

LEASE_GRACE_S = 10.0
"""Time after the end of its lease for which a home may admit non-idempotent work."""

CLAIM_MARGIN_S = 25.0
"""Time for which a claim is kept beyond its last possible copy."""

MAX_CLAIM_LIFE_S = MAX_TIMEOUT_S + COPY_LIFE_S + CLAIM_MARGIN_S
"""Longest time for which a claim is needed, and kept, after its last copy."""

MAX_ATTEMPTS = 64
"""Attempts of one request; an attempt number beyond is malformed."""

MAX_RUNS_PER_ATTEMPT = 64
"""Run numbers reserved for each attempt, so those of later attempts are higher."""

MAX_CLAIMS = 20_000
"""Number of claims at which an agent refuses new non-idempotent work."""

MAX_TOMBSTONES = 20_000
"""Refusals kept beyond ``MAX_CLAIMS``; further copies are dropped unanswered."""

MAX_KEPT_BODY_BYTES = 1_024
"""Size above which the body of an answer is kept for ``LARGE_BODY_LIFE_S`` only."""

LARGE_BODY_LIFE_S = 3.0
"""Time for which a body above ``MAX_KEPT_BODY_BYTES`` is kept for resends."""

MAX_ANSWER_BYTES = 60_000
"""Longest body of an answer, which fits one datagram with its record."""

BACKUP_RESEND_INTERVAL_S = 0.05
"""Time between two sends of a claim to a peer."""

DEPARTURE_GRACE_S = 0.6
"""Wait for the last reply of an executor that has left the table."""

OUTCOME_TIMEOUT_S = 2.0
"""Time after the deadline at which a missing outcome is recorded as unknown."""


def find_claim_life(timeout: float) -> float:
    """Return how long a claim must be kept after a copy with this timeout.

    The caller sends no copy after its deadline, which is at most ``timeout``
    ahead, and no copy exists for longer than ``COPY_LIFE_S``.

    Parameters
    ----------
    timeout : float
        Time left until the deadline according to the copy, in seconds.
    """
    assert 0 < timeout <= MAX_TIMEOUT_S, timeout
    return timeout + COPY_LIFE_S + CLAIM_MARGIN_S
