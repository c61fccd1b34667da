"""Fencing of an agent by its lease, or by confirmations of its peers.

An agent whose lease expires is removed from the view, and another agent
becomes home of its buckets. An agent that is cut off from control does not
learn of that, so it stops arbitrating before control lets the lease expire.
When control as a whole is unreachable, no membership ends: agents then
continue as long as half of the members, themselves included, confirm to each
other that they know of no newer view.
"""

from __future__ import annotations

LEASE_MARGIN_S = 1.0
"""An agent stops arbitrating this long before its lease expires at control."""
CONFIRM_INTERVAL_S = 0.25
"""Time between two checks of the view with all peers."""
CHECK_AHEAD_S = 0.5
"""Checks begin this long before the agent would stop arbitrating."""
MAX_OPEN_CHECKS = 16
"""Latest checks whose confirmations are still accepted."""
CONFIRMATION_VALIDITY_S = 1.0
"""Time that a peer's confirmation is valid, from when the check was sent."""


class Fence:
    """Decides whether an agent may arbitrate.

    Parameters
    ----------
    lease : float
        Time after the last renewal at which a lease expires, in seconds.
    """

    __slots__ = ("_lease", "_confirmed", "_sent_at", "_number", "_last_granted")

    def __init__(self, lease: float) -> None:
        self._lease = lease
        self._confirmed: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._number = 0
        self._last_granted: tuple[float, int] = (float("-inf"), 0)

    def has_lease(self, renewed_at: float, now: float) -> bool:
        """Return whether the lease is certain not to have expired at control."""
        return now - renewed_at < self._lease - LEASE_MARGIN_S

    def is_confirmed(self, peers: set[str], now: float) -> bool:
        """Return whether half of the members, this one included, confirm the view."""
        agreeing = 1
        for name in peers:
            if now - self._confirmed.get(name, float("-inf")) < CONFIRMATION_VALIDITY_S:
                agreeing += 1
        return 2 * agreeing >= len(peers) + 1

    def begin_check(self, renewed_at: float, now: float) -> int:
        """Return the number of the check that is due to all peers, or 0."""
        if now - renewed_at < self._lease - LEASE_MARGIN_S - CHECK_AHEAD_S:
            return 0
        last = self._sent_at.get(self._number, float("-inf"))
        if now - last < CONFIRM_INTERVAL_S:
            return 0
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - MAX_OPEN_CHECKS, None)
        return self._number

    def record_confirmation(self, peer: str, number: int) -> None:
        """Record that a peer knew of no newer view when the check was sent."""
        sent_at = self._sent_at.get(number)
        if sent_at is None:
            return
        previous = self._confirmed.get(peer, float("-inf"))
        self._confirmed[peer] = max(previous, sent_at)

    def grant_confirmation(self, version: int, now: float) -> None:
        """Record that this agent has confirmed a version to a peer."""
        self._last_granted = (now, version)

    def is_bound_by_confirmation(self, version: int, now: float) -> bool:
        """Return whether a promise under a newer view must wait.

        A peer relies on a confirmation for as long as it is valid.
        """
        at, given = self._last_granted
        return version > given and now - at < CONFIRMATION_VALIDITY_S
