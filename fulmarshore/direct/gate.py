"""Admission gate of an agent for new flows to its upstream.

All packets to an upstream pass its agent, so the gate holds even where entry hosts
have outdated information.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.direct.records import ServicePolicy, UpstreamAnnounced
from fulmarshore.direct.tables import TableIndex

MAX_SILENT_INTERVALS = 3.5
"""Announcement intervals without an announcement after which an upstream gets no new
flows: three announcements were lost or not sent."""
MIN_SILENT_INTERVALS = 1.3
"""Intervals without an announcement that are always tolerated: one, and the
delay of an announcement in flight."""
REUSE_MARGIN_S = 0.1
"""New flows stop this long before the address of an upstream may be reused."""
REPLACEMENT_INTERVALS = 2.0
"""Intervals without an announcement of the current incarnation after which one with an
earlier start time may replace it, if that one keeps announcing itself: a clock may
have been set back."""
COLD_WINDOW_S = 1.05
"""Window for counting flows to a cold upstream: one second, and the jitter of delays
on one host."""
COLD_MARGIN = 1
"""Safety margin, in flows a window, below what a cold upstream can serve."""
REQUESTS_PER_SLOT = 2
"""Requests per slot up to which openings are admitted at once: one in service, and one
whose handshake takes place meanwhile."""


class UpstreamBounds(Struct, frozen=True):
    """Bounds that the platform states for all upstreams.

    Parameters
    ----------
    overshoot : float
        Factor on the rate that a service states for cold upstreams.
    slack : float
        Requests a second that a cold upstream can serve on top of that.
    interval_s : float
        Interval of an upstream's announcements, seconds.
    reuse_s : float
        Seconds after an upstream's end at which another may get its address.
    """

    overshoot: float = 1.0
    slack: float = 2.0
    interval_s: float = 1.0
    reuse_s: float = 2.0

    def count_cold_flows(self, cold_per_s: float) -> int:
        """Return the flows that a cold upstream may get in one window."""
        return max(1, int(cold_per_s * self.overshoot + self.slack) - COLD_MARGIN)

    @property
    def timeout_s(self) -> float:
        """Seconds without an announcement after which no new flow is admitted.

        After an unannounced end the address may soon belong to another service,
        whose upstream announces itself only later.
        """
        longest = min(
            MAX_SILENT_INTERVALS * self.interval_s, self.reuse_s - REUSE_MARGIN_S
        )
        return max(MIN_SILENT_INTERVALS * self.interval_s, longest)


class Gate:
    """Tracks the announcements of an upstream, and admits or refuses new flows.

    Parameters
    ----------
    tables : TableIndex
        Index of the agent's newest table.
    bounds : UpstreamBounds
        Bounds that the platform states for upstreams.

    Attributes
    ----------
    is_confirmed : bool
        Whether control hosts know that the upstream may hold flows. Until then
        openings wait: a search would not ask this agent.
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
        "is_confirmed",
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
        self.is_confirmed = True

    @property
    def upstream(self) -> UpstreamAnnounced | None:
        """The newest announcement of the current incarnation."""
        return self._upstream

    @property
    def service(self) -> str:
        """Service of the current incarnation; empty if unknown."""
        return self._upstream.service if self._upstream is not None else ""

    @property
    def incarnation(self) -> str:
        """Name and start time of the current incarnation; empty if unknown."""
        upstream = self._upstream
        return f"{upstream.upstream}@{upstream.born_ms}" if upstream is not None else ""

    def handle_announcement(self, announced: UpstreamAnnounced, now: float) -> str:
        """Process an announcement.

        Returns
        -------
        outcome : str
            ``new`` for a new incarnation, ``newer`` for a newer announcement of the
            current one, ``late`` for an outdated announcement, which is ignored.
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
        """Process a departure; return whether it is of the current incarnation."""
        if self._upstream is None or self._upstream.upstream != upstream:
            return False
        self._is_gone = True
        return True

    def mark_gone(self) -> None:
        """Admit no new flows until the next announcement: the upstream has ended."""
        self._is_gone = True

    def begin_stop(self) -> None:
        """Admit no new flows, as the agent is about to stop."""
        self._is_stopping = True

    @property
    def slots(self) -> int:
        """Requests that the upstream serves at the same time; 1 if unknown."""
        return self._upstream.slots if self._upstream is not None else 1

    @property
    def is_gone(self) -> bool:
        """Whether the current incarnation has ended."""
        return self._is_gone

    def is_cold(self, now: float) -> bool:
        """Whether the upstream is in its cold start."""
        return now < self._cold_until

    def is_accepting(self, now: float) -> bool:
        """Whether the gate is open for new flows."""
        return self.find_closed_reason(now) is None

    def find_closed_reason(self, now: float) -> str | None:
        """Return why no new flow is admitted; None if the gate is open."""
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
        """Return why no flow to an address is admitted; None if it may be."""
        reason = self.find_closed_reason(now)
        if reason is None and not self._tables.has_backend(address, self.service):
            return "other_service"
        return reason

    def has_capacity(self, busy: int) -> bool:
        """Whether an opening may be admitted at once instead of being queued.

        Parameters
        ----------
        busy : int
            Flows with a request in progress.
        """
        return self.is_confirmed and busy < self.slots * REQUESTS_PER_SLOT

    def admit(self, address: bytes, flows: int, now: float) -> str | None:
        """Admit a new flow and return None, or return why it is refused.

        Parameters
        ----------
        address : bytes
            Address and port of the service that the caller asks for.
        flows : int
            Flows that the upstream holds.
        now : float
            Monotonic time in seconds.
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
        """Admit a flow within the rate of the service for cold upstreams, if any."""
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
        """Whether an incarnation with an earlier start time is the current one.

        A delayed announcement arrives once. An incarnation whose clock was set back
        keeps announcing itself, while the other one sends nothing.
        """
        previous = self._late_announcement
        self._late_announcement = announced
        if now - self._announced_at < REPLACEMENT_INTERVALS * self._bounds.interval_s:
            return False
        if previous is None or previous.upstream != announced.upstream:
            return False
        return announced.sequence > previous.sequence
