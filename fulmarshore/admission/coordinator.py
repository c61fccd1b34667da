"""The home's work: claims, hand-overs and outcomes of requests.

A claim of non-idempotent work is held by a peer before the request is handed
over, and a refusal before it is said. So the loss of one memory neither runs
a request twice nor makes a refusal untrue.
"""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

from fulmarshore.admission.backups import Backups
from fulmarshore.admission.bounds import (
    BACKUP_RESEND_INTERVAL_S,
    LARGE_BODY_LIFE_S,
    MAX_KEPT_BODY_BYTES,
    MAX_RUNS_PER_ATTEMPT,
    OUTCOME_TIMEOUT_S,
)
from fulmarshore.admission.budget import RetryBudget
from fulmarshore.admission.claimreplication import (
    handle_backup_reply,
    make_backup_effect,
    send_to_holders,
    start_replication,
)
from fulmarshore.admission.claimtransfer import transfer_claim
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.executorloads import ExecutorLoads
from fulmarshore.admission.holders import choose_holders
from fulmarshore.admission.ledger import ClaimState, Ledger, Stage
from fulmarshore.admission.messages import (
    make_answer,
    make_run_request,
)
from fulmarshore.admission.overdue import check_remote_claim, poll_executor
from fulmarshore.admission.retries import RETRY_JITTER_S
from fulmarshore.admission.settlement import Settlement
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Answer,
    ClaimBackupReply,
    Effect,
    Identity,
    Member,
    Reason,
    RunReply,
    SendPeer,
    SlotReport,
    Verdict,
)
from fulmarshore.routing.table import ServiceTable, Table

POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 0.5

MAX_OUTCOME_SENDS = 6
"""Tries to show an outcome that was told already."""

SEQUENCE_BITS = 48


