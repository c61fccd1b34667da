"""The core of one replica of the log: terms, roles, and what waits for the disk.

Elections, replication and snapshots are in their own modules as functions
over the replica. Nothing is acknowledged to anybody, and no own vote or entry
counts, before the disk has reported it synced.
"""

from __future__ import annotations

from collections import Counter
from copy import copy
from random import Random

from fulmarshore.agreement import election, joining, replication, snapshots, transfer
from fulmarshore.agreement.log import Log
from fulmarshore.agreement.progress import OwnEntries, OwnVote, Progress, Role
from fulmarshore.agreement.syncing import DiskQueue, Waiting
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    ApplyEntry,
    ChunkReply,
    Command,
    ControlMessage,
    DiskRecord,
    Effect,
    Event,
    FileHeader,
    Freshness,
    JoinReply,
    JoinRequest,
    LinkMessage,
    LogBase,
    LogEntry,
    Recovered,
    ReplicaId,
    RestoreSnapshot,
    SendLink,
    Snapshot,
    SnapshotChunk,
    Stored,
    TermVote,
    Tick,
    TimelineEvent,
    TimeoutNow,
    Truncation,
    VoteReply,
    VoteRequest,
    Voters,
)

REPLICA_REQUESTS = (VoteRequest, TimeoutNow, AppendRequest, SnapshotChunk, JoinRequest)
REPLICA_REPLIES = (VoteReply, AppendReply, ChunkReply, JoinReply)


