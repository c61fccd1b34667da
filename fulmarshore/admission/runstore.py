"""Records of the dispatches that an executor has received."""

from __future__ import annotations

import heapq
from collections import deque

from fulmarshore.admission.bounds import (
    COPY_LIFE_S,
    LARGE_BODY_LIFE_S,
    MAX_CLAIM_LIFE_S,
    MAX_KEPT_BODY_BYTES,
    MAX_RUNS_PER_ATTEMPT,
    MAX_TIMEOUT_S,
)
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Claim,
    Identity,
    Reason,
    Request,
    RunRequest,
    Verdict,
)


class Run:
    """A dispatch that the executor has queued, started or refused.

    ``run`` is the number of the dispatch, ``number`` that of the request.
    """

    __slots__ = (
        "flow",
        "caller",
        "number",
        "run",
        "idempotent",
        "request",
        "home",
        "address",
        "deadline",
        "start_by",
        "started_at",
        "cancel_at",
        "verdict",
        "reason",
        "body",
        "expires",
    )

    def __init__(self, message: RunRequest, address: Address, now: float) -> None:
        request = message.request
        self.flow = message.flow
        self.caller = request.caller
        self.number = request.number
        self.run = message.run
        self.idempotent = request.idempotent
        self.request: Request | None = request
        self.home = Identity(message.agent, message.incarnation)
        self.address = address
        self.deadline = now + request.timeout
        self.start_by = self.deadline
        self.started_at = 0.0
        self.cancel_at = float("inf")
        self.verdict: Verdict | None = None
        self.reason = ""
        self.body = b""
        self.expires = now + MAX_CLAIM_LIFE_S
        if request.idempotent:
            self.expires = self.deadline + COPY_LIFE_S


class RunStore:
    """Holds each dispatch for as long as a copy of it may still arrive."""

    __slots__ = ("_runs", "_expiry", "_large_bodies")

    def __init__(self) -> None:
        self._runs: dict[bytes, Run] = {}
        self._expiry: list[tuple[float, bytes]] = []
        self._large_bodies: deque[tuple[float, Run]] = deque()

    def find(self, flow: bytes) -> Run | None:
        """Return the dispatch of a request, or None."""
        return self._runs.get(flow)

    def add(self, run: Run) -> None:
        """Add a dispatch, in place of an older one of the same request."""
        self._runs[run.flow] = run
        heapq.heappush(self._expiry, (run.expires, run.flow))

    def record_body(self, run: Run, now: float) -> None:
        """Schedule the discarding of the body of a large answer."""
        if len(run.body) > MAX_KEPT_BODY_BYTES:
            self._large_bodies.append((now + LARGE_BODY_LIFE_S, run))

    def expire(self, running: dict[bytes, Run], now: float) -> None:
        """Discard large bodies, and dispatches of which no copy can still arrive.

        Parameters
        ----------
        running : dict of bytes to Run
            Requests that the upstream works on; they are kept.
        """
        while self._large_bodies and self._large_bodies[0][0] <= now:
            _, run = self._large_bodies.popleft()
            run.body, run.reason = b"", Reason.BODY_NOT_HELD
        while self._expiry and self._expiry[0][0] <= now:
            _, flow = heapq.heappop(self._expiry)
            run = self._runs.get(flow)
            if run is None:
                continue
            if run.expires > now:
                heapq.heappush(self._expiry, (run.expires, flow))
                continue
            if flow in running or run.verdict is None:
                run.expires = now + MAX_TIMEOUT_S
                heapq.heappush(self._expiry, (run.expires, flow))
                continue
            del self._runs[flow]

    def list_claims(
        self, buckets: set[int], executor: Identity, now: float
    ) -> list[Claim]:
        """Return the non-idempotent dispatches in some buckets, as sent to peers."""
        found: list[Claim] = []
        for run in self._runs.values():
            if run.idempotent or find_bucket(run.flow) not in buckets:
                continue
            found.append(_to_claim(run, executor, now))
        return found

    def list_all_claims(self, executor: Identity, now: float) -> list[Claim]:
        """Return all non-idempotent dispatches, as sent to peers."""
        held = self._runs.values()
        return [_to_claim(run, executor, now) for run in held if not run.idempotent]


def _to_claim(run: Run, executor: Identity, now: float) -> Claim:
    reason, body = run.reason, run.body
    if len(body) > MAX_KEPT_BODY_BYTES:
        reason, body = Reason.BODY_NOT_HELD, b""
    return Claim(
        run.flow,
        run.caller,
        run.number,
        run.run // MAX_RUNS_PER_ATTEMPT,
        run.verdict,
        reason,
        body,
        max(run.expires - now, 0.0),
        run.home.name,
        run.home.incarnation,
        0,
        0,
        executor.name,
        executor.incarnation,
        run.run,
    )
