"""Planned restart of an agent, and the recovery of flows after any restart."""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    Effect,
    LocalPort,
    OpenUpstream,
    Reason,
    RestartReply,
    RestartRequest,
    SendPeer,
    Stopped,
    TimelineEvent,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.routing.copystream import make_record
from fulmarshore.routing.eviction import is_first_member
from fulmarshore.routing.flowrecords import get_address
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.lease import LeaseGuard
from fulmarshore.routing.restartpermit import RestartPermit
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState, split_identity
from fulmarshore.routing.table import ServiceTable


class RestartHandler:
    """Hands flow records to peers, or recovers the previous incarnation's.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    router : Router
        Routes packets of flows that are not held here.
    lease : LeaseGuard
        Suspends arbitration without a lease.
    """

    def __init__(self, state: AgentState, router: Router, lease: LeaseGuard) -> None:
        self.state = state
        self.router = router
        self.lease = lease
        self._permit = RestartPermit(state.member.name)
        self._recovery_began = False
        self._zone_version = 0

    def begin(self, ports: list[LocalPort], now: float) -> list[Effect]:
        """Start to wait for the permit to restart."""
        if self.state.service is None:
            return [Stopped()]
        for local in ports:
            flow = self.state.flows.get(local.flow)
            if flow is not None:
                flow.local_port = local.port
        if self.state.record_transfer.is_leaving or self._permit.is_waiting:
            return []
        self._permit.start_waiting(now)
        event = TimelineEvent("restart_wanted")
        return [event, *self.tick(now)]

    def tick(self, now: float) -> list[Effect]:
        """Request the permit, and hand the flows over once it is granted."""
        self._permit.record_activity(now)
        service = self.state.service
        if service is None or not self._permit.is_waiting:
            return []
        peers = [m for m in service.members if m.name != self.state.member.name]
        if self._permit.is_granted({m.name for m in peers}, now):
            self._permit.stop_waiting()
            return self._export(service, now)
        number = self._permit.request(now)
        if not number:
            return []
        request = RestartRequest(*self._make_head(), number)
        return [SendPeer(get_address(member), request) for member in peers]

    def handle_request(self, request: RestartRequest, source: Address) -> list[Effect]:
        """Reply to a peer whether it may restart."""
        if not self._is_peer(request.agent, source):
            return self.state.drop(Reason.UNKNOWN_SENDER)
        record_transfer = self.state.record_transfer
        is_free = self.state.has_recovered and not record_transfer.is_leaving
        is_allowed = self._permit.grant(request.agent, is_free)
        reply = RestartReply(*self._make_head(), request.number, is_allowed)
        return [SendPeer(source, reply)]

    def handle_reply(
        self, reply: RestartReply, source: Address, now: float
    ) -> list[Effect]:
        """Process the reply of a peer to a request for the permit."""
        if not self._is_peer(reply.agent, source):
            return self.state.drop(Reason.UNKNOWN_SENDER)
        self._permit.record_activity(now)
        self._permit.handle_reply(reply.agent, reply.number, reply.is_allowed, now)
        return self.tick(now)

    def _is_peer(self, agent: str, source: Address) -> bool:
        """Return whether a message comes from the data address of its agent."""
        member = self.state.service.by_name.get(agent)
        return member is not None and get_address(member) == source

    def _make_head(self) -> tuple[str, str, int, int]:
        """Return the fields that every message to a peer begins with."""
        identity = split_identity(self.state.subscriber.identity)
        return self.state.member.service, *identity, self.state.table.version

    def _export(self, service: ServiceTable, now: float) -> list[Effect]:
        """Hand the flow records to peers, from which the successor gets them."""
        records = []
        for flow in self.state.flows.values():
            if flow.local_port:
                records.append(make_record(flow))
        self.state.copy_sender.freeze()
        version = self.state.table.version
        lease_left = LEASE_S - (now - self.state.subscriber.lease_renewed_at)
        self.state.record_transfer.begin_export(
            records, service, version, lease_left, now
        )
        event = TimelineEvent("restart_began", detail=f"{len(records)} flows")
        return [event, *self.state.record_transfer.tick(version, now)]

    def begin_recovery(self, now: float) -> list[Effect]:
        """Request the previous incarnation's flows, once this agent is a member."""
        service = self.state.service
        if self._recovery_began or service is None:
            return []
        member = service.by_name.get(self.state.member.name)
        if member is None or member.incarnation != self.state.member.incarnation:
            return []
        self._recovery_began = True
        self._zone_version = self._find_zone_version()
        if is_first_member(self.state.subscriber.view, self.state.member):
            self.state.evictions.begin_startup_wait(now)
        self.state.record_transfer.begin_recovery(service, now)
        effects = self.state.record_transfer.tick(self.state.table.version, now)
        return effects + self.finish_recovery(now)

    def finish_recovery(self, now: float) -> list[Effect]:
        """Open the previous incarnation's flows once the recovery is over."""
        records = self.state.record_transfer.pop_recovered(now)
        if records is None:
            return []
        self.state.has_recovered = True
        if (
            self.state.evicted_version
            or self._zone_version != self._find_zone_version()
        ):
            # Other agents may have opened the flows since the peers were asked.
            self.state.counters["records_refused"] += len(records)
            records = []
        returned = self.state.record_transfer.returned if records else {}
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
            self.state.idle_queue.add(flow, now)
            effects.append(OpenUpstream(record.flow, record.local_port))
        if records:
            self.state.counters["flows_recovered"] += len(records)
            detail = f"{len(records)} flows"
            effects.append(TimelineEvent("flows_recovered", detail=detail))
        self.state.copy_sender.update(self.state.service, self.state.flows, returned)
        return effects + self.lease.check_lease(now) + self.router.resume_held(now)

    def _find_zone_version(self) -> int:
        return self.state.table.zone_versions.get(self.state.member.zone, 0)
