"""How evenly flows spread over the upstreams of a service.

The cores run over the fake network. Beside them, over the same flows: a hash
alone, and the better of two candidates with loads known exactly.

Each size is measured where the hints of the entry hosts hold the flows, and
some where they hold a fifth; with all flows opened, and replaced, in 10 s and
at the rate of the long-run size.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from msgspec import Struct

from fulmarshore.bench.baselines import spread_by_choice, spread_by_hash
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
"""Today's sizes and a service of the long-run size: 4 endpoints of 1,230."""
SHORT_SIZES = ((7, 700), (7, 14_000), (4, 4_920))
SEEDS = (1, 2, 3)
SURGE_S = 10.0
FLOW_LIFE_S = 229.0
"""16 million flows at 70,000 new ones a second."""
CONNECTIONS = 4_000
"""Above the mean of every size, so that no limit evens the spread out."""
IDLE_TIMEOUT_S = 3_600.0
"""No flow of a run ends by itself."""
HELD_HINTS = 330_000
SHORT_HINTS_SHARE = 0.1
"""Of the flows, in one of two generations."""
TALKING_FLOWS = 30
TALKED_PACKETS = 28_000
"""While hints hold, few flows talk much: a flow sends about a thousand packets."""
SHORT_PACKETS = 4
"""Packets of each flow in a turnover where hints are short; all flows talk."""
LEARNING_FLOWS = 5_000
LEARNING_TIME_S = 120.0
LEARNING_PACKETS_PER_S = 400
"""Before a run with short hints; such a service has run for long."""
HOP_TARGET = 0.05
SAMPLE_PACKETS = 4_000
STEADY_PACKETS = 32
"""Packets after which all but a millionth of entry hosts have seen a flow."""
MAX_SAMPLE = 350
"""Flows that had not talked, of which so many packets are sent."""
QUIET_S = 0.02
"""A caller that ends its flow has been silent for this long."""
PORT_STEP = 20_000
"""What a flow's port is raised by when it is opened anew."""
LEARNING_PORT = 3 * PORT_STEP
SERVICE = "s"
DRAINED = f"{SERVICE}-1"


class Condition(Struct, frozen=True):
    """What a size is measured under.

    Parameters
    ----------
    turnover : float
        Time in which all flows are opened or replaced, in seconds.
    is_held : bool
        Whether hints hold all flows, and not a fifth.
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
    """How one number of flows spreads, the mean over the seeds.

    Parameters
    ----------
    upstreams, flows : int
        Size of the service.
    turnover_s : float
        Time in which all flows were opened, and replaced.
    hints : str
        Whether hints held all flows, or a fifth.
    steady, returned : float
        Most flows of an upstream over the mean, after the opening and after
        one upstream was drained, lost its flows, and came back.
    worst : float
        The highest of both over all seeds.
    two_choice, two_choice_returned, hash_only : float
        The same for the baselines.
    extra_hops, extra_hops_returned : float
        Agents that a packet of an open flow passes through beyond its owner.
    hops_a_flow : float
        Where hints hold: extra hops of all packets of a flow, its opening
        included, until every entry host knows it.
    report_bytes : int
        Most bytes of load reports of an agent in a second.
    refused : int
        Openings refused; no upstream was ever full.
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


class CountedRegion(RoutedRegion):
    """A region that counts the bytes of load reports, in each whole second."""

    def __init__(self, seed: int, upstreams: int, max_hints: int) -> None:
        self.report_bytes: Counter[tuple[str, int]] = Counter()
        services = {SERVICE: upstreams}
        super().__init__(
            seed, services, 3, CONNECTIONS, None, IDLE_TIMEOUT_S, max_hints
        )

    def add_agent(self, name: str, service: str, zone: str) -> AgentCore:
        """Start an agent whose reports are counted."""
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


