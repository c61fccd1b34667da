"""Openings of flows: choice of the owner, and admission by it."""

from __future__ import annotations

import msgspec

from fulmarshore.core.records import (
    Address,
    Declined,
    Effect,
    Forward,
    Member,
    Phase,
    Reason,
    SendPeer,
    SendUpstream,
)
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.forwarding import Forwarding
from fulmarshore.routing.lifetimes import Lifetimes
from fulmarshore.routing.state import AgentState
from fulmarshore.routing.table import ServiceTable

MAX_DECLINED = 4096
"""Flows whose last declined assignment is remembered."""


class Openings:
    """Finds or chooses the owners of flows, and admits flows.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    lifetimes : Lifetimes
        Ends flows.
    forwarding : Forwarding
        Forwards packets to other agents or holds them.
    """

    def __init__(
        self, state: AgentState, lifetimes: Lifetimes, forwarding: Forwarding
    ) -> None:
        self.state = state
        self.lifetimes = lifetimes
        self.forwarding = forwarding
        self._declined: dict[bytes, int] = {}

    def arbitrate(
        self, service: ServiceTable, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        """Find or choose the owner of a flow, as home of its settled bucket."""
        owner = self.state.arbiter.find_owner(service, packet.flow)
        if owner is not None:
            return self._assign(owner, packet, False, now)
        if packet.phase in (Phase.MIDDLE, Phase.END):
            return self.state.refuse(packet, Reason.FLOW_UNKNOWN)
        is_ending = self.state.copy_sender.is_ending(packet.flow)
        if is_ending or self.state.evictions.is_waiting(now):
            # An evicted agent may still serve the flow, or a successor of this
            # agent would recover it.
            return self.forwarding.hold(packet, source, now)
        return self.open(service, packet, now)

    def open(self, service: ServiceTable, packet: Forward, now: float) -> list[Effect]:
        """Choose the owner of a new flow."""
        effects = self.lifetimes.make_room(now)
        if effects:
            return effects + self.open(service, packet, now)
        entry = self.state.directory.find(packet.flow)
        tried = entry.tried if entry is not None else ()
        limit = self.state.gate.get_limit(now)
        can_admit = self.state.is_accepting and len(self.state.flows) < limit
        own = self.state.reporter.get_own_load(can_admit, len(self.state.flows), limit)
        owner = self.state.arbiter.choose_owner(service, tried, own, now)
        if owner is not None and owner.name == self.state.member.name:
            # The gate is asked only now, as each call consumes its rate.
            if not self._has_room(now):
                tried = (*tried, self.state.member.name)
                owner = self.state.arbiter.choose_owner(service, tried, own, now)
        if owner is None:
            self.state.directory.discard(packet.flow)
            has_accepting = bool(service.accepting)
            return self.state.refuse(
                packet, Reason.FULL if has_accepting else Reason.NO_UPSTREAM
            )
        if owner.name == self.state.member.name:
            self.state.directory.discard(packet.flow)
            self.state.reporter.record_admitted()
            return self._admit(packet, now)
        self.state.counters["handed_over"] += 1
        return self._assign(owner, packet, True, now)

    def handle_assigned(
        self, packet: Forward, source: Address, now: float
    ) -> list[Effect]:
        """Admit a flow that its home assigned to this agent, or decline it."""
        effects = self.lifetimes.make_room(now)
        if effects:
            return effects + self.handle_assigned(packet, source, now)
        self.state.reporter.record_assignment(source, packet.assignment)
        is_ending = self.state.copy_sender.is_ending(packet.flow)
        if is_ending:
            self.state.copy_sender.record_reassigned(packet.flow, packet.assignment)
        if packet.phase in (Phase.MIDDLE, Phase.END):
            refusal = self.state.refuse(packet, Reason.FLOW_UNKNOWN)
            if is_ending:
                return refusal
            return [
                *refusal,
                SendPeer(
                    source, self.state.make_released(packet.flow, packet.assignment)
                ),
            ]
        declined = self._declined.get(packet.flow, 0) >= packet.assignment
        if not declined and self._has_room(now):
            return self._admit(packet, now)
        if is_ending:
            # If declined, the home would open it elsewhere while a copy holder
            # still has its record.
            return self.state.drop(Reason.NOT_SETTLED)
        return self._decline(packet, source)

    def _has_room(self, now: float) -> bool:
        return self.state.is_accepting and self.state.gate.has_room(
            len(self.state.flows), now
        )

    def _assign(
        self, owner: Member, packet: Forward, is_new: bool, now: float
    ) -> list[Effect]:
        number = self.state.arbiter.assign(
            packet.flow, owner, self.state.table.version, is_new, now
        )
        packet = msgspec.structs.replace(packet, assignment=number)
        return self.forwarding.forward_to_member(owner, packet)

    def _decline(self, packet: Forward, source: Address) -> list[Effect]:
        # A late duplicate of the assignment must not be admitted: the home is
        # going to choose another owner.
        previous = self._declined.pop(packet.flow, 0)
        self._declined[packet.flow] = max(previous, packet.assignment)
        if len(self._declined) > MAX_DECLINED:
            del self._declined[next(iter(self._declined))]
        declined = Declined(
            self.state.member.name,
            self.state.member.incarnation,
            self.state.table.version,
            len(self.state.flows),
            packet,
        )
        self.state.counters["declined"] += 1
        return [SendPeer(source, declined)]

    def _admit(self, packet: Forward, now: float) -> list[Effect]:
        assert self.state.is_accepting, "a draining agent admits no flow"
        assert packet.service == self.state.member.service, "flow of another service"
        assert self.state.member.zone not in self.state.table.zones_out, (
            "an agent in a zone that is out admits no flow"
        )
        caller = Address(packet.caller_host, packet.caller_port)
        address = self.state.find_entry(packet.entry)
        flow = Flow(packet.flow, caller, packet.entry, address, packet.assignment, now)
        flow.version = self.state.table.version
        self.state.flows[packet.flow] = flow
        self.state.idle_queue.add(flow, now)
        self.state.gate.record_opened(now)
        self.state.counters["flows_opened"] += 1
        return [SendUpstream(packet.flow, packet.payload)]
