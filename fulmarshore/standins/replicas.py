"""A group of replica cores as one value, and the steps that lead from it.

Three replicas, every message in flight delivered in any order or never, any
replica standing for election at any time, restarts from disk, proposals and
handing over of the lead. Time stands still and disks sync at once: what
timeouts and late syncs do, the randomised runs try. Each step checks what must
stay true, and raises ``AssertionError`` where it does not.
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

Act = Callable[[Replica], list[Effect]]
Flight = dict[bytes, tuple[int, LinkMessage]]


class Limits(Struct, frozen=True):
    """How often each step may be taken on one way, and how far it goes."""

    stands: int = 2
    proposals: int = 1
    restarts: int = 0
    beats: int = 0
    transfers: int = 0
    states: int = 10_000


class World(Struct, frozen=True):
    """A state: replicas, messages in flight, and what must stay true.

    Parameters
    ----------
    replicas : tuple of Replica
        Never changed once they are in a state.
    flight : dict
        Messages in flight with their receivers, by their encoded form.
    used : Limits
        The steps taken so far.
    leaders : dict of int to int
        Who led in each term.
    committed : tuple of LogEntry
        The longest log that anybody has committed.
    way : tuple of str
        The steps that led here.
    """

    replicas: tuple[Replica, ...]
    flight: Flight
    used: Limits
    leaders: dict[int, int]
    committed: tuple[LogEntry, ...]
    way: tuple[str, ...]


def make_new() -> World:
    """Return a group of which nobody has led yet."""
    vote = TermVote("g", 0, None)
    replicas = tuple(_start(number, vote, []) for number in range(len(NAMES)))
    return World(replicas, {}, Limits(0, 0, 0, 0, 0, 0), {}, (), ())


def make_led() -> World:
    """Return a group that is led and in step, with nothing in flight."""
    new = make_new()
    world = _step(new, 0, "stands", _stand, {})
    while world.flight:
        world = next(list_next(world, new.used))
    return replace(world, way=())


def make_split() -> World:
    """Return a group whose last two leaders left an entry each, on one disk."""
    world = _step(make_led(), 0, "proposals", _propose, {})
    world = _step(replace(world, flight={}), 1, "stands", _stand, {})
    for receiver, kind in ((2, VoteRequest), (1, VoteReply)):
        for number, event in list(world.flight.values()):
            if number == receiver and isinstance(event.message, kind):
                act = _deliver(event)
                world = _step(world, number, "", act, {**world.flight})
    for number in (0, 1):
        world = _step(world, number, "restarts", _restart, {})
    return replace(world, way=())


def _start(number: int, vote: TermVote, entries: list[LogEntry]) -> Replica:
    snapshot = Snapshot(0, 0, Voters(list(IDENTITIES)), b"")
    disk = (LogBase(0, 0), snapshot, entries)
    recovered = Recovered(IDENTITIES[number], 1, vote, *disk, 0)
    peers = [name for name in NAMES if name != NAMES[number]]
    replica = Replica(recovered, peers, Random(0))
    replica.handle(Tick(), NOW)
    return replica


def list_next(world: World, limits: Limits) -> Iterator[World]:
    """Return every state that one step leads to."""
    for key, (number, event) in world.flight.items():
        flight = {other: held for other, held in world.flight.items() if other != key}
        name = f"{type(event.message).__name__} of {event.peer}"
        yield _step(world, number, name, _deliver(event), flight)
    for number, replica in enumerate(world.replicas):
        for kind, act in _list_acts(replica):
            taken = getattr(world.used, kind)
            if taken >= getattr(limits, kind):
                continue
            used = replace(world.used, **{kind: taken + 1})
            following = replace(world, used=used)
            yield _step(following, number, kind, act, world.flight)


def _list_acts(replica: Replica) -> list[tuple[str, Act]]:
    acts: list[tuple[str, Act]] = [("restarts", _restart)]
    if not replica.is_leader:
        return [*acts, ("stands", _stand)]
    acts += [
        ("beats", _beat),
        ("transfers", lambda leader: leader.transfer_leadership(NOW)),
    ]
    if replica.can_propose:
        acts.append(("proposals", _propose))
    return acts


def _deliver(event: LinkMessage) -> Act:
    return lambda replica: replica.handle(event, NOW)


def _stand(replica: Replica) -> list[Effect]:
    election.start_election(replica, NOW, for_transfer=True)
    return replica.take_effects(NOW)


def _beat(replica: Replica) -> list[Effect]:
    replication.broadcast_heartbeat(replica, NOW)
    return replica.take_effects(NOW)


def _propose(replica: Replica) -> list[Effect]:
    command = Expire(Identity(replica.identity.name, replica.log.last_index))
    return replica.propose(command, NOW)[1]


def _restart(replica: Replica) -> list[Effect]:
    """Lose everything but the disk; every write was synced."""
    entries = list(replica.log.entries)
    number = IDENTITIES.index(replica.identity)
    fresh = _start(number, TermVote("g", replica.term, replica.vote), entries)
    replica.__dict__ = fresh.__dict__
    return []


def _step(world: World, number: int, way: str, act: Act, flight: Flight) -> World:
    replica = world.replicas[number].copy()
    flight = dict(flight)
    effects = deque(act(replica))
    while effects:
        match effects.popleft():
            case Store(sequence=sequence):
                effects += replica.handle(Stored(sequence), NOW)
            case SendLink(peer=peer, message=message):
                event = LinkMessage(replica.identity.name, message)
                flight[encode((peer, message))] = (NAMES.index(peer), event)
    replicas = list(world.replicas)
    replicas[number] = replica
    leaders = dict(world.leaders)
    if replica.is_leader:
        held = leaders.setdefault(replica.term, number)
        assert held == number, "a term has one leader"
    committed = _check_committed(world.committed, replica)
    if replica.is_leader and replica.term == max(leaders):
        held = tuple(replica.log.entries[: len(committed)])
        assert held == committed, "a leader holds all that was committed"
    _check_logs(replicas, number)
    told = (*world.way, f"{NAMES[number]}: {way}")
    return World(tuple(replicas), flight, world.used, leaders, committed, told)


def _check_committed(
    committed: tuple[LogEntry, ...], replica: Replica
) -> tuple[LogEntry, ...]:
    """Check that nothing committed by anybody is lost, and return it all."""
    own = tuple(replica.log.entries[: replica.commit])
    common = min(len(own), len(committed))
    assert own[:common] == committed[:common], "a committed entry is never lost"
    return max(own, committed, key=len)


def _check_logs(replicas: list[Replica], number: int) -> None:
    """Check that logs that agree on an entry agree on all before it."""
    own = replicas[number].log.entries
    for other in replicas:
        entries = other.log.entries
        for index in reversed(range(min(len(own), len(entries)))):
            if own[index].term != entries[index].term:
                continue
            same = own[: index + 1] == entries[: index + 1]
            assert same, "logs match up to an entry of one term"
            break


def make_key(world: World) -> int:
    """Return what tells states apart."""
    replicas = tuple(replica.make_state_key() for replica in world.replicas)
    return hash((replicas, frozenset(world.flight), world.used))
