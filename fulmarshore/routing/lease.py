"""The lease of an agent, and its word on those of its peers."""

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
from fulmarshore.routing.versions import Versions


class LeaseGuard:
    """Stops arbitration when neither control nor the peers back the agent.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    versions : Versions
        Compares versions with others.
    router : Router
        Finds who takes a packet.
    departures : Departures
        Waits for evicted agents.
    """

    def __init__(
        self,
        state: AgentState,
        versions: Versions,
        router: Router,
        departures: Departures,
    ) -> None:
        self.state = state
        self.versions = versions
        self.router = router
        self.departures = departures
        self._was_backed = False

    def guard(self, now: float) -> list[Effect]:
        """Stop arbitrating when neither control nor the peers back this agent."""
        service = self.state.service
        if service is None:
            return []
        renewed_at = self.state.subscriber.lease_renewed
        effects: list[Effect] = []
        number = self.state.fence.ask(renewed_at, now)
        peers = [m for m in service.members if m.name != self.state.member.name]
        if number:
            identity = self.state.subscriber.identity
            version = self.state.table.version
            check = ViewCheck(
                self.state.member.service, *split_identity(identity), version, number
            )
            effects += [SendPeer(Address(m.host, m.port), check) for m in peers]
        names = {member.name for member in peers}
        is_evicted = self.state.evicted_by > self.state.table.version
        is_backed = (not is_evicted and self.state.has_recovered) and (
            self.state.fence.has_lease(renewed_at, now)
            or self.state.fence.is_confirmed(names, now)
        )
        if is_backed != self.state.homes.is_fenced:
            return effects
        for bucket in self.state.homes.set_fenced(not is_backed):
            self.state.directory.forget_bucket(bucket)
        if is_evicted or is_backed == self._was_backed:
            # A view without this agent is on its way, and says it all.
            return effects + self.router.resume_held(now)
        self._was_backed = is_backed
        kind = "arbitration_resumed" if is_backed else "arbitration_suspended"
        self.state.counters[kind] += 1
        effects.append(TimelineEvent(kind, service=self.state.member.service))
        return effects + self.router.resume_held(now)

    def confirm(self, check: ViewCheck, source: Address, now: float) -> list[Effect]:
        """Confirm a peer's view, or bring it forward."""
        version = self.state.table.version
        if check.version < version:
            self.state.evictions.take_check(
                check, source, self.state.service, version, now
            )
            delta = SendPeer(
                source, make_delta(self.state.subscriber.view, check.version)
            )
            return [delta, *self.departures.tell(now)]
        if check.version > version:
            return self.versions.compare(check.version, source, now)
        if self.state.homes.promised_version > check.version:
            return []
        self.state.fence.give_word(check.version, now)
        identity = self.state.subscriber.identity
        word = ViewConfirmed(
            self.state.member.service,
            *split_identity(identity),
            check.version,
            check.number,
        )
        return [SendPeer(source, word)]

    def take_word(self, word: ViewConfirmed) -> list[Effect]:
        """Take the confirmation of a peer."""
        member = self.state.service.by_name.get(word.agent)
        if member is None or member.incarnation != word.incarnation:
            return self.state.drop(Reason.WRONG_INCARNATION)
        if word.version == self.state.table.version:
            self.state.fence.take_word(word.agent, word.number)
        return []
