"""The gate of one upstream: how many flows it may hold."""

from __future__ import annotations

from fulmarshore.core.records import Member


class Gate:
    """Decides whether an upstream has room for one more flow.

    Parameters
    ----------
    member : Member
        The announcement, with what the warm upstream bears.
    """

    __slots__ = ("_connections",)

    def __init__(self, member: Member) -> None:
        self._connections = member.connections

    def get_limit(self, now: float) -> int:
        """Return the number of flows the upstream bears at a time."""
        return self._connections

    def has_room(self, flows: int, now: float) -> bool:
        """Return whether one more flow may be opened beside those open."""
        return flows < self.get_limit(now)
