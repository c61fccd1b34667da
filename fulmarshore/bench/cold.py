"""Compares concurrency limits in front of an upstream that turns cold.

The upstream is cold at the start, and once more later without notice. A single
simulated upstream gets as many requests as the limit allows, without agents or
a network. The report compares the limiter of the agents with other policies.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from msgspec import Struct

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import (
    Request,
    UpstreamDatagram,
    UpstreamGone,
    Verdict,
)
from fulmarshore.standins.work import WorkModel, WorkUpstream

SECONDS = 240.0
COLD_AT_S = 120.0
STEP_S = 0.02
FULL_SHARE = 0.95
WINDOW_S = 5.0
SCHEDULES_S = (10.0, 15.0, 20.0, 25.0, 28.0, 30.0, 32.0, 35.0, 40.0, 50.0, 60.0)
FIXED_SHARES = (0.05, 0.1, 0.11, 0.15, 0.2, 0.3, 0.5, 0.7, 1.0)


class Policy(Protocol):
    """The interface of a concurrency limit under measurement."""

    limit: float

    def try_acquire(self, running: int, now: float) -> bool:
        """Return whether one more request may start."""

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Update the limit after an answer."""

    def record_shed(self, running: int, now: float) -> None:
        """Update the limit after the upstream shed a request."""

    def record_upstream_crash(self, now: float) -> None:
        """Update the limit after the upstream crashed."""


class FixedLimit(ConcurrencyLimiter):
    """A limit that never changes."""

    __slots__ = ()

    def __init__(self, slots: int, limit: float) -> None:
        super().__init__(slots, 1.0, 1.0)
        self.limit = limit

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Only count the work."""
        self.baseline = self.baseline or service_time
        self._accrue_credit(running, now)
        self._running = running - 1

    def record_shed(self, running: int, now: float) -> None:
        """Only count the work."""
        self._accrue_credit(running, now)
        self._running = running - 1

    def record_upstream_crash(self, now: float) -> None:
        """Keep the limit after a crash."""


class ScheduledLimit(FixedLimit):
    """A limit that grows over a fixed time from each moment the upstream is cold."""

    __slots__ = ("duration", "initial_share", "started_at")

    def __init__(self, slots: int, initial_share: float, duration: float) -> None:
        super().__init__(slots, initial_share * slots)
        self.duration = duration
        self.initial_share = initial_share
        self.started_at = 0.0

    def try_acquire(self, running: int, now: float) -> bool:
        """Apply the schedule, which knows in advance when the upstream turns cold."""
        if now >= COLD_AT_S > self.started_at:
            self.started_at = COLD_AT_S
        passed = (now - self.started_at) / self.duration
        self.limit = self.slots * min(self.initial_share ** (1.0 - passed), 1.0)
        return super().try_acquire(running, now)


class GradientLimiter(ConcurrencyLimiter):
    """A gradient limiter: scales by the long-term over the last service time."""

    __slots__ = ("long_term_time",)

    def __init__(self, slots: int, cold_share: float) -> None:
        super().__init__(slots, cold_share, 30.0)
        self.long_term_time = 0.0

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Scale the limit by the gradient and add its square root to probe."""
        self.baseline = self.baseline or service_time
        self._accrue_credit(running, now)
        self._running = running - 1
        self.long_term_time = self.long_term_time or service_time
        self.long_term_time += 0.05 * (service_time - self.long_term_time)
        gradient = min(max(1.5 * self.long_term_time / service_time, 0.5), 1.0)
        wanted = self.limit * gradient + math.sqrt(self.limit)
        smoothed = 0.8 * self.limit + 0.2 * wanted
        self.limit = min(max(smoothed, self._cold_limit), float(self.slots))

    def record_upstream_crash(self, now: float) -> None:
        """Return to the limit of a cold upstream."""
        self.limit = self._cold_limit


class Outcome(Struct, frozen=True):
    """Result of one policy in front of one upstream.

    Parameters
    ----------
    overloads : int
        Times that the upstream collapsed under load.
    time_to_full_s, time_to_full_again_s : float
        Seconds from the start, and from the moment when the upstream turns
        cold without notice, until 95 % of capacity; -1 for never.
    answers_per_s : float
        Answers per second over the whole run.
    """

    upstream: str
    policy: str
    overloads: int
    time_to_full_s: float
    time_to_full_again_s: float
    answers_per_s: float


class ColdReport(Struct, frozen=True):
    """Totals of the limiter that agents use, and the outcome of every policy."""

    overloads: int
    time_to_full_ratio: float
    throughput_ratio: float
    outcomes: list[Outcome]


