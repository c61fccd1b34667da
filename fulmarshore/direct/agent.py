"""Core of an agent: admits flows to one upstream and forwards its packets.

Packets of both directions pass the agent. Only the upstream knows which flows it
holds: an agent that has restarted delivers packets of unknown flows, and returns
those that the upstream bounces to the entry host that sent them.
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
from fulmarshore.direct.agentopenings import AgentOpenings
from fulmarshore.direct.gate import Gate, UpstreamBounds
from fulmarshore.direct.keptflows import KeptFlowTracker
from fulmarshore.direct.latency import LatencyHistogram
from fulmarshore.direct.outliers import OutlierDetector
from fulmarshore.direct.packets import (
    ACK,
    FIN,
    MARK_HELD,
    MARK_NOT_HELD,
    MARK_PROBE,
    MARK_REFUSED,
    MARK_SEARCH,
    NO_HOST,
    RST,
    SYN,
    LoadReport,
    Packet,
    make_notice,
    make_reset,
    mark_packet,
    parse_packet,
    reverse_packet,
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
    UpstreamAbsent,
    UpstreamAnnounced,
    UpstreamClosed,
    UpstreamDeparted,
    UpstreamPacket,
    UpstreamReplaced,
)
from fulmarshore.direct.searches import SearchCoordinator, split_search
from fulmarshore.direct.subscription import Subscription
from fulmarshore.direct.tables import TableIndex

FIRST_SEQUENCE = 1
"""Number of an upstream's first announcement."""
SWEEP_INTERVAL_S = 1.0
STOP_GRACE_SHARE = 2 / 3
"""Share of the grace period that a planned stop waits for requests in progress."""
MAX_FIRST_NUMBER = 1 << 48
"""Limit of the random number of the first poll, which is counted up from there."""
KEPT_IDLE_S = 1.0
"""A flow that is still open this long after its first request is kept for later ones: a
caller that opens a flow for each request closes it with the response."""
MIN_STOP_S = 0.3
"""Shortest planned stop: flows offered before entry hosts learn of it still arrive."""

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
        Bounds that the platform states for upstreams.
    grace_s : float
        Seconds between the stop signal and the kill of the process.
    placement : str
        What new flows are placed by, one of ``settings.PLACEMENTS``.
    notifies_lost_flows : bool
        Whether to register flows whose callers are notified if they are lost.
    packet_port : int
        Port for packets on every host, for reports.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: list[str],
        process: int,
        bounds: UpstreamBounds,
        grace_s: float = 6.0,
        placement: str = "auto",
        notifies_lost_flows: bool = True,
        packet_port: int = 0,
    ) -> None:
        self.host = host
        self.counters: Counter[str] = Counter()
        self.tables = TableIndex(placement)
        self.gate = Gate(self.tables, bounds)
        self.subscription = Subscription(seeds, process % MAX_FIRST_NUMBER + 1)
        self._zone = zone
        self._stop_wait_s = grace_s * STOP_GRACE_SHARE
        self._process = process
        self._packet_port = packet_port
        self._own_host = socket.inet_aton(host)
        self._searches = SearchCoordinator(self._own_host)
        self._kept = KeptFlowTracker(host, process, notifies_lost_flows, self.counters)
        self._flows = AgentFlows(self._kept)
        self.work_time = LatencyHistogram()
        self.outliers = OutlierDetector()
        self._openings = AgentOpenings(
            self._own_host,
            self.gate,
            self.tables,
            self._flows,
            self.outliers,
            self.counters,
        )
        self._has_all_flows = False
        self._is_reported_empty = False
        self._unconfirmed_poll = 0
        self._revision = 0
        self._reported_summary: tuple = ()
        self._last_sweep_at = float("-inf")
        self._stop_at: float | None = None
        self._stopping_since = float("inf")

    @property
    def is_ready(self) -> bool:
        """Whether the agent knows the configuration and its upstream."""
        return self.tables.is_known and self.gate.upstream is not None

    @property
    def has_upstream(self) -> bool:
        """Whether an upstream has announced itself to this process."""
        return self.gate.upstream is not None

    @property
    def flow_count(self) -> int:
        """Number of tracked flows."""
        return len(self._flows)

    @property
    def queue_length(self) -> int:
        """Number of openings that wait for a slot."""
        return self._openings.queue_length

    @property
    def busy(self) -> int:
        """Number of flows with a request in progress."""
        return self._flows.busy

    def report_load(self, now: float) -> LoadReport:
        """Return the load of the upstream, for the metrics."""
        return self._openings.report_load(now)

    def measure_utilization(self, now: float) -> float:
        """Return the share of the upstream's time in use, for the metrics."""
        return self._flows.work.measure_utilization(now)

    def has_service(self, name: str) -> bool:
        """Whether the configuration has a service, so that it may be announced."""
        if not self.tables.is_known:
            return True
        return self.tables.find_service(name) is not None

    def handle(self, event: object, now: float) -> Effects:
        """Process one event and return its effects."""
        match event:
            case CallerPacket(content=content):
                return self._handle_caller_packet(content, now)
            case UpstreamPacket(content=content):
                effects = self._handle_upstream_packet(content, now)
                if self._openings.queue_length:
                    effects += self._openings.serve_queue(now)
                return effects
            case ReturnedPacket(content=content):
                return self._searches.handle_notice(content)
            case UpstreamAnnounced():
                return self._handle_announcement(event, now)
            case UpstreamDeparted(upstream=upstream):
                return self._handle_departure(upstream, now)
            case Ticked():
                return self._handle_tick(now)
            case UpdateReceived():
                return self._handle_update(event, now)
            case UpstreamClosed():
                return self._handle_upstream_closed(now)
            case UpstreamAbsent():
                return self._handle_upstream_absent(now)
            case UpstreamReplaced():
                self.gate.mark_gone()
                return [Decision("upstream_moved"), *self._report(now)]
            case Stopping():
                return self._handle_stop(now)
        raise TypeError(f"unexpected event {event!r}")

    # Packets of callers

    def _handle_caller_packet(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            return self._handle_search(content, now)
        flow = self._flows.get(packet.flow)
        if packet.is_opening:
            return self._openings.handle_opening(packet, flow, now)
        is_tracked = True
        if flow is None:
            if self._has_all_flows:
                return self._notify_not_held(packet, packet.mark == MARK_PROBE)
            # After a restart of the agent only the upstream knows the flow.
            self.counters["flows_asked_for"] += 1
            flow = self._flows.add_unconfirmed(packet.flow, now)
            is_tracked = self._flows.get(packet.flow) is flow
        flow.last_packet_at = now
        flow.record_acknowledgement(packet)
        effects: Effects = [SendToUpstream(packet.content)]
        if packet.mark == MARK_PROBE:
            if flow.is_open:
                effects.append(self._make_held_notice(packet))
            else:
                flow.searching_host = packet.return_host
        if is_tracked and self._flows.record_caller_data(flow, packet, now):
            route = self.tables.find_route(packet.service_address)
            if route is not None and not route.is_repeatable:
                self._kept.add_candidate(packet.flow, flow, now)
        if packet.flags & RST:
            self._flows.discard(packet.flow, now)
        elif packet.flags & FIN:
            flow.ended_sides |= CALLER_ENDED
            self._kept.end(packet.flow)
            self._flows.end_request(flow, now)
        return effects

    def _handle_search(self, content: bytes, now: float) -> Effects:
        """Start the search that an entry host asks for."""
        found = split_search(content)
        if found is None or found[0].mark != MARK_SEARCH:
            self.counters["packets_malformed"] += 1
            return []
        self.counters["searches"] += 1
        return self._searches.start_search(*found, now)

    def _make_held_notice(self, packet: Packet) -> SendToEntry:
        notice = make_notice(packet, MARK_HELD, self._own_host)
        return SendToEntry(notice, packet.return_host)

    def _notify_not_held(self, packet: Packet, is_probe: bool) -> Effects:
        """Tell the sender of a packet that its flow is not held here.

        The answer to a probe is a notice. Any other packet is returned itself, as the
        entry host needs it to search for the flow.
        """
        self.counters["packets_not_held"] += 1
        if packet.return_host == NO_HOST:
            return []
        make = make_notice if is_probe else mark_packet
        content = make(packet, MARK_NOT_HELD, self._own_host)
        return [SendToEntry(content, packet.return_host)]

    # Packets of the upstream

    def _handle_upstream_packet(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        if packet.is_bounced:
            return self._handle_bounced(packet, now)
        reverse_packet(packet)
        flow = self._flows.get(packet.flow)
        effects: Effects = [SendToCaller(content, packet.caller_host)]
        if packet.flags & (SYN | ACK) == SYN | ACK:
            if flow is None:
                flow = self._flows.add_unconfirmed(packet.flow, now)
            flow.last_packet_at = now
            flow.record_answer(packet)
            return effects
        if flow is None:
            flow = self._flows.add_open(packet.flow, now)
        flow.last_packet_at = now
        if packet.flags & RST:
            if flow.is_busy:
                effects += self._openings.record_request_outcome(False, now)
            self._flows.discard(packet.flow, now)
            return effects
        flow.is_open = True
        if flow.searching_host != NO_HOST:
            notice = make_notice(packet, MARK_HELD, self._own_host)
            effects.append(SendToEntry(notice, flow.searching_host))
            flow.searching_host = NO_HOST
        if packet.length:
            work_s = self._flows.record_response(flow, now)
            if work_s is not None:
                self.work_time.observe(work_s)
                effects += self._openings.record_request_outcome(True, now)
        if packet.flags & FIN:
            flow.ended_sides |= UPSTREAM_ENDED
            self._kept.end(packet.flow)
        return effects

    def _handle_bounced(self, packet: Packet, now: float) -> Effects:
        """Return a packet that the upstream bounced to its entry host."""
        flow = self._flows.get(packet.flow)
        if packet.is_opening:
            if flow is not None and not flow.is_open:
                self._flows.discard(packet.flow, now)
            return self._openings.refuse(packet, "returned_by_upstream", MARK_REFUSED)
        self.counters["packets_bounced"] += 1
        if flow is not None:
            self._flows.discard(packet.flow, now)
            if flow.is_open:
                # The upstream held the flow before, so no other upstream does.
                self.counters["flows_reset_lost"] += 1
                reset = make_reset(packet.flow, packet.acknowledged)
                return [
                    SendToCaller(reset, packet.caller_host),
                    Decision("flow_reset", "upstream no longer holds it", packet.flow),
                ]
        is_probe = flow is not None and flow.searching_host != NO_HOST
        return self._notify_not_held(packet, is_probe)

    def _handle_upstream_closed(self, now: float) -> Effects:
        """Reset all flows after the upstream's address refused a packet."""
        self.counters["upstream_closed"] += 1
        if (
            self.gate.find_closed_reason(now) == "upstream_gone"
            and len(self._flows) == 0
        ):
            return []
        self.gate.mark_gone()
        effects = self._reset_all()
        effects.append(Decision("upstream_closed", f"{len(effects)} flows reset"))
        return effects + self._report(now)

    def _handle_upstream_absent(self, now: float) -> Effects:
        """Deny all flows: an upstream that starts later begins without any.

        Without this an agent that has just started, and cannot ask its upstream, would
        hold up each search, and count as missing once it is stopped.
        """
        if self.has_upstream:
            return []
        self.gate.mark_gone()
        self._has_all_flows = True
        return [Decision("upstream_absent"), *self._report(now)]

    def _reset_all(self) -> Effects:
        effects: Effects = []
        for key, flow in self._flows.pop_all():
            if flow.ended_sides == BOTH_ENDED or not flow.is_open:
                continue
            reset = make_reset(key, flow.acknowledged)
            effects.append(SendToCaller(reset, key[:4]))
        return effects

    # Announcements of the upstream

    def _handle_announcement(self, announced: UpstreamAnnounced, now: float) -> Effects:
        previous_reason = self.gate.find_closed_reason(now)
        previous = self.gate.upstream
        outcome = self.gate.handle_announcement(announced, now)
        if outcome == "late":
            self.counters["announcements_late"] += 1
            return []
        self._kept.record_announcement(announced, now)
        effects: Effects = []
        if outcome == "new":
            # An upstream gets flows only after an announcement, so an agent that
            # gets the first announcement, or found no upstream before, tracks all its
            # flows.
            is_first = announced.sequence <= FIRST_SEQUENCE
            self._has_all_flows |= previous is not None or is_first
            self.outliers.reset()
            if previous is not None:
                self._flows.work.reset()
        self._flows.work.set_slots(announced.slots, now)
        reason = self.gate.find_closed_reason(now)
        if self._is_reported_empty:
            self.gate.is_confirmed = False
        if outcome == "new" or reason != previous_reason:
            detail = (
                f"{announced.upstream} of {announced.service}, "
                f"announcement {announced.sequence}, "
                f"{reason or 'accepting'}, cold {announced.cold_s:.3f} s"
            )
            effects.append(Decision("upstream_announced", detail))
            effects += self._report(now)
        return effects

    def _handle_departure(self, upstream: str, now: float) -> Effects:
        if not self.gate.handle_departure(upstream):
            self.counters["departures_late"] += 1
            return []
        return [Decision("upstream_departed", upstream), *self._report(now)]

    # Updates of control hosts, and ticks

    def _handle_update(self, received: UpdateReceived, now: float) -> Effects:
        host, update = received.host, received.update
        effects: Effects = []
        if self.subscription.record_update(host, update, now):
            effects.append(Decision("control_heard", host))
        effects += self.tables.handle_update(received)
        effects += self._check_confirmation(now)
        if self._summarize(now) != self._reported_summary:
            effects += self._report(now)
        effects += self._report_to(self.subscription.select_unpolled(now), now)
        index = self.tables.table.index
        if self.subscription.should_request_table(update.index > index, now):
            effects.append(SendPoll(Poll(index, 0, 0, False, True), host))
        return effects

    def _check_confirmation(self, now: float) -> Effects:
        """Admit flows once a majority of the voters know that the upstream runs."""
        number = self._unconfirmed_poll
        if not number or not self.subscription.is_confirmed(number):
            return []
        self._unconfirmed_poll = 0
        self.gate.is_confirmed = True
        return self._openings.serve_queue(now)

    def _handle_stop(self, now: float) -> Effects:
        if self._stop_at is not None:
            return []
        self.gate.begin_stop()
        self._stop_at = now + self._stop_wait_s
        self._stopping_since = now
        detail = f"{len(self._flows)} flows, {self._flows.busy} busy"
        effects: Effects = [Decision("stopping", detail)]
        if self.gate.is_gone:
            # The platform stops an agent after its upstream: the flows are lost.
            effects += self._reset_all()
        return effects + self._report(now)

    def _handle_tick(self, now: float) -> Effects:
        self._flows.work.advance(now)
        self._flows.expire_openings(now)
        effects = (
            self._openings.maintain_queue(now) if self._openings.queue_length else []
        )
        effects += self._report(
            now, is_urgent=self._summarize(now) != self._reported_summary
        )
        for host in self.subscription.pop_unresponsive(now):
            effects.append(Decision("control_silent", host))
        if now - self._last_sweep_at >= SWEEP_INTERVAL_S:
            self._last_sweep_at = now
            self.subscription.expire_unresponsive(now)
            for _ in range(self._flows.sweep(self.tables.table.idle_timeout_s, now)):
                effects += self._openings.record_request_outcome(False, now)
            self._register_idle_flows(now)
        if self._kept.is_due(self.subscription.voters, now):
            self._revision += 1
            effects += self._kept.make_messages(self._revision, now)
        if self._stop_at is not None and self._can_stop(now):
            effects.append(StopCompleted())
        return effects

    def _register_idle_flows(self, now: float) -> None:
        """Register flows that callers keep open after their first request."""
        for key, flow in self._flows.list_idle(KEPT_IDLE_S, now):
            route = self.tables.find_route(key[6:])
            if route is not None and not route.is_repeatable:
                self._kept.add_candidate(key, flow, now)

    def _can_stop(self, now: float) -> bool:
        if now - self._stopping_since < MIN_STOP_S:
            return False
        return now >= self._stop_at or self._flows.busy == 0

    def _report(self, now: float, is_urgent: bool = True) -> Effects:
        """Send the report, as a poll, to the control hosts that are due."""
        return self._report_to(self.subscription.select_due(now, is_urgent), now)

    def _report_to(self, due: list[str], now: float) -> Effects:
        if not due:
            return []
        self._revision += 1
        self._reported_summary = self._summarize(now)
        upstream = self.gate.upstream
        numbers = [self.subscription.assign_number() for _ in due]
        if self.gate.is_gone:
            self._is_reported_empty = True
            self._unconfirmed_poll = 0
        elif self._is_reported_empty:
            self._is_reported_empty = False
            self._unconfirmed_poll = numbers[0]
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
            self.gate.is_gone,
            self.gate.incarnation,
            *self._summarize_work(now),
            self._packet_port,
        )
        index = self.tables.table.index
        return [
            SendPoll(Poll(index, 0, 0, False, False, report, number), host)
            for host, number in zip(due, numbers, strict=True)
        ]

    def _summarize_work(self, now: float) -> tuple[int, int, int]:
        """Return load level, mean service time and open flows for the report."""
        if not self.tables.places_by_cost:
            return 0, 0, 0
        work = self._flows.work
        level = work.update_level(now)
        return level, work.compute_work_ms(), self._flows.count_open()

    def _summarize(self, now: float) -> tuple:
        """Return the state whose changes are reported to control hosts at once."""
        gate = self.gate
        return (gate.service, gate.is_accepting(now), gate.is_cold(now), gate.is_gone)
