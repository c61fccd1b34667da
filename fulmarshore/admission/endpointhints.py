"""Trust in the health and load endpoints of an upstream.

A hint from an endpoint can only lower the limit that the agent has measured, and
only until it expires. An endpoint that asks for less load while requests succeed
is misleading, and is ignored for a time.
"""

from __future__ import annotations

import math

from fulmarshore.core.records import Health, HintSource, UpstreamHint

HINT_LIFE_S = 5.0
"""Time after which a hint expires unless the endpoint renews it."""

MIN_HINT_AGE_S = 1.0
"""Time after the first hint before successes count against it."""

CONTRADICTION_COUNT = 5
"""Successful requests after which a hint is taken for misleading."""

MIN_DISTRUST_S = 60.0
MAX_DISTRUST_S = 960.0
DISTRUST_FACTOR = 2.0
"""Time for which a misleading endpoint is ignored; it grows by the factor each time."""


class EndpointTrust:
    """The current hint of one endpoint, and whether the endpoint is trusted."""

    __slots__ = (
        "_share",
        "_expires_at",
        "_started_at",
        "_successes",
        "_distrust_s",
        "_distrusted_until",
    )

    def __init__(self) -> None:
        self._share = 1.0
        self._expires_at = float("-inf")
        self._started_at = float("-inf")
        self._successes = 0
        self._distrust_s = MIN_DISTRUST_S
        self._distrusted_until = float("-inf")

    def is_trusted(self, now: float) -> bool:
        """Return whether hints of the endpoint are applied."""
        return now >= self._distrusted_until

    def record_hint(self, share: float, now: float) -> None:
        """Record the share of its slots that the upstream reports as usable."""
        if share < 1.0 and now - self._expires_at >= HINT_LIFE_S:
            # A hint within ``HINT_LIFE_S`` of the expiry of the last one continues it.
            self._started_at = now
            self._successes = 0
        if share < 1.0:
            self._expires_at = now + HINT_LIFE_S
        self._share = share

    def get_share(self, now: float) -> float:
        """Return the share of the slots that the hint allows, 1 without a hint."""
        if now >= self._expires_at or not self.is_trusted(now):
            return 1.0
        return self._share

    def record_work(self, successes: int, overload_signs: int, now: float) -> bool:
        """Compare the hint with completed requests; True if it is misleading.

        Parameters
        ----------
        successes, overload_signs : int
            Answers at the usual service time, and signs of overload, since the
            last call.
        """
        if self.get_share(now) >= 1.0:
            return False
        if overload_signs:
            self._successes = 0
            self._distrust_s = MIN_DISTRUST_S
            return False
        if now - self._started_at < MIN_HINT_AGE_S:
            return False
        self._successes += successes
        if self._successes < CONTRADICTION_COUNT:
            return False
        self._successes = 0
        self._distrusted_until = now + self._distrust_s
        self._distrust_s = min(self._distrust_s * DISTRUST_FACTOR, MAX_DISTRUST_S)
        return True


class EndpointHints:
    """The hints of all endpoints of an upstream."""

    __slots__ = ("_trust", "_successes", "_overload_signs")

    def __init__(self) -> None:
        self._trust = {source: EndpointTrust() for source in HintSource}
        self._successes = 0
        self._overload_signs = 0

    def record_hint(self, hint: UpstreamHint, now: float) -> bool:
        """Record a hint; False if its share is not between 0 and 1."""
        if not math.isfinite(hint.share) or not 0.0 <= hint.share <= 1.0:
            return False
        share = 0.0 if hint.health == Health.UNHEALTHY else hint.share
        self._trust[hint.source].record_hint(share, now)
        return True

    def get_share(self, now: float) -> float:
        """Return the lowest share that a trusted endpoint allows."""
        return min(trust.get_share(now) for trust in self._trust.values())

    def record_work(
        self, successes: int, overload_signs: int, now: float
    ) -> list[HintSource]:
        """Return the endpoints that turn out to be misleading.

        Parameters
        ----------
        successes, overload_signs : int
            Answers at the usual service time, and signs of overload, since the
            start.
        """
        new_successes, new_signs = (
            successes - self._successes,
            overload_signs - self._overload_signs,
        )
        self._successes, self._overload_signs = successes, overload_signs
        contradicted: list[HintSource] = []
        for source, trust in self._trust.items():
            if trust.record_work(new_successes, new_signs, now):
                contradicted.append(source)
        return contradicted
