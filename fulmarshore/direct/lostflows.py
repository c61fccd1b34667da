"""Notice of lost flows: which callers a control host sends a reset, and when.

A record belongs to one incarnation of an upstream. Its caller is notified after a
report from the same host that this incarnation has ended, or that one with a later
start time has taken its place. Silence, suspicion or an unknown order never suffice.
"""

from __future__ import annotations

from collections import Counter, deque

from fulmarshore.direct.controlrecords import StoreKeptFlows
from fulmarshore.direct.keptflows import (
    RECORD_RETENTION_S,
    FlowRecord,
    FlowRegister,
    parse_start,
)
from fulmarshore.direct.keptflowsfile import StoredGroup
from fulmarshore.direct.packets import make_reset
from fulmarshore.direct.records import AgentReport, Decision, KeptFlows, SendToCaller

NOTICE_WINDOW_S = 0.1
MAX_NOTICES_PER_WINDOW = 200
"""Notices in one window: 12 KB, half of what a link of 2 Mbit/s carries in it."""
END_CONFIRMATION_S = 2.5
"""How long an upstream has to be reported as ended, for two intervals of announcements
and their delay: a late departure of a former run may name an upstream that lives."""
MAX_HOSTS = 4096
"""Hosts whose incarnations are remembered, 2 MB."""
MAX_INCARNATIONS = 8
"""Incarnations remembered of each host."""
EXPIRY_INTERVAL_S = 5.0
STORE_INTERVAL_S = 0.5
"""Shortest interval between two writes of the file."""
RENEWAL_STORE_INTERVAL_S = 10.0
"""Interval of writes if records were only renewed, a sixth of their retention."""
STORED_RECORDS_PER_S = 16_384
"""Bound of the encoding work: more records are stored less often."""


class ReportedHost:
    """What the agent on a host has reported, in order.

    Attributes
    ----------
    process, revision, number : int
        Process of the agent, and the numbers of its newest report and message.
    incarnations : list of str
        Its upstream's incarnations, in the order in which they became known.
    ended_since : float or None
        When the end of the last one was first reported; None unless it is ended.
    """

    __slots__ = ("process", "revision", "number", "incarnations", "ended_since")

    def __init__(self) -> None:
        self.process = 0
        self.revision = 0
        self.number = 0
        self.incarnations: list[str] = []
        self.ended_since: float | None = None

    def accept_report(self, process: int, revision: int) -> bool:
        """Record the number of a report; return False if it is outdated."""
        self._enter(process)
        if revision <= max(self.revision, self.number):
            return False
        self.revision = revision
        return True

    def accept_message(self, process: int, number: int) -> bool:
        """Record the number of a register message; return False if it is outdated."""
        self._enter(process)
        if number <= self.number:
            return False
        self.number = number
        return True

    def follow(self, incarnation: str) -> bool:
        """Record an incarnation; return False if another has already replaced it."""
        known = self.incarnations
        if incarnation in known:
            return incarnation == known[-1]
        known.append(incarnation)
        self.ended_since = None
        del known[:-MAX_INCARNATIONS]
        return True

    def _enter(self, process: int) -> None:
        if process != self.process:
            self.process = process
            self.revision = self.number = 0
            self.ended_since = None


