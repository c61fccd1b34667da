"""The core of one replica of the log: term, role, log and pending disk writes.

Elections, replication, snapshots and joins are functions over the replica, in
modules of their own. Nothing is acknowledged, and no own vote or entry counts,
before the disk has reported it as synced.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from copy import copy
from itertools import chain
from random import Random

from fulmarshore.agreement import (
    election,
    joining,
    leaving,
    lostdisks,
    replication,
    snapshots,
    transfer,
)
from fulmarshore.agreement.diskqueue import DeferredEffect, DiskQueue
from fulmarshore.agreement.log import Log
from fulmarshore.agreement.progress import (
    OwnEntriesSynced,
    OwnVoteSynced,
    Progress,
    Role,
)
from fulmarshore.agreement.quorums import has_quorum
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    ApplyEntry,
    ChunkReply,
    Command,
    ControlMessage,
    DiskRecord,
    DiskReplaced,
    Effect,
    Event,
    FileHeader,
    Freshness,
    JoinReply,
    JoinRequest,
    LeaveGroup,
    LeaveGroupReply,
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
        State read from the disk.
    peers : list of str
        Names of the other control hosts.
    random : Random
        Source of randomness for election timeouts.
    bootstrap : bool
        Whether to start a new group if no peer belongs to one.
    region : str
        Name of the region; empty if it is not set.
    min_voters : int or None
        A group with more voters removes one that is unresponsive, such as a
        host that was replaced under a new name; None never removes any.
    starts_fast : bool
        Whether election timeouts are short until the first contact with a leader.
    names_are_addresses : bool
        Whether names of hosts are network addresses, so that no two disks can
        answer under one name at the same time.
    """

    def __init__(
        self,
        recovered: Recovered,
        peers: list[str],
        random: Random,
        bootstrap: bool = False,
        region: str = "",
        min_voters: int | None = None,
        starts_fast: bool = False,
        names_are_addresses: bool = False,
    ) -> None:
        self.identity = recovered.replica
        self.region = region
        self.min_voters = min_voters
        self.starts_fast = starts_fast
        self.names_are_addresses = names_are_addresses
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
        self.voter_configs = self._list_voters()
        self.progress: dict[ReplicaId, Progress] = {}
        self.votes: set[ReplicaId] = set()
        self.confirming_votes: set[ReplicaId] = set()
        self.lost_voters: frozenset[ReplicaId] = frozenset()
        self.lost_in_election: frozenset[ReplicaId] = frozenset()
        self.lost_round = 0
        self.leaving: dict[ReplicaId, leaving.Leave] = {}
        self.is_leaving = False
        self.has_left = False
        self.election_at: float | None = None
        self.leader_last_contact = float("-inf")
        self.is_caught_up = False
        self.freshness = Freshness(0, 0)
        self.heartbeat_round = 0
        self.last_heartbeat_at = float("-inf")
        self.join_requested_at = float("-inf")
        self.started_at: float | None = None
        self.chunk_bytes = snapshots.CHUNK_BYTES
        self.incoming: snapshots.IncomingSnapshot | None = None
        self.transfer: transfer.Transfer | None = None
        self.is_transfer_election = False
        self._leader_of_term: tuple[int, ReplicaId] | None = None
        self._restored = False
        self._effects: list[Effect] = []
        self._disk = DiskQueue()

    @property
    def is_leader(self) -> bool:
        """Whether the replica is the leader of its group."""
        return self.role == Role.LEADER

    @property
    def can_propose(self) -> bool:
        """Whether the replica is the leader and no leadership transfer is running."""
        return self.is_leader and self.transfer is None

    @property
    def current_voters(self) -> list[ReplicaId]:
        """The voters of the newest voter configuration in the log."""
        return self.voter_configs[-1][1].replicas

    @property
    def is_change_pending(self) -> bool:
        """Whether the newest change of the voters is not known to be committed."""
        return self.voter_configs[-1][0] > self.commit

    @property
    def configurations(self) -> list[list[ReplicaId]]:
        """The voters, and the former ones while a change is pending."""
        if not self.is_change_pending or len(self.voter_configs) == 1:
            return [self.current_voters]
        former = self.voter_configs[-2][1].replicas
        return [self.current_voters, former] if former else [self.current_voters]

    @property
    def all_voters(self) -> list[ReplicaId]:
        """The voters, with those that a pending change removes."""
        return list(dict.fromkeys(chain.from_iterable(self.configurations)))

    def list_lost(self) -> frozenset[ReplicaId]:
        """Return the voters whose disk is lost."""
        return self.lost_voters.intersection(self.all_voters)

    def has_quorum(
        self,
        members: Collection[ReplicaId],
        confirmed: Collection[ReplicaId],
        lost: Collection[ReplicaId],
    ) -> bool:
        """Return whether replicas make up a quorum; see the module ``quorums``.

        Half of the voters suffice only in a group larger than ``min_voters``: half of
        a smaller one is no more copies of an entry than may be lost.
        """
        minimum = self.min_voters or 0
        return all(
            has_quorum(
                voters, members, confirmed, lost if len(voters) > minimum else ()
            )
            for voters in self.configurations
        )

    @property
    def is_voter(self) -> bool:
        """Whether the replica can vote and be elected."""
        return self.identity in self.current_voters

    @property
    def majority(self) -> int:
        """Number of votes that make a majority."""
        return len(self.current_voters) // 2 + 1

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process one event and return the effects to carry out."""
        if self.started_at is None:
            self._start(now)
        match event:
            case Tick():
                self._tick(now)
            case Stored(sequence=sequence):
                self._disk.mark_synced(sequence)
            case LinkMessage(peer=peer, message=message):
                self._handle_message(peer, message, now)
        return self.take_effects(now)

    def propose(self, command: Command, now: float) -> tuple[LogEntry, list[Effect]]:
        """Append a command to the leader's log."""
        assert self.can_propose, "only a leader without a transfer can propose"
        entry = replication.append_command(self, command)
        replication.send_new_entries(self, now)
        return entry, self.take_effects(now)

    def transfer_leadership(self, now: float) -> list[Effect]:
        """Start a transfer of leadership to another voter."""
        transfer.begin(self, now)
        return self.take_effects(now)

    def leave(self, now: float) -> list[Effect]:
        """Prepare to stop: hand over leadership, and the vote if it can be spared."""
        self.is_leaving = True
        self.has_left = not self.is_voter
        return self.transfer_leadership(now)

    def compact(self, state: bytes, retained_entries: int, now: float) -> list[Effect]:
        """Take a snapshot at the last applied entry and compact the log.

        Parameters
        ----------
        state : bytes
            The encoded state after that entry.
        retained_entries : int
            Entries before the snapshot to keep for followers that lag a little.
        now : float
            Current time in seconds.
        """
        snapshots.compact(self, state, retained_entries)
        return self.take_effects(now)

    def copy(self) -> Replica:
        """Return an independent copy of the replica."""
        clone = copy(self)
        clone.log = Log(self.log.base, list(self.log.entries))
        clone.voter_configs = list(self.voter_configs)
        clone.progress = {
            name: copy(peer_progress) for name, peer_progress in self.progress.items()
        }
        clone.votes = set(self.votes)
        clone.confirming_votes = set(self.confirming_votes)
        clone.leaving = dict(self.leaving)
        clone.counters = Counter(self.counters)
        clone._effects = list(self._effects)
        clone._disk = self._disk.copy()
        return clone

    def make_state_key(self) -> tuple:
        """Return a hashable key of all state that decides the next steps, but time."""
        progress = frozenset(
            (
                name,
                peer_progress.next_index,
                peer_progress.match,
                peer_progress.is_awaiting_reply,
                peer_progress.has_match,
            )
            for name, peer_progress in self.progress.items()
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
            frozenset(self.confirming_votes),
            self.lost_voters,
            self.lost_in_election,
            self.lost_round,
            None if self.transfer is None else self.transfer.target,
            self.is_transfer_election,
        )

    def take_effects(self, now: float) -> list[Effect]:
        """Return and clear the collected effects, with all writes in one ``Store``."""
        while True:
            while (effect := self._disk.pop_ready()) is not None:
                self._run_synced(effect, now)
            store = self._disk.make_store()
            if store is None:
                break
            self.emit(store)
        effects = self._effects
        self._effects = []
        return effects

    # Used by the modules that work on the replica.

    def emit(self, effect: Effect) -> None:
        """Queue an effect."""
        self._effects.append(effect)

    def record_event(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Queue a timeline event."""
        self.emit(TimelineEvent(kind, peer=peer, detail=detail))

    def emit_when_synced(self, effect: DeferredEffect) -> None:
        """Queue an effect that is deferred until all records so far are synced."""
        self._disk.defer(effect)

    def write(self, record: DiskRecord) -> None:
        """Append a record to the log file."""
        self._disk.write(record)

    def write_term(self) -> None:
        """Append group, term and vote to the log file."""
        self.write(TermVote(self.group, self.term, self.vote))

    def rewrite_log_file(self) -> None:
        """Replace the log file by the current state of the replica."""
        self.generation += 1
        self._disk.replace([FileHeader(self.identity, self.generation)])
        self.write_term()
        self.write(self.log.base)
        if self.snapshot is not None:
            self.write(self.snapshot)
        for entry in self.log.entries:
            self.write(entry)

    def step_down(self, term: int) -> None:
        """Become a follower; a newer term starts without a vote."""
        assert term >= self.term, "terms never decrease"
        if term > self.term:
            self.term = term
            self.vote = None
            self.leader = None
            self.write_term()
        if self.role == Role.LEADER:
            self.record_event("leader_stepped_down", detail=f"term {self.term}")
            self.leader = None
        self.role = Role.FOLLOWER
        self.transfer = None
        self.progress = {}
        self.votes = set()
        self.confirming_votes = set()
        self.leaving = {}

    def follow(self, leader: ReplicaId, now: float) -> None:
        """Accept a replica as the leader of the current term."""
        self.record_term_leader(leader)
        if self.role != Role.FOLLOWER:
            self.step_down(self.term)
        if self.leader != leader:
            self.record_event(
                "leader_known", peer=leader.name, detail=f"term {self.term}"
            )
        self.leader = leader
        self.leader_last_contact = now
        election.reset_timeout(self, now)

    def record_term_leader(self, leader: ReplicaId) -> None:
        """Record the leader of the current term and assert that it is the only one."""
        if self._leader_of_term is not None and self._leader_of_term[0] == self.term:
            assert self._leader_of_term[1] == leader, "a term has one leader"
        self._leader_of_term = (self.term, leader)

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log in memory and on disk."""
        self.log.append(entry)
        self.write(entry)
        if isinstance(entry.command, Voters):
            self.voter_configs.append((entry.index, entry.command))

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on, which conflict with a newer leader's."""
        assert index > self.commit, "a committed entry is never overwritten"
        self.log.truncate(index)
        self.write(Truncation(index))
        self.voter_configs = [
            config for config in self.voter_configs if config[0] < index
        ]

    def advance_commit(self, index: int) -> None:
        """Commit and apply the entries up to an index."""
        assert index <= self.log.last_index, "only entries in the log are committed"
        self.commit = max(self.commit, index)
        while self.applied < self.commit:
            self.applied += 1
            self.emit(ApplyEntry(self.log.get(self.applied)))

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state, and the log up to the snapshot's index, by a snapshot."""
        assert snapshot.index > self.commit, "the commit index never decreases"
        is_in_log = self.log.base.index <= snapshot.index <= self.log.last_index
        if is_in_log and self.log.find_term(snapshot.index) == snapshot.term:
            self.log.drop_until(snapshot.index)
        else:
            self.log.reset(LogBase(snapshot.index, snapshot.term))
        self.snapshot = snapshot
        self.commit = snapshot.index
        self.applied = snapshot.index
        self.voter_configs = self._list_voters()
        self.emit(RestoreSnapshot(snapshot))
        self.rewrite_log_file()

    def get_voters_at(self, index: int) -> Voters:
        """Return the voter configuration in effect at an index."""
        return [config for config in self.voter_configs if config[0] <= index][-1][1]

    # Internal steps.

    def _start(self, now: float) -> None:
        self.started_at = now
        election.reset_timeout(self, now)
        if self.snapshot is not None:
            self.emit(RestoreSnapshot(self.snapshot))
        if self.generation == 0:
            self.rewrite_log_file()

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
        if self.is_leaving:
            leaving.tick(self)
        else:
            joining.tick(self, now)
        election.tick(self, now)

    def _handle_message(self, peer: str, message: ControlMessage, now: float) -> None:
        if isinstance(message, JoinRequest):
            joining.handle_join_request(self, peer, message, now)
            return
        if isinstance(message, JoinReply):
            joining.handle_reply(self, message, now)
            return
        if not self._is_for_this_replica(peer, message):
            return
        match message:
            case VoteRequest():
                election.handle_vote_request(self, peer, message, now)
            case VoteReply():
                election.handle_vote_reply(self, message, now)
            case DiskReplaced():
                lostdisks.handle_replaced(self, peer, message)
            case LeaveGroup():
                leaving.handle_request(self, peer, message, now)
            case LeaveGroupReply():
                leaving.handle_reply(self)
            case TimeoutNow():
                transfer.handle_timeout_now(self, message, now)
            case AppendRequest():
                replication.handle_append_request(self, peer, message, now)
            case AppendReply():
                replication.handle_reply(self, message, now)
            case SnapshotChunk():
                snapshots.handle_chunk(self, peer, message, now)
            case ChunkReply():
                snapshots.handle_reply(self, message, now)

    def _is_for_this_replica(self, peer: str, message: ControlMessage) -> bool:
        """Return whether a message is for this group and this disk.

        A replica without a group adopts that of a leader.
        """
        request = isinstance(
            message, VoteRequest | TimeoutNow | AppendRequest | SnapshotChunk
        )
        if request and message.target != self.identity:
            self.counters["dropped_other_disk"] += 1
            lostdisks.report_replaced(self, peer, message)
            return False
        if message.group == self.group:
            return True
        if self.group or not isinstance(message, AppendRequest | SnapshotChunk):
            self.counters["dropped_other_group"] += 1
            return False
        joining.adopt_group(self, message.group)
        return True

    def _run_synced(self, effect: DeferredEffect, now: float) -> None:
        match effect:
            case SendLink():
                self.emit(effect)
            case OwnVoteSynced(term=term):
                election.handle_synced(self, term, now)
            case OwnEntriesSynced(term=term, index=index):
                replication.handle_synced(self, term, index, now)
