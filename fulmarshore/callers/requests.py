"""A caller's side of requests: numbers, resends and the three outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fulmarshore.admission.bounds import MAX_ATTEMPTS, MAX_TIMEOUT_S
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import Challenge, Reason, Request, Response, Verdict

FIRST_RESEND_S = 0.25
MAX_RESEND_S = 2.0
RESEND_JITTER = 0.25
"""Share by which the time of a resend is spread."""
OUTCOME_GRACE_S = 2.5
"""Wait after the deadline for an outcome; nothing is sent in it."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran; ``held`` is False when the answer is no longer kept."""

    number: int
    body: bytes
    held: bool


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and no copy of it ever will."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran can't be told."""

    number: int
    reason: str


Outcome = Answered | NotRun | Unknown


class Pending:
    """A request that waits for its outcome."""

    __slots__ = (
        "request",
        "began",
        "deadline",
        "attempt",
        "resend_at",
        "interval",
        "reason",
        "challenge",
    )

    def __init__(self, request: Request, now: float) -> None:
        self.request = request
        self.began = now
        self.deadline = now + request.timeout
        self.attempt = 0
        self.interval = FIRST_RESEND_S
        self.resend_at = now + FIRST_RESEND_S
        self.reason = Reason.EXPIRED
        self.challenge: Challenge | None = None

    def take_challenge(self, challenge: Challenge, now: float) -> None:
        """Send the next copy with a challenge, at once for the first of a home."""
        known = self.challenge
        issuer = (challenge.agent, challenge.incarnation)
        if known is None or issuer != (known.agent, known.incarnation):
            self.resend_at = now
        self.challenge = challenge
        self.reason = Reason.NOT_SETTLED


class CallerCore:
    """Makes the datagrams of requests and finds their outcomes.

    A resend carries the same number and a higher attempt; it never makes the
    request run a second time. No copy is sent after the deadline: the system
    relies on it when it forgets a request.

    Parameters
    ----------
    service, caller : str
        Who is asked, and a name of the caller that no other caller has. A
        caller that restarts takes a new name or goes on with higher numbers.
    random : Random
        Source of the jitter of resends.
    """

    def __init__(self, service: str, caller: str, random: Random) -> None:
        self.service = service
        self.caller = caller
        self.pending: dict[int, Pending] = {}
        self._random = random
        self._next = 1

    def submit(
        self, body: bytes, timeout: float, idempotent: bool, now: float
    ) -> tuple[int, bytes]:
        """Return the number of a new request and its first datagram."""
        assert 0 < timeout <= MAX_TIMEOUT_S, timeout
        number = self._next
        self._next += 1
        request = Request(
            self.service, self.caller, number, 0, timeout, idempotent, False, body
        )
        self.pending[number] = Pending(request, now)
        return number, encode(request)

    def cancel(self, number: int, now: float) -> bytes | None:
        """Return the datagram that gives a request up, if it is pending."""
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
        return self._make_copy(pending, now)

    def take(self, payload: bytes, now: float) -> Outcome | None:
        """Take a datagram and return the outcome that it settles, if any."""
        response = decode_request(payload, self.service)
        if not isinstance(response, Response):
            return None
        if (response.service, response.caller) != (self.service, self.caller):
            return None
        pending = self.pending.get(response.number)
        if pending is None:
            return None
        outcome = self._judge(pending, response, now)
        if outcome is not None:
            del self.pending[response.number]
        return outcome

    def _judge(
        self, pending: Pending, response: Response, now: float
    ) -> Outcome | None:
        number = response.number
        if response.verdict == Verdict.ANSWERED:
            held = response.reason != Reason.BODY_NOT_HELD
            return Answered(number, response.body, held)
        if response.attempt < pending.attempt:
            # A later attempt is under way and not covered by this word.
            return None
        if response.verdict == Verdict.NOT_RUN:
            return NotRun(number, response.reason)
        if response.challenge is not None:
            pending.take_challenge(response.challenge, now)
            return None
        if response.reason == Reason.NO_UPSTREAM:
            pending.reason = Reason.NO_UPSTREAM
            return None
        return Unknown(number, response.reason)

    def tick(self, now: float) -> tuple[list[bytes], list[Outcome]]:
        """Return the datagrams to send again and the outcomes of time."""
        datagrams: list[bytes] = []
        outcomes: list[Outcome] = []
        for number, pending in list(self.pending.items()):
            if now >= pending.deadline + OUTCOME_GRACE_S:
                del self.pending[number]
                outcomes.append(Unknown(number, pending.reason))
                continue
            late = now >= pending.deadline or pending.attempt + 1 >= MAX_ATTEMPTS
            if late or now < pending.resend_at:
                continue
            datagrams.append(self._make_copy(pending, now))
            pending.interval = min(pending.interval * 2.0, MAX_RESEND_S)
        return datagrams, outcomes

    def _make_copy(self, pending: Pending, now: float) -> bytes:
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
                now - pending.began,
                pending.challenge,
            )
        )
