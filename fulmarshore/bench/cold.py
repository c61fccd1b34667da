"""Limits before an upstream that starts cold and turns cold unannounced."""

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
    """What the measurement needs of a limit."""

    limit: float

    def try_acquire(self, running: int, now: float) -> bool:
        """Return whether one more request may start."""

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Learn from an answer."""

    def record_shed(self, running: int, now: float) -> None:
        """Learn that work was shed."""

    def record_upstream_crash(self, now: float) -> None:
        """Learn that the upstream is gone."""


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
        """Change nothing."""


class Schedule(FixedLimit):
    """A limit that grows over a fixed time from each known cold moment."""

    __slots__ = ("span", "share", "began")

    def __init__(self, slots: int, share: float, span: float) -> None:
        super().__init__(slots, share * slots)
        self.span = span
        self.share = share
        self.began = 0.0

    def try_acquire(self, running: int, now: float) -> bool:
        """Follow the schedule; it knows when the upstream turns cold."""
        if now >= COLD_AT_S > self.began:
            self.began = COLD_AT_S
        passed = (now - self.began) / self.span
        self.limit = self.slots * min(self.share ** (1.0 - passed), 1.0)
        return super().try_acquire(running, now)


class Gradient(ConcurrencyLimiter):
    """A gradient limiter: the limit follows long-term over short-term time."""

    __slots__ = ("long",)

    def __init__(self, slots: int, cold_share: float) -> None:
        super().__init__(slots, cold_share, 30.0)
        self.long = 0.0

    def record_answer(self, running: int, service_time: float, now: float) -> None:
        """Scale by the gradient and probe by the root of the limit."""
        self.baseline = self.baseline or service_time
        self._accrue_credit(running, now)
        self._running = running - 1
        self.long = self.long or service_time
        self.long += 0.05 * (service_time - self.long)
        gradient = min(max(1.5 * self.long / service_time, 0.5), 1.0)
        wanted = self.limit * gradient + math.sqrt(self.limit)
        smoothed = 0.8 * self.limit + 0.2 * wanted
        self.limit = min(max(smoothed, self._cold_limit), float(self.slots))

    def record_upstream_crash(self, now: float) -> None:
        """Begin anew."""
        self.limit = self._cold_limit


class Outcome(Struct, frozen=True):
    """What one policy gave before one upstream.

    Parameters
    ----------
    overloads : int
        Times that the upstream fell over.
    time_to_full_s, time_to_full_again_s : float
        From the start, and from the unannounced turn, until 95 % of capacity;
        -1 for never.
    answers_per_s : float
        Throughput over the whole run.
    """

    upstream: str
    policy: str
    overloads: int
    time_to_full_s: float
    time_to_full_again_s: float
    answers_per_s: float


class ColdReport(Struct, frozen=True):
    """The report: totals of the product's limiter, and every policy."""

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
    """Run one policy before one upstream under as much demand as it takes.

    Parameters
    ----------
    watch : callable or None
        Looks at the upstream at each step.
    seconds : float
        How long to run.
    """
    work = WorkUpstream(name, model, Random(seed))
    events: list[tuple[float, int, object]] = []
    running: dict[bytes, float] = {}
    answers: deque[float] = deque()
    now, number, total = 0.0, 0, 0
    turned = False
    full: list[float] = [-1.0, -1.0]
    capacity = model.slots / model.service_s
    while now < seconds:
        step = now + STEP_S
        now = min(events[0][0], step) if events else step
        if now >= COLD_AT_S and not turned:
            turned = True
            work.turn_cold()
            answers.clear()
        if watch is not None:
            watch(work, now)
        while events and events[0][0] <= now:
            _, _, event = heapq.heappop(events)
            for seen in work.finish(event, now):
                total += _take(policy, running, answers, seen, now)
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
        if is_full and full[turned] < 0:
            full[turned] = now - (COLD_AT_S if turned else 0.0)
    return Outcome(
        upstream,
        name,
        work.overloads,
        round(full[0], 1),
        round(full[1], 1),
        round(total / seconds, 2),
    )


def _take(
    policy: Policy,
    running: dict[bytes, float],
    answers: deque[float],
    event: object,
    now: float,
) -> int:
    """Take what the upstream sends and return the answers in it."""
    if isinstance(event, UpstreamGone):
        if running.pop(event.flow, None) is not None:
            policy.record_upstream_crash(now)
        return 0
    assert isinstance(event, UpstreamDatagram)
    if event.flow not in running:
        return 0
    in_work = len(running)
    began = running.pop(event.flow)
    response = decode_request(event.payload, "upstream")
    if response.verdict == Verdict.NOT_RUN:
        policy.record_shed(in_work, now)
        return 0
    policy.record_answer(in_work, now - began, now)
    answers.append(now)
    return 1


UPSTREAMS: dict[str, WorkModel] = {
    "one slot": WorkModel(slots=1),
    "three slots": WorkModel(slots=3),
    "three slots, sheds": WorkModel(slots=3, sheds=True),
    "eight slots": WorkModel(slots=8, service_s=0.05),
}


def _best(
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
    assert best is not None, "some policy is small enough"
    return best


def run(seed: int = 1) -> ColdReport:
    """Run every policy before every upstream."""
    outcomes: list[Outcome] = []
    overloads, time_ratio, rate_ratio = 0, 0.0, math.inf
    for upstream, model in UPSTREAMS.items():
        slots, share = model.slots, model.cold_share
        make: list[tuple[str, Callable[[], Policy]]] = [
            (
                "follows answers",
                lambda: ConcurrencyLimiter(slots, share, model.warm_up_s),
            ),
            (
                "follows, half time",
                lambda: ConcurrencyLimiter(slots, share, model.warm_up_s / 2),
            ),
            ("gradient", lambda: Gradient(slots, share)),
            ("no limit", lambda: FixedLimit(slots, 2.0 * slots)),
            ("fixed at slots", lambda: FixedLimit(slots, float(slots))),
        ]
        rows = [run_policy(upstream, name, m(), model, seed) for name, m in make]
        fixed = [FixedLimit(slots, share * slots) for share in FIXED_SHARES]
        rows.append(_best(upstream, "best fixed limit", model, seed, fixed))
        spans = [Schedule(slots, model.cold_share, span) for span in SCHEDULES_S]
        rows.append(_best(upstream, "best fixed schedule", model, seed, spans))
        outcomes += rows
        own, schedule = rows[0], rows[-1]
        overloads += own.overloads
        time_ratio = max(time_ratio, _divide(own, schedule))
        rate_ratio = min(rate_ratio, own.answers_per_s / rows[-2].answers_per_s)
    return ColdReport(overloads, round(time_ratio, 2), round(rate_ratio, 2), outcomes)


def _divide(own: Outcome, schedule: Outcome) -> float:
    """Return the longer of both times to full over that of the schedule."""
    pairs = (
        (own.time_to_full_s, schedule.time_to_full_s),
        (own.time_to_full_again_s, schedule.time_to_full_again_s),
    )
    return max(math.inf if mine < 0 else mine / other for mine, other in pairs)
