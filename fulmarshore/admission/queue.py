"""Bounded queue of an executor: round-robin over callers, by deadline for each."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedList


class QueueItem(Protocol):
    """The attributes that an item of the queue must have."""

    caller: str
    start_by: float


Item = TypeVar("Item", bound=QueueItem)


class FairQueue(Generic[Item]):
    """Serves callers in turn, and each caller's items by their deadline.

    Parameters
    ----------
    max_length : int
        Highest number of queued items.
    """

    __slots__ = (
        "max_length",
        "_items_by_caller",
        "_by_start_time",
        "_sequence",
        "_numbers",
    )

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self._items_by_caller: dict[str, SortedList] = {}
        self._by_start_time: SortedList = SortedList()
        self._sequence = 0
        self._numbers: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._by_start_time)

    def count(self, caller: str) -> int:
        """Return the number of items of one caller."""
        return len(self._items_by_caller.get(caller, ()))

    def count_ahead(self, caller: str) -> int:
        """Return the number of items served before a new one of a caller."""
        rounds = self.count(caller) + 1
        ahead = self.count(caller)
        for other, items in self._items_by_caller.items():
            if other == caller:
                continue
            ahead += min(len(items), rounds)
        return ahead

    def push(self, item: Item) -> Item | None:
        """Add an item, and return the displaced one if the queue is full.

        The last item of the caller with the most items is displaced, so that a
        caller that floods the queue can't shut out another.
        """
        displaced = None
        if len(self) >= self.max_length:
            displaced = self._choose_displaced(item)
            if displaced is item:
                return item
            self.remove(displaced)
        self._sequence += 1
        self._numbers[id(item)] = self._sequence
        key = (item.start_by, self._sequence, item)
        self._items_by_caller.setdefault(item.caller, SortedList()).add(key)
        self._by_start_time.add(key)
        return displaced

    def pop(self) -> Item | None:
        """Remove and return the next item, or None if the queue is empty."""
        if not self._items_by_caller:
            return None
        caller = next(iter(self._items_by_caller))
        item = self._items_by_caller[caller][0][2]
        self.remove(item)
        items = self._items_by_caller.pop(caller, None)
        if items:
            self._items_by_caller[caller] = items
        return item

    def remove(self, item: Item) -> None:
        """Remove an item."""
        key = (item.start_by, self._numbers.pop(id(item)), item)
        self._by_start_time.remove(key)
        items = self._items_by_caller[item.caller]
        items.remove(key)
        if not items:
            del self._items_by_caller[item.caller]

    def pop_expired(self, now: float) -> list[Item]:
        """Remove and return all items past their latest start time."""
        expired = []
        while self._by_start_time and self._by_start_time[0][0] <= now:
            item = self._by_start_time[0][2]
            self.remove(item)
            expired.append(item)
        return expired

    def _choose_displaced(self, item: Item) -> Item:
        if not self._items_by_caller:
            return item
        largest = max(
            self._items_by_caller, key=lambda caller: len(self._items_by_caller[caller])
        )
        if self.count(item.caller) + 1 >= len(self._items_by_caller[largest]):
            return item
        return self._items_by_caller[largest][-1][2]
