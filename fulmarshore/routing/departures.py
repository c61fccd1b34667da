"""Notices to agents that left the view, and of this agent's own departure."""

from __future__ import annotations

from fulmarshore.core.records import Address, Effect, EvictionDone, SendPeer
from fulmarshore.routing.handover import Handover
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState, split_identity


class Departures:
    """Notifies evicted agents, and resumes openings when they hold no flows.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    router : Router
        Routes packets of flows that are not held here.
    handover : Handover
        Gives buckets to new homes and takes them over.
    """

    def __init__(self, state: AgentState, router: Router, handover: Handover) -> None:
        self.state = state
        self.router = router
        self.handover = handover

    def notify_evicted(self, now: float) -> list[Effect]:
        """Request that evicted agents end their flows; stop waiting after a timeout."""
        effects: list[Effect] = []
        for address, eviction in self.state.evictions.list_due(
            self.state.table.zones_out, now
        ):
            effects.append(SendPeer(address, eviction))
        expired = self.state.evictions.expire(now)
        self.state.counters["evictions_unanswered"] += len(expired)
        if self.state.evictions.has_startup_wait_ended(now) or expired:
            effects += self.resume_after_eviction(now)
        return effects

    def resume_after_eviction(self, now: float) -> list[Effect]:
        """Process requests and packets held back, if no eviction is pending."""
        if self.state.evictions.is_waiting(now):
            return []
        return self.handover.handle_postponed(now) + self.router.resume_held(now)

    def announce_departure(self) -> list[Effect]:
        """Tell the peers that this agent has no flows left and is leaving."""
        service = self.state.service
        if service is None:
            return []
        identity = split_identity(self.state.subscriber.identity)
        done = EvictionDone(
            self.state.member.service, *identity, self.state.table.version
        )
        peers = [m for m in service.members if m.name != self.state.member.name]
        return [SendPeer(Address(m.host, m.port), done) for m in peers]
