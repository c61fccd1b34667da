"""A simulated group of control hosts, and operators that record a history.

Used by the tests of agreement and membership. Network and disks are simulated;
entry hosts and agents are added by the tests that need them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fulmarshore.agreement.joining import recover_as_only_voter
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    Change,
    ChangeReply,
    ChangeStatus,
    DamagedFile,
    Effect,
    Event,
    LinkMessage,
    LogBase,
    LogEntry,
    Profile,
    Recovered,
    ReplicaId,
    SendLink,
    Stop,
    Stopped,
    TermVote,
    TrafficKind,
)
from fulmarshore.membership.control import SNAPSHOT_ENTRIES, ControlCore
from fulmarshore.standins.disk import FakeDisk
from fulmarshore.standins.network import FakeNetwork, Faults, Node

OPERATOR_TIMEOUT_S = 0.7
TICK_INTERVAL_S = 0.1
CHUNK_BYTES = 200
FINAL_STATUSES = (
    ChangeStatus.ACCEPTED,
    ChangeStatus.CONFLICT,
    ChangeStatus.INVALID,
    ChangeStatus.PRUNED,
)


@dataclass(slots=True)
class Operation:
    """A change with the times and the reply that its operator saw."""

    change: Change
    invoked: float
    answered: float = float("inf")
    reply: ChangeReply | None = None


@dataclass(slots=True)
class Operator:
    """Submits one change after the other, and retries after a lost reply."""

    name: str
    controls: list[str]
    random: Random
    number: int = 1
    history: list[Operation] = field(default_factory=list)
    stopped: bool = False
    sent_at: float = float("-inf")
    serial: int = 0

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process a reply, or send the pending change when it is due."""
        pending = self.history[-1] if self.history else None
        if pending is not None and pending.reply is not None:
            pending = None
        if isinstance(event, LinkMessage) and isinstance(event.message, ChangeReply):
            return self._handle_reply(pending, event.message, now)
        if pending is None:
            if self.stopped:
                return []
            pending = self._start_operation(now)
        if now - self.sent_at < OPERATOR_TIMEOUT_S:
            return []
        return self._send_change(pending, now)

    def _start_operation(self, now: float) -> Operation:
        self.serial += 1
        profile = Profile("p", TrafficKind.FEED, queue_length=self.serial)
        change = Change(self.number, self.name, [profile], [])
        self.sent_at = float("-inf")
        self.history.append(Operation(change, now))
        return self.history[-1]

    def _send_change(self, operation: Operation, now: float) -> list[Effect]:
        self.sent_at = now
        return [SendLink(self.random.choice(self.controls), operation.change)]

    def _handle_reply(
        self, operation: Operation | None, reply: ChangeReply, now: float
    ) -> list[Effect]:
        if operation is None or reply.number != operation.change.number:
            return []
        if reply.status not in FINAL_STATUSES:
            return []
        if reply.status == ChangeStatus.CONFLICT and reply.winner == self.name:
            # A late reply to an earlier operation with the same number.
            return []
        operation.reply = reply
        operation.answered = now
        self.number = max(reply.next_number, self.number)
        return []


