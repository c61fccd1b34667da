"""A caller's side of the request protocol: numbers, resends and outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fulmarshore.admission.bounds import MAX_ATTEMPTS, MAX_TIMEOUT_S
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import Challenge, Reason, Request, Response, Verdict

FIRST_RESEND_DELAY_S = 0.25
MAX_RESEND_DELAY_S = 2.0
RESEND_JITTER = 0.25
"""Largest share of the interval by which a resend comes earlier or later."""
OUTCOME_GRACE_S = 2.5
"""Time after the deadline in which an outcome may still arrive. Nothing is sent."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran; ``has_body`` is False if its answer is no longer stored."""

    number: int
    body: bytes
    has_body: bool


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run, and no copy of it will run later."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the request ran."""

    number: int
    reason: str


Outcome = Answered | NotRun | Unknown


class PendingRequest:
    """A request whose outcome is not known yet."""

    __slots__ = (
        "request",
        "started_at",
        "deadline",
        "attempt",
        "resend_at",
        "interval",
        "reason",
        "challenge",
    )

    def __init__(self, request: Request, now: float) -> None:
        self.request = request
        self.started_at = now
        self.deadline = now + request.timeout
        self.attempt = 0
        self.interval = FIRST_RESEND_DELAY_S
        self.resend_at = now + FIRST_RESEND_DELAY_S
        self.reason = Reason.EXPIRED
        self.challenge: Challenge | None = None

    def record_challenge(self, challenge: Challenge, now: float) -> None:
        """Store a challenge for the next copy; resend at once if its issuer is new."""
        previous = self.challenge
        issuer = (challenge.agent, challenge.incarnation)
        if previous is None or issuer != (previous.agent, previous.incarnation):
            self.resend_at = now
        self.challenge = challenge
        self.reason = Reason.NOT_SETTLED


class CallerCore:
    """Encodes requests as datagrams and determines their outcomes.

    A resend carries the same number and a higher attempt; it never makes the
    request run a second time. No copy is sent after the deadline: agents rely
    on it when they discard their record of a request.

    Parameters
    ----------
    service, caller : str
        Name of the service, and a name that is unique among its callers. A
        caller that restarts takes a new name or continues with higher numbers.
    random : Random
        Source of the jitter of resends.
    """

    def __init__(self, service: str, caller: str, random: Random) -> None:
        self.service = service
        self.caller = caller
        self.pending: dict[int, PendingRequest] = {}
        self._random = random
        self._next_number = 1

    def submit(
        self, body: bytes, timeout: float, idempotent: bool, now: float
    ) -> tuple[int, bytes]:
        """Return the number of a new request and its first datagram."""
        assert 0 < timeout <= MAX_TIMEOUT_S, timeout
        number = self._next_number
        self._next_number += 1
        request = Request(
            self.service, self.caller, number, 0, timeout, idempotent, False, body
        )
        self.pending[number] = PendingRequest(request, now)
        return number, encode(request)

    def cancel(self, number: int, now: float) -> bytes | None:
        """Return the datagram that cancels a request, or None if it is not pending."""
        pending = self.pending.get(number)
        if pending is None or now >= pending.deadline:
            return None
        pending.request = Request(
            self.service,
            self.caller,
            number,
            pending.attempt,
            pending.request.timeout,
            pending.request.idempotent,
            True,
            b"",
        )
        return self._encode_copy(pending, now)

    def handle_datagram(self, payload: bytes, now: float) -> Outcome | None:
        """Process a received datagram; return the outcome it determines, if any."""
        response = decode_request(payload, self.service)
        if not isinstance(response, Response):
            return None
        if (response.service, response.caller) != (self.service, self.caller):
            return None
        pending = self.pending.get(response.number)
        if pending is None:
            return None
        outcome = self._find_outcome(pending, response, now)
        if outcome is not None:
            del self.pending[response.number]
        return outcome

    def _find_outcome(
        self, pending: PendingRequest, response: Response, now: float
    ) -> Outcome | None:
        number = response.number
        if response.verdict == Verdict.ANSWERED:
            has_body = response.reason != Reason.BODY_NOT_HELD
            return Answered(number, response.body, has_body)
        if response.attempt < pending.attempt:
            # The response does not cover the later attempt, which may still run.
            return None
        if response.verdict == Verdict.NOT_RUN:
            return NotRun(number, response.reason)
        if response.challenge is not None:
            pending.record_challenge(response.challenge, now)
            return None
        if response.reason == Reason.NO_UPSTREAM:
            pending.reason = Reason.NO_UPSTREAM
            return None
        return Unknown(number, response.reason)

    def tick(self, now: float) -> tuple[list[bytes], list[Outcome]]:
        """Return the resends that are due and the outcomes of expired requests."""
        datagrams: list[bytes] = []
        outcomes: list[Outcome] = []
        for number, pending in list(self.pending.items()):
            if now >= pending.deadline + OUTCOME_GRACE_S:
                del self.pending[number]
                outcomes.append(Unknown(number, pending.reason))
                continue
            is_exhausted = (
                now >= pending.deadline or pending.attempt + 1 >= MAX_ATTEMPTS
            )
            if is_exhausted or now < pending.resend_at:
                continue
            datagrams.append(self._encode_copy(pending, now))
            pending.interval = min(pending.interval * 2.0, MAX_RESEND_DELAY_S)
        return datagrams, outcomes

    def _encode_copy(self, pending: PendingRequest, now: float) -> bytes:
        assert now < pending.deadline, "no copy is sent after the deadline"
        pending.attempt += 1
        jitter = self._random.uniform(1.0 - RESEND_JITTER, 1.0 + RESEND_JITTER)
        pending.resend_at = now + pending.interval * jitter
        request = pending.request
        return encode(
            Request(
                self.service,
                self.caller,
                request.number,
                pending.attempt,
                pending.deadline - now,
                request.idempotent,
                request.cancel,
                request.body,
                now - pending.started_at,
                pending.challenge,
            )
        )
