"""Supervision of the links from one control host to the others."""

from __future__ import annotations

from collections import Counter

from fulmarshore.core.records import ControlMessage, Effect, ReplaceLink, SendLink

LINK_REPLY_TIMEOUT_S = 1.5
"""A link to another control host is replaced without a reply for this long."""


class ControlPeers:
    """Tracks unanswered requests to the other control hosts.

    Parameters
    ----------
    counters : Counter
        Counts replaced links.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._requested_at: dict[str, float] = {}

    def send_request(
        self, name: str, message: ControlMessage, now: float
    ) -> list[Effect]:
        """Send a message that expects a reply."""
        self.record_request(name, now)
        return [SendLink(name, message)]

    def record_request(self, name: str, now: float) -> None:
        """Record the time of the oldest unanswered request to a control host."""
        self._requested_at.setdefault(name, now)

    def record_reply(self, name: str) -> None:
        """Record a reply of a control host."""
        self._requested_at.pop(name, None)

    def replace_unresponsive(self, now: float) -> list[Effect]:
        """Replace links to control hosts that do not reply."""
        effects: list[Effect] = []
        for name, requested_at in list(self._requested_at.items()):
            if now - requested_at < LINK_REPLY_TIMEOUT_S:
                continue
            self._requested_at[name] = now
            self._counters["links_replaced"] += 1
            effects.append(ReplaceLink(name))
        return effects
