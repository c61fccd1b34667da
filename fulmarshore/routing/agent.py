"""The core of an agent: routes packets to the owners of flows and admits flows.

The first agent in the ranking of a bucket is the home agent of the flows in
it, and coordinates the bucket. For a new flow it chooses the owner, itself or
the least loaded member, and records it in its directory.
"""

from __future__ import annotations

import msgspec

from fulmarshore.admission.hints import HintHandler
from fulmarshore.admission.requests import LEASE_MARGIN_S, RequestCore
from fulmarshore.core.records import (
    Address,
    Declined,
    Delta,
    DeltaRequest,
    Effect,
    Event,
    Eviction,
    EvictionDone,
    FlowCheck,
    FlowCopy,
    FlowCopyAck,
    FlowRecords,
    FlowRecordsAck,
    FlowRecordsRequest,
    Forward,
    LinkMessage,
    LoadReport,
    MemberState,
    PeerMessage,
    Protocol,
    Reason,
    Released,
    Restart,
    RestartReply,
    RestartRequest,
    SendPeer,
    Stop,
    Stopped,
    StreamEnded,
    StreamOpened,
    Takeover,
    TakeoverReply,
    Tick,
    UpstreamDatagram,
    UpstreamGone,
    UpstreamHint,
    UpstreamOpened,
    ViewCheck,
    ViewConfirmed,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.copyhandler import CopyHandler
from fulmarshore.routing.delivery import Delivery
from fulmarshore.routing.departures import Departures
from fulmarshore.routing.endings import EndingReport
from fulmarshore.routing.forwarding import Forwarding
from fulmarshore.routing.handover import Handover
from fulmarshore.routing.lease import LeaseGuard
from fulmarshore.routing.lifetimes import Lifetimes
from fulmarshore.routing.maintenance import Maintenance
from fulmarshore.routing.openings import Openings
from fulmarshore.routing.restarts import RestartHandler
from fulmarshore.routing.router import Router
from fulmarshore.routing.selfeviction import SelfEvictionHandler
from fulmarshore.routing.state import AgentState
from fulmarshore.routing.table import Table
from fulmarshore.routing.viewsync import ViewSync


class AgentCore(AgentState):
    """Owns the flows of one upstream and arbitrates the buckets it is home of.

    Parameters
    ----------
    subscriber : Subscriber
        Holds the view in force; its announcement is this agent's member.
    """

    def __init__(self, subscriber: Subscriber) -> None:
        super().__init__(subscriber)
        self.requests = RequestCore(subscriber)
        self.hints = HintHandler(
            self.member.name, self.member.service, self.gate, self.counters
        )
        self._view = subscriber.view
        self._endings = EndingReport()
        self._stopping_at = float("inf")
        self.view_sync = ViewSync(self)
        self.delivery = Delivery(self)
        self.lifetimes = Lifetimes(self)
        self.forwarding = Forwarding(self)
        self.openings = Openings(self, self.lifetimes, self.forwarding)
        self.router = Router(self, self.delivery, self.forwarding, self.openings)
        self.handover = Handover(self, self.view_sync, self.router)
        self.departures = Departures(self, self.router, self.handover)
        self.lease = LeaseGuard(self, self.view_sync, self.router, self.departures)
        self.self_eviction = SelfEvictionHandler(
            self, self.view_sync, self.lifetimes, self.lease
        )
        self.restart = RestartHandler(self, self.router, self.lease)
        self.copy_handler = CopyHandler(self, self.lifetimes, self.router)
        self.maintenance = Maintenance(self, self.lifetimes)
        # Bound here because they are called for each packet.
        self.prepare_delivery = self.delivery.prepare_delivery
        self.prepare_answer = self.delivery.prepare_answer

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process one event and return its effects."""
        if self.requests.handles(event, self.table):
            return self.requests.handle(event, self.table, now)
        match event:
            case PeerMessage(message=Forward() as packet, source=source):
                return self._handle_packet(packet, source, now)
            case UpstreamDatagram():
                return self.delivery.answer(event, now)
            case PeerMessage():
                return self._handle_peer_message(event, now)
            case UpstreamGone(flow=flow):
                self.gate.restart_slow_start(now)
                return self.lifetimes.end_flow(flow, Reason.UPSTREAM_GONE)
            case UpstreamOpened(flow=flow, port=port):
                self.copy_handler.record_opened(flow, port)
                return []
            case StreamOpened(flow=flow):
                self.streams.add(flow)
                return []
            case StreamEnded(flow=flow):
                return self.lifetimes.end_flow(flow, Reason.ENDED)
            case LinkMessage():
                effects = self.subscriber.handle(event, now)
                return effects + self._update_table(now)
            case UpstreamHint() as hint:
                return self.hints.handle_hint(hint, now)
            case Tick():
                return self._tick(now)
            case Stop():
                return self._begin_stop(now)
            case Restart() if not self._can_hand_over():
                return self._begin_stop(now)
            case Restart(ports=ports):
                return self.restart.begin(ports, now)
        raise AssertionError(f"unexpected event {event!r}")

    def _handle_peer_message(self, event: PeerMessage, now: float) -> list[Effect]:
        self.evictions.record_contact(event.source, now)
        match event.message:
            case Delta() as delta:
                if not self.peers.can_accept_delta(event.source, delta):
                    return self.drop(Reason.UNKNOWN_SENDER)
                effects = self.subscriber.apply(delta, event.source[0])
                return effects + self._update_table(now)
            case DeltaRequest() as request:
                if not self.peers.is_known(event.source):
                    return self.drop(Reason.UNKNOWN_SENDER)
                delta = make_delta(self.subscriber.view, request.version)
                return [SendPeer(event.source, delta)]
            case message if self.service is None:
                return self.drop(Reason.NO_UPSTREAM)
            case message if getattr(message, "service", None) != self.member.service:
                if not isinstance(message, Declined):
                    return self.drop(Reason.WRONG_SERVICE)
                return self.router.handle_declined(message, event.source, now)
            case Released() as released:
                self.arbiter.handle_released(released)
                return []
            case LoadReport() as report:
                self.arbiter.handle_report(self.service, report)
                return []
            case Takeover() as takeover:
                return self.handover.handle_takeover(takeover, event.source, now)
            case TakeoverReply() as reply:
                return self.handover.handle_reply(reply, now)
            case FlowCopyAck() as ack:
                return self.copy_handler.handle_ack(ack, now)
            case FlowCopy() as batch:
                view = self.subscriber.view
                return self.record_transfer.handle(batch, event.source, view, now)
            case FlowRecords() | FlowRecordsAck() | FlowRecordsRequest() as message:
                view = self.subscriber.view
                effects = self.record_transfer.handle(message, event.source, view, now)
                # A copy holder with an older view waits for control: the
                # successor has the newer view from a snapshot, which lists no
                # removals.
                return effects + self.restart.finish_recovery(now)
            case ViewCheck() as check:
                return self.lease.handle_view_check(check, event.source, now)
            case ViewConfirmed() as confirmation:
                return self.lease.handle_confirmation(confirmation)
            case Eviction() as eviction:
                return self.self_eviction.handle_eviction(eviction, event.source, now)
            case EvictionDone() as done:
                if self.evictions.handle_eviction_done(done, event.source):
                    return self.departures.resume_after_eviction(now)
                return []
            case RestartRequest() as restart_request:
                return self.restart.handle_request(restart_request, event.source)
            case RestartReply() as restart_reply:
                return self.restart.handle_reply(restart_reply, event.source, now)
            case FlowCheck() as check:
                return self.lifetimes.handle_flow_check(check, event.source)
        return self.drop(Reason.MALFORMED)

    def _handle_packet(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        if packet.service != self.member.service:
            return self._drop_misdirected(Reason.WRONG_SERVICE, packet, source)
        if packet.target != self.member.name:
            return self._drop_misdirected(Reason.WRONG_INCARNATION, packet, source)
        if packet.incarnation != self.member.incarnation:
            return self._handle_packet_for_former(packet, source, now)
        effects: list[Effect] = []
        if packet.version != self.table.version:
            effects += self.view_sync.reconcile(packet.version, source, now)
        flow = self.flows.get(packet.flow)
        if flow is not None:
            if now >= flow.answer_deadline:
                effects += self.delivery.replace_socket(flow, now)
            effects.append(self.delivery.deliver(flow, packet, now))
            return effects
        return effects + self.router.route(packet, source, now)

    def _handle_packet_for_former(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        """Process a packet for an earlier incarnation of this agent.

        It is delivered only where its flow was recovered.
        """
        flow = self.flows.get(packet.flow)
        if flow is None or packet.incarnation > self.member.incarnation:
            return self._drop_misdirected(Reason.WRONG_INCARNATION, packet, source)
        effects = self._send_newer_view(packet, source)
        effects.append(self.delivery.deliver(flow, packet, now))
        return effects

    def _update_table(self, now: float) -> list[Effect]:
        view = self.subscriber.view
        if view.version == self.table.version:
            return []
        assert view.version > self.table.version, "versions only go up"
        previous = self.table
        previous_service = self.service
        effects = self.self_eviction.detect_eviction(self._view, now)
        self._view = view
        self.table = Table(view, previous)
        self.peers.update(self.table)
        self.evictions.update(
            previous_service, self.service, self.table.zones_out, view.version, now
        )
        self.view_sync.record_applied(view.version)
        if self.service is not None:
            self.gate.update(self.service.profile)
            self.delivery.update(self.service.service)
        for flow in self.flows.values():
            flow.entry_address = self.find_entry(flow.entry)
        zone = self.member.zone
        if self.table.zone_versions.get(zone) != previous.zone_versions.get(zone):
            # The zone may have been out in a version that this agent skipped.
            self.homes.unsettle()
            self.record_transfer.drop_copies(self.table.zone_versions.get(zone, 0))
        settled = set(self.homes.settled)
        awaited = self.homes.update(self.service, view.version)
        for bucket in awaited:
            # Entries from an earlier time as home may be outdated.
            self.directory.discard_bucket(bucket)
        # Without peers, buckets are settled at once.
        settled_now = [bucket for bucket in self.homes.settled if bucket not in settled]
        new_buckets = [*self.homes.awaited, *settled_now]
        self.handover.former_homes.update(previous_service, self.service, new_buckets)
        effects += self.handover.report_takeovers(settled_now)
        self.arbiter.update(self.service)
        effects += self.copy_handler.update(now)
        if zone in self.table.zones_out:
            return effects + self._leave_zone(now)
        if zone in previous.zones_out:
            self.gate.restart_slow_start(now)
        effects += self.departures.notify_evicted(now)
        effects += self.restart.begin_recovery(now)
        return (
            effects + self.handover.request_buckets(now) + self.router.resume_held(now)
        )

    def _leave_zone(self, now: float) -> list[Effect]:
        """End all flows, each with a refusal to its entry host."""
        effects: list[Effect] = []
        self.directory.clear()
        for _, packet, _ in self.held.pop_all():
            effects += self.refuse(packet, Reason.ZONE_OUT)
        flows = list(self.flows.values())
        return effects + self.lifetimes.end_with_refusal(flows, Reason.ZONE_OUT)

    def _tick(self, now: float) -> list[Effect]:
        if self.record_transfer.has_exported(now):
            return [Stopped()]
        if self._is_stop_complete(now):
            return [
                *self.departures.announce_departure(),
                *self.subscriber.leave(),
                Stopped(),
            ]
        effects = self.subscriber.tick(now)
        effects += self.record_transfer.tick(self.table.version, now)
        effects += self.restart.tick(now)
        effects += self.restart.finish_recovery(now)
        effects += self.copy_handler.tick(now)
        effects += self.lease.check_lease(now)
        effects += self.view_sync.request_newest(now)
        effects += self.departures.notify_evicted(now)
        effects += self.handover.request_buckets(now)
        for packet in self.held.pop_expired(now):
            effects += self.refuse(packet, Reason.NOT_SETTLED)
        effects += self.maintenance.report_load(now)
        effects += self.maintenance.end_idle_flows(now)
        effects += self._endings.collect(self.member.service, self.counters, now)
        effects += self.requests.handle(Tick(), self.table, now)
        return effects + self._apply_hints(now)

    def _apply_hints(self, now: float) -> list[Effect]:
        """Announce the drain or return that the upstream's hints ask for."""
        if self._stopping_at != float("inf") or self.record_transfer.is_leaving:
            return []
        has_lease = now - self.subscriber.lease_renewed_at < LEASE_S - LEASE_MARGIN_S
        effects = self.hints.tick(self.service, self.requests.executor, has_lease, now)
        state = MemberState.ACCEPTING
        if self.hints.wants_drain:
            state = MemberState.DRAINING
        if state == self.member.state:
            return effects
        return effects + self._announce(state)

    def _is_stop_complete(self, now: float) -> bool:
        """Return whether a planned stop is complete or has timed out."""
        if self._stopping_at == float("inf"):
            return False
        if now >= self._stopping_at:
            return True
        if not self.requests.is_idle(now):
            return False
        service = self.service
        has_successor = service is not None and bool(service.accepting)
        return not self.flows and not (self.homes.settled and has_successor)

    def _begin_stop(self, now: float) -> list[Effect]:
        service = self.service
        timeout = service.profile.drain_timeout if service else 0.0
        self._stopping_at = now + timeout
        return self.drain()

    def _can_hand_over(self) -> bool:
        """Return whether a successor process can take over the flows.

        Streams and requests in progress cannot move, so a restart drains them.
        """
        if self.service is None:
            return True
        return self.service.service.protocol in (Protocol.OPAQUE, Protocol.QUIC)

    def drain(self) -> list[Effect]:
        """Announce that this agent opens no new flows."""
        return self._announce(MemberState.DRAINING)

    def _announce(self, state: MemberState) -> list[Effect]:
        self.member = msgspec.structs.replace(self.member, state=state)
        return self.subscriber.announce(self.member)

    def _drop_misdirected(
        self, reason: Reason, packet: Forward, source: Address
    ) -> list[Effect]:
        """Drop a packet for another process; send a delta if its view is older."""
        self.counters[f"dropped_{reason}"] += 1
        return self._send_newer_view(packet, source)

    def _send_newer_view(self, packet: Forward, source: Address) -> list[Effect]:
        if packet.version >= self.table.version:
            return []
        return [SendPeer(source, make_delta(self.subscriber.view, packet.version))]
