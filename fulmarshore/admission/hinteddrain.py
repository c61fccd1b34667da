"""A drain that the health endpoint of an upstream asks for.

Only a part of a service may drain on such a word, so that endpoints which
mislead, one or all of them, cannot take the service down.
"""

from __future__ import annotations

from fulmarshore.core.records import Health
from fulmarshore.routing.table import ServiceTable

CONFIRMING_HINTS = 2
"""Answers in a row that say draining before it is believed."""

HINT_LIFE_S = 5.0
"""How long a word counts, and the longest time between two words in a row."""

STAGGER_S = 0.5
MAX_STAGGER_S = 5.0
"""Time between the drains of two upstreams, and the longest wait of the last.

In a step the announcement of one is in force at the others.
"""

MIN_WELL_S = 10.0
"""How long the endpoint says well before the drain is taken back."""

DRAIN_LIFE_S = 60.0
"""How long a drain stands of which the endpoint says nothing any more."""

PUBLISH_TIMEOUT_S = 5.0
"""How long control may take to put the drain in force."""

MIN_HOLD_OFF_S = 60.0
MAX_HOLD_OFF_S = 960.0
HOLD_OFF_FACTOR = 2.0
"""How long no drain follows one that had to be taken back, longer each time."""

MAX_REVERSALS = 3
"""Times that the endpoint may turn from draining while its drain stands."""


class HintedDrain:
    """Decides whether an upstream drains on the word of its endpoint.

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
        "_well_since",
        "_last_well_at",
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
        self._well_since = float("inf")
        self._last_well_at = float("-inf")
        self._started_at = float("-inf")
        self._none_accepting_since: float | None = None
        self._reversals = 0
        self._hold_off = MIN_HOLD_OFF_S
        self._held_off_until = float("-inf")

    def record_hint(self, health: Health, now: float) -> None:
        """Take a word of the health endpoint."""
        if self._draining_hints and health != Health.DRAINING:
            self._reversals += 1
        match health:
            case Health.DRAINING:
                self._draining_hints += 1
                self._last_draining_at = now
                self._last_well_at = float("-inf")
                if self._draining_hints == CONFIRMING_HINTS:
                    self._confirmed_at = now
            case Health.UNHEALTHY:
                self._draining_hints = 0
                self._last_well_at = float("-inf")
            case Health.HEALTHY:
                self._draining_hints = 0
                if now - self._last_well_at >= HINT_LIFE_S:
                    self._well_since = now
                self._last_well_at = now

    def decide(self, service: ServiceTable, has_lease: bool, now: float) -> bool:
        """Return whether the upstream shall drain now.

        Parameters
        ----------
        service : ServiceTable
            The members in force.
        has_lease : bool
            Whether control can be told.
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
        return self._last_well_at - self._well_since >= MIN_WELL_S

    def _must_abort(self, service: ServiceTable, now: float) -> bool:
        """Return whether the drain does harm, or the word of it is doubtful.

        That is so where nobody accepts, where control does not tell the
        others, and where the upstream neither leaves nor keeps its word.
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
    """Return how many members of a service accept in spite of all endpoints."""
    return max(members - members // 2, 1)


def find_stagger(name: str, service: ServiceTable) -> float:
    """Return how long a member waits for those before it, in seconds.

    The order is that of all members: among those that accept, two that see
    different tables could come at the same moment.
    """
    predecessors = sum(member.name < name for member in service.members)
    return predecessors * min(STAGGER_S, MAX_STAGGER_S / len(service.members))
