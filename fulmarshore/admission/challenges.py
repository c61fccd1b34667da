"""Challenges, which prove that a request is newer than a loss of claims.

The home agent, which coordinates the requests of a bucket, issues a challenge, and
the caller returns it with the time since its first copy.
"""

from __future__ import annotations

from fulmarshore.admission.bounds import MAX_CLOCK_DRIFT
from fulmarshore.core.records import Challenge, Identity, Request


def find_earliest_send(home: Identity, request: Request, now: float) -> float:
    """Return a lower bound of the time at which a request was first sent.

    The caller received the challenge before it made this copy, and had sent its
    first copy ``age`` before that. The bound depends neither on the delay of this
    copy nor on duplicates. Without a valid challenge it is minus infinity.
    """
    challenge = request.challenge
    if challenge is None or not _was_issued_by(home, challenge, now):
        return float("-inf")
    bound = challenge.issued - request.age * (1.0 + MAX_CLOCK_DRIFT)
    assert bound <= now - request.age, "a challenge is issued before its copy is made"
    return bound


def _was_issued_by(home: Identity, challenge: Challenge, now: float) -> bool:
    issuer = Identity(challenge.agent, challenge.incarnation)
    return issuer == home and challenge.issued <= now
