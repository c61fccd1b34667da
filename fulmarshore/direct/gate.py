"""Whether an agent lets a new flow pass to its upstream.

The agent is the only way to its upstream, so whatever entry hosts believe,
nothing passes a gate that knows better.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.direct.records import ServicePolicy, UpstreamAnnounced
from fulmarshore.direct.tables import TableIndex

MAX_SILENT_INTERVALS = 3.5
"""An upstream that did not announce itself for so many of its intervals gets
nothing new: three words were lost or never said."""
MIN_SILENT_INTERVALS = 1.3
"""Silence that is never taken for an end: one interval, and a word under way."""
REUSE_MARGIN_S = 0.1
"""Time before a reused address may be in use again at which nothing passes."""
REPLACEMENT_INTERVALS = 2.0
"""After so many intervals of silence a former start, by its clock, counts as
the present incarnation if it goes on announcing itself: clocks jump."""
COLD_WINDOW_S = 1.05
"""Window in which flows to a cold upstream are counted: a second, and the
spread of delays on one host."""
COLD_MARGIN = 1
"""Flows a window that a cold upstream gets less than it bears."""
REQUESTS_PER_SLOT = 2
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
    def timeout_s(self) -> float:
        """Silence after which nothing passes.

        The address may belong to another service soon after an end that was
        not announced, and that upstream is not heard of at once.
        """
        longest = min(
            MAX_SILENT_INTERVALS * self.interval_s, self.reuse_s - REUSE_MARGIN_S
        )
        return max(MIN_SILENT_INTERVALS * self.interval_s, longest)


class Gate:
    """What is known of the upstream, and whether it takes a new flow.

    Parameters
    ----------
    tables : TableIndex
        The newest table of the agent.
    bounds : UpstreamBounds
        What the platform says of upstreams.
    """

    __slots__ = (
        "_tables",
        "_bounds",
        "_late_announcement",
        "_upstream",
        "_announced_at",
        "_cold_until",
        "_cold_flows",
        "_is_gone",
        "_is_stopping",
    )

    def __init__(self, tables: TableIndex, bounds: UpstreamBounds) -> None:
        self._tables = tables
        self._bounds = bounds
        self._late_announcement: UpstreamAnnounced | None = None
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

    def handle_announcement(self, announced: UpstreamAnnounced, now: float) -> str:
        """Take an announcement.

        Returns
        -------
        outcome : str
            ``new`` for another incarnation, ``newer`` for news of the present
            one, ``late`` for what is older than what is known.
        """
        outcome = self._classify(announced, now)
        if outcome == "late":
            return outcome
        self._late_announcement = None
        if outcome == "new":
            self._cold_flows.clear()
        self._is_gone = False
        self._upstream = announced
        self._announced_at = now
        self._cold_until = now + announced.cold_s
        return outcome

    def handle_departure(self, upstream: str) -> bool:
        """Take the word of an upstream that it ends; whether it is present."""
        if self._upstream is None or self._upstream.upstream != upstream:
            return False
        self._is_gone = True
        return True

    def mark_gone(self) -> None:
        """Let nothing new pass: the upstream is gone or silent."""
        self._is_gone = True

    def begin_stop(self) -> None:
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
        return self.find_closed_reason(now) is None

    def find_closed_reason(self, now: float) -> str | None:
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
        if now - self._announced_at > self._bounds.timeout_s:
            return "upstream_silent"
        if self._tables.is_zone_out(upstream.zone):
            return "zone_out"
        return None

    def find_refusal_reason(self, address: bytes, now: float) -> str | None:
        """Return why no opening to an address passes; None if it may."""
        reason = self.find_closed_reason(now)
        if reason is None and not self._tables.has_backend(address, self.service):
            return "other_service"
        return reason

    def has_capacity(self, busy: int) -> bool:
        """Whether an opening may pass at once, or waits for a slot.

        Parameters
        ----------
        busy : int
            Flows with a request under way.
        """
        return busy < self.slots * REQUESTS_PER_SLOT

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
        reason = self.find_refusal_reason(address, now)
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

    def _classify(self, announced: UpstreamAnnounced, now: float) -> str:
        current = self._upstream
        if current is None:
            return "new"
        if announced.born_ms < current.born_ms:
            return "new" if self._is_replacement(announced, now) else "late"
        if (
            announced.upstream != current.upstream
            or announced.born_ms > current.born_ms
        ):
            return "new"
        return "newer" if announced.sequence > current.sequence else "late"

    def _is_replacement(self, announced: UpstreamAnnounced, now: float) -> bool:
        """Whether what seems a former incarnation is the present one.

        A late word comes once; an incarnation whose clock was set back goes
        on, and nothing is heard of the other one.
        """
        previous = self._late_announcement
        self._late_announcement = announced
        if now - self._announced_at < REPLACEMENT_INTERVALS * self._bounds.interval_s:
            return False
        if previous is None or previous.upstream != announced.upstream:
            return False
        return announced.sequence > previous.sequence
