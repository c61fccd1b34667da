"""Measures goodput and latency under overload, on a simulated network.

Demand doubles twice, then half of the agents are lost, and in a separate run
one caller floods a service that has light load otherwise. The cost of a
request is measured while the upstreams are idle.
"""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from fulmarshore.core.records import Profile, TrafficKind
from fulmarshore.standins.requests import (
    MAX_LATENCY_US,
    CallerNode,
    RequestWorld,
)
from fulmarshore.standins.work import WorkModel

TIMEOUT_S = 4.0
STEP_S = 0.01
WARM_UP_S = 25.0
PHASE_S = 20.0
DEMANDS = (1.0, 2.0, 4.0)
AGENTS = 4
CALLERS = 8
FLOOD_DEMAND = 10.0
LIGHT_DEMAND = 0.5

PROFILE = Profile(
    "orders",
    TrafficKind.NON_IDEMPOTENT,
    deadline=TIMEOUT_S,
    slow_start=5.0,
    queue_timeout=1.0,
)
MODEL = WorkModel(slots=3, service_s=0.05, warm_up_s=5.0)
CAPACITY = AGENTS * MODEL.slots / MODEL.service_s


class Phase(Struct, frozen=True):
    """Result of one phase of the run.

    Parameters
    ----------
    demand : float
        Offered requests over capacity.
    goodput : float
        Answers in time over what the upstreams can answer.
    p50_ms, p99_ms : float
        Time to the answer, in milliseconds.
    retries : int
        Dispatches to an executor that agents repeated.
    resends : int
        Requests that callers sent again.
    """

    name: str
    demand: float
    offered: int
    answered: int
    not_run: int
    unknown: int
    goodput: float
    p50_ms: float
    p99_ms: float
    retries: int
    resends: int


class Cost(Struct, frozen=True):
    """What one request costs when the upstreams are idle.

    Parameters
    ----------
    messages : float
        Messages between entry hosts and agents for each request, including
        load reports and other periodic messages.
    path_ms : float
        Median time to the answer less the mean service time, in milliseconds.
    """

    kind: str
    requests: int
    messages: float
    path_ms: float


class SurgeReport(Struct, frozen=True):
    """Results of the surge, the loss of half the agents, and the flood.

    Parameters
    ----------
    goodput_at_4x : float
        Answers over capacity while demand is four times the capacity.
    flood_cost : float
        Share of the other callers' answers that is lost to a flooding caller.
    ran_twice, false_refusals, wrong_answers, overloads : int
        Violations of the guarantees, and collapses of upstreams under load,
        over all runs.
    """

    capacity_per_s: float
    goodput_at_4x: float
    flood_cost: float
    ran_twice: int
    false_refusals: int
    wrong_answers: int
    overloads: int
    phases: list[Phase]
    costs: list[Cost]


