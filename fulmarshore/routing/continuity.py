"""Checks whether a restarted agent may resume its previous incarnation's flows.

It may only if no other agent can have opened one of them in the meantime: the
agent was a member without interruption, its availability zone was not taken
out, and no other incarnation of the agent ran in between.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.core.records import FlowRecord, Member, Zone
from fulmarshore.membership.view import View

HISTORY_TTL_S = 30.0
"""How long incarnations of a non-member are kept after its last message."""


def was_continuously_member(view: View, agent: str, since: int) -> bool:
    """Return whether an agent was never removed since a version.

    False as well if the view no longer lists all removals since then.
    """
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
    """The flow records that a copy holder has returned to a successor.

    Parameters
    ----------
    successor : int
        Incarnation of the successor.
    last_batch : int
        Number of the last batch of the copy; 0 if the records were handed over
        for a planned restart.
    records : list of FlowRecord
        In the order in which they were sent.
    """

    successor: int
    last_batch: int
    records: list[FlowRecord]


class IncarnationHistory:
    """The latest known incarnation of an agent and the one before."""

    __slots__ = ("latest", "previous", "last_contact")

    def __init__(self) -> None:
        self.latest = 0
        self.previous = 0
        self.last_contact = 0.0


class KnownIncarnations:
    """The incarnations of peers from which messages have arrived."""

    __slots__ = ("_histories",)

    def __init__(self) -> None:
        self._histories: dict[str, IncarnationHistory] = {}

    def observe(self, agent: str, incarnation: int, now: float) -> bool:
        """Record a message's incarnation; return whether it is the latest known."""
        history = self._histories.setdefault(agent, IncarnationHistory())
        history.last_contact = now
        if incarnation > history.latest:
            history.previous = history.latest
            history.latest = incarnation
        return incarnation == history.latest

    def get_previous(self, agent: str) -> int:
        """Return the incarnation before the latest known one, or 0."""
        history = self._histories.get(agent)
        return history.previous if history is not None else 0

    def expire(self, members: set[str], now: float) -> None:
        """Discard agents that are not members and have sent nothing for a while."""
        for agent, history in list(self._histories.items()):
            if agent not in members and now - history.last_contact >= HISTORY_TTL_S:
                del self._histories[agent]

    def is_known(self, agent: str) -> bool:
        """Return whether any incarnation of an agent is known."""
        return agent in self._histories
