"""Core of a control host: orders, the replicated log, and updates to subscribers.

The leader answers an order once it is committed. It answers a read once a majority
has confirmed its leadership after the read arrived. Reads use no lease, since a host
may freeze and resume without noticing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from fulmarshore.agreement import replication
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    ApplyEntry,
    Command,
    Effect,
    LinkMessage,
    PutConfiguration,
    RestoreSnapshot,
    SendLink,
    Store,
    Stored,
    Tick,
    TimelineEvent,
)
from fulmarshore.direct.controlrecords import (
    CONTROL_PORT,
    KnownSubscriber,
    Order,
    OrderAccepted,
    PollReceived,
    Read,
    ReadResult,
    RedirectToLeader,
    SendUpdate,
    StoreSubscribers,
)
from fulmarshore.direct.directory import AgentDirectory
from fulmarshore.direct.lostflows import LostFlowNotifier
from fulmarshore.direct.orders import (
    OrderState,
    apply_order,
    decode_state,
    encode_state,
)
from fulmarshore.direct.records import (
    AgentReport,
    Decision,
    KeptFlows,
    Poll,
    StopCompleted,
    Stopping,
    Table,
    Ticked,
    Update,
    UpdateReceived,
    encode_table,
)

SNAPSHOT_INTERVAL_ENTRIES = 64
"""Log entries between two snapshots: a configuration has up to 256 KB before it is
compressed, and a disk has 64 MB."""
RETAINED_ENTRIES = 32
"""Log entries kept before a snapshot, for hosts that are slightly behind."""
ORDER_TIMEOUT_S = 0.9
"""After this the outcome of an order is reported as unknown: operators wait 1 s."""
SUBSCRIBER_TIMEOUT_S = 3.0
"""A process that did not poll for this long, six poll intervals, gets no more
updates."""
EXPIRY_SCAN_INTERVAL_S = 0.25
"""Interval of the check for agents that stopped reporting: a tenth of their timeout."""
PUSH_INTERVAL_S = 0.1
"""Shortest interval between two tables pushed to one subscriber."""
DIRECTORY_PUSH_INTERVAL_S = 0.2
"""Shortest interval between two pushed updates of the agent directory. Processes poll
every 0.5 s anyway, and a flow that an agent refuses is offered to others."""
VOTER_ANNOUNCE_INTERVAL_S = 0.5
"""Interval at which control hosts that do not vote get the list of voters, the same
as that of polls."""
STARTUP_S = 5.0
"""Time after a start in which the voters are announced at each tick: other hosts may
start as well and know no voter."""
SUBSCRIBER_STORE_INTERVAL_S = 2.0
"""Interval of the check whether the set of subscribers has changed."""
DEPARTURE_STORE_INTERVAL_S = 0.2
"""The same interval after an upstream has ended: until that is stored, a restart takes
its agent for a missing one, and flows that nobody holds are left without an answer."""
STOP_TIMEOUT_S = 1.5
"""How long a planned stop waits for the transfer of leadership and of the vote."""


class Subscriber(Struct):
    """A process that polls this host.

    Parameters
    ----------
    host, port : str, int
        Address for updates.
    poll : Poll
        Its newest poll.
    polled_at, table_pushed_at : float
        When it polled last, and when a table was pushed to it.
    index, pushed_index : int
        Log index of the table that it has, and of the last one pushed to it.
    poll_number : int
        Number of its last numbered poll.
    """

    host: str
    port: int
    poll: Poll
    polled_at: float
    table_pushed_at: float = float("-inf")
    index: int = 0
    pushed_index: int = 0
    poll_number: int = 0


class PendingRequest(Struct):
    """An order or a read that is not answered yet.

    Parameters
    ----------
    request : int
        Number that the daemon gave the request.
    term : int
        Term in which it was accepted.
    index : int
        Log index of the order; 0 for a read, and for a configuration whose version is
        not newer than the one in force.
    heartbeat_round : int
        Heartbeat round that a majority has to acknowledge, if ``index`` is 0.
    deadline : float
        When it is abandoned.
    command : Command or None
        The command of an order; None for a read.
    """

    request: int
    term: int
    index: int
    heartbeat_round: int
    deadline: float
    command: Command | None = None


class ControlCore:
    """Accepts orders into the replicated log and distributes the resulting table.

    Parameters
    ----------
    replica : Replica
        Replica of the log on this host.
    process : int
        Random number of this process.
    lost_disks : int
        Disks that may be lost at once; orders are accepted only while a majority
        of the group is larger.
    make_table : callable
        Builds the table of a state; raises ``ValueError`` if its content is not
        readable.
    known_subscribers : tuple of KnownSubscriber
        Processes that polled this host before its restart.
    notifies_lost_flows : bool
        Whether callers are notified of kept flows whose upstream has ended.
    """

    def __init__(
        self,
        replica: Replica,
        process: int,
        lost_disks: int,
        make_table: Callable[[OrderState], Table],
        known_subscribers: tuple[KnownSubscriber, ...] = (),
        notifies_lost_flows: bool = True,
    ) -> None:
        self.replica = replica
        self.state = OrderState()
        self.counters: Counter[str] = Counter()
        self.lost_flows = LostFlowNotifier(self.counters, notifies_lost_flows)
        self.directory = AgentDirectory(process)
        self._lost_disks = lost_disks
        self._make_table = make_table
        self._table = Table()
        self._encoded = b""
        self._subscribers: dict[tuple[str, int], Subscriber] = {}
        self._pending: list[PendingRequest] = []
        self._stop_at: float | None = None
        self._last_expiry_at = float("-inf")
        self._pushed_revision = 0
        self._directory_pushed_at = float("-inf")
        self._voters_announced_at = float("-inf")
        self._known_subscribers = known_subscribers
        self._subscribers_stored_at = float("-inf")
        self._has_departures = False
        self._is_table_due = False
        self._started_at = float("inf")

    @property
    def is_ready(self) -> bool:
        """Whether this host knows a leader."""
        return self.replica.leader is not None

    @property
    def table(self) -> Table:
        """The newest table of this host."""
        return self._table

    def replace_seeds(self, seeds: list[str]) -> None:
        """Add the seeds of changed settings as peers."""
        for seed in seeds:
            self._add_peer(seed)

    def handle(self, event: object, now: float) -> list:
        """Process one event and return its effects."""
        if self._started_at > now:
            self._start(now)
        match event:
            case PollReceived():
                return self._handle_poll(event, now)
            case LinkMessage(peer=peer):
                self._add_peer(peer)
                return self._apply_effects(self.replica.handle(event, now), now)
            case Stored():
                return self._apply_effects(self.replica.handle(event, now), now)
            case KeptFlows():
                self.lost_flows.handle_kept_flows(event, now)
                return []
            case UpdateReceived(update=update):
                for host in update.controls:
                    self._add_peer(host)
                return []
            case Ticked():
                return self._handle_tick(now)
            case Order():
                return self._handle_order(event, now)
            case Read(request=request):
                return self._handle_read(request, now)
            case Stopping():
                if self._stop_at is not None:
                    return []
                self._stop_at = now + STOP_TIMEOUT_S
                effects = self._apply_effects(self.replica.leave(now), now)
                return [Decision("stopping"), *effects]
        raise TypeError(f"unexpected event {event!r}")

    def _start(self, now: float) -> None:
        """Set the start time; agents known before the restart count as missing."""
        self._started_at = now
        for known in self._known_subscribers:
            if known.is_agent:
                self.directory.mark_missing(known.host, now)

    # Orders and reads

    def _handle_order(self, order: Order, now: float) -> list:
        if not self._can_accept():
            return [self._redirect(order.request)]
        command = order.command
        if isinstance(command, PutConfiguration):
            if command.version <= self.state.version:
                return self._confirm_leadership(order.request, now, command)
        entry, effects = self.replica.propose(command, now)
        pending = PendingRequest(
            order.request, entry.term, entry.index, 0, now + ORDER_TIMEOUT_S, command
        )
        self._pending.append(pending)
        return self._apply_effects(effects, now)

    def _handle_read(self, request: int, now: float) -> list:
        if not self.replica.can_propose:
            return [self._redirect(request)]
        return self._confirm_leadership(request, now, None)

    def _confirm_leadership(
        self, request: int, now: float, command: Command | None
    ) -> list:
        """Answer once a majority has confirmed that this host still leads."""
        replica = self.replica
        replication.broadcast_heartbeat(replica, now)
        pending = PendingRequest(
            request,
            replica.term,
            0,
            replica.heartbeat_round,
            now + ORDER_TIMEOUT_S,
            command,
        )
        self._pending.append(pending)
        return self._apply_effects(replica.take_effects(now), now)

    def _can_accept(self) -> bool:
        replica = self.replica
        return replica.can_propose and replica.majority > self._lost_disks

    def _redirect(self, request: int) -> RedirectToLeader:
        leader = self.replica.leader
        if leader is None or leader == self.replica.identity:
            self.counters["orders_without_leader"] += 1
            return RedirectToLeader(request, "")
        self.counters["orders_redirected"] += 1
        return RedirectToLeader(request, leader.name)

    def _answer_pending(self, now: float) -> list:
        effects: list = []
        remaining = []
        replica = self.replica
        for pending in self._pending:
            if not replica.is_leader or replica.term != pending.term:
                effects.append(self._redirect(pending.request))
                continue
            if now >= pending.deadline:
                self.counters["orders_timed_out"] += 1
                effects.append(RedirectToLeader(pending.request, ""))
                continue
            if not self._is_complete(pending):
                remaining.append(pending)
                continue
            if pending.command is None:
                effects.append(ReadResult(pending.request, self.state))
            else:
                effects.append(OrderAccepted(pending.request))
        self._pending = remaining
        return effects

    def _is_complete(self, pending: PendingRequest) -> bool:
        replica = self.replica
        if pending.index:
            return replica.applied >= pending.index
        if replica.log.find_term(replica.commit) != replica.term:
            return False
        confirmed = replica.freshness
        return (
            confirmed.term == pending.term
            and confirmed.stamp >= pending.heartbeat_round
        )

    # The replicated log

    def _apply_effects(self, effects: list[Effect], now: float) -> list:
        """Carry out effects of the replica, and answer requests that are complete."""
        results: list = []
        for effect in effects:
            match effect:
                case ApplyEntry(entry=entry):
                    state = apply_order(self.state, entry.command, entry.index)
                    if state is not self.state:
                        self.state = state
                        self._is_table_due = True
                case RestoreSnapshot(snapshot=snapshot):
                    self.state = decode_state(snapshot.state)
                    self._is_table_due = self.state.version > 0
                case TimelineEvent(kind=kind, peer=peer, detail=detail):
                    results.append(Decision(kind, f"{peer} {detail}".strip()))
                case SendLink() | Store():
                    results.append(effect)
                case _:
                    raise TypeError(f"unexpected effect {effect!r}")
        if self._pending:
            results += self._answer_pending(now)
        results += self._publish(now)
        if self.replica.commit - self._snapshot_index() >= SNAPSHOT_INTERVAL_ENTRIES:
            state = encode_state(self.state)
            results += self._apply_effects(
                self.replica.compact(state, RETAINED_ENTRIES, now), now
            )
        return results

    def _snapshot_index(self) -> int:
        snapshot = self.replica.snapshot
        return snapshot.index if snapshot is not None else 0

    def _add_peer(self, peer: str) -> None:
        """Add a control host that is not known yet."""
        if peer not in (self.replica.identity.name, *self.replica.peers):
            self.replica.peers.append(peer)

    # Subscribers

    def _publish(self, now: float) -> list:
        if not self._is_table_due:
            return []
        self._is_table_due = False
        if self.state.index <= self._table.index:
            return []
        try:
            table = self._make_table(self.state)
        except ValueError as error:
            # Another version of the program may have accepted the entry. It stays in
            # the log, so applying it must not end the process.
            self.counters["tables_unreadable"] += 1
            detail = f"version {self.state.version}: {error}"
            return [Decision("table_unreadable", detail)]
        self._table = table
        self._encoded = encode_table(table)
        detail = (
            f"version {table.version}, index {table.index}, out {table.zones_out}, "
            f"{len(self._encoded)} bytes"
        )
        effects: list = [Decision("table_made", detail)]
        return effects + self._push_table(now)

    def _push_table(self, now: float) -> list:
        """Push the table to subscribers, as leader; other hosts only answer polls."""
        effects: list = []
        if not self.replica.is_leader:
            return effects
        for subscriber in self._subscribers.values():
            if max(subscriber.index, subscriber.pushed_index) >= self._table.index:
                continue
            if now - subscriber.table_pushed_at < PUSH_INTERVAL_S:
                continue
            subscriber.table_pushed_at = now
            subscriber.pushed_index = self._table.index
            effects.append(self._make_update(subscriber, now, True))
        return effects

    def _push_directory(self, now: float) -> list:
        """Push changes of the agent directory to entry hosts, at a limited rate.

        When many agents start, each of them is a change for every entry host.
        """
        revision = self.directory.revision
        if not self.replica.is_leader or self._pushed_revision == revision:
            return []
        if now - self._directory_pushed_at < DIRECTORY_PUSH_INTERVAL_S:
            return []
        self._pushed_revision = revision
        self._directory_pushed_at = now
        return [
            self._make_update(subscriber, now, False)
            for subscriber in self._subscribers.values()
            if subscriber.poll.wants_directory
        ]

    def _handle_poll(self, polled: PollReceived, now: float) -> list:
        poll = polled.poll
        key = (polled.host, polled.port)
        subscriber = self._subscribers.get(key)
        if subscriber is None:
            subscriber = Subscriber(polled.host, polled.port, poll, now)
            self._subscribers[key] = subscriber
        subscriber.poll = poll
        subscriber.polled_at = now
        subscriber.index = poll.index
        if poll.number:
            subscriber.poll_number = poll.number
        effects: list = [self._make_update(subscriber, now, poll.wants_table)]
        report = poll.report
        if report is not None and self.directory.record_report(report, now):
            self._has_departures |= report.is_empty
            detail = (
                f"{report.host}, service {report.service or 'unknown'}, "
                f"accepting {report.is_accepting}, cold {report.is_cold}"
            )
            effects.append(Decision("agent_reported", detail))
        if report is not None:
            effects += self.lost_flows.handle_report(report, now)
        return effects

    def _make_update(
        self, subscriber: Subscriber, now: float, with_table: bool
    ) -> SendUpdate:
        poll = subscriber.poll
        is_newer = subscriber.index < self._table.index
        table = self._encoded if with_table and is_newer else b""
        voters = tuple(voter.name for voter in self.replica.current_voters)
        directory = self.directory
        found: tuple = (False, (), (), ())
        if poll.wants_directory:
            found = directory.list_changes(poll.directory, poll.revision)
        age_s = now - self._started_at
        leader = self.replica.leader
        update = Update(
            voters,
            leader.name if leader is not None else "",
            self._table.index,
            table,
            directory.process,
            directory.revision,
            age_s,
            now - directory.missing_at,
            *found,
            subscriber.poll_number,
        )
        return SendUpdate(update, subscriber.host, subscriber.port)

    def _handle_tick(self, now: float) -> list:
        effects = self._apply_effects(self.replica.handle(Tick(), now), now)
        effects += self._push_table(now)
        effects += self._push_directory(now)
        effects += self._announce_voters(now)
        effects += self._store_subscribers(now)
        effects += self.lost_flows.handle_tick(now)
        if now - self._last_expiry_at >= EXPIRY_SCAN_INTERVAL_S:
            self._last_expiry_at = now
            expired = self.directory.expire(now)
            effects += [Decision("agent_silent", host) for host in expired]
            self._expire_subscribers(now)
        if self._stop_at is not None and self._can_stop(now):
            effects.append(StopCompleted())
        return effects

    def _announce_voters(self, now: float) -> list:
        """Send the voters to control hosts that do not vote, and to former subscribers.

        If all seeds are hosts without a disk, processes cannot find the voters after a
        power loss: the seeds themselves know none, and may start late.
        """
        is_starting = now - self._started_at < STARTUP_S
        if (
            not is_starting
            and now - self._voters_announced_at < VOTER_ANNOUNCE_INTERVAL_S
        ):
            return []
        self._voters_announced_at = now
        voters = {voter.name for voter in self.replica.current_voters}
        if not voters:
            return []
        others = [
            (peer, CONTROL_PORT) for peer in self.replica.peers if peer not in voters
        ]
        if is_starting:
            former = [(known.host, known.port) for known in self._known_subscribers]
            others += [key for key in former if key not in self._subscribers]
        empty_poll = Poll(self._table.index, 0, 0, False)
        effects = []
        for host, port in others:
            recipient = Subscriber(host, port, empty_poll, now)
            effects.append(self._make_update(recipient, now, False))
        return effects

    def _store_subscribers(self, now: float) -> list:
        """Store the subscribers if they have changed."""
        interval = SUBSCRIBER_STORE_INTERVAL_S
        if self._has_departures:
            interval = DEPARTURE_STORE_INTERVAL_S
        if now - self._subscribers_stored_at < interval:
            return []
        self._subscribers_stored_at = now
        self._has_departures = False
        if now - self._started_at < STARTUP_S or not self._subscribers:
            return []
        found = {
            KnownSubscriber(host, port, _may_hold_flows(subscriber.poll.report))
            for (host, port), subscriber in self._subscribers.items()
        }
        missing = self.directory.list_missing()
        found.update(
            known for known in self._known_subscribers if known.host in missing
        )
        present = tuple(sorted(found))
        if present == self._known_subscribers:
            return []
        self._known_subscribers = present
        return [StoreSubscribers(present)]

    def _expire_subscribers(self, now: float) -> None:
        for key, subscriber in list(self._subscribers.items()):
            if now - subscriber.polled_at > SUBSCRIBER_TIMEOUT_S:
                del self._subscribers[key]

    def _can_stop(self, now: float) -> bool:
        if now >= self._stop_at:
            return True
        replica = self.replica
        return not replica.is_leader and replica.has_left and not self._pending


def _may_hold_flows(report: AgentReport | None) -> bool:
    return report is not None and not report.is_empty
