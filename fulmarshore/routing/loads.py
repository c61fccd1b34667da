"""Loads of the members of a service, as one home agent estimates them.

Load reports are always somewhat late. So a home adds each flow that it has
assigned, until a report reflects the assignment, and subtracts each flow whose
end was reported to it since the last report.
"""

from __future__ import annotations

from collections import deque

from fulmarshore.core.records import LoadReport, Member

MAX_PENDING_ASSIGNMENTS = 4096
"""Assignments counted for a member that sends no reports."""
DECLINE_BACKOFF_S = 0.01
"""A member that declined a flow gets no other within this time."""


class MemberLoad:
    """The last report of one member, and the changes that it does not reflect."""

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
        """Return an estimate of the flows that the member holds now.

        Parameters
        ----------
        homes : int
            Homes of the service. A home does not see what the others assign, so
            it assumes that each assigns and loses as many flows as itself.
        """
        return (
            self.flows
            + (len(self.pending_assignments) - self.ended_since_report) * homes
        )

    def estimate_utilization(self, homes: int) -> float:
        """Return an estimate of the share of the limit that is taken."""
        return self.estimate_flows(homes) / max(self.limit, 1)


class MemberLoads:
    """The loads of the other members of the service."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, MemberLoad] = {}

    def get_load(self, member: Member) -> MemberLoad:
        """Return the load of this incarnation of a member."""
        load = self._loads.get(member.name)
        if load is None or load.incarnation != member.incarnation:
            load = MemberLoad(member.incarnation, member.connections)
            self._loads[member.name] = load
        return load

    def handle_report(self, member: Member, report: LoadReport) -> bool:
        """Store a report; False if a newer one was received before."""
        load = self.get_load(member)
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
        """Add a flow that was just assigned to a member."""
        self.get_load(member).pending_assignments.append(assignment)

    def record_ended(self, name: str, incarnation: int) -> None:
        """Record that a flow of a member has ended."""
        load = self._loads.get(name)
        if load is not None and load.incarnation == incarnation:
            load.ended_since_report += 1

    def record_decline(
        self, member: Member, flows: int, assignment: int, now: float
    ) -> None:
        """Record that a member declined an assignment."""
        load = self.get_load(member)
        load.declined_at = now
        if assignment in load.pending_assignments:
            load.pending_assignments.remove(assignment)
        load.flows = max(load.flows, flows)

    def retain(self, names: set[str]) -> None:
        """Drop the loads of all members but these."""
        for name in list(self._loads):
            if name not in names:
                del self._loads[name]
