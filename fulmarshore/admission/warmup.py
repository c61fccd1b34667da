"""Timeline events for an upstream that becomes cold or warm."""

from __future__ import annotations

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.core.records import TimelineEvent


class WarmUpReporter:
    """Reports when an upstream becomes cold or warm.

    It is cold at the initial limit of a slow start, and warm once its limit has
    reached all of its slots; in between, no event is made.
    """

    __slots__ = ("_is_warm",)

    def __init__(self) -> None:
        self._is_warm: bool | None = None

    def collect(self, service: str, limiter: ConcurrencyLimiter) -> list[TimelineEvent]:
        """Return the event of a change since the last call, if any."""
        if limiter.limit >= limiter.slots:
            is_warm = True
        elif limiter.is_cold:
            is_warm = False
        else:
            return []
        if is_warm == self._is_warm:
            return []
        self._is_warm = is_warm
        kind = "upstream_warm" if is_warm else "upstream_cold"
        detail = f"limit {limiter.limit:.2f} of {limiter.slots}"
        return [TimelineEvent(kind, service, detail=detail)]
