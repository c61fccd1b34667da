"""Agents that an entry host may offer flows to, and the cheapest of a sample."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from statistics import median

from msgspec import Struct, field

from fulmarshore.direct.costs import (
    ASSUMED_HOP_S,
    FIRST_WORK_S,
    AgentLoad,
    Choice,
    CostModel,
    RankedCandidate,
)
from fulmarshore.direct.records import AgentReport

UNRESPONSIVE_COST_S = 1_000.0
REFUSAL_COST_S = 10_000.0
COLD_COST_S = 100.0
"""Added to the cost of agents that rank behind: more than any wait."""
TOLERANCE_S = 0.002
TOLERANCE_SHARE = 0.3
"""Costs that differ by less than this, or by less than this share of the work time,
are equal: many entry hosts see the same free upstream."""
BEHIND_COSTS_S = {
    "cold": COLD_COST_S,
    "unresponsive": UNRESPONSIVE_COST_S,
    "refusing": REFUSAL_COST_S,
}
INELIGIBLE = ("not accepting", "zone out")
"""Reasons for which an agent is not offered a flow at all."""
MAX_EVALUATED = 24
"""Agents evaluated for a flow: one of 24 is free unless nearly all are busy; 32 took as
long as all of 100 by flows."""
MAX_OWN_ZONE = 18
"""Agents of the own zone among them; the rest shows what other zones would cost."""
REMOTE_ZONE_LOAD = 0.4
"""Load per slot added to agents of other availability zones, and with placement by cost
the least cost of a hop, in service times over the slots: traffic between zones is
priced, and a shorter wait than this is not worth it."""
KEPT_ACTIVITY = 0.5
"""Flows with fewer requests in progress than this on average are mostly idle: callers
keep them for later requests."""
MEDIAN_INTERVAL_S = 1.0
"""The median work time of a service is computed at most this often."""


class Candidate:
    """An agent, with what an entry host observed of it.

    Parameters
    ----------
    report : AgentReport
        Newest report of the agent.

    Attributes
    ----------
    load : AgentLoad
        What the agent reported of its load.
    """

    __slots__ = ("report", "load", "open_flows", "unresponsive_until", "refusing_until")

    def __init__(self, report: AgentReport) -> None:
        self.report = report
        self.load = AgentLoad()
        self.open_flows = 0
        self.unresponsive_until = float("-inf")
        self.refusing_until = float("-inf")


class ServicePool(Struct):
    """The accepting agents of a service, in lists that can be sampled.

    Parameters
    ----------
    own_zone, others : list of Candidate
        Agents of the entry host's zone, and of other zones.
    median_s : float
        Median of the known work times, seconds.
    median_at : float
        When it was computed.
    activity : float
        Mean number of requests in progress on an open flow, by the reports of agents.
    """

    own_zone: list[Candidate] = field(default_factory=list)
    others: list[Candidate] = field(default_factory=list)
    median_s: float = FIRST_WORK_S
    median_at: float = float("-inf")
    activity: float = 1.0

    @classmethod
    def build(cls, candidates: Iterable[Candidate], zone: str) -> ServicePool:
        """Return the pool of the candidates that accept flows.

        Parameters
        ----------
        candidates : iterable of Candidate
            All agents of a service.
        zone : str
            Availability zone of the entry host.
        """
        pool = cls()
        for candidate in candidates:
            if not candidate.report.is_accepting:
                continue
            is_own = candidate.report.zone == zone
            (pool.own_zone if is_own else pool.others).append(candidate)
        return pool

    @property
    def keeps_flows(self) -> bool:
        """Whether callers keep most flows open for later requests."""
        return self.activity < KEPT_ACTIVITY

    def update(self, candidates: Iterable[Candidate], now: float) -> None:
        """Compute median work time and activity again if they are outdated."""
        if now - self.median_at < MEDIAN_INTERVAL_S:
            return
        self.median_at = now
        works = []
        busy = flows = 0
        for candidate in candidates:
            if candidate.load.work_s:
                works.append(candidate.load.work_s)
            busy += candidate.report.busy
            flows += candidate.report.open_flows
        self.median_s = median(works) if works else FIRST_WORK_S
        self.activity = busy / flows if flows else 1.0

    def draw(
        self,
        tried: list[str],
        is_zone_out: Callable[[str], bool],
        random: Random,
    ) -> list[Candidate]:
        """Return the agents to evaluate for a flow, in random order."""
        arguments = (tried, is_zone_out, random)
        drawn = draw_candidates(self.own_zone, MAX_OWN_ZONE, *arguments)
        return drawn + draw_candidates(
            self.others, MAX_EVALUATED - len(drawn), *arguments
        )


def draw_candidates(
    candidates: list[Candidate],
    count: int,
    tried: list[str],
    is_zone_out: Callable[[str], bool],
    random: Random,
) -> list[Candidate]:
    """Draw up to ``count`` candidates that may be offered the flow."""
    if not candidates:
        return []
    # The sample is larger than needed by the agents already tried. If agents of zones
    # out leave too few of it, all candidates are drawn from.
    size = min(len(candidates), count + len(tried))
    drawn = _draw_some(candidates, size, tried, is_zone_out, random)
    if len(drawn) < count and size < len(candidates):
        drawn = _draw_some(candidates, len(candidates), tried, is_zone_out, random)
    return drawn[:count]


def _draw_some(
    candidates: list[Candidate],
    size: int,
    tried: list[str],
    is_zone_out: Callable[[str], bool],
    random: Random,
) -> list[Candidate]:
    sample = random.sample(candidates, size)
    zones_out: dict[str, bool] = {}
    drawn = []
    for candidate in sample:
        zone = candidate.report.zone
        is_out = zones_out.get(zone)
        if is_out is None:
            is_out = zones_out[zone] = is_zone_out(zone)
        if is_out or candidate.report.host in tried:
            continue
        drawn.append(candidate)
    return drawn


def choose_cheapest(
    costs: CostModel,
    candidates: list[Candidate],
    pool: ServicePool,
    now: float,
    tolerance_s: float | None = None,
) -> Choice | None:
    """Return one of the candidates with the lowest cost, up to the tolerance.

    Of several, the one that placement by flows ranks first is chosen; the order of
    ``candidates``, which is random, breaks ties.

    Parameters
    ----------
    costs : CostModel
        Estimates the terms of the cost.
    candidates : list of Candidate
        Agents that may be offered the flow.
    pool : ServicePool
        All agents of the service.
    now : float
        Monotonic time in seconds.
    tolerance_s : float, optional
        Difference of costs that does not count, seconds; by default the larger of
        ``TOLERANCE_S`` and ``TOLERANCE_SHARE`` of the work time.
    """
    if not candidates:
        return None
    estimate = costs.estimate
    hops, own_zone = costs.hops, costs.zone
    median_s, activity, keeps_flows = pool.median_s, pool.activity, pool.keeps_flows
    totals = []
    for candidate in candidates:
        load, report = candidate.load, candidate.report
        requests = candidate.open_flows * activity
        wait, work, standing = estimate(load, median_s, now, keeps_flows, requests)
        cost = wait + work + standing
        if report.zone != own_zone:
            hop = hops.get(report.zone, ASSUMED_HOP_S)
            least = REMOTE_ZONE_LOAD * work / load.slots
            cost += least if least > hop else hop
        if report.is_cold:
            cost += COLD_COST_S
        if candidate.unresponsive_until > now:
            cost += UNRESPONSIVE_COST_S
        if candidate.refusing_until > now:
            cost += REFUSAL_COST_S
        totals.append(cost)
    lowest = min(totals)
    if tolerance_s is None:
        best = candidates[totals.index(lowest)]
        work = estimate(best.load, median_s, now)[1]
        tolerance_s = max(TOLERANCE_S, work * TOLERANCE_SHARE)
    chosen, lowest_load = -1, float("inf")
    limit = lowest + tolerance_s
    for number, cost in enumerate(totals):
        if cost >= limit and cost > lowest:
            continue
        candidate = candidates[number]
        flows = candidate.open_flows / candidate.load.slots
        if candidate.report.zone != own_zone:
            flows += REMOTE_ZONE_LOAD
        if flows < lowest_load:
            chosen, lowest_load = number, flows
    behind = find_reason(candidates[chosen], now, lambda zone: False)
    choice = Choice(describe_candidate(costs, candidates[chosen], pool, now, behind))
    if len(candidates) > 1:
        totals[chosen] = float("inf")
        second = candidates[totals.index(min(totals))]
        behind = find_reason(second, now, lambda zone: False)
        choice.runner_up = describe_candidate(costs, second, pool, now, behind)
    return choice


def find_reason(
    candidate: Candidate, now: float, is_zone_out: Callable[[str], bool]
) -> str:
    """Return why an agent ranks behind the others; empty if it does not."""
    report = candidate.report
    if not report.is_accepting:
        return "not accepting"
    if is_zone_out(report.zone):
        return "zone out"
    if candidate.refusing_until > now:
        return "refusing"
    if candidate.unresponsive_until > now:
        return "unresponsive"
    return "cold" if report.is_cold else ""


def describe_candidate(
    costs: CostModel,
    candidate: Candidate,
    pool: ServicePool,
    now: float,
    behind: str,
) -> RankedCandidate:
    """Return a candidate with the terms of its cost."""
    report, load = candidate.report, candidate.load
    requests = candidate.open_flows * pool.activity
    wait, work, standing = costs.estimate(
        load, pool.median_s, now, pool.keeps_flows, requests
    )
    hop = 0.0
    if report.zone != costs.zone:
        hop = max(costs.get_hop(report.zone), REMOTE_ZONE_LOAD * work / load.slots)
    reported_at = max(load.heard_at, load.work_at)
    return RankedCandidate(
        report.host,
        report.zone,
        report.service,
        wait,
        work,
        standing,
        hop,
        None if reported_at == float("-inf") else now - reported_at,
        wait + work + standing + hop,
        behind,
    )
