"""The core of an agent: the gate in front of one upstream.

Packets of both directions pass here. The truth about a flow is with the
upstream: an agent that has lost its memory asks by delivering, and a packet
that the upstream returns goes back to the entry host that sent it.
"""

from __future__ import annotations

import socket
from collections import Counter

from fulmarshore.direct.agentflows import (
    BOTH_ENDED,
    CALLER_ENDED,
    UPSTREAM_ENDED,
    AgentFlows,
)
from fulmarshore.direct.arrivals import Arrivals
from fulmarshore.direct.gate import Gate, UpstreamBounds
from fulmarshore.direct.judgement import Judgement
from fulmarshore.direct.latency import LatencyHistogram
from fulmarshore.direct.packets import (
    ACK,
    FIN,
    MARK_HELD,
    MARK_NOT_HELD,
    MARK_REFUSED,
    MARK_SEARCH,
    MARK_SEEKING,
    NO_HOST,
    RST,
    SYN,
    Packet,
    make_note,
    make_reset,
    mark_packet,
    parse_packet,
    turn_packet,
)
from fulmarshore.direct.records import (
    AgentReport,
    CallerPacket,
    Decision,
    Poll,
    ReturnedPacket,
    SendPoll,
    SendToCaller,
    SendToEntry,
    SendToUpstream,
    StopCompleted,
    Stopping,
    Ticked,
    UpdateReceived,
    UpstreamAnnounced,
    UpstreamClosed,
    UpstreamDeparted,
    UpstreamPacket,
    UpstreamReplaced,
)
from fulmarshore.direct.searches import SearchRounds, split_search
from fulmarshore.direct.subscription import Subscription
from fulmarshore.direct.tables import TableView

FIRST_SEQUENCE = 1
"""Number of an upstream's first announcement."""
SWEEP_INTERVAL_S = 1.0
STOP_SHARE = 2 / 3
"""Share of the grace period that a planned stop waits for requests under way."""
STOP_NOTICE_S = 0.3
"""How long a planned stop goes on serving what was offered before entry hosts
heard of it."""

Effects = list


