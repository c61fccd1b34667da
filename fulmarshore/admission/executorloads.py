"""What a home knows of the executors' load, and which of them it chooses."""

from __future__ import annotations

from msgspec.structs import replace

from fulmarshore.core.records import Identity, Member, SlotReport

LOCAL_PREFERENCE = 1.25
"""How much more room a peer must have for a hand-over to be worth its hop."""

AVOIDANCE_PENALTY = 1e6
"""Added to the load of an executor that refused the request or is silent."""

UNRESPONSIVE_S = 1.0
"""How long an executor that said nothing is avoided, unless it is heard."""

MIN_LIMIT = 0.01


class ExecutorLoads:
    """Chooses executors by the requests they hold over what they bear.

    Parameters
    ----------
    name : str
        The agent itself.
    """

    __slots__ = ("_name", "_reports", "_unresponsive_since")

    def __init__(self, name: str) -> None:
        self._name = name
        self._reports: dict[str, SlotReport] = {}
        self._unresponsive_since: dict[str, float] = {}

    def record_report(self, report: SlotReport) -> None:
        """Take what an executor says about its load."""
        self._unresponsive_since.pop(report.agent, None)
        self._reports[report.agent] = report

    def record_unresponsive(self, name: str, now: float) -> None:
        """Note that an executor does not say a word."""
        self._unresponsive_since[name] = now

    def choose(
        self,
        accepting: tuple[Member, ...],
        refuser: Identity | None,
        has_own_slot: bool,
        now: float,
    ) -> Member | None:
        """Return the executor with most room, the agent itself before others.

        A cold upstream has the highest load of all with its first request, and
        warms by work alone: so the home asks its own executor for a free slot,
        and does not compare shares where it has one.

        Parameters
        ----------
        accepting : tuple of Member
            Who may be chosen.
        refuser : Identity or None
            Who refused the request just now.
        has_own_slot : bool
            Whether the agent itself could start the request at once.
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
        """Count a hand-over that the executor has not reported yet."""
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
