"""Selection of an agent for each new flow, on an entry host.

A flow is offered to one agent at a time. An agent without a free slot declines;
after ``MAX_BUSY_OFFERS`` of these the least busy of them gets the flow. An agent that
may not admit the flow returns it. When no agent is left, the opening is parked for a
short time, since an agent may be starting.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from fulmarshore.direct.flows import Flow, FlowCache, Stage, make_rejection
from fulmarshore.direct.packets import (
    MARK_BUSY,
    MARK_OFFER,
    MARK_QUEUED,
    MARK_REFUSED_CLOSED,
    NO_LOAD_REPORT,
    NO_MARK,
    Packet,
    mark_packet,
    parse_load_report,
)
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Decision, Route, SendToAgent, Wake
from fulmarshore.direct.services import MAX_BUSY_OFFERS, ServiceChooser
from fulmarshore.direct.shares import choose_service
from fulmarshore.direct.tables import TableIndex
from fulmarshore.direct.transfers import UploadLimiter

MAX_OPEN_OFFERS = 3
"""Agents that may have an offer of the same flow at the same time."""
MAX_OFFERS_WITH_UNANSWERED = 6
"""The same limit after an offer was not answered: a failed zone may hold half of a
service, and the first three agents may all be in it."""
REPLY_TIMEOUT_S = 0.04
"""Time for an agent to reply to an offer before another agent is offered the opening
as well. It is ten times the longest round trip between availability zones and leaves
enough of the shortest known latency objective, 0.1 s."""
PARK_TIMEOUT_S = 0.6
"""How long an opening without an agent is parked before it is rejected: less than
half of the 1.4 s that a caller waits for an answer."""
MAX_PARKED = 2000


Effects = list


class ParkedOpening(Struct):
    """An opening that waits for an agent to become available."""

    packet: Packet
    deadline: float


class PendingOffer(Struct):
    """An offer that the agent has not replied to."""

    packet: Packet
    deadline: float
    offered_at: float


class EntryOpenings:
    """Offers the openings of callers to agents.

    Parameters
    ----------
    return_host : bytes
        Address of the entry host, four bytes.
    flows : FlowCache
        The flows of the entry host.
    placement : Placement
        Ranks the agents.
    tables : TableIndex
        Index of the newest table.
    counters : Counter
        Counts offers and rejections.
    uploads : UploadLimiter
        Limits the uploads in progress.
    """

    __slots__ = (
        "_return_host",
        "_flows",
        "_placement",
        "_tables",
        "_counters",
        "_uploads",
        "_parked",
        "_pending_offers",
        "_services",
        "_is_wake_scheduled",
    )

    def __init__(
        self,
        return_host: bytes,
        flows: FlowCache,
        placement: Placement,
        tables: TableIndex,
        counters: Counter[str],
        uploads: UploadLimiter,
    ) -> None:
        self._return_host = return_host
        self._flows = flows
        self._placement = placement
        self._tables = tables
        self._counters = counters
        self._uploads = uploads
        self._parked: dict[bytes, ParkedOpening] = {}
        self._pending_offers: dict[tuple[bytes, str], PendingOffer] = {}
        self._services = ServiceChooser(placement, tables, counters)
        self._is_wake_scheduled = False

    @property
    def owed_count(self) -> int:
        """Number of flows that services are owed by others of their routes."""
        return self._services.owed_count

    def handle_opening(self, packet: Packet, flow: Flow | None, now: float) -> Effects:
        """Offer a first opening; forward a repeated one to the agents that have it."""
        route = self._tables.find_route(packet.service_address)
        if route is None:
            if not self._tables.is_known:
                return []
            return make_rejection(packet, "no_route", self._counters)
        if flow is None:
            if self._uploads.applies_to(route):
                return self._handle_upload(packet, route, now)
            return self._open(packet, route, now)
        flow.last_packet_at = now
        marked = mark_packet(packet, NO_MARK, self._return_host)
        effects: Effects = [SendToAgent(marked, host) for host in flow.agents]
        if flow.stage is not Stage.OPENING or packet.acknowledged == 0:
            return effects
        if flow.is_queued:
            # If it is still queued at the next repetition, the agent is presumed lost.
            flow.is_queued = False
            return effects
        # The caller got no answer: a packet was lost, or the agent failed.
        self._counters["openings_repeated"] += 1
        for host in flow.agents:
            self._placement.record_unanswered(host, now)
        if len(flow.agents) < MAX_OPEN_OFFERS:
            effects += self._offer(packet, flow, route, now)
        return effects

    def _open(self, packet: Packet, route: Route, now: float) -> Effects:
        flow = self._flows.add(packet.flow, Stage.OPENING, now)
        return self._offer(packet, flow, route, now)

    # Uploads

    def _handle_upload(self, packet: Packet, route: Route, now: float) -> Effects:
        """Open the flow of an upload, let it wait for the link, or reject it."""
        if self._uploads.is_waiting(packet.flow):
            return []
        decision = self._uploads.handle_opening(packet, route, now)
        match decision.verdict:
            case "admitted":
                self._counters["uploads_admitted"] += 1
                return self._open(packet, route, now)
            case "waiting":
                self._counters["uploads_delayed"] += 1
                return [Decision("upload_delayed", decision.describe(), packet.flow)]
        return self._reject_upload(packet, decision.describe())

    def open_waiting(self, now: float) -> Effects:
        """Open the uploads that the link has room for; reject those past their time."""
        effects: Effects = []
        for packet in self._uploads.pop_ready(now):
            if self._flows.get(packet.flow) is not None:
                # The flow was opened otherwise while its first opening waited.
                self._uploads.discard(packet.flow)
                continue
            route = self._tables.find_route(packet.service_address)
            if route is None:
                effects += make_rejection(packet, "no_route", self._counters)
                self._uploads.discard(packet.flow)
                continue
            self._counters["uploads_admitted"] += 1
            effects += self._open(packet, route, now)
        for packet, waited_s in self._uploads.pop_expired(now):
            if self._flows.get(packet.flow) is None:
                detail = f"has waited for {waited_s * 1000:.0f} ms without room"
                effects += self._reject_upload(packet, detail)
        return effects

    def _reject_upload(self, packet: Packet, detail: str) -> Effects:
        self._counters["uploads_rejected"] += 1
        return [
            *make_rejection(packet, "no_link_room", self._counters),
            Decision("upload_rejected", detail, packet.flow),
        ]

    # Replies of agents

    def handle_refusal(
        self, packet: Packet, flow: Flow, host: str, now: float
    ) -> Effects:
        """Offer an opening that an agent refused to the next agent."""
        self._record_reply(packet.flow, host, now)
        self._counters["offers_refused"] += 1
        if packet.mark == MARK_REFUSED_CLOSED:
            self._placement.record_refusal(host, now)
        if packet.mark == MARK_BUSY:
            flow.loads[host] = packet.load
            if self._tables.places_by_cost:
                self._placement.record_decline(host, packet.load / 1000, now)
        if host in flow.agents:
            flow.agents.remove(host)
        if flow.stage is not Stage.OPENING:
            return []
        self._flows.unassign(flow)
        route = self._tables.find_route(packet.service_address)
        if route is None:
            return make_rejection(packet, "no_route", self._counters)
        return self._offer(packet, flow, route, now)

    def handle_notice(self, packet: Packet, flow: Flow, host: str, now: float) -> None:
        """Record that an agent has admitted or queued an opening."""
        is_queued = packet.mark == MARK_QUEUED
        if is_queued:
            flow.is_queued = True
        self._record_reply(packet.flow, host, now)
        if not self._tables.places_by_cost:
            return
        report = parse_load_report(packet)
        if is_queued or report != NO_LOAD_REPORT:
            self._placement.record_notice(host, report, is_queued, now)

    def _record_reply(self, key: bytes, host: str, now: float) -> None:
        """Record that an agent has replied to an offer."""
        offer = self._pending_offers.pop((key, host), None)
        if offer is None:
            return
        self._placement.record_offer_ended(host)
        self._placement.record_reply_time(host, now - offer.offered_at)

    def handle_wake(self, now: float) -> Effects:
        """Offer each opening whose reply is overdue to another agent as well."""
        self._is_wake_scheduled = False
        effects: Effects = []
        while self._pending_offers:
            (key, host), offer = next(iter(self._pending_offers.items()))
            if now < offer.deadline:
                break
            del self._pending_offers[key, host]
            self._placement.record_offer_ended(host)
            effects += self._offer_to_another(offer.packet, host, now)
        return effects + self._schedule_wake(now)

    def _schedule_wake(self, now: float) -> Effects:
        """Request a wake-up for the deadline of the oldest pending offer."""
        if self._is_wake_scheduled or not self._pending_offers:
            return []
        self._is_wake_scheduled = True
        oldest = next(iter(self._pending_offers.values()))
        return [Wake(max(0.0, oldest.deadline - now))]

    def _offer_to_another(self, packet: Packet, host: str, now: float) -> Effects:
        flow = self._flows.get(packet.flow)
        if flow is None or flow.stage is not Stage.OPENING or host not in flow.agents:
            return []
        self._counters["offers_unanswered"] += 1
        self._placement.record_unanswered(host, now)
        route = self._tables.find_route(packet.service_address)
        if route is None or len(flow.agents) >= MAX_OFFERS_WITH_UNANSWERED:
            return []
        return self._offer(packet, flow, route, now)

    def handle_queue_failure(
        self, packet: Packet, flow: Flow, host: str, now: float
    ) -> Effects:
        """Reject an opening that an agent could not queue or serve in time.

        The flow stays open while another agent still has an offer of it.
        """
        self._record_reply(packet.flow, host, now)
        if host in flow.agents:
            flow.agents.remove(host)
        if flow.stage is not Stage.OPENING or flow.agents:
            return []
        self._flows.discard(packet.flow)
        self._uploads.discard(packet.flow)
        return make_rejection(packet, "no_slot", self._counters)

    def retry_parked(self, now: float) -> Effects:
        """Offer parked openings again, and reject those past their deadline."""
        effects: Effects = []
        for key, parked in list(self._parked.items()):
            flow = self._flows.get(key)
            if flow is None or flow.stage is not Stage.OPENING:
                del self._parked[key]
                continue
            if flow.agents:
                # An offer is pending; after a refusal the opening stays parked.
                if now >= parked.deadline:
                    del self._parked[key]
                continue
            route = self._tables.find_route(parked.packet.service_address)
            if route is None or now >= parked.deadline:
                del self._parked[key]
                effects += self._reject_unplaced(parked.packet)
                continue
            flow.tried.clear()
            effects += self._offer(parked.packet, flow, route, now)
        return effects

    def _offer(self, packet: Packet, flow: Flow, route: Route, now: float) -> Effects:
        """Offer a flow to one more agent; park the opening if there is none."""
        if self._tables.places_by_cost:
            return self._offer_by_cost(packet, flow, route, now)
        service = choose_service(route, packet.flow)
        host = None
        if service is not None and len(flow.loads) < MAX_BUSY_OFFERS:
            host = self._placement.choose(
                service, flow.tried, now, self._tables.is_zone_out
            )
        mark = MARK_OFFER if packet.acknowledged == 0 else NO_MARK
        if host is None and flow.loads and not flow.agents:
            host = min(flow.loads, key=flow.loads.__getitem__)
            flow.loads.clear()
            mark = NO_MARK
        if host is None:
            return [] if flow.agents else self._park(packet, now)
        detail = f"{host} of {service}"
        return self._send_offer(packet, flow, host, mark, detail, now)

    def _offer_by_cost(
        self, packet: Packet, flow: Flow, route: Route, now: float
    ) -> Effects:
        """Offer a flow to the agent with the earliest expected completion."""
        choice = self._services.choose(packet, flow, route, now)
        mark = MARK_OFFER if packet.acknowledged == 0 else NO_MARK
        if choice is None and flow.loads and not flow.agents:
            # A wait of 0 contradicts the decline, so it ranks behind the others.
            declined = [host for host, wait_ms in flow.loads.items() if wait_ms]
            choice = self._placement.choose_declined(
                flow.service, declined or flow.loads, now, self._tables.is_zone_out
            )
            flow.loads.clear()
            mark = NO_MARK
        if choice is None:
            return [] if flow.agents else self._park(packet, now)
        host = choice.best.host
        detail = f"{host} of {flow.service}, {choice.describe()}"
        return self._send_offer(packet, flow, host, mark, detail, now)

    def _send_offer(
        self,
        packet: Packet,
        flow: Flow,
        host: str,
        mark: int,
        detail: str,
        now: float,
    ) -> Effects:
        """Send an offer to an agent, and await its reply."""
        flow.agents.append(host)
        flow.tried.append(host)
        self._flows.assign(flow, host)
        self._counters["flows_offered"] += 1
        if (packet.flow, host) not in self._pending_offers:
            self._placement.record_offer(host)
        self._pending_offers[packet.flow, host] = PendingOffer(
            packet, now + REPLY_TIMEOUT_S, now
        )
        detail += f", number {len(flow.tried)} asked"
        return [
            SendToAgent(mark_packet(packet, mark, self._return_host), host),
            Decision("flow_offered", detail, packet.flow),
            *self._schedule_wake(now),
        ]

    def _park(self, packet: Packet, now: float) -> Effects:
        """Park an opening until ``PARK_TIMEOUT_S`` has passed, or reject it."""
        if packet.flow in self._parked:
            return []
        if len(self._parked) >= MAX_PARKED:
            return self._reject_unplaced(packet)
        self._counters["openings_parked"] += 1
        self._parked[packet.flow] = ParkedOpening(packet, now + PARK_TIMEOUT_S)
        return []

    def _reject_unplaced(self, packet: Packet) -> Effects:
        self._flows.discard(packet.flow)
        self._uploads.discard(packet.flow)
        return make_rejection(packet, "no_agent", self._counters)
