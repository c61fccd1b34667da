"""What an agent does with openings: let pass, decline, let wait, hand back."""

from __future__ import annotations

from collections import Counter

from fulmarshore.direct.agentflows import AgentFlow, AgentFlows
from fulmarshore.direct.gate import Gate
from fulmarshore.direct.openingqueue import OpeningQueue
from fulmarshore.direct.outliers import OutlierDetector
from fulmarshore.direct.packets import (
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_OFFER,
    MARK_QUEUE_FAILED,
    MARK_QUEUED,
    MARK_REFUSED_CLOSED,
    Packet,
    make_notice,
    mark_packet,
)
from fulmarshore.direct.records import Decision, SendToEntry, SendToUpstream
from fulmarshore.direct.tables import TableIndex

OUTLIER_LOAD = 100
"""Requests that an upstream which is suspected counts as having more: it gets what
is offered to all others first and not taken by them."""

Effects = list


class AgentOpenings:
    """The openings that come to one agent.

    Parameters
    ----------
    own_host : bytes
        Address of the agent, four bytes.
    gate : Gate
        Whether new flows may pass.
    tables : TableIndex
        The newest table.
    flows : AgentFlows
        The flows of the upstream.
    judgement : Judgement
        What is thought of the upstream.
    counters : Counter
        Counts what becomes of openings.
    """

    __slots__ = (
        "_own_host",
        "_gate",
        "_tables",
        "_flows",
        "_outliers",
        "_counters",
        "_queue",
    )

    def __init__(
        self,
        own_host: bytes,
        gate: Gate,
        tables: TableIndex,
        flows: AgentFlows,
        outliers: OutlierDetector,
        counters: Counter[str],
    ) -> None:
        self._own_host = own_host
        self._gate = gate
        self._tables = tables
        self._flows = flows
        self._outliers = outliers
        self._counters = counters
        self._queue = OpeningQueue()

    @property
    def queue_length(self) -> int:
        """Openings that wait for a slot."""
        return len(self._queue)

    def handle_opening(
        self, packet: Packet, flow: AgentFlow | None, now: float
    ) -> Effects:
        """Take an opening, the first one of its flow or a repeated one."""
        if flow is not None:
            return self._handle_repeated(packet, flow, now)
        reason = self._gate.find_refusal_reason(packet.service_address, now)
        if reason is not None:
            return self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        if packet.flow in self._queue:
            return []
        self._flows.expire_openings(now)
        busy = self._flows.busy
        is_outlier = self._outliers.is_outlier(now)
        if packet.mark == MARK_OFFER and (is_outlier or busy >= self._gate.slots):
            return self._decline(packet, is_outlier)
        if not self._gate.has_capacity(busy):
            return self._enqueue(packet, now)
        return self._admit(packet, now)

    def _decline(self, packet: Packet, is_outlier: bool) -> Effects:
        """Leave an opening to others, if any of them takes it."""
        self._counters["offers_declined_busy"] += 1
        load = self._flows.busy + len(self._queue)
        if is_outlier:
            self._counters["offers_declined_suspect"] += 1
            load += OUTLIER_LOAD
        declined = mark_packet(packet, MARK_BUSY, self._own_host, load)
        return [SendToEntry(declined, packet.return_host)]

    def _admit(self, packet: Packet, now: float) -> Effects:
        """Let an opening pass, if the gate does."""
        flows = self._flows
        reason = self._gate.admit(packet.service_address, len(flows), now)
        if reason is not None:
            return self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        flows.admit(packet.flow, now)
        self._counters["flows_admitted"] += 1
        detail = f"{len(flows)} flows, {flows.busy} busy"
        notice = make_notice(packet, MARK_ADMITTED, self._own_host)
        return [
            SendToUpstream(packet.content),
            SendToEntry(notice, packet.return_host),
            Decision("flow_admitted", detail, packet.flow),
        ]

    def _enqueue(self, packet: Packet, now: float) -> Effects:
        """Let an opening wait for a slot, and say so to the entry host."""
        self._counters["openings_queued"] += 1
        urgency = self._tables.find_urgency(packet.service_address)
        displaced = self._queue.enqueue(packet, urgency, self._gate.slots, now)
        if displaced is not None and displaced.flow == packet.flow:
            return self.refuse(packet, "queue_full", MARK_QUEUE_FAILED)
        notice = make_notice(packet, MARK_QUEUED, self._own_host)
        effects: Effects = [SendToEntry(notice, packet.return_host)]
        if displaced is not None:
            effects += self.refuse(displaced, "queue_full", MARK_QUEUE_FAILED)
        return effects

    def serve_queue(self, now: float) -> Effects:
        """Let openings that wait pass while there is room."""
        effects: Effects = []
        while len(self._queue) and self._gate.has_capacity(self._flows.busy):
            effects += self._admit(self._queue.pop_next(now), now)
        return effects

    def _reject_queued(self, reason: str) -> Effects:
        """Hand back what waits for an upstream that takes nothing new."""
        effects: Effects = []
        for packet in self._queue.pop_all():
            effects += self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        return effects

    def maintain_queue(self, now: float) -> Effects:
        """Hand back what waited in vain, or for an upstream that is closed."""
        effects: Effects = []
        for packet in self._queue.pop_expired(now):
            effects += self.refuse(packet, "waited_in_vain", MARK_QUEUE_FAILED)
        reason = self._gate.find_closed_reason(now)
        if reason is not None:
            return effects + self._reject_queued(reason)
        return effects + self.serve_queue(now)

    def _handle_repeated(self, packet: Packet, flow: AgentFlow, now: float) -> Effects:
        """Deliver an opening that was repeated, if it still may pass.

        The first one may have met an upstream that was about to be gone, and
        the address may be another's by now.
        """
        reason = None
        if not flow.is_open:
            reason = self._gate.find_refusal_reason(packet.service_address, now)
        if reason is None:
            return [SendToUpstream(packet.content)]
        self._flows.discard(packet.flow)
        return self.refuse(packet, reason, MARK_REFUSED_CLOSED)

    def refuse(self, packet: Packet, reason: str, mark: int) -> Effects:
        """Hand an opening back to its entry host, with the reason in a line."""
        self._counters[f"refused_{reason}"] += 1
        returned = mark_packet(packet, mark, self._own_host)
        return [
            SendToEntry(returned, packet.return_host),
            Decision("flow_refused", reason, packet.flow),
        ]

    def record_request_outcome(self, is_answered: bool, now: float) -> Effects:
        """Note how a request at the upstream ended."""
        if not is_answered:
            self._counters["requests_failed"] += 1
        if not self._outliers.record_outcome(is_answered, now):
            return []
        detail = "requests were reset or left without an answer"
        return [Decision("upstream_suspected", detail)]