def run_policy(
    upstream: str,
    name: str,
    policy: Policy,
    model: WorkModel,
    seed: int,
    watch: Callable[[WorkUpstream, float], None] | None = None,
    seconds: float = SECONDS,
) -> Outcome:
    """Run one policy in front of one upstream with unlimited demand.

    Parameters
    ----------
    watch : callable or None
        Called with the upstream and the time at each step.
    seconds : float
        Simulated length of the run.
    """
    work = WorkUpstream(name, model, Random(seed))
    events: list[tuple[float, int, object]] = []
    running: dict[bytes, float] = {}
    answers: deque[float] = deque()
    now, number, total = 0.0, 0, 0
    turned_cold = False
    full_at: list[float] = [-1.0, -1.0]
    capacity = model.slots / model.service_s
    while now < seconds:
        step = now + STEP_S
        now = min(events[0][0], step) if events else step
        if now >= COLD_AT_S and not turned_cold:
            turned_cold = True
            work.turn_cold()
            answers.clear()
        if watch is not None:
            watch(work, now)
        while events and events[0][0] <= now:
            _, _, event = heapq.heappop(events)
            for output in work.finish(event, now):
                total += _handle_upstream_event(policy, running, answers, output, now)
        while policy.try_acquire(len(running), now):
            number += 1
            flow = number.to_bytes(16, "big")
            running[flow] = now
            request = Request("s", "c", number, 0, 10.0, False, False, b"")
            for delay, event in work.handle_datagram(flow, encode(request), now):
                number += 1
                heapq.heappush(events, (now + delay, number, event))
            if len(running) >= 1_000:
                break
        while answers and answers[0] < now - WINDOW_S:
            answers.popleft()
        is_full = len(answers) >= FULL_SHARE * capacity * WINDOW_S
        if is_full and full_at[turned_cold] < 0:
            full_at[turned_cold] = now - (COLD_AT_S if turned_cold else 0.0)
    return Outcome(
        upstream,
        name,
        work.overloads,
        round(full_at[0], 1),
        round(full_at[1], 1),
        round(total / seconds, 2),
    )


def _handle_upstream_event(
    policy: Policy,
    running: dict[bytes, float],
    answers: deque[float],
    event: object,
    now: float,
) -> int:
    """Update the policy with an event and return the number of answers in it."""
    if isinstance(event, UpstreamGone):
        if running.pop(event.flow, None) is not None:
            policy.record_upstream_crash(now)
        return 0
    assert isinstance(event, UpstreamDatagram)
    if event.flow not in running:
        return 0
    in_flight = len(running)
    started_at = running.pop(event.flow)
    response = decode_request(event.payload, "upstream")
    if response.verdict == Verdict.NOT_RUN:
        policy.record_shed(in_flight, now)
        return 0
    policy.record_answer(in_flight, now - started_at, now)
    answers.append(now)
    return 1


UPSTREAMS: dict[str, WorkModel] = {
    "one slot": WorkModel(slots=1),
    "three slots": WorkModel(slots=3),
    "three slots, sheds": WorkModel(slots=3, sheds=True),
    "eight slots": WorkModel(slots=8, service_s=0.05),
}


def _find_best(
    upstream: str, name: str, model: WorkModel, seed: int, policies: list[Policy]
) -> Outcome:
    """Return the outcome of the best policy without an overload."""
    best: Outcome | None = None
    for policy in policies:
        outcome = run_policy(upstream, name, policy, model, seed)
        if outcome.overloads:
            continue
        if best is None or outcome.answers_per_s > best.answers_per_s:
            best = outcome
    assert best is not None, "every policy overloaded the upstream"
    return best


def run(seed: int = 1) -> ColdReport:
    """Run every policy in front of every upstream."""
    outcomes: list[Outcome] = []
    overloads, time_ratio, rate_ratio = 0, 0.0, math.inf
    for upstream, model in UPSTREAMS.items():
        slots, share = model.slots, model.cold_share
        factories: list[tuple[str, Callable[[], Policy]]] = [
            (
                "follows answers",
                lambda: ConcurrencyLimiter(slots, share, model.warm_up_s),
            ),
            (
                "follows, half time",
                lambda: ConcurrencyLimiter(slots, share, model.warm_up_s / 2),
            ),
            ("gradient", lambda: GradientLimiter(slots, share)),
            ("no limit", lambda: FixedLimit(slots, 2.0 * slots)),
            ("fixed at slots", lambda: FixedLimit(slots, float(slots))),
        ]
        rows = [
            run_policy(upstream, name, make(), model, seed) for name, make in factories
        ]
        fixed = [FixedLimit(slots, share * slots) for share in FIXED_SHARES]
        rows.append(_find_best(upstream, "best fixed limit", model, seed, fixed))
        schedules = [
            ScheduledLimit(slots, model.cold_share, duration)
            for duration in SCHEDULES_S
        ]
        rows.append(_find_best(upstream, "best fixed schedule", model, seed, schedules))
        outcomes += rows
        own, schedule = rows[0], rows[-1]
        overloads += own.overloads
        time_ratio = max(time_ratio, _compute_time_ratio(own, schedule))
        rate_ratio = min(rate_ratio, own.answers_per_s / rows[-2].answers_per_s)
    return ColdReport(overloads, round(time_ratio, 2), round(rate_ratio, 2), outcomes)


def _compute_time_ratio(own: Outcome, schedule: Outcome) -> float:
    """Return the larger ratio of the times to full capacity to the schedule's."""
    pairs = (
        (own.time_to_full_s, schedule.time_to_full_s),
        (own.time_to_full_again_s, schedule.time_to_full_again_s),
    )
    return max(
        math.inf if own_time < 0 else own_time / schedule_time
        for own_time, schedule_time in pairs
    )
