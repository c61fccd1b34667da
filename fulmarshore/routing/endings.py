"""Ends of flows, summed up for the time line."""

from __future__ import annotations

from collections import Counter

from fulmarshore.core.records import TimelineEvent

REPORT_INTERVAL_S = 1.0
PREFIX = "flows_ended_"


class EndingReport:
    """Turns the counters of ended flows into one event for each reason.

    A single event for each flow would flood the time line when an upstream
    with thousands of flows goes.
    """

    __slots__ = ("_told", "_told_at")

    def __init__(self) -> None:
        self._told: Counter[str] = Counter()
        self._told_at = float("-inf")

    def collect(
        self, service: str, counters: Counter[str], now: float
    ) -> list[TimelineEvent]:
        """Return what ended since the last report, at most once a second."""
        if now - self._told_at < REPORT_INTERVAL_S:
            return []
        self._told_at = now
        events: list[TimelineEvent] = []
        for name, count in counters.items():
            if not name.startswith(PREFIX) or count == self._told[name]:
                continue
            detail = f"{count - self._told[name]} {name.removeprefix(PREFIX)}"
            self._told[name] = count
            events.append(TimelineEvent("flows_ended", service, detail=detail))
        return events
