"""Messages that a home agent, the coordinator of a bucket, builds from claims."""

from __future__ import annotations

from msgspec.structs import replace

from fulmarshore.admission.claimtable import ClaimState
from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Address,
    Answer,
    Challenge,
    ClaimBackup,
    Forward,
    Identity,
    Member,
    Phase,
    Reason,
    Request,
    Response,
    RunRequest,
    Verdict,
)


def make_backup(
    member: Member, version: int, state: ClaimState, now: float
) -> ClaimBackup:
    """Return the message that stores a claim at a peer."""
    claim = state.to_claim(now)
    return ClaimBackup(member.service, member.name, member.incarnation, version, claim)


def make_run_request(
    member: Member, version: int, state: ClaimState, now: float
) -> RunRequest:
    """Return the dispatch of a request, or a query about one.

    A query is a dispatch without time left, so it never starts the request.
    """
    remaining = max(state.deadline - now, 0.0)
    cancel = state.cancelled or (state.request is not None and remaining <= 0.0)
    request = state.request
    if request is None:
        remaining = 0.0
        caller, number, attempt = state.caller, state.number, state.attempt
        request = Request(
            member.service, caller, number, attempt, 0.0, False, False, b""
        )
    return RunRequest(
        member.service,
        member.name,
        member.incarnation,
        version,
        state.executor.name,
        state.executor.incarnation,
        state.flow,
        state.run,
        cancel,
        replace(request, timeout=remaining),
    )


def make_answer(member: Member, version: int, state: ClaimState) -> Answer:
    """Return the outcome of a claim, to be sent to the caller."""
    response = Response(
        member.service,
        state.caller,
        state.number,
        state.attempt,
        state.verdict,
        state.reason,
        state.body,
    )
    return Answer(
        member.service,
        member.name,
        member.incarnation,
        version,
        state.flow,
        state.source.host,
        state.source.port,
        encode(response),
    )


def make_challenge(
    member: Member,
    version: int,
    flow: bytes,
    request: Request,
    source: Address,
    challenge: Challenge,
) -> Answer:
    """Return a challenge, to be sent to the caller of a request."""
    response = Response(
        member.service,
        request.caller,
        request.number,
        request.attempt,
        Verdict.UNKNOWN,
        Reason.NOT_SETTLED,
        b"",
        challenge,
    )
    return Answer(
        member.service,
        member.name,
        member.incarnation,
        version,
        flow,
        *source,
        encode(response),
    )


def make_forward(
    member: Member, version: int, state: ClaimState, home: Identity, now: float
) -> Forward | None:
    """Return a copy of a request for another home, or None past its deadline."""
    remaining = state.deadline - now
    if remaining <= 0.0 or state.source is None:
        return None
    age = state.request.age + max(state.request.timeout - remaining, 0.0)
    request = replace(state.request, attempt=state.attempt, timeout=remaining, age=age)
    return Forward(
        member.service,
        home.name,
        home.incarnation,
        version,
        state.flow,
        Phase.OPENING,
        state.source.host,
        state.source.port,
        state.entry,
        1,
        0,
        encode(request),
    )
