"""Core of an entry host: forwards each packet of a caller to an agent.

An entry host sees only the packets of callers. It caches which agent accepted a flow,
and searches for the agent of a flow that is not in the cache.
"""

from __future__ import annotations

import socket
from collections import Counter
from random import Random

from fulmarshore.direct.directory import KnownAgents
from fulmarshore.direct.flows import FlowCache, Stage, make_rejection
from fulmarshore.direct.lookups import FlowLookups
from fulmarshore.direct.openings import EntryOpenings
from fulmarshore.direct.packets import (
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_HELD,
    MARK_NOT_FOUND,
    MARK_NOT_HELD,
    MARK_PROBE,
    MARK_QUEUE_FAILED,
    MARK_QUEUED,
    MARK_REFUSED,
    MARK_REFUSED_CLOSED,
    NO_MARK,
    Packet,
    mark_packet,
    parse_packet,
)
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import (
    AgentReport,
    CallerPacket,
    Decision,
    Poll,
    ReturnedPacket,
    SendPoll,
    SendToAgent,
    StopCompleted,
    Stopping,
    Ticked,
    UpdateReceived,
    Woken,
)
from fulmarshore.direct.subscription import Subscription
from fulmarshore.direct.tables import TableIndex
from fulmarshore.direct.transfers import UploadLimiter

SWEEP_INTERVAL_S = 1.0
STOP_WAIT_S = 1.25
"""How long packets are forwarded after readiness is withdrawn: two failed probes,
at two a second, and the packets in flight. A longer wait would leave fewer hosts of
a zone in rotation during a rolling restart."""
STOP_GRACE_SHARE = 1 / 2
"""Largest share of the grace period that the wait may take."""
REFUSAL_MARKS = (MARK_BUSY, MARK_REFUSED, MARK_REFUSED_CLOSED)

Effects = list


