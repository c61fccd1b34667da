"""What planned changes and faults do to established flows, over the cores.

Every flow is opened, then the change happens, then every flow sends on
through random entry hosts that know no owners by heart, each packet to any of
them. A flow is broken if another upstream, or another life of its own, gets
its packets, or if nothing answers it any more.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from fulmarshore.bench.changes import (
    CONNECTIONS,
    ENTRIES,
    FAULTS,
    PLANNED,
    SERVICE,
    UPSTREAMS,
    Apply,
)
from fulmarshore.core.records import UpstreamGone
from fulmarshore.standins.routing import RoutedRegion

SIZES = (700, 7_000)
WARM_UP_S = 35.0
"""Longer than the slow start of the upstreams."""
WARM_UP_FLOWS = 200
OPENING_TIME_S = 8.0
OPENINGS_PER_S = 5.4
"""Of one agent, at the size that the design is made for."""
LATE_FLOWS = 400
UNCOPIED_S = 0.6
"""Flows opened in this time before a kill may not have been copied."""
COPY_TIME_S = 90.0
RETURN_S = 0.5
ROUNDS_AFTER = 2
SEED = 7


class ChangeRow(Struct, frozen=True):
    """What one change did to some open flows.

    Parameters
    ----------
    change : str
        What happened.
    planned : bool
        Whether it must break nothing.
    flows : int
        Flows open when it happened.
    broken, given_up : int
        Flows that moved or went silent: those that had to stay, and those of
        an upstream that crashed or a zone taken out, or opened so shortly
        before the kill of an agent that nobody had copied them.
    opened_twice, misdelivered : int
        Flows at two upstreams at once, and packets at one of another service.
    extra_hops : float
        Agents that a packet after the change passed through beyond its owner.
    """

    change: str
    planned: bool
    flows: int
    broken: int
    given_up: int
    opened_twice: int
    misdelivered: int
    extra_hops: float


class FlowsReport(Struct, frozen=True):
    """All changes, and the sums over the planned ones."""

    planned_flows: int
    broken: int
    opened_twice: int
    misdelivered: int
    changes: list[ChangeRow]


def run(sizes: tuple[int, ...] = SIZES) -> FlowsReport:
    """Apply every change to every number of open flows."""
    rows = []
    for planned, changes in ((True, PLANNED), (False, FAULTS)):
        for change in changes:
            for size in sizes:
                rows.append(measure_change(change, planned, size))
    for size in sizes:
        rows.append(measure_kills(size))
    return FlowsReport(
        sum(row.flows for row in rows if row.planned),
        sum(row.broken for row in rows if row.planned),
        sum(row.opened_twice for row in rows),
        sum(row.misdelivered for row in rows),
        rows,
    )


def measure_change(change: Apply, planned: bool, size: int) -> ChangeRow:
    """Open some flows, make one change, and see what became of them.

    Parameters
    ----------
    change : callable
        Makes the change in a region.
    planned : bool
        Whether the change must break nothing.
    size : int
        Flows to open.
    """
    region = _open_region(size)
    ports = range(1, size + 1)
    before = dict(region.owners)
    change(region)
    lost = _list_lost(region)
    spared = {flow for flow, owner in before.items() if owner[0] not in lost}
    return _check_flows(region, ports, spared, change.__name__, planned)


def measure_kills(size: int) -> ChangeRow:
    """Kill each agent process in turn, each in a region of its own, and sum up."""
    rows = [measure_kill(number, size) for number in range(UPSTREAMS)]
    return ChangeRow(
        "kill_agent_and_return",
        False,
        sum(row.flows for row in rows),
        sum(row.broken for row in rows),
        sum(row.given_up for row in rows),
        sum(row.opened_twice for row in rows),
        sum(row.misdelivered for row in rows),
        round(sum(row.extra_hops for row in rows) / len(rows), 4),
    )


def measure_kill(number: int, size: int) -> ChangeRow:
    """Kill an agent process whose upstream lives, and start it again at once.

    Flows are opened until the kill, as many a second as in the long run. Those
    that nobody has copied yet, of the last `UNCOPIED_S`, may be given up.

    Parameters
    ----------
    number : int
        Which agent is killed.
    size : int
        Flows to open and have copied first.
    """
    name = f"{SERVICE}-{number}"
    region = _open_region(size)
    region.network.run(COPY_TIME_S)
    agents = region.list_agents(SERVICE)
    uncopied = [core.copy_sender.count_uncopied(len(core.flows)) for core in agents]
    assert not any(uncopied), "the copies are whole"
    first = size + WARM_UP_FLOWS + 1
    late = range(first, first + LATE_FLOWS)
    spared = set(region.owners)
    for port in late:
        region.send(SERVICE, port)
        region.network.run(1.0 / (UPSTREAMS * OPENINGS_PER_S))
        if port < late[-1] - UNCOPIED_S * UPSTREAMS * OPENINGS_PER_S:
            spared.add(region.get_flow(SERVICE, port))
    region.crash(name)
    region.network.run(RETURN_S)
    region.add_agent(name, SERVICE, "b")
    ports = [*range(1, size + 1), *late]
    return _check_flows(region, ports, spared, "kill_agent_and_return", False)


def _open_region(size: int) -> RoutedRegion:
    services = {SERVICE: UPSTREAMS, "other": 2}
    region = RoutedRegion(SEED, services, ENTRIES, CONNECTIONS, idle_timeout=600.0)
    _warm_up(region, size)
    region.send_all(SERVICE, range(1, size + 1), gap=OPENING_TIME_S / size)
    return region


def _check_flows(
    region: RoutedRegion,
    ports: Sequence[int],
    spared: set[bytes],
    change: str,
    planned: bool,
) -> ChangeRow:
    """Let every flow send on, and see which are broken.

    Parameters
    ----------
    region : RoutedRegion
        Where the change has just been made.
    ports : sequence of int
        The callers of the flows.
    spared : set of bytes
        Flows that had to stay; others may have been given up.
    change : str
        What happened.
    planned : bool
        Whether it must break nothing.
    """
    region.network.run(4.0)
    # A datagram to a process that is gone is lost; callers send another.
    region.send_all(SERVICE, ports, gap=0.0002)
    region.network.run(1.0)
    answers = dict(region.answers)
    passed = _count_passed(region)
    region.send_all(SERVICE, ports, ROUNDS_AFTER, gap=0.0002)
    region.network.run(1.0)
    broken = given_up = 0
    for port in ports:
        flow = region.get_flow(SERVICE, port)
        got = region.answers[SERVICE, port] - answers.get((SERVICE, port), 0)
        if flow not in region.moved and got >= ROUNDS_AFTER:
            continue
        if flow in spared:
            broken += 1
        else:
            given_up += 1
    hops = (_count_passed(region) - passed) / (ROUNDS_AFTER * len(ports))
    return ChangeRow(
        change,
        planned,
        len(ports),
        broken,
        given_up,
        region.opened_twice,
        region.misdelivered,
        round(hops, 4),
    )


def _warm_up(region: RoutedRegion, size: int) -> None:
    """Open and end a flow at each upstream, and wait for the slow start."""
    for port in range(size + 1, size + WARM_UP_FLOWS + 1):
        region.send(SERVICE, port)
        region.network.run(0.02)
    for flow, (name, _) in list(region.owners.items()):
        region.network.inject(name, UpstreamGone(flow))
    region.owners.clear()
    region.network.run(WARM_UP_S)


def _count_passed(region: RoutedRegion) -> int:
    return sum(core.counters["passed_on"] for core in region.list_agents(SERVICE))


def _list_lost(region: RoutedRegion) -> set[str]:
    """Return the upstreams that crashed or whose zone is out."""
    return {name for name in region.members if name in region.lost}
