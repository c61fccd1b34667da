"""How evenly flows spread over the upstreams of a service.

The cores run over the fake network. Beside them, over the same flows: a hash
alone, and the better of two candidates with loads known exactly.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from random import Random

from msgspec import Struct

from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.core.records import Drain, Removed, StreamEnded
from fulmarshore.routing.table import ServiceTable
from fulmarshore.standins.routing import CALLER_HOST, RoutedRegion

SIZES = ((7, 21), (7, 700), (7, 14_000), (3, 9), (3, 6_000))
SEEDS = (1, 2, 3)
CONNECTIONS = 4_000
"""Above the mean of every size, so that no limit evens the spread out."""
OPENING_TIME_S = 10.0
EARLY_PACKETS = 4
"""Packets of a young flow; few entry hosts have seen it yet."""
STEADY_PACKETS = 32
"""Packets after which all but a millionth of entry hosts have seen a flow."""
MAX_SAMPLE = 700
"""Flows of which so many packets are sent."""
HOP_TARGET = 0.05
PORT_STEP = 20_000
"""What a flow's port is raised by when it is opened anew."""
SERVICE = "s"


class Spread(Struct, frozen=True):
    """How one number of flows spreads, the mean over the seeds.

    Parameters
    ----------
    upstreams, flows : int
        Size of the service.
    steady, returned : float
        Most flows of an upstream over the mean, after the opening and after
        one upstream was drained, lost its flows, and came back.
    worst : float
        The highest of both over all seeds.
    hash_only, two_choice, two_choice_returned : float
        The same for the baselines.
    extra_hops : float
        Agents that a packet passes through beyond its owner, once its flow
        has sent ``STEADY_PACKETS`` through random entry hosts.
    extra_hops_early, extra_hops_unhinted : float
        The same after ``EARLY_PACKETS``, and through entry hosts that never
        heard of the flow.
    hops_a_flow : float
        Extra hops of all packets of a flow, its opening included, until the
        steady state is reached.
    packets_to_target : int
        Packets of a flow from which on the mean over all of them is within
        ``HOP_TARGET``.
    refused : int
        Openings refused; no upstream was ever full.
    """

    upstreams: int
    flows: int
    steady: float
    returned: float
    worst: float
    hash_only: float
    two_choice: float
    two_choice_returned: float
    extra_hops: float
    extra_hops_early: float
    extra_hops_unhinted: float
    hops_a_flow: float
    packets_to_target: int
    refused: int


class BalanceReport(Struct, frozen=True):
    """Spread for each size."""

    seeds: int
    sizes: list[Spread]


def run(
    seeds: tuple[int, ...] = SEEDS, sizes: tuple[tuple[int, int], ...] = SIZES
) -> BalanceReport:
    """Measure every size, upstreams and flows, over the seeds."""
    spreads = []
    for upstreams, flows in sizes:
        runs = [measure(upstreams, flows, seed) for seed in seeds]
        spreads.append(_average(runs))
    return BalanceReport(len(seeds), spreads)


def _average(runs: list[Spread]) -> Spread:
    def mean(field: str) -> float:
        return round(sum(getattr(one, field) for one in runs) / len(runs), 4)

    return Spread(
        runs[0].upstreams,
        runs[0].flows,
        mean("steady"),
        mean("returned"),
        max(one.worst for one in runs),
        mean("hash_only"),
        mean("two_choice"),
        mean("two_choice_returned"),
        mean("extra_hops"),
        mean("extra_hops_early"),
        mean("extra_hops_unhinted"),
        mean("hops_a_flow"),
        max(one.packets_to_target for one in runs),
        sum(one.refused for one in runs),
    )


def measure(upstreams: int, flows: int, seed: int) -> Spread:
    """Measure one size with one seed."""
    region = RoutedRegion(seed, {SERVICE: upstreams}, 3, CONNECTIONS)
    first = 1 + (seed - 1) * flows
    ports = range(first, first + flows)
    gap = OPENING_TIME_S / flows
    region.send_all(SERVICE, ports, gap=gap)
    region.network.run(1.0)
    steady = _find_spread(region)
    table = region.list_agents(SERVICE)[0].service
    assert isinstance(table, ServiceTable)
    opening_hops = _count_passed(region) / flows
    # Drawn at random: the flows opened first are handed over more often.
    sample = Random(seed).sample(ports, min(flows, MAX_SAMPLE))
    hops = [_count_hops(region, sample) for _ in range(STEADY_PACKETS)]
    hops_a_flow = opening_hops + sum(hops)
    for name in region.list_running("entry"):
        host = region.hosts[name]
        region.add_entry(name, host.zone)
    region.network.run(1.0)
    unhinted = _count_hops(region, ports)
    returned = _drain_and_return(region, list(ports), gap)
    refused = sum(
        count
        for core in region.list_agents(SERVICE)
        for name, count in core.counters.items()
        if name.startswith("refused_")
    )
    return Spread(
        upstreams,
        flows,
        steady,
        returned,
        round(max(steady, returned), 4),
        _spread_by_hash(table, ports),
        *_spread_by_choice(table, ports),
        hops[-1],
        hops[EARLY_PACKETS - 1],
        unhinted,
        hops_a_flow,
        math.ceil(hops_a_flow / HOP_TARGET),
        refused,
    )


