"""The copies of peers' flow records that an agent holds."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarshore.core.records import FlowCopy, FlowRecord
from fulmarshore.membership.view import View
from fulmarshore.routing.continuity import (
    KnownIncarnations,
    ReturnedRecords,
    has_zone_changed,
    was_continuously_member,
)


class HeldCopy:
    """The copied flow records of one incarnation of an agent."""

    __slots__ = ("incarnation", "version", "number", "records", "next_index")

    def __init__(self, incarnation: int, records: Iterable[FlowRecord] = ()) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.number = 0
        self.records = dict(enumerate(records))
        self.next_index = len(self.records)

    def apply(self, batch: FlowCopy) -> None:
        """Apply the next batch."""
        for index in batch.ended:
            self.records.pop(index, None)
        for record in batch.opened:
            self.records[self.next_index] = record
            self.next_index += 1
        self.version = batch.version
        self.number = batch.number


class HeldCopies:
    """The copies of all agents that chose this one as a copy holder."""

    __slots__ = ("_copies", "_returned", "_min_version")

    def __init__(self) -> None:
        self._copies: dict[str, HeldCopy] = {}
        self._returned: dict[str, ReturnedRecords] = {}
        self._min_version = 0

    def __len__(self) -> int:
        return len(self._copies)

    def apply(self, batch: FlowCopy) -> bool | None:
        """Apply a batch of an agent's latest incarnation.

        Returns
        -------
        is_applied : bool or None
            False if the copy that the batch continues is not held here; None
            for a late batch, which is not acknowledged.
        """
        if batch.version < self._min_version:
            return None
        held = self._copies.get(batch.agent)
        if held is not None and held.incarnation != batch.incarnation:
            held = None
        if held is not None and batch.number < held.number:
            return None
        if held is not None and batch.number == held.number:
            return True
        if not batch.previous:
            held = self._start_copy(batch)
        if held is None or held.number != batch.previous:
            return False
        held.apply(batch)
        return True

    def _start_copy(self, batch: FlowCopy) -> HeldCopy | None:
        """Start a copy; return None if the records that it resumes are missing."""
        returned = self._returned.pop(batch.agent, None)
        records: list[FlowRecord] = []
        if batch.resumed_from >= 0:
            expected = (batch.incarnation, batch.resumed_from)
            if (
                returned is None
                or (returned.successor, returned.last_batch) != expected
            ):
                return None
            records = returned.records
        copy = HeldCopy(batch.incarnation, records)
        self._copies[batch.agent] = copy
        return copy

    def record_returned(self, agent: str, returned: ReturnedRecords) -> None:
        """Keep the records returned to a successor, which may resume from them."""
        self._returned[agent] = returned

    def find(
        self, agent: str, previous_incarnation: int, view: View
    ) -> HeldCopy | None:
        """Return the copy of an incarnation, if its records are still valid."""
        held = self._copies.get(agent)
        if held is None or held.incarnation != previous_incarnation:
            return None
        if not was_continuously_member(view, agent, held.version):
            return None
        if has_zone_changed(view, agent, held.version):
            return None
        return held

    def clear(self, version: int) -> None:
        """Drop all copies, and ignore batches made before a version.

        Their agents no longer counted this one as a member, and have reported
        ends of flows without waiting for it.
        """
        self._copies.clear()
        self._returned.clear()
        self._min_version = max(self._min_version, version)

    def discard_unknown(self, incarnations: KnownIncarnations) -> None:
        """Drop the copies of agents with no known incarnation."""
        for agent in {*self._copies, *self._returned}:
            if not incarnations.is_known(agent):
                self._copies.pop(agent, None)
                self._returned.pop(agent, None)
