"""Ranking of the agents that an entry host may offer a new flow to.

Replies of upstreams go directly to the caller, so an entry host sees none. It knows
the flows that it placed, the reports of agents, and which agents did not reply in
time. Only the agents know whether they have a free slot: a flow is offered to one
after another, and the first that can start it at once admits it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from fulmarshore.direct.candidates import (
    BEHIND_COSTS_S,
    INELIGIBLE,
    REMOTE_ZONE_LOAD,
    Candidate,
    ServicePool,
    choose_cheapest,
    describe_candidate,
    find_reason,
)
from fulmarshore.direct.costs import Choice, CostModel, RankedCandidate
from fulmarshore.direct.packets import LoadReport
from fulmarshore.direct.records import AgentReport
from fulmarshore.direct.tables import TableIndex

UNRESPONSIVE_S = 1.0
"""An agent that did not reply to an offer ranks behind others for this long."""
REFUSAL_S = 0.5
"""An agent that refused ranks last until its next report is due."""


class Placement:
    """The known agents by service, with the flows that this host placed on each.

    Parameters
    ----------
    zone : str
        Availability zone of the entry host.
    random : Random
        Breaks ties.
    tables : TableIndex, optional
        Tells whether flows are placed by cost; without it they are not.
    """

    __slots__ = (
        "costs",
        "_zone",
        "_random",
        "_tables",
        "_candidates",
        "_services",
        "_pools",
    )

    def __init__(
        self, zone: str, random: Random, tables: TableIndex | None = None
    ) -> None:
        self.costs = CostModel(zone)
        self._zone = zone
        self._random = random
        self._tables = TableIndex() if tables is None else tables
        self._candidates: dict[str, Candidate] = {}
        self._services: dict[str, dict[str, Candidate]] = {}
        self._pools: dict[str, ServicePool] = {}

    def record_report(self, report: AgentReport, now: float = 0.0) -> None:
        """Store an agent's report; one that accepts flows ends its refusal."""
        candidate = self._candidates.get(report.host)
        if candidate is None:
            candidate = self._candidates[report.host] = Candidate(report)
            self._pools.pop(report.service, None)
        elif candidate.report.service != report.service:
            self._services.get(candidate.report.service, {}).pop(report.host, None)
        former = candidate.report
        if (former.process, former.incarnation) != (report.process, report.incarnation):
            candidate.load.reset(report.slots)
        candidate.load.record_report(report, now)
        if (former.service, former.zone, former.is_accepting) != (
            report.service,
            report.zone,
            report.is_accepting,
        ):
            self._pools.pop(former.service, None)
            self._pools.pop(report.service, None)
        candidate.report = report
        if report.is_accepting:
            candidate.refusing_until = float("-inf")
        self._services.setdefault(report.service, {})[report.host] = candidate

    def remove(self, host: str) -> None:
        """Remove an agent that no control host lists any more."""
        candidate = self._candidates.pop(host, None)
        if candidate is not None:
            self._services.get(candidate.report.service, {}).pop(host, None)
            self._pools.pop(candidate.report.service, None)

    def list_hosts(self, service: str) -> list[str]:
        """Return every agent that may hold flows of a service, accepting or not."""
        return [
            host
            for host, candidate in self._services.get(service, {}).items()
            if not candidate.report.is_empty
        ]

    def list_zone_hosts(self, service: str) -> list[str]:
        """Return the agents that may hold flows of a service in this host's zone."""
        return [
            host
            for host, candidate in self._services.get(service, {}).items()
            if candidate.report.zone == self._zone and not candidate.report.is_empty
        ]

    def list_all_hosts(self) -> list[str]:
        """Return every agent that may hold flows."""
        return [
            host
            for host, candidate in self._candidates.items()
            if not candidate.report.is_empty
        ]

    def has_hosts(self) -> bool:
        """Return whether any agent is known."""
        return bool(self._candidates)

    def choose_responsive(self, hosts: list[str], now: float) -> str:
        """Return the host among several whose agent is likely to answer soonest."""
        best = hosts[0]
        best_rank = (float("inf"), 0.0)
        for host in hosts:
            candidate = self._candidates.get(host)
            cost = 10_000.0 if candidate is None else 0.0
            if candidate is not None and candidate.unresponsive_until > now:
                cost += 100.0
            if candidate is not None and candidate.report.zone != self._zone:
                cost += 1.0
            rank = (cost, self._random.random())
            if rank < best_rank:
                best, best_rank = host, rank
        return best

    def choose(
        self,
        service: str,
        tried: list[str],
        now: float,
        is_zone_out: Callable[[str], bool],
    ) -> str | None:
        """Return the agent to offer a new flow to; None if there is none.

        Parameters
        ----------
        service : str
            The service that the route leads to.
        tried : list of str
            Hosts whose agents were offered the flow before.
        now : float
            Monotonic time in seconds.
        is_zone_out : callable
            Whether an availability zone is out of service.
        """
        best: str | None = None
        best_rank = (float("inf"), 0.0)
        for host, candidate in self._services.get(service, {}).items():
            report = candidate.report
            if host in tried or not report.is_accepting or is_zone_out(report.zone):
                continue
            rank = (self._compute_cost(candidate, now), self._random.random())
            if rank < best_rank:
                best, best_rank = host, rank
        return best

    # Placement by cost

    def choose_by_cost(
        self,
        service: str,
        tried: list[str],
        now: float,
        is_zone_out: Callable[[str], bool],
    ) -> Choice | None:
        """Return the agent with the earliest expected completion; None if none is left.

        The parameters are those of ``choose``.
        """
        pool = self._get_pool(service, now)
        candidates = pool.draw(tried, is_zone_out, self._random)
        return choose_cheapest(self.costs, candidates, pool, now)

    def choose_declined(
        self,
        service: str,
        hosts: Iterable[str],
        now: float,
        is_zone_out: Callable[[str], bool],
    ) -> Choice | None:
        """Return the declining agent with the earliest expected completion."""
        known = self._services.get(service, {})
        candidates = [
            candidate
            for host in hosts
            if (candidate := known.get(host)) is not None
            and find_reason(candidate, now, is_zone_out) not in INELIGIBLE
        ]
        pool = self._get_pool(service, now)
        return choose_cheapest(self.costs, candidates, pool, now, 0.0)

    def estimate_start(
        self,
        service: str,
        excluded: list[str],
        now: float,
        is_zone_out: Callable[[str], bool],
    ) -> float:
        """Return the shortest expected wait at a service, in seconds.

        Agents that refuse or do not reply do not count; infinite without any other.
        """
        pool = self._get_pool(service, now)
        shortest = float("inf")
        for candidate in pool.draw(excluded, is_zone_out, self._random):
            if candidate.unresponsive_until > now or candidate.refusing_until > now:
                continue
            wait = self.costs.estimate(candidate.load, pool.median_s, now)[0]
            shortest = min(shortest, wait)
        return shortest

    def record_offer(self, host: str) -> None:
        """Count an offer that the agent has not replied to."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.load.offers += 1

    def record_offer_ended(self, host: str) -> None:
        """Stop counting an offer: the agent replied, or it is overdue."""
        candidate = self._candidates.get(host)
        if candidate is not None and candidate.load.offers > 0:
            candidate.load.offers -= 1

    def record_reply_time(self, host: str, reply_s: float) -> None:
        """Record how long an agent took to reply to an offer, in seconds."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            self.costs.record_reply_time(candidate.report.zone, reply_s)

    def record_decline(self, host: str, wait_s: float, now: float) -> None:
        """Record the expected wait, seconds, with which an agent declined."""
        self._record_wait(host, wait_s, not wait_s, now)

    def record_notice(
        self, host: str, report: LoadReport, is_queued: bool, now: float
    ) -> None:
        """Record the load in the notice of an agent that admitted or queued a flow."""
        candidate = self._candidates.get(host)
        if candidate is None:
            return
        candidate.load.record_notice(report, now)
        wait_s = report.wait_ms / 1000
        self._record_wait(host, wait_s, is_queued or candidate.load.slots == 1, now)

    def _record_wait(self, host: str, wait_s: float, is_full: bool, now: float) -> None:
        """Record a wait; that of a full upstream is at least one share of its work.

        An agent that declines or queues a flow has no free slot, and neither has the
        only slot of one that admits: a wait of 0 would contradict its own answer.
        """
        candidate = self._candidates.get(host)
        if candidate is None:
            return
        load = candidate.load
        if is_full:
            median_s = self._get_pool(candidate.report.service, now).median_s
            wait_s = max(wait_s, (load.work_s or median_s) / load.slots)
        load.record_wait(wait_s, now)

    def _get_pool(self, service: str, now: float) -> ServicePool:
        """Return the pool of a service, with a median that is not outdated."""
        known = self._services.get(service, {})
        pool = self._pools.get(service)
        if pool is None:
            pool = ServicePool.build(known.values(), self._zone)
            if known:
                self._pools[service] = pool
        pool.update(known.values(), now)
        return pool

    def list_ranked(
        self, service: str, now: float, is_zone_out: Callable[[str], bool]
    ) -> list[RankedCandidate]:
        """Return all agents of a service, in the order of their cost.

        Nothing that decides a placement changes, and no random number is drawn.
        """
        by_cost = self._tables.places_by_cost
        known = self._services.get(service, {})
        # A pool of its own, since one of ``_get_pool`` is kept.
        pool = ServicePool.build(known.values(), self._zone)
        pool.update(known.values(), now)
        ranked = []
        for host, candidate in known.items():
            behind = find_reason(candidate, now, is_zone_out)
            if by_cost:
                entry = describe_candidate(self.costs, candidate, pool, now, behind)
                rank = entry.cost_s + BEHIND_COSTS_S.get(behind, 0.0)
            else:
                zone = candidate.report.zone
                terms = (0.0, 0.0, 0.0, 0.0, None, 0.0)
                entry = RankedCandidate(host, zone, service, *terms, behind)
                rank = self._compute_cost(candidate, now)
            ranked.append((behind in INELIGIBLE, rank, host, entry))
        return [entry for *_, entry in sorted(ranked, key=lambda item: item[:3])]

    def record_opened(self, host: str) -> None:
        """Count a flow placed on an agent."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.open_flows += 1

    def record_ended(self, host: str) -> None:
        """Stop counting a flow that ended or moved to another agent."""
        candidate = self._candidates.get(host)
        if candidate is not None and candidate.open_flows > 0:
            candidate.open_flows -= 1

    def record_unanswered(self, host: str, now: float) -> None:
        """Record that an agent did not reply to an offer in time."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.unresponsive_until = now + UNRESPONSIVE_S

    def record_refusal(self, host: str, now: float) -> None:
        """Record that an agent refuses openings at present."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.refusing_until = now + REFUSAL_S

    def _compute_cost(self, candidate: Candidate, now: float) -> float:
        """Return the cost of offering a flow to an agent; the lowest is chosen.

        Agents that refused or did not reply stay eligible behind all others: that
        knowledge may be outdated, and an offer is cheap.
        """
        report = candidate.report
        load = candidate.open_flows / max(1, report.slots)
        if report.zone != self._zone:
            load += REMOTE_ZONE_LOAD
        if report.is_cold:
            load += 100.0
        if candidate.unresponsive_until > now:
            load += 1_000.0
        if candidate.refusing_until > now:
            load += 10_000.0
        return load