class Coordinator:
    """Brings each claim of its buckets from the first copy to its outcome.

    Parameters
    ----------
    member : Member
        The agent's own announcement.
    table : Table
        The table in force.
    random : Random
        Source of the jitter of retries.
    """

    def __init__(self, member: Member, table: Table, random: Random) -> None:
        self.member = member
        self.identity = Identity(member.name, member.incarnation)
        self.table = table
        self.ledger = Ledger()
        # Numbers start anywhere, so that a word meant for a former process at
        # this address answers nothing of this one.
        self.settlement = Settlement(self.identity, random.getrandbits(SEQUENCE_BITS))
        self.backups = Backups(
            member, self.settlement, random.getrandbits(SEQUENCE_BITS)
        )
        self.counters: Counter[str] = Counter()
        self.has_lease = True
        self.is_past_lease_grace = False
        self.budget = RetryBudget(0.1)
        self.executor: Executor | None = None
        self.loads = ExecutorLoads(member.name)
        self._random = random
        self._timers: list[tuple[float, bytes]] = []
        self._large_bodies: list[tuple[float, bytes]] = []
        self.pending_replies: list[RunReply] = []
        self._sequence = random.getrandbits(SEQUENCE_BITS)

    @property
    def service(self) -> ServiceTable | None:
        """The table of the agent's service."""
        return self.table.services.get(self.member.service)

    def update(self, table: Table) -> None:
        """Take a newer table."""
        self.table = table
        self.budget.share = self.service.profile.retry_budget if self.service else 0.0

    # -- writing to a peer -------------------------------------------------

    def replicate(self, state: ClaimState, stage: Stage, now: float) -> list[Effect]:
        """Show a claim to a peer; what follows waits for the peer's word."""
        return start_replication(self, state, stage, now)

    def handle_backup_reply(self, reply: ClaimBackupReply, now: float) -> list[Effect]:
        """Take a peer's word about a claim that it was shown."""
        return handle_backup_reply(self, reply, now)

    def assign_version(self, state: ClaimState) -> None:
        """Give a state of a claim its number within the term of this home.

        A later home has a later term, so that what a former home still says
        never replaces what a later one said.
        """
        term = self.settlement.terms.get(find_bucket(state.flow))
        state.version = state.version if term is None else term
        state.sequence = self.next_sequence()

    def next_sequence(self) -> int:
        """Return the next number of a state of a claim."""
        self._sequence += 1
        return self._sequence

    def can_dispatch(self, state: ClaimState) -> bool:
        """Return whether this agent was home all the time since the write."""
        bucket = find_bucket(state.flow)
        if state.idempotent:
            return True
        if not self.has_lease:
            return False
        if not self.settlement.is_home(bucket):
            return False
        if bucket not in self.settlement.settled:
            return False
        return self.settlement.terms.get(bucket) == state.term

    # -- hand-over ---------------------------------------------------------

    def dispatch(self, state: ClaimState, now: float) -> list[Effect]:
        """Give a request to the executor with most room."""
        assert state.verdict is None
        if now >= state.deadline:
            return self.refuse(state, Reason.EXPIRED, now)
        accepting = self.service.accepting if self.service else ()
        own = self.executor
        has_own_slot = own is not None and own.has_free_slot(now)
        executor = self.loads.choose(accepting, state.executor, has_own_slot, now)
        if executor is None:
            return self.refuse(state, Reason.NO_UPSTREAM, now)
        state.executor = Identity(executor.name, executor.incarnation)
        state.executor_address = Address(executor.host, executor.port)
        state.run = max(state.run + 1, state.attempt * MAX_RUNS_PER_ATTEMPT)
        state.stage = Stage.RUNNING
        state.polls = 0
        state.has_replied = False
        self.loads.record_dispatch(executor)
        return self.send_run_request(state, now)

    def send_run_request(self, state: ClaimState, now: float) -> list[Effect]:
        """Send a hand-over, or ask about it, until the executor's word is there."""
        interval = min(POLL_INTERVAL_S * 2**state.polls, MAX_POLL_INTERVAL_S)
        state.polls = min(state.polls + 1, 8)
        self.schedule(state, now + interval)
        message = make_run_request(self.member, self.table.version, state, now)
        return [SendPeer(state.executor_address, message)]

    def record_load(self, report: SlotReport) -> None:
        """Take what an executor says about its load."""
        self.loads.record_report(report)

    def schedule_retry(self, state: ClaimState, now: float) -> list[Effect]:
        """Let a claim wait for its next hand-over."""
        state.retries += 1
        state.stage = Stage.AWAITING_DISPATCH
        self.counters["retries"] += 1
        self.schedule(state, now + self._random.uniform(0.0, RETRY_JITTER_S))
        return []

    # -- outcomes ----------------------------------------------------------

    def refuse(self, state: ClaimState, reason: str, now: float) -> list[Effect]:
        """Say 'not run' once a peer holds the tombstone."""
        assert state.verdict in (None, Verdict.NOT_RUN)
        state.verdict, state.reason, state.body = Verdict.NOT_RUN, reason, b""
        return self.replicate(state, Stage.REFUSING, now)

    def finish(
        self, state: ClaimState, verdict: Verdict, reason: str, body: bytes, now: float
    ) -> list[Effect]:
        """Tell an answer or an unknown outcome, and show it to a peer."""
        assert state.verdict in (None, Verdict.UNKNOWN), "an outcome stands"
        state.verdict, state.reason, state.body = verdict, reason, body
        self.assign_version(state)
        state.stage = Stage.DONE
        effects = self.complete(state, now)
        state.pending_peers = set()
        if state.idempotent:
            return effects
        state.send_count = 0
        return effects + self.replicate_outcome(state, now)

    def replicate_outcome(self, state: ClaimState, now: float) -> list[Effect]:
        """Show an outcome to a peer, a bounded number of times."""
        if state.send_count >= MAX_OUTCOME_SENDS:
            return []
        effects: list[Effect] = []
        for peer in choose_holders(self, state)[:1]:
            state.pending_peers = {Identity(peer.name, peer.incarnation)}
            effects.append(make_backup_effect(self, state, peer, now))
        state.send_count += 1
        self.schedule(state, now + BACKUP_RESEND_INTERVAL_S * 2**state.send_count)
        return effects

    def complete(self, state: ClaimState, now: float) -> list[Effect]:
        """End a claim and tell its outcome."""
        state.stage = Stage.DONE
        state.request = None
        self.counters[f"outcomes_{state.verdict}"] += 1
        if state.verdict != Verdict.ANSWERED:
            self.counters[f"refused_{state.reason}"] += 1
        if len(state.body) > MAX_KEPT_BODY_BYTES:
            heapq.heappush(self._large_bodies, (now + LARGE_BODY_LIFE_S, state.flow))
        return self.send_outcome(state)

    def send_outcome(self, state: ClaimState) -> list[Effect]:
        """Send the outcome to where the newest copy came from."""
        assert state.stage == Stage.DONE and state.verdict is not None
        if state.source is None:
            return []
        answer = make_answer(self.member, self.table.version, state)
        return self.send_answer(answer, state.entry)

    def send_answer(self, answer: Answer, name: str) -> list[Effect]:
        """Send through the entry host of that name, or any if it is gone."""
        entry = self.table.entries.get(name)
        if entry is None:
            entry = next(iter(self.table.entries.values()), None)
        if entry is None:
            return []
        return [SendPeer(Address(entry.host, entry.port), answer)]

    # -- claims of others --------------------------------------------------

    def watch_open_claims(self, buckets: set[int], now: float) -> None:
        """Look after the open claims of buckets that were settled just now."""
        for state in self.ledger.claims.values():
            if state.stage != Stage.REMOTE or find_bucket(state.flow) not in buckets:
                continue
            self.schedule(state, now + BACKUP_RESEND_INTERVAL_S)

    def count_open(self) -> int:
        """Return the claims whose outcome this agent still has to find."""
        count = 0
        for state in self.ledger.claims.values():
            if state.is_open() and state.stage != Stage.REMOTE:
                count += 1
        return count

    # -- time --------------------------------------------------------------

    def schedule(self, state: ClaimState, at: float) -> None:
        """Look at a claim again at a time."""
        state.due_at = at
        heapq.heappush(self._timers, (at, state.flow))

    def tick(self, now: float) -> list[Effect]:
        """Bring on every claim that is due."""
        effects: list[Effect] = []
        while self._timers and self._timers[0][0] <= now:
            at, flow = heapq.heappop(self._timers)
            state = self.ledger.find(flow)
            if state is None or state.due_at != at:
                continue
            effects += self._advance(state, now)
        while self._large_bodies and self._large_bodies[0][0] <= now:
            _, flow = heapq.heappop(self._large_bodies)
            state = self.ledger.find(flow)
            if state is not None and len(state.body) > MAX_KEPT_BODY_BYTES:
                state.body, state.reason = b"", Reason.BODY_NOT_HELD
        self.ledger.expire(now)
        return effects

    def _advance(self, state: ClaimState, now: float) -> list[Effect]:
        match state.stage:
            case Stage.REPLICATING | Stage.AWAITING_DISPATCH if now >= state.deadline:
                return self.refuse(state, Reason.EXPIRED, now)
            case Stage.AWAITING_DISPATCH if self.can_dispatch(state):
                return self.dispatch(state, now)
            case Stage.AWAITING_DISPATCH if self.settlement.is_home(
                find_bucket(state.flow)
            ):
                return self.replicate(state, Stage.REPLICATING, now)
            case Stage.AWAITING_DISPATCH:
                return transfer_claim(self, state, now)
            case Stage.REFUSING if now >= state.deadline + OUTCOME_TIMEOUT_S:
                return self._abandon_refusal(state, now)
            case Stage.REPLICATING | Stage.REFUSING:
                return send_to_holders(self, state, now)
            case Stage.RUNNING:
                return poll_executor(self, state, now)
            case Stage.DONE if state.pending_peers:
                return self.replicate_outcome(state, now)
            case Stage.REMOTE:
                return check_remote_claim(self, state, now)
        return []

    def _abandon_refusal(self, state: ClaimState, now: float) -> list[Effect]:
        """No peer holds the tombstone: then 'not run' might become untrue."""
        state.verdict = None
        return self.finish(state, Verdict.UNKNOWN, Reason.NOT_SETTLED, b"", now)

    def drop(self, reason: Reason) -> list[Effect]:
        """Count a copy that gets no answer."""
        self.counters[f"dropped_{reason}"] += 1
        return []
