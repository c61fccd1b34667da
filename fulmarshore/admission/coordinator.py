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
    LARGE_BODY_LIFE_S,
    MAX_KEPT_BODY_BYTES,
    MAX_RUNS_PER_ATTEMPT,
    OVERDUE_S,
    WRITE_INTERVAL_S,
)
from fulmarshore.admission.budget import RetryBudget
from fulmarshore.admission.claimwrites import (
    begin_write,
    send_write,
    show,
    take_word,
)
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.handback import hand_back
from fulmarshore.admission.holders import choose_holders
from fulmarshore.admission.ledger import ClaimState, Ledger, Stage
from fulmarshore.admission.loads import Loads
from fulmarshore.admission.messages import (
    make_answer,
    make_run,
)
from fulmarshore.admission.overdue import follow_elsewhere, poll
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

MAX_OUTCOME_WRITES = 6
"""Tries to show an outcome that was told already."""

NUMBER_BITS = 48


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
        self.settlement = Settlement(self.identity, random.getrandbits(NUMBER_BITS))
        self.backups = Backups(member, self.settlement, random.getrandbits(NUMBER_BITS))
        self.counters: Counter[str] = Counter()
        self.has_lease = True
        self.is_outdated = False
        self.budget = RetryBudget(0.1)
        self.executor: Executor | None = None
        self.loads = Loads(member.name)
        self._random = random
        self._due: list[tuple[float, bytes]] = []
        self._large: list[tuple[float, bytes]] = []
        self.heard: list[RunReply] = []
        self._sequence = random.getrandbits(NUMBER_BITS)

    @property
    def service(self) -> ServiceTable | None:
        """The table of the agent's service."""
        return self.table.services.get(self.member.service)

    def follow(self, table: Table) -> None:
        """Take a newer table."""
        self.table = table
        self.budget.share = self.service.profile.retry_budget if self.service else 0.0

    # -- writing to a peer -------------------------------------------------

    def write(self, state: ClaimState, stage: Stage, now: float) -> list[Effect]:
        """Show a claim to a peer; what follows waits for the peer's word."""
        return begin_write(self, state, stage, now)

    def take_backup_reply(self, reply: ClaimBackupReply, now: float) -> list[Effect]:
        """Take a peer's word about a claim that it was shown."""
        return take_word(self, reply, now)

    def stamp(self, state: ClaimState) -> None:
        """Give a state of a claim its number within the term of this home.

        A later home has a later term, so that what a former home still says
        never replaces what a later one said.
        """
        term = self.settlement.terms.get(find_bucket(state.flow))
        state.version = state.version if term is None else term
        state.sequence = self.draw_sequence()

    def draw_sequence(self) -> int:
        """Return the next number of a state of a claim."""
        self._sequence += 1
        return self._sequence

    def may_hand_over(self, state: ClaimState) -> bool:
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

    def hand_over(self, state: ClaimState, now: float) -> list[Effect]:
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
        state.heard = False
        self.loads.expect(executor)
        return self.send_run(state, now)

    def send_run(self, state: ClaimState, now: float) -> list[Effect]:
        """Send a hand-over, or ask about it, until the executor's word is there."""
        interval = min(POLL_INTERVAL_S * 2**state.polls, MAX_POLL_INTERVAL_S)
        state.polls = min(state.polls + 1, 8)
        self.schedule(state, now + interval)
        message = make_run(self.member, self.table.version, state, now)
        return [SendPeer(state.executor_address, message)]

    def take_load(self, report: SlotReport) -> None:
        """Take what an executor says about its load."""
        self.loads.take(report)

    def retry(self, state: ClaimState, now: float) -> list[Effect]:
        """Let a claim wait for its next hand-over."""
        state.tries += 1
        state.stage = Stage.WAITING
        self.counters["retries"] += 1
        self.schedule(state, now + self._random.uniform(0.0, RETRY_JITTER_S))
        return []

    # -- outcomes ----------------------------------------------------------

    def refuse(self, state: ClaimState, reason: str, now: float) -> list[Effect]:
        """Say 'not run' once a peer holds the tombstone."""
        assert state.verdict in (None, Verdict.NOT_RUN)
        state.verdict, state.reason, state.body = Verdict.NOT_RUN, reason, b""
        return self.write(state, Stage.REFUSING, now)

    def finish(
        self, state: ClaimState, verdict: Verdict, reason: str, body: bytes, now: float
    ) -> list[Effect]:
        """Tell an answer or an unknown outcome, and show it to a peer."""
        assert state.verdict in (None, Verdict.UNKNOWN), "an outcome stands"
        state.verdict, state.reason, state.body = verdict, reason, body
        self.stamp(state)
        state.stage = Stage.DONE
        effects = self.conclude(state, now)
        state.needed = set()
        if state.idempotent:
            return effects
        state.writes = 0
        return effects + self.show_outcome(state, now)

    def show_outcome(self, state: ClaimState, now: float) -> list[Effect]:
        """Show an outcome to a peer, a bounded number of times."""
        if state.writes >= MAX_OUTCOME_WRITES:
            return []
        effects: list[Effect] = []
        for peer in choose_holders(self, state)[:1]:
            state.needed = {Identity(peer.name, peer.incarnation)}
            effects.append(show(self, state, peer, now))
        state.writes += 1
        self.schedule(state, now + WRITE_INTERVAL_S * 2**state.writes)
        return effects

    def conclude(self, state: ClaimState, now: float) -> list[Effect]:
        """End a claim and tell its outcome."""
        state.stage = Stage.DONE
        state.request = None
        self.counters[f"outcomes_{state.verdict}"] += 1
        if state.verdict != Verdict.ANSWERED:
            self.counters[f"refused_{state.reason}"] += 1
        if len(state.body) > MAX_KEPT_BODY_BYTES:
            heapq.heappush(self._large, (now + LARGE_BODY_LIFE_S, state.flow))
        return self.respond(state)

    def respond(self, state: ClaimState) -> list[Effect]:
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

    def resume(self, buckets: set[int], now: float) -> None:
        """Look after the open claims of buckets that were settled just now."""
        for state in self.ledger.claims.values():
            if state.stage != Stage.ELSEWHERE or find_bucket(state.flow) not in buckets:
                continue
            self.schedule(state, now + WRITE_INTERVAL_S)

    def count_open(self) -> int:
        """Return the claims whose outcome this agent still has to find."""
        count = 0
        for state in self.ledger.claims.values():
            if state.is_open() and state.stage != Stage.ELSEWHERE:
                count += 1
        return count

    # -- time --------------------------------------------------------------

    def schedule(self, state: ClaimState, at: float) -> None:
        """Look at a claim again at a time."""
        state.due = at
        heapq.heappush(self._due, (at, state.flow))

    def tick(self, now: float) -> list[Effect]:
        """Bring on every claim that is due."""
        effects: list[Effect] = []
        while self._due and self._due[0][0] <= now:
            at, flow = heapq.heappop(self._due)
            state = self.ledger.find(flow)
            if state is None or state.due != at:
                continue
            effects += self._advance(state, now)
        while self._large and self._large[0][0] <= now:
            _, flow = heapq.heappop(self._large)
            state = self.ledger.find(flow)
            if state is not None and len(state.body) > MAX_KEPT_BODY_BYTES:
                state.body, state.reason = b"", Reason.BODY_NOT_HELD
        self.ledger.expire(now)
        return effects

    def _advance(self, state: ClaimState, now: float) -> list[Effect]:
        match state.stage:
            case Stage.WRITING | Stage.WAITING if now >= state.deadline:
                return self.refuse(state, Reason.EXPIRED, now)
            case Stage.WAITING if self.may_hand_over(state):
                return self.hand_over(state, now)
            case Stage.WAITING if self.settlement.is_home(find_bucket(state.flow)):
                return self.write(state, Stage.WRITING, now)
            case Stage.WAITING:
                return hand_back(self, state, now)
            case Stage.REFUSING if now >= state.deadline + OVERDUE_S:
                return self._give_up_refusal(state, now)
            case Stage.WRITING | Stage.REFUSING:
                return send_write(self, state, now)
            case Stage.RUNNING:
                return poll(self, state, now)
            case Stage.DONE if state.needed:
                return self.show_outcome(state, now)
            case Stage.ELSEWHERE:
                return follow_elsewhere(self, state, now)
        return []

    def _give_up_refusal(self, state: ClaimState, now: float) -> list[Effect]:
        """No peer holds the tombstone: then 'not run' might become untrue."""
        state.verdict = None
        return self.finish(state, Verdict.UNKNOWN, Reason.NOT_SETTLED, b"", now)

    def drop(self, reason: Reason) -> list[Effect]:
        """Count a copy that gets no answer."""
        self.counters[f"dropped_{reason}"] += 1
        return []
