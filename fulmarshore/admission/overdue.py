"""Claims whose outcome an executor or another home does not tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.bounds import GRACE_S, OVERDUE_S
from fulmarshore.admission.holders import is_member
from fulmarshore.admission.ledger import ClaimState, Stage
from fulmarshore.admission.retries import may_retry
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Address, Effect, Reason, Verdict

if TYPE_CHECKING:
    from fulmarshore.admission.coordinator import Coordinator

POLLS_UNTIL_SILENT = 2
"""Questions without any word after which other executors are preferred."""


def poll(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Ask an executor again, or end the wait for one that is gone."""
    gone = not is_member(home.service, state.executor)
    if gone and state.gone_at == 0.0:
        state.gone_at = now
    if state.polls > POLLS_UNTIL_SILENT and not state.heard:
        home.loads.note_silence(state.executor.name, now)
    waited = gone and now - state.gone_at >= GRACE_S
    if not waited and now < state.deadline + OVERDUE_S:
        return home.send_run(state, now)
    state.gone_at = 0.0
    has_left = state.executor in home.settlement.memories.left_cleanly
    if gone and has_left and state.request is not None:
        return _take_back(home, state, now)
    reason = Reason.UPSTREAM_GONE if gone else Reason.EXPIRED
    if state.idempotent and may_retry(home, state, reason, now):
        return home.retry(state, now)
    return home.finish(state, Verdict.UNKNOWN, reason, b"", now)


def _take_back(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Hand a request over again that an executor left without starting it.

    It has named in its bequest all that it ran, and a stopping executor
    starts nothing more.
    """
    home.counters["runs_taken_back"] += 1
    if state.cancelled:
        return home.refuse(state, Reason.CANCELLED, now)
    return home.retry(state, now)


def follow_elsewhere(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Find the outcome of a claim whose coordinator may have vanished."""
    if not home.settlement.is_home(find_bucket(state.flow)):
        return []
    if find_bucket(state.flow) not in home.settlement.settled:
        home.schedule(state, now + GRACE_S)
        return []
    there = is_member(home.service, state.coordinator)
    if there and state.coordinator != home.identity:
        home.schedule(state, now + GRACE_S)
        if now < state.deadline + OVERDUE_S:
            return []
    return _inherit(home, state, now)


def _inherit(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Become the coordinator of a claim that was left open."""
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
    return home.send_run(state, now)
