"""Unanswered changes: queued for a leader, or proposed and not yet committed."""

from __future__ import annotations

from collections import Counter

from fulmarshore.core.records import (
    Change,
    ChangeReply,
    ChangeStatus,
    Effect,
    RelayReply,
    SendLink,
    StatusReply,
)

QUEUE_TIMEOUT_S = 1.0
"""How long a change is queued for a leader before it is refused."""
MAX_QUEUED_CHANGES = 256
"""Largest number of changes queued for a leader."""


class Origin:
    """The sender of a request: a peer, and the control host that relayed it, if any."""

    __slots__ = ("peer", "via")

    def __init__(self, peer: str, via: str | None = None) -> None:
        self.peer = peer
        self.via = via

    def make_reply(self, reply: ChangeReply | StatusReply) -> SendLink:
        """Return the effect that sends a reply to the sender."""
        if self.via is None:
            return SendLink(self.peer, reply)
        return SendLink(self.via, RelayReply(self.peer, reply))


class PendingChange:
    """A change that is queued or proposed; ``term`` is that of its log entry."""

    __slots__ = ("origin", "change", "term", "deadline")

    def __init__(
        self, origin: Origin, change: Change, term: int, deadline: float
    ) -> None:
        self.origin = origin
        self.change = change
        self.term = term
        self.deadline = deadline


class PendingChanges:
    """The changes that are not answered yet.

    Parameters
    ----------
    counters : Counter
        Counts changes that are answered as unavailable.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._proposed: dict[int, PendingChange] = {}
        self._queued: list[PendingChange] = []

    @property
    def has_queued(self) -> bool:
        """Whether any change is queued for a leader."""
        return bool(self._queued)

    def record_proposed(self, index: int, pending: PendingChange) -> None:
        """Record the log index at which a change was proposed."""
        self._proposed[index] = pending

    def pop_proposed(self, index: int) -> PendingChange | None:
        """Remove and return the change proposed at an index, or None."""
        return self._proposed.pop(index, None)

    def queue(
        self, origin: Origin, change: Change, next_number: int, now: float
    ) -> list[Effect]:
        """Queue a change for a leader; refuse it if the queue is full."""
        if len(self._queued) >= MAX_QUEUED_CHANGES:
            return [self.make_unavailable_reply(origin, change, next_number)]
        self._queued.append(PendingChange(origin, change, 0, now + QUEUE_TIMEOUT_S))
        return []

    def take_queued(self) -> list[PendingChange]:
        """Remove and return all queued changes."""
        queued, self._queued = self._queued, []
        return queued

    def make_unavailable_reply(
        self, origin: Origin, change: Change, next_number: int
    ) -> SendLink:
        """Return the reply for an unknown outcome; the operator has to ask again."""
        self._counters["changes_unavailable"] += 1
        reply = ChangeReply(
            change.number, ChangeStatus.UNAVAILABLE, 0, "", [], next_number
        )
        return origin.make_reply(reply)

    def expire_queued(self, next_number: int, now: float) -> list[Effect]:
        """Refuse changes that have been queued for too long."""
        effects: list[Effect] = []
        for pending in list(self._queued):
            if now < pending.deadline:
                continue
            self._queued.remove(pending)
            effects.append(
                self.make_unavailable_reply(pending.origin, pending.change, next_number)
            )
        return effects

    def fail_queued(self, next_number: int) -> list[Effect]:
        """Refuse all queued changes."""
        effects: list[Effect] = []
        for pending in self.take_queued():
            effects.append(
                self.make_unavailable_reply(pending.origin, pending.change, next_number)
            )
        return effects

    def fail_proposed(self, next_number: int, index: int | None = None) -> list[Effect]:
        """Answer proposed changes, up to an index if given, as unavailable."""
        effects: list[Effect] = []
        for pending_index, pending in list(self._proposed.items()):
            if index is not None and pending_index > index:
                continue
            del self._proposed[pending_index]
            effects.append(
                self.make_unavailable_reply(pending.origin, pending.change, next_number)
            )
        return effects
