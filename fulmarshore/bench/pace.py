"""Growth of limits over hours in which an upstream crashes and turns cold."""

from __future__ import annotations

import math

from msgspec import Struct

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.bench.cold import UPSTREAMS, run_policy
from fulmarshore.standins.work import WorkUpstream

SECONDS = 7200.0
NEVER = math.inf
PROFILE_SHARES = (1.0, 0.5)
"""Slow start of the profile over the time that the upstream really takes."""


class Troubles(Struct, frozen=True):
    """When an upstream crashes or turns cold.

    Parameters
    ----------
    crash_interval_s, cold_interval_s : float
        Time between two crashes, and between two turns.
    crashes_until_s : float
        When it crashes no more.
    """

    title: str
    crash_interval_s: float = NEVER
    cold_interval_s: float = NEVER
    crashes_until_s: float = NEVER


class Disturber:
    """Makes an upstream crash and turn cold at its times."""

    def __init__(self, troubles: Troubles) -> None:
        self._troubles = troubles
        self._crash_at = troubles.crash_interval_s
        self._cold_at = troubles.cold_interval_s

    def watch(self, work: WorkUpstream, now: float) -> None:
        """Do what is due."""
        if now >= self._crash_at and now < self._troubles.crashes_until_s:
            self._crash_at += self._troubles.crash_interval_s
            work.crash()
        if now >= self._cold_at:
            self._cold_at += self._troubles.cold_interval_s
            work.turn_cold()


class PaceOutcome(Struct, frozen=True):
    """What one series of troubles left of the throughput.

    Parameters
    ----------
    overloads : int
        Times that load made the upstream fall over; crashes are not counted.
    """

    upstream: str
    troubles: str
    profile_share: float
    overloads: int
    answers_per_s: float


class PaceReport(Struct, frozen=True):
    """The report: every series before two upstreams."""

    outcomes: list[PaceOutcome]


TROUBLES = (
    Troubles("cold each 600 s", cold_interval_s=600.0),
    Troubles("crash each 600 s", crash_interval_s=600.0),
    Troubles("crash each 200 s", crash_interval_s=200.0),
    Troubles("crash each 100 s", crash_interval_s=100.0),
    Troubles("3 crashes in growth, cold each 600 s", 20.0, 600.0, 61.0),
)


def run(seed: int = 1) -> PaceReport:
    """Run the product's limiter through every series."""
    outcomes: list[PaceOutcome] = []
    for upstream in ("one slot", "three slots"):
        model = UPSTREAMS[upstream]
        for troubles in TROUBLES:
            for share in PROFILE_SHARES:
                slow_start = share * model.warm_up_s
                limiter = ConcurrencyLimiter(model.slots, model.cold_share, slow_start)
                watch = Disturber(troubles).watch
                found = run_policy(
                    upstream, troubles.title, limiter, model, seed, watch, SECONDS
                )
                outcomes.append(
                    PaceOutcome(
                        upstream,
                        troubles.title,
                        share,
                        found.overloads,
                        found.answers_per_s,
                    )
                )
    return PaceReport(outcomes)
