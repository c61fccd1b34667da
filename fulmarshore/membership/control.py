"""The core of a control host: changes, membership and distribution of the view."""

from __future__ import annotations

from collections import Counter
from random import Random

from fulmarshore.agreement.history import list_history
from fulmarshore.agreement.replica import REPLICA_REPLIES, REPLICA_REQUESTS, Replica
from fulmarshore.agreement.state import (
    State,
    answer_decided,
    apply_command,
    decode_state,
    encode_state,
)
from fulmarshore.core.records import (
    ApplyEntry,
    Batch,
    Change,
    ChangeStatus,
    ControlMessage,
    Effect,
    Event,
    Expire,
    Freshness,
    Heartbeat,
    HeartbeatReport,
    HeartbeatReportReply,
    HistoryRequest,
    Join,
    Leave,
    LinkMessage,
    LogBase,
    LogEntry,
    Recovered,
    Relay,
    RelayReply,
    ReplicaId,
    RestoreSnapshot,
    SendLink,
    StatusReply,
    StatusRequest,
    Stop,
    Stopped,
    Stored,
    Subscribe,
    TermVote,
    Tick,
    TimelineEvent,
)
from fulmarshore.membership.leases import LeaseTable
from fulmarshore.membership.peers import ControlPeers
from fulmarshore.membership.regions import RegionGuard
from fulmarshore.membership.registry import SubscriptionRegistry
from fulmarshore.membership.replicas import list_replica_statuses
from fulmarshore.membership.stopping import PlannedStop
from fulmarshore.membership.view import make_delta
from fulmarshore.membership.waiting import Origin, PendingChange, PendingChanges

EXPIRY_SCAN_INTERVAL_S = 0.25
"""Interval of the scan for expired leases."""
REPORT_INTERVAL_S = 0.5
"""Interval of the reports of heartbeats to the leader."""
STOP_TIMEOUT_S = 1.0
"""How long a planned stop waits for another host to become leader."""
SNAPSHOT_ENTRIES = 1024
"""Log entries between two snapshots."""


