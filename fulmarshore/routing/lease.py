"""Lease checks of an agent, and confirmations for its peers."""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    Effect,
    Reason,
    SendPeer,
    TimelineEvent,
    ViewCheck,
    ViewConfirmed,
)
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.departures import Departures
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState, split_identity
from fulmarshore.routing.viewsync import ViewSync


class LeaseGuard:
    """Suspends arbitration without a lease or confirmations of peers.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    view_sync : ViewSync
        Exchanges views with peers.
    router : Router
        Routes packets of flows that are not held here.
    departures : Departures
        Notifies evicted agents.
    """

    def __init__(
        self,
        state: AgentState,
        view_sync: ViewSync,
        router: Router,
        departures: Departures,
    ) -> None:
        self.state = state
        self.view_sync = view_sync
        self.router = router
        self.departures = departures
        self._could_arbitrate = False

    def check_lease(self, now: float) -> list[Effect]:
        """Suspend or resume arbitration, and send the checks that are due."""
        service = self.state.service
        if service is None:
            return []
        renewed_at = self.state.subscriber.lease_renewed_at
        effects: list[Effect] = []
        number = self.state.fence.begin_check(renewed_at, now)
        peers = [m for m in service.members if m.name != self.state.member.name]
        if number:
            identity = self.state.subscriber.identity
            version = self.state.table.version
            check = ViewCheck(
                self.state.member.service, *split_identity(identity), version, number
            )
            effects += [SendPeer(Address(m.host, m.port), check) for m in peers]
        names = {member.name for member in peers}
        is_evicted = self.state.evicted_version > self.state.table.version
        can_arbitrate = (not is_evicted and self.state.has_recovered) and (
            self.state.fence.has_lease(renewed_at, now)
            or self.state.fence.is_confirmed(names, now)
        )
        if can_arbitrate != self.state.homes.is_fenced:
            return effects
        for bucket in self.state.homes.set_fenced(not can_arbitrate):
            self.state.directory.discard_bucket(bucket)
        if is_evicted or can_arbitrate == self._could_arbitrate:
            # No event after an eviction: the view that removes this agent
            # is on its way.
            return effects + self.router.resume_held(now)
        self._could_arbitrate = can_arbitrate
        kind = "arbitration_resumed" if can_arbitrate else "arbitration_suspended"
        self.state.counters[kind] += 1
        effects.append(TimelineEvent(kind, service=self.state.member.service))
        return effects + self.router.resume_held(now)

    def handle_view_check(
        self, check: ViewCheck, source: Address, now: float
    ) -> list[Effect]:
        """Confirm a peer's view; where the views differ, update the older one."""
        version = self.state.table.version
        if check.version < version:
            self.state.evictions.handle_view_check(
                check, source, self.state.service, version, now
            )
            delta = SendPeer(
                source, make_delta(self.state.subscriber.view, check.version)
            )
            return [delta, *self.departures.notify_evicted(now)]
        if check.version > version:
            return self.view_sync.reconcile(check.version, source, now)
        if self.state.homes.promised_version > check.version:
            return []
        self.state.fence.grant_confirmation(check.version, now)
        identity = self.state.subscriber.identity
        confirmation = ViewConfirmed(
            self.state.member.service,
            *split_identity(identity),
            check.version,
            check.number,
        )
        return [SendPeer(source, confirmation)]

    def handle_confirmation(self, confirmation: ViewConfirmed) -> list[Effect]:
        """Record the confirmation of a peer."""
        member = self.state.service.by_name.get(confirmation.agent)
        if member is None or member.incarnation != confirmation.incarnation:
            return self.state.drop(Reason.WRONG_INCARNATION)
        if confirmation.version == self.state.table.version:
            self.state.fence.record_confirmation(
                confirmation.agent, confirmation.number
            )
        return []
