"""Measures what planned changes and faults do to established flows.

All flows are opened over the pure cores on a simulated network, then the
change happens, then every flow sends more packets, each through a random entry
host that may hold no hint for the flow. A flow is broken if its packets reach
another upstream, or another incarnation of its upstream's agent, or if they
are no longer answered.
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
"""Rate of one agent at the size that the design targets."""
LATE_FLOWS = 400
UNCOPIED_S = 0.6
"""Flows opened in this time before a kill may not have been copied."""
COPY_TIME_S = 90.0
RETURN_S = 0.5
ROUNDS_AFTER = 2
SEED = 7


class ChangeRow(Struct, frozen=True):
    """Effect of one change on the open flows.

    Parameters
    ----------
    change : str
        Name of the change.
    planned : bool
        Whether it must not break any flow.
    flows : int
        Flows open when it happened.
    broken, given_up : int
        Flows that moved or are no longer answered. `given_up` counts those
        that may be lost: flows of a crashed upstream or of a zone taken out,
        and flows opened too shortly before an agent was killed to be copied.
    opened_twice, misdelivered : int
        Flows at two upstreams at once, and packets that reached an upstream
        of another service.
    extra_hops : float
        Agents that forward a packet before it reaches the flow's owner, as the
        mean over packets after the change.
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
    """All changes, with totals.

    The totals of flows and of broken ones cover planned changes only.
    """

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
    """Open some flows, apply one change, and count the flows that it broke.

    Parameters
    ----------
    change : callable
        Applies the change to a region.
    planned : bool
        Whether the change must not break any flow.
    size : int
        Flows to open.
    """
    region = _open_region(size)
    ports = range(1, size + 1)
    before = dict(region.owners)
    change(region)
    lost = _list_lost(region)
    protected = {flow for flow, owner in before.items() if owner[0] not in lost}
    return _check_flows(region, ports, protected, change.__name__, planned)


def measure_kills(size: int) -> ChangeRow:
    """Kill each agent in a region of its own, and return the totals."""
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
    """Kill an agent while its upstream keeps running, and restart it at once.

    Flows are opened until the kill, at the rate of the long-run size. Those of
    the last `UNCOPIED_S` may not have been copied yet and may be given up.

    Parameters
    ----------
    number : int
        Which agent is killed.
    size : int
        Flows to open first, all of which are copied before the kill.
    """
    name = f"{SERVICE}-{number}"
    region = _open_region(size)
    region.network.run(COPY_TIME_S)
    agents = region.list_agents(SERVICE)
    uncopied = [core.copy_sender.count_uncopied(len(core.flows)) for core in agents]
    assert not any(uncopied), "some flows are not copied yet"
    first = size + WARM_UP_FLOWS + 1
    late_ports = range(first, first + LATE_FLOWS)
    protected = set(region.owners)
    for port in late_ports:
        region.send(SERVICE, port)
        region.network.run(1.0 / (UPSTREAMS * OPENINGS_PER_S))
        if port < late_ports[-1] - UNCOPIED_S * UPSTREAMS * OPENINGS_PER_S:
            protected.add(region.get_flow(SERVICE, port))
    region.crash(name)
    region.network.run(RETURN_S)
    region.add_agent(name, SERVICE, "b")
    ports = [*range(1, size + 1), *late_ports]
    return _check_flows(region, ports, protected, "kill_agent_and_return", False)


def _open_region(size: int) -> RoutedRegion:
    services = {SERVICE: UPSTREAMS, "other": 2}
    region = RoutedRegion(SEED, services, ENTRIES, CONNECTIONS, idle_timeout=600.0)
    _warm_up(region, size)
    region.send_all(SERVICE, range(1, size + 1), gap=OPENING_TIME_S / size)
    return region


def _check_flows(
    region: RoutedRegion,
    ports: Sequence[int],
    protected: set[bytes],
    change: str,
    planned: bool,
) -> ChangeRow:
    """Send more packets of every flow and count the broken ones.

    Parameters
    ----------
    region : RoutedRegion
        The region that has just been changed.
    ports : sequence of int
        Callers' ports, one for each flow.
    protected : set of bytes
        Flows that must survive; others may be given up.
    change : str
        Name of the change.
    planned : bool
        Whether it must not break any flow.
    """
    region.network.run(4.0)
    # Datagrams to stopped processes are lost, so each caller sends once before
    # its answers are counted.
    region.send_all(SERVICE, ports, gap=0.0002)
    region.network.run(1.0)
    answers = dict(region.answers)
    forwarded_before = _count_forwarded(region)
    region.send_all(SERVICE, ports, ROUNDS_AFTER, gap=0.0002)
    region.network.run(1.0)
    broken = given_up = 0
    for port in ports:
        flow = region.get_flow(SERVICE, port)
        answered = region.answers[SERVICE, port] - answers.get((SERVICE, port), 0)
        if flow not in region.moved and answered >= ROUNDS_AFTER:
            continue
        if flow in protected:
            broken += 1
        else:
            given_up += 1
    hops = (_count_forwarded(region) - forwarded_before) / (ROUNDS_AFTER * len(ports))
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
    """Open and end flows so that all upstreams finish their slow start."""
    for port in range(size + 1, size + WARM_UP_FLOWS + 1):
        region.send(SERVICE, port)
        region.network.run(0.02)
    for flow, (name, _) in list(region.owners.items()):
        region.network.inject(name, UpstreamGone(flow))
    region.owners.clear()
    region.network.run(WARM_UP_S)


def _count_forwarded(region: RoutedRegion) -> int:
    return sum(core.counters["passed_on"] for core in region.list_agents(SERVICE))


def _list_lost(region: RoutedRegion) -> set[str]:
    """Return the names of upstreams that crashed or whose zone is out."""
    return {name for name in region.members if name in region.lost}
