"""Measures bytes, processor time and memory of control by size of a region.

Three control cores on a simulated network serve subscribers in this process.
Bytes are those of the encoded messages with their framing; processor time and
memory are those of a single core of each role. Real daemons on loopback are
measured at one size only.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
import tracemalloc
from collections import Counter
from pathlib import Path
from random import Random

import msgspec
import psutil
from msgspec import Struct

from fulmarshore.agreement.state import decode_state, encode_state
from fulmarshore.bench.config import ConfigBench
from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Announcement,
    Change,
    Effect,
    EntryHost,
    Event,
    Identity,
    LinkMessage,
    LogEntry,
    Member,
    Profile,
    Service,
    Tick,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.control import ControlCore
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.standins.network import FakeNetwork
from fulmarshore.standins.region import TICK_INTERVAL_S, Region

ENDPOINTS = (10, 100, 1000)
ENDPOINTS_PER_SERVICE = 4
ENDPOINTS_PER_ENTRY_HOST = 11
SETTLE_S = 3.0
IDLE_S = 20.0
BUSY_S = 30.0
DAEMONS_S = 12.0
CHANGES_PER_MINUTE = 10
FRAME_BYTES = 11
"""Overhead of ZeroMQ and TCP for each message, without packet headers."""


_decode_entries = msgspec.msgpack.Decoder(list[LogEntry]).decode


class Load(Struct, frozen=True):
    """Traffic, processor time and memory of control for one size and change rate.

    Parameters
    ----------
    endpoints, entry_hosts, services : int
        Size of the region.
    changes_per_minute : int
        Changes that operators submit.
    entry_bytes_per_s, agent_bytes_per_s : float
        Bytes sent and received by one entry host, and by one agent.
    leader_bytes_per_s, follower_bytes_per_s : float
        Bytes sent and received by the leader, and by a follower.
    leader_cpu_share : float
        Share of one processor core that the leader's control core uses.
    subscriber_cpu_share : float
        Share of one processor core that a subscriber uses.
    state_memory_bytes : int
        Memory of the state and the log of the leader.
    """

    endpoints: int
    entry_hosts: int
    services: int
    changes_per_minute: int
    entry_bytes_per_s: float
    agent_bytes_per_s: float
    leader_bytes_per_s: float
    follower_bytes_per_s: float
    leader_cpu_share: float
    subscriber_cpu_share: float
    state_memory_bytes: int


class DaemonCost(Struct, frozen=True):
    """Usage of a real daemon on loopback, with 3 entry hosts and 10 agents.

    Parameters
    ----------
    name : str
        Name of the process.
    changes_per_minute : int
        Changes that operators submit.
    cpu_share : float
        Share of one processor core.
    memory_bytes : int
        Resident memory.
    """

    name: str
    changes_per_minute: int
    cpu_share: float
    memory_bytes: int


class ControlReport(Struct, frozen=True):
    """Loads, and how they grow with each endpoint added.

    Parameters
    ----------
    loads : list of Load
        Two for each size: idle and with changes.
    daemons : list of DaemonCost
        Real processes, idle and with changes.
    leader_bytes_per_endpoint : float
        Bytes a second of the leader for each endpoint, idle.
    agent_bytes_per_endpoint : float
        Bytes a second of one agent for each endpoint, with changes.
    leader_cpu_per_endpoint : float
        Share of a processor core of the leader for each endpoint, idle.
    """

    loads: list[Load]
    daemons: list[DaemonCost]
    leader_bytes_per_endpoint: float
    agent_bytes_per_endpoint: float
    leader_cpu_per_endpoint: float


class SubscriberNode:
    """A node of the simulated network that only runs a subscriber."""

    def __init__(self, subscriber: Subscriber) -> None:
        self.subscriber = subscriber

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Pass an event to the subscriber and return its effects."""
        if isinstance(event, Tick):
            return self.subscriber.tick(now)
        if isinstance(event, LinkMessage):
            return self.subscriber.handle(event, now)
        return []


