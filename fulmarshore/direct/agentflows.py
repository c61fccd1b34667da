"""The flows that an agent remembers, and the requests under way in them.

Nobody but the two ends reads what a flow carries. A request is under way from
the first packet with new data of the caller to the first one with data of the
upstream; an opening that was let pass counts as one until its request is due.
"""

from __future__ import annotations

from collections import deque

from fulmarshore.direct.packets import NO_HOST, Packet

MAX_FLOWS = 20_000
"""Flows remembered, ten times what an upstream holds: some are only asked for."""
ENDED_LINGER_S = 3.0
"""How long a flow that ended is remembered for packets sent again."""
OPENING_TIMEOUT_S = 0.2
"""How long an opening counts as a request under way: the caller that got the
answer sends its request at once, and one that got none repeats the opening
after this time, at this agent or at another."""
REQUEST_TIMEOUT_S = 1.0
"""A request without any answer for so long counts as failed: the longest work of
the platforms known takes a fifth of that."""
CALLER_ENDED = 1
UPSTREAM_ENDED = 2
BOTH_ENDED = CALLER_ENDED | UPSTREAM_ENDED
_SEQUENCE_SPACE = 1 << 32
"""Positions in a flow's streams of bytes; after the last one comes the first."""


class AgentFlow:
    """What an agent remembers of a flow.

    Parameters
    ----------
    now : float
        Time of its first packet here.
    is_open : bool
        Whether the upstream is known to hold it.

    Attributes
    ----------
    is_busy, busy_since : bool, float
        Whether a request is under way, and since when.
    is_mute : bool
        Whether that request was counted as one without an answer.
    ends : int
        CALLER_ENDED and UPSTREAM_ENDED, as far as they have.
    asker : bytes
        The host that asked whether the flow is held here, until it is told.
    received : int or None
        Position behind the newest data of the caller; None before any.
    acknowledged : int
        What the caller acknowledged last, for a reset.
    """

    __slots__ = (
        "last_packet_at",
        "is_open",
        "is_busy",
        "is_timed_out",
        "busy_since",
        "ended_sides",
        "searching_host",
        "received_end",
        "acknowledged",
    )

    def __init__(self, now: float, is_open: bool) -> None:
        self.last_packet_at = now
        self.busy_since = now
        self.is_open = is_open
        self.is_busy = False
        self.is_timed_out = False
        self.ended_sides = 0
        self.searching_host = NO_HOST
        self.received_end: int | None = None
        self.acknowledged = 0

    def record_data(self, packet: Packet) -> bool:
        """Note the data of a caller's packet; whether any of it is new."""
        if not packet.length:
            return False
        end = (packet.sequence + packet.length) % _SEQUENCE_SPACE
        if self.received_end is not None:
            advance = (end - self.received_end) % _SEQUENCE_SPACE
            if advance == 0 or advance >= _SEQUENCE_SPACE // 2:
                return False
        self.received_end = end
        return True


class AgentFlows:
    """The flows of one upstream.

    Attributes
    ----------
    busy : int
        Flows with a request under way.
    """

    __slots__ = ("busy", "_flows", "_openings")

    def __init__(self) -> None:
        self.busy = 0
        self._flows: dict[bytes, AgentFlow] = {}
        self._openings: deque[tuple[float, AgentFlow]] = deque()

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> AgentFlow | None:
        """Return a flow, or None if it is not remembered."""
        return self._flows.get(key)

    def admit(self, key: bytes, now: float) -> None:
        """Remember a flow whose opening was let pass."""
        flow = self._flows[key] = AgentFlow(now, False)
        self._begin_request(flow, now)
        self._openings.append((now + OPENING_TIMEOUT_S, flow))

    def add_unconfirmed(self, key: bytes, now: float) -> AgentFlow:
        """Return a flow of which only the upstream knows whether it holds it."""
        flow = AgentFlow(now, False)
        if len(self._flows) < MAX_FLOWS:
            self._flows[key] = flow
        return flow

    def add_open(self, key: bytes, now: float) -> AgentFlow:
        """Remember a flow that the upstream was heard to hold."""
        flow = self._flows[key] = AgentFlow(now, True)
        return flow

    def record_caller_data(self, flow: AgentFlow, packet: Packet, now: float) -> None:
        """Note a request: data that the caller did not send before."""
        if flow.record_data(packet) and flow.ended_sides == 0:
            self._begin_request(flow, now)

    def record_response(self, flow: AgentFlow, now: float) -> float | None:
        """Note the upstream's data; how long its request took, if one waited."""
        if not flow.is_busy:
            return None
        self.end_request(flow)
        return now - flow.busy_since

    def end_request(self, flow: AgentFlow) -> None:
        """Note that no request is under way in a flow any more."""
        if flow.is_busy:
            flow.is_busy = False
            self.busy -= 1

    def discard(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.end_request(flow)

    def pop_all(self) -> list[tuple[bytes, AgentFlow]]:
        """Forget all flows, and return them."""
        flows = list(self._flows.items())
        self._flows.clear()
        self._openings.clear()
        self.busy = 0
        return flows

    def expire_openings(self, now: float) -> None:
        """Count no request for openings that none has followed in time."""
        while self._openings and self._openings[0][0] <= now:
            _, flow = self._openings.popleft()
            if flow.received_end is None:
                self.end_request(flow)

    def sweep(self, idle_s: float, now: float) -> int:
        """Forget flows that ended, and those without a packet for long.

        Returns
        -------
        unanswered : int
            Requests that have had no answer for too long, each counted once.
        """
        unanswered = 0
        for key, flow in list(self._flows.items()):
            is_timed_out = flow.is_busy and now - flow.busy_since > REQUEST_TIMEOUT_S
            if is_timed_out and flow.received_end is not None and not flow.is_timed_out:
                flow.is_timed_out = True
                unanswered += 1
            has_ended = flow.ended_sides == BOTH_ENDED or not flow.is_open
            limit = ENDED_LINGER_S if has_ended else idle_s
            if now - flow.last_packet_at > limit:
                self.discard(key)
        return unanswered

    def _begin_request(self, flow: AgentFlow, now: float) -> None:
        if not flow.is_busy:
            flow.is_busy = True
            flow.is_timed_out = False
            flow.busy_since = now
            self.busy += 1
