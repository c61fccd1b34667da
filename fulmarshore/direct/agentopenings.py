"""Handling of openings on an agent: admit, decline, queue or refuse them."""

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
    NO_LOAD_REPORT,
    LoadReport,
    Packet,
    make_notice,
    mark_packet,
)
from fulmarshore.direct.records import Decision, SendToEntry, SendToUpstream
from fulmarshore.direct.tables import TableIndex

OUTLIER_LOAD = 100
"""Requests added to the load that an outlier reports, so that it only gets flows that
no other upstream takes."""
OUTLIER_WAIT_MS = 32_768
"""As OUTLIER_LOAD with placement by cost: half of the largest load, and more than any
other upstream reports."""

Effects = list


class AgentOpenings:
    """Decides on the openings that arrive at one agent.

    Parameters
    ----------
    own_host : bytes
        Address of the agent, four bytes.
    gate : Gate
        Admission gate of the upstream.
    tables : TableIndex
        Index of the newest table.
    flows : AgentFlows
        The flows of the upstream.
    outliers : OutlierDetector
        Tells whether the upstream is an outlier.
    counters : Counter
        Counts the outcomes of openings.
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
        """Number of openings that wait for a slot."""
        return len(self._queue)

    def handle_opening(
        self, packet: Packet, flow: AgentFlow | None, now: float
    ) -> Effects:
        """Admit, queue, decline or refuse an opening, first or repeated."""
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
        has_free_slot = self._gate.is_confirmed and busy < self._gate.slots
        if packet.mark == MARK_OFFER:
            if is_outlier or not has_free_slot or self._has_overdue(now):
                return self._decline(packet, is_outlier, now)
        if not self._gate.has_capacity(busy):
            return self._enqueue(packet, now)
        return self._admit(packet, now)

    def report_load(self, now: float) -> LoadReport:
        """Return the load of the upstream."""
        queued = self._queue.list_addresses() if len(self._queue) else ()
        return self._flows.work.make_report(now, queued)

    def _has_overdue(self, now: float) -> bool:
        """Whether the upstream does not answer a request that should have ended."""
        return self._tables.places_by_cost and self._flows.work.has_overdue(now)

    def _decline(self, packet: Packet, is_outlier: bool, now: float) -> Effects:
        """Return an offer without refusing it, so that other agents are tried first."""
        self._counters["offers_declined_busy"] += 1
        load = self._flows.busy + len(self._queue)
        outlier_load = OUTLIER_LOAD
        if self._tables.places_by_cost:
            load = min(self.report_load(now).wait_ms, OUTLIER_WAIT_MS - 1)
            outlier_load = OUTLIER_WAIT_MS
        if is_outlier:
            self._counters["offers_declined_suspect"] += 1
            load += outlier_load
        declined = mark_packet(packet, MARK_BUSY, self._own_host, load)
        return [SendToEntry(declined, packet.return_host)]

    def _admit(self, packet: Packet, now: float) -> Effects:
        """Admit an opening if the gate is open for it, else refuse it."""
        flows = self._flows
        reason = self._gate.admit(packet.service_address, len(flows), now)
        if reason is not None:
            return self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        flows.admit(packet.flow, now)
        self._counters["flows_admitted"] += 1
        detail = f"{len(flows)} flows, {flows.busy} busy"
        notice = self._make_notice(packet, MARK_ADMITTED, now)
        return [
            SendToUpstream(packet.content),
            SendToEntry(notice, packet.return_host),
            Decision("flow_admitted", detail, packet.flow),
        ]

    def _enqueue(self, packet: Packet, now: float) -> Effects:
        """Queue an opening until a slot is free, and notify the entry host."""
        self._counters["openings_queued"] += 1
        urgency = self._tables.find_urgency(packet.service_address)
        displaced = self._queue.enqueue(packet, urgency, self._gate.slots, now)
        if displaced is not None and displaced.flow == packet.flow:
            return self.refuse(packet, "queue_full", MARK_QUEUE_FAILED)
        notice = self._make_notice(packet, MARK_QUEUED, now)
        effects: Effects = [SendToEntry(notice, packet.return_host)]
        if displaced is not None:
            effects += self.refuse(displaced, "queue_full", MARK_QUEUE_FAILED)
        return effects

    def _make_notice(self, packet: Packet, mark: int, now: float) -> bytes:
        """Return a notice about an opening; its own work is part of the load in it."""
        is_reported = self._tables.places_by_cost
        load = self.report_load(now) if is_reported else NO_LOAD_REPORT
        return make_notice(packet, mark, self._own_host, load)

    def serve_queue(self, now: float) -> Effects:
        """Admit queued openings while there is capacity."""
        effects: Effects = []
        while len(self._queue) and self._gate.has_capacity(self._flows.busy):
            effects += self._admit(self._queue.pop_next(now), now)
        return effects

    def _reject_queued(self, reason: str) -> Effects:
        """Refuse all queued openings, as the gate is closed."""
        effects: Effects = []
        for packet in self._queue.pop_all():
            effects += self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        return effects

    def maintain_queue(self, now: float) -> Effects:
        """Refuse expired openings, and serve the others.

        If the gate is closed, these are refused as well.
        """
        effects: Effects = []
        for packet in self._queue.pop_expired(now):
            effects += self.refuse(packet, "waited_in_vain", MARK_QUEUE_FAILED)
        reason = self._gate.find_closed_reason(now)
        if reason is not None:
            return effects + self._reject_queued(reason)
        return effects + self.serve_queue(now)

    def _handle_repeated(self, packet: Packet, flow: AgentFlow, now: float) -> Effects:
        """Deliver a repeated opening, if the gate still allows it.

        The first one may have reached an upstream that was about to end, and its
        address may belong to another one by now.
        """
        reason = None
        if not flow.is_open:
            reason = self._gate.find_refusal_reason(packet.service_address, now)
        if reason is None:
            return [SendToUpstream(packet.content)]
        self._flows.discard(packet.flow, now)
        return self.refuse(packet, reason, MARK_REFUSED_CLOSED)

    def refuse(self, packet: Packet, reason: str, mark: int) -> Effects:
        """Return an opening to its entry host, and log the reason."""
        self._counters[f"refused_{reason}"] += 1
        returned = mark_packet(packet, mark, self._own_host)
        return [
            SendToEntry(returned, packet.return_host),
            Decision("flow_refused", reason, packet.flow),
        ]

    def record_request_outcome(self, is_answered: bool, now: float) -> Effects:
        """Record whether the upstream answered a request; log a new ejection."""
        if not is_answered:
            self._counters["requests_failed"] += 1
        if not self._outliers.record_outcome(is_answered, now):
            return []
        detail = "requests were reset or left without an answer"
        return [Decision("upstream_suspected", detail)]
