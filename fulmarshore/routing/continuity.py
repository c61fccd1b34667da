"""Whether a successor may go on with the flows of its former self.

It may where nobody can have opened one of them elsewhere meanwhile: the
membership was never interrupted, the availability zone was not taken out, and
no other life of the agent was in between.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.core.records import FlowRecord, Member, Zone
from fulmarshore.membership.view import View

HISTORY_TTL_S = 30.0
"""The lives of an agent that is no member are forgotten after this long."""


def was_continuously_member(view: View, agent: str, since: int) -> bool:
    """Return whether an agent was never removed since a version."""
    if view.horizon > since:
        return False
    for removal in view.removed:
        if removal.version <= since or removal.item_type != Member.__name__:
            continue
        if removal.name == agent:
            return False
    return True


def has_zone_changed(view: View, agent: str, since: int) -> bool:
    """Return whether an agent's zone may have been out since a version."""
    stamped = view.items.get((Member.__name__, agent))
    if stamped is None:
        return False
    zone = view.items.get((Zone.__name__, stamped.item.zone))
    return zone is not None and zone.version > since


class ReturnedRecords(Struct, frozen=True):
    """The records that a keeper has handed back to a successor.

    Parameters
    ----------
    successor : int
        Incarnation of the successor.
    last_batch : int
        Number of the newest batch in them; 0 if they were handed over.
    records : list of FlowRecord
        In the order in which they were sent.
    """

    successor: int
    last_batch: int
    records: list[FlowRecord]


class IncarnationHistory:
    """The newest life of an agent that was heard of, and the one before."""

    __slots__ = ("latest", "previous", "last_contact")

    def __init__(self) -> None:
        self.latest = 0
        self.previous = 0
        self.last_contact = 0.0


class KnownIncarnations:
    """The lives of its peers that an agent has heard of."""

    __slots__ = ("_histories",)

    def __init__(self) -> None:
        self._histories: dict[str, IncarnationHistory] = {}

    def observe(self, agent: str, incarnation: int, now: float) -> bool:
        """Note a message of a life; False where a newer one was heard of."""
        history = self._histories.setdefault(agent, IncarnationHistory())
        history.last_contact = now
        if incarnation > history.latest:
            history.previous = history.latest
            history.latest = incarnation
        return incarnation == history.latest

    def get_previous(self, agent: str) -> int:
        """Return the life before the newest one that was heard of, or 0."""
        history = self._histories.get(agent)
        return history.previous if history is not None else 0

    def expire(self, members: set[str], now: float) -> None:
        """Forget agents that have long been no members."""
        for agent, history in list(self._histories.items()):
            if agent not in members and now - history.last_contact >= HISTORY_TTL_S:
                del self._histories[agent]

    def is_known(self, agent: str) -> bool:
        """Return whether any life of an agent is remembered."""
        return agent in self._histories
