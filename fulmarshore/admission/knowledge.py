"""Merging of what several agents know about the same requests."""

from __future__ import annotations

from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.ledger import ClaimState, Stage
from fulmarshore.core.records import Claim, Identity, Reason, RunReply, Verdict

PART_BYTES = 16_000
CLAIM_BYTES = 160
"""Size of a claim without its body, for the splitting into datagrams."""


def merge_claim(home: Coordinator, claim: Claim, now: float) -> None:
    """Take up a claim that a peer holds, if it tells more than the own one."""
    state = home.ledger.find(claim.flow)
    if state is None:
        home.adopt(claim, now)
        return
    if (state.caller, state.number) != (claim.caller, claim.number):
        return
    state.expires = max(state.expires, now + claim.life)
    if not _tells_more(home, state, claim):
        return
    home.fill(state, claim, now)


def _tells_more(home: Coordinator, state: ClaimState, claim: Claim) -> bool:
    if state.coordinator == home.identity and state.stage == Stage.RUNNING:
        return False
    if state.verdict == Verdict.ANSWERED:
        return False
    if claim.verdict == Verdict.ANSWERED:
        return True
    return (claim.version, claim.sequence) > (state.version, state.sequence)


def merge_run(
    home: Coordinator, run: Claim, now: float, only_known: bool = False
) -> None:
    """Take up what an executor remembers of a request.

    A refusal of one executor says nothing about another one, so it leaves an
    open claim open; an answer stands whoever tells it.
    """
    state = home.ledger.find(run.flow)
    if state is None:
        if not only_known:
            _adopt_run(home, run, now)
        return
    executor = Identity(run.executor, run.executor_incarnation)
    if state.stage == Stage.RUNNING:
        _tell_run(home, run)
        return
    if state.stage == Stage.ELSEWHERE and run.verdict is None:
        state.executor, state.run = executor, run.run
        return
    unknown = state.stage == Stage.DONE and state.verdict == Verdict.UNKNOWN
    if run.verdict == Verdict.ANSWERED and (state.stage == Stage.ELSEWHERE or unknown):
        state.verdict, state.reason, state.body = run.verdict, run.reason, run.body
        state.executor, state.run = executor, run.run
        state.stage = Stage.DONE


def _adopt_run(home: Coordinator, run: Claim, now: float) -> None:
    if run.verdict == Verdict.NOT_RUN:
        return
    home.adopt(run, now)


def _tell_run(home: Coordinator, run: Claim) -> None:
    if run.verdict is None:
        return
    reply = RunReply(
        home.member.service,
        run.executor,
        run.executor_incarnation,
        0,
        run.flow,
        run.run,
        run.verdict,
        run.reason or Reason.STOPPING,
        run.body,
        0,
        0.01,
    )
    home.hear_later(reply)


def split_claims(
    claims: list[Claim], runs: list[Claim]
) -> list[tuple[list[Claim], list[Claim]]]:
    """Split claims and runs into parts that fit a datagram each, at least one."""
    parts: list[tuple[list[Claim], list[Claim]]] = [([], [])]
    size = 0
    for kind, items in enumerate((claims, runs)):
        for claim in items:
            size += CLAIM_BYTES + len(claim.body)
            if size > PART_BYTES:
                parts.append(([], []))
                size = CLAIM_BYTES + len(claim.body)
            parts[-1][kind].append(claim)
    return parts
