"""Packets that are for another agent, or that have to wait."""

from __future__ import annotations

import msgspec

from fulmarshore.core.records import Address, Effect, Forward, Member, Reason, SendPeer
from fulmarshore.routing.state import AgentState

MAX_HOPS = 12
"""Bounds what agents may pass one packet on, whatever their tables say."""


class Forwarding:
    """Passes packets on, within a bound, or holds them.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state

    def forward_to_member(self, member: Member, packet: Forward) -> list[Effect]:
        """Pass a packet to a member of the service."""
        address = Address(member.host, member.port)
        version = max(self.state.table.version, packet.version)
        return self.forward_to(
            member.name, member.incarnation, address, packet, version
        )

    def forward_to(
        self,
        name: str,
        incarnation: int,
        address: Address,
        packet: Forward,
        version: int,
    ) -> list[Effect]:
        """Pass a packet to an agent, refuse it after too many hops."""
        if packet.hops >= MAX_HOPS:
            return self.state.refuse(packet, Reason.TOO_MANY_HOPS)
        self.state.counters["passed_on"] += 1
        passed = msgspec.structs.replace(
            packet,
            target=name,
            incarnation=incarnation,
            version=version,
            hops=packet.hops + 1,
        )
        return [SendPeer(address, passed)]

    def hold(self, packet: Forward, source: Address, now: float) -> list[Effect]:
        """Keep a packet until it is known who takes it."""
        if not self.state.held.hold(packet, source, now):
            return self.state.refuse(packet, Reason.NOT_SETTLED)
        self.state.counters["held"] += 1
        return []
