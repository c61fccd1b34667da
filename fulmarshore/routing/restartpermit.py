"""Permits for planned restarts: one agent of a service restarts at a time.

An agent that restarts leaves its flow records with peers. If these restarted too
before its successor is back, the records would be lost. So an agent requests a
permit from every member, as in the algorithm of Ricart and Agrawala (1981) but
with names in place of time stamps, and restarts once none objects.
"""

from __future__ import annotations

from fulmarshore.core.stalls import STALL_S

REQUEST_INTERVAL_S = 0.1
REPLY_TTL_S = 1.0
"""How long the reply of a peer is valid."""
RESPONSE_TIMEOUT_S = 2.0
"""A peer that has not replied for this long counts as unresponsive."""


class RestartPermit:
    """Decides whether this agent may restart, and what it replies to peers.

    Parameters
    ----------
    name : str
        Name of the agent.
    """

    __slots__ = (
        "_name",
        "_waiting_since",
        "_last_request",
        "_requested_at",
        "_last_contact",
        "_granted_by",
        "_min_request",
        "_active_at",
        "_first_valid_request",
    )

    def __init__(self, name: str) -> None:
        self._name = name
        self._waiting_since: float | None = None
        self._last_request = 0
        self._requested_at = float("-inf")
        self._last_contact: dict[str, float] = {}
        self._granted_by: set[str] = set()
        self._min_request: dict[str, int] = {}
        self._active_at = float("-inf")
        self._first_valid_request = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the agent waits for the permit."""
        return self._waiting_since is not None

    def start_waiting(self, now: float) -> None:
        """Start to wait for the permit."""
        self._waiting_since = now
        self._active_at = now

    def record_activity(self, now: float) -> None:
        """Wait anew if this process has just resumed after a stall.

        It could not hear its peers meanwhile: they are not unresponsive, and what
        they have permitted may not hold any more. Has to be called for each tick and
        each reply, before anything else.
        """
        if self._waiting_since is not None and now - self._active_at > STALL_S:
            self._waiting_since = now
            self._granted_by.clear()
            self._first_valid_request = self._last_request + 1
        self._active_at = now

    def stop_waiting(self) -> None:
        """Stop waiting, as the permit was granted."""
        self._waiting_since = None

    def request(self, now: float) -> int:
        """Return the number of the request due to all peers, or 0 if none is due."""
        if self._waiting_since is None or now - self._requested_at < REQUEST_INTERVAL_S:
            return 0
        self._requested_at = now
        self._last_request += 1
        return self._last_request

    def grant(self, requester: str, is_free: bool) -> bool:
        """Return whether this agent permits a peer to restart.

        Of two that wait, the one with the lower name goes first. The one that
        gives way needs a new reply of the other.

        Parameters
        ----------
        requester : str
            Name of the peer.
        is_free : bool
            Whether this agent is not restarting itself.
        """
        if not is_free:
            return False
        if not self.is_waiting:
            return True
        if self._name < requester:
            return False
        self._granted_by.discard(requester)
        self._min_request[requester] = self._last_request + 1
        return True

    def handle_reply(
        self, peer: str, number: int, is_allowed: bool, now: float
    ) -> None:
        """Process the reply of a peer to a request."""
        self._last_contact[peer] = now
        if number < max(self._min_request.get(peer, 0), self._first_valid_request):
            return
        if is_allowed:
            self._granted_by.add(peer)
            return
        self._granted_by.discard(peer)

    def is_granted(self, peers: set[str], now: float) -> bool:
        """Return whether all responsive peers have permitted the restart."""
        if self._waiting_since is None:
            return False
        for peer in peers:
            last_contact = self._last_contact.get(peer, self._waiting_since)
            since_contact = now - max(last_contact, self._waiting_since)
            if since_contact >= RESPONSE_TIMEOUT_S:
                continue
            if peer not in self._granted_by or since_contact >= REPLY_TTL_S:
                return False
        return True
