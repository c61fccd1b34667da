"""Processing of each copy of a request at the home agent of its bucket.

The home agent, which coordinates the bucket, opens a claim for the first copy,
answers later copies from the claim, and cancels the request if a copy asks for it.
"""

from __future__ import annotations

from fulmarshore.admission.claimtable import ClaimState, Stage
from fulmarshore.admission.coordinator import POLL_INTERVAL_S, Coordinator
from fulmarshore.admission.messages import make_challenge
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Challenge,
    Effect,
    Reason,
    Request,
    Verdict,
)


def open_claim(
    home: Coordinator,
    flow: bytes,
    request: Request,
    source: Address,
    entry: str,
    now: float,
) -> list[Effect]:
    """Open the claim of a request that has none at this home."""
    if home.claim_table.is_full(request.caller):
        return home.drop(Reason.CLAIM_TABLE_FULL)
    bucket = find_bucket(flow)
    is_admitted = request.idempotent or home.settlement.can_admit(bucket, request, now)
    challenge = None if is_admitted else home.settlement.challenge(bucket, request, now)
    if challenge is not None:
        return _challenge(home, flow, request, source, entry, challenge)
    state = ClaimState(flow, request.caller, request.number, home.identity)
    state.request = request
    state.idempotent = request.idempotent
    state.attempt = request.attempt
    state.source, state.entry = source, entry
    state.deadline = now + request.timeout
    state.extend(request.timeout, now)
    over_quota = home.claim_table.is_over_quota(request.caller)
    home.claim_table.add(state, is_tombstone=over_quota)
    home.counters["claims_made"] += 1
    if not is_admitted:
        # An earlier home may have run it, so even a refusal could be untrue.
        return home.finish(state, Verdict.UNKNOWN, Reason.NOT_SETTLED, b"", now)
    if request.cancel:
        return home.refuse(state, Reason.CANCELLED, now)
    if over_quota:
        return home.refuse(state, Reason.CLAIM_TABLE_FULL, now)
    home.budget.deposit()
    return home.replicate(state, Stage.REPLICATING, now)


def handle_copy(
    home: Coordinator,
    state: ClaimState,
    request: Request,
    source: Address,
    entry: str,
    now: float,
) -> list[Effect]:
    """Process another copy of a request whose claim is known."""
    if request.attempt >= state.attempt or state.source is None:
        state.source, state.entry = source, entry
    state.extend(request.timeout, now)
    is_newer = request.attempt > state.attempt
    if state.stage == Stage.DONE:
        return _handle_late_copy(home, state, request, now)
    state.attempt = max(state.attempt, request.attempt)
    if state.stage == Stage.REMOTE:
        home.schedule(state, now + POLL_INTERVAL_S)
        return []
    if request.cancel:
        return _cancel(home, state, now)
    if is_newer and state.stage == Stage.REFUSING:
        return home.replicate(state, Stage.REFUSING, now)
    return []


def _handle_late_copy(
    home: Coordinator, state: ClaimState, request: Request, now: float
) -> list[Effect]:
    """Send the stored outcome, or rerun a request that certainly has not run."""
    is_resend = request.attempt > state.attempt
    is_rerunnable = state.verdict == Verdict.NOT_RUN or (
        state.idempotent and state.verdict == Verdict.UNKNOWN
    )
    if not is_resend or not is_rerunnable:
        if state.verdict == Verdict.UNKNOWN:
            # No later attempt runs, so the outcome covers this attempt too.
            state.attempt = max(state.attempt, request.attempt)
        home.counters["told_again"] += 1
        return home.send_outcome(state)
    assert state.verdict != Verdict.ANSWERED
    has_latest_state = _has_latest_state(home, state, request, now)
    bucket = find_bucket(state.flow)
    challenge = (
        None if has_latest_state else home.settlement.challenge(bucket, request, now)
    )
    if challenge is not None:
        return _challenge(
            home, state.flow, request, state.source, state.entry, challenge
        )
    state.attempt = request.attempt
    state.verdict, state.reason, state.body = None, "", b""
    if not has_latest_state:
        return home.finish(state, Verdict.UNKNOWN, Reason.NOT_SETTLED, b"", now)
    state.coordinator = home.identity
    state.executor = None
    state.cancelled = False
    state.retries = 0
    state.request = request
    state.deadline = now + request.timeout
    if request.cancel:
        return home.refuse(state, Reason.CANCELLED, now)
    home.counters["claims_reopened"] += 1
    return home.replicate(state, Stage.REPLICATING, now)


def _has_latest_state(
    home: Coordinator, state: ClaimState, request: Request, now: float
) -> bool:
    """Return whether no newer state of the claim can have been lost in a crash."""
    bucket = find_bucket(state.flow)
    if state.idempotent or state.term == home.settlement.terms.get(bucket):
        return True
    return home.settlement.can_admit(bucket, request, now)


def _cancel(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    state.cancelled = True
    if state.stage in (Stage.REPLICATING, Stage.AWAITING_DISPATCH):
        return home.refuse(state, Reason.CANCELLED, now)
    if state.stage == Stage.REFUSING:
        return home.replicate(state, Stage.REFUSING, now)
    return home.send_run_request(state, now)


def _challenge(
    home: Coordinator,
    flow: bytes,
    request: Request,
    source: Address,
    entry: str,
    challenge: Challenge,
) -> list[Effect]:
    """Ask the caller for a copy that proves when the request was first sent."""
    home.counters["challenges"] += 1
    answer = make_challenge(
        home.member, home.table.version, flow, request, source, challenge
    )
    return home.send_answer(answer, entry)
