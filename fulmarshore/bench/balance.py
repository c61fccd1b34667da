"""Measures how evenly flows spread over the upstreams of a service.

The cores run over a simulated network, without sockets. Two baselines place
the same flows: a plain hash, and the less loaded of the two candidates that
rank highest, with loads known exactly.

Each size is measured with entry host hints that hold all flows, and some sizes
with hints that hold a fifth of them. All flows are opened, and later replaced,
within 10 s and at the rate of the long-run size.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from msgspec import Struct

from fulmarshore.bench.baselines import spread_by_hash, spread_by_two_choices
from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Drain,
    Effect,
    Event,
    LoadReport,
    Removed,
    SendPeer,
    StreamEnded,
)
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.reports import SEAL_BYTES
from fulmarshore.routing.table import ServiceTable
from fulmarshore.standins.routing import RoutedRegion

SIZES = ((7, 21), (7, 700), (7, 14_000), (3, 9), (3, 6_000), (4, 4_920))
"""Upstreams and flows: current sizes, and the long-run size of 4 x 1,230 flows."""
SHORT_SIZES = ((7, 700), (7, 14_000), (4, 4_920))
SEEDS = (1, 2, 3)
SURGE_S = 10.0
FLOW_LIFE_S = 229.0
"""16 million flows at 70,000 new ones a second."""
CONNECTIONS = 4_000
"""Above the mean of every size, so that connection limits do not even out flows."""
IDLE_TIMEOUT_S = 3_600.0
"""Longer than a run, so that no flow ends by its idle timeout."""
HELD_HINTS = 330_000
SHORT_HINTS_SHARE = 0.1
"""Share of the flows that each of the two generations of hints holds."""
ACTIVE_FLOWS = 30
ACTIVE_PACKETS = 28_000
"""Sent by the active flows during a turnover while hints hold all flows.

Few flows send much then: about a thousand packets each.
"""
SHORT_PACKETS = 4
"""Packets of each flow during a turnover with short hints; all flows send."""
WARM_UP_FLOWS = 5_000
WARM_UP_S = 120.0
WARM_UP_PACKETS_PER_S = 400
"""Rate of the warm-up before a run with short hints.

It stands for a service that has been running for long.
"""
HOP_TARGET = 0.05
SAMPLE_PACKETS = 4_000
STEADY_PACKETS = 32
"""Packets after which all but a millionth of the entry hosts know a flow."""
MAX_SAMPLE = 350
"""Upper limit of the inactive flows sampled; each sends `STEADY_PACKETS` packets."""
IDLE_BEFORE_END_S = 0.02
"""How long a caller sends nothing before it ends its flow."""
PORT_STEP = 20_000
"""Added to a caller's port when it opens a new flow in place of an old one."""
WARM_UP_PORT = 3 * PORT_STEP
SERVICE = "s"
DRAINED = f"{SERVICE}-1"


class Condition(Struct, frozen=True):
    """Rate of openings and extent of the hints for a measurement.

    Parameters
    ----------
    turnover : float
        Time in which all flows are opened or replaced, in seconds.
    is_held : bool
        Whether hints hold all flows; otherwise they hold a fifth.
    """

    turnover: float
    is_held: bool


CONDITIONS = (
    Condition(SURGE_S, True),
    Condition(FLOW_LIFE_S, True),
    Condition(SURGE_S, False),
    Condition(FLOW_LIFE_S, False),
)


class Spread(Struct, frozen=True):
    """Spread of the flows for one size, as the mean over the seeds.

    Parameters
    ----------
    upstreams, flows : int
        Size of the service.
    turnover_s : float
        Time in which all flows were opened, and replaced, in seconds.
    hints : str
        "held" where hints held all flows, "short" where they held a fifth.
    steady, returned : float
        Highest number of flows of an upstream over the mean, after all flows
        were opened, and after one upstream was drained and returned.
    worst : float
        The highest of both over all seeds.
    two_choice, two_choice_returned, hash_only : float
        The same for the baselines.
    extra_hops, extra_hops_returned : float
        Agents that forward a packet of an open flow before it reaches the
        flow's owner, as the mean over packets.
    hops_a_flow : float
        With hints for all flows: extra hops of all packets of a flow, its
        opening included, until every entry host knows it.
    report_bytes : int
        Most bytes of load reports that an agent sent in a second.
    refused : int
        Openings refused, although no upstream was ever full.
    """

    upstreams: int
    flows: int
    turnover_s: float
    hints: str
    steady: float
    two_choice: float
    returned: float
    two_choice_returned: float
    worst: float
    hash_only: float
    extra_hops: float
    extra_hops_returned: float
    hops_a_flow: float
    report_bytes: int
    refused: int


