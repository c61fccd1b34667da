"""Expected completion of a new flow at each agent, as an entry host estimates it.

Agents report their load in notices and in replies to offers, so an entry host knows
best those that it has offered flows to lately. Reports of control hosts, which are
coarser, stand in for the others.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.direct.packets import MAX_LOAD_LEVEL, LoadReport
from fulmarshore.direct.records import AgentReport

TRUSTED_S = 5.0
"""A wait, and a work time above the median, are not trusted beyond this age: demand
moves between zones in seconds, and a slow upstream needs flows to show that it has
recovered."""
FIRST_WORK_S = 0.05
"""Work time assumed before any agent of a service has reported one, seconds."""
MAX_UTILIZATION = 0.95
"""Most utilization that counts: the wait of later requests grows without bound."""
UTILIZATION_WINDOW_S = 3.0
"""Time that agents measure the utilization over."""
ASSUMED_HOP_S = 0.002
"""Cost of another availability zone until the reply times of both are measured."""
LEAST_HOP_S = 0.001
"""Least cost of another availability zone: traffic stays in the zone at equal load."""
REPLY_WEIGHT = 0.05
"""Weight of the newest reply in the mean reply time of its zone."""
MAX_ZONES = 64
"""Zones whose reply times are kept."""
MS_PER_S = 1000


class RankedCandidate(Struct, frozen=True):
    """An agent in the order in which it would be offered a flow.

    Parameters
    ----------
    host, zone, service : str
        Address, availability zone and service of the agent.
    wait_s, work_s, standing_s, hop_s : float
        Terms of the cost, seconds; 0 where placement is by flows.
    age_s : float or None
        Seconds since the agent last reported its load; None if nothing is known.
    cost_s : float
        Sum of the terms, seconds.
    behind : str
        Why the agent ranks behind the others: ``cold``, ``unresponsive``,
        ``refusing``, ``not accepting``, ``zone out``, or empty.
    """

    host: str
    zone: str
    service: str
    wait_s: float
    work_s: float
    standing_s: float
    hop_s: float
    age_s: float | None
    cost_s: float
    behind: str

    def describe(self) -> str:
        """Return the terms of the cost as a part of a log line."""
        age = "unknown" if self.age_s is None else f"{self.age_s * MS_PER_S:.0f} ms"
        return (
            f"wait {self.wait_s * MS_PER_S:.0f} ms, work {self.work_s * MS_PER_S:.0f} "
            f"ms, standing {self.standing_s * MS_PER_S:.0f} ms, "
            f"hop {self.hop_s * MS_PER_S:.0f} ms, age {age}"
        )


class Choice(Struct):
    """An agent to offer a flow to, and the one that would be next.

    Parameters
    ----------
    best : RankedCandidate
        The agent.
    runner_up : RankedCandidate or None
        The one that would be next.
    """

    best: RankedCandidate
    runner_up: RankedCandidate | None = None

    def starts_within(self, wait_s: float) -> bool:
        """Whether the agent is expected to start the flow within some seconds."""
        is_reachable = self.best.behind not in ("refusing", "unresponsive")
        return is_reachable and self.best.wait_s <= wait_s

    def describe(self) -> str:
        """Return what led to the choice as a part of a log line."""
        terms = self.best.describe()
        other = self.runner_up
        if other is None:
            return f"{terms}, no other"
        behind = f", {other.behind}" if other.behind else ""
        return f"{terms}, next {other.host} at {other.cost_s * MS_PER_S:.0f} ms{behind}"


class AgentLoad:
    """What an entry host knows of the load of one agent.

    Attributes
    ----------
    slots : int
        Requests that the upstream serves at the same time.
    wait_s, heard_at : float
        Wait that the agent reported last, and when.
    work_s, work_at : float
        Mean service time, 0 if not known, and when it was reported.
    utilization : float
        Newest utilization of the upstream.
    reported_utilization : float
        Utilization in the newest report of a control host. It stays valid with age:
        agents report a change.
    offers : int
        Offers of this host that the agent has not replied to.
    """

    __slots__ = (
        "slots",
        "wait_s",
        "heard_at",
        "work_s",
        "work_at",
        "utilization",
        "reported_utilization",
        "offers",
    )

    def __init__(self) -> None:
        self.offers = 0
        self.reset(1)

    def reset(self, slots: int) -> None:
        """Discard the load, as another process or incarnation runs."""
        self.slots = max(1, slots)
        self.wait_s = 0.0
        self.heard_at = float("-inf")
        self.work_s = 0.0
        self.work_at = float("-inf")
        self.utilization = 0.0
        self.reported_utilization = 0.0

    def record_report(self, report: AgentReport, now: float) -> None:
        """Record the load in a report of a control host."""
        self.slots = max(1, report.slots)
        if not report.work_ms:
            return
        self.work_s = report.work_ms / MS_PER_S
        self.work_at = now
        self.utilization = self.reported_utilization = (
            report.load_level / MAX_LOAD_LEVEL
        )

    def record_wait(self, wait_s: float, now: float) -> None:
        """Record the expected wait that the agent reported."""
        self.wait_s = wait_s
        self.heard_at = now

    def record_notice(self, report: LoadReport, now: float) -> None:
        """Record the work time and utilization in a notice of the agent."""
        if not report.work_ms:
            return
        self.work_s = report.work_ms / MS_PER_S
        self.work_at = now
        self.utilization = report.load_level / MAX_LOAD_LEVEL


class CostModel:
    """Estimates the terms of the cost, and the cost of a hop to another zone.

    Parameters
    ----------
    zone : str
        Availability zone of the entry host.
    """

    __slots__ = ("zone", "_reply_times", "_hops")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self._reply_times: dict[str, float] = {}
        self._hops: dict[str, float] = {zone: 0.0}

    @property
    def hops(self) -> dict[str, float]:
        """Measured cost of a flow to each zone, seconds."""
        return self._hops

    def get_hop(self, zone: str) -> float:
        """Return the cost of a flow to an agent of a zone, seconds."""
        return self._hops.get(zone, ASSUMED_HOP_S)

    def record_reply_time(self, zone: str, reply_s: float) -> None:
        """Record how long an agent of a zone took to reply to an offer."""
        mean = self._reply_times.get(zone)
        if mean is None:
            if len(self._reply_times) >= MAX_ZONES:
                return
            mean = reply_s
        self._reply_times[zone] = mean + REPLY_WEIGHT * (reply_s - mean)
        own = self._reply_times.get(self.zone)
        if own is None:
            return
        for other, reply_time in self._reply_times.items():
            if other != self.zone:
                self._hops[other] = max(LEAST_HOP_S, reply_time - own)

    @staticmethod
    def estimate(
        load: AgentLoad,
        median_s: float,
        now: float,
        is_kept: bool = True,
        requests: float = 0.0,
    ) -> tuple[float, float, float]:
        """Return the wait, work and standing terms of an agent, seconds.

        Parameters
        ----------
        load : AgentLoad
            What is known of the agent.
        median_s : float
            Median work time of its service, seconds.
        now : float
            Monotonic time in seconds.
        is_kept : bool
            Whether callers keep the flow for later requests, which wait as well.
        """
        slots = load.slots
        work = load.work_s
        utilization = 0.0
        if not work:
            work = median_s
        else:
            utilization = load.utilization
            if work > median_s and now - load.work_at > TRUSTED_S:
                work = median_s
        age = now - load.heard_at
        if age <= TRUSTED_S:
            wait = load.wait_s - age
            if wait < 0.0:
                wait = 0.0
        else:
            # All slots are in use with this probability, and one becomes free
            # after a share of the work time.
            utilization = load.reported_utilization
            wait = work / slots * utilization**slots
        # The flows that this host knows to be open are the least that is ahead.
        own = requests * work / slots
        if own > wait:
            wait = own
        if load.offers:
            placed = load.offers * work / slots
            wait += placed
            if load.work_s:
                utilization += placed / UTILIZATION_WINDOW_S
        if not utilization or not is_kept:
            return wait, work, 0.0
        if utilization > MAX_UTILIZATION:
            utilization = MAX_UTILIZATION
        return wait, work, work * utilization / (1 - utilization)
