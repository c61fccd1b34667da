"""Responses made from the requests that they belong to."""

from __future__ import annotations

from fulmarshore.core.records import Request, Response, Verdict


def make_response(
    request: Request, verdict: Verdict, reason: str = "", body: bytes = b""
) -> Response:
    """Return the response to one attempt of a request.

    Parameters
    ----------
    request : Request
        The attempt that is responded to.
    verdict : Verdict
        The outcome.
    reason : str
        Why it was not answered; empty for an answer.
    body : bytes
        The answer; empty without one.

    Returns
    -------
    response : Response
    """
    return Response(
        request.service,
        request.caller,
        request.number,
        request.attempt,
        verdict,
        reason,
        body,
    )
