"""Measures the guarantees of requests under faults, on a simulated network.

Requests that are not idempotent run at most once, none that ran is reported as
not run, and every answer belongs to its request. Callers send requests while
agents crash, drain, stall or are partitioned, and while datagrams are lost,
duplicated and delayed.
"""

from __future__ import annotations

from random import Random

from msgspec import Struct

from fulmarshore.core.records import Profile, TrafficKind, Zone
from fulmarshore.standins.network import Faults
from fulmarshore.standins.requests import CallerNode, RequestWorld
from fulmarshore.standins.work import WorkModel

REQUESTS = 100_000
FAULT_INTERVAL_S = 15.0
TIMEOUT_S = 8.0
WARM_UP_S = 8.0
SETTLE_S = 7.0
"""Run after the deadline of the last request.

This is longer than the longest delay of a late datagram.
"""
STEP_S = 0.05
CANCEL_SHARE = 0.02
IDEMPOTENT_SHARE = 0.1

FAULTS = Faults(
    loss=0.01,
    duplication=0.03,
    min_delay=0.0005,
    max_delay=0.01,
    late=0.01,
    max_late=4.5,
)
NO_FAULTS = Faults()
PROFILE = Profile(
    "orders",
    TrafficKind.NON_IDEMPOTENT,
    deadline=TIMEOUT_S,
    slow_start=3.0,
    cold_share=0.5,
)
MODEL = WorkModel(
    slots=3, service_s=0.02, cold_factor=1.0, warm_up_s=1.0, strain=1000.0
)


class OnceResult(Struct, frozen=True):
    """Outcomes of the requests, and violations of the guarantees.

    Parameters
    ----------
    requests, answered, not_run, unknown : int
        Number of requests, and of each outcome.
    ran_twice, false_refusals, wrong_answers : int
        Violations of the guarantees.
    goodput : float
        Answered requests as a share of all.
    unknown_reasons, refused_reasons : dict
        Outcomes by reason.
    faults : dict
        How often each kind of fault was injected.
    """

    seed: int
    requests: int
    answered: int
    not_run: int
    unknown: int
    ran_twice: int
    false_refusals: int
    wrong_answers: int
    goodput: float
    unknown_reasons: dict[str, int]
    refused_reasons: dict[str, int]
    faults: dict[str, int]