class MeteredCore:
    """Wraps a core and sums the wall time spent in it, in seconds."""

    def __init__(
        self, core: ControlCore | SubscriberNode, bytes_by_node: Counter[str]
    ) -> None:
        self.core = core
        self.seconds = 0.0
        self._bytes_by_node = bytes_by_node

    def __getattr__(self, name: str) -> object:
        return getattr(self.core, name)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Pass an event to the core and add the time that it takes."""
        started = time.perf_counter()
        effects = self.core.handle(event, now)
        self.seconds += time.perf_counter() - started
        return effects


class MeteredNetwork(FakeNetwork):
    """A simulated network that counts message bytes by sender and receiver."""

    bytes_by_node: Counter[str] = Counter()

    def _transmit(self, source: str, target: str | None, event: Event) -> None:
        if isinstance(event, LinkMessage):
            size = len(encode(event.message)) + FRAME_BYTES
            self.bytes_by_node[source] += size
            self.bytes_by_node[target or ""] += size
        super()._transmit(source, target, event)


class MeasuredRegion:
    """A simulated region with control, entry hosts and agents under measurement.

    Parameters
    ----------
    endpoints : int
        Number of agents.
    """

    def __init__(self, endpoints: int) -> None:
        self.region = Region(
            1, network=MeteredNetwork(1, tick_interval=TICK_INTERVAL_S)
        )
        self.network = self.region.network
        self.bytes_by_node: Counter[str] = Counter()
        self.network.bytes_by_node = self.bytes_by_node
        self.services = max(1, endpoints // ENDPOINTS_PER_SERVICE)
        self.entries = max(3, endpoints // ENDPOINTS_PER_ENTRY_HOST)
        self.number = 0
        items = [Profile("p", TrafficKind.FEED), *(Zone(zone) for zone in "abc")]
        for number in range(self.services):
            items.append(Service(f"service-{number}", "p", "10.0.0.1", 1024 + number))
        self.change(items)
        for number in range(self.entries):
            host = EntryHost(f"entry-{number}", 1, "a", "10.0.0.1", 2000 + number)
            self._add(host)
        for number in range(endpoints):
            service = f"service-{number % self.services}"
            port = 3000 + number
            self._add(Member(f"agent-{number}", 1, service, "a", "10.0.0.1", port))
        self.network.run(SETTLE_S)
        self.meters = {}
        for name in (*self.region.names, "entry-0", "agent-0"):
            node = self.network.nodes[name]
            node.core = self.meters[name] = MeteredCore(node.core, self.bytes_by_node)

    def change(self, items: list[Profile | Service | Zone]) -> None:
        """Submit a change to the leader."""
        self.number += 1
        leader = self.region.find_leader()
        change = Change(self.number, "bench", items, [])
        self.network.inject(leader.name, LinkMessage("bench", change))

    def measure(self, seconds: float, changes_per_minute: int) -> Load:
        """Run for some seconds of simulated time and return the load."""
        self.bytes_by_node.clear()
        for meter in self.meters.values():
            meter.seconds = 0.0
        until = self.network.now + seconds
        pause = 60.0 / changes_per_minute if changes_per_minute else seconds
        while self.network.now < until:
            if changes_per_minute:
                self.change([Profile("p", TrafficKind.FEED, queue_length=self.number)])
            self.network.run(pause)
        leader = self.region.find_leader().name
        follower = next(name for name in self.region.names if name != leader)
        agents = [name for name in self.network.nodes if name.startswith("agent")]
        entries = [name for name in self.network.nodes if name.startswith("entry")]
        return Load(
            len(agents),
            len(entries),
            self.services,
            changes_per_minute,
            self._average_bytes_per_s(entries, seconds),
            self._average_bytes_per_s(agents, seconds),
            round(self.bytes_by_node[leader] / seconds, 1),
            round(self.bytes_by_node[follower] / seconds, 1),
            round(self.meters[leader].seconds / seconds, 5),
            round(self.meters["agent-0"].seconds / seconds, 6),
            self._measure_memory(),
        )

    def _measure_memory(self) -> int:
        """Return the memory of a copy of the leader's state and log."""
        core = self.region.find_leader()
        state = encode_state(core.state)
        entries = encode(core.replica.log.entries)
        tracemalloc.start()
        copies = (decode_state(state), _decode_entries(entries))
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del copies
        return size

    def _average_bytes_per_s(self, names: list[str], seconds: float) -> float:
        total = sum(self.bytes_by_node[name] for name in names)
        return round(total / len(names) / seconds, 1)

    def _add(self, announcement: Announcement) -> None:
        identity = Identity(announcement.name, announcement.incarnation)
        controls = self.region.names
        subscriber = Subscriber(
            identity, announcement, controls, Random(announcement.name)
        )
        self.network.add(announcement.name, SubscriberNode(subscriber))


def run(endpoints: tuple[int, ...] = ENDPOINTS) -> ControlReport:
    """Measure each size, idle and with changes, and the real daemons."""
    loads = []
    for count in endpoints:
        measured_region = MeasuredRegion(count)
        loads.append(measured_region.measure(IDLE_S, 0))
        loads.append(measured_region.measure(BUSY_S, CHANGES_PER_MINUTE))
    idle = [load for load in loads if not load.changes_per_minute]
    busy = [load for load in loads if load.changes_per_minute]
    return ControlReport(
        loads,
        asyncio.run(measure_daemons()),
        _find_slope(idle, "leader_bytes_per_s"),
        _find_slope(busy, "agent_bytes_per_s"),
        _find_slope(idle, "leader_cpu_share"),
    )


async def measure_daemons() -> list[DaemonCost]:
    """Measure real daemons, idle and with changes."""
    with tempfile.TemporaryDirectory() as folder:
        bench = ConfigBench(Path(folder))
        try:
            await bench.start()
            idle_costs = await _measure_processes(bench, 0)
            return idle_costs + await _measure_processes(bench, CHANGES_PER_MINUTE)
        finally:
            await bench.stop()


async def _measure_processes(
    bench: ConfigBench, changes_per_minute: int
) -> list[DaemonCost]:
    names = ("control-0", "control-1", bench.names[0], bench.names[-1])
    processes = {name: psutil.Process(bench.processes.get_pid(name)) for name in names}
    before = {name: _read_cpu(process) for name, process in processes.items()}
    started = time.monotonic()
    while time.monotonic() - started < DAEMONS_S:
        if changes_per_minute:
            await bench.change()
            await asyncio.sleep(60.0 / changes_per_minute)
        else:
            await asyncio.sleep(1.0)
    seconds = time.monotonic() - started
    costs = []
    for name, process in processes.items():
        share = (_read_cpu(process) - before[name]) / seconds
        memory = process.memory_info().rss
        costs.append(DaemonCost(name, changes_per_minute, round(share, 4), memory))
    return costs


def _read_cpu(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _find_slope(loads: list[Load], name: str) -> float:
    first, last = loads[0], loads[-1]
    rise = getattr(last, name) - getattr(first, name)
    return round(rise / max(1, last.endpoints - first.endpoints), 6)