class BalanceReport(Struct, frozen=True):
    """Spread for each size under each condition."""

    seeds: int
    sizes: list[Spread]


class ReportCountingRegion(RoutedRegion):
    """A region that counts the bytes of load reports by agent and second."""

    def __init__(self, seed: int, upstreams: int, max_hints: int) -> None:
        self.report_bytes: Counter[tuple[str, int]] = Counter()
        services = {SERVICE: upstreams}
        super().__init__(
            seed, services, 3, CONNECTIONS, None, IDLE_TIMEOUT_S, max_hints
        )

    def add_agent(self, name: str, service: str, zone: str) -> AgentCore:
        """Start an agent and count the bytes of its load reports."""
        core = super().add_agent(name, service, zone)
        handle = core.handle

        def handle_counted(event: Event, now: float) -> list[Effect]:
            effects = handle(event, now)
            for effect in effects:
                self._count(name, effect, now)
            return effects

        core.handle = handle_counted
        return core

    def _count(self, name: str, effect: Effect, now: float) -> None:
        if isinstance(effect, SendPeer) and isinstance(effect.message, LoadReport):
            size = len(encode(effect.message)) + SEAL_BYTES
            self.report_bytes[name, int(now)] += size


class BalanceRun:
    """A measurement of one size under one condition with one seed."""

    def __init__(
        self, upstreams: int, flows: int, seed: int, condition: Condition
    ) -> None:
        self.flows = flows
        self.condition = condition
        short = max(int(flows * SHORT_HINTS_SHARE), 1)
        max_hints = HELD_HINTS if condition.is_held else short
        self.region = ReportCountingRegion(seed, upstreams, max_hints)
        self.opening_interval = condition.turnover / flows
        self._random = Random(seed)
        self.ports = self._random.sample(range(1, PORT_STEP + 1), flows)
        self._active: list[int] = []
        self._active_indexes: dict[int, int] = {}
        self._packets_due = 0.0

    def warm_up(self) -> None:
        """Send traffic so that agents measure how few packets short hints help."""
        count = min(self.flows, WARM_UP_FLOWS)
        ports = range(WARM_UP_PORT, WARM_UP_PORT + count)
        self.region.send_all(SERVICE, ports, gap=SURGE_S / count)
        for _ in range(int(WARM_UP_S * WARM_UP_PACKETS_PER_S)):
            self.region.send(SERVICE, self._random.choice(ports))
            self.region.network.run(1.0 / WARM_UP_PACKETS_PER_S)
        self.region.network.run(1.0)
        for port in ports:
            self._end(port)
            self.region.network.run(SURGE_S / count)
        self.region.network.run(1.0)

    def open_all(self) -> None:
        """Open all flows, one after the other."""
        max_active = ACTIVE_FLOWS if self.condition.is_held else self.flows
        for port in self.ports:
            self.region.send(SERVICE, port)
            if len(self._active) < max_active:
                self._active_indexes[port] = len(self._active)
                self._active.append(port)
            self._send_from_active()
        self.region.network.run(1.0)

    def replace(self, ports: list[int]) -> list[int]:
        """End flows, open a new one in place of each, and return the new ports."""
        reopened = []
        for port in ports:
            new = port + PORT_STEP
            index = self._active_indexes.pop(port, None)
            if index is not None:
                self._active_indexes[new] = index
                self._active[index] = new
                self.region.network.run(min(IDLE_BEFORE_END_S, self.opening_interval))
            self._end(port)
            self.region.send(SERVICE, new)
            reopened.append(new)
            self._send_from_active()
        self.region.network.run(1.0)
        return reopened

    def drain_and_return(self) -> None:
        """Drain an upstream until its flows have ended, then end the drain.

        Callers open a new flow in place of each that ended. After the drain,
        every flow ends and is replaced by a new one.
        """
        self.region.change(Drain(DRAINED))
        self.region.network.run(1.0)
        drained_ports = [
            port for port in self.ports if self._find_owner(port) == DRAINED
        ]
        other_ports = [port for port in self.ports if self._find_owner(port) != DRAINED]
        reopened = self.replace(drained_ports)
        self.region.change(removed=(Removed(0, "Drain", DRAINED),))
        self.region.network.run(1.0)
        open_now = other_ports + reopened
        Random(self.ports[0]).shuffle(open_now)
        self.replace(open_now)

    def find_spread(self) -> float:
        """Return the highest number of flows of an upstream over the mean."""
        flow_counts = [len(core.flows) for core in self.region.list_agents(SERVICE)]
        return round(max(flow_counts) * len(flow_counts) / max(sum(flow_counts), 1), 4)

    def count_hops(self) -> float:
        """Return the mean extra hops of packets of the active flows."""
        ports = self._random.choices(self._active, k=SAMPLE_PACKETS)
        return self._count_hops_of(ports)

    def count_hops_a_flow(self) -> float:
        """Return the extra hops of a flow until all entry hosts know it.

        Returns 0 with short hints, or where every flow is active.
        """
        agents = self.region.list_agents(SERVICE)
        handover_hops = (
            sum(core.counters["handed_over"] for core in agents) / self.flows
        )
        inactive = [port for port in self.ports if port not in self._active_indexes]
        if not self.condition.is_held or not inactive:
            return 0.0
        sample = self._random.sample(inactive, min(len(inactive), MAX_SAMPLE))
        later_hops = sum(self._count_hops_of(sample) for _ in range(STEADY_PACKETS))
        return round(handover_hops + later_hops, 4)

    def _count_hops_of(self, ports: list[int]) -> float:
        before = self._count_forwarded()
        self.region.send_all(SERVICE, ports, gap=0.0005)
        return round((self._count_forwarded() - before) / len(ports), 4)

    def _count_forwarded(self) -> int:
        agents = self.region.list_agents(SERVICE)
        return sum(core.counters["passed_on"] for core in agents)

    def _send_from_active(self) -> None:
        """Send packets of active flows until the next flow is due to be opened."""
        total = SHORT_PACKETS * self.flows
        self._packets_due += (
            ACTIVE_PACKETS if self.condition.is_held else total
        ) / self.flows
        count = int(self._packets_due)
        self._packets_due -= count
        for _ in range(count):
            self.region.send(SERVICE, self._random.choice(self._active))
            self.region.network.run(self.opening_interval / count)
        if not count:
            self.region.network.run(self.opening_interval)

    def _end(self, port: int) -> None:
        flow = self.region.get_flow(SERVICE, port)
        self.region.network.inject(self._find_owner(port), StreamEnded(flow))

    def _find_owner(self, port: int) -> str:
        return self.region.owners[self.region.get_flow(SERVICE, port)][0]


