"""What an agent does with the word of its upstream's endpoints."""

from __future__ import annotations

from collections import Counter

from fulmarshore.admission.endpoints import EndpointHints
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
    """Lowers the gate and the limit, and asks for drains.

    Parameters
    ----------
    name, service : str
        Name of the agent and of its service.
    gate : Gate
        The gate of flows.
    counters : Counter
        Where hints are counted.
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
        """Whether the upstream drains on the word of its endpoint."""
        return self._drain.is_active

    def handle_hint(self, hint: UpstreamHint, now: float) -> list[Effect]:
        """Take a hint."""
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
        """Hold the hints against what is seen, and decide about a drain.

        Parameters
        ----------
        service : ServiceTable or None
            The members of the service.
        executor : Executor or None
            What runs the requests, where the service has requests.
        has_lease : bool
            Whether control can be told.
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
        """Find endpoints that the upstream's answers speak against.

        Whether a flow goes well is not seen, so hints to the gate are not
        judged; the rate of a cold upstream is the worst that they can do.
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
