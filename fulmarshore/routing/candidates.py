"""Which peer gets a flow that its home does not keep.

Homes choose at the same time, by reports that are late. So a peer is taken a
little fuller than it seems where too much would be given to it.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.core.records import Member

IMBALANCE_SHARE = 0.5
IMBALANCE_FLOWS = 2
"""What a home gives a peer beyond what it gives to any other: a share of an
even part of its flows, and some flows."""
STAGGER_FLOWS = 3.0
STAGGER_SHARE = 0.02
"""How much fuller a home takes the last member in its order: at most some
flows, and a share of an even part of all flows."""
PENALTY_FLOWS = 8.0
PENALTY_SHARE = 0.01
"""How much fuller a member is taken of which no flow ends: at most some flows
and one for each home, and a share of an even part of all flows."""


class Candidate(Struct, frozen=True):
    """A peer that may get a flow.

    Parameters
    ----------
    member : Member
        The peer.
    share : float
        Share of its limit that is taken, by its reports.
    held : float
        The same of the flows alone that this home has given to it.
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

    Reports may be late or wrong, but what a home has given to each peer it
    knows exactly. So a peer is passed over that holds too many of the home's
    flows beside the peer that holds fewest, whatever the reports say.

    Parameters
    ----------
    candidates : list of Candidate
        Peers that may have room.
    even : float
        Share of its limit that a member would hold of one home's flows, were
        all spread evenly.
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
    """Return the peers in the order after the home, each a little fuller.

    Homes that see the same loads between two reports begin with different
    members, and do not all choose a member that is lowest by a flow.

    Parameters
    ----------
    candidates : list of Candidate
        Peers that may have room, in the order of their names.
    home : str
        Name of the home that chooses.
    mean : float
        Share of its limit that a member would hold, were all spread evenly.
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
    """Return how much fuller a member is taken of which no flow ends.

    What it gets too much stays with it, and each home may give it a flow too
    much at the same moment.

    Parameters
    ----------
    homes : int
        Homes of the service.
    limit : int
        Flows that the member may hold.
    mean : float
        Share of its limit that a member would hold, were all spread evenly.
    """
    return min((PENALTY_FLOWS + homes) / max(limit, 1), PENALTY_SHARE * mean)


def _make_sort_key(candidate: Candidate) -> tuple[float, float]:
    return candidate.utilization, candidate.assigned_share