class FaultInjector:
    """Injects faults into a simulated service and repairs them after a while.

    Parameters
    ----------
    world : RequestWorld
        The simulated service.
    agents : int
        Number of agents that the service started with.
    """

    def __init__(self, world: RequestWorld, agents: int, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.names = [f"agent{number}" for number in range(agents)]
        self.counts: dict[str, int] = {}
        self.down: dict[str, float] = {}
        self.zone_back_at = float("inf")
        self.entry_back_at = float("inf")
        self.stalled: dict[str, float] = {}

    def inject(self, kind: str) -> None:
        """Inject one fault now, unless too few agents are up for it."""
        now = self.world.network.now
        up = [name for name in self.names if name not in self.down]
        name = self.random.choice(up) if up else ""
        match kind:
            case "agent_crash" if len(up) > 2:
                self.world.network.stop(name)
                self.down[name] = now + self.random.uniform(4.0, 12.0)
            case "agent_restart" if name:
                self.world.start_agent(name)
            case "two_agents_crash" if len(up) > 3:
                for crashed in self.random.sample(up, 2):
                    self.world.network.stop(crashed)
                    self.down[crashed] = now + self.random.uniform(0.0, 8.0)
            case "address_reuse" if name:
                self._reuse_address(name)
            case "drain" if len(up) > 2:
                self.world.stop_agent(name)
                self.down[name] = now + self.random.uniform(4.0, 12.0)
            case "agent_replaced" if name:
                self._replace([name])
            case "two_replaced" if len(up) > 3:
                self._replace(self.random.sample(up, 2))
            case "zone_out" if self.zone_back_at == float("inf"):
                self.world.change(Zone("b", True))
                self.zone_back_at = now + self.random.uniform(2.0, 8.0)
            case "entry_restart":
                self.world.start_entry("entry1")
            case "partition" if name:
                others = [n for n in self.names if n != name]
                self.world.network.partition([name], [*others, "control"])
            case "agent_stall" if name:
                self._stall(name)
            case "entry_stall":
                self._stall("entry1")
            case _:
                return
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def _replace(self, names: list[str]) -> None:
        """Stop agents gracefully and restart them soon, even if they are not done."""
        for name in names:
            self.world.stop_agent(name)
            pause = self.random.uniform(*REPLACE_PAUSE_S)
            self.down[name] = self.world.network.now + pause

    def _stall(self, name: str) -> None:
        """Pause a process for a while; its sockets still buffer what arrives."""
        self.world.network.pause(name)
        length = self.random.uniform(*self.random.choice(STALLS_S))
        self.stalled[name] = self.world.network.now + length

    def _reuse_address(self, name: str) -> None:
        """Crash an agent and start one with another name at its address."""
        self.world.network.stop(name)
        work_name = next(
            p for p, work in self.world.upstream_nodes.items() if work.agent == name
        )
        number = self.counts.get("address_reuse", 0) + 1
        new_name = f"{work_name.split('-')[0]}-{number}"
        self.world.start_agent(new_name, work_name)
        self.names[self.names.index(name)] = new_name

    def repair(self) -> None:
        """Restart agents, resume processes and return the zone when due."""
        now = self.world.network.now
        for name, at in list(self.down.items()):
            if now < at:
                continue
            del self.down[name]
            work_name = next(
                p for p, w in self.world.upstream_nodes.items() if w.agent == name
            )
            self.world.start_agent(name, work_name)
        for name, at in list(self.stalled.items()):
            if now < at:
                continue
            del self.stalled[name]
            self.world.network.resume(name)
        if now >= self.zone_back_at:
            self.zone_back_at = float("inf")
            self.world.change(Zone("b"))

    def heal(self) -> None:
        """End every partition and repair every fault."""
        self.world.network.heal()
        for name in list(self.down):
            self.down[name] = 0.0
        for name in list(self.stalled):
            self.stalled[name] = 0.0
        if self.zone_back_at < float("inf"):
            self.zone_back_at = 0.0
        self.repair()


FAULT_KINDS = (
    "agent_crash",
    "agent_restart",
    "agent_restart",
    "two_agents_crash",
    "address_reuse",
    "drain",
    "drain",
    "zone_out",
    "entry_restart",
    "partition",
)
RANDOMISED_TEST_KINDS = ("agent_stall", "entry_stall", "agent_replaced", "two_replaced")
"""Kinds of faults that only the randomised test injects."""
REPLACE_PAUSE_S = (0.1, 3.0)
STALLS_S = ((0.5, 3.0), (3.0, 12.0), (30.0, 60.0))


def run(seed: int, requests: int, fault_interval: float) -> OnceResult:
    """Run the measurement with its default service and faults."""
    return run_once(seed, requests, fault_interval=fault_interval)[0]


def run_once(
    seed: int,
    requests: int,
    rate: float = 150.0,
    fault_interval: float = FAULT_INTERVAL_S,
    agents: int = 5,
    faults: Faults = FAULTS,
    kinds: tuple[str, ...] = FAULT_KINDS,
    warm_up: float = WARM_UP_S,
    timeout: float = TIMEOUT_S,
) -> tuple[OnceResult, RequestWorld]:
    """Run requests while faults are injected at random times.

    Parameters
    ----------
    rate : float
        New requests per second.
    fault_interval : float
        Mean time between two faults, in seconds.
    warm_up : float
        Time without requests and faults at the start, in seconds.
    timeout : float
        Deadline of each request, in seconds.
    """
    world = RequestWorld(seed, PROFILE, MODEL, agents, 3, 6, NO_FAULTS)
    injector = FaultInjector(world, agents, seed)
    random = Random(seed + 1)
    world.network.run(warm_up)
    world.network.faults = faults
    callers = list(world.callers.values())
    remaining = requests
    fault_at = world.network.now + fault_interval
    heal_at = float("inf")
    due = 0.0
    while remaining > 0:
        due += rate * STEP_S
        while due >= 1.0 and remaining > 0:
            due -= 1.0
            remaining -= 1
            _submit(world, random.choice(callers), random, timeout)
        now = world.network.now
        if now >= fault_at and kinds:
            kind = random.choice(kinds)
            injector.inject(kind)
            if kind == "partition":
                heal_at = now + random.uniform(0.5, 8.0)
            fault_at = now + random.expovariate(1.0 / fault_interval)
        if now >= heal_at:
            heal_at = float("inf")
            world.network.heal()
        injector.repair()
        world.network.run(STEP_S)
    injector.heal()
    world.network.run(timeout + SETTLE_S)
    return _summarise(seed, world, injector), world


def _submit(
    world: RequestWorld, caller: CallerNode, random: Random, timeout: float
) -> None:
    idempotent = random.random() < IDEMPOTENT_SHARE
    now = world.network.now
    number = caller.submit(timeout, idempotent, now)
    if random.random() < CANCEL_SHARE:
        datagram = caller.core.cancel(number, now)
        if datagram is not None:
            world.send(caller, datagram)


def _summarise(seed: int, world: RequestWorld, injector: FaultInjector) -> OnceResult:
    tally = world.tally()
    return OnceResult(
        seed,
        tally.requests,
        tally.answered,
        tally.not_run,
        tally.unknown + tally.open,
        tally.ran_twice,
        tally.false_refusals,
        tally.wrong_answers,
        tally.answered / max(tally.requests, 1),
        dict(world.count_unknown()),
        dict(world.count_refused()),
        injector.counts,
    )
