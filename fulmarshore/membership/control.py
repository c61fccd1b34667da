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
    Applied,
    Batch,
    Change,
    ChangeReply,
    ChangeStatus,
    ControlMessage,
    Effect,
    Event,
    Expire,
    Freshness,
    HeardReply,
    HeardReport,
    Heartbeat,
    HistoryRequest,
    Join,
    Leave,
    LinkMessage,
    LogBase,
    LogEntry,
    Recovered,
    Relay,
    RelayReply,
    ReplaceLink,
    ReplicaId,
    Restored,
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
from fulmarshore.membership.registry import Leases, Registry
from fulmarshore.membership.replicas import describe_replicas
from fulmarshore.membership.view import make_delta

EXPIRY_SCAN_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 0.5
LINK_SILENCE_TIMEOUT_S = 1.5
"""A link to another control host that brings no answer for this long is replaced."""
HOLD_TIMEOUT_S = 1.0
"""How long a change waits for a leader before it is answered."""
MAX_HELD = 256
STOP_TIMEOUT_S = 1.0
"""How long a planned stop waits for another host to take up the lead."""
ANSWER_LINGER_S = 0.1
"""How long a former leader stays for the answers of what it handed on."""
SNAPSHOT_ENTRIES = 1024
"""Entries between two snapshots."""


class Origin:
    """Where the answer to a message goes: a peer, perhaps of another host."""

    __slots__ = ("peer", "via")

    def __init__(self, peer: str, via: str | None = None) -> None:
        self.peer = peer
        self.via = via

    def answer(self, reply: ChangeReply | StatusReply) -> SendLink:
        """Return the effect that sends an answer."""
        if self.via is None:
            return SendLink(self.peer, reply)
        return SendLink(self.via, RelayReply(self.peer, reply))


