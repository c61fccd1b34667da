"""Forwarding of packets to other agents, and holding of packets."""

from __future__ import annotations

import msgspec

from fulmarshore.core.records import Address, Effect, Forward, Member, Reason, SendPeer
from fulmarshore.routing.state import AgentState

MAX_HOPS = 12
"""Bounds how often agents forward one packet, whatever their tables say."""


class Forwarding:
    """Forwards packets, up to `MAX_HOPS` times, or holds them.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state

    def forward_to_member(self, member: Member, packet: Forward) -> list[Effect]:
        """Forward a packet to a member of the service."""
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
        """Forward a packet to an agent, or refuse it after too many hops."""
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
        """Hold a packet until its destination is known; refuse it without room."""
        if not self.state.held.hold(packet, source, now):
            return self.state.refuse(packet, Reason.NOT_SETTLED)
        self.state.counters["held"] += 1
        return []
