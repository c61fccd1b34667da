"""How far the health and load endpoints of an upstream are believed.

A hint only lowers what the agent found out by itself, and only for a time.
Work that goes well in spite of it shows that the endpoint misleads.
"""

from __future__ import annotations

import math

from fulmarshore.core.records import Health, HintSource, UpstreamHint

HINT_LIFE_S = 5.0
"""How long a hint counts unless the endpoint renews it."""

MIN_HINT_AGE_S = 1.0
"""Time after the first hint before good work speaks against it."""

CONTRADICTION_COUNT = 5
"""Pieces of work that went well, after which a hint is taken for wrong."""

MIN_DISTRUST_S = 60.0
MAX_DISTRUST_S = 960.0
DISTRUST_FACTOR = 2.0
"""How long a misleading endpoint is not believed, longer each time."""


class EndpointTrust:
    """What one endpoint asks for, and whether it is believed."""

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
        """Return whether its hints count."""
        return now >= self._distrusted_until

    def record_hint(self, share: float, now: float) -> None:
        """Take the share of its slots that the upstream claims to bear."""
        if share < 1.0 and now - self._expires_at >= HINT_LIFE_S:
            # Hints that come and go at short intervals are judged as one.
            self._started_at = now
            self._successes = 0
        if share < 1.0:
            self._expires_at = now + HINT_LIFE_S
        self._share = share

    def get_share(self, now: float) -> float:
        """Return the share that the endpoint is believed to allow."""
        if now >= self._expires_at or not self.is_trusted(now):
            return 1.0
        return self._share

    def record_work(self, successes: int, overload_signs: int, now: float) -> bool:
        """Hold the hint against work done; True if it turns out misleading.

        Parameters
        ----------
        good, bad : int
            Work that went well, and signs of overload, since the last call.
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
    """The share of its slots that all endpoints of an upstream allow."""

    __slots__ = ("_trust", "_successes", "_overload_signs")

    def __init__(self) -> None:
        self._trust = {source: EndpointTrust() for source in HintSource}
        self._successes = 0
        self._overload_signs = 0

    def record_hint(self, hint: UpstreamHint, now: float) -> bool:
        """Take a hint; False where it makes no sense."""
        if not math.isfinite(hint.share) or not 0.0 <= hint.share <= 1.0:
            return False
        share = 0.0 if hint.health == Health.UNHEALTHY else hint.share
        self._trust[hint.source].record_hint(share, now)
        return True

    def get_share(self, now: float) -> float:
        """Return the lowest share that a believed endpoint allows."""
        return min(trust.get_share(now) for trust in self._trust.values())

    def record_work(
        self, successes: int, overload_signs: int, now: float
    ) -> list[HintSource]:
        """Return the endpoints that turn out misleading.

        Parameters
        ----------
        good, bad : int
            Work that went well, and signs of overload, since the start.
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
