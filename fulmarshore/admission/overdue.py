"""Claims whose outcome an executor or another home agent has not reported.

The home agent of a bucket coordinates its requests, and determines the outcome of
overdue claims.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.bounds import DEPARTURE_GRACE_S, OUTCOME_TIMEOUT_S
from fulmarshore.admission.claimtable import ClaimState, Stage
from fulmarshore.admission.holders import is_member
from fulmarshore.admission.retries import acquire_retry
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Address, Effect, Reason, Verdict

if TYPE_CHECKING:
    from fulmarshore.admission.coordinator import Coordinator

POLLS_UNTIL_UNRESPONSIVE = 2
"""Unanswered queries after which other executors are preferred."""


def poll_executor(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Query an executor again, or stop waiting for it after a time limit."""
    is_gone = not is_member(home.service, state.executor)
    if is_gone and state.executor_gone_at == 0.0:
        state.executor_gone_at = now
    if state.polls > POLLS_UNTIL_UNRESPONSIVE and not state.has_replied:
        home.loads.record_unresponsive(state.executor.name, now)
    grace_ended = is_gone and now - state.executor_gone_at >= DEPARTURE_GRACE_S
    if not grace_ended and now < state.deadline + OUTCOME_TIMEOUT_S:
        return home.send_run_request(state, now)
    state.executor_gone_at = 0.0
    has_left = state.executor in home.settlement.losses.handed_off
    if is_gone and has_left and state.request is not None:
        return _retry_unstarted(home, state, now)
    reason = Reason.UPSTREAM_GONE if is_gone else Reason.EXPIRED
    if state.idempotent and acquire_retry(home, state, reason, now):
        return home.schedule_retry(state, now)
    return home.finish(state, Verdict.UNKNOWN, reason, b"", now)


def _retry_unstarted(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Dispatch a request again that a stopped executor has not started.

    Its handoff listed all requests that it had run, and a stopping executor starts
    no more.
    """
    home.counters["runs_taken_back"] += 1
    if state.cancelled:
        return home.refuse(state, Reason.CANCELLED, now)
    return home.schedule_retry(state, now)


def check_remote_claim(
    home: Coordinator, state: ClaimState, now: float
) -> list[Effect]:
    """Take over a claim if its coordinator has left the service or is overdue."""
    if not home.settlement.is_home(find_bucket(state.flow)):
        return []
    if find_bucket(state.flow) not in home.settlement.settled:
        home.schedule(state, now + DEPARTURE_GRACE_S)
        return []
    is_present = is_member(home.service, state.coordinator)
    if is_present and state.coordinator != home.identity:
        home.schedule(state, now + DEPARTURE_GRACE_S)
        if now < state.deadline + OUTCOME_TIMEOUT_S:
            return []
    return _take_over(home, state, now)


def _take_over(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Become the coordinator of an open claim, and query its executor."""
    state.coordinator = home.identity
    service = home.service
    member = None
    if service is not None and state.executor is not None:
        member = service.by_name.get(state.executor.name)
    if member is None or not is_member(home.service, state.executor):
        return home.finish(state, Verdict.UNKNOWN, Reason.UPSTREAM_GONE, b"", now)
    state.executor_address = Address(member.host, member.port)
    state.stage = Stage.RUNNING
    state.polls = 0
    return home.send_run_request(state, now)
