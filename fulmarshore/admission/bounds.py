"""Bounds on the life of requests that every role relies on."""

from __future__ import annotations

MAX_TIMEOUT_S = 30.0
"""Longest deadline of a request; a longer one is malformed."""

COPY_LIFE_S = 5.0
"""A copy of a request that was sent this long ago is in no network or queue."""

MAX_CLOCK_DRIFT = 1e-3
"""Share by which the clock of a caller may be slower than that of an agent."""

LEASE_GRACE_S = 10.0
"""How long after the end of its lease a home may admit what must run once."""

CLAIM_MARGIN_S = 25.0
"""How much longer than needed a claim is kept."""

MAX_CLAIM_LIFE_S = MAX_TIMEOUT_S + COPY_LIFE_S + CLAIM_MARGIN_S
"""No claim is needed, and none is kept, this long after its last copy."""

MAX_ATTEMPTS = 64
"""Attempts of one request; a higher number is malformed."""

MAX_RUNS_PER_ATTEMPT = 64
"""Hand-overs of one attempt; numbers of later attempts are above them."""

MAX_CLAIMS = 20_000
"""Claims at which an agent refuses new non-idempotent work."""

MAX_TOMBSTONES = 20_000
"""Refusals kept beyond ``MAX_CLAIMS``; above them copies are dropped unanswered."""

MAX_KEPT_BODY_BYTES = 1_024
"""An answer with a longer body is kept for resends for a short time only."""

LARGE_BODY_LIFE_S = 3.0
"""How long such a longer body is kept."""

MAX_ANSWER_BYTES = 60_000
"""A body must fit one datagram with the records around it."""

BACKUP_RESEND_INTERVAL_S = 0.05
"""Time between two showings of a claim to a peer."""

DEPARTURE_GRACE_S = 0.6
"""Wait for the last word of an executor that left the table."""

OUTCOME_TIMEOUT_S = 2.0
"""Time after the deadline at which an outcome that nobody tells is unknown."""


def find_claim_life(timeout: float) -> float:
    """Return how long a claim must outlive the copy that has this timeout.

    The caller sends no copy after its deadline, which is at most ``timeout``
    ahead, and each copy is gone ``COPY_LIFE_S`` after it was sent.

    Parameters
    ----------
    timeout : float
        What the copy says is left until the deadline, in seconds.
    """
    assert 0 < timeout <= MAX_TIMEOUT_S, timeout
    return timeout + COPY_LIFE_S + CLAIM_MARGIN_S
