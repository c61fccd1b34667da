"""How an entry host finds the agent of a flow that it does not remember."""

from __future__ import annotations

from collections import Counter

from fulmarshore.direct.directory import MISSING_S
from fulmarshore.direct.flows import Flow, FlowMemory, Stage, make_rejection
from fulmarshore.direct.packets import NO_MARK, RST, Packet, mark_packet
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Decision, SendToAgent, Update
from fulmarshore.direct.searches import make_search
from fulmarshore.direct.tables import TableView

SEARCH_S = 0.15
"""How long a search has before the caller's next packet begins another: less
than the protocol's first interval between repetitions, 0.2 s."""
MAX_PENDING = 16
"""Packets that wait for a search; a caller has no more in flight."""
SETTLED_S = 0.6
"""A control host that has listened to agents for this long, more than the
interval of their reports, knows all that are there."""

Effects = list


class Lookups:
    """Searches for flows, and resets those that nobody holds.

    Parameters
    ----------
    return_host : bytes
        Address of the entry host, four bytes.
    memory : FlowMemory
        The flows of the entry host.
    placement : Placement
        The agents.
    tables : TableView
        The newest table.
    counters : Counter
        Counts searches and resets.
    """

    __slots__ = (
        "_return_host",
        "_memory",
        "_placement",
        "_tables",
        "_counters",
        "_knows_all",
        "_missing_at",
    )

    def __init__(
        self,
        return_host: bytes,
        memory: FlowMemory,
        placement: Placement,
        tables: TableView,
        counters: Counter[str],
    ) -> None:
        self._return_host = return_host
        self._memory = memory
        self._placement = placement
        self._tables = tables
        self._counters = counters
        self._knows_all = False
        self._missing_at: dict[str, float] = {}

    def learn(self, control: str, update: Update, now: float) -> None:
        """Learn how much a control host knows of agents."""
        if not update.directory:
            return
        self._missing_at[control] = now - update.missing_s
        if update.age_s >= SETTLED_S:
            self._knows_all = True

    def forget_control(self, control: str) -> None:
        """Go on without a control host that is silent."""
        self._missing_at.pop(control, None)

    def seek(self, packet: Packet, flow: Flow | None, now: float) -> Effects:
        """Search for the agent of a flow, first among those of its route."""
        if packet.flags & RST:
            return []
        route = self._tables.find_route(packet.service_address)
        if route is None:
            if not self._tables.is_known:
                return []
            return make_rejection(packet, "no_route", self._counters)
        if flow is not None and now - flow.sought_at < SEARCH_S:
            if len(flow.pending) < MAX_PENDING:
                flow.pending.append(packet)
            return []
        flow = self._memory.begin(packet.flow, Stage.SOUGHT, now)
        flow.sought_at = now
        flow.pending.append(packet)
        self._counters["flows_sought"] += 1
        hosts: list[str] = []
        for backend in route.backends:
            hosts += self._placement.list_hosts(backend.service)
        return self._ask(flow, hosts, now) or self._ask_others(flow, now)

    def take_holder(self, key: bytes, flow: Flow, host: str) -> Effects:
        """Go on with the agent that holds a flow."""
        self._memory.settle(flow, host)
        # The first packet reached the agent with the search.
        effects: Effects = [Decision("flow_found", host, key)]
        for packet in flow.pending[1:]:
            marked = mark_packet(packet, NO_MARK, self._return_host)
            effects.append(SendToAgent(marked, host))
        flow.pending.clear()
        return effects

    def take_miss(self, packet: Packet, flow: Flow, host: str, now: float) -> Effects:
        """Go on without an agent that does not hold a flow."""
        self._counters["flows_missed"] += 1
        if host not in flow.agents:
            return []
        flow.agents.remove(host)
        if flow.agents:
            return []
        self._memory.forget(packet.flow)
        if not packet.flags:
            # A note: the caller's next packet begins the search.
            return []
        return self.seek(packet, None, now)

    def take_denial(self, flow: Flow, now: float) -> Effects:
        """Ask the agents that are left, or conclude that nobody holds a flow."""
        if flow.stage is not Stage.SOUGHT or not flow.pending:
            return []
        return self._ask_others(flow, now) or self._conclude(flow.pending[0], now)

    def _ask(self, flow: Flow, hosts: list[str], now: float) -> Effects:
        """Let one of several agents ask all of them."""
        asked = [host for host in hosts if host not in flow.asked]
        if not asked:
            return []
        flow.asked += asked
        in_charge = self._placement.choose_any(asked, now)
        search = make_search(flow.pending[0], asked, self._return_host)
        return [SendToAgent(search, in_charge)]

    def _ask_others(self, flow: Flow, now: float) -> Effects:
        """Ask agents of other services: a route may have led there before."""
        return self._ask(flow, self._placement.list_all_hosts(), now)

    def _conclude(self, packet: Packet, now: float) -> Effects:
        """Reset a flow that every agent there is has denied."""
        self._memory.forget(packet.flow)
        missing_s = now - self._find_missing_at()
        if self._knows_all and missing_s >= MISSING_S:
            return make_rejection(packet, "not_held", self._counters)
        self._counters["flows_not_found"] += 1
        detail = (
            f"denied by all agents known, are these all: {self._knows_all}, "
            f"one missing for {missing_s:.1f} s"
        )
        return [Decision("flow_not_found", detail, packet.flow)]

    def _find_missing_at(self) -> float:
        """Return when an agent went missing, as half of the control hosts say.

        One that was down itself may wait for agents that have left meanwhile, and
        one with a new disk knows of none.
        """
        told = sorted(self._missing_at.values(), reverse=True)
        return told[(len(told) - 1) // 2] if told else float("-inf")