class Region:
    """Control hosts with disks, and the checks of what they must agree on.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    hosts : int
        Number of control hosts.
    faults : Faults
        Faults of messages.
    snapshot_entries : int
        Log entries between two snapshots.
    running : int or None
        Number of hosts that start; None starts all and waits until they vote.
    network : FakeNetwork or None
        Network of the hosts; None creates one.
    region : str
        Name of the region.
    prefix : str
        Prefix of the hosts' names.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 3,
        faults: Faults | None = None,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        running: int | None = None,
        network: FakeNetwork | None = None,
        region: str = "",
        prefix: str = "c",
    ) -> None:
        self.region = region
        self.snapshot_entries = snapshot_entries
        self.network = network or FakeNetwork(seed, faults, TICK_INTERVAL_S)
        self.random = Random(seed)
        self.names = [f"{prefix}{number}" for number in range(hosts)]
        self.disks = {name: FakeDisk(name, self.random) for name in self.names}
        self.operators: list[Operator] = []
        self.leaders: dict[int, ReplicaId] = {}
        self.entries: dict[int, LogEntry] = {}
        self.checked: dict[str, int] = {}
        self.stopping: set[str] = set()
        for name in self.names[:running]:
            self.start(name, bootstrap=name == self.names[0])
        self.run_until(self.has_all_voters if running is None else self._has_leader)

    def run_until(self, reached: Callable[[], bool], limit: float = 12.0) -> bool:
        """Run until a condition holds; False if it does not within the limit."""
        until = self.network.now + limit
        while self.network.now < until:
            if reached():
                return True
            self.network.run(0.25)
        return reached()

    def is_settled(self) -> bool:
        """Return whether all replicas vote and agree, and no operator waits."""
        for operator in self.operators:
            if operator.history and operator.history[-1].reply is None:
                return False
        if not self.has_all_voters():
            return False
        states = [self.get(name).state for name in self.names]
        return all(state.index == states[0].index for state in states)

    def start(
        self, name: str, bootstrap: bool = False, recover: bool = False
    ) -> Recovered | DamagedFile:
        """Start a host with the state of its disk, as the daemon does."""
        disk = self.disks[name]
        outcome = self._make_new(name) if disk.is_empty else disk.read()
        recovered = outcome
        if isinstance(outcome, DamagedFile):
            disk.wipe()
            recovered = self._make_new(name)
        peers = [peer for peer in self.names if peer != name]
        replica = Replica(recovered, peers, self.random, bootstrap, self.region)
        if recover:
            recover_as_only_voter(replica)
        replica.chunk_bytes = CHUNK_BYTES
        core = ControlCore(name, replica, self.snapshot_entries)
        self.network.add(name, core, observe=self._observe, disk=disk)
        self.checked[name] = 0
        return outcome

    def get(self, name: str) -> ControlCore:
        """Return the core of a host."""
        return self.network.nodes[name].core

    def is_running(self, name: str) -> bool:
        """Return whether a host runs."""
        return name in self.network.nodes and self.network.nodes[name].running

    def crash(self, name: str) -> None:
        """Crash a host; unsynced writes are lost."""
        self.check()
        self.stopping.discard(name)
        self.network.stop(name)
        self.disks[name].crash()

    def stop(self, name: str) -> None:
        """Begin the planned stop of a host; it ends with the core's ``Stopped``."""
        if self.is_running(name):
            self.stopping.add(name)
            self.network.inject(name, Stop())

    def wipe(self, name: str) -> None:
        """Crash a host, replace its disk with an empty one, and start it again."""
        self.crash(name)
        self.disks[name].wipe()
        self.start(name)

    def isolate(self, name: str) -> None:
        """Drop all messages between a host and the other hosts."""
        others = [other for other in self.names if other != name]
        self.network.partition([name], others)

    def find_leader(self) -> ControlCore | None:
        """Return the running leader of the newest term, or None."""
        leaders = []
        for name in self.names:
            if not self.is_running(name):
                continue
            core = self.get(name)
            if core.replica.is_leader:
                leaders.append(core)
        return max(leaders, key=lambda core: core.replica.term, default=None)

    def has_all_voters(self) -> bool:
        """Return whether every host is a voter of the committed configuration."""
        leader = self.find_leader()
        if (
            leader is None
            or leader.replica.voter_configs[-1][0] > leader.replica.commit
        ):
            return False
        own = {self.get(name).replica.identity for name in self.names}
        return own == set(leader.replica.current_voters)

    def add_operators(self, count: int) -> None:
        """Add operators that submit changes concurrently."""
        for number in range(count):
            operator = Operator(f"op{number}", self.names, self.random)
            self.operators.append(operator)
            self.network.add(operator.name, operator)

    def stop_operators(self) -> None:
        """Let the operators finish their pending changes and begin no more."""
        for operator in self.operators:
            operator.stopped = True

    def settle(self) -> bool:
        """End all faults, start every host, and run until ``is_settled``."""
        self.network.heal()
        self.network.resume_all()
        self.network.faults = Faults()
        assert self.run_until(lambda: not self.stopping), "a planned stop ends"
        for name in self.names:
            if not self.is_running(name):
                self.start(name)
        self.stop_operators()
        settled = self.run_until(self.is_settled)
        self.check()
        return settled

    def check(self) -> None:
        """Check that committed entries agree and that each term has one leader."""
        for name in self.names:
            if self.is_running(name):
                self._check_host(name)

    def _observe(self, node: Node, effect: Effect, now: float) -> None:
        self.network.outbox.append((now, node.name, effect))
        if isinstance(effect, Stopped):
            self.crash(node.name)

    def _has_leader(self) -> bool:
        return self.find_leader() is not None

    def _check_host(self, name: str) -> None:
        replica = self.get(name).replica
        if replica.is_leader:
            held = self.leaders.setdefault(replica.term, replica.identity)
            assert held == replica.identity, "a term has one leader"
        first = max(self.checked[name], replica.log.base.index)
        for index in range(first + 1, replica.commit + 1):
            entry = replica.log.get(index)
            held = self.entries.setdefault(index, entry)
            assert held == entry, f"{name} committed another entry at {index}"
        self.checked[name] = max(self.checked[name], replica.commit)

    def _make_new(self, name: str) -> Recovered:
        identity = ReplicaId(name, f"{self.random.getrandbits(32):08x}")
        return Recovered(identity, 0, TermVote("", 0, None), LogBase(0, 0), None, [], 0)
