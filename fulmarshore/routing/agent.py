"""The core of an agent: whose packet it is, and whether it is admitted.

The first agent in the row of a bucket is the home of the flows in it. The
home arbitrates openings: it admits a flow itself or hands it to the member
with most room, and remembers the owner.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec

from fulmarshore.admission.gate import Gate
from fulmarshore.admission.requests import RequestCore
from fulmarshore.core.codec import encode_head
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
    FlowCheck,
    FlowRecord,
    FlowRecords,
    FlowRecordsKept,
    FlowRecordsRequest,
    Forward,
    Identity,
    LinkMessage,
    LoadReport,
    LocalPort,
    Member,
    MemberState,
    OpenUpstream,
    PeerMessage,
    Phase,
    Protocol,
    Reason,
    Refusal,
    Released,
    Restart,
    SendPeer,
    SendUpstream,
    Stop,
    Stopped,
    StreamEnded,
    StreamOpened,
    Takeover,
    TakeoverReply,
    Tick,
    TimelineEvent,
    UpstreamDatagram,
    UpstreamGone,
    ViewCheck,
    ViewConfirmed,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.arbitration import Arbiter, get_ballot
from fulmarshore.routing.endings import EndingReport
from fulmarshore.routing.fence import Fence
from fulmarshore.routing.flows import NEVER, Directory, Flow, IdleQueue, list_oldest
from fulmarshore.routing.held import HeldPackets
from fulmarshore.routing.homes import Homes
from fulmarshore.routing.peers import KnownPeers
from fulmarshore.routing.reports import Reporter
from fulmarshore.routing.succession import Succession
from fulmarshore.routing.table import ServiceTable, Table
from fulmarshore.routing.takeover import list_replies

MAX_HOPS = 12
"""Bounds what agents may pass one packet on, whatever their tables say."""
IDLE_SCAN_INTERVAL_S = 1.0
SILENT_TIMEOUT_S = 3.0
"""A QUIC flow that is not answered for this long gets a new socket."""
RECLAIM_INTERVAL_S = 0.25
RECLAIM_BATCH = 16
"""Idle flows ended at a time to make room for new ones."""
RECLAIM_FLOOR_SHARE = 0.5
"""A flow idle for less than this share of the time-out is never reclaimed."""
MAX_DECLINED = 4096
"""Assignments that an agent remembers to have declined."""
DELTA_INTERVAL_S = 0.1
"""Time between two requests for a newer view that packets wait for."""


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
        self.peers = KnownPeers(self.table)
        self.counters: Counter[str] = Counter()
        self.flows: dict[bytes, Flow] = {}
        self.streams: set[bytes] = set()
        self.gate = Gate(self.member)
        self._endings = EndingReport()
        self.requests = RequestCore(subscriber)
        self.arbiter = Arbiter(self.member.name, self.counters)
        self.homes = Homes(self.member.name, self.member.incarnation)
        self.held = HeldPackets()
        self.fence = Fence(LEASE_S)
        self.succession = Succession(subscriber.identity, self.member.service)
        self._recovery_began = False
        self._has_recovered = False
        self._random = Random(self.member.incarnation)
        self._reclaimed_at = float("-inf")
        self._answered_at = float("-inf")
        self._silent_timeout = NEVER
        self._idle = IdleQueue()
        self._reporter = Reporter(self.member.name, self.member.incarnation)
        self._declined: dict[bytes, int] = {}
        self._newest_seen: tuple[int, Address] | None = None
        self._delta_asked_at = float("-inf")
        self._scanned_at = float("-inf")
        self._stopping_at = float("inf")

    @property
    def directory(self) -> Directory:
        """What this agent remembers of flows that others own."""
        return self.arbiter.directory

    @property
    def service(self) -> ServiceTable | None:
        """The table of this agent's service, if it is declared."""
        return self.table.services.get(self.member.service)

    @property
    def is_accepting(self) -> bool:
        """Whether new flows may be opened here, as far as is known."""
        drained = self.member.name in self.table.drained
        leaving = drained or self.succession.is_leaving
        return self.member.state == MemberState.ACCEPTING and not leaving

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        if self.requests.takes(event, self.table):
            return self.requests.handle(event, self.table, now)
        match event:
            case PeerMessage(message=Forward() as packet, source=source):
                return self._take_packet(packet, source, now)
            case UpstreamDatagram():
                return self._answer(event, now)
            case PeerMessage():
                return self._handle_peer(event, now)
            case UpstreamGone(flow=flow):
                self.gate.turn_cold(now)
                return self._end_flow(flow, Reason.UPSTREAM_GONE)
            case StreamOpened(flow=flow):
                self.streams.add(flow)
                return []
            case StreamEnded(flow=flow):
                return self._end_flow(flow, Reason.ENDED)
            case LinkMessage():
                effects = self.subscriber.handle(event, now)
                return effects + self._update_table(now)
            case Tick():
                return self._tick(now)
            case Stop():
                return self._begin_stop(now)
            case Restart(ports=ports):
                return self._begin_restart(ports, now)
        raise AssertionError(f"unexpected event {event!r}")

    def _handle_peer(self, event: PeerMessage, now: float) -> list[Effect]:
        match event.message:
            case Delta() as delta:
                if not self.peers.may_tell(event.source, delta):
                    return self._drop(Reason.STRANGER)
                effects = self.subscriber.apply(delta, event.source[0])
                return effects + self._update_table(now)
            case DeltaRequest() as request:
                delta = make_delta(self.subscriber.view, request.version)
                return [SendPeer(event.source, delta)]
            case message if self.service is None:
                return self._drop(Reason.NO_UPSTREAM)
            case message if getattr(message, "service", None) != self.member.service:
                if not isinstance(message, Declined):
                    return self._drop(Reason.WRONG_SERVICE)
                return self._retry_declined(message, event.source, now)
            case Released() as released:
                self.arbiter.release(released)
                return []
            case LoadReport() as report:
                self.arbiter.take_report(self.service, report)
                return []
            case Takeover() as ask:
                return self._give_buckets(ask, event.source, now)
            case TakeoverReply() as reply:
                return self._take_buckets(reply, now)
            case FlowRecords() | FlowRecordsKept() | FlowRecordsRequest() as message:
                view = self.subscriber.view
                effects = self.succession.handle(message, event.source, view, now)
                return effects + self._finish_recovery(now)
            case ViewCheck() as check:
                return self._confirm_view(check, event.source, now)
            case ViewConfirmed() as word:
                return self._take_word(word)
            case FlowCheck() as check:
                return self._answer_check(check, event.source)
        return self._drop(Reason.MALFORMED)

    # Packets ---------------------------------------------------------------

    def _take_packet(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        if packet.service != self.member.service:
            return self._drop_misdirected(Reason.WRONG_SERVICE, packet, source)
        if packet.target != self.member.name:
            return self._drop_misdirected(Reason.WRONG_INCARNATION, packet, source)
        if packet.incarnation != self.member.incarnation:
            return self._take_former(packet, source, now)
        effects: list[Effect] = []
        if packet.version != self.table.version:
            effects += self._compare_versions(packet.version, source, now)
        flow = self.flows.get(packet.flow)
        if flow is not None:
            if now >= flow.silent_at:
                effects += self._replace_path(flow, now)
            effects.append(self._deliver(flow, packet, now))
            return effects
        return effects + self._route(packet, source, now)

    def _take_former(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        """Take a packet for a former self only where its flow was recovered."""
        flow = self.flows.get(packet.flow)
        if flow is None or packet.incarnation > self.member.incarnation:
            return self._drop_misdirected(Reason.WRONG_INCARNATION, packet, source)
        effects = self._correct_sender(packet, source)
        effects.append(self._deliver(flow, packet, now))
        return effects

    def take_known(self, packet: Forward, now: float) -> bool:
        """Take a packet of a flow held here that needs nothing but delivery.

        Its payload goes to the upstream on the socket of the flow. False: it
        is to be handled as an event.
        """
        flow = self.flows.get(packet.flow)
        member = self.member
        if flow is None or packet.version != self.table.version:
            return False
        if packet.service != member.service or packet.target != member.name:
            return False
        if packet.incarnation != member.incarnation or now >= flow.silent_at:
            return False
        self._touch(flow, packet, now)
        return True

    def answer_known(self, key: bytes, now: float) -> Flow | None:
        """Return the flow that an upstream's datagram goes back on, if simple.

        Its head and the payload, joined, go to its entry host. None: the
        datagram is to be handled as an event.
        """
        flow = self.flows.get(key)
        if flow is None or flow.entry_address is None:
            return None
        flow.last_active = now
        flow.silent_at = NEVER
        self._answered_at = now
        if flow.head_version != self.table.version:
            flow.head = encode_head(self._make_answer(flow, b""))
            flow.head_version = self.table.version
        self.counters["answered"] += 1
        return flow

    def _deliver(self, flow: Flow, packet: Forward, now: float) -> SendUpstream:
        self._touch(flow, packet, now)
        return SendUpstream(packet.flow, packet.payload)

    def _replace_path(self, flow: Flow, now: float) -> list[Effect]:
        """Move a flow that gets no answers to a new socket, if others do.

        Something between agent and upstream may have lost track of it. Only
        QUIC, whose connections outlive a change of address, can be moved
        without harm; an opaque flow without answers may be in order.
        """
        flow.silent_at = now + 2 * SILENT_TIMEOUT_S
        if now - self._answered_at > SILENT_TIMEOUT_S / 2:
            return []
        self.counters["paths_replaced"] += 1
        return [CloseUpstream(flow.key)]

    def _touch(self, flow: Flow, packet: Forward, now: float) -> None:
        flow.last_active = now
        if flow.silent_at == NEVER:
            flow.silent_at = now + self._silent_timeout
        if packet.assignment > flow.assignment:
            flow.assignment = packet.assignment
        if flow.entry != packet.entry:
            flow.entry = packet.entry
            flow.entry_address = self._find_entry(packet.entry)
        self.counters["delivered"] += 1

    def _route(self, packet: Forward, source: Address, now: float) -> list[Effect]:
        """Handle a packet of a flow that this agent does not hold."""
        if self.member.zone in self.table.zones_out:
            return self._drop(Reason.ZONE_OUT)
        service = self.service
        if service is None:
            return self._refuse(packet, Reason.NO_UPSTREAM)
        if not self._has_recovered:
            return self._hold(packet, source, now)
        bucket = find_bucket(packet.flow)
        if packet.assignment:
            if get_ballot(packet.assignment) >= self.homes.get_ballot(bucket):
                return self._take_assigned(packet, source, now)
            self.counters["assignments_outdated"] += 1
            packet = msgspec.structs.replace(packet, assignment=0)
        if bucket in self.homes.settled:
            return self._arbitrate(service, packet, now)
        promise = self.homes.find_promise(bucket)
        if promise is not None:
            version = max(promise.version, packet.version)
            return self._pass_on(
                promise.agent, promise.incarnation, promise.address, packet, version
            )
        if packet.version > self.table.version:
            return self._hold(packet, source, now)
        home = service.get_home(bucket)
        if home is None:
            return self._refuse(packet, Reason.NO_UPSTREAM)
        if home.name == self.member.name:
            return self._hold(packet, source, now)
        return self._pass_to(home, packet)

    def _arbitrate(
        self, service: ServiceTable, packet: Forward, now: float
    ) -> list[Effect]:
        """Find or choose the owner of a flow in a bucket that is settled."""
        owner = self.arbiter.find_owner(service, packet.flow)
        if owner is not None:
            return self._assign(owner, packet, False, now)
        if packet.phase in (Phase.MIDDLE, Phase.END):
            return self._refuse(packet, Reason.FLOW_UNKNOWN)
        return self._open(service, packet, now)

    def _open(self, service: ServiceTable, packet: Forward, now: float) -> list[Effect]:
        effects = self._make_room(now)
        if effects:
            return effects + self._open(service, packet, now)
        entry = self.directory.find(packet.flow)
        tried = entry.tried if entry is not None else ()
        limit = self.gate.get_limit(now)
        is_open = self.is_accepting and len(self.flows) < limit
        own = self._reporter.get_room(is_open, len(self.flows), limit)
        owner = self.arbiter.choose_owner(service, tried, own, now)
        if owner is not None and owner.name == self.member.name:
            # The gate is asked only now: asking takes from its rate.
            if not self._has_room(now):
                tried = (*tried, self.member.name)
                owner = self.arbiter.choose_owner(service, tried, own, now)
        if owner is None:
            self.directory.forget(packet.flow)
            has_accepting = bool(service.accepting)
            return self._refuse(
                packet, Reason.FULL if has_accepting else Reason.NO_UPSTREAM
            )
        if owner.name == self.member.name:
            self.directory.forget(packet.flow)
            self._reporter.note_kept()
            return self._admit(packet, now)
        self.counters["handed_over"] += 1
        return self._assign(owner, packet, True, now)

    def _has_room(self, now: float) -> bool:
        return self.is_accepting and self.gate.has_room(len(self.flows), now)

    def _make_room(self, now: float) -> list[Effect]:
        """End the flows that were idle for longest, where the bound is reached.

        A flow that is active, or was within the floor, is never ended.
        """
        service = self.service
        if service is None or len(self.flows) < self.gate.get_limit(now):
            return []
        if now - self._reclaimed_at < RECLAIM_INTERVAL_S:
            return []
        self._reclaimed_at = now
        floor = service.profile.idle_timeout * RECLAIM_FLOOR_SHARE
        effects: list[Effect] = []
        for flow in list_oldest(self.flows, floor, RECLAIM_BATCH, now):
            effects += self._end_flow(flow.key, Reason.RECLAIMED)
        return effects

    def _assign(
        self, owner: Member, packet: Forward, is_new: bool, now: float
    ) -> list[Effect]:
        number = self.arbiter.assign(
            packet.flow, owner, self.table.version, is_new, now
        )
        packet = msgspec.structs.replace(packet, assignment=number)
        return self._pass_to(owner, packet)

    def _take_assigned(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        """Admit a flow that its home gave to this agent, or give it back."""
        effects = self._make_room(now)
        if effects:
            return effects + self._take_assigned(packet, source, now)
        self._reporter.note_assignment(source, packet.assignment)
        if packet.phase in (Phase.MIDDLE, Phase.END):
            refusal = self._refuse(packet, Reason.FLOW_UNKNOWN)
            return [
                *refusal,
                SendPeer(source, self._release(packet.flow, packet.assignment)),
            ]
        declined = self._declined.get(packet.flow, 0) >= packet.assignment
        if not declined and self._has_room(now):
            return self._admit(packet, now)
        return self._decline(packet, source)

    def _decline(self, packet: Forward, source: Address) -> list[Effect]:
        # A later copy of the same assignment must not be admitted: the home
        # is going to choose another owner.
        held = self._declined.pop(packet.flow, 0)
        self._declined[packet.flow] = max(held, packet.assignment)
        if len(self._declined) > MAX_DECLINED:
            del self._declined[next(iter(self._declined))]
        declined = Declined(
            self.member.name,
            self.member.incarnation,
            self.table.version,
            len(self.flows),
            packet,
        )
        self.counters["declined"] += 1
        return [SendPeer(source, declined)]

    def _retry_declined(
        self, declined: Declined, source: Address, now: float
    ) -> list[Effect]:
        packet = declined.packet
        service = self.service
        if service is None or packet.service != self.member.service:
            return self._drop(Reason.WRONG_SERVICE)
        is_due = self.arbiter.decline(service, declined, now)
        packet = msgspec.structs.replace(packet, assignment=0, hops=1)
        flow = self.flows.get(packet.flow)
        if flow is not None:
            return [self._deliver(flow, packet, now)]
        if not is_due or find_bucket(packet.flow) not in self.homes.settled:
            return self._route(packet, source, now)
        return self._open(service, packet, now)

    def _admit(self, packet: Forward, now: float) -> list[Effect]:
        assert self.is_accepting, "no new flow in a drain"
        assert packet.service == self.member.service, "no foreign service"
        assert self.member.zone not in self.table.zones_out, "nothing to a zone out"
        caller = Address(packet.caller_host, packet.caller_port)
        address = self._find_entry(packet.entry)
        flow = Flow(packet.flow, caller, packet.entry, address, packet.assignment, now)
        self.flows[packet.flow] = flow
        self._idle.add(flow, now)
        self.gate.note_opened(now)
        self.counters["flows_opened"] += 1
        return [SendUpstream(packet.flow, packet.payload)]

    def _hold(self, packet: Forward, source: Address, now: float) -> list[Effect]:
        if not self.held.hold(packet, source, now):
            return self._refuse(packet, Reason.NOT_SETTLED)
        self.counters["held"] += 1
        return []

    def _resume_held(self, now: float) -> list[Effect]:
        """Route the packets that wait, now that something has changed."""
        effects: list[Effect] = []
        waiting = []
        for entry in self.held.take_all():
            _, packet, source = entry
            flow = self.flows.get(packet.flow)
            if flow is not None:
                effects.append(self._deliver(flow, packet, now))
            elif self._must_wait(packet):
                waiting.append(entry)
            else:
                effects += self._route(packet, source, now)
        self.held.restore(waiting)
        return effects

    def _must_wait(self, packet: Forward) -> bool:
        if not self._has_recovered:
            return True
        bucket = find_bucket(packet.flow)
        if bucket in self.homes.settled or self.homes.find_promise(bucket):
            return False
        home = self.service.get_home(bucket) if self.service is not None else None
        if home is not None and home.name == self.member.name:
            return True
        return packet.version > self.table.version

    def _pass_to(self, member: Member, packet: Forward) -> list[Effect]:
        address = Address(member.host, member.port)
        version = max(self.table.version, packet.version)
        return self._pass_on(member.name, member.incarnation, address, packet, version)

    def _pass_on(
        self,
        name: str,
        incarnation: int,
        address: Address,
        packet: Forward,
        version: int,
    ) -> list[Effect]:
        if packet.hops >= MAX_HOPS:
            return self._refuse(packet, Reason.TOO_MANY_HOPS)
        self.counters["passed_on"] += 1
        passed = msgspec.structs.replace(
            packet,
            target=name,
            incarnation=incarnation,
            version=version,
            hops=packet.hops + 1,
        )
        return [SendPeer(address, passed)]

    def _find_entry(self, name: str) -> Address | None:
        entry = self.table.entries.get(name)
        if entry is None:
            return self._any_entry()
        return Address(entry.host, entry.port)

    def _any_entry(self) -> Address | None:
        """Return a live entry host in place of one that is gone."""
        entries = list(self.table.entries.values())
        if not entries:
            return None
        entry = self._random.choice(entries)
        return Address(entry.host, entry.port)

    def _answer(self, event: UpstreamDatagram, now: float) -> list[Effect]:
        flow = self.flows.get(event.flow)
        if flow is None:
            return self._drop(Reason.FLOW_UNKNOWN)
        flow.last_active = now
        flow.silent_at = NEVER
        self._answered_at = now
        if flow.entry_address is None:
            flow.entry_address = self._find_entry(flow.entry)
        if flow.entry_address is None:
            return self._drop(Reason.NO_UPSTREAM)
        self.counters["answered"] += 1
        answer = self._make_answer(flow, event.payload)
        return [SendPeer(flow.entry_address, answer)]

    def _make_answer(self, flow: Flow, payload: bytes) -> Answer:
        return Answer(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            flow.key,
            flow.caller.host,
            flow.caller.port,
            payload,
        )

    # Ends of flows ---------------------------------------------------------

    def _end_flow(self, key: bytes, reason: Reason) -> list[Effect]:
        flow = self.flows.pop(key, None)
        self.streams.discard(key)
        if flow is None:
            return []
        self.counters[f"flows_ended_{reason}"] += 1
        effects: list[Effect] = [CloseUpstream(key)]
        bucket = find_bucket(key)
        if bucket in self.homes.settled:
            self._reporter.note_ended()
        address = self._find_home(bucket)
        if address is None:
            return effects
        released = self._release(key, flow.assignment)
        effects.append(SendPeer(address, released))
        return effects

    def _find_home(self, bucket: int) -> Address | None:
        """Return where the home of a bucket is reached, if it is another."""
        service = self.service
        if service is None or bucket in self.homes.settled:
            return None
        promise = self.homes.find_promise(bucket)
        if promise is not None:
            return promise.address
        home = service.get_home(bucket)
        if home is None or home.name == self.member.name:
            return None
        return Address(home.host, home.port)

    def _release(self, flow: bytes, assignment: int) -> Released:
        return Released(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            flow,
            assignment,
        )

    def _answer_check(self, check: FlowCheck, source: Address) -> list[Effect]:
        """Tell the home which of the flows it remembers have ended."""
        if not self._has_recovered:
            return []
        effects: list[Effect] = []
        for owned in check.flows:
            if owned.flow in self.flows or owned.incarnation > self.member.incarnation:
                continue
            released = self._release(owned.flow, owned.assignment)
            effects.append(SendPeer(source, released))
        return effects

    def _refuse(self, packet: Forward, reason: Reason) -> list[Effect]:
        self.counters[f"refused_{reason}"] += 1
        caller = Address(packet.caller_host, packet.caller_port)
        address = self._find_entry(packet.entry)
        return self._send_refusal(packet.flow, caller, address, reason)

    def _send_refusal(
        self, flow: bytes, caller: Address, address: Address | None, reason: Reason
    ) -> list[Effect]:
        if address is None:
            return []
        refusal = Refusal(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            flow,
            *caller,
            reason,
        )
        return [SendPeer(address, refusal)]

    # Take-over of buckets --------------------------------------------------

    def _ask_for_buckets(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for member, ask in self.homes.list_asks(now):
            self.counters["takeovers_asked"] += 1
            effects.append(SendPeer(Address(member.host, member.port), ask))
        return effects

    def _give_buckets(self, ask: Takeover, source: Address, now: float) -> list[Effect]:
        if ask.version < self.table.version:
            return [SendPeer(source, make_delta(self.subscriber.view, ask.version))]
        if not self._has_recovered or self.fence.is_bound(ask.version, now):
            self.counters["takeovers_delayed"] += 1
            return []
        effects: list[Effect] = []
        if ask.version > self.table.version:
            self.peers.ask(source)
            request = DeltaRequest(self.subscriber.identity, self.table.version)
            effects.append(SendPeer(source, request))
        given, complete = self.homes.give(ask, source, now)
        self.directory.give(given)
        replies = list_replies(
            ask,
            self.subscriber.identity,
            given,
            complete,
            self.flows.values(),
            self.directory,
        )
        effects += [SendPeer(source, reply) for reply in replies]
        self.counters["buckets_given"] += len(given)
        return effects

    def _take_buckets(self, reply: TakeoverReply, now: float) -> list[Effect]:
        if not self.homes.is_answer(reply):
            self.counters["takeover_replies_late"] += 1
            return []
        self.arbiter.import_flows(reply.agent, reply.flows, now)
        settled = self.homes.take_answer(reply)
        if not settled:
            return []
        self.counters["buckets_taken"] += len(settled)
        return self._resume_held(now)

    # Planned restart -------------------------------------------------------

    def _begin_restart(self, ports: list[LocalPort], now: float) -> list[Effect]:
        """Hand the flow records to peers, for the successor to fetch."""
        service = self.service
        if service is None or self.succession.is_leaving:
            return [Stopped()] if service is None else []
        records = []
        for local in ports:
            flow = self.flows.get(local.flow)
            if flow is None:
                continue
            record = FlowRecord(
                flow.key, *flow.caller, flow.entry, local.port, flow.assignment
            )
            records.append(record)
        version = self.table.version
        self.succession.begin_export(records, service, version, now)
        event = TimelineEvent("restart_began", detail=f"{len(records)} flows")
        return [event, *self.succession.tick(version, now)]

    def _begin_recovery(self, now: float) -> list[Effect]:
        """Ask the peers for the flows of a former self, once a member."""
        service = self.service
        if self._recovery_began or service is None:
            return []
        member = service.by_name.get(self.member.name)
        if member is None or member.incarnation != self.member.incarnation:
            return []
        self._recovery_began = True
        self.succession.begin_recovery(service, now)
        effects = self.succession.tick(self.table.version, now)
        return effects + self._finish_recovery(now)

    def _finish_recovery(self, now: float) -> list[Effect]:
        records = self.succession.take_recovered(now)
        if records is None:
            return []
        self._has_recovered = True
        effects: list[Effect] = []
        for record in records:
            caller = Address(record.caller_host, record.caller_port)
            address = self._find_entry(record.entry)
            flow = Flow(
                record.flow, caller, record.entry, address, record.assignment, now
            )
            self.flows[record.flow] = flow
            self._idle.add(flow, now)
            effects.append(OpenUpstream(record.flow, record.local_port))
        if records:
            self.counters["flows_recovered"] += len(records)
            detail = f"{len(records)} flows"
            effects.append(TimelineEvent("flows_recovered", detail=detail))
        return effects + self._guard_lease(now) + self._resume_held(now)

    # Lease -----------------------------------------------------------------

    def _guard_lease(self, now: float) -> list[Effect]:
        """Stop arbitrating when neither control nor the peers back this agent."""
        service = self.service
        if service is None:
            return []
        renewed_at = self.subscriber.lease_renewed
        effects: list[Effect] = []
        number = self.fence.ask(renewed_at, now)
        peers = [m for m in service.members if m.name != self.member.name]
        if number:
            identity = self.subscriber.identity
            version = self.table.version
            check = ViewCheck(self.member.service, *_split(identity), version, number)
            effects += [SendPeer(Address(m.host, m.port), check) for m in peers]
        names = {member.name for member in peers}
        is_backed = self._has_recovered and (
            self.fence.has_lease(renewed_at, now) or self.fence.is_confirmed(names, now)
        )
        if is_backed != self.homes.is_fenced:
            return effects
        for bucket in self.homes.set_fenced(not is_backed):
            self.directory.forget_bucket(bucket)
        kind = "arbitration_resumed" if is_backed else "arbitration_suspended"
        self.counters[kind] += 1
        effects.append(TimelineEvent(kind, service=self.member.service))
        return effects + self._resume_held(now)

    def _confirm_view(
        self, check: ViewCheck, source: Address, now: float
    ) -> list[Effect]:
        if check.version < self.table.version:
            return [SendPeer(source, make_delta(self.subscriber.view, check.version))]
        if check.version > self.table.version:
            return self._compare_versions(check.version, source, now)
        if self.homes.promised_version > check.version:
            return []
        self.fence.give_word(check.version, now)
        identity = self.subscriber.identity
        word = ViewConfirmed(
            self.member.service, *_split(identity), check.version, check.number
        )
        return [SendPeer(source, word)]

    def _take_word(self, word: ViewConfirmed) -> list[Effect]:
        member = self.service.by_name.get(word.agent)
        if member is None or member.incarnation != word.incarnation:
            return self._drop(Reason.WRONG_INCARNATION)
        if word.version == self.table.version:
            self.fence.take_word(word.agent, word.number)
        return []

    # Versions and time -----------------------------------------------------

    def _compare_versions(
        self, version: int, source: Address, now: float
    ) -> list[Effect]:
        if version > self.table.version:
            if self._newest_seen is None or version >= self._newest_seen[0]:
                self._newest_seen = (version, source)
            return self._ask_for_delta(now)
        return [SendPeer(source, make_delta(self.subscriber.view, version))]

    def _ask_for_delta(self, now: float) -> list[Effect]:
        """Ask whoever has shown a newer version, again until it is here."""
        if self._newest_seen is None or now - self._delta_asked_at < DELTA_INTERVAL_S:
            return []
        self._delta_asked_at = now
        self.peers.ask(self._newest_seen[1])
        request = DeltaRequest(self.subscriber.identity, self.table.version)
        return [SendPeer(self._newest_seen[1], request)]

    def _update_table(self, now: float) -> list[Effect]:
        view = self.subscriber.view
        if view.version == self.table.version:
            return []
        assert view.version > self.table.version, "versions only go up"
        previous = self.table
        self.table = Table(view, previous)
        self.peers.follow(self.table)
        self._delta_asked_at = float("-inf")
        if self._newest_seen is not None and view.version >= self._newest_seen[0]:
            self._newest_seen = None
        if self.service is not None:
            self.gate.follow(self.service.profile)
            is_quic = self.service.service.protocol == Protocol.QUIC
            self._silent_timeout = SILENT_TIMEOUT_S if is_quic else NEVER
        for flow in self.flows.values():
            flow.entry_address = self._find_entry(flow.entry)
        zone = self.member.zone
        if self.table.zone_versions.get(zone) != previous.zone_versions.get(zone):
            # The zone may have been out in a version that was never seen here.
            self.homes.unsettle()
        for bucket in self.homes.follow(self.service, view.version):
            # What is left of an earlier time as home may be outdated.
            self.directory.forget_bucket(bucket)
        self.arbiter.follow(self.service)
        if zone in self.table.zones_out:
            return self._leave_zone(now)
        if zone in previous.zones_out:
            self.gate.turn_cold(now)
        effects = self._begin_recovery(now)
        return effects + self._ask_for_buckets(now) + self._resume_held(now)

    def _leave_zone(self, now: float) -> list[Effect]:
        """End all flows with a refusal that callers can be shown."""
        effects: list[Effect] = []
        self.directory.clear()
        for _, packet, _ in self.held.take_all():
            effects += self._refuse(packet, Reason.ZONE_OUT)
        count = len(self.flows)
        for flow in list(self.flows.values()):
            address = flow.entry_address or self._any_entry()
            effects += self._send_refusal(
                flow.key, flow.caller, address, Reason.ZONE_OUT
            )
            del self.flows[flow.key]
            effects.append(CloseUpstream(flow.key))
        self.counters[f"flows_ended_{Reason.ZONE_OUT}"] += count
        if count:
            detail = f"{count} flows, {Reason.ZONE_OUT}"
            effects.append(TimelineEvent("flows_ended", detail=detail))
        return effects

    def _tick(self, now: float) -> list[Effect]:
        if self.succession.has_left(now):
            return [Stopped()]
        if self._is_done(now):
            return [*self.subscriber.leave(), Stopped()]
        effects = self.subscriber.tick(now)
        effects += self.succession.tick(self.table.version, now)
        effects += self._finish_recovery(now)
        effects += self._guard_lease(now)
        effects += self._ask_for_delta(now)
        effects += self._ask_for_buckets(now)
        for packet in self.held.take_expired(now):
            effects += self._refuse(packet, Reason.NOT_SETTLED)
        effects += self._report_load(now)
        effects += self._reclaim_idle(now)
        effects += self._endings.collect(self.member.service, self.counters, now)
        effects += self.requests.handle(Tick(), self.table, now)
        return effects

    def _report_load(self, now: float) -> list[Effect]:
        service = self.service
        if service is None or self.member.name not in service.by_name:
            return []
        reports = self._reporter.list_reports(
            service,
            self.table.version,
            len(self.flows),
            self.gate.get_limit(now),
            self.counters["flows_opened"],
            now,
        )
        return [SendPeer(address, report) for address, report in reports]

    def _reclaim_idle(self, now: float) -> list[Effect]:
        if now - self._scanned_at < IDLE_SCAN_INTERVAL_S:
            return []
        self._scanned_at = now
        service = self.service
        if service is None:
            return []
        timeout = service.profile.idle_timeout
        for key in self.streams:
            # A stream tells its end itself, however long it is silent.
            self.flows[key].last_active = now
        effects: list[Effect] = []
        for flow in self._idle.take_idle(self.flows, timeout, now):
            effects += self._end_flow(flow.key, Reason.IDLE)
        for bucket in self.directory.list_buckets():
            if self.homes.is_lapsed(bucket, now):
                self.directory.forget_bucket(bucket)
        return effects + self._check_directory(service, now)

    def _check_directory(self, service: ServiceTable, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for owner, flows in self.arbiter.list_checks(service, now):
            check = FlowCheck(
                self.member.service,
                self.member.name,
                self.member.incarnation,
                self.table.version,
                flows,
            )
            effects.append(SendPeer(Address(owner.host, owner.port), check))
        return effects

    def _is_done(self, now: float) -> bool:
        """Return whether a planned stop has nothing more to wait for."""
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

    def drain(self) -> list[Effect]:
        """Announce that no new flow shall be opened here."""
        self.member = msgspec.structs.replace(self.member, state=MemberState.DRAINING)
        return self.subscriber.announce(self.member)

    def _drop_misdirected(
        self, reason: Reason, packet: Forward, source: Address
    ) -> list[Effect]:
        """Drop a packet for somebody else, and correct a sender that is behind."""
        self.counters[f"dropped_{reason}"] += 1
        return self._correct_sender(packet, source)

    def _correct_sender(self, packet: Forward, source: Address) -> list[Effect]:
        if packet.version >= self.table.version:
            return []
        return [SendPeer(source, make_delta(self.subscriber.view, packet.version))]

    def _drop(self, reason: Reason) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []


def _split(identity: Identity) -> tuple[str, int]:
    return identity.name, identity.incarnation
