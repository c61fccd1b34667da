"""Whether a successor may go on with the flows of its former self.

It may where nobody can have opened one of them elsewhere meanwhile: the
membership was never interrupted, the availability zone was not taken out, and
no other life of the agent was in between.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.core.records import FlowRecord, Member, Zone
from fulmarshore.membership.view import View

MEMORY_S = 30.0
"""The lives of an agent that is no member are forgotten after this long."""


def was_always_member(view: View, agent: str, since: int) -> bool:
    """Return whether an agent was never removed since a version."""
    if view.horizon > since:
        return False
    for gone in view.removed:
        if gone.version <= since or gone.item_type != Member.__name__:
            continue
        if gone.name == agent:
            return False
    return True


def has_zone_changed(view: View, agent: str, since: int) -> bool:
    """Return whether an agent's zone may have been out since a version."""
    held = view.items.get((Member.__name__, agent))
    if held is None:
        return False
    zone = view.items.get((Zone.__name__, held.item.zone))
    return zone is not None and zone.version > since


class GivenRecords(Struct, frozen=True):
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


class Life:
    """The newest life of an agent that was heard of, and the one before."""

    __slots__ = ("newest", "former", "heard_at")

    def __init__(self) -> None:
        self.newest = 0
        self.former = 0
        self.heard_at = 0.0


class Lives:
    """The lives of its peers that an agent has heard of."""

    __slots__ = ("_lives",)

    def __init__(self) -> None:
        self._lives: dict[str, Life] = {}

    def note(self, agent: str, incarnation: int, now: float) -> bool:
        """Note a message of a life; False where a newer one was heard of."""
        life = self._lives.setdefault(agent, Life())
        life.heard_at = now
        if incarnation > life.newest:
            life.former = life.newest
            life.newest = incarnation
        return incarnation == life.newest

    def get_former(self, agent: str) -> int:
        """Return the life before the newest one that was heard of, or 0."""
        life = self._lives.get(agent)
        return life.former if life is not None else 0

    def expire(self, members: set[str], now: float) -> None:
        """Forget agents that have long been no members."""
        for agent, life in list(self._lives.items()):
            if agent not in members and now - life.heard_at >= MEMORY_S:
                del self._lives[agent]

    def is_known(self, agent: str) -> bool:
        """Return whether any life of an agent is remembered."""
        return agent in self._lives
