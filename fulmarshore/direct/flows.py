"""What an entry host remembers of flows: hints only, their truth is elsewhere."""

from __future__ import annotations

import enum
from collections import Counter

from fulmarshore.direct.packets import Packet, make_reset
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Decision, SendToCaller
from fulmarshore.direct.tables import TableIndex

MAX_FLOWS = 50_000
"""Flows remembered, of some 500 bytes each; beyond it the oldest is forgotten,
and a search finds it again."""
ENDED_LINGER_S = 3.0
"""How long a flow that ended is remembered for packets sent again: longer than
two of the protocol's longest intervals between them, 1.6 s."""


class Stage(enum.Enum):
    """What an entry host knows of a flow."""

    OPENING = "opening"
    ESTABLISHED = "settled"
    SEARCHING = "sought"


class Flow:
    """What an entry host remembers of a flow.

    Parameters
    ----------
    stage : Stage
        What is known of it.
    now : float
        Time of its first packet here.

    Attributes
    ----------
    agents : list of str
        The agents that may hold it; one of them if that is known.
    asked : list of str
        Agents that got its opening, or were asked for it.
    counted : str or None
        The agent whose load it counts for.
    pending : list of Packet
        Packets that came since its search began.
    sought_at : float
        When its search began.
    loads : dict of str to int
        Requests under way at agents that declined it.
    is_waiting : bool
        Whether an agent said that its opening waits there.
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
        "loads",
        "is_waiting",
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
        self.loads: dict[str, int] = {}
        self.is_waiting = False


class FlowCache:
    """The flows that an entry host remembers, counted for their agents.

    Parameters
    ----------
    placement : Placement
        Where flows are counted.
    counters : Counter
        Counts flows that are forgotten for want of room.
    """

    __slots__ = ("_flows", "_placement", "_counters")

    def __init__(self, placement: Placement, counters: Counter[str]) -> None:
        self._flows: dict[bytes, Flow] = {}
        self._placement = placement
        self._counters = counters

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Return a flow, or None if it is not remembered."""
        return self._flows.get(key)

    def add(self, key: bytes, stage: Stage, now: float) -> Flow:
        """Remember a flow anew, in place of the oldest one if there are too many."""
        self.discard(key)
        flow = self._flows[key] = Flow(stage, now)
        if len(self._flows) > MAX_FLOWS:
            self.discard(next(iter(self._flows)))
            self._counters["flows_forgotten"] += 1
        return flow

    def discard(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.unassign(flow)

    def set_holder(self, flow: Flow, host: str) -> None:
        """Take an agent as the only one that holds a flow."""
        flow.agents = [host]
        flow.stage = Stage.ESTABLISHED
        if flow.assigned_host == host:
            return
        self.unassign(flow)
        if not flow.is_ended:
            self.assign(flow, host)

    def mark_ended(self, flow: Flow) -> None:
        """Note that an end of a flow has closed it."""
        flow.is_ended = True
        self.unassign(flow)

    def assign(self, flow: Flow, host: str) -> None:
        """Count a flow for an agent, unless it is counted for one."""
        if flow.assigned_host is None:
            flow.assigned_host = host
            self._placement.record_opened(host)

    def unassign(self, flow: Flow) -> None:
        """Count a flow for no agent any more."""
        if flow.assigned_host is not None:
            self._placement.record_ended(flow.assigned_host)
            flow.assigned_host = None

    def sweep(self, idle_s: float, now: float) -> None:
        """Forget flows that ended or never opened, and those silent for long."""
        for key, flow in list(self._flows.items()):
            expires_soon = flow.is_ended or flow.stage is Stage.OPENING
            limit = ENDED_LINGER_S if expires_soon else idle_s
            if now - flow.last_packet_at > limit:
                self.discard(key)

    def discard_unrouted(self, tables: TableIndex) -> None:
        """Forget flows whose route is gone; their next packet resets them."""
        for key in list(self._flows):
            if tables.find_route(key[6:]) is None:
                self.discard(key)


def make_rejection(packet: Packet, reason: str, counters: Counter[str]) -> list:
    """Return the effects that tell a caller that its flow is not served."""
    counters[f"rejected_{reason}"] += 1
    reset = make_reset(packet.flow, packet.acknowledged)
    return [
        SendToCaller(reset, packet.caller_host),
        Decision("flow_rejected", reason, packet.flow),
    ]
