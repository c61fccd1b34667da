"""What an agent does with openings: let pass, decline, let wait, hand back."""

from __future__ import annotations

from collections import Counter

from fulmarshore.direct.agentflows import AgentFlow, AgentFlows
from fulmarshore.direct.gate import Gate
from fulmarshore.direct.judgement import Judgement
from fulmarshore.direct.packets import (
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_OFFER,
    MARK_REFUSED_CLOSED,
    MARK_WAITED,
    MARK_WAITING,
    Packet,
    make_note,
    mark_packet,
)
from fulmarshore.direct.records import Decision, SendToEntry, SendToUpstream
from fulmarshore.direct.tables import TableView
from fulmarshore.direct.waiting import OpeningQueue

SUSPECT_LOAD = 100
"""Requests that an upstream which is suspected counts as having more: it gets what
is offered to all others first and not taken by them."""

Effects = list


class Arrivals:
    """The openings that come to one agent.

    Parameters
    ----------
    own_host : bytes
        Address of the agent, four bytes.
    gate : Gate
        Whether new flows may pass.
    tables : TableView
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
        "_judgement",
        "_counters",
        "_queue",
    )

    def __init__(
        self,
        own_host: bytes,
        gate: Gate,
        tables: TableView,
        flows: AgentFlows,
        judgement: Judgement,
        counters: Counter[str],
    ) -> None:
        self._own_host = own_host
        self._gate = gate
        self._tables = tables
        self._flows = flows
        self._judgement = judgement
        self._counters = counters
        self._queue = OpeningQueue()

    @property
    def queue_length(self) -> int:
        """Openings that wait for a slot."""
        return len(self._queue)

    def take(self, packet: Packet, flow: AgentFlow | None, now: float) -> Effects:
        """Take an opening, the first one of its flow or a repeated one."""
        if flow is not None:
            return self._open_again(packet, flow, now)
        reason = self._gate.check(packet.service_address, now)
        if reason is not None:
            return self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        if packet.flow in self._queue:
            return []
        self._flows.expire_openings(now)
        busy = self._flows.busy
        is_suspect = self._judgement.is_suspect(now)
        if packet.mark == MARK_OFFER and (is_suspect or busy >= self._gate.slots):
            return self._decline(packet, is_suspect)
        if not self._gate.has_room(busy):
            return self._wait(packet, now)
        return self._admit(packet, now)

    def _decline(self, packet: Packet, is_suspect: bool) -> Effects:
        """Leave an opening to others, if any of them takes it."""
        self._counters["offers_declined_busy"] += 1
        load = self._flows.busy + len(self._queue)
        if is_suspect:
            self._counters["offers_declined_suspect"] += 1
            load += SUSPECT_LOAD
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
        note = make_note(packet, MARK_ADMITTED, self._own_host)
        return [
            SendToUpstream(packet.content),
            SendToEntry(note, packet.return_host),
            Decision("flow_admitted", detail, packet.flow),
        ]

    def _wait(self, packet: Packet, now: float) -> Effects:
        """Let an opening wait for a slot, and say so to the entry host."""
        self._counters["openings_queued"] += 1
        urgency = self._tables.find_urgency(packet.service_address)
        last = self._queue.put(packet, urgency, self._gate.slots, now)
        if last is not None and last.flow == packet.flow:
            return self.refuse(packet, "queue_full", MARK_WAITED)
        note = make_note(packet, MARK_WAITING, self._own_host)
        effects: Effects = [SendToEntry(note, packet.return_host)]
        if last is not None:
            effects += self.refuse(last, "queue_full", MARK_WAITED)
        return effects

    def serve_queue(self, now: float) -> Effects:
        """Let openings that wait pass while there is room."""
        effects: Effects = []
        while len(self._queue) and self._gate.has_room(self._flows.busy):
            effects += self._admit(self._queue.take_next(now), now)
        return effects

    def _close_queue(self, reason: str) -> Effects:
        """Hand back what waits for an upstream that takes nothing new."""
        effects: Effects = []
        for packet in self._queue.take_all():
            effects += self.refuse(packet, reason, MARK_REFUSED_CLOSED)
        return effects

    def tend_queue(self, now: float) -> Effects:
        """Hand back what waited in vain, or for an upstream that is closed."""
        effects: Effects = []
        for packet in self._queue.take_expired(now):
            effects += self.refuse(packet, "waited_in_vain", MARK_WAITED)
        reason = self._gate.explain(now)
        if reason is not None:
            return effects + self._close_queue(reason)
        return effects + self.serve_queue(now)

    def _open_again(self, packet: Packet, flow: AgentFlow, now: float) -> Effects:
        """Deliver an opening that was repeated, if it still may pass.

        The first one may have met an upstream that was about to be gone, and
        the address may be another's by now.
        """
        reason = None
        if not flow.is_open:
            reason = self._gate.check(packet.service_address, now)
        if reason is None:
            return [SendToUpstream(packet.content)]
        self._flows.forget(packet.flow)
        return self.refuse(packet, reason, MARK_REFUSED_CLOSED)

    def refuse(self, packet: Packet, reason: str, mark: int) -> Effects:
        """Hand an opening back to its entry host, with the reason in a line."""
        self._counters[f"refused_{reason}"] += 1
        returned = mark_packet(packet, mark, self._own_host)
        return [
            SendToEntry(returned, packet.return_host),
            Decision("flow_refused", reason, packet.flow),
        ]

    def judge(self, is_answered: bool, now: float) -> Effects:
        """Note how a request at the upstream ended."""
        if not is_answered:
            self._counters["requests_failed"] += 1
        if not self._judgement.note(is_answered, now):
            return []
        detail = "requests were reset or left without an answer"
        return [Decision("upstream_suspected", detail)]
