"""The running copies of peers' flow records, at their keeper."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarshore.core.records import FlowCopy, FlowRecord
from fulmarshore.membership.view import View
from fulmarshore.routing.continuity import (
    GivenRecords,
    Lives,
    has_zone_changed,
    was_always_member,
)


class Copy:
    """The running copy of one life of one agent."""

    __slots__ = ("incarnation", "version", "number", "records", "next_place")

    def __init__(self, incarnation: int, records: Iterable[FlowRecord] = ()) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.number = 0
        self.records = dict(enumerate(records))
        self.next_place = len(self.records)

    def apply(self, batch: FlowCopy) -> None:
        """Take in the next batch."""
        for place in batch.ended:
            self.records.pop(place, None)
        for record in batch.opened:
            self.records[self.next_place] = record
            self.next_place += 1
        self.version = batch.version
        self.number = batch.number


class Copies:
    """The copies of all agents that chose this one as a keeper."""

    __slots__ = ("_copies", "_given", "_floor")

    def __init__(self) -> None:
        self._copies: dict[str, Copy] = {}
        self._given: dict[str, GivenRecords] = {}
        self._floor = 0

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
        if batch.version < self._floor:
            return None
        held = self._copies.get(batch.agent)
        if held is not None and held.incarnation != batch.incarnation:
            held = None
        if held is not None and batch.number < held.number:
            return None
        if held is not None and batch.number == held.number:
            return True
        if not batch.previous:
            held = self._begin(batch)
        if held is None or held.number != batch.previous:
            return False
        held.apply(batch)
        return True

    def _begin(self, batch: FlowCopy) -> Copy | None:
        """Begin a copy; None where it lacks the records that it begins with."""
        given = self._given.pop(batch.agent, None)
        records: list[FlowRecord] = []
        if batch.resumed_from >= 0:
            wanted = (batch.incarnation, batch.resumed_from)
            if given is None or (given.successor, given.last_batch) != wanted:
                return None
            records = given.records
        copy = Copy(batch.incarnation, records)
        self._copies[batch.agent] = copy
        return copy

    def note_given(self, agent: str, given: GivenRecords) -> None:
        """Remember what a successor was handed, and may go on with here."""
        self._given[agent] = given

    def find(self, agent: str, former: int, view: View) -> Copy | None:
        """Return the copy for the successor of a life, if its records are good."""
        held = self._copies.get(agent)
        if held is None or held.incarnation != former:
            return None
        if not was_always_member(view, agent, held.version):
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
        self._given.clear()
        self._floor = max(self._floor, version)

    def keep_only(self, lives: Lives) -> None:
        """Drop the copies of agents that are long gone."""
        for agent in {*self._copies, *self._given}:
            if not lives.is_known(agent):
                self._copies.pop(agent, None)
                self._given.pop(agent, None)
