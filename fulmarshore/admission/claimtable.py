"""Claims that an agent holds, by request, each for a bounded time."""

from __future__ import annotations

import enum
import heapq
from collections import Counter

from fulmarshore.admission.bounds import (
    COPY_LIFE_S,
    MAX_CLAIMS,
    MAX_KEPT_BODY_BYTES,
    MAX_TOMBSTONES,
    find_claim_life,
)
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Claim,
    Identity,
    Reason,
    Request,
    Verdict,
)


class Stage(enum.Enum):
    """Stage of a claim at this agent."""

    REPLICATING = enum.auto()
    """A peer must hold the claim before the request is dispatched."""
    AWAITING_DISPATCH = enum.auto()
    """The request waits for its next dispatch."""
    RUNNING = enum.auto()
    """The request is dispatched to an executor."""
    REFUSING = enum.auto()
    """A peer must hold the tombstone before the refusal is sent."""
    REMOTE = enum.auto()
    """Another agent determines the outcome."""
    DONE = enum.auto()
    """The outcome is final."""


class ClaimState:
    """A claim with the state that its coordinator keeps to complete it."""

    __slots__ = (
        "flow",
        "caller",
        "number",
        "attempt",
        "request",
        "stage",
        "verdict",
        "reason",
        "body",
        "coordinator",
        "version",
        "sequence",
        "executor",
        "run",
        "source",
        "entry",
        "deadline",
        "expires",
        "due_at",
        "retries",
        "pending_peers",
        "send_count",
        "polls",
        "has_replied",
        "executor_gone_at",
        "term",
        "executor_address",
        "is_tombstone",
        "is_imported",
        "idempotent",
        "cancelled",
    )

    def __init__(
        self, flow: bytes, caller: str, number: int, coordinator: Identity
    ) -> None:
        self.flow = flow
        self.caller = caller
        self.number = number
        self.attempt = 0
        self.request: Request | None = None
        self.stage = Stage.REPLICATING
        self.verdict: Verdict | None = None
        self.reason = ""
        self.body = b""
        self.coordinator = coordinator
        self.version = 0
        self.sequence = 0
        self.executor: Identity | None = None
        self.run = 0
        self.source: Address | None = None
        self.entry = ""
        self.deadline = 0.0
        self.expires = 0.0
        self.due_at = 0.0
        self.retries = 0
        self.pending_peers: set[Identity] = set()
        self.send_count = 0
        self.polls = 0
        self.has_replied = False
        self.executor_gone_at = 0.0
        self.term = -1
        self.executor_address: Address | None = None
        self.idempotent = False
        self.is_tombstone = False
        self.is_imported = False
        self.cancelled = False

    def is_open(self) -> bool:
        """Return whether the claim has no final outcome yet."""
        return self.stage != Stage.DONE

    def extend(self, timeout: float, now: float) -> None:
        """Keep the claim for longer than a copy that has just arrived."""
        self.expires = max(self.expires, now + find_claim_life(timeout))
        assert self.expires >= now + timeout + COPY_LIFE_S

    def to_claim(self, now: float) -> Claim:
        """Return the claim as it is sent to peers."""
        verdict, reason, body = self.verdict, self.reason, self.body
        if self.stage != Stage.DONE and verdict != Verdict.NOT_RUN:
            verdict, reason, body = None, "", b""
        if len(body) > MAX_KEPT_BODY_BYTES:
            reason, body = Reason.BODY_NOT_HELD, b""
        executor = self.executor or Identity("", 0)
        return Claim(
            self.flow,
            self.caller,
            self.number,
            self.attempt,
            verdict,
            reason,
            body,
            max(self.expires - now, 0.0),
            self.coordinator.name,
            self.coordinator.incarnation,
            self.version,
            self.sequence,
            executor.name,
            executor.incarnation,
            self.run,
        )


class ClaimTable:
    """All claims of one agent; none is discarded before it expires.

    Parameters
    ----------
    max_claims, max_tombstones : int
        Claims at which new work is refused, and refusals kept beyond them.
    """

    __slots__ = (
        "claims",
        "_claims_by_caller",
        "_tombstones",
        "_tombstone_total",
        "_own_total",
        "_max_claims",
        "_max_tombstones",
        "_expiry",
    )

    def __init__(
        self, max_claims: int = MAX_CLAIMS, max_tombstones: int = MAX_TOMBSTONES
    ) -> None:
        self.claims: dict[bytes, ClaimState] = {}
        self._claims_by_caller: Counter[str] = Counter()
        self._tombstones: Counter[str] = Counter()
        self._tombstone_total = 0
        self._own_total = 0
        self._max_claims = max_claims
        self._max_tombstones = max_tombstones
        self._expiry: list[tuple[float, bytes]] = []

    def __len__(self) -> int:
        return len(self.claims)

    def find(self, flow: bytes) -> ClaimState | None:
        """Return the claim of a request, or None."""
        return self.claims.get(flow)

    def is_over_quota(self, caller: str) -> bool:
        """Return whether new work of a caller must be refused.

        A caller may hold as many claims as are left free, so that one that floods
        the table leaves room for others. Claims of other homes don't count, as
        they are limited where they were made.
        """
        return self._claims_by_caller[caller] >= self._max_claims - self._own_total

    def is_full(self, caller: str) -> bool:
        """Return whether not even a tombstone can be kept for a caller."""
        free = self._max_tombstones - self._tombstone_total
        return self.is_over_quota(caller) and self._tombstones[caller] >= free

    def add(self, state: ClaimState, is_tombstone: bool = False) -> None:
        """Add a claim for a request that has none.

        Parameters
        ----------
        is_tombstone : bool
            Whether the claim only blocks a request that was refused because the
            table is full; it is counted separately.
        """
        assert state.flow not in self.claims
        assert state.expires > 0
        self.claims[state.flow] = state
        state.is_tombstone = is_tombstone
        self._count(state, 1)
        heapq.heappush(self._expiry, (state.expires, state.flow))

    def _count(self, state: ClaimState, step: int) -> None:
        if state.is_imported:
            return
        counts = self._tombstones if state.is_tombstone else self._claims_by_caller
        if state.is_tombstone:
            self._tombstone_total += step
        else:
            self._own_total += step
        counts[state.caller] += step
        if not counts[state.caller]:
            del counts[state.caller]

    def expire(self, now: float) -> list[ClaimState]:
        """Discard the expired claims and return them."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            _, flow = heapq.heappop(self._expiry)
            state = self.claims.get(flow)
            if state is None:
                continue
            if state.expires > now:
                heapq.heappush(self._expiry, (state.expires, flow))
                continue
            if state.is_open() and state.stage != Stage.REMOTE:
                state.expires = now + COPY_LIFE_S
                heapq.heappush(self._expiry, (state.expires, flow))
                continue
            self._remove(state)
            expired.append(state)
        return expired

    def _remove(self, state: ClaimState) -> None:
        del self.claims[state.flow]
        self._count(state, -1)

    def list_claims(self, buckets: set[int], now: float) -> list[Claim]:
        """Return the non-idempotent claims in some buckets, as sent to peers."""
        found = []
        for state in self.claims.values():
            if state.idempotent or find_bucket(state.flow) not in buckets:
                continue
            found.append(state.to_claim(now))
        return found