class LostFlowNotifier:
    """Holds the register of kept flows, and notifies the callers of lost ones.

    Parameters
    ----------
    counters : Counter
        Counts ``flows_notified`` and ``kept_flows_dropped``.
    is_enabled : bool
        Whether flows are registered and callers notified.
    """

    def __init__(self, counters: Counter[str], is_enabled: bool = True) -> None:
        self.register = FlowRegister(counters)
        self._counters = counters
        self._is_enabled = is_enabled
        self._hosts: dict[str, ReportedHost] = {}
        self._due: deque[tuple[bytes, FlowRecord]] = deque()
        self._window_at = float("-inf")
        self._sent_in_window = 0
        self._expired_at = float("-inf")
        self._stored_at = float("-inf")
        self._has_changed = False
        self._is_renewed = False

    def restore(self, groups: list[StoredGroup], now: float) -> None:
        """Add the records that were stored before a restart."""
        if not self._is_enabled:
            return
        self.register.restore(groups, now)
        for group in groups:
            self._find_host(group.host).follow(group.incarnation)

    def handle_kept_flows(self, message: KeptFlows, now: float) -> None:
        """Process a register message of an agent."""
        if not self._is_enabled or not message.incarnation:
            return
        reported = self._find_host(message.host)
        if not reported.accept_message(message.process, message.number):
            return
        if not reported.follow(message.incarnation):
            return
        has_changed = self.register.apply(message, now)
        # An incomplete list also has the positions that have moved far.
        self._has_changed |= has_changed or not message.is_complete
        self._is_renewed = True

    def handle_report(self, report: AgentReport, now: float) -> list:
        """Notify the callers whose flows are lost according to a report."""
        if not self._is_enabled:
            return []
        reported = self._find_host(report.host)
        if not reported.accept_report(report.process, report.revision):
            return []
        if not report.incarnation or not reported.follow(report.incarnation):
            return []
        has_ended = self._has_ended(reported, report, now)
        effects: list = []
        for incarnation in self.register.list_incarnations(report.host):
            if incarnation == report.incarnation:
                if has_ended:
                    effects += self._schedule(report, incarnation, now)
                continue
            if is_later(report.incarnation, incarnation):
                effects += self._schedule(report, incarnation, now)
        return effects + self._send_due(now)

    def handle_tick(self, now: float) -> list:
        """Send the notices that are due, and store the register if it has changed."""
        if not self._is_enabled:
            return []
        effects = self._send_due(now)
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._has_changed |= self.register.expire(now) > 0
        return effects + self._store(now)

    def _has_ended(
        self, reported: ReportedHost, report: AgentReport, now: float
    ) -> bool:
        """Whether the reported incarnation has ended for certain."""
        if report.is_ended:
            return True
        if not report.is_empty:
            reported.ended_since = None
            return False
        if reported.ended_since is None:
            reported.ended_since = now
        return now - reported.ended_since >= END_CONFIRMATION_S

    def _schedule(self, report: AgentReport, incarnation: str, now: float) -> list:
        """Schedule notices for the records of an incarnation that has ended."""
        lost = self.register.detach(report.host, incarnation)
        self._due.extend(lost)
        self._has_changed = True
        detail = (
            f"{report.host}, incarnation {incarnation}, now {report.incarnation}"
            f"{' (ended)' if report.is_empty or report.is_ended else ''}, "
            f"{len(lost)} callers notified"
        )
        return [Decision("flows_lost", detail)]

    def _send_due(self, now: float) -> list:
        effects: list = []
        if now - self._window_at >= NOTICE_WINDOW_S:
            self._window_at = now
            self._sent_in_window = 0
        while self._due and self._sent_in_window < MAX_NOTICES_PER_WINDOW:
            key, record = self._due.popleft()
            if self.register.get(key) is not record:
                continue
            self.register.remove(key)
            if now - record.renewed_at > RECORD_RETENTION_S:
                self._counters["kept_flows_dropped"] += 1
                continue
            self._sent_in_window += 1
            self._counters["flows_notified"] += 1
            effects.append(SendToCaller(make_reset(key, record.position), key[:4]))
        return effects

    def _store(self, now: float) -> list:
        if not self._has_changed and not self._is_renewed:
            return []
        interval = STORE_INTERVAL_S if self._has_changed else RENEWAL_STORE_INTERVAL_S
        interval = max(interval, len(self.register) / STORED_RECORDS_PER_S)
        if now - self._stored_at < interval:
            return []
        self._stored_at = now
        self._has_changed = self._is_renewed = False
        return [StoreKeptFlows(self.register.list_groups(now))]

    def _find_host(self, host: str) -> ReportedHost:
        found = self._hosts.get(host)
        if found is None:
            found = self._hosts[host] = ReportedHost()
            if len(self._hosts) > MAX_HOSTS:
                del self._hosts[next(iter(self._hosts))]
        return found


def is_later(incarnation: str, former: str) -> bool:
    """Whether an incarnation is proved to have started after a former one."""
    start, former_start = parse_start(incarnation), parse_start(former)
    return None not in (start, former_start) and start > former_start
