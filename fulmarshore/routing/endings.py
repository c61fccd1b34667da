"""Summary of ended flows for the timeline."""

from __future__ import annotations

from collections import Counter

from fulmarshore.core.records import TimelineEvent

REPORT_INTERVAL_S = 1.0
COUNTER_PREFIX = "flows_ended_"


class EndingReport:
    """Turns the counters of ended flows into one timeline event per reason.

    An event per flow would flood the timeline when an upstream with thousands
    of flows stops.
    """

    __slots__ = ("_reported", "_reported_at")

    def __init__(self) -> None:
        self._reported: Counter[str] = Counter()
        self._reported_at = float("-inf")

    def collect(
        self, service: str, counters: Counter[str], now: float
    ) -> list[TimelineEvent]:
        """Return events for the flows that ended since the last report.

        Empty if the last report was less than `REPORT_INTERVAL_S` ago.
        """
        if now - self._reported_at < REPORT_INTERVAL_S:
            return []
        self._reported_at = now
        events: list[TimelineEvent] = []
        for name, count in counters.items():
            if not name.startswith(COUNTER_PREFIX) or count == self._reported[name]:
                continue
            detail = (
                f"{count - self._reported[name]} {name.removeprefix(COUNTER_PREFIX)}"
            )
            self._reported[name] = count
            events.append(TimelineEvent("flows_ended", service, detail=detail))
        return events
