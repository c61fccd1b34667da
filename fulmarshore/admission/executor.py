"""The executor, which alone admits requests to the slots of its upstream.

It starts a dispatch at most once, keeps its own record of the dispatches that
it started or refused, and frees a slot only after the upstream has released it.
"""

from __future__ import annotations

from collections import Counter

from msgspec.structs import replace

from fulmarshore.admission.bounds import MAX_ANSWER_BYTES, MAX_CLAIM_LIFE_S
from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.admission.queue import FairQueue
from fulmarshore.admission.runstore import Run, RunStore
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import (
    Address,
    Claim,
    CloseUpstream,
    Effect,
    Identity,
    Member,
    Profile,
    Reason,
    Response,
    RunReply,
    RunRequest,
    SendPeer,
    SendUpstream,
    Verdict,
)

CANCEL_INTERVAL_S = 0.5
"""Time between two cancels of a request that the upstream still works on."""

SLOT_RELEASE_TIMEOUT_S = 20.0
"""Time after the deadline at which a slot is freed without the upstream's reply."""


class Executor:
    """Queues dispatches, starts them within the limit and reports their outcome.

    Parameters
    ----------
    member : Member
        The agent's own announcement.
    profile : Profile
        The profile of the service.
    """

    def __init__(self, member: Member, profile: Profile) -> None:
        self.member = member
        self._identity = Identity(member.name, member.incarnation)
        self.counters: Counter[str] = Counter()
        self.version = 0
        self.closed: Reason | None = None
        self.draining = False
        self.profile = profile
        self.queue: FairQueue[Run] = FairQueue(profile.queue_length)
        self.runs = RunStore()
        self.running: dict[bytes, Run] = {}
        self._stalled_at = float("-inf")
        self.limiter = ConcurrencyLimiter(
            self._count_slots(), profile.cold_share, profile.slow_start
        )

    def update(self, profile: Profile) -> None:
        """Apply the limits of the service's profile."""
        if profile == self.profile:
            return
        self.profile = profile
        self.queue.max_length = profile.queue_length
        self.limiter.configure(
            self._count_slots(), profile.cold_share, profile.slow_start
        )

    def _count_slots(self) -> int:
        slots = max(self.member.slots, 1)
        if self.profile.slots:
            slots = min(slots, self.profile.slots)
        return slots

    def count_used(self) -> int:
        """Return the number of running and queued requests."""
        return len(self.running) + len(self.queue)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a new dispatch would start at once."""
        if self.closed is not None or self.draining or len(self.queue):
            return False
        return self.limiter.has_room(len(self.running), now)

    def handle(
        self,
        message: RunRequest,
        source: Address,
        now: float,
        from_stale_home: bool = False,
    ) -> list[Effect]:
        """Process a dispatch, or another copy of one.

        Parameters
        ----------
        from_stale_home : bool
            Whether the sender is no longer the home of the bucket.
        """
        assert message.executor == self.member.name
        assert message.executor_incarnation == self.member.incarnation
        known = self.runs.find(message.flow)
        if known is not None and not self._can_replace(known, message):
            return self._handle_copy(known, message, source, now)
        run = Run(message, source, now)
        self.runs.add(run)
        if message.cancel:
            return self._record_outcome(run, Verdict.NOT_RUN, Reason.CANCELLED, b"")
        if from_stale_home:
            return self._record_outcome(run, Verdict.NOT_RUN, Reason.FENCED, b"")
        if self.closed is not None:
            return self._record_outcome(run, Verdict.NOT_RUN, self.closed, b"")
        if self.draining:
            return self._record_outcome(run, Verdict.NOT_RUN, Reason.DRAINING, b"")
        if message.request.timeout <= 0:
            return self._record_outcome(run, Verdict.NOT_RUN, Reason.EXPIRED, b"")
        return self._enqueue(run, now)

    def _can_replace(self, known: Run, message: RunRequest) -> bool:
        """Return whether a newer dispatch may replace a known one.

        A non-idempotent one is replaced only if it certainly has not run.
        """
        if message.run <= known.run or known.flow in self.running:
            return False
        if message.request.idempotent:
            return known.verdict is not None
        return known.verdict == Verdict.NOT_RUN

    def _handle_copy(
        self, known: Run, message: RunRequest, source: Address, now: float
    ) -> list[Effect]:
        known.home = Identity(message.agent, message.incarnation)
        known.address = source
        if not known.idempotent:
            known.expires = now + MAX_CLAIM_LIFE_S
        if not message.cancel or message.run < known.run or known.verdict is not None:
            return [self._reply(known)]
        if known.flow not in self.running:
            self.queue.remove(known)
            return self._record_outcome(known, Verdict.NOT_RUN, Reason.CANCELLED, b"")
        if known.cancel_at >= known.deadline:
            known.cancel_at = now
        return self._send_cancels(now)

    def _enqueue(self, run: Run, now: float) -> list[Effect]:
        # A request that can't be answered before its deadline is not started.
        last_start = run.deadline - self.limiter.estimate_service_time(now)
        run.start_by = min(last_start, now + self.profile.queue_timeout)
        if run.start_by <= now:
            return self._record_outcome(run, Verdict.NOT_RUN, Reason.EXPIRED, b"")
        if not len(self.queue) and self._try_acquire_slot(now):
            return [self._reply(run), *self._start(run, now)]
        if now + self._estimate_wait(run.caller, now) > run.start_by:
            return self._record_outcome(run, Verdict.NOT_RUN, Reason.FULL, b"")
        displaced = self.queue.push(run)
        effects: list[Effect] = []
        if displaced is not None:
            effects += self._record_outcome(
                displaced, Verdict.NOT_RUN, Reason.FULL, b""
            )
        if displaced is not run:
            effects.append(self._reply(run))
        return effects + self.start_queued(now)

    def _estimate_wait(self, caller: str, now: float) -> float:
        ahead = self.queue.count_ahead(caller)
        service_time = self.limiter.estimate_service_time(now)
        return ahead * service_time / max(self.limiter.limit, 1e-3)

    def _try_acquire_slot(self, now: float) -> bool:
        return self.limiter.try_acquire(len(self.running), now)

    def start_queued(self, now: float) -> list[Effect]:
        """Start queued requests within the limit, and drop expired ones."""
        effects: list[Effect] = []
        for run in self.queue.pop_expired(now):
            effects += self._record_outcome(run, Verdict.NOT_RUN, Reason.EXPIRED, b"")
        while len(self.queue) and self._try_acquire_slot(now):
            run = self.queue.pop()
            effects += self._start(run, now)
        return effects

    def _start(self, run: Run, now: float) -> list[Effect]:
        assert run.verdict is None, "the dispatch already has an outcome"
        assert run.started_at == 0.0, "the dispatch was already started"
        assert now < run.deadline, "the deadline has passed"
        assert len(self.running) < self._count_slots()
        assert self.closed is None
        run.started_at = now or 1e-9
        self.running[run.flow] = run
        run.cancel_at = run.deadline
        self.counters["runs_started"] += 1
        request = replace(run.request, timeout=run.deadline - now)
        return [SendUpstream(run.flow, encode(request))]

    def handle_answer(self, flow: bytes, payload: bytes, now: float) -> list[Effect]:
        """Process what the upstream sent on the socket of a request."""
        run = self.running.get(flow)
        response = decode_request(payload, self.member.name)
        if run is None or not isinstance(response, Response):
            return self._drop("unmatched_answer")
        if len(response.body) > MAX_ANSWER_BYTES:
            response = replace(response, reason=Reason.BODY_NOT_HELD, body=b"")
        request = run.request
        response_key = (
            response.service,
            response.caller,
            response.number,
            response.attempt,
        )
        if response_key != (
            request.service,
            request.caller,
            request.number,
            request.attempt,
        ):
            return self._drop("unmatched_answer")
        if response.verdict == Verdict.NOT_RUN and response.reason != Reason.CANCELLED:
            # Whatever reason the upstream states, it has shed the request.
            response = replace(response, reason=Reason.SHED)
            self.limiter.record_shed(len(self.running), now)
        elif response.verdict == Verdict.ANSWERED:
            self._record_service_time(run, now)
        return self._release_slot(
            run, response.verdict, response.reason, response.body, now
        )

    def record_stall(self, now: float) -> None:
        """Record that this process has just resumed after a stall."""
        self._stalled_at = now

    def _record_service_time(self, run: Run, now: float) -> None:
        """Adapt the limit, unless the time includes a stall of this process."""
        running = len(self.running)
        if run.started_at <= self._stalled_at:
            self.limiter.record_unmeasured_answer(running, now)
            return
        self.limiter.record_answer(running, now - run.started_at, now)

    def handle_upstream_gone(self, flow: bytes, now: float) -> list[Effect]:
        """Process the loss of the upstream's connection for a request."""
        run = self.running.get(flow)
        if run is None:
            return []
        self.limiter.record_upstream_crash(now)
        return self._release_slot(run, Verdict.UNKNOWN, Reason.UPSTREAM_GONE, b"", now)

    def _release_slot(
        self, run: Run, verdict: Verdict, reason: str, body: bytes, now: float
    ) -> list[Effect]:
        del self.running[run.flow]
        effects: list[Effect] = [CloseUpstream(run.flow)]
        if run.verdict is None or verdict == Verdict.ANSWERED:
            effects += self._record_outcome(run, verdict, reason, body)
        run.request = None
        self.runs.record_body(run, now)
        return effects + self.start_queued(now)

    def _record_outcome(
        self, run: Run, verdict: Verdict, reason: str, body: bytes
    ) -> list[Effect]:
        assert run.verdict in (None, Verdict.UNKNOWN), "the outcome is final"
        if run.started_at == 0.0:
            assert verdict == Verdict.NOT_RUN
        run.verdict = verdict
        run.reason = reason
        run.body = body
        if verdict == Verdict.NOT_RUN:
            self.counters[f"runs_refused_{reason}"] += 1
        else:
            self.counters[f"runs_{verdict}"] += 1
        reply = self._reply(run)
        if run.flow not in self.running:
            run.request = None
        return [reply]

    def _reply(self, run: Run) -> SendPeer:
        reply = RunReply(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.version,
            run.flow,
            run.run,
            run.verdict,
            run.reason,
            run.body,
            self.count_used(),
            self.limiter.limit,
        )
        return SendPeer(run.address, reply)

    def tick(self, now: float) -> list[Effect]:
        """Cancel requests past their deadline and discard expired records."""
        effects = self._send_cancels(now)
        effects += self.start_queued(now)
        self.runs.expire(self.running, now)
        return effects

    def _send_cancels(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for run in list(self.running.values()):
            if run.cancel_at > now:
                continue
            if now >= run.deadline and run.verdict is None:
                self.limiter.record_timeout(now - run.started_at, now)
                effects += self._record_outcome(
                    run, Verdict.UNKNOWN, Reason.EXPIRED, b""
                )
            if now >= run.deadline + SLOT_RELEASE_TIMEOUT_S:
                self.counters["slots_closed"] += 1
                released = self._release_slot(
                    run, Verdict.UNKNOWN, Reason.EXPIRED, b"", now
                )
                effects += released
                continue
            run.cancel_at = now + CANCEL_INTERVAL_S
            cancel = replace(run.request, cancel=True, body=b"", timeout=0.0)
            effects.append(SendUpstream(run.flow, encode(cancel)))
        return effects

    def close(self, reason: Reason, abort_running: bool) -> list[Effect]:
        """Refuse all queued requests and start no more.

        Parameters
        ----------
        abort_running : bool
            Whether to close running requests too; their outcome is unknown.
        """
        self.closed = reason
        effects: list[Effect] = []
        while (run := self.queue.pop()) is not None:
            effects += self._record_outcome(run, Verdict.NOT_RUN, reason, b"")
        if not abort_running:
            return effects
        for run in list(self.running.values()):
            del self.running[run.flow]
            effects.append(CloseUpstream(run.flow))
            if run.verdict is None:
                effects += self._record_outcome(run, Verdict.UNKNOWN, reason, b"")
        return effects

    def reopen(self, now: float) -> None:
        """Accept requests again, with a slow start of the upstream."""
        self.closed = None
        self.limiter.restart_slow_start(now)

    def list_claims(self, buckets: set[int], now: float) -> list[Claim]:
        """Return the non-idempotent dispatches in some buckets, as sent to peers."""
        return self.runs.list_claims(buckets, self._identity, now)

    def list_all_claims(self, now: float) -> list[Claim]:
        """Return all non-idempotent dispatches, as sent to peers."""
        return self.runs.list_all_claims(self._identity, now)

    def _drop(self, reason: str) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []
