"""Eviction of this agent: the flows of its former membership end."""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    Effect,
    Eviction,
    EvictionDone,
    Reason,
    SendPeer,
)
from fulmarshore.membership.view import View
from fulmarshore.routing.arbitration import get_ballot
from fulmarshore.routing.eviction import find_eviction_version
from fulmarshore.routing.lease import LeaseGuard
from fulmarshore.routing.lifetimes import Lifetimes
from fulmarshore.routing.state import AgentState, split_identity
from fulmarshore.routing.viewsync import ViewSync


class SelfEvictionHandler:
    """Ends the flows that this agent held before it was evicted.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    view_sync : ViewSync
        Exchanges views with peers.
    lifetimes : Lifetimes
        Ends flows.
    lease : LeaseGuard
        Suspends arbitration without a lease.
    """

    def __init__(
        self,
        state: AgentState,
        view_sync: ViewSync,
        lifetimes: Lifetimes,
        lease: LeaseGuard,
    ) -> None:
        self.state = state
        self.view_sync = view_sync
        self.lifetimes = lifetimes
        self.lease = lease

    def handle_eviction(
        self, eviction: Eviction, source: Address, now: float
    ) -> list[Effect]:
        """End the flows of the membership that a peer reports ended, and reply."""
        identity = self.state.subscriber.identity
        if (eviction.target, eviction.target_incarnation) != split_identity(identity):
            return []
        version = eviction.version
        if not self.state.peers.is_known(source):
            # A sender that joined under a newer view has to send that view first.
            self.state.counters[f"dropped_{Reason.UNKNOWN_SENDER}"] += 1
            is_newer = version > self.state.table.version
            return self.view_sync.reconcile(version, source, now) if is_newer else []
        effects = self._end_prior_flows(version, eviction.reason, now)
        if version > self.state.table.version:
            effects += self.lease.check_lease(now)
            effects += self.view_sync.reconcile(version, source, now)
        done = EvictionDone(
            self.state.member.service, *split_identity(identity), version
        )
        return [*effects, SendPeer(source, done)]

    def detect_eviction(self, previous: View, now: float) -> list[Effect]:
        """End the flows held before a removal that a newer view shows."""
        version = find_eviction_version(
            previous, self.state.subscriber.view, self.state.member
        )
        if not version:
            return []
        self.state.homes.unsettle()
        return self._end_prior_flows(version, Reason.EVICTED, now)

    def _end_prior_flows(
        self, version: int, reason: Reason, now: float
    ) -> list[Effect]:
        """End the flows opened up to a version, and clear the directory."""
        if version <= self.state.evicted_version:
            return []
        self.state.evicted_version = version
        self.state.directory.clear()
        self.state.record_transfer.drop_copies(version)
        prior = []
        for flow in self.state.flows.values():
            if max(flow.version, get_ballot(flow.assignment)) <= version:
                prior.append(flow)
        return self.lifetimes.end_with_refusal(prior, reason)
