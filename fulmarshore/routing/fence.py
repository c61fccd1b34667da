"""Whether an agent may still arbitrate: its lease, or the word of its peers.

An agent that lost its lease is no member any more, and another agent becomes
home of its buckets. Cut off from control it does not learn of that: so it
stops to arbitrate before control gives the lease up. Where control as a whole
is not reachable, nobody's membership ends; there half of the members, itself
among them, confirm to each other that no newer view has come, and go on.
"""

from __future__ import annotations

LEASE_MARGIN_S = 1.0
"""An agent stops this long before control gives its lease up."""
CONFIRM_INTERVAL_S = 0.25
CHECK_AHEAD_S = 0.5
"""The peers are asked this long before the lease is over."""
MAX_OPEN_CHECKS = 16
"""Questions whose answers still count."""
CONFIRMATION_VALIDITY_S = 1.0
"""How long the word of a peer holds, from when it was asked for."""


class Fence:
    """Tells whether an agent may arbitrate.

    Parameters
    ----------
    lease : float
        Time after which control gives a silent agent up, in seconds.
    """

    __slots__ = ("_lease", "_confirmed", "_sent_at", "_number", "_last_granted")

    def __init__(self, lease: float) -> None:
        self._lease = lease
        self._confirmed: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._number = 0
        self._last_granted: tuple[float, int] = (float("-inf"), 0)

    def has_lease(self, renewed_at: float, now: float) -> bool:
        """Return whether control still counts this agent in for certain."""
        return now - renewed_at < self._lease - LEASE_MARGIN_S

    def is_confirmed(self, peers: set[str], now: float) -> bool:
        """Return whether half of the members, this one among them, agree."""
        agreeing = 1
        for name in peers:
            if now - self._confirmed.get(name, float("-inf")) < CONFIRMATION_VALIDITY_S:
                agreeing += 1
        return 2 * agreeing >= len(peers) + 1

    def begin_check(self, renewed_at: float, now: float) -> int:
        """Return the number of the question due to all peers, or 0."""
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
        """Note that a peer knew of no newer view when it was asked."""
        asked_at = self._sent_at.get(number)
        if asked_at is None:
            return
        held = self._confirmed.get(peer, float("-inf"))
        self._confirmed[peer] = max(held, asked_at)

    def grant_confirmation(self, version: int, now: float) -> None:
        """Note that a peer relies on there being no newer view for a while."""
        self._last_granted = (now, version)

    def is_bound_by_confirmation(self, version: int, now: float) -> bool:
        """Return whether a promise under a newer view has to wait."""
        at, given = self._last_granted
        return version > given and now - at < CONFIRMATION_VALIDITY_S
