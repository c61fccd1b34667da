"""The bounded queue of an executor: fair over callers, by deadline for each."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedList


class QueueItem(Protocol):
    """What the queue needs of its items."""

    caller: str
    start_by: float


ItemT = TypeVar("Item", bound=QueueItem)


class FairQueue(Generic[ItemT]):
    """Serves callers in turn, and each caller's items by their deadline.

    Parameters
    ----------
    length : int
        Items that may wait at once.
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
        """Return the items of one caller."""
        return len(self._items_by_caller.get(caller, ()))

    def count_ahead(self, caller: str) -> int:
        """Return the items that are served before a new one of a caller."""
        rounds = self.count(caller) + 1
        ahead = self.count(caller)
        for other, items in self._items_by_caller.items():
            if other == caller:
                continue
            ahead += min(len(items), rounds)
        return ahead

    def push(self, item: ItemT) -> ItemT | None:
        """Add an item and return the one that finds no room, if any.

        At the bound, the caller with the most items gives up its last one,
        so that a caller that floods the queue can't shut out another.
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

    def pop(self) -> ItemT | None:
        """Take the item whose turn it is."""
        if not self._items_by_caller:
            return None
        caller = next(iter(self._items_by_caller))
        item = self._items_by_caller[caller][0][2]
        self.remove(item)
        items = self._items_by_caller.pop(caller, None)
        if items:
            self._items_by_caller[caller] = items
        return item

    def remove(self, item: ItemT) -> None:
        """Take an item out."""
        key = (item.start_by, self._numbers.pop(id(item)), item)
        self._by_start_time.remove(key)
        items = self._items_by_caller[item.caller]
        items.remove(key)
        if not items:
            del self._items_by_caller[item.caller]

    def pop_expired(self, now: float) -> list[ItemT]:
        """Take all items that waited as long as they may."""
        expired = []
        while self._by_start_time and self._by_start_time[0][0] <= now:
            item = self._by_start_time[0][2]
            self.remove(item)
            expired.append(item)
        return expired

    def _choose_displaced(self, item: ItemT) -> ItemT:
        if not self._items_by_caller:
            return item
        largest = max(
            self._items_by_caller, key=lambda caller: len(self._items_by_caller[caller])
        )
        if self.count(item.caller) + 1 >= len(self._items_by_caller[largest]):
            return item
        return self._items_by_caller[largest][-1][2]
