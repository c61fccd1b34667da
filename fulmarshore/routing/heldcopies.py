"""The running copies of peers' flow records, at their keeper."""

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
    """The running copy of one life of one agent."""

    __slots__ = ("incarnation", "version", "number", "records", "next_index")

    def __init__(self, incarnation: int, records: Iterable[FlowRecord] = ()) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.number = 0
        self.records = dict(enumerate(records))
        self.next_index = len(self.records)

    def apply(self, batch: FlowCopy) -> None:
        """Take in the next batch."""
        for index in batch.ended:
            self.records.pop(index, None)
        for record in batch.opened:
            self.records[self.next_index] = record
            self.next_index += 1
        self.version = batch.version
        self.number = batch.number


class HeldCopies:
    """The copies of all agents that chose this one as a keeper."""

    __slots__ = ("_copies", "_returned", "_min_version")

    def __init__(self) -> None:
        self._copies: dict[str, HeldCopy] = {}
        self._returned: dict[str, ReturnedRecords] = {}
        self._min_version = 0

    def __len__(self) -> int:
        return len(self._copies)

    def apply(self, batch: FlowCopy) -> bool | None:
        """Take in a batch of the newest life of an agent.

        Returns
        -------
        is_kept : bool or None
            False where the copy that it goes on with is not here; None for a
            late batch, which is not answered.
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
        """Begin a copy; None where it lacks the records that it begins with."""
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
        """Remember what a successor was handed, and may go on with here."""
        self._returned[agent] = returned

    def find(
        self, agent: str, previous_incarnation: int, view: View
    ) -> HeldCopy | None:
        """Return the copy for the successor of a life, if its records are good."""
        held = self._copies.get(agent)
        if held is None or held.incarnation != previous_incarnation:
            return None
        if not was_continuously_member(view, agent, held.version):
            return None
        if has_zone_changed(view, agent, held.version):
            return None
        return held

    def clear(self, version: int) -> None:
        """Drop all copies, and take no batch made before a version.

        Their agents have taken this one for gone, and told of ends without
        waiting for it.
        """
        self._copies.clear()
        self._returned.clear()
        self._min_version = max(self._min_version, version)

    def discard_unknown(self, incarnations: KnownIncarnations) -> None:
        """Drop the copies of agents that are long gone."""
        for agent in {*self._copies, *self._returned}:
            if not incarnations.is_known(agent):
                self._copies.pop(agent, None)
                self._returned.pop(agent, None)
