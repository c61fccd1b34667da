"""State losses: agents that ended without handing off the claims they held.

An agent knows of every loss since it began to observe the members of its service.
"""

from __future__ import annotations

from fulmarshore.admission.bounds import COPY_LIFE_S, LEASE_GRACE_S, MAX_TIMEOUT_S
from fulmarshore.admission.queryrounds import QueryRound
from fulmarshore.core.records import ClaimHandoff, Identity, LostAgent

CLAIM_RELEVANCE_S = MAX_TIMEOUT_S + COPY_LIFE_S
"""Age at which a claim is no longer needed, as no copy of its request is left."""

MAX_STATE_LOSSES = 1
"""State losses that the replicas of a claim survive."""


class StateLosses:
    """State losses that an agent observed, and handoffs that it received.

    Parameters
    ----------
    identity : Identity
        Name and incarnation of this agent.
    """

    __slots__ = (
        "handed_off",
        "_identity",
        "_members",
        "_lost",
        "_handoff_parts",
        "_started_at",
        "_observed_since",
        "_first_version",
        "_had_members",
    )

    def __init__(self, identity: Identity) -> None:
        self.handed_off: set[Identity] = set()
        self._identity = identity
        self._members: set[Identity] = set()
        self._lost: dict[Identity, float] = {}
        self._handoff_parts: dict[Identity, set[int]] = {}
        self._started_at: float | None = None
        self._observed_since = float("inf")
        self._first_version = 0
        self._had_members = False

    def start(
        self, version: int, had_members: bool, now: float, had_lives: bool
    ) -> None:
        """Start the observation at the first table; later calls have no effect.

        Parameters
        ----------
        had_members : bool
            Whether there have been agents that are no longer members.
        now : float
            The time, in seconds.
        had_lives : bool
            Whether any agent has ever ended, and so lost its state.
        """
        if self._started_at is not None:
            return
        self._started_at = now
        # If no agent has ever ended, there is no loss that could have been missed.
        self._observed_since = now if had_lives else float("-inf")
        self._first_version = version
        self._had_members = had_members

    def record_loss(self, identity: Identity, now: float) -> None:
        """Record that a member left the service, perhaps without a handoff."""
        self._lost[identity] = now

    def update(self, members: set[Identity], now: float) -> None:
        """Discard losses of members that are back, and old ones."""
        self._members = members
        for identity, gone_at in list(self._lost.items()):
            if identity in members or now - gone_at > CLAIM_RELEVANCE_S:
                del self._lost[identity]

    def find_admission_end(self, current: QueryRound, now: float) -> float:
        """Return the time from which agents unknown to all members admit nothing.

        They may be home of the same buckets in an older view. Their leases ended
        before the first of the members joined.
        """
        if not self._had_members:
            return float("-inf")
        ages = [self.get_observation_s(now)]
        for parts in current.replies.values():
            ages.append(next(iter(parts.values())).memory_age)
        return now - max(ages) + LEASE_GRACE_S

    def has_survivors(self, current: QueryRound, now: float) -> bool:
        """Return whether each claim has a holder among the agents that replied."""
        lost = {
            gone
            for gone, lost_at in self._lost.items()
            if now - lost_at <= CLAIM_RELEVANCE_S
        }
        lost -= self.handed_off
        has_witness = self.get_observation_s(now) >= CLAIM_RELEVANCE_S
        for parts in current.replies.values():
            reply = next(iter(parts.values()))
            has_witness = has_witness or reply.memory_age >= CLAIM_RELEVANCE_S
            for gone in reply.lost:
                lost.add(Identity(gone.agent, gone.incarnation))
        lost -= current.list_answered()
        lost.discard(self._identity)
        return has_witness and len(lost) <= MAX_STATE_LOSSES

    def record_handoff(self, handoff: ClaimHandoff, now: float) -> None:
        """Record a part of a stopping agent's handoff.

        With the last part, the agent counts as handed off, and its observations are
        merged.
        """
        sender = Identity(handoff.agent, handoff.incarnation)
        received = self._handoff_parts.setdefault(sender, set())
        received.add(handoff.part)
        if len(received) < handoff.parts:
            return
        self.handed_off.add(sender)
        self._merge_history(handoff, now)

    def _merge_history(self, handoff: ClaimHandoff, now: float) -> None:
        """Extend the observation by that of an agent that stopped.

        Its handoff lists all state losses up to the table version that it has
        received. If that is not below the first version received here, no loss
        in between is missed, and the observation here reaches back as far.
        """
        if self._started_at is None or handoff.version < self._first_version:
            return
        observed_since = now - handoff.memory_age
        self._observed_since = min(self._observed_since, observed_since)
        for lost in handoff.lost:
            identity = Identity(lost.agent, lost.incarnation)
            if identity in self._members or identity == self._identity:
                continue
            lost_at = self._lost.get(identity, float("-inf"))
            self._lost[identity] = max(lost_at, now - lost.age)

    def get_observation_s(self, now: float) -> float:
        """Return for how long this agent has known of all state losses, in seconds."""
        return max(now - self._observed_since, 0.0)

    def has_just_started(self, now: float) -> bool:
        """Return whether this agent has no table yet, or just received its first."""
        return self._started_at is None or now <= self._started_at

    def list_lost(self, now: float) -> list[LostAgent]:
        """Return the agents whose state was lost without a handoff."""
        found = []
        for identity, lost_at in self._lost.items():
            if now - lost_at > CLAIM_RELEVANCE_S or identity in self.handed_off:
                continue
            found.append(LostAgent(identity.name, identity.incarnation, now - lost_at))
        return found
