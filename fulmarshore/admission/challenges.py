"""The proof that a request is younger than a loss."""

from __future__ import annotations

from fulmarshore.admission.bounds import MAX_CLOCK_DRIFT
from fulmarshore.core.records import Challenge, Identity, Request


def find_earliest_send(home: Identity, request: Request, now: float) -> float:
    """Return a time before which no copy of a request was sent.

    The caller got the challenge before it made this copy, and it had begun
    ``age`` before that. However long this copy was under way, and however
    often it arrives, the bound is the same.
    """
    challenge = request.challenge
    if challenge is None or not _is_issued_by(home, challenge, now):
        return float("-inf")
    bound = challenge.issued - request.age * (1.0 + MAX_CLOCK_DRIFT)
    assert bound <= now - request.age, "a challenge is older than its copy"
    return bound


def _is_issued_by(home: Identity, challenge: Challenge, now: float) -> bool:
    issuer = Identity(challenge.agent, challenge.incarnation)
    return issuer == home and challenge.issued <= now
