"""How an entry host finds the agent of a flow that it does not remember."""

from __future__ import annotations

from collections import Counter

from fulmarshore.direct.directory import MISSING_RETENTION_S
from fulmarshore.direct.flows import Flow, FlowCache, Stage, make_rejection
from fulmarshore.direct.packets import NO_MARK, RST, Packet, mark_packet
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Decision, SendToAgent, Update
from fulmarshore.direct.searches import make_search
from fulmarshore.direct.tables import TableIndex

SEARCH_TIMEOUT_S = 0.15
"""How long a search has before the caller's next packet begins another: less
than the protocol's first interval between repetitions, 0.2 s."""
MAX_PENDING_PACKETS = 16
"""Packets that wait for a search; a caller has no more in flight."""
DIRECTORY_COMPLETE_S = 0.6
"""A control host that has listened to agents for this long, more than the
interval of their reports, knows all that are there."""

Effects = list


class FlowLookups:
    """Searches for flows, and resets those that nobody holds.

    Parameters
    ----------
    return_host : bytes
        Address of the entry host, four bytes.
    memory : FlowMemory
        The flows of the entry host.
    placement : Placement
        The agents.
    tables : TableIndex
        The newest table.
    counters : Counter
        Counts searches and resets.
    """

    __slots__ = (
        "_return_host",
        "_flows",
        "_placement",
        "_tables",
        "_counters",
        "_has_all_agents",
        "_missing_at",
    )

    def __init__(
        self,
        return_host: bytes,
        flows: FlowCache,
        placement: Placement,
        tables: TableIndex,
        counters: Counter[str],
    ) -> None:
        self._return_host = return_host
        self._flows = flows
        self._placement = placement
        self._tables = tables
        self._counters = counters
        self._has_all_agents = False
        self._missing_at: dict[str, float] = {}

    def handle_update(self, control: str, update: Update, now: float) -> None:
        """Learn how much a control host knows of agents."""
        if not update.directory:
            return
        self._missing_at[control] = now - update.missing_s
        if update.age_s >= DIRECTORY_COMPLETE_S:
            self._has_all_agents = True

    def discard_control(self, control: str) -> None:
        """Go on without a control host that is silent."""
        self._missing_at.pop(control, None)

    def start_search(self, packet: Packet, flow: Flow | None, now: float) -> Effects:
        """Search for the agent of a flow, first among those of its route."""
        if packet.flags & RST:
            return []
        route = self._tables.find_route(packet.service_address)
        if route is None:
            if not self._tables.is_known:
                return []
            return make_rejection(packet, "no_route", self._counters)
        if flow is not None and now - flow.search_started_at < SEARCH_TIMEOUT_S:
            if len(flow.pending) < MAX_PENDING_PACKETS:
                flow.pending.append(packet)
            return []
        flow = self._flows.add(packet.flow, Stage.SEARCHING, now)
        flow.search_started_at = now
        flow.pending.append(packet)
        self._counters["flows_sought"] += 1
        hosts: list[str] = []
        for backend in route.backends:
            hosts += self._placement.list_hosts(backend.service)
        return self._search_agents(flow, hosts, now) or self._search_other_services(
            flow, now
        )

    def handle_held(self, key: bytes, flow: Flow, host: str) -> Effects:
        """Go on with the agent that holds a flow."""
        self._flows.set_holder(flow, host)
        # The first packet reached the agent with the search.
        effects: Effects = [Decision("flow_found", host, key)]
        for packet in flow.pending[1:]:
            marked = mark_packet(packet, NO_MARK, self._return_host)
            effects.append(SendToAgent(marked, host))
        flow.pending.clear()
        return effects

    def handle_not_held(
        self, packet: Packet, flow: Flow, host: str, now: float
    ) -> Effects:
        """Go on without an agent that does not hold a flow."""
        self._counters["flows_missed"] += 1
        if host not in flow.agents:
            return []
        flow.agents.remove(host)
        if flow.agents:
            return []
        self._flows.discard(packet.flow)
        if not packet.flags:
            # A note: the caller's next packet begins the search.
            return []
        return self.start_search(packet, None, now)

    def handle_not_found(self, flow: Flow, now: float) -> Effects:
        """Ask the agents that are left, or conclude that nobody holds a flow."""
        if flow.stage is not Stage.SEARCHING or not flow.pending:
            return []
        return self._search_other_services(flow, now) or self._reject_not_found(
            flow.pending[0], now
        )

    def _search_agents(self, flow: Flow, hosts: list[str], now: float) -> Effects:
        """Let one of several agents ask all of them."""
        tried = [host for host in hosts if host not in flow.tried]
        if not tried:
            return []
        flow.tried += tried
        coordinator = self._placement.choose_responsive(tried, now)
        search = make_search(flow.pending[0], tried, self._return_host)
        return [SendToAgent(search, coordinator)]

    def _search_other_services(self, flow: Flow, now: float) -> Effects:
        """Ask agents of other services: a route may have led there before."""
        return self._search_agents(flow, self._placement.list_all_hosts(), now)

    def _reject_not_found(self, packet: Packet, now: float) -> Effects:
        """Reset a flow that every agent there is has denied."""
        self._flows.discard(packet.flow)
        missing_s = now - self._estimate_missing_at()
        if self._has_all_agents and missing_s >= MISSING_RETENTION_S:
            return make_rejection(packet, "not_held", self._counters)
        self._counters["flows_not_found"] += 1
        detail = (
            f"denied by all agents known, are these all: {self._has_all_agents}, "
            f"one missing for {missing_s:.1f} s"
        )
        return [Decision("flow_not_found", detail, packet.flow)]

    def _estimate_missing_at(self) -> float:
        """Return when an agent went missing, as half of the control hosts say.

        One that was down itself may wait for agents that have left meanwhile, and
        one with a new disk knows of none.
        """
        missing_times = sorted(self._missing_at.values(), reverse=True)
        return (
            missing_times[(len(missing_times) - 1) // 2]
            if missing_times
            else float("-inf")
        )
