"""Choice of the service of a new flow, where placement is by cost."""

from __future__ import annotations

from collections import Counter

from fulmarshore.direct.costs import Choice
from fulmarshore.direct.flows import Flow
from fulmarshore.direct.packets import Packet
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Route
from fulmarshore.direct.shares import ServiceShares, choose_service
from fulmarshore.direct.tables import TableIndex

MAX_BUSY_OFFERS = 3
"""Agents that may decline a flow for lack of a free slot before the one with the
earliest expected completion gets it: with half of the agents busy, one in eight flows
meets only busy ones."""
MAX_SERVICE_CHANGES = 2
"""Changes of the service of one opening: away from the drawn one, and back."""
MAX_START_S = 10.0
"""Longest wait for the drawn service on a route without an objective: longer than a
caller waits for any answer on the known platforms but for large downloads."""
FREE_WAIT_S = 0.002
"""Longest expected wait of a service with free capacity: the tolerance of costs."""


class ServiceChooser:
    """Chooses the service of a flow and the agent to offer it to.

    Parameters
    ----------
    placement : Placement
        Ranks the agents of a service.
    tables : TableIndex
        Index of the newest table.
    counters : Counter
        Counts diverted flows.
    """

    __slots__ = ("_placement", "_tables", "_counters", "_shares")

    def __init__(
        self, placement: Placement, tables: TableIndex, counters: Counter[str]
    ) -> None:
        self._placement = placement
        self._tables = tables
        self._counters = counters
        self._shares = ServiceShares()

    @property
    def owed_count(self) -> int:
        """Number of flows that services are owed by others of their routes."""
        return self._shares.owed_count

    def choose(
        self, packet: Packet, flow: Flow, route: Route, now: float
    ) -> Choice | None:
        """Choose the service of a flow and one of its agents; None if none is left.

        The drawn service gets the flow, unless another one is owed flows and is free,
        or only another one would start it within the latency objective.
        """
        weighted = [backend.service for backend in route.backends if backend.weight > 0]
        if flow.service not in weighted:
            drawn = choose_service(route, packet.flow)
            if drawn is None:
                return None
            flow.service = drawn
            flow.loads.clear()
            self._compensate(flow, route, now)
        is_zone_out = self._tables.is_zone_out
        choice = None
        if len(flow.loads) < MAX_BUSY_OFFERS:
            choice = self._placement.choose_by_cost(
                flow.service, flow.tried, now, is_zone_out
            )
        # A route may have no objective; a service without any agent is infinitely slow.
        longest_s = min(route.urgency.objective_s, MAX_START_S)
        if (
            len(weighted) < 2
            or (choice is not None and choice.starts_within(longest_s))
            or flow.service_changes >= MAX_SERVICE_CHANGES
            or self._estimate_start(flow, flow.service, now) <= longest_s
        ):
            return choice
        for service in self._shares.list_others(route, flow.service):
            if self._estimate_start(flow, service, now) > longest_s:
                continue
            diverted = self._placement.choose_by_cost(
                service, flow.tried, now, is_zone_out
            )
            if diverted is None:
                continue
            self._change_service(flow, route, service)
            self._counters["flows_diverted"] += 1
            return diverted
        return choice

    def _compensate(self, flow: Flow, route: Route, now: float) -> None:
        """Give a flow to a service that is owed flows by the drawn one and is free."""
        for service in self._shares.list_owed(route, flow.service):
            if self._estimate_start(flow, service, now) <= FREE_WAIT_S:
                self._change_service(flow, route, service)
                return

    def _change_service(self, flow: Flow, route: Route, service: str) -> None:
        self._shares.record_move(route, flow.service, service)
        flow.service = service
        flow.service_changes += 1
        flow.loads.clear()

    def _estimate_start(self, flow: Flow, service: str, now: float) -> float:
        """Return the expected wait of a flow at a service; infinite if none is left.

        Agents that declined it count with the wait that they reported.
        """
        refused = [host for host in flow.tried if host not in flow.loads]
        return self._placement.estimate_start(
            service, refused, now, self._tables.is_zone_out
        )