def _drain_and_return(region: RoutedRegion, ports: list[int], gap: float) -> float:
    """Drain an upstream until its flows have ended, and let it come back.

    Callers open a new flow in place of each that ended, and once the
    upstream is back every flow ends and is opened anew.
    """
    random = Random(ports[0])
    name = f"{SERVICE}-1"
    region.change(Drain(name))
    region.network.run(1.0)
    gone = [port for port in ports if _find_owner(region, port) == name]
    kept = [port for port in ports if _find_owner(region, port) != name]
    fresh = _replace(region, gone, gap)
    region.change(removed=(Removed(0, "Drain", name),))
    region.network.run(1.0)
    open_now = kept + fresh
    random.shuffle(open_now)
    _replace(region, open_now, gap)
    return _find_spread(region)


def _replace(region: RoutedRegion, ports: list[int], gap: float) -> list[int]:
    fresh = [port + PORT_STEP for port in ports]
    for port, new in zip(ports, fresh, strict=True):
        flow = region.get_flow(SERVICE, port)
        owner = _find_owner(region, port)
        region.network.inject(owner, StreamEnded(flow))
        region.send(SERVICE, new)
        region.network.run(gap)
    region.network.run(1.0)
    return fresh


def _find_owner(region: RoutedRegion, port: int) -> str:
    return region.owners[region.get_flow(SERVICE, port)][0]


def _find_spread(region: RoutedRegion) -> float:
    held = [len(core.flows) for core in region.list_agents(SERVICE)]
    return round(max(held) * len(held) / max(sum(held), 1), 4)


def _count_hops(region: RoutedRegion, ports: Sequence[int]) -> float:
    before = _count_passed(region)
    region.send_all(SERVICE, ports, gap=0.0001)
    return round((_count_passed(region) - before) / len(ports), 4)


def _count_passed(region: RoutedRegion) -> int:
    cores = region.list_agents(SERVICE)
    return sum(core.counters["passed_on"] for core in cores)


def _get_row(table: ServiceTable, port: int) -> tuple[str, ...]:
    flow = hash_flow(SERVICE, CALLER_HOST, port)
    return tuple(member.name for member in table.get_row(find_bucket(flow)))


def _spread_by_hash(table: ServiceTable, ports: range) -> float:
    hashed = Counter(_get_row(table, port)[0] for port in ports)
    return round(max(hashed.values()) * len(table.members) / len(ports), 4)


class Choices:
    """The better of the first two of each row, with loads known exactly."""

    __slots__ = ("_table", "_owners", "_loads")

    def __init__(self, table: ServiceTable) -> None:
        self._table = table
        self._owners: dict[int, str] = {}
        self._loads: Counter[str] = Counter()

    def open(self, port: int, drained: str = "") -> None:
        """Open a flow at an upstream that is not drained."""
        row = [name for name in _get_row(self._table, port) if name != drained]
        owner = min(row[:2], key=lambda name: self._loads[name])
        self._owners[port] = owner
        self._loads[owner] += 1

    def replace(self, ports: list[int], drained: str = "") -> None:
        """End flows, and open a new one in place of each."""
        for port in ports:
            self._loads[self._owners.pop(port)] -= 1
            self.open(port + PORT_STEP, drained)

    def list_flows(self, owner: str) -> list[int]:
        """Return the flows of an upstream."""
        return [port for port, name in self._owners.items() if name == owner]

    def list_open(self) -> list[int]:
        """Return all flows."""
        return list(self._owners)

    def find_spread(self) -> float:
        """Return the highest load over the mean."""
        mean = len(self._owners) / len(self._table.members)
        return round(max(self._loads.values()) / mean, 4)


def _spread_by_choice(table: ServiceTable, ports: range) -> tuple[float, float]:
    """Return the spread after the opening, and after a drain and return."""
    choices = Choices(table)
    for port in ports:
        choices.open(port)
    steady = choices.find_spread()
    name = f"{SERVICE}-1"
    choices.replace(choices.list_flows(name), name)
    open_now = choices.list_open()
    Random(ports[0]).shuffle(open_now)
    choices.replace(open_now)
    return steady, choices.find_spread()
