"""Load reports of an agent to its peers."""

from __future__ import annotations

from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.executor import Executor
from fulmarshore.core.records import Address, Effect, SendPeer, SlotReport

REPORT_INTERVAL_S = 0.25


class LoadReporter:
    """Reports used slots and limit on a change, at a limited rate."""

    __slots__ = ("_reported", "_reported_at")

    def __init__(self) -> None:
        self._reported = (-1, -1.0)
        self._reported_at = float("-inf")

    def tick(self, home: Coordinator, executor: Executor, now: float) -> list[Effect]:
        """Send a report to all peers if the load has changed."""
        load = (executor.count_used(), executor.limiter.limit)
        if load == self._reported or now - self._reported_at < REPORT_INTERVAL_S:
            return []
        self._reported, self._reported_at = load, now
        report = SlotReport(
            home.member.service,
            home.member.name,
            home.member.incarnation,
            home.table.version,
            *load,
        )
        home.record_load(report)
        service = home.service
        effects: list[Effect] = []
        for member in service.members if service else ():
            if member.name == home.member.name:
                continue
            effects.append(SendPeer(Address(member.host, member.port), report))
        return effects
