"""Admission gate of one upstream: limits the number and rate of its flows."""

from __future__ import annotations

from fulmarshore.core.records import Member, Profile

COLD_RATE_SHARE = 0.1
"""New flows per second of a cold upstream, as a share of its connections."""

DEFAULT_SLOW_START_S = 30.0


class Gate:
    """Decides whether an upstream has room for one more flow.

    During slow start, a cold upstream gets a growing rate of new flows. The gate
    never closes established flows.

    Parameters
    ----------
    member : Member
        The announcement, with the connections that the warm upstream can hold.
    """

    __slots__ = (
        "_announced_connections",
        "_connections",
        "_slow_start",
        "_cold_since",
        "_tokens",
        "_refilled_at",
        "_hint_share",
    )

    def __init__(self, member: Member) -> None:
        self._announced_connections = member.connections
        self._connections = member.connections
        self._slow_start = DEFAULT_SLOW_START_S
        self._cold_since: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._hint_share = 1.0

    def update(self, profile: Profile) -> None:
        """Apply the limits of the service's profile."""
        self._slow_start = profile.slow_start
        self._connections = self._announced_connections
        if profile.connections:
            self._connections = min(profile.connections, self._announced_connections)

    def restart_slow_start(self, now: float) -> None:
        """Restart the slow start, as after a restart of the upstream."""
        self._cold_since = now
        self._tokens = min(self._tokens, self._find_rate(now))
        self._refilled_at = now

    def apply_hint(self, share: float) -> None:
        """Limit the rate of new flows to what endpoints of the upstream allow.

        Parameters
        ----------
        share : float
            Share of its connections that may be opened per second, 0 to 1; at
            least ``COLD_RATE_SHARE`` is allowed.
        """
        self._hint_share = max(share, COLD_RATE_SHARE)

    def get_limit(self, now: float) -> int:
        """Return the highest number of concurrent flows of the upstream."""
        return self._connections

    def has_room(self, flows: int, now: float) -> bool:
        """Return whether one more flow may be opened now."""
        if flows >= self._connections:
            return False
        self._refill(now)
        return self._tokens >= 1.0

    def record_opened(self, now: float) -> None:
        """Record that a flow was opened."""
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        if self._cold_since is None:
            self._cold_since = now
            self._tokens = self._find_rate(now)
            self._refilled_at = now
        rate = self._find_rate(now)
        self._tokens = min(self._tokens + rate * (now - self._refilled_at), rate)
        self._refilled_at = now

    def _find_rate(self, now: float) -> float:
        since = self._cold_since if self._cold_since is not None else now
        progress = min((now - since) / self._slow_start, 1.0)
        share = COLD_RATE_SHARE + (1.0 - COLD_RATE_SHARE) * progress
        share = min(share, self._hint_share)
        return max(self._connections * share, 1.0)
