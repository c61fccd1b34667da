"""Refusals that an entry host gives by itself."""

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
    """Tell a caller that no upstream is known for this copy of its request.

    An entry host bars no other copy: one that the fabric duplicated, or an
    earlier attempt, may have reached a home through another entry host. So
    for non-idempotent work the verdict is open, and the caller may try again
    with the same number until its deadline.
    """
    verdict = Verdict.NOT_RUN if request.idempotent else Verdict.UNKNOWN
    response = make_response(request, verdict, Reason.NO_UPSTREAM)
    return SendCaller(request.service, source, encode(response))
