"""Replies of executors to the home agent that dispatched a request."""

from __future__ import annotations

from fulmarshore.admission.bounds import BACKUP_RESEND_INTERVAL_S
from fulmarshore.admission.claimtable import ClaimState, Stage
from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.retries import RETRYABLE, acquire_retry
from fulmarshore.core.records import (
    Effect,
    Identity,
    Reason,
    RunReply,
    SlotReport,
    Verdict,
)


def handle_pending_replies(home: Coordinator, now: float) -> list[Effect]:
    """Process the replies that were queued for this tick."""
    effects: list[Effect] = []
    pending_replies, home.pending_replies = home.pending_replies, []
    for reply in pending_replies:
        effects += handle_run_reply(home, reply, now)
    return effects


def handle_run_reply(home: Coordinator, reply: RunReply, now: float) -> list[Effect]:
    """Process an executor's reply to a dispatch."""
    home.record_load(
        SlotReport(
            reply.service,
            reply.agent,
            reply.incarnation,
            reply.version,
            reply.used,
            reply.limit,
        )
    )
    state = home.claim_table.find(reply.flow)
    executor = Identity(reply.agent, reply.incarnation)
    if state is None or state.executor != executor or state.run != reply.run:
        return []
    state.has_replied = True
    if reply.verdict is None:
        return []
    if state.stage == Stage.DONE:
        return _apply_late_answer(home, state, reply, now)
    if state.stage != Stage.RUNNING:
        return []
    match reply.verdict:
        case Verdict.ANSWERED:
            verdict = Verdict.ANSWERED
            return home.finish(state, verdict, reply.reason, reply.body, now)
        case Verdict.NOT_RUN:
            return _handle_refusal(home, state, reply.reason, now)
    if state.idempotent and acquire_retry(home, state, reply.reason, now):
        return home.schedule_retry(state, now)
    return home.finish(state, Verdict.UNKNOWN, reply.reason, b"", now)


def _apply_late_answer(
    home: Coordinator, state: ClaimState, reply: RunReply, now: float
) -> list[Effect]:
    """Replace an unknown outcome by a late answer."""
    if state.verdict != Verdict.UNKNOWN or reply.verdict != Verdict.ANSWERED:
        return []
    home.counters["answers_late"] += 1
    return home.finish(state, Verdict.ANSWERED, reply.reason, reply.body, now)


def _handle_refusal(
    home: Coordinator, state: ClaimState, reason: str, now: float
) -> list[Effect]:
    if reason == Reason.FENCED and not home.can_dispatch(state):
        state.stage = Stage.AWAITING_DISPATCH
        home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
        return []
    if reason in RETRYABLE and acquire_retry(home, state, reason, now):
        return home.schedule_retry(state, now)
    return home.refuse(state, reason, now)
