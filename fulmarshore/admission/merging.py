"""Merging of claims and runs from several agents into the claims of this one.

A claim is the state of a request at its home agent, which coordinates it; a run is
the record of a request at its executor.
"""

from __future__ import annotations

from fulmarshore.admission.bounds import CLAIM_MARGIN_S, COPY_LIFE_S, DEPARTURE_GRACE_S
from fulmarshore.admission.claimtable import ClaimState, Stage
from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Claim,
    ClaimBackup,
    ClaimBackupReply,
    Effect,
    Identity,
    Reason,
    RunReply,
    SendPeer,
    Verdict,
)

PART_BYTES = 16_000
CLAIM_BYTES = 160
"""Size of a claim without its body, for splitting claims into datagrams."""


def handle_backup(
    home: Coordinator, message: ClaimBackup, source: Address, now: float
) -> list[Effect]:
    """Store a claim for another agent and reply; reject it if that is not the home."""
    claim = message.claim
    accepted, effects = _store_backup(home, message, now)
    reply = ClaimBackupReply(
        home.member.service,
        home.member.name,
        home.member.incarnation,
        home.table.version,
        claim.flow,
        claim.sequence,
        accepted,
    )
    return [SendPeer(source, reply), *effects]


def _store_backup(
    home: Coordinator, message: ClaimBackup, now: float
) -> tuple[bool, list[Effect]]:
    claim = message.claim
    sender = Identity(message.agent, message.incarnation)
    state = home.claim_table.find(claim.flow)
    known_home = home.settlement.find_home(find_bucket(claim.flow))
    if known_home not in (None, sender, home.identity):
        return False, []
    if state is None:
        import_claim(home, claim, now)
        return True, []
    if (state.caller, state.number) != (claim.caller, claim.number):
        return False, []
    is_older = (claim.version, claim.sequence) < (state.version, state.sequence)
    if state.coordinator != sender:
        if known_home == home.identity or is_older:
            return False, []
    elif is_older:
        return True, []
    is_awaited = state.stage == Stage.REMOTE and state.source is not None
    update_claim(home, state, claim, now)
    if is_awaited and known_home == home.identity and state.stage == Stage.DONE:
        return True, home.send_outcome(state)
    return True, []


def import_claim(home: Coordinator, claim: Claim, now: float) -> ClaimState:
    """Add a claim that a peer sent."""
    coordinator = Identity(claim.coordinator, claim.incarnation)
    state = ClaimState(claim.flow, claim.caller, claim.number, coordinator)
    state.is_imported = True
    state.expires = now + max(claim.ttl, COPY_LIFE_S)
    update_claim(home, state, claim, now)
    home.claim_table.add(state)
    return state


def update_claim(
    home: Coordinator, state: ClaimState, claim: Claim, now: float
) -> None:
    """Replace the state of a claim by that of a peer."""
    state.coordinator = Identity(claim.coordinator, claim.incarnation)
    if claim.verdict == Verdict.NOT_RUN:
        state.attempt = claim.attempt
    state.attempt = max(claim.attempt, state.attempt)
    state.version, state.sequence = claim.version, claim.sequence
    state.verdict, state.reason, state.body = (
        claim.verdict,
        claim.reason,
        claim.body,
    )
    state.run = max(state.run, claim.run)
    state.executor = None
    if claim.executor:
        state.executor = Identity(claim.executor, claim.executor_incarnation)
    state.expires = max(state.expires, now + claim.ttl)
    remaining = claim.ttl - COPY_LIFE_S - CLAIM_MARGIN_S
    state.deadline = max(state.deadline, now + remaining)
    state.stage = Stage.REMOTE if claim.verdict is None else Stage.DONE
    state.request = None
    if state.stage == Stage.REMOTE:
        home.schedule(state, now + DEPARTURE_GRACE_S)


def merge_claim(home: Coordinator, claim: Claim, now: float) -> None:
    """Merge a claim of a peer, if it is newer than the one held here."""
    state = home.claim_table.find(claim.flow)
    if state is None:
        import_claim(home, claim, now)
        return
    if (state.caller, state.number) != (claim.caller, claim.number):
        return
    state.expires = max(state.expires, now + claim.ttl)
    if not _is_newer(home, state, claim):
        return
    update_claim(home, state, claim, now)


def _is_newer(home: Coordinator, state: ClaimState, claim: Claim) -> bool:
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
    """Merge an executor's record of a request.

    A refusal by one executor says nothing about another one, so it leaves an open
    claim open. An answer is final, whichever executor reports it.
    """
    state = home.claim_table.find(run.flow)
    if state is None:
        if not only_known:
            _import_run(home, run, now)
        return
    executor = Identity(run.executor, run.executor_incarnation)
    if state.stage == Stage.RUNNING:
        _queue_run_reply(home, run)
        return
    if state.stage == Stage.REMOTE and run.verdict is None:
        state.executor, state.run = executor, run.run
        return
    is_unknown = state.stage == Stage.DONE and state.verdict == Verdict.UNKNOWN
    if run.verdict == Verdict.ANSWERED and (state.stage == Stage.REMOTE or is_unknown):
        state.verdict, state.reason, state.body = run.verdict, run.reason, run.body
        state.executor, state.run = executor, run.run
        state.stage = Stage.DONE


def _import_run(home: Coordinator, run: Claim, now: float) -> None:
    if run.verdict == Verdict.NOT_RUN:
        return
    import_claim(home, run, now)


def _queue_run_reply(home: Coordinator, run: Claim) -> None:
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
    home.pending_replies.append(reply)


def split_claims(
    claims: list[Claim], runs: list[Claim]
) -> list[tuple[list[Claim], list[Claim]]]:
    """Split claims and runs into one or more parts that fit a datagram each."""
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
