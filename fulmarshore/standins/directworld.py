"""A simulated deployment of the cores of the direct data path.

It plays the network, disks, fabric, upstreams, callers and operators for tests.
Time is simulated; delays and losses come from a seed. Tests crash, freeze and
partition hosts and lose disks; operators retry when they get no reply. Processes,
sockets and the encoding of internal messages are left out.
"""

from __future__ import annotations

import heapq
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

import msgspec
from xxhash import xxh3_64_intdigest

from fulmarshore.adapters.disk import make_new_replica
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    Command,
    DamagedFile,
    LinkMessage,
    PutConfiguration,
    PutZone,
    ReplicaId,
    SendLink,
    Store,
    Stored,
)
from fulmarshore.daemons.directcontrol import NO_SEED_WAIT_S, SNAPSHOT_CHUNK_BYTES
from fulmarshore.direct.agent import AgentCore
from fulmarshore.direct.control import ControlCore
from fulmarshore.direct.controlrecords import (
    KnownSubscriber,
    Order,
    OrderAccepted,
    PollReceived,
    Read,
    ReadResult,
    RedirectToLeader,
    SendUpdate,
    StoreKeptFlows,
    StoreSubscribers,
)
from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.gate import UpstreamBounds
from fulmarshore.direct.keptflowsfile import decode_file, encode_file
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.packets import RST
from fulmarshore.direct.records import (
    Backend,
    CallerPacket,
    Decision,
    ReturnedPacket,
    Route,
    SendKeptFlows,
    SendPoll,
    SendToAgent,
    SendToCaller,
    SendToEntry,
    SendToUpstream,
    ServicePolicy,
    StopCompleted,
    Stopping,
    Table,
    Ticked,
    UpdateReceived,
    UpstreamAbsent,
    UpstreamAnnounced,
    UpstreamDeparted,
    UpstreamPacket,
    Wake,
    Woken,
    decode_table,
)
from fulmarshore.direct.relay import RelayCore
from fulmarshore.standins.directends import Caller, Upstream, make_flow
from fulmarshore.standins.disk import FakeDisk

DELAY_S = (0.0003, 0.002)
SYNC_S = 0.002
TICK_S = 0.05
START_SPREAD_S = 0.3
ANNOUNCE_S = 1.0
ORDER_TIMEOUT_S = 1.0
"""How long an operator waits for a reply before it tries another host."""
MAX_REDIRECTS = 2
KEPT_PORT = 8443
"""Port of the route whose requests must not run twice."""
FABRIC = "fabric"
"""Sender of callers' packets, in every availability zone."""


def encode_routes(routes: dict[int, list[tuple[str, int]]]) -> bytes:
    """Encode a configuration that maps ports to services and their weights."""
    return msgspec.json.encode(sorted(routes.items()))


def make_table(state: OrderState) -> Table:
    """Build the table of a configuration that ``encode_routes`` encoded."""
    if not state.version:
        return Table(index=state.index, zones_out=state.zones_out)
    found = msgspec.json.decode(state.content)
    routes = []
    services: dict[str, None] = {}
    for port, backends in found:
        address = socket.inet_aton("198.18.0.1") + port.to_bytes(2)
        found = tuple(Backend(*held) for held in backends)
        routes.append(Route(address, found, is_repeatable=port != KEPT_PORT))
        services.update(dict.fromkeys(name for name, _ in backends))
    policies = tuple(ServicePolicy(name, 2000, 0.0) for name in services)
    return Table(
        state.index, state.version, tuple(routes), policies, 15.0, state.zones_out
    )


class OrderCall:
    """An operator's order, retried until a control host accepts it."""

    def __init__(self, command: Command, host: str) -> None:
        self.command = command
        self.host = host
        self.is_accepted = False
        self.accepted_at: float | None = None
        self.attempt = 0
        self.redirects = 0


