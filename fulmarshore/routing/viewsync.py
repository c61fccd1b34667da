"""Versions of the view that differ between an agent and its peers."""

from __future__ import annotations

from fulmarshore.core.records import Address, DeltaRequest, Effect, SendPeer
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.state import AgentState

DELTA_INTERVAL_S = 0.1
"""Time between two requests for a newer view that packets wait for."""


class ViewSync:
    """Brings this agent and those who send to it to the newest view.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self._newest_seen: tuple[int, Address] | None = None
        self._requested_at = float("-inf")

    def reconcile(self, version: int, source: Address, now: float) -> list[Effect]:
        """Let whoever has the newer version tell the other."""
        if version > self.state.table.version:
            if self._newest_seen is None or version >= self._newest_seen[0]:
                self._newest_seen = (version, source)
            return self.request_newest(now)
        return [SendPeer(source, make_delta(self.state.subscriber.view, version))]

    def request_newest(self, now: float) -> list[Effect]:
        """Ask whoever has shown a newer version, again until it is here."""
        if self._newest_seen is None or now - self._requested_at < DELTA_INTERVAL_S:
            return []
        self._requested_at = now
        self.state.peers.record_request(self._newest_seen[1])
        request = DeltaRequest(self.state.subscriber.identity, self.state.table.version)
        return [SendPeer(self._newest_seen[1], request)]

    def record_applied(self, version: int) -> None:
        """Ask no more for a version that is in force."""
        self._requested_at = float("-inf")
        if self._newest_seen is not None and version >= self._newest_seen[0]:
            self._newest_seen = None
