"""The links from one control host to the others, as long as they answer."""

from __future__ import annotations

from collections import Counter

from fulmarshore.core.records import ControlMessage, Effect, ReplaceLink, SendLink

LINK_SILENCE_TIMEOUT_S = 1.5
"""A link to another control host that brings no answer for this long is replaced."""


class ControlPeers:
    """What was asked of the other control hosts and has no answer yet.

    Parameters
    ----------
    counters : Counter
        Counts the links that are replaced.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._asked_at: dict[str, float] = {}

    def ask(self, name: str, message: ControlMessage, now: float) -> list[Effect]:
        """Send a message that has to be answered."""
        self.note_asked(name, now)
        return [SendLink(name, message)]

    def note_asked(self, name: str, now: float) -> None:
        """Remember since when an answer of a control host is awaited."""
        self._asked_at.setdefault(name, now)

    def note_answered(self, name: str) -> None:
        """Take a control host for heard."""
        self._asked_at.pop(name, None)

    def replace_silent(self, now: float) -> list[Effect]:
        """Replace links to control hosts that bring no answers."""
        effects: list[Effect] = []
        for name, asked_at in list(self._asked_at.items()):
            if now - asked_at < LINK_SILENCE_TIMEOUT_S:
                continue
            self._asked_at[name] = now
            self._counters["links_replaced"] += 1
            effects.append(ReplaceLink(name))
        return effects