class ControlCore:
    """Accepts changes, tracks the members and serves the subscribers.

    Parameters
    ----------
    name : str
        Name of the control host.
    replica : Replica or None
        This host's replica of the log; None makes a group of one.
    snapshot_entries : int
        Log entries between two snapshots; half as many before one are retained.
    """

    def __init__(
        self,
        name: str,
        replica: Replica | None = None,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
    ) -> None:
        self._snapshot_entries = snapshot_entries
        self.name = name
        self.replica = replica or make_single_replica(name)
        self.state = State()
        self.registry = SubscriptionRegistry(name)
        self.leases = LeaseTable()
        self.counters: Counter[str] = Counter()
        self._pending_changes = PendingChanges(self.counters)
        self._peers = ControlPeers(self.counters)
        self._region_guard = RegionGuard(name, self.replica.region, self.counters)
        self._stop = PlannedStop(self.replica, STOP_TIMEOUT_S)
        self.required_voters = (len(self.replica.peers) + 1) // 2 + 1
        self._leading_term = 0
        self._scanned_at = float("-inf")
        self._reported_at = float("-inf")

    @property
    def freshness(self) -> Freshness:
        """The freshness to pass on to processes; zero while there are too few voters.

        So a host that started a group of its own by mistake is never fresh.
        """
        return self.replica.freshness if self.is_ready else Freshness(0, 0)

    @property
    def region(self) -> str:
        """Name of the region; empty if it is not set."""
        return self._region_guard.region

    @property
    def is_ready(self) -> bool:
        """Whether the group has enough voters to accept changes."""
        return len(self.replica.current_voters) >= self.required_voters

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process one event and return the effects to carry out."""
        match event:
            case LinkMessage():
                effects = self._handle_message(event, now)
            case Tick():
                effects = self._process_effects(self.replica.handle(event, now), now)
                effects += self._tick(now)
            case Stored():
                effects = self._process_effects(self.replica.handle(event, now), now)
            case Stop():
                effects = self._begin_stop(now)
            case _:
                raise AssertionError(f"unexpected event {event!r}")
        effects += self._handle_leadership(now)
        effects += self._compact(now)
        effects += self.registry.push_deltas(self.state.view, now)
        if self._stop.has_begun and self._stop.can_end(now):
            effects += self._finish_stop()
        return effects

    def _begin_stop(self, now: float) -> list[Effect]:
        if not self._stop.begin(now):
            return []
        return self._process_effects(self.replica.transfer_leadership(now), now)

    def _finish_stop(self) -> list[Effect]:
        """Reply to all pending changes, and stop."""
        number = self.state.next_number
        effects = self._pending_changes.fail_proposed(number)
        effects += self._pending_changes.fail_queued(number)
        return [*effects, Stopped()]

    def _handle_message(self, event: LinkMessage, now: float) -> list[Effect]:
        message = event.message
        refusal = self._region_guard.check(event)
        if refusal is not None:
            return refusal
        if isinstance(message, REPLICA_REQUESTS + REPLICA_REPLIES):
            if isinstance(message, REPLICA_REPLIES):
                self._peers.record_reply(message.sender.name)
            return self._process_effects(self.replica.handle(event, now), now)
        match message:
            case Heartbeat():
                return self._handle_heartbeat(event.peer, message, now)
            case Relay(peer=peer, message=relayed):
                return self._handle_relayed(Origin(peer, event.peer), relayed, now)
            case RelayReply(peer=peer, message=reply):
                return [SendLink(peer, reply)]
            case HeartbeatReport(heartbeats=heartbeats):
                for heartbeat in heartbeats:
                    self.leases.record_heartbeat(heartbeat, now)
                return [SendLink(event.peer, HeartbeatReportReply(self.name))]
            case HeartbeatReportReply(control=control):
                self._peers.record_reply(control)
                return []
            case Subscribe():
                return self._handle_subscribe(event.peer, message, now)
            case HistoryRequest():
                return [
                    SendLink(event.peer, list_history(self.state, self.name, message))
                ]
            case Leave():
                self.registry.handle_leave(message)
        return self._handle_or_relay(Origin(event.peer), message, now)

    def _handle_heartbeat(
        self, peer: str, heartbeat: Heartbeat, now: float
    ) -> list[Effect]:
        if self.replica.is_leader:
            self.leases.record_heartbeat(heartbeat, now)
        return self.registry.handle_heartbeat(
            peer, heartbeat, self.state, self.freshness, now
        )

    def _handle_subscribe(
        self, peer: str, message: Subscribe, now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        if self.registry.handle_subscribe(peer, message, now):
            effects = self._handle_or_relay(Origin(peer), message, now)
        heartbeat = Heartbeat(message.identity, message.version)
        return effects + self._handle_heartbeat(peer, heartbeat, now)

    def _handle_or_relay(
        self, origin: Origin, message: ControlMessage, now: float
    ) -> list[Effect]:
        """Process a message as the leader, or relay it to the leader."""
        if isinstance(message, StatusRequest) and message.is_local:
            return [origin.make_reply(self._make_status(now))]
        if self.replica.is_leader:
            return self._handle_as_leader(origin, message, now)
        leader = self.replica.leader
        if leader is not None and isinstance(
            message, Subscribe | Leave | Change | StatusRequest
        ):
            self.counters["relayed"] += 1
            relay = Relay(origin.peer, message, self.region)
            return self._peers.send_request(leader.name, relay, now)
        match message:
            case Change():
                return self._queue_change(origin, message, now)
            case StatusRequest():
                return [origin.make_reply(self._make_status(now))]
            case Subscribe() | Leave():
                return []
        self.counters["unexpected_link_message"] += 1
        return []

    def _handle_relayed(
        self, origin: Origin, message: ControlMessage, now: float
    ) -> list[Effect]:
        """Process a relayed message; it is never relayed again."""
        if self.replica.is_leader:
            return self._handle_as_leader(origin, message, now)
        if isinstance(message, Change):
            return self._queue_change(origin, message, now)
        if isinstance(message, StatusRequest):
            return [origin.make_reply(self._make_status(now))]
        return []

    def _handle_as_leader(
        self, origin: Origin, message: ControlMessage, now: float
    ) -> list[Effect]:
        match message:
            case Change():
                return self._handle_change(origin, message, now)
            case Subscribe():
                self.leases.request_join(message, now)
                return []
            case Leave(identity=identity):
                self.leases.handle_leave(message)
                return self._propose([Expire(identity, True)], now)
            case StatusRequest():
                return [origin.make_reply(self._make_status(now))]
        self.counters["unexpected_link_message"] += 1
        return []

    def _handle_change(
        self, origin: Origin, change: Change, now: float
    ) -> list[Effect]:
        reply = answer_decided(self.state, change)
        if reply is not None:
            self.counters[f"changes_{reply.status}"] += 1
            return [origin.make_reply(reply)]
        if not self.is_ready or not self.replica.can_propose:
            return self._queue_change(origin, change, now)
        entry, effects = self.replica.propose(change, now)
        pending = PendingChange(origin, change, entry.term, now)
        self._pending_changes.record_proposed(entry.index, pending)
        return self._process_effects(effects, now)

    def _propose(self, commands: list[Join | Expire], now: float) -> list[Effect]:
        if not commands or not self.replica.can_propose:
            return []
        entry, effects = self.replica.propose(Batch(commands), now)
        expired = [command for command in commands if isinstance(command, Expire)]
        self.leases.record_proposed(expired, entry.index)
        return self._process_effects(effects, now)

    def _process_effects(self, effects: list[Effect], now: float) -> list[Effect]:
        """Apply the entries and snapshots of the replica; return the other effects."""
        rest: list[Effect] = []
        for effect in effects:
            match effect:
                case ApplyEntry(entry=entry):
                    rest += self._apply(entry)
                case RestoreSnapshot(snapshot=snapshot):
                    state = decode_state(snapshot.state)
                    assert state.view.version >= self.state.view.version
                    self.state = state
                    number = state.next_number
                    rest += self._pending_changes.fail_proposed(number, snapshot.index)
                case SendLink(peer=peer, message=message):
                    if isinstance(message, REPLICA_REQUESTS):
                        self._peers.record_request(peer, now)
                    rest.append(effect)
                case _:
                    rest.append(effect)
        return rest

    def _apply(self, entry: LogEntry) -> list[Effect]:
        version = self.state.view.version
        self.state, reply = apply_command(self.state, entry.index, entry.command)
        assert self.state.view.version >= version, "versions never decrease"
        pending = self._pending_changes.pop_proposed(entry.index)
        if pending is None:
            return []
        if pending.term != entry.term or reply is None:
            return [self._make_unavailable_reply(pending.origin, pending.change)]
        self.counters[f"changes_{reply.status}"] += 1
        effects: list[Effect] = [pending.origin.make_reply(reply)]
        if reply.status == ChangeStatus.ACCEPTED and reply.version == entry.index:
            change = pending.change
            detail = f"number {change.number} by {change.operator}"
            effects.append(
                TimelineEvent("change_accepted", peer=change.operator, detail=detail)
            )
        return effects

    def _make_unavailable_reply(self, origin: Origin, change: Change) -> SendLink:
        return self._pending_changes.make_unavailable_reply(
            origin, change, self.state.next_number
        )

    def _queue_change(self, origin: Origin, change: Change, now: float) -> list[Effect]:
        return self._pending_changes.queue(origin, change, self.state.next_number, now)

    def _handle_leadership(self, now: float) -> list[Effect]:
        """Act on a change of leadership; process queued changes once possible."""
        effects: list[Effect] = []
        term = self.replica.term if self.replica.is_leader else 0
        if term != self._leading_term:
            self._leading_term = term
            effects += self._pending_changes.fail_proposed(self.state.next_number)
            self.leases.reset(self.state.view, now)
        ready = self.replica.leader is not None
        if term:
            ready = self.is_ready and self.replica.can_propose
        if not ready or not self._pending_changes.has_queued:
            return effects
        for pending in self._pending_changes.take_queued():
            if not term and pending.origin.via is not None:
                # A relayed change is not relayed again: its reply would be lost.
                effects.append(
                    self._make_unavailable_reply(pending.origin, pending.change)
                )
                continue
            effects += self._handle_or_relay(pending.origin, pending.change, now)
        return effects

    def _compact(self, now: float) -> list[Effect]:
        replica = self.replica
        snapshot_index = replica.snapshot.index if replica.snapshot else 0
        if replica.applied - snapshot_index < self._snapshot_entries:
            return []
        assert self.state.index == replica.applied, "all entries are applied"
        retained_entries = self._snapshot_entries // 2
        effects = replica.compact(encode_state(self.state), retained_entries, now)
        return self._process_effects(effects, now)

    def _tick(self, now: float) -> list[Effect]:
        effects = self._peers.replace_unresponsive(now)
        effects += self._pending_changes.expire_queued(self.state.next_number, now)
        if self.replica.can_propose:
            joins = self.leases.take_joins(self.state.view)
            effects += self._propose(joins, now)
        if now - self._scanned_at >= EXPIRY_SCAN_INTERVAL_S:
            self._scanned_at = now
            effects += self._scan_leases(now)
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            effects += self._report_to_leader(now)
        return effects

    def _scan_leases(self, now: float) -> list[Effect]:
        self.registry.expire_subscriptions(now)
        if not self.replica.can_propose:
            return []
        view = self.state.view
        effects: list[Effect] = list(self.leases.report_isolation(now))
        self.counters.update(effect.kind for effect in effects)
        self.leases.prune_departed(view, now)
        expired = self.leases.list_expired(view, self.state.index, now)
        effects += self._propose(expired, now)
        for command in expired:
            effects.append(TimelineEvent("lease_expired", peer=command.identity.name))
        return effects

    def _report_to_leader(self, now: float) -> list[Effect]:
        """Report heartbeats and pending announcements to the leader."""
        unjoined = self.registry.list_unjoined(self.state.view)
        if self.replica.is_leader:
            for message in unjoined:
                self.leases.request_join(message, now)
            return []
        leader = self.replica.leader
        if leader is None:
            return []
        heartbeats = self.registry.take_heartbeats(now)
        report = HeartbeatReport(self.name, heartbeats, self.region)
        effects = self._peers.send_request(leader.name, report, now)
        for message in unjoined:
            relay = Relay("", message, self.region)
            effects += self._peers.send_request(leader.name, relay, now)
        return effects

    def _make_status(self, now: float) -> StatusReply:
        leader = self.replica.leader
        processes = self.registry.list_processes(now)
        if self.replica.is_leader:
            processes = self.leases.list_processes(self.state.view, now)
        return StatusReply(
            self.name,
            leader.name if leader is not None else "",
            self.freshness,
            make_delta(self.state.view, 0),
            processes,
            self.state.next_number,
            self.replica.term,
            self.replica.commit,
            list_replica_statuses(self.replica, now),
            self.region,
        )


def make_single_replica(name: str) -> Replica:
    """Return the replica of a new group of one, without a disk."""
    identity = ReplicaId(name, "single")
    recovered = Recovered(
        identity, 0, TermVote("", 0, None), LogBase(0, 0), None, [], 0
    )
    return Replica(recovered, [], Random(0), bootstrap=True)
