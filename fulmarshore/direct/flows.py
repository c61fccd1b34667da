"""Cache of the flows of an entry host; only upstreams know which flows exist."""

from __future__ import annotations

import enum
from collections import Counter

from fulmarshore.direct.packets import Packet, make_reset
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Decision, SendToCaller
from fulmarshore.direct.tables import TableIndex

MAX_FLOWS = 50_000
"""Cached flows, about 500 bytes each. Beyond this the oldest is evicted; a search
finds its agent again."""
ENDED_LINGER_S = 3.0
"""How long an ended flow stays cached for retransmissions, whose longest interval in
the protocol is 1.6 s."""


class Stage(enum.Enum):
    """State of a cached flow."""

    OPENING = "opening"
    ESTABLISHED = "settled"
    SEARCHING = "sought"


class Flow:
    """Cached state of a flow.

    Parameters
    ----------
    stage : Stage
        Initial state.
    now : float
        Time of the first packet on this host.

    Attributes
    ----------
    agents : list of str
        Agents that may hold the flow; only the holder once it is known.
    tried : list of str
        Agents that were offered the opening, or included in the search.
    assigned_host : str or None
        Host of the agent whose load includes the flow.
    pending : list of Packet
        Packets that arrived since the search started.
    search_started_at : float
        When the search started.
    coordinator : str
        Agent that coordinates the present search; empty before any.
    suspects : list of str
        Agents of the last search, if that had no result: one of them was silent.
    loads : dict of str to int
        Load that each declining agent reported: requests, or with placement by cost its
        expected wait in milliseconds.
    is_queued : bool
        Whether an agent has queued the opening.
    service : str
        Service that the flow was last offered to, where placement is by cost.
    service_changes : int
        How often that service has changed.
    """

    __slots__ = (
        "agents",
        "tried",
        "last_packet_at",
        "stage",
        "is_ended",
        "assigned_host",
        "pending",
        "search_started_at",
        "coordinator",
        "suspects",
        "loads",
        "is_queued",
        "service",
        "service_changes",
    )

    def __init__(self, stage: Stage, now: float) -> None:
        self.agents: list[str] = []
        self.tried: list[str] = []
        self.last_packet_at = now
        self.stage = stage
        self.is_ended = False
        self.assigned_host: str | None = None
        self.pending: list[Packet] = []
        self.search_started_at = float("-inf")
        self.coordinator = ""
        self.suspects: list[str] = []
        self.loads: dict[str, int] = {}
        self.is_queued = False
        self.service = ""
        self.service_changes = 0


class FlowCache:
    """The cached flows, each assigned to at most one agent as load.

    Parameters
    ----------
    placement : Placement
        Counts the flows of each agent.
    counters : Counter
        Counts evicted flows.
    """

    __slots__ = ("_flows", "_placement", "_counters")

    def __init__(self, placement: Placement, counters: Counter[str]) -> None:
        self._flows: dict[bytes, Flow] = {}
        self._placement = placement
        self._counters = counters

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Return a flow, or None if it is not cached."""
        return self._flows.get(key)

    def add(self, key: bytes, stage: Stage, now: float) -> Flow:
        """Add a flow, replacing an old entry; evict the oldest if the cache is full."""
        self.discard(key)
        flow = self._flows[key] = Flow(stage, now)
        if len(self._flows) > MAX_FLOWS:
            self.discard(next(iter(self._flows)))
            self._counters["flows_forgotten"] += 1
        return flow

    def discard(self, key: bytes) -> None:
        """Remove a flow, if it is cached."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.unassign(flow)

    def set_holder(self, flow: Flow, host: str) -> None:
        """Set the agent that holds a flow."""
        flow.agents = [host]
        flow.stage = Stage.ESTABLISHED
        if flow.assigned_host == host:
            return
        self.unassign(flow)
        if not flow.is_ended:
            self.assign(flow, host)

    def mark_ended(self, flow: Flow) -> None:
        """Mark a flow as closed by one of its ends; it no longer counts as load."""
        flow.is_ended = True
        self.unassign(flow)

    def assign(self, flow: Flow, host: str) -> None:
        """Count a flow as load of an agent, unless it is assigned already."""
        if flow.assigned_host is None:
            flow.assigned_host = host
            self._placement.record_opened(host)

    def unassign(self, flow: Flow) -> None:
        """Stop counting a flow as load of its agent."""
        if flow.assigned_host is not None:
            self._placement.record_ended(flow.assigned_host)
            flow.assigned_host = None

    def sweep(self, idle_s: float, now: float) -> None:
        """Remove flows that ended or never opened, and those idle for ``idle_s``."""
        for key, flow in list(self._flows.items()):
            expires_soon = flow.is_ended or flow.stage is Stage.OPENING
            limit = ENDED_LINGER_S if expires_soon else idle_s
            if now - flow.last_packet_at > limit:
                self.discard(key)

    def discard_unrouted(self, tables: TableIndex) -> None:
        """Remove flows whose route no longer exists; their next packet gets a reset."""
        for key in list(self._flows):
            if tables.find_route(key[6:]) is None:
                self.discard(key)


def make_rejection(packet: Packet, reason: str, counters: Counter[str]) -> list:
    """Return the effects that reset a flow at its caller and log the reason."""
    counters[f"rejected_{reason}"] += 1
    reset = make_reset(packet.flow, packet.acknowledged)
    return [
        SendToCaller(reset, packet.caller_host),
        Decision("flow_rejected", reason, packet.flow),
    ]
