"""Claims, dispatches and outcomes of requests at the home agent of their bucket.

The home agent coordinates all requests of a bucket. It stores the claim of a
non-idempotent request at a peer before it dispatches the request, and a refusal
before it sends the refusal. So a crash of one agent neither runs a request twice
nor makes a refusal untrue.
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
    make_backup_effect,
    process_backup_reply,
    send_to_holders,
    start_replication,
)
from fulmarshore.admission.claimtable import ClaimState, ClaimTable, Stage
from fulmarshore.admission.claimtransfer import transfer_claim
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.executorloads import ExecutorLoads
from fulmarshore.admission.holders import choose_holders
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
"""Times that an outcome is sent to a peer after the caller has got it."""

SEQUENCE_BITS = 48


class Coordinator:
    """Processes each claim of the agent's buckets up to its outcome.

    Parameters
    ----------
    member : Member
        The agent's own announcement.
    table : Table
        The current routing table.
    random : Random
        Source of the jitter of retries.
    """

    def __init__(self, member: Member, table: Table, random: Random) -> None:
        self.member = member
        self.identity = Identity(member.name, member.incarnation)
        self.table = table
        self.claim_table = ClaimTable()
        # Numbers start at random, so that a reply meant for an earlier process at
        # this address matches no message of this one.
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
        """Apply a newer table."""
        self.table = table
        self.budget.share = self.service.profile.retry_budget if self.service else 0.0

    # -- replication to peers ----------------------------------------------

    def replicate(self, state: ClaimState, stage: Stage, now: float) -> list[Effect]:
        """Send a claim to its holders; the next step waits for their replies."""
        return start_replication(self, state, stage, now)

    def handle_backup_reply(self, reply: ClaimBackupReply, now: float) -> list[Effect]:
        """Process a peer's reply to a claim that was sent to it."""
        return process_backup_reply(self, reply, now)

    def assign_version(self, state: ClaimState) -> None:
        """Set the version of a claim: the term of this home, and a sequence number.

        A later home has a later term, so a claim state of an earlier home never
        replaces one of a later home.
        """
        term = self.settlement.terms.get(find_bucket(state.flow))
        state.version = state.version if term is None else term
        state.sequence = self.next_sequence()

    def next_sequence(self) -> int:
        """Return the next sequence number of a claim state."""
        self._sequence += 1
        return self._sequence

    def can_dispatch(self, state: ClaimState) -> bool:
        """Return whether this agent has been home ever since the claim was stored."""
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

    # -- dispatch ----------------------------------------------------------

    def dispatch(self, state: ClaimState, now: float) -> list[Effect]:
        """Send a request to the least loaded executor."""
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
        """Send a dispatch, or a query about it, and schedule the next query."""
        interval = min(POLL_INTERVAL_S * 2**state.polls, MAX_POLL_INTERVAL_S)
        state.polls = min(state.polls + 1, 8)
        self.schedule(state, now + interval)
        message = make_run_request(self.member, self.table.version, state, now)
        return [SendPeer(state.executor_address, message)]

    def record_load(self, report: SlotReport) -> None:
        """Record the load that an executor reports."""
        self.loads.record_report(report)

    def schedule_retry(self, state: ClaimState, now: float) -> list[Effect]:
        """Schedule the next dispatch of a claim."""
        state.retries += 1
        state.stage = Stage.AWAITING_DISPATCH
        self.counters["retries"] += 1
        self.schedule(state, now + self._random.uniform(0.0, RETRY_JITTER_S))
        return []

    # -- outcomes ----------------------------------------------------------

    def refuse(self, state: ClaimState, reason: str, now: float) -> list[Effect]:
        """Store the tombstone at a peer, which then lets the refusal be sent."""
        assert state.verdict in (None, Verdict.NOT_RUN)
        state.verdict, state.reason, state.body = Verdict.NOT_RUN, reason, b""
        return self.replicate(state, Stage.REFUSING, now)

    def finish(
        self, state: ClaimState, verdict: Verdict, reason: str, body: bytes, now: float
    ) -> list[Effect]:
        """Send an answer or an unknown outcome, and store it at a peer."""
        assert state.verdict in (None, Verdict.UNKNOWN), "the outcome is final"
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
        """Send an outcome to a peer, at most ``MAX_OUTCOME_SENDS`` times."""
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
        """Mark a claim as done and send its outcome."""
        state.stage = Stage.DONE
        state.request = None
        self.counters[f"outcomes_{state.verdict}"] += 1
        if state.verdict != Verdict.ANSWERED:
            self.counters[f"refused_{state.reason}"] += 1
        if len(state.body) > MAX_KEPT_BODY_BYTES:
            heapq.heappush(self._large_bodies, (now + LARGE_BODY_LIFE_S, state.flow))
        return self.send_outcome(state)

    def send_outcome(self, state: ClaimState) -> list[Effect]:
        """Send the outcome to the source of the newest copy of the request."""
        assert state.stage == Stage.DONE and state.verdict is not None
        if state.source is None:
            return []
        answer = make_answer(self.member, self.table.version, state)
        return self.send_answer(answer, state.entry)

    def send_answer(self, answer: Answer, name: str) -> list[Effect]:
        """Send through the named entry host, or another if the table lacks that one."""
        entry = self.table.entries.get(name)
        if entry is None:
            entry = next(iter(self.table.entries.values()), None)
        if entry is None:
            return []
        return [SendPeer(Address(entry.host, entry.port), answer)]

    # -- claims of earlier homes -------------------------------------------

    def watch_open_claims(self, buckets: set[int], now: float) -> None:
        """Schedule checks of the open claims in buckets that have just been settled."""
        for state in self.claim_table.claims.values():
            if state.stage != Stage.REMOTE or find_bucket(state.flow) not in buckets:
                continue
            self.schedule(state, now + BACKUP_RESEND_INTERVAL_S)

    def count_open(self) -> int:
        """Return the number of claims whose outcome this agent has to determine."""
        count = 0
        for state in self.claim_table.claims.values():
            if state.is_open() and state.stage != Stage.REMOTE:
                count += 1
        return count

    # -- time --------------------------------------------------------------

    def schedule(self, state: ClaimState, at: float) -> None:
        """Set the time at which a claim is processed next."""
        state.due_at = at
        heapq.heappush(self._timers, (at, state.flow))

    def tick(self, now: float) -> list[Effect]:
        """Process every claim that is due."""
        effects: list[Effect] = []
        while self._timers and self._timers[0][0] <= now:
            at, flow = heapq.heappop(self._timers)
            state = self.claim_table.find(flow)
            if state is None or state.due_at != at:
                continue
            effects += self._advance(state, now)
        while self._large_bodies and self._large_bodies[0][0] <= now:
            _, flow = heapq.heappop(self._large_bodies)
            state = self.claim_table.find(flow)
            if state is not None and len(state.body) > MAX_KEPT_BODY_BYTES:
                state.body, state.reason = b"", Reason.BODY_NOT_HELD
        self.claim_table.expire(now)
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
        """End a refusal as unknown, as no peer is known to hold its tombstone.

        Without the tombstone, a later copy of the request may still run.
        """
        state.verdict = None
        return self.finish(state, Verdict.UNKNOWN, Reason.NOT_SETTLED, b"", now)

    def drop(self, reason: Reason) -> list[Effect]:
        """Count a copy of a request that is dropped unanswered."""
        self.counters[f"dropped_{reason}"] += 1
        return []
