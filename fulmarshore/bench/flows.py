"""What planned changes and faults do to established flows, over the cores.

Every flow is opened, then the change happens, then every flow sends on
through random entry hosts that know no owners by heart, each packet to any of
them. A flow is broken if another upstream, or another life of its own, gets
its packets, or if nothing answers it any more.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.core.records import Drain, Removed, UpstreamGone, Zone
from fulmarshore.standins.routing import RoutedRegion

SERVICE = "s"
UPSTREAMS = 7
ENTRIES = 4
CONNECTIONS = 4_000
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
HIDDEN_S = 60.0
"""How long entry hosts keep an old version."""
CUT_OFF_S = 30.0
SEED = 7

Apply = Callable[[RoutedRegion], None]


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
    uncopied = [core.copier.count_uncopied(len(core.flows)) for core in agents]
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


def add_upstream(region: RoutedRegion) -> None:
    """Let another upstream announce itself."""
    region.add_agent(f"{SERVICE}-9", SERVICE, "a")


def drain_upstream(region: RoutedRegion) -> None:
    """Drain one upstream."""
    region.change(Drain(f"{SERVICE}-1"))


def drain_and_return(region: RoutedRegion) -> None:
    """Drain one upstream and take the drain back."""
    drain_upstream(region)
    region.network.run(2.0)
    region.change(removed=(Removed(0, "Drain", f"{SERVICE}-1"),))


def change_weight(region: RoutedRegion) -> None:
    """Halve the connections that one upstream announces."""
    core = region.get_agent(f"{SERVICE}-2")
    core.member = replace(core.member, connections=CONNECTIONS // 2)
    region.carry(f"{SERVICE}-2", core.subscriber.announce(core.member))


def add_entry_host(region: RoutedRegion) -> None:
    """Start another entry host."""
    region.add_entry("entry9", "b")


def stop_entry_host(region: RoutedRegion) -> None:
    """Stop an entry host as planned."""
    region.stop("entry0")


def kill_entry_host(region: RoutedRegion) -> None:
    """Kill an entry host."""
    region.crash("entry0")


def restart_entry_hosts(region: RoutedRegion) -> None:
    """Restart every entry host."""
    for number in range(ENTRIES):
        region.add_entry(f"entry{number}", "a")


def stop_agent(region: RoutedRegion) -> None:
    """Stop an agent as planned."""
    region.stop(f"{SERVICE}-3")


def restart_agent(region: RoutedRegion) -> None:
    """Restart an agent as planned."""
    region.restart(f"{SERVICE}-4")


def restart_agent_twice(region: RoutedRegion) -> None:
    """Restart an agent as planned, and its successor too."""
    region.restart(f"{SERVICE}-4")
    region.network.run(2.0)
    region.restart(f"{SERVICE}-4")


def restart_every_agent_in_turn(region: RoutedRegion) -> None:
    """Restart every agent as planned, one after the other."""
    for number in range(UPSTREAMS):
        region.restart(f"{SERVICE}-{number}")
        region.network.run(2.0)


def hide_versions_for_a_minute(region: RoutedRegion) -> None:
    """Let half of the entry hosts miss changes for a minute."""
    for number in range(ENTRIES // 2):
        region.network.cut("control", f"entry{number}")
    drain_and_return(region)
    add_upstream(region)
    region.network.run(HIDDEN_S)
    region.network.heal()


def cut_off_control(region: RoutedRegion) -> None:
    """Cut control off from every process for longer than a lease, and heal."""
    others = [name for name in region.network.nodes if name != "control"]
    region.network.part(["control"], others)
    region.network.run(CUT_OFF_S)
    region.network.heal()


def many_at_once(region: RoutedRegion) -> None:
    """Make changes of every kind at one moment."""
    region.network.cut("control", "entry1")
    kill_entry_host(region)
    add_upstream(region)
    drain_upstream(region)
    change_weight(region)
    restart_agent(region)
    stop_agent(region)
    add_entry_host(region)


def many_at_once_twice(region: RoutedRegion) -> None:
    """Make changes of every kind at one moment, and again."""
    many_at_once(region)
    region.network.run(2.0)
    region.network.heal()
    region.change(removed=(Removed(0, "Drain", f"{SERVICE}-1"),))
    region.add_entry("entry0", "a")
    region.restart(f"{SERVICE}-5")
    region.change(Drain(f"{SERVICE}-6"))


def hundred_versions(region: RoutedRegion) -> None:
    """Drain and undrain upstreams fifty times."""
    for number in range(50):
        name = f"{SERVICE}-{number % UPSTREAMS}"
        region.change(Drain(name))
        region.network.run(0.3)
        region.change(removed=(Removed(0, "Drain", name),))
        region.network.run(0.3)


def crash_upstream(region: RoutedRegion) -> None:
    """Kill an agent together with its upstream."""
    region.crash(f"{SERVICE}-1")
    region.lost.add(f"{SERVICE}-1")


def crash_agent_and_return(region: RoutedRegion) -> None:
    """Kill an agent shortly after many openings, most not yet copied."""
    region.lost.add(f"{SERVICE}-1")
    region.add_agent(f"{SERVICE}-1", SERVICE, "b")


def zone_out(region: RoutedRegion) -> None:
    """Take an availability zone out of service."""
    region.change(Zone("b", True))
    for name, member in region.members.items():
        if member.zone == "b":
            region.lost.add(name)


PLANNED: tuple[Apply, ...] = (
    add_upstream,
    drain_upstream,
    drain_and_return,
    change_weight,
    add_entry_host,
    stop_entry_host,
    kill_entry_host,
    restart_entry_hosts,
    stop_agent,
    restart_agent,
    restart_agent_twice,
    restart_every_agent_in_turn,
    hide_versions_for_a_minute,
    cut_off_control,
    many_at_once,
    many_at_once_twice,
    hundred_versions,
)
FAULTS: tuple[Apply, ...] = (crash_upstream, crash_agent_and_return, zone_out)
