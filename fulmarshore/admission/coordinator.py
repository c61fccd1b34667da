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
)
from fulmarshore.admission.budget import RetryBudget
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.holders import choose_holders, is_member
from fulmarshore.admission.ledger import ClaimState, Ledger, Stage
from fulmarshore.admission.loads import Loads
from fulmarshore.admission.messages import (
    make_answer,
    make_backup,
    make_packet,
    make_run,
)
from fulmarshore.admission.retries import RETRY_JITTER_S, may_retry
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

WRITE_INTERVAL_S = 0.05
POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 0.5
GRACE_S = 0.6
"""Wait for the last word of an executor that left the table."""
OVERDUE_S = 2.0
"""Time after the deadline at which an outcome that nobody tells is unknown."""
MAX_OUTCOME_WRITES = 6
"""Tries to show an outcome that was told already."""

POLLS_UNTIL_SILENT = 2
"""Questions without any word after which other executors are preferred."""
NOTHING_BARRED = -1
"""Attempt of a claim that was handed back: each copy may still run."""
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
        self._loads = Loads(member.name)
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
        state.stage = stage
        self._stamp(state)
        state.writes = 0
        state.needed = set()
        if state.idempotent:
            return self._proceed(state, now)
        return self._send_write(state, now)

    def _stamp(self, state: ClaimState) -> None:
        """Give a state of a claim its number within the term of this home.

        A later home has a later term, so that what a former home still says
        never replaces what a later one said.
        """
        self._sequence += 1
        term = self.settlement.terms.get(find_bucket(state.flow))
        state.version = state.version if term is None else term
        state.sequence = self._sequence

    def _send_write(self, state: ClaimState, now: float) -> list[Effect]:
        is_home = self.settlement.is_home(find_bucket(state.flow))
        if state.stage == Stage.WRITING and not is_home:
            return self._hand_back(state, now)
        if self.is_outdated:
            # Agents that came meanwhile may be home, and no peer here may know.
            self.schedule(state, now + WRITE_INTERVAL_S)
            return []
        peers = choose_holders(self, state)
        if not peers and not self.has_lease:
            self.schedule(state, now + WRITE_INTERVAL_S)
            return []
        if not peers:
            return self._proceed(state, now)
        chosen = {Identity(peer.name, peer.incarnation) for peer in peers}
        if not state.needed or not state.needed <= chosen:
            state.needed = chosen
        self.schedule(state, now + WRITE_INTERVAL_S)
        effects: list[Effect] = []
        for peer in peers:
            if Identity(peer.name, peer.incarnation) in state.needed:
                effects.append(self._show(state, peer, now))
        return effects

    def _show(self, state: ClaimState, peer: Member, now: float) -> SendPeer:
        message = make_backup(self.member, self.table.version, state, now)
        return SendPeer(Address(peer.host, peer.port), message)

    def take_backup_reply(self, reply: ClaimBackupReply, now: float) -> list[Effect]:
        """Take a peer's word about a claim that it was shown."""
        state = self.ledger.find(reply.flow)
        if state is None or state.stage in (Stage.WAITING, Stage.RUNNING):
            return []
        peer = Identity(reply.agent, reply.incarnation)
        if reply.sequence != state.sequence or peer not in state.needed:
            return []
        if not reply.accepted and state.stage == Stage.DONE:
            # What was found out stands; a newer home hears of it when it asks.
            state.needed = set()
            return []
        if not reply.accepted:
            home = self.settlement.find_home(find_bucket(state.flow))
            return self._stand_back(state, now) if peer == home else []
        state.needed.discard(peer)
        if state.needed or state.stage not in (Stage.WRITING, Stage.REFUSING):
            return []
        return self._proceed(state, now)

    def _stand_back(self, state: ClaimState, now: float) -> list[Effect]:
        """Leave a claim to the home that the peer knows."""
        self.counters["claims_left"] += 1
        state.stage = Stage.ELSEWHERE
        state.verdict, state.reason = None, ""
        home = self.settlement.find_home(find_bucket(state.flow))
        state.coordinator = home or self.identity
        self.schedule(state, now + GRACE_S)
        return []

    def _proceed(self, state: ClaimState, now: float) -> list[Effect]:
        bucket = find_bucket(state.flow)
        is_home = self.settlement.is_home(bucket)
        is_settled = bucket in self.settlement.settled and not self.is_outdated
        if is_home and not is_settled and not state.idempotent:
            # Another agent may have been home meanwhile: it is being asked.
            self.schedule(state, now + WRITE_INTERVAL_S)
            return []
        if is_home:
            state.term = self.settlement.terms.get(bucket, 0)
        if state.stage == Stage.REFUSING:
            return self._conclude(state, now)
        assert state.stage == Stage.WRITING
        if not is_home and not state.idempotent:
            return self._hand_back(state, now)
        return self.hand_over(state, now)

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

    def _hand_back(self, state: ClaimState, now: float) -> list[Effect]:
        """Leave a request that nobody runs to the new home of its bucket.

        What this agent holds says that it ran nothing and bars nothing. It is
        newer than what peers hold of this home, and stays in the former term, so
        that whatever the new home says is newer still.
        """
        home = self.settlement.find_home(find_bucket(state.flow))
        if state.request is None or home == self.identity:
            self.schedule(state, now + WRITE_INTERVAL_S)
            return []
        if not is_member(self.service, home):
            # A home that asks may be in a newer table than the one in force here.
            self.schedule(state, now + WRITE_INTERVAL_S)
            return []
        self.counters["claims_handed_back"] += 1
        passed = self._pass_on(state, home, now)
        state.verdict, state.reason = Verdict.NOT_RUN, Reason.NOT_SETTLED
        state.attempt = NOTHING_BARRED
        self._sequence += 1
        state.sequence = self._sequence
        state.stage = Stage.DONE
        state.request = None
        state.writes = 0
        return self._show_outcome(state, now) + passed

    def _pass_on(self, state: ClaimState, home: Identity, now: float) -> list[Effect]:
        service = self.service
        member = service.by_name.get(home.name) if service else None
        packet = make_packet(self.member, self.table.version, state, home, now)
        if member is None or packet is None:
            return []
        return [SendPeer(Address(member.host, member.port), packet)]

    # -- hand-over ---------------------------------------------------------

    def hand_over(self, state: ClaimState, now: float) -> list[Effect]:
        """Give a request to the executor with most room."""
        assert state.verdict is None
        if now >= state.deadline:
            return self.refuse(state, Reason.EXPIRED, now)
        accepting = self.service.accepting if self.service else ()
        own = self.executor
        has_own_slot = own is not None and own.has_free_slot(now)
        executor = self._loads.choose(accepting, state.executor, has_own_slot, now)
        if executor is None:
            return self.refuse(state, Reason.NO_UPSTREAM, now)
        state.executor = Identity(executor.name, executor.incarnation)
        state.executor_address = Address(executor.host, executor.port)
        state.run = max(state.run + 1, state.attempt * MAX_RUNS_PER_ATTEMPT)
        state.stage = Stage.RUNNING
        state.polls = 0
        state.heard = False
        self._loads.expect(executor)
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
        self._loads.take(report)

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
        self._stamp(state)
        state.stage = Stage.DONE
        effects = self._conclude(state, now)
        state.needed = set()
        if state.idempotent:
            return effects
        state.writes = 0
        return effects + self._show_outcome(state, now)

    def _show_outcome(self, state: ClaimState, now: float) -> list[Effect]:
        if state.writes >= MAX_OUTCOME_WRITES:
            return []
        effects: list[Effect] = []
        for peer in choose_holders(self, state)[:1]:
            state.needed = {Identity(peer.name, peer.incarnation)}
            effects.append(self._show(state, peer, now))
        state.writes += 1
        self.schedule(state, now + WRITE_INTERVAL_S * 2**state.writes)
        return effects

    def _conclude(self, state: ClaimState, now: float) -> list[Effect]:
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
                return self._hand_back(state, now)
            case Stage.REFUSING if now >= state.deadline + OVERDUE_S:
                return self._give_up_refusal(state, now)
            case Stage.WRITING | Stage.REFUSING:
                return self._send_write(state, now)
            case Stage.RUNNING:
                return self._poll(state, now)
            case Stage.DONE if state.needed:
                return self._show_outcome(state, now)
            case Stage.ELSEWHERE:
                return self._follow_elsewhere(state, now)
        return []

    def _give_up_refusal(self, state: ClaimState, now: float) -> list[Effect]:
        """No peer holds the tombstone: then 'not run' might become untrue."""
        state.verdict = None
        return self.finish(state, Verdict.UNKNOWN, Reason.NOT_SETTLED, b"", now)

    def _poll(self, state: ClaimState, now: float) -> list[Effect]:
        gone = not is_member(self.service, state.executor)
        if gone and state.gone_at == 0.0:
            state.gone_at = now
        if state.polls > POLLS_UNTIL_SILENT and not state.heard:
            self._loads.note_silence(state.executor.name, now)
        waited = gone and now - state.gone_at >= GRACE_S
        if not waited and now < state.deadline + OVERDUE_S:
            return self.send_run(state, now)
        state.gone_at = 0.0
        has_left = state.executor in self.settlement.left_cleanly
        if gone and has_left and state.request is not None:
            return self._take_back(state, now)
        reason = Reason.UPSTREAM_GONE if gone else Reason.EXPIRED
        if state.idempotent and may_retry(self, state, reason, now):
            return self.retry(state, now)
        return self.finish(state, Verdict.UNKNOWN, reason, b"", now)

    def _take_back(self, state: ClaimState, now: float) -> list[Effect]:
        """Hand a request over again that an executor left without starting it.

        It has named in its bequest all that it ran, and a stopping executor
        starts nothing more.
        """
        self.counters["runs_taken_back"] += 1
        if state.cancelled:
            return self.refuse(state, Reason.CANCELLED, now)
        return self.retry(state, now)

    def _follow_elsewhere(self, state: ClaimState, now: float) -> list[Effect]:
        """Find the outcome of a claim whose coordinator may have vanished."""
        if not self.settlement.is_home(find_bucket(state.flow)):
            return []
        if find_bucket(state.flow) not in self.settlement.settled:
            self.schedule(state, now + GRACE_S)
            return []
        there = is_member(self.service, state.coordinator)
        if there and state.coordinator != self.identity:
            self.schedule(state, now + GRACE_S)
            if now < state.deadline + OVERDUE_S:
                return []
        return self.inherit(state, now)

    def inherit(self, state: ClaimState, now: float) -> list[Effect]:
        """Become the coordinator of a claim that was left open."""
        state.coordinator = self.identity
        service = self.service
        member = None
        if service is not None and state.executor is not None:
            member = service.by_name.get(state.executor.name)
        if member is None or not is_member(self.service, state.executor):
            return self.finish(state, Verdict.UNKNOWN, Reason.UPSTREAM_GONE, b"", now)
        state.executor_address = Address(member.host, member.port)
        state.stage = Stage.RUNNING
        state.polls = 0
        return self.send_run(state, now)

    def drop(self, reason: Reason) -> list[Effect]:
        """Count a copy that gets no answer."""
        self.counters[f"dropped_{reason}"] += 1
        return []
