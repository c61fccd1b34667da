"""A model of a request upstream that warms up, sheds load and crashes on overload.

Used in simulated time by tests of admission and by benches; it has no socket.
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from msgspec import Struct

from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import (
    Event,
    Reason,
    Request,
    UpstreamDatagram,
    UpstreamGone,
    Verdict,
)
from fulmarshore.core.responses import make_response

CONNECT_FAILURE_S = 0.05
"""Time until a connection attempt to an upstream that is down fails."""


class WorkModel(Struct, frozen=True):
    """Capacity and behaviour of a simulated upstream.

    Parameters
    ----------
    slots : int
        Requests that it can run concurrently when warm.
    service_s : float
        Mean service time when warm, in seconds.
    cold_share : float
        Share of the slots that it can use when cold.
    cold_factor : float
        Service time when cold divided by the one when warm.
    warm_up_s : float
        Time until it is warm, in seconds, if its load is always its capacity.
    spread : float
        Largest deviation of a service time from its mean, as a share.
    strain : float
        Accumulated work above capacity at which it crashes, in service times
        of all slots.
    restart_s : float
        Time that it is down after a crash, in seconds.
    sheds : bool
        Whether it refuses requests above half of that strain.
    """

    slots: int = 3
    service_s: float = 0.1
    cold_share: float = 0.1
    cold_factor: float = 3.0
    warm_up_s: float = 30.0
    spread: float = 0.2
    strain: float = 15.0
    restart_s: float = 3.0
    sheds: bool = False


class WorkUpstream:
    """Answers requests after a service time that depends on its warmth.

    ``handle_datagram`` returns events for the agent with their delays, so any
    simulated network can deliver them.
    """

    def __init__(self, name: str, model: WorkModel, random: Random) -> None:
        self.name = name
        self.model = model
        self.random = random
        self.warmth = 0.0
        self.overloads = 0
        self.finished = 0
        self.ran: Counter[tuple[str, int]] = Counter()
        self.seen: set[tuple[bytes, int]] = set()
        self._working: dict[bytes, tuple[Request, float]] = {}
        self._strain = 0.0
        self._updated_at = 0.0
        self._down_until = 0.0
        self._is_crashing = False

    def compute_capacity(self) -> float:
        """Return the number of concurrent requests that it can sustain."""
        cold = self.model.cold_share
        return self.model.slots * (cold + (1.0 - cold) * self.warmth)

    def is_down(self, now: float) -> bool:
        """Return whether it is down after a crash."""
        return now < self._down_until

    def compute_load(self) -> float:
        """Return the running requests divided by the capacity."""
        return len(self._working) / self.compute_capacity()

    def turn_cold(self) -> None:
        """Become cold without a crash."""
        self.warmth = 0.0

    def crash(self) -> None:
        """Crash at the next event, for a reason other than load."""
        self._is_crashing = True

    def handle_datagram(
        self, flow: bytes, payload: bytes, now: float
    ) -> list[tuple[float, Event]]:
        """Process a datagram of the agent; return events with delays in seconds."""
        request = decode_request(payload, self.name)
        assert isinstance(request, Request)
        closed = self._update_strain(now)
        if now < self._down_until:
            return [*closed, (CONNECT_FAILURE_S, UpstreamGone(flow))]
        if request.cancel:
            return [*closed, *self._cancel(flow, request)]
        if self.model.sheds and self._strain > 0.5 * self._compute_strain_limit():
            return [*closed, self._respond(flow, request, Verdict.NOT_RUN, b"", 0.001)]
        self.ran[request.caller, request.number] += 1
        self._working[flow] = (request, now)
        cold = 1.0 + (self.model.cold_factor - 1.0) * (1.0 - self.warmth)
        spread = self.random.uniform(1 - self.model.spread, 1 + self.model.spread)
        delay = self.model.service_s * cold * spread
        body = b"done:" + request.body
        return [*closed, self._respond(flow, request, Verdict.ANSWERED, body, delay)]

    def finish(self, event: Event, now: float) -> list[Event]:
        """Return the events for the agent when an answer is due.

        These are the answer, unless the work was lost or cancelled, and the end
        of every connection if the upstream crashes.
        """
        closed = [gone for _, gone in self._update_strain(now)]
        if not isinstance(event, UpstreamDatagram):
            return [event, *closed]
        response = decode_request(event.payload, self.name)
        if response.verdict != Verdict.ANSWERED:
            return [event, *closed]
        held = self._working.get(event.flow)
        if held is None or held[0].number != response.number:
            return closed
        del self._working[event.flow]
        self.finished += 1
        self._gain_warmth(now - held[1])
        return [event, *closed]

    def _gain_warmth(self, work: float) -> None:
        cold = self.model.cold_share
        span = self.model.slots * self.model.warm_up_s
        growth = -math.log(cold) / (1.0 - cold)
        self.warmth = min(self.warmth + growth * work / span, 1.0)

    def _cancel(self, flow: bytes, request: Request) -> list[tuple[float, Event]]:
        held = self._working.pop(flow, None)
        verdict = Verdict.NOT_RUN if held is None else Verdict.UNKNOWN
        response = make_response(request, verdict, Reason.CANCELLED)
        return [(0.001, UpstreamDatagram(flow, encode(response)))]

    def _respond(
        self, flow: bytes, request: Request, verdict: Verdict, body: bytes, delay: float
    ) -> tuple[float, Event]:
        reason = Reason.SHED if verdict == Verdict.NOT_RUN else ""
        response = make_response(request, verdict, reason, body)
        return delay, UpstreamDatagram(flow, encode(response))

    def _compute_strain_limit(self) -> float:
        return self.model.strain * self.model.service_s * self.model.slots

    def _update_strain(self, now: float) -> list[tuple[float, Event]]:
        """Update the strain; crash if it exceeds its limit."""
        passed = now - self._updated_at
        self._updated_at = now
        above = len(self._working) - self.compute_capacity() * 1.05
        self._strain = max(self._strain + above * passed, 0.0)
        if self._strain <= self._compute_strain_limit() and not self._is_crashing:
            return []
        self.overloads += not self._is_crashing
        self._is_crashing = False
        self._strain = 0.0
        self.warmth = 0.0
        self._down_until = now + self.model.restart_s
        gone = [(0.001, UpstreamGone(flow)) for flow in self._working]
        self._working.clear()
        return gone
