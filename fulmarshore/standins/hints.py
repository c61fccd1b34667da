"""Health and load endpoints of a stand-in upstream, honest and misleading."""

from __future__ import annotations

import enum
from collections import deque
from random import Random

from fulmarshore.core.records import Health, HintSource, UpstreamHint
from fulmarshore.standins.work import WorkUpstream

WARM_SHARE = 0.3
"""Warmth below which an honest health endpoint says sick."""

LAG_S = 10.0
"""How far a lagging endpoint is behind."""

Hints = list[UpstreamHint]


class Accuracy(enum.StrEnum):
    """How an upstream's endpoints tell its state."""

    SILENT = "none"
    HONEST = "honest"
    LAGGING = "lagging"
    STUCK_HEALTHY = "stuck well"
    STUCK_UNHEALTHY = "stuck sick"
    STUCK_DRAINING = "stuck draining"
    RANDOM = "random"


class HintModel:
    """Says about an upstream what its endpoints would say.

    Parameters
    ----------
    accuracy : Accuracy
        How they tell its state.
    random : Random
        Source of random words.
    """

    def __init__(self, accuracy: Accuracy, random: Random) -> None:
        self._accuracy = accuracy
        self._random = random
        self._past: deque[tuple[float, Hints]] = deque()

    def read(self, work: WorkUpstream, now: float) -> Hints:
        """Return what both endpoints say now."""
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
    """Return the true state of an upstream; one that is down says nothing."""
    if work.is_down(now):
        return []
    health = Health.HEALTHY if work.warmth >= WARM_SHARE else Health.UNHEALTHY
    return make_hints(health, 1.0 / max(work.compute_load(), 1.0))


def make_hints(health: Health, share: float) -> Hints:
    """Return the words of both endpoints."""
    return [
        UpstreamHint(HintSource.HEALTH, health),
        UpstreamHint(HintSource.LOAD, share=share),
    ]
