"""What a replica has for its disk, and what waits until the disk has it.

Nothing that rests on a record may be said or counted before the record is
synced. So each effect that does waits for the records written before it.
"""

from __future__ import annotations

from collections import deque
from copy import copy

from fulmarshore.agreement.progress import OwnEntries, OwnVote
from fulmarshore.core.records import DiskRecord, SendLink, Store

Waiting = SendLink | OwnVote | OwnEntries


class DiskQueue:
    """Gathers records into writes and keeps effects until these are synced."""

    __slots__ = (
        "_sequence",
        "_stored",
        "_records",
        "_is_replacing",
        "_new",
        "_waiting",
    )

    def __init__(self) -> None:
        self._sequence = 0
        self._stored = 0
        self._records: list[DiskRecord] = []
        self._is_replacing = False
        self._new: deque[Waiting] = deque()
        self._waiting: deque[tuple[int, Waiting]] = deque()

    def write(self, record: DiskRecord) -> None:
        """Append a record to the log file."""
        self._records.append(record)

    def replace(self, records: list[DiskRecord]) -> None:
        """Write records in place of the log file and of what is not yet written."""
        self._is_replacing = True
        self._records = records

    def hold(self, effect: Waiting) -> None:
        """Keep an effect until everything written so far is synced."""
        self._new.append(effect)

    def note_stored(self, sequence: int) -> None:
        """Note that a write and all before it are synced."""
        assert sequence <= self._sequence, "only what was asked for is stored"
        self._stored = max(self._stored, sequence)

    def pop_ready(self) -> Waiting | None:
        """Return the next effect whose records are synced, or None."""
        if self._waiting and self._waiting[0][0] <= self._stored:
            return self._waiting.popleft()[1]
        is_synced = self._stored == self._sequence and not self._has_records()
        if is_synced and self._new:
            return self._new.popleft()
        return None

    def make_store(self) -> Store | None:
        """Return the write of all records gathered, or None where there are none."""
        if not self._has_records():
            return None
        self._sequence += 1
        store = Store(self._sequence, self._records, self._is_replacing)
        self._waiting.extend((self._sequence, effect) for effect in self._new)
        self._records = []
        self._is_replacing = False
        self._new.clear()
        return store

    def copy(self) -> DiskQueue:
        """Return a queue in the same state that goes its own way."""
        twin = copy(self)
        twin._records = list(self._records)
        twin._new = deque(self._new)
        twin._waiting = deque(self._waiting)
        return twin

    def _has_records(self) -> bool:
        return bool(self._records) or self._is_replacing
