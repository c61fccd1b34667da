"""Flows that an agent tracks, and the requests in progress in them.

Only the two ends read the data of a flow. A request is in progress from the first
packet with new data of the caller to the first packet with data of the upstream. An
admitted opening counts as a request until ``OPENING_TIMEOUT_S`` has passed.
"""

from __future__ import annotations

from collections import deque

from fulmarshore.direct.keptflows import KeptFlowTracker
from fulmarshore.direct.packets import ACK, NO_HOST, RST, Packet
from fulmarshore.direct.workmodel import WorkModel

MAX_FLOWS = 20_000
"""Tracked flows, ten times what an upstream holds, as some are unconfirmed."""
ENDED_LINGER_S = 3.0
"""How long an ended flow stays tracked for retransmissions."""
OPENING_TIMEOUT_S = 0.2
"""How long an admitted opening counts as a request in progress: a caller sends its
request as soon as it has the answer, and without an answer repeats the opening after
this time, at this agent or at another."""
REQUEST_TIMEOUT_S = 1.0
"""A request without an answer for this long counts as failed: five times the longest
service time on the known platforms."""
CALLER_ENDED = 1
UPSTREAM_ENDED = 2
BOTH_ENDED = CALLER_ENDED | UPSTREAM_ENDED
_SEQUENCE_SPACE = 1 << 32
"""Number of positions in a byte stream; positions wrap around."""


class AgentFlow:
    """State of a flow that an agent tracks.

    Parameters
    ----------
    now : float
        Time of its first packet at this agent.
    is_open : bool
        Whether the upstream is known to hold the flow: it has sent a packet of the
        flow other than an answer to the opening, or the caller has acknowledged that
        answer. An answer alone opens nothing; other upstreams may have sent one too.

    Attributes
    ----------
    is_busy, busy_since : bool, float
        Whether a request is in progress, and since when.
    is_timed_out : bool
        Whether that request was counted as unanswered.
    ended_sides : int
        CALLER_ENDED and UPSTREAM_ENDED, for the sides that have ended the flow.
    searching_host : bytes
        Host whose probe for the flow is not answered yet, or NO_HOST.
    received_end : int or None
        Position after the newest data of the caller; None before any.
    acknowledged : int
        Position that the caller last acknowledged, for a reset.
    answered : int or None
        Position that a caller acknowledges which takes the upstream's answer to the
        opening; None before that answer.
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
        "answered",
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
        self.answered: int | None = None

    def record_answer(self, packet: Packet) -> None:
        """Record the upstream's answer to the opening."""
        self.answered = (packet.sequence + 1) % _SEQUENCE_SPACE

    def record_acknowledgement(self, packet: Packet) -> None:
        """Record what a caller's packet acknowledges: it may end the handshake."""
        self.acknowledged = packet.acknowledged
        if packet.flags & (ACK | RST) == ACK and packet.acknowledged == self.answered:
            self.is_open = True

    def record_data(self, packet: Packet) -> bool:
        """Record the data of a caller's packet; return whether any of it is new."""
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
    """The tracked flows of one upstream.

    Parameters
    ----------
    kept : KeptFlowTracker, optional
        Gets the keys of flows that end.

    Attributes
    ----------
    busy : int
        Flows with a request in progress.
    work : WorkModel
        Model of the work at the upstream.
    """

    __slots__ = ("busy", "work", "_flows", "_kept", "_openings")

    def __init__(self, kept: KeptFlowTracker | None = None) -> None:
        self.busy = 0
        self.work = WorkModel()
        self._kept = kept if kept is not None else KeptFlowTracker()
        self._flows: dict[bytes, AgentFlow] = {}
        self._openings: deque[tuple[float, AgentFlow]] = deque()

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> AgentFlow | None:
        """Return a flow, or None if it is not tracked."""
        return self._flows.get(key)

    def admit(self, key: bytes, now: float) -> None:
        """Track a flow whose opening was admitted."""
        self.discard(key, now)
        flow = self._flows[key] = AgentFlow(now, False)
        self._count_request(flow, now)
        self.work.expect(flow, key[6:])
        self._openings.append((now + OPENING_TIMEOUT_S, flow))

    def add_unconfirmed(self, key: bytes, now: float) -> AgentFlow:
        """Return a new flow of which only the upstream knows whether it is open."""
        flow = AgentFlow(now, False)
        if len(self._flows) < MAX_FLOWS:
            self._flows[key] = flow
        return flow

    def add_open(self, key: bytes, now: float) -> AgentFlow:
        """Track a flow that the upstream is known to hold."""
        flow = self._flows[key] = AgentFlow(now, True)
        return flow

    def record_caller_data(self, flow: AgentFlow, packet: Packet, now: float) -> bool:
        """Record a caller's packet; new data starts a request.

        Returns
        -------
        is_later : bool
            Whether it starts a request that is not the first one seen on the flow.
        """
        is_first = flow.received_end is None
        if not flow.record_data(packet) or flow.ended_sides:
            return False
        is_later = not is_first and not flow.is_busy
        if is_first or is_later:
            self._count_request(flow, now)
            self.work.begin(flow, packet.service_address, now)
        return is_later

    def record_response(self, flow: AgentFlow, now: float) -> float | None:
        """Record data of the upstream; return the seconds its request took, if any."""
        if not flow.is_busy:
            return None
        flow.is_busy = False
        self.busy -= 1
        self.work.end(flow, now)
        return now - flow.busy_since

    def end_request(self, flow: AgentFlow, now: float) -> None:
        """End the request in progress in a flow without a response, if there is one."""
        if flow.is_busy:
            flow.is_busy = False
            self.busy -= 1
            self.work.abandon(flow, now)

    def discard(self, key: bytes, now: float) -> None:
        """Remove a flow, if it is tracked."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._kept.end(key)
            self.end_request(flow, now)

    def pop_all(self) -> list[tuple[bytes, AgentFlow]]:
        """Remove and return all flows."""
        flows = list(self._flows.items())
        self._flows.clear()
        self._openings.clear()
        self._kept.end_all()
        self.busy = 0
        self.work.drop_requests()
        return flows

    def expire_openings(self, now: float) -> None:
        """Stop counting openings as requests that no request has followed in time."""
        while self._openings and self._openings[0][0] <= now:
            _, flow = self._openings.popleft()
            if flow.received_end is None:
                self.end_request(flow, now)

    def count_open(self) -> int:
        """Return the number of flows that neither side has ended."""
        return sum(not flow.ended_sides for flow in self._flows.values())

    def list_idle(self, idle_s: float, now: float) -> list[tuple[bytes, AgentFlow]]:
        """Return the open flows without a packet for ``idle_s`` after a request."""
        return [
            (key, flow)
            for key, flow in self._flows.items()
            if flow.is_open
            and not flow.is_busy
            and flow.ended_sides == 0
            and flow.received_end is not None
            and now - flow.last_packet_at >= idle_s
        ]

    def sweep(self, idle_s: float, now: float) -> int:
        """Remove flows that ended, and those idle for longer than ``idle_s``.

        Returns
        -------
        unanswered : int
            Requests that have newly exceeded REQUEST_TIMEOUT_S.
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
                self.discard(key, now)
        return unanswered

    def _count_request(self, flow: AgentFlow, now: float) -> None:
        if not flow.is_busy:
            flow.is_busy = True
            flow.is_timed_out = False
            flow.busy_since = now
            self.busy += 1
