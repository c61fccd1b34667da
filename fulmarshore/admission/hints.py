"""Handling of the hints that an upstream's health and load endpoints give."""

from __future__ import annotations

from collections import Counter

from fulmarshore.admission.endpointhints import EndpointHints
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.gate import Gate
from fulmarshore.admission.hinteddrain import HintedDrain
from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.core.records import (
    Effect,
    HintSource,
    Reason,
    TimelineEvent,
    UpstreamHint,
)
from fulmarshore.routing.table import ServiceTable


class HintHandler:
    """Lowers the gate and the request limit, and asks for drains.

    Parameters
    ----------
    name, service : str
        Name of the agent and of its service.
    gate : Gate
        The admission gate of flows.
    counters : Counter
        The agent's counters.
    """

    __slots__ = (
        "_service",
        "_gate",
        "_counters",
        "_endpoints",
        "_drain",
        "_is_limited",
        "_limiter",
    )

    def __init__(
        self, name: str, service: str, gate: Gate, counters: Counter[str]
    ) -> None:
        self._service = service
        self._gate = gate
        self._counters = counters
        self._endpoints = EndpointHints()
        self._drain = HintedDrain(name)
        self._is_limited = False
        self._limiter: ConcurrencyLimiter | None = None

    @property
    def wants_drain(self) -> bool:
        """Whether the upstream is to drain because of its endpoint's hints."""
        return self._drain.is_active

    def handle_hint(self, hint: UpstreamHint, now: float) -> list[Effect]:
        """Process a hint; a malformed one is dropped."""
        if not self._endpoints.record_hint(hint, now):
            self._counters[f"dropped_{Reason.MALFORMED}"] += 1
            return []
        if hint.source == HintSource.HEALTH:
            self._drain.record_hint(hint.health, now)
        return self._apply_share(now)

    def tick(
        self,
        service: ServiceTable | None,
        executor: Executor | None,
        has_lease: bool,
        now: float,
    ) -> list[Effect]:
        """Compare the hints with the answers, and start or end a drain.

        Parameters
        ----------
        service : ServiceTable or None
            The members of the service.
        executor : Executor or None
            The executor, for a service of requests.
        has_lease : bool
            Whether the agent holds a lease, so that control can be informed.
        """
        self._limiter = executor.limiter if executor is not None else None
        effects = [*self._check_endpoints(now), *self._apply_share(now)]
        if service is None:
            return effects
        was_active = self._drain.is_active
        is_active = self._drain.decide(service, has_lease, now)
        if is_active == was_active:
            return effects
        if is_active:
            self._counters["hinted_drains"] += 1
            return [*effects, self._make_event("hinted_drain_began", "")]
        self._gate.restart_slow_start(now)
        if self._limiter is not None:
            self._limiter.restart_slow_start(now)
        return [*effects, self._make_event("hinted_drain_ended", "")]

    def _check_endpoints(self, now: float) -> list[Effect]:
        """Return events for endpoints that the upstream's answers contradict.

        The agent cannot tell whether a flow succeeds, so hints are not checked
        against flows. At worst, they lower the gate to the rate of a cold upstream.
        """
        if self._limiter is None:
            return []
        effects: list[Effect] = []
        successes, overload_signs = (
            self._limiter.successes,
            self._limiter.overload_signs,
        )
        for source in self._endpoints.record_work(successes, overload_signs, now):
            self._counters["hints_contradicted"] += 1
            effects.append(self._make_event("hint_contradicted", source))
        return effects

    def _apply_share(self, now: float) -> list[Effect]:
        share = self._endpoints.get_share(now)
        self._gate.apply_hint(share)
        if self._limiter is not None:
            self._limiter.apply_hint(share)
        is_limited = share < 1.0
        if is_limited == self._is_limited:
            return []
        self._is_limited = is_limited
        if not is_limited:
            return [self._make_event("hint_ended", "")]
        self._counters["hints_lowered"] += 1
        return [self._make_event("hint_lowered", f"share {share:.2f}")]

    def _make_event(self, kind: str, detail: str) -> TimelineEvent:
        return TimelineEvent(kind, self._service, detail=detail)
