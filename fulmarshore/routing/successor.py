"""Restart of this agent, planned or not: its end, and the start of a successor."""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    Effect,
    LocalPort,
    OpenUpstream,
    Stopped,
    TimelineEvent,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.routing.copystream import make_record
from fulmarshore.routing.eviction import is_first
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.lease import LeaseGuard
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState


class PlannedRestart:
    """Hands flow records to peers, or fetches those of a former self.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    router : Router
        Finds who takes a packet.
    lease : LeaseGuard
        Stops arbitration without a lease.
    """

    def __init__(self, state: AgentState, router: Router, lease: LeaseGuard) -> None:
        self.state = state
        self.router = router
        self.lease = lease
        self._recovery_began = False
        self._zone_version = 0

    def begin(self, ports: list[LocalPort], now: float) -> list[Effect]:
        """Hand the flow records to peers, for the successor to fetch."""
        service = self.state.service
        if service is None or self.state.succession.is_leaving:
            return [Stopped()] if service is None else []
        records = []
        for local in ports:
            flow = self.state.flows.get(local.flow)
            if flow is None:
                continue
            flow.local_port = local.port
            records.append(make_record(flow))
        self.state.copier.freeze()
        version = self.state.table.version
        lease_left = LEASE_S - (now - self.state.subscriber.lease_renewed)
        self.state.succession.begin_export(records, service, version, lease_left, now)
        event = TimelineEvent("restart_began", detail=f"{len(records)} flows")
        return [event, *self.state.succession.tick(version, now)]

    def begin_recovery(self, now: float) -> list[Effect]:
        """Ask the peers for the flows of a former self, once a member."""
        service = self.state.service
        if self._recovery_began or service is None:
            return []
        member = service.by_name.get(self.state.member.name)
        if member is None or member.incarnation != self.state.member.incarnation:
            return []
        self._recovery_began = True
        self._zone_version = self._find_zone_version()
        if is_first(self.state.subscriber.view, self.state.member):
            self.state.evictions.begin(now)
        self.state.succession.begin_recovery(service, now)
        effects = self.state.succession.tick(self.state.table.version, now)
        return effects + self.finish_recovery(now)

    def finish_recovery(self, now: float) -> list[Effect]:
        """Take the flows of a former self once they are here."""
        records = self.state.succession.take_recovered(now)
        if records is None:
            return []
        self.state.has_recovered = True
        if self.state.evicted_by or self._zone_version != self._find_zone_version():
            # Others may have opened the flows since the peers were asked.
            self.state.counters["records_refused"] += len(records)
            records = []
        given = self.state.succession.given if records else {}
        effects: list[Effect] = []
        for record in records:
            caller = Address(record.caller_host, record.caller_port)
            address = self.state.find_entry(record.entry)
            flow = Flow(
                record.flow, caller, record.entry, address, record.assignment, now
            )
            flow.version = self.state.table.version
            flow.local_port = record.local_port
            self.state.flows[record.flow] = flow
            self.state.idle.add(flow, now)
            effects.append(OpenUpstream(record.flow, record.local_port))
        if records:
            self.state.counters["flows_recovered"] += len(records)
            detail = f"{len(records)} flows"
            effects.append(TimelineEvent("flows_recovered", detail=detail))
        self.state.copier.follow(self.state.service, self.state.flows, given)
        return effects + self.lease.guard(now) + self.router.resume_held(now)

    def _find_zone_version(self) -> int:
        return self.state.table.zone_versions.get(self.state.member.zone, 0)
