"""Whether an agent lets a new flow pass to its upstream.

The agent is the only way to its upstream, so whatever entry hosts believe,
nothing passes a gate that knows better.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.direct.records import ServicePolicy, UpstreamAnnounced
from fulmarshore.direct.tables import TableView

SILENT_INTERVALS = 3.5
"""An upstream that did not announce itself for so many of its intervals gets
nothing new: three words were lost or never said."""
LEAST_INTERVALS = 1.3
"""Silence that is never taken for an end: one interval, and a word under way."""
REUSE_MARGIN_S = 0.1
"""Time before a reused address may be in use again at which nothing passes."""
REPLACED_INTERVALS = 2.0
"""After so many intervals of silence a former start, by its clock, counts as
the present incarnation if it goes on announcing itself: clocks jump."""
COLD_WINDOW_S = 1.05
"""Window in which flows to a cold upstream are counted: a second, and the
spread of delays on one host."""
COLD_MARGIN = 1
"""Flows a window that a cold upstream gets less than it bears."""
UNDER_WAY_PER_SLOT = 2
"""Requests for each slot up to which openings pass at once: one that is worked
on, and one whose handshake takes place meanwhile."""


class UpstreamBounds(Struct, frozen=True):
    """What the platform says of upstreams.

    Parameters
    ----------
    overshoot : float
        Factor on the rate that a service states for cold upstreams.
    slack : float
        Requests a second that a cold upstream bears on top.
    interval_s : float
        Interval of an upstream's announcements.
    reuse_s : float
        Time after an upstream's end at which its address may be another's.
    """

    overshoot: float = 1.0
    slack: float = 2.0
    interval_s: float = 1.0
    reuse_s: float = 2.0

    def count_cold_flows(self, cold_per_s: float) -> int:
        """Return the flows that may pass to a cold upstream in one window."""
        return max(1, int(cold_per_s * self.overshoot + self.slack) - COLD_MARGIN)

    @property
    def silence_s(self) -> float:
        """Silence after which nothing passes.

        The address may belong to another service soon after an end that was
        not announced, and that upstream is not heard of at once.
        """
        longest = min(SILENT_INTERVALS * self.interval_s, self.reuse_s - REUSE_MARGIN_S)
        return max(LEAST_INTERVALS * self.interval_s, longest)


class Gate:
    """What is known of the upstream, and whether it takes a new flow.

    Parameters
    ----------
    tables : TableView
        The newest table of the agent.
    bounds : UpstreamBounds
        What the platform says of upstreams.
    """

    __slots__ = (
        "_tables",
        "_bounds",
        "_rival",
        "_upstream",
        "_announced_at",
        "_cold_until",
        "_cold_flows",
        "_is_gone",
        "_is_stopping",
    )

    def __init__(self, tables: TableView, bounds: UpstreamBounds) -> None:
        self._tables = tables
        self._bounds = bounds
        self._rival: UpstreamAnnounced | None = None
        self._upstream: UpstreamAnnounced | None = None
        self._announced_at = float("-inf")
        self._cold_until = float("-inf")
        self._cold_flows: deque[float] = deque()
        self._is_gone = False
        self._is_stopping = False

    @property
    def upstream(self) -> UpstreamAnnounced | None:
        """The newest announcement of the present incarnation."""
        return self._upstream

    @property
    def service(self) -> str:
        """Service of the present incarnation; empty if unknown."""
        return self._upstream.service if self._upstream is not None else ""

    def take(self, announced: UpstreamAnnounced, now: float) -> str:
        """Take an announcement.

        Returns
        -------
        outcome : str
            ``new`` for another incarnation, ``newer`` for news of the present
            one, ``late`` for what is older than what is known.
        """
        outcome = self._compare(announced, now)
        if outcome == "late":
            return outcome
        self._rival = None
        if outcome == "new":
            self._cold_flows.clear()
        self._is_gone = False
        self._upstream = announced
        self._announced_at = now
        self._cold_until = now + announced.cold_s
        return outcome

    def depart(self, upstream: str) -> bool:
        """Take the word of an upstream that it ends; whether it is present."""
        if self._upstream is None or self._upstream.upstream != upstream:
            return False
        self._is_gone = True
        return True

    def close(self) -> None:
        """Let nothing new pass: the upstream is gone or silent."""
        self._is_gone = True

    def stop(self) -> None:
        """Let nothing new pass: the agent is about to stop."""
        self._is_stopping = True

    @property
    def slots(self) -> int:
        """Requests that the upstream works on at once."""
        return self._upstream.slots if self._upstream is not None else 1

    @property
    def is_gone(self) -> bool:
        """Whether the present incarnation has ended, or was told to be gone."""
        return self._is_gone

    def is_cold(self, now: float) -> bool:
        """Whether the upstream bears only a little."""
        return now < self._cold_until

    def is_accepting(self, now: float) -> bool:
        """Whether new flows of any route may pass."""
        return self.explain(now) is None

    def explain(self, now: float) -> str | None:
        """Return why nothing new passes; None if it does."""
        upstream = self._upstream
        if self._is_stopping:
            return "agent_stopping"
        if not self._tables.is_known:
            return "no_configuration"
        if upstream is None:
            return "no_upstream"
        if self._is_gone:
            return "upstream_gone"
        if not upstream.is_ready:
            return "upstream_draining"
        if now - self._announced_at > self._bounds.silence_s:
            return "upstream_silent"
        if self._tables.is_zone_out(upstream.zone):
            return "zone_out"
        return None

    def check(self, address: bytes, now: float) -> str | None:
        """Return why no opening to an address passes; None if it may."""
        reason = self.explain(now)
        if reason is None and not self._tables.leads_to(address, self.service):
            return "other_service"
        return reason

    def has_room(self, busy: int) -> bool:
        """Whether an opening may pass at once, or waits for a slot.

        Parameters
        ----------
        busy : int
            Flows with a request under way.
        """
        return busy < self.slots * UNDER_WAY_PER_SLOT

    def admit(self, address: bytes, flows: int, now: float) -> str | None:
        """Return why a new flow does not pass; None lets it pass and counts it.

        Parameters
        ----------
        address : bytes
            Address and port of the service that the caller asks for.
        flows : int
            Flows that the upstream holds.
        now : float
            Steady time, seconds.
        """
        reason = self.check(address, now)
        if reason is not None:
            return reason
        policy = self._tables.find_service(self.service)
        if policy is not None and flows >= policy.max_flows > 0:
            return "upstream_full"
        if self.is_cold(now):
            return self._admit_cold(policy, now)
        return None

    def _admit_cold(self, policy: ServicePolicy | None, now: float) -> str | None:
        """Let a cold upstream get what its service states, if it does."""
        if policy is None or not policy.cold_per_s:
            return None
        while self._cold_flows and now - self._cold_flows[0] >= COLD_WINDOW_S:
            self._cold_flows.popleft()
        if len(self._cold_flows) >= self._bounds.count_cold_flows(policy.cold_per_s):
            return "upstream_cold"
        self._cold_flows.append(now)
        return None

    def _compare(self, announced: UpstreamAnnounced, now: float) -> str:
        held = self._upstream
        if held is None:
            return "new"
        if announced.born_ms < held.born_ms:
            return "new" if self._replaces(announced, now) else "late"
        if announced.upstream != held.upstream or announced.born_ms > held.born_ms:
            return "new"
        return "newer" if announced.sequence > held.sequence else "late"

    def _replaces(self, announced: UpstreamAnnounced, now: float) -> bool:
        """Whether what seems a former incarnation is the present one.

        A late word comes once; an incarnation whose clock was set back goes
        on, and nothing is heard of the other one.
        """
        rival = self._rival
        self._rival = announced
        if now - self._announced_at < REPLACED_INTERVALS * self._bounds.interval_s:
            return False
        if rival is None or rival.upstream != announced.upstream:
            return False
        return announced.sequence > rival.sequence