class World:
    """The hosts, network, callers and operators of a simulated deployment.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    controls, entries : int
        Number of hosts of each role, spread over three availability zones.
    agents : dict of str to int
        Number of upstreams of each service; each has its own agent.
    loss : float
        Share of packets and messages that are lost, from 0 to 1.
    lost_disks : int
        Number of disks that may be lost at the same time.
    diskless : int
        Number of control hosts without a disk; the first ones.
    seeds : list of int
        Indexes of the control hosts that are seeds; by default the first three.
    probe_lag_s : float
        How long the fabric keeps using an entry host that is not ready any more.
    notifies_lost_flows : bool
        Whether callers are notified of kept flows whose upstream has ended.
    """

    def __init__(
        self,
        seed: int = 1,
        controls: int = 3,
        entries: int = 2,
        agents: dict[str, int] | None = None,
        loss: float = 0.0,
        lost_disks: int = 1,
        diskless: int = 0,
        seeds: list[int] | None = None,
        probe_lag_s: float = 0.0,
        notifies_lost_flows: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.loss = loss
        self.lost_disks = lost_disks
        self.notifies_lost_flows = notifies_lost_flows
        self._probe_lag_s = probe_lag_s
        self._ready_at: dict[str, float] = {}
        self.cores: dict[str, EntryCore | AgentCore | ControlCore] = {}
        self.disks: dict[str, FakeDisk] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.former_upstreams: list[Upstream] = []
        self.callers: dict[bytes, Caller] = {}
        self.frozen: set[str] = set()
        self.full: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.decisions: list[tuple[float, str, Decision]] = []
        self.reads: list[tuple[float, float, int]] = []
        self.draining: set[str] = set()
        self.answer_loss = 0.0
        self.loss_to_callers = 0.0
        self.delay_to_callers_s = 0.0
        self.packets_by_host: Counter[str] = Counter()
        self.packets_between_zones = 0
        self.tables_sent: Counter[str] = Counter()
        self.largest_message = 0
        self._zones: dict[str, str] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._incarnations: dict[str, int] = {}
        self._stored_subscribers: dict[str, tuple[KnownSubscriber, ...]] = {}
        self._kept_flows_files: dict[str, bytes] = {}
        self.notices: list[tuple[float, bytes]] = []
        self.live_resets: list[tuple[float, bytes]] = []
        self._requests: dict[int, OrderCall | tuple[float, Callable]] = {}
        self._announcement_counts: dict[str, int] = {}
        self.control_hosts = [f"10.0.0.{number + 1}" for number in range(controls)]
        self.entry_hosts = [f"10.0.1.{number + 1}" for number in range(entries)]
        self.seeds = [self.control_hosts[n] for n in seeds or range(min(3, controls))]
        for number, host in enumerate(self.control_hosts):
            self._zones[host] = f"zone-{number % 3}"
            if number < diskless:
                self.start_relay(host)
                continue
            delay = self.random.uniform(0, START_SPREAD_S)
            self.call_later(delay, partial(self.start_control, host, True))
        for number, host in enumerate(self.entry_hosts):
            self._zones[host] = f"zone-{number % 3}"
            self.start_entry(host)
        number = 0
        for service, amount in (agents or {"desk": 3, "store": 2}).items():
            for _ in range(amount):
                host = f"10.0.2.{number + 1}"
                self._zones[host] = f"zone-{number % 3}"
                self.start_agent(host)
                self.start_upstream(host, service)
                number += 1

    # Time.

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Call back after a delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), callback))

    def run(self, seconds: float) -> None:
        """Advance simulated time by some seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until

    def run_until(self, reached: Callable[[], bool], limit: float = 20.0) -> bool:
        """Advance time until a condition holds; False if it does not in time."""
        until = self.now + limit
        while not reached():
            if self.now >= until:
                return False
            self.run(0.02)
        return True

    # Hosts.

    def start_control(self, host: str, bootstrap: bool = False) -> None:
        """Start a control host with the state of its disk."""
        disk = self.disks.setdefault(host, FakeDisk(host, self.random))
        recovered = self._new_replica(host) if disk.is_empty else disk.read()
        if isinstance(recovered, DamagedFile):
            disk.wipe()
            recovered = self._new_replica(host)
        peers = [peer for peer in self.seeds if peer != host]
        replica = Replica(
            recovered,
            peers,
            self.random,
            bootstrap,
            min_voters=2 * self.lost_disks + 1,
            starts_fast=True,
            names_are_addresses=True,
        )
        replica.chunk_bytes = SNAPSHOT_CHUNK_BYTES
        if host not in self.seeds:
            replica.bootstrap_wait_s = NO_SEED_WAIT_S
        process = self.random.getrandbits(63)
        subscribers = self._stored_subscribers.get(host, ())
        core = ControlCore(
            replica,
            process,
            self.lost_disks,
            make_table,
            subscribers,
            self.notifies_lost_flows,
        )
        try:
            stored = decode_file(self._kept_flows_files.get(host, b""), self.now)
            core.lost_flows.restore(stored, self.now)
        except ValueError as error:
            ignored = Decision("kept_flows_ignored", str(error))
            self.decisions.append((self.now, host, ignored))
        self._start(host, core)

    def start_relay(self, host: str) -> None:
        """Start a control host without a disk, which only relays."""
        self._start(host, RelayCore(host, list(self.seeds), self.random))

    def start_entry(self, host: str) -> None:
        """Start an entry host."""
        zone = self._zones.setdefault(host, "zone-0")
        core = EntryCore(host, zone, list(self.seeds), self.random)
        self._start(host, core)

    def start_agent(self, host: str) -> None:
        """Start an agent."""
        zone = self._zones.setdefault(host, "zone-0")
        process = self.random.getrandbits(63)
        core = AgentCore(
            host,
            zone,
            list(self.seeds),
            process,
            UpstreamBounds(1.5, 5),
            notifies_lost_flows=self.notifies_lost_flows,
        )
        self._start(host, core)
        self._check_upstream(host)

    def start_upstream(
        self,
        host: str,
        service: str,
        work_s: float = 0.02,
        cold_s: float = 0.0,
        slots: int = 1000,
    ) -> Upstream:
        """Start an upstream beside the agent on a host."""
        former = self.upstreams.get(host)
        if former is not None:
            self.former_upstreams.append(former)
        number = next(self._numbers)
        upstream = Upstream(
            f"u-{number}",
            service,
            lambda content: self._deliver_outbound(host, content),
            self.call_later,
            work_s,
            int(self.now * 1000) + 1,
            slots,
        )
        self.upstreams[host] = upstream
        self._announcement_counts[host] = 0
        ends_cold_at = self.now + cold_s

        def announce() -> None:
            if self.upstreams.get(host) is not upstream or not upstream.is_alive:
                return
            self.announce(host, max(0.0, ends_cold_at - self.now))
            self.call_later(ANNOUNCE_S, announce)

        self.call_later(0.1, announce)
        return upstream

    def announce(self, host: str, cold_s: float = 0.0) -> None:
        """Send an announcement of an upstream to its agent."""
        upstream = self.upstreams[host]
        if host not in self.cores or host in self.frozen:
            return
        self._announcement_counts[host] += 1
        announced = UpstreamAnnounced(
            upstream.name,
            upstream.born_ms,
            self._announcement_counts[host],
            upstream.service,
            self._zones[host],
            upstream.slots,
            host not in self.draining,
            cold_s,
        )
        self.dispatch(host, announced)

    def depart(self, host: str) -> None:
        """End an upstream and notify its agent."""
        upstream = self.upstreams[host]
        upstream.crash()
        self.dispatch(host, UpstreamDeparted(upstream.name))

    def crash(self, host: str, loses_power: bool = False) -> None:
        """Kill a process.

        Unsynced writes reach the disk unless the host loses power.
        """
        self.cores.pop(host, None)
        self._incarnations[host] = self._incarnations.get(host, 0) + 1
        disk = self.disks.get(host)
        if disk is None:
            return
        if loses_power:
            disk.crash()
            return
        while disk.sync() is not None:
            continue

    def wipe(self, host: str) -> None:
        """Crash a control host and empty its disk."""
        self.crash(host, loses_power=True)
        self.disks[host].wipe()
        self._kept_flows_files.pop(host, None)

    def stop(self, host: str) -> None:
        """Begin the planned stop of a process."""
        if host in self.cores:
            self._check_upstream(host)
            self.dispatch(host, Stopping())

    def _check_upstream(self, host: str) -> None:
        """Tell an agent that nothing listens at its upstream's address, if so."""
        core = self.cores.get(host)
        if not isinstance(core, AgentCore) or core.has_upstream:
            return
        upstream = self.upstreams.get(host)
        if upstream is None or not upstream.is_alive:
            self.dispatch(host, UpstreamAbsent())

    def freeze(self, host: str, seconds: float) -> None:
        """Suspend a host for some seconds; events that arrive are delayed."""
        self.frozen.add(host)
        self.call_later(seconds, lambda: self.frozen.discard(host))

    def fill_disk(self, host: str, seconds: float) -> None:
        """Let a disk refuse all writes for some seconds; they are retried."""
        self.full.add(host)
        self.call_later(seconds, lambda: self.full.discard(host))

    def cut(self, first: list[str], second: list[str]) -> None:
        """Drop all messages between two groups of hosts."""
        for one in first:
            for other in second:
                self.cuts |= {(one, other), (other, one)}

    def cut_one_way(self, sources: list[str], targets: list[str]) -> None:
        """Lose everything that some hosts send to others, but not the way back."""
        self.cuts |= {
            (source, target)
            for source in sources
            for target in targets
            if source != target
        }

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()

    def find_leader(self) -> str | None:
        """Return the leader of the newest term, or None."""
        found = [
            (core.replica.term, host)
            for host, core in self.cores.items()
            if isinstance(core, ControlCore) and core.replica.is_leader
        ]
        return max(found)[1] if found else None

    def list_voters(self) -> list[ReplicaId]:
        """Return the voters of the replicated log according to its leader."""
        leader = self.find_leader()
        assert leader is not None, "the log has a leader"
        return self.cores[leader].replica.current_voters

    # Callers.

    def call(self, number: int, port: int, deadline_s: float = 3.0) -> Caller:
        """Open a flow of a new caller and send a request on it."""
        caller = self.add_caller(number, port)
        caller.request(b"request-%d-0" % number, deadline_s)
        return caller

    def add_caller(self, number: int, port: int) -> Caller:
        """Add a caller whose flow is not open yet."""
        flow = make_flow(number, port)
        caller = Caller(
            flow,
            lambda content: self._route(flow, content),
            self.call_later,
            lambda: self.now,
        )
        self.callers[flow] = caller
        return caller

    def get_zone(self, host: str) -> str:
        """Return the availability zone of a host."""
        return self._zones[host]

    def _route(self, flow: bytes, content: bytes) -> None:
        """Deliver a caller's packet to the entry host that its flow hashes to.

        Only ready entry hosts count; if none is ready, any running one.
        """
        ready = [host for host in self.entry_hosts if self._is_ready(host)]
        hosts = ready or [host for host in self.entry_hosts if host in self.cores]
        if not hosts:
            return
        ranked = sorted(hosts, key=lambda host: rank_host(flow, host))
        self._deliver(FABRIC, ranked[0], CallerPacket(content))

    def _is_ready(self, host: str) -> bool:
        core = self.cores.get(host)
        if core is not None and host not in self.frozen and core.is_ready:
            self._ready_at[host] = self.now
            return True
        return self.now - self._ready_at.get(host, -1.0) < self._probe_lag_s

    # Operators.

    def put(self, version: int, routes: dict, host: str | None = None) -> OrderCall:
        """Submit a configuration, retried until it is accepted."""
        return self._order(PutConfiguration(version, encode_routes(routes)), host)

    def put_zone(self, zone: str, is_out: bool, host: str | None = None) -> OrderCall:
        """Submit an order that takes an availability zone out, or back in."""
        return self._order(PutZone(zone, is_out), host)

    def read(self, host: str, respond: Callable[[OrderState | None], None]) -> None:
        """Read the newest configuration at a control host."""
        if host not in self.cores:
            respond(None)
            return
        number = next(self._numbers)
        self.expect_read(number, respond)
        self._deliver("operator", host, Read(number))

    def expect_read(
        self, number: int, respond: Callable[[OrderState | None], None]
    ) -> None:
        """Register the callback for the result of a read of this number."""
        self._requests[number] = (self.now, respond)

    def _order(self, command: Command, host: str | None) -> OrderCall:
        call = OrderCall(command, host or self.random.choice(self.control_hosts))
        self._attempt(call)
        return call

    def _attempt(self, call: OrderCall) -> None:
        if call.is_accepted:
            return
        call.attempt += 1
        attempt = call.attempt

        def try_another_host() -> None:
            if call.attempt == attempt and not call.is_accepted:
                call.redirects = 0
                call.host = self.random.choice(self.control_hosts)
                self._attempt(call)

        self.call_later(ORDER_TIMEOUT_S, try_another_host)
        if call.host in self.cores:
            number = next(self._numbers)
            self._requests[number] = call
            self._deliver("operator", call.host, Order(number, call.command))

    def _handle_reply(
        self, answer: OrderAccepted | ReadResult | RedirectToLeader
    ) -> None:
        pending = self._requests.pop(answer.request, None)
        if pending is None:
            return
        if self.random.random() < self.answer_loss:
            return
        if isinstance(pending, tuple):
            state = answer.state if isinstance(answer, ReadResult) else None
            pending[1](state)
            return
        if isinstance(answer, OrderAccepted):
            if not pending.is_accepted:
                pending.is_accepted = True
                pending.accepted_at = self.now
            return
        if answer.leader and pending.redirects < MAX_REDIRECTS:
            pending.redirects += 1
            pending.host = answer.leader
            self._attempt(pending)

    # Effects.

    def dispatch(self, host: str, event: object) -> None:
        """Deliver an event to the core on a host and execute its effects."""
        core = self.cores.get(host)
        if core is None:
            return
        for effect in core.handle(event, self.now):
            self._carry_out(host, effect)

    def _carry_out(self, host: str, effect: object) -> None:
        match effect:
            case SendToAgent(content=content, host=agent):
                self._deliver(host, agent, CallerPacket(content))
            case SendToEntry(content=content, host=entry):
                target = socket.inet_ntoa(entry)
                self._deliver(host, target, ReturnedPacket(content, host))
            case SendToCaller(content=content):
                if host in self.control_hosts:
                    self.notices.append((self.now, content[6:12] + content[:6]))
                self._deliver_caller(content)
            case SendToUpstream(content=content):
                upstream = self.upstreams.get(host)
                if upstream is not None:
                    self.call_later(0.0001, lambda: upstream.handle_packet(content))
            case SendPoll(poll=poll, host=control):
                self._deliver(host, control, PollReceived(host, 1, poll))
            case SendKeptFlows(message=message, host=control):
                self._deliver(host, control, message)
            case SendUpdate(update=update, host=subscriber):
                self.tables_sent[subscriber] += bool(update.table)
                received = UpdateReceived(host, update, decode_table(update.table))
                self._deliver(host, subscriber, received)
            case SendLink(peer=peer, message=message):
                size = len(msgspec.msgpack.encode(message))
                self.largest_message = max(self.largest_message, size)
                self._deliver(host, peer, LinkMessage(host, message))
            case Store():
                self._store(host, effect)
            case StoreSubscribers(subscribers=subscribers):
                self._stored_subscribers[host] = subscribers
            case StoreKeptFlows(groups=groups):
                self._kept_flows_files[host] = encode_file(groups, self.now)
            case Wake(after_s=after_s):
                self._wake(host, after_s)
            case OrderAccepted() | ReadResult() | RedirectToLeader():
                delay = self.random.uniform(*DELAY_S)
                self.call_later(delay, lambda: self._handle_reply(effect))
            case Decision():
                self.decisions.append((self.now, host, effect))
            case StopCompleted():
                self.crash(host)
            case _:
                raise TypeError(f"unexpected effect {effect!r}")

    def _wake(self, host: str, after_s: float) -> None:
        incarnation = self._incarnations.get(host, 0)

        def wake() -> None:
            if self._incarnations.get(host, 0) != incarnation:
                return
            if host in self.frozen:
                self.call_later(0.05, wake)
                return
            self.dispatch(host, Woken())

        self.call_later(after_s, wake)

    def _deliver(self, source: str, target: str, event: object) -> None:
        if (source, target) in self.cuts or self.random.random() < self.loss:
            return
        self.packets_by_host[source] += 1
        if isinstance(event, CallerPacket | ReturnedPacket):
            zones = {self._zones[host] for host in (source, target) if host != FABRIC}
            self.packets_between_zones += len(zones) > 1
        incarnation = self._incarnations.get(target, 0)

        def arrive() -> None:
            if self._incarnations.get(target, 0) != incarnation:
                return
            if target in self.frozen:
                self.call_later(0.05, arrive)
                return
            self.dispatch(target, event)

        self.call_later(self.random.uniform(*DELAY_S), arrive)

    def _deliver_caller(self, content: bytes) -> None:
        flow = content[6:12] + content[:6]
        caller = self.callers.get(flow)
        if self.random.random() < self.loss_to_callers:
            return
        if caller is not None and self.random.random() >= self.loss:
            delay = self.random.uniform(*DELAY_S) + self.delay_to_callers_s
            self.call_later(delay, lambda: self._hand_over(caller, content))

    def _hand_over(self, caller: Caller, content: bytes) -> None:
        """Let a caller process a packet; record a reset of a flow that is held."""
        was_open = caller.is_open
        caller.handle_packet(content)
        if not was_open or not caller.is_reset or not content[18] & RST:
            return
        is_held = (
            upstream.is_alive and caller.flow in upstream.flows
            for upstream in (*self.upstreams.values(), *self.former_upstreams)
        )
        if any(is_held):
            self.live_resets.append((self.now, caller.flow))

    def _deliver_outbound(self, host: str, content: bytes) -> None:
        if host in self.cores and host not in self.frozen:
            self.dispatch(host, UpstreamPacket(content))

    def _store(self, host: str, store: Store) -> None:
        disk = self.disks[host]
        disk.submit(store)
        incarnation = self._incarnations.get(host, 0)

        def sync() -> None:
            if self._incarnations.get(host, 0) != incarnation:
                return
            if host in self.frozen or host in self.full:
                self.call_later(0.05, sync)
                return
            sequence = disk.sync()
            if sequence is not None:
                self.dispatch(host, Stored(sequence))

        self.call_later(SYNC_S, sync)

    def _start(self, host: str, core: EntryCore | AgentCore | ControlCore) -> None:
        self.cores[host] = core
        self._incarnations[host] = self._incarnations.get(host, 0) + 1
        incarnation = self._incarnations[host]

        def tick() -> None:
            if self._incarnations[host] != incarnation:
                return
            if host not in self.frozen:
                self.dispatch(host, Ticked())
            self.call_later(TICK_S, tick)

        self.call_later(self.random.uniform(0, TICK_S), tick)

    def _new_replica(self, host: str) -> object:
        recovered = make_new_replica(host)
        disk = f"{self.random.getrandbits(64):016x}"
        identity = type(recovered.replica)(host, disk)
        return type(recovered)(
            identity, 0, recovered.term_vote, recovered.base, None, [], 0
        )


def rank_host(flow: bytes, host: str) -> int:
    """Return the rendezvous weight of a host for a flow.

    When a host leaves, only its own flows move.
    """
    return xxh3_64_intdigest(flow + host.encode())