class Driver:
    """Offers demand to a simulated service and counts the outcomes."""

    def __init__(self, seed: int) -> None:
        self.world = RequestWorld(seed, PROFILE, MODEL, AGENTS, 3, CALLERS)
        self.due: dict[str, float] = {}

    def offer(self, rates: dict[str, float], seconds: float) -> None:
        """Let each caller send at its rate, in requests per second."""
        world = self.world
        until = world.network.now + seconds
        while world.network.now < until:
            for name, rate in rates.items():
                self._send(world.callers[name], rate)
            world.network.run(STEP_S)

    def _send(self, caller: CallerNode, rate: float, idempotent: bool = False) -> None:
        due = self.due.get(caller.name, 0.0) + rate * STEP_S
        while due >= 1.0:
            due -= 1.0
            caller.submit(TIMEOUT_S, idempotent, self.world.network.now)
        self.due[caller.name] = due

    def measure_cost(self, kind: TrafficKind) -> Cost:
        """Send requests of a kind at a low rate and return the cost of each."""
        world = self.world
        world.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        before, messages = world.tally().requests, world.network.messages
        until = world.network.now + PHASE_S
        while world.network.now < until:
            for caller in world.callers.values():
                self._send(caller, 1.0, kind == TrafficKind.IDEMPOTENT)
            world.network.run(STEP_S)
        world.network.run(1.0)
        requests = world.tally().requests - before
        median = world.latency.get_value_at_percentile(50) / 1e3
        return Cost(
            kind,
            requests,
            round((world.network.messages - messages) / requests, 2),
            round(median - MODEL.service_s * 1e3, 2),
        )

    def count_retries(self) -> int:
        """Return how many dispatches all agents have repeated so far."""
        total = 0
        for number in range(AGENTS):
            home = self.world.get_agent(f"agent{number}").requests.home
            total += home.counters["retries"]
        return total

    def measure(
        self, name: str, demand: float, seconds: float, capacity: float
    ) -> Phase:
        """Offer constant demand, the same for every caller, and return the result."""
        world = self.world
        world.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        before = world.tally()
        retries, resends = self.count_retries(), world.resends
        rate = demand * CAPACITY / CALLERS
        self.offer({caller: rate for caller in world.callers}, seconds)
        after = world.tally()
        answered = after.answered - before.answered
        return Phase(
            name,
            demand,
            after.requests - before.requests,
            answered,
            after.not_run - before.not_run,
            after.unknown - before.unknown,
            round(answered / (capacity * seconds), 3),
            round(world.latency.get_value_at_percentile(50) / 1e3, 1),
            round(world.latency.get_value_at_percentile(99) / 1e3, 1),
            self.count_retries() - retries,
            world.resends - resends,
        )


def run(seed: int = 1) -> SurgeReport:
    """Run the surge and the flood."""
    driver = Driver(seed)
    names = list(driver.world.callers)
    driver.offer({}, 6.0)
    driver.offer({name: CAPACITY / CALLERS for name in names}, WARM_UP_S)
    driver.offer({}, 3.0)
    kinds = (TrafficKind.IDEMPOTENT, TrafficKind.NON_IDEMPOTENT)
    costs = [driver.measure_cost(kind) for kind in kinds]
    phases = [
        driver.measure(f"{demand:g}x", demand, PHASE_S, CAPACITY) for demand in DEMANDS
    ]
    for number in range(AGENTS // 2):
        driver.world.network.stop(f"agent{number}")
    phases.append(driver.measure("half lost", 1.0, PHASE_S, CAPACITY / 2))
    driver.offer({}, 10.0)
    tallies = [driver.world.tally()]
    overloads = count_overloads(driver.world)
    calm, calm_world = _run_light(seed, 0.0)
    flooded, flooded_world = _run_light(seed, FLOOD_DEMAND)
    for world in (calm_world, flooded_world):
        tallies.append(world.tally())
        overloads += count_overloads(world)
    return SurgeReport(
        CAPACITY,
        phases[len(DEMANDS) - 1].goodput,
        round(1.0 - flooded / calm, 4),
        sum(tally.ran_twice for tally in tallies),
        sum(tally.false_refusals for tally in tallies),
        sum(tally.wrong_answers for tally in tallies),
        overloads,
        phases,
        costs,
    )


def _run_light(seed: int, flood: float) -> tuple[int, RequestWorld]:
    """Return the answers to light callers while another caller may flood."""
    driver = Driver(seed + 1)
    names = list(driver.world.callers)
    light, flooding = names[:-1], names[-1]
    driver.offer({}, 6.0)
    driver.offer({name: CAPACITY / CALLERS for name in names}, WARM_UP_S)
    before = dict(driver.world.answered_by)
    rates = {name: LIGHT_DEMAND * CAPACITY / len(light) for name in light}
    rates[flooding] = flood * CAPACITY
    driver.offer(rates, PHASE_S)
    driver.offer({}, 10.0)
    after = driver.world.answered_by
    answers = sum(after[name] - before.get(name, 0) for name in light)
    return answers, driver.world


def count_overloads(world: RequestWorld) -> int:
    """Return how often the upstreams of a service collapsed under load."""
    total = 0
    for name, work in world.upstream_nodes.items():
        if work.name == name:
            total += work.upstream.overloads
    return total
