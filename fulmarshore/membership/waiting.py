"""Changes whose operators wait: for a leader, or for an entry to be committed."""

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

HOLD_TIMEOUT_S = 1.0
"""How long a change waits for a leader before it is answered."""
MAX_HELD = 256


class Origin:
    """Where the answer to a message goes: a peer, perhaps of another host."""

    __slots__ = ("peer", "via")

    def __init__(self, peer: str, via: str | None = None) -> None:
        self.peer = peer
        self.via = via

    def answer(self, reply: ChangeReply | StatusReply) -> SendLink:
        """Return the effect that sends an answer."""
        if self.via is None:
            return SendLink(self.peer, reply)
        return SendLink(self.via, RelayReply(self.peer, reply))


class Held:
    """A change that waits for a leader, or for its entry to be committed."""

    __slots__ = ("origin", "change", "term", "until")

    def __init__(self, origin: Origin, change: Change, term: int, until: float) -> None:
        self.origin = origin
        self.change = change
        self.term = term
        self.until = until


class WaitingChanges:
    """Changes that are not answered yet.

    Parameters
    ----------
    counters : Counter
        Counts the changes that are answered without an outcome.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._proposed: dict[int, Held] = {}
        self._held: list[Held] = []

    @property
    def has_held(self) -> bool:
        """Whether a change waits for a leader."""
        return bool(self._held)

    def note_proposed(self, index: int, held: Held) -> None:
        """Remember under which index a change is under way."""
        self._proposed[index] = held

    def pop_proposed(self, index: int) -> Held | None:
        """Return whose change is under way under an index, and forget it."""
        return self._proposed.pop(index, None)

    def hold(
        self, origin: Origin, change: Change, next_number: int, now: float
    ) -> list[Effect]:
        """Let a change wait for a leader, if there is room."""
        if len(self._held) >= MAX_HELD:
            return [self.refuse(origin, change, next_number)]
        self._held.append(Held(origin, change, 0, now + HOLD_TIMEOUT_S))
        return []

    def take_held(self) -> list[Held]:
        """Return what waits for a leader, and forget it."""
        held, self._held = self._held, []
        return held

    def refuse(self, origin: Origin, change: Change, next_number: int) -> SendLink:
        """Answer that the outcome is not known: the change is asked again."""
        self._counters["changes_unavailable"] += 1
        reply = ChangeReply(
            change.number, ChangeStatus.UNAVAILABLE, 0, "", [], next_number
        )
        return origin.answer(reply)

    def refuse_late(self, next_number: int, now: float) -> list[Effect]:
        """Answer what has waited for a leader too long."""
        effects: list[Effect] = []
        for held in list(self._held):
            if now < held.until:
                continue
            self._held.remove(held)
            effects.append(self.refuse(held.origin, held.change, next_number))
        return effects

    def refuse_held(self, next_number: int) -> list[Effect]:
        """Answer everything that waits for a leader."""
        effects: list[Effect] = []
        for held in self.take_held():
            effects.append(self.refuse(held.origin, held.change, next_number))
        return effects

    def give_up(self, next_number: int, index: int | None = None) -> list[Effect]:
        """Tell that the outcome of changes up to an index is not known here."""
        effects: list[Effect] = []
        for held_index, held in list(self._proposed.items()):
            if index is not None and held_index > index:
                continue
            del self._proposed[held_index]
            effects.append(self.refuse(held.origin, held.change, next_number))
        return effects
