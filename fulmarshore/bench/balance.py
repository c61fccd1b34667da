"""How evenly flows spread over the upstreams of a service.

The cores run over the fake network. Beside them, over the same flows: a hash
alone, and the better of two candidates with loads known exactly.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from msgspec import Struct

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Drain, Removed, StreamEnded
from fulmarshore.routing.table import ServiceTable
from fulmarshore.standins.routing import RoutedRegion

SIZES = ((7, 21), (7, 700), (7, 14_000), (3, 9), (3, 6_000))
SEEDS = (1, 2, 3)
CONNECTIONS = 4_000
"""Above the mean of every size, so that no limit evens the spread out."""
OPENING_TIME_S = 10.0
HINT_ROUNDS = 4
"""Packets of each flow before the entry hosts are taken to know its owner."""
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
    hash_only, two_choice : float
        The same for the baselines, after the opening.
    extra_hops, extra_hops_unhinted : float
        Agents that a packet passes through beyond its owner, through entry
        hosts that know owners, and through ones that never heard of them.
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
    extra_hops: float
    extra_hops_unhinted: float
    refused: int


class BalanceReport(Struct, frozen=True):
    """Spread for each size."""

    seeds: int
    sizes: list[Spread]


def run(seeds: tuple[int, ...] = SEEDS) -> BalanceReport:
    """Measure every size over the seeds."""
    sizes = []
    for upstreams, flows in SIZES:
        runs = [_measure(upstreams, flows, seed) for seed in seeds]
        sizes.append(_average(runs))
    return BalanceReport(len(seeds), sizes)


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
        mean("extra_hops"),
        mean("extra_hops_unhinted"),
        sum(one.refused for one in runs),
    )


def _measure(upstreams: int, flows: int, seed: int) -> Spread:
    region = RoutedRegion(seed, {SERVICE: upstreams}, 3, CONNECTIONS)
    first = 1 + (seed - 1) * flows
    ports = range(first, first + flows)
    gap = OPENING_TIME_S / flows
    region.send_all(SERVICE, ports, gap=gap)
    region.network.run(1.0)
    steady = _find_spread(region)
    hash_only, two_choice = _find_baselines(region, ports)
    for _ in range(HINT_ROUNDS):
        hops = _count_hops(region, ports)
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
        hash_only,
        two_choice,
        hops,
        unhinted,
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
    fresh = [port + 20_000 for port in ports]
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


def _count_hops(region: RoutedRegion, ports: range) -> float:
    before = _count_passed(region)
    region.send_all(SERVICE, ports, gap=0.0001)
    return round((_count_passed(region) - before) / len(ports), 4)


def _count_passed(region: RoutedRegion) -> int:
    cores = region.list_agents(SERVICE)
    return sum(core.counters["passed_on"] for core in cores)


def _find_baselines(region: RoutedRegion, ports: range) -> tuple[float, float]:
    table = region.list_agents(SERVICE)[0].service
    assert isinstance(table, ServiceTable)
    hashed: Counter[str] = Counter()
    chosen: Counter[str] = Counter()
    for port in ports:
        row = table.get_row(find_bucket(region.get_flow(SERVICE, port)))
        hashed[row[0].name] += 1
        better = min(row[:2], key=lambda member: chosen[member.name])
        chosen[better.name] += 1
    mean = len(ports) / len(table.members)
    return (
        round(max(hashed.values()) / mean, 4),
        round(max(chosen.values()) / mean, 4),
    )
