"""Delivery of packets and answers of the flows that an agent holds."""

from __future__ import annotations

from fulmarshore.core.codec import encode_head
from fulmarshore.core.records import (
    Answer,
    CloseUpstream,
    Effect,
    Forward,
    Protocol,
    Reason,
    SendPeer,
    SendUpstream,
    Service,
    UpstreamDatagram,
)
from fulmarshore.routing.flows import NEVER, Flow
from fulmarshore.routing.state import AgentState

ANSWER_TIMEOUT_S = 3.0
"""Time without an answer after which a QUIC flow gets a new socket."""


class Delivery:
    """Passes packets to the upstream, and its answers to the entry hosts.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self.flows = state.flows
        self.counters = state.counters
        self.extra_hops = state.arbiter.extra_hops
        self._answer_timeout = NEVER
        self._answered_at = float("-inf")

    def update(self, service: Service) -> None:
        """Apply the declaration of the service."""
        is_quic = service.protocol == Protocol.QUIC
        self._answer_timeout = ANSWER_TIMEOUT_S if is_quic else NEVER

    def prepare_delivery(self, packet: Forward, now: float) -> Flow | None:
        """Record a packet on the fast path and return its flow.

        The caller sends the payload on the socket of the flow, and counts it.
        None if the packet needs more, and has to be processed as an event.
        """
        flow = self.flows.get(packet.flow)
        if flow is None or now >= flow.answer_deadline:
            return None
        state = self.state
        member = state.member
        if (
            packet.version != state.table.version
            or packet.incarnation != member.incarnation
            or packet.target != member.name
            or packet.service != member.service
        ):
            return None
        flow.last_active = now
        if flow.entry != packet.entry or packet.assignment > flow.assignment:
            self._update_flow(flow, packet)
        if flow.assignment:
            self._count_detour(packet)
        if flow.answer_deadline == NEVER and self._answer_timeout != NEVER:
            flow.answer_deadline = now + self._answer_timeout
        return flow

    def prepare_answer(self, key: bytes, now: float) -> Flow | None:
        """Record an upstream's datagram on the fast path and return its flow.

        The caller sends the flow's head, followed by the payload, to its entry
        host, and counts it. None if the datagram has to be processed as an
        event.
        """
        flow = self.flows.get(key)
        if flow is None or flow.entry_address is None:
            return None
        flow.last_active = now
        flow.answer_deadline = NEVER
        self._answered_at = now
        if flow.head_version != self.state.table.version:
            flow.head = encode_head(self._make_answer(flow, b""))
            flow.head_version = self.state.table.version
        return flow

    def deliver(self, flow: Flow, packet: Forward, now: float) -> SendUpstream:
        """Pass a packet of a flow that is held here to the upstream."""
        self._record_packet(flow, packet, now)
        return SendUpstream(packet.flow, packet.payload)

    def replace_socket(self, flow: Flow, now: float) -> list[Effect]:
        """Move a flow without answers to a new socket, if others get answers.

        Something between agent and upstream may have lost its state of the
        flow. Only QUIC can be moved safely, as its connections survive a change
        of address. An opaque flow may have no answers by design.
        """
        flow.answer_deadline = now + 2 * ANSWER_TIMEOUT_S
        if now - self._answered_at > ANSWER_TIMEOUT_S / 2:
            return []
        self.counters["paths_replaced"] += 1
        return [CloseUpstream(flow.key)]

    def answer(self, event: UpstreamDatagram, now: float) -> list[Effect]:
        """Send an upstream's datagram to the entry host of its flow."""
        flow = self.flows.get(event.flow)
        if flow is None:
            return self.state.drop(Reason.FLOW_UNKNOWN)
        flow.last_active = now
        flow.answer_deadline = NEVER
        self._answered_at = now
        if flow.entry_address is None:
            flow.entry_address = self.state.find_entry(flow.entry)
        if flow.entry_address is None:
            return self.state.drop(Reason.NO_UPSTREAM)
        self.counters["answered"] += 1
        answer = self._make_answer(flow, event.payload)
        return [SendPeer(flow.entry_address, answer)]

    def _record_packet(self, flow: Flow, packet: Forward, now: float) -> None:
        flow.last_active = now
        if flow.answer_deadline == NEVER:
            flow.answer_deadline = now + self._answer_timeout
        self._update_flow(flow, packet)
        if flow.assignment:
            self._count_detour(packet)
        self.counters["delivered"] += 1

    def _count_detour(self, packet: Forward) -> None:
        """Count a packet of a flow that a home handed over."""
        self.extra_hops.packets += 1
        self.extra_hops.forwarded += packet.hops > 0

    def _update_flow(self, flow: Flow, packet: Forward) -> None:
        """Store the entry host and the assignment of a flow's packet."""
        if packet.assignment > flow.assignment:
            flow.assignment = packet.assignment
        if flow.entry != packet.entry:
            flow.entry = packet.entry
            flow.entry_address = self.state.find_entry(packet.entry)

    def _make_answer(self, flow: Flow, payload: bytes) -> Answer:
        return Answer(
            self.state.member.service,
            self.state.member.name,
            self.state.member.incarnation,
            self.state.table.version,
            flow.key,
            flow.caller.host,
            flow.caller.port,
            payload,
        )
