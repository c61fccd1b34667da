"""The core of a control host: accepted changes, members, distribution."""

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
from fulmarshore.membership.leases import Leases
from fulmarshore.membership.peers import ControlPeers
from fulmarshore.membership.regions import RegionGuard
from fulmarshore.membership.registry import Registry
from fulmarshore.membership.replicas import describe_replicas
from fulmarshore.membership.stopping import PlannedStop
from fulmarshore.membership.view import make_delta
from fulmarshore.membership.waiting import Held, Origin, WaitingChanges

EXPIRY_SCAN_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 0.5
STOP_TIMEOUT_S = 1.0
"""How long a planned stop waits for another host to take up the lead."""
SNAPSHOT_ENTRIES = 1024
"""Entries between two snapshots."""


class ControlCore:
    """Decides what is accepted and tells the subscribers.

    Parameters
    ----------
    name : str
        Name of the control host.
    replica : Replica or None
        This host's part in the replicated log; None makes a group of one.
    snapshot_entries : int
        Entries between two snapshots; half of it is kept below one.
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
        self.registry = Registry(name)
        self.leases = Leases()
        self.counters: Counter[str] = Counter()
        self._waiting = WaitingChanges(self.counters)
        self._peers = ControlPeers(self.counters)
        self._guard = RegionGuard(name, self.replica.region, self.counters)
        self._stop = PlannedStop(self.replica, STOP_TIMEOUT_S)
        self.required_voters = (len(self.replica.peers) + 1) // 2 + 1
        self._leading_term = 0
        self._scanned_at = float("-inf")
        self._reported_at = float("-inf")

    @property
    def freshness(self) -> Freshness:
        """The stamp that this host hands on; none before enough disks vote.

        A host that started a group of its own by mistake is never fresh.
        """
        return self.replica.freshness if self.is_ready else Freshness(0, 0)

    @property
    def region(self) -> str:
        """Name of the region; empty where it is not told."""
        return self._guard.region

    @property
    def is_ready(self) -> bool:
        """Whether enough disks vote for a change to be accepted."""
        return len(self.replica.current_voters) >= self.required_voters

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        match event:
            case LinkMessage():
                effects = self._handle_link(event, now)
            case Tick():
                effects = self._absorb(self.replica.handle(event, now), now)
                effects += self._tick(now)
            case Stored():
                effects = self._absorb(self.replica.handle(event, now), now)
            case Stop():
                effects = self._begin_stop(now)
            case _:
                raise AssertionError(f"unexpected event {event!r}")
        effects += self._follow_lead(now)
        effects += self._compact(now)
        effects += self.registry.push(self.state.view, now)
        if self._stop.is_begun and self._stop.is_over(now):
            effects += self._end()
        return effects

    def _begin_stop(self, now: float) -> list[Effect]:
        if not self._stop.begin(now):
            return []
        return self._absorb(self.replica.hand_over(now), now)

    def _end(self) -> list[Effect]:
        """Answer everybody who waits, and end."""
        number = self.state.next_number
        effects = self._waiting.give_up(number)
        effects += self._waiting.refuse_held(number)
        return [*effects, Stopped()]

    def _handle_link(self, event: LinkMessage, now: float) -> list[Effect]:
        message = event.message
        refused = self._guard.judge(event)
        if refused is not None:
            return refused
        if isinstance(message, REPLICA_REQUESTS + REPLICA_REPLIES):
            if isinstance(message, REPLICA_REPLIES):
                self._peers.note_answered(message.sender.name)
            return self._absorb(self.replica.handle(event, now), now)
        match message:
            case Heartbeat():
                return self._heartbeat(event.peer, message, now)
            case Relay(peer=peer, message=relayed):
                return self._take_relayed(Origin(peer, event.peer), relayed, now)
            case RelayReply(peer=peer, message=reply):
                return [SendLink(peer, reply)]
            case HeartbeatReport(heartbeats=heartbeats):
                for beat in heartbeats:
                    self.leases.hear(beat, now)
                return [SendLink(event.peer, HeartbeatReportReply(self.name))]
            case HeartbeatReportReply(control=control):
                self._peers.note_answered(control)
                return []
            case Subscribe():
                return self._subscribe(event.peer, message, now)
            case HistoryRequest():
                return [
                    SendLink(event.peer, list_history(self.state, self.name, message))
                ]
            case Leave():
                self.registry.leave(message)
        return self._take(Origin(event.peer), message, now)

    def _heartbeat(self, peer: str, beat: Heartbeat, now: float) -> list[Effect]:
        if self.replica.is_leader:
            self.leases.hear(beat, now)
        return self.registry.heartbeat(peer, beat, self.state, self.freshness, now)

    def _subscribe(self, peer: str, message: Subscribe, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self.registry.subscribe(peer, message, now):
            effects = self._take(Origin(peer), message, now)
        beat = Heartbeat(message.identity, message.version)
        return effects + self._heartbeat(peer, beat, now)

    def _take(
        self, origin: Origin, message: ControlMessage, now: float
    ) -> list[Effect]:
        """Act on a message as the leader, or hand it to the leader."""
        if isinstance(message, StatusRequest) and message.is_local:
            return [origin.answer(self._describe(now))]
        if self.replica.is_leader:
            return self._lead(origin, message, now)
        leader = self.replica.leader
        if leader is not None and isinstance(
            message, Subscribe | Leave | Change | StatusRequest
        ):
            self.counters["relayed"] += 1
            relay = Relay(origin.peer, message, self.region)
            return self._peers.ask(leader.name, relay, now)
        match message:
            case Change():
                return self._hold(origin, message, now)
            case StatusRequest():
                return [origin.answer(self._describe(now))]
            case Subscribe() | Leave():
                return []
        self.counters["unexpected_link_message"] += 1
        return []

    def _take_relayed(
        self, origin: Origin, message: ControlMessage, now: float
    ) -> list[Effect]:
        """Act on what another control host handed on; never hand it on again."""
        if self.replica.is_leader:
            return self._lead(origin, message, now)
        if isinstance(message, Change):
            return self._hold(origin, message, now)
        if isinstance(message, StatusRequest):
            return [origin.answer(self._describe(now))]
        return []

    def _lead(
        self, origin: Origin, message: ControlMessage, now: float
    ) -> list[Effect]:
        match message:
            case Change():
                return self._change(origin, message, now)
            case Subscribe():
                self.leases.want(message, now)
                return []
            case Leave(identity=identity):
                self.leases.leave(message)
                return self._propose([Expire(identity, True)], now)
            case StatusRequest():
                return [origin.answer(self._describe(now))]
        self.counters["unexpected_link_message"] += 1
        return []

    def _change(self, origin: Origin, change: Change, now: float) -> list[Effect]:
        reply = answer_decided(self.state, change)
        if reply is not None:
            self.counters[f"changes_{reply.status}"] += 1
            return [origin.answer(reply)]
        if not self.is_ready or not self.replica.is_accepting:
            return self._hold(origin, change, now)
        entry, effects = self.replica.propose(change, now)
        held = Held(origin, change, entry.term, now)
        self._waiting.note_proposed(entry.index, held)
        return self._absorb(effects, now)

    def _propose(self, commands: list[Join | Expire], now: float) -> list[Effect]:
        if not commands or not self.replica.is_accepting:
            return []
        entry, effects = self.replica.propose(Batch(commands), now)
        expired = [command for command in commands if isinstance(command, Expire)]
        self.leases.note_proposed(expired, entry.index)
        return self._absorb(effects, now)

    def _absorb(self, effects: list[Effect], now: float) -> list[Effect]:
        """Apply what the replica committed; return the other effects."""
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
                    rest += self._waiting.give_up(number, snapshot.index)
                case SendLink(peer=peer, message=message):
                    if isinstance(message, REPLICA_REQUESTS):
                        self._peers.note_asked(peer, now)
                    rest.append(effect)
                case _:
                    rest.append(effect)
        return rest

    def _apply(self, entry: LogEntry) -> list[Effect]:
        version = self.state.view.version
        self.state, reply = apply_command(self.state, entry.index, entry.command)
        assert self.state.view.version >= version, "versions only go up"
        held = self._waiting.pop_proposed(entry.index)
        if held is None:
            return []
        if held.term != entry.term or reply is None:
            return [self._refuse(held.origin, held.change)]
        self.counters[f"changes_{reply.status}"] += 1
        effects: list[Effect] = [held.origin.answer(reply)]
        if reply.status == ChangeStatus.ACCEPTED and reply.version == entry.index:
            change = held.change
            detail = f"number {change.number} by {change.operator}"
            effects.append(
                TimelineEvent("change_accepted", peer=change.operator, detail=detail)
            )
        return effects

    def _refuse(self, origin: Origin, change: Change) -> SendLink:
        return self._waiting.refuse(origin, change, self.state.next_number)

    def _hold(self, origin: Origin, change: Change, now: float) -> list[Effect]:
        return self._waiting.hold(origin, change, self.state.next_number, now)

    def _follow_lead(self, now: float) -> list[Effect]:
        """Act on a change of the leader, and release what waited for one."""
        effects: list[Effect] = []
        term = self.replica.term if self.replica.is_leader else 0
        if term != self._leading_term:
            self._leading_term = term
            effects += self._waiting.give_up(self.state.next_number)
            self.leases.reset(self.state.view, now)
        ready = self.replica.leader is not None
        if term:
            ready = self.is_ready and self.replica.is_accepting
        if not ready or not self._waiting.has_held:
            return effects
        for held in self._waiting.take_held():
            if not term and held.origin.via is not None:
                # Handed on twice, its answer would not find back.
                effects.append(self._refuse(held.origin, held.change))
                continue
            effects += self._take(held.origin, held.change, now)
        return effects

    def _compact(self, now: float) -> list[Effect]:
        replica = self.replica
        taken = replica.snapshot.index if replica.snapshot else 0
        if replica.applied - taken < self._snapshot_entries:
            return []
        assert self.state.index == replica.applied, "all entries are applied"
        kept = self._snapshot_entries // 2
        effects = replica.compact(encode_state(self.state), kept, now)
        return self._absorb(effects, now)

    def _tick(self, now: float) -> list[Effect]:
        effects = self._peers.replace_silent(now)
        effects += self._waiting.refuse_late(self.state.next_number, now)
        if self.replica.is_accepting:
            joins = self.leases.list_joins(self.state.view)
            effects += self._propose(joins, now)
        if now - self._scanned_at >= EXPIRY_SCAN_INTERVAL_S:
            self._scanned_at = now
            effects += self._scan(now)
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            effects += self._report(now)
        return effects

    def _scan(self, now: float) -> list[Effect]:
        self.registry.drop_silent(now)
        if not self.replica.is_accepting:
            return []
        view = self.state.view
        effects: list[Effect] = list(self.leases.note_isolation(now))
        self.counters.update(effect.kind for effect in effects)
        self.leases.drop_gone(view, now)
        expired = self.leases.list_expired(view, self.state.index, now)
        effects += self._propose(expired, now)
        for command in expired:
            effects.append(TimelineEvent("lease_expired", peer=command.identity.name))
        return effects

    def _report(self, now: float) -> list[Effect]:
        """Tell the leader who was heard and who is not yet a member."""
        unjoined = self.registry.list_unjoined(self.state.view)
        if self.replica.is_leader:
            for message in unjoined:
                self.leases.want(message, now)
            return []
        leader = self.replica.leader
        if leader is None:
            return []
        heartbeats = self.registry.list_heard(now)
        report = HeartbeatReport(self.name, heartbeats, self.region)
        effects = self._peers.ask(leader.name, report, now)
        for message in unjoined:
            relay = Relay("", message, self.region)
            effects += self._peers.ask(leader.name, relay, now)
        return effects

    def _describe(self, now: float) -> StatusReply:
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
            describe_replicas(self.replica, now),
            self.region,
        )


def make_single_replica(name: str) -> Replica:
    """Return the replica of a group of one on a new disk."""
    identity = ReplicaId(name, "single")
    recovered = Recovered(
        identity, 0, TermVote("", 0, None), LogBase(0, 0), None, [], 0
    )
    return Replica(recovered, [], Random(0), bootstrap=True)
