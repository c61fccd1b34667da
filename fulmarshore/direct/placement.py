"""Ranking of the agents that an entry host may offer a new flow to.

Replies of upstreams go directly to the caller, so an entry host sees none. It knows
the flows that it placed, the reports of agents, and which agents did not reply in
time. Only the agents know whether they have a free slot: a flow is offered to one
after another, and the first that can start it at once admits it.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from fulmarshore.direct.costs import RankedCandidate
from fulmarshore.direct.records import AgentReport

UNRESPONSIVE_S = 1.0
"""An agent that did not reply to an offer ranks behind others for this long."""
REFUSAL_S = 0.5
"""An agent that refused ranks last until its next report is due."""
REMOTE_ZONE_LOAD = 0.4
"""Load per slot added to agents of other availability zones: staying in the zone
saves a hop, which costs less than waiting for a slot."""

INELIGIBLE = ("not accepting", "zone out")
"""Reasons for which an agent is not offered a flow at all."""


class Candidate:
    """An agent, with what an entry host observed of it.

    Parameters
    ----------
    report : AgentReport
        Newest report of the agent.
    """

    __slots__ = ("report", "open_flows", "unresponsive_until", "refusing_until")

    def __init__(self, report: AgentReport) -> None:
        self.report = report
        self.open_flows = 0
        self.unresponsive_until = float("-inf")
        self.refusing_until = float("-inf")


class Placement:
    """The known agents by service, with the flows that this host placed on each.

    Parameters
    ----------
    zone : str
        Availability zone of the entry host.
    random : Random
        Breaks ties.
    """

    __slots__ = ("_zone", "_random", "_candidates", "_services")

    def __init__(self, zone: str, random: Random) -> None:
        self._zone = zone
        self._random = random
        self._candidates: dict[str, Candidate] = {}
        self._services: dict[str, dict[str, Candidate]] = {}

    def record_report(self, report: AgentReport) -> None:
        """Store an agent's report; one that accepts flows ends its refusal."""
        candidate = self._candidates.get(report.host)
        if candidate is None:
            candidate = self._candidates[report.host] = Candidate(report)
        elif candidate.report.service != report.service:
            self._services.get(candidate.report.service, {}).pop(report.host, None)
        candidate.report = report
        if report.is_accepting:
            candidate.refusing_until = float("-inf")
        self._services.setdefault(report.service, {})[report.host] = candidate

    def remove(self, host: str) -> None:
        """Remove an agent that no control host lists any more."""
        candidate = self._candidates.pop(host, None)
        if candidate is not None:
            self._services.get(candidate.report.service, {}).pop(host, None)

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

    def list_ranked(
        self, service: str, now: float, is_zone_out: Callable[[str], bool]
    ) -> list[RankedCandidate]:
        """Return all agents of a service, the one to be offered a flow first.

        Nothing changes, and no random number is drawn.
        """
        ranked = []
        for host, candidate in self._services.get(service, {}).items():
            behind = self._find_reason(candidate, now, is_zone_out)
            cost = self._compute_cost(candidate, now)
            zone = candidate.report.zone
            entry = RankedCandidate(host, zone, service, 0, 0, 0, 0, None, 0, behind)
            ranked.append((behind in INELIGIBLE, cost, host, entry))
        return [entry for *_, entry in sorted(ranked, key=lambda item: item[:3])]

    @staticmethod
    def _find_reason(
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
