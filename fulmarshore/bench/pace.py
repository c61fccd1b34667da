"""Measures how the limiter recovers over hours of crashes and cold turns.

The limiter of the agents runs in front of one simulated upstream, without
agents or a network.
"""

from __future__ import annotations

import math

from msgspec import Struct

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.bench.cold import UPSTREAMS, run_policy
from fulmarshore.standins.work import WorkUpstream

SECONDS = 7200.0
NEVER = math.inf
PROFILE_SHARES = (1.0, 0.5)
"""Slow start of the profile over the actual warm-up time of the upstream."""


class FaultSchedule(Struct, frozen=True):
    """When an upstream crashes or turns cold.

    Parameters
    ----------
    crash_interval_s, cold_interval_s : float
        Time between two crashes, and between two moments when it turns cold.
    crashes_until_s : float
        Time after which it no longer crashes.
    """

    title: str
    crash_interval_s: float = NEVER
    cold_interval_s: float = NEVER
    crashes_until_s: float = NEVER


class FaultTrigger:
    """Makes an upstream crash and turn cold at the scheduled times."""

    def __init__(self, schedule: FaultSchedule) -> None:
        self._schedule = schedule
        self._crash_at = schedule.crash_interval_s
        self._cold_at = schedule.cold_interval_s

    def watch(self, work: WorkUpstream, now: float) -> None:
        """Trigger the faults that are due."""
        if now >= self._crash_at and now < self._schedule.crashes_until_s:
            self._crash_at += self._schedule.crash_interval_s
            work.crash()
        if now >= self._cold_at:
            self._cold_at += self._schedule.cold_interval_s
            work.turn_cold()


class PaceOutcome(Struct, frozen=True):
    """Throughput of one upstream under one schedule of faults.

    Parameters
    ----------
    overloads : int
        Times that the upstream collapsed under load; scheduled crashes are not
        counted.
    """

    upstream: str
    troubles: str
    profile_share: float
    overloads: int
    answers_per_s: float


class PaceReport(Struct, frozen=True):
    """Outcomes of every schedule of faults for two upstreams."""

    outcomes: list[PaceOutcome]


FAULT_SCHEDULES = (
    FaultSchedule("cold each 600 s", cold_interval_s=600.0),
    FaultSchedule("crash each 600 s", crash_interval_s=600.0),
    FaultSchedule("crash each 200 s", crash_interval_s=200.0),
    FaultSchedule("crash each 100 s", crash_interval_s=100.0),
    FaultSchedule("3 crashes in growth, cold each 600 s", 20.0, 600.0, 61.0),
)


def run(seed: int = 1) -> PaceReport:
    """Run the limiter of the agents with every schedule of faults."""
    outcomes: list[PaceOutcome] = []
    for upstream in ("one slot", "three slots"):
        model = UPSTREAMS[upstream]
        for schedule in FAULT_SCHEDULES:
            for share in PROFILE_SHARES:
                slow_start = share * model.warm_up_s
                limiter = ConcurrencyLimiter(model.slots, model.cold_share, slow_start)
                watch = FaultTrigger(schedule).watch
                found = run_policy(
                    upstream, schedule.title, limiter, model, seed, watch, SECONDS
                )
                outcomes.append(
                    PaceOutcome(
                        upstream,
                        schedule.title,
                        share,
                        found.overloads,
                        found.answers_per_s,
                    )
                )
    return PaceReport(outcomes)
