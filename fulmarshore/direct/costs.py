"""Expected completion of a new flow at each agent, as an entry host estimates it."""

from __future__ import annotations

from msgspec import Struct


class RankedCandidate(Struct, frozen=True):
    """An agent in the order in which it would be offered a flow.

    Parameters
    ----------
    host, zone, service : str
        Address, availability zone and service of the agent.
    wait_s, work_s, standing_s, hop_s : float
        Terms of the cost, seconds; 0 where placement is by flows.
    age_s : float or None
        Seconds since the agent last told its load; None if nothing is known.
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