class AgentCore:
    """Admits flows to its upstream and carries their packets.

    Parameters
    ----------
    host, zone : str
        This host's address and availability zone.
    seeds : list of str
        Control hosts from the settings.
    process : int
        Random number of this process.
    bounds : UpstreamBounds
        What the platform says of upstreams.
    grace_s : float
        Time from the order to stop until the process is killed.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: list[str],
        process: int,
        bounds: UpstreamBounds,
        grace_s: float = 6.0,
    ) -> None:
        self.host = host
        self.counters: Counter[str] = Counter()
        self.tables = TableView()
        self.gate = Gate(self.tables, bounds)
        self.subscription = Subscription(seeds)
        self._zone = zone
        self._stop_wait_s = grace_s * STOP_SHARE
        self._process = process
        self._own_host = socket.inet_aton(host)
        self._searches = SearchRounds(self._own_host)
        self._flows = AgentFlows()
        self.work_time = LatencyHistogram()
        self.judgement = Judgement()
        self._arrivals = Arrivals(
            self._own_host,
            self.gate,
            self.tables,
            self._flows,
            self.judgement,
            self.counters,
        )
        self._remembers_all = False
        self._revision = 0
        self._reported: tuple = ()
        self._swept_at = float("-inf")
        self._stop_at: float | None = None
        self._stopping_since = float("inf")

    @property
    def is_ready(self) -> bool:
        """Whether the agent knows the configuration and its upstream."""
        return self.tables.is_known and self.gate.upstream is not None

    @property
    def flow_count(self) -> int:
        """Flows that are remembered."""
        return len(self._flows)

    @property
    def queue_length(self) -> int:
        """Openings that wait for a slot."""
        return self._arrivals.queue_length

    @property
    def busy(self) -> int:
        """Flows with a request under way."""
        return self._flows.busy

    def has_service(self, name: str) -> bool:
        """Whether a service may be announced: the configuration names it."""
        if not self.tables.is_known:
            return True
        return self.tables.find_service(name) is not None

    def handle(self, event: object, now: float) -> Effects:
        """Take one event and return what is to be done."""
        match event:
            case CallerPacket(content=content):
                return self._take_caller(content, now)
            case UpstreamPacket(content=content):
                effects = self._take_upstream(content, now)
                if self._arrivals.queue_length:
                    effects += self._arrivals.serve_queue(now)
                return effects
            case ReturnedPacket(content=content):
                return self._searches.take_note(content)
            case UpstreamAnnounced():
                return self._take_announcement(event, now)
            case UpstreamDeparted(upstream=upstream):
                return self._take_departure(upstream, now)
            case Ticked():
                return self._tick(now)
            case UpdateReceived():
                return self._learn(event, now)
            case UpstreamClosed():
                return self._note_closed(now)
            case UpstreamReplaced():
                self.gate.close()
                return [Decision("upstream_moved"), *self._report(now)]
            case Stopping():
                return self._stop(now)
        raise TypeError(f"unexpected event {event!r}")

    # From callers.

    def _take_caller(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            return self._take_search(content, now)
        flow = self._flows.get(packet.flow)
        if packet.is_opening:
            return self._arrivals.take(packet, flow, now)
        if flow is None:
            if self._remembers_all:
                return self._tell_not_held(packet, packet.mark == MARK_SEEKING)
            # The agent may have lost its memory: only the upstream knows.
            self.counters["flows_asked_for"] += 1
            flow = self._flows.ask_for(packet.flow, now)
        flow.seen_at = now
        flow.acknowledged = packet.acknowledged
        effects: Effects = [SendToUpstream(packet.content)]
        if packet.mark == MARK_SEEKING:
            if flow.is_open:
                effects.append(self._tell_held(packet))
            else:
                flow.asker = packet.return_host
        self._flows.take_data(flow, packet, now)
        if packet.flags & RST:
            self._flows.forget(packet.flow)
        elif packet.flags & FIN:
            flow.ends |= CALLER_ENDED
            self._flows.end_request(flow)
        return effects

    def _take_search(self, content: bytes, now: float) -> Effects:
        """Search for the agent that holds a flow, for an entry host."""
        found = split_search(content)
        if found is None or found[0].mark != MARK_SEARCH:
            self.counters["packets_malformed"] += 1
            return []
        self.counters["searches"] += 1
        return self._searches.begin(*found, now)

    def _tell_held(self, packet: Packet) -> SendToEntry:
        note = make_note(packet, MARK_HELD, self._own_host)
        return SendToEntry(note, packet.return_host)

    def _tell_not_held(self, packet: Packet, is_sought: bool) -> Effects:
        """Say that a flow is not held here; nobody else has its packet yet."""
        self.counters["packets_not_held"] += 1
        if packet.return_host == NO_HOST:
            return []
        make = make_note if is_sought else mark_packet
        content = make(packet, MARK_NOT_HELD, self._own_host)
        return [SendToEntry(content, packet.return_host)]

    # From the upstream.

    def _take_upstream(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        if packet.is_bounced:
            return self._take_bounced(packet, now)
        turn_packet(packet)
        flow = self._flows.get(packet.flow)
        effects: Effects = [SendToCaller(content, packet.caller_host)]
        if flow is None:
            flow = self._flows.take_open(packet.flow, now)
        flow.seen_at = now
        if packet.flags & (SYN | ACK) == SYN | ACK:
            return effects
        if packet.flags & RST:
            if flow.is_busy:
                effects += self._arrivals.judge(False, now)
            self._flows.forget(packet.flow)
            return effects
        flow.is_open = True
        if flow.asker != NO_HOST:
            note = make_note(packet, MARK_HELD, self._own_host)
            effects.append(SendToEntry(note, flow.asker))
            flow.asker = NO_HOST
        if packet.length:
            work_s = self._flows.take_answer(flow, now)
            if work_s is not None:
                self.work_time.observe(work_s)
                effects += self._arrivals.judge(True, now)
        if packet.flags & FIN:
            flow.ends |= UPSTREAM_ENDED
        return effects

    def _take_bounced(self, packet: Packet, now: float) -> Effects:
        """Hand a packet that the upstream returned back to the entry host."""
        flow = self._flows.get(packet.flow)
        if packet.is_opening:
            if flow is not None and not flow.is_open:
                self._flows.forget(packet.flow)
            return self._arrivals.refuse(packet, "returned_by_upstream", MARK_REFUSED)
        self.counters["packets_bounced"] += 1
        if flow is not None:
            self._flows.forget(packet.flow)
            if flow.is_open:
                # The upstream held it and does not any more, so nobody does.
                self.counters["flows_reset_lost"] += 1
                reset = make_reset(packet.flow, packet.acknowledged)
                return [
                    SendToCaller(reset, packet.caller_host),
                    Decision("flow_reset", "upstream lost it", packet.flow),
                ]
        is_sought = flow is not None and flow.asker != NO_HOST
        return self._tell_not_held(packet, is_sought)

    def _note_closed(self, now: float) -> Effects:
        """Give up the flows of an upstream that nobody listens for."""
        self.counters["upstream_closed"] += 1
        if self.gate.explain(now) == "upstream_gone" and len(self._flows) == 0:
            return []
        self.gate.close()
        effects = self._reset_all()
        effects.append(Decision("upstream_closed", f"{len(effects)} flows reset"))
        return effects + self._report(now)

    def _reset_all(self) -> Effects:
        effects: Effects = []
        for key, flow in self._flows.take_all():
            if flow.ends == BOTH_ENDED or not flow.is_open:
                continue
            reset = make_reset(key, flow.acknowledged)
            effects.append(SendToCaller(reset, key[:4]))
        return effects

    # What the upstream says of itself.

    def _take_announcement(self, announced: UpstreamAnnounced, now: float) -> Effects:
        was_ready = self.gate.explain(now)
        former = self.gate.upstream
        outcome = self.gate.take(announced, now)
        if outcome == "late":
            self.counters["announcements_late"] += 1
            return []
        effects: Effects = []
        if outcome == "new":
            # An upstream takes flows only once the gate has heard of it, so
            # whoever hears its first word knows all its flows.
            is_first = announced.sequence <= FIRST_SEQUENCE
            self._remembers_all = former is not None or is_first
            self.judgement.forget()
        reason = self.gate.explain(now)
        if outcome == "new" or reason != was_ready:
            detail = (
                f"{announced.upstream} of {announced.service}, "
                f"word {announced.sequence}, "
                f"{reason or 'accepting'}, cold {announced.cold_s:.3f} s"
            )
            effects.append(Decision("upstream_announced", detail))
            effects += self._report(now)
        return effects

    def _take_departure(self, upstream: str, now: float) -> Effects:
        if not self.gate.depart(upstream):
            self.counters["departures_late"] += 1
            return []
        return [Decision("upstream_departed", upstream), *self._report(now)]

    # Control and time.

    def _learn(self, told: UpdateReceived, now: float) -> Effects:
        host, update = told.host, told.update
        effects: Effects = []
        if self.subscription.hear(host, update, now):
            effects.append(Decision("control_heard", host))
        effects += self.tables.learn(told)
        if self._describe(now) != self._reported:
            effects += self._report(now)
        effects += self._report_to(self.subscription.take_new(now), now)
        index = self.tables.table.index
        if self.subscription.should_ask(update.index > index, now):
            effects.append(SendPoll(Poll(index, 0, 0, False, True), host))
        return effects

    def _stop(self, now: float) -> Effects:
        if self._stop_at is not None:
            return []
        self.gate.stop()
        self._stop_at = now + self._stop_wait_s
        self._stopping_since = now
        detail = f"{len(self._flows)} flows, {self._flows.busy} busy"
        effects: Effects = [Decision("stopping", detail)]
        if self.gate.is_gone:
            # The platform stops an agent after its upstream: nobody holds these.
            effects += self._reset_all()
        return effects + self._report(now)

    def _tick(self, now: float) -> Effects:
        self._flows.expire_openings(now)
        effects = self._arrivals.tend_queue(now) if self._arrivals.queue_length else []
        effects += self._report(now, all_at_once=self._describe(now) != self._reported)
        for host in self.subscription.list_silent(now):
            effects.append(Decision("control_silent", host))
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self.subscription.forget_lost(now)
            for _ in range(self._flows.sweep(self.tables.table.idle_timeout_s, now)):
                effects += self._arrivals.judge(False, now)
        if self._stop_at is not None and self._may_end(now):
            effects.append(StopCompleted())
        return effects

    def _may_end(self, now: float) -> bool:
        if now - self._stopping_since < STOP_NOTICE_S:
            return False
        return now >= self._stop_at or self._flows.busy == 0

    def _report(self, now: float, all_at_once: bool = True) -> Effects:
        """Poll the control hosts that are due, with a report."""
        return self._report_to(self.subscription.take_due(now, all_at_once), now)

    def _report_to(self, due: list[str], now: float) -> Effects:
        if not due:
            return []
        self._revision += 1
        self._reported = self._describe(now)
        upstream = self.gate.upstream
        report = AgentReport(
            self.host,
            self._process,
            self._revision,
            upstream.zone if upstream is not None else self._zone,
            self.gate.service,
            self.gate.is_accepting(now),
            self.gate.is_cold(now),
            self.gate.slots,
            len(self._flows),
            self._flows.busy,
            self._stop_at is not None and self.gate.is_gone,
        )
        poll = Poll(self.tables.table.index, 0, 0, False, False, report)
        return [SendPoll(poll, host) for host in due]

    def _describe(self, now: float) -> tuple:
        """Return what control hosts have to hear of at once."""
        accepting = self.gate.is_accepting(now)
        return (self.gate.service, accepting, self.gate.is_cold(now))
