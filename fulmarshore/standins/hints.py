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


class Candour(enum.StrEnum):
    """How an upstream's endpoints tell its state."""

    SILENT = "none"
    HONEST = "honest"
    LAGGING = "lagging"
    STUCK_WELL = "stuck well"
    STUCK_SICK = "stuck sick"
    STUCK_DRAINING = "stuck draining"
    RANDOM = "random"


class HintModel:
    """Says about an upstream what its endpoints would say.

    Parameters
    ----------
    candour : Candour
        How they tell its state.
    random : Random
        Source of random words.
    """

    def __init__(self, candour: Candour, random: Random) -> None:
        self._candour = candour
        self._random = random
        self._past: deque[tuple[float, Hints]] = deque()

    def ask(self, work: WorkUpstream, now: float) -> Hints:
        """Return what both endpoints say now."""
        match self._candour:
            case Candour.SILENT:
                return []
            case Candour.HONEST:
                return tell_state(work, now)
            case Candour.LAGGING:
                return self._tell_late(work, now)
            case Candour.STUCK_WELL:
                return make_hints(Health.HEALTHY, 1.0)
            case Candour.STUCK_SICK:
                return make_hints(Health.UNHEALTHY, 0.0)
            case Candour.STUCK_DRAINING:
                return make_hints(Health.DRAINING, 1.0)
            case Candour.RANDOM:
                health = self._random.choice(list(Health))
                return make_hints(health, self._random.random())

    def _tell_late(self, work: WorkUpstream, now: float) -> Hints:
        self._past.append((now, tell_state(work, now)))
        told: Hints = []
        while self._past and self._past[0][0] <= now - LAG_S:
            _, told = self._past.popleft()
        return told


def tell_state(work: WorkUpstream, now: float) -> Hints:
    """Return the true state of an upstream; one that is down says nothing."""
    if work.is_down(now):
        return []
    health = Health.HEALTHY if work.warmth >= WARM_SHARE else Health.UNHEALTHY
    return make_hints(health, 1.0 / max(work.find_load(), 1.0))


def make_hints(health: Health, share: float) -> Hints:
    """Return the words of both endpoints."""
    return [
        UpstreamHint(HintSource.HEALTH, health),
        UpstreamHint(HintSource.LOAD, share=share),
    ]