class Held:
    """A change that waits for a leader, or for its entry to be committed."""

    __slots__ = ("origin", "change", "term", "until")

    def __init__(self, origin: Origin, change: Change, term: int, until: float) -> None:
        self.origin = origin
        self.change = change
        self.term = term
        self.until = until


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
        self._is_isolated = False
        self.counters: Counter[str] = Counter()
        self.required_voters = (len(self.replica.peers) + 1) // 2 + 1
        self._pending: dict[int, Held] = {}
        self._held: list[Held] = []
        self._leading_term = 0
        self._scanned_at = float("-inf")
        self._reported_at = float("-inf")
        self._asked_at: dict[str, float] = {}
        self._stop_at: float | None = None
        self._is_handed_over = False

    @property
    def freshness(self) -> Freshness:
        """The stamp that this host hands on; none before enough disks vote.

        A host that started a group of its own by mistake is never fresh.
        """
        return self.replica.freshness if self.is_ready else Freshness(0, 0)

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
        if self._stop_at is not None:
            effects += self._stop(now)
        return effects

    def _begin_stop(self, now: float) -> list[Effect]:
        if self._stop_at is not None:
            return []
        self._stop_at = now
        if not self.replica.is_leader:
            return []
        self._stop_at = now + STOP_TIMEOUT_S
        return self._absorb(self.replica.hand_over(now), now)

    def _stop(self, now: float) -> list[Effect]:
        """End once another host leads, nobody can, or it takes too long."""
        if self.replica.is_accepting:
            self._stop_at = now
        is_led = not self.replica.is_leader and self.replica.leader is not None
        if is_led and not self._is_handed_over:
            self._is_handed_over = True
            self._stop_at = min(self._stop_at, now + ANSWER_LINGER_S)
        if now < self._stop_at:
            return []
        effects = self._give_up(max(self._pending, default=0))
        held, self._held = self._held, []
        for entry in held:
            effects.append(self._refuse(entry.origin, entry.change))
        return [*effects, Stopped()]

    def _handle_link(self, event: LinkMessage, now: float) -> list[Effect]:
        message = event.message
        if isinstance(message, REPLICA_REQUESTS + REPLICA_REPLIES):
            if isinstance(message, REPLICA_REPLIES):
                self._asked_at.pop(message.sender.name, None)
            return self._absorb(self.replica.handle(event, now), now)
        match message:
            case Heartbeat():
                return self._heartbeat(event.peer, message, now)
            case Relay(peer=peer, message=relayed):
                return self._take_relayed(Origin(peer, event.peer), relayed, now)
            case RelayReply(peer=peer, message=reply):
                return [SendLink(peer, reply)]
            case HeardReport(heard=heard):
                for beat in heard:
                    self.leases.hear(beat, now)
                return [SendLink(event.peer, HeardReply(self.name))]
            case HeardReply(control=control):
                self._asked_at.pop(control, None)
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
        if isinstance(message, StatusRequest) and message.own:
            return [origin.answer(self._describe(now))]
        if self.replica.is_leader:
            return self._lead(origin, message, now)
        leader = self.replica.leader
        if leader is not None and isinstance(
            message, Subscribe | Leave | Change | StatusRequest
        ):
            self.counters["relayed"] += 1
            return self._ask(leader.name, Relay(origin.peer, message), now)
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
        self._pending[entry.index] = Held(origin, change, entry.term, now)
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
                case Applied(entry=entry):
                    rest += self._apply(entry)
                case Restored(snapshot=snapshot):
                    state = decode_state(snapshot.state)
                    assert state.view.version >= self.state.view.version
                    self.state = state
                    rest += self._give_up(snapshot.index)
                case SendLink(peer=peer, message=message):
                    if isinstance(message, REPLICA_REQUESTS):
                        self._asked_at.setdefault(peer, now)
                    rest.append(effect)
                case _:
                    rest.append(effect)
        return rest

    def _apply(self, entry: LogEntry) -> list[Effect]:
        version = self.state.view.version
        self.state, reply = apply_command(self.state, entry.index, entry.command)
        assert self.state.view.version >= version, "versions only go up"
        held = self._pending.pop(entry.index, None)
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

    def _give_up(self, index: int) -> list[Effect]:
        """Tell that the outcome of changes up to an index is not known here."""
        effects: list[Effect] = []
        for held_index, held in list(self._pending.items()):
            if held_index > index:
                continue
            del self._pending[held_index]
            effects.append(self._refuse(held.origin, held.change))
        return effects

    def _refuse(self, origin: Origin, change: Change) -> SendLink:
        """Answer that the outcome is not known: the change is asked again."""
        self.counters["changes_unavailable"] += 1
        reply = ChangeReply(
            change.number,
            ChangeStatus.UNAVAILABLE,
            0,
            "",
            [],
            self.state.next_number,
        )
        return origin.answer(reply)

    def _hold(self, origin: Origin, change: Change, now: float) -> list[Effect]:
        if len(self._held) >= MAX_HELD:
            return [self._refuse(origin, change)]
        self._held.append(Held(origin, change, 0, now + HOLD_TIMEOUT_S))
        return []

    def _follow_lead(self, now: float) -> list[Effect]:
        """Act on a change of the leader, and release what waited for one."""
        effects: list[Effect] = []
        term = self.replica.term if self.replica.is_leader else 0
        if term != self._leading_term:
            self._leading_term = term
            effects += self._give_up(max(self._pending, default=0))
            self.leases.reset(self.state.view, now)
        ready = self.replica.leader is not None
        if term:
            ready = self.is_ready and self.replica.is_accepting
        if self._held and ready:
            held, self._held = self._held, []
            for entry in held:
                if not term and entry.origin.via is not None:
                    # Handed on twice, its answer would not find back.
                    effects.append(self._refuse(entry.origin, entry.change))
                    continue
                effects += self._take(entry.origin, entry.change, now)
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
        effects = self._replace_silent(now)
        for held in list(self._held):
            if now >= held.until:
                self._held.remove(held)
                effects.append(self._refuse(held.origin, held.change))
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
        effects = self._note_isolation(now)
        self.leases.drop_gone(view, now)
        expired = self.leases.list_expired(view, self.state.index, now)
        effects += self._propose(expired, now)
        for command in expired:
            effects.append(TimelineEvent("lease_expired", peer=command.identity.name))
        return effects

    def _note_isolation(self, now: float) -> list[Effect]:
        """Tell when the last process has gone silent, and when one is heard."""
        is_isolated = self.leases.is_isolated(now) and bool(self.leases.held)
        if is_isolated == self._is_isolated:
            return []
        self._is_isolated = is_isolated
        kind = "processes_silent" if is_isolated else "processes_heard"
        self.counters[kind] += 1
        detail = f"{len(self.leases.held)} leases"
        return [TimelineEvent(kind, detail=detail)]

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
        heard = self.registry.list_heard(now)
        effects = self._ask(leader.name, HeardReport(self.name, heard), now)
        for message in unjoined:
            effects += self._ask(leader.name, Relay("", message), now)
        return effects

    def _ask(self, name: str, message: ControlMessage, now: float) -> list[Effect]:
        self._asked_at.setdefault(name, now)
        return [SendLink(name, message)]

    def _replace_silent(self, now: float) -> list[Effect]:
        """Replace links to control hosts that bring no answers."""
        effects: list[Effect] = []
        for name, asked_at in list(self._asked_at.items()):
            if now - asked_at < LINK_SILENCE_TIMEOUT_S:
                continue
            self._asked_at[name] = now
            self.counters["links_replaced"] += 1
            effects.append(ReplaceLink(name))
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
        )


def make_single_replica(name: str) -> Replica:
    """Return the replica of a group of one on a new disk."""
    identity = ReplicaId(name, "single")
    recovered = Recovered(
        identity, 0, TermVote("", 0, None), LogBase(0, 0), None, [], 0
    )
    return Replica(recovered, [], Random(0), bootstrap=True)
