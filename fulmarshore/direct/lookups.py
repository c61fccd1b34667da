"""Search of an entry host for the agent of a flow that is not in its cache."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from fulmarshore.direct.directory import MISSING_RETENTION_S
from fulmarshore.direct.flows import Flow, FlowCache, Stage, make_rejection
from fulmarshore.direct.packets import NO_MARK, RST, Packet, mark_packet
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import (
    Decision,
    Route,
    SendPoll,
    SendToAgent,
    Update,
)
from fulmarshore.direct.searches import make_search
from fulmarshore.direct.subscription import DIRECTORY_COMPLETE_S, Subscription
from fulmarshore.direct.tables import TableIndex

SEARCH_TIMEOUT_S = 0.15
"""After this a packet of the caller starts a new search: less than the protocol's
first retransmission interval, 0.2 s."""
MAX_PENDING_PACKETS = 16
"""Packets kept during a search; a caller has no more in flight."""
CONFIRMATION_TIMEOUT_S = 0.05
"""After this a round of polls that confirms the agent directory is repeated. There is
one at a time: dead flows come by the hundred after an outage, and share a round."""

Effects = list


class DeniedFlow(Struct):
    """A flow that all agents that may hold flows have denied.

    Parameters
    ----------
    flow : Flow
        Its entry in the cache.
    key : bytes
        Key of the flow.
    denied_at : float
        When the last agent denied it.
    """

    flow: Flow
    key: bytes
    denied_at: float


class FlowLookups:
    """Searches for the agents of flows, and resets flows that no agent holds.

    Parameters
    ----------
    return_host : bytes
        Address of the entry host, four bytes.
    flows : FlowCache
        The flows of the entry host.
    placement : Placement
        The known agents.
    tables : TableIndex
        Index of the newest table.
    counters : Counter
        Counts searches and resets.
    subscription : Subscription
        Tells which polls a majority of the voters have received.
    make_poll : callable
        Returns the poll of a control host.
    """

    __slots__ = (
        "_subscription",
        "_make_poll",
        "_denied",
        "_round_number",
        "_round_at",
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
        subscription: Subscription,
        make_poll: Callable[[str], SendPoll],
    ) -> None:
        self._subscription = subscription
        self._make_poll = make_poll
        self._denied: list[DeniedFlow] = []
        self._round_number = 0
        self._round_at = float("-inf")
        self._return_host = return_host
        self._flows = flows
        self._placement = placement
        self._tables = tables
        self._counters = counters
        self._has_all_agents = False
        self._missing_at: dict[str, float] = {}

    def handle_update(self, control: str, update: Update, now: float) -> Effects:
        """Record how complete the agent directory of a control host is.

        Flows whose denial is complete now that the directory is confirmed are reset.
        """
        if not update.directory:
            return []
        self._missing_at[control] = now - update.missing_s
        if update.age_s >= DIRECTORY_COMPLETE_S:
            self._has_all_agents = True
        return self._finish_confirmed(now) if self._denied else []

    def discard_control(self, control: str) -> None:
        """Discard what an unresponsive control host reported."""
        self._missing_at.pop(control, None)

    def start_search(self, packet: Packet, flow: Flow | None, now: float) -> Effects:
        """Search for the agent of a flow, in the stages of ``_list_stages``.

        After a search without a result all agents of the route are searched at once:
        a silent one in this availability zone may have held up the first stage.
        """
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
        previous = flow if flow is not None and flow.stage is Stage.SEARCHING else None
        flow = self._flows.add(packet.flow, Stage.SEARCHING, now)
        flow.search_started_at = now
        flow.pending.append(packet)
        self._counters["flows_sought"] += 1
        first_stage = 0
        if previous is not None:
            flow.suspects = previous.tried
            first_stage = 1
        effects = self._search_next(flow, route, now, first_stage)
        return effects or self._await_confirmation(flow, packet, now)

    def handle_held(self, key: bytes, flow: Flow, host: str) -> Effects:
        """Forward the pending packets of a flow to the agent that holds it."""
        self._flows.set_holder(flow, host)
        # The agent got the first packet as part of the search.
        effects: Effects = [Decision("flow_found", host, key)]
        for packet in flow.pending[1:]:
            marked = mark_packet(packet, NO_MARK, self._return_host)
            effects.append(SendToAgent(marked, host))
        flow.pending.clear()
        return effects

    def handle_not_held(
        self, packet: Packet, flow: Flow, host: str, now: float
    ) -> Effects:
        """Remove an agent that does not hold a flow; search if none is left."""
        self._counters["flows_missed"] += 1
        if host not in flow.agents:
            return []
        flow.agents.remove(host)
        if flow.agents:
            return []
        self._flows.discard(packet.flow)
        if not packet.flags:
            # A notice carries no packet: the caller's next packet starts the search.
            return []
        return self.start_search(packet, None, now)

    def handle_not_found(self, flow: Flow, host: str, now: float) -> Effects:
        """Search the remaining agents, or finish the search if there are none.

        A late result of an earlier stage or search says nothing about the agents
        that are being searched now.
        """
        if flow.stage is not Stage.SEARCHING or not flow.pending:
            return []
        if host != flow.coordinator:
            self._counters["search_results_late"] += 1
            return []
        packet = flow.pending[0]
        route = self._tables.find_route(packet.service_address)
        if route is None:
            return make_rejection(packet, "no_route", self._counters)
        effects = self._search_next(flow, route, now)
        return effects or self._await_confirmation(flow, packet, now)

    def _await_confirmation(self, flow: Flow, packet: Packet, now: float) -> Effects:
        """Keep a denied flow until it is sure that all agents were searched."""
        if not self._placement.has_hosts():
            return []
        self._denied.append(DeniedFlow(flow, packet.flow, now))
        return self._start_round(now)

    def _start_round(self, now: float) -> Effects:
        """Ask all voters for the agents that may hold flows.

        An upstream that has started since is known to a majority of the voters before
        its agent admits a flow, so one of a majority that answers now knows of it.
        """
        is_under_way = not self._is_round_confirmed()
        if is_under_way and now - self._round_at < CONFIRMATION_TIMEOUT_S:
            return []
        polls = [self._make_poll(voter) for voter in self._subscription.voters]
        if not polls:
            return []
        self._round_at = now
        self._round_number = polls[0].poll.number
        self._denied = [
            denied
            for denied in self._denied
            if self._flows.get(denied.key) is denied.flow
        ]
        self._counters["directory_confirmations"] += 1
        return polls

    def _is_round_confirmed(self) -> bool:
        return self._subscription.is_confirmed(self._round_number, knows_all=True)

    def _finish_confirmed(self, now: float) -> Effects:
        """Finish the searches that ended before a round that is confirmed by now."""
        if not self._is_round_confirmed():
            return []
        effects: Effects = []
        remaining = []
        for denied in self._denied:
            flow = denied.flow
            if self._flows.get(denied.key) is not flow or not flow.pending:
                continue
            if denied.denied_at > self._round_at:
                remaining.append(denied)
                continue
            packet = flow.pending[0]
            route = self._tables.find_route(packet.service_address)
            if route is not None:
                found = self._search_next(flow, route, now)
                effects += found or self._finish_search(packet, now)
        self._denied = remaining
        return effects + self._start_round(now) if remaining else effects

    def _search_next(
        self, flow: Flow, route: Route, now: float, first_stage: int = 0
    ) -> Effects:
        """Search the agents of the next stage that has any that were not searched."""
        for hosts in self._list_stages(route)[first_stage:]:
            effects = self._search_agents(flow, hosts, now)
            if effects:
                return effects
        return []

    def _list_stages(self, route: Route) -> list[list[str]]:
        """Return the agents to search, in stages.

        New flows stay in the availability zone of their entry host as far as it has
        free slots, so most searches end there and cost no traffic between zones. The
        last stage is all agents, as the route may have changed its service.
        """
        services = [backend.service for backend in route.backends]
        placement = self._placement
        return [
            [host for name in services for host in placement.list_zone_hosts(name)],
            [host for name in services for host in placement.list_hosts(name)],
            placement.list_all_hosts(),
        ]

    def _search_agents(self, flow: Flow, hosts: list[str], now: float) -> Effects:
        """Search the agents not tried yet, by way of one that asks the others."""
        tried = [host for host in hosts if host not in flow.tried]
        if not tried:
            return []
        flow.tried += tried
        trusted = [host for host in tried if host not in flow.suspects]
        flow.coordinator = self._placement.choose_responsive(trusted or tried, now)
        search = make_search(flow.pending[0], tried, self._return_host)
        return [SendToAgent(search, flow.coordinator)]

    def _finish_search(self, packet: Packet, now: float) -> Effects:
        """Reset a flow that no agent holds, unless a missing agent may hold it."""
        self._flows.discard(packet.flow)
        missing_s = now - self._estimate_missing_at()
        if self._has_all_agents and missing_s >= MISSING_RETENTION_S:
            return make_rejection(packet, "not_held", self._counters)
        self._counters["flows_not_found"] += 1
        detail = (
            f"denied by all known agents, agent list complete: {self._has_all_agents}, "
            f"last agent missing for {missing_s:.1f} s"
        )
        return [Decision("flow_not_found", detail, packet.flow)]

    def _estimate_missing_at(self) -> float:
        """Return when the last agent went missing, as agreed by half the control hosts.

        A single control host may be wrong: after downtime it may count agents as
        missing that have left in the meantime, and with a new disk it knows of none.
        """
        times = sorted(self._missing_at.values(), reverse=True)
        return times[(len(times) - 1) // 2] if times else float("-inf")
