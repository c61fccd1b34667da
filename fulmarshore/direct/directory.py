"""Directories of agents: on a control host, and merged on an entry host.

They are kept in memory only. Agents report to every control host that they know, and
each control host sends entry hosts the changes since their last poll.
"""

from __future__ import annotations

from fulmarshore.direct.records import AgentReport, Update

AGENT_TIMEOUT_S = 2.5
"""An agent that sent no report for this long, five report intervals, is missing."""
MISSING_RETENTION_S = 10.0
"""An agent that went missing less than this ago may return with its flows."""
CHANGE_HISTORY = 4096
"""Changes that are listed; an entry host further behind gets the whole directory."""


class AgentDirectory:
    """The agents that report to a control host, with a revision for each change.

    Parameters
    ----------
    process : int
        Random number of the control host's process; revisions of different
        processes cannot be compared.
    """

    __slots__ = (
        "process",
        "revision",
        "_missing",
        "_reports",
        "_reported_at",
        "_changed",
        "_gone",
        "_ended",
    )

    def __init__(self, process: int) -> None:
        self.process = process
        self.revision = 0
        self._missing: dict[str, float] = {}
        self._reports: dict[str, AgentReport] = {}
        self._reported_at: dict[str, float] = {}
        self._changed: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self._ended: set[str] = set()

    @property
    def missing_at(self) -> float:
        """Time at which the most recent missing agent went missing; -inf if none."""
        return max(self._missing.values(), default=float("-inf"))

    def list_missing(self) -> list[str]:
        """Return the hosts whose agents are missing."""
        return list(self._missing)

    def mark_missing(self, host: str, now: float) -> None:
        """Mark an agent known before a restart of the control host as missing."""
        self._missing[host] = now

    def record_report(self, report: AgentReport, now: float) -> bool:
        """Store an agent's report; return whether entry hosts need to know it."""
        previous = self._reports.get(report.host)
        if previous is not None and previous.process == report.process:
            if report.revision < previous.revision:
                return False
        if report.is_ended:
            self._missing.pop(report.host, None)
            return self._record_end(report.host)
        self._reported_at[report.host] = now
        self._missing.pop(report.host, None)
        self._reports[report.host] = report
        if previous is not None and not has_changed(previous, report):
            return False
        self.revision += 1
        self._changed[report.host] = self.revision
        self._gone.pop(report.host, None)
        self._ended.discard(report.host)
        return True

    def expire(self, now: float) -> list[str]:
        """Remove agents that stopped reporting, unless all of them did.

        If no agent reports, the control host itself may be cut off.
        """
        self._expire_missing(now)
        newest = max(self._reported_at.values(), default=now)
        if now - newest > AGENT_TIMEOUT_S:
            return []
        expired = [
            host
            for host, reported_at in self._reported_at.items()
            if now - reported_at > AGENT_TIMEOUT_S
        ]
        for host in expired:
            if not self._reports[host].is_empty:
                self._missing[host] = now
            self._remove(host)
        return expired

    def _expire_missing(self, now: float) -> None:
        for host, missing_at in list(self._missing.items()):
            if now - missing_at > MISSING_RETENTION_S:
                del self._missing[host]

    def _record_end(self, host: str) -> bool:
        """Remove an agent whose upstream has ended; return whether it was known."""
        if host not in self._reports:
            return False
        self._remove(host)
        self._ended.add(host)
        return True

    def _remove(self, host: str) -> None:
        del self._reported_at[host], self._reports[host], self._changed[host]
        self.revision += 1
        self._gone[host] = self.revision
        while len(self._gone) > CHANGE_HISTORY:
            oldest = next(iter(self._gone))
            del self._gone[oldest]
            self._ended.discard(oldest)

    def list_changes(
        self, process: int, revision: int
    ) -> tuple[bool, tuple[AgentReport, ...], tuple[str, ...], tuple[str, ...]]:
        """Return the changes since a revision that this process gave out.

        Returns
        -------
        is_complete : bool
            Whether the reports are the whole directory.
        changed : tuple of AgentReport
            Reports of new or changed agents.
        gone, ended : tuple of str
            Hosts whose agents were removed, and those of them whose upstream ended.
        """
        if process != self.process or self.revision - revision > CHANGE_HISTORY:
            return True, tuple(self._reports.values()), (), ()
        if revision >= self.revision:
            return False, (), (), ()
        changed = tuple(
            self._reports[host] for host, at in self._changed.items() if at > revision
        )
        gone = tuple(host for host, at in self._gone.items() if at > revision)
        return False, changed, gone, tuple(self._ended.intersection(gone))


def has_changed(previous: AgentReport, report: AgentReport) -> bool:
    """Whether a report differs in more than flows, requests and service time."""
    return (
        previous.process != report.process
        or previous.service != report.service
        or previous.zone != report.zone
        or previous.is_accepting != report.is_accepting
        or previous.is_cold != report.is_cold
        or previous.slots != report.slots
        or previous.is_empty != report.is_empty
        or previous.incarnation != report.incarnation
        or previous.load_level != report.load_level
    )


class KnownAgents:
    """The agents that an entry host knows, merged from all control hosts.

    An agent is known as long as one control host lists it.
    """

    __slots__ = ("_reports", "_sources", "_revisions")

    def __init__(self) -> None:
        self._reports: dict[str, AgentReport] = {}
        self._sources: dict[str, set[str]] = {}
        self._revisions: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def list_all(self) -> list[AgentReport]:
        """Return the newest report of each agent."""
        return list(self._reports.values())

    def get_position(self, control: str) -> tuple[int, int]:
        """Return process and revision of a control host's last update, or zeros."""
        return self._revisions.get(control, (0, 0))

    def apply_update(self, control: str, update: Update) -> list[AgentReport | str]:
        """Apply an update of a control host; outdated ones are ignored.

        Returns
        -------
        changes : list of AgentReport or str
            Newer reports, and hosts whose agents were removed.
        """
        changes: list[AgentReport | str] = []
        previous = self._revisions.get(control)
        if previous == (update.directory, update.revision) and not update.is_complete:
            return changes
        if not update.is_complete and (
            previous is None or previous[0] != update.directory
        ):
            return changes
        if previous is not None and previous[0] == update.directory:
            if update.revision < previous[1]:
                return changes
        self._revisions[control] = (update.directory, update.revision)
        if update.is_complete:
            reported = {report.host for report in update.reports}
            for host in self._list_hosts_from(control) - reported:
                changes += self._remove(control, host)
        for report in update.reports:
            self._sources.setdefault(report.host, set()).add(control)
            former = self._reports.get(report.host)
            if former is not None and former.process == report.process:
                if former.revision >= report.revision:
                    continue
            self._reports[report.host] = report
            changes.append(report)
        for host in update.gone:
            changes += self._remove(control, host)
        for host in update.ended:
            self._sources.get(host, set()).clear()
            changes += self._remove(control, host)
        return changes

    def discard_control(self, control: str) -> list[AgentReport | str]:
        """Remove agents that only an unresponsive control host listed.

        Without any other control host all agents are kept.
        """
        changes: list[AgentReport | str] = []
        self._revisions.pop(control, None)
        if not self._revisions:
            return changes
        for host in self._list_hosts_from(control):
            changes += self._remove(control, host)
        return changes

    def _list_hosts_from(self, control: str) -> set[str]:
        return {host for host, sources in self._sources.items() if control in sources}

    def _remove(self, control: str, host: str) -> list[AgentReport | str]:
        sources = self._sources.get(host, set())
        sources.discard(control)
        if sources or host not in self._reports:
            return []
        del self._sources[host], self._reports[host]
        return [host]