def run(
    seeds: tuple[int, ...] = SEEDS,
    sizes: tuple[tuple[int, int], ...] = SIZES,
    short_sizes: tuple[tuple[int, int], ...] = SHORT_SIZES,
    conditions: tuple[Condition, ...] = CONDITIONS,
) -> BalanceReport:
    """Measure every size, given as upstreams and flows, over the seeds."""
    spreads = []
    for condition in conditions:
        for upstreams, flows in sizes if condition.is_held else short_sizes:
            runs = [measure(upstreams, flows, seed, condition) for seed in seeds]
            spreads.append(_average(runs))
    return BalanceReport(len(seeds), spreads)


def _average(runs: list[Spread]) -> Spread:
    def mean(field: str) -> float:
        return round(sum(getattr(spread, field) for spread in runs) / len(runs), 4)

    return Spread(
        runs[0].upstreams,
        runs[0].flows,
        runs[0].turnover_s,
        runs[0].hints,
        mean("steady"),
        mean("two_choice"),
        mean("returned"),
        mean("two_choice_returned"),
        max(spread.worst for spread in runs),
        mean("hash_only"),
        mean("extra_hops"),
        mean("extra_hops_returned"),
        mean("hops_a_flow"),
        max(spread.report_bytes for spread in runs),
        sum(spread.refused for spread in runs),
    )


def measure(upstreams: int, flows: int, seed: int, condition: Condition) -> Spread:
    """Measure one size under one condition with one seed."""
    balance_run = BalanceRun(upstreams, flows, seed, condition)
    table = balance_run.region.list_agents(SERVICE)[0].service
    assert isinstance(table, ServiceTable)
    if not condition.is_held:
        balance_run.warm_up()
    balance_run.open_all()
    steady = balance_run.find_spread()
    extra_hops = balance_run.count_hops()
    hops_a_flow = balance_run.count_hops_a_flow()
    balance_run.drain_and_return()
    returned = balance_run.find_spread()
    two_choice_spreads = spread_by_two_choices(
        table, balance_run.ports, DRAINED, PORT_STEP
    )
    return Spread(
        upstreams,
        flows,
        condition.turnover,
        "held" if condition.is_held else "short",
        steady,
        two_choice_spreads[0],
        returned,
        two_choice_spreads[1],
        round(max(steady, returned), 4),
        spread_by_hash(table, balance_run.ports),
        extra_hops,
        balance_run.count_hops(),
        hops_a_flow,
        max(balance_run.region.report_bytes.values(), default=0),
        _count_refused(balance_run.region),
    )


def _count_refused(region: RoutedRegion) -> int:
    refused = 0
    for core in region.list_agents(SERVICE):
        for name, count in core.counters.items():
            refused += count if name.startswith("refused_") else 0
    return refused
