"""Drains that the health endpoint of an upstream asks for.

Only a part of a service may drain because of such hints, so that misleading
endpoints, even all of them, cannot take the service down.
"""

from __future__ import annotations

from fulmarshore.core.records import Health
from fulmarshore.routing.table import ServiceTable

CONFIRMING_HINTS = 2
"""Consecutive draining hints after which a drain may start."""

HINT_LIFE_S = 5.0
"""Time after which a hint expires, and the longest gap between consecutive hints."""

STAGGER_S = 0.5
MAX_STAGGER_S = 5.0
"""Time between the drains of two upstreams, and the longest wait of any upstream.

Within the first time, the announcement of one drain reaches the other upstreams.
"""

MIN_HEALTHY_S = 10.0
"""Time for which the endpoint must report healthy before the drain ends."""

DRAIN_LIFE_S = 60.0
"""Time after the last draining hint at which the drain ends."""

PUBLISH_TIMEOUT_S = 5.0
"""Time within which control must publish the drain."""

MIN_HOLD_OFF_S = 60.0
MAX_HOLD_OFF_S = 960.0
HOLD_OFF_FACTOR = 2.0
"""Time without a new drain after an aborted one; it grows by the factor each time."""

MAX_REVERSALS = 3
"""Times that the endpoint may change from draining to another state in one drain."""


class HintedDrain:
    """Decides whether an upstream drains because of hints from its health endpoint.

    Parameters
    ----------
    name : str
        Name of the agent.
    """

    __slots__ = (
        "is_active",
        "_name",
        "_draining_hints",
        "_last_draining_at",
        "_confirmed_at",
        "_healthy_since",
        "_last_healthy_at",
        "_started_at",
        "_none_accepting_since",
        "_reversals",
        "_hold_off",
        "_held_off_until",
    )

    def __init__(self, name: str) -> None:
        self.is_active = False
        self._name = name
        self._draining_hints = 0
        self._last_draining_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._healthy_since = float("inf")
        self._last_healthy_at = float("-inf")
        self._started_at = float("-inf")
        self._none_accepting_since: float | None = None
        self._reversals = 0
        self._hold_off = MIN_HOLD_OFF_S
        self._held_off_until = float("-inf")

    def record_hint(self, health: Health, now: float) -> None:
        """Record a hint of the health endpoint."""
        if self._draining_hints and health != Health.DRAINING:
            self._reversals += 1
        match health:
            case Health.DRAINING:
                self._draining_hints += 1
                self._last_draining_at = now
                self._last_healthy_at = float("-inf")
                if self._draining_hints == CONFIRMING_HINTS:
                    self._confirmed_at = now
            case Health.UNHEALTHY:
                self._draining_hints = 0
                self._last_healthy_at = float("-inf")
            case Health.HEALTHY:
                self._draining_hints = 0
                if now - self._last_healthy_at >= HINT_LIFE_S:
                    self._healthy_since = now
                self._last_healthy_at = now

    def decide(self, service: ServiceTable, has_lease: bool, now: float) -> bool:
        """Start or end the drain, and return whether the upstream is to drain.

        Parameters
        ----------
        service : ServiceTable
            The current members of the service.
        has_lease : bool
            Whether the agent holds a lease, so that control can be informed.
        """
        if not self.is_active:
            self.is_active = has_lease and self._can_start(service, now)
            self._started_at = now
            self._reversals = 0
            return self.is_active
        if self._must_abort(service, now):
            self.is_active = False
            self._none_accepting_since = None
            self._held_off_until = now + self._hold_off
            self._hold_off = min(self._hold_off * HOLD_OFF_FACTOR, MAX_HOLD_OFF_S)
        elif self._is_finished(now):
            self.is_active = False
        return self.is_active

    def _can_start(self, service: ServiceTable, now: float) -> bool:
        if self._draining_hints < CONFIRMING_HINTS or now < self._held_off_until:
            return False
        if now - self._last_draining_at >= HINT_LIFE_S:
            return False
        own = service.by_name.get(self._name)
        if own is None or own not in service.accepting:
            return False
        if len(service.accepting) - 1 < count_min_accepting(len(service.members)):
            return False
        return now - self._confirmed_at >= find_stagger(self._name, service)

    def _is_finished(self, now: float) -> bool:
        if now - self._last_draining_at >= DRAIN_LIFE_S:
            return True
        return self._last_healthy_at - self._healthy_since >= MIN_HEALTHY_S

    def _must_abort(self, service: ServiceTable, now: float) -> bool:
        """Return whether the drain must be aborted.

        That is so if no member accepts, if control does not publish the drain, if
        the upstream does not stop within the drain timeout, or if its hints keep
        changing.
        """
        if self._reversals >= MAX_REVERSALS:
            return True
        if now - self._started_at >= service.profile.drain_timeout:
            return True
        if self._is_unpublished(service, now):
            return True
        return self._is_needed(service, now)

    def _is_unpublished(self, service: ServiceTable, now: float) -> bool:
        own = service.by_name.get(self._name)
        is_published = own is not None and own not in service.accepting
        return not is_published and now - self._started_at >= PUBLISH_TIMEOUT_S

    def _is_needed(self, service: ServiceTable, now: float) -> bool:
        if service.accepting:
            self._none_accepting_since = None
            return False
        if self._none_accepting_since is None:
            self._none_accepting_since = now
        return now - self._none_accepting_since >= find_stagger(self._name, service)


def count_min_accepting(members: int) -> int:
    """Return how many members of a service must accept whatever endpoints report."""
    return max(members - members // 2, 1)


def find_stagger(name: str, service: ServiceTable) -> float:
    """Return how long a member waits for those earlier by name, in seconds.

    All members are counted. If only accepting ones were, two members with
    different tables could drain at the same moment.
    """
    predecessors = sum(member.name < name for member in service.members)
    return predecessors * min(STAGGER_S, MAX_STAGGER_S / len(service.members))
