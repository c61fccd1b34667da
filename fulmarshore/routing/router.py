"""Routing of packets whose flow this agent does not hold."""

from __future__ import annotations

import msgspec

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Address, Declined, Effect, Forward, Reason
from fulmarshore.routing.arbitration import get_ballot
from fulmarshore.routing.delivery import Delivery
from fulmarshore.routing.forwarding import Forwarding
from fulmarshore.routing.openings import Openings
from fulmarshore.routing.state import AgentState


class Router:
    """Sends a packet to the home or the owner of its flow, or holds it.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    delivery : Delivery
        Passes packets to the upstream.
    forwarding : Forwarding
        Forwards packets to other agents or holds them.
    openings : Openings
        Decides on openings.
    """

    def __init__(
        self,
        state: AgentState,
        delivery: Delivery,
        forwarding: Forwarding,
        openings: Openings,
    ) -> None:
        self.state = state
        self.delivery = delivery
        self.forwarding = forwarding
        self.openings = openings

    def route(self, packet: Forward, source: Address, now: float) -> list[Effect]:
        """Process a packet of a flow that this agent does not hold."""
        if self.state.member.zone in self.state.table.zones_out:
            return self.state.drop(Reason.ZONE_OUT)
        service = self.state.service
        if service is None:
            return self.state.refuse(packet, Reason.NO_UPSTREAM)
        if not self.state.has_recovered:
            return self.forwarding.hold(packet, source, now)
        bucket = find_bucket(packet.flow)
        if packet.assignment:
            if self._is_current(get_ballot(packet.assignment), bucket):
                return self.openings.handle_assigned(packet, source, now)
            self.state.counters["assignments_outdated"] += 1
            packet = msgspec.structs.replace(packet, assignment=0)
        if bucket in self.state.homes.settled:
            return self.openings.arbitrate(service, packet, source, now)
        promise = self.state.homes.find_promise(bucket)
        if promise is not None:
            version = max(promise.version, packet.version)
            return self.forwarding.forward_to(
                promise.agent, promise.incarnation, promise.address, packet, version
            )
        if packet.version > self.state.table.version:
            return self.forwarding.hold(packet, source, now)
        home = service.get_home(bucket)
        if home is None:
            return self.state.refuse(packet, Reason.NO_UPSTREAM)
        if home.name == self.state.member.name:
            return self.forwarding.hold(packet, source, now)
        return self.forwarding.forward_to_member(home, packet)

    def handle_declined(
        self, declined: Declined, source: Address, now: float
    ) -> list[Effect]:
        """Find another owner for a packet that a member declined."""
        packet = declined.packet
        service = self.state.service
        if service is None or packet.service != self.state.member.service:
            return self.state.drop(Reason.WRONG_SERVICE)
        is_due = self.state.arbiter.record_decline(service, declined, now)
        if self._is_superseded(declined):
            # Only the newest assignment is retried. If every copy of a packet
            # got a new assignment, they would supersede each other for ever.
            self.state.counters["declined_late"] += 1
            return []
        packet = msgspec.structs.replace(packet, assignment=0, hops=1)
        flow = self.state.flows.get(packet.flow)
        if flow is not None:
            return [self.delivery.deliver(flow, packet, now)]
        if not is_due or find_bucket(packet.flow) not in self.state.homes.settled:
            return self.route(packet, source, now)
        return self.openings.open(service, packet, now)

    def resume_held(self, now: float) -> list[Effect]:
        """Route the held packets again, after a change of the routing state."""
        effects: list[Effect] = []
        still_held = []
        for entry in self.state.held.pop_all():
            _, packet, source = entry
            flow = self.state.flows.get(packet.flow)
            if flow is not None:
                effects.append(self.delivery.deliver(flow, packet, now))
            elif self._must_hold(packet, now):
                still_held.append(entry)
            else:
                effects += self.route(packet, source, now)
        self.state.held.restore(still_held)
        return effects

    def _is_current(self, ballot: int, bucket: int) -> bool:
        """Return whether assignments made under a version are accepted."""
        return (
            ballot >= self.state.homes.get_ballot(bucket)
            and ballot > self.state.evicted_version
        )

    def _is_superseded(self, declined: Declined) -> bool:
        """Return whether the flow has a newer assignment to the same owner."""
        entry = self.state.directory.find(declined.packet.flow)
        if entry is None or entry.owner != declined.agent:
            return False
        return entry.assignment > declined.packet.assignment

    def _must_hold(self, packet: Forward, now: float) -> bool:
        if not self.state.has_recovered:
            return True
        bucket = find_bucket(packet.flow)
        may_have_owner = self.state.copy_sender.is_ending(packet.flow)
        may_have_owner = may_have_owner or self.state.evictions.is_waiting(now)
        if bucket in self.state.homes.settled and may_have_owner:
            return (
                self.state.arbiter.find_owner(self.state.service, packet.flow) is None
            )
        if bucket in self.state.homes.settled or self.state.homes.find_promise(bucket):
            return False
        home = (
            self.state.service.get_home(bucket)
            if self.state.service is not None
            else None
        )
        if home is not None and home.name == self.state.member.name:
            return True
        return packet.version > self.state.table.version
