"""The state of a group of replica cores, and its successors, for model checking.

There are three replicas. Steps are: delivery of a message in flight, in any order
or never, an election started by any replica, a restart from disk, a proposal, a
heartbeat round and a leadership transfer. Time does not advance and disks sync at
once; timeouts and late syncs are left to the randomised tests. Each step checks
the invariants and raises ``AssertionError`` if one is violated.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.agreement import election, replication
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Effect,
    Expire,
    Identity,
    LinkMessage,
    LogBase,
    LogEntry,
    Recovered,
    ReplicaId,
    SendLink,
    Snapshot,
    Store,
    Stored,
    TermVote,
    Tick,
    VoteReply,
    VoteRequest,
    Voters,
)

NAMES = ("a", "b", "c")
IDENTITIES = tuple(ReplicaId(name, "disk") for name in NAMES)
NOW = 0.0

Action = Callable[[Replica], list[Effect]]
InFlight = dict[bytes, tuple[int, LinkMessage]]


class Limits(Struct, frozen=True):
    """How often each kind of step may occur in a trace, and states to visit."""

    stands: int = 2
    proposals: int = 1
    restarts: int = 0
    beats: int = 0
    transfers: int = 0
    states: int = 10_000


class GroupState(Struct, frozen=True):
    """A state of the group, with the history that the invariants need.

    Parameters
    ----------
    replicas : tuple of Replica
        The replicas; a step copies the one that it changes.
    in_flight : dict
        Messages in flight with their receivers, by encoded message.
    used : Limits
        Number of steps of each kind so far.
    leaders : dict of int to int
        Number of the leader of each term.
    committed : tuple of LogEntry
        The longest log that any replica has committed.
    trace : tuple of str
        The steps that led here.
    """

    replicas: tuple[Replica, ...]
    in_flight: InFlight
    used: Limits
    leaders: dict[int, int]
    committed: tuple[LogEntry, ...]
    trace: tuple[str, ...]


def make_new() -> GroupState:
    """Return a new group without a leader."""
    vote = TermVote("g", 0, None)
    replicas = tuple(_start(number, vote, []) for number in range(len(NAMES)))
    return GroupState(replicas, {}, Limits(0, 0, 0, 0, 0, 0), {}, (), ())


def make_with_leader() -> GroupState:
    """Return a group with a leader, equal logs and no messages in flight."""
    new = make_new()
    state = _step(new, 0, "stands", _start_election, {})
    while state.in_flight:
        state = next(list_successors(state, new.used))
    return replace(state, trace=())


def make_diverged() -> GroupState:
    """Return a group whose last two leaders each have an uncommitted entry.

    Each entry is on the disk of its leader only.
    """
    state = _step(make_with_leader(), 0, "proposals", _propose, {})
    state = _step(replace(state, in_flight={}), 1, "stands", _start_election, {})
    for receiver, kind in ((2, VoteRequest), (1, VoteReply)):
        for number, event in list(state.in_flight.values()):
            if number == receiver and isinstance(event.message, kind):
                action = _deliver(event)
                state = _step(state, number, "", action, {**state.in_flight})
    for number in (0, 1):
        state = _step(state, number, "restarts", _restart, {})
    return replace(state, trace=())


def _start(number: int, vote: TermVote, entries: list[LogEntry]) -> Replica:
    snapshot = Snapshot(0, 0, Voters(list(IDENTITIES)), b"")
    disk = (LogBase(0, 0), snapshot, entries)
    recovered = Recovered(IDENTITIES[number], 1, vote, *disk, 0)
    peers = [name for name in NAMES if name != NAMES[number]]
    replica = Replica(recovered, peers, Random(0))
    replica.handle(Tick(), NOW)
    return replica


def list_successors(state: GroupState, limits: Limits) -> Iterator[GroupState]:
    """Return every state that is reached by one step."""
    for key, (number, event) in state.in_flight.items():
        in_flight = {
            other: held for other, held in state.in_flight.items() if other != key
        }
        name = f"{type(event.message).__name__} of {event.peer}"
        yield _step(state, number, name, _deliver(event), in_flight)
    for number, replica in enumerate(state.replicas):
        for kind, action in _list_actions(replica):
            taken = getattr(state.used, kind)
            if taken >= getattr(limits, kind):
                continue
            used = replace(state.used, **{kind: taken + 1})
            successor = replace(state, used=used)
            yield _step(successor, number, kind, action, state.in_flight)


def _list_actions(replica: Replica) -> list[tuple[str, Action]]:
    actions: list[tuple[str, Action]] = [("restarts", _restart)]
    if not replica.is_leader:
        return [*actions, ("stands", _start_election)]
    actions += [
        ("beats", _send_heartbeats),
        ("transfers", lambda leader: leader.transfer_leadership(NOW)),
    ]
    if replica.can_propose:
        actions.append(("proposals", _propose))
    return actions


def _deliver(event: LinkMessage) -> Action:
    return lambda replica: replica.handle(event, NOW)


def _start_election(replica: Replica) -> list[Effect]:
    election.start_election(replica, NOW, for_transfer=True)
    return replica.take_effects(NOW)


def _send_heartbeats(replica: Replica) -> list[Effect]:
    replication.broadcast_heartbeat(replica, NOW)
    return replica.take_effects(NOW)


def _propose(replica: Replica) -> list[Effect]:
    command = Expire(Identity(replica.identity.name, replica.log.last_index))
    return replica.propose(command, NOW)[1]


def _restart(replica: Replica) -> list[Effect]:
    """Restart a replica from its disk, to which every write was synced."""
    entries = list(replica.log.entries)
    number = IDENTITIES.index(replica.identity)
    fresh = _start(number, TermVote("g", replica.term, replica.vote), entries)
    replica.__dict__ = fresh.__dict__
    return []


def _step(
    state: GroupState, number: int, label: str, action: Action, in_flight: InFlight
) -> GroupState:
    replica = state.replicas[number].copy()
    in_flight = dict(in_flight)
    effects = deque(action(replica))
    while effects:
        match effects.popleft():
            case Store(sequence=sequence):
                effects += replica.handle(Stored(sequence), NOW)
            case SendLink(peer=peer, message=message):
                event = LinkMessage(replica.identity.name, message)
                in_flight[encode((peer, message))] = (NAMES.index(peer), event)
    replicas = list(state.replicas)
    replicas[number] = replica
    leaders = dict(state.leaders)
    if replica.is_leader:
        held = leaders.setdefault(replica.term, number)
        assert held == number, "a term has one leader"
    committed = _check_committed(state.committed, replica)
    if replica.is_leader and replica.term == max(leaders):
        held = tuple(replica.log.entries[: len(committed)])
        assert held == committed, "a leader has every committed entry"
    _check_logs(replicas, number)
    extended_trace = (*state.trace, f"{NAMES[number]}: {label}")
    return GroupState(
        tuple(replicas), in_flight, state.used, leaders, committed, extended_trace
    )


def _check_committed(
    committed: tuple[LogEntry, ...], replica: Replica
) -> tuple[LogEntry, ...]:
    """Check that no committed entry is lost; return the longest committed log."""
    own = tuple(replica.log.entries[: replica.commit])
    common = min(len(own), len(committed))
    assert own[:common] == committed[:common], "a committed entry is never lost"
    return max(own, committed, key=len)


def _check_logs(replicas: list[Replica], number: int) -> None:
    """Check that two logs with an equal entry agree on all entries before it."""
    own = replicas[number].log.entries
    for other in replicas:
        entries = other.log.entries
        for index in reversed(range(min(len(own), len(entries)))):
            if own[index].term != entries[index].term:
                continue
            same = own[: index + 1] == entries[: index + 1]
            assert same, "logs with an equal entry agree on all before it"
            break


def make_key(state: GroupState) -> int:
    """Return a hash that identifies a state."""
    replicas = tuple(replica.make_state_key() for replica in state.replicas)
    return hash((replicas, frozenset(state.in_flight), state.used))
