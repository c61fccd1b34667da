"""Load of the executors, and the choice of one for each request.

The home agent, which coordinates the requests of a bucket, chooses the executor.
"""

from __future__ import annotations

from msgspec.structs import replace

from fulmarshore.core.records import Identity, Member, SlotReport

LOCAL_PREFERENCE = 1.25
"""Factor by which the agent's load must exceed that of a peer for the extra hop."""

AVOIDANCE_PENALTY = 1e6
"""Added to the load of an executor that refused the request or is unresponsive."""

UNRESPONSIVE_S = 1.0
"""Time for which an unresponsive executor is avoided unless it sends a report."""

MIN_LIMIT = 0.01


class ExecutorLoads:
    """Chooses executors by the ratio of their requests to their limit.

    Parameters
    ----------
    name : str
        Name of this agent.
    """

    __slots__ = ("_name", "_reports", "_unresponsive_since")

    def __init__(self, name: str) -> None:
        self._name = name
        self._reports: dict[str, SlotReport] = {}
        self._unresponsive_since: dict[str, float] = {}

    def record_report(self, report: SlotReport) -> None:
        """Record the load that an executor reports."""
        self._unresponsive_since.pop(report.agent, None)
        self._reports[report.agent] = report

    def record_unresponsive(self, name: str, now: float) -> None:
        """Record that an executor does not reply."""
        self._unresponsive_since[name] = now

    def choose(
        self,
        accepting: tuple[Member, ...],
        refuser: Identity | None,
        has_own_slot: bool,
        now: float,
    ) -> Member | None:
        """Return the executor with the lowest load, with a preference for this agent.

        A cold upstream has the highest load of all with its first request, and only
        work warms it up. So the home uses its own executor whenever that has a free
        slot, without comparing loads.

        Parameters
        ----------
        accepting : tuple of Member
            The candidates.
        refuser : Identity or None
            The executor that has just refused the request.
        has_own_slot : bool
            Whether this agent's executor could start the request at once.
        now : float
            The time, in seconds.
        """
        best: Member | None = None
        best_load = float("inf")
        for member in accepting:
            load = self._find_load(member)
            is_refuser = refuser is not None and member.name == refuser.name
            if is_refuser or self._is_unresponsive(member.name, now):
                load += AVOIDANCE_PENALTY
            elif member.name == self._name and has_own_slot:
                return member
            elif member.name == self._name:
                load /= LOCAL_PREFERENCE
            if load < best_load:
                best, best_load = member, load
        return best

    def record_dispatch(self, executor: Member) -> None:
        """Count a dispatch that the executor has not reported yet."""
        report = self._reports.get(executor.name)
        if report is None or report.incarnation != executor.incarnation:
            slots = float(executor.slots)
            report = SlotReport(
                executor.service, executor.name, executor.incarnation, 0, 0, slots
            )
        self._reports[executor.name] = replace(report, used=report.used + 1)

    def _find_load(self, member: Member) -> float:
        report = self._reports.get(member.name)
        if report is None or report.incarnation != member.incarnation:
            return 0.0
        return (report.used + 1) / max(report.limit, MIN_LIMIT)

    def _is_unresponsive(self, name: str, now: float) -> bool:
        return now - self._unresponsive_since.get(name, float("-inf")) < UNRESPONSIVE_S
