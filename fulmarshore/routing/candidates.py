"""Choice of the peer that gets a flow from its home agent.

Several homes choose at the same time, by load reports that are late. To keep
them from overloading one peer, its utilization is estimated slightly higher
than reported.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.core.records import Member

IMBALANCE_SHARE = 0.5
IMBALANCE_FLOWS = 2
"""Flows of one home that a peer may hold beyond the peer with the fewest: a
share of an even part of the home's flows, plus a number of flows."""
STAGGER_FLOWS = 3.0
STAGGER_SHARE = 0.02
"""Bounds of what staggering adds to the last member in a home's order: a number
of flows, and a share of an even part of all flows."""
PENALTY_FLOWS = 8.0
PENALTY_SHARE = 0.01
"""Bounds of the penalty for a member with low churn: a number of flows plus one
for each home, and a share of an even part of all flows."""


class Candidate(Struct, frozen=True):
    """A peer that may get a flow.

    Parameters
    ----------
    member : Member
        The peer.
    utilization : float
        Share of its limit that is taken, by its reports.
    assigned_share : float
        Share of its limit that is taken by flows of this home.
    limit : int
        Flows that it may hold.
    """

    member: Member
    utilization: float
    assigned_share: float
    limit: int


def find_least_loaded(
    candidates: list[Candidate], even_share: float
) -> Candidate | None:
    """Return the peer with the lowest load, among equal ones the first.

    Reports may be late or wrong, but a home knows exactly how many flows it has
    given to each peer. So it skips a peer that holds too many of its flows,
    compared with the peer that holds the fewest, whatever the reports say.

    Parameters
    ----------
    candidates : list of Candidate
        Peers that may have room.
    even_share : float
        Share of its limit that a member would hold of one home's flows if all
        were spread evenly.
    """
    best: Candidate | None = None
    lowest = min((candidate.assigned_share for candidate in candidates), default=0.0)
    for candidate in candidates:
        slack = even_share * IMBALANCE_SHARE + IMBALANCE_FLOWS / max(candidate.limit, 1)
        if candidate.assigned_share > lowest + slack:
            continue
        if best is None or _make_sort_key(candidate) < _make_sort_key(best):
            best = candidate
    return best


def stagger(candidates: list[Candidate], home: str, mean: float) -> list[Candidate]:
    """Return the peers, starting after the home's name, with rising small offsets.

    Each peer's utilization is raised by slightly more than that of the one
    before. So homes that see the same loads between two reports begin with
    different members, and do not all choose the one that is lowest by a flow.

    Parameters
    ----------
    candidates : list of Candidate
        Peers that may have room, in the order of their names.
    home : str
        Name of the home that chooses.
    mean : float
        Share of its limit that a member would hold if all were spread evenly.
    """
    after = [one for one in candidates if one.member.name > home]
    before = [one for one in candidates if one.member.name < home]
    step = 1.0 / (len(candidates) + 1)
    ordered = []
    for position, candidate in enumerate(after + before, 1):
        max_offset = min(STAGGER_FLOWS / max(candidate.limit, 1), STAGGER_SHARE * mean)
        utilization = candidate.utilization + max_offset * position * step
        ordered.append(replace(candidate, utilization=utilization))
    return ordered


def compute_low_churn_penalty(homes: int, limit: int, mean: float) -> float:
    """Return what is added to the utilization of a member with low churn.

    Excess flows stay with such a member, and each home may give it one flow too
    many at the same moment.

    Parameters
    ----------
    homes : int
        Homes of the service.
    limit : int
        Flows that the member may hold.
    mean : float
        Share of its limit that a member would hold if all were spread evenly.
    """
    return min((PENALTY_FLOWS + homes) / max(limit, 1), PENALTY_SHARE * mean)


def _make_sort_key(candidate: Candidate) -> tuple[float, float]:
    return candidate.utilization, candidate.assigned_share
