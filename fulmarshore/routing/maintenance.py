"""Periodic work of an agent: load reports, idle flows, directory checks."""

from __future__ import annotations

from fulmarshore.core.records import Address, Effect, FlowCheck, Reason, SendPeer
from fulmarshore.routing.lifetimes import Lifetimes
from fulmarshore.routing.state import AgentState
from fulmarshore.routing.table import ServiceTable

IDLE_SCAN_INTERVAL_S = 1.0


class Maintenance:
    """Reports the load, ends idle flows and checks the directory.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    lifetimes : Lifetimes
        Ends flows.
    """

    def __init__(self, state: AgentState, lifetimes: Lifetimes) -> None:
        self.state = state
        self.lifetimes = lifetimes
        self._scanned_at = float("-inf")

    def report_load(self, now: float) -> list[Effect]:
        """Return the reports that are due."""
        self.state.arbiter.extra_hops.update_share(now)
        service = self.state.service
        if service is None or self.state.member.name not in service.by_name:
            return []
        reports = self.state.reporter.list_due_reports(
            service,
            self.state.table.version,
            len(self.state.flows),
            self.state.gate.get_limit(now),
            self.state.counters["flows_opened"],
            now,
        )
        return [SendPeer(address, report) for address, report in reports]

    def end_idle_flows(self, now: float) -> list[Effect]:
        """End flows that were idle for too long, and check directory entries."""
        if now - self._scanned_at < IDLE_SCAN_INTERVAL_S:
            return []
        self._scanned_at = now
        service = self.state.service
        if service is None:
            return []
        timeout = service.profile.idle_timeout
        for key in self.state.streams:
            # The end of a stream is signalled, so streams have no idle time-out.
            self.state.flows[key].last_active = now
        effects: list[Effect] = []
        for flow in self.state.idle_queue.pop_idle(self.state.flows, timeout, now):
            effects += self.lifetimes.end_flow(flow.key, Reason.IDLE)
        for bucket in self.state.directory.list_buckets():
            if self.state.homes.has_expired(bucket, now):
                self.state.directory.discard_bucket(bucket)
        return effects + self._check_directory(service, now)

    def _check_directory(self, service: ServiceTable, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for owner, flows in self.state.arbiter.list_due_checks(service, now):
            check = FlowCheck(
                self.state.member.service,
                self.state.member.name,
                self.state.member.incarnation,
                self.state.table.version,
                flows,
            )
            effects.append(SendPeer(Address(owner.host, owner.port), check))
        return effects