class Replica:
    """One replica of the log.

    Parameters
    ----------
    recovered : Recovered
        What the disk holds.
    peers : list of str
        Names of the other control hosts.
    random : Random
        Source of the election timeouts.
    bootstrap : bool
        Start the group if no peer belongs to one.
    region : str
        Name of the region; empty where it is not told.
    fewest_voters : int or None
        A larger group removes a voter that is silent, as one that a new host
        of another name has replaced; None never does.
    starts_fast : bool
        Whether timeouts are short until a leader is heard.
    """

    def __init__(
        self,
        recovered: Recovered,
        peers: list[str],
        random: Random,
        bootstrap: bool = False,
        region: str = "",
        fewest_voters: int | None = None,
        starts_fast: bool = False,
    ) -> None:
        self.identity = recovered.replica
        self.region = region
        self.fewest_voters = fewest_voters
        self.starts_fast = starts_fast
        self.bootstrap_wait_s = joining.BOOTSTRAP_WAIT_S
        self.peers = list(peers)
        self.random = random
        self.bootstrap = bootstrap and not recovered.term_vote.group
        self.counters: Counter[str] = Counter()
        self.group = recovered.term_vote.group
        self.term = recovered.term_vote.term
        self.vote = recovered.term_vote.vote
        self.log = Log(recovered.base, list(recovered.entries))
        self.snapshot = recovered.snapshot
        self.generation = recovered.generation
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.commit = self.snapshot.index if self.snapshot else 0
        self.applied = self.commit
        self.voters = self._list_voters()
        self.progress: dict[ReplicaId, Progress] = {}
        self.votes: set[ReplicaId] = set()
        self.election_at: float | None = None
        self.leader_heard_at = float("-inf")
        self.is_in_step = False
        self.freshness = Freshness(0, 0)
        self.heartbeat_round = 0
        self.beat_at = float("-inf")
        self.joined_at = float("-inf")
        self.started_at: float | None = None
        self.chunk_bytes = snapshots.CHUNK_BYTES
        self.incoming: snapshots.Incoming | None = None
        self.transfer: transfer.Transfer | None = None
        self.is_ordered = False
        self._leader_of_term: tuple[int, ReplicaId] | None = None
        self._restored = False
        self._effects: list[Effect] = []
        self._disk = DiskQueue()

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads its group."""
        return self.role == Role.LEADER

    @property
    def is_accepting(self) -> bool:
        """Whether the replica leads and is not handing over the lead."""
        return self.is_leader and self.transfer is None

    @property
    def current_voters(self) -> list[ReplicaId]:
        """The replicas that vote, from the newest such entry in the log."""
        return self.voters[-1][1].replicas

    @property
    def is_voter(self) -> bool:
        """Whether the replica may stand for election."""
        return self.identity in self.current_voters

    @property
    def majority(self) -> int:
        """Votes that make a majority."""
        return len(self.current_voters) // 2 + 1

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        if self.started_at is None:
            self._start(now)
        match event:
            case Tick():
                self._tick(now)
            case Stored(sequence=sequence):
                self._disk.note_stored(sequence)
            case LinkMessage(peer=peer, message=message):
                self._receive(peer, message, now)
        return self.drain(now)

    def propose(self, command: Command, now: float) -> tuple[LogEntry, list[Effect]]:
        """Append a command to the leader's log."""
        assert self.is_accepting, "only a leader that keeps the lead proposes"
        entry = replication.append_command(self, command)
        replication.send_news(self, now)
        return entry, self.drain(now)

    def hand_over(self, now: float) -> list[Effect]:
        """Begin to hand over the lead to another voter."""
        transfer.begin(self, now)
        return self.drain(now)

    def compact(self, state: bytes, kept: int, now: float) -> list[Effect]:
        """Take a snapshot of the state at the last entry applied."""
        snapshots.compact(self, state, kept)
        return self.drain(now)

    def copy(self) -> Replica:
        """Return a replica in the same state that goes its own way."""
        twin = copy(self)
        twin.log = Log(self.log.base, list(self.log.entries))
        twin.voters = list(self.voters)
        twin.progress = {name: copy(held) for name, held in self.progress.items()}
        twin.votes = set(self.votes)
        twin.counters = Counter(self.counters)
        twin._effects = list(self._effects)
        twin._disk = self._disk.copy()
        return twin

    def describe(self) -> tuple:
        """Return what decides on the replica's next steps, but for time."""
        progress = frozenset(
            (name, held.next_index, held.match, held.waiting, held.is_known)
            for name, held in self.progress.items()
        )
        return (
            (
                self.term,
                self.vote,
                self.role,
                self.leader,
                self.commit,
                self.heartbeat_round,
            ),
            tuple((entry.term, entry.command) for entry in self.log.entries),
            progress,
            frozenset(self.votes),
            None if self.transfer is None else self.transfer.target,
            self.is_ordered,
        )

    def drain(self, now: float) -> list[Effect]:
        """Return the effects gathered, with the disk's part in one ``Store``."""
        while True:
            while (effect := self._disk.pop_ready()) is not None:
                self._carry_out(effect, now)
            store = self._disk.make_store()
            if store is None:
                break
            self.emit(store)
        effects = self._effects
        self._effects = []
        return effects

    # What the modules of the replica use.

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def note(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Add an event of the time line."""
        self.emit(TimelineEvent(kind, peer=peer, detail=detail))

    def emit_stored(self, effect: Waiting) -> None:
        """Add an effect that waits until everything so far is synced."""
        self._disk.hold(effect)

    def write(self, record: DiskRecord) -> None:
        """Append a record to the log file."""
        self._disk.write(record)

    def write_term(self) -> None:
        """Write group, term and vote to the log file."""
        self.write(TermVote(self.group, self.term, self.vote))

    def rewrite(self) -> None:
        """Replace the log file by all that the replica holds."""
        self.generation += 1
        self._disk.replace([FileHeader(self.identity, self.generation)])
        self.write_term()
        self.write(self.log.base)
        if self.snapshot is not None:
            self.write(self.snapshot)
        for entry in self.log.entries:
            self.write(entry)

    def step_down(self, term: int) -> None:
        """Become a follower, in a newer term with no vote given."""
        assert term >= self.term, "terms only go up"
        if term > self.term:
            self.term = term
            self.vote = None
            self.leader = None
            self.write_term()
        if self.role == Role.LEADER:
            self.note("leader_stepped_down", detail=f"term {self.term}")
            self.leader = None
        self.role = Role.FOLLOWER
        self.transfer = None
        self.progress = {}
        self.votes = set()

    def follow(self, leader: ReplicaId, now: float) -> None:
        """Take a replica as the leader of the current term."""
        self.claim_term(leader)
        if self.role != Role.FOLLOWER:
            self.step_down(self.term)
        if self.leader != leader:
            self.note("leader_known", peer=leader.name, detail=f"term {self.term}")
        self.leader = leader
        self.leader_heard_at = now
        election.reset_timeout(self, now)

    def claim_term(self, leader: ReplicaId) -> None:
        """Check that a term has only one leader."""
        if self._leader_of_term is not None and self._leader_of_term[0] == self.term:
            assert self._leader_of_term[1] == leader, "a term has one leader"
        self._leader_of_term = (self.term, leader)

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log and to the log file."""
        self.log.append(entry)
        self.write(entry)
        if isinstance(entry.command, Voters):
            self.voters.append((entry.index, entry.command))

    def truncate(self, index: int) -> None:
        """Drop entries that another leader has replaced."""
        assert index > self.commit, "a committed entry is never overwritten"
        self.log.truncate(index)
        self.write(Truncation(index))
        self.voters = [held for held in self.voters if held[0] < index]

    def advance_commit(self, index: int) -> None:
        """Commit the entries up to an index and hand them to the state."""
        assert index <= self.log.last_index, "only entries held are committed"
        self.commit = max(self.commit, index)
        while self.applied < self.commit:
            self.applied += 1
            self.emit(ApplyEntry(self.log.get(self.applied)))

    def install(self, snapshot: Snapshot) -> None:
        """Replace the state and the log up to a snapshot."""
        assert snapshot.index > self.commit, "versions only go up"
        held = self.log.base.index <= snapshot.index <= self.log.last_index
        if held and self.log.find_term(snapshot.index) == snapshot.term:
            self.log.drop_until(snapshot.index)
        else:
            self.log.reset(LogBase(snapshot.index, snapshot.term))
        self.snapshot = snapshot
        self.commit = snapshot.index
        self.applied = snapshot.index
        self.voters = self._list_voters()
        self.emit(RestoreSnapshot(snapshot))
        self.rewrite()

    def find_voters(self, index: int) -> Voters:
        """Return the voters in force at an index."""
        return [held for held in self.voters if held[0] <= index][-1][1]

    # The replica's own steps.

    def _start(self, now: float) -> None:
        self.started_at = now
        election.reset_timeout(self, now)
        if self.snapshot is not None:
            self.emit(RestoreSnapshot(self.snapshot))
        if self.generation == 0:
            self.rewrite()

    def _list_voters(self) -> list[tuple[int, Voters]]:
        first = self.snapshot.voters if self.snapshot else Voters([])
        index = self.snapshot.index if self.snapshot else 0
        found = [(index if self.snapshot else 0, first)]
        for entry in self.log.entries:
            if entry.index > index and isinstance(entry.command, Voters):
                found.append((entry.index, entry.command))
        return found

    def _tick(self, now: float) -> None:
        if self.is_leader:
            replication.tick_leader(self, now)
            return
        joining.tick(self, now)
        election.tick(self, now)

    def _receive(self, peer: str, message: ControlMessage, now: float) -> None:
        if isinstance(message, JoinRequest):
            joining.answer_join(self, peer, message, now)
            return
        if isinstance(message, JoinReply):
            joining.take_reply(self, message, now)
            return
        if not self._is_ours(message):
            return
        match message:
            case VoteRequest():
                election.answer_vote(self, peer, message, now)
            case VoteReply():
                election.take_vote(self, message, now)
            case TimeoutNow():
                transfer.take_order(self, message, now)
            case AppendRequest():
                replication.take_entries(self, peer, message, now)
            case AppendReply():
                replication.take_reply(self, message, now)
            case SnapshotChunk():
                snapshots.take_chunk(self, peer, message, now)
            case ChunkReply():
                snapshots.take_reply(self, message, now)

    def _is_ours(self, message: ControlMessage) -> bool:
        """Whether a message belongs to this group and is for this disk."""
        request = isinstance(
            message, VoteRequest | TimeoutNow | AppendRequest | SnapshotChunk
        )
        if request and message.target != self.identity:
            self.counters["dropped_other_disk"] += 1
            return False
        if message.group == self.group:
            return True
        if self.group or not isinstance(message, AppendRequest | SnapshotChunk):
            self.counters["dropped_other_group"] += 1
            return False
        joining.adopt_group(self, message.group)
        return True

    def _carry_out(self, effect: Waiting, now: float) -> None:
        match effect:
            case SendLink():
                self.emit(effect)
            case OwnVote(term=term):
                election.count_own(self, term, now)
            case OwnEntries(term=term, index=index):
                replication.count_own(self, term, index, now)
