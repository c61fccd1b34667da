"""Refusals that an entry host sends itself."""

from __future__ import annotations

from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Address,
    Reason,
    Request,
    SendCaller,
    Verdict,
)
from fulmarshore.core.responses import make_response


def refuse_request(request: Request, source: Address) -> SendCaller:
    """Return a response that no upstream is available for this copy of a request.

    An entry host blocks no other copy: one that the fabric duplicated, or an
    earlier attempt, may have reached a home agent through another entry host. So
    the verdict of a non-idempotent request is unknown, and the caller may retry
    with the same number until its deadline.
    """
    verdict = Verdict.NOT_RUN if request.idempotent else Verdict.UNKNOWN
    response = make_response(request, verdict, Reason.NO_UPSTREAM)
    return SendCaller(request.service, source, encode(response))
