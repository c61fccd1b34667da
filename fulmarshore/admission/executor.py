"""The executor: the only gate of its upstream's slots.

It starts a hand-over at most once, remembers by itself what it has started
or barred, and frees a slot only when the upstream has really let go.
"""

from __future__ import annotations

from collections import Counter

from msgspec.structs import replace

from fulmarshore.admission.bounds import MAX_ANSWER_BYTES, MAX_CLAIM_LIFE_S
from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.admission.queue import FairQueue
from fulmarshore.admission.runmemory import Run, RunMemory
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
"""Time between two cancels to an upstream that has not let go."""

LET_GO_S = 20.0
"""A slot whose upstream is silent for this long after the deadline is closed."""


class Executor:
    """Queues hand-overs, starts them within the limit and tells the outcome.

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
        self.memory = RunMemory()
        self.working: dict[bytes, Run] = {}
        self.limiter = ConcurrencyLimiter(
            self._find_slots(), profile.cold_share, profile.slow_start
        )

    def follow(self, profile: Profile) -> None:
        """Take the bounds of the service's profile."""
        if profile == self.profile:
            return
        self.profile = profile
        self.queue.length = profile.queue_length
        self.limiter.configure(
            self._find_slots(), profile.cold_share, profile.slow_start
        )

    def _find_slots(self) -> int:
        slots = max(self.member.slots, 1)
        if self.profile.slots:
            slots = min(slots, self.profile.slots)
        return slots

    def count_used(self) -> int:
        """Return the requests in work and in the queue."""
        return len(self.working) + len(self.queue)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a hand-over would start at once."""
        if self.closed is not None or self.draining or len(self.queue):
            return False
        return self.limiter.has_room(len(self.working), now)

    def take(
        self, message: RunRequest, source: Address, now: float, barred: bool = False
    ) -> list[Effect]:
        """Take a hand-over, or another copy of one.

        Parameters
        ----------
        barred : bool
            The sender is not the home of the bucket any more.
        """
        assert message.executor == self.member.name
        assert message.executor_incarnation == self.member.incarnation
        held = self.memory.find(message.flow)
        if held is not None and not self._may_replace(held, message):
            return self._take_copy(held, message, source, now)
        run = Run(message, source, now)
        self.memory.add(run)
        if message.cancel:
            return self._end(run, Verdict.NOT_RUN, Reason.CANCELLED, b"")
        if barred:
            return self._end(run, Verdict.NOT_RUN, Reason.FENCED, b"")
        if self.closed is not None:
            return self._end(run, Verdict.NOT_RUN, self.closed, b"")
        if self.draining:
            return self._end(run, Verdict.NOT_RUN, Reason.DRAINING, b"")
        if message.request.timeout <= 0:
            return self._end(run, Verdict.NOT_RUN, Reason.EXPIRED, b"")
        return self._enqueue(run, now)

    def _may_replace(self, held: Run, message: RunRequest) -> bool:
        """Only what is certain not to have run makes way for a newer hand-over."""
        if message.run <= held.run or held.flow in self.working:
            return False
        if message.request.idempotent:
            return held.verdict is not None
        return held.verdict == Verdict.NOT_RUN

    def _take_copy(
        self, held: Run, message: RunRequest, source: Address, now: float
    ) -> list[Effect]:
        held.home = Identity(message.agent, message.incarnation)
        held.address = source
        if not held.idempotent:
            held.expires = now + MAX_CLAIM_LIFE_S
        if not message.cancel or message.run < held.run or held.verdict is not None:
            return [self._reply(held)]
        if held.flow not in self.working:
            self.queue.remove(held)
            return self._end(held, Verdict.NOT_RUN, Reason.CANCELLED, b"")
        if held.cancel_at >= held.deadline:
            held.cancel_at = now
        return self._send_cancels(now)

    def _enqueue(self, run: Run, now: float) -> list[Effect]:
        # Work that can't be answered in time is not worth starting.
        last_start = run.deadline - self.limiter.baseline
        run.leave_at = min(last_start, now + self.profile.queue_timeout)
        if run.leave_at <= now:
            return self._end(run, Verdict.NOT_RUN, Reason.EXPIRED, b"")
        if not len(self.queue) and self._may_start(now):
            return [self._reply(run), *self._start(run, now)]
        if now + self._estimate_wait(run.caller) > run.leave_at:
            return self._end(run, Verdict.NOT_RUN, Reason.FULL, b"")
        displaced = self.queue.push(run)
        effects: list[Effect] = []
        if displaced is not None:
            effects += self._end(displaced, Verdict.NOT_RUN, Reason.FULL, b"")
        if displaced is not run:
            effects.append(self._reply(run))
        return effects + self.pump(now)

    def _estimate_wait(self, caller: str) -> float:
        ahead = self.queue.count_ahead(caller)
        return ahead * self.limiter.baseline / max(self.limiter.limit, 1e-3)

    def _may_start(self, now: float) -> bool:
        return self.limiter.try_acquire(len(self.working), now)

    def pump(self, now: float) -> list[Effect]:
        """Start what the limit allows, and drop what waited too long."""
        effects: list[Effect] = []
        for run in self.queue.pop_expired(now):
            effects += self._end(run, Verdict.NOT_RUN, Reason.EXPIRED, b"")
        while len(self.queue) and self._may_start(now):
            run = self.queue.pop()
            effects += self._start(run, now)
        return effects

    def _start(self, run: Run, now: float) -> list[Effect]:
        assert run.verdict is None, "an ended hand-over never starts"
        assert run.started_at == 0.0, "a hand-over starts once"
        assert now < run.deadline, "expired work never starts"
        assert len(self.working) < self._find_slots()
        assert self.closed is None
        run.started_at = now or 1e-9
        self.working[run.flow] = run
        run.cancel_at = run.deadline
        self.counters["runs_started"] += 1
        request = replace(run.request, timeout=run.deadline - now)
        return [SendUpstream(run.flow, encode(request))]

    def answer(self, flow: bytes, payload: bytes, now: float) -> list[Effect]:
        """Take what the upstream sent on the socket of a request."""
        run = self.working.get(flow)
        response = decode_request(payload, self.member.name)
        if run is None or not isinstance(response, Response):
            return self._drop("unmatched_answer")
        if len(response.body) > MAX_ANSWER_BYTES:
            response = replace(response, reason=Reason.BODY_NOT_HELD, body=b"")
        request = run.request
        stated = (response.service, response.caller, response.number, response.attempt)
        if stated != (request.service, request.caller, request.number, request.attempt):
            return self._drop("unmatched_answer")
        if response.verdict == Verdict.NOT_RUN and response.reason != Reason.CANCELLED:
            # Whatever the upstream calls it, it did not take the work.
            response = replace(response, reason=Reason.SHED)
            self.limiter.record_shed(len(self.working), now)
        elif response.verdict == Verdict.ANSWERED:
            self.limiter.record_answer(len(self.working), now - run.started_at, now)
        return self._let_go(run, response.verdict, response.reason, response.body, now)

    def lose_upstream(self, flow: bytes, now: float) -> list[Effect]:
        """Take the closing of a request's connection by the upstream."""
        run = self.working.get(flow)
        if run is None:
            return []
        self.limiter.record_upstream_crash(now)
        return self._let_go(run, Verdict.UNKNOWN, Reason.UPSTREAM_GONE, b"", now)

    def _let_go(
        self, run: Run, verdict: Verdict, reason: str, body: bytes, now: float
    ) -> list[Effect]:
        del self.working[run.flow]
        effects: list[Effect] = [CloseUpstream(run.flow)]
        if run.verdict is None or verdict == Verdict.ANSWERED:
            effects += self._end(run, verdict, reason, body)
        run.request = None
        self.memory.note_body(run, now)
        return effects + self.pump(now)

    def _end(
        self, run: Run, verdict: Verdict, reason: str, body: bytes
    ) -> list[Effect]:
        assert run.verdict in (None, Verdict.UNKNOWN), "an outcome stands"
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
        if run.flow not in self.working:
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
        """Cancel what is past its deadline and forget what is old."""
        effects = self._send_cancels(now)
        effects += self.pump(now)
        self.memory.forget_old(self.working, now)
        return effects

    def _send_cancels(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for run in list(self.working.values()):
            if run.cancel_at > now:
                continue
            if now >= run.deadline and run.verdict is None:
                self.limiter.time_out(now - run.started_at, now)
                effects += self._end(run, Verdict.UNKNOWN, Reason.EXPIRED, b"")
            if now >= run.deadline + LET_GO_S:
                self.counters["slots_closed"] += 1
                unheard = self._let_go(run, Verdict.UNKNOWN, Reason.EXPIRED, b"", now)
                effects += unheard
                continue
            run.cancel_at = now + CANCEL_INTERVAL_S
            cancel = replace(run.request, cancel=True, body=b"", timeout=0.0)
            effects.append(SendUpstream(run.flow, encode(cancel)))
        return effects

    def close(self, reason: Reason, give_up: bool) -> list[Effect]:
        """Start nothing more; with ``give_up`` end also what has started.

        What waits in the queue has not run; of what has started, nobody
        knows the outcome.
        """
        self.closed = reason
        effects: list[Effect] = []
        while (run := self.queue.pop()) is not None:
            effects += self._end(run, Verdict.NOT_RUN, reason, b"")
        if not give_up:
            return effects
        for run in list(self.working.values()):
            del self.working[run.flow]
            effects.append(CloseUpstream(run.flow))
            if run.verdict is None:
                effects += self._end(run, Verdict.UNKNOWN, reason, b"")
        return effects

    def open(self, now: float) -> None:
        """Start work again; the upstream is taken for cold."""
        self.closed = None
        self.limiter.restart_slow_start(now)

    def list_in(self, buckets: set[int], now: float) -> list[Claim]:
        """Return the hand-overs in some buckets as peers learn them."""
        return self.memory.list_in(buckets, self._identity, now)

    def list_all(self, now: float) -> list[Claim]:
        """Return all hand-overs of non-idempotent requests."""
        return self.memory.list_all(self._identity, now)

    def _drop(self, reason: str) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []
