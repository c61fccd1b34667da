"""Batches a replica's log records into writes and defers effects until they sync.

No message may be sent and no own vote or entry counted before the records that
it depends on are synced. Each such effect is deferred until every record written
before it is on disk.
"""

from __future__ import annotations

from collections import deque
from copy import copy

from fulmarshore.agreement.progress import OwnEntriesSynced, OwnVoteSynced
from fulmarshore.core.records import DiskRecord, SendLink, Store

DeferredEffect = SendLink | OwnVoteSynced | OwnEntriesSynced


class DiskQueue:
    """Collects records into writes and defers effects until they are synced."""

    __slots__ = (
        "_sequence",
        "_stored",
        "_records",
        "_is_replacing",
        "_unassigned",
        "_deferred",
    )

    def __init__(self) -> None:
        self._sequence = 0
        self._stored = 0
        self._records: list[DiskRecord] = []
        self._is_replacing = False
        self._unassigned: deque[DeferredEffect] = deque()
        self._deferred: deque[tuple[int, DeferredEffect]] = deque()

    def write(self, record: DiskRecord) -> None:
        """Append a record to the log file."""
        self._records.append(record)

    def replace(self, records: list[DiskRecord]) -> None:
        """Replace the log file, and any records still queued, by these records."""
        self._is_replacing = True
        self._records = records

    def defer(self, effect: DeferredEffect) -> None:
        """Defer an effect until all records queued so far are synced."""
        self._unassigned.append(effect)

    def mark_synced(self, sequence: int) -> None:
        """Mark a write and all earlier ones as synced."""
        assert sequence <= self._sequence, "only submitted writes can be synced"
        self._stored = max(self._stored, sequence)

    def pop_ready(self) -> DeferredEffect | None:
        """Return the next effect whose records are synced, or None."""
        if self._deferred and self._deferred[0][0] <= self._stored:
            return self._deferred.popleft()[1]
        is_synced = self._stored == self._sequence and not self._has_records()
        if is_synced and self._unassigned:
            return self._unassigned.popleft()
        return None

    def make_store(self) -> Store | None:
        """Return a write of all queued records, or None if there are none."""
        if not self._has_records():
            return None
        self._sequence += 1
        store = Store(self._sequence, self._records, self._is_replacing)
        self._deferred.extend((self._sequence, effect) for effect in self._unassigned)
        self._records = []
        self._is_replacing = False
        self._unassigned.clear()
        return store

    def copy(self) -> DiskQueue:
        """Return an independent copy of the queue."""
        clone = copy(self)
        clone._records = list(self._records)
        clone._unassigned = deque(self._unassigned)
        clone._deferred = deque(self._deferred)
        return clone

    def _has_records(self) -> bool:
        return bool(self._records) or self._is_replacing
