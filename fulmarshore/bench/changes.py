"""Planned changes and faults that ``bench flows`` applies to a region.

The report prints the names of these functions as row labels.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from fulmarshore.core.records import Drain, Removed, Zone
from fulmarshore.standins.routing import RoutedRegion

SERVICE = "s"
UPSTREAMS = 7
ENTRIES = 4
CONNECTIONS = 4_000
HIDDEN_S = 60.0
"""How long some entry hosts miss new versions of the view."""
CUT_OFF_S = 30.0

Apply = Callable[[RoutedRegion], None]


def add_upstream(region: RoutedRegion) -> None:
    """Add another agent with its upstream."""
    region.add_agent(f"{SERVICE}-9", SERVICE, "a")


def drain_upstream(region: RoutedRegion) -> None:
    """Drain one upstream."""
    region.change(Drain(f"{SERVICE}-1"))


def drain_and_return(region: RoutedRegion) -> None:
    """Drain one upstream and remove the drain again."""
    drain_upstream(region)
    region.network.run(2.0)
    region.change(removed=(Removed(0, "Drain", f"{SERVICE}-1"),))


def change_weight(region: RoutedRegion) -> None:
    """Halve the connection limit that one agent announces for its upstream."""
    core = region.get_agent(f"{SERVICE}-2")
    core.member = replace(core.member, connections=CONNECTIONS // 2)
    region.apply_effects(f"{SERVICE}-2", core.subscriber.announce(core.member))


def add_entry_host(region: RoutedRegion) -> None:
    """Start another entry host."""
    region.add_entry("entry9", "b")


def stop_entry_host(region: RoutedRegion) -> None:
    """Stop an entry host gracefully."""
    region.stop("entry0")


def kill_entry_host(region: RoutedRegion) -> None:
    """Kill an entry host."""
    region.crash("entry0")


def restart_entry_hosts(region: RoutedRegion) -> None:
    """Restart every entry host."""
    for number in range(ENTRIES):
        region.add_entry(f"entry{number}", "a")


def stop_agent(region: RoutedRegion) -> None:
    """Stop an agent gracefully."""
    region.stop(f"{SERVICE}-3")


def restart_agent(region: RoutedRegion) -> None:
    """Restart an agent gracefully."""
    region.restart(f"{SERVICE}-4")


def restart_agent_twice(region: RoutedRegion) -> None:
    """Restart an agent gracefully, and then the restarted one again."""
    region.restart(f"{SERVICE}-4")
    region.network.run(2.0)
    region.restart(f"{SERVICE}-4")


def restart_every_agent_in_turn(region: RoutedRegion) -> None:
    """Restart every agent gracefully, one after the other."""
    for number in range(UPSTREAMS):
        region.restart(f"{SERVICE}-{number}")
        region.network.run(2.0)


def hide_versions_for_a_minute(region: RoutedRegion) -> None:
    """Cut half of the entry hosts off from control during changes, for a minute."""
    for number in range(ENTRIES // 2):
        region.network.cut("control", f"entry{number}")
    drain_and_return(region)
    add_upstream(region)
    region.network.run(HIDDEN_S)
    region.network.heal()


def cut_off_control(region: RoutedRegion) -> None:
    """Cut control off from every process for longer than a lease, then reconnect."""
    others = [name for name in region.network.nodes if name != "control"]
    region.network.partition(["control"], others)
    region.network.run(CUT_OFF_S)
    region.network.heal()


def many_at_once(region: RoutedRegion) -> None:
    """Make changes of every kind at the same time."""
    region.network.cut("control", "entry1")
    kill_entry_host(region)
    add_upstream(region)
    drain_upstream(region)
    change_weight(region)
    restart_agent(region)
    stop_agent(region)
    add_entry_host(region)


def many_at_once_twice(region: RoutedRegion) -> None:
    """Make changes of every kind at the same time, then a second set of them."""
    many_at_once(region)
    region.network.run(2.0)
    region.network.heal()
    region.change(removed=(Removed(0, "Drain", f"{SERVICE}-1"),))
    region.add_entry("entry0", "a")
    region.restart(f"{SERVICE}-5")
    region.change(Drain(f"{SERVICE}-6"))


def hundred_versions(region: RoutedRegion) -> None:
    """Drain upstreams and end the drain fifty times, which makes 100 versions."""
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
    """Kill and restart an agent shortly after many flows were opened.

    Most of these flows have not been copied to another agent yet.
    """
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
