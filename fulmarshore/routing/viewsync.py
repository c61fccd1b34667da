"""Exchange of views between an agent and its peers."""

from __future__ import annotations

from fulmarshore.core.records import Address, DeltaRequest, Effect, SendPeer
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.state import AgentState

DELTA_INTERVAL_S = 0.1
"""Time between two requests for a newer view."""


class ViewSync:
    """Requests newer views from peers, and sends newer ones to them.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self._newest_seen: tuple[int, Address] | None = None
        self._requested_at = float("-inf")

    def reconcile(self, version: int, source: Address, now: float) -> list[Effect]:
        """Request a peer's newer view, or send it a delta if its view is older."""
        if version > self.state.table.version:
            if self._newest_seen is None or version >= self._newest_seen[0]:
                self._newest_seen = (version, source)
            return self.request_newest(now)
        return [SendPeer(source, make_delta(self.state.subscriber.view, version))]

    def request_newest(self, now: float) -> list[Effect]:
        """Request the newest version seen, repeatedly until it is applied."""
        if self._newest_seen is None or now - self._requested_at < DELTA_INTERVAL_S:
            return []
        self._requested_at = now
        self.state.peers.record_request(self._newest_seen[1])
        request = DeltaRequest(self.state.subscriber.identity, self.state.table.version)
        return [SendPeer(self._newest_seen[1], request)]

    def record_applied(self, version: int) -> None:
        """Stop requesting a version that is now in force."""
        self._requested_at = float("-inf")
        if self._newest_seen is not None and version >= self._newest_seen[0]:
            self._newest_seen = None