class Run:
    """One size under one condition with one seed."""

    def __init__(
        self, upstreams: int, flows: int, seed: int, condition: Condition
    ) -> None:
        self.flows = flows
        self.condition = condition
        short = max(int(flows * SHORT_HINTS_SHARE), 1)
        max_hints = HELD_HINTS if condition.is_held else short
        self.region = CountedRegion(seed, upstreams, max_hints)
        self.gap = condition.turnover / flows
        self._random = Random(seed)
        self.ports = self._random.sample(range(1, PORT_STEP + 1), flows)
        self._talking: list[int] = []
        self._places: dict[int, int] = {}
        self._due = 0.0

    def learn(self) -> None:
        """Let the agents see for a while how few packets hints help."""
        count = min(self.flows, LEARNING_FLOWS)
        ports = range(LEARNING_PORT, LEARNING_PORT + count)
        self.region.send_all(SERVICE, ports, gap=SURGE_S / count)
        for _ in range(int(LEARNING_TIME_S * LEARNING_PACKETS_PER_S)):
            self.region.send(SERVICE, self._random.choice(ports))
            self.region.network.run(1.0 / LEARNING_PACKETS_PER_S)
        self.region.network.run(1.0)
        for port in ports:
            self._end(port)
            self.region.network.run(SURGE_S / count)
        self.region.network.run(1.0)

    def open_all(self) -> None:
        """Open all flows, one after the other."""
        most = TALKING_FLOWS if self.condition.is_held else self.flows
        for port in self.ports:
            self.region.send(SERVICE, port)
            if len(self._talking) < most:
                self._places[port] = len(self._talking)
                self._talking.append(port)
            self._talk()
        self.region.network.run(1.0)

    def replace(self, ports: list[int]) -> list[int]:
        """End flows, and open a new one in place of each."""
        fresh = []
        for port in ports:
            new = port + PORT_STEP
            place = self._places.pop(port, None)
            if place is not None:
                self._places[new] = place
                self._talking[place] = new
                self.region.network.run(min(QUIET_S, self.gap))
            self._end(port)
            self.region.send(SERVICE, new)
            fresh.append(new)
            self._talk()
        self.region.network.run(1.0)
        return fresh

    def drain_and_return(self) -> None:
        """Drain an upstream until its flows have ended, and let it come back.

        Callers open a new flow in place of each that ended, and once the
        upstream is back every flow ends and is opened anew.
        """
        self.region.change(Drain(DRAINED))
        self.region.network.run(1.0)
        gone = [port for port in self.ports if self._find_owner(port) == DRAINED]
        kept = [port for port in self.ports if self._find_owner(port) != DRAINED]
        fresh = self.replace(gone)
        self.region.change(removed=(Removed(0, "Drain", DRAINED),))
        self.region.network.run(1.0)
        open_now = kept + fresh
        Random(self.ports[0]).shuffle(open_now)
        self.replace(open_now)

    def find_spread(self) -> float:
        """Return the most flows of an upstream over the mean."""
        held = [len(core.flows) for core in self.region.list_agents(SERVICE)]
        return round(max(held) * len(held) / max(sum(held), 1), 4)

    def count_hops(self) -> float:
        """Return the extra hops of packets of the flows that talk."""
        ports = self._random.choices(self._talking, k=SAMPLE_PACKETS)
        return self._count_hops_of(ports)

    def count_hops_a_flow(self) -> float:
        """Return the extra hops of the first packets of flows, their opening."""
        agents = self.region.list_agents(SERVICE)
        handed = sum(core.counters["handed_over"] for core in agents) / self.flows
        silent = [port for port in self.ports if port not in self._places]
        if not self.condition.is_held or not silent:
            return 0.0
        sample = self._random.sample(silent, min(len(silent), MAX_SAMPLE))
        later = sum(self._count_hops_of(sample) for _ in range(STEADY_PACKETS))
        return round(handed + later, 4)

    def _count_hops_of(self, ports: list[int]) -> float:
        before = self._count_passed()
        self.region.send_all(SERVICE, ports, gap=0.0005)
        return round((self._count_passed() - before) / len(ports), 4)

    def _count_passed(self) -> int:
        agents = self.region.list_agents(SERVICE)
        return sum(core.counters["passed_on"] for core in agents)

    def _talk(self) -> None:
        """Let flows send packets until the next one is due to be opened."""
        total = SHORT_PACKETS * self.flows
        self._due += (TALKED_PACKETS if self.condition.is_held else total) / self.flows
        count = int(self._due)
        self._due -= count
        for _ in range(count):
            self.region.send(SERVICE, self._random.choice(self._talking))
            self.region.network.run(self.gap / count)
        if not count:
            self.region.network.run(self.gap)

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
    """Measure every size, upstreams and flows, over the seeds."""
    spreads = []
    for condition in conditions:
        for upstreams, flows in sizes if condition.is_held else short_sizes:
            runs = [measure(upstreams, flows, seed, condition) for seed in seeds]
            spreads.append(_average(runs))
    return BalanceReport(len(seeds), spreads)


def _average(runs: list[Spread]) -> Spread:
    def mean(field: str) -> float:
        return round(sum(getattr(one, field) for one in runs) / len(runs), 4)

    return Spread(
        runs[0].upstreams,
        runs[0].flows,
        runs[0].turnover_s,
        runs[0].hints,
        mean("steady"),
        mean("two_choice"),
        mean("returned"),
        mean("two_choice_returned"),
        max(one.worst for one in runs),
        mean("hash_only"),
        mean("extra_hops"),
        mean("extra_hops_returned"),
        mean("hops_a_flow"),
        max(one.report_bytes for one in runs),
        sum(one.refused for one in runs),
    )


def measure(upstreams: int, flows: int, seed: int, condition: Condition) -> Spread:
    """Measure one size with one seed."""
    one = Run(upstreams, flows, seed, condition)
    table = one.region.list_agents(SERVICE)[0].service
    assert isinstance(table, ServiceTable)
    if not condition.is_held:
        one.learn()
    one.open_all()
    steady = one.find_spread()
    extra_hops = one.count_hops()
    hops_a_flow = one.count_hops_a_flow()
    one.drain_and_return()
    returned = one.find_spread()
    choices = spread_by_choice(table, one.ports, DRAINED, PORT_STEP)
    return Spread(
        upstreams,
        flows,
        condition.turnover,
        "held" if condition.is_held else "short",
        steady,
        choices[0],
        returned,
        choices[1],
        round(max(steady, returned), 4),
        spread_by_hash(table, one.ports),
        extra_hops,
        one.count_hops(),
        hops_a_flow,
        max(one.region.report_bytes.values(), default=0),
        _count_refused(one.region),
    )


def _count_refused(region: RoutedRegion) -> int:
    refused = 0
    for core in region.list_agents(SERVICE):
        for name, count in core.counters.items():
            refused += count if name.startswith("refused_") else 0
    return refused