class EntryCore:
    """Forwards callers' packets to agents.

    Parameters
    ----------
    host : str
        This host's address.
    zone : str
        Its availability zone.
    seeds : list of str
        Control hosts from the settings.
    random : Random
        Source of random choices.
    grace_s : float
        Seconds between the stop signal and the kill of the process.
    placement : str
        What new flows are placed by, one of ``settings.PLACEMENTS``.
    upload_bytes_per_s : float
        Rate of the link that uploads are limited to, bytes a second; 0 for no limit.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: list[str],
        random: Random,
        grace_s: float = 6.0,
        placement: str = "auto",
        upload_bytes_per_s: float = 0.0,
    ) -> None:
        self.host = host
        self.counters: Counter[str] = Counter()
        self.tables = TableIndex(placement)
        self.agents = KnownAgents()
        self.subscription = Subscription(seeds, random.getrandbits(48) + 1)
        self._stop_wait_s = min(STOP_WAIT_S, grace_s * STOP_GRACE_SHARE)
        self._return_host = socket.inet_aton(host)
        self._placement = Placement(zone, random, self.tables)
        self._flows = FlowCache(self._placement, self.counters)
        shared = (self._flows, self._placement, self.tables, self.counters)
        self._uploads = UploadLimiter(upload_bytes_per_s)
        self._openings = EntryOpenings(self._return_host, *shared, self._uploads)
        self._lookups = FlowLookups(
            self._return_host, *shared, self.subscription, self._make_poll
        )
        self._ended_hosts: set[str] = set()
        self._last_sweep_at = float("-inf")
        self._stop_at: float | None = None

    @property
    def placement(self) -> Placement:
        """Ranking of the agents, for explanations."""
        return self._placement

    @property
    def uploads(self) -> UploadLimiter:
        """Limit on uploads, for explanations."""
        return self._uploads

    @property
    def is_ready(self) -> bool:
        """Whether the fabric should route callers' packets to this host."""
        return self._stop_at is None and self.tables.is_known and len(self.agents) > 0

    @property
    def flow_count(self) -> int:
        """Number of cached flows."""
        return len(self._flows)

    def read_cost_gauges(self) -> dict[str, float]:
        """Return the estimates of placement by cost for the metrics."""
        return {
            "hop_ms": 1000 * max(self._placement.costs.hops.values()),
            "flows_owed": self._openings.owed_count,
        }

    def handle(self, event: object, now: float) -> Effects:
        """Process one event and return its effects."""
        match event:
            case CallerPacket(content=content):
                return self._forward(content, now)
            case ReturnedPacket(content=content, host=host):
                return self._handle_returned(content, host, now)
            case Ticked():
                return self._handle_tick(now)
            case Woken():
                return self._openings.handle_wake(now)
            case UpdateReceived():
                return self._handle_update(event, now)
            case Stopping():
                if self._stop_at is None:
                    self._stop_at = now + self._stop_wait_s
                return [Decision("stopping", f"{len(self._flows)} flows")]
        raise TypeError(f"unexpected event {event!r}")

    # Packets

    def _forward(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        flow = self._flows.get(packet.flow)
        if packet.is_opening:
            return self._openings.handle_opening(packet, flow, now)
        effects = self._record_for_uploads(packet, now)
        if flow is None or not flow.agents:
            return effects + self._lookups.start_search(packet, flow, now)
        flow.last_packet_at = now
        if len(flow.agents) == 1:
            flow.stage = Stage.ESTABLISHED
        if packet.is_ending:
            self._flows.mark_ended(flow)
        if len(flow.agents) == 1 and flow.agents[0] in self._ended_hosts:
            self._flows.discard(packet.flow)
            return effects + make_rejection(packet, "upstream_ended", self.counters)
        mark = NO_MARK if len(flow.agents) == 1 else MARK_PROBE
        marked = mark_packet(packet, mark, self._return_host)
        return [SendToAgent(marked, host) for host in flow.agents] + effects

    def _record_for_uploads(self, packet: Packet, now: float) -> Effects:
        """Record what a packet puts on the link; the end of an upload makes room."""
        if not self.tables.has_uploads:
            return []
        route = self.tables.find_route(packet.service_address)
        if not self._uploads.applies_to(route):
            self._uploads.record_other(len(packet.content))
            return []
        if not self._uploads.record_packet(packet, now):
            return []
        return self._openings.open_waiting(now)

    def _handle_returned(self, content: bytes, host: str, now: float) -> Effects:
        """Process a packet or a notice that an agent returned."""
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        flow = self._flows.get(packet.flow)
        if flow is None:
            return []
        if packet.mark == MARK_HELD:
            holder = socket.inet_ntoa(packet.return_host)
            return self._lookups.handle_held(packet.flow, flow, holder)
        if packet.mark == MARK_NOT_HELD:
            return self._lookups.handle_not_held(packet, flow, host, now)
        if packet.mark == MARK_NOT_FOUND:
            return self._lookups.handle_not_found(flow, host, now)
        if packet.mark in (MARK_ADMITTED, MARK_QUEUED):
            self._openings.handle_notice(packet, flow, host, now)
            return []
        if packet.mark == MARK_QUEUE_FAILED:
            return self._openings.handle_queue_failure(packet, flow, host, now)
        if packet.mark in REFUSAL_MARKS:
            return self._openings.handle_refusal(packet, flow, host, now)
        self.counters["packets_malformed"] += 1
        return []

    # Updates of control hosts, and ticks

    def _handle_update(self, received: UpdateReceived, now: float) -> Effects:
        host, update = received.host, received.update
        effects: Effects = []
        if self.subscription.record_update(host, update, now):
            effects.append(Decision("control_heard", host))
        effects += [
            self._make_poll(new) for new in self.subscription.select_unpolled(now)
        ]
        if decisions := self.tables.handle_update(received):
            effects += decisions
            self._flows.discard_unrouted(self.tables)
        if self.subscription.should_request_table(
            update.index > self.tables.table.index, now
        ):
            effects.append(self._make_poll(host, wants_table=True))
        for change in self.agents.apply_update(host, update):
            effects.append(self._apply_agent_change(change, now))
        self._ended_hosts.update(update.ended)
        effects += self._lookups.handle_update(host, update, now)
        return effects + self._openings.retry_parked(now)

    def _apply_agent_change(self, change: AgentReport | str, now: float) -> Decision:
        if isinstance(change, str):
            self._placement.remove(change)
            return Decision("agent_gone", change)
        self._placement.record_report(change, now)
        self._ended_hosts.discard(change.host)
        detail = (
            f"{change.host}, service {change.service or 'unknown'}, "
            f"accepting {change.is_accepting}, cold {change.is_cold}"
        )
        return Decision("agent_known", detail)

    def _handle_tick(self, now: float) -> Effects:
        effects: Effects = []
        for host in self.subscription.select_due(now):
            effects.append(self._make_poll(host))
        for host in self.subscription.pop_unresponsive(now):
            effects.append(Decision("control_silent", host))
            self._lookups.discard_control(host)
            for change in self.agents.discard_control(host):
                effects.append(self._apply_agent_change(change, now))
        effects += self._openings.retry_parked(now)
        if self.tables.has_uploads or self._uploads.waiting_count:
            self._uploads.measure(now)
            effects += self._openings.open_waiting(now)
        if now - self._last_sweep_at >= SWEEP_INTERVAL_S:
            self._last_sweep_at = now
            self.subscription.expire_unresponsive(now)
            self._flows.sweep(self.tables.table.idle_timeout_s, now)
            self._uploads.sweep(now, self.tables.table.idle_timeout_s)
        if self._stop_at is not None and now >= self._stop_at:
            effects.append(StopCompleted())
        return effects

    def _make_poll(self, host: str, wants_table: bool = False) -> SendPoll:
        directory, revision = self.agents.get_position(host)
        index = self.tables.table.index
        number = self.subscription.assign_number()
        poll = Poll(index, directory, revision, True, wants_table, None, number)
        return SendPoll(poll, host)
