"""Building responses to requests."""

from __future__ import annotations

from fulmarshore.core.records import Request, Response, Verdict


def make_response(
    request: Request, verdict: Verdict, reason: str = "", body: bytes = b""
) -> Response:
    """Return the response to one attempt of a request.

    Parameters
    ----------
    request : Request
        The attempt to respond to.
    verdict : Verdict
        The outcome.
    reason : str
        Why the request was not answered; empty for an answer.
    body : bytes
        The answer; empty if there is none.

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
