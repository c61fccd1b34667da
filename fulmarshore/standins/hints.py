"""Models of an upstream's health and load endpoints, accurate or misleading."""

from __future__ import annotations

import enum
from collections import deque
from random import Random

from fulmarshore.core.records import Health, HintSource, UpstreamHint
from fulmarshore.standins.work import WorkUpstream

WARM_SHARE = 0.3
"""Warmth below which an accurate health endpoint reports unhealthy."""

LAG_S = 10.0
"""Delay of a lagging endpoint."""

Hints = list[UpstreamHint]


class Accuracy(enum.StrEnum):
    """How accurately an upstream's endpoints report its state."""

    SILENT = "none"
    HONEST = "honest"
    LAGGING = "lagging"
    STUCK_HEALTHY = "stuck well"
    STUCK_UNHEALTHY = "stuck sick"
    STUCK_DRAINING = "stuck draining"
    RANDOM = "random"


class HintModel:
    """Produces the hints that an upstream's endpoints would give.

    Parameters
    ----------
    accuracy : Accuracy
        How accurately they report its state.
    random : Random
        Source of random hints.
    """

    def __init__(self, accuracy: Accuracy, random: Random) -> None:
        self._accuracy = accuracy
        self._random = random
        self._past: deque[tuple[float, Hints]] = deque()

    def read(self, work: WorkUpstream, now: float) -> Hints:
        """Return the current hints of both endpoints."""
        match self._accuracy:
            case Accuracy.SILENT:
                return []
            case Accuracy.HONEST:
                return make_true_hints(work, now)
            case Accuracy.LAGGING:
                return self._make_delayed_hints(work, now)
            case Accuracy.STUCK_HEALTHY:
                return make_hints(Health.HEALTHY, 1.0)
            case Accuracy.STUCK_UNHEALTHY:
                return make_hints(Health.UNHEALTHY, 0.0)
            case Accuracy.STUCK_DRAINING:
                return make_hints(Health.DRAINING, 1.0)
            case Accuracy.RANDOM:
                health = self._random.choice(list(Health))
                return make_hints(health, self._random.random())

    def _make_delayed_hints(self, work: WorkUpstream, now: float) -> Hints:
        self._past.append((now, make_true_hints(work, now)))
        delayed: Hints = []
        while self._past and self._past[0][0] <= now - LAG_S:
            _, delayed = self._past.popleft()
        return delayed


def make_true_hints(work: WorkUpstream, now: float) -> Hints:
    """Return hints with the true state; none while the upstream is down."""
    if work.is_down(now):
        return []
    health = Health.HEALTHY if work.warmth >= WARM_SHARE else Health.UNHEALTHY
    return make_hints(health, 1.0 / max(work.compute_load(), 1.0))


def make_hints(health: Health, share: float) -> Hints:
    """Return a hint of each endpoint."""
    return [
        UpstreamHint(HintSource.HEALTH, health),
        UpstreamHint(HintSource.LOAD, share=share),
    ]
