"""How much room the members of a service have, as one home sees it.

A report is late by nature. So a home counts in every flow that it has
assigned since, until a report says that it reflects the assignment, and every
flow of which it has heard since that it ended.
"""

from __future__ import annotations

from collections import deque

from fulmarshore.core.records import LoadReport, Member

MAX_PENDING_ASSIGNMENTS = 4096
"""Assignments remembered for a member that reports nothing."""
DECLINE_BACKOFF_S = 0.01
"""A member that had no room is not asked again within this time."""


class MemberLoad:
    """What a home knows about the load of one member."""

    __slots__ = (
        "incarnation",
        "flows",
        "limit",
        "number",
        "declined_at",
        "pending_assignments",
        "ended_since_report",
    )

    def __init__(self, incarnation: int, limit: int) -> None:
        self.incarnation = incarnation
        self.flows = 0
        self.limit = limit
        self.number = 0
        self.declined_at = float("-inf")
        self.pending_assignments: deque[int] = deque(maxlen=MAX_PENDING_ASSIGNMENTS)
        self.ended_since_report = 0

    def estimate_flows(self, homes: int) -> int:
        """Return how many flows the member holds now.

        Parameters
        ----------
        homes : int
            Homes of the service. None knows what the others do, so each takes
            it that as many flows of every other open and end as of its own.
        """
        return (
            self.flows
            + (len(self.pending_assignments) - self.ended_since_report) * homes
        )

    def estimate_utilization(self, homes: int) -> float:
        """Return the share of the limit that is taken, as is to be expected."""
        return self.estimate_flows(homes) / max(self.limit, 1)


class MemberLoads:
    """The loads of the other members of the service."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, MemberLoad] = {}

    def find(self, member: Member) -> MemberLoad:
        """Return the load of this incarnation of a member."""
        load = self._loads.get(member.name)
        if load is None or load.incarnation != member.incarnation:
            load = MemberLoad(member.incarnation, member.connections)
            self._loads[member.name] = load
        return load

    def handle_report(self, member: Member, report: LoadReport) -> bool:
        """Take in a report; False where a newer one is known."""
        load = self.find(member)
        if report.number <= load.number:
            return False
        load.number = report.number
        load.ended_since_report = 0
        load.flows = report.flows
        load.limit = report.limit
        while (
            load.pending_assignments
            and load.pending_assignments[0] <= report.assignment
        ):
            load.pending_assignments.popleft()
        return True

    def record_assignment(self, member: Member, assignment: int) -> None:
        """Count in a flow that was just assigned to a member."""
        self.find(member).pending_assignments.append(assignment)

    def record_ended(self, name: str, incarnation: int) -> None:
        """Note that a flow of a member has ended."""
        load = self._loads.get(name)
        if load is not None and load.incarnation == incarnation:
            load.ended_since_report += 1

    def record_decline(
        self, member: Member, flows: int, assignment: int, now: float
    ) -> None:
        """Note that a member had no room for an assignment."""
        load = self.find(member)
        load.declined_at = now
        if assignment in load.pending_assignments:
            load.pending_assignments.remove(assignment)
        load.flows = max(load.flows, flows)

    def retain(self, names: set[str]) -> None:
        """Forget members that are gone."""
        for name in list(self._loads):
            if name not in names:
                del self._loads[name]
