"""Which agent an entry host offers a new flow to.

Answers go straight to the caller, so an entry host sees no response. It knows
what it placed itself, what agents report, and which of them did not help a
caller in time. Who has a free slot at this moment only the agents know: a flow
is offered to some in turn, and the first that could start it at once takes it.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from fulmarshore.direct.records import AgentReport

UNRESPONSIVE_S = 1.0
"""An agent that left an opening unanswered is tried last for this long."""
REFUSAL_S = 0.5
"""An agent that refused is tried last until its next report is due."""
REMOTE_ZONE_LOAD = 0.4
"""Flows for each slot that another availability zone weighs as: placing in the
caller's zone saves a hop, but less than a request's wait for a slot."""


class Candidate:
    """An agent as an entry host sees it.

    Parameters
    ----------
    report : AgentReport
        Its newest report.
    """

    __slots__ = ("report", "open_flows", "unresponsive_until", "refusing_until")

    def __init__(self, report: AgentReport) -> None:
        self.report = report
        self.open_flows = 0
        self.unresponsive_until = float("-inf")
        self.refusing_until = float("-inf")


class Placement:
    """The agents of all services, and how many flows each got from here.

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
        """Take an agent's report."""
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
        """Forget an agent that is gone."""
        candidate = self._candidates.pop(host, None)
        if candidate is not None:
            self._services.get(candidate.report.service, {}).pop(host, None)

    def list_hosts(self, service: str) -> list[str]:
        """Return every agent of a service, accepting or not."""
        return list(self._services.get(service, ()))

    def list_all_hosts(self) -> list[str]:
        """Return every agent."""
        return list(self._candidates)

    def choose_responsive(self, hosts: list[str], now: float) -> str:
        """Return one of several agents that is likely to answer soon."""
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
            Agents that it was offered to before.
        now : float
            Steady time, seconds.
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

    def record_opened(self, host: str) -> None:
        """Count a flow that was placed."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.open_flows += 1

    def record_ended(self, host: str) -> None:
        """Count a flow that has ended or left."""
        candidate = self._candidates.get(host)
        if candidate is not None and candidate.open_flows > 0:
            candidate.open_flows -= 1

    def record_unanswered(self, host: str, now: float) -> None:
        """Note that an agent left an opening unanswered."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.unresponsive_until = now + UNRESPONSIVE_S

    def record_refusal(self, host: str, now: float) -> None:
        """Note that an agent refuses openings for now."""
        candidate = self._candidates.get(host)
        if candidate is not None:
            candidate.refusing_until = now + REFUSAL_S

    def _compute_cost(self, candidate: Candidate, now: float) -> float:
        """Return how undesirable an agent is.

        Agents that refused or did not answer come after all others: what is
        known of them may be late, and an offer costs little.
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
