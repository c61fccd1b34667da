"""The bounded queue of an executor: fair over callers, by deadline for each."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedList


class Waiting(Protocol):
    """What the queue needs of its items."""

    caller: str
    leave_at: float


Item = TypeVar("Item", bound=Waiting)


class FairQueue(Generic[Item]):
    """Serves callers in turn, and each caller's items by their deadline.

    Parameters
    ----------
    length : int
        Items that may wait at once.
    """

    __slots__ = ("length", "_callers", "_expiry", "_sequence", "_numbers")

    def __init__(self, length: int) -> None:
        self.length = length
        self._callers: dict[str, SortedList] = {}
        self._expiry: SortedList = SortedList()
        self._sequence = 0
        self._numbers: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._expiry)

    def count(self, caller: str) -> int:
        """Return the items of one caller."""
        return len(self._callers.get(caller, ()))

    def count_ahead(self, caller: str) -> int:
        """Return the items that are served before a new one of a caller."""
        turns = self.count(caller) + 1
        ahead = self.count(caller)
        for other, items in self._callers.items():
            if other == caller:
                continue
            ahead += min(len(items), turns)
        return ahead

    def push(self, item: Item) -> Item | None:
        """Add an item and return the one that finds no room, if any.

        At the bound, the caller with the most items gives up its last one,
        so that a caller that floods the queue can't shut out another.
        """
        displaced = None
        if len(self) >= self.length:
            displaced = self._choose_displaced(item)
            if displaced is item:
                return item
            self.remove(displaced)
        self._sequence += 1
        self._numbers[id(item)] = self._sequence
        key = (item.leave_at, self._sequence, item)
        self._callers.setdefault(item.caller, SortedList()).add(key)
        self._expiry.add(key)
        return displaced

    def pop(self) -> Item | None:
        """Take the item whose turn it is."""
        if not self._callers:
            return None
        caller = next(iter(self._callers))
        item = self._callers[caller][0][2]
        self.remove(item)
        items = self._callers.pop(caller, None)
        if items:
            self._callers[caller] = items
        return item

    def remove(self, item: Item) -> None:
        """Take an item out."""
        key = (item.leave_at, self._numbers.pop(id(item)), item)
        self._expiry.remove(key)
        items = self._callers[item.caller]
        items.remove(key)
        if not items:
            del self._callers[item.caller]

    def pop_expired(self, now: float) -> list[Item]:
        """Take all items that waited as long as they may."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            item = self._expiry[0][2]
            self.remove(item)
            expired.append(item)
        return expired

    def _choose_displaced(self, item: Item) -> Item:
        if not self._callers:
            return item
        largest = max(self._callers, key=lambda caller: len(self._callers[caller]))
        if self.count(item.caller) + 1 >= len(self._callers[largest]):
            return item
        return self._callers[largest][-1][2]
