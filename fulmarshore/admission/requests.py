"""Request handling of an agent, as home of buckets, as peer and as executor.

The home agent of a bucket coordinates all requests of that bucket.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import get_args

from fulmarshore.admission.bounds import LEASE_GRACE_S
from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.handoffs import HandoffManager
from fulmarshore.admission.intake import Intake
from fulmarshore.admission.loadreports import LoadReporter
from fulmarshore.admission.merging import (
    handle_backup,
    merge_claim,
    split_claims,
)
from fulmarshore.admission.queries import answer_query, merge_replies
from fulmarshore.admission.runreplies import handle_pending_replies, handle_run_reply
from fulmarshore.admission.warmup import WarmUpReporter
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    BackupSync,
    BackupSyncReply,
    Claim,
    ClaimBackup,
    ClaimBackupReply,
    ClaimHandoff,
    ClaimHandoffReply,
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
    RunReply,
    RunRequest,
    SendPeer,
    SlotReport,
    TimelineEvent,
    UpstreamDatagram,
    UpstreamGone,
)
from fulmarshore.core.stalls import StallDetector
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.table import Table

VERSION_EXCHANGE_INTERVAL_S = 0.02
LEASE_MARGIN_S = 1.0
"""Time by which a lease ends earlier for its agent than for control."""

RequestPeerMessage = (
    ClaimBackup
    | ClaimBackupReply
    | BackupSync
    | BackupSyncReply
    | RunRequest
    | RunReply
    | SlotReport
    | ClaimsQuery
    | ClaimsReply
    | ClaimHandoff
    | ClaimHandoffReply
)
REQUEST_MESSAGES = get_args(RequestPeerMessage)


class RequestCore:
    """Runs each non-idempotent request at most once and sends its outcome.

    Parameters
    ----------
    subscriber : Subscriber
        Holds the view and the lease; its announcement is this agent's member record.
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
        self._warm_up = WarmUpReporter()
        self.counters = self.home.counters
        self._intake = Intake(self.home)
        self._stalls = StallDetector()
        self._load_reporter = LoadReporter()
        self._is_stopping = False
        self._handoffs = HandoffManager(self.home)
        self._exchanged_at = float("-inf")
        self._zone_version = 0

    def handles(self, event: Event, table: Table) -> bool:
        """Return whether an event belongs to the request path of this agent."""
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
        """Process one event and return its effects.

        Parameters
        ----------
        table : Table
            The agent's current routing table.
        """
        effects: list[Effect] = []
        if table is not self.home.table:
            effects += self._update_table(table, now)
        if self.executor is None:
            return effects
        self._check_lease(now)
        self.executor.draining = self._is_draining()
        is_stale = self._stalls.is_stale(now)
        if is_stale:
            self.executor.record_stall(now)
        if is_stale and isinstance(event, PeerMessage):
            # The message may be older than ``COPY_LIFE_S``. It is dropped like a
            # lost one, and its sender resends it.
            return effects + self._drop(Reason.STALLED)
        effects += self._handle(event, now)
        return self._deliver_locally(effects, now)

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        executor = self.executor
        if executor is None:
            return {}
        return {
            "claims": len(self.home.claim_table),
            "request_limit": executor.limiter.limit,
            "requests_waiting": len(executor.queue),
            "requests_working": len(executor.running),
            "service_time_s": executor.limiter.baseline,
        }

    def is_idle(self, now: float) -> bool:
        """Return whether a stopping agent may exit, its claims handed off."""
        if self.executor is None:
            return True
        self._is_stopping = True
        return self._handoffs.is_done(now)

    def _is_draining(self) -> bool:
        if self._is_stopping:
            return True
        if self.subscriber.announcement.state != MemberState.ACCEPTING:
            return True
        return self.member.name in self.home.table.drained

    def _update_table(self, table: Table, now: float) -> list[Effect]:
        """Apply a newer table."""
        self.home.update(table)
        service = table.services.get(self.member.service)
        if service is None or service.service.protocol != Protocol.REQUEST:
            return []
        if self.executor is None:
            self.executor = Executor(self.member, service.profile)
            self.executor.counters = self.counters
            self.home.executor = self.executor
        self.executor.version = table.version
        self.executor.update(service.profile)
        announced = self._list_announced()
        stamped = self.subscriber.view.items.get(("Zone", self.member.zone))
        zone_version = stamped.version if stamped is not None else 0
        if zone_version != self._zone_version:
            # The zone may have been out in a version that this agent never received.
            self._zone_version = zone_version
            self._discard_backup_roles(now)
            self.home.settlement.mark_unsettled(now)
        view = self.subscriber.view
        self.home.settlement.update(
            service, table.version, announced, view.had_members, now, view.had_lives
        )
        effects: list[Effect] = []
        is_out = self.member.zone in table.zones_out
        if is_out and self.executor.closed is None:
            effects += self.executor.close(Reason.ZONE_OUT, True)
        elif not is_out and self.executor.closed is not None:
            self.executor.reopen(now)
        effects += self._finish_settlement(now)
        return effects + self._choose_backups(now)

    def _choose_backups(self, now: float) -> list[Effect]:
        service = self.home.service
        if service is None:
            return []

        def make_parts(buckets: set[int]) -> list[list[Claim]]:
            claims = self.home.claim_table.list_claims(buckets, now)
            return [part for part, _ in split_claims(claims, [])]

        return self.home.backups.update(service, make_parts, now)

    def _handle_sync(
        self, message: BackupSync, source: Address, now: float
    ) -> list[Effect]:
        if self._handoffs.has_started():
            return self._drop(Reason.STOPPING)
        if not self.home.backups.can_accept(message, now):
            return self._drop(Reason.WRONG_INCARNATION)
        for claim in message.claims:
            merge_claim(self.home, claim, now)
        self.home.backups.handle_sync(message, now)
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
        """Update the state of the lease.

        Without a lease, another agent may become home of this agent's buckets.
        """
        age = now - self.subscriber.lease_renewed_at
        has_lease = age < LEASE_S - LEASE_MARGIN_S
        self.home.is_past_lease_grace = age >= LEASE_S - LEASE_MARGIN_S + LEASE_GRACE_S
        if not has_lease and self.home.has_lease:
            # From now on, a home may choose another backup without this agent's
            # knowledge.
            self._discard_backup_roles(now)
        if has_lease and not self.home.has_lease:
            self.home.settlement.mark_unsettled(now)
        self.home.has_lease = has_lease

    def _discard_backup_roles(self, now: float) -> None:
        """Stop being a backup, unless this agent has just started."""
        if not self.home.settlement.losses.has_just_started(now):
            self.home.backups.discard_roles(now)

    def _deliver_locally(self, effects: list[Effect], now: float) -> list[Effect]:
        """Deliver messages that are addressed to this agent at once."""
        remaining: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if not isinstance(effect, SendPeer) or effect.destination != self.address:
                remaining.append(effect)
                continue
            if not isinstance(effect.message, REQUEST_MESSAGES):
                # A reply to an earlier process at this address.
                continue
            event = PeerMessage(self.address, effect.message)
            pending.extend(self._handle(event, now))
        return remaining

    def _handle(self, event: Event, now: float) -> list[Effect]:
        match event:
            case PeerMessage(source=source, message=message):
                if message.service != self.member.service:
                    return self._drop(Reason.WRONG_SERVICE)
                effects = self._exchange_versions(message.version, source, now)
                if isinstance(message, Forward):
                    profile = self.executor.profile
                    return effects + self._intake.handle(message, profile, now)
                return effects + self._handle_message(message, source, now)
            case UpstreamDatagram(flow=flow, payload=payload):
                return self.executor.handle_answer(flow, payload, now)
            case UpstreamGone(flow=flow):
                return self.executor.handle_upstream_gone(flow, now)
        return self._tick(now)

    def _exchange_versions(
        self, version: int, source: Address, now: float
    ) -> list[Effect]:
        """Send a newer table version to the sender, or request one from it."""
        own = self.home.table.version
        if version == own or now - self._exchanged_at < VERSION_EXCHANGE_INTERVAL_S:
            return []
        self._exchanged_at = now
        if version > own:
            return [SendPeer(source, DeltaRequest(self.identity, own))]
        return [SendPeer(source, make_delta(self.subscriber.view, version))]

    def _handle_message(
        self, message: RequestPeerMessage, source: Address, now: float
    ) -> list[Effect]:
        match message:
            case RunRequest():
                target = Identity(message.executor, message.executor_incarnation)
                if target != self.identity:
                    return self._drop(Reason.WRONG_INCARNATION)
                home = self.home.settlement.find_home(find_bucket(message.flow))
                sender = Identity(message.agent, message.incarnation)
                from_stale_home = (
                    home not in (None, sender) and not message.request.idempotent
                )
                return self.executor.handle(message, source, now, from_stale_home)
            case RunReply():
                return handle_run_reply(self.home, message, now)
            case ClaimBackup():
                if self._handoffs.has_started():
                    return self._drop(Reason.STOPPING)
                return handle_backup(self.home, message, source, now)
            case ClaimBackupReply():
                return self.home.handle_backup_reply(message, now)
            case BackupSync():
                return self._handle_sync(message, source, now)
            case BackupSyncReply():
                self.home.backups.handle_reply(message)
                return []
            case SlotReport():
                self.home.record_load(message)
                return []
            case ClaimsQuery():
                home, executor = self.home, self.executor
                return answer_query(home, executor, message, source, now)
            case ClaimsReply():
                self.home.settlement.handle_reply(message)
                return self._finish_settlement(now)
            case ClaimHandoff():
                return self._handoffs.handle(message, source, now)
            case ClaimHandoffReply():
                self._handoffs.handle_reply(message)
                return []
        return self._drop(Reason.MALFORMED)

    # -- claims of buckets -------------------------------------------------

    def _finish_settlement(self, now: float) -> list[Effect]:
        finished = self.home.settlement.finish_round(now)
        if finished is None:
            return []
        merge_replies(self.home, self.executor, finished, now)
        self.counters["buckets_settled"] += len(finished.buckets)
        detail = f"{len(finished.buckets)} buckets"
        effects: list[Effect] = [
            TimelineEvent("buckets_settled", self.member.service, detail=detail)
        ]
        effects += self._choose_backups(now)
        return effects + self._intake.release_parked(now)

    def export_claims(self, buckets: set[int], now: float) -> list[Claim]:
        """Return the claims in some buckets, as sent to peers."""
        return self.home.claim_table.list_claims(buckets, now)

    def import_claims(self, claims: list[Claim], now: float) -> None:
        """Merge the claims of a peer."""
        for claim in claims:
            merge_claim(self.home, claim, now)

    # -- time --------------------------------------------------------------

    def _tick(self, now: float) -> list[Effect]:
        service = self.member.service
        settlement = self.home.settlement
        effects = settlement.tick(self.home.table.version, service, now)
        effects += self._finish_settlement(now)
        effects += self.home.backups.tick(now)
        effects += handle_pending_replies(self.home, now)
        effects += self.home.tick(now)
        effects += self.executor.tick(now)
        effects += self._warm_up.collect(service, self.executor.limiter)
        effects += self._load_reporter.tick(self.home, self.executor, now)
        if self._is_stopping:
            effects += self._handoffs.tick(self.executor, now)
        return effects

    def _drop(self, reason: str) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []
