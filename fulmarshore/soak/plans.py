"""Fault plans: hosts, faults and operators' orders over time, drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

BURST_S = 6.0
"""Length of a burst, in which faults start; they may overlap and repeat."""
BURST_GAP_S = 18.0
"""Time between two bursts: the last fault may last 5 s, invariants with a time bound
are checked from 4 s after it, and the longest bound is 5 s."""
STARTUP_S = 6.0
"""Fault-free time at the start, in which the programs start and the first configuration
comes into force."""
PLANNED_OFFSET_S = (15.0, 16.0)
"""Planned work starts this long after the start of a burst: 4 s after its last fault,
so that every bound is checked, and early enough to end before the next burst."""
FAULTS_PER_BURST = (3, 7)
DURATION_S = (0.5, 5.0)
MIN_WIPE_INTERVAL_S = 10.0
"""Time between two wiped disks: the settings tolerate the loss of one disk at a time,
and an empty one needs the others to catch up."""
ENTRY, AGENT, CONTROL = "entry", "agent", "control"
SERVICES = ("desk", "store")
MIN_UPSTREAMS = 2
"""Upstreams that a service keeps when one moves to the other service: an availability
zone may be out at the same time."""
ROLE_KINDS = {
    ENTRY: ("kill", "pause", "restart", "cut", "one_way", "loss", "delay"),
    AGENT: ("kill", "pause", "restart", "cut", "one_way", "loss", "delay"),
    CONTROL: (
        "kill",
        "pause",
        "restart",
        "cut",
        "one_way",
        "loss",
        "delay",
        "power",
        "wipe",
        "disk_full",
        "disk_slow",
        "disk_stall",
        "reset_connections",
        "silence_connections",
    ),
}
UPSTREAM_KINDS = ("crash", "drain", "reuse", "clock_step", "silent")
SYSTEM_KINDS = ("kill_controls", "power_controls", "kill_all", "hup")
PLANNED_KINDS = frozenset({"restart", "drain", "hup"})
"""Kinds of planned work, which must not break a flow."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to inject, or planned work.

    Parameters
    ----------
    at : float
        When it starts, seconds from the start of the run.
    kind : str
        One of the kinds above.
    host : str
        Affected host; empty for kinds that affect several hosts.
    for_s : float
        Duration, seconds; ignored by kinds without one.
    """

    at: float
    kind: str
    host: str
    for_s: float


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order of the operators.

    Parameters
    ----------
    at : float
        When it is sent, seconds from the start of the run.
    kind : str
        ``change``, ``race``, ``invalid``, ``zone_out`` or ``zone_in``.
    """

    at: float
    kind: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The hosts, faults and orders of one run.

    Parameters
    ----------
    seed : int
        Seed that it was drawn from.
    seconds : float
        Length of the run, seconds.
    controls, entries : tuple of str
        Names of control and entry hosts.
    upstreams : dict of str to str
        Service of each upstream host at the start.
    faults : tuple of Fault
        Faults and planned work, ordered by time.
    orders : tuple of PlannedOrder
        Orders of the operators, ordered by time.
    """

    seed: int
    seconds: float
    controls: tuple[str, ...]
    entries: tuple[str, ...]
    upstreams: dict[str, str]
    faults: tuple[Fault, ...]
    orders: tuple[PlannedOrder, ...]

    def get_role(self, host: str) -> str:
        """Return the role of a host."""
        if host in self.controls:
            return CONTROL
        return ENTRY if host in self.entries else AGENT


def make_plan(seed: int, seconds: float, entries: int = 3, upstreams: int = 6) -> Plan:
    """Draw a fault plan; the same arguments give the same plan."""
    random = Random(seed)
    controls = tuple(f"control-{number}" for number in range(3))
    entry_hosts = tuple(f"entry-{number}" for number in range(entries))
    services = {
        f"agent-{number}": SERVICES[number % len(SERVICES)]
        for number in range(upstreams)
    }
    current_services = dict(services)
    roles = {
        **dict.fromkeys(controls, CONTROL),
        **dict.fromkeys(entry_hosts, ENTRY),
        **dict.fromkeys(services, AGENT),
    }
    faults: list[Fault] = []
    orders: list[PlannedOrder] = []
    burst_start = STARTUP_S
    last_wipe_at = float("-inf")
    is_zone_out = False
    while burst_start + BURST_S + BURST_GAP_S <= seconds:
        for _ in range(random.randint(*FAULTS_PER_BURST)):
            fault = _draw_fault(random, roles, burst_start)
            if fault.kind == "wipe":
                if fault.at - last_wipe_at < MIN_WIPE_INTERVAL_S:
                    continue
                last_wipe_at = fault.at
            if fault.kind == "reuse" and not _move_upstream(
                current_services, fault.host
            ):
                continue
            faults.append(fault)
        for _ in range(random.randint(2, 6)):
            at = burst_start + random.uniform(0, BURST_S + BURST_GAP_S / 3)
            kind = random.choice(["change", "change", "race", "invalid"])
            orders.append(PlannedOrder(at, kind))
        for _ in range(random.randint(1, 2)):
            host = random.choice(list(services))
            kind = random.choice(sorted(PLANNED_KINDS))
            at = burst_start + random.uniform(*PLANNED_OFFSET_S)
            faults.append(Fault(at, kind, "" if kind == "hup" else host, 0.0))
        if random.random() < 0.7:
            kind = "zone_in" if is_zone_out else "zone_out"
            is_zone_out = not is_zone_out
            begin, end = random.choice([(0.0, BURST_S), PLANNED_OFFSET_S])
            orders.append(PlannedOrder(burst_start + random.uniform(begin, end), kind))
        burst_start += BURST_S + BURST_GAP_S
    faults.sort(key=lambda fault: fault.at)
    orders.sort(key=lambda order: order.at)
    return Plan(
        seed, seconds, controls, entry_hosts, services, tuple(faults), tuple(orders)
    )


def _move_upstream(current_services: dict[str, str], host: str) -> bool:
    """Move an upstream to the other service unless its own keeps too few."""
    service = current_services[host]
    if list(current_services.values()).count(service) <= MIN_UPSTREAMS:
        return False
    current_services[host] = next(name for name in SERVICES if name != service)
    return True


def _draw_fault(random: Random, roles: dict[str, str], burst_start: float) -> Fault:
    at = burst_start + random.uniform(0, BURST_S)
    for_s = random.uniform(*DURATION_S)
    draw = random.random()
    if draw < 0.15:
        return Fault(at, random.choice(SYSTEM_KINDS), "", for_s)
    role = random.choice((CONTROL, ENTRY, AGENT))
    host = random.choice(
        [name for name, host_role in roles.items() if host_role == role]
    )
    if roles[host] == AGENT and draw < 0.6:
        return Fault(at, random.choice(UPSTREAM_KINDS), host, for_s)
    return Fault(at, random.choice(ROLE_KINDS[roles[host]]), host, for_s)
