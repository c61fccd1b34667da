"""The core of an agent: whose packet it is, and whether it is admitted.

The first agent in the row of a bucket is the home of the flows in it. The
home arbitrates openings: it admits a flow itself or hands it to the member
with most room, and remembers the owner.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from fulmarshore.admission.gate import Gate
from fulmarshore.admission.requests import RequestCore
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Answer,
    CloseUpstream,
    Declined,
    Delta,
    DeltaRequest,
    Effect,
    Event,
    Forward,
    LinkMessage,
    LoadReport,
    Member,
    MemberState,
    OwnedFlow,
    PeerMessage,
    Phase,
    Reason,
    Refusal,
    Released,
    SendPeer,
    SendUpstream,
    Stop,
    Stopped,
    Tick,
    TimelineEvent,
    UpstreamDatagram,
    UpstreamGone,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.flows import Directory, Flow
from fulmarshore.routing.table import ServiceTable, Table

MAX_HOPS = 4
LOAD_INTERVAL_S = 0.25
IDLE_SCAN_INTERVAL_S = 1.0


class AgentCore:
    """Owns the flows of one upstream and arbitrates those it is home of.

    Parameters
    ----------
    subscriber : Subscriber
        Keeps the view in force; its announcement is this agent's member.
    """

    def __init__(self, subscriber: Subscriber) -> None:
        assert isinstance(subscriber.announcement, Member)
        self.subscriber = subscriber
        self.member = subscriber.announcement
        self.table = Table(subscriber.view)
        self.counters: Counter[str] = Counter()
        self.flows: dict[bytes, Flow] = {}
        self.directory = Directory()
        self.gate = Gate(self.member)
        self.requests = RequestCore(subscriber)
        self._loads: dict[str, LoadReport] = {}
        self._reported_flows = -1
        self._reported_at = float("-inf")
        self._scanned_at = float("-inf")
        self._stopping_at = float("inf")

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        if self.requests.takes(event, self.table):
            return self.requests.handle(event, self.table, now)
        match event:
            case PeerMessage():
                return self._handle_peer(event, now)
            case UpstreamDatagram():
                return self._answer(event, now)
            case UpstreamGone(flow=flow):
                return self._end_flow(flow, Reason.UPSTREAM_GONE)
            case LinkMessage():
                effects = self.subscriber.handle(event, now)
                return effects + self._update_table()
            case Tick():
                return self._tick(now)
            case Stop():
                return self._begin_stop(now)
        raise AssertionError(f"unexpected event {event!r}")

    def _handle_peer(self, event: PeerMessage, now: float) -> list[Effect]:
        match event.message:
            case Forward() as packet:
                return self._take_packet(packet, event.source, now)
            case Declined() as declined:
                return self._retry_declined(declined, now)
            case Released() as released:
                if released.service == self.member.service:
                    self.directory.forget(released.flow)
                return []
            case LoadReport() as report:
                if report.service == self.member.service:
                    self._loads[report.agent] = report
                return []
            case Delta() as delta:
                effects = self.subscriber.apply(delta, event.source[0])
                return effects + self._update_table()
            case DeltaRequest() as request:
                delta = make_delta(self.subscriber.view, request.version)
                return [SendPeer(event.source, delta)]
        return self._drop(Reason.MALFORMED)

    def _take_packet(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        if packet.service != self.member.service:
            return self._drop(Reason.WRONG_SERVICE)
        wrong = packet.target != self.member.name
        if wrong or packet.incarnation != self.member.incarnation:
            return self._drop(Reason.WRONG_INCARNATION)
        effects: list[Effect] = []
        if packet.version != self.table.version:
            effects += self._compare_versions(packet.version, source)
        flow = self.flows.get(packet.flow)
        if flow is not None:
            self._touch(flow, packet, now)
            effects.append(SendUpstream(packet.flow, packet.payload))
            return effects
        if packet.assigned:
            return effects + self._take_assigned(packet, source, now)
        return effects + self._route(packet, now)

    def _route(self, packet: Forward, now: float) -> list[Effect]:
        service = self.table.services.get(self.member.service)
        if service is None:
            return self._refuse(packet, Reason.NO_UPSTREAM)
        owned = self.directory.find(packet.flow)
        if owned is not None:
            return self._pass_to_owner(service, owned, packet, now)
        row = service.get_row(find_bucket(packet.flow))
        if row and row[0].name != self.member.name:
            return self._pass_on(row[0], packet, packet.assigned)
        if packet.phase in (Phase.MIDDLE, Phase.END):
            return self._refuse(packet, Reason.FLOW_UNKNOWN)
        return self._open(service, packet, now)

    def _pass_to_owner(
        self, service: ServiceTable, owned: OwnedFlow, packet: Forward, now: float
    ) -> list[Effect]:
        owner = service.by_name.get(owned.owner)
        if owner is None or owner.incarnation != owned.incarnation:
            self.directory.forget(packet.flow)
            return self._route(packet, now)
        return self._pass_on(owner, packet, True)

    def _open(self, service: ServiceTable, packet: Forward, now: float) -> list[Effect]:
        owner = self._choose_owner(service, now)
        if owner is None:
            return self._refuse(packet, Reason.FULL)
        owned = OwnedFlow(packet.flow, owner.name, owner.incarnation)
        self.directory.remember(owned)
        if owner.name == self.member.name:
            return self._admit(packet, now)
        self._expect_flow(owner)
        self.counters["handed_over"] += 1
        return self._pass_on(owner, packet, True)

    def _choose_owner(self, service: ServiceTable, now: float) -> Member | None:
        """Return the accepting member with most room, itself on a tie."""
        best: Member | None = None
        best_share = 1.0
        for member in service.accepting:
            share = self._find_share(member, now)
            if share < best_share or (
                share == best_share and share < 1.0 and member.name == self.member.name
            ):
                best, best_share = member, share
        return best

    def _find_share(self, member: Member, now: float) -> float:
        if member.name == self.member.name:
            return len(self.flows) / max(self.gate.get_limit(now), 1)
        report = self._loads.get(member.name)
        if report is None or report.incarnation != member.incarnation:
            return 0.0
        return report.flows / max(report.limit, 1)

    def _expect_flow(self, owner: Member) -> None:
        report = self._loads.get(owner.name)
        if report is None or report.incarnation != owner.incarnation:
            report = LoadReport(
                owner.service, owner.name, owner.incarnation, 0, 0, owner.connections
            )
        changed = msgspec.structs.replace(report, flows=report.flows + 1)
        self._loads[owner.name] = changed

    def _take_assigned(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        """Admit a flow that its home gave to this agent, or give it back."""
        if packet.phase in (Phase.MIDDLE, Phase.END):
            return self._refuse(packet, Reason.FLOW_UNKNOWN)
        has_room = self.gate.has_room(len(self.flows), now)
        if has_room and self.member.state == MemberState.ACCEPTING:
            return self._admit(packet, now)
        declined = Declined(
            self.member.name,
            self.member.incarnation,
            self.table.version,
            len(self.flows),
            packet,
        )
        self.counters["declined"] += 1
        return [SendPeer(source, declined)]

    def _retry_declined(self, declined: Declined, now: float) -> list[Effect]:
        packet = declined.packet
        owned = self.directory.find(packet.flow)
        if owned is None or owned.owner != declined.agent:
            return []
        self.directory.forget(packet.flow)
        service = self.table.services.get(self.member.service)
        if service is None or packet.hops >= MAX_HOPS:
            return self._refuse(packet, Reason.FULL)
        limit = max(declined.flows, 1)
        self._loads[declined.agent] = LoadReport(
            self.member.service,
            declined.agent,
            declined.incarnation,
            declined.version,
            limit,
            limit,
        )
        return self._open(service, packet, now)

    def _admit(self, packet: Forward, now: float) -> list[Effect]:
        if not self.gate.has_room(len(self.flows), now):
            self.directory.forget(packet.flow)
            return self._refuse(packet, Reason.FULL)
        assert self.member.state == MemberState.ACCEPTING or not packet.assigned
        caller = Address(packet.caller_host, packet.caller_port)
        address = self._find_entry(packet.entry)
        flow = Flow(packet.flow, caller, packet.entry, address, now)
        self.flows[packet.flow] = flow
        self.counters["flows_opened"] += 1
        return [SendUpstream(packet.flow, packet.payload)]

    def _pass_on(self, member: Member, packet: Forward, assigned: bool) -> list[Effect]:
        if packet.hops >= MAX_HOPS:
            return self._refuse(packet, Reason.TOO_MANY_HOPS)
        self.counters["passed_on"] += 1
        passed = msgspec.structs.replace(
            packet,
            target=member.name,
            incarnation=member.incarnation,
            version=self.table.version,
            hops=packet.hops + 1,
            assigned=assigned,
        )
        return [SendPeer(Address(member.host, member.port), passed)]

    def _touch(self, flow: Flow, packet: Forward, now: float) -> None:
        flow.last_active = now
        if flow.entry != packet.entry:
            flow.entry = packet.entry
            flow.entry_address = self._find_entry(packet.entry)
        self.counters["delivered"] += 1

    def _find_entry(self, name: str) -> Address | None:
        entry = self.table.entries.get(name)
        if entry is None:
            return self._any_entry()
        return Address(entry.host, entry.port)

    def _any_entry(self) -> Address | None:
        for entry in self.table.entries.values():
            return Address(entry.host, entry.port)
        return None

    def _answer(self, event: UpstreamDatagram, now: float) -> list[Effect]:
        flow = self.flows.get(event.flow)
        if flow is None:
            return self._drop(Reason.FLOW_UNKNOWN)
        flow.last_active = now
        if flow.entry_address is None:
            flow.entry_address = self._find_entry(flow.entry)
        if flow.entry_address is None:
            return self._drop(Reason.NO_UPSTREAM)
        self.counters["answered"] += 1
        answer = Answer(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            flow.key,
            flow.caller.host,
            flow.caller.port,
            event.payload,
        )
        return [SendPeer(flow.entry_address, answer)]

    def _end_flow(self, key: bytes, reason: Reason) -> list[Effect]:
        if self.flows.pop(key, None) is None:
            return []
        self.counters[f"flows_ended_{reason}"] += 1
        effects: list[Effect] = [CloseUpstream(key)]
        service = self.table.services.get(self.member.service)
        self.directory.forget(key)
        if service is None:
            return effects
        row = service.get_row(find_bucket(key))
        if not row or row[0].name == self.member.name:
            return effects
        released = Released(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            key,
        )
        effects.append(SendPeer(Address(row[0].host, row[0].port), released))
        return effects

    def _refuse(self, packet: Forward, reason: Reason) -> list[Effect]:
        self.counters[f"refused_{reason}"] += 1
        address = self._find_entry(packet.entry)
        if address is None:
            return []
        refusal = Refusal(
            packet.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            packet.flow,
            packet.caller_host,
            packet.caller_port,
            reason,
        )
        return [SendPeer(address, refusal)]

    def _compare_versions(self, version: int, source: Address) -> list[Effect]:
        if version > self.table.version:
            request = DeltaRequest(self.subscriber.identity, self.table.version)
            return [SendPeer(source, request)]
        return [SendPeer(source, make_delta(self.subscriber.view, version))]

    def _update_table(self) -> list[Effect]:
        view = self.subscriber.view
        if view.version == self.table.version:
            return []
        assert view.version > self.table.version, "versions only go up"
        self.table = Table(view, self.table)
        for flow in self.flows.values():
            flow.entry_address = self._find_entry(flow.entry)
        if self.member.zone in self.table.zones_out:
            return self._end_all(Reason.ZONE_OUT)
        return []

    def _end_all(self, reason: Reason) -> list[Effect]:
        effects: list[Effect] = []
        for key in list(self.flows):
            effects += self._end_flow(key, reason)
        if effects:
            effects.append(TimelineEvent("flows_ended", detail=reason))
        return effects

    def _tick(self, now: float) -> list[Effect]:
        if now >= self._stopping_at or (
            self._stopping_at < float("inf")
            and not self.flows
            and self.requests.is_idle(now)
        ):
            return [*self.subscriber.leave(), Stopped()]
        effects = self.subscriber.tick(now)
        effects += self._report_load(now)
        effects += self._reclaim_idle(now)
        effects += self.requests.handle(Tick(), self.table, now)
        return effects

    def _report_load(self, now: float) -> list[Effect]:
        if now - self._reported_at < LOAD_INTERVAL_S:
            return []
        if len(self.flows) == self._reported_flows:
            return []
        service = self.table.services.get(self.member.service)
        if service is None:
            return []
        self._reported_at = now
        self._reported_flows = len(self.flows)
        report = LoadReport(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            len(self.flows),
            self.gate.get_limit(now),
        )
        effects: list[Effect] = []
        for member in service.members:
            if member.name == self.member.name:
                continue
            effects.append(SendPeer(Address(member.host, member.port), report))
        return effects

    def _reclaim_idle(self, now: float) -> list[Effect]:
        if now - self._scanned_at < IDLE_SCAN_INTERVAL_S:
            return []
        self._scanned_at = now
        service = self.table.services.get(self.member.service)
        if service is None:
            return []
        timeout = service.profile.idle_timeout
        effects: list[Effect] = []
        for flow in list(self.flows.values()):
            if now - flow.last_active < timeout:
                continue
            effects += self._end_flow(flow.key, Reason.IDLE)
        return effects

    def _begin_stop(self, now: float) -> list[Effect]:
        service = self.table.services.get(self.member.service)
        timeout = service.profile.drain_timeout if service else 0.0
        self._stopping_at = now + timeout
        return self.drain()

    def drain(self) -> list[Effect]:
        """Announce that no new flow shall be opened here."""
        self.member = msgspec.structs.replace(self.member, state=MemberState.DRAINING)
        return self.subscriber.announce(self.member)

    def _drop(self, reason: Reason) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []
