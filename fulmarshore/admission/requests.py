"""The path of requests inside an agent: home, peer of homes, and executor."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import get_args

from msgspec.structs import replace

from fulmarshore.admission.bequests import Bequests
from fulmarshore.admission.bounds import MAX_ATTEMPTS, MAX_TIMEOUT_S
from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.copies import open_claim, take_copy
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.knowledge import (
    merge_claim,
    merge_run,
    split_claims,
    take_backup,
)
from fulmarshore.admission.ledger import Stage
from fulmarshore.admission.runs import take_heard, take_run_reply
from fulmarshore.admission.warmth import WarmthReport
from fulmarshore.core.codec import decode_request
from fulmarshore.core.hashing import find_bucket, hash_request
from fulmarshore.core.records import (
    Address,
    BackupSync,
    BackupSyncReply,
    Bequest,
    BequestReply,
    Claim,
    ClaimBackup,
    ClaimBackupReply,
    ClaimsQuery,
    ClaimsReply,
    DeltaRequest,
    Effect,
    Event,
    Forward,
    Identity,
    Member,
    MemberState,
    PeerMessage,
    Protocol,
    Reason,
    Request,
    RunReply,
    RunRequest,
    SendPeer,
    SlotReport,
    TimelineEvent,
    UpstreamDatagram,
    UpstreamGone,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.table import Table

MAX_HOPS = 4
MAX_PARKED = 1_024
"""Copies that wait until their bucket is settled; more are dropped."""
REPORT_INTERVAL_S = 0.25

COMPARE_INTERVAL_S = 0.02
LEASE_MARGIN_S = 1.0
"""An agent's lease is over for itself this long before it is for control."""

RequestEvent = (
    ClaimBackup
    | ClaimBackupReply
    | BackupSync
    | BackupSyncReply
    | RunRequest
    | RunReply
    | SlotReport
    | ClaimsQuery
    | ClaimsReply
    | Bequest
    | BequestReply
)
REQUEST_MESSAGES = get_args(RequestEvent)


class Parked:
    """A copy that waits until its bucket is settled."""

    __slots__ = ("packet", "request", "arrived_at")

    def __init__(self, packet: Forward, request: Request, now: float) -> None:
        self.packet = packet
        self.request = request
        self.arrived_at = now


class RequestCore:
    """Runs each request of a service at most once and tells its outcome.

    Parameters
    ----------
    subscriber : Subscriber
        Keeps the view and the lease; its announcement is this agent's member.
    """

    def __init__(self, subscriber: Subscriber) -> None:
        member = subscriber.announcement
        assert isinstance(member, Member)
        self.subscriber = subscriber
        self.member = member
        self.address = Address(member.host, member.port)
        self.identity = Identity(member.name, member.incarnation)
        random = Random(f"{member.name}|{member.incarnation}")
        self.home = Coordinator(member, Table(subscriber.view), random)
        self.executor: Executor | None = None
        self._warmth = WarmthReport()
        self.counters = self.home.counters
        self._parked: deque[Parked] = deque()
        self._reported = (-1, -1.0)
        self._reported_at = float("-inf")
        self._is_stopping = False
        self._bequests = Bequests(self.home)
        self._compared_at = float("-inf")
        self._zone_version = 0

    def takes(self, event: Event, table: Table) -> bool:
        """Return whether an event concerns the requests of this agent."""
        match event:
            case PeerMessage(message=Forward()) | UpstreamDatagram() | UpstreamGone():
                service = table.services.get(self.member.service)
                if service is None:
                    return False
                return service.service.protocol == Protocol.REQUEST
            case PeerMessage(message=message):
                return isinstance(message, REQUEST_MESSAGES)
        return False

    def handle(self, event: Event, table: Table, now: float) -> list[Effect]:
        """Take one event and return what is to be done.

        Parameters
        ----------
        table : Table
            The table in force at the agent.
        """
        effects: list[Effect] = []
        if table is not self.home.table:
            effects += self._follow(table, now)
        if self.executor is None:
            return effects
        self._check_lease(now)
        self.executor.draining = self._is_draining()
        effects += self._handle(event, now)
        return self._loop_back(effects, now)

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        executor = self.executor
        if executor is None:
            return {}
        return {
            "claims": len(self.home.ledger),
            "request_limit": executor.limiter.limit,
            "requests_waiting": len(executor.queue),
            "requests_working": len(executor.working),
            "service_time_s": executor.limiter.baseline,
        }

    def is_idle(self, now: float) -> bool:
        """Return whether a stopping agent may go, its knowledge passed on."""
        if self.executor is None:
            return True
        self._is_stopping = True
        return self._bequests.is_done(now)

    def _is_draining(self) -> bool:
        if self._is_stopping:
            return True
        if self.subscriber.announcement.state != MemberState.ACCEPTING:
            return True
        return self.member.name in self.home.table.drained

    def _follow(self, table: Table, now: float) -> list[Effect]:
        """Take a newer table."""
        self.home.follow(table)
        service = table.services.get(self.member.service)
        if service is None or service.service.protocol != Protocol.REQUEST:
            return []
        if self.executor is None:
            self.executor = Executor(self.member, service.profile)
            self.executor.counters = self.counters
        self.executor.version = table.version
        self.executor.follow(service.profile)
        announced = self._list_announced()
        stamped = self.subscriber.view.items.get(("Zone", self.member.zone))
        zone_version = stamped.version if stamped is not None else 0
        if zone_version != self._zone_version:
            # The zone may have been out in a version that was never seen here.
            self._zone_version = zone_version
            self._forget_backups(now)
            self.home.settlement.unsettle(now)
        self.home.settlement.follow(service, table.version, announced, now)
        effects: list[Effect] = []
        out = self.member.zone in table.zones_out
        if out and self.executor.closed is None:
            effects += self.executor.close(Reason.ZONE_OUT, True)
        elif not out and self.executor.closed is not None:
            self.executor.open(now)
        effects += self._settle(now)
        return effects + self._choose_backups(now)

    def _choose_backups(self, now: float) -> list[Effect]:
        service = self.home.service
        if service is None:
            return []

        def make_parts(buckets: set[int]) -> list[list[Claim]]:
            claims = self.home.ledger.list_in(buckets, now)
            return [part for part, _ in split_claims(claims, [])]

        return self.home.backups.follow(service, make_parts, now)

    def _take_sync(
        self, message: BackupSync, source: Address, now: float
    ) -> list[Effect]:
        if self._bequests.has_begun():
            return self._drop(Reason.STOPPING)
        if not self.home.backups.accepts(message, now):
            return self._drop(Reason.WRONG_INCARNATION)
        for claim in message.claims:
            merge_claim(self.home, claim, now)
        self.home.backups.take(message, now)
        reply = BackupSyncReply(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.home.table.version,
            message.sync,
            message.part,
        )
        return [SendPeer(source, reply)]

    def _list_announced(self) -> dict[Identity, Address]:
        found = {}
        for stamped in self.subscriber.view.items.values():
            item = stamped.item
            if not isinstance(item, Member) or item.service != self.member.service:
                continue
            found[Identity(item.name, item.incarnation)] = Address(item.host, item.port)
        return found

    def _check_lease(self, now: float) -> None:
        """Without a lease another agent may become home of its buckets."""
        age = now - self.subscriber.lease_renewed
        has_lease = age < LEASE_S - LEASE_MARGIN_S
        if not has_lease and self.home.has_lease:
            # From here on a home may choose another backup unseen.
            self._forget_backups(now)
        if has_lease and not self.home.has_lease:
            self.home.settlement.unsettle(now)
        self.home.has_lease = has_lease

    def _forget_backups(self, now: float) -> None:
        """Be nobody's backup any more, but for an agent that just starts."""
        if self.home.settlement.get_memory_age(now) > 0.0:
            self.home.backups.forget(now)

    def _loop_back(self, effects: list[Effect], now: float) -> list[Effect]:
        """Hand messages to this agent itself over at once."""
        out: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if not isinstance(effect, SendPeer) or effect.destination != self.address:
                out.append(effect)
                continue
            if not isinstance(effect.message, REQUEST_MESSAGES):
                # An answer to a process that had this address before.
                continue
            event = PeerMessage(self.address, effect.message)
            pending.extend(self._handle(event, now))
        return out

    def _handle(self, event: Event, now: float) -> list[Effect]:
        match event:
            case PeerMessage(source=source, message=message):
                if message.service != self.member.service:
                    return self._drop(Reason.WRONG_SERVICE)
                effects = self._compare_versions(message.version, source, now)
                if isinstance(message, Forward):
                    return effects + self._take_packet(message, now)
                return effects + self._take_message(message, source, now)
            case UpstreamDatagram(flow=flow, payload=payload):
                return self.executor.answer(flow, payload, now)
            case UpstreamGone(flow=flow):
                return self.executor.lose_upstream(flow, now)
        return self._tick(now)

    def _compare_versions(
        self, version: int, source: Address, now: float
    ) -> list[Effect]:
        """Let whoever has the newer version in force tell the other."""
        own = self.home.table.version
        if version == own or now - self._compared_at < COMPARE_INTERVAL_S:
            return []
        self._compared_at = now
        if version > own:
            return [SendPeer(source, DeltaRequest(self.identity, own))]
        return [SendPeer(source, make_delta(self.subscriber.view, version))]

    def _take_message(
        self, message: RequestEvent, source: Address, now: float
    ) -> list[Effect]:
        match message:
            case RunRequest():
                mine = Identity(message.executor, message.executor_incarnation)
                if mine != self.identity:
                    return self._drop(Reason.WRONG_INCARNATION)
                home = self.home.settlement.find_home(find_bucket(message.flow))
                sender = Identity(message.agent, message.incarnation)
                barred = home not in (None, sender) and not message.request.idempotent
                return self.executor.take(message, source, now, barred)
            case RunReply():
                return take_run_reply(self.home, message, now)
            case ClaimBackup():
                if self._bequests.has_begun():
                    return self._drop(Reason.STOPPING)
                return take_backup(self.home, message, source, now)
            case ClaimBackupReply():
                return self.home.take_backup_reply(message, now)
            case BackupSync():
                return self._take_sync(message, source, now)
            case BackupSyncReply():
                self.home.backups.take_reply(message)
                return []
            case SlotReport():
                self.home.take_load(message)
                return []
            case ClaimsQuery():
                return self._answer_query(message, source, now)
            case ClaimsReply():
                self.home.settlement.take_reply(message)
                return self._settle(now)
            case Bequest():
                return self._bequests.take(message, source, now)
            case BequestReply():
                self._bequests.take_reply(message)
                return []
        return self._drop(Reason.MALFORMED)

    # -- copies of requests ------------------------------------------------

    def _take_packet(self, packet: Forward, now: float) -> list[Effect]:
        mine = Identity(packet.target, packet.incarnation)
        if mine != self.identity:
            return self._drop(Reason.WRONG_INCARNATION)
        request = self._read(packet)
        if request is None:
            return self._drop(Reason.MALFORMED)
        return self._take_request(packet, request, now)

    def _read(self, packet: Forward) -> Request | None:
        """Return the request of a packet if it is well-formed."""
        request = decode_request(packet.payload, packet.entry)
        if not isinstance(request, Request) or request.service != packet.service:
            return None
        flow = hash_request(request.service, request.caller, request.number)
        if flow != packet.flow or not 0 <= request.attempt < MAX_ATTEMPTS:
            return None
        if request.timeout == 0:
            profile = self.executor.profile
            request = replace(request, timeout=min(profile.deadline, MAX_TIMEOUT_S))
        if not 0 < request.timeout <= MAX_TIMEOUT_S:
            return None
        if not 0 <= request.age <= MAX_TIMEOUT_S:
            return None
        return request

    def _take_request(
        self, packet: Forward, request: Request, now: float
    ) -> list[Effect]:
        flow = packet.flow
        source = Address(packet.caller_host, packet.caller_port)
        state = self.home.ledger.find(flow)
        if state is not None and (state.caller, state.number) != (
            request.caller,
            request.number,
        ):
            return self._drop("key_collision")
        bucket = find_bucket(flow)
        settlement = self.home.settlement
        own = state is not None and state.coordinator == self.identity
        if own and state.is_open() and state.stage != Stage.ELSEWHERE:
            return take_copy(self.home, state, request, source, packet.entry, now)
        if not settlement.is_home(bucket):
            return self._pass_on(packet, settlement.find_home(bucket))
        if not request.idempotent and bucket not in settlement.settled:
            return self._park(packet, request, now)
        if state is None:
            return open_claim(self.home, flow, request, source, packet.entry, now)
        return take_copy(self.home, state, request, source, packet.entry, now)

    def _pass_on(self, packet: Forward, home: Identity | None) -> list[Effect]:
        service = self.home.service
        member = service.by_name.get(home.name) if service and home else None
        if member is None or member.incarnation != home.incarnation:
            return self._drop(Reason.NO_UPSTREAM)
        if packet.hops >= MAX_HOPS:
            return self._drop(Reason.TOO_MANY_HOPS)
        self.counters["passed_on"] += 1
        passed = replace(
            packet,
            target=home.name,
            incarnation=home.incarnation,
            version=self.home.table.version,
            hops=packet.hops + 1,
        )
        return [SendPeer(Address(member.host, member.port), passed)]

    def _park(self, packet: Forward, request: Request, now: float) -> list[Effect]:
        if len(self._parked) >= MAX_PARKED:
            return self._drop(Reason.NOT_SETTLED)
        self._parked.append(Parked(packet, request, now))
        self.counters["parked"] += 1
        return []

    def _release_parked(self, now: float) -> list[Effect]:
        parked, self._parked = self._parked, deque()
        effects: list[Effect] = []
        for copy in parked:
            waited = now - copy.arrived_at
            if waited >= copy.request.timeout:
                self.counters[f"dropped_{Reason.EXPIRED}"] += 1
                continue
            request = replace(
                copy.request,
                timeout=copy.request.timeout - waited,
                age=copy.request.age + waited,
            )
            effects += self._take_request(copy.packet, request, now)
        return effects

    # -- knowledge of buckets ----------------------------------------------

    def _settle(self, now: float) -> list[Effect]:
        finished = self.home.settlement.finish_round(now)
        if finished is None:
            return []
        for parts in finished.replies.values():
            for reply in parts.values():
                for claim in reply.claims:
                    merge_claim(self.home, claim, now)
        for parts in finished.replies.values():
            for reply in parts.values():
                for claim in reply.runs:
                    merge_run(self.home, claim, now)
        for claim in self.executor.list_in(finished.buckets, now):
            merge_run(self.home, claim, now)
        self.home.resume(finished.buckets, now)
        self.counters["buckets_settled"] += len(finished.buckets)
        detail = f"{len(finished.buckets)} buckets"
        effects: list[Effect] = [
            TimelineEvent("buckets_settled", self.member.service, detail=detail)
        ]
        effects += self._choose_backups(now)
        return effects + self._release_parked(now)

    def _answer_query(
        self, query: ClaimsQuery, source: Address, now: float
    ) -> list[Effect]:
        homes = self.home.settlement.list_homes(set(query.buckets), now)
        stale = not self.home.settlement.give_up(query)
        buckets = set() if stale else set(query.buckets)
        claims = self.home.ledger.list_in(buckets, now)
        runs = self.executor.list_in(buckets, now)
        parts = split_claims(claims, runs)
        effects: list[Effect] = []
        for part, (some_claims, some_runs) in enumerate(parts):
            reply = ClaimsReply(
                self.member.service,
                self.member.name,
                self.member.incarnation,
                self.home.table.version,
                query.query,
                stale,
                part,
                len(parts),
                self.home.settlement.get_memory_age(now),
                self.home.settlement.list_lost(now),
                homes if part == 0 else [],
                some_claims,
                some_runs,
            )
            effects.append(SendPeer(source, reply))
        return effects

    def export_claims(self, buckets: set[int], now: float) -> list[Claim]:
        """Return what is known about the requests in some buckets."""
        return self.home.ledger.list_in(buckets, now)

    def import_claims(self, claims: list[Claim], now: float) -> None:
        """Take up what a peer knows about requests."""
        for claim in claims:
            merge_claim(self.home, claim, now)

    # -- time --------------------------------------------------------------

    def _tick(self, now: float) -> list[Effect]:
        service = self.member.service
        settlement = self.home.settlement
        effects = settlement.tick(self.home.table.version, service, now)
        effects += self._settle(now)
        effects += self.home.backups.tick(now)
        effects += take_heard(self.home, now)
        effects += self.home.tick(now)
        effects += self.executor.tick(now)
        effects += self._warmth.collect(service, self.executor.limiter)
        effects += self._report(now)
        if self._is_stopping:
            effects += self._bequests.tick(self.executor, now)
        return effects

    def _report(self, now: float) -> list[Effect]:
        load = (self.executor.count_used(), self.executor.limiter.limit)
        if load == self._reported or now - self._reported_at < REPORT_INTERVAL_S:
            return []
        self._reported, self._reported_at = load, now
        report = SlotReport(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.home.table.version,
            *load,
        )
        self.home.take_load(report)
        service = self.home.service
        effects: list[Effect] = []
        for member in service.members if service else ():
            if member.name == self.member.name:
                continue
            effects.append(SendPeer(Address(member.host, member.port), report))
        return effects

    def _drop(self, reason: str) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []
