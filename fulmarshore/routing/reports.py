"""Load reports of an agent to its peers."""

from __future__ import annotations

from fulmarshore.core.codec import encode
from fulmarshore.core.records import Address, LoadReport
from fulmarshore.routing.arbitration import OwnLoad
from fulmarshore.routing.table import ServiceTable

REPORT_INTERVAL_S = 0.25
"""Longest time that a change of the load stays unreported."""
KEEPALIVE_INTERVAL_S = 2.0
"""A report is repeated after this time, in case one was lost."""
SIGNIFICANT_SHARE = 0.005
"""Share of the flows whose opening or ending is reported without delay."""
MIN_INTERVAL_S = 0.02
"""Time between two reports, however large the change."""
REPORT_BYTES_PER_S = 4000
"""Bandwidth of one agent's reports to all peers together; a process may spend
5,000 on control."""
SEAL_BYTES = 41
"""Bytes that sealing adds to a datagram."""


class LoadReporter:
    """Decides when load reports are due, and builds them.

    Parameters
    ----------
    name, incarnation : str, int
        Identity of the agent.
    """

    __slots__ = (
        "_name",
        "_incarnation",
        "_number",
        "_flows",
        "_limit",
        "_reported_at",
        "_throttled_until",
        "_change_since_report",
        "_opened",
        "_latest_assignments",
    )

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._number = 0
        self._flows = -1
        self._limit = -1
        self._change_since_report = 0
        self._opened = 0
        self._reported_at = float("-inf")
        self._throttled_until = float("-inf")
        self._latest_assignments: dict[Address, int] = {}

    def record_admitted(self) -> None:
        """Record that this agent, as home, has admitted a flow itself."""
        self._change_since_report += 1

    def record_ended(self) -> None:
        """Record the end of a flow of which this agent is home and owner."""
        self._change_since_report -= 1

    def get_own_load(self, can_admit: bool, flows: int, limit: int) -> OwnLoad:
        """Return this agent's load as of its last report, like that of its peers.

        The loads of peers are estimates since their last reports. A home that
        counted its own flows exactly would seem more loaded than its peers
        whenever flows grow, and would hand over flows that it should keep.

        Parameters
        ----------
        can_admit : bool
            Whether a flow may be admitted right now.
        flows, limit : int
            Flows held and flows that may be held.
        """
        if self._limit >= 0:
            limit = self._limit
        return OwnLoad(
            flows, max(self._flows, 0), limit, self._change_since_report, can_admit
        )

    def record_assignment(self, home: Address, assignment: int) -> None:
        """Record that later reports reflect an assignment of a home."""
        if assignment > self._latest_assignments.get(home, 0):
            self._latest_assignments[home] = assignment

    def list_due_reports(
        self,
        service: ServiceTable,
        version: int,
        flows: int,
        limit: int,
        opened: int,
        now: float,
    ) -> list[tuple[Address, LoadReport]]:
        """Return the reports that are due, one for each peer.

        Parameters
        ----------
        service : ServiceTable
            The members.
        version : int
            Version of the table.
        flows, limit : int
            Flows held and flows that may be held.
        opened : int
            Flows ever opened here.
        now : float
            The time, in seconds.
        """
        if not self._is_due(flows, limit, opened, now):
            return []
        self._reported_at = now
        self._opened = opened
        self._flows = flows
        self._limit = limit
        self._change_since_report = 0
        self._number += 1
        reports = []
        latest_assignments: dict[Address, int] = {}
        for member in service.members:
            if member.name == self._name:
                continue
            address = Address(member.host, member.port)
            assignment = self._latest_assignments.get(address, 0)
            if assignment:
                latest_assignments[address] = assignment
            report = LoadReport(
                member.service,
                self._name,
                self._incarnation,
                version,
                flows,
                limit,
                self._number,
                assignment,
            )
            reports.append((address, report))
        self._latest_assignments = latest_assignments
        size = sum(len(encode(report)) + SEAL_BYTES for _, report in reports)
        self._throttled_until = now + size / REPORT_BYTES_PER_S
        return reports

    def _is_due(self, flows: int, limit: int, opened: int, now: float) -> bool:
        # The pause grows with the number of peers, as each gets a message.
        if now < self._throttled_until:
            return False
        waited = now - self._reported_at
        if waited >= KEEPALIVE_INTERVAL_S:
            return True
        # As many endings as openings leave the load unchanged, but peers count
        # their assignments until a report reflects them.
        new_flows = opened - self._opened
        if flows == self._flows and limit == self._limit and not new_flows:
            return False
        if waited >= REPORT_INTERVAL_S:
            return True
        if waited < MIN_INTERVAL_S:
            return False
        has_room_again = self._flows >= self._limit and flows < limit
        ended = abs(self._flows + new_flows - flows)
        return has_room_again or new_flows + ended >= SIGNIFICANT_SHARE * max(flows, 1)
